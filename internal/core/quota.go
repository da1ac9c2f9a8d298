package core

// team is a team's quota and its current use.
type team struct {
	Team
	used             Resources           // by placements
	unaccounted      Resources           // during a takeover: of tasks that may run on machines that have not reported
	placedByPriority [Production + 1]int // placements that occupy resources
}

// exceedsMin reports whether the team uses more than its minimum of a resource for which it has
// one, or any CPU or GPU if it has no minimum.
func (t *team) exceedsMin() bool {
	if t.Min.CPU == 0 && t.Min.GPU == 0 {
		return t.used.CPU > 0 || t.used.GPU > 0
	}
	return t.Min.CPU > 0 && t.used.CPU > t.Min.CPU || t.Min.GPU > 0 && t.used.GPU > t.Min.GPU
}

// keepsMin reports whether the team would stay at its minimum or above if need, on top of taken,
// were taken from it. Only the resources in need are compared.
func (t *team) keepsMin(need, taken Resources) bool {
	remaining := t.used.Sub(taken).Sub(need)
	return (need.CPU == 0 || remaining.CPU >= t.Min.CPU) && (need.GPU == 0 || remaining.GPU >= t.Min.GPU)
}

// team returns the named team. A team that is not configured has no minimum and no maximum.
func (c *Core) team(name string) *team {
	t := c.teams[name]
	if t == nil {
		t = &team{Team: Team{Name: name}}
		c.teams[name] = t
	}
	return t
}

// withinGuarantee reports whether a request on top of used stays within a guarantee. A team may be
// guaranteed only GPUs or only CPUs. A resource without a guarantee is not compared, but a request
// for GPUs needs a guarantee of GPUs, and a request without GPUs needs a guarantee of CPUs. Memory
// is not part of a quota.
func withinGuarantee(used, request, guarantee Resources) bool {
	if request.GPU > 0 && guarantee.GPU == 0 || request.GPU == 0 && guarantee.CPU == 0 {
		return false
	}
	return (guarantee.CPU == 0 || used.CPU+request.CPU <= guarantee.CPU) && (guarantee.GPU == 0 || used.GPU+request.GPU <= guarantee.GPU)
}

// overMax reports whether the request on top of used would exceed the maximum. Zero means no
// maximum for that resource.
func overMax(used, request, limit Resources) bool {
	return limit.CPU > 0 && used.CPU+request.CPU > limit.CPU || limit.GPU > 0 && used.GPU+request.GPU > limit.GPU
}

// teamUsage returns what a team's tasks use or may use: the resources of its placements and, during
// a takeover, of the tasks that may run on machines that have not reported yet.
func (c *Core) teamUsage(t *team) Resources {
	if c.unreconciled == 0 {
		return t.used
	}
	return t.used.Add(t.unaccounted)
}

// countUnaccounted updates the teams' unaccounted resources. It is called once in a pass, because
// it goes through every job.
func (c *Core) countUnaccounted() {
	if c.unreconciled == 0 {
		return
	}
	for _, t := range c.teams {
		t.unaccounted = Resources{}
	}
	for _, j := range c.jobs {
		if j.unaccounted {
			j.team.unaccounted = j.team.unaccounted.Add(j.spec.Resources.Times(j.pending))
		}
	}
}
