// Package scale runs real controllers on loopback, in real time, against thousands of
// hollow workers, and measures what each process spends from outside.
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

// Settings are those of one run. Durations are in seconds, rates per second.
type Settings struct {
	Seed        int
	Workers     int // all together
	RealWorkers int // of them, each in a process of its own
	PerProcess  int // hollow workers in one process, at most
	Controllers int // one zone after the other
	Zones       []string
	Regions     []string // of the zones, in their order
	Teams       int

	RunningTasks  int     // at the load's peak
	StartsPerS    float64 // of arrays' tasks, at the peak
	ServiceShare  float64 // of the running tasks that belong to services
	ArrayTasks    int     // of an array, on the average
	UrgentPerS    float64 // single tasks of high priority
	UrgentWithinS float64 // that one is to start within
	ChangesPerS   float64 // of configuration

	MachineCPUs float64
	TaskCPUs    float64
	WarmUpS     float64 // until measuring begins
	MeasureS    float64

	ReportS, LeaseS, CancelS float64
	StateRPS, StateWriteRPS  float64
	StateValueKB             float64
	StateTxnOps              int
	CloudRPS, CloudListLagS  float64
	ControllerMemMB          float64
	ControllerConnections    int

	RegionDelayMS float64 // one way
	ZoneDelayMS   float64 // one way
	Loss          float64 // of the writes between regions, each of which is sent again
	ResendMS      float64 // after a loss

	Troubles []Fault
}

// Trouble is something that goes wrong at a time, counted from when measuring begins.
type Fault struct {
	Kind  string
	AtS   float64
	ForS  float64
	Count int
}

// Kinds of troubles.
const (
	FaultLeaderKilled       = "leader-ends"   // and is back after ForS
	FaultRack               = "rack"          // Count machines of one zone stop
	FaultZonePartition      = "zone-cut"      // a zone is cut off from the others for ForS
	FaultRegionPartition    = "regions-apart" // nothing crosses between regions for ForS
	FaultRollingReplacement = "replacements"  // Count machines stop, one after the other during ForS
)

var faultKinds = []string{FaultLeaderKilled, FaultRack, FaultZonePartition, FaultRegionPartition, FaultRollingReplacement}

// Limits of a run on one machine.
const (
	maxWorkers   = 20_000
	maxProcesses = 200
)

// DefaultSettings is a run of the plan's fleet without troubles.
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

// LoadSettings reads and checks a run's settings: one S-expression. What it does not name
// keeps its default.
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
		"region-delay-ms":        ednmap.Number(0, 1000, &s.RegionDelayMS),
		"zone-delay-ms":          ednmap.Number(0, 1000, &s.ZoneDelayMS),
		"loss":                   ednmap.Number(0, 0.5, &s.Loss),
		"resend-ms":              ednmap.Number(1, 5000, &s.ResendMS),
		"troubles":               parseFaults(&s.Troubles),
	}
}

func parseFaults(to *[]Fault) ednmap.Parser {
	return func(b edn.RawMessage) error {
		var list []edn.RawMessage
		if err := edn.Unmarshal(b, &list); err != nil {
			return errors.New("want a list of troubles")
		}
		*to = nil
		for i, raw := range list {
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
			*to = append(*to, t)
		}
		return nil
	}
}

func (s *Settings) check() error {
	switch {
	case len(s.Regions) != len(s.Zones):
		return fmt.Errorf(":regions: want one for each of %d zones, not %d", len(s.Zones), len(s.Regions))
	case len(s.Zones) == 0 || len(s.Zones) > 12:
		return errors.New(":zones: want 1 to 12")
	case s.Teams < 2:
		return errors.New(":teams: want two at least: one is for urgent work")
	case s.RealWorkers > s.Workers:
		return errors.New(":real-workers: more than :workers")
	case s.processes() > maxProcesses:
		return fmt.Errorf(":per-process: %d processes in all, more than %d", s.processes(), maxProcesses)
	case s.LeaseS < 2*s.ReportS:
		return errors.New(":lease-s: less than two of :report-s")
	case s.TaskCPUs > s.MachineCPUs:
		return errors.New(":task-cpus: more than :machine-cpus")
	}
	if room := int(s.MachineCPUs/s.TaskCPUs) * s.Workers; s.RunningTasks > room {
		return fmt.Errorf(":running-tasks: there is room for %d", room)
	}
	return nil
}

// hollowProcesses is how many processes the hollow workers share.
func (s *Settings) hollowProcesses() int {
	return (s.Workers - s.RealWorkers + s.PerProcess - 1) / s.PerProcess
}

// processes counts all but the run's own.
func (s *Settings) processes() int { return s.Controllers + s.RealWorkers + s.hollowProcesses() }

// region is that of a zone.
func (s *Settings) region(zone string) string {
	if i := slices.Index(s.Zones, zone); i >= 0 {
		return s.Regions[i]
	}
	return ""
}

// arrayRunS is for how long an array's task runs on the average, so that the running tasks
// are as many as wanted at the starts that are wanted.
func (s *Settings) arrayRunS() float64 {
	return float64(s.RunningTasks) * (1 - s.ServiceShare) / s.StartsPerS
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ForWorkers is the same run with another number of workers: running tasks, starts, and the
// rates and sizes that a deployment grants its controllers go with it.
func (s Settings) ForWorkers(workers int) (Settings, error) {
	times := float64(workers) / float64(s.Workers)
	s.Workers = workers
	s.RealWorkers = min(s.RealWorkers, workers)
	s.RunningTasks = max(1, int(float64(s.RunningTasks)*times))
	s.StartsPerS *= times
	s.StateRPS *= times
	s.StateWriteRPS *= times
	s.ControllerConnections = max(int(float64(s.ControllerConnections)*times), 300)
	return s, s.check()
}
