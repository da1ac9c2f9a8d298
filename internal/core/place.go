package core

import "slices"

// equivalenceKey identifies jobs whose tasks can be placed under the same conditions. Within a
// pass, a key for which no capacity was found is not searched again.
type equivalenceKey struct {
	need          Resources
	spot, service bool
	team          string
	priority      Priority
	types, zone   string
	gangTasks     int // number of tasks of a gang; 0: not a gang
	oneZone       bool
	starving      bool
}

// equivalenceKey returns the job's key without the fields that apply to gangs only.
func (j *job) equivalenceKey() equivalenceKey {
	return equivalenceKey{need: j.spec.Resources, spot: j.spec.Spot, service: j.spec.Kind == Service, team: j.spec.Team,
		priority: j.spec.Priority, types: j.typesKey, zone: j.spec.Zone, starving: j.starving}
}

// starvationTimeout is how long a job waits with no task placed before it may use capacity that
// is kept for others. The service objective is that no job waits for more than 90 s while a
// machine has room for it, and that time includes the image fetch.
const starvationTimeout = 60 * Second

// updateStarving sets whether the job is starving: no task of it is on a machine, and none was
// placed for starvationTimeout. A starving job may use spare and reserved capacity for one task,
// or for all tasks of a gang: that capacity is kept for jobs that may come, and this job is
// already waiting.
func (c *Core) updateStarving(j *job, now Micros) {
	// A new leader has no times of former placements, but workers soon report what is
	// running. A job therefore counts as starving no earlier than a third of the timeout into
	// the term.
	earliest := c.termBeganAt - starvationTimeout*2/3
	j.starving = j.occupying == 0 && now-max(j.readyAt, j.lastPlacedAt, earliest) >= starvationTimeout
}

// schedule runs one placement pass: it places waiting tasks in the order of the queue.
func (c *Core) schedule(now Micros) {
	clear(c.candidateCaches)
	c.changedMachines = c.changedMachines[:0]
	if !c.collectCandidates(now) {
		return
	}
	c.countUnaccounted()
	infeasible := map[equivalenceKey]bool{}
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
		keyDecides := (gang || !j.spec.OneZone) && !j.spec.Spread && j.failedOn == nil
		key := j.equivalenceKey()
		if gang {
			key.gangTasks, key.oneZone = j.spec.Tasks, j.spec.OneZone
		}
		if keyDecides && infeasible[key] {
			continue
		}
		if gang {
			infeasible[key] = !c.scheduleGang(j, now) && keyDecides
			continue
		}
		t := j.team
		usage := c.teamUsage(t)
		for {
			i := j.nextPending()
			if i < 0 || overMax(usage, j.spec.Resources, t.Max) || j.suspect() && j.occupying > 0 || c.borrowsReserved(j, usage) {
				break
			}
			m := c.pickMachine(j, now, "", false)
			if m == nil {
				var plan reclaimPlan
				if m = c.planReclaim(j, usage, now, "", &plan); m == nil {
					infeasible[key] = keyDecides
					break
				}
				c.evict(&plan, j, now)
			}
			c.place(j, i, m, c.nextAttempt(), now)
			usage = usage.Add(j.spec.Resources)
		}
	}
}

// The largest arrays of a class have to start within four minutes. After maxStartWait, one task
// of such an array is placed ahead of the queue. An array with fewer than smallArrayTasks tasks
// waits for maxStartWaitSmall, because one task is a large part of it. It must also be larger
// than the class's median: where most arrays have one task, a quarter of them would otherwise
// count as the largest.
const (
	maxStartWait      = 150 * Second
	maxStartWaitSmall = 200 * Second
	smallArrayTasks   = 8
)

// startOverdue reports whether the job is among the largest of its class and has waited for so
// long that one of its tasks has to be placed ahead of the queue.
func (j *job) startOverdue(now Micros) bool {
	if j.spec.Tasks >= smallArrayTasks {
		return j.spec.Tasks >= j.class.largeSize && now-j.readyAt >= maxStartWait
	}
	return j.spec.Tasks >= j.class.largeSize && j.spec.Tasks > j.class.medianSize && now-j.readyAt >= maxStartWaitSmall
}

// startOverdueArrays places one task of each array that is overdue to start and has the priority
// of the first job in queue. In overload, the order of the queue would leave these arrays until
// the end. One task of each takes little capacity from the other jobs.
func (c *Core) startOverdueArrays(queue []*job, now Micros) {
	infeasible := map[equivalenceKey]bool{}
	for _, j := range queue {
		if j.spec.Priority != queue[0].spec.Priority {
			return
		}
		if j.spec.Kind != Array || !j.startOverdue(now) || j.occupying > 0 || j.done > 0 || j.unaccounted || j.stopping || now < j.notBefore {
			continue
		}
		usage := c.teamUsage(j.team)
		i := j.nextPending()
		if i < 0 || infeasible[j.equivalenceKey()] || overMax(usage, j.spec.Resources, j.team.Max) || c.borrowsReserved(j, usage) {
			continue
		}
		if m := c.pickMachine(j, now, "", false); m != nil {
			c.place(j, i, m, c.nextAttempt(), now)
		} else {
			infeasible[j.equivalenceKey()] = true
		}
	}
}

// place puts task i of the job on a machine and returns the placement.
func (c *Core) place(j *job, i int, m *machine, attempt uint64, now Micros) *placement {
	p := &placement{job: j, jobID: j.spec.ID, index: i, attempt: attempt, machine: m, need: j.spec.Resources, placedAt: now}
	fromSpare := j.starving && j.spec.Kind != Service && c.takesSpare(j.spec.Resources, m)
	c.updateMachineUsage(m, func() {
		c.addPlacement(p)
		if fromSpare {
			p.onSpare, m.spareUsed = true, m.spareUsed.Add(p.need)
		}
	})
	j.lastPlacedAt = now
	if j.spec.Kind != Gang { // all tasks of a gang are placed at once: see commitGang
		j.starving = false
	}
	if !slices.Contains(c.reservedClasses, j.class) {
		c.reservationSurplus = c.reservationSurplus.Sub(j.spec.Resources)
	}
	m.markImageUsed(j.imageID, j.spec.ImageMB)
	c.queueCommands(m)
	return p
}

// collectCandidates collects the machines that have free, of each resource, at least the smallest
// amount that a waiting task requests, and reports whether any task waits. A pass searches only
// these machines for free capacity; in a full fleet they are few.
func (c *Core) collectCandidates(now Micros) bool {
	smallest, waiting := Resources{}, false
	for _, j := range c.queue {
		if j.pending > 0 && waiting {
			smallest = smallest.min(j.spec.Resources)
		} else if j.pending > 0 {
			smallest, waiting = j.spec.Resources, true
		}
	}
	if !waiting {
		return false
	}
	c.updateSpare(now)
	c.candidates = c.candidates[:0]
	for _, m := range c.sortedMachines {
		if c.acceptsTasks(m, now) && smallest.Fits(m.free()) {
			c.candidates = append(c.candidates, m)
		}
	}
	return true
}

// machineAllowed reports whether the job's constraints allow the machine, including its zone.
func (c *Core) machineAllowed(j *job, m *machine) bool {
	return c.machineTypeAllowed(j, m) && j.zoneAllowed(m.zone)
}

// machineTypeAllowed reports whether the job allows the machine's type and, for a spot machine,
// spot capacity.
func (c *Core) machineTypeAllowed(j *job, m *machine) bool {
	return (!m.spot || j.spec.Spot) && j.spec.typeAllowed(m.typeName)
}

// pickMachine returns the machine for one more task of a job, or nil if no machine has room. It
// prefers the machine with the lowest sum of the wait for the image and two penalties: one for an
// on-demand machine if the job allows spot machines, and one for each CPU that stays free. Machines
// on which tasks of the job failed are used last, and only if there are at least suspectThreshold
// of them or the job is starving. zoneFilter, unless empty, restricts the search to a zone, and
// requireCached to machines that have the job's image.
func (c *Core) pickMachine(j *job, now Micros, zoneFilter string, requireCached bool) *machine {
	return c.pickMachineExcept(j, now, zoneFilter, requireCached, func(*machine) bool { return false })
}

// pickMachineExcept is pickMachine without the machines for which excluded returns true.
func (c *Core) pickMachineExcept(j *job, now Micros, zoneFilter string, requireCached bool, excluded func(*machine) bool) *machine {
	key := newSearchKey(j)
	key.cachedOnly = requireCached
	cost := func(m *machine) (int64, bool) {
		free := m.free()
		if !j.spec.Resources.Fits(free) || !c.machineTypeAllowed(j, m) || requireCached && !m.hasImage(j.imageID) || !c.acceptsTasks(m, now) {
			return 0, false
		}
		if j.spec.Kind != Service && !j.starving && c.takesSpare(j.spec.Resources, m) {
			return 0, false
		}
		cost := c.imageFetchDelay(j, m)
		if j.spec.Spot && !m.spot {
			cost += int64(5 * Second)
		}
		remaining := free.Sub(j.spec.Resources)
		return cost + remaining.CPU*int64(20*Millisecond)/1000, true
	}
	best := c.cheapestCandidate(key, c.candidates, j, zoneFilter, cost, func(m *machine) bool { return j.failedOn[m.name] || excluded(m) })
	if best == nil && (len(j.failedOn) >= suspectThreshold || j.starving && j.failedOn != nil) {
		best = c.cheapestCandidate(key, c.candidates, j, zoneFilter, cost, excluded)
	}
	return best
}

// imageFetchDelay returns how long, in microseconds, a task of the job would wait for its image
// on the machine.
func (c *Core) imageFetchDelay(j *job, m *machine) int64 {
	if m.hasImage(j.imageID) || m.typ.FetchMBps == 0 {
		return 0
	}
	return j.spec.ImageMB * int64(Second) / m.typ.FetchMBps * int64(1+m.fetchingTasks)
}

// updateMachineUsage calls change, which changes the machine's used resources, and updates the
// zone's count of spare slots.
func (c *Core) updateMachineUsage(m *machine, change func()) {
	c.changedMachines = append(c.changedMachines, m)
	if m.spot || c.spareTaskResources == (Resources{}) {
		change()
		return
	}
	before := c.spareSlots(m)
	change()
	c.spareByZone[m.zone] += c.spareSlots(m) - before
}
