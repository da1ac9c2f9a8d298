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

// neededBy returns what a job that waits needs of those that it waits for.
func (n *Node) neededBy(id string) core.Urgency {
	rec := n.view.jobs[id]
	u := n.currentUrgency(&rec)
	if u.DueAt > 0 {
		u.DueAt -= core.Micros(dependentRunFactor*float64(rec.Spec.EstimatedRun)) + dependentStartDelay
	}
	return u
}

// currentUrgency returns the urgency that counts for a job at present.
func (n *Node) currentUrgency(rec *core.JobRecord) core.Urgency {
	if u, ok := n.chains.urgency[rec.Spec.ID]; ok {
		return u
	}
	return ownUrgency(rec)
}

// combine returns the urgency of a job that has one already and is needed by another job. A team's cap
// holds also where another team needs the job.
func (n *Node) combine(rec *core.JobRecord, u, needed core.Urgency) core.Urgency {
	limit := max(rec.Spec.Priority, n.priorityCap(rec.Spec.Team))
	u.Priority = min(max(u.Priority, needed.Priority), limit)
	if needed.DueAt > 0 && (u.DueAt == 0 || needed.DueAt < u.DueAt) {
		u.DueAt = needed.DueAt
	}
	return u
}

// urgencyOf works out the urgency that counts for a job: its own, and what those that wait for it need.
func (n *Node) urgencyOf(rec *core.JobRecord) core.Urgency {
	u := ownUrgency(rec)
	for _, dependent := range n.chains.graph.Dependents(rec.Spec.ID) {
		u = n.combine(rec, u, n.neededBy(dependent))
	}
	return u
}

// updateUrgency sets the urgency of pending jobs to what change returns, and goes on with those that they
// wait for as far as something changes.
func (n *Node) updateUrgency(ids []string, change func(rec *core.JobRecord) core.Urgency) {
	for _, id := range ids {
		rec, known := n.view.jobs[id]
		if !known || rec.Phase != core.Pending {
			continue
		}
		u := change(&rec)
		if u == n.currentUrgency(&rec) {
			continue
		}
		if n.chains.urgency == nil {
			n.chains.urgency = map[string]core.Urgency{}
		}
		n.chains.urgency[id] = u
		n.core.SetUrgency(n.now(), id, u)
		if n.chains.graph.Waits(id) {
			n.updateUrgency(rec.Spec.Dependencies(), n.urgencyOf)
		}
	}
}

// addUrgency has a new job's urgency count for those that it waits for. The cost does not depend on how
// many others wait for them, as long as they wait for nothing themselves.
func (n *Node) addUrgency(rec *core.JobRecord) {
	id := rec.Spec.ID
	if n.chains.graph.HasDependents(id) { // their records came before this one
		n.updateUrgency([]string{id}, n.urgencyOf)
	}
	if !n.chains.graph.Waits(id) {
		return
	}
	needed := n.neededBy(id)
	n.updateUrgency(rec.Spec.Dependencies(), func(dependency *core.JobRecord) core.Urgency {
		return n.combine(dependency, n.currentUrgency(dependency), needed)
	})
}

// restoreUrgency tells the core of a new term the urgency of the jobs that others need.
func (n *Node) restoreUrgency() {
	for id, u := range n.chains.urgency {
		n.core.SetUrgency(n.now(), id, u)
	}
}
