package core

import (
	"slices"
	"sort"
)

// reclaimPlan is a set of victims that is not acted on yet.
type reclaimPlan struct {
	victims []*placement
	chosen  map[*placement]bool
	taken   map[string]Res // by team
	freed   map[*machine]Res
}

// reclaim looks for one machine on which stopping tasks makes room for a task
// of the job. Within the team's min, the victims belong to teams over theirs,
// and no such team is taken below it; beyond, they are the team's own tasks of
// lower priority. only restricts the zone.
func (c *Core) reclaim(j *job, use Res, now Micros, only string, plan *reclaimPlan) *machine {
	if !j.proven && len(j.errors) >= 2 {
		// A job that fails wherever it runs would evict borrowers on every retry.
		return nil
	}
	guaranteed := within(use, j.spec.Need, j.team.Min)
	if !c.mayReclaim(j, guaranteed) {
		return nil
	}
	var best *machine
	if j.spec.Kind == Gang {
		best = c.victimMachineOfPlan(j, guaranteed, now, only, plan)
	} else {
		best = c.cheapestVictimMachine(j, guaranteed, now, only)
	}
	if best == nil {
		return nil
	}
	bestVictims, _ := c.victims(j, best, guaranteed, now, plan)
	if plan.chosen == nil {
		plan.chosen, plan.taken, plan.freed = map[*placement]bool{}, map[string]Res{}, map[*machine]Res{}
	}
	for _, v := range bestVictims {
		plan.victims = append(plan.victims, v)
		plan.chosen[v] = true
		plan.taken[v.j.spec.Team] = plan.taken[v.j.spec.Team].Add(v.need)
		plan.freed[v.m] = plan.freed[v.m].Add(v.need)
	}
	return best
}

// evictionCost is what it costs to make room on a machine for a task of the job;
// false if that is not possible. Where the job's other tasks are does not count.
func (c *Core) evictionCost(j *job, m *machine, guaranteed bool, now Micros, plan *reclaimPlan) (int64, bool) {
	if m.vacating || !c.usable(m, now) || !c.kindAllowed(j, m) || !j.spec.Need.Fits(m.typ.Cap) {
		return 0, false
	}
	victims, cost := c.victims(j, m, guaranteed, now, plan)
	return cost + c.startCost(j, m), victims != nil
}

// victimMachineOfPlan looks at every machine. It can't choose: that keeps what it saw for a
// pass and looks again only at machines that changed, while what a plan has taken
// already makes all machines with tasks of the same teams cheaper or dearer, and
// the plan may be dropped.
func (c *Core) victimMachineOfPlan(j *job, guaranteed bool, now Micros, only string, plan *reclaimPlan) (best *machine) {
	c.looked += len(c.order)
	var bestCost int64
	for _, m := range c.order {
		if only != "" && m.zone != only || !j.zoneAllowed(m.zone) || j.errors[m.name] {
			continue
		}
		if cost, ok := c.evictionCost(j, m, guaranteed, now, plan); ok && (best == nil || cost < bestCost) {
			best, bestCost = m, cost
		}
	}
	return best
}

// cheapestVictimMachine is the machine on which making room for a task of the job costs
// least.
func (c *Core) cheapestVictimMachine(j *job, guaranteed bool, now Micros, only string) *machine {
	key := kindOf(j)
	key.team, key.priority, key.reclaim, key.guaranteed = j.spec.Team, j.spec.Priority, true, guaranteed
	none := &reclaimPlan{}
	return c.choose(key, c.order, j, only, func(m *machine) (int64, bool) { return c.evictionCost(j, m, guaranteed, now, none) },
		func(m *machine) bool { return j.errors[m.name] })
}

// mayReclaim reports whether there can be victims at all, without a look at
// the machines.
func (c *Core) mayReclaim(j *job, guaranteed bool) bool {
	if guaranteed {
		for _, t := range c.teams {
			if t != j.team && t.over() {
				return true
			}
		}
		return false
	}
	for _, n := range j.team.placed[:j.spec.Priority] {
		if n > 0 {
			return true
		}
	}
	return false
}

// maybeVictim reports whether a task may be stopped to make room for one of
// the job, its team's min aside.
func (p *placement) maybeVictim(j *job, guaranteed bool) bool {
	switch {
	case p.j == nil || !p.holds() || p.unwanted || p.j == j:
		return false
	case p.j.stopping:
		return false
	case guaranteed:
		return p.j.team != j.team && p.j.team.over()
	}
	return p.j.team == j.team && p.j.spec.Priority < j.spec.Priority
}

// victims chooses tasks on one machine; nil if they would not make room.
func (c *Core) victims(j *job, m *machine, guaranteed bool, now Micros, plan *reclaimPlan) ([]*placement, int64) {
	free := m.free().Add(plan.freed[m])
	most := free
	for _, p := range m.tasks {
		if p.maybeVictim(j, guaranteed) {
			most = most.Add(p.need)
		}
	}
	if !j.spec.Need.Fits(most) {
		return nil, 0
	}
	var cands []*placement
	for _, p := range m.tasks {
		if p.maybeVictim(j, guaranteed) && !plan.chosen[p] {
			cands = append(cands, p)
		}
	}
	sort.SliceStable(cands, func(a, b int) bool {
		x, y := cands[a], cands[b]
		if x.j.spec.Priority != y.j.spec.Priority {
			return x.j.spec.Priority < y.j.spec.Priority
		}
		return x.lost(now)*Micros(x.size()) < y.lost(now)*Micros(y.size())
	})
	taken := map[string]Res{}
	var out []*placement
	if plan.freed[m] != (Res{}) {
		out = []*placement{} // others of the plan may have made room enough
	}
	var cost int64
	for _, p := range cands {
		if j.spec.Need.Fits(free) {
			break
		}
		if p.j.spec.Kind == Gang && slices.Contains(out, p) {
			continue // its gang goes already
		}
		with := p.stopsWith()
		need := p.need.Times(len(with))
		if t := p.j.team; guaranteed {
			if !t.lends(need, taken[t.Name].Add(plan.taken[t.Name])) {
				continue
			}
			taken[t.Name] = taken[t.Name].Add(need)
		}
		for _, v := range with {
			if v.m == m {
				free = free.Add(v.need)
			}
			cost += int64(v.lost(now)) + int64(v.j.spec.Priority)*int64(60*Second)
		}
		out = append(out, with...)
	}
	if !j.spec.Need.Fits(free) {
		return nil, 0
	}
	return out, cost
}

// size is how many tasks stop with it.
func (p *placement) size() int {
	if p.j.spec.Kind == Gang {
		return len(p.j.live)
	}
	return 1
}

// stopsWith lists what stops if the task is stopped: of a gang, all tasks, on
// other machines too.
func (p *placement) stopsWith() []*placement {
	if p.j.spec.Kind == Gang {
		return p.j.placements()
	}
	return []*placement{p}
}

// lost is the work that is repeated if the task is stopped now.
func (p *placement) lost(now Micros) Micros {
	if !p.shown || p.state != Running {
		return 0
	}
	if p.j != nil && p.j.spec.Checkpoint > 0 {
		return min(p.j.spec.SaveCost, p.j.spec.Checkpoint/2)
	}
	return now - p.runningAt
}

func (c *Core) evict(plan *reclaimPlan, j *job, now Micros) {
	for _, v := range plan.victims {
		c.note("reclaim", "for", j.spec.ID, "team", j.spec.Team, "victim", v.job, "task", v.index, "victim_team", v.j.spec.Team, "machine", v.m.name)
		c.stopTask(v, now, 0)
	}
}
