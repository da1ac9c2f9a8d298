package node

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"aspenstall/internal/core"
	"aspenstall/internal/statestore"
	"aspenstall/internal/wait"
	"aspenstall/internal/wire"
)

// term is one leadership of this node.
type term struct {
	n       *Node
	lease   uint64
	stamp   uint64 // version of the leader's key, which is the token
	nth     uint64
	raising bool
	voided  []func() // to be called once the token is raised

	begun    core.Micros
	cancel   context.CancelFunc
	resigned bool
	deposed  bool // there is another leader
}

// standing is what the elector needs of the view.
type standing struct {
	ready  bool
	leader string
	stamp  uint64
	pause  time.Duration // this node resigned: others first
}

// elect runs for the leadership whenever nobody has it.
func (n *Node) elect(ctx context.Context) {
	for ctx.Err() == nil {
		st, ok := call(ctx, n, func(reply func(standing)) {
			reply(standing{n.view.ready, n.view.leader, n.view.leaderStamp, time.Duration(n.abstain-n.now()) * time.Microsecond})
		})
		if !ok {
			return
		}
		var err error
		wait := time.Hour
		switch {
		case !st.ready:
		case st.leader == "" && st.pause > 0:
			wait = st.pause
		case st.leader == "":
			err = n.campaign(ctx, st.stamp)
		case st.leader == n.cfg.Member:
			// The key names this node, which does not lead: the process that
			// wrote it is dead, or it is a campaign whose answer was lost.
			err = n.endFormer(ctx)
		}
		if err != nil {
			n.log.Info("election", "err", err)
			wait = 200 * time.Millisecond
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-n.kick:
		case <-t.C:
		}
		t.Stop()
	}
}

func (n *Node) endFormer(ctx context.Context) error {
	e, err := n.store.Get(ctx, leaderKey)
	if errors.Is(err, statestore.ErrNotFound) {
		return n.refreshed(ctx)
	}
	if err != nil {
		return err
	}
	var l wire.Leader
	if err := wire.Unmarshal(e.Value, &l); err != nil || l.Node != n.cfg.Member || e.Lease == 0 {
		return err
	}
	n.log.Info("ending the lease of the former process", "lease", e.Lease)
	if err := n.store.Revoke(ctx, e.Lease); err != nil && !errors.Is(err, statestore.ErrNotFound) {
		return err
	}
	return n.refreshed(ctx)
}

// refreshed is refresh for the elector, which tries again after an error: a
// view that stays behind would leave it waiting for news that came already.
func (n *Node) refreshed(ctx context.Context) error {
	if !n.refresh(ctx) {
		return errors.New("the view could not be brought up to date")
	}
	return nil
}

// refresh brings the view up to date.
func (n *Node) refresh(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	ok, _ := call(ctx, n, func(reply func(bool)) { n.readLinearizable(reply) })
	return ok
}

// campaign tries to become leader and, if it succeeds, leads until the lease
// is over.
func (n *Node) campaign(ctx context.Context, seen uint64) error {
	ttl := time.Duration(n.settings.LeaderLeaseS * float64(time.Second))
	sent := n.now()
	lease, err := n.store.Grant(ctx, ttl)
	if err != nil {
		return fmt.Errorf("grant: %w", err)
	}
	// Renewals start once the key is ours; the time until then counts.
	until := core.LeaseUntil(sent, core.Micros(ttl/time.Microsecond))
	value, err := wire.Marshal(&wire.Leader{Node: n.cfg.Member})
	if err != nil {
		return err
	}
	stamp, err := n.store.Commit(ctx, &wire.Txn{
		If:   []wire.Cond{{Key: leaderKey}},
		Then: []wire.Write{{Put: leaderKey, Value: value, Lease: lease}},
	})
	if errors.Is(err, statestore.ErrConflict) {
		_ = n.store.Revoke(ctx, lease)
		return n.refreshed(ctx)
	}
	if err != nil {
		return fmt.Errorf("leader's key: %w", err)
	}
	n.log.Info("leadership won", "token", stamp, "lease", lease)
	tctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &term{n: n, lease: lease, stamp: stamp, cancel: cancel}
	n.actUntil.Store(int64(until))
	go n.begin(tctx, t)
	n.hold(tctx, t, ttl)
	n.actUntil.Store(0)
	n.log.Info("term ends", "token", t.stamp)
	resigned, _ := call(ctx, n, func(reply func(bool)) {
		if n.term == t {
			n.term = nil
			n.core.End()
			n.commit.endTerm()
			if n.notifier != nil {
				n.notifier.box = nil
			}
		}
		reply(t.resigned)
	})
	if resigned {
		// Nothing acts for the term any more: the next one need not wait.
		if err := n.store.Revoke(ctx, lease); err != nil && !errors.Is(err, statestore.ErrNotFound) {
			n.log.Info("lease not ended", "err", err)
		}
	}
	return n.refreshed(ctx)
}

// hold renews the term's lease until it is over.
func (n *Node) hold(ctx context.Context, t *term, ttl time.Duration) {
	pause := ttl / 4
	quiet := false // the failure has been logged
	for ctx.Err() == nil {
		wait.For(ctx, pause)
		sent := n.now()
		err := n.store.Renew(ctx, t.lease)
		switch {
		case err == nil:
			if !n.mayAct() {
				n.log.Info("lease renewed late: the term goes on", "token", t.stamp)
			}
			n.actUntil.Store(int64(core.LeaseUntil(sent, core.Micros(ttl/time.Microsecond))))
			pause, quiet = ttl/4, false
		case errors.Is(err, statestore.ErrNotFound):
			n.log.Info("lease is over", "token", t.stamp)
			return
		default:
			if !quiet {
				n.log.Info("lease not renewed; trying on", "err", err, "may_act", n.mayAct())
			}
			quiet = true
			pause = 150 * time.Millisecond
		}
	}
}

// begin reads all records and hands them to the core.
func (n *Node) begin(ctx context.Context, t *term) {
	for ctx.Err() == nil {
		snap, err := n.snapshot(ctx)
		if err == nil && n.refresh(ctx) {
			n.post(func() {
				if ctx.Err() != nil {
					return
				}
				n.term = t
				t.begun = n.now()
				jobs := make([]core.JobRecord, 0, len(n.view.jobs))
				for _, r := range n.view.jobs {
					if r.Phase != core.Done {
						jobs = append(jobs, r)
					}
				}
				n.core.Begin(n.now(), wall(), t.stamp, jobs, snap)
			})
			go n.tendCloud(ctx, t)
			if n.notifier != nil {
				go n.beginOutbox(ctx, t)
			}
			return
		}
		n.log.Info("term cannot begin yet", "err", err)
		wait.For(ctx, 200*time.Millisecond)
	}
}

func (n *Node) snapshot(ctx context.Context) (core.Snapshot, error) {
	var s core.Snapshot
	entries, _, err := n.store.List(ctx, "b/")
	if err != nil {
		return s, err
	}
	for _, e := range entries {
		var err error
		switch {
		case strings.HasPrefix(e.Key, core.MachinePrefix):
			var r core.MachinesRecord
			r, err = wire.DecodeMachines(e.Key, e.Value)
			s.Machines = append(s.Machines, r)
		case strings.HasPrefix(e.Key, core.RentPrefix):
			var r core.RentRecord
			r, err = wire.DecodeRent(e.Value)
			s.Rents = append(s.Rents, r)
		case strings.HasPrefix(e.Key, core.RangesPrefix):
			var r core.RangeRecord
			r, err = wire.DecodeRanges(e.Key, e.Value)
			s.Ranges = append(s.Ranges, r)
		case strings.HasPrefix(e.Key, core.KeptPrefix):
			var r core.KeptRecord
			r, err = wire.DecodeKept(e.Key, e.Value)
			s.Kept = append(s.Kept, r)
		case strings.HasPrefix(e.Key, core.OpenPrefix):
			s.Open = append(s.Open, e.Key[len(core.OpenPrefix):])
		}
		if err != nil {
			return s, fmt.Errorf("record %s: %w", e.Key, err)
		}
	}
	return s, nil
}

// raise writes the leader's key again: its new revision is a new token, under
// which commands that are still under way are void.
func (t *term) raise() {
	if t.raising {
		return
	}
	t.raising = true
	n := t.n
	t.nth++
	value, err := wire.Marshal(&wire.Leader{Node: n.cfg.Member, Nth: t.nth})
	if err != nil {
		n.log.Error("raise token", "err", err)
		return
	}
	txn := &wire.Txn{
		If:   []wire.Cond{{Key: leaderKey, Version: t.stamp}},
		Then: []wire.Write{{Put: leaderKey, Value: value, Lease: t.lease}},
	}
	go func() {
		stamp, err := n.store.Commit(n.ctx, txn)
		n.post(func() {
			t.raising = false
			if err != nil {
				n.log.Info("token not raised", "err", err)
				if len(t.voided) > 0 {
					time.AfterFunc(raisePause, func() { n.post(func() { n.ifTerm(t, t.raise) }) })
				}
				return
			}
			n.ifTerm(t, func() { t.raised(stamp) })
		})
	}()
}

// raisePause is between two tries to raise a token that something waits for.
const raisePause = 200 * time.Millisecond

// void raises the token, and calls then once no write that was sent under it can be carried
// out any more.
func (t *term) void(then func()) {
	t.voided = append(t.voided, then)
	t.raise()
}

func (t *term) raised(stamp uint64) {
	if stamp > t.stamp {
		t.stamp = stamp
		t.n.core.Raised(t.n.now(), stamp)
		for _, f := range t.voided {
			f()
		}
		t.voided = nil
	}
}

// tendCloud keeps catalog and machine list current while the term lasts.
func (n *Node) tendCloud(ctx context.Context, t *term) {
	const catalogEvery = time.Minute
	every := time.Duration(n.settings.ListEveryS * float64(time.Second))
	var catalogAt time.Time
	for ctx.Err() == nil {
		pause := every
		if !time.Now().Before(catalogAt) {
			if types, raw, err := n.cloud.Catalog(ctx); err == nil {
				catalogAt = time.Now().Add(catalogEvery)
				n.post(func() { n.ifTerm(t, func() { n.learnCatalog(t, types, raw) }) })
			} else {
				n.log.Info("catalog", "err", err)
				pause = time.Second
			}
		}
		if list, err := n.cloud.List(ctx); err == nil {
			n.post(func() { n.ifTerm(t, func() { n.core.Listed(n.now(), list) }) })
		} else {
			n.log.Info("machine list", "err", err)
		}
		wait.For(ctx, pause)
	}
}

// learnCatalog takes the cloud's answer and keeps it for the other nodes, and
// for times when the cloud does not answer.
func (n *Node) learnCatalog(t *term, types []core.MachineType, raw []byte) {
	if len(types) == 0 {
		return
	}
	known := n.view.catalogSeen > 0 && len(n.catalog) == len(types)
	for i := 0; known && i < len(types); i++ {
		known = n.catalog[i].Name == types[i].Name && n.catalog[i].Cap == types[i].Cap
	}
	n.catalog = types
	n.core.Catalog(types)
	if known {
		return
	}
	b, err := wire.Marshal(&wire.CatalogRecord{Raw: raw})
	if err != nil {
		n.log.Error("catalog record", "err", err)
		return
	}
	n.commit.add(&item{
		term: t,
		ops:  []wire.Write{{Put: catalogKey, Value: b}},
		done: func(uint64, error) {},
	}, true)
}

// setCatalog takes the catalog that a leader has kept.
func (n *Node) setCatalog(raw []byte) {
	types, err := wire.ParseCatalog(raw)
	if err != nil {
		n.log.Error("catalog record", "err", err)
		return
	}
	n.catalog = types
	n.core.Catalog(types)
}
