package core

import (
	"slices"
	"sort"
)

// reclaimPlan is a set of victims that are not stopped yet.
type reclaimPlan struct {
	victims     []*placement
	chosen      map[*placement]bool    // the victims as a set
	takenByTeam map[string]Resources   // resources of the victims
	freed       map[*machine]Resources // resources of the victims
}

// planReclaim looks for a machine on which stopping tasks makes room for a task of the job. It
// adds the victims to the plan and returns the machine, or nil if there is none. Within the team's
// minimum, the victims belong to teams above their own minimum, and no such team is taken below
// it. Beyond the minimum, the victims are tasks of the same team with a lower priority. usage is
// what the team uses; zoneFilter, unless empty, restricts the search to a zone.
func (c *Core) planReclaim(j *job, usage Resources, now Micros, zoneFilter string, plan *reclaimPlan) *machine {
	if !j.proven && len(j.failedOn) >= 2 {
		// A job that fails wherever it runs would evict borrowers on every retry.
		return nil
	}
	guaranteed := withinGuarantee(usage, j.spec.Resources, j.team.Min)
	if !c.mayReclaim(j, guaranteed) {
		return nil
	}
	var best *machine
	if j.spec.Kind == Gang {
		best = c.cheapestVictimMachineForPlan(j, guaranteed, now, zoneFilter, plan)
	} else {
		best = c.cheapestVictimMachine(j, guaranteed, now, zoneFilter)
	}
	if best == nil {
		return nil
	}
	bestVictims, _ := c.selectVictims(j, best, guaranteed, now, plan)
	if plan.chosen == nil {
		plan.chosen, plan.takenByTeam, plan.freed = map[*placement]bool{}, map[string]Resources{}, map[*machine]Resources{}
	}
	for _, v := range bestVictims {
		plan.victims = append(plan.victims, v)
		plan.chosen[v] = true
		plan.takenByTeam[v.job.spec.Team] = plan.takenByTeam[v.job.spec.Team].Add(v.need)
		plan.freed[v.machine] = plan.freed[v.machine].Add(v.need)
	}
	return best
}

// evictionCost returns the cost, in microseconds of lost work and delay, of making room on a
// machine for a task of the job, and false if that is not possible. It ignores the zone
// constraints, which depend on the job's other tasks.
func (c *Core) evictionCost(j *job, m *machine, guaranteed bool, now Micros, plan *reclaimPlan) (int64, bool) {
	if !c.acceptsTasks(m, now) || !c.machineTypeAllowed(j, m) || !j.spec.Resources.Fits(m.typ.Capacity) {
		return 0, false
	}
	victims, cost := c.selectVictims(j, m, guaranteed, now, plan)
	return cost + c.imageFetchDelay(j, m), victims != nil
}

// cheapestVictimMachineForPlan returns the machine on which making room for a task of the job costs
// least, given the victims that the plan already has, or nil if there is none. It examines every
// machine and cannot use cheapestCandidate. That function keeps costs for a pass and examines only
// changed machines again, while a plan's victims change the cost of all machines with tasks of the
// same teams, and the plan may be dropped.
func (c *Core) cheapestVictimMachineForPlan(j *job, guaranteed bool, now Micros, zoneFilter string, plan *reclaimPlan) (best *machine) {
	c.machinesExamined += len(c.sortedMachines)
	var bestCost int64
	for _, m := range c.sortedMachines {
		if zoneFilter != "" && m.zone != zoneFilter || !j.zoneAllowed(m.zone) || j.failedOn[m.name] {
			continue
		}
		if cost, ok := c.evictionCost(j, m, guaranteed, now, plan); ok && (best == nil || cost < bestCost) {
			best, bestCost = m, cost
		}
	}
	return best
}

// cheapestVictimMachine returns the machine on which making room for a task of the job costs least,
// or nil if there is none.
func (c *Core) cheapestVictimMachine(j *job, guaranteed bool, now Micros, zoneFilter string) *machine {
	key := newSearchKey(j)
	key.team, key.priority, key.reclaim, key.guaranteed = j.spec.Team, j.spec.Priority, true, guaranteed
	emptyPlan := &reclaimPlan{}
	return c.cheapestCandidate(key, c.sortedMachines, j, zoneFilter, func(m *machine) (int64, bool) { return c.evictionCost(j, m, guaranteed, now, emptyPlan) },
		func(m *machine) bool { return j.failedOn[m.name] })
}

// mayReclaim reports whether there can be victims at all. It does not examine machines.
func (c *Core) mayReclaim(j *job, guaranteed bool) bool {
	if guaranteed {
		for _, t := range c.teams {
			if t != j.team && t.exceedsMin() {
				return true
			}
		}
		return false
	}
	for _, n := range j.team.placedByPriority[:j.spec.Priority] {
		if n > 0 {
			return true
		}
	}
	return false
}

// eligibleVictim reports whether the task may be stopped to make room for a task of the job. It
// does not check that the victim's team stays at its minimum.
func (p *placement) eligibleVictim(j *job, guaranteed bool) bool {
	switch {
	case p.job == nil || !p.occupies() || p.stopRequested || p.job == j:
		return false
	case p.job.stopping:
		return false
	case guaranteed:
		return p.job.team != j.team && p.job.team.exceedsMin()
	}
	return p.job.team == j.team && p.job.spec.Priority < j.spec.Priority
}

// selectVictims returns the tasks to stop on a machine, with their gangs, to make room for a task
// of the job, and the cost of stopping them. It returns nil if they would not make room, and also
// if the task fits on the machine without any victim. If the victims that the plan has on the
// machine make enough room, the result is empty but not nil.
func (c *Core) selectVictims(j *job, m *machine, guaranteed bool, now Micros, plan *reclaimPlan) ([]*placement, int64) {
	free := m.free().Add(plan.freed[m])
	potential := free
	for _, p := range m.placements {
		if p.eligibleVictim(j, guaranteed) {
			potential = potential.Add(p.need)
		}
	}
	if !j.spec.Resources.Fits(potential) {
		return nil, 0
	}
	var eligible []*placement
	for _, p := range m.placements {
		if p.eligibleVictim(j, guaranteed) && !plan.chosen[p] {
			eligible = append(eligible, p)
		}
	}
	sort.SliceStable(eligible, func(a, b int) bool {
		x, y := eligible[a], eligible[b]
		if x.job.spec.Priority != y.job.spec.Priority {
			return x.job.spec.Priority < y.job.spec.Priority
		}
		return x.lostWork(now)*Micros(x.evictionGroupSize()) < y.lostWork(now)*Micros(y.evictionGroupSize())
	})
	taken := map[string]Resources{}
	var selected []*placement
	if plan.freed[m] != (Resources{}) {
		selected = []*placement{} // victims of the plan may already make enough room
	}
	var cost int64
	for _, p := range eligible {
		if j.spec.Resources.Fits(free) {
			break
		}
		if p.job.spec.Kind == Gang && slices.Contains(selected, p) {
			continue // its gang is already selected
		}
		group := p.evictionGroup()
		need := p.need.Times(len(group))
		if t := p.job.team; guaranteed {
			if !t.keepsMin(need, taken[t.Name].Add(plan.takenByTeam[t.Name])) {
				continue
			}
			taken[t.Name] = taken[t.Name].Add(need)
		}
		for _, v := range group {
			if v.machine == m {
				free = free.Add(v.need)
			}
			cost += int64(v.lostWork(now)) + int64(v.job.spec.Priority)*int64(60*Second)
		}
		selected = append(selected, group...)
	}
	if !j.spec.Resources.Fits(free) {
		return nil, 0
	}
	return selected, cost
}

// evictionGroupSize returns the number of tasks in the eviction group.
func (p *placement) evictionGroupSize() int {
	if p.job.spec.Kind == Gang {
		return len(p.job.live)
	}
	return 1
}

// evictionGroup returns the tasks that stop if this one is stopped. Of a gang these are all tasks,
// including those on other machines.
func (p *placement) evictionGroup() []*placement {
	if p.job.spec.Kind == Gang {
		return p.job.livePlacements()
	}
	return []*placement{p}
}

// lostWork returns the run time that has to be repeated, or spent on a checkpoint, if the task is
// stopped now.
func (p *placement) lostWork(now Micros) Micros {
	if !p.reported || p.state != Running {
		return 0
	}
	if p.job != nil && p.job.spec.CheckpointInterval > 0 {
		return min(p.job.spec.CheckpointCost, p.job.spec.CheckpointInterval/2)
	}
	return now - p.runningAt
}

// evict stops the plan's victims to make room for the job.
func (c *Core) evict(plan *reclaimPlan, j *job, now Micros) {
	for _, v := range plan.victims {
		c.log("reclaim", "for", j.spec.ID, "team", j.spec.Team, "victim", v.jobID, "task", v.index, "victim_team", v.job.spec.Team, "machine", v.machine.name)
		c.stopTask(v, now, 0)
	}
}
