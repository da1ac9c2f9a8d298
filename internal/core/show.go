package core

// Counts are a job's tasks that are done and that run, for display.
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

// Jobs lists the unfinished jobs.
func (c *Core) UnfinishedJobs() []string {
	out := make([]string, 0, len(c.queue))
	for _, j := range c.queue {
		out = append(out, j.spec.ID)
	}
	return out
}

// TaskView is a task that is done or on a machine, for display.
type TaskView struct {
	Index   int
	Attempt uint64
	Done    bool
	Machine string // "" for a task that is done
	State   TaskState
	Age     Micros // since it was placed
}

// Tasks lists a job's tasks that are done or on a machine, beginning with one,
// at most limit of them; more says that there are others.
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

// MachineView is a machine, for display.
type MachineView struct {
	Name, Type, Zone string
	Spot             bool
	Ready            bool // its worker reports
}

// Machines lists the machines that are up.
func (c *Core) Machines() []MachineView {
	out := make([]MachineView, 0, len(c.sortedMachines))
	for _, m := range c.sortedMachines {
		if !m.booting && !m.lost {
			out = append(out, MachineView{m.name, m.typeName, m.zone, m.spot, !m.unreachable})
		}
	}
	return out
}

// Watch has Step say when the counts of a job change, or no longer.
func (c *Core) Watch(id string, enabled bool) {
	if enabled {
		c.watched[id] = true
	} else {
		delete(c.watched, id)
	}
}

// moves notes that a job's counts changed.
func (c *Core) notifyProgress(j *job) {
	if len(c.watched) > 0 && c.watched[j.spec.ID] {
		c.actions = append(c.actions, JobProgress{j.spec.ID})
	}
}
