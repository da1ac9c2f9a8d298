package scale

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"olympos.io/encoding/edn"
)

// assertAllFieldsSet reports every field in v, at any depth, that has its zero value.
func assertAllFieldsSet(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			assertAllFieldsSet(t, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Pointer:
		if v.IsNil() {
			t.Errorf("%s is not set", path)
			return
		}
		assertAllFieldsSet(t, path, v.Elem())
	case reflect.Slice:
		if v.Len() == 0 {
			t.Errorf("%s is empty", path)
			return
		}
		assertAllFieldsSet(t, path+"[0]", v.Index(0))
	case reflect.Map:
		if v.Len() == 0 {
			t.Errorf("%s is empty", path)
		}
		for _, k := range v.MapKeys() {
			assertAllFieldsSet(t, path+"["+k.String()+"]", v.MapIndex(k))
		}
	default:
		if v.IsZero() {
			t.Errorf("%s is not set", path)
		}
	}
}

// settingsWithAllFields returns the settings of testdata/settings.sexp: no field is zero.
func settingsWithAllFields() Settings {
	return Settings{
		Seed: 2, Workers: 300, RealWorkers: 3, PerProcess: 40, Controllers: 5, Zones: []string{"z1", "z2"}, Regions: []string{"r1", "r2"}, Teams: 6,
		RunningTasks: 70, StartsPerS: 8.5, ServiceShare: 0.25, ArrayTasks: 9, UrgentPerS: 10.5, UrgentWithinS: 11.5, ChangesPerS: 12.5, QuestionsPerS: 13.5,
		MachineCPUs: 130.5, TaskCPUs: 14.5, WarmUpS: 15.5, MeasureS: 16.5,
		ReportS: 17.5, LeaseS: 180.5, CancelS: 19.5,
		StateRPS: 20.5, StateWriteRPS: 21.5, StateValueKB: 22.5, StateTxnOps: 23, CloudRPS: 24.5, CloudListLagS: 25.5,
		ControllerMemMB: 260.5, ControllerConnections: 270, ControllerCPU: 0.375,
		RegionDelayMS: 28.5, ZoneDelayMS: 29.5, Loss: 0.125, ResendMS: 30.5,
		Troubles: []Fault{
			{Kind: "leader-ends", AtS: 31.5, ForS: 32.5, Count: 33}, {Kind: "rack", AtS: 34.5, Count: 1},
			{Kind: "zone-cut", Count: 1}, {Kind: "regions-apart", Count: 1}, {Kind: "replacements", Count: 1},
		},
	}
}

// TestSettingsNames guards the names of settings: a file with every key is read in full.
func TestSettingsNames(t *testing.T) {
	const path = "testdata/settings.sexp"
	s, err := LoadSettings(path)
	if want := settingsWithAllFields(); err != nil || !reflect.DeepEqual(s, want) {
		t.Errorf("got %+v, %v, want %+v", s, err, want)
	}
	assertAllFieldsSet(t, "settings", reflect.ValueOf(s))
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var given map[edn.Keyword]edn.RawMessage
	if err := edn.Unmarshal(b, &given); err != nil {
		t.Fatal(err)
	}
	for name := range s.parsers() {
		if _, ok := given[edn.Keyword(name)]; !ok {
			t.Errorf(":%s is not in the file", name)
		}
	}
	if want := []string{"leader-ends", "rack", "zone-cut", "regions-apart", "replacements", "command-copies"}; !slices.Equal(faultKinds, want) {
		t.Errorf("kinds of faults %q, want %q", faultKinds, want)
	}
}

// TestResultNames guards the format of result files: a result with every field set is written and
// read as committed results were.
func TestResultNames(t *testing.T) {
	r := &Result{
		Settings: settingsWithAllFields(), Version: "v", Date: "d", Cores: 1,
		MeasuredS: 2.5, Workers: 3, RunningTasks: 4.5, Starts: 5, StartsPerS: 6.5, Stopped: 7, LeasesLost: 8, JobsSubmitted: 9,
		JobsByClass: map[string]int{"c": 10}, SubmissionsFailed: 11, Queries: 12, QueriesUnanswered: 13,
		Usage: []Usage{
			{Role: "leader", Name: "n", Workers: 14, Cores: 15.5, PeakCores: 16.5, MemMB: 17.5, PeakMemMB: 18.5, Threads: 19, Sockets: 20},
		},
		MessageCounts: map[string]MessageCount{"k": {Requests: 21, BytesIn: 22, BytesOut: 23}}, StateWrites: map[string]int64{"p": 24},
		WorkerTraffic: WorkerTraffic{Workers: 25, Reports: 26, ReportBytesSent: 27, ReportBytesReceived: 28, Commands: 29, CommandBytesSent: 30, CommandBytesReceived: 31, CopiedCommands: 69},
		PeerTraffic:   TrafficBytes{Sent: 32, Received: 33}, StateTraffic: TrafficBytes{Sent: 34, Received: 35}, CloudTraffic: TrafficBytes{Sent: 36, Received: 37},
		Records: 38, RecordBytes: 39,
		SubmissionLatency: Latency{Count: 40, P50: 41.5, P99: 42.5, Max: 43.5}, UrgentLatency: Latency{Count: 44, P50: 45.5, P99: 46.5, Max: 47.5}, UrgentLate: 48,
		ConfigLatency: Latency{Count: 49, P50: 50.5, P99: 51.5, Max: 52.5}, ConfigApplied: 53, ConfigFailed: 54, ConfigUnconfirmed: 55,
		Storm: &StormResult{Answered: 65, Refused: 66, Unanswered: 67, Left: 68},
		Faults: []FaultResult{
			{Fault: Fault{Kind: "rack", AtS: 56.5, ForS: 57.5, Count: 58}, NextLeaderS: 59.5, FirstStartS: 60.5, LeasesLost: 61},
		},
		Violations: []string{"b"}, UnexpectedExits: 62, PeakTotalMB: 63.5, Processes: 64,
	}
	assertAllFieldsSet(t, "result", reflect.ValueOf(*r))
	const golden = "testdata/result.json"
	path := filepath.Join(t.TempDir(), "result.json")
	if err := r.Write(path); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(golden)
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("result file %s, want %s, %v", got, want, err)
	}
	if reread, err := ReadResult(golden); err != nil || !reflect.DeepEqual(reread, r) {
		t.Errorf("golden file is read as %+v, %v", reread, err)
	}
}

// TestEnumValues guards the strings of roles, faults, events and commands, which occur in settings,
// in results and in the protocol with worker hosts.
func TestEnumValues(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want any
	}{
		{"roles", []Role{RoleLeader, RoleFollower, RoleWorker, RoleHollow, RoleRun}, []Role{"leader", "follower", "worker", "hollow", "run"}},
		{"fault kinds", []string{FaultLeaderKilled, FaultRack, FaultZonePartition, FaultRegionPartition, FaultRollingReplacement, FaultCommandCopies},
			[]string{"leader-ends", "rack", "zone-cut", "regions-apart", "replacements", "command-copies"}},
		{"events", []EventKind{EventStarted, EventLeft, EventDone, EventOrdered, EventForgottenStart, EventExpired, EventTraffic},
			[]EventKind{"started", "left", "done", "ordered", "forgotten-start", "expired", "traffic"}},
		{"commands", []CommandKind{CommandStart, CommandKill, CommandLeaderZone, CommandPartitionZone, CommandPartitionRegions, CommandCopyCommands},
			[]CommandKind{"start", "die", "leader", "cut-zone", "apart", "copies"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if !reflect.DeepEqual(c.got, c.want) {
				t.Errorf("got %v, want %v", c.got, c.want)
			}
		})
	}
}
