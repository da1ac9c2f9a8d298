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
	controlPrefix = "c/"
	leaderKey     = wire.LeaderKey
	catalogKey    = "c/catalog"
	jobPrefix     = wire.JobPrefix
)

// Node is a controller. All fields below the line belong to the goroutine that
// runs Run; others reach them by posting a function to it.
type Node struct {
	cfg      *config.Platform
	settings config.Settings
	log      *slog.Logger
	store    *statestore.Client
	cloud    *cloud.Client
	workers  *worker.Client
	started  time.Time
	dial     netdial.Func
	clients  map[string]*peer.Client // of the peers; not changed once it runs
	life     uint64                  // of this process, for peers to tell it from its next
	// answerGrace is how long workers are answered after the leader's lease,
	// blind how long by a node that does not learn of cancellations, and grace
	// how long by a deputy after its last word with the leader.
	answerGrace, blind, grace core.Micros
	unread                    core.Micros // how long a leader acts on what it has read
	events                    chan func()

	actUntil atomic.Int64 // micros: this node leads and may act until then
	serving  atomic.Bool  // the view is there and users can be answered

	// ----
	core   *core.Core
	view   view
	commit committer
	term   *term
	kick   chan struct{} // tells the elector that the view changed
	ctx    context.Context

	syncing   bool
	synced    core.Micros // when the last read for those who wait began
	syncPause core.Micros // between two
	waiting   []func(ok bool)

	config clusterConfig

	catalog  []core.MachineType
	nomad    *nomad    // nil: job files are not served
	notifier *notifier // nil: nobody is notified

	beatHeard  core.Micros            // last report of a worker, answered or not
	abstain    core.Micros            // does not run for the leadership before this
	stateHeard time.Time              // last answer of the state service
	peers      map[string]*peerState  // those of the settings
	permit     core.Permission        // to answer in the leader's place
	deputized  core.Micros            // last time it did; 0: never
	cancelled  cancelled              // what it knows of, for peers that do not
	knownAt    core.Micros            // the view holds every change made before
	counts     map[string]peer.Counts // what the leader said of jobs
}

// New returns a node that is not running yet.
func New(p *config.Platform, s config.Settings, log *slog.Logger, dial netdial.Func) *Node {
	conns := max(p.Params.Limits.MaxConnections/20, 16)
	n := &Node{
		cfg: p, settings: s, log: log,
		store:   statestore.New(p.Services.State, p.Params.State.RPS, p.Params.State.WriteRPS, min(conns, 16), dial),
		cloud:   cloud.New(p.Services.Cloud, p.Params.Cloud.RPS, dial),
		workers: worker.New(max(p.Params.Limits.MaxConnections/16, 64), dial),
		dial:    dial,
		life:    rand.Uint64(),
		started: time.Now(),
		events:  make(chan func(), 1024),
		core:    core.New(config.Core(p, s)),
		kick:    make(chan struct{}, 1),
	}
	n.answerGrace = core.Seconds(s.AnswerGraceS)
	n.view.jobs = map[string]core.JobRecord{}
	n.commit.n = n
	n.blind = core.Blind(core.Seconds(p.Params.Workers.LeaseS), core.Seconds(p.Params.Workers.CancelS))
	n.grace = min(n.answerGrace, n.blind)
	n.unread = max(n.blind, unreadLeast)
	n.syncPause = syncPause(p.Params.State.RPS, len(p.Peers)+1)
	n.peers = map[string]*peerState{}
	zones := map[string][]*core.Deputy{}
	for _, k := range p.Peers {
		s := &peerState{}
		n.peers[k.Member] = s
		zones[k.Zone] = append(zones[k.Zone], &s.deputy)
	}
	n.clients = map[string]*peer.Client{}
	for _, k := range p.Peers {
		c, err := peer.Dial(k.Endpoint, dial)
		if err != nil {
			log.Error("peer", "peer", k.Member, "err", err)
			continue
		}
		n.clients[k.Member] = c
	}
	for zone, ds := range zones {
		n.core.Deputies(zone, ds)
	}
	n.config.init(p, s)
	n.counts = map[string]peer.Counts{}
	n.nomad = newNomad(n)
	n.notifier = newNotifier(n)
	return n
}

// syncPause is how long each of so many nodes waits between two reads of the
// changes, for all of them to take half of the state service's requests at most.
// Nobody has to agree on anything for that, and none depends on another.
func syncPause(rps float64, nodes int) core.Micros {
	const share = 0.5
	if rps <= 0 {
		return 0
	}
	return core.Seconds(float64(nodes) / (rps * share))
}

// now reads the steady clock.
func (n *Node) now() core.Micros { return core.Micros(time.Since(n.started) / time.Microsecond) }

func wall() core.Micros { return core.Micros(time.Now().UnixMicro()) }

// post runs f on the owning goroutine.
func (n *Node) post(f func()) {
	select {
	case n.events <- f:
	case <-n.ctx.Done():
	}
}

// call runs f on the owning goroutine and waits for the answer that f, or
// something f started, gives; zero is returned if ctx ends first.
func call[T any](ctx context.Context, n *Node, f func(reply func(T))) (T, bool) {
	out := make(chan T, 1)
	var zero T
	select {
	case n.events <- func() {
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
	go n.watch(ctx)
	go n.elect(ctx)
	for _, p := range n.cfg.Peers {
		go n.tellPeers(ctx, p.Member)
	}
	const step = 200 * time.Millisecond
	timer := time.NewTimer(step)
	defer timer.Stop()
	tick := n.now() + core.Micros(step/time.Microsecond)
	wake := tick // what the timer is set to
	served := time.Now()
	for {
		select {
		case <-ctx.Done():
			n.logServed()
			return
		case f := <-n.events:
			f()
			for i := 0; i < 256; i++ {
				select {
				case f := <-n.events:
					f()
					continue
				default:
				}
				break
			}
		case <-timer.C:
			tick = n.now() + core.Micros(step/time.Microsecond)
			n.commit.pump()
			n.judgeHealth()
			n.resignBlind()
			n.acknowledge()
			if time.Since(served) >= tellServed {
				served = time.Now()
				n.logServed()
			}
		}
		n.act()
		// The core may want to go on before the next tick.
		next := tick
		if n.leads() {
			next = min(next, n.core.Wake())
			if n.notifier != nil && n.notifier.box != nil {
				next = min(next, n.notifier.box.Wake(n.now()))
			}
		}
		if next != wake {
			wake = next
			timer.Reset(time.Duration(max(wake-n.now(), 0)) * time.Microsecond)
		}
	}
}

// mayAct reports whether this node leads and its lease is certainly alive.
func (n *Node) mayAct() bool { return n.now() < core.Micros(n.actUntil.Load()) }

// unreadLeast is how long a leader acts at the least on what it has read, where a
// lease lasts as long as a cancellation may take: no leader reads faster than that.
const unreadLeast = 5 * core.Second

// leads reports whether this node may act as the leader. Its lease is not enough:
// it may be renewed while nothing can be read, and a leader that learns of no
// cancellations must not keep the tasks of cancelled jobs alive.
func (n *Node) leads() bool {
	return n.term != nil && n.mayAct() && n.now() < n.informed()+n.unread
}

// resignBlind ends the term of a leader that can write and not read, while there
// is time for another one to begin.
func (n *Node) resignBlind() {
	if t := n.term; t != nil && n.mayAct() && n.now() > max(t.begun, n.informed())+n.unread/2 {
		n.resign("nothing can be read from the state service")
	}
}

// resign gives the term up and leaves the leadership to others for a while.
func (n *Node) resign(why string) {
	t := n.term
	n.log.Info("resigning", "reason", why, "token", t.stamp)
	n.abstain = n.now() + abstainFor
	t.resigned = true
	t.cancel()
}

// leaseOrGrace reports whether the last lease of this node's is alive, or ended
// so lately that workers may still be answered, though not commanded.
func (n *Node) leaseOrGrace() bool {
	return n.now() < core.Micros(n.actUntil.Load())+n.answerGrace
}

// mayAnswer reports whether workers are to be answered without commands: this
// node led until it lost sight of the state service, and nothing says that
// another leads or could. In an outage of the state service nobody can, and the
// workers' leases would run out with all that they run. A later leader waits
// for a machine it does not hear as much longer as this may go on. It does not
// go on for longer than a cancellation elsewhere allows.
func (n *Node) mayAnswer() bool {
	return n.term != nil && !n.term.deposed && !n.mayAct() && n.leaseOrGrace() && n.mayRenew() && !n.served()
}

// act lets the core decide and carries out what it wants.
func (n *Node) act() {
	if !n.leads() {
		return
	}
	n.core.SetPlacing(n.mayDecide())
	for _, a := range n.core.Step(n.now()) {
		n.run(a)
	}
	if n.notifier != nil && n.notifier.box != nil {
		n.actOutbox()
	}
}

func (n *Node) run(a core.Action) {
	t := n.term
	switch a := a.(type) {
	case core.Note:
		level := slog.LevelInfo
		if a.Debug {
			level = slog.LevelDebug
		}
		n.log.Log(n.ctx, level, a.Text, a.Args...)
	case core.Write:
		n.commit.bookkeeping(t, a)
	case core.Progress:
		n.nomad.moved(n, a.Job)
	case core.RaiseToken:
		t.raise()
	case core.SendCommands:
		go func() {
			o, r := n.workers.Send(n.ctx, a, n.maySend(a.Commands))
			n.post(func() { n.ifTerm(t, func() { n.core.Commanded(n.now(), a.Machine, a.Token, o, r) }) })
		}()
	case core.Rent:
		go n.rent(t, a)
	case core.Return:
		n.log.Info("returning machines", "machines", a.Machines, "reason", a.Reason)
		go func() {
			err := n.cloud.Return(n.ctx, a.Machines)
			if err != nil {
				n.log.Info("return failed", "machines", a.Machines, "err", err)
			}
			n.post(func() { n.ifTerm(t, func() { n.core.Returned(n.now(), a.Machines, err == nil) }) })
		}()
	}
}

// ifTerm runs f if the term is still the same one: results of an earlier term
// mean nothing to a later one.
func (n *Node) ifTerm(t *term, f func()) {
	if n.term == t {
		f()
	}
}

func (n *Node) rent(t *term, a core.Rent) {
	var names []string
	outcome := core.RentUnknown
	if n.mayAct() {
		var err error
		names, err = n.cloud.Rent(n.ctx, wire.RentRequest{Request: a.Request, Type: a.Type, Zone: a.Zone, Spot: a.Spot, Count: a.Count})
		switch {
		case err == nil:
			outcome = core.RentGranted
		case errors.Is(err, cloud.ErrNoCapacity):
			outcome = core.RentRefused
		default:
			n.log.Info("rental failed", "request", a.Request, "err", err)
		}
	}
	n.post(func() { n.ifTerm(t, func() { n.core.Rented(n.now(), wall(), a.Request, outcome, names) }) })
}
