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
	"strings"
	"sync"
	"time"

	"aspenstall/internal/config"
	"aspenstall/internal/httpapi"
	"aspenstall/internal/node"
	nomadapi "aspenstall/internal/nomad/httpapi"
	"aspenstall/internal/peer"
	"aspenstall/internal/wire"
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

// gangState is the state of one attempt of a gang.
type gangState struct {
	ready   map[*workerTask]*Worker // tasks that wait for the others, or run
	running bool
	ended   bool // a task has exited
	done    bool // the tasks were done
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

// logGate is a log handler that can be closed. Goroutines that log while it is closed block until
// it is open again.
type logGate struct {
	slog.Handler
	mu     sync.Mutex
	opened *sync.Cond
	closed bool
}

// newLogGate returns an open gate in front of a handler.
func newLogGate(h slog.Handler) *logGate {
	g := &logGate{Handler: h}
	g.opened = sync.NewCond(&g.mu)
	return g
}

// setClosed closes or opens the gate.
func (g *logGate) setClosed(closed bool) {
	g.mu.Lock()
	g.closed = closed
	g.opened.Broadcast()
	g.mu.Unlock()
}

// Enabled blocks while the gate is closed. slog calls it for each log line, also for those that are
// discarded.
func (g *logGate) Enabled(ctx context.Context, l slog.Level) bool {
	g.mu.Lock()
	for g.closed {
		g.opened.Wait()
	}
	g.mu.Unlock()
	return g.Handler.Enabled(ctx, l)
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

// gangJoined records that a gang's task waits for the others, and lets the gang run once all its
// tasks wait; the worker's lock is held.
func (w *World) gangJoined(t *workerTask, k *Worker) {
	job, _, _ := strings.Cut(t.Task, "/")
	key := fmt.Sprintf("%s#%d", job, t.Attempt)
	w.mu.Lock()
	g := w.gangs[key]
	if g == nil {
		g = &gangState{ready: map[*workerTask]*Worker{}}
		w.gangs[key] = g
	}
	g.ready[t] = k
	complete := len(g.ready) == t.spec.Tasks && !g.running
	var members map[*workerTask]*Worker
	if complete {
		g.running = true
		members = maps.Clone(g.ready) // a task may exit while the others begin to run
	}
	w.mu.Unlock()
	if !complete {
		return
	}
	go func() {
		for t, k := range members {
			k.mu.Lock()
			if t.State == "gathering" {
				t.timer.Stop()
				k.runTask(t)
			}
			k.mu.Unlock()
			k.reportSoon()
		}
	}()
}

// gangLeft records that a gang's task exits, lets the other tasks exit too, and returns the cause
// that the worker reports. The tasks of a gang complete together: if one is done, all are, and no
// task is done after another has exited with a failure. The worker's lock is held.
func (w *World) gangLeft(t *workerTask, cause string) string {
	if t.spec == nil || t.spec.Shape != "ensemble" {
		return cause
	}
	job, _, _ := strings.Cut(t.Task, "/")
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.gangs[fmt.Sprintf("%s#%d", job, t.Attempt)]
	if g == nil {
		return cause
	}
	delete(g.ready, t)
	if g.ended && !g.done && cause == "done" {
		return "mates_gone"
	}
	if !g.running || g.ended {
		return cause
	}
	g.ended = true
	delay, peerCause := w.gangPeerTimeout/2, "mates_gone"
	if cause == "done" {
		delay, peerCause, g.done = 0, "done", true
		for i := range t.spec.Tasks {
			w.checker.TaskDone(wire.TaskName(job, i), nil)
		}
	}
	for o, k := range g.ready {
		time.AfterFunc(delay, func() { k.exitFromTimer(o, peerCause, false) })
	}
	return cause
}

// request sends one user request and returns the response's status and body; the status is 0 if
// there is no response.
func (w *World) request(method, at, path string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Close = true
	return Exchange(w.Net.Client("user"), req)
}

// nextNodeAddr returns the address of the next node in turn, as a load balancer would.
func (w *World) nextNodeAddr() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.userRequests++
	return w.Nodes[w.userRequests%len(w.Nodes)].addr
}

// PostJob submits a job's body once to one node and returns the response's status, 0 for none. The
// checker is not informed.
func (w *World) PostJob(i int, body any) int {
	b, _ := wire.Marshal(body)
	status, _ := w.request(http.MethodPost, w.Nodes[i].addr, wire.JobsPath, b, 5*time.Second)
	return status
}

// Submit submits a job as a user does, with retries for 60 s, and reports whether it was accepted.
func (w *World) Submit(s Spec) bool {
	w.mu.Lock()
	w.specs[s.ID] = &s
	w.mu.Unlock()
	b, _ := wire.Marshal(&s)
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end) && w.ctx.Err() == nil; {
		status, _ := w.request(http.MethodPost, w.nextNodeAddr(), wire.JobsPath, b, 5*time.Second)
		switch status {
		case http.StatusOK, http.StatusCreated:
			w.checker.JobAccepted(s.ID)
			w.notifyUserState(s.ID)
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			w.checker.JobRefused(s.ID, status)
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// Poll requests a job's state once from the next node, and returns the state that the user is told:
// "" if there was no answer, "unknown" if there is no such job.
func (w *World) Poll(id string) string { return w.pollAddr(w.nextNodeAddr(), id) }

// PollAt is like Poll, but sends the request to a given node.
func (w *World) PollAt(i int, id string) string { return w.pollAddr(w.Nodes[i].addr, id) }

// pollAddr requests a job's state once from an address.
func (w *World) pollAddr(at, id string) string {
	before := w.checker.LastObserved(id)
	status, b := w.request(http.MethodGet, at, wire.JobsPath+"/"+id, nil, 2*time.Second)
	return w.noteAnswer(id, status, b, before)
}

// noteAnswer passes an answer about a job to the checker and returns the state that the user is
// told, as Poll does. before is what had been observed when the request was sent.
func (w *World) noteAnswer(id string, status int, body []byte, before ObservedState) string {
	var s wire.JobState
	switch {
	case (status == http.StatusOK || status == http.StatusCreated) && wire.Unmarshal(body, &s) == nil:
		w.checker.noteState(id, s.State, before)
		return s.State
	case status == http.StatusNotFound:
		w.checker.noteState(id, "unknown", before)
		return "unknown"
	}
	w.checker.noteUnanswered(id)
	return ""
}

// Resubmit submits a job again to one node, with another body if one is given, and returns the
// response's status and the state that the user is told.
func (w *World) Resubmit(i int, id string, body any) (int, string) {
	if body == nil {
		body = w.spec(id)
	}
	before := w.checker.LastObserved(id)
	b, _ := wire.Marshal(body)
	status, answer := w.request(http.MethodPost, w.Nodes[i].addr, wire.JobsPath, b, 5*time.Second)
	if before.accepted && (status == http.StatusBadRequest || status == http.StatusUnprocessableEntity) {
		w.checker.JobRefused(id, status)
	}
	if status == http.StatusCreated && before.accepted {
		w.checker.acceptedTwice(id)
	}
	return status, w.noteAnswer(id, status, answer, before)
}

// CancelAt sends one request to cancel a job to one node, and returns the state that the user is
// told.
func (w *World) CancelAt(i int, id string) string {
	w.checker.CancelRequested(id)
	before := w.checker.LastObserved(id)
	status, b := w.request(http.MethodPost, w.Nodes[i].addr, wire.JobsPath+"/"+id+"/"+wire.CancelSuffix, nil, 5*time.Second)
	return w.noteAnswer(id, status, b, before)
}

// SendReportCopy sends a copy of a worker's report to a node and returns the response's status. The
// worker does not get the response.
func (w *World) SendReportCopy(i int, body []byte) int {
	status, _ := w.request(http.MethodPost, w.Nodes[i].addr, wire.ReportPath, body, 4*time.Second)
	return status
}

// AwaitState polls until the job is in the state, and reports whether it was within the time.
func (w *World) AwaitState(id, state string, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); {
		switch w.Poll(id) {
		case state:
			return true
		case "aborted":
			return false // cancelled: the state is final
		}
		time.Sleep(time.Second)
	}
	return false
}

// Cancel cancels a job as a user does, with retries for 60 s, and returns its state, or "" if no
// request was answered.
func (w *World) Cancel(id string) string {
	w.checker.CancelRequested(id)
	before := w.checker.LastObserved(id)
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); {
		status, b := w.request(http.MethodPost, w.nextNodeAddr(), wire.JobsPath+"/"+id+"/"+wire.CancelSuffix, nil, 5*time.Second)
		if state := w.noteAnswer(id, status, b, before); state != "" && state != "unknown" {
			return state
		}
		time.Sleep(time.Second)
	}
	return ""
}

// OnUserState sets a function that is called right after a user was told that a job is accepted,
// done or cancelled. nil removes it.
func (w *World) OnUserState(f func(id string)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onUserState = f
}

// OnLastTaskDone sets a function that is called when the last task of a job is done. nil removes
// it.
func (w *World) OnLastTaskDone(f func(id string)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onLastTaskDone = f
}

// notifyUserState calls the function that OnUserState set.
func (w *World) notifyUserState(id string) {
	w.mu.Lock()
	f := w.onUserState
	w.mu.Unlock()
	if f != nil {
		f(id)
	}
}

// notifyLastTaskDone calls the function that OnLastTaskDone set.
func (w *World) notifyLastTaskDone(id string) {
	w.mu.Lock()
	f := w.onLastTaskDone
	w.mu.Unlock()
	if f != nil {
		f(id)
	}
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
