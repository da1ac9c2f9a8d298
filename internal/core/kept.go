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
	machines []*machine // that are still there
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
		over := len(k.machines) == 0 || slices.ContainsFunc(k.machines, func(m *machine) bool { return m.heardWithin(now, c.silence()) })
		if over && !k.writing && now >= k.from {
			c.endKept(k)
		}
	}
	if !c.anyCut(now) {
		return
	}
	var list []*machine
	for _, m := range c.order {
		if c.cutOff(m.zone, now) && m.kept == nil && m.settled && !m.booting && !m.lost && !m.returning && now >= m.keptFrom &&
			!m.heardWithin(now, c.zoneOf[m.zone].moment) && c.keepsServices(m) {
			list = append(list, m)
		}
	}
	for len(list) > 0 {
		n, size := 0, 0
		for n < len(list) && (n == 0 || list[n].zone == list[0].zone) {
			size += keptMachineBytes + len(list[n].name)
			for _, p := range list[n].tasks {
				size += keptTaskBytes + len(p.job)
			}
			if n > 0 && size > c.cfg.ValueBytes {
				break
			}
			n++
		}
		c.writeKept(list[:n:n], now)
		list = list[n:]
	}
}

// writeKept records machines of one zone.
func (c *Core) writeKept(ms []*machine, now Micros) {
	c.keptID++
	k := &kept{key: fmt.Sprintf("%s%d-%d", KeptPrefix, c.token, c.keptID), machines: slices.Clone(ms), writing: true}
	c.kept = append(c.kept, k)
	rec := KeptRecord{Ago: now - c.zoneOf[ms[0].zone].began}
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
	c.write(Write{Puts: []Put{{k.key, rec}}, IfAbsent: k.key, Urgent: true}, func(now Micros, o WriteOutcome) {
		k.writing = false
		if o != WriteRefused {
			return // what got no answer may stand, or may come to
		}
		for _, m := range k.machines {
			m.kept, m.keptFrom = nil, now+writeRetry
		}
		c.kept = slices.DeleteFunc(c.kept, func(o *kept) bool { return o == k })
	})
}

// endKept ends a record; its machines can be given tasks once that is stored.
func (c *Core) endKept(k *kept) {
	k.writing = true
	c.write(Write{Puts: []Put{{k.key, KeptRecord{}}}, Urgent: true}, func(now Micros, o WriteOutcome) {
		k.writing, k.from = false, now+writeRetry
		if o != Stored {
			return
		}
		for _, m := range k.machines {
			m.kept = nil
		}
		c.dirty = true
		c.kept = slices.DeleteFunc(c.kept, func(o *kept) bool { return o == k })
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
	k := &kept{key: rec.Key}
	for _, km := range rec.Machines {
		m := c.machines[km.Name]
		if m == nil || m.settled || slices.ContainsFunc(km.Tasks, func(t KeptTask) bool { return c.liveAttempt(t) == t.Attempt }) {
			continue // gone, or a gang's task that was replaced: which of the two is there is not known
		}
		m.settled, m.kept = true, k
		c.unsettled--
		k.machines = append(k.machines, m)
		z := c.zoneOf[m.zone]
		if z == nil {
			z = &zone{moment: c.cfg.ReportGap}
			c.zoneOf[m.zone] = z
		}
		z.began = now - max(wall-rec.Began, 0)
		z.cutUntil = now + c.cutLasts()
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
	c.kept = append(c.kept, k)
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
