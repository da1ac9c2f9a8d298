// Command aspenstall runs a controller of the scheduler. Its subcommands check settings and job
// files, and operate a running cluster.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/net/netutil"

	"aspenstall/internal/config"
	"aspenstall/internal/httpapi"
	"aspenstall/internal/netdial"
	"aspenstall/internal/node"
	"aspenstall/internal/nomad/jobfile"
	"aspenstall/internal/nomad/translate"
	"aspenstall/internal/peer"
)

var version = "0.1.0"

// exitConfig is the exit code for an invalid settings file or job file.
const exitConfig = 2

// maxPeerConns is the maximum number of connections from other controllers.
const maxPeerConns = 32

type cli struct {
	Config   string    `help:"The platform's settings (JSON)." type:"path" placeholder:"FILE"`
	Settings string    `help:"The operators' settings (an S-expression)." type:"path" placeholder:"FILE"`
	Run      struct{}  `cmd:"" default:"1" help:"Run a controller."`
	Check    struct{}  `cmd:"" help:"Check the settings and exit."`
	Nomad    nomadCmd  `cmd:"" help:"Nomad's job files: check them, and make tokens for clients."`
	Notify   notifyCmd `cmd:"" help:"Notifications: how they stand, and what was put aside."`
	Cluster  configCmd `cmd:"" name:"config" help:"The configuration that may change while the cluster serves."`
	Version  struct{}  `cmd:"" help:"Print the version and exit."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("aspenstall"), kong.Description("A cluster scheduler with elastic quotas."))
	if err := c.execute(k.Command()); err != nil {
		if !errors.Is(err, errRefused) {
			fmt.Fprintln(os.Stderr, "aspenstall:", err)
		}
		code := 1
		if errors.Is(err, errConfig) || errors.Is(err, errRefused) {
			code = exitConfig
		}
		if own := configExitCode(err); own != 0 {
			code = own
		}
		os.Exit(code)
	}
}

// errConfig marks errors in settings and other files, which have the exit code exitConfig. Its text
// is empty, so that wrapping it doesn't change a message.
var errConfig = errors.New("")

// execute runs a command, which is given by its name and placeholders as kong has them.
func (c *cli) execute(command string) error {
	switch command {
	case "version":
		fmt.Println("aspenstall", version)
		return nil
	case "nomad table":
		return translate.WriteTable(os.Stdout)
	case "nomad schema":
		_, err := os.Stdout.Write(jobfile.Schema)
		return err
	case "nomad token <key-file>":
		return c.Nomad.Token.run(os.Stdin, os.Stdout)
	}
	if strings.HasPrefix(command, "notify ") {
		return c.Notify.run(command, os.Stdout)
	}
	p, s, err := c.load(command != "nomad check <file>")
	if err != nil {
		return fmt.Errorf("%w%w", err, errConfig)
	}
	switch command {
	case "check":
		fmt.Println("settings are good")
		return nil
	case "nomad check <file>":
		return c.Nomad.Check.run(p, &s, os.Stdout)
	}
	if strings.HasPrefix(command, "config ") {
		return c.Cluster.run(command, p, s, os.Stdout)
	}
	return run(p, s)
}

// load reads and checks the settings and the platform's file. Unless needPlatform, --config may be
// omitted; the first result is nil then.
func (c *cli) load(needPlatform bool) (*config.Platform, config.Settings, error) {
	s, err := config.LoadSettings(c.Settings)
	if err != nil {
		return nil, s, err
	}
	if c.Config == "" {
		if needPlatform {
			err = errors.New("--config: missing")
		}
		return nil, s, err
	}
	p, err := config.LoadPlatform(c.Config)
	if err != nil {
		return nil, s, err
	}
	if err := s.Check(p); err != nil {
		return nil, s, fmt.Errorf("%s: %w", c.Settings, err)
	}
	return p, s, nil
}

// logger returns a logger to standard error at the level in LOG_LEVEL; the default is info.
func logger(member string) *slog.Logger {
	level := slog.LevelInfo
	switch strings.ToLower(os.Getenv("LOG_LEVEL")) {
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("node", member)
}

// run runs a controller until it is interrupted or terminated.
func run(p *config.Platform, s config.Settings) error {
	if mb := p.Params.Limits.MemMB; mb > 0 {
		// The limit is below the platform's, since the runtime's own memory and the stacks
		// come on top. Collecting garbage less often saves processor time.
		debug.SetMemoryLimit(int64(mb * 0.6 * (1 << 20)))
		debug.SetGCPercent(400)
	}
	log := logger(p.Member)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	n := node.New(p, s, log, netdial.TCP(time.Second))
	l, err := net.Listen("tcp", p.Listen)
	if err != nil {
		return err
	}
	if m := p.Params.Limits.MaxConnections; m > 0 {
		// The rest is for outgoing connections, which take a little over an eighth.
		l = netdial.ShedListener(l, max(m*5/6, 8))
	}
	pl, err := net.Listen("tcp", p.ClusterListen)
	if err != nil {
		return err
	}
	go func() {
		if err := peer.Serve(netutil.LimitListener(pl, maxPeerConns), n); err != nil {
			log.Error("cannot serve peers", "err", err)
		}
	}()
	srv := &http.Server{
		Handler:           httpapi.Handler(n),
		ReadHeaderTimeout: 10 * time.Second,
		ReadTimeout:       20 * time.Second,
		WriteTimeout:      20 * time.Second,
		// Users and workers send a request every few seconds. A connection that is idle for
		// longer is dead: a machine that crashes leaves its connection open.
		IdleTimeout:    time.Duration(max(5*p.Params.Workers.ReportS, 20) * float64(time.Second)),
		MaxHeaderBytes: 16 << 10,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	if s.Nomad != nil {
		if err := serveNomad(n, p, s.Nomad, log); err != nil {
			return err
		}
	}
	if s.Notify != nil && s.Notify.Listen != "" {
		if err := serveOperators(n, s.Notify.Listen, log); err != nil {
			return err
		}
	}
	ended := make(chan struct{})
	go func() {
		n.Run(ctx)
		_ = srv.Close()
		close(ended)
	}()
	log.Info("listening", "address", p.Listen, "version", version)
	err = srv.Serve(l)
	if ctx.Err() != nil {
		<-ended // terminated by a signal; the node has logged its job statistics
		return nil
	}
	return err
}
