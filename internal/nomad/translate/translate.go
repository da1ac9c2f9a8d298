// Package translate makes native jobs of a Nomad job file, one of each group,
// or a list of refusals. What the file says has the same effect as in a native
// submission, or is refused: nobody gains or loses by the form. Which parts are
// served, ignored or refused is one table (table.go), which docs/NOMAD.md shows.
package translate

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"path"
	"slices"
	"strconv"
	"strings"

	"aspenstall/internal/core"
	"aspenstall/internal/nomad/jobfile"
)

// DefaultNamespace is the namespace of a job that names none.
const DefaultNamespace = "default"

// Terms are what a deployment and the caller's team allow.
type Policy struct {
	Team      string   // whose token was used; "" to take the file's word
	Zones     []string // empty if not known
	MHzPerCPU int
	ScratchMB int
	GPUs      []string // names of devices that are GPUs
	// Cap is the highest priority that a team may ask for.
	MaxPriority func(team string) core.Priority
}

// Group is a group of the job file as a native job.
type Group struct {
	Name   string
	Spec   core.JobSpec // without an ID
	Digest string       // of all that its tasks are and get: equal if nothing changed
}

// Prefix of the meta keys that are read.
const MetaPrefix = "aspenstall_"

// metaKeys are the meta keys that are read, and whether they hold a number, a
// truth or a text.
var metaKeys = map[string]byte{
	"class": 't', "image": 't', "image_gb": 'n', "gang": 'b', "one_zone": 'b', "spot": 'b',
	"expect_s": 'n', "due_s": 'n', "checkpoint_s": 'n', "checkpoint_cost_s": 'n',
}

// Priority is the native priority of one from 1 to 100.
func Priority(n int) core.Priority {
	switch {
	case n < 25:
		return core.Low
	case n < 75:
		return core.Normal
	case n < 90:
		return core.High
	}
	return core.Production
}

// most is the highest number of a native priority.
var maxPriorityNumber = map[core.Priority]int{core.Low: 24, core.Normal: 74, core.High: 89, core.Production: 100}

// translation is one file's.
type translator struct {
	file     *jobfile.File
	policy   Policy
	problems jobfile.Problems
}

func (x *translator) refuse(pointer, format string, args ...any) {
	x.problems = append(x.problems, jobfile.Problem{Pos: x.file.Position(pointer), Text: fmt.Sprintf(format, args...)})
}

// Job makes native jobs of a job file. If anything is refused there are none,
// and the problems say all that is.
func Job(f *jobfile.File, t Policy) ([]Group, jobfile.Problems) {
	x := &translator{file: f, policy: t}
	f.Each(func(e jobfile.Entry) {
		r, ok := rows[e.Path]
		if !ok || r.verdict == Refused && !isEmpty(e.Value) {
			x.refuse(e.Pointer, "%s: %s", strings.TrimPrefix(e.Path, "job."), r.note)
		}
	})
	team := x.checkJob()
	var out []Group
	names := map[string]bool{}
	for i := range f.Job.TaskGroups {
		g := &f.Job.TaskGroups[i]
		at := fmt.Sprintf("/TaskGroups/%d", i)
		if names[g.Name] {
			x.refuse(at, "group %q: given twice", g.Name)
		}
		names[g.Name] = true
		spec := x.translateGroup(g, at)
		spec.Team = team
		out = append(out, Group{g.Name, spec, groupDigest(f.Job, g, &spec)})
	}
	if len(x.problems) > 0 {
		return nil, x.problems.Sort()
	}
	return out, nil
}

// Warnings lists what a file asks for that changes nothing here, and why.
func Warnings(f *jobfile.File) jobfile.Problems {
	var ps jobfile.Problems
	f.Each(func(e jobfile.Entry) {
		if r := rows[e.Path]; r.verdict == Ignored && r.note != "" && !isEmpty(e.Value) {
			ps = append(ps, jobfile.Problem{Pos: f.Position(e.Pointer), Text: fmt.Sprintf("%s is ignored: %s", strings.TrimPrefix(e.Path, "job."), r.note)})
		}
	})
	return ps.Sort()
}

// empty reports whether a value says nothing: clients send every field.
func isEmpty(v any) bool {
	switch v := v.(type) {
	case string:
		return v == ""
	case bool:
		return !v
	case json.Number:
		f, err := v.Float64()
		return err == nil && f == 0
	case int64:
		return v == 0
	case []any:
		return len(v) == 0
	}
	return false
}

// job checks what is the whole job's, and gives its team.
func (x *translator) checkJob() string {
	j := x.file.Job
	switch {
	case j.ID == "":
		x.refuse("/ID", "the job has no name")
	case len(j.ID) > core.MaxNameBytes:
		x.refuse("/ID", "the job's name is longer than %d bytes", core.MaxNameBytes)
	case strings.ContainsAny(j.ID, " \x00"):
		x.refuse("/ID", "the job's name holds a space")
	}
	if j.Region != "global" {
		x.refuse("/Region", "region %q: only global is served", j.Region)
	}
	if j.Type != "batch" && j.Type != "service" {
		x.refuse("/Type", "type %s: runs a task on every machine, which is not served; use batch or service", j.Type)
	}
	if j.NodePool != "default" && j.NodePool != "all" {
		x.refuse("/NodePool", "node_pool %q: there is one pool; choose machine types by a constraint on ${node.class}", j.NodePool)
	}
	if j.AllAtOnce {
		x.refuse("/AllAtOnce", "all_at_once: not served; %sgang = true in meta asks for a gang", MetaPrefix)
	}
	if j.Stop {
		x.refuse("/Stop", "Stop: a job is stopped by deregistering it")
	}
	x.checkUpdate(j.Update, "/Update")
	x.checkReschedule(j.Reschedule, "/Reschedule")
	if len(j.TaskGroups) == 0 {
		x.refuse("", "the job has no group")
	}
	team := j.Namespace
	switch {
	case team == DefaultNamespace && x.policy.Team != "":
		team = x.policy.Team
	case team == DefaultNamespace:
		x.refuse("/Namespace", "namespace: name the team")
	case x.policy.Team != "" && team != x.policy.Team:
		x.refuse("/Namespace", "namespace %q: the token is another team's", team)
	}
	if p := Priority(j.Priority); x.policy.MaxPriority != nil {
		if limit := x.policy.MaxPriority(team); p > limit {
			x.refuse("/Priority", "priority %d is %v here, and team %s may ask for %v at most, which is up to %d", j.Priority, p, team, limit, maxPriorityNumber[limit])
		}
	}
	return team
}

func (x *translator) checkUpdate(u *jobfile.Update, at string) {
	if u == nil || x.file.Job.Type != "service" {
		return // batch jobs are not rolled out, by the published rules
	}
	if u.MaxParallel != 0 {
		x.refuse(at+"/MaxParallel", "update: max_parallel = %d asks for a step-by-step update; a new version replaces the old one at once, which max_parallel = 0 says", u.MaxParallel)
	}
	if u.Canary != 0 {
		x.refuse(at+"/Canary", "update: canaries are not served")
	}
	if u.AutoRevert {
		x.refuse(at+"/AutoRevert", "update: auto_revert is not served")
	}
	if u.AutoPromote {
		x.refuse(at+"/AutoPromote", "update: auto_promote is not served")
	}
}

func (x *translator) checkReschedule(r *jobfile.Reschedule, at string) {
	if r != nil && !r.Unlimited {
		x.refuse(at+"/Unlimited", "reschedule: a task is tried until it is done; a fixed number of attempts is not served, unlimited = true is")
	}
}

func (x *translator) checkRestart(r *jobfile.Restart, at string) {
	if r != nil && r.Mode != "delay" {
		x.refuse(at+"/Mode", "restart: a task is tried until it is done; a fixed number of attempts is not served, mode = \"delay\" is")
	}
}

// group makes the native job of a group.
func (x *translator) translateGroup(g *jobfile.Group, at string) core.JobSpec {
	j := x.file.Job
	s := core.JobSpec{Tasks: g.Count, Priority: Priority(j.Priority)}
	if j.Type == "service" {
		s.Kind = core.Service
	}
	if g.Name == "" || len(g.Name) > core.MaxNameBytes {
		x.refuse(at+"/Name", "group: want a name of at most %d bytes", core.MaxNameBytes)
	}
	if g.Count < 1 || g.Count > core.MaxTasks {
		x.refuse(at+"/Count", "count: want 1 to %d", core.MaxTasks)
	}
	x.checkRestart(g.RestartPolicy, at+"/RestartPolicy")
	x.checkReschedule(g.ReschedulePolicy, at+"/ReschedulePolicy")
	x.checkUpdate(g.Update, at+"/Update")
	if g.ShutdownDelay > 0 {
		x.refuse(at+"/ShutdownDelay", "shutdown_delay: a task is told to stop at once")
	}
	if g.PreventRescheduleOnLost {
		x.refuse(at+"/PreventRescheduleOnLost", "prevent_reschedule_on_lost: a lost machine's work starts elsewhere")
	}
	if d := g.EphemeralDisk; d != nil {
		x.checkScratch(d.SizeMB, at+"/EphemeralDisk/SizeMB")
		if d.Sticky || d.Migrate {
			x.refuse(at+"/EphemeralDisk", "ephemeral_disk: nothing outlasts its machine")
		}
	}
	switch {
	case len(g.Tasks) == 0:
		x.refuse(at, "group %q: has no task", g.Name)
		return s
	case len(g.Tasks) > 1:
		x.refuse(at+"/Tasks/1", "group %q: has %d tasks; one is served, so make a group of each", g.Name, len(g.Tasks))
	}
	task, taskAt := &g.Tasks[0], at+"/Tasks/0"
	x.checkRestart(task.RestartPolicy, taskAt+"/RestartPolicy")
	if task.ShutdownDelay > 0 {
		x.refuse(taskAt+"/ShutdownDelay", "shutdown_delay: a task is told to stop at once")
	}
	if task.Driver == "" {
		x.refuse(taskAt, "task %q: names no driver", task.Name)
	}
	s.Resources = x.translateResources(&task.Resources, taskAt+"/Resources")
	x.applyMeta(&s, g, task, at, taskAt)
	x.applyPlacement(&s, g, task, at, taskAt)
	// The published default is in every job that was read before, and asks for nothing.
	if task.KillTimeout > max(jobfile.Duration(s.CheckpointCost), jobfile.DefaultKillTimeout) {
		x.refuse(taskAt+"/KillTimeout", "kill_timeout: a task is given %scheckpoint_cost_s (%v s) to save when it is stopped, and no longer", MetaPrefix, float64(s.CheckpointCost)/1e6)
	}
	return s
}

func (x *translator) checkScratch(mb int, at string) {
	if mb > x.policy.ScratchMB {
		x.refuse(at, "%d MB of scratch space: machines here promise %d", mb, x.policy.ScratchMB)
	}
}

func (x *translator) translateResources(r *jobfile.Resources, at string) core.Resources {
	var n core.Resources
	switch {
	case r.Cores > 0 && r.CPU > 0:
		x.refuse(at+"/Cores", "resources: cpu and cores exclude each other")
	case r.Cores > 0:
		n.CPU = int64(r.Cores) * 1000
	default:
		mhz := int64(max(x.policy.MHzPerCPU, 1))
		n.CPU = (int64(r.CPU)*1000 + mhz - 1) / mhz
	}
	n.Mem = (int64(r.MemoryMB)*1000 + 1023) / 1024
	if r.MemoryMaxMB > 0 && r.MemoryMaxMB != r.MemoryMB {
		x.refuse(at+"/MemoryMaxMB", "memory_max: memory is not lent; ask for it as memory")
	}
	x.checkScratch(r.DiskMB, at+"/DiskMB")
	for i := range r.Devices {
		d := &r.Devices[i]
		if !slices.Contains(x.policy.GPUs, d.Name) {
			x.refuse(fmt.Sprintf("%s/Devices/%d", at, i), "device %q: only GPUs are served, as %s", d.Name, strings.Join(x.policy.GPUs, ", "))
		}
		n.GPU += int64(d.Count) * 1000
	}
	for _, a := range []int64{n.CPU, n.GPU, n.Mem} {
		if a > core.MaxTaskResource*1000 {
			x.refuse(at, "resources: out of range")
		}
	}
	return n
}

// meta reads the keys that stand for what the job file has no word for.
func (x *translator) applyMeta(s *core.JobSpec, g *jobfile.Group, task *jobfile.Task, at, taskAt string) {
	type entry struct{ value, at string }
	keys := map[string]entry{}
	take := func(m map[string]string, under string) {
		for k, v := range m {
			name, ours := strings.CutPrefix(k, MetaPrefix)
			if !ours {
				continue
			}
			e := entry{v, under + "/Meta/" + k}
			if metaKeys[name] == 0 {
				x.refuse(e.at, "meta: no such key %s; there are %s", k, strings.Join(MetaKeys(), ", "))
				continue
			}
			keys[name] = e
		}
	}
	take(x.file.Job.Meta, "")
	take(g.Meta, at)
	take(task.Meta, taskAt)
	text := func(name string) string {
		e, ok := keys[name]
		if ok && (e.value == "" || len(e.value) > core.MaxNameBytes) {
			x.refuse(e.at, "%s%s: want a text of at most %d bytes", MetaPrefix, name, core.MaxNameBytes)
		}
		return e.value
	}
	flag := func(name string) bool {
		e, ok := keys[name]
		if ok && e.value != "true" && e.value != "false" {
			x.refuse(e.at, "%s%s: want true or false, not %q", MetaPrefix, name, e.value)
		}
		return e.value == "true"
	}
	number := func(name string, most float64) (float64, bool) {
		e, ok := keys[name]
		if !ok {
			return 0, false
		}
		n, err := strconv.ParseFloat(e.value, 64)
		if err != nil || math.IsNaN(n) || n < 0 || n > most {
			x.refuse(e.at, "%s%s: want a number from 0 to %.0f, not %q", MetaPrefix, name, most, e.value)
			return 0, true
		}
		return n, true
	}
	require := func(name, why string) {
		if _, ok := keys[name]; !ok {
			x.refuse(taskAt, "task %q: meta lacks %s%s, %s", task.Name, MetaPrefix, name, why)
		}
	}
	require("class", "the class of jobs that it belongs to")
	require("image_gb", "the size of its image")
	s.Class = text("class")
	s.Image = text("image")
	if _, named := keys["image"]; !named {
		s.Image, _ = task.Config["image"].(string)
		if s.Image == "" || len(s.Image) > core.MaxNameBytes {
			x.refuse(taskAt+"/Config", "task %q: names no image of at most %d bytes, neither in config nor as %simage in meta", task.Name, core.MaxNameBytes, MetaPrefix)
		}
	}
	gb, _ := number("image_gb", core.MaxTaskResource)
	s.ImageMB = core.MilliUnits(gb)
	if flag("gang") {
		if s.Kind == core.Service {
			x.refuse(keys["gang"].at, "%sgang: a service is no gang", MetaPrefix)
		}
		s.Kind = core.Gang
	}
	s.OneZone, s.Spot = flag("one_zone"), flag("spot")
	if s.Kind != core.Service {
		require("expect_s", "how long a task is thought to run")
	}
	seconds := func(name string) core.Micros {
		n, _ := number(name, core.MaxSeconds)
		return core.Seconds(n)
	}
	s.EstimatedRun, s.Deadline = seconds("expect_s"), seconds("due_s")
	s.CheckpointInterval, s.CheckpointCost = seconds("checkpoint_s"), seconds("checkpoint_cost_s")
}

// where works out the zone, the machine types and the spread.
func (x *translator) applyPlacement(s *core.JobSpec, g *jobfile.Group, task *jobfile.Task, at, taskAt string) {
	j := x.file.Job
	s.Zone = x.resolveZone(j.Datacenters)
	for _, l := range []struct {
		list []jobfile.Constraint
		at   string
	}{{j.Constraints, ""}, {g.Constraints, at}, {task.Constraints, taskAt}} {
		for i, c := range l.list {
			x.applyConstraint(s, c, fmt.Sprintf("%s/Constraints/%d", l.at, i))
		}
	}
	for _, l := range []struct {
		list []jobfile.Spread
		at   string
	}{{j.Spreads, ""}, {g.Spreads, at}} {
		for i, sp := range l.list {
			if sp.Attribute != "${node.datacenter}" {
				x.refuse(fmt.Sprintf("%s/Spreads/%d", l.at, i), "spread over %q: only ${node.datacenter} is served", sp.Attribute)
			}
			s.Spread = true
		}
	}
}

// zone is the one zone that datacenters name, "" for any.
func (x *translator) resolveZone(datacenters []string) string {
	const at = "/Datacenters"
	if len(datacenters) == 1 && !strings.ContainsAny(datacenters[0], "*?[\\") {
		if z := datacenters[0]; len(x.policy.Zones) == 0 || slices.Contains(x.policy.Zones, z) {
			return z
		}
	}
	if slices.Contains(datacenters, "*") {
		return ""
	}
	if len(x.policy.Zones) == 0 && len(datacenters) > 0 {
		x.refuse(at, "datacenters: which zones there are is not known here; give the platform's file, or one zone, or \"*\"")
		return ""
	}
	matched := map[string]bool{}
	for _, d := range datacenters {
		found := false
		for _, z := range x.policy.Zones {
			if ok, err := path.Match(d, z); ok && err == nil {
				matched[z], found = true, true
			}
		}
		if !found {
			x.refuse(at, "datacenters: no zone matches %q", d)
			return ""
		}
	}
	switch {
	case len(datacenters) == 0:
		x.refuse(at, "datacenters: none is given")
	case len(matched) == len(x.policy.Zones):
	case len(matched) == 1:
		for z := range matched {
			return z
		}
	default:
		x.refuse(at, "datacenters: a job runs in one zone or in any of the %d, not in some of them", len(x.policy.Zones))
	}
	return ""
}

func (x *translator) applyConstraint(s *core.JobSpec, c jobfile.Constraint, at string) {
	var values []string
	switch c.Operand {
	case "=", "==", "is":
		values = []string{c.RTarget}
	case "set_contains_any":
		for _, v := range strings.Split(c.RTarget, ",") {
			values = append(values, strings.TrimSpace(v))
		}
	default:
		x.refuse(at, "constraint with %q: only = and set_contains_any are served, on ${node.class} and ${node.datacenter}", c.Operand)
		return
	}
	if slices.Contains(values, "") {
		x.refuse(at, "constraint: an empty value matches nothing")
		return
	}
	switch c.LTarget {
	case "${node.class}":
		if s.Types != nil {
			// All constraints hold.
			values = slices.DeleteFunc(values, func(v string) bool { return !slices.Contains(s.Types, v) })
			if len(values) == 0 {
				x.refuse(at, "constraint: with the others it leaves no machine type")
				return
			}
		}
		s.Types = values
	case "${node.datacenter}":
		z := values[0]
		if len(values) > 1 {
			x.refuse(at, "constraint: a job runs in one zone or in any")
		} else if len(x.policy.Zones) > 0 && !slices.Contains(x.policy.Zones, z) {
			x.refuse(at, "constraint: there is no zone %q", z)
		} else if s.Zone != "" && s.Zone != z {
			x.refuse(at, "constraint: datacenters name another zone, %q", s.Zone)
		}
		s.Zone = z
	default:
		x.refuse(at, "constraint on %q: machines have ${node.class}, their type, and ${node.datacenter}, their zone", c.LTarget)
	}
}

// digest tells apart groups whose tasks would be or get something else.
func groupDigest(j *jobfile.Job, g *jobfile.Group, s *core.JobSpec) string {
	b, err := json.Marshal([]any{j.ID, j.Meta, g, s})
	if err != nil {
		panic(err) // it came from JSON
	}
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:16])
}
