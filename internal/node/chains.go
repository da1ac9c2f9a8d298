package node

import (
	"net/http"
	"slices"

	"aspenstall/internal/core"
	"aspenstall/internal/httpapi"
	"aspenstall/internal/jobgraph"
	"aspenstall/internal/txn"
	"aspenstall/internal/wire"
)

// chains holds what a node knows of jobs that wait for others. Every node works it out from the records
// of the jobs, so all give the same answer. See docs/design/chains.md.
type chains struct {
	graph jobgraph.Graph
	// unrecorded holds jobs that are cancelled because a job that they depend on is, and whose records do
	// not say so yet. The leader writes them; a value is the term in which a write is under way, or nil.
	unrecorded map[string]*term
	urgency    map[string]core.Urgency // of pending jobs that others wait for, if it is not their own
}

// maxOrphanWrites limits the records of orphaned jobs that the leader writes at a time.
const maxOrphanWrites = 8

// dependencyState returns the state of a job for its dependents.
func (n *Node) dependencyState(id string) jobgraph.State {
	switch rec := n.view.jobs[id]; rec.Phase {
	case core.Done:
		return jobgraph.Done
	case core.Cancelled:
		return jobgraph.Cancelled
	}
	return jobgraph.Unsettled
}

// admitToView returns a job's record as it counts in the view, and whether the core may have it: not
// while the job waits for others. A job that depends on a cancelled one counts as cancelled. It never
// had a task, since that one was never done.
func (n *Node) admitToView(rec core.JobRecord) (core.JobRecord, bool) {
	if rec.Phase != core.Pending || len(rec.Spec.Dependencies()) == 0 {
		return rec, true
	}
	switch n.chains.graph.Add(rec.Spec.ID, rec.Spec.Dependencies(), n.dependencyState) {
	case jobgraph.Waiting:
		return rec, false // its urgency counts once it is in the view: see applyJob
	case jobgraph.Orphaned:
		return n.orphan(rec), true
	}
	return n.markReady(rec), true
}

// markReady returns the record of a job whose dependencies are done, with the time of the last one.
func (n *Node) markReady(rec core.JobRecord) core.JobRecord {
	ready := core.Chain{Dependencies: rec.Spec.Dependencies()}
	for _, id := range ready.Dependencies {
		ready.ReadyAt = max(ready.ReadyAt, n.view.jobs[id].EndedAt)
	}
	rec.Spec.Chain = &ready
	return rec
}

// orphan returns the record of a job as cancelled, and notes that the leader has to write it.
func (n *Node) orphan(rec core.JobRecord) core.JobRecord {
	if n.chains.unrecorded == nil {
		n.chains.unrecorded = map[string]*term{}
	}
	n.chains.unrecorded[rec.Spec.ID] = nil
	return rec.Final(core.Cancelled, wallClock())
}

// endRecorded reports whether the phase of a job is that of its stored record: it is not if the job
// counts as cancelled because of another one.
func endRecorded(rec *core.JobRecord) bool {
	return rec.Phase == core.Pending || rec.Revision > rec.AcceptedRevision
}

// settleDependents applies what a job's final record means for those that depend on it.
func (n *Node) settleDependents(rec core.JobRecord) {
	switch rec.Phase {
	case core.Done:
		for _, id := range n.chains.graph.Finish(rec.Spec.ID) {
			ready := n.markReady(n.view.jobs[id])
			n.view.jobs[id] = ready
			n.core.HandleJob(n.now(), wallClock(), ready)
			if u, ok := n.chains.urgency[id]; ok {
				n.core.SetUrgency(n.now(), id, u)
			}
		}
	case core.Cancelled:
		var needed []string // by the orphans, until now
		for _, id := range n.chains.graph.Cancel(rec.Spec.ID) {
			orphan := n.view.jobs[id]
			needed = append(needed, orphan.Spec.Dependencies()...)
			n.view.jobs[id] = n.orphan(orphan)
			delete(n.chains.urgency, id)
			n.log.Info("cancelled with a job that it depends on", "job", id, "cancelled", rec.Spec.ID)
		}
		slices.Sort(needed)
		n.updateUrgency(slices.Compact(needed), n.urgencyOf)
	}
}

// recordOrphans has the leader write the records of jobs that are cancelled with one that they depend on.
func (n *Node) recordOrphans() {
	if len(n.chains.unrecorded) == 0 || !n.isActiveLeader() {
		return
	}
	writing := 0
	for _, t := range n.chains.unrecorded {
		if t == n.term {
			writing++
		}
	}
	for id, t := range n.chains.unrecorded {
		if writing >= maxOrphanWrites {
			return
		}
		if t != n.term {
			writing++
			n.recordOrphan(n.view.jobs[id])
		}
	}
}

// recordOrphan writes the record of a job that counts as cancelled, on condition that it has not
// changed. After an error it is written again, unless another record has come. A write that is dropped
// with its term is made by the next one.
func (n *Node) recordOrphan(rec core.JobRecord) {
	id, t, revision := rec.Spec.ID, n.term, rec.Revision
	b, err := wire.EncodeJob(&rec)
	if err != nil {
		n.log.Error("encoding a job failed", "err", err)
		return
	}
	n.chains.unrecorded[id] = t
	key := jobPrefix + id
	n.committer.add(&writeRequest{
		term:  t,
		conds: []wire.Cond{{Key: key, ModRevision: revision}},
		ops:   []wire.Write{{Kind: txn.OrphanCancellation, Put: key, Value: b}},
		done: func(written uint64, err error) {
			if err == nil {
				rec.Revision = written
				n.applyWrittenJob(rec)
			} else if n.chains.unrecorded[id] == t && n.view.jobs[id].Revision == revision {
				n.chains.unrecorded[id] = nil
			}
		},
	}, false)
}

// unknownDependency reports whether a submission names a job that this node does not know, or a service,
// which is never done.
func (n *Node) unknownDependency(spec *core.JobSpec) bool {
	for _, id := range spec.Dependencies() {
		if rec, known := n.view.jobs[id]; !known || rec.Spec.Kind == core.Service {
			return true
		}
	}
	return false
}

// refuseUnknownDependency submits a job if the jobs that it names are known by a read that was begun
// after the submission came, and refuses it if one was never accepted.
func (n *Node) refuseUnknownDependency(spec *core.JobSpec, receivedAt core.Micros, reply func(httpapi.Response)) {
	n.lookup(spec.ID, reply, func() {
		if n.unknownDependency(spec) {
			reply(n.unknownJobResponse(http.StatusUnprocessableEntity, receivedAt))
			return
		}
		n.submit(spec.ID, spec, reply)
	})
}
