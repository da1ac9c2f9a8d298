package core

import (
	"sort"

	"aspenstall/internal/txn"
)

// HandleJob applies a new or changed job record. wall is the wall-clock time at now.
func (c *Core) HandleJob(now, wall Micros, rec JobRecord) {
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
		if rec.EndedAt > 0 {
			at -= max(wall-rec.EndedAt, 0)
		}
		c.cancel(j, now, at)
	}
}

// addJob adds an unfinished job. startedRecorded says that it is recorded that tasks of the job may
// have been started.
func (c *Core) addJob(now, wall Micros, rec JobRecord, startedRecorded bool) {
	age := max(wall-rec.SubmittedAt, 0)
	j := newJob(rec, now-age)
	j.team, j.class, j.imageID = c.team(rec.Spec.Team), c.class(rec.Spec.Class), c.imageID(rec.Spec.Image)
	j.mayHaveStarted, j.unaccounted = startedRecorded, startedRecorded
	c.jobs[rec.Spec.ID] = j
	if rec.Phase == Cancelled {
		j.cancelled = true
		return
	}
	c.enqueue(j)
	c.needsPlacement = true
	if rec.Spec.Kind == Service {
		j.class.serviceArrivals.observe(j)
	} else {
		j.class.reservation.observe(j)
		j.class.observeSize(j.spec.Tasks)
	}
}

// cancel stops the tasks of a job that was cancelled at the time at.
func (c *Core) cancel(j *job, now, at Micros) {
	c.log("job cancelled", "job", j.spec.ID, "tasks_on_machines", j.occupying)
	j.cancelled, j.cancelledAt = true, at
	c.dequeue(j)
	for _, p := range j.livePlacements() {
		c.stopPlacement(p, now, 0)
	}
	c.completionsRecorded(j.unrecorded)
	j.unrecorded = nil
	c.needsPlacement = true
	c.cleanUpCancelled(j)
}

// finish removes a job that is recorded as done.
func (c *Core) finish(j *job, now Micros) {
	c.dequeue(j)
	delete(c.jobs, j.spec.ID)
	for _, p := range j.livePlacements() {
		c.stopPlacement(p, now, 0)
	}
	c.completionsRecorded(j.unrecorded)
	j.unrecorded = nil
	c.needsPlacement = true
}

// cleanUpCancelled deletes the records of a cancelled job once none of its tasks can be on any
// machine.
func (c *Core) cleanUpCancelled(j *job) {
	if !j.cancelled || j.unaccounted || j.occupying > 0 || c.jobs[j.spec.ID] != j {
		return
	}
	delete(c.jobs, j.spec.ID)
	if j.mayHaveStarted || j.writingStarted {
		c.write(Write{Kind: txn.JobRecordsDropped, Deletes: c.jobKeys(j)}, nil)
	}
}

// ensureStartedRecord reports whether it is recorded that tasks of the job may have been started.
// If it is not, it writes the record and returns false.
func (c *Core) ensureStartedRecord(j *job, now Micros) bool {
	if j.mayHaveStarted {
		return true
	}
	if j.writingStarted || now < j.startedRetryAt {
		return false
	}
	j.writingStarted = true
	c.write(Write{Kind: txn.JobStarted, Puts: []Put{{StartedPrefix + j.spec.ID, StartedRecord{j.spec.ID}}}, Urgent: true, Priority: j.spec.Priority}, func(now Micros, o WriteOutcome) {
		stored := o == Stored
		j.writingStarted = false
		j.mayHaveStarted = j.mayHaveStarted || stored
		if !stored {
			j.startedRetryAt = now + writeRetryDelay
		}
		for _, p := range j.live {
			if stored {
				c.queueCommands(p.machine)
			} else {
				c.queueCommandsLater(p.machine)
			}
		}
	})
	return false
}

// sortedJobs returns the jobs ordered by ID.
func (c *Core) sortedJobs() []*job {
	out := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		out = append(out, j)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].spec.ID < out[b].spec.ID })
	return out
}

// livePlacements returns the job's live placements ordered by task index.
func (j *job) livePlacements() []*placement {
	out := make([]*placement, 0, len(j.live))
	for _, p := range j.live {
		out = append(out, p)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].index < out[b].index })
	return out
}

// enqueue inserts a job into the queue, which is kept in scheduling order.
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
