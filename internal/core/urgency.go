package core

// Urgency is how soon a job is needed.
type Urgency struct {
	Priority Priority
	DueAt    Micros // wall clock; 0: at no certain time
}

// SetUrgency sets the priority and the deadline that count for a job in place of its own, because others
// need it. Its record stays as it is.
func (c *Core) SetUrgency(now Micros, id string, u Urgency) {
	j := c.jobs[id]
	if !c.leading || j == nil || j.cancelled {
		return
	}
	deadline := Micros(0)
	if u.DueAt > 0 {
		deadline = max(u.DueAt-j.record.SubmittedAt, 1)
	}
	if j.spec.Priority == u.Priority && j.spec.Deadline == deadline {
		return
	}
	c.dequeue(j)
	j.team.placedByPriority[j.spec.Priority] -= j.occupying
	j.team.placedByPriority[u.Priority] += j.occupying
	j.spec.Priority, j.spec.Deadline, j.deadline = u.Priority, deadline, 0
	if deadline > 0 {
		j.deadline = j.submitted + deadline
	}
	c.enqueue(j)
	c.needsPlacement = true
}
