package core

import (
	"cmp"
	"slices"
)

const (
	// serviceMoveInterval is the average time between two moves of a service. Each move interrupts
	// the service for as long as its image fetch takes, and these interruptions must not add up.
	serviceMoveInterval = 140 * Second
	// maxVacatedServices is the maximum number of services that are moved to empty a machine.
	maxVacatedServices = 16
	// maxVacateAttempts is the maximum number of machines that are examined in detail in one pass.
	maxVacateAttempts = 8
	// maxVacateStall is how long a machine may be kept from new tasks without a move of a service. Even a
	// single service is moved after serviceMoveInterval.
	maxVacateStall = serviceMoveInterval
)

// beginVacating keeps new tasks from a machine, so that it can be emptied.
func (c *Core) beginVacating(m *machine, now Micros) {
	m.vacating, m.vacatingSince = true, now
	c.vacating = append(c.vacating, m)
}

// giveBackVacating returns machines that are being emptied to placement: all of them as soon as a task
// waits, since capacity is short then, and each of which nothing was moved for maxVacateStall. It
// reports whether a task waits.
func (c *Core) giveBackVacating(now Micros) (waiting bool) {
	waiting = slices.ContainsFunc(c.queue, func(j *job) bool { return j.pending > 0 })
	c.vacating = slices.DeleteFunc(c.vacating, func(m *machine) bool {
		m.vacating = m.vacating && !waiting && now-m.vacatingSince < maxVacateStall
		if !m.vacating {
			c.needsPlacement = true
		}
		return !m.vacating
	})
	return waiting
}

// consolidate empties on-demand machines that stay rented only for a few services which have room
// on other machines. The rate of moves is proportional to the number of services. A machine that
// batch tasks use as well is not emptied. Nothing is emptied while a task waits.
func (c *Core) consolidate(now Micros) {
	services := 0
	for _, j := range c.queue {
		if j.spec.Kind == Service {
			services += len(j.live)
		}
	}
	if c.unreconciled > 0 || services == 0 {
		return
	}
	// Missed moves are not made up for.
	c.nextVacateAt = max(c.nextVacateAt, now-Second)
	if now < c.nextVacateAt {
		return
	}
	type vacateCandidate struct {
		m    *machine
		gain float64
	}
	var sources []vacateCandidate
	var targets []*machine
	for _, m := range c.sortedMachines {
		if m.spot || m.used == (Resources{}) || !c.schedulable(m, now) {
			continue
		}
		free := float64(m.typ.Capacity.CPU-m.used.CPU) / float64(m.typ.Capacity.CPU)
		if free <= 0 {
			continue
		}
		gain := m.typ.Price * free / float64(len(m.placements))
		if m.vacating {
			gain *= 10 // finish emptying this machine first
		} else {
			targets = append(targets, m)
		}
		if m.vacating || len(m.placements) <= maxVacatedServices {
			sources = append(sources, vacateCandidate{m, gain})
		}
	}
	slices.SortStableFunc(sources, func(a, b vacateCandidate) int { return cmp.Compare(b.gain, a.gain) })
	for _, source := range sources[:min(len(sources), maxVacateAttempts)] {
		m := source.m
		if !c.canVacate(m, targets, now) {
			if m.vacating {
				m.vacating = false
				c.vacating = slices.DeleteFunc(c.vacating, func(o *machine) bool { return o == m })
			}
			continue
		}
		if !m.vacating {
			c.log("vacating machine: its services fit on other machines", "machine", m.name, "type", m.typeName, "used_cpus", m.used.CPU/1000)
			c.beginVacating(m, now)
			targets = slices.DeleteFunc(targets, func(o *machine) bool { return o == m })
		}
		for _, p := range slices.Clone(m.placements) {
			if now < c.nextVacateAt {
				return
			}
			if p.job != nil && p.occupies() && !p.stopRequested && p.job.spec.Kind == Service {
				c.nextVacateAt += serviceMoveInterval / Micros(services)
				m.vacatingSince = now
				c.stopPlacement(p, now, 0)
			}
		}
	}
}

// movePlan is a set of planned moves of services to other machines.
type movePlan struct {
	targets    []*machine
	plannedUse map[*machine]Resources // resources that the moves need on their targets
	zoneDelta  map[jobZone]int        // change in the number of a job's tasks in a zone
	moves      []serviceMove
}

// serviceMove is a planned move of a service's task to another machine.
type serviceMove struct {
	placement *placement
	target    *machine
}

// jobZone is a key for counts by job and zone.
type jobZone struct {
	job  *job
	zone string
}

// newMovePlan returns an empty plan for moves to the given machines.
func newMovePlan(machines []*machine) *movePlan {
	return &movePlan{targets: machines, plannedUse: map[*machine]Resources{}, zoneDelta: map[jobZone]int{}}
}

// freeOn returns the resources that remain free on a target after the planned moves.
func (plan *movePlan) freeOn(o *machine) Resources { return o.free().Sub(plan.plannedUse[o]) }

// apply counts a move if sign is 1, and undoes that if sign is -1.
func (plan *movePlan) apply(mv serviceMove, sign int) {
	plan.plannedUse[mv.target] = plan.plannedUse[mv.target].Add(mv.placement.need.Times(sign))
	plan.zoneDelta[jobZone{mv.placement.job, mv.target.zone}] += sign
	plan.zoneDelta[jobZone{mv.placement.job, mv.placement.machine.zone}] -= sign
}

// planMoves adds moves to other machines for all given placements of services. With requireCached,
// only machines that have the image are targets. If one placement has no target, planMoves returns
// false and leaves the plan as it was.
func (c *Core) planMoves(plan *movePlan, placements []*placement, requireCached bool) bool {
	start := len(plan.moves)
	for _, p := range placements {
		j, fromZone := p.job, p.machine.zone
		i := slices.IndexFunc(plan.targets, func(o *machine) bool {
			if o == p.machine || requireCached && !o.hasImage(j.imageID) || !p.need.Fits(plan.freeOn(o)) {
				return false
			}
			j.placedByZone[fromZone]-- // count the zones as they are after the move
			ok := c.machineAllowed(j, o) && (!j.spec.Spread || o.zone == fromZone || j.placedByZone[o.zone]+plan.zoneDelta[jobZone{j, o.zone}] < (j.spec.Tasks+1)/2)
			j.placedByZone[fromZone]++
			return ok
		})
		if i < 0 {
			for _, mv := range plan.moves[start:] {
				plan.apply(mv, -1)
			}
			plan.moves = plan.moves[:start]
			return false
		}
		mv := serviceMove{p, plan.targets[i]}
		plan.apply(mv, 1)
		plan.moves = append(plan.moves, mv)
	}
	return true
}

// canVacate reports whether the machine runs services and all of them have room on targets that
// have their images, with enough spare capacity left. A machine that batch tasks use is accepted
// only if it is being emptied already.
func (c *Core) canVacate(m *machine, targets []*machine, now Micros) bool {
	plan := newMovePlan(targets)
	var services []*placement
	for _, p := range m.placements {
		if !p.occupies() {
			continue
		}
		if m.vacating && p.stopRequested {
			continue
		}
		if p.job == nil || p.stopRequested || p.state != Running {
			return false
		}
		if p.job.spec.Kind != Service {
			if m.vacating {
				continue
			}
			return false // batch tasks use it
		}
		services = append(services, p)
	}
	if len(services) == 0 || !c.planMoves(plan, services, true) {
		return false
	}
	if c.spareTaskResources == (Resources{}) {
		return true
	}
	// The remaining capacity has to suffice for the expected services.
	spareLeft := 0
	for _, o := range c.sortedMachines {
		if o != m && !o.spot && c.acceptsTasks(o, now) {
			spareLeft += c.spareTaskResources.countIn(plan.freeOn(o))
		}
	}
	return spareLeft >= c.spareTarget
}
