package wire

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"aspenstall/internal/clusterconfig"
	"aspenstall/internal/core"
	"aspenstall/internal/golden"
)

// notComputed passes over times that are computed and not stored: since when a partition is there, and
// from when on a job is ready.
func notComputed(parent reflect.Type, field reflect.StructField) bool {
	return field.Name == "Elapsed" && parent == reflect.TypeFor[core.PartitionRecord]() || field.Name == "ReadyAt" && parent == reflect.TypeFor[core.Chain]()
}

// ptr returns a pointer to v.
func ptr[T any](v T) *T { return &v }

// rawString returns a string's MessagePack form.
func rawString(s string) msgpack.RawMessage {
	b, _ := msgpack.Marshal(s)
	return b
}

// TestNamesInMessages checks that every message is encoded as the golden one and decoded from it.
func TestNamesInMessages(t *testing.T) {
	for _, c := range []struct {
		name  string
		value any // a pointer to it
	}{
		{"job state", &JobState{"job-1", "running", 2, 3}},
		{"accepted", &AcceptedResponse{ID: "job-1", State: "pending"}},
		{"report", &report{
			Machine: "m", Address: "a:1", Type: "ty", Zone: "z", Spot: true, Session: 1, Seq: 2, Token: 3, SpotNotice: ptr(4.5),
			Tasks: []taskReport{{Task: "job-5/6", Attempt: 7, State: "running", Cause: "alone", Checkpointed: true}},
		}},
		{"commands", &commands{Token: 1, Session: 2, Commands: []command{{Op: "halt", Task: "job-3/4", Attempt: 5, GracePeriod: ptr(6.5)}}}},
		{"redirect", &Redirect{Node: "n"}},
		{"leader", &LeaderRecord{Node: "n", RaiseCount: 1}},
		{"catalog record", &CatalogRecord{Raw: rawString("r")}},
		{"machine type", &machineType{
			Name: "l", CPUs: 1.5, GPUs: 2.5, MemGB: 3.5, CacheGB: 4.5, FetchGBps: 5.5, Price: 6.5, SpotPrice: 7.5, BootS: 8.5, Zones: []string{"z"},
		}},
		{"listed machine", &listedMachine{ID: "m", Address: "a:1", Type: "ty", Zone: "z", Spot: true, State: "booting", AgeS: 1.5}},
		{"rent request", &RentRequest{RequestID: "r", Type: "ty", Zone: "z", Spot: true, Count: 1}},
		{"machine names", &MachineNames{Machines: []string{"m"}}},
		{"entries", &Entries{Items: []Entry{{Key: "k", Value: rawString("v"), ModRevision: 1, Lease: 2}}, More: true, Revision: 3}},
		{"changes", &Changes{Revision: 1, Events: []Change{{Put: "p", Delete: "d", Value: rawString("v"), ModRevision: 2}}}},
		{"transaction", &Txn{If: []Cond{{Key: "k", ModRevision: 1}}, Then: []Write{{Put: "p", Delete: "d", Value: rawString("v"), Lease: 2}}}},
		{"transaction's result", &TxnResult{Revision: 1, Failed: []string{"f"}, Error: "e"}},
		{"lease request", &LeaseRequest{TTL: 1}},
		{"lease", &Lease{ID: 1}},
		{"configuration's head", &configHead{
			Format: 1, Version: 2, Pages: []string{"p"}, RecentChanges: []configChange{{ID: "i", Version: 3}},
			IdleReturnS: ptr(4.5), RefusalPauseS: ptr(5.5), HoldS: ptr(6.5), QuarantineS: ptr(7.5), SpareTasks: ptr(8),
		}},
		{"configuration's page", &configPage{Teams: []configTeam{{Name: "t", MinCPU: 4, MaxCPU: 5, MinGPU: 6, MaxGPU: 7, PriorityCap: 2, Draining: true}}}},
		{"configuration's acknowledgement", &configAck{Format: 1, HeadRevision: 2, Version: 3, Peers: []string{"p"}, Error: "e", OlderPeers: []string{"q"}}},
		{"job", &jobRecord{
			Phase: 2, SubmittedAt: 10, Class: "cl", Team: "te", Kind: 1, Priority: 3, Tasks: 11, CPU: 12, GPU: 13, Mem: 14, Types: []string{"ty"}, Zone: "z",
			OneZone: true, Spread: true, Spot: true, Image: "im", ImageMB: 15, EstimatedRun: 16, CheckpointInterval: 17, CheckpointCost: 18, Deadline: 19, AcceptedRevision: 20, EndedAt: 21, Dependencies: []string{"job-22"},
		}},
		{"machines", &machineGroupRecord{Machines: []machineRecord{{Name: "m", Address: "a:1", Type: "ty", Zone: "z", Spot: true}}}},
		{"rent", &rentalRecord{RequestID: "r", Type: "ty", Zone: "z", Spot: true, Count: 1, Machines: []string{"m"}, RentedAt: 2}},
		{"range", &completionRecord{Job: "job-1", Chunk: 2, Ranges: []int{3, 4}}},
		{"open", &startedRecord{Job: "job-1"}},
		{"kept", &partitionRecord{Zone: "z", BeganAt: 1, Machines: []retainedMachine{{Name: "m", Tasks: []retainedTask{{Job: "job-2", Index: 3, Attempt: 4}}}}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			golden.AllSet(t, c.name, c.value, notComputed)
			b, err := Marshal(c.value)
			if err != nil {
				t.Fatal(err)
			}
			golden.Compare(t, c.name, b)
			back := reflect.New(reflect.TypeOf(c.value).Elem()).Interface()
			if err := Unmarshal(golden.Pack(t, golden.Message(t, c.name)), back); err != nil || !reflect.DeepEqual(back, c.value) {
				t.Errorf("the golden message decodes as %+v, %v", back, err)
			}
		})
	}
}

// TestNamesOfRecords checks that the records of other packages are encoded as the golden messages
// and decoded from them.
func TestNamesOfRecords(t *testing.T) {
	job := core.JobRecord{
		Phase: core.Cancelled, SubmittedAt: 10, Revision: 9, AcceptedRevision: 20, EndedAt: 21,
		Spec: core.JobSpec{
			ID: "job-1", Class: "cl", Team: "te", Kind: core.Gang, Priority: core.Production, Tasks: 11, Resources: core.Resources{CPU: 12, GPU: 13, Mem: 14},
			Types: []string{"ty"}, Zone: "z", OneZone: true, Spread: true, Spot: true, Image: "im", ImageMB: 15,
			EstimatedRun: 16, CheckpointInterval: 17, CheckpointCost: 18, Deadline: 19, Chain: &core.Chain{Dependencies: []string{"job-22"}},
		},
	}
	head := clusterconfig.Head{
		Format: 1, Version: 2, Pages: []string{"c/config/page/p"}, RecentChanges: []clusterconfig.AppliedChange{{ID: "i", Version: 3}},
		Tuning: clusterconfig.Tuning{IdleReturnS: ptr(4.5), RefusalPauseS: ptr(5.5), HoldS: ptr(6.5), QuarantineS: ptr(7.5), SpareTasks: ptr(8)},
	}
	page := clusterconfig.Page{Teams: map[string]clusterconfig.Team{
		"t": {Min: core.Resources{CPU: 4, GPU: 6}, Max: core.Resources{CPU: 5, GPU: 7}, PriorityCap: core.High, Draining: true},
	}}
	ack := clusterconfig.Ack{Format: 1, HeadRevision: 2, Version: 3, Peers: []string{"p"}, Error: "e", OlderPeers: []string{"q"}}
	record := func(v any) func() ([]byte, error) { return func() ([]byte, error) { return EncodeRecord(v) } }
	machines := core.MachineGroupRecord{Key: "k", Machines: []core.MachineRecord{{Name: "m", Address: "a:1", Type: "ty", Zone: "z", Spot: true}}}
	rent := core.RentalRecord{RequestID: "r", Type: "ty", Zone: "z", Spot: true, Count: 1, Machines: []string{"m"}, RentedAt: 2}
	ranges := core.CompletionRecord{Key: "k", Job: "job-1", Chunk: 2, Ranges: []int{3, 4}}
	kept := core.PartitionRecord{Key: "k", Zone: "z", BeganAt: 1, Machines: []core.RetainedMachine{{Name: "m", Tasks: []core.TaskAttempt{{Job: "job-2", Index: 3, Attempt: 4}}}}}
	for _, c := range []struct {
		name   string
		value  any
		encode func() ([]byte, error)
		decode func(b []byte) (any, error) // nil if no decoder exists
	}{
		{"job", job, func() ([]byte, error) { return EncodeJob(&job) }, func(b []byte) (any, error) { return DecodeJob("job-1", b, 9) }},
		{"machines", machines, record(machines), func(b []byte) (any, error) { return DecodeMachineGroup("k", b) }},
		{"rent", rent, record(rent), func(b []byte) (any, error) { return DecodeRental(b) }},
		{"range", ranges, record(ranges), func(b []byte) (any, error) { return DecodeCompletion("k", b) }},
		{"kept", kept, record(kept), func(b []byte) (any, error) { return DecodePartition("k", b) }},
		{"open", core.StartedRecord{Job: "job-1"}, record(core.StartedRecord{Job: "job-1"}), nil},
		{"configuration's head", head, func() ([]byte, error) { return ConfigCodec{}.Encode(clusterconfig.Write{Head: &head}) },
			func(b []byte) (any, error) { return DecodeConfigHead(b) }},
		{"configuration's page", page, func() ([]byte, error) { return ConfigCodec{}.Encode(clusterconfig.Write{Page: &page}) },
			func(b []byte) (any, error) { return DecodeConfigPage(b) }},
		{"configuration's acknowledgement", ack, func() ([]byte, error) { return EncodeConfigAck(&ack) },
			func(b []byte) (any, error) { return DecodeConfigAck(b) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			golden.AllSet(t, c.name, c.value, notComputed)
			b, err := c.encode()
			if err != nil {
				t.Fatal(err)
			}
			golden.Compare(t, c.name, b)
			if c.decode == nil {
				return
			}
			if back, err := c.decode(golden.Pack(t, golden.Message(t, c.name))); err != nil || !reflect.DeepEqual(back, c.value) {
				t.Errorf("the golden message decodes as %+v, %v, want %+v", back, err, c.value)
			}
		})
	}
}

// TestDecodedNames checks the values that the parsers read from the golden messages.
func TestDecodedNames(t *testing.T) {
	in := func(format string, names ...any) []byte {
		for i, n := range names {
			names[i] = string(golden.Message(t, n.(string)))
		}
		return golden.Pack(t, fmt.Appendf(nil, format, names...))
	}
	for _, c := range []struct {
		name string
		read func() (any, error)
		want any
	}{
		{"report", func() (any, error) { return ParseReport(in("%s", "report")) }, &core.Report{
			Machine: "m", Address: "a:1", Type: "ty", Zone: "z", Spot: true, Session: 1, Seq: 2, Token: 3, SpotNotice: 4_500_000,
			Tasks: []core.TaskReport{{Job: "job-5", Index: 6, Attempt: 7, State: core.Running, Cause: core.CausePeersMissing, Checkpointed: true}},
		}},
		{"catalog", func() (any, error) { return ParseCatalog(in(`{"breeds":[%s]}`, "machine type")) }, []core.MachineType{{
			Name: "l", Capacity: core.Resources{CPU: 1500, GPU: 2500, Mem: 3500}, CacheMB: 4500, FetchMBps: 5500, Price: 6.5, SpotPrice: 7.5, BootTime: 8_500_000, Zones: []string{"z"},
		}}},
		{"machines", func() (any, error) {
			list, more, err := ParseMachines(in(`{"stalls":[%s],"more":true}`, "listed machine"))
			return fmt.Sprint(list, more), err
		}, fmt.Sprint([]core.ListedMachine{{Name: "m", Address: "a:1", Type: "ty", Zone: "z", Spot: true, Booting: true, Age: 1_500_000}}, true)},
		{"failed machine", func() (any, error) {
			list, _, err := ParseMachines(in(`{"stalls":[{"uid":"m","phase":"failed"}],"more":false}`))
			return list, err
		}, []core.ListedMachine{{Name: "m", Failed: true}}},
		{"submission", func() (any, error) { return ParseSubmission(in("%s", "submission")) }, core.JobSpec{
			ID: "job-1", Class: "cl", Team: "te", Kind: core.Gang, Priority: core.Production, Tasks: 2, Resources: core.Resources{CPU: 3500, GPU: 4500, Mem: 5500},
			Types: []string{"ty"}, Zone: "z", OneZone: true, Spread: true, Spot: true, Image: "im", ImageMB: 6500,
			EstimatedRun: 7_500_000, CheckpointInterval: 8_500_000, CheckpointCost: 9_500_000, Deadline: 10_500_000, Chain: &core.Chain{Dependencies: []string{"job-11"}},
		}},
		{"submission's id", func() (any, error) { return SubmissionID(in("%s", "submission")), nil }, "job-1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got, err := c.read(); err != nil || !reflect.DeepEqual(got, c.want) {
				t.Errorf("got %+v, %v, want %+v", got, err, c.want)
			}
		})
	}
	spec, err := ParseSubmission(in("%s", "submission"))
	if err != nil {
		t.Fatal(err)
	}
	golden.AllSet(t, "submission", spec, notComputed)
}

// TestNamesOfCommands checks the encoding of each kind of command.
func TestNamesOfCommands(t *testing.T) {
	got, err := EncodeCommands(1, 2, []core.Command{
		{Op: core.Start, Job: "job-3", Index: 4, Attempt: 5}, {Op: core.Stop, Job: "job-6", Index: 7, Attempt: 8, GracePeriod: 9_500_000},
		{Op: core.Forget, Job: "job-10", Index: 11, Attempt: 12},
	})
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "commands of each kind", got)
}

// TestWireValues checks the published names of states, kinds, causes and commands, and the paths
// and keys.
func TestWireValues(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want any
	}{
		{"shapes", kindsByName, map[string]core.Kind{"batch": 0, "ensemble": 1, "standing": 2}},
		{"urgencies", prioritiesByName, map[string]core.Priority{"idle": 0, "standard": 1, "high": 2, "production": 3}},
		{"states of tasks", taskStatesByName, map[string]core.TaskState{"fetching": 0, "gathering": 1, "running": 2, "flushing": 3, "exited": 4}},
		{"causes", causesByName, map[string]core.Cause{
			"done": 0, "halted": 1, "mates_gone": 2, "alone": 3, "error": 4, "no_room": 5, "in_use": 6, "no_such": 7,
		}},
		{"commands", opNames, [...]string{"start", "halt", "reap"}},
		{"phases", []string{PhaseName(0), PhaseName(1), PhaseName(2)}, []string{"pending", "done", "aborted"}},
		{"states of jobs", []string{StatePending, StateRunning, StateDone, StateCancelled}, []string{"pending", "running", "done", "aborted"}},
		{"constants", []int{int(core.Pending), int(core.Done), int(core.Cancelled), int(core.Array), int(core.Gang), int(core.Service)}, []int{0, 1, 2, 0, 1, 2}},
		{"task", TaskName("job-1", 2), "job-1/2"},
		{"paths", []string{
			JobsPath, CancelSuffix, HealthPath, ReportPath, CommandsPath, StatusPath, CatalogPath, MachinesPath, MachineReleasePath,
			KeysPath, CommitPath, LeasesPath, RenewSuffix, ChangesPath,
		}, []string{
			"/v2/runs", "withdraw", "/up", "/agent/beat", "/do", "/inspect", "/catalog", "/machines", "/machines/return",
			"/keys", "/commit", "/leases", "renew", "/changes",
		}},
		{"keys", []string{
			LeaderKey, JobPrefix, core.StartedPrefix, core.CompletionPrefix, core.MachinePrefix, core.RentalPrefix, core.PartitionPrefix,
			core.CompletionKey("job-1", 231, 2, 0), core.CompletionKey("job-1", 231, 2, 3),
			clusterconfig.Prefix, clusterconfig.HeadKey, clusterconfig.PagePrefix, clusterconfig.AckPrefix, clusterconfig.KnownPrefix,
		}, []string{
			"c/leader", "c/job/", "b/open/", "b/done/", "b/machine/", "b/rent/", "b/kept/",
			"b/done/job-1/231.2", "b/done/job-1/231.2-3",
			"c/config/", "c/config/head", "c/config/page/", "d/config/", "d/known/",
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if !reflect.DeepEqual(c.got, c.want) {
				t.Errorf("got %v, want %v", c.got, c.want)
			}
		})
	}
}
