package main

import (
	"bufio"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"golang.org/x/net/netutil"

	"aspenstall/internal/config"
	"aspenstall/internal/core"
	"aspenstall/internal/node"
	"aspenstall/internal/nomad/httpapi"
	"aspenstall/internal/nomad/jobfile"
	"aspenstall/internal/nomad/translate"
)

// nomadCmd holds the commands for Nomad's job files and clients.
type nomadCmd struct {
	Check  nomadCheck `cmd:"" help:"Print the native jobs that job files become, or every refusal."`
	Table  struct{}   `cmd:"" help:"Print what is served of a job file, as a table in Markdown."`
	Schema struct{}   `cmd:"" help:"Print the JSON Schema of the JSON form."`
	Token  nomadToken `cmd:"" help:"Make a token and its hash for the settings."`
}

type nomadCheck struct {
	Files   []string          `arg:"" name:"file" help:"Job files, in HCL2 or in the JSON form."`
	Var     map[string]string `help:"The value of a variable." placeholder:"NAME=VALUE" mapsep:"none"`
	VarFile []string          `help:"A file of values of variables." placeholder:"FILE"`
	Team    string            `help:"The team whose token would be used: what the namespace default stands for." placeholder:"NAME"`
	Output  string            `help:"How to print: text or json." enum:"text,json" default:"text"`
}

type nomadToken struct {
	KeyFile string `arg:"" help:"The key for the hashes, as in :token-key-file; made if there is none." type:"path"`
	Stdin   bool   `help:"Hash the token on standard input instead of making one."`
}

// errRefused is returned by a check that found refusals. They are already printed.
var errRefused = errors.New("refused")

// checkResult is the result of a check in JSON: a file's native jobs, or the refusals.
type checkResult struct {
	File     string        `json:"file"`
	Jobs     []nativeJob   `json:"jobs,omitempty"`
	Refusals []refusalView `json:"refusals,omitempty"`
	Warnings []refusalView `json:"warnings,omitempty"`
}

// refusalView is a refusal or a warning in JSON.
type refusalView struct {
	File   string `json:"file"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
	Reason string `json:"reason"`
}

// nativeJob is a native job in JSON, with amounts in whole units.
type nativeJob struct {
	Group           string   `json:"group"`
	Team            string   `json:"team"`
	Class           string   `json:"class"`
	Kind            string   `json:"kind"`
	Priority        string   `json:"priority"`
	Tasks           int      `json:"tasks"`
	CPUs            float64  `json:"cpus"`
	GPUs            float64  `json:"gpus"`
	MemGB           float64  `json:"mem_gb"`
	Types           []string `json:"types,omitempty"`
	Zone            string   `json:"zone,omitempty"`
	OneZone         bool     `json:"one_zone,omitempty"`
	Spread          bool     `json:"spread,omitempty"`
	Spot            bool     `json:"spot,omitempty"`
	Image           string   `json:"image"`
	ImageGB         float64  `json:"image_gb"`
	EstimateS       float64  `json:"estimate_s"`
	CheckpointS     float64  `json:"checkpoint_s,omitempty"`
	CheckpointCostS float64  `json:"save_cost_s,omitempty"`
	DeadlineS       float64  `json:"due_s,omitempty"`
}

// newNativeJob returns the JSON form of the job of a task group.
func newNativeJob(group string, s *core.JobSpec) nativeJob {
	return nativeJob{
		Group: group, Team: s.Team, Class: s.Class, Kind: [...]string{"array", "gang", "service"}[s.Kind], Priority: s.Priority.String(), Tasks: s.Tasks,
		CPUs: float64(s.Resources.CPU) / 1000, GPUs: float64(s.Resources.GPU) / 1000, MemGB: float64(s.Resources.Mem) / 1000,
		Types: s.Types, Zone: s.Zone, OneZone: s.OneZone, Spread: s.Spread, Spot: s.Spot, Image: s.Image, ImageGB: float64(s.ImageMB) / 1000,
		EstimateS: float64(s.EstimatedRun) / 1e6, CheckpointS: float64(s.CheckpointInterval) / 1e6, CheckpointCostS: float64(s.CheckpointCost) / 1e6, DeadlineS: float64(s.Deadline) / 1e6,
	}
}

// refusalViews returns the JSON form of problems.
func refusalViews(ps jobfile.Problems) []refusalView {
	var out []refusalView
	for _, p := range ps {
		out = append(out, refusalView{p.File, p.Line, p.Column, p.Text})
	}
	return out
}

// run checks the files against the settings and, if p isn't nil, the platform's zones. It returns
// errRefused if a file was refused.
func (c *nomadCheck) run(p *config.Platform, s *config.Settings, w io.Writer) error {
	n := config.DefaultNomad()
	if s.Nomad != nil {
		n = *s.Nomad
	}
	t := translate.Policy{Team: c.Team, MHzPerCPU: n.MHzPerCPU, ScratchMB: n.ScratchMB, GPUs: n.GPUDevices, MaxPriority: s.PriorityCap}
	if p != nil {
		t.Zones = p.Params.Zones
	}
	o := jobfile.Options{Vars: c.Var}
	for _, path := range c.VarFile {
		b, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		o.VarFiles = append(o.VarFiles, jobfile.VarFile{Name: path, Source: b})
	}
	var all []checkResult
	bad := false
	for _, path := range c.Files {
		k, err := checkFile(path, o, t)
		if err != nil {
			return err
		}
		bad = bad || k.Refusals != nil
		all = append(all, k)
	}
	if err := printChecked(w, c.Output, all); err != nil {
		return err
	}
	if bad {
		return errRefused
	}
	return nil
}

// checkFile parses and translates a job file. Refusals are in the result. The error
// reports that the file could not be read.
func checkFile(path string, o jobfile.Options, t translate.Policy) (checkResult, error) {
	k := checkResult{File: path}
	src, err := os.ReadFile(path)
	if err != nil {
		return k, err
	}
	f, err := jobfile.Parse(path, src, o)
	var ps jobfile.Problems
	if errors.As(err, &ps) {
		k.Refusals = refusalViews(ps)
		return k, nil
	}
	if err != nil {
		return k, err
	}
	groups, ps := translate.Job(f, t)
	k.Refusals, k.Warnings = refusalViews(ps), refusalViews(translate.Warnings(f))
	for i := range groups {
		k.Jobs = append(k.Jobs, newNativeJob(groups[i].Name, &groups[i].Spec))
	}
	return k, nil
}

// printChecked prints the results as JSON or, for any other output, as text.
func printChecked(w io.Writer, output string, all []checkResult) error {
	if output == "json" {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(all)
	}
	for _, k := range all {
		for _, r := range k.Refusals {
			if _, err := fmt.Fprintf(w, "%v: %s\n", jobfile.Pos{File: r.File, Line: r.Line, Column: r.Column}, r.Reason); err != nil {
				return err
			}
		}
		for _, r := range k.Warnings {
			if _, err := fmt.Fprintf(w, "%v: warning: %s\n", jobfile.Pos{File: r.File, Line: r.Line, Column: r.Column}, r.Reason); err != nil {
				return err
			}
		}
		for _, j := range k.Jobs {
			if _, err := fmt.Fprintf(w, "%s: group %s: %s\n", k.File, j.Group, j.summary()); err != nil {
				return err
			}
		}
	}
	return nil
}

// summary describes a native job in one line.
func (j *nativeJob) summary() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s of %d for team %s, class %s, priority %s; each %v CPUs, %v GPUs, %v GB; image %s of %v GB",
		j.Kind, j.Tasks, j.Team, j.Class, j.Priority, j.CPUs, j.GPUs, j.MemGB, j.Image, j.ImageGB)
	if j.EstimateS > 0 {
		fmt.Fprintf(&b, "; runs about %v s", j.EstimateS)
	}
	if j.DeadlineS > 0 {
		fmt.Fprintf(&b, "; due in %v s", j.DeadlineS)
	}
	if j.CheckpointS > 0 {
		fmt.Fprintf(&b, "; saves every %v s in %v s", j.CheckpointS, j.CheckpointCostS)
	}
	if j.Types != nil {
		fmt.Fprintf(&b, "; on %s", strings.Join(j.Types, ", "))
	}
	if j.Zone != "" {
		fmt.Fprintf(&b, "; in zone %s", j.Zone)
	}
	for _, f := range []struct {
		on   bool
		text string
	}{{j.OneZone, "all in one zone"}, {j.Spread, "spread over zones"}, {j.Spot, "spot machines too"}} {
		if f.on {
			b.WriteString("; " + f.text)
		}
	}
	return b.String()
}

// run makes a random token, or reads one from r, and prints its hash. A missing key file is
// created.
func (c *nomadToken) run(r io.Reader, w io.Writer) error {
	key, err := os.ReadFile(c.KeyFile)
	if errors.Is(err, os.ErrNotExist) {
		key = []byte(rand.Text())
		err = os.WriteFile(c.KeyFile, append(key, '\n'), 0o600)
	}
	if err != nil {
		return err
	}
	if key, err = config.TokenKey(c.KeyFile, key); err != nil {
		return err
	}
	token := ""
	if c.Stdin {
		line, err := bufio.NewReader(r).ReadString('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		token = strings.TrimSpace(line)
	} else {
		secret := make([]byte, 32)
		if _, err := rand.Read(secret); err != nil {
			return err
		}
		token = base64.RawURLEncoding.EncodeToString(secret)
		if _, err := fmt.Fprintf(w, "token %s\n", token); err != nil {
			return err
		}
	}
	if token == "" {
		return errors.New("the token is empty")
	}
	h := httpapi.HashToken(key, token)
	_, err = fmt.Fprintf(w, "hash  %s\n", hex.EncodeToString(h[:]))
	return err
}

// serveNomad serves Nomad's clients on a separate listener.
func serveNomad(n *node.Node, p *config.Platform, s *config.Nomad, log *slog.Logger) error {
	return serveAuxiliary("Nomad's clients", s.Listen, s.MaxConns, log, &http.Server{
		Handler:           httpapi.Handler(n, s, httpapi.NewRenderLimits(p), log),
		ReadHeaderTimeout: 10 * time.Second, // bodies and responses have deadlines of their own, since blocking queries take long
		IdleTimeout:       2 * time.Minute,
	})
}

// serveAuxiliary serves an interface other than that of users and workers on a separate listener,
// in the background. clients names its clients in the log.
func serveAuxiliary(clients, address string, conns int, log *slog.Logger, srv *http.Server) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	srv.MaxHeaderBytes = 16 << 10
	srv.ErrorLog = slog.NewLogLogger(log.Handler(), slog.LevelDebug)
	log.Info("listening for "+clients, "address", address)
	go func() {
		if err := srv.Serve(netutil.LimitListener(l, conns)); err != nil {
			log.Error(clients+" are no longer served", "err", err)
		}
	}()
	return nil
}
