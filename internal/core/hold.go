package core

import (
	"math"
	"slices"
)

// Batch jobs of a class whose tasks are to start sooner than a machine can be
// rented need machines that are there already: what the class uses, and as much
// more as it came to need within the time that a machine takes, at the worst
// that is remembered, but no more than it used at its peak.

// holding is what is known of such a class.
type holding struct {
	arrivals
	sample *JobSpec // the last one's
	use    Res      // what its jobs use and wait for
	peak   Res      // the most of that, forgotten slowly
	rise   Res      // the most by which it rose while a machine comes, forgotten slowly
	window []usage  // in the last such time
}

// usage is what a class used at a time.
type usage struct {
	at  Micros
	use Res
}

// look takes what the class uses now.
func (h *holding) look(now, lead Micros, left float64) {
	h.peak = h.use.most(h.peak.scaled(left))
	h.rise = h.rise.scaled(left)
	for len(h.window) > 0 && now-h.window[0].at > lead {
		h.window = h.window[1:]
	}
	for _, was := range h.window {
		h.rise = h.rise.most(h.use.Sub(was.use))
	}
	h.window = append(h.window, usage{now, h.use})
}

// atOnce reports whether tasks of a class are to start sooner than a machine can
// be rented and have their image: only then are machines held for it.
func (c *Core) atOnce(k *class) bool {
	h := &k.batches
	t := c.soonest(h.sample)
	if t == nil {
		return true
	}
	var fetch Micros
	if t.FetchMBps > 0 {
		fetch = Micros(h.mb * float64(Second) / float64(t.FetchMBps))
	}
	return k.within[0] < t.Boot+fetch
}

// want is what is to be there for the class.
func (c *Core) want(k *class, now Micros) Res {
	h := &k.batches
	if !h.expected(now) {
		return h.use
	}
	return h.peak.least(h.use.Add(h.rise))
}

// lookBack brings up to date what is known of such classes.
func (c *Core) lookBack(now Micros) {
	for _, k := range c.held {
		k.batches.use = Res{}
	}
	for _, j := range c.queue {
		if k := j.class; len(k.within) > 0 && j.spec.Kind != Service {
			h := &k.batches
			if h.sample == nil {
				c.held = append(c.held, k)
				h.window = []usage{{at: now}}
			}
			h.sample = &j.spec
			h.use = h.use.Add(j.spec.Need.Times(j.pending + len(j.live)))
		}
	}
	c.holds = c.holds[:0]
	for _, k := range c.held {
		if c.atOnce(k) {
			c.holds = append(c.holds, k)
		}
	}
	if c.unsettled > 0 {
		c.lookedBack = now
		return
	}
	if c.holdFleet {
		// What the former leader held is what there is: it is not let go only
		// because nobody remembers why.
		c.holdFleet = false
		for _, k := range c.held {
			k.batches.peak = k.batches.use
		}
		if len(c.holds) > 0 {
			h := &c.holds[0].batches
			more := Res{}.Sub(c.shortOfHeld(now, nil)).most(Res{})
			h.peak, h.rise = h.use.Add(more), more
		}
	}
	left := math.Exp(-float64(now-c.lookedBack) / float64(max(c.cfg.Tuning.Hold, 1)))
	c.lookedBack = now
	for _, k := range c.held {
		h := &k.batches
		lead := c.lead(&JobSpec{Need: h.sample.Need})
		if now-c.begun < lead {
			h.window = nil // what had been waiting when the term began is no rise
		}
		h.look(now, lead, left)
	}
}

// shortOfHeld says what is missing from what is held; where negative, as much
// can go.
func (c *Core) shortOfHeld(now Micros, coming []*room) Res {
	if len(c.holds) == 0 {
		return Res{math.MinInt32, math.MinInt32, math.MinInt32}
	}
	var short Res
	for _, k := range c.holds {
		short = short.Add(c.want(k, now))
	}
	for _, r := range coming {
		short = short.Sub(r.free)
	}
	for _, m := range c.order {
		if !c.usable(m, now) {
			continue
		}
		short = short.Sub(m.typ.Cap)
		for _, p := range m.tasks {
			if p.holds() && (p.j == nil || !slices.Contains(c.holds, p.j.class)) {
				short = short.Add(p.need)
			}
		}
	}
	return short
}

// borrowsHeld reports whether a task of the job would take, beyond its team's min,
// room that is held for a class of higher priority which could not take it back: the
// class is of another team, and one without a min. That room is there for what is to
// start at once, and what borrows it may keep it for minutes. The team has use placed.
func (c *Core) borrowsHeld(j *job, use Res) bool {
	if j.starves || slices.Contains(c.holds, j.class) || within(use, j.spec.Need, j.team.Min) {
		return false
	}
	for _, k := range c.holds {
		s := k.batches.sample
		if s.Priority > j.spec.Priority && s.Team != j.spec.Team && !within(Res{}, s.Need, c.team(s.Team).Min) {
			return c.lendable.CPU < j.spec.Need.CPU || c.lendable.GPU < j.spec.Need.GPU
		}
	}
	return false
}

// lacks reports whether CPUs or GPUs are missing. Memory comes with them.
func (r Res) lacks() bool { return r.CPU > 0 || r.GPU > 0 }

// holding reports whether anything is held: then room on machines that a few
// services keep is of use.
func (c *Core) holding(now Micros) bool {
	return slices.ContainsFunc(c.holds, func(k *class) bool {
		return k.batches.sample.Need.Fits(c.want(k, now))
	})
}

// hold rents what is missing from what is held.
func (d *demand) hold() {
	short := d.c.shortOfHeld(d.now, d.coming)
	for _, k := range d.c.holds {
		for short.lacks() {
			of, ok := d.cheapest(k.batches.sample, math.MaxInt, func(string) bool { return true })
			if !ok {
				break
			}
			short = short.Sub(d.add(of, "held for tasks that are to start at once").free)
		}
	}
}
