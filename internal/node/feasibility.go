package node

import (
	"fmt"
	"slices"

	"aspenstall/internal/clusterconfig"
	"aspenstall/internal/core"
)

// infeasibleReason returns why a job could never run here, or "" if it could. The configuration in
// effect and the catalog of this moment count: docs/OPERATION.md, "Jobs that are refused".
func (n *Node) infeasibleReason(s *core.JobSpec) string {
	if why := teamRefusal(s, n.clusterConfig.effective.Teams); why != "" {
		return why
	}
	if zones := n.platform.Params.Zones; s.Zone != "" && len(zones) > 0 && !slices.Contains(zones, s.Zone) {
		return fmt.Sprintf("there is no zone %q", s.Zone)
	}
	if why := zoneContradiction(s); why != "" {
		return why
	}
	return catalogRefusal(s, n.catalog)
}

// teamRefusal returns why a job's team may not run it, or "".
func teamRefusal(s *core.JobSpec, teams map[string]clusterconfig.Team) string {
	team, known := teams[s.Team]
	if !known {
		return fmt.Sprintf("there is no team %q", s.Team)
	}
	if team.Draining {
		return fmt.Sprintf("team %s accepts no new jobs", s.Team)
	}
	if s.Priority > team.PriorityCap {
		return fmt.Sprintf("team %s may use %v priority at most, not %v", s.Team, team.PriorityCap, s.Priority)
	}
	total := s.Resources
	if s.Kind != core.Array {
		total = s.Resources.Times(s.Tasks)
	}
	if team.Max.CPU > 0 && total.CPU > team.Max.CPU || team.Max.GPU > 0 && total.GPU > team.Max.GPU {
		return fmt.Sprintf("the job requests more than the limit of team %s", s.Team)
	}
	return ""
}

// needsTwoZones reports whether a job's tasks run at the same time and may not all be in one zone.
// The tasks of an array may run one after the other.
func needsTwoZones(s *core.JobSpec) bool { return s.Spread && s.Kind != core.Array && s.Tasks > 1 }

// zoneContradiction returns why a job's own constraints on zones exclude each other, or "".
func zoneContradiction(s *core.JobSpec) string {
	switch {
	case !needsTwoZones(s):
	case s.OneZone:
		return "its tasks have to be in one zone, and spread over zones"
	case s.Zone != "":
		return fmt.Sprintf("its tasks have to be spread over zones, and in zone %s", s.Zone)
	}
	return ""
}

// catalogRefusal returns why no machines of the catalog can run a job, or "".
func catalogRefusal(s *core.JobSpec, catalog []core.MachineType) string {
	fits, anyZone := false, false
	zones := map[string]bool{} // that offer a machine type that fits
	for i := range catalog {
		t := &catalog[i]
		if !s.Resources.Fits(t.Capacity) || s.Types != nil && !slices.Contains(s.Types, t.Name) {
			continue
		}
		fits = true
		anyZone = anyZone || len(t.Zones) == 0 // the catalog does not say where
		for _, zone := range t.Zones {
			zones[zone] = true
		}
	}
	switch {
	case !fits:
		return "no allowed machine type fits a task"
	case anyZone:
	case s.Zone != "" && !zones[s.Zone]:
		return fmt.Sprintf("no allowed machine type that fits a task is offered in zone %s", s.Zone)
	case needsTwoZones(s) && len(zones) < 2:
		return "its tasks have to be spread over zones, and the allowed machine types that fit a task are offered in one zone only"
	}
	return ""
}
