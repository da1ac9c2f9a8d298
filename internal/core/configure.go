package core

import (
	"cmp"
	"slices"
)

// Configure replaces the quotas of the teams and the tuning. It may be called during a term. Tasks
// of a team that exceeds its new limit continue to run, and no more are placed or started for it
// (KEP-9: a max limits requests). A new guarantee applies from the next placement pass on, to the team
// and to those that borrow from it. A team that is not in teams has no guarantee and no limit.
func (c *Core) Configure(now Micros, teams []Team, tuning Tuning) {
	c.cfg.Tuning = tuning
	for name, t := range c.teams {
		if !slices.ContainsFunc(teams, func(o Team) bool { return o.Name == name }) {
			t.Team = Team{Name: name}
		}
	}
	for _, t := range teams {
		c.team(t.Name).Team = t
	}
	c.withdrawUnsent(now)
	c.needsPlacement = true
}

// withdrawUnsent removes placements of teams that exceed their limit, until they do not, as far as no
// start was sent for them: those of the lowest priority and the newest first, and those of a gang
// together.
func (c *Core) withdrawUnsent(now Micros) {
	var unsent []*placement
	for _, j := range c.queue {
		if !c.exceedsMax(j.team) {
			continue
		}
		placements := slices.DeleteFunc(j.livePlacements(), func(p *placement) bool { return !p.unsent() || p.stopRequested })
		if j.spec.Kind != Gang || len(placements) == j.occupying {
			unsent = append(unsent, placements...)
		}
	}
	slices.SortStableFunc(unsent, func(a, b *placement) int {
		return cmp.Or(cmp.Compare(a.job.spec.Priority, b.job.spec.Priority), cmp.Compare(b.placedAt, a.placedAt), cmp.Compare(b.index, a.index))
	})
	for _, p := range unsent {
		switch {
		case !p.occupies() || p.stopRequested || !c.exceedsMax(p.job.team):
		case p.job.spec.Kind == Gang:
			c.stopGang(p.job, now, 0)
		default:
			c.stopPlacement(p, now, 0)
		}
	}
}

// exceedsMax reports whether the team uses more than its maximum.
func (c *Core) exceedsMax(t *team) bool { return overMax(c.teamUsage(t), Resources{}, t.Max) }

// SetPlacementEnabled sets whether tasks may be placed and others preempted for them. Placement is
// disabled while this node cannot know the quotas that are in force. Everything else continues.
func (c *Core) SetPlacementEnabled(enabled bool) {
	if enabled && c.placementSuspended {
		c.needsPlacement = true
	}
	c.placementSuspended = !enabled
}

// HasStart reports whether any of the commands starts a task.
func HasStart(cmds []Command) bool {
	return slices.ContainsFunc(cmds, func(cmd Command) bool { return cmd.Op == Start })
}
