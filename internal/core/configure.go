package core

import "slices"

// Configure replaces the teams' quotas and the tuning, also while a term is under way. What
// a team uses beyond a new limit goes on and nothing more is placed for it (KEP-9: a max caps
// requests); a guarantee counts from the next pass on, for the team and for those that
// borrowed from it. A team that is not named any more has no guarantee and no limit.
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

// SetPlacing says whether tasks may be placed, and others stopped to make room for them: not
// while this node can't know the quotas that are in force. Everything else goes on.
func (c *Core) SetPlacing(enabled bool) {
	if enabled && c.placementSuspended {
		c.needsPlacement = true
	}
	c.placementSuspended = !enabled
}

// HasStart reports whether a command among them starts a task.
func HasStart(cmds []Command) bool {
	return slices.ContainsFunc(cmds, func(cmd Command) bool { return cmd.Op == Start })
}
