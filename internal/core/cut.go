package core

// What serves in a zone that is cut off goes on only as long as somebody in there
// may answer, and then until the leases end. Before that it moves: room is
// rented elsewhere in time, and a machine is given back as soon as all that it
// serves has room. A task is down for as long as its image takes, and not for as
// long as machines take to come. If the cut ends before, nothing was moved.

// moveMost is how many machines without room for what they serve are looked at in
// one pass.
const moveMost = 8

// moveAhead is for what is not known of a cut's beginning, for how much earlier
// whoever answers was informed, and for the cloud's calls.
const moveAhead = 3 * Second

// leasesEnd says when the first leases in a zone that is cut off may run out:
// whoever answers in there was informed when the cut began, at the latest, and
// the last answer came up to a report's gap before it stopped.
func (c *Core) leasesEnd(z *zone) Micros {
	return z.began + c.cfg.AnswerGrace + c.cfg.Lease - c.cfg.ReportGap*5/4 - moveAhead
}

// silentInCut reports whether a machine is silent because its zone is cut off: it
// need not be probed to find that out, of hundreds one after the other.
func (c *Core) silentInCut(m *machine, now Micros) bool {
	return c.cutOff(m.zone, now) && now-c.zoneOf[m.zone].began >= c.cfg.Tuning.Suspect && now-m.heard >= c.cfg.Tuning.Suspect
}

// serving lists the tasks of services that are kept on a machine in a zone that
// is cut off.
func (c *Core) serving(m *machine, now Micros) []*placement {
	if m.returning || m.lost || !c.cutOff(m.zone, now) {
		return nil
	}
	var out []*placement
	for _, p := range m.tasks {
		if p.j != nil && p.holds() && !p.unwanted && p.j.spec.Kind == Service {
			out = append(out, p)
		}
	}
	return out
}

// anyCut reports whether a zone is cut off.
func (c *Core) anyCut(now Micros) bool {
	for name := range c.zoneOf {
		if c.cutOff(name, now) {
			return true
		}
	}
	return false
}

// movingOut says for how many tasks of services room is wanted soon, and how much
// for each, because the leases end where they are.
func (c *Core) movingOut(now Micros) (need Res, tasks int) {
	if !c.anyCut(now) {
		return
	}
	for _, m := range c.order {
		for _, p := range c.serving(m, now) {
			if now+c.lead(p.need)*3/2+5*Second >= c.leasesEnd(c.zoneOf[m.zone]) {
				need, tasks = need.most(p.need), tasks+1
			}
		}
	}
	return need, tasks
}

// moveOut gives back the machines in a zone that is cut off whose leases are to
// end, if what they serve has room elsewhere.
func (c *Core) moveOut(now Micros) {
	if c.deaf || !c.anyCut(now) {
		return
	}
	var v *moves
	failed := 0
	for _, m := range c.order {
		if failed == moveMost {
			return
		}
		ps := c.serving(m, now)
		if len(ps) == 0 || m.heardWithin(now, c.cfg.Tuning.Suspect) || now < c.leasesEnd(c.zoneOf[m.zone]) {
			continue
		}
		if v == nil {
			v = movesTo(nil)
			for _, o := range c.order {
				if !c.cutOff(o.zone, now) && !o.vacating && c.usable(o, now) {
					v.to = append(v.to, o)
				}
			}
		}
		if !c.take(v, ps, false) {
			failed++
			continue
		}
		c.note("moving out of a zone that is cut off", "machine", m.name, "services", len(ps))
		m.silent = true
		c.giveBack(m, now, silentWhy)
	}
}
