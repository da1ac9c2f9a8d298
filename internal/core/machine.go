package core

import "slices"

// machine is a rented machine.
type machine struct {
	name, address, zone string
	typ                 *MachineType
	typeName            string
	spot                bool
	session, seq        uint64
	token               uint64 // highest it has reported

	chunk    *chunk // the record that it is in, or will be
	recorded bool
	kept     *kept // nothing is placed while it is in such a record
	settled  bool  // everything on it is known to this leader
	lost     bool  // its lease has run out
	lostAt   Micros
	booting  bool   // never heard of
	overdue  bool   // it did not come up in time
	seen     Micros // when we learnt of it
	rented   Micros // when it was rented, by our clock
	heard    Micros // last report
	answered Micros // last time a report of it was answered with 200
	reported Micros // last report that it sent by itself; what it answers to a command does not count
	unproven bool   // known from before this term, without a record: see report.go
	idle     Micros // since when it is without tasks

	tasks  []*placement
	used   Res // by placements that hold
	lent   Res // of that, by those that took spare room: see spareOn
	doing  bool
	noDo   bool   // the last direct command could not be delivered: wait for a beat
	probe  bool   // in Core.probes
	probed Micros // since when a probe is under way; 0: none is
	misses int    // direct commands in a row that did not get through
	silent bool   // a probe of a suspect went unanswered

	deaf    bool   // see deaf.go
	told    uint64 // the token that its last beat was answered with
	unheard int    // answers in a row that it did not take
	missed  int    // answers in a row that it did nothing of

	dirty bool // in Core.touched
	later bool // in Core.retouch

	draining   bool
	vacating   bool // being emptied to be returned: gets no more tasks
	returning  bool
	returnWhy  string
	blocked    Micros // refused a start for want of room: not before this
	quarantine Micros
	failed     map[string]bool // jobs that failed here since the last success
	images     []image         // most recently used last
	fetching   int
}

type image struct {
	id int // of Core.images
	mb int64
}

func (m *machine) free() Res {
	if m.typ == nil {
		return Res{}
	}
	return m.typ.Cap.Sub(m.used)
}

// knows reports whether the machine has had an attempt of a task.
func (m *machine) knows(j *job, index int, attempt uint64) bool {
	return slices.ContainsFunc(m.tasks, func(p *placement) bool {
		return p.job == j.spec.ID && p.index == index && p.attempt == attempt
	})
}

// price is what the machine costs an hour.
func (m *machine) price() float64 {
	if m.spot {
		return m.typ.SpotPrice
	}
	return m.typ.Price
}

// hasLate reports whether a direct start to the machine went unanswered.
func (m *machine) hasLate() bool {
	return slices.ContainsFunc(m.tasks, func(p *placement) bool { return p.late })
}

func (m *machine) hasImage(id int) bool {
	for _, im := range m.images {
		if im.id == id {
			return true
		}
	}
	return false
}

// useImage notes an image as the most recently used and drops what no longer
// fits into the cache.
func (m *machine) useImage(id int, mb int64) {
	for i, im := range m.images {
		if im.id == id {
			copy(m.images[i:], m.images[i+1:])
			m.images[len(m.images)-1] = im
			return
		}
	}
	m.images = append(m.images, image{id, mb})
	if m.typ == nil || m.typ.CacheMB == 0 {
		return
	}
	var sum int64
	for _, im := range m.images {
		sum += im.mb
	}
	for len(m.images) > 1 && sum > m.typ.CacheMB {
		sum -= m.images[0].mb
		m.images = m.images[1:]
	}
}

// dropImage forgets an image that a task waited for and that no other does: a
// machine then gives its fetch up.
func (m *machine) dropImage(id int) {
	for _, p := range m.tasks {
		if p.j != nil && p.j.image == id && p.holds() {
			return
		}
	}
	m.images = slices.DeleteFunc(m.images, func(im image) bool { return im.id == id })
}

// heardWithin reports whether the machine has been heard by this leader lately.
func (m *machine) heardWithin(now, d Micros) bool { return m.session > 0 && now-m.heard <= d }

// usable reports whether tasks may be given to the machine now.
func (c *Core) usable(m *machine, now Micros) bool {
	return m.typ != nil && m.settled && !m.unproven && m.kept == nil && !m.lost && !m.deaf && !m.booting && !m.draining && !m.returning &&
		now >= m.quarantine && now >= m.blocked && m.heardWithin(now, c.silence()) &&
		// It answers direct commands, but its reports do not get through (a one-way
		// partition): its lease runs out soon, with what it is given, and again in
		// each session after that.
		now-m.reported < c.cfg.Lease/2
}

// silence is how long a machine may go unheard before it is given no more
// tasks: a report and its greatest spread, and one lost packet.
func (c *Core) silence() Micros { return c.cfg.ReportGap*5/4 + Second }
