// Package node implements one controller: a goroutine that owns all state, and around it the
// sockets, timers and clients that feed it and carry out the actions that the core requests.
package node

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"aspenstall/internal/cloud"
	"aspenstall/internal/config"
	"aspenstall/internal/core"
	"aspenstall/internal/netdial"
	"aspenstall/internal/peer"
	"aspenstall/internal/statestore"
	"aspenstall/internal/wire"
	"aspenstall/internal/worker"
)

// Keys of the state service. Every node watches those under watchedPrefix.
const (
	watchedPrefix = "c/"
	leaderKey     = wire.LeaderKey
	catalogKey    = "c/catalog"
	jobPrefix     = wire.JobPrefix
)

// Node is a controller.
type Node struct {
	platform     *config.Platform
	settings     config.Settings
	stateLimits  config.StateLimits
	log          *slog.Logger
	stateClient  *statestore.Client
	cloudClient  *cloud.Client
	workerClient *worker.Client
	started      time.Time
	dial         netdial.Func
	peerClients  map[string]*peer.Client  // by member; not changed once the node runs
	statusWake   map[string]chan struct{} // by member: the next status is to be sent at once; not changed once the node runs
	incarnation  uint64                   // random number of this process: tells peers that it has restarted
	// answerGrace is how long workers are still answered after the end of the leader's lease.
	// maxCancelStaleness is how long a node that does not learn of cancellations may renew the
	// leases of workers. delegationTTL is how long a delegate may answer workers after its last
	// exchange with the leader.
	answerGrace, maxCancelStaleness, delegationTTL core.Micros
	maxReadAge                                     core.Micros // how long a leader may act on its last read
	inbox                                          chan func()
	requests                                       *requestQueues

	leaseValidUntil atomic.Int64         // in Micros of now: the leader's lease is certainly valid until then
	leadingTerm     atomic.Pointer[term] // the term whose lease that is; nil while this node does not lead
	serving         atomic.Bool          // the view is loaded and users can be answered

	// The fields below belong to the goroutine that runs Run. Other goroutines reach them by
	// posting a function to it.
	core        *core.Core
	view        view
	committer   committer
	term        *term
	electorWake chan struct{} // signals the elector that the view changed
	ctx         context.Context

	deferred     []func()      // see runLater
	deferredWake chan struct{} // signals Run that deferred is not empty

	readPending     bool
	lastReadStarted core.Micros // when the last read for readWaiters began
	readInterval    core.Micros // between two such reads
	readWaiters     []func(ok bool)

	clusterConfig clusterConfig
	chains        chains

	catalog  []core.MachineType
	nomad    *nomadState // nil if job files are not served
	notifier *notifier   // nil if there are no subscriptions

	lastReport          core.Micros            // last report of any worker, answered or not
	abstainUntil        core.Micros            // this node does not run for the leadership before
	lastStateResponse   time.Time              // last response of the state service
	peers               map[string]*peerState  // by member, as in the settings
	delegation          core.Delegation        // permission to answer workers for the leader
	lastDelegatedAnswer core.Micros            // last time a worker was answered under delegation; 0: never
	cancellations       cancellationLog        // recent cancellations, for peers that can't read them
	currentAsOf         core.Micros            // the view holds every change made before this time
	leaderCounts        map[string]peer.Counts // task counts of jobs, as the leader reported them
}

// New returns a node that is not running yet; Run starts it.
func New(p *config.Platform, s config.Settings, log *slog.Logger, dial netdial.Func) *Node {
	conns := max(p.Params.Limits.MaxConnections/20, 16)
	limits := p.StateLimits()
	n := &Node{
		platform: p, settings: s, stateLimits: limits, log: log,
		stateClient:  statestore.New(p.Services.State, p.Params.State.RPS, limits.WriteRPS, min(conns, 16), dial),
		cloudClient:  cloud.New(p.Services.Cloud, p.Params.Cloud.RPS, dial),
		workerClient: worker.New(max(p.Params.Limits.MaxConnections/16, 64), dial),
		dial:         dial,
		incarnation:  rand.Uint64(),
		started:      time.Now(),
		inbox:        make(chan func(), 1024),
		requests:     newRequestQueues(),
		core:         core.New(config.CoreConfig(p, s)),
		electorWake:  make(chan struct{}, 1),
		deferredWake: make(chan struct{}, 1),
	}
	n.stateClient.ObserveLists(n.logListProgress)
	n.answerGrace = core.Seconds(s.AnswerGraceS)
	n.view.jobs = map[string]core.JobRecord{}
	n.committer.n = n
	n.maxCancelStaleness = core.MaxCancelStaleness(core.Seconds(p.Params.Workers.LeaseS), core.Seconds(p.Params.Workers.CancelS))
	n.delegationTTL = min(n.answerGrace, n.maxCancelStaleness)
	n.maxReadAge = max(n.maxCancelStaleness, minMaxReadAge)
	n.readInterval = readInterval(p.Params.State.RPS, len(p.Peers)+1)
	n.peers = map[string]*peerState{}
	zones := map[string][]*core.Delegate{}
	for _, k := range p.Peers {
		s := &peerState{mayList: true}
		n.peers[k.Member] = s
		zones[k.Zone] = append(zones[k.Zone], &s.delegate)
	}
	n.shareLists()
	n.peerClients, n.statusWake = map[string]*peer.Client{}, map[string]chan struct{}{}
	for _, k := range p.Peers {
		c, err := peer.Dial(k.Endpoint, dial)
		if err != nil {
			log.Error("peer", "peer", k.Member, "err", err)
			continue
		}
		n.peerClients[k.Member] = c
		n.statusWake[k.Member] = make(chan struct{}, 1)
	}
	for zone, ds := range zones {
		n.core.SetDelegates(zone, ds)
	}
	n.clusterConfig.init(p, s)
	n.leaderCounts = map[string]peer.Counts{}
	n.nomad = newNomadState(n)
	n.notifier = newNotifier(n)
	return n
}

// ObserveCommits sets a function that is called with each transaction before it is sent. It must be
// set before the node runs.
func (n *Node) ObserveCommits(observe func(*wire.Txn)) { n.stateClient.ObserveCommits(observe) }

// readInterval returns the pause between two linearizable reads of one node, for a state service
// that serves rps requests per second. All nodes together then use at most half of that rate. Each
// node computes the pause by itself, so nothing has to be coordinated.
func readInterval(rps float64, nodes int) core.Micros {
	const share = 0.5
	if rps <= 0 {
		return 0
	}
	return core.Seconds(float64(nodes) / (rps * share))
}

// now returns the monotonic time since the node was created.
func (n *Node) now() core.Micros { return core.Micros(time.Since(n.started) / time.Microsecond) }

func wallClock() core.Micros { return core.Micros(time.Now().UnixMicro()) }

// post runs f on the owning goroutine. It does not wait until f has run, but it waits while the
// inbox is full, so the owning goroutine must not call it: it uses runLater.
func (n *Node) post(f func()) {
	select {
	case n.inbox <- f:
	case <-n.ctx.Done():
	}
}

// runLater runs f after the function that the owning goroutine runs now. Only that goroutine may
// call it. It never waits.
func (n *Node) runLater(f func()) {
	n.deferred = append(n.deferred, f)
	select {
	case n.deferredWake <- struct{}{}:
	default:
	}
}

// runDeferred runs the functions that were passed to runLater before this call.
func (n *Node) runDeferred() {
	deferred := n.deferred
	n.deferred = nil
	for _, f := range deferred {
		f()
	}
}

// call runs f on the owning goroutine and waits for the value that f, or something that f started,
// passes to reply. It returns the zero value and false if ctx ends first.
func call[T any](ctx context.Context, n *Node, f func(reply func(T))) (T, bool) {
	out := make(chan T, 1)
	select {
	case n.inbox <- func() { f(replyTo(out)) }:
	case <-ctx.Done():
		var zero T
		return zero, false
	}
	return receive(ctx, out)
}

// maxInboxBatch limits what is taken from the inbox before the core's next step.
const maxInboxBatch = 256

// runQueued runs up to limit queued functions.
func runQueued(queue chan func(), limit int) {
	for range limit {
		select {
		case f := <-queue:
			f()
		default:
			return
		}
	}
}

// Run runs the node and returns when ctx ends.
func (n *Node) Run(ctx context.Context) {
	n.ctx = ctx
	go n.watchRecords(ctx)
	go n.runElections(ctx)
	for _, p := range n.platform.Peers {
		go n.exchangeStatuses(ctx, p.Member)
	}
	const step = 200 * time.Millisecond
	timer := time.NewTimer(step)
	defer timer.Stop()
	tick := n.now() + core.Micros(step/time.Microsecond)
	timerAt := tick // when the timer fires
	lastStats := time.Now()
	for {
		select {
		case <-ctx.Done():
			n.logJobStats()
			return
		case <-n.deferredWake:
			n.runDeferred()
		case f := <-n.inbox:
			f()
			runQueued(n.inbox, maxInboxBatch)
		case <-n.requests.arrived:
			n.requests.run(func() { runQueued(n.inbox, maxInboxBatch) })
		case <-timer.C:
			tick = n.now() + core.Micros(step/time.Microsecond)
			n.committer.dispatch()
			n.updateHealth()
			n.resignIfUninformed()
			n.acknowledgeConfig()
			n.recordOrphans()
			if time.Since(lastStats) >= jobStatsInterval {
				lastStats = time.Now()
				n.logJobStats()
			}
		}
		n.step()
		// The core or the outbox may have work before the next tick.
		next := tick
		if n.isActiveLeader() {
			next = min(next, n.core.NextStepAt())
			if n.notifier != nil && n.notifier.outbox != nil {
				next = min(next, n.notifier.outbox.NextStepAt(n.now()))
			}
		}
		if next != timerAt {
			timerAt = next
			timer.Reset(time.Duration(max(timerAt-n.now(), 0)) * time.Microsecond)
		}
	}
}

// leaseValid reports whether this node holds the leader's lease and the lease is certainly valid.
func (n *Node) leaseValid() bool { return n.now() < core.Micros(n.leaseValidUntil.Load()) }

// leads reports whether this node leads with a term whose lease is certainly valid. It may lead with a
// later one.
func (n *Node) leads(t *term) bool { return n.leadingTerm.Load() == t && n.leaseValid() }

// minMaxReadAge is the lower bound of maxReadAge. It matters where a worker's lease lasts as long
// as a cancellation may take: maxCancelStaleness is then 0, and no leader can read that often.
const minMaxReadAge = 5 * core.Second

// isActiveLeader reports whether this node may act as the leader. A valid lease is not enough: it
// may be renewed while nothing can be read, and a leader that does not learn of cancellations must
// not keep the tasks of cancelled jobs alive.
func (n *Node) isActiveLeader() bool {
	return n.term != nil && n.leaseValid() && n.now() < n.informedUntil()+n.maxReadAge
}

// resignIfUninformed ends the term of a leader that can write to the state service and not read
// from it. It does so at half of maxReadAge, so that another leader has time to begin.
func (n *Node) resignIfUninformed() {
	if t := n.term; t != nil && n.leaseValid() && n.now() > max(t.begunAt, n.informedUntil())+n.maxReadAge/2 {
		n.resign("nothing can be read from the state service")
	}
}

// resign ends the term and leaves the leadership to other nodes for abstainDuration.
func (n *Node) resign(why string) {
	t := n.term
	n.log.Info("resigning", "reason", why, "token", t.token)
	n.abstainUntil = n.now() + abstainDuration
	t.resigned = true
	t.cancel()
}

// withinAnswerGrace reports whether the leader's lease of this node is valid, or ended less than
// answerGrace ago. In that time workers may be answered, but not commanded.
func (n *Node) withinAnswerGrace() bool {
	return n.now() < core.Micros(n.leaseValidUntil.Load())+n.answerGrace
}

// mayAnswerInGrace reports whether workers are answered without commands after the lease: this
// node led until it lost the state service, and nothing shows that another node leads or could
// lead. In an outage of the state service no node can lead, and without answers the workers'
// leases would run out and their tasks would end.
//
// A later leader waits for the same additional time before it treats a machine that does not
// report as lost. The grace is bounded by maxCancelStaleness, since jobs may be cancelled through
// other nodes.
func (n *Node) mayAnswerInGrace() bool {
	return n.term != nil && !n.term.deposed && !n.leaseValid() && n.withinAnswerGrace() && n.mayRenewWorkerLeases() && !n.peerReachesState()
}

// step lets the core decide and carries out the actions that it returns.
func (n *Node) step() {
	if !n.isActiveLeader() {
		return
	}
	n.core.SetPlacementEnabled(n.mayDecide())
	for _, a := range n.core.Step(n.now()) {
		n.execute(a)
	}
	if n.notifier != nil && n.notifier.outbox != nil {
		n.stepOutbox()
	}
}

// execute carries out one action of the core.
func (n *Node) execute(a core.Action) {
	t := n.term
	switch a := a.(type) {
	case core.LogEntry:
		level := slog.LevelInfo
		if a.Debug {
			level = slog.LevelDebug
		}
		n.log.Log(n.ctx, level, a.Message, a.Args...)
	case core.Write:
		n.committer.addCoreWrite(t, a)
	case core.JobProgress:
		n.nomad.countsChanged(n, a.Job)
	case core.RaiseToken:
		t.raiseToken()
	case core.SendCommands:
		go func() {
			o, r := n.workerClient.Send(n.ctx, a, n.sendCheck(a.Commands))
			n.post(func() { n.ifCurrentTerm(t, func() { n.core.HandleCommandResult(n.now(), a.Machine, a.Token, o, r) }) })
		}()
	case core.Rent:
		go n.rent(t, a)
	case core.Release:
		go n.release(t, a)
	}
}

// ifCurrentTerm runs f if t is still the current term. Results of an earlier term must not reach a
// later one.
func (n *Node) ifCurrentTerm(t *term, f func()) {
	if n.term == t {
		f()
	}
}

// errNotLeading means that nothing was requested, since this node does not lead with the term that
// decided it, or not certainly.
var errNotLeading = errors.New("the term's lease is not valid")

// release returns machines to the cloud.
func (n *Node) release(t *term, a core.Release) {
	err := errNotLeading
	if n.leads(t) {
		n.log.Info("returning machines", "machines", a.Machines, "reason", a.Reason)
		err = n.cloudClient.Release(n.ctx, a.Machines)
	}
	if err != nil {
		n.log.Info("machine release failed", "machines", a.Machines, "err", err)
	}
	n.post(func() { n.ifCurrentTerm(t, func() { n.core.HandleReleaseResult(n.now(), a.Machines, err == nil) }) })
}

func (n *Node) rent(t *term, a core.Rent) {
	var names []string
	outcome := core.RentUnknown
	if n.leads(t) {
		var err error
		names, err = n.cloudClient.Rent(n.ctx, wire.RentRequest{RequestID: a.RequestID, Type: a.Type, Zone: a.Zone, Spot: a.Spot, Count: a.Count})
		switch {
		case err == nil:
			outcome = core.RentGranted
		case errors.Is(err, cloud.ErrNoCapacity):
			outcome = core.RentRefused
		default:
			n.log.Info("rental failed", "request", a.RequestID, "err", err)
		}
	}
	n.post(func() {
		n.ifCurrentTerm(t, func() { n.core.HandleRentalResult(n.now(), wallClock(), a.RequestID, outcome, names) })
	})
}
