// Package scale runs real controllers on loopback, in real time, against thousands of hollow
// workers (simulated workers, many of them in one process), and measures the resource usage of each
// process through /proc.
package scale

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"olympos.io/encoding/edn"

	"aspenstall/internal/ednmap"
)

// Settings are the settings of one run. Durations are in seconds, rates per second.
type Settings struct {
	Seed        int
	Workers     int // in total, real and hollow
	RealWorkers int // workers that each have a process of their own
	PerProcess  int // maximum number of hollow workers in one process
	Controllers int // spread over the zones in turn
	Zones       []string
	Regions     []string // region of each zone, in the order of Zones
	Teams       int

	RunningTasks  int     // at peak load
	StartsPerS    float64 // of tasks of arrays, at peak load
	ServiceShare  float64 // share of the running tasks that belong to services
	ArrayTasks    int     // mean number of tasks of an array
	UrgentPerS    float64 // jobs of one task of high priority
	UrgentWithinS float64 // start objective of urgent tasks
	ChangesPerS   float64 // of the cluster configuration
	QuestionsPerS float64 // of one team about its largest job file, see questionStorm

	MachineCPUs float64
	TaskCPUs    float64
	WarmUpS     float64 // before the measurement
	MeasureS    float64

	ReportS, LeaseS, CancelS float64
	StateRPS, StateWriteRPS  float64
	StateValueKB             float64
	StateTxnOps              int
	CloudRPS, CloudListLagS  float64
	ControllerMemMB          float64
	ControllerConnections    int
	ControllerCPU            float64 // share of a core that a controller is kept to; 0: it is told that it has one, and not kept to it

	RegionDelayMS float64 // one way
	ZoneDelayMS   float64 // one way
	Loss          float64 // share of the writes between regions that are lost and sent again
	ResendMS      float64 // added delay of a lost write

	Troubles []Fault
}

// Fault is a fault to inject at a time, in seconds from the start of the measurement.
type Fault struct {
	Kind  string
	AtS   float64
	ForS  float64
	Count int
}

// Kinds of faults.
const (
	FaultLeaderKilled       = "leader-ends"    // the leader's process is killed and restarted after ForS
	FaultRack               = "rack"           // Count machines of one zone fail at once
	FaultZonePartition      = "zone-cut"       // a zone is partitioned from the others for ForS
	FaultRegionPartition    = "regions-apart"  // the regions are partitioned from each other for ForS
	FaultRollingReplacement = "replacements"   // Count machines fail one after the other, spread over ForS
	FaultCommandCopies      = "command-copies" // for ForS, a copy of each direct command arrives again later
)

// faultKinds lists all kinds of faults.
var faultKinds = []string{FaultLeaderKilled, FaultRack, FaultZonePartition, FaultRegionPartition, FaultRollingReplacement, FaultCommandCopies}

// Limits of a run, which has one machine for all its processes.
const (
	maxWorkers   = 20_000
	maxProcesses = 200
)

// DefaultSettings returns the settings of a run of the planned fleet without faults.
func DefaultSettings() Settings {
	return Settings{
		Seed: 1, Workers: 2900, RealWorkers: 24, PerProcess: 300, Controllers: 3,
		Zones: []string{"a1", "a2", "a3", "b1", "b2", "b3"}, Regions: []string{"a", "a", "a", "b", "b", "b"}, Teams: 110,
		RunningTasks: 19_000, StartsPerS: 150, ServiceShare: 0.55, ArrayTasks: 75, UrgentPerS: 1, UrgentWithinS: 1.6,
		MachineCPUs: 28, TaskCPUs: 4, WarmUpS: 120, MeasureS: 120,
		ReportS: 5, LeaseS: 26.5, CancelS: 46.5,
		StateRPS: 780, StateWriteRPS: 330, StateValueKB: 16, StateTxnOps: 12, CloudRPS: 11, CloudListLagS: 10,
		ControllerMemMB: 600, ControllerConnections: 6200,
		RegionDelayMS: 15, ZoneDelayMS: 0.5, ResendMS: 200,
	}
}

// LoadSettings reads a run's settings, an S-expression, from a file and checks them. Settings that
// the file does not contain keep their defaults.
func LoadSettings(path string) (Settings, error) {
	s := DefaultSettings()
	b, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	if err := ednmap.Parse(b, s.parsers()); err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	if err := s.check(); err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// parsers returns the parser of each setting by its key.
func (s *Settings) parsers() map[string]ednmap.Parser {
	return map[string]ednmap.Parser{
		"seed":                   ednmap.Integer(0, 1e9, &s.Seed),
		"workers":                ednmap.Integer(1, maxWorkers, &s.Workers),
		"real-workers":           ednmap.Integer(0, 100, &s.RealWorkers),
		"per-process":            ednmap.Integer(1, 2000, &s.PerProcess),
		"controllers":            ednmap.Integer(1, 10, &s.Controllers),
		"zones":                  ednmap.Strings(&s.Zones),
		"regions":                ednmap.Strings(&s.Regions),
		"teams":                  ednmap.Integer(1, 1000, &s.Teams),
		"running-tasks":          ednmap.Integer(1, 1e6, &s.RunningTasks),
		"starts-per-s":           ednmap.Number(0.1, 1e4, &s.StartsPerS),
		"service-share":          ednmap.Number(0, 0.95, &s.ServiceShare),
		"array-tasks":            ednmap.Integer(1, 10_000, &s.ArrayTasks),
		"urgent-per-s":           ednmap.Number(0, 100, &s.UrgentPerS),
		"changes-per-s":          ednmap.Number(0, 100, &s.ChangesPerS),
		"question-storm-per-s":   ednmap.Number(0, 1000, &s.QuestionsPerS),
		"urgent-within-s":        ednmap.Number(0.1, 60, &s.UrgentWithinS),
		"machine-cpus":           ednmap.Number(1, 1000, &s.MachineCPUs),
		"task-cpus":              ednmap.Number(0.1, 1000, &s.TaskCPUs),
		"warm-up-s":              ednmap.Number(1, 3600, &s.WarmUpS),
		"measure-s":              ednmap.Number(1, 3600, &s.MeasureS),
		"report-s":               ednmap.Number(0.5, 60, &s.ReportS),
		"lease-s":                ednmap.Number(2, 600, &s.LeaseS),
		"cancel-s":               ednmap.Number(2, 600, &s.CancelS),
		"state-rps":              ednmap.Number(10, 1e5, &s.StateRPS),
		"state-write-rps":        ednmap.Number(5, 1e5, &s.StateWriteRPS),
		"state-value-kb":         ednmap.Number(1, 1024, &s.StateValueKB),
		"state-txn-ops":          ednmap.Integer(4, 1000, &s.StateTxnOps),
		"cloud-rps":              ednmap.Number(1, 1000, &s.CloudRPS),
		"cloud-list-lag-s":       ednmap.Number(0, 600, &s.CloudListLagS),
		"controller-mem-mb":      ednmap.Number(64, 4096, &s.ControllerMemMB),
		"controller-connections": ednmap.Integer(64, 100_000, &s.ControllerConnections),
		"controller-cpu":         ednmap.Number(0.05, 1, &s.ControllerCPU),
		"region-delay-ms":        ednmap.Number(0, 1000, &s.RegionDelayMS),
		"zone-delay-ms":          ednmap.Number(0, 1000, &s.ZoneDelayMS),
		"loss":                   ednmap.Number(0, 0.5, &s.Loss),
		"resend-ms":              ednmap.Number(1, 5000, &s.ResendMS),
		"troubles":               parseFaults(&s.Troubles),
	}
}

// parseFaults returns the parser of the list of faults. Count is 1 by default.
func parseFaults(faults *[]Fault) ednmap.Parser {
	return func(b edn.RawMessage) error {
		var items []edn.RawMessage
		if err := edn.Unmarshal(b, &items); err != nil {
			return errors.New("want a list of troubles")
		}
		*faults = nil
		for i, raw := range items {
			t := Fault{Count: 1}
			err := ednmap.ParseMap(raw, map[string]ednmap.Parser{
				"kind": ednmap.String(&t.Kind), "at-s": ednmap.Number(0, 3600, &t.AtS),
				"for-s": ednmap.Number(0, 3600, &t.ForS), "count": ednmap.Integer(1, maxWorkers, &t.Count),
			})
			if err == nil && !slices.Contains(faultKinds, t.Kind) {
				err = fmt.Errorf(":kind: want one of %q, not %q", faultKinds, t.Kind)
			}
			if err != nil {
				return fmt.Errorf("trouble %d: %w", i+1, err)
			}
			*faults = append(*faults, t)
		}
		return nil
	}
}

// check returns an error for settings that contradict each other or exceed the limits of a run.
func (s *Settings) check() error {
	switch {
	case len(s.Regions) != len(s.Zones):
		return fmt.Errorf(":regions: want one for each of %d zones, not %d", len(s.Zones), len(s.Regions))
	case len(s.Zones) == 0 || len(s.Zones) > 12:
		return errors.New(":zones: want 1 to 12")
	case s.Teams < 2:
		return errors.New(":teams: want at least 2: one is for urgent jobs")
	case s.RealWorkers > s.Workers:
		return errors.New(":real-workers: more than :workers")
	case s.processes() > maxProcesses:
		return fmt.Errorf(":per-process: %d processes in all, more than %d", s.processes(), maxProcesses)
	case s.LeaseS < 2*s.ReportS:
		return errors.New(":lease-s: less than twice :report-s")
	case s.TaskCPUs > s.MachineCPUs:
		return errors.New(":task-cpus: more than :machine-cpus")
	}
	if capacity := int(s.MachineCPUs/s.TaskCPUs) * s.Workers; s.RunningTasks > capacity {
		return fmt.Errorf(":running-tasks: more than the %d that the fleet has capacity for", capacity)
	}
	return nil
}

// hollowProcesses returns the number of processes for the hollow workers.
func (s *Settings) hollowProcesses() int {
	return (s.Workers - s.RealWorkers + s.PerProcess - 1) / s.PerProcess
}

// processes returns the number of processes of a run, without the run's own.
func (s *Settings) processes() int { return s.Controllers + s.RealWorkers + s.hollowProcesses() }

// region returns the region of a zone, or "" for an unknown one.
func (s *Settings) region(zone string) string {
	if i := slices.Index(s.Zones, zone); i >= 0 {
		return s.Regions[i]
	}
	return ""
}

// arrayRunS returns the mean run time of an array's task in seconds that gives RunningTasks at the
// rate StartsPerS.
func (s *Settings) arrayRunS() float64 {
	return float64(s.RunningTasks) * (1 - s.ServiceShare) / s.StartsPerS
}

// seconds converts seconds to a Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ForWorkers returns the settings scaled to another number of workers. Running tasks, starts, the
// request rates of the state service and the connections of a controller scale with it.
func (s Settings) ForWorkers(workers int) (Settings, error) {
	factor := float64(workers) / float64(s.Workers)
	s.Workers = workers
	s.RealWorkers = min(s.RealWorkers, workers)
	s.RunningTasks = max(1, int(float64(s.RunningTasks)*factor))
	s.StartsPerS *= factor
	s.StateRPS *= factor
	s.StateWriteRPS *= factor
	s.ControllerConnections = max(int(float64(s.ControllerConnections)*factor), 300)
	return s, s.check()
}
