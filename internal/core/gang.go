package core

// awaitsGangStart reports whether the job is a gang that has tasks on machines and whose current
// attempt is not known to have run.
func (j *job) awaitsGangStart() bool {
	return j.spec.Kind == Gang && j.occupying > 0 && j.lastRunAttempt != j.gangAttempt
}

// scheduleGang places all tasks of a gang or none of them. It returns false if there is no room for
// them.
func (c *Core) scheduleGang(j *job, now Micros) bool {
	if j.pending < len(j.status) {
		return true
	}
	j.incompleteSince = 0
	if j.waitingSince == 0 {
		j.waitingSince = now
	}
	return c.placeGang(j, 0, now)
}

// placeGang places the pending tasks of a gang with the given attempt, or with a new one if attempt
// is 0. It returns false if there is no room for them.
func (c *Core) placeGang(j *job, attempt uint64, now Micros) bool {
	t := j.team
	usage := c.teamUsage(t)
	if overMax(usage, j.spec.Resources.Times(j.pending), t.Max) {
		return true
	}
	zones := []string{""}
	if j.spec.OneZone {
		zones = c.catalogZones()
	}
	bestPlan := func(options gangOptions) (best gangPlan) {
		for _, z := range zones {
			p := c.planGang(j, z, attempt, usage, options, now)
			if p.machines != nil && (best.machines == nil || p.slowestFetch < best.slowestFetch) {
				best = p
			}
		}
		return best
	}
	if c.awaitsCachedMachines(j, now) {
		p := bestPlan(gangOptions{cachedOnly: true})
		if p.machines != nil {
			c.commitGang(j, attempt, &p, now)
			return true
		}
		if bestPlan(gangOptions{}).machines != nil {
			return true
		}
	}
	for _, evict := range []bool{false, true} {
		if p := bestPlan(gangOptions{evict: evict}); p.machines != nil {
			c.commitGang(j, attempt, &p, now)
			return true
		}
	}
	return false
}

// gangPlan assigns a machine to each pending task of a gang.
type gangPlan struct {
	tasks        []int
	machines     []*machine // one for each of tasks; nil: there is no room for all
	reclaim      reclaimPlan
	slowestFetch int64 // the longest image fetch, in microseconds
}

// gangOptions are the options of a search for machines for a gang.
type gangOptions struct {
	cachedOnly bool // only machines that have the image
	evict      bool // other tasks may be stopped
}

// planGang looks for a machine for each pending task of a gang. It leaves the state as it was.
func (c *Core) planGang(j *job, zone string, attempt uint64, usage Resources, options gangOptions, now Micros) (plan gangPlan) {
	plan.tasks = j.pendingTasks()
	chosen := make([]*machine, 0, len(plan.tasks))
	for _, i := range plan.tasks {
		// A worker that already has this attempt of the task would not start it.
		hasAttempt := func(m *machine) bool { return m.hasAttempt(j, i, attempt) }
		m := c.pickMachineExcept(j, now, zone, options.cachedOnly, hasAttempt)
		if m == nil && options.evict {
			m = c.planReclaim(j, usage, now, zone, &plan.reclaim)
		}
		if m == nil || hasAttempt(m) {
			break
		}
		plan.slowestFetch = max(plan.slowestFetch, c.imageFetchDelay(j, m))
		c.adjustTentative(j, m, 1)
		chosen = append(chosen, m)
		usage = usage.Add(j.spec.Resources)
	}
	for _, m := range chosen {
		c.adjustTentative(j, m, -1)
	}
	if len(chosen) == len(plan.tasks) {
		plan.machines = chosen
	}
	return plan
}

// commitGang places a gang's tasks as planned and stops the plan's victims.
func (c *Core) commitGang(j *job, attempt uint64, plan *gangPlan, now Micros) {
	if attempt == 0 {
		attempt = c.nextAttempt()
	}
	j.gangAttempt, j.waitingSince = attempt, 0
	for n, m := range plan.machines {
		c.place(j, plan.tasks[n], m, attempt, now)
	}
	j.starving = false
	c.evict(&plan.reclaim, j, now)
}

// awaitsCachedMachines reports whether a gang should wait for machines that have its image instead
// of using other free machines, because its slowest image fetch delays all of it. It waits for no
// longer than a fetch takes, and only if enough machines with the image are likely to become free
// in that time. The wait also leaves time to meet the earliest start objective that can be met with
// a fetch.
func (c *Core) awaitsCachedMachines(j *job, now Micros) bool {
	var fetch Micros
	for _, t := range c.machineTypeList {
		if t.FetchMBps > 0 && j.spec.typeAllowed(t.Name) {
			fetch = max(fetch, Micros(j.spec.ImageMB)*Second/Micros(t.FetchMBps))
		}
	}
	maxWait := fetch
	for _, objective := range j.class.startObjectives {
		if slowFetch := fetch * 4 / 3; objective > slowFetch {
			maxWait = min(maxWait, objective-slowFetch)
			break
		}
	}
	if now-j.waitingSince >= maxWait {
		return false
	}
	return float64(c.machinesWithImage(j.imageID, now))*float64(maxWait) > float64(j.pending)*float64(j.correctedEstimate())
}

// machinesWithImage returns how many machines have an image in their cache. The counts are up to a
// second old.
func (c *Core) machinesWithImage(id int, now Micros) int {
	if now-c.imageCountsAt >= Second {
		c.imageCountsAt = now
		clear(c.imageCounts)
		for _, m := range c.sortedMachines {
			for _, im := range m.images {
				c.imageCounts[im.id]++
			}
		}
	}
	return c.imageCounts[id]
}

// catalogZones returns the zones of the catalog's machine types, each once.
func (c *Core) catalogZones() []string {
	seen := map[string]bool{}
	var zones []string
	for _, t := range c.machineTypeList {
		for _, z := range t.Zones {
			if !seen[z] {
				seen[z] = true
				zones = append(zones, z)
			}
		}
	}
	return zones
}

// adjustTentative counts a task of a plan on a machine if sign is 1 and removes it again if sign is
// -1. It changes nothing else, such as the machine's image cache, so a plan that is dropped leaves
// no trace.
func (c *Core) adjustTentative(j *job, m *machine, sign int) {
	c.updateMachineUsage(m, func() { m.used = m.used.Add(j.spec.Resources.Times(sign)) })
	j.placedByZone[m.zone] += sign
}

const (
	// gangReplacementTimeout is how long a gang that has not started keeps its machines while
	// there is no machine for a missing task.
	gangReplacementTimeout = 10 * Second
	// maxWaitRetries is how often a gang task is restarted after its worker gave up waiting for
	// the other tasks. Their image fetches can take longer than one such wait.
	maxWaitRetries = 4
)

// completeGang places the missing tasks of a gang that has not started, with the same attempt, so
// that its other tasks keep waiting for them. If no room is found within gangReplacementTimeout,
// the gang is stopped and starts again.
func (c *Core) completeGang(j *job, now Micros) {
	if !j.awaitsGangStart() {
		return
	}
	for _, p := range j.live {
		if p.attempt != j.gangAttempt || p.stopRequested {
			return // wait until this placement is gone
		}
	}
	if j.incompleteSince == 0 {
		j.incompleteSince = now // a former leader had not started all tasks
	}
	c.placeGang(j, j.gangAttempt, now)
	switch {
	case j.pending == 0:
		j.incompleteSince = 0
	case now-j.incompleteSince > gangReplacementTimeout:
		c.log("gang starts anew: no room for what it lacks", "job", j.spec.ID, "tasks", j.pending)
		c.stopGang(j, now, 0)
	}
}

// restartAfterPeersMissing restarts a gang task that exited because its peers were missing, on the
// same machine, and reports whether it did. The task's image is there by now. Its peers may still
// fetch theirs, which can take longer than a worker lets a task wait. Stopping the gang would abort
// those fetches and repeat the same wait. The restart is sent only in the answer to a report,
// because a direct command could arrive after the attempt is over.
func (c *Core) restartAfterPeersMissing(p *placement) bool {
	j := p.job
	if p.cause != CausePeersMissing || p.stopRequested || p.startUnanswered || p.waitRetries >= maxWaitRetries || j == nil || c.jobs[p.jobID] != j ||
		j.cancelled || j.stopping || j.done > 0 || p.attempt != j.gangAttempt || j.lastRunAttempt == j.gangAttempt ||
		p.machine.draining || p.machine.releasing || p.machine.lost {
		return false
	}
	p.waitRetries++
	p.retryPending, p.state = true, WaitingForPeers
	c.allocate(p)
	return true
}

// stopGang stops all tasks of a gang. They start again together after the last one has exited.
func (c *Core) stopGang(j *job, now, grace Micros) {
	if j.stopping {
		return
	}
	j.stopping = true
	for _, p := range j.livePlacements() {
		c.stopPlacement(p, now, grace)
	}
	c.finishGangStop(j)
}

// handleGangTaskLost handles the loss of a gang's task. A gang that has not started waits for a
// replacement, which schedule looks for, so that the images fetched by the other tasks are not
// lost. Otherwise the remaining tasks are stopped.
func (c *Core) handleGangTaskLost(p *placement, now Micros) {
	if p.job == nil || p.job.spec.Kind != Gang || p.job.cancelled || p.attempt != p.job.gangAttempt || p.job.stopping {
		return
	}
	if p.job.done > 0 || c.jobs[p.jobID] != p.job || p.job.live[p.index] != nil {
		return
	}
	if p.job.awaitsGangStart() && p.cause != CausePeersLost && (p.cause != CausePeersMissing || p.job.unaccounted) {
		if p.job.incompleteSince == 0 {
			p.job.incompleteSince = now
		}
		return
	}
	c.stopGang(p.job, now, 0)
}

// finishGangStop lets a gang that is being stopped be scheduled again once it has no tasks left.
func (c *Core) finishGangStop(j *job) {
	if j.stopping && len(j.live) == 0 {
		j.stopping = false
		c.needsPlacement = true
	}
}
