package core

import "sort"

// exited handles the end of a task; its room is free already.
func (c *Core) exited(p *placement, now Micros) {
	j := p.j
	if j == nil || c.jobs[p.job] != j {
		p.finalOK = true
		return
	}
	if p.cause == CauseDone && !j.cancelled && j.spec.Kind != Service {
		delete(p.m.failed, p.job)
		c.observe(p, now)
		c.ranWell(j, now)
		j.ends = append(j.ends, p)
		c.taskDone(j, p.index, now)
		if j.spec.Kind == Gang {
			// The tasks of a gang complete together.
			for i := range j.status {
				c.taskDone(j, i, now)
			}
		}
		return
	}
	p.finalOK = true
	switch p.cause {
	case CauseError:
		c.failed(p, now)
	case CauseNoRoom:
		p.m.blocked = now + 2*Second
		c.note("start refused: no room", "machine", p.m.name, "job", p.job, "task", p.index)
	case CauseUnknown:
		j.notBefore = now + Second
	}
	c.gangLost(p, now)
	c.closeIfOver(j)
}

func (c *Core) taskDone(j *job, i int, now Micros) {
	if j.status[i] == taskDone {
		return
	}
	j.set(i, taskDone)
	c.moves(j)
	if len(j.dirty) == 0 {
		j.writeFrom = max(j.writeFrom, now+rangesPause)
	}
	j.dirty[i/c.cfg.ChunkSize] = true
	c.checkDone(j, now)
}

// checkDone lets a completed job's final record go out at once.
func (c *Core) checkDone(j *job, now Micros) {
	if j.done == len(j.status) && !j.cancelled {
		j.writeFrom = now
		if j.due > 0 && now > j.due {
			c.note("job missed its deadline", "job", j.spec.ID, "class", j.spec.Class, "tasks", len(j.status),
				"cpus", j.spec.Need.CPU/1000, "estimate_s", j.spec.Estimate/Second, "ran_s", j.ranLongest/Second, "due_s", j.spec.Due/Second,
				"late_s", (now-j.due)/Second, "first_start_s", (j.firstStart-j.submitted)/Second, "last_start_s", (j.lastStart-j.submitted)/Second)
		}
	}
	c.toWrite(j)
}

// toWrite has a job's finished tasks or its final record written.
func (c *Core) toWrite(j *job) {
	if !j.ended {
		j.ended = true
		c.ended = append(c.ended, j)
	}
}

// recordedEnds lets workers forget tasks whose completion is recorded.
func (c *Core) recordedEnds(ends []*placement) {
	for _, p := range ends {
		p.finalOK = true
		c.touch(p.m)
	}
}

// rangesPause lets many finished tasks share a write: until it is written they
// stay in their machines' reports, so little is lost by waiting.
const rangesPause = 10 * Second

// flushEnded writes finished tasks: a job's last ones at once with its final
// record, others in batches.
func (c *Core) flushEnded(now Micros) {
	wait := c.ended[:0]
	for _, j := range c.ended {
		complete := j.done == len(j.status)
		switch {
		case c.jobs[j.spec.ID] != j, j.cancelled, len(j.dirty) == 0 && !complete:
			j.ended = false
		case now < j.writeFrom || complete && j.finishing || !complete && j.ranging:
			wait = append(wait, j)
		case complete:
			// Ranges that wait for their turn do not hold this up.
			j.ended = false
			c.writeDone(j)
		default:
			j.ended = false
			c.writeRanges(j)
		}
	}
	c.ended = wait
}

func (c *Core) writeDone(j *job) {
	j.finishing = true
	rec := j.rec
	rec.Phase = Done
	w := Write{Puts: []Put{{"", JobDone{rec}}}, Drops: c.jobKeys(j), IfJob: j.spec.ID, IfStamp: j.rec.Stamp, Urgent: true, Priority: j.spec.Priority}
	c.write(w, func(now Micros, o WriteOutcome) {
		j.finishing = false
		if c.jobs[j.spec.ID] != j {
			return
		}
		if o == Stored {
			c.finish(j, now)
			return
		}
		// Refused, because the job was cancelled first, or not known: the
		// record comes through the watch, and trying again is harmless.
		j.writeFrom = now + writeRetry
		c.toWrite(j)
	})
}

func (c *Core) writeRanges(j *job) {
	j.ranging = true
	chunks := make([]int, 0, len(j.dirty))
	for k := range j.dirty {
		chunks = append(chunks, k)
	}
	sort.Ints(chunks)
	chunks = chunks[:min(len(chunks), 8)]
	var w Write
	covered := map[int]bool{}
	for _, k := range chunks {
		delete(j.dirty, k)
		covered[k] = true
		key := RangeKey(j.spec.ID, k, j.unsure[k])
		j.stored[key] = true
		w.Puts = append(w.Puts, Put{key, RangeRecord{key, j.spec.ID, k, j.ranges(k, c.cfg.ChunkSize)}})
	}
	var ends, rest []*placement
	for _, p := range j.ends {
		if covered[p.index/c.cfg.ChunkSize] {
			ends = append(ends, p)
		} else {
			rest = append(rest, p)
		}
	}
	j.ends = rest
	c.write(w, func(now Micros, o WriteOutcome) {
		j.ranging = false
		if o == WriteUnknown {
			// It may be executed after a later one, and would take from the record
			// what that one added: the next has a key of its own.
			for k := range covered {
				j.unsure[k]++
			}
		}
		over := c.jobs[j.spec.ID] != j || j.cancelled
		if o == Stored || over {
			c.recordedEnds(ends)
		} else {
			j.ends = append(j.ends, ends...)
			for k := range covered {
				j.dirty[k] = true
			}
		}
		if !over && j.done < len(j.status) {
			j.writeFrom = now + rangesPause
			c.toWrite(j)
		}
	})
}
