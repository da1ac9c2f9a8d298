package scale

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"aspenstall/internal/config"
	"aspenstall/internal/simulator"
	"aspenstall/internal/wait"
)

// childCommand returns a command whose process is killed when ctx ends or this process ends.
func childCommand(ctx context.Context, log io.Writer, name string, args ...string) *exec.Cmd {
	c := exec.CommandContext(ctx, name, args...)
	c.Stderr = log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return c
}

// controller is a controller process.
type controller struct {
	index        int
	at           addresses
	name         string
	zone         string
	binary       string
	platformPath string
	settingsPath string
	logFile      *os.File
	processes    *sync.WaitGroup // all processes of the run

	mu              sync.Mutex
	cancel          context.CancelFunc
	killed          bool          // kill was called for the present process
	exited          chan struct{} // closed once the present process was reaped
	pid             int           // 0 if it is not running
	unexpectedExits int           // exits that kill did not cause
}

// start starts the process unless it is running. It waits until a process that was killed is gone. A
// process that exits unexpectedly is restarted after restartDelay.
func (c *controller) start(ctx context.Context) error {
	c.mu.Lock()
	exited, killed := c.exited, c.killed
	c.mu.Unlock()
	if killed {
		<-exited
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pid != 0 {
		return nil
	}
	parent := ctx
	ctx, cancel := context.WithCancel(ctx)
	cmd := childCommand(ctx, c.logFile, c.binary, "--settings", c.settingsPath, "--config", c.platformPath)
	if err := cmd.Start(); err != nil {
		cancel()
		return fmt.Errorf("controller %s: %w", c.name, err)
	}
	c.cancel, c.pid, c.killed = cancel, cmd.Process.Pid, false
	exited = make(chan struct{})
	c.exited = exited
	c.processes.Go(func() {
		_ = cmd.Wait()
		c.mu.Lock()
		unexpected := ctx.Err() == nil
		if unexpected {
			c.unexpectedExits++
		}
		c.pid = 0
		c.mu.Unlock()
		close(exited)
		if unexpected && wait.For(ctx, restartDelay) {
			_ = c.start(parent)
		}
	})
	return nil
}

// restartDelay is the delay until a controller that exited unexpectedly is restarted.
const restartDelay = time.Second

// kill kills the process without a graceful shutdown. It is not restarted.
func (c *controller) kill() {
	c.mu.Lock()
	cancel := c.cancel
	c.killed = c.pid != 0
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// runningPID returns the process ID, or 0 if the process is not running.
func (c *controller) runningPID() (pid int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pid
}

// platformConfig returns the platform's configuration of a controller.
func (c *controller) platformConfig(s *Settings, all []*controller, teams []Team) *config.Platform {
	p := &config.Platform{}
	p.Member, p.Zone = c.name, c.zone
	p.Listen, p.ClusterListen = c.at.controller(c.index), c.at.cluster(c.index)
	for _, o := range all {
		if o != c {
			p.Peers = append(p.Peers, config.Peer{Member: o.name, Zone: o.zone, Endpoint: c.at.peer(c.index, o.index)})
		}
	}
	p.Services.State, p.Services.Cloud = c.at.state(c.index), c.at.cloud(c.index)
	q := &p.Params
	q.Zones = s.Zones
	for _, t := range teams {
		q.Teams = append(q.Teams, config.Team{Name: t.Name, CPUs: t.CPUs, CPUsMax: t.CPUsMax})
	}
	q.Objectives = []config.Objective{{Kind: "wait", Class: classUrgent, WithinS: s.UrgentWithinS, Share: 0.99}}
	q.Workers.ReportS, q.Workers.LeaseS, q.Workers.CancelS = s.ReportS, s.LeaseS, s.CancelS
	q.Workers.GangWaitS, q.Workers.GangPeerS = 50, 8
	q.State.RPS, q.State.WriteRPS, q.State.ValueKB, q.State.TxnOps = s.StateRPS, s.StateWriteRPS, s.StateValueKB, s.StateTxnOps
	q.Cloud.RPS, q.Cloud.ListLagS = s.CloudRPS, s.CloudListLagS
	q.Limits.CPU, q.Limits.MemMB, q.Limits.MaxConnections = cmp.Or(s.ControllerCPU, 1), s.ControllerMemMB, s.ControllerConnections
	return p
}

// writeFiles writes a controller's platform configuration and operator settings, with those in extra, to
// files in dir.
func (c *controller) writeFiles(dir string, p *config.Platform, extra string) error {
	b, err := json.MarshalIndent(p, "", " ")
	if err != nil {
		return err
	}
	c.platformPath, c.settingsPath = filepath.Join(dir, c.name+".json"), filepath.Join(dir, c.name+".sexp")
	if err := os.WriteFile(c.platformPath, b, 0o600); err != nil {
		return err
	}
	// Idle machines are not released for a day, so that the fleet keeps its size while measured.
	return os.WriteFile(c.settingsPath, []byte("{:idle-return-s 86400 "+extra+"}\n"), 0o600)
}

// hostProcess is a worker host process, as the run sees it.
type hostProcess struct {
	index      int
	realWorker bool
	pid        int
	capacity   int // maximum number of workers

	mu       sync.Mutex
	commands *json.Encoder
	reserved int
	traffic  WorkerTraffic
}

// startHost starts a worker host process and calls handle with each of its events.
func startHost(ctx context.Context, group *sync.WaitGroup, log io.Writer, cfg HostConfig, realWorker bool, capacity int, handle func(*hostProcess, Event)) (*hostProcess, error) {
	binary, err := os.Executable()
	if err != nil {
		return nil, err
	}
	b, err := json.Marshal(&cfg)
	if err != nil {
		return nil, err
	}
	cmd := childCommand(ctx, log, binary, "host")
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("worker host %d: %w", cfg.Number, err)
	}
	if _, err := stdin.Write(append(bytes.TrimSpace(b), '\n')); err != nil {
		return nil, err
	}
	h := &hostProcess{index: cfg.Number, realWorker: realWorker, pid: cmd.Process.Pid, capacity: capacity, commands: json.NewEncoder(stdin)}
	group.Go(func() {
		dec := json.NewDecoder(bufio.NewReader(stdout))
		for {
			var e Event
			if dec.Decode(&e) != nil {
				break
			}
			handle(h, e)
		}
		_ = cmd.Wait()
	})
	return h, nil
}

// send sends a command to the process.
func (h *hostProcess) send(c Command) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.commands.Encode(&c)
}

// reserve reserves a slot for one more worker. It reports whether there was a free one.
func (h *hostProcess) reserve() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reserved >= h.capacity {
		return false
	}
	h.reserved++
	return true
}

// remoteWorker is a worker in a worker host process.
type remoteWorker struct {
	host    *hostProcess
	machine simulator.MachineInfo
}

// Terminate ends the worker, as when its machine fails, and frees its slot.
func (r *remoteWorker) Terminate() {
	r.host.send(Command{Kind: CommandKill, Place: r.machine})
	r.host.mu.Lock()
	r.host.reserved--
	r.host.mu.Unlock()
}

// ReadHostConfig reads the configuration of a worker host process from the first line of its input.
// Commands follow.
func ReadHostConfig(in *bufio.Reader) (HostConfig, error) {
	var cfg HostConfig
	line, err := in.ReadBytes('\n')
	if err != nil {
		return cfg, fmt.Errorf("configuration: %w", err)
	}
	return cfg, json.Unmarshal(line, &cfg)
}
