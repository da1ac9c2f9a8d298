// Package clusterconfig decides which configuration is in force: the platform's file, and on
// top of it what operators change while the cluster serves. It is pure: records and times go
// in, decisions come out.
//
// A configuration is one version at a time. Its head record names the pages that hold the
// teams; whoever writes a new head does so on condition that the head is the one it has
// read, so one order of versions is everybody's (docs/design/configuration.md).
package clusterconfig

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"aspenstall/internal/core"
)

// Team is what is configured for a team.
type Team struct {
	Min, Max    core.Resources // CPU and GPU, in thousandths; 0 in Max: no limit
	PriorityCap core.Priority  // the highest that it may ask for
	Draining    bool           // it takes no new jobs
}

// Tuning are the settings that may change while the cluster serves; nil: as the controllers
// were started with.
type Tuning struct {
	IdleReturnS, RefusalPauseS, HoldS, QuarantineS *float64
	SpareTasks                                     *int
}

// Config is what operators have configured on top of the base.
type Config struct {
	Teams  map[string]Team // by name
	Tuning Tuning
}

// Clone is a copy that can be changed.
func (c *Config) Clone() *Config {
	out := &Config{Teams: maps.Clone(c.Teams), Tuning: c.Tuning}
	if out.Teams == nil {
		out.Teams = map[string]Team{}
	}
	return out
}

// Base is what the controllers were started with.
type Base struct {
	Teams  map[string]Team
	Tuning core.Tuning
}

// Effective is what controllers act by.
type Effective struct {
	Teams  map[string]Team
	Tuning core.Tuning
}

// Over lays a configuration over the base. It is total: a configuration that was checked
// against another base is cut back to this one's limits, so that a limit that the platform
// sets is never passed.
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

// limitWithin cuts a limit back to an outer one; 0 is none for either.
func clampLimit(limit, outer int64) int64 {
	if outer > 0 && (limit == 0 || limit > outer) {
		return outer
	}
	return limit
}

// guaranteeWithin cuts a guarantee back to a limit, of which 0 is none.
func clampGuarantee(guarantee, limit int64) int64 {
	if limit > 0 {
		return min(guarantee, limit)
	}
	return guarantee
}

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

// Problem is what is wrong with a configuration, and where: keys from the outside in.
type Problem struct {
	Path   []string
	Reason string
}

// Error says it in one line.
func (p *Problem) Error() string { return strings.Join(p.Path, " ") + ": " + p.Reason }

func teamProblem(team, field, format string, args ...any) *Problem {
	return &Problem{Path: []string{":teams", fmt.Sprintf("%q", team), field}, Reason: fmt.Sprintf(format, args...)}
}

// MaxTeamName is the longest name of a team that is added, in bytes.
const MaxTeamNameBytes = 64

// Check holds a configuration against the base; nil if it may be written.
func (c *Config) Check(b *Base) *Problem {
	for _, name := range slices.Sorted(maps.Keys(c.Teams)) {
		if p := checkTeam(name, c.Teams[name], b); p != nil {
			return p
		}
	}
	return nil
}

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

// Amount is what thousandths of a resource make.
func Units(thousandths int64) float64 { return float64(thousandths) / 1000 }

// Warnings say what is allowed and may not be meant: room is what the fleet can have.
func (c *Config) Warnings(b *Base, room core.Resources) []string {
	var sum core.Resources
	for _, t := range c.OverlayOn(b).Teams {
		sum = sum.Add(t.Min)
	}
	var out []string
	if room.CPU > 0 && sum.CPU > room.CPU {
		out = append(out, fmt.Sprintf("the guarantees add up to %v CPUs, the fleet has %v", Units(sum.CPU), Units(room.CPU)))
	}
	if room.GPU > 0 && sum.GPU > room.GPU {
		out = append(out, fmt.Sprintf("the guarantees add up to %v GPUs, the fleet has %v", Units(sum.GPU), Units(room.GPU)))
	}
	return out
}

// Removed lists the teams that only the former configuration knows: their jobs would have
// no team. A team of the base is never removed.
func RemovedTeams(from, to *Config, b *Base) []string {
	var out []string
	for name := range from.Teams {
		_, stays := to.Teams[name]
		if _, base := b.Teams[name]; !stays && !base {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Difference is one line of what differs.
type Difference struct {
	Team     string // "" for a setting
	Field    string
	From, To string // "" for what is not there
}

// String is for people.
func (d Difference) String() string {
	name := d.Field
	if d.Team != "" {
		name = fmt.Sprintf("team %s %s", d.Team, d.Field)
	}
	return fmt.Sprintf("%s: %s -> %s", name, cmp.Or(d.From, "none"), cmp.Or(d.To, "none"))
}

// Diff lists what differs between two effective configurations, by team and field.
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

type field struct{ name, value string }

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

func formatLimit(thousandths int64) string {
	if thousandths == 0 {
		return "unlimited"
	}
	return fmt.Sprint(Units(thousandths))
}

func tuningFields(t core.Tuning) []field {
	s := func(m core.Micros) string { return fmt.Sprint(float64(m) / 1e6) }
	return []field{
		{":idle-return-s", s(t.IdleTimeout)}, {":refusal-pause-s", s(t.RefusalBackoff)}, {":hold-s", s(t.ReservationDecay)},
		{":quarantine-s", s(t.Quarantine)}, {":spare-tasks", fmt.Sprint(t.SpareTasks)},
	}
}
