package node

import (
	"context"
	"errors"
	"math"
	"strings"
	"time"

	"aspenstall/internal/clusterconfig"
	"aspenstall/internal/core"
	"aspenstall/internal/nomad/registry"
	"aspenstall/internal/peer"
	"aspenstall/internal/statestore"
	"aspenstall/internal/wait"
	"aspenstall/internal/wire"
)

// view holds the records that every node watches, as far as this node has read them.
type view struct {
	ready    bool
	revision uint64 // every change up to this revision is included
	jobs     map[string]core.JobRecord

	leader          string // member name; "" for none
	leaderRevision  uint64 // of the leader's key, or of its deletion
	lastLeader      string // member that wrote the latest leader's key
	lastLeaderToken uint64 // the revision of that key
	catalogRevision uint64
}

// watchRecords keeps the view up to date until ctx ends.
func (n *Node) watchRecords(ctx context.Context) {
	const maxWait = time.Second // a watch that takes longer shows that the service is unreachable
	pause := 100 * time.Millisecond
	relist := true
	var since uint64
	for ctx.Err() == nil {
		var err error
		requestedAt := n.now()
		if relist {
			list := &recordList{requestedAt: requestedAt}
			if list.revision, err = n.stateClient.ListPages(ctx, watchedPrefix, func(page []wire.Entry) error { return n.readListPage(ctx, list, page) }); err == nil {
				n.post(func() { n.applyList(list) })
				since, relist = list.revision, false
			}
		} else {
			var ch *wire.Changes
			ch, err = n.stateClient.Changes(ctx, watchedPrefix, since, maxWait)
			if err == nil {
				n.post(func() { n.applyChanges(ch, requestedAt) })
				since = ch.Revision
			}
			relist = errors.Is(err, statestore.ErrCompacted)
		}
		if err == nil {
			pause = 100 * time.Millisecond
			continue
		}
		n.log.Debug("watch", "err", err)
		wait.For(ctx, pause)
		pause = min(2*pause, 500*time.Millisecond)
	}
}

// logListProgress logs how far a list of the state service's keys has been read.
func (n *Node) logListProgress(p statestore.ListProgress) {
	message := "reading records"
	if p.Complete {
		message = "records read"
	}
	n.log.Info(message, "prefix", p.Prefix, "pages", p.Pages, "keys", p.Keys, "refused", p.Refused, "failed", p.Failed,
		"pages_per_s", math.Round(p.PagesPerSecond), "elapsed_ms", p.Elapsed.Milliseconds(), "last_err", p.LastErr)
}

// noteRead records that the view holds all changes up to rev. The state service had reached that
// revision when the read was requested at requestedAt, or later.
func (n *Node) noteRead(rev uint64, requestedAt core.Micros) {
	n.view.revision = max(n.view.revision, rev)
	n.nomad.takeWritten(n)
	n.currentAsOf = max(n.currentAsOf, requestedAt)
	n.lastStateResponse = time.Now()
}

// applyChanges applies changes that were requested at requestedAt.
func (n *Node) applyChanges(ch *wire.Changes, requestedAt core.Micros) {
	previous := n.view.revision
	var changedJobs []string
	for i := range ch.Events {
		e := &ch.Events[i]
		if e.Put != "" {
			if n.notifier != nil && e.ModRevision > previous && strings.HasPrefix(e.Put, jobPrefix) {
				changedJobs = append(changedJobs, e.Put[len(jobPrefix):])
			}
			n.applyPut(e.Put, e.Value, e.ModRevision)
		} else if clusterconfig.IsRecord(e.Delete) {
			n.dropConfig(e.Delete, e.ModRevision)
		} else if e.Delete != leaderKey {
			if e.ModRevision > n.view.revision {
				n.nomad.dropRecord(e.Delete, e.ModRevision)
			}
		} else if e.ModRevision > n.view.leaderRevision {
			n.setLeader("", e.ModRevision)
		}
	}
	n.noteRead(ch.Revision, requestedAt)
	n.resolveConfig()
	n.acknowledgeConfig()
	n.feedOutbox(changedJobs, previous, ch.Revision)
}

// applyPut applies one record unless a newer version is known: two reads may overlap and arrive in
// either order.
func (n *Node) applyPut(key string, value []byte, revision uint64) {
	switch {
	case key == leaderKey:
		if revision < n.view.leaderRevision {
			return
		}
		var l wire.LeaderRecord
		if err := wire.Unmarshal(value, &l); err != nil {
			n.log.Error("leader record", "err", err)
			return
		}
		n.setLeader(l.Node, revision)
	case key == catalogKey:
		if revision > n.view.catalogRevision {
			n.view.catalogRevision = revision
			var rec wire.CatalogRecord
			// A leader has its own catalog, with current prices. The other nodes need the record
			// to judge which jobs can run: they must not refuse what the leader accepts.
			if err := wire.Unmarshal(value, &rec); err == nil && (n.term == nil || n.catalog == nil) {
				n.applyCatalogRecord(rec.Raw)
			}
		}
	case strings.HasPrefix(key, jobPrefix):
		id := key[len(jobPrefix):]
		if old, ok := n.view.jobs[id]; ok && old.Revision >= revision {
			return
		}
		rec, err := wire.DecodeJob(id, value, revision)
		if err != nil {
			n.log.Error("job record", "err", err)
			return
		}
		n.applyJob(rec)
		n.nomad.nativeJobChanged(n, &rec)
	case clusterconfig.IsRecord(key):
		n.putConfig(key, value, revision)
	case strings.HasPrefix(key, registry.Prefix):
		// Of two overlapping reads, the later one to arrive may hold records that the other one
		// showed as deleted. These must not come back.
		if revision > n.view.revision {
			n.nomad.putRecord(n, key, value, revision)
		}
	}
}

// applyWrittenJob applies a job's record that this node has written.
func (n *Node) applyWrittenJob(rec core.JobRecord) {
	n.applyJob(rec)
	n.nomad.noteWritten(rec.Spec.ID)
}

// applyJob applies a job's record that this node has read or written.
func (n *Node) applyJob(rec core.JobRecord) {
	id := rec.Spec.ID
	old, known := n.view.jobs[id]
	if known && old.Revision >= rec.Revision {
		return
	}
	if rec.Phase != core.Pending {
		delete(n.chains.unrecorded, id)
	}
	rec, forCore := n.admitToView(rec)
	if forCore {
		n.core.HandleJob(n.now(), wallClock(), rec)
	}
	n.view.jobs[id] = rec
	if rec.Phase == core.Pending {
		n.addUrgency(&rec)
	} else {
		delete(n.leaderCounts, id)
		delete(n.chains.urgency, id)
		n.settleDependents(rec)
		n.updateUrgency(old.Spec.Dependencies(), n.urgencyOf)
	}
	if rec.Phase == core.Cancelled && endRecorded(&rec) {
		n.cancellations.add(peer.Cancellation{Job: id, Revision: rec.Revision, At: int64(rec.EndedAt)})
	}
}

// setLeader records who holds the leader's key as of a revision; name is empty if the key was
// deleted.
func (n *Node) setLeader(name string, revision uint64) {
	if name != n.view.leader {
		n.log.Info("leader", "leader", name, "revision", revision)
	}
	n.view.leader, n.view.leaderRevision = name, revision
	if name != "" {
		n.view.lastLeader, n.view.lastLeaderToken = name, revision
		n.noteLeader(name, revision)
	}
	n.wakeElector()
}

// noteLeader takes the content of a leader's key, read from the state service or reported by a
// peer.
func (n *Node) noteLeader(name string, token uint64) {
	switch t := n.term; {
	case t == nil || token <= t.token:
	case name != n.platform.Member:
		t.deposed = true // even if its own lease can neither be renewed nor be seen to end
	case token == n.view.lastLeaderToken:
		// This node rewrote its key and the response was lost.
		t.tokenRaised(token)
	}
}

func (n *Node) wakeElector() { wait.Wake(n.electorWake) }

// readLinearizable calls f with true once the view is known to hold every change made before this
// call (a linearizable read), or with false if that could not be found out.
//
// One read of the changes, begun after the call, serves all callers that wait at that moment. A
// long watch would prove nothing: it does not return while other keys change. Between two reads
// there is a pause of readInterval, so that all nodes together leave half of the service's
// requests to writes, however many users ask.
func (n *Node) readLinearizable(f func(ok bool)) {
	if len(n.readWaiters) >= 2000 || n.stateUnreachable() {
		f(false)
		return
	}
	n.readWaiters = append(n.readWaiters, f)
	n.startRead()
}

// startRead starts a read for readWaiters, now or once readInterval since the last one has passed.
func (n *Node) startRead() {
	if n.readPending || len(n.readWaiters) == 0 {
		return
	}
	if wait := n.lastReadStarted + n.readInterval - n.now(); wait > 0 {
		n.readPending = true
		time.AfterFunc(time.Duration(wait)*time.Microsecond, func() {
			n.post(func() {
				n.readPending = false
				n.startRead()
			})
		})
		return
	}
	n.lastReadStarted = n.now()
	waiting := n.readWaiters
	n.readWaiters = nil
	if !n.view.ready {
		for _, f := range waiting {
			f(false)
		}
		return
	}
	n.readPending = true
	since, requestedAt := n.view.revision, n.now()
	go func() {
		ch, err := n.stateClient.Changes(n.ctx, watchedPrefix, since, 0)
		n.post(func() {
			n.readPending = false
			if err == nil {
				n.applyChanges(ch, requestedAt)
			} else {
				n.log.Debug("sync", "err", err)
			}
			for _, f := range waiting {
				f(err == nil)
			}
			n.startRead()
		})
	}()
}
