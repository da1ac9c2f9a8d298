package core

import "slices"

// shape is what decides whether any task of a job can be placed now; a pass
// does not look again for a shape that found no room.
type equivalenceKey struct {
	need          Resources
	spot, service bool
	team          string
	priority      Priority
	types, zone   string
	gangTasks     int // its tasks
	oneZone       bool
	starving      bool
}

func (j *job) equivalenceKey() equivalenceKey {
	return equivalenceKey{need: j.spec.Request, spot: j.spec.Spot, service: j.spec.Kind == Service, team: j.spec.Team,
		priority: j.spec.Priority, types: j.typesKey, zone: j.spec.Zone, starving: j.starving}
}

// starvesAfter is how long nothing of a job has started before it is given room that is kept
// for others: users are owed that no job waits for longer than 90 s beside a machine that has
// room for it, and its image has to be fetched within that time, too.
const starvationTimeout = 60 * Second

// judgeStarving notes whether nothing of the job is on a machine, nor was put on one for long.
// It may then take room that is spare or held, for one task, or for all of a gang: what is kept
// there is for jobs that may come, and this one is there.
func (c *Core) updateStarving(j *job, now Micros) {
	// A new leader does not know when something was placed; what runs it hears of soon.
	began := c.termBeganAt - starvationTimeout*2/3
	j.starving = j.occupying == 0 && now-max(j.submitted, j.lastPlacedAt, began) >= starvationTimeout
}

// schedule gives room to waiting tasks in the queue's order.
func (c *Core) schedule(now Micros) {
	clear(c.candidateCaches)
	c.changedMachines = c.changedMachines[:0]
	if !c.collectCandidates(now) {
		return
	}
	c.countUnaccounted()
	full := map[equivalenceKey]bool{}
	for i, j := range c.queue {
		if i == 0 || j.spec.Priority != c.queue[i-1].spec.Priority {
			c.startOverdueArrays(c.queue[i:], now)
		}
		if j.pending == 0 || j.unaccounted || j.stopping || now < j.notBefore {
			continue
		}
		gang := j.spec.Kind == Gang
		if gang && j.occupying > 0 {
			c.completeGang(j, now)
			continue
		}
		c.updateStarving(j, now)
		plain := (gang || !j.spec.OneZone) && !j.spec.Spread && j.failedOn == nil
		key := j.equivalenceKey()
		if gang {
			key.gangTasks, key.oneZone = j.spec.Tasks, j.spec.OneZone
		}
		if plain && full[key] {
			continue
		}
		if gang {
			full[key] = !c.scheduleGang(j, now) && plain
			continue
		}
		t := j.team
		use := c.teamUsage(t)
		for {
			i := j.nextPending()
			if i < 0 || overMax(use, j.spec.Request, t.Max) || j.suspect() && j.occupying > 0 || c.borrowsReserved(j, use) {
				break
			}
			m := c.pickMachine(j, now, "", false)
			if m == nil {
				var plan reclaimPlan
				if m = c.planReclaim(j, use, now, "", &plan); m == nil {
					full[key] = plain
					break
				}
				c.evict(&plan, j, now)
			}
			c.place(j, i, m, c.nextAttempt(), now)
			use = use.Add(j.spec.Request)
		}
	}
}

// beginWithin is how long one of the largest arrays of a class waits in its order before it is
// begun with a task: users are owed that they begin within four minutes. One with fewer tasks
// than beginLeast waits for longer, as a task is a large part of it, and has to be larger than
// usual: where most have one task, a quarter of them are no largest.
const (
	maxStartWait      = 150 * Second
	maxStartWaitSmall = 200 * Second
	smallArrayTasks   = 8
)

// beginsLate reports whether the job is among the largest of its class and has waited in its
// order for so long that it is to begin.
func (j *job) startOverdue(now Micros) bool {
	if j.spec.Tasks >= smallArrayTasks {
		return j.spec.Tasks >= j.class.largeSize && now-j.submitted >= maxStartWait
	}
	return j.spec.Tasks >= j.class.largeSize && j.spec.Tasks > j.class.medianSize && now-j.submitted >= maxStartWaitSmall
}

// beginWaiting gives one task's room to each array of the first priority in the queue
// that is among the largest of its class, has waited for long and has not begun: in
// overload the order of the queue would leave those for the end. A task of each takes
// little from the others.
func (c *Core) startOverdueArrays(queue []*job, now Micros) {
	full := map[equivalenceKey]bool{}
	for _, j := range queue {
		if j.spec.Priority != queue[0].spec.Priority {
			return
		}
		if j.spec.Kind != Array || !j.startOverdue(now) || j.occupying > 0 || j.done > 0 || j.unaccounted || j.stopping || now < j.notBefore {
			continue
		}
		use := c.teamUsage(j.team)
		i := j.nextPending()
		if i < 0 || full[j.equivalenceKey()] || overMax(use, j.spec.Request, j.team.Max) || c.borrowsReserved(j, use) {
			continue
		}
		if m := c.pickMachine(j, now, "", false); m != nil {
			c.place(j, i, m, c.nextAttempt(), now)
		} else {
			full[j.equivalenceKey()] = true
		}
	}
}

func (c *Core) place(j *job, i int, m *machine, attempt uint64, now Micros) *placement {
	p := &placement{job: j, jobID: j.spec.ID, index: i, attempt: attempt, machine: m, need: j.spec.Request, placedAt: now}
	lent := j.starving && j.spec.Kind != Service && c.takesSpare(j.spec.Request, m)
	c.updateUsage(m, func() {
		c.addPlacement(p)
		if lent {
			p.onSpare, m.spareUsed = true, m.spareUsed.Add(p.need)
		}
	})
	j.lastPlacedAt, j.starving = now, false
	if !slices.Contains(c.reservedClasses, j.class) {
		c.lendable = c.lendable.Sub(j.spec.Request)
	}
	m.markImageUsed(j.imageID, j.spec.ImageMB)
	c.queueCommands(m)
	return p
}

// lookForRoom collects the machines that waiting tasks may fit on, so that a
// pass looks only at those: in a full fleet they are few. It reports whether
// any task waits.
func (c *Core) collectCandidates(now Micros) bool {
	least, waits := Resources{}, false
	for _, j := range c.queue {
		if j.pending > 0 && waits {
			least = least.min(j.spec.Request)
		} else if j.pending > 0 {
			least, waits = j.spec.Request, true
		}
	}
	if !waits {
		return false
	}
	c.updateSpare(now)
	c.candidates = c.candidates[:0]
	for _, m := range c.sortedMachines {
		if !m.vacating && c.schedulable(m, now) && least.Fits(m.free()) {
			c.candidates = append(c.candidates, m)
		}
	}
	return true
}

// allowed reports whether the job may run on the machine at all.
func (c *Core) machineAllowed(j *job, m *machine) bool {
	return c.machineTypeAllowed(j, m) && j.zoneAllowed(m.zone)
}

// kindAllowed reports whether it may run on such a machine.
func (c *Core) machineTypeAllowed(j *job, m *machine) bool {
	return (!m.spot || j.spec.Spot) && j.spec.typeAllowed(m.typeName)
}

// pick chooses the machine for one more task of a job: where it starts
// soonest, then where it wastes least. only restricts the zone, cached to where
// its image is.
func (c *Core) pickMachine(j *job, now Micros, only string, cached bool) *machine {
	key := newSearchKey(j)
	key.cachedOnly = cached
	cost := func(m *machine) (int64, bool) {
		free := m.free()
		if !j.spec.Request.Fits(free) || !c.machineTypeAllowed(j, m) || cached && !m.hasImage(j.imageID) || m.vacating || !c.schedulable(m, now) {
			return 0, false
		}
		if j.spec.Kind != Service && !j.starving && c.takesSpare(j.spec.Request, m) {
			return 0, false
		}
		cost := c.imageFetchDelay(j, m)
		if j.spec.Spot && !m.spot {
			cost += int64(5 * Second)
		}
		left := free.Sub(j.spec.Request)
		return cost + left.CPU*int64(20*Millisecond)/1000, true
	}
	best := c.cheapestCandidate(key, c.candidates, j, only, cost, func(m *machine) bool { return j.failedOn[m.name] })
	if best == nil && (len(j.failedOn) >= suspectThreshold || j.starving && j.failedOn != nil) {
		best = c.cheapestCandidate(key, c.candidates, j, only, cost, func(*machine) bool { return false })
	}
	return best
}

// startCost is how long the task would wait for its image there.
func (c *Core) imageFetchDelay(j *job, m *machine) int64 {
	if m.hasImage(j.imageID) || m.typ.FetchMBps == 0 {
		return 0
	}
	return j.spec.ImageMB * int64(Second) / m.typ.FetchMBps * int64(1+m.fetchingTasks)
}

// recount keeps the count of spare room right over a change of a machine's use.
func (c *Core) updateUsage(m *machine, change func()) {
	c.changedMachines = append(c.changedMachines, m)
	if m.spot || c.spareTaskRequest == (Resources{}) {
		change()
		return
	}
	was := c.spareSlots(m)
	change()
	c.spareByZone[m.zone] += c.spareSlots(m) - was
}
