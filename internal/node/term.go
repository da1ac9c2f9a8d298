package node

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"aspenstall/internal/core"
	"aspenstall/internal/statestore"
	"aspenstall/internal/txn"
	"aspenstall/internal/wait"
	"aspenstall/internal/wire"
)

// term is one period of leadership of this node.
type term struct {
	n          *Node
	leaseID    uint64
	token      uint64 // fencing token: the revision of the leader's key
	raiseCount uint64
	raising    bool
	afterRaise []func() // called once the token is raised
	raiseEnded []func() // called once the raise that is in flight has a result
	records    recordRevisions

	begunAt  core.Micros
	cancel   context.CancelFunc
	resigned bool
	deposed  bool // another node has become leader
}

// electionState is the part of the view that the elector needs.
type electionState struct {
	ready          bool
	leader         string
	leaderRevision uint64
	abstainFor     time.Duration // this node resigned and leaves the leadership to others for this long
}

// runElections runs for the leadership whenever no node holds it.
func (n *Node) runElections(ctx context.Context) {
	for ctx.Err() == nil {
		st, ok := call(ctx, n, func(reply func(electionState)) {
			reply(electionState{n.view.ready, n.view.leader, n.view.leaderRevision, time.Duration(n.abstainUntil-n.now()) * time.Microsecond})
		})
		if !ok {
			return
		}
		var err error
		pause := time.Hour
		switch {
		case !st.ready:
		case st.leader == "" && st.abstainFor > 0:
			pause = st.abstainFor
		case st.leader == "":
			err = n.campaign(ctx, st.leaderRevision)
		case st.leader == n.platform.Member:
			// The key names this node, which does not lead: an earlier process wrote it, or it
			// belongs to a campaign whose response was lost.
			err = n.revokePreviousLease(ctx)
		}
		if err != nil {
			n.log.Info("election", "err", err)
			pause = 200 * time.Millisecond
		}
		wait.ForOrWake(ctx, pause, n.electorWake)
	}
}

// revokePreviousLease revokes the lease of the leader's key if the key names this node.
func (n *Node) revokePreviousLease(ctx context.Context) error {
	e, err := n.stateClient.Get(ctx, leaderKey)
	if errors.Is(err, statestore.ErrNotFound) {
		return n.refreshViewOrFail(ctx)
	}
	if err != nil {
		return err
	}
	var l wire.LeaderRecord
	if err := wire.Unmarshal(e.Value, &l); err != nil || l.Node != n.platform.Member || e.Lease == 0 {
		return err
	}
	n.log.Info("revoking the lease of the previous process", "lease", e.Lease)
	if err := n.stateClient.Revoke(ctx, e.Lease); err != nil && !errors.Is(err, statestore.ErrNotFound) {
		return err
	}
	return n.refreshViewOrFail(ctx)
}

// refreshViewOrFail is refreshView for the elector, which retries after an error. With a view that
// stays out of date the elector would wait for a change that has already been delivered.
func (n *Node) refreshViewOrFail(ctx context.Context) error {
	if !n.refreshView(ctx) {
		return errors.New("the view could not be brought up to date from the state service")
	}
	return nil
}

// refreshView brings the view up to date and reports whether that succeeded within 5 s.
func (n *Node) refreshView(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	ok, _ := call(ctx, n, func(reply func(bool)) { n.readLinearizable(reply) })
	return ok
}

// campaign tries to become leader. If it succeeds, it leads and returns after the lease has ended.
func (n *Node) campaign(ctx context.Context, leaderRevision uint64) error {
	ttl := time.Duration(n.settings.LeaderLeaseS * float64(time.Second))
	sent := n.now()
	lease, err := n.stateClient.Grant(ctx, ttl)
	if err != nil {
		return fmt.Errorf("grant the leader's lease: %w", err)
	}
	// Renewals begin once this node holds the key. Until then the lease counts from the request
	// for its grant.
	until := core.LeaseValidUntil(sent, core.Micros(ttl/time.Microsecond))
	value, err := wire.Marshal(&wire.LeaderRecord{Node: n.platform.Member})
	if err != nil {
		return err
	}
	token, err := n.stateClient.Commit(ctx, &wire.Txn{
		If:   []wire.Cond{{Key: leaderKey}},
		Then: []wire.Write{{Kind: txn.Election, Put: leaderKey, Value: value, Lease: lease}},
	})
	if errors.Is(err, statestore.ErrConflict) {
		_ = n.stateClient.Revoke(ctx, lease)
		return n.refreshViewOrFail(ctx)
	}
	if err != nil {
		return fmt.Errorf("write the leader's key: %w", err)
	}
	n.log.Info("leadership won", "token", token, "lease", lease)
	termCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &term{n: n, leaseID: lease, token: token, cancel: cancel}
	n.leaseValidUntil.Store(int64(until))
	n.leadingTerm.Store(t)
	go n.beginTerm(termCtx, t)
	n.renewLease(termCtx, t, ttl)
	n.leaseValidUntil.Store(0)
	n.leadingTerm.Store(nil)
	n.log.Info("term ends", "token", t.token)
	resigned, _ := call(ctx, n, func(reply func(bool)) {
		if n.term == t {
			n.term = nil
			n.core.EndTerm()
			n.committer.dropTermWrites()
			if n.notifier != nil {
				n.notifier.outbox = nil
			}
		}
		reply(t.resigned)
	})
	if resigned {
		// Nothing acts for this term any more, so the next leader need not wait for the lease to
		// expire.
		if err := n.stateClient.Revoke(ctx, lease); err != nil && !errors.Is(err, statestore.ErrNotFound) {
			n.log.Info("revoking the lease failed", "err", err)
		}
	}
	return n.refreshViewOrFail(ctx)
}

// renewLease renews the term's lease until the lease or ctx ends.
func (n *Node) renewLease(ctx context.Context, t *term, ttl time.Duration) {
	pause := ttl / 4
	failureLogged := false // the current failure has been logged
	for ctx.Err() == nil {
		wait.For(ctx, pause)
		sent := n.now()
		err := n.stateClient.Renew(ctx, t.leaseID)
		switch {
		case err == nil:
			if !n.leaseValid() {
				n.log.Info("lease renewed late; the term continues", "token", t.token)
			}
			n.leaseValidUntil.Store(int64(core.LeaseValidUntil(sent, core.Micros(ttl/time.Microsecond))))
			pause, failureLogged = ttl/4, false
		case errors.Is(err, statestore.ErrNotFound):
			n.log.Info("lease is over", "token", t.token)
			return
		default:
			if !failureLogged {
				n.log.Info("lease not renewed; trying on", "err", err, "may_act", n.leaseValid())
			}
			failureLogged = true
			pause = 150 * time.Millisecond
		}
	}
}

// beginTerm reads all records of the leader and hands them to the core. It retries until ctx ends.
func (n *Node) beginTerm(ctx context.Context, t *term) {
	for ctx.Err() == nil {
		snap, revisions, err := n.readSnapshot(ctx)
		if err == nil && n.refreshView(ctx) {
			n.post(func() {
				if ctx.Err() != nil {
					return
				}
				n.term = t
				t.begunAt, t.records = n.now(), revisions
				jobs := make([]core.JobRecord, 0, len(n.view.jobs))
				for _, r := range n.view.jobs {
					if r.Phase != core.Done && !n.chains.graph.Waits(r.Spec.ID) {
						jobs = append(jobs, r)
					}
				}
				n.core.BeginTerm(n.now(), wallClock(), t.token, jobs, snap)
				n.restoreUrgency()
			})
			go n.pollCloud(ctx, t)
			if n.notifier != nil {
				go n.startOutbox(ctx, t)
			}
			return
		}
		n.log.Info("term cannot begin yet; retrying", "err", err)
		wait.For(ctx, 200*time.Millisecond)
	}
}

// readSnapshot reads the leader's records and their revisions from the state service.
func (n *Node) readSnapshot(ctx context.Context) (core.Snapshot, recordRevisions, error) {
	var s core.Snapshot
	revisions := recordRevisions{}
	entries, _, err := n.stateClient.List(ctx, "b/")
	if err != nil {
		return s, nil, err
	}
	for _, e := range entries {
		var err error
		switch {
		case strings.HasPrefix(e.Key, core.MachinePrefix):
			var r core.MachineGroupRecord
			r, err = wire.DecodeMachineGroup(e.Key, e.Value)
			revisions[e.Key] = e.ModRevision
			s.MachineGroups = append(s.MachineGroups, r)
		case strings.HasPrefix(e.Key, core.RentalPrefix):
			var r core.RentalRecord
			r, err = wire.DecodeRental(e.Value)
			s.Rentals = append(s.Rentals, r)
		case strings.HasPrefix(e.Key, core.CompletionPrefix):
			var r core.CompletionRecord
			r, err = wire.DecodeCompletion(e.Key, e.Value)
			revisions[e.Key] = e.ModRevision
			s.Completions = append(s.Completions, r)
		case strings.HasPrefix(e.Key, core.PartitionPrefix):
			var r core.PartitionRecord
			r, err = wire.DecodePartition(e.Key, e.Value)
			s.Partitions = append(s.Partitions, r)
		case strings.HasPrefix(e.Key, core.StartedPrefix):
			s.Started = append(s.Started, e.Key[len(core.StartedPrefix):])
		}
		if err != nil {
			return s, nil, fmt.Errorf("record %s: %w", e.Key, err)
		}
	}
	return s, revisions, nil
}

// raiseToken rewrites the leader's key. The new revision is a new fencing token, which invalidates
// commands in flight under the old one.
func (t *term) raiseToken() {
	if t.raising {
		return
	}
	n := t.n
	t.raiseCount++
	value, err := wire.Marshal(&wire.LeaderRecord{Node: n.platform.Member, RaiseCount: t.raiseCount})
	if err != nil {
		n.log.Error("encoding the leader record failed", "err", err)
		return
	}
	transaction := &wire.Txn{
		If:   []wire.Cond{{Key: leaderKey, ModRevision: t.token}},
		Then: []wire.Write{{Kind: txn.TokenRaise, Put: leaderKey, Value: value, Lease: t.leaseID}},
	}
	t.raising = true
	go func() {
		token, err := n.stateClient.Commit(n.ctx, transaction)
		n.post(func() {
			t.raising = false
			if err == nil {
				n.ifCurrentTerm(t, func() { t.tokenRaised(token) })
			} else {
				n.log.Info("raising the token failed", "err", err)
				if len(t.afterRaise) > 0 {
					time.AfterFunc(raiseRetryPause, func() { n.post(func() { n.ifCurrentTerm(t, t.raiseToken) }) })
				}
			}
			t.endRaise()
		})
	}()
}

// whenRaiseEnded calls f once the raise that is in flight has a result, or now if none is.
func (t *term) whenRaiseEnded(f func()) {
	if !t.raising {
		f()
		return
	}
	t.raiseEnded = append(t.raiseEnded, f)
}

// endRaise runs the callbacks of whenRaiseEnded.
func (t *term) endRaise() {
	callbacks := t.raiseEnded
	t.raiseEnded = nil
	for _, f := range callbacks {
		f()
	}
}

// raiseRetryPause is the pause between two attempts to raise the token while callbacks of
// fenceWrites wait for it.
const raiseRetryPause = 200 * time.Millisecond

// fenceWrites raises the token, and calls then once no write that was sent under the old token can
// be executed any more.
func (t *term) fenceWrites(then func()) {
	t.afterRaise = append(t.afterRaise, then)
	t.raiseToken()
}

// tokenRaised takes a higher token into use and runs the callbacks that wait for it.
func (t *term) tokenRaised(token uint64) {
	if token > t.token {
		t.token = token
		t.n.core.HandleTokenRaised(t.n.now(), token)
		// A delegate answers only workers that have seen no higher token than it knows.
		t.n.sendStatusNow()
		for _, f := range t.afterRaise {
			f()
		}
		t.afterRaise = nil
	}
}

// pollCloud keeps the catalog and the machine list up to date until ctx, and with it the term,
// ends.
func (n *Node) pollCloud(ctx context.Context, t *term) {
	const catalogEvery = time.Minute
	every := time.Duration(n.settings.ListEveryS * float64(time.Second))
	var catalogAt time.Time
	for ctx.Err() == nil {
		pause := every
		if !time.Now().Before(catalogAt) {
			if types, raw, err := n.cloudClient.Catalog(ctx); err == nil {
				catalogAt = time.Now().Add(catalogEvery)
				n.post(func() { n.ifCurrentTerm(t, func() { n.updateCatalog(t, types, raw) }) })
			} else {
				n.log.Info("catalog", "err", err)
				pause = time.Second
			}
		}
		if list, err := n.cloudClient.List(ctx); err == nil {
			n.post(func() { n.ifCurrentTerm(t, func() { n.core.HandleMachineList(n.now(), list) }) })
		} else {
			n.log.Info("listing machines failed", "err", err)
		}
		wait.For(ctx, pause)
	}
}

// updateCatalog takes the catalog from the cloud. It records a change of the types, their
// capacities or their zones, but not of prices alone, for the other nodes and for times when the cloud does not
// respond.
func (n *Node) updateCatalog(t *term, types []core.MachineType, raw []byte) {
	if len(types) == 0 {
		return
	}
	known := n.view.catalogRevision > 0 && len(n.catalog) == len(types)
	for i := 0; known && i < len(types); i++ {
		old := &n.catalog[i]
		known = old.Name == types[i].Name && old.Capacity == types[i].Capacity && slices.Equal(old.Zones, types[i].Zones)
	}
	n.catalog = types
	n.core.SetCatalog(types)
	if known {
		return
	}
	b, err := wire.Marshal(&wire.CatalogRecord{Raw: raw})
	if err != nil {
		n.log.Error("encoding the catalog record failed", "err", err)
		return
	}
	n.committer.add(&writeRequest{
		term: t,
		ops:  []wire.Write{{Kind: txn.Catalog, Put: catalogKey, Value: b}},
		done: func(uint64, error) {},
	}, true)
}

// applyCatalogRecord takes the catalog that a leader has recorded.
func (n *Node) applyCatalogRecord(raw []byte) {
	types, err := wire.ParseCatalog(raw)
	if err != nil {
		n.log.Error("decoding the catalog record failed", "err", err)
		return
	}
	n.catalog = types
	n.core.SetCatalog(types)
}
