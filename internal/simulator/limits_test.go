package simulator_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"aspenstall/internal/clusterconfig"
	"aspenstall/internal/config"
	"aspenstall/internal/core"
	"aspenstall/internal/notify"
	"aspenstall/internal/notify/deliver"
	"aspenstall/internal/simulator"
)

// recordKinds are the kinds of the records that the controllers and the operators' tools write. A
// new kind is added here, and to writeAllKinds so that it is written before and after the
// limits come down.
var recordKinds = []string{
	"b/done", "b/kept", "b/machine", "b/open", "b/rent", "c/config", "c/job", "c/leader", "c/nomad", "d/config", "o/dead", "o/marks",
}

// onceRecordKinds are written once, or after thousands of events: see TestChunkRecordsFitValues for
// the latter.
var onceRecordKinds = []string{"c/catalog", "d/known", "o/set", "o/half"}

// writeAllKinds makes the controllers write a record of every kind. round numbers the calls.
func writeAllKinds(t *testing.T, s *nomadWorld, o *operator, round int) {
	const settle = 30 * time.Second
	first := 1000 * (round + 1)
	wide := array(first, 300, 20) // more machines and completed tasks than one small record holds
	wide.RunOf = map[int]float64{}
	for task := range 300 {
		wide.RunOf[task] = float64(5 + task%2*60)
	}
	if !s.Submit(wide) || !s.Submit(service(first+1, 40)) || !s.Submit(gang(first+2, 2, 20)) {
		t.Error("a job was not accepted")
	}
	blue := s.client("blue", 0)
	for version := range 3 {
		if _, _, err := blue.Jobs().Register(s.batchJob("wide", 1+version, 400), nil); err != nil {
			t.Errorf("round %d, job file, version %d: %v", round, version, err)
		}
		time.Sleep(2 * time.Second)
	}
	if _, _, err := blue.Jobs().Deregister("wide", true, nil); err != nil {
		t.Errorf("round %d, purge: %v", round, err)
	}
	if _, err := o.change(fmt.Sprintf("change-%d", round), time.Minute, o.editTeam("green", func(team *clusterconfig.Team) {
		team.Max.CPU -= 1000
	})); err != nil {
		t.Errorf("round %d, configuration: %v", round, err)
	}
	time.Sleep(settle)
	// A partition is recorded only if machines with services are in the zone.
	for try := 0; try < 10 && !s.State.WrittenKinds()["b/kept"]; try++ {
		zone := s.Nodes[(s.Leader()+1+try%2)%3].Zone
		s.Net.PartitionZone(zone, true)
		time.Sleep(settle)
		s.Net.PartitionZone(zone, false)
		time.Sleep(settle)
	}
	leader := s.Leader()
	s.Kill(leader)
	time.Sleep(settle)
	s.StartNode(leader)
	if !s.AwaitState(wide.ID, "done", 10*time.Minute) {
		t.Errorf("round %d: %s is not done", round, wide.ID)
	}
	s.Cancel(fmt.Sprintf("job-%06d", first+1))
	time.Sleep(settle)
}

// idleTeam returns the name of a team without jobs.
func idleTeam(n int) string { return fmt.Sprintf("idle-team-%03d", n) }

// newFullWorld returns a world that writes records of every kind, and its operator. The state service
// has announced values of 2 KiB and 4 writes in a transaction; the caller lowers its limits. Besides
// two teams with jobs there are idle ones.
func newFullWorld(t *testing.T, idleTeams int) (*simulator.World, *operator) {
	p := platform()
	p.Params.Zones = []string{"a", "b", "c"}
	p.Params.Teams = nil
	addTeam(&p, "blue", 100, 400, 0, 0)
	addTeam(&p, "green", 100, 200, 1, 2)
	for n := range idleTeams {
		addTeam(&p, idleTeam(n), 1, 10, 0, 0)
	}
	state := &p.Params.State
	state.ValueKB, state.TxnOps, state.WriteRPS = 16, 12, 100
	state.Next = &config.NextLimits{ValueKB: 2, TxnOps: 4, WriteRPS: 70}
	w := simulator.NewWorld(99, p, machineTypes)
	w.State.LimitSizes(16<<10, 12)
	w.Settings.Nomad = nomadSettings("blue", "green")
	refusing, taking := simulator.NewReceiver(1), simulator.NewReceiver(2)
	refusing.Refuse = 1
	w.Settings.Notify = &config.Notify{}
	for n, r := range []*simulator.Receiver{refusing, taking} {
		name, at := fmt.Sprintf("r%d", n), fmt.Sprintf("10.3.0.%d:80", n+1)
		w.Net.Serve(at, r)
		w.Settings.Notify.Receivers = append(w.Settings.Notify.Receivers, config.NotifyReceiver{
			Limits: notify.Receiver{Name: name, MaxInFlight: 4}, Delivery: deliver.Receiver{Name: name, URL: "http://" + at + "/"}, KeepsKeys: true,
		})
		for _, kind := range []notify.Kind{notify.Accepted, notify.Done} {
			w.Settings.Notify.Subscriptions = append(w.Settings.Notify.Subscriptions, notify.Subscription{
				Name: fmt.Sprintf("s%d-%s", n, kind), Receiver: name, Kinds: []notify.Kind{kind}, Deadline: 40 * core.Second,
			})
		}
	}
	return w, newOperator(t, w, p)
}

// TestLoweredStateLimits guards against records and transactions that fit the present limits of the
// state service and not the announced ones: it plays every kind of record before and after the
// limits come down to values of 2 KiB and 4 writes, and a kind that is not listed fails.
func TestLoweredStateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, o := newFullWorld(t, 0)
		defer w.Close()
		startAllNodes(w)
		time.Sleep(15 * time.Second)
		s := &nomadWorld{t, w}
		for round := range 2 {
			if round == 1 {
				w.State.LimitSizes(2<<10, 4)
			}
			w.State.ForgetWrittenKinds()
			writeAllKinds(t, s, o, round)
			kinds := w.State.WrittenKinds()
			for kind := range kinds {
				if !slices.Contains(recordKinds, kind) && !slices.Contains(onceRecordKinds, kind) {
					t.Errorf("records of the kind %s are not listed", kind)
				}
			}
			for _, kind := range recordKinds {
				if !kinds[kind] {
					t.Errorf("round %d: no record of the kind %s was written, only %v", round, kind, slices.Sorted(maps.Keys(kinds)))
				}
			}
		}
		for _, v := range w.State.LimitViolations() {
			t.Errorf("refused: %+v", v)
		}
		for _, b := range w.Violations() {
			t.Error(b)
		}
	})
}
