package core

import "slices"

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
	starves       bool
}

func (j *job) shape() shape {
	return shape{need: j.spec.Need, spot: j.spec.Spot, service: j.spec.Kind == Service, team: j.spec.Team,
		priority: j.spec.Priority, types: j.types, zone: j.spec.Zone, starves: j.starves}
}

// starvesAfter is how long nothing of a job has started before it is given room that is kept
// for others: users are owed that no job waits for longer than 90 s beside a machine that has
// room for it, and its image has to be fetched within that time, too.
const starvesAfter = 60 * Second

// judgeStarving notes whether nothing of the job is on a machine, nor was put on one for long.
// It may then take room that is spare or held, for one task, or for all of a gang: what is kept
// there is for jobs that may come, and this one is there.
func (c *Core) judgeStarving(j *job, now Micros) {
	// A new leader does not know when something was placed; what runs it hears of soon.
	began := c.begun - starvesAfter*2/3
	j.starves = j.on == 0 && now-max(j.submitted, j.placedAt, began) >= starvesAfter
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
	for i, j := range c.queue {
		if i == 0 || j.spec.Priority != c.queue[i-1].spec.Priority {
			c.beginWaiting(c.queue[i:], now)
		}
		if j.pending == 0 || j.held || j.stopping || now < j.notBefore {
			continue
		}
		gang := j.spec.Kind == Gang
		if gang && j.on > 0 {
			c.completeGang(j, now)
			continue
		}
		c.judgeStarving(j, now)
		plain := (gang || !j.spec.OneZone) && !j.spec.Spread && j.errors == nil
		key := j.shape()
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
			if i < 0 || overMax(use, j.spec.Need, t.Max) || j.suspect() && j.on > 0 || c.borrowsHeld(j, use) {
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

// beginWithin is how long one of the largest arrays of a class waits in its order before it is
// begun with a task: users are owed that they begin within four minutes. One with fewer tasks
// than beginLeast waits for longer, as a task is a large part of it, and has to be larger than
// usual: where most have one task, a quarter of them are no largest.
const (
	beginWithin      = 150 * Second
	beginSmallWithin = 200 * Second
	beginLeast       = 8
)

// beginsLate reports whether the job is among the largest of its class and has waited in its
// order for so long that it is to begin.
func (j *job) beginsLate(now Micros) bool {
	if j.spec.Tasks >= beginLeast {
		return j.spec.Tasks >= j.class.large && now-j.submitted >= beginWithin
	}
	return j.spec.Tasks >= j.class.large && j.spec.Tasks > j.class.usual && now-j.submitted >= beginSmallWithin
}

// beginWaiting gives one task's room to each array of the first priority in the queue
// that is among the largest of its class, has waited for long and has not begun: in
// overload the order of the queue would leave those for the end. A task of each takes
// little from the others.
func (c *Core) beginWaiting(queue []*job, now Micros) {
	full := map[shape]bool{}
	for _, j := range queue {
		if j.spec.Priority != queue[0].spec.Priority {
			return
		}
		if j.spec.Kind != Array || !j.beginsLate(now) || j.on > 0 || j.done > 0 || j.held || j.stopping || now < j.notBefore {
			continue
		}
		use := c.teamUse(j.team)
		i := j.nextPending()
		if i < 0 || full[j.shape()] || overMax(use, j.spec.Need, j.team.Max) || c.borrowsHeld(j, use) {
			continue
		}
		if m := c.pick(j, now, "", false); m != nil {
			c.put(j, i, m, c.nextAttempt(), now)
		} else {
			full[j.shape()] = true
		}
	}
}

func (c *Core) put(j *job, i int, m *machine, attempt uint64, now Micros) *placement {
	p := &placement{j: j, job: j.spec.ID, index: i, attempt: attempt, m: m, need: j.spec.Need, at: now}
	lent := j.starves && j.spec.Kind != Service && c.takesSpare(j.spec.Need, m)
	c.recount(m, func() {
		c.add(p)
		if lent {
			p.lent, m.lent = true, m.lent.Add(p.need)
		}
	})
	j.placedAt, j.starves = now, false
	if !slices.Contains(c.holds, j.class) {
		c.lendable = c.lendable.Sub(j.spec.Need)
	}
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
	cost := func(m *machine) (int64, bool) {
		free := m.free()
		if !j.spec.Need.Fits(free) || !c.kindAllowed(j, m) || cached && !m.hasImage(j.image) || m.vacating || !c.usable(m, now) {
			return 0, false
		}
		if j.spec.Kind != Service && !j.starves && c.takesSpare(j.spec.Need, m) {
			return 0, false
		}
		cost := c.startCost(j, m)
		if j.spec.Spot && !m.spot {
			cost += int64(5 * Second)
		}
		left := free.Sub(j.spec.Need)
		return cost + left.CPU*int64(20*Millisecond)/1000, true
	}
	best := c.choose(key, c.roomy, j, only, cost, func(m *machine) bool { return j.errors[m.name] })
	if best == nil && (len(j.errors) >= suspectFrom || j.starves && j.errors != nil) {
		best = c.choose(key, c.roomy, j, only, cost, func(*machine) bool { return false })
	}
	return best
}

// startCost is how long the task would wait for its image there.
func (c *Core) startCost(j *job, m *machine) int64 {
	if m.hasImage(j.image) || m.typ.FetchMBps == 0 {
		return 0
	}
	return j.spec.ImageMB * int64(Second) / m.typ.FetchMBps * int64(1+m.fetching)
}

// recount keeps the count of spare room right over a change of a machine's use.
func (c *Core) recount(m *machine, change func()) {
	c.changed = append(c.changed, m)
	if m.spot || c.spareNeed == (Res{}) {
		change()
		return
	}
	was := c.spareOn(m)
	change()
	c.spare[m.zone] += c.spareOn(m) - was
}
