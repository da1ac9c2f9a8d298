// Command scalerun runs real controllers against thousands of hollow workers over this machine's
// loopback interface, and reports the resource usage of each process.
package main

import (
	"bufio"
	"context"
	"debug/buildinfo"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"aspenstall/internal/scale"
)

// cli is the command line. Field names give the names of commands and flags.
type cli struct {
	Run    runCmd    `cmd:"" help:"Run once and write a result file."`
	Report reportCmd `cmd:"" help:"Print tables of result files, with the slopes that they show, and draw them."`
	Host   hostCmd   `cmd:"" hidden:"" help:"A process of workers; run starts it."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("scalerun"), kong.Description("Real controllers against thousands of hollow workers, on loopback, in real time."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "scalerun:", err)
		stop()
		os.Exit(1)
	}
}

// runCmd is the command that executes a run.
type runCmd struct {
	Settings string `arg:"" help:"The run's settings (an S-expression)." type:"existingfile"`
	Binary   string `help:"The controllers' program." default:"target/aspenstall" type:"existingfile"`
	Last     string `help:"The last controller's program: another version beside the others." type:"existingfile"`
	Out      string `help:"The result file." default:"scalerun.json" type:"path"`
	Logs     string `help:"Folder for the processes' files; a temporary one that is removed, if not given." type:"path"`
	Workers  int    `help:"Another number of workers: tasks and rates go with it."`
}

// Run executes a run and writes its result and summary. It fails if the checker found violations.
func (c *runCmd) Run(ctx context.Context) error {
	s, err := scale.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	if c.Workers > 0 {
		if s, err = s.ForWorkers(c.Workers); err != nil {
			return err
		}
	}
	dir := c.Logs
	if dir == "" {
		if dir, err = os.MkdirTemp("", "scalerun"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	res, err := scale.New(s, os.Stderr).Execute(ctx, scale.Programs{Binary: c.Binary, LastBinary: c.Last}, dir)
	if err != nil {
		return err
	}
	res.Version = revision(c.Binary)
	if err := res.Write(c.Out); err != nil {
		return err
	}
	scale.WriteSummary(os.Stdout, res)
	if len(res.Violations) > 0 {
		return fmt.Errorf("the run violated %d invariants", len(res.Violations))
	}
	return nil
}

// revision returns the source revision that an executable was built from, with ", changed" if the
// working tree was modified, or "" if the executable contains none.
func revision(binary string) string {
	info, err := buildinfo.ReadFile(binary)
	if err != nil {
		return ""
	}
	name, changed := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			name = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = ", changed"
		}
	}
	return name + changed
}

// reportCmd is the command that prints a report of results.
type reportCmd struct {
	Results []string `arg:"" help:"Result files." type:"existingfile"`
	Plots   string   `help:"Folder for plots (PNG)." type:"path"`
}

// Run reads the results, prints the report and saves its plots.
func (c *reportCmd) Run() error {
	var all []*scale.Result
	for _, f := range c.Results {
		r, err := scale.ReadResult(f)
		if err != nil {
			return fmt.Errorf("%s: %w", f, err)
		}
		all = append(all, r)
	}
	return scale.WriteReport(os.Stdout, all, c.Plots)
}

// hostCmd is the command by which a run starts a worker host process.
type hostCmd struct{}

// Run runs a worker host process until its input ends.
func (hostCmd) Run(ctx context.Context) error {
	in := bufio.NewReader(os.Stdin)
	cfg, err := scale.ReadHostConfig(in)
	if err != nil {
		return err
	}
	return scale.RunHost(ctx, cfg, in, os.Stdout)
}
