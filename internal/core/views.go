package core

// TaskCounts returns the numbers of a job's tasks that are done and that are running. ok is false
// if this node does not lead or there is no unfinished job with this ID.
func (c *Core) TaskCounts(id string) (done, running int, ok bool) {
	if !c.leading {
		return 0, 0, false
	}
	j := c.jobs[id]
	if j == nil {
		return 0, 0, false
	}
	return j.done, j.running, true
}

// UnfinishedJobs returns the IDs of the unfinished jobs in scheduling order.
func (c *Core) UnfinishedJobs() []string {
	out := make([]string, 0, len(c.queue))
	for _, j := range c.queue {
		out = append(out, j.spec.ID)
	}
	return out
}

// TaskView describes a task that is done or on a machine.
type TaskView struct {
	Index   int
	Attempt uint64
	Done    bool
	Machine string // "" if the task is done
	State   TaskState
	Age     Micros // time since the task was placed
}

// Tasks returns at most limit of a job's tasks that are done or on a machine, from the index first
// on. more reports whether there are others after them. ok is false if this node does not lead or
// the job is not known.
func (c *Core) Tasks(now Micros, id string, first, limit int) (tasks []TaskView, more, ok bool) {
	j := c.jobs[id]
	if !c.leading || j == nil {
		return nil, false, false
	}
	for i := max(first, 0); i < len(j.status); i++ {
		p := j.live[i]
		if j.status[i] != taskDone && (p == nil || p.state == Exited) {
			continue
		}
		if len(tasks) == limit {
			return tasks, true, true
		}
		v := TaskView{Index: i, Done: j.status[i] == taskDone}
		if p != nil && !v.Done {
			v.Attempt, v.Machine, v.State, v.Age = p.attempt, p.machine.name, p.state, max(now-p.placedAt, 0)
		}
		tasks = append(tasks, v)
	}
	return tasks, false, true
}

// MachineView describes a machine that is up.
type MachineView struct {
	Name, Type, Zone string
	Spot             bool
	Ready            bool // the machine is not unreachable
}

// Machines returns the machines that are up, ordered by name.
func (c *Core) Machines() []MachineView {
	out := make([]MachineView, 0, len(c.sortedMachines))
	for _, m := range c.sortedMachines {
		if !m.booting && !m.lost {
			out = append(out, MachineView{m.name, m.typeName, m.zone, m.spot, !m.unreachable})
		}
	}
	return out
}

// Watch sets whether Step returns JobProgress when the task counts of the job change.
func (c *Core) Watch(id string, enabled bool) {
	if enabled {
		c.watched[id] = true
	} else {
		delete(c.watched, id)
	}
}

// notifyProgress adds JobProgress if the job is watched.
func (c *Core) notifyProgress(j *job) {
	if len(c.watched) > 0 && c.watched[j.spec.ID] {
		c.actions = append(c.actions, JobProgress{j.spec.ID})
	}
}
