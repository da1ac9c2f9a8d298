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
	Name   string
	Zone   string
	addr   string
	peers  string // where the others reach it
	nomad  string // where Nomad's clients do
	gate   *gate
	cancel context.CancelFunc
	l, pl  net.Listener
	nl     net.Listener // nil: Nomad's clients are not served
	nd     *node.Node
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
	BackIn       time.Duration   // until a node that ended with a request is started again

	ctx                           context.Context
	cancel                        context.CancelFunc
	platform                      config.Platform
	lease, reportGap              time.Duration
	gangWait, gangPeers, cancelIn time.Duration

	nodesMu sync.Mutex // nodes start and end
	closed  bool       // none starts any more

	mu    sync.Mutex
	looks func(id string) // see Looks
	last  func(id string) // see Last
	specs map[string]*Spec
	files map[string][]string // native jobs of job files that a machine has run, by team/name
	gangs map[string]*gang
	check *checker
	users int
}

type gang struct {
	ready   map[*lot]*Worker
	running bool
	over    bool // a task has left
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
		lease: sec(p.Params.Workers.LeaseS), reportGap: sec(p.Params.Workers.ReportS),
		gangWait: sec(p.Params.Workers.GangWaitS), gangPeers: sec(p.Params.Workers.GangPeerS),
		cancelIn: sec(p.Params.Workers.CancelS),
		specs:    map[string]*Spec{}, files: map[string][]string{}, gangs: map[string]*gang{},
	}
	w.check = newChecker(w)
	byClient := func(r *http.Request) { w.endsWith(r.RemoteAddr) }
	w.StateFaults.ends, w.CloudFaults.ends, w.WorkerFaults.ends = byClient, byClient, byClient
	address := func(n int, _ string) string { return fmt.Sprintf("10.1.0.%d:9000", n) }
	w.Cloud = NewCloud(types, 100, address, func(m Place, at string, t *MachineType) Running {
		if w.ctx.Err() != nil {
			return nil
		}
		return StartWorker(worldSite{w}, at, m, t)
	})
	w.Net.Serve(stateAddr, w.StateFaults.Wrap(w.State))
	w.Net.Serve(cloudAddr, w.CloudFaults.Wrap(w.Cloud))
	for i, zone := range []string{"a", "b", "c"} {
		n := &Node{
			Name: fmt.Sprintf("node-%d", i), Zone: zone,
			addr: fmt.Sprintf("10.0.0.%d:8080", i+1), peers: fmt.Sprintf("10.0.0.%d:8081", i+1),
			nomad: fmt.Sprintf("10.0.0.%d:4646", i+1),
		}
		n.gate = newGate(w.Log.Handler())
		w.Net.Place(n.addr, zone)
		w.Net.Place(n.peers, zone)
		w.Net.Place(n.nomad, zone)
		w.Nodes = append(w.Nodes, n)
		f := NewFaults(seed + 10 + uint64(i))
		f.ends = func(*http.Request) { w.endsWith(n.addr) }
		w.NodeFaults = append(w.NodeFaults, f)
	}
	go w.check.watch()
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
			p.Peers = append(p.Peers, config.Peer{Member: o.Name, Zone: o.Zone, Endpoint: o.peers})
		}
	}
	p.Services.State, p.Services.Cloud = stateAddr, cloudAddr
	ctx, cancel := context.WithCancel(w.ctx)
	nd := node.New(&p, w.Settings, slog.New(n.gate).With("node", n.Name), w.Net.Dialer(n.addr))
	n.cancel, n.nd = cancel, nd
	go nd.Run(ctx)
	n.l = w.Net.Serve(n.addr, w.NodeFaults[i].Wrap(httpapi.Handler(nd)))
	n.nl = nil
	if w.Settings.Nomad != nil {
		n.nl = w.Net.Serve(n.nomad, nomadapi.Handler(nd, w.Settings.Nomad, slog.New(n.gate)))
	}
	n.pl = w.Net.Listen(n.peers)
	go func() { _ = peer.Serve(n.pl, nd) }()
}

// LogTo has the nodes that are started from now on log to h, and beside them what the
// stand-ins do with tasks.
func (w *World) LogTo(h slog.Handler) {
	w.Log = slog.New(h)
	for _, n := range w.Nodes {
		n.gate = newGate(h)
	}
}

// Freeze has a node stand still while its clocks run on, or lets it go on:
// nothing reaches it or leaves it, and whatever it wants to log waits.
func (w *World) Freeze(i int, frozen bool) {
	n := w.Nodes[i]
	n.gate.set(frozen)
	w.Net.Still(n.addr, frozen)
	w.Net.Still(n.peers, frozen)
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
type gate struct {
	slog.Handler
	mu   sync.Mutex
	open *sync.Cond
	shut bool
}

func newGate(h slog.Handler) *gate {
	g := &gate{Handler: h}
	g.open = sync.NewCond(&g.mu)
	return g
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	g.shut = shut
	g.open.Broadcast()
	g.mu.Unlock()
}

// Enabled is asked for every line, also for those that are thrown away.
func (g *gate) Enabled(ctx context.Context, l slog.Level) bool {
	g.mu.Lock()
	for g.shut {
		g.open.Wait()
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
	_ = n.l.Close()
	_ = n.pl.Close()
	if n.nl != nil {
		_ = n.nl.Close()
	}
	w.Net.Drop(n.addr)
	w.Net.Drop(n.nomad)
	w.Net.Drop(n.peers)
}

// endsWith ends the process of the node at an address, without a word, and starts it
// again at once.
func (w *World) endsWith(at string) {
	for i, n := range w.Nodes {
		if n.addr == at {
			w.Kill(i)
			time.AfterFunc(w.BackIn, func() { w.StartNode(i) })
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
		k.Die()
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
func (w *World) CutPeers(cut bool) {
	for i := range w.Nodes {
		w.CutPeersOf(i, cut)
	}
}

// CutPeersOf cuts or mends the ways between a node and the others.
func (w *World) CutPeersOf(i int, cut bool) {
	for _, b := range w.Nodes {
		if a := w.Nodes[i]; a != b {
			w.Net.Cut(a.addr, b.peers, cut)
			w.Net.Cut(b.addr, a.peers, cut)
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
func (w *World) gangJoined(t *lot, k *Worker) {
	job, _, _ := strings.Cut(t.Task, "/")
	key := fmt.Sprintf("%s#%d", job, t.Attempt)
	w.mu.Lock()
	g := w.gangs[key]
	if g == nil {
		g = &gang{ready: map[*lot]*Worker{}}
		w.gangs[key] = g
	}
	g.ready[t] = k
	full := len(g.ready) == t.spec.Tasks && !g.running
	var members map[*lot]*Worker
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
				k.run(t)
			}
			k.mu.Unlock()
			k.poke()
		}
	}()
}

// gangLeft lets the rest of a gang notice that a task leaves, and says why it
// does. The tasks of a gang complete together: if one is done, all are, and none
// is once another has gone.
func (w *World) gangLeft(t *lot, why string) string {
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
	if g.over && !g.done && why == "done" {
		return "mates_gone"
	}
	if !g.running || g.over {
		return why
	}
	g.over = true
	after, with := w.gangPeers/2, "mates_gone"
	if why == "done" {
		after, with, g.done = 0, "done", true
		for i := range t.spec.Tasks {
			w.check.Done(wire.TaskName(job, i), nil)
		}
	}
	for o, k := range g.ready {
		time.AfterFunc(after, func() { k.end(o, with, false) })
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
func (w *World) next() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.users++
	return w.Nodes[w.users%len(w.Nodes)].addr
}

// Post submits a body once to a node and returns the status.
func (w *World) Post(i int, body any) int {
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
		status, _ := w.request(http.MethodPost, w.next(), wire.JobsPath, b, 5*time.Second)
		switch status {
		case http.StatusOK, http.StatusCreated:
			w.check.Accepted(s.ID)
			w.look(s.ID)
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			w.check.Refused(s.ID, status)
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// Poll asks once and returns what the user is told; "" for no answer.
func (w *World) Poll(id string) string { return w.ask(w.next(), id) }

// PollAt asks one node.
func (w *World) PollAt(i int, id string) string { return w.ask(w.Nodes[i].addr, id) }

func (w *World) ask(at, id string) string {
	before := w.check.Asks(id)
	status, b := w.request(http.MethodGet, at, wire.JobsPath+"/"+id, nil, 2*time.Second)
	return w.answered(id, status, b, before)
}

// answered is what a user is told of a job by an answer; "" for nothing.
func (w *World) answered(id string, status int, body []byte, before Asked) string {
	var s wire.JobState
	switch {
	case (status == http.StatusOK || status == http.StatusCreated) && wire.Unmarshal(body, &s) == nil:
		w.check.told(id, s.State, before)
		return s.State
	case status == http.StatusNotFound:
		w.check.told(id, "unknown", before)
		return "unknown"
	}
	w.check.unanswered(id)
	return ""
}

// Repeat submits a job once more at one node, with another body if one is given, and
// returns the status and what the user is told.
func (w *World) Repeat(i int, id string, body any) (int, string) {
	if body == nil {
		body = w.spec(id)
	}
	before := w.check.Asks(id)
	b, _ := wire.Marshal(body)
	status, answer := w.request(http.MethodPost, w.Nodes[i].addr, wire.JobsPath, b, 5*time.Second)
	if before.known && (status == http.StatusBadRequest || status == http.StatusUnprocessableEntity) {
		w.check.Refused(id, status)
	}
	if status == http.StatusCreated && before.known {
		w.check.twice(id)
	}
	return status, w.answered(id, status, answer, before)
}

// CancelAt asks one node once to cancel a job and returns what the user is told.
func (w *World) CancelAt(i int, id string) string {
	w.check.CallsOff(id)
	before := w.check.Asks(id)
	status, b := w.request(http.MethodPost, w.Nodes[i].addr, wire.JobsPath+"/"+id+"/"+wire.CancelSuffix, nil, 5*time.Second)
	return w.answered(id, status, b, before)
}

// ReportCopy has a copy of a worker's report arrive at a node and returns how that is
// answered: the worker does not learn of it.
func (w *World) ReportCopy(i int, body []byte) int {
	status, _ := w.request(http.MethodPost, w.Nodes[i].addr, wire.ReportPath, body, 4*time.Second)
	return status
}

// Await polls until the job is in the state, and reports whether it came there.
func (w *World) Await(id, state string, within time.Duration) bool {
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
	w.check.CallsOff(id)
	before := w.check.Asks(id)
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); {
		status, b := w.request(http.MethodPost, w.next(), wire.JobsPath+"/"+id+"/"+wire.CancelSuffix, nil, 5*time.Second)
		if told := w.answered(id, status, b, before); told != "" && told != "unknown" {
			return told
		}
		time.Sleep(time.Second)
	}
	return ""
}

// Looks has f called right after a user was told that a job is accepted, done or cancelled;
// nil: nothing.
func (w *World) Looks(f func(id string)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.looks = f
}

// Last has f called as the last task of a job is done; nil: nothing.
func (w *World) Last(f func(id string)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last = f
}

func (w *World) look(id string) {
	w.mu.Lock()
	f := w.looks
	w.mu.Unlock()
	if f != nil {
		f(id)
	}
}

func (w *World) lastDone(id string) {
	w.mu.Lock()
	f := w.last
	w.mu.Unlock()
	if f != nil {
		f(id)
	}
}

// Fail notes a rule that a user found broken.
func (w *World) Fail(format string, args ...any) {
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	w.check.fail(format, args...)
}

// Known lists the jobs that users know to be accepted, with the last final state told.
func (w *World) Known() map[string]string {
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	out := map[string]string{}
	for id := range w.check.known {
		out[id] = w.check.last[id]
	}
	return out
}

// SetLimit has the rules go by other limits of teams than the platform's file has.
func (w *World) SetLimit(limit func(team string) Limit) {
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	w.check.Limit = limit
}

// Broken lists the rules that were broken.
func (w *World) Broken() []string { return w.check.List() }
