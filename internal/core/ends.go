package core

import "sort"

// exited handles the end of a task; its room is free already.
func (c *Core) taskExited(p *placement, now Micros) {
	j := p.job
	if j == nil || c.jobs[p.jobID] != j {
		p.completionRecorded = true
		return
	}
	if p.cause == CauseDone && !j.cancelled && j.spec.Kind != Service {
		delete(p.machine.failedJobs, p.jobID)
		c.observeRunTime(p, now)
		c.markProven(j, now)
		j.unrecorded = append(j.unrecorded, p)
		c.completeTask(j, p.index, now)
		if j.spec.Kind == Gang {
			// The tasks of a gang complete together.
			for i := range j.status {
				c.completeTask(j, i, now)
			}
		}
		return
	}
	p.completionRecorded = true
	switch p.cause {
	case CauseError:
		c.recordFailure(p, now)
	case CauseNoCapacity:
		p.machine.blockedUntil = now + 2*Second
		c.log("start refused: no room", "machine", p.machine.name, "job", p.jobID, "task", p.index)
	case CauseUnknownTask:
		j.notBefore = now + Second
	}
	c.handleGangTaskLost(p, now)
	c.cleanUpCancelled(j)
}

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

// checkDone lets a completed job's final record go out at once.
func (c *Core) checkCompletion(j *job, now Micros) {
	if j.done == len(j.status) && !j.cancelled {
		j.nextWriteAt = now
		if j.deadline > 0 && now > j.deadline {
			c.log("job missed its deadline", "job", j.spec.ID, "class", j.spec.Class, "tasks", len(j.status),
				"cpus", j.spec.Request.CPU/1000, "estimate_s", j.spec.EstimatedRun/Second, "ran_s", j.longestRun/Second, "due_s", j.spec.Deadline/Second,
				"late_s", (now-j.deadline)/Second, "first_start_s", (j.firstStart-j.submitted)/Second, "last_start_s", (j.lastStart-j.submitted)/Second)
		}
	}
	c.queueCompletion(j)
}

// toWrite has a job's finished tasks or its final record written.
func (c *Core) queueCompletion(j *job) {
	if !j.completionQueued {
		j.completionQueued = true
		c.completionQueue = append(c.completionQueue, j)
	}
}

// recordedEnds lets workers forget tasks whose completion is recorded.
func (c *Core) completionsRecorded(completed []*placement) {
	for _, p := range completed {
		p.completionRecorded = true
		c.queueCommands(p.machine)
	}
}

// rangesPause lets many finished tasks share a write: until it is written they
// stay in their machines' reports, so little is lost by waiting.
const completionWriteDelay = 10 * Second

// flushEnded writes finished tasks: a job's last ones at once with its final
// record, others in batches.
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
			// Ranges that wait for their turn do not hold this up.
			j.completionQueued = false
			c.writeFinalRecord(j)
		default:
			j.completionQueued = false
			c.writeCompletions(j)
		}
	}
	c.completionQueue = remaining
}

func (c *Core) writeFinalRecord(j *job) {
	j.writingFinal = true
	rec := j.record
	rec.Phase = Done
	w := Write{Puts: []Put{{"", FinalRecord{rec}}}, Deletes: c.jobKeys(j), IfJob: j.spec.ID, IfRevision: j.record.Revision, Urgent: true, Priority: j.spec.Priority}
	c.write(w, func(now Micros, o WriteOutcome) {
		j.writingFinal = false
		if c.jobs[j.spec.ID] != j {
			return
		}
		if o == Stored {
			c.finish(j, now)
			return
		}
		// Refused, because the job was cancelled first, or not known: the
		// record comes through the watch, and trying again is harmless.
		j.nextWriteAt = now + writeRetryDelay
		c.queueCompletion(j)
	})
}

func (c *Core) writeCompletions(j *job) {
	j.writingCompletions = true
	chunks := make([]int, 0, len(j.dirtyChunks))
	for k := range j.dirtyChunks {
		chunks = append(chunks, k)
	}
	sort.Ints(chunks)
	chunks = chunks[:min(len(chunks), 8)]
	var w Write
	covered := map[int]bool{}
	for _, k := range chunks {
		delete(j.dirtyChunks, k)
		covered[k] = true
		key := CompletionKey(j.spec.ID, k, j.unacknowledged[k])
		j.completionKeys[key] = true
		w.Puts = append(w.Puts, Put{key, CompletionRecord{key, j.spec.ID, k, j.completedRanges(k, c.cfg.ChunkSize)}})
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
			// It may be executed after a later one, and would take from the record
			// what that one added: the next has a key of its own.
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
