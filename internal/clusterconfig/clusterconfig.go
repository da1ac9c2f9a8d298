// Package clusterconfig determines the effective configuration: the platform's file, overlaid by
// the configuration that operators change at run time. It does no input or output: records and
// times are arguments, decisions are results.
//
// A configuration has one current version. Its head record names the pages that hold the teams.
// A new head is written on condition that the head is still the one that was read, so versions
// have a total order that all controllers agree on (docs/design/configuration.md).
package clusterconfig

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"aspenstall/internal/core"
)

// Team is the configuration of a team.
type Team struct {
	Min, Max    core.Resources // CPU and GPU, in thousandths; 0 in Max: no limit
	PriorityCap core.Priority  // the highest priority that it may request
	Draining    bool           // new jobs are refused
}

// Tuning holds the settings that may change at run time; nil keeps the value that the controllers
// started with.
type Tuning struct {
	IdleReturnS, RefusalPauseS, HoldS, QuarantineS *float64
	SpareTasks                                     *int
}

// Config is the operators' configuration, which is laid over the base.
type Config struct {
	Teams  map[string]Team // by name
	Tuning Tuning
}

// Clone returns a copy that can be changed independently.
func (c *Config) Clone() *Config {
	out := &Config{Teams: maps.Clone(c.Teams), Tuning: c.Tuning}
	if out.Teams == nil {
		out.Teams = map[string]Team{}
	}
	return out
}

// Base holds the teams and settings that the controllers were started with.
type Base struct {
	Teams  map[string]Team
	Tuning core.Tuning
}

// Effective holds the teams and settings that controllers use.
type Effective struct {
	Teams  map[string]Team
	Tuning core.Tuning
}

// OverlayOn lays a configuration over the base. It accepts any configuration: one that was checked
// against another base is clamped to this base's limits, so that the platform's limits always hold.
func (c *Config) OverlayOn(b *Base) Effective {
	e := Effective{Teams: maps.Clone(b.Teams), Tuning: c.Tuning.overlayOn(b.Tuning)}
	if e.Teams == nil {
		e.Teams = map[string]Team{}
	}
	for name, t := range c.Teams {
		if outer, ok := b.Teams[name]; ok {
			t.Max.CPU = clampLimit(t.Max.CPU, outer.Max.CPU)
			t.Max.GPU = clampLimit(t.Max.GPU, outer.Max.GPU)
			t.PriorityCap = min(t.PriorityCap, outer.PriorityCap)
		}
		t.Min.CPU = clampGuarantee(t.Min.CPU, t.Max.CPU)
		t.Min.GPU = clampGuarantee(t.Min.GPU, t.Max.GPU)
		e.Teams[name] = t
	}
	return e
}

// clampLimit reduces a limit to an outer one; 0 means no limit for either.
func clampLimit(limit, outer int64) int64 {
	if outer > 0 && (limit == 0 || limit > outer) {
		return outer
	}
	return limit
}

// clampGuarantee reduces a guarantee to a limit; a limit of 0 means none.
func clampGuarantee(guarantee, limit int64) int64 {
	if limit > 0 {
		return min(guarantee, limit)
	}
	return guarantee
}

// overlayOn returns the base's settings, replaced by those that are set in t.
func (t Tuning) overlayOn(b core.Tuning) core.Tuning {
	seconds := func(s *float64, d *core.Micros) {
		if s != nil {
			*d = core.Seconds(*s)
		}
	}
	seconds(t.IdleReturnS, &b.IdleTimeout)
	seconds(t.RefusalPauseS, &b.RefusalBackoff)
	seconds(t.HoldS, &b.ReservationDecay)
	seconds(t.QuarantineS, &b.Quarantine)
	if t.SpareTasks != nil {
		b.SpareTasks = *t.SpareTasks
	}
	return b
}

// Problem is an error in a configuration. Path holds the keys from the outermost to the innermost.
type Problem struct {
	Path   []string
	Reason string
}

// Error returns the path and the reason in one line.
func (p *Problem) Error() string { return strings.Join(p.Path, " ") + ": " + p.Reason }

// teamProblem returns a problem with a field of a team.
func teamProblem(team, field, format string, args ...any) *Problem {
	return &Problem{Path: []string{":teams", fmt.Sprintf("%q", team), field}, Reason: fmt.Sprintf(format, args...)}
}

// MaxTeamNameBytes is the maximum length of a team's name, in bytes.
const MaxTeamNameBytes = 64

// Check checks a configuration against the base. It returns the first problem, or nil if the
// configuration may be written.
func (c *Config) Check(b *Base) *Problem {
	for _, name := range slices.Sorted(maps.Keys(c.Teams)) {
		if p := checkTeam(name, c.Teams[name], b); p != nil {
			return p
		}
	}
	return nil
}

// checkTeam checks a team's configuration against the base. It returns the first problem or nil.
func checkTeam(name string, t Team, b *Base) *Problem {
	if name == "" || len(name) > MaxTeamNameBytes || strings.ContainsAny(name, " \t\n") {
		return &Problem{Path: []string{":teams", fmt.Sprintf("%q", name)}, Reason: fmt.Sprintf("want a name of 1 to %d bytes without spaces", MaxTeamNameBytes)}
	}
	outer, known := b.Teams[name]
	for _, r := range []struct {
		field           string
		min, max, outer int64
	}{
		{":cpus", t.Min.CPU, t.Max.CPU, outer.Max.CPU}, {":gpus", t.Min.GPU, t.Max.GPU, outer.Max.GPU},
	} {
		switch {
		case r.min < 0 || r.max < 0:
			return teamProblem(name, r.field, "negative")
		case r.max > 0 && r.min > r.max:
			return teamProblem(name, r.field, "the guarantee %v is over the limit %v", Units(r.min), Units(r.max))
		case known && r.outer > 0 && (r.max == 0 || r.max > r.outer):
			return teamProblem(name, r.field+"-max", "the limit is over the platform's, %v", Units(r.outer))
		}
	}
	if known && t.PriorityCap > outer.PriorityCap {
		return teamProblem(name, ":cap", "higher than the settings' cap, :%v", outer.PriorityCap)
	}
	return nil
}

// Units converts thousandths of a resource to whole units.
func Units(thousandths int64) float64 { return float64(thousandths) / 1000 }

// Warnings returns warnings about a configuration that is valid but probably a mistake: guarantees
// that add up to more than fleet, the largest possible size of the fleet. A resource of 0 in fleet
// is not checked.
func (c *Config) Warnings(b *Base, fleet core.Resources) []string {
	var sum core.Resources
	for _, t := range c.OverlayOn(b).Teams {
		sum = sum.Add(t.Min)
	}
	var out []string
	if fleet.CPU > 0 && sum.CPU > fleet.CPU {
		out = append(out, fmt.Sprintf("the guarantees add up to %v CPUs, the fleet has %v", Units(sum.CPU), Units(fleet.CPU)))
	}
	if fleet.GPU > 0 && sum.GPU > fleet.GPU {
		out = append(out, fmt.Sprintf("the guarantees add up to %v GPUs, the fleet has %v", Units(sum.GPU), Units(fleet.GPU)))
	}
	return out
}

// RemovedTeams returns the teams that are in from, but neither in to nor in the base, sorted. Their
// jobs would be left without a team. A team of the base is never removed.
func RemovedTeams(from, to *Config, b *Base) []string {
	var out []string
	for name := range from.Teams {
		_, kept := to.Teams[name]
		if _, base := b.Teams[name]; !kept && !base {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Difference is a field or setting that differs between two configurations.
type Difference struct {
	Team     string // "" for a setting
	Field    string
	From, To string // "" for a value that is absent
}

// String returns the difference as a line of text for operators.
func (d Difference) String() string {
	name := d.Field
	if d.Team != "" {
		name = fmt.Sprintf("team %s %s", d.Team, d.Field)
	}
	return fmt.Sprintf("%s: %s -> %s", name, cmp.Or(d.From, "none"), cmp.Or(d.To, "none"))
}

// Diff returns the differences between two effective configurations: teams by name, then settings.
func Diff(from, to Effective) []Difference {
	var out []Difference
	names := maps.Clone(from.Teams)
	maps.Copy(names, to.Teams)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		a, inA := from.Teams[name]
		b, inB := to.Teams[name]
		before, after := teamFields(a, inA), teamFields(b, inB)
		for i := range before {
			if before[i].value != after[i].value {
				out = append(out, Difference{name, before[i].name, before[i].value, after[i].value})
			}
		}
	}
	before, after := tuningFields(from.Tuning), tuningFields(to.Tuning)
	for i := range before {
		if before[i].value != after[i].value {
			out = append(out, Difference{"", before[i].name, before[i].value, after[i].value})
		}
	}
	return out
}

// field is a field of a team or a setting, with its value as text.
type field struct{ name, value string }

// teamFields returns a team's fields, with empty values if there is no such team.
func teamFields(t Team, known bool) []field {
	f := []field{
		{":cpus", fmt.Sprint(Units(t.Min.CPU))}, {":cpus-max", formatLimit(t.Max.CPU)},
		{":gpus", fmt.Sprint(Units(t.Min.GPU))}, {":gpus-max", formatLimit(t.Max.GPU)},
		{":cap", ":" + t.PriorityCap.String()}, {":draining", fmt.Sprint(t.Draining)},
	}
	if !known {
		for i := range f {
			f[i].value = ""
		}
	}
	return f
}

// formatLimit returns a limit in whole units, or "unlimited" for 0.
func formatLimit(thousandths int64) string {
	if thousandths == 0 {
		return "unlimited"
	}
	return fmt.Sprint(Units(thousandths))
}

// tuningFields returns the settings that may change at run time.
func tuningFields(t core.Tuning) []field {
	s := func(m core.Micros) string { return fmt.Sprint(float64(m) / 1e6) }
	return []field{
		{":idle-return-s", s(t.IdleTimeout)}, {":refusal-pause-s", s(t.RefusalBackoff)}, {":hold-s", s(t.ReservationDecay)},
		{":quarantine-s", s(t.Quarantine)}, {":spare-tasks", fmt.Sprint(t.SpareTasks)},
	}
}
