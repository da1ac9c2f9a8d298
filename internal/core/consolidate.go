package core

import (
	"cmp"
	"slices"
)

const (
	// vacateShare is how long a service is left in peace between two moves, on
	// the average: each move takes it down for as long as its image takes, and
	// they must not add up.
	serviceMoveInterval = 140 * Second
	// vacateMost is how many services are moved to empty a machine.
	maxVacatedServices = 16
	// vacateTries is how many machines are looked at closely in one pass.
	maxVacateAttempts = 8
)

// consolidate empties ordinary machines that a few services keep rented while
// there is room for them elsewhere. The more services there are, the more may
// move in a second. A machine that batches use as well is of use.
func (c *Core) consolidate(now Micros) {
	services := 0
	for _, j := range c.queue {
		if j.pending > 0 {
			// Room is short.
			c.nextVacateAt = now
			for _, m := range c.vacating {
				m.vacating = false
			}
			c.vacating = c.vacating[:0]
			return
		}
		if j.spec.Kind == Service {
			services += len(j.live)
		}
	}
	if c.unreconciled > 0 || services == 0 {
		return
	}
	// Moves that were not made are not made up for.
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
			gain *= 10 // finish what was begun
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
			c.log("vacating: its services fit elsewhere", "machine", m.name, "type", m.typeName, "used_cpus", m.used.CPU/1000)
			m.vacating = true
			c.vacating = append(c.vacating, m)
			targets = slices.DeleteFunc(targets, func(o *machine) bool { return o == m })
		}
		for _, p := range slices.Clone(m.placements) {
			if now < c.nextVacateAt {
				return
			}
			if p.job != nil && p.occupies() && !p.stopRequested && p.job.spec.Kind == Service {
				c.nextVacateAt += serviceMoveInterval / Micros(services)
				c.stopPlacement(p, now, 0)
			}
		}
	}
}

// moves are services that are to move, by where there is room for them.
type movePlan struct {
	targets    []*machine
	plannedUse map[*machine]Resources
	zoneDelta  map[jobZone]int // tasks of a job that come to a zone, or leave it
	moves      []serviceMove
}

type serviceMove struct {
	placement *placement
	target    *machine
}

type jobZone struct {
	job  *job
	zone string
}

func newMovePlan(machines []*machine) *movePlan {
	return &movePlan{targets: machines, plannedUse: map[*machine]Resources{}, zoneDelta: map[jobZone]int{}}
}

// left is what stays free on a machine that services may move to.
func (plan *movePlan) freeOn(o *machine) Resources { return o.free().Sub(plan.plannedUse[o]) }

// count notes a move, or one that is not made after all.
func (plan *movePlan) apply(mv serviceMove, sign int) {
	plan.plannedUse[mv.target] = plan.plannedUse[mv.target].Add(mv.placement.need.Times(sign))
	plan.zoneDelta[jobZone{mv.placement.job, mv.target.zone}] += sign
	plan.zoneDelta[jobZone{mv.placement.job, mv.placement.machine.zone}] -= sign
}

// take finds room for tasks of services away from their machines, with their
// images there already if cached is set: for all of them, or it reports false and
// nothing is taken.
func (c *Core) planMoves(plan *movePlan, placements []*placement, requireCached bool) bool {
	start := len(plan.moves)
	for _, p := range placements {
		j, fromZone := p.job, p.machine.zone
		i := slices.IndexFunc(plan.targets, func(o *machine) bool {
			if o == p.machine || requireCached && !o.hasImage(j.imageID) || !p.need.Fits(plan.freeOn(o)) {
				return false
			}
			j.placedByZone[fromZone]-- // as it will be
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

// movable reports whether all services on a machine, and there are some, have
// room on the machines to, with their image and besides the spare room.
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
			return false // batches make use of it
		}
		services = append(services, p)
	}
	if len(services) == 0 || !c.planMoves(plan, services, true) {
		return false
	}
	if c.spareTaskRequest == (Resources{}) {
		return true
	}
	// What is left must do for the services that are expected.
	spareLeft := 0
	for _, o := range c.sortedMachines {
		if o != m && !o.spot && !o.vacating && c.schedulable(o, now) {
			spareLeft += c.spareTaskRequest.countIn(plan.freeOn(o))
		}
	}
	return spareLeft >= c.spareTarget
}
