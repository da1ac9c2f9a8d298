package simulator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"aspenstall/internal/config"
	"aspenstall/internal/httpapi"
	"aspenstall/internal/node"
	nomadapi "aspenstall/internal/nomad/httpapi"
	"aspenstall/internal/peer"
)

// Spec is a job as a simulated user submits it. The fields without a name in msgpack are known to
// the simulation only.
type Spec struct {
	ID          string  `msgpack:"uid"`
	Class       string  `msgpack:"herd"`
	Team        string  `msgpack:"crew"`
	Shape       string  `msgpack:"shape"`
	Urgency     string  `msgpack:"urgency"`
	Tasks       int     `msgpack:"lots"`
	CPUs        float64 `msgpack:"cores"`
	GPUs        float64 `msgpack:"gpus"`
	MemGB       float64 `msgpack:"ram_gb"`
	Image       string  `msgpack:"bundle"`
	ImageGB     float64 `msgpack:"image_gb"`
	Types       any     `msgpack:"breeds"`
	Zone        any     `msgpack:"paddock"`
	OneZone     bool    `msgpack:"together"`
	Spread      bool    `msgpack:"scatter"`
	Spot        bool    `msgpack:"loaners"`
	EstimateS   float64 `msgpack:"expect_s"`
	CheckpointS float64 `msgpack:"pin_every_s"`
	SaveS       float64 `msgpack:"pin_cost_s"`
	DueS        any     `msgpack:"due_s"`

	Awaits []string `msgpack:"awaits,omitempty"` // the jobs that have to be done before

	RunS   float64         `msgpack:"-"` // the real run time of a task
	RunOf  map[int]float64 `msgpack:"-"` // run times by task index, in place of RunS
	Broken bool            `msgpack:"-"` // its tasks fail on every machine
}

// Node is a controller of a World.
type Node struct {
	Name                   string
	Zone                   string
	addr                   string
	peerAddr               string // where the other controllers reach it
	nomadAddr              string // where Nomad clients reach it
	gate                   *logGate
	cancel                 context.CancelFunc
	listener, peerListener net.Listener
	nomadListener          net.Listener // nil if Nomad clients are not served
	node                   *node.Node
}

// World is a deployment of real controllers with simulated services, machines and users.
type World struct {
	Net          *Net
	State        *State
	StateFaults  *Faults
	Cloud        *Cloud
	CloudFaults  *Faults
	WorkerFaults *Faults
	NodeFaults   []*Faults // faults of the requests that each node serves
	Nodes        []*Node
	Log          *slog.Logger
	Settings     config.Settings // for nodes that are started from now on
	RestartDelay time.Duration   // the time until a node that crashed during a request is restarted

	ctx                                             context.Context
	cancel                                          context.CancelFunc
	platform                                        config.Platform
	leaseTTL, reportInterval                        time.Duration
	gangWaitTimeout, gangPeerTimeout, cancelTimeout time.Duration

	nodesMu sync.Mutex // held while a node is started or ended
	closed  bool       // no node is started any more

	mu             sync.Mutex
	onUserState    func(id string) // see OnUserState
	onLastTaskDone func(id string) // see OnLastTaskDone
	specs          map[string]*Spec
	nativeJobs     map[string][]string // native jobs whose descriptions machines have read, by team/name
	gangs          map[string]*gangState
	checker        *worldChecker
	userRequests   int
}

// Addresses of the services.
const (
	stateAddr = "10.2.0.1:2379"
	cloudAddr = "10.2.0.2:8443"
)

// NewWorld starts the simulated services and sets up three nodes, which StartNode starts. It must
// be called, and the world closed, in a synctest bubble.
func NewWorld(seed uint64, p config.Platform, types []MachineType) *World {
	ctx, cancel := context.WithCancel(context.Background())
	sec := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	w := &World{
		Net: NewNet(), State: NewState(p.Params.State.TxnOps), StateFaults: NewFaults(seed),
		CloudFaults: NewFaults(seed + 1), WorkerFaults: NewFaults(seed + 2),
		Settings: config.DefaultSettings(),
		Log:      slog.New(slog.NewTextHandler(io.Discard, nil)), ctx: ctx, cancel: cancel, platform: p,
		leaseTTL: sec(p.Params.Workers.LeaseS), reportInterval: sec(p.Params.Workers.ReportS),
		gangWaitTimeout: sec(p.Params.Workers.GangWaitS), gangPeerTimeout: sec(p.Params.Workers.GangPeerS),
		cancelTimeout: sec(p.Params.Workers.CancelS),
		specs:         map[string]*Spec{}, nativeJobs: map[string][]string{}, gangs: map[string]*gangState{},
	}
	w.checker = newWorldChecker(w)
	byClient := func(r *http.Request) { w.crashNodeAt(r.RemoteAddr) }
	w.StateFaults.crashNode, w.CloudFaults.crashNode, w.WorkerFaults.crashNode = byClient, byClient, byClient
	address := func(n int, _ string) string { return fmt.Sprintf("10.1.0.%d:9000", n) }
	w.Cloud = NewCloud(types, 100, address, func(m MachineInfo, at string, t *MachineType) MachineProcess {
		if w.ctx.Err() != nil {
			return nil
		}
		return StartWorker(worldEnvironment{w}, at, m, t)
	})
	w.Net.Serve(stateAddr, w.StateFaults.Wrap(w.State))
	w.Net.Serve(cloudAddr, w.CloudFaults.Wrap(w.Cloud))
	for i, zone := range []string{"a", "b", "c"} {
		n := &Node{
			Name: fmt.Sprintf("node-%d", i), Zone: zone,
			addr: fmt.Sprintf("10.0.0.%d:8080", i+1), peerAddr: fmt.Sprintf("10.0.0.%d:8081", i+1),
			nomadAddr: fmt.Sprintf("10.0.0.%d:4646", i+1),
		}
		n.gate = newLogGate(w.Log.Handler())
		w.Net.SetZone(n.addr, zone)
		w.Net.SetZone(n.peerAddr, zone)
		w.Net.SetZone(n.nomadAddr, zone)
		w.Nodes = append(w.Nodes, n)
		f := NewFaults(seed + 10 + uint64(i))
		f.crashNode = func(*http.Request) { w.crashNodeAt(n.addr) }
		w.NodeFaults = append(w.NodeFaults, f)
	}
	go w.checker.checkPeriodically()
	return w
}

// StartNode starts a node's process unless it is running.
func (w *World) StartNode(i int) {
	w.nodesMu.Lock()
	defer w.nodesMu.Unlock()
	n := w.Nodes[i]
	if n.cancel != nil || w.closed {
		return
	}
	p := w.platform
	p.Member, p.Zone, p.Listen = n.Name, n.Zone, n.addr
	for _, o := range w.Nodes {
		if o != n {
			p.Peers = append(p.Peers, config.Peer{Member: o.Name, Zone: o.Zone, Endpoint: o.peerAddr})
		}
	}
	p.Services.State, p.Services.Cloud = stateAddr, cloudAddr
	ctx, cancel := context.WithCancel(w.ctx)
	nd := node.New(&p, w.Settings, slog.New(n.gate).With("node", n.Name), w.Net.Dialer(n.addr))
	nd.ObserveCommits(w.State.TransactionSent)
	n.cancel, n.node = cancel, nd
	go nd.Run(ctx)
	n.listener = w.Net.Serve(n.addr, w.NodeFaults[i].Wrap(httpapi.Handler(nd)))
	n.nomadListener = nil
	if w.Settings.Nomad != nil {
		n.nomadListener = w.Net.Serve(n.nomadAddr, nomadapi.Handler(nd, w.Settings.Nomad, nomadapi.NewRenderLimits(&w.platform), slog.New(n.gate)))
	}
	n.peerListener = w.Net.Listen(n.peerAddr)
	go func() { _ = peer.Serve(n.peerListener, nd) }()
}

// SetLogHandler sets the log handler of the nodes that are started from now on, and of the
// simulation's own log.
func (w *World) SetLogHandler(h slog.Handler) {
	w.Log = slog.New(h)
	for _, n := range w.Nodes {
		n.gate = newLogGate(h)
	}
}

// Freeze pauses a node's process while its clocks run on, or resumes it. Packets to and from the
// node are held back, and goroutines that log block.
func (w *World) Freeze(i int, frozen bool) {
	n := w.Nodes[i]
	n.gate.setClosed(frozen)
	w.Net.Freeze(n.addr, frozen)
	w.Net.Freeze(n.peerAddr, frozen)
	w.Net.Freeze(n.nomadAddr, frozen)
}

// Healthy reports whether a node's process can take requests.
func (w *World) Healthy(i int) bool {
	w.nodesMu.Lock()
	defer w.nodesMu.Unlock()
	n := w.Nodes[i]
	return n.cancel != nil && n.node.Healthy()
}

// Leader returns the index of the leader according to the state service's record, or -1 if there is
// none.
func (w *World) Leader() int {
	e, ok := w.State.Get("c/leader")
	if !ok {
		return -1
	}
	for i, n := range w.Nodes {
		if bytes.Contains(e.Value, []byte(n.Name)) {
			return i
		}
	}
	return -1
}

// Kill ends a node's process as a crash does.
func (w *World) Kill(i int) {
	w.nodesMu.Lock()
	defer w.nodesMu.Unlock()
	n := w.Nodes[i]
	if n.cancel == nil {
		return
	}
	n.cancel()
	n.cancel = nil
	_ = n.listener.Close()
	_ = n.peerListener.Close()
	if n.nomadListener != nil {
		_ = n.nomadListener.Close()
	}
	w.Net.DropHost(n.addr)
	w.Net.DropHost(n.nomadAddr)
	w.Net.DropHost(n.peerAddr)
}

// crashNodeAt crashes the process of the node at an address, and restarts it after RestartDelay.
func (w *World) crashNodeAt(at string) {
	for i, n := range w.Nodes {
		if n.addr == at {
			w.Kill(i)
			time.AfterFunc(w.RestartDelay, func() { w.StartNode(i) })
		}
	}
}

// Close ends all nodes, machines and services.
func (w *World) Close() {
	w.nodesMu.Lock()
	w.closed = true
	w.nodesMu.Unlock()
	for i := range w.Nodes {
		w.Kill(i)
	}
	for _, k := range w.Cloud.Workers() {
		k.Terminate()
	}
	w.cancel()
	w.Net.Close()
	// Pending timers and retries end by themselves. The synctest bubble must not be left before
	// that.
	time.Sleep(5 * time.Minute)
}

// NodeAddr returns a node's address.
func (w *World) NodeAddr(i int) string { return w.Nodes[i].addr }

// BlockPeerLinks blocks or unblocks the links between all nodes, and no others.
func (w *World) BlockPeerLinks(blocked bool) {
	for i := range w.Nodes {
		w.BlockPeerLinksOf(i, blocked)
	}
}

// BlockPeerLinksOf blocks or unblocks the links between a node and the other nodes.
func (w *World) BlockPeerLinksOf(i int, blocked bool) {
	for _, b := range w.Nodes {
		if a := w.Nodes[i]; a != b {
			w.Net.BlockLink(a.addr, b.peerAddr, blocked)
			w.Net.BlockLink(b.addr, a.peerAddr, blocked)
		}
	}
}

// StateAddr returns the state service's address.
func (w *World) StateAddr() string { return stateAddr }

// spec returns a job that users submitted or machines read, or nil.
func (w *World) spec(id string) *Spec {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.specs[id]
}

// allSpecs returns a copy of the jobs by ID.
func (w *World) allSpecs() map[string]*Spec {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.specs)
}

// ReportViolation records a violation that a test found.
func (w *World) ReportViolation(format string, args ...any) {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	w.checker.reportViolation(format, args...)
}

// AcceptedJobs returns the jobs that users were told are accepted, each with the last final state
// that they were told, or "".
func (w *World) AcceptedJobs() map[string]string {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	out := map[string]string{}
	for id := range w.checker.accepted {
		out[id] = w.checker.finalStates[id]
	}
	return out
}

// SetTeamLimit replaces the team limits of the platform file in the checks.
func (w *World) SetTeamLimit(limit func(team string) Limit) {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	w.checker.Limit = limit
}

// Violations returns the recorded violations, at most 20.
func (w *World) Violations() []string { return w.checker.Violations() }
