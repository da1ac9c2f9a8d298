package translate

import (
	"fmt"
	"path"
	"slices"
	"strings"

	"aspenstall/internal/core"
	"aspenstall/internal/nomad/jobfile"
)

// applyPlacement sets the zone, the machine types and the spread.
func (t *translator) applyPlacement(s *core.JobSpec, g *jobfile.Group, task *jobfile.Task, pointer, taskPointer string) {
	j := t.file.Job
	s.Zone = t.resolveZone(j.Datacenters)
	for _, l := range []struct {
		list    []jobfile.Constraint
		pointer string
	}{{j.Constraints, ""}, {g.Constraints, pointer}, {task.Constraints, taskPointer}} {
		for i, c := range l.list {
			t.applyConstraint(s, c, fmt.Sprintf("%s/Constraints/%d", l.pointer, i))
		}
	}
	for _, l := range []struct {
		list    []jobfile.Spread
		pointer string
	}{{j.Spreads, ""}, {g.Spreads, pointer}} {
		for i, sp := range l.list {
			if sp.Attribute != "${node.datacenter}" {
				t.refuse(fmt.Sprintf("%s/Spreads/%d", l.pointer, i), "spread over %q: only ${node.datacenter} is served", sp.Attribute)
			}
			s.Spread = true
		}
	}
}

// resolveZone returns the zone that datacenters name, or "" if they name all zones.
func (t *translator) resolveZone(datacenters []string) string {
	const pointer = "/Datacenters"
	if len(datacenters) == 1 && !strings.ContainsAny(datacenters[0], "*?[\\") {
		if z := datacenters[0]; len(t.policy.Zones) == 0 || slices.Contains(t.policy.Zones, z) {
			return z
		}
	}
	if slices.Contains(datacenters, "*") {
		return ""
	}
	if len(t.policy.Zones) == 0 && len(datacenters) > 0 {
		t.refuse(pointer, "datacenters: which zones there are is not known here; give the platform's file, or one zone, or \"*\"")
		return ""
	}
	matched := map[string]bool{}
	for _, d := range datacenters {
		found := false
		for _, z := range t.policy.Zones {
			if ok, err := path.Match(d, z); ok && err == nil {
				matched[z], found = true, true
			}
		}
		if !found {
			t.refuse(pointer, "datacenters: no zone matches %q", d)
			return ""
		}
	}
	switch {
	case len(datacenters) == 0:
		t.refuse(pointer, "datacenters: none is given")
	case len(matched) == len(t.policy.Zones):
	case len(matched) == 1:
		for z := range matched {
			return z
		}
	default:
		t.refuse(pointer, "datacenters: a job runs in one zone or in any of the %d, not in some of them", len(t.policy.Zones))
	}
	return ""
}

// applyConstraint restricts the machine types or the zone by a constraint.
func (t *translator) applyConstraint(s *core.JobSpec, c jobfile.Constraint, pointer string) {
	var values []string
	switch c.Operand {
	case "=", "==", "is":
		values = []string{c.RTarget}
	case "set_contains_any":
		for _, v := range strings.Split(c.RTarget, ",") {
			values = append(values, strings.TrimSpace(v))
		}
	default:
		t.refuse(pointer, "constraint with %q: only = and set_contains_any are served, on ${node.class} and ${node.datacenter}", c.Operand)
		return
	}
	if slices.Contains(values, "") {
		t.refuse(pointer, "constraint: an empty value matches nothing")
		return
	}
	switch c.LTarget {
	case "${node.class}":
		if s.Types != nil {
			// All constraints must hold: keep the types that the earlier ones allow.
			values = slices.DeleteFunc(values, func(v string) bool { return !slices.Contains(s.Types, v) })
			if len(values) == 0 {
				t.refuse(pointer, "constraint: with the others it leaves no machine type")
				return
			}
		}
		s.Types = values
	case "${node.datacenter}":
		z := values[0]
		if len(values) > 1 {
			t.refuse(pointer, "constraint: a job runs in one zone or in any")
		} else if len(t.policy.Zones) > 0 && !slices.Contains(t.policy.Zones, z) {
			t.refuse(pointer, "constraint: there is no zone %q", z)
		} else if s.Zone != "" && s.Zone != z {
			t.refuse(pointer, "constraint: datacenters name another zone, %q", s.Zone)
		}
		s.Zone = z
	default:
		t.refuse(pointer, "constraint on %q: machines have ${node.class}, their type, and ${node.datacenter}, their zone", c.LTarget)
	}
}
