package core

import "sort"

// Job takes a new or changed job record.
func (c *Core) Job(now, wall Micros, rec JobRecord) {
	if !c.leading {
		return
	}
	j := c.jobs[rec.Spec.ID]
	switch {
	case j == nil && rec.Phase == Pending:
		c.addJob(now, wall, rec, false)
	case j == nil:
	case rec.Phase == Done:
		c.finish(j, now)
	case rec.Phase == Cancelled && !j.cancelled:
		at := now
		if rec.Ended > 0 {
			at -= max(wall-rec.Ended, 0)
		}
		c.cancel(j, now, at)
	}
}

func (c *Core) addJob(now, wall Micros, rec JobRecord, opened bool) {
	age := max(wall-rec.Submitted, 0)
	j := newJob(rec, now-age)
	j.team, j.class, j.image = c.team(rec.Spec.Team), c.class(rec.Spec.Class), c.image(rec.Spec.Image)
	j.opened, j.held = opened, opened
	c.jobs[rec.Spec.ID] = j
	if rec.Phase == Cancelled {
		j.cancelled = true
		return
	}
	c.enqueue(j)
	c.dirty = true
	if rec.Spec.Kind == Service {
		j.class.services.seen(j)
	} else {
		j.class.batches.seen(j)
		j.class.seenSize(j.spec.Tasks)
	}
}

// cancel ends a job that was cancelled at a time.
func (c *Core) cancel(j *job, now, at Micros) {
	c.note("job cancelled", "job", j.spec.ID, "tasks_on_machines", j.on)
	j.cancelled, j.cancelAt = true, at
	c.dequeue(j)
	for _, p := range j.placements() {
		c.unwant(p, now, 0)
		p.finalOK = true
	}
	c.recordedEnds(j.ends)
	j.ends = nil
	c.dirty = true
	c.closeIfOver(j)
}

// finish forgets a job that is recorded as done.
func (c *Core) finish(j *job, now Micros) {
	c.dequeue(j)
	delete(c.jobs, j.spec.ID)
	for _, p := range j.placements() {
		p.finalOK = true
		c.unwant(p, now, 0)
	}
	c.recordedEnds(j.ends)
	j.ends = nil
	c.dirty = true
}

// closeIfOver drops the records of a cancelled job once nothing of it is left
// on any machine.
func (c *Core) closeIfOver(j *job) {
	if !j.cancelled || j.held || j.on > 0 || c.jobs[j.spec.ID] != j {
		return
	}
	delete(c.jobs, j.spec.ID)
	if j.opened || j.opening {
		c.write(Write{Drops: c.jobKeys(j)}, nil)
	}
}

// open reports whether it is recorded that tasks of the job may run, and sees
// to it where it is not.
func (c *Core) open(j *job, now Micros) bool {
	if j.opened {
		return true
	}
	if j.opening || now < j.openFrom {
		return false
	}
	j.opening = true
	c.write(Write{Puts: []Put{{OpenPrefix + j.spec.ID, OpenRecord{j.spec.ID}}}, Urgent: true, Priority: j.spec.Priority}, func(now Micros, o WriteOutcome) {
		ok := o == Stored
		j.opening = false
		j.opened = j.opened || ok
		if !ok {
			j.openFrom = now + writeRetry
		}
		for _, p := range j.live {
			if ok {
				c.touch(p.m)
			} else {
				c.touchLater(p.m)
			}
		}
	})
	return false
}

func (c *Core) sortedJobs() []*job {
	out := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		out = append(out, j)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].spec.ID < out[b].spec.ID })
	return out
}

// placements lists the job's live placements by task.
func (j *job) placements() []*placement {
	out := make([]*placement, 0, len(j.live))
	for _, p := range j.live {
		out = append(out, p)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].index < out[b].index })
	return out
}

// enqueue keeps the queue sorted as a job joins.
func (c *Core) enqueue(j *job) {
	i := sort.Search(len(c.queue), func(i int) bool { return j.before(c.queue[i]) })
	c.queue = append(c.queue, nil)
	copy(c.queue[i+1:], c.queue[i:])
	c.queue[i] = j
}

func (c *Core) dequeue(j *job) {
	for i, o := range c.queue {
		if o == j {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return
		}
	}
}
