package node

import "aspenstall/internal/core"

// What a job that depends on another one needs after it: its own run, with an estimate that is often too
// short by half, and the time to place and start its tasks.
const (
	dependentRunFactor  = 1.5
	dependentStartDelay = 5 * core.Second
)

// ownUrgency returns the urgency that a job has by itself.
func ownUrgency(rec *core.JobRecord) core.Urgency {
	u := core.Urgency{Priority: rec.Spec.Priority}
	if rec.Spec.Deadline > 0 {
		u.DueAt = rec.SubmittedAt + rec.Spec.Deadline
	}
	return u
}

// urgencyOf returns the urgency that counts for a job: its own, and what those that wait for it need.
func (n *Node) urgencyOf(id string) core.Urgency {
	rec := n.view.jobs[id]
	u := ownUrgency(&rec)
	for _, dependent := range n.chains.graph.Dependents(id) {
		next := n.view.jobs[dependent]
		needed, known := n.chains.urgency[dependent]
		if !known {
			needed = ownUrgency(&next)
		}
		u.Priority = max(u.Priority, needed.Priority)
		if needed.DueAt == 0 {
			continue
		}
		latestEnd := needed.DueAt - core.Micros(dependentRunFactor*float64(next.Spec.EstimatedRun)) - dependentStartDelay
		if u.DueAt == 0 || latestEnd < u.DueAt {
			u.DueAt = latestEnd
		}
	}
	// A team's cap holds also where another team needs the job.
	u.Priority = min(u.Priority, max(rec.Spec.Priority, n.priorityCap(rec.Spec.Team)))
	return u
}

// updateUrgency works out the urgency of jobs anew whose dependents have changed, and of those that they
// depend on in turn.
func (n *Node) updateUrgency(ids []string) {
	for next := ids; len(next) > 0; next = next[1:] {
		id := next[0]
		rec, known := n.view.jobs[id]
		if !known || rec.Phase != core.Pending {
			continue
		}
		u := n.urgencyOf(id)
		if old, ok := n.chains.urgency[id]; ok && old == u || !ok && u == ownUrgency(&rec) {
			continue
		}
		if n.chains.urgency == nil {
			n.chains.urgency = map[string]core.Urgency{}
		}
		n.chains.urgency[id] = u
		n.core.SetUrgency(n.now(), id, u)
		if n.chains.graph.Waits(id) {
			next = append(next[:len(next):len(next)], rec.Spec.Dependencies()...)
		}
	}
}

// restoreUrgency tells the core of a new term the urgency of the jobs that others need.
func (n *Node) restoreUrgency() {
	for id, u := range n.chains.urgency {
		n.core.SetUrgency(n.now(), id, u)
	}
}
