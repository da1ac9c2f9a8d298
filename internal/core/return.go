package core

import (
	"cmp"
	"slices"
	"sort"
	"strings"
)

const silentWhy = "silent"

// returns gives back machines that are lost, drained, overdue or idle.
func (c *Core) returns(now Micros, short *Res) {
	c.countSpare(now)
	var idle []*machine
	for _, m := range c.order {
		if m.returning {
			continue
		}
		switch {
		case m.lost:
			// The cut may end before another machine could be there.
			if m.typ == nil || !c.cutOff(m.zone, now) || now-m.lostAt >= m.typ.Boot {
				c.giveBack(m, now, "lost")
			}
		case m.booting:
			if c.checkBoot(m, now); m.typ != nil && now-m.seen > givenUpAfter(m.typ) {
				c.giveBack(m, now, "never came up")
			}
		case (m.silent || c.silentInCut(m, now)) && !c.deaf && !(c.cutOff(m.zone, now) && c.keepsServices(m)):
			// Deleting it frees its tasks at once; waiting for its lease would
			// take longer. But when few others are heard, good machines would be
			// deleted; and what serves in a zone that is cut off goes on serving.
			m.silent = true
			c.giveBack(m, now, silentWhy)
		case !m.settled:
		case m.typ == nil && m.used == (Res{}):
			c.giveBack(m, now, "of a type that is not in the catalog")
		case c.ownsEnds(m):
			// Until they are recorded, its reports are where finished tasks are known.
		case m.draining, m.vacating:
			if m.used == (Res{}) {
				c.giveBack(m, now, "drained")
			}
		case m.used == (Res{}) && m.idle > 0 && now-m.idle >= c.cfg.Tuning.Idle && now-m.rented >= 60*Second:
			idle = append(idle, m)
		}
	}
	// The dearest go first.
	slices.SortStableFunc(idle, func(a, b *machine) int { return cmp.Compare(b.price(), a.price()) })
	for _, m := range idle {
		if c.neededSpare(m) || short.Add(m.typ.Cap).lacks() {
			continue
		}
		*short = short.Add(m.typ.Cap)
		if !m.spot && c.spareNeed != (Res{}) {
			c.spare[m.zone] -= c.spareOn(m)
		}
		c.giveBack(m, now, "idle")
	}
}

// ownsEnds reports whether the machine has tasks that are done and not recorded as done:
// a leader that begins now learns of them from its reports alone.
func (c *Core) ownsEnds(m *machine) bool {
	for _, p := range m.tasks {
		if p.shown && p.state == Exited && p.cause == CauseDone && !p.finalOK {
			return true
		}
	}
	return false
}

// giveBack has a machine returned. What was not sent to it yet goes elsewhere.
func (c *Core) giveBack(m *machine, now Micros, why string) {
	if m.returning {
		return
	}
	m.returning, m.returnWhy = true, why
	c.backlog = append(c.backlog, m)
	for _, p := range slices.Clone(m.tasks) {
		if !p.sent && !p.shown && !p.inDo {
			c.remove(p, now)
		}
	}
}

// keep takes a machine off the backlog of returns, unless the cloud has been
// asked already.
func (c *Core) keep(m *machine) {
	if i := slices.Index(c.backlog, m); i >= 0 {
		c.backlog = slices.Delete(c.backlog, i, i+1)
		m.returning = false
		c.dirty = true
		c.note("kept: it reports again", "machine", m.name, "reason", m.returnWhy)
	}
}

// returnMost is how many machines go back with one request.
const returnMost = 100

// sendReturns asks the cloud to take machines back, many with one request, one
// request at a time and with a pause between two: in a wave a few machines are
// given up every moment, the cloud's calls are few, and rentals go first.
func (c *Core) sendReturns(now Micros) {
	if c.returnOut || len(c.backlog) == 0 || now < c.returnFrom {
		return
	}
	batch := c.backlog[:min(len(c.backlog), returnMost)]
	c.backlog = slices.Clone(c.backlog[len(batch):])
	var r Return
	for _, m := range batch {
		r.Machines = append(r.Machines, m.name)
		if !strings.Contains(r.Reason, m.returnWhy) {
			r.Reason = strings.TrimPrefix(r.Reason+", "+m.returnWhy, ", ")
		}
	}
	c.returnOut = true
	c.out = append(c.out, r)
}

// Returned is the result of a Return: after ok, the machines and all that was
// on them are gone.
func (c *Core) Returned(now Micros, names []string, ok bool) {
	if !c.leading {
		return
	}
	c.returnOut = false
	c.returnFrom = now + c.cfg.ReturnPause
	for _, name := range names {
		switch m := c.machines[name]; {
		case m == nil:
		case ok:
			c.removeMachine(m, now)
		default:
			c.backlog = append(c.backlog, m)
		}
	}
}

func (c *Core) removeMachine(m *machine, now Micros) {
	c.clear(m, now)
	c.settle(m)
	c.probeOver(m) // its result finds no machine any more
	c.unkeep(m)
	delete(c.machines, m.name)
	i := sort.Search(len(c.order), func(i int) bool { return c.order[i].name >= m.name })
	c.order = append(c.order[:i:i], c.order[i+1:]...)
	c.gone[m.name] = true
	c.vacating = slices.DeleteFunc(c.vacating, func(o *machine) bool { return o == m })
	c.delist(m, now)
	c.upRent(m.name)
	c.dirty = true
}
