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

// Spec is a job as a user of the stand-in world submits it.
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

	RunS   float64         `msgpack:"-"`
	RunOf  map[int]float64 `msgpack:"-"` // of single tasks
	Broken bool            `msgpack:"-"` // fails on every machine
}

// Node is a controller of the world.
type Node struct {
	Name                   string
	Zone                   string
	addr                   string
	peerAddr               string // where the others reach it
	nomadAddr              string // where Nomad's clients do
	gate                   *logGate
	cancel                 context.CancelFunc
	listener, peerListener net.Listener
	nomadListener          net.Listener // nil: Nomad's clients are not served
	node                   *node.Node
}

// World is a deployment of stand-ins round real controllers.
type World struct {
	Net          *Net
	State        *State
	StateFaults  *Faults
	Cloud        *Cloud
	CloudFaults  *Faults
	WorkerFaults *Faults
	NodeFaults   []*Faults // of what each node serves
	Nodes        []*Node
	Log          *slog.Logger
	Settings     config.Settings // of the nodes that are started from now on
	RestartDelay time.Duration   // until a node that ended with a request is started again

	ctx                                             context.Context
	cancel                                          context.CancelFunc
	platform                                        config.Platform
	leaseTTL, reportInterval                        time.Duration
	gangWaitTimeout, gangPeerTimeout, cancelTimeout time.Duration

	nodesMu sync.Mutex // nodes start and end
	closed  bool       // none starts any more

	mu             sync.Mutex
	onUserState    func(id string) // see Looks
	onLastTaskDone func(id string) // see Last
	specs          map[string]*Spec
	nativeJobs     map[string][]string // native jobs of job files that a machine has run, by team/name
	gangs          map[string]*gangState
	checker        *worldChecker
	userRequests   int
}

type gangState struct {
	ready   map[*workerTask]*Worker
	running bool
	ended   bool // a task has left
	done    bool // it was done
}

// Addresses of the services.
const (
	stateAddr = "10.2.0.1:2379"
	cloudAddr = "10.2.0.2:8443"
)

// NewWorld starts services and nodes. It must be called in a bubble of fake
// time, and closed there.
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

// StartNode starts a node's process unless it runs.
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
	n.cancel, n.node = cancel, nd
	go nd.Run(ctx)
	n.listener = w.Net.Serve(n.addr, w.NodeFaults[i].Wrap(httpapi.Handler(nd)))
	n.nomadListener = nil
	if w.Settings.Nomad != nil {
		n.nomadListener = w.Net.Serve(n.nomadAddr, nomadapi.Handler(nd, w.Settings.Nomad, slog.New(n.gate)))
	}
	n.peerListener = w.Net.Listen(n.peerAddr)
	go func() { _ = peer.Serve(n.peerListener, nd) }()
}

// LogTo has the nodes that are started from now on log to h, and beside them what the
// stand-ins do with tasks.
func (w *World) SetLogHandler(h slog.Handler) {
	w.Log = slog.New(h)
	for _, n := range w.Nodes {
		n.gate = newLogGate(h)
	}
}

// Freeze has a node stand still while its clocks run on, or lets it go on:
// nothing reaches it or leaves it, and whatever it wants to log waits.
func (w *World) Freeze(i int, frozen bool) {
	n := w.Nodes[i]
	n.gate.setClosed(frozen)
	w.Net.Freeze(n.addr, frozen)
	w.Net.Freeze(n.peerAddr, frozen)
}

// Leader is the node that leads, by the state service's record; -1 for none.
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

// gate is a log handler that can be shut: who logs then waits.
type logGate struct {
	slog.Handler
	mu     sync.Mutex
	opened *sync.Cond
	closed bool
}

func newLogGate(h slog.Handler) *logGate {
	g := &logGate{Handler: h}
	g.opened = sync.NewCond(&g.mu)
	return g
}

func (g *logGate) setClosed(shut bool) {
	g.mu.Lock()
	g.closed = shut
	g.opened.Broadcast()
	g.mu.Unlock()
}

// Enabled is asked for every line, also for those that are thrown away.
func (g *logGate) Enabled(ctx context.Context, l slog.Level) bool {
	g.mu.Lock()
	for g.closed {
		g.opened.Wait()
	}
	g.mu.Unlock()
	return g.Handler.Enabled(ctx, l)
}

// Kill ends a node's process without a word.
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

// endsWith ends the process of the node at an address, without a word, and starts it
// again at once.
func (w *World) crashNodeAt(at string) {
	for i, n := range w.Nodes {
		if n.addr == at {
			w.Kill(i)
			time.AfterFunc(w.RestartDelay, func() { w.StartNode(i) })
		}
	}
}

// Close ends everything.
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
	// Timers and retries that are under way end by themselves; a bubble of
	// fake time must not be left before.
	time.Sleep(5 * time.Minute)
}

// NodeAddr is a node's address.
func (w *World) NodeAddr(i int) string { return w.Nodes[i].addr }

// CutPeers cuts or mends the ways between the nodes, and nothing else.
func (w *World) BlockPeerLinks(cut bool) {
	for i := range w.Nodes {
		w.BlockPeerLinksOf(i, cut)
	}
}

// CutPeersOf cuts or mends the ways between a node and the others.
func (w *World) BlockPeerLinksOf(i int, cut bool) {
	for _, b := range w.Nodes {
		if a := w.Nodes[i]; a != b {
			w.Net.BlockLink(a.addr, b.peerAddr, cut)
			w.Net.BlockLink(b.addr, a.peerAddr, cut)
		}
	}
}

// StateAddr is the state service's address.
func (w *World) StateAddr() string { return stateAddr }

func (w *World) spec(id string) *Spec {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.specs[id]
}

func (w *World) allSpecs() map[string]*Spec {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.specs)
}

// gangJoined lets a gang run once all its tasks wait; the worker's lock is held.
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
	full := len(g.ready) == t.spec.Tasks && !g.running
	var members map[*workerTask]*Worker
	if full {
		g.running = true
		members = maps.Clone(g.ready) // a task may leave while the others begin
	}
	w.mu.Unlock()
	if !full {
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

// gangLeft lets the rest of a gang notice that a task leaves, and says why it
// does. The tasks of a gang complete together: if one is done, all are, and none
// is once another has gone.
func (w *World) gangLeft(t *workerTask, why string) string {
	if t.spec == nil || t.spec.Shape != "ensemble" {
		return why
	}
	job, _, _ := strings.Cut(t.Task, "/")
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.gangs[fmt.Sprintf("%s#%d", job, t.Attempt)]
	if g == nil {
		return why
	}
	delete(g.ready, t)
	if g.ended && !g.done && why == "done" {
		return "mates_gone"
	}
	if !g.running || g.ended {
		return why
	}
	g.ended = true
	after, with := w.gangPeerTimeout/2, "mates_gone"
	if why == "done" {
		after, with, g.done = 0, "done", true
		for i := range t.spec.Tasks {
			w.checker.TaskDone(wire.TaskName(job, i), nil)
		}
	}
	for o, k := range g.ready {
		time.AfterFunc(after, func() { k.exitFromTimer(o, with, false) })
	}
	return why
}

// request sends one request of a user's and returns status and body.
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

// next is the node that the load balancer chooses.
func (w *World) nextNodeAddr() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.userRequests++
	return w.Nodes[w.userRequests%len(w.Nodes)].addr
}

// Post submits a body once to a node and returns the status.
func (w *World) PostJob(i int, body any) int {
	b, _ := wire.Marshal(body)
	status, _ := w.request(http.MethodPost, w.Nodes[i].addr, wire.JobsPath, b, 5*time.Second)
	return status
}

// Submit submits a job as a user does, with retries, and reports whether it
// was accepted.
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

// Poll asks once and returns what the user is told; "" for no answer.
func (w *World) Poll(id string) string { return w.pollAddr(w.nextNodeAddr(), id) }

// PollAt asks one node.
func (w *World) PollAt(i int, id string) string { return w.pollAddr(w.Nodes[i].addr, id) }

func (w *World) pollAddr(at, id string) string {
	before := w.checker.LastObserved(id)
	status, b := w.request(http.MethodGet, at, wire.JobsPath+"/"+id, nil, 2*time.Second)
	return w.noteAnswer(id, status, b, before)
}

// answered is what a user is told of a job by an answer; "" for nothing.
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

// Repeat submits a job once more at one node, with another body if one is given, and
// returns the status and what the user is told.
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

// CancelAt asks one node once to cancel a job and returns what the user is told.
func (w *World) CancelAt(i int, id string) string {
	w.checker.CancelRequested(id)
	before := w.checker.LastObserved(id)
	status, b := w.request(http.MethodPost, w.Nodes[i].addr, wire.JobsPath+"/"+id+"/"+wire.CancelSuffix, nil, 5*time.Second)
	return w.noteAnswer(id, status, b, before)
}

// ReportCopy has a copy of a worker's report arrive at a node and returns how that is
// answered: the worker does not learn of it.
func (w *World) SendReportCopy(i int, body []byte) int {
	status, _ := w.request(http.MethodPost, w.Nodes[i].addr, wire.ReportPath, body, 4*time.Second)
	return status
}

// Await polls until the job is in the state, and reports whether it came there.
func (w *World) AwaitState(id, state string, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); {
		switch w.Poll(id) {
		case state:
			return true
		case "aborted":
			return false // for good
		}
		time.Sleep(time.Second)
	}
	return false
}

// Cancel cancels a job as a user does and returns its state, "" if it could
// not be cancelled.
func (w *World) Cancel(id string) string {
	w.checker.CancelRequested(id)
	before := w.checker.LastObserved(id)
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); {
		status, b := w.request(http.MethodPost, w.nextNodeAddr(), wire.JobsPath+"/"+id+"/"+wire.CancelSuffix, nil, 5*time.Second)
		if told := w.noteAnswer(id, status, b, before); told != "" && told != "unknown" {
			return told
		}
		time.Sleep(time.Second)
	}
	return ""
}

// Looks has f called right after a user was told that a job is accepted, done or cancelled;
// nil: nothing.
func (w *World) OnUserState(f func(id string)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onUserState = f
}

// Last has f called as the last task of a job is done; nil: nothing.
func (w *World) OnLastTaskDone(f func(id string)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onLastTaskDone = f
}

func (w *World) notifyUserState(id string) {
	w.mu.Lock()
	f := w.onUserState
	w.mu.Unlock()
	if f != nil {
		f(id)
	}
}

func (w *World) notifyLastTaskDone(id string) {
	w.mu.Lock()
	f := w.onLastTaskDone
	w.mu.Unlock()
	if f != nil {
		f(id)
	}
}

// Fail notes a rule that a user found broken.
func (w *World) ReportViolation(format string, args ...any) {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	w.checker.reportViolation(format, args...)
}

// Known lists the jobs that users know to be accepted, with the last final state told.
func (w *World) AcceptedJobs() map[string]string {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	out := map[string]string{}
	for id := range w.checker.accepted {
		out[id] = w.checker.finalStates[id]
	}
	return out
}

// SetLimit has the rules go by other limits of teams than the platform's file has.
func (w *World) SetTeamLimit(limit func(team string) Limit) {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	w.checker.Limit = limit
}

// Broken lists the rules that were broken.
func (w *World) Violations() []string { return w.checker.Violations() }
