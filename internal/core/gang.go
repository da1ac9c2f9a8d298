package core

// waiting reports whether a gang has been placed and is not known to have run.
func (j *job) awaitsGangStart() bool {
	return j.spec.Kind == Gang && j.occupying > 0 && j.lastRunAttempt != j.gangAttempt
}

// scheduleGang places all tasks of a gang or none of them. It reports false if
// there is no room for them.
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

// placeGang places the waiting tasks of a gang, with a new attempt if none is
// given. It reports false if there is no room for them.
func (c *Core) placeGang(j *job, attempt uint64, now Micros) bool {
	t := j.team
	usage := c.teamUsage(t)
	if overMax(usage, j.spec.Request.Times(j.pending), t.Max) {
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

// gangPlan is a machine for each of a gang's waiting tasks.
type gangPlan struct {
	tasks        []int
	machines     []*machine // nil: there is no room for all
	reclaim      reclaimPlan
	slowestFetch int64 // the longest fetch
}

// gangTry says how room is looked for.
type gangOptions struct {
	cachedOnly bool // only where the image is
	evict      bool
}

// planGang looks for a machine for each of a gang's waiting tasks.
func (c *Core) planGang(j *job, zone string, attempt uint64, usage Resources, options gangOptions, now Micros) (plan gangPlan) {
	plan.tasks = j.pendingTasks()
	chosen := make([]*machine, 0, len(plan.tasks))
	for _, i := range plan.tasks {
		m := c.pickMachine(j, now, zone, options.cachedOnly)
		if m == nil && options.evict {
			m = c.planReclaim(j, usage, now, zone, &plan.reclaim)
		}
		// A worker that knows this attempt of the task would not start it.
		if m == nil || m.hasAttempt(j, i, attempt) {
			break
		}
		plan.slowestFetch = max(plan.slowestFetch, c.imageFetchDelay(j, m))
		c.adjustTentative(j, m, 1)
		chosen = append(chosen, m)
		usage = usage.Add(j.spec.Request)
	}
	for _, m := range chosen {
		c.adjustTentative(j, m, -1)
	}
	if len(chosen) == len(plan.tasks) {
		plan.machines = chosen
	}
	return plan
}

func (c *Core) commitGang(j *job, attempt uint64, plan *gangPlan, now Micros) {
	if attempt == 0 {
		attempt = c.nextAttempt()
	}
	j.gangAttempt, j.waitingSince = attempt, 0
	for n, m := range plan.machines {
		c.place(j, plan.tasks[n], m, attempt, now)
	}
	c.evict(&plan.reclaim, j, now)
}

// awaitsImage reports whether a gang rather waits for machines that have its
// image than takes others that are free: all of it is held up by its slowest
// fetch. It does so for as long as the fetch takes, as far as that leaves it in
// time for the earliest of its aims that it can meet with a fetch, and if as many
// machines as it needs are likely to fall free meanwhile.
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

// withImage says how many machines had an image lately.
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

// zones lists the zones of the catalog.
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

// promise counts a task of a plan on a machine, or takes it off again: nothing
// of a plan that is dropped is left, in the machine's cache or anywhere else.
func (c *Core) adjustTentative(j *job, m *machine, sign int) {
	c.updateUsage(m, func() { m.used = m.used.Add(j.spec.Request.Times(sign)) })
	j.placedByZone[m.zone] += sign
}

const (
	// gangPatience is how long the machines of a gang that has not started are
	// kept for want of another.
	gangReplacementTimeout = 10 * Second
	// waitsMost is how often a gang task waits for the others for as long as a
	// worker lets it. Images can take longer to fetch than that.
	maxWaitRetries = 4
)

// completeGang replaces what a gang that has not started lacks, with the same
// attempt, so that the others go on waiting. If there is no room for it before
// long, it starts anew.
func (c *Core) completeGang(j *job, now Micros) {
	if !j.awaitsGangStart() {
		return
	}
	for _, p := range j.live {
		if p.attempt != j.gangAttempt || p.stopRequested {
			return // not before it is gone
		}
	}
	if j.incompleteSince == 0 {
		j.incompleteSince = now // taken over from a leader that had not told them all
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

// waitAgain lets a gang task that exited because the others were not there yet
// wait once more where it is: its image is there by now, and theirs, which may
// take longer than a worker lets a task wait, will be. Stopping the gang would
// end their fetches, and begin the same again. Only the answer to a beat may
// tell the worker: a direct command could arrive after all this is over.
func (c *Core) retryWait(p *placement) bool {
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

// stopGang stops all tasks of a gang; they start again together once the last
// has exited.
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

// gangLost deals with a gang that lost a task. One that has not started waits
// for a replacement, which schedule looks for; what its other machines have
// fetched meanwhile is not lost. Otherwise the rest is stopped.
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

func (c *Core) finishGangStop(j *job) {
	if j.stopping && len(j.live) == 0 {
		j.stopping = false
		c.needsPlacement = true
	}
}
