package core

// probe has an empty command sent to the machine, to learn whether it is there.
func (c *Core) probe(m *machine) {
	if !m.probe {
		m.probe = true
		c.probes = append(c.probes, m)
	}
}

// probesMost is how many probes may be under way: after a takeover every
// machine is to be asked, but most report by themselves before their turn
// comes, and each connection costs processor time.
const probesMost = 32

// probeOver notes that a probe has its result, or will not be waited for.
func (c *Core) probeOver(m *machine) {
	if m.probed > 0 {
		m.probed = 0
		c.probing--
	}
}

// isSilent reports whether a machine that a direct command did not reach is to be
// taken as silent. What nearly all others of a takeover do not wait for any more
// need not be waited for as long: everything that was opened does.
func (c *Core) isSilent(m *machine, now Micros) bool {
	last := !m.settled && m.misses >= 2 && c.unsettled*20 <= len(c.order)
	return now-m.heard >= c.cfg.Tuning.Suspect || last && now-m.heard >= c.cfg.Tuning.Suspect/2
}

// expire ends what only time can end: the leases of machines that are no
// longer answered.
func (c *Core) expire(now Micros) {
	if now < c.probeAt {
		return
	}
	c.probeAt = now + Second/2
	for _, m := range c.retouch {
		m.later = false
		c.touch(m)
	}
	c.retouch = c.retouch[:0]
	for _, m := range c.order {
		if m.booting || m.lost {
			continue
		}
		if c.leaseEnded(m, now) {
			c.note("machine lost: its lease is over", "machine", m.name, "tasks", len(m.tasks), "session", m.session,
				"answered_ms_ago", (now-m.answered)/Millisecond, "heard_ms_ago", (now-m.heard)/Millisecond, "seen_ms_ago", (now-m.seen)/Millisecond)
			m.lost, m.lostAt = true, now
			c.clear(m, now)
			c.settle(m)
			c.fleetAt = now // it goes back, or is waited for
			continue
		}
		if m.returning {
			continue
		}
		// A worker that is up reports within the gap and its spread.
		if now-m.heard >= c.cfg.ReportGap*5/4+Second/10 || !m.settled || m.deaf {
			c.probe(m)
		}
	}
}
