package core

import "slices"

// machine is a rented machine.
type machine struct {
	name, address, zone string
	typ                 *MachineType
	typeName            string
	spot                bool
	session, seq        uint64
	reportedToken       uint64 // highest it has reported

	record             *machineGroup // the record that it is in, or will be
	recorded           bool
	retainedIn         *retainedGroup // nothing is placed while it is in such a record
	reconciled         bool           // everything on it is known to this leader
	lost               bool           // its lease has run out
	lostAt             Micros
	booting            bool   // never heard of
	bootOverdue        bool   // it did not come up in time
	discoveredAt       Micros // when we learnt of it
	rentedAt           Micros // when it was rented, by our clock
	lastReport         Micros // last report
	lastAcknowledged   Micros // last time a report of it was answered with 200
	lastPeriodicReport Micros // last report that it sent by itself; what it answers to a command does not count
	unverified         bool   // known from before this term, without a record: see report.go
	idleSince          Micros // since when it is without tasks

	placements          []*placement
	used                Resources // by placements that hold
	spareUsed           Resources // of that, by those that took spare room: see spareOn
	commandInFlight     bool
	directCommandFailed bool   // the last direct command could not be delivered: wait for a beat
	probeQueued         bool   // in Core.probes
	probeStarted        Micros // since when a probe is under way; 0: none is
	commandFailures     int    // direct commands in a row that did not get through
	unreachable         bool   // a probe of a suspect went unanswered

	inboundLost       bool   // see deaf.go
	lastAnswerToken   uint64 // the token that its last beat was answered with
	ignoredAnswers    int    // answers in a row that it did not take
	unexecutedAnswers int    // answers in a row that it did nothing of

	commandsQueued   bool // in Core.touched
	commandsDeferred bool // in Core.retouch

	draining         bool
	vacating         bool // being emptied to be returned: gets no more tasks
	releasing        bool
	releaseReason    string
	blockedUntil     Micros // refused a start for want of room: not before this
	quarantinedUntil Micros
	failedJobs       map[string]bool // jobs that failed here since the last success
	images           []cachedImage   // most recently used last
	fetchingTasks    int
}

type cachedImage struct {
	id     int // of Core.images
	sizeMB int64
}

func (m *machine) free() Resources {
	if m.typ == nil {
		return Resources{}
	}
	return m.typ.Capacity.Sub(m.used)
}

// knows reports whether the machine has had an attempt of a task.
func (m *machine) hasAttempt(j *job, index int, attempt uint64) bool {
	return slices.ContainsFunc(m.placements, func(p *placement) bool {
		return p.jobID == j.spec.ID && p.index == index && p.attempt == attempt
	})
}

// price is what the machine costs an hour.
func (m *machine) hourlyPrice() float64 {
	if m.spot {
		return m.typ.SpotPrice
	}
	return m.typ.Price
}

// hasLate reports whether a direct start to the machine went unanswered.
func (m *machine) hasUnansweredStart() bool {
	return slices.ContainsFunc(m.placements, func(p *placement) bool { return p.startUnanswered })
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
func (m *machine) markImageUsed(id int, mb int64) {
	for i, im := range m.images {
		if im.id == id {
			copy(m.images[i:], m.images[i+1:])
			m.images[len(m.images)-1] = im
			return
		}
	}
	m.images = append(m.images, cachedImage{id, mb})
	if m.typ == nil || m.typ.CacheMB == 0 {
		return
	}
	var sum int64
	for _, im := range m.images {
		sum += im.sizeMB
	}
	for len(m.images) > 1 && sum > m.typ.CacheMB {
		sum -= m.images[0].sizeMB
		m.images = m.images[1:]
	}
}

// dropImage forgets an image that a task waited for and that no other does: a
// machine then gives its fetch up.
func (m *machine) dropImage(id int) {
	for _, p := range m.placements {
		if p.job != nil && p.job.imageID == id && p.occupies() {
			return
		}
	}
	m.images = slices.DeleteFunc(m.images, func(im cachedImage) bool { return im.id == id })
}

// heardWithin reports whether the machine has been heard by this leader lately.
func (m *machine) reportedWithin(now, d Micros) bool { return m.session > 0 && now-m.lastReport <= d }

// usable reports whether tasks may be given to the machine now.
func (c *Core) schedulable(m *machine, now Micros) bool {
	return m.typ != nil && m.reconciled && !m.unverified && m.retainedIn == nil && !m.lost && !m.inboundLost && !m.booting && !m.draining && !m.releasing &&
		now >= m.quarantinedUntil && now >= m.blockedUntil && m.reportedWithin(now, c.reportTimeout()) &&
		// It answers direct commands, but its reports do not get through (a one-way
		// partition): its lease runs out soon, with what it is given, and again in
		// each session after that.
		now-m.lastPeriodicReport < c.cfg.WorkerLease/2
}

// silence is how long a machine may go unheard before it is given no more
// tasks: a report and its greatest spread, and one lost packet.
func (c *Core) reportTimeout() Micros { return c.cfg.ReportInterval*5/4 + Second }
