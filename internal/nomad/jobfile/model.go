package jobfile

import (
	"bytes"
	"encoding/json"
	"maps"

	"aspenstall/internal/core"
)

// Duration is a duration in microseconds. The JSON form has it in nanoseconds.
type Duration core.Micros

// MarshalJSON writes nanoseconds.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(int64(d) * 1000) }

// UnmarshalJSON reads nanoseconds.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var ns int64
	err := json.Unmarshal(b, &ns)
	*d = Duration(ns / 1000)
	return err
}

// Job is a job with the published defaults. Its JSON is the published form, so the fields of it and of
// the types below have the published names.
type Job struct {
	Region      string
	Namespace   string
	ID          string
	Name        string
	Type        string
	Priority    int
	AllAtOnce   bool
	Datacenters []string
	NodePool    string
	Constraints []Constraint
	Affinities  []Affinity
	Spreads     []Spread
	TaskGroups  []Group
	Update      *Update     `json:",omitempty"`
	Migrate     *Migrate    `json:",omitempty"`
	Reschedule  *Reschedule `json:",omitempty"`
	Meta        map[string]string
	Stop        bool
}

// Group is a group of tasks that are placed together. Only groups of one task are supported.
type Group struct {
	Name                      string
	Count                     int
	Constraints               []Constraint
	Affinities                []Affinity
	Spreads                   []Spread
	Tasks                     []Task
	RestartPolicy             *Restart    `json:",omitempty"`
	ReschedulePolicy          *Reschedule `json:",omitempty"`
	Update                    *Update     `json:",omitempty"`
	Migrate                   *Migrate    `json:",omitempty"`
	EphemeralDisk             *Disk       `json:",omitempty"`
	Meta                      map[string]string
	ShutdownDelay             Duration `json:",omitempty"`
	MaxRunDuration            Duration `json:",omitempty"`
	StopAfterClientDisconnect Duration `json:",omitempty"`
	MaxClientDisconnect       Duration `json:",omitempty"`
	PreventRescheduleOnLost   bool
}

// Task is a task of a group.
type Task struct {
	Name          string
	Driver        string
	User          string
	Config        map[string]any
	Env           map[string]string
	Meta          map[string]string
	Resources     Resources
	Constraints   []Constraint
	Affinities    []Affinity
	RestartPolicy *Restart `json:",omitempty"`
	KillTimeout   Duration
	KillSignal    string
	ShutdownDelay Duration
	Leader        bool
	Kind          string
	LogConfig     *Logs `json:",omitempty"`
}

// Resources are the resources that a task needs.
type Resources struct {
	CPU         int // MHz
	Cores       int
	MemoryMB    int // MiB
	MemoryMaxMB int
	DiskMB      int
	IOPS        int
	SecretsMB   int
	Devices     []Device
}

// Device is a type of device and the number that a task needs.
type Device struct {
	Name        string
	Count       int
	Constraints []Constraint
	Affinities  []Affinity
}

// Constraint restricts the machines that a task may run on.
type Constraint struct{ LTarget, RTarget, Operand string }

// Affinity is a preference for machines.
type Affinity struct {
	LTarget, RTarget, Operand string
	Weight                    int
}

// Spread distributes tasks over an attribute's values.
type Spread struct {
	Attribute    string
	Weight       int
	SpreadTarget []SpreadTarget
}

// SpreadTarget is the share of tasks for one value of the attribute.
type SpreadTarget struct {
	Value   string
	Percent int
}

// Update controls how a new version of a job replaces the old one.
type Update struct {
	Stagger, MinHealthyTime, HealthyDeadline, ProgressDeadline Duration
	MaxParallel, Canary                                        int
	HealthCheck                                                string
	AutoRevert, AutoPromote                                    bool
}

// Migrate controls how tasks leave a machine that is drained.
type Migrate struct {
	MaxParallel                     int
	HealthCheck                     string
	MinHealthyTime, HealthyDeadline Duration
}

// Restart controls how a failed task is restarted on its machine.
type Restart struct {
	Interval, Delay Duration
	Attempts        int
	Mode            string
	RenderTemplates bool
}

// Reschedule controls how a failed task is moved to other machines.
type Reschedule struct {
	Attempts                  int
	Interval, Delay, MaxDelay Duration
	DelayFunction             string
	Unlimited                 bool
}

// Disk is a group's scratch space.
type Disk struct {
	Sticky, Migrate bool
	SizeMB          int
}

// Logs controls how much of a task's output is kept.
type Logs struct {
	MaxFiles, MaxFileSizeMB int
	Enabled                 *bool `json:",omitempty"`
	Disabled                bool
}

const (
	second = 1_000_000_000 // nanoseconds
	minute = 60 * second
	hour   = 60 * minute
)

// DefaultKillTimeout is the published default of kill_timeout.
const DefaultKillTimeout = Duration(5 * core.Second)

// The published defaults. A block that a file does not give stays absent, since the scheduler's own
// rules apply without it. A block that is given gets the defaults of its missing fields.
var (
	jobDefaults   = map[string]any{"Region": "global", "Namespace": "default", "Type": "service", "Priority": 50, "Datacenters": []any{"*"}, "NodePool": "default"}
	groupDefaults = map[string]any{"Count": 1}
	taskDefaults  = map[string]any{"KillTimeout": int64(DefaultKillTimeout) * 1000, "KillSignal": "SIGINT", "Resources": map[string]any{}}
	// CPU has no default here: a task gives it in MHz or in cores, not both (jobWithDefaults).
	resourceDefaults   = map[string]any{"MemoryMB": 300}
	deviceDefaults     = map[string]any{"Count": 1}
	constraintDefaults = map[string]any{"Operand": "="}
	affinityDefaults   = map[string]any{"Operand": "=", "Weight": 50}
	updateDefaults     = map[string]any{
		"Stagger": 30 * second, "MaxParallel": 1, "HealthCheck": "checks", "MinHealthyTime": 10 * second,
		"HealthyDeadline": 5 * minute, "ProgressDeadline": 10 * minute,
	}
	migrateDefaults = map[string]any{"MaxParallel": 1, "HealthCheck": "checks", "MinHealthyTime": 10 * second, "HealthyDeadline": 5 * minute}
	restartDefaults = map[string]map[string]any{
		"service": {"Attempts": 2, "Delay": 15 * second, "Interval": 30 * minute, "Mode": "fail"},
		"batch":   {"Attempts": 3, "Delay": 15 * second, "Interval": 24 * hour, "Mode": "fail"},
	}
	rescheduleDefaults = map[string]map[string]any{
		"service": {"Delay": 30 * second, "DelayFunction": "exponential", "MaxDelay": hour, "Unlimited": true},
		"batch":   {"Attempts": 1, "Interval": 24 * hour, "Delay": 5 * second, "DelayFunction": "constant"},
	}
	diskDefaults = map[string]any{"SizeMB": 300}
	logDefaults  = map[string]any{"MaxFiles": 10, "MaxFileSizeMB": 10}
)

// withDefaults returns a copy of a block with the defaults of its missing fields.
func withDefaults(given any, defaults ...map[string]any) map[string]any {
	m, _ := given.(map[string]any)
	out := maps.Clone(m)
	if out == nil {
		out = map[string]any{}
	}
	for _, d := range defaults {
		for k, v := range d {
			if _, ok := out[k]; !ok {
				out[k] = v
			}
		}
	}
	return out
}

// mapList replaces each element of the list m[field] by f of the element.
func mapList(m map[string]any, field string, f func(any) map[string]any) {
	list, ok := m[field].([]any)
	if !ok {
		return
	}
	out := make([]any, len(list))
	for i, e := range list {
		out[i] = f(e)
	}
	m[field] = out
}

// fillBlock adds defaults to the block m[field] if there is one.
func fillBlock(m map[string]any, field string, defaults map[string]any) {
	if b, ok := m[field]; ok {
		m[field] = withDefaults(b, defaults)
	}
}

// jobWithDefaults returns a copy of a job's JSON form with the published defaults.
func jobWithDefaults(doc map[string]any) map[string]any {
	job := withDefaults(doc, jobDefaults)
	jobType, _ := job["Type"].(string)
	if restartDefaults[jobType] == nil {
		jobType = "service"
	}
	if job["Name"] == nil {
		job["Name"] = job["ID"]
	}
	fillConstraints := func(m map[string]any) {
		mapList(m, "Constraints", func(v any) map[string]any { return withDefaults(v, constraintDefaults) })
		mapList(m, "Affinities", func(v any) map[string]any { return withDefaults(v, affinityDefaults) })
	}
	fillPolicies := func(m map[string]any) {
		fillBlock(m, "Update", updateDefaults)
		fillBlock(m, "Migrate", migrateDefaults)
		fillBlock(m, "RestartPolicy", restartDefaults[jobType])
		fillBlock(m, "ReschedulePolicy", rescheduleDefaults[jobType])
		fillBlock(m, "Reschedule", rescheduleDefaults[jobType])
	}
	fillConstraints(job)
	fillPolicies(job)
	mapList(job, "TaskGroups", func(v any) map[string]any {
		group := withDefaults(v, groupDefaults)
		fillConstraints(group)
		fillPolicies(group)
		fillBlock(group, "EphemeralDisk", diskDefaults)
		mapList(group, "Tasks", func(v any) map[string]any {
			task := withDefaults(v, taskDefaults)
			fillConstraints(task)
			fillPolicies(task)
			fillBlock(task, "LogConfig", logDefaults)
			res := withDefaults(task["Resources"], resourceDefaults)
			if res["Cores"] == nil && res["CPU"] == nil {
				res["CPU"] = 100
			}
			mapList(res, "Devices", func(v any) map[string]any {
				d := withDefaults(v, deviceDefaults)
				fillConstraints(d)
				return d
			})
			task["Resources"] = res
			return task
		})
		return group
	})
	return job
}

// decode returns the typed job, with defaults.
func (f *File) decode() (*Job, error) {
	b, err := json.Marshal(jobWithDefaults(f.doc))
	if err != nil {
		return nil, err
	}
	return Decode(b)
}

// Decode decodes the JSON of a Job.
func Decode(b []byte) (*Job, error) {
	var j Job
	dec := json.NewDecoder(bytes.NewReader(b))
	// Numbers in a task's config are passed on as written, without loss of digits.
	dec.UseNumber()
	return &j, dec.Decode(&j)
}
