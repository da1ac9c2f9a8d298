package core

// waiting reports whether a gang has been placed and is not known to have run.
func (j *job) waiting() bool { return j.spec.Kind == Gang && j.on > 0 && j.ran != j.attempt }

// scheduleGang places all tasks of a gang or none of them. It reports false if
// there is no room for them.
func (c *Core) scheduleGang(j *job, now Micros) bool {
	if j.pending < len(j.status) {
		return true
	}
	j.lacksFrom = 0
	if j.waitFrom == 0 {
		j.waitFrom = now
	}
	return c.placeGang(j, 0, now)
}

// placeGang places the waiting tasks of a gang, with a new attempt if none is
// given. It reports false if there is no room for them.
func (c *Core) placeGang(j *job, attempt uint64, now Micros) bool {
	t := j.team
	use := c.teamUse(t)
	if overMax(use, j.spec.Need.Times(j.pending), t.Max) {
		return true
	}
	zones := []string{""}
	if j.spec.OneZone {
		zones = c.zones()
	}
	find := func(how gangTry) (best gangPlan) {
		for _, z := range zones {
			p := c.planGang(j, z, attempt, use, how, now)
			if p.on != nil && (best.on == nil || p.slowest < best.slowest) {
				best = p
			}
		}
		return best
	}
	if c.awaitsImage(j, now) {
		p := find(gangTry{cached: true})
		if p.on != nil {
			c.commitGang(j, attempt, &p, now)
			return true
		}
		if find(gangTry{}).on != nil {
			return true
		}
	}
	for _, evict := range []bool{false, true} {
		if p := find(gangTry{evict: evict}); p.on != nil {
			c.commitGang(j, attempt, &p, now)
			return true
		}
	}
	return false
}

// gangPlan is a machine for each of a gang's waiting tasks.
type gangPlan struct {
	tasks   []int
	on      []*machine // nil: there is no room for all
	reclaim reclaimPlan
	slowest int64 // the longest fetch
}

// gangTry says how room is looked for.
type gangTry struct {
	cached bool // only where the image is
	evict  bool
}

// planGang looks for a machine for each of a gang's waiting tasks.
func (c *Core) planGang(j *job, zone string, attempt uint64, use Res, how gangTry, now Micros) (plan gangPlan) {
	plan.tasks = j.waitingTasks()
	on := make([]*machine, 0, len(plan.tasks))
	for _, i := range plan.tasks {
		m := c.pick(j, now, zone, how.cached)
		if m == nil && how.evict {
			m = c.reclaim(j, use, now, zone, &plan.reclaim)
		}
		// A worker that knows this attempt of the task would not start it.
		if m == nil || m.knows(j, i, attempt) {
			break
		}
		plan.slowest = max(plan.slowest, c.startCost(j, m))
		c.promise(j, m, 1)
		on = append(on, m)
		use = use.Add(j.spec.Need)
	}
	for _, m := range on {
		c.promise(j, m, -1)
	}
	if len(on) == len(plan.tasks) {
		plan.on = on
	}
	return plan
}

func (c *Core) commitGang(j *job, attempt uint64, plan *gangPlan, now Micros) {
	if attempt == 0 {
		attempt = c.nextAttempt()
	}
	j.attempt, j.waitFrom = attempt, 0
	for n, m := range plan.on {
		c.put(j, plan.tasks[n], m, attempt, now)
	}
	c.evict(&plan.reclaim, j, now)
}

// awaitsImage reports whether a gang rather waits for machines that have its
// image than takes others that are free: all of it is held up by its slowest
// fetch. It does so for as long as the fetch takes, as far as that leaves it in
// time for the earliest of its aims that it can meet with a fetch, and if as many
// machines as it needs are likely to fall free meanwhile.
func (c *Core) awaitsImage(j *job, now Micros) bool {
	var fetch Micros
	for _, t := range c.typeOrder {
		if t.FetchMBps > 0 && j.spec.typeAllowed(t.Name) {
			fetch = max(fetch, Micros(j.spec.ImageMB)*Second/Micros(t.FetchMBps))
		}
	}
	patience := fetch
	for _, within := range j.class.within {
		if late := fetch * 4 / 3; within > late {
			patience = min(patience, within-late)
			break
		}
	}
	if now-j.waitFrom >= patience {
		return false
	}
	return float64(c.withImage(j.image, now))*float64(patience) > float64(j.pending)*float64(j.estimate())
}

// withImage says how many machines had an image lately.
func (c *Core) withImage(id int, now Micros) int {
	if now-c.imagesAt >= Second {
		c.imagesAt = now
		clear(c.imagesOn)
		for _, m := range c.order {
			for _, im := range m.images {
				c.imagesOn[im.id]++
			}
		}
	}
	return c.imagesOn[id]
}

// zones lists the zones of the catalog.
func (c *Core) zones() []string {
	seen := map[string]bool{}
	var out []string
	for _, t := range c.typeOrder {
		for _, z := range t.Zones {
			if !seen[z] {
				seen[z] = true
				out = append(out, z)
			}
		}
	}
	return out
}

// promise counts a task of a plan on a machine, or takes it off again: nothing
// of a plan that is dropped is left, in the machine's cache or anywhere else.
func (c *Core) promise(j *job, m *machine, sign int) {
	c.recount(m, func() { m.used = m.used.Add(j.spec.Need.Times(sign)) })
	j.zones[m.zone] += sign
}

const (
	// gangPatience is how long the machines of a gang that has not started are
	// kept for want of another.
	gangPatience = 10 * Second
	// waitsMost is how often a gang task waits for the others for as long as a
	// worker lets it. Images can take longer to fetch than that.
	waitsMost = 4
)

// completeGang replaces what a gang that has not started lacks, with the same
// attempt, so that the others go on waiting. If there is no room for it before
// long, it starts anew.
func (c *Core) completeGang(j *job, now Micros) {
	if !j.waiting() {
		return
	}
	for _, p := range j.live {
		if p.attempt != j.attempt || p.unwanted {
			return // not before it is gone
		}
	}
	if j.lacksFrom == 0 {
		j.lacksFrom = now // taken over from a leader that had not told them all
	}
	c.placeGang(j, j.attempt, now)
	switch {
	case j.pending == 0:
		j.lacksFrom = 0
	case now-j.lacksFrom > gangPatience:
		c.note("gang starts anew: no room for what it lacks", "job", j.spec.ID, "tasks", j.pending)
		c.stopGang(j, now, 0)
	}
}

// waitAgain lets a gang task that exited because the others were not there yet
// wait once more where it is: its image is there by now, and theirs, which may
// take longer than a worker lets a task wait, will be. Stopping the gang would
// end their fetches, and begin the same again. Only the answer to a beat may
// tell the worker: a direct command could arrive after all this is over.
func (c *Core) waitAgain(p *placement) bool {
	j := p.j
	if p.cause != CauseAlone || p.unwanted || p.late || p.waits >= waitsMost || j == nil || c.jobs[p.job] != j ||
		j.cancelled || j.stopping || j.done > 0 || p.attempt != j.attempt || j.ran == j.attempt ||
		p.m.draining || p.m.returning || p.m.lost {
		return false
	}
	p.waits++
	p.again, p.state = true, Waiting
	c.hold(p)
	return true
}

// stopGang stops all tasks of a gang; they start again together once the last
// has exited.
func (c *Core) stopGang(j *job, now, grace Micros) {
	if j.stopping {
		return
	}
	j.stopping = true
	for _, p := range j.placements() {
		c.unwant(p, now, grace)
	}
	c.gangSettle(j)
}

// gangLost deals with a gang that lost a task. One that has not started waits
// for a replacement, which schedule looks for; what its other machines have
// fetched meanwhile is not lost. Otherwise the rest is stopped.
func (c *Core) gangLost(p *placement, now Micros) {
	if p.j == nil || p.j.spec.Kind != Gang || p.j.cancelled || p.attempt != p.j.attempt || p.j.stopping {
		return
	}
	if p.j.done > 0 || c.jobs[p.job] != p.j || p.j.live[p.index] != nil {
		return
	}
	if p.j.waiting() && p.cause != CausePeers && (p.cause != CauseAlone || p.j.held) {
		if p.j.lacksFrom == 0 {
			p.j.lacksFrom = now
		}
		return
	}
	c.stopGang(p.j, now, 0)
}

func (c *Core) gangSettle(j *job) {
	if j.stopping && len(j.live) == 0 {
		j.stopping = false
		c.dirty = true
	}
}
