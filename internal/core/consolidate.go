package core

import (
	"cmp"
	"slices"
)

const (
	// vacateShare is how long a service is left in peace between two moves, on
	// the average: each move takes it down for as long as its image takes, and
	// they must not add up.
	vacateShare = 140 * Second
	// vacateMost is how many services are moved to empty a machine.
	vacateMost = 16
	// vacateTries is how many machines are looked at closely in one pass.
	vacateTries = 8
)

// consolidate empties ordinary machines that a few services keep rented while
// there is room for them elsewhere. The more services there are, the more may
// move in a second. A machine that batches use as well is of use.
func (c *Core) consolidate(now Micros) {
	services := 0
	for _, j := range c.queue {
		if j.pending > 0 {
			// Room is short.
			c.vacateAt = now
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
	if c.unsettled > 0 || services == 0 {
		return
	}
	// Moves that were not made are not made up for.
	c.vacateAt = max(c.vacateAt, now-Second)
	if now < c.vacateAt {
		return
	}
	type candidate struct {
		m    *machine
		gain float64
	}
	var from []candidate
	var to []*machine
	for _, m := range c.order {
		if m.spot || m.used == (Res{}) || !c.usable(m, now) {
			continue
		}
		free := float64(m.typ.Cap.CPU-m.used.CPU) / float64(m.typ.Cap.CPU)
		if free <= 0 {
			continue
		}
		gain := m.typ.Price * free / float64(len(m.tasks))
		if m.vacating {
			gain *= 10 // finish what was begun
		} else {
			to = append(to, m)
		}
		if m.vacating || len(m.tasks) <= vacateMost {
			from = append(from, candidate{m, gain})
		}
	}
	slices.SortStableFunc(from, func(a, b candidate) int { return cmp.Compare(b.gain, a.gain) })
	for _, f := range from[:min(len(from), vacateTries)] {
		m := f.m
		if !c.movable(m, to, now) {
			if m.vacating {
				m.vacating = false
				c.vacating = slices.DeleteFunc(c.vacating, func(o *machine) bool { return o == m })
			}
			continue
		}
		if !m.vacating {
			c.note("vacating: its services fit elsewhere", "machine", m.name, "type", m.typeName, "used_cpus", m.used.CPU/1000)
			m.vacating = true
			c.vacating = append(c.vacating, m)
			to = slices.DeleteFunc(to, func(o *machine) bool { return o == m })
		}
		for _, p := range slices.Clone(m.tasks) {
			if now < c.vacateAt {
				return
			}
			if p.j != nil && p.holds() && !p.unwanted && p.j.spec.Kind == Service {
				c.vacateAt += vacateShare / Micros(services)
				c.unwant(p, now, 0)
			}
		}
	}
}

// moves are services that are to move, by where there is room for them.
type moves struct {
	to    []*machine
	taken map[*machine]Res
	zones map[zoneOfJob]int // tasks of a job that come to a zone, or leave it
	made  []move
}

type move struct {
	p  *placement
	to *machine
}

type zoneOfJob struct {
	j    *job
	zone string
}

func movesTo(to []*machine) *moves {
	return &moves{to: to, taken: map[*machine]Res{}, zones: map[zoneOfJob]int{}}
}

// left is what stays free on a machine that services may move to.
func (v *moves) left(o *machine) Res { return o.free().Sub(v.taken[o]) }

// count notes a move, or one that is not made after all.
func (v *moves) count(mv move, sign int) {
	v.taken[mv.to] = v.taken[mv.to].Add(mv.p.need.Times(sign))
	v.zones[zoneOfJob{mv.p.j, mv.to.zone}] += sign
	v.zones[zoneOfJob{mv.p.j, mv.p.m.zone}] -= sign
}

// take finds room for tasks of services away from their machines, with their
// images there already if cached is set: for all of them, or it reports false and
// nothing is taken.
func (c *Core) take(v *moves, ps []*placement, cached bool) bool {
	before := len(v.made)
	for _, p := range ps {
		j, from := p.j, p.m.zone
		i := slices.IndexFunc(v.to, func(o *machine) bool {
			if o == p.m || cached && !o.hasImage(j.image) || !p.need.Fits(v.left(o)) {
				return false
			}
			j.zones[from]-- // as it will be
			ok := c.allowed(j, o) && (!j.spec.Spread || o.zone == from || j.zones[o.zone]+v.zones[zoneOfJob{j, o.zone}] < (j.spec.Tasks+1)/2)
			j.zones[from]++
			return ok
		})
		if i < 0 {
			for _, mv := range v.made[before:] {
				v.count(mv, -1)
			}
			v.made = v.made[:before]
			return false
		}
		mv := move{p, v.to[i]}
		v.count(mv, 1)
		v.made = append(v.made, mv)
	}
	return true
}

// movable reports whether all services on a machine, and there are some, have
// room on the machines to, with their image and besides the spare room.
func (c *Core) movable(m *machine, to []*machine, now Micros) bool {
	v := movesTo(to)
	var ps []*placement
	for _, p := range m.tasks {
		if !p.holds() {
			continue
		}
		if m.vacating && p.unwanted {
			continue
		}
		if p.j == nil || p.unwanted || p.state != Running {
			return false
		}
		if p.j.spec.Kind != Service {
			if m.vacating {
				continue
			}
			return false // batches make use of it
		}
		ps = append(ps, p)
	}
	if len(ps) == 0 || !c.take(v, ps, true) {
		return false
	}
	if c.spareNeed == (Res{}) {
		return true
	}
	// What is left must do for the services that are expected.
	left := 0
	for _, o := range c.order {
		if o != m && !o.spot && !o.vacating && c.usable(o, now) {
			left += c.spareNeed.copies(v.left(o))
		}
	}
	return left >= c.spareWant
}
