package scale

import (
	"bufio"
	"bytes"
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

// Addresses on loopback, all of them 127.0.0.0/8.
const (
	firstZoneOctet   = 10 // workers of the nth zone are in 127.(10+n).0.0/16
	workerPort       = 9000
	workersPerSubnet = 250
)

func workerAddress(zone, n int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", firstZoneOctet+zone, n/workersPerSubnet, n%workersPerSubnet+1, workerPort)
}

func controllerAddress(i int) string { return fmt.Sprintf("127.0.1.%d:8080", i+1) }
func clusterAddress(i int) string    { return fmt.Sprintf("127.0.1.%d:8081", i+1) }
func stateAddress(i int) string      { return fmt.Sprintf("127.0.2.%d:2379", i+1) }
func cloudAddress(i int) string      { return fmt.Sprintf("127.0.2.%d:8443", i+1) }

// peerAddress is where controller i reaches j: a link's near end.
func peerAddress(i, j int) string { return fmt.Sprintf("127.0.3.%d:8081", 16*i+j+1) }

// command starts a process that ends with this one.
func childCommand(ctx context.Context, log io.Writer, name string, args ...string) *exec.Cmd {
	c := exec.CommandContext(ctx, name, args...)
	c.Stderr = log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return c
}

// controller is a process of the real program.
type controller struct {
	index        int
	name         string
	zone         string
	binary       string
	platformPath string // file
	settingsPath string // file
	logFile      *os.File
	processes    *sync.WaitGroup // of all processes

	mu              sync.Mutex
	cancel          context.CancelFunc
	pid             int // 0: it does not run
	unexpectedExits int // by itself
}

// start starts the process unless it runs.
func (c *controller) start(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pid != 0 {
		return nil
	}
	outer := ctx
	ctx, cancel := context.WithCancel(ctx)
	cmd := childCommand(ctx, c.logFile, c.binary, "--settings", c.settingsPath, "--config", c.platformPath)
	if err := cmd.Start(); err != nil {
		cancel()
		return fmt.Errorf("controller %s: %w", c.name, err)
	}
	c.cancel, c.pid = cancel, cmd.Process.Pid
	c.processes.Go(func() {
		_ = cmd.Wait()
		c.mu.Lock()
		alone := ctx.Err() == nil
		if alone {
			c.unexpectedExits++
		}
		c.pid = 0
		c.mu.Unlock()
		if alone && wait.For(ctx, restartDelay) {
			_ = c.start(outer)
		}
	})
	return nil
}

// restartAfter is until a controller that ended by itself is started again.
const restartDelay = time.Second

// kill ends the process without a word.
func (c *controller) kill() {
	c.mu.Lock()
	cancel := c.cancel
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (c *controller) runningPID() (pid int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pid
}

// platformFile is what the platform's file says to a controller.
func (c *controller) platformConfig(s *Settings, all []*controller, teams []Team) *config.Platform {
	p := &config.Platform{}
	p.Member, p.Zone = c.name, c.zone
	p.Listen, p.ClusterListen = controllerAddress(c.index), clusterAddress(c.index)
	for _, o := range all {
		if o != c {
			p.Peers = append(p.Peers, config.Peer{Member: o.name, Zone: o.zone, Endpoint: peerAddress(c.index, o.index)})
		}
	}
	p.Services.State, p.Services.Cloud = stateAddress(c.index), cloudAddress(c.index)
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
	q.Limits.CPU, q.Limits.MemMB, q.Limits.MaxConnections = 1, s.ControllerMemMB, s.ControllerConnections
	return p
}

// writeFiles writes the platform's file and the operators' settings of a controller.
func (c *controller) writeFiles(dir string, p *config.Platform) error {
	b, err := json.MarshalIndent(p, "", " ")
	if err != nil {
		return err
	}
	c.platformPath, c.settingsPath = filepath.Join(dir, c.name+".json"), filepath.Join(dir, c.name+".sexp")
	if err := os.WriteFile(c.platformPath, b, 0o600); err != nil {
		return err
	}
	// Machines stay: what is measured is the fleet at its size.
	return os.WriteFile(c.settingsPath, []byte("{:idle-return-s 86400}\n"), 0o600)
}

// hostProcess is a process of workers, seen from the run.
type hostProcess struct {
	index      int
	realWorker bool
	pid        int
	capacity   int // workers

	mu       sync.Mutex
	commands *json.Encoder
	reserved int
	traffic  WorkerTraffic
}

// startHost starts a process of workers, whose events go to tell.
func startHost(ctx context.Context, group *sync.WaitGroup, log io.Writer, cfg HostConfig, real bool, most int, tell func(*hostProcess, Event)) (*hostProcess, error) {
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
		return nil, fmt.Errorf("workers' process %d: %w", cfg.Number, err)
	}
	if _, err := stdin.Write(append(bytes.TrimSpace(b), '\n')); err != nil {
		return nil, err
	}
	h := &hostProcess{index: cfg.Number, realWorker: real, pid: cmd.Process.Pid, capacity: most, commands: json.NewEncoder(stdin)}
	group.Go(func() {
		dec := json.NewDecoder(bufio.NewReader(stdout))
		for {
			var e Event
			if dec.Decode(&e) != nil {
				break
			}
			tell(h, e)
		}
		_ = cmd.Wait()
	})
	return h, nil
}

// do has the process carry out a command.
func (h *hostProcess) send(c Command) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.commands.Encode(&c)
}

// takes reserves a place for one more worker, if there is one.
func (h *hostProcess) reserve() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reserved >= h.capacity {
		return false
	}
	h.reserved++
	return true
}

// remoteWorker is a worker in another process.
type remoteWorker struct {
	host    *hostProcess
	machine simulator.MachineInfo
}

// Die ends the machine.
func (r *remoteWorker) Terminate() {
	r.host.send(Command{Kind: CommandKill, Place: r.machine})
	r.host.mu.Lock()
	r.host.reserved--
	r.host.mu.Unlock()
}

// ReadHostConfig reads what a process of workers is started with: the first line of its
// input. What follows are commands.
func ReadHostConfig(in *bufio.Reader) (HostConfig, error) {
	var cfg HostConfig
	line, err := in.ReadBytes('\n')
	if err != nil {
		return cfg, fmt.Errorf("configuration: %w", err)
	}
	return cfg, json.Unmarshal(line, &cfg)
}
