package core

import (
	"fmt"
	"testing"
)

// TestRecordBeforeStart checks that no start is sent to a machine that is not recorded, nor for a
// job without a started record.
func TestRecordBeforeStart(t *testing.T) {
	for _, key := range []string{MachinePrefix, StartedPrefix} {
		t.Run(key, func(t *testing.T) {
			w := newWorld(t, blue)
			w.beginTerm(100, nil, Snapshot{})
			w.failPrefix = key
			f := w.newWorker("n-1", "a").report()
			w.submit(JobSpec{ID: "job-1", Tasks: 1})
			round := func() {
				w.advance(Second)
				f.executeDirect()
				f.report()
			}
			for range 5 {
				round()
			}
			w.want("started before it was recorded", f.liveTasks(), "")
			w.failPrefix = ""
			for range 3 {
				round()
			}
			w.want("started", f.liveTasks(), "job-1/0 ")
			w.want("machine recorded", fmt.Sprint(w.puts[w.c.machines["n-1"].group.key]), "{ [{n-1 n-1:1 m a false}]}")
			w.want("started record written", w.puts[StartedPrefix+"job-1"] != nil, true)
		})
	}
}

// TestMachineRecords checks that machines share records, that a write that is executed late cannot
// overwrite what a later one added, and that deleted machines are removed from their record.
func TestMachineRecords(t *testing.T) {
	w := newWorld(t, blue)
	w.beginTerm(100, nil, Snapshot{})
	w.failPrefix, w.failOutcome = MachinePrefix, WriteUnknown
	for i := range 5 {
		w.newWorker(fmt.Sprintf("n-%d", i), "a").report()
	}
	w.want("recorded", w.c.machines["n-0"].recorded(), false)
	w.failPrefix = ""
	w.advance(Second)
	keys := map[string]int{}
	for k, v := range w.puts {
		if r, ok := v.(MachineGroupRecord); ok {
			keys[k] = len(r.Machines)
			w.want("the key of the unanswered write is used again", k == MachinePrefix+"100-1", false)
		}
	}
	w.want("records", len(keys), 2)
	w.want("the key of the unanswered write is deleted", w.deletes[MachinePrefix+"100-1"], true)
	w.want("recorded", w.c.machines["n-0"].recorded() && w.c.machines["n-4"].recorded(), true)
	first := w.c.machines["n-0"].group.key
	for _, n := range []string{"n-0", "n-1", "n-2"} {
		w.c.HandleReleaseResult(w.now, []string{n}, true)
	}
	w.advance(3 * Second)
	r, _ := w.puts[first].(MachineGroupRecord)
	w.want("machines left in the first record", fmt.Sprint(r.Machines), "[{n-3 n-3:1 m a false}]")
	w.c.HandleReleaseResult(w.now, []string{"n-3"}, true)
	w.advance(3 * Second)
	w.want("an empty record is deleted", w.deletes[first], true)
}
