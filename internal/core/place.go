package core

// within reports whether a request on top of used stays within a guarantee. A
// team may be guaranteed GPUs alone, or CPUs alone: what its min does not name
// does not count, but GPUs that are asked for must be named. Memory is not part
// of a quota.
func within(used, req, lim Res) bool {
	if req.GPU > 0 && lim.GPU == 0 || req.GPU == 0 && lim.CPU == 0 {
		return false
	}
	return (lim.CPU == 0 || used.CPU+req.CPU <= lim.CPU) && (lim.GPU == 0 || used.GPU+req.GPU <= lim.GPU)
}

// overMax reports whether the request would take the team past its max; a max
// of zero is none.
func overMax(used, req, max Res) bool {
	return max.CPU > 0 && used.CPU+req.CPU > max.CPU || max.GPU > 0 && used.GPU+req.GPU > max.GPU
}

// teamUse is what a team's tasks use or may be using: what is placed, and
// during takeover the tasks that may be on machines not heard of yet.
func (c *Core) teamUse(t *team) Res {
	if c.unsettled == 0 {
		return t.used
	}
	return t.used.Add(t.held)
}

// countHeld brings up to date what may be running unseen: once for a pass, since
// it looks at every job.
func (c *Core) countHeld() {
	if c.unsettled == 0 {
		return
	}
	for _, t := range c.teams {
		t.held = Res{}
	}
	for _, j := range c.jobs {
		if j.held {
			j.team.held = j.team.held.Add(j.spec.Need.Times(j.pending))
		}
	}
}

// shape is what decides whether any task of a job can be placed now; a pass
// does not look again for a shape that found no room.
type shape struct {
	need          Res
	spot, service bool
	team          string
	priority      Priority
	types, zone   string
	gang          int // its tasks
	oneZone       bool
}

// schedule gives room to waiting tasks in the queue's order.
func (c *Core) schedule(now Micros) {
	clear(c.lookouts)
	c.changed = c.changed[:0]
	if !c.lookForRoom(now) {
		return
	}
	c.countHeld()
	full := map[shape]bool{}
	for _, j := range c.queue {
		if j.pending == 0 || j.held || j.stopping || now < j.notBefore {
			continue
		}
		gang := j.spec.Kind == Gang
		if gang && j.on > 0 {
			c.completeGang(j, now)
			continue
		}
		plain := (gang || !j.spec.OneZone) && !j.spec.Spread && j.errors == nil
		key := shape{need: j.spec.Need, spot: j.spec.Spot, service: j.spec.Kind == Service, team: j.spec.Team,
			priority: j.spec.Priority, types: j.types, zone: j.spec.Zone}
		if gang {
			key.gang, key.oneZone = j.spec.Tasks, j.spec.OneZone
		}
		if plain && full[key] {
			continue
		}
		if gang {
			full[key] = !c.scheduleGang(j, now) && plain
			continue
		}
		t := j.team
		use := c.teamUse(t)
		for {
			i := j.nextPending()
			if i < 0 || overMax(use, j.spec.Need, t.Max) {
				break
			}
			m := c.pick(j, now, "", false)
			if m == nil {
				var plan reclaimPlan
				if m = c.reclaim(j, use, now, "", &plan); m == nil {
					full[key] = plain
					break
				}
				c.evict(&plan, j, now)
			}
			c.put(j, i, m, c.nextAttempt(), now)
			use = use.Add(j.spec.Need)
		}
	}
}

func (c *Core) put(j *job, i int, m *machine, attempt uint64, now Micros) *placement {
	p := &placement{j: j, job: j.spec.ID, index: i, attempt: attempt, m: m, need: j.spec.Need, at: now}
	c.recount(m, func() { c.add(p) })
	m.useImage(j.image, j.spec.ImageMB)
	c.touch(m)
	return p
}

// lookForRoom collects the machines that waiting tasks may fit on, so that a
// pass looks only at those: in a full fleet they are few. It reports whether
// any task waits.
func (c *Core) lookForRoom(now Micros) bool {
	least, waits := Res{}, false
	for _, j := range c.queue {
		if j.pending > 0 && waits {
			least = least.least(j.spec.Need)
		} else if j.pending > 0 {
			least, waits = j.spec.Need, true
		}
	}
	if !waits {
		return false
	}
	c.countSpare(now)
	c.roomy = c.roomy[:0]
	for _, m := range c.order {
		if !m.vacating && c.usable(m, now) && least.Fits(m.free()) {
			c.roomy = append(c.roomy, m)
		}
	}
	return true
}

// allowed reports whether the job may run on the machine at all.
func (c *Core) allowed(j *job, m *machine) bool {
	return c.kindAllowed(j, m) && j.zoneAllowed(m.zone)
}

// kindAllowed reports whether it may run on such a machine.
func (c *Core) kindAllowed(j *job, m *machine) bool {
	return (!m.spot || j.spec.Spot) && j.spec.typeAllowed(m.typeName)
}

// pick chooses the machine for one more task of a job: where it starts
// soonest, then where it wastes least. only restricts the zone, cached to where
// its image is.
func (c *Core) pick(j *job, now Micros, only string, cached bool) *machine {
	key := kindOf(j)
	key.cached = cached
	return c.choose(key, c.roomy, j, only, func(m *machine) (int64, bool) {
		free := m.free()
		if !j.spec.Need.Fits(free) || !c.kindAllowed(j, m) || cached && !m.hasImage(j.image) || m.vacating || !c.usable(m, now) {
			return 0, false
		}
		if j.spec.Kind != Service && c.takesSpare(j.spec.Need, m) {
			return 0, false
		}
		cost := c.startCost(j, m)
		if j.spec.Spot && !m.spot {
			cost += int64(5 * Second)
		}
		left := free.Sub(j.spec.Need)
		return cost + left.CPU*int64(20*Millisecond)/1000, true
	}, func(m *machine) bool { return j.errors[m.name] && len(j.errors) < 3 })
}

// startCost is how long the task would wait for its image there.
func (c *Core) startCost(j *job, m *machine) int64 {
	if m.hasImage(j.image) || m.typ.FetchMBps == 0 {
		return 0
	}
	return j.spec.ImageMB * int64(Second) / m.typ.FetchMBps * int64(1+m.fetching)
}

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

// promise counts a task of a plan on a machine, or takes it off again: nothing
// of a plan that is dropped is left, in the machine's cache or anywhere else.
func (c *Core) promise(j *job, m *machine, sign int) {
	c.recount(m, func() { m.used = m.used.Add(j.spec.Need.Times(sign)) })
	j.zones[m.zone] += sign
}

// recount keeps the count of spare room right over a change of a machine's use.
func (c *Core) recount(m *machine, change func()) {
	c.changed = append(c.changed, m)
	if m.spot || c.spareNeed == (Res{}) {
		change()
		return
	}
	was := c.spareNeed.copies(m.free())
	change()
	c.spare[m.zone] += c.spareNeed.copies(m.free()) - was
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
