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
	lent      bool // on spare room, by a job that had waited for long
}

func (p *placement) holds() bool { return !(p.shown && p.state == Exited) }

// onWorker reports whether the worker may be counting the task's resources.
func (p *placement) onWorker() bool { return (p.sent || p.shown) && p.holds() }

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
	} else if q := p.j.live[p.index]; q != nil && q != p {
		p.j.doubles = append(p.j.doubles, p)
	}
}

// release stops counting a placement: it has exited or is gone.
func (c *Core) release(p *placement, now Micros) {
	m := p.m
	m.used = m.used.Sub(p.need)
	if p.lent {
		m.lent, p.lent = m.lent.Sub(p.need), false
	}
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
	j := p.j
	j.doubles = slices.DeleteFunc(j.doubles, func(o *placement) bool { return o == p })
	if j.live[p.index] != p {
		return
	}
	delete(j.live, p.index)
	if i := slices.IndexFunc(j.doubles, func(o *placement) bool { return o.index == p.index }); i >= 0 {
		// It may be there: it starts nowhere before that is over.
		j.live[p.index] = j.doubles[i]
		j.doubles = slices.Delete(j.doubles, i, i+1)
	} else if j.status[p.index] == taskPlaced {
		j.set(p.index, taskPending)
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
