package core

import "slices"

// Configure replaces the quotas of the teams and the tuning. It may be called during a term. Tasks
// of a team that exceeds its new limit continue to run, and no more are placed for it (KEP-9: a max
// limits requests). A new guarantee applies from the next placement pass on, to the team and to
// those that borrow from it. A team that is not in teams has no guarantee and no limit.
func (c *Core) Configure(teams []Team, tuning Tuning) {
	c.cfg.Tuning = tuning
	for name, t := range c.teams {
		if !slices.ContainsFunc(teams, func(o Team) bool { return o.Name == name }) {
			t.Team = Team{Name: name}
		}
	}
	for _, t := range teams {
		c.team(t.Name).Team = t
	}
	c.needsPlacement = true
}

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
