// Package translate converts a Nomad job file to native jobs, one for each group, or to a list of
// refusals. A setting in the file has the same effect as in a native submission, or is refused, so
// neither form has an advantage. One table (table.go) lists which parts are served, ignored or
// refused; docs/NOMAD.md shows it.
package translate

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"aspenstall/internal/core"
	"aspenstall/internal/nomad/jobfile"
)

// DefaultNamespace is the namespace of a job that does not name one.
const DefaultNamespace = "default"

// Policy holds the properties and limits of a deployment, and those of the caller's team.
type Policy struct {
	Team      string   // team of the caller's token; "" to take the team from the file
	Zones     []string // all zones; empty if they are not known
	MHzPerCPU int      // clock rate that counts as one CPU
	ScratchMB int      // scratch space that every machine provides
	GPUs      []string // names of devices that are GPUs
	// MaxPriority returns the highest priority that a team may use; nil means no limit.
	MaxPriority func(team string) core.Priority
}

// Group is a group of the job file, converted to a native job.
type Group struct {
	Name   string
	Spec   core.JobSpec // without an ID
	Digest string       // hash of everything that affects its tasks; equal if nothing changed
}

// MetaPrefix is the prefix of the meta keys that are read.
const MetaPrefix = "aspenstall_"

// metaKeys holds the meta keys that are read, without their prefix, and the type of the value: 't' for
// a text, 'n' for a number, 'b' for a boolean.
var metaKeys = map[string]byte{
	"class": 't', "image": 't', "image_gb": 'n', "gang": 'b', "one_zone": 'b', "spot": 'b',
	"expect_s": 'n', "due_s": 'n', "checkpoint_s": 'n', "checkpoint_cost_s": 'n',
}

// Priority returns the native priority for a Nomad priority from 1 to 100.
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

// maxPriorityNumber holds the highest Nomad priority of each native priority.
var maxPriorityNumber = map[core.Priority]int{core.Low: 24, core.Normal: 74, core.High: 89, core.Production: 100}

// translator converts one job file.
type translator struct {
	file     *jobfile.File
	policy   Policy
	problems jobfile.Problems
}

// refuse adds a refusal at the position of a JSON pointer.
func (t *translator) refuse(pointer, format string, args ...any) {
	t.problems = append(t.problems, jobfile.Problem{Pos: t.file.Position(pointer), Text: fmt.Sprintf(format, args...)})
}

// Job converts a job file to native jobs. If anything is refused, it returns no jobs, and problems for
// all refusals.
func Job(f *jobfile.File, policy Policy) ([]Group, jobfile.Problems) {
	t := &translator{file: f, policy: policy}
	f.Each(func(e jobfile.Entry) {
		r, ok := rows[e.Path]
		if !ok || r.verdict == Refused && !isEmpty(e.Value) {
			t.refuse(e.Pointer, "%s: %s", strings.TrimPrefix(e.Path, "job."), r.note)
		}
	})
	team := t.checkJob()
	var out []Group
	names := map[string]bool{}
	for i := range f.Job.TaskGroups {
		g := &f.Job.TaskGroups[i]
		pointer := fmt.Sprintf("/TaskGroups/%d", i)
		if names[g.Name] {
			t.refuse(pointer, "group %q: given twice", g.Name)
		}
		names[g.Name] = true
		spec := t.translateGroup(g, pointer)
		spec.Team = team
		out = append(out, Group{g.Name, spec, groupDigest(f.Job, g, &spec)})
	}
	if len(t.problems) > 0 {
		return nil, t.problems.Sort()
	}
	return out, nil
}

// Warnings lists the settings in a file that are ignored, and the reason.
func Warnings(f *jobfile.File) jobfile.Problems {
	var ps jobfile.Problems
	f.Each(func(e jobfile.Entry) {
		if r := rows[e.Path]; r.verdict == Ignored && r.note != "" && !isEmpty(e.Value) {
			ps = append(ps, jobfile.Problem{Pos: f.Position(e.Pointer), Text: fmt.Sprintf("%s is ignored: %s", strings.TrimPrefix(e.Path, "job."), r.note)})
		}
	})
	return ps.Sort()
}

// isEmpty reports whether a value is the zero value of its type. Clients send every field, so such a
// value asks for nothing.
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

// checkJob checks the settings of the job as a whole, and returns its team.
func (t *translator) checkJob() string {
	j := t.file.Job
	switch {
	case j.ID == "":
		t.refuse("/ID", "the job has no name")
	case len(j.ID) > core.MaxNameBytes:
		t.refuse("/ID", "the job's name is longer than %d bytes", core.MaxNameBytes)
	case strings.ContainsAny(j.ID, " \x00"):
		t.refuse("/ID", "the job's name holds a space")
	}
	if j.Region != "global" {
		t.refuse("/Region", "region %q: only global is served", j.Region)
	}
	if j.Type != "batch" && j.Type != "service" {
		t.refuse("/Type", "type %s: runs a task on every machine, which is not served; use batch or service", j.Type)
	}
	if j.NodePool != "default" && j.NodePool != "all" {
		t.refuse("/NodePool", "node_pool %q: there is one pool; choose machine types by a constraint on ${node.class}", j.NodePool)
	}
	if j.AllAtOnce {
		t.refuse("/AllAtOnce", "all_at_once: not served; %sgang = true in meta asks for a gang", MetaPrefix)
	}
	if j.Stop {
		t.refuse("/Stop", "Stop: a job is stopped by deregistering it")
	}
	t.checkUpdate(j.Update, "/Update")
	t.checkReschedule(j.Reschedule, "/Reschedule")
	if len(j.TaskGroups) == 0 {
		t.refuse("", "the job has no group")
	}
	team := j.Namespace
	switch {
	case team == DefaultNamespace && t.policy.Team != "":
		team = t.policy.Team
	case team == DefaultNamespace:
		t.refuse("/Namespace", "namespace: name the team")
	case t.policy.Team != "" && team != t.policy.Team:
		t.refuse("/Namespace", "namespace %q: the token is another team's", team)
	}
	if p := Priority(j.Priority); t.policy.MaxPriority != nil {
		if limit := t.policy.MaxPriority(team); p > limit {
			t.refuse("/Priority", "priority %d is %v here, and team %s may ask for %v at most, which is up to %d", j.Priority, p, team, limit, maxPriorityNumber[limit])
		}
	}
	return team
}

// translateGroup returns the native job of a group.
func (t *translator) translateGroup(g *jobfile.Group, pointer string) core.JobSpec {
	j := t.file.Job
	s := core.JobSpec{Tasks: g.Count, Priority: Priority(j.Priority)}
	if j.Type == "service" {
		s.Kind = core.Service
	}
	if g.Name == "" || len(g.Name) > core.MaxNameBytes {
		t.refuse(pointer+"/Name", "group: want a name of at most %d bytes", core.MaxNameBytes)
	}
	if g.Count < 1 || g.Count > core.MaxTasks {
		t.refuse(pointer+"/Count", "count: want 1 to %d", core.MaxTasks)
	}
	t.checkRestart(g.RestartPolicy, pointer+"/RestartPolicy")
	t.checkReschedule(g.ReschedulePolicy, pointer+"/ReschedulePolicy")
	t.checkUpdate(g.Update, pointer+"/Update")
	if g.ShutdownDelay > 0 {
		t.refuse(pointer+"/ShutdownDelay", "shutdown_delay: a task is told to stop at once")
	}
	if g.PreventRescheduleOnLost {
		t.refuse(pointer+"/PreventRescheduleOnLost", "prevent_reschedule_on_lost: a lost machine's work starts elsewhere")
	}
	if d := g.EphemeralDisk; d != nil {
		t.checkScratch(d.SizeMB, pointer+"/EphemeralDisk/SizeMB")
		if d.Sticky || d.Migrate {
			t.refuse(pointer+"/EphemeralDisk", "ephemeral_disk: nothing outlasts its machine")
		}
	}
	switch {
	case len(g.Tasks) == 0:
		t.refuse(pointer, "group %q: has no task", g.Name)
		return s
	case len(g.Tasks) > 1:
		t.refuse(pointer+"/Tasks/1", "group %q: has %d tasks; one is served, so make a group of each", g.Name, len(g.Tasks))
	}
	task, taskPointer := &g.Tasks[0], pointer+"/Tasks/0"
	t.checkRestart(task.RestartPolicy, taskPointer+"/RestartPolicy")
	if task.ShutdownDelay > 0 {
		t.refuse(taskPointer+"/ShutdownDelay", "shutdown_delay: a task is told to stop at once")
	}
	if task.Driver == "" {
		t.refuse(taskPointer, "task %q: names no driver", task.Name)
	}
	s.Resources = t.translateResources(&task.Resources, taskPointer+"/Resources")
	t.applyMeta(&s, g, task, pointer, taskPointer)
	t.applyPlacement(&s, g, task, pointer, taskPointer)
	// The JSON of a job that was parsed before always contains the published default, so that value is
	// accepted as if it were not given.
	if task.KillTimeout > max(jobfile.Duration(s.CheckpointCost), jobfile.DefaultKillTimeout) {
		t.refuse(taskPointer+"/KillTimeout", "kill_timeout: a task is given %scheckpoint_cost_s (%v s) to save when it is stopped, and no longer", MetaPrefix, float64(s.CheckpointCost)/1e6)
	}
	return s
}

// checkScratch refuses more scratch space than every machine provides.
func (t *translator) checkScratch(mb int, pointer string) {
	if mb > t.policy.ScratchMB {
		t.refuse(pointer, "%d MB of scratch space: machines here promise %d", mb, t.policy.ScratchMB)
	}
}

// translateResources returns the resources of a task in native units, rounded up.
func (t *translator) translateResources(r *jobfile.Resources, pointer string) core.Resources {
	var n core.Resources
	switch {
	case r.Cores > 0 && r.CPU > 0:
		t.refuse(pointer+"/Cores", "resources: cpu and cores exclude each other")
	case r.Cores > 0:
		n.CPU = int64(r.Cores) * 1000
	default:
		mhz := int64(max(t.policy.MHzPerCPU, 1))
		n.CPU = (int64(r.CPU)*1000 + mhz - 1) / mhz
	}
	n.Mem = (int64(r.MemoryMB)*1000 + 1023) / 1024
	if r.MemoryMaxMB > 0 && r.MemoryMaxMB != r.MemoryMB {
		t.refuse(pointer+"/MemoryMaxMB", "memory_max: memory is not lent; ask for it as memory")
	}
	t.checkScratch(r.DiskMB, pointer+"/DiskMB")
	for i := range r.Devices {
		d := &r.Devices[i]
		if !slices.Contains(t.policy.GPUs, d.Name) {
			t.refuse(fmt.Sprintf("%s/Devices/%d", pointer, i), "device %q: only GPUs are served, as %s", d.Name, strings.Join(t.policy.GPUs, ", "))
		}
		n.GPU += int64(d.Count) * 1000
	}
	for _, a := range []int64{n.CPU, n.GPU, n.Mem} {
		if a > core.MaxTaskResource*1000 {
			t.refuse(pointer, "resources: out of range")
		}
	}
	return n
}

// applyMeta sets the parts of the native job that come from meta keys, since the job file has no
// attribute for them. A task's keys take precedence over its group's, and those over the job's.
func (t *translator) applyMeta(s *core.JobSpec, g *jobfile.Group, task *jobfile.Task, pointer, taskPointer string) {
	type entry struct{ value, pointer string }
	keys := map[string]entry{}
	take := func(m map[string]string, under string) {
		for k, v := range m {
			name, found := strings.CutPrefix(k, MetaPrefix)
			if !found {
				continue
			}
			e := entry{v, under + "/Meta/" + k}
			if metaKeys[name] == 0 {
				t.refuse(e.pointer, "meta: no such key %s; there are %s", k, strings.Join(MetaKeys(), ", "))
				continue
			}
			keys[name] = e
		}
	}
	take(t.file.Job.Meta, "")
	take(g.Meta, pointer)
	take(task.Meta, taskPointer)
	text := func(name string) string {
		e, ok := keys[name]
		if ok && (e.value == "" || len(e.value) > core.MaxNameBytes) {
			t.refuse(e.pointer, "%s%s: want a text of at most %d bytes", MetaPrefix, name, core.MaxNameBytes)
		}
		return e.value
	}
	flag := func(name string) bool {
		e, ok := keys[name]
		if ok && e.value != "true" && e.value != "false" {
			t.refuse(e.pointer, "%s%s: want true or false, not %q", MetaPrefix, name, e.value)
		}
		return e.value == "true"
	}
	number := func(name string, limit float64) (float64, bool) {
		e, ok := keys[name]
		if !ok {
			return 0, false
		}
		n, err := strconv.ParseFloat(e.value, 64)
		if err != nil || math.IsNaN(n) || n < 0 || n > limit {
			t.refuse(e.pointer, "%s%s: want a number from 0 to %.0f, not %q", MetaPrefix, name, limit, e.value)
			return 0, true
		}
		return n, true
	}
	require := func(name, why string) {
		if _, ok := keys[name]; !ok {
			t.refuse(taskPointer, "task %q: meta lacks %s%s, %s", task.Name, MetaPrefix, name, why)
		}
	}
	require("class", "the class of jobs that it belongs to")
	require("image_gb", "the size of its image")
	s.Class = text("class")
	s.Image = text("image")
	if _, named := keys["image"]; !named {
		s.Image, _ = task.Config["image"].(string)
		if s.Image == "" || len(s.Image) > core.MaxNameBytes {
			t.refuse(taskPointer+"/Config", "task %q: names no image of at most %d bytes, neither in config nor as %simage in meta", task.Name, core.MaxNameBytes, MetaPrefix)
		}
	}
	gb, _ := number("image_gb", core.MaxTaskResource)
	s.ImageMB = core.MilliUnits(gb)
	if flag("gang") {
		if s.Kind == core.Service {
			t.refuse(keys["gang"].pointer, "%sgang: a service is no gang", MetaPrefix)
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

// groupDigest returns a hash of everything that affects a group's tasks.
func groupDigest(j *jobfile.Job, g *jobfile.Group, s *core.JobSpec) string {
	b, err := json.Marshal([]any{j.ID, j.Meta, g, s})
	if err != nil {
		panic(err) // the value was decoded from JSON, so it can be encoded
	}
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:16])
}
