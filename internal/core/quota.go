package core

type team struct {
	Team
	used             Resources
	unaccounted      Resources           // while a takeover settles: of tasks that may run unseen
	placedByPriority [Production + 1]int // tasks that hold, by priority
}

// over reports whether the team uses more than its min: of what that names, or
// anything if it names nothing.
func (t *team) exceedsMin() bool {
	if t.Min.CPU == 0 && t.Min.GPU == 0 {
		return t.used.CPU > 0 || t.used.GPU > 0
	}
	return t.Min.CPU > 0 && t.used.CPU > t.Min.CPU || t.Min.GPU > 0 && t.used.GPU > t.Min.GPU
}

// lends reports whether the team is not below its min without need, of which it
// takes some, and without what else is taken from it.
func (t *team) keepsMin(need, taken Resources) bool {
	remaining := t.used.Sub(taken).Sub(need)
	return (need.CPU == 0 || remaining.CPU >= t.Min.CPU) && (need.GPU == 0 || remaining.GPU >= t.Min.GPU)
}

func (c *Core) team(name string) *team {
	t := c.teams[name]
	if t == nil {
		t = &team{Team: Team{Name: name}}
		c.teams[name] = t
	}
	return t
}

// within reports whether a request on top of used stays within a guarantee. A
// team may be guaranteed GPUs alone, or CPUs alone: what its min does not name
// does not count, but GPUs that are asked for must be named. Memory is not part
// of a quota.
func withinGuarantee(used, request, guarantee Resources) bool {
	if request.GPU > 0 && guarantee.GPU == 0 || request.GPU == 0 && guarantee.CPU == 0 {
		return false
	}
	return (guarantee.CPU == 0 || used.CPU+request.CPU <= guarantee.CPU) && (guarantee.GPU == 0 || used.GPU+request.GPU <= guarantee.GPU)
}

// overMax reports whether the request would take the team past its max; a max
// of zero is none.
func overMax(used, request, limit Resources) bool {
	return limit.CPU > 0 && used.CPU+request.CPU > limit.CPU || limit.GPU > 0 && used.GPU+request.GPU > limit.GPU
}

// teamUse is what a team's tasks use or may be using: what is placed, and
// during takeover the tasks that may be on machines not heard of yet.
func (c *Core) teamUsage(t *team) Resources {
	if c.unreconciled == 0 {
		return t.used
	}
	return t.used.Add(t.unaccounted)
}

// countHeld brings up to date what may be running unseen: once for a pass, since
// it looks at every job.
func (c *Core) countUnaccounted() {
	if c.unreconciled == 0 {
		return
	}
	for _, t := range c.teams {
		t.unaccounted = Resources{}
	}
	for _, j := range c.jobs {
		if j.unaccounted {
			j.team.unaccounted = j.team.unaccounted.Add(j.spec.Request.Times(j.pending))
		}
	}
}
