package node

import (
	"context"
	"strings"

	"aspenstall/internal/core"
	"aspenstall/internal/nomad/registry"
	"aspenstall/internal/wire"
)

// recordList is a complete list of the watched records while it is read. The records of jobs, which are
// nearly all of it, are applied page by page and not kept, so that a controller needs little more
// memory to start than to serve. The others are applied together, once the list is complete.
type recordList struct {
	revision    uint64      // of the first page
	requestedAt core.Micros // when the first page was requested
	others      []wire.Entry
	// changedJobs holds the jobs that changed since the view's revision, for the outbox. A node that has
	// no view yet has no outbox either.
	changedJobs []string
}

// readListPage decodes a page of a list and has the owning goroutine apply the jobs in it. It waits for
// that: pages must not pile up.
func (n *Node) readListPage(ctx context.Context, list *recordList, page []wire.Entry) error {
	jobs := make([]core.JobRecord, 0, len(page))
	for i := range page {
		e := &page[i]
		id, isJob := strings.CutPrefix(e.Key, jobPrefix)
		if !isJob {
			list.others = append(list.others, *e)
			continue
		}
		rec, err := wire.DecodeJob(id, e.Value, e.ModRevision)
		if err != nil {
			n.log.Error("job record", "err", err)
			continue
		}
		jobs = append(jobs, rec)
	}
	if _, ok := call(ctx, n, func(reply func(struct{})) {
		n.applyListedJobs(list, jobs)
		reply(struct{}{})
	}); !ok {
		return ctx.Err()
	}
	return nil
}

// applyListedJobs applies the jobs of one page of a list.
func (n *Node) applyListedJobs(list *recordList, jobs []core.JobRecord) {
	for _, rec := range jobs {
		id := rec.Spec.ID
		if n.notifier != nil && n.view.ready && rec.Revision > n.view.revision {
			list.changedJobs = append(list.changedJobs, id)
		}
		n.applyJob(rec)
		// The registry takes the change once the view includes it. A job file that is not known yet is
		// among the records that follow.
		n.nomad.noteListed(id)
	}
}

// applyList applies the rest of a complete list. Jobs are never deleted. The leader's key may have been:
// its absence from the list counts.
func (n *Node) applyList(list *recordList) {
	leaderListed, previous := false, n.view.revision
	listedJobFiles := map[string]bool{}
	for i := range list.others {
		e := &list.others[i]
		leaderListed = leaderListed || e.Key == leaderKey
		if strings.HasPrefix(e.Key, registry.Prefix) {
			listedJobFiles[e.Key] = true
		}
		n.applyPut(e.Key, e.Value, e.ModRevision)
		e.Value = nil
	}
	if list.revision > n.view.revision {
		n.nomad.dropMissing(listedJobFiles, list.revision)
	}
	if !leaderListed && n.view.leaderRevision < list.revision {
		n.setLeader("", list.revision)
	}
	n.noteRead(list.revision, list.requestedAt)
	n.resolveConfig()
	n.feedOutbox(list.changedJobs, previous, list.revision)
	n.view.ready = true
	n.acknowledgeConfig()
	n.updateHealth()
	n.wakeElector()
}
