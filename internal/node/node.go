// Package node is one controller: a goroutine that owns all state, and around
// it the sockets, timers and clients that feed it and do what the core wants.
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

// Keys that every node watches.
const (
	watchedPrefix = "c/"
	leaderKey     = wire.LeaderKey
	catalogKey    = "c/catalog"
	jobPrefix     = wire.JobPrefix
)

// Node is a controller. All fields below the line belong to the goroutine that
// runs Run; others reach them by posting a function to it.
type Node struct {
	platform     *config.Platform
	settings     config.Settings
	log          *slog.Logger
	stateClient  *statestore.Client
	cloudClient  *cloud.Client
	workerClient *worker.Client
	started      time.Time
	dial         netdial.Func
	peerClients  map[string]*peer.Client // of the peers; not changed once it runs
	incarnation  uint64                  // of this process, for peers to tell it from its next
	// answerGrace is how long workers are answered after the leader's lease,
	// blind how long by a node that does not learn of cancellations, and grace
	// how long by a deputy after its last word with the leader.
	answerGrace, maxCancelStaleness, delegationTTL core.Micros
	maxReadAge                                     core.Micros // how long a leader acts on what it has read
	inbox                                          chan func()

	leaseValidUntil atomic.Int64 // micros: this node leads and may act until then
	serving         atomic.Bool  // the view is there and users can be answered

	// ----
	core        *core.Core
	view        view
	committer   committer
	term        *term
	electorWake chan struct{} // tells the elector that the view changed
	ctx         context.Context

	readPending     bool
	lastReadStarted core.Micros // when the last read for those who wait began
	readInterval    core.Micros // between two
	readWaiters     []func(ok bool)

	clusterConfig clusterConfig

	catalog  []core.MachineType
	nomad    *nomadState // nil: job files are not served
	notifier *notifier   // nil: nobody is notified

	lastReport          core.Micros            // last report of a worker, answered or not
	abstainUntil        core.Micros            // does not run for the leadership before this
	lastStateResponse   time.Time              // last answer of the state service
	peers               map[string]*peerState  // those of the settings
	delegation          core.Delegation        // to answer in the leader's place
	lastDelegatedAnswer core.Micros            // last time it did; 0: never
	cancellations       cancellationLog        // what it knows of, for peers that do not
	currentAsOf         core.Micros            // the view holds every change made before
	leaderCounts        map[string]peer.Counts // what the leader said of jobs
}

// New returns a node that is not running yet.
func New(p *config.Platform, s config.Settings, log *slog.Logger, dial netdial.Func) *Node {
	conns := max(p.Params.Limits.MaxConnections/20, 16)
	n := &Node{
		platform: p, settings: s, log: log,
		stateClient:  statestore.New(p.Services.State, p.Params.State.RPS, p.Params.State.WriteRPS, min(conns, 16), dial),
		cloudClient:  cloud.New(p.Services.Cloud, p.Params.Cloud.RPS, dial),
		workerClient: worker.New(max(p.Params.Limits.MaxConnections/16, 64), dial),
		dial:         dial,
		incarnation:  rand.Uint64(),
		started:      time.Now(),
		inbox:        make(chan func(), 1024),
		core:         core.New(config.Core(p, s)),
		electorWake:  make(chan struct{}, 1),
	}
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
		s := &peerState{}
		n.peers[k.Member] = s
		zones[k.Zone] = append(zones[k.Zone], &s.delegate)
	}
	n.peerClients = map[string]*peer.Client{}
	for _, k := range p.Peers {
		c, err := peer.Dial(k.Endpoint, dial)
		if err != nil {
			log.Error("peer", "peer", k.Member, "err", err)
			continue
		}
		n.peerClients[k.Member] = c
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

// syncPause is how long each of so many nodes waits between two reads of the
// changes, for all of them to take half of the state service's requests at most.
// Nobody has to agree on anything for that, and none depends on another.
func readInterval(rps float64, nodes int) core.Micros {
	const share = 0.5
	if rps <= 0 {
		return 0
	}
	return core.Seconds(float64(nodes) / (rps * share))
}

// now reads the steady clock.
func (n *Node) now() core.Micros { return core.Micros(time.Since(n.started) / time.Microsecond) }

func wallClock() core.Micros { return core.Micros(time.Now().UnixMicro()) }

// post runs f on the owning goroutine.
func (n *Node) post(f func()) {
	select {
	case n.inbox <- f:
	case <-n.ctx.Done():
	}
}

// call runs f on the owning goroutine and waits for the answer that f, or
// something f started, gives; zero is returned if ctx ends first.
func call[T any](ctx context.Context, n *Node, f func(reply func(T))) (T, bool) {
	out := make(chan T, 1)
	var zero T
	select {
	case n.inbox <- func() {
		f(func(v T) {
			select {
			case out <- v:
			default:
			}
		})
	}:
	case <-ctx.Done():
		return zero, false
	}
	select {
	case v := <-out:
		return v, true
	case <-ctx.Done():
		return zero, false
	}
}

// Run runs the node until ctx ends.
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
	timerAt := tick // what the timer is set to
	lastStats := time.Now()
	for {
		select {
		case <-ctx.Done():
			n.logJobStats()
			return
		case f := <-n.inbox:
			f()
			for i := 0; i < 256; i++ {
				select {
				case f := <-n.inbox:
					f()
					continue
				default:
				}
				break
			}
		case <-timer.C:
			tick = n.now() + core.Micros(step/time.Microsecond)
			n.committer.dispatch()
			n.updateHealth()
			n.resignIfUninformed()
			n.acknowledgeConfig()
			if time.Since(lastStats) >= jobStatsInterval {
				lastStats = time.Now()
				n.logJobStats()
			}
		}
		n.step()
		// The core may want to go on before the next tick.
		next := tick
		if n.isActiveLeader() {
			next = min(next, n.core.NextStepAt())
			if n.notifier != nil && n.notifier.outbox != nil {
				next = min(next, n.notifier.outbox.Wake(n.now()))
			}
		}
		if next != timerAt {
			timerAt = next
			timer.Reset(time.Duration(max(timerAt-n.now(), 0)) * time.Microsecond)
		}
	}
}

// mayAct reports whether this node leads and its lease is certainly alive.
func (n *Node) leaseValid() bool { return n.now() < core.Micros(n.leaseValidUntil.Load()) }

// unreadLeast is how long a leader acts at the least on what it has read, where a
// lease lasts as long as a cancellation may take: no leader reads faster than that.
const minMaxReadAge = 5 * core.Second

// leads reports whether this node may act as the leader. Its lease is not enough:
// it may be renewed while nothing can be read, and a leader that learns of no
// cancellations must not keep the tasks of cancelled jobs alive.
func (n *Node) isActiveLeader() bool {
	return n.term != nil && n.leaseValid() && n.now() < n.informedUntil()+n.maxReadAge
}

// resignBlind ends the term of a leader that can write and not read, while there
// is time for another one to begin.
func (n *Node) resignIfUninformed() {
	if t := n.term; t != nil && n.leaseValid() && n.now() > max(t.begunAt, n.informedUntil())+n.maxReadAge/2 {
		n.resign("nothing can be read from the state service")
	}
}

// resign gives the term up and leaves the leadership to others for a while.
func (n *Node) resign(why string) {
	t := n.term
	n.log.Info("resigning", "reason", why, "token", t.token)
	n.abstainUntil = n.now() + abstainDuration
	t.resigned = true
	t.cancel()
}

// leaseOrGrace reports whether the last lease of this node's is alive, or ended
// so lately that workers may still be answered, though not commanded.
func (n *Node) withinAnswerGrace() bool {
	return n.now() < core.Micros(n.leaseValidUntil.Load())+n.answerGrace
}

// mayAnswer reports whether workers are to be answered without commands: this
// node led until it lost sight of the state service, and nothing says that
// another leads or could. In an outage of the state service nobody can, and the
// workers' leases would run out with all that they run. A later leader waits
// for a machine it does not hear as much longer as this may go on. It does not
// go on for longer than a cancellation elsewhere allows.
func (n *Node) mayAnswerInGrace() bool {
	return n.term != nil && !n.term.deposed && !n.leaseValid() && n.withinAnswerGrace() && n.mayRenewWorkerLeases() && !n.peerReachesState()
}

// act lets the core decide and carries out what it wants.
func (n *Node) step() {
	if !n.isActiveLeader() {
		return
	}
	n.core.SetPlacing(n.mayDecide())
	for _, a := range n.core.Step(n.now()) {
		n.execute(a)
	}
	if n.notifier != nil && n.notifier.outbox != nil {
		n.stepOutbox()
	}
}

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
			n.post(func() { n.ifCurrentTerm(t, func() { n.core.CommandResult(n.now(), a.Machine, a.Token, o, r) }) })
		}()
	case core.Rent:
		go n.rent(t, a)
	case core.Release:
		n.log.Info("returning machines", "machines", a.Machines, "reason", a.Reason)
		go func() {
			err := n.cloudClient.Release(n.ctx, a.Machines)
			if err != nil {
				n.log.Info("return failed", "machines", a.Machines, "err", err)
			}
			n.post(func() { n.ifCurrentTerm(t, func() { n.core.ReleaseResult(n.now(), a.Machines, err == nil) }) })
		}()
	}
}

// ifTerm runs f if the term is still the same one: results of an earlier term
// mean nothing to a later one.
func (n *Node) ifCurrentTerm(t *term, f func()) {
	if n.term == t {
		f()
	}
}

func (n *Node) rent(t *term, a core.Rent) {
	var names []string
	outcome := core.RentUnknown
	if n.leaseValid() {
		var err error
		names, err = n.cloudClient.Rent(n.ctx, wire.RentRequest{Request: a.Request, Type: a.Type, Zone: a.Zone, Spot: a.Spot, Count: a.Count})
		switch {
		case err == nil:
			outcome = core.RentGranted
		case errors.Is(err, cloud.ErrNoCapacity):
			outcome = core.RentRefused
		default:
			n.log.Info("rental failed", "request", a.Request, "err", err)
		}
	}
	n.post(func() {
		n.ifCurrentTerm(t, func() { n.core.RentResult(n.now(), wallClock(), a.Request, outcome, names) })
	})
}
