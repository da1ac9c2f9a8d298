package core

import (
	"fmt"
	"slices"
)

// What runs on the machines that are kept in a zone that is cut off is recorded
// when the cut is found. A leader that begins meanwhile cannot ask them: without
// that it has to wait, with every task of an opened job that nobody reports, until
// their leases are certainly over.
//
// While a record stands, nothing is placed on its machines, so all that can be on
// them is in it: tasks that were there, and starts that may still arrive. What is
// in it may be gone, and may have been started again elsewhere since: what a
// machine reports goes before what a record says of another one. A record ends by
// an empty one in its place, under which a late execution of its own write, which
// is on the condition that there is none, does nothing.

// kept is such a record.
type kept struct {
	key      string
	zone     string
	machines []*machine // that are still there
	at       Micros     // what it says is as of then
	writing  bool
	from     Micros // not written before this
}

const (
	// What a task and a machine take in a record, as JSON, besides their names: an
	// index, an attempt, brackets and commas.
	keptTaskBytes    = 36
	keptMachineBytes = 12
)

// recordKept sees to the records: of cuts that were found, and of those that
// ended.
func (c *Core) recordKept(now Micros) {
	for _, k := range slices.Clone(c.kept) {
		over := len(k.machines) == 0 && now >= c.zoneOf[k.zone].cutUntil ||
			// Heard now: under a former leader's token it may be a copy of an old report.
			slices.ContainsFunc(k.machines, func(m *machine) bool { return m.heard > k.at && m.token >= c.settleToken })
		if over && !k.writing && now >= k.from {
			c.endKept(k)
		}
	}
	for _, name := range c.cutZones(now) {
		if now < c.zoneOf[name].keptFrom {
			continue
		}
		var list []*machine
		for _, m := range c.order {
			if m.zone == name && m.kept == nil && m.settled && !m.booting && !m.lost && !m.returning &&
				!m.heardWithin(now, c.zoneOf[name].moment) && c.keepsServices(m) {
				list = append(list, m)
			}
		}
		for len(list) > 0 {
			n := c.fitRecord(list)
			c.writeKept(name, list[:n:n], now)
			list = list[n:]
		}
		if !slices.ContainsFunc(c.kept, func(k *kept) bool { return k.zone == name }) {
			c.writeKept(name, nil, now) // since when it is cut off is worth knowing
		}
	}
}

// fitRecord says how many machines, the first at least, fit into one record.
func (c *Core) fitRecord(ms []*machine) int {
	size := 0
	for n, m := range ms {
		size += keptMachineBytes + len(m.name)
		for _, p := range m.tasks {
			size += keptTaskBytes + len(p.job)
		}
		if n > 0 && size > c.cfg.ValueBytes {
			return n
		}
	}
	return len(ms)
}

// writeKept records that a zone is cut off, and what is on machines in it.
func (c *Core) writeKept(zone string, ms []*machine, now Micros) {
	c.keptID++
	k := &kept{key: fmt.Sprintf("%s%d-%d", KeptPrefix, c.token, c.keptID), zone: zone, machines: slices.Clone(ms), at: now, writing: true}
	c.kept = append(c.kept, k)
	rec := KeptRecord{Zone: zone, Ago: now - c.zoneOf[zone].began}
	for _, m := range ms {
		m.kept = k
		km := KeptMachine{Name: m.name}
		for _, p := range m.tasks {
			if p.holds() {
				km.Tasks = append(km.Tasks, KeptTask{p.job, p.index, p.attempt})
			}
		}
		rec.Machines = append(rec.Machines, km)
	}
	c.write(Write{Puts: []Put{{k.key, rec}}, IfAbsent: k.key, Urgent: true, Priority: Production}, func(now Micros, o WriteOutcome) {
		k.writing = false
		if o == WriteRefused {
			c.zoneOf[zone].keptFrom = now + writeRetry
			c.dropKept(k)
		} // what got no answer may stand, or may come to
	})
}

// dropKept forgets a record that is not in the state service, or is over there.
func (c *Core) dropKept(k *kept) {
	for _, m := range k.machines {
		m.kept = nil
	}
	c.dirty = true
	c.kept = slices.DeleteFunc(c.kept, func(o *kept) bool { return o == k })
}

// endKept ends a record; its machines can be given tasks once that is stored.
func (c *Core) endKept(k *kept) {
	k.writing = true
	c.write(Write{Puts: []Put{{k.key, KeptRecord{}}}, Urgent: true, Priority: Production}, func(now Micros, o WriteOutcome) {
		k.writing, k.from = false, now+writeRetry
		if o == Stored {
			c.dropKept(k)
		}
	})
}

// unkeep takes a machine that is gone off its record.
func (c *Core) unkeep(m *machine) {
	if k := m.kept; k != nil {
		k.machines = slices.DeleteFunc(k.machines, func(o *machine) bool { return o == m })
		m.kept = nil
	}
}

// takeKept takes over a record that a former leader left, after the machines and
// the jobs.
func (c *Core) takeKept(rec KeptRecord, now, wall Micros) {
	k := &kept{key: rec.Key, zone: rec.Zone, at: now}
	c.kept = append(c.kept, k)
	z := c.zoneOf[k.zone]
	if z == nil {
		z = &zone{moment: c.cfg.ReportGap, began: now}
		c.zoneOf[k.zone] = z
	}
	z.began, z.cutUntil = min(z.began, now-max(wall-rec.Began, 0)), now+c.cutLasts()
	for _, km := range rec.Machines {
		m := c.machines[km.Name]
		if m == nil || m.settled || slices.ContainsFunc(km.Tasks, func(t KeptTask) bool { return c.liveAttempt(t) == t.Attempt }) {
			continue // gone, or a gang's task that was replaced: which of the two is there is not known
		}
		m.settled, m.kept = true, k
		c.unsettled--
		k.machines = append(k.machines, m)
		for _, t := range km.Tasks {
			if c.liveAttempt(t) > t.Attempt {
				continue // a later start: this one was known to be gone
			}
			p := c.adopt(m, &TaskReport{Job: t.Job, Index: t.Index, Attempt: t.Attempt, State: Fetching}, now)
			// Its start may still arrive, until the machine has seen this token.
			p.listed, p.late, p.lateToken = true, true, c.token-1
			c.add(p)
		}
	}
}

// liveAttempt is the attempt of a task that is known to be on a machine, or 0.
func (c *Core) liveAttempt(t KeptTask) uint64 {
	if j := c.jobs[t.Job]; j != nil && j.live[t.Index] != nil {
		return j.live[t.Index].attempt
	}
	return 0
}

// unlist drops a task that only a record told of: it is somewhere else.
func (c *Core) unlist(p *placement, now Micros) {
	c.release(p, now)
	p.m.tasks = slices.DeleteFunc(p.m.tasks, func(o *placement) bool { return o == p })
}
