package simulator_test

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"aspenstall/internal/core"
	"aspenstall/internal/simulator"
	"aspenstall/internal/wire"
)

// productionRecords are the state service's records after a scale run of the version in production, in
// which a leader was killed. That version wrote them; it knows no chains.
const productionRecords = "testdata/production-7ed3cdf.json"

// productionMachines is the machine type of that run.
var productionMachines = []simulator.MachineType{{
	Name: "scale", CPUs: 28, MemGB: 448, CacheGB: 100, FetchGBps: 1, Price: 1, SpotPrice: 0.5, BootS: 20,
	Zones: []string{"a1", "a2", "a3", "b1", "b2", "b3"},
}}

// TestProductionRecords checks that this version goes on with what the version in production has written:
// every accepted job is known at every node, and runs to its end; a job can be named by others.
func TestProductionRecords(t *testing.T) {
	text, err := os.ReadFile(productionRecords)
	if err != nil {
		t.Fatal(err)
	}
	var records []struct {
		Key   string
		Value []byte
	}
	if err := json.Unmarshal(text, &records); err != nil {
		t.Fatal(err)
	}
	var writes []wire.Write
	var jobs []core.JobRecord
	p := platform()
	p.Params.Zones, p.Params.Teams = productionMachines[0].Zones, nil
	teams := map[string]bool{}
	for _, r := range records {
		if r.Key == wire.LeaderKey {
			continue // its lease ended with the process
		}
		// The machines of that run are gone, and this world's cloud would give their names again.
		writes = append(writes, wire.Write{Put: r.Key, Value: bytes.ReplaceAll(r.Value, []byte("n-0000"), []byte("m-0000"))})
		id, isJob := strings.CutPrefix(r.Key, wire.JobPrefix)
		if !isJob {
			continue
		}
		rec, err := wire.DecodeJob(id, r.Value, 1)
		if err != nil {
			t.Fatal(err)
		}
		jobs = append(jobs, rec)
		if !teams[rec.Spec.Team] {
			teams[rec.Spec.Team] = true
			addTeam(&p, rec.Spec.Team, 100, 400, 0, 0)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		w := simulator.NewWorld(72, p, productionMachines)
		defer w.Close()
		for _, rec := range jobs {
			w.AddAccepted(specOf(&rec))
		}
		w.State.Load(writes)
		startAllNodes(w)
		time.Sleep(20 * time.Second)
		for _, rec := range jobs {
			for node := range 3 {
				if state := w.PollAt(node, rec.Spec.ID); state == "" || state == "unknown" {
					t.Errorf("node %d: %s is %q", node, rec.Spec.ID, state)
				}
			}
			if rec.Spec.Kind != core.Array {
				continue
			}
			next := specOf(&rec)
			next.ID, next.Awaits = strings.Replace(next.ID, "job-", "job-9", 1), []string{rec.Spec.ID}
			if !w.Submit(next) || !w.AwaitState(next.ID, "done", 10*time.Minute) {
				t.Errorf("%s, or a job that waits for it, is not done", rec.Spec.ID)
			}
		}
		if len(jobs) == 0 {
			t.Error("no jobs were read")
		}
		for _, v := range w.Violations() {
			t.Error(v)
		}
	})
}

// specOf returns a recorded job as its user submitted it. Tasks run for as long as was estimated.
func specOf(rec *core.JobRecord) simulator.Spec {
	s := &rec.Spec
	shapes := map[core.Kind]string{core.Array: "batch", core.Gang: "ensemble", core.Service: "standing"}
	urgencies := map[core.Priority]string{core.Production: "production", core.High: "high", core.Normal: "standard", core.Low: "idle"}
	return simulator.Spec{
		ID: s.ID, Class: s.Class, Team: s.Team, Shape: shapes[s.Kind], Urgency: urgencies[s.Priority],
		Tasks: s.Tasks, CPUs: float64(s.Resources.CPU) / 1000, MemGB: float64(s.Resources.Mem) / 1000, Image: s.Image, ImageGB: float64(s.ImageMB) / 1000,
		Spot: s.Spot, Spread: s.Spread, OneZone: s.OneZone, RunS: max(float64(s.EstimatedRun)/1e6, 1),
	}
}
