package core

import (
	"sort"

	"aspenstall/internal/txn"
)

// taskExited handles the exit of a task whose resources have been deallocated already.
func (c *Core) taskExited(p *placement, now Micros) {
	j := p.job
	if j == nil || c.jobs[p.jobID] != j {
		c.awaitForget(p)
		return
	}
	if p.cause == CauseDone && !j.cancelled && j.spec.Kind != Service {
		delete(p.machine.failedJobs, p.jobID)
		c.observeRunTime(p, now)
		c.markProven(j, now)
		j.unrecorded = append(j.unrecorded, p)
		c.completeTask(j, p.index, now)
		if j.spec.Kind == Gang {
			// When one task of a gang is done, all of them are.
			for i := range j.status {
				c.completeTask(j, i, now)
			}
		}
		return
	}
	c.awaitForget(p)
	switch p.cause {
	case CauseError:
		c.recordFailure(p, now)
	case CauseNoCapacity:
		p.machine.blockedUntil = now + 2*Second
		c.log("worker refused to start a task: insufficient resources", "machine", p.machine.name, "job", p.jobID, "task", p.index)
	case CauseAlreadyPresent:
		c.log("worker refused to start a task: another attempt is there", "machine", p.machine.name, "job", p.jobID, "task", p.index, "attempt", p.attempt)
	case CauseUnknownTask:
		j.notBefore = now + Second
	}
	c.handleGangTaskLost(p, now)
	c.cleanUpCancelled(j)
}

// completeTask marks a task as done and schedules the write of its completion.
func (c *Core) completeTask(j *job, i int, now Micros) {
	if j.status[i] == taskDone {
		return
	}
	j.setStatus(i, taskDone)
	c.notifyProgress(j)
	if len(j.dirtyChunks) == 0 {
		j.nextWriteAt = max(j.nextWriteAt, now+completionWriteDelay)
	}
	j.dirtyChunks[i/c.cfg.ChunkSize] = true
	c.checkCompletion(j, now)
}

// checkCompletion queues the job for a write of its completions. If all tasks are done, the final
// record is due immediately.
func (c *Core) checkCompletion(j *job, now Micros) {
	if j.done == len(j.status) && !j.cancelled {
		j.nextWriteAt = now
		if j.deadline > 0 && now > j.deadline {
			c.log("job missed its deadline", "job", j.spec.ID, "class", j.spec.Class, "tasks", len(j.status),
				"cpus", j.spec.Resources.CPU/1000, "estimate_s", j.spec.EstimatedRun/Second, "ran_s", j.longestRun/Second, "due_s", j.spec.Deadline/Second,
				"late_s", (now-j.deadline)/Second, "first_start_s", (j.firstStart-j.submitted)/Second, "last_start_s", (j.lastStart-j.submitted)/Second)
		}
	}
	c.queueCompletion(j)
}

// queueCompletion queues a job whose completed tasks or final record have to be written.
func (c *Core) queueCompletion(j *job) {
	if !j.completionQueued {
		j.completionQueued = true
		c.completionQueue = append(c.completionQueue, j)
	}
}

// completionsRecorded handles that the completions of placements are recorded: their workers may
// forget them.
func (c *Core) completionsRecorded(completed []*placement) {
	for _, p := range completed {
		c.awaitForget(p)
	}
}

// completionWriteDelay is the delay of a completion's write, so that many completions share a
// write. Until the write, the tasks stay in the reports of their machines, so the delay costs
// little.
const completionWriteDelay = 10 * Second

// flushCompletions writes the final records of jobs that are done, and the completed tasks of other
// jobs in batches.
func (c *Core) flushCompletions(now Micros) {
	remaining := c.completionQueue[:0]
	for _, j := range c.completionQueue {
		complete := j.done == len(j.status)
		switch {
		case c.jobs[j.spec.ID] != j, j.cancelled, len(j.dirtyChunks) == 0 && !complete:
			j.completionQueued = false
		case now < j.nextWriteAt || complete && j.writingFinal || !complete && j.writingCompletions:
			remaining = append(remaining, j)
		case complete:
			// A pending write of completions does not delay the final record.
			j.completionQueued = false
			c.writeFinalRecord(j)
		default:
			j.completionQueued = false
			c.writeCompletions(j)
		}
	}
	c.completionQueue = remaining
}

// writeFinalRecord writes the final record of a job that is done and deletes the leader's records
// of it.
func (c *Core) writeFinalRecord(j *job) {
	j.writingFinal = true
	rec := j.record
	rec.Phase = Done
	w := Write{Kind: txn.Completion, Puts: []Put{{"", FinalRecord{rec}}}, Deletes: c.jobKeys(j), IfJob: j.spec.ID, IfRevision: j.record.Revision, Urgent: true, Priority: j.spec.Priority}
	c.write(w, func(now Micros, o WriteOutcome) {
		j.writingFinal = false
		if c.jobs[j.spec.ID] != j {
			return
		}
		if o == Stored {
			c.finish(j, now)
			return
		}
		// The write was refused because the job was cancelled first, or its outcome is unknown.
		// The stored record arrives through the watch, so a retry is harmless.
		j.nextWriteAt = now + writeRetryDelay
		c.queueCompletion(j)
	})
}

// maxChunksPerWrite bounds the completion records in one write, so that other writes fit into the
// transaction.
const maxChunksPerWrite = 8

// writeCompletions writes the completion records of chunks of a job that have changed, as many as
// one transaction takes. If the write fails, they are written again later.
func (c *Core) writeCompletions(j *job) {
	j.writingCompletions = true
	chunks := make([]int, 0, len(j.dirtyChunks))
	for k := range j.dirtyChunks {
		chunks = append(chunks, k)
	}
	sort.Ints(chunks)
	chunks = chunks[:min(len(chunks), maxChunksPerWrite, max(c.cfg.MaxWriteOps, 1))]
	w := Write{Kind: txn.CompletedTasks}
	covered := map[int]bool{}
	for _, k := range chunks {
		delete(j.dirtyChunks, k)
		covered[k] = true
		key := CompletionKey(j.spec.ID, c.cfg.ChunkSize, k, j.unacknowledged[k])
		j.completionKeys[key] = true
		w.Puts = append(w.Puts, Put{key, CompletionRecord{Key: key, Job: j.spec.ID, Ranges: j.completedRanges(k, c.cfg.ChunkSize)}})
	}
	var completed, rest []*placement
	for _, p := range j.unrecorded {
		if covered[p.index/c.cfg.ChunkSize] {
			completed = append(completed, p)
		} else {
			rest = append(rest, p)
		}
	}
	j.unrecorded = rest
	c.write(w, func(now Micros, o WriteOutcome) {
		j.writingCompletions = false
		if o == WriteUnknown {
			// This write may be executed after a later one and overwrite what that one adds, so
			// the next one uses another key.
			for k := range covered {
				j.unacknowledged[k]++
			}
		}
		over := c.jobs[j.spec.ID] != j || j.cancelled
		if o == Stored || over {
			c.completionsRecorded(completed)
		} else {
			j.unrecorded = append(j.unrecorded, completed...)
			for k := range covered {
				j.dirtyChunks[k] = true
			}
		}
		if !over && j.done < len(j.status) {
			j.nextWriteAt = now + completionWriteDelay
			c.queueCompletion(j)
		}
	})
}
