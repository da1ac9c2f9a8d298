package core

import "slices"

// placement is one start of a task on a machine, from the decision until the
// machine no longer knows it.
type placement struct {
	j       *job // nil: a task of no unfinished job
	job     string
	index   int
	attempt uint64
	m       *machine
	need    Res

	sent      bool   // a start was sent, by a beat's answer or directly
	beatSeq   uint64 // the report in whose answer the start went out last
	inDo      bool   // the start is in the direct command under way
	late      bool   // a direct start went unanswered and may still arrive
	lateToken uint64
	shown     bool // the machine has reported it
	state     TaskState
	cause     Cause
	counted   bool // as running

	unwanted  bool
	grace     Micros
	stopSent  Micros // 0: never
	finalOK   bool   // its end is recorded, or needs no record
	at        Micros // when it was decided
	runningAt Micros
	beatMark  bool // shown by the report being taken over
	resend    bool // repeat the start in the answer to this beat
	fetching  bool // last it was reported, it waited for its image
	again     bool // a gang task that gave up waiting: to be forgotten and started once more
	waits     int  // how often it was
	listed    bool // taken from a former leader's record of what it kept
}

func (p *placement) holds() bool { return !(p.shown && p.state == Exited) }

// onWorker reports whether the worker may be counting the task's resources.
func (p *placement) onWorker() bool { return (p.sent || p.shown) && p.holds() }

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
	seen     Micros // when we learnt of it
	rented   Micros // when it was rented, by our clock
	heard    Micros // last report
	answered Micros // last time a report of it was answered with 200
	idle     Micros // since when it is without tasks

	tasks  []*placement
	used   Res // by placements that hold
	doing  bool
	noDo   bool   // the last direct command could not be delivered: wait for a beat
	probe  bool   // in Core.probes
	probed Micros // since when a probe is under way; 0: none is
	misses int    // direct commands in a row that did not get through
	silent bool   // a probe of a suspect went unanswered
	dirty  bool   // in Core.touched
	later  bool   // in Core.retouch

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
	return m.typ != nil && m.settled && m.kept == nil && !m.lost && !m.booting && !m.draining && !m.returning &&
		now >= m.quarantine && now >= m.blocked && m.heardWithin(now, c.silence()) &&
		// It answers direct commands, but its reports do not get through: its
		// lease runs out soon, with what it is given.
		now-m.answered < c.cfg.Lease/2
}

// coming reports whether the machine is about to come up. Most take up to half
// as long again as the catalog says; what takes longer may take several times
// as long or never come, and nothing should wait for it.
func (m *machine) coming(now Micros) bool {
	return m.booting && !m.returning && m.typ != nil && now-m.seen < m.typ.Boot*3/2+2*Second
}

// silence is how long a machine may go unheard before it is given no more
// tasks: a report and its greatest spread, and one lost packet.
func (c *Core) silence() Micros { return c.cfg.ReportGap*5/4 + Second }

// add puts a placement on its machine and counts it.
func (c *Core) add(p *placement) {
	p.m.tasks = append(p.m.tasks, p)
	if p.holds() {
		c.hold(p)
	}
}

// hold counts a placement.
func (c *Core) hold(p *placement) {
	p.m.used = p.m.used.Add(p.need)
	p.m.idle = 0
	if p.j == nil {
		return
	}
	t := p.j.team
	t.used = t.used.Add(p.need)
	t.placed[p.j.spec.Priority]++
	p.j.zones[p.m.zone]++
	p.j.on++
	if p.j.live[p.index] == nil && p.j.status[p.index] != taskDone {
		p.j.live[p.index] = p
		p.j.set(p.index, taskPlaced)
		c.moves(p.j)
	}
}

// release stops counting a placement: it has exited or is gone.
func (c *Core) release(p *placement, now Micros) {
	m := p.m
	m.used = m.used.Sub(p.need)
	c.changed = append(c.changed, m)
	c.dirty = true
	if m.used == (Res{}) {
		m.idle = now
	}
	if p.j == nil {
		return
	}
	c.countRunning(p, false)
	if p.shown && p.fetching {
		m.dropImage(p.j.image)
	}
	t := p.j.team
	t.used = t.used.Sub(p.need)
	t.placed[p.j.spec.Priority]--
	p.j.zones[m.zone]--
	p.j.on--
	if p.j.live[p.index] == p {
		delete(p.j.live, p.index)
		if p.j.status[p.index] == taskPlaced {
			p.j.set(p.index, taskPending)
		}
	}
}

// countRunning keeps the job's count of tasks that run.
func (c *Core) countRunning(p *placement, running bool) {
	if p.counted == running || p.j == nil {
		return
	}
	p.counted = running
	if running {
		p.j.running++
	} else {
		p.j.running--
	}
	c.moves(p.j)
}

// remove takes a placement off its machine for good.
func (c *Core) remove(p *placement, now Micros) {
	if p.holds() {
		c.release(p, now)
		c.gangLost(p, now)
	}
	ts := p.m.tasks
	for i, o := range ts {
		if o == p {
			p.m.tasks = append(ts[:i], ts[i+1:]...)
			break
		}
	}
	if p.j != nil && p.j.stopping {
		c.gangSettle(p.j)
	}
}

// clear drops everything on a machine: its lease is over, or it is gone.
func (c *Core) clear(m *machine, now Micros) {
	for len(m.tasks) > 0 {
		c.remove(m.tasks[len(m.tasks)-1], now)
	}
	m.fetching = 0
}

// settle notes that all that can run on the machine is known.
func (c *Core) settle(m *machine) {
	if m.settled {
		return
	}
	m.settled = true
	c.unsettled--
	c.dirty = true
	if c.unsettled > 0 {
		return
	}
	// Every place has been heard of or is over: what was not seen runs nowhere.
	c.note("takeover settled")
	for _, j := range c.jobs {
		c.unhold(j)
	}
}

func (c *Core) unhold(j *job) {
	if !j.held {
		return
	}
	j.held = false
	c.dirty = true
	c.closeIfOver(j)
}

// absorb takes over a report that is newer than all before it.
func (c *Core) absorb(m *machine, r *Report, beat bool, now Micros) {
	if r.Session > m.session && m.session > 0 {
		// Its lease ran out: the worker has killed and forgotten its tasks, and
		// direct commands that are still under way name a session that is over.
		c.clear(m, now)
	}
	newSession := r.Session != m.session
	m.session, m.seq = r.Session, r.Seq
	m.token = max(m.token, r.Token)
	m.heard, m.misses = now, 0
	if m.kept != nil {
		c.fleetAt = now // its record ends
	}
	if m.silent {
		m.silent = false
		if m.returning && m.returnWhy == silentWhy {
			c.keep(m)
		}
	}
	if r.Address != "" {
		m.address = r.Address
	}
	c.enlist(m, now)
	if m.booting || m.lost {
		m.booting, m.lost = false, false
		m.idle = now
		c.dirty = true
	}
	if beat {
		m.noDo = false
	}
	if newSession {
		// Its lease runs from when it began, whatever was answered before.
		m.answered = max(m.answered, now)
		c.touch(m)
	}
	if r.Notice >= 0 && !m.draining {
		c.note("spot notice", "machine", m.name, "in_s", float64(r.Notice)/1e6)
		c.drain(m, now, now+r.Notice)
	}
	for _, p := range m.tasks {
		p.beatMark = false
	}
	m.fetching = 0
	for i := range r.Tasks {
		c.absorbTask(m, &r.Tasks[i], now)
	}
	c.absorbMissing(m, r, beat, now)
	if m.used == (Res{}) && m.idle == 0 {
		m.idle = now // taken over empty from a former leader
	}
	if r.Token >= c.settleToken && r.Token > 0 {
		c.settle(m)
	}
}

func (c *Core) absorbTask(m *machine, t *TaskReport, now Micros) {
	var p *placement
	for _, o := range m.tasks {
		if o.attempt == t.Attempt && o.index == t.Index && o.job == t.Job {
			p = o
			break
		}
	}
	if p == nil {
		p = c.adopt(m, t, now)
		if t.State == Exited {
			p.shown, p.beatMark, p.state, p.cause = true, true, Exited, t.Cause
			m.tasks = append(m.tasks, p)
			c.exited(p, now)
			c.touch(m)
			return
		}
		c.add(p)
	}
	p.beatMark, p.listed = true, false
	if t.State != Exited || t.Cause != CauseStopped {
		p.fetching = t.State == Fetching // other ends come after it has its image
	}
	if p.again && !p.unwanted && t.State == Exited && t.Cause == CauseAlone {
		return // it has not been told yet
	}
	p.again = false
	wasExited := p.shown && p.state == Exited
	if t.State != Exited {
		if p.j != nil && (t.State == Running || t.State == Saving) {
			p.j.ran = p.attempt
		}
		if t.State == Running && p.state != Running {
			p.runningAt = now
			if p.j != nil {
				if p.j.firstStart == 0 {
					p.j.firstStart = now
				}
				p.j.lastStart = now
				m.useImage(p.j.image, p.j.spec.ImageMB)
				delete(m.failed, p.job)
			}
		}
		if t.State == Fetching {
			m.fetching++
		}
		if !p.shown {
			p.shown, p.sent = true, true
		}
		p.state = t.State
		c.countRunning(p, t.State == Running)
		if j := p.j; j != nil && !j.started && j.running+j.done == len(j.status) {
			j.started = true
			c.out = append(c.out, Note{Text: "all tasks started", Debug: true, Args: []any{
				"job", j.spec.ID, "class", j.spec.Class, "team", j.spec.Team, "tasks", len(j.status), "after_ms", (now - j.submitted) / Millisecond}})
		}
		return
	}
	if wasExited {
		return
	}
	held := p.holds()
	p.shown, p.sent = true, true
	p.state, p.cause = Exited, t.Cause
	if held {
		c.release(p, now)
		if c.waitAgain(p) {
			return
		}
	}
	c.exited(p, now)
	c.touch(m)
}

// adopt makes a placement for a task that a former leader started.
func (c *Core) adopt(m *machine, t *TaskReport, now Micros) *placement {
	p := &placement{job: t.Job, index: t.Index, attempt: t.Attempt, m: m, sent: true, at: now}
	j := c.jobs[t.Job]
	if j == nil || t.Index >= len(j.status) {
		p.unwanted, p.finalOK = true, true
		c.touch(m)
		return p
	}
	p.j, p.need = j, j.spec.Need
	j.opened = true
	switch {
	case j.cancelled, j.status[t.Index] == taskDone:
		p.unwanted = true
	case t.State != Exited && j.live[t.Index] != nil && !j.live[t.Index].listed:
		// Two starts of one task can only come from a fault; the one that this
		// leader knows of stays.
		p.unwanted = true
		c.note("task reported on two machines", "job", t.Job, "task", t.Index, "machine", m.name)
	case t.State != Exited:
		if q := j.live[t.Index]; q != nil {
			c.unlist(q, now) // it was replaced after it was recorded
		}
		if j.spec.Kind == Gang {
			j.attempt = max(j.attempt, t.Attempt)
		}
	}
	if p.unwanted {
		c.touch(m)
	}
	return p
}

// absorbMissing looks at placements that a newer report does not show.
func (c *Core) absorbMissing(m *machine, r *Report, beat bool, now Micros) {
	for i := len(m.tasks) - 1; i >= 0; i-- {
		if i >= len(m.tasks) {
			continue
		}
		p := m.tasks[i]
		if p.beatMark || !p.sent {
			continue
		}
		switch {
		case p.shown:
			c.remove(p, now)
		case p.inDo:
			// The direct command may be executed after this report was made.
		case p.late && m.token <= p.lateToken:
			// An unanswered direct command can still arrive while the machine
			// accepts its token.
			if p.unwanted {
				c.wantRaise = true
			} else {
				p.resend = beat
			}
		case beat && r.Seq > p.beatSeq:
			// The answer that carried the start was lost or dropped: a worker
			// has one report in flight, so it will not be executed any more.
			p.late = false
			if p.unwanted {
				c.remove(p, now)
			} else {
				p.sent = false
				c.touch(m)
			}
		}
	}
}
