package core

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

// storedMachines returns the machines in the stored group records, and the size of the largest
// record that was written under the limit.
func (w *world) storedMachines(former MachineGroupRecord) (names []string, largest int) {
	found := map[string]bool{}
	if rewritten, ok := w.puts[former.Key].(MachineGroupRecord); ok {
		former = rewritten
		largest = len(former.Machines)
	}
	if !w.deletes[former.Key] {
		for _, m := range former.Machines {
			found[m.Name] = true
		}
	}
	for key, v := range w.puts {
		r, ok := v.(MachineGroupRecord)
		if !ok || w.deletes[key] || key == former.Key {
			continue
		}
		largest = max(largest, len(r.Machines))
		for _, m := range r.Machines {
			found[m.Name] = true
		}
	}
	return slices.Sorted(maps.Keys(found)), largest
}

// TestOversizedMachineGroup guards against a record of machines that outgrew a lowered limit of the
// state service: it is split when it is next written, and no machine is without a record meanwhile,
// whatever writes fail.
func TestOversizedMachineGroup(t *testing.T) {
	for _, outcome := range []WriteOutcome{WriteRefused, WriteUnknown} {
		w := newWorld(t, Team{Name: "blue"})
		w.c.cfg.Tuning.IdleTimeout = MaxMicros
		var names []string
		for n := range 11 {
			names = append(names, fmt.Sprintf("n-%02d", n))
		}
		former := recordedMachines(names...)[0]
		w.beginTerm(100, nil, Snapshot{MachineGroups: []MachineGroupRecord{former}})
		var workers []*fakeWorker
		for _, name := range names {
			workers = append(workers, w.newWorker(name, "a").report())
		}
		w.advance(5 * Second)
		if stored, _ := w.storedMachines(former); len(w.puts) != 0 || !slices.Equal(stored, names) {
			t.Errorf("the stored record was changed before it had to be: %v", w.puts)
		}
		// A machine fails, and its record has to be written.
		gone := w.c.machines[names[5]]
		w.c.removeFromGroup(gone, w.now)
		left := slices.Delete(slices.Clone(names), 5, 6)
		workers = slices.Delete(workers, 5, 6)
		w.failPrefix, w.failOutcome = MachinePrefix+"100-", outcome
		for range 20 {
			w.reportRounds(1, workers)
			if _, rewritten := w.puts[former.Key]; rewritten {
				t.Fatal("the former record was replaced before the machines had another")
			}
		}
		w.failPrefix = ""
		for range 60 {
			w.advance(Second / 10)
			stored, largest := w.storedMachines(former)
			for _, name := range left {
				if !slices.Contains(stored, name) {
					t.Fatalf("machine %s has no record", name)
				}
			}
			w.want("machines in the largest record", largest <= w.c.cfg.MachinesPerRecord, true)
		}
		stored, _ := w.storedMachines(former)
		w.want("machines with a record", fmt.Sprint(stored), fmt.Sprint(left))
	}
}

// TestCompletionRecordsOfOtherSizes guards against a leader that reads the completed tasks of another
// one wrongly, or replaces its records by ones that cover less: the leaders write records of
// different sizes, as the state service's limits changed or an earlier version of the program led.
func TestCompletionRecordsOfOtherSizes(t *testing.T) {
	spec := JobSpec{ID: "job-1", Team: "blue", Tasks: 40, Resources: Resources{100, 0, 100}, Image: "im"}
	earlier := CompletionRecord{Key: CompletionPrefix + "job-1/1", Job: "job-1", Chunk: 1, Ranges: []int{0, 3}} // tasks 16 to 19
	larger := CompletionRecord{Key: CompletionKey("job-1", 32, 0, 0), Job: "job-1", Ranges: []int{4, 5, 30, 30}}
	w := newWorld(t, Team{Name: "blue"})
	w.c.cfg.ChunkSize, w.c.cfg.MaxWriteOps = 4, 2
	w.beginTerm(100, []JobRecord{{Spec: spec, Revision: 3}}, Snapshot{Completions: []CompletionRecord{earlier, larger}, Started: []string{"job-1"}})
	done := func(c *Core) (out []int) {
		for i, s := range c.jobs["job-1"].status {
			if s == taskDone {
				out = append(out, i)
			}
		}
		return out
	}
	w.want("completed tasks", fmt.Sprint(done(w.c)), "[4 5 16 17 18 19 30]")
	f := w.newWorker("n-1", "a").report()
	f.executeDirect()
	for _, index := range []int{0, 6, 17, 20, 39} {
		if i := slices.IndexFunc(f.status.Tasks, func(r TaskReport) bool { return r.Index == index }); i >= 0 {
			f.exitTask(i, CauseDone)
		}
	}
	f.report()
	want := done(w.c)
	w.want("completed tasks", fmt.Sprint(want), "[0 4 5 6 16 17 18 19 20 30 39]")
	w.reportRounds(40, []*fakeWorker{f})
	records := map[string]CompletionRecord{earlier.Key: earlier, larger.Key: larger}
	for key, v := range w.puts {
		if r, ok := v.(CompletionRecord); ok {
			records[key] = r
			w.want("written with absolute positions, for all versions", r.Chunk, 0)
		}
	}
	for _, size := range []int{4, 16, 32} {
		next := newWorld(t, Team{Name: "blue"})
		next.c.cfg.ChunkSize = size
		next.beginTerm(200, []JobRecord{{Spec: spec, Revision: 3}}, Snapshot{Completions: slices.Collect(maps.Values(records)), Started: []string{"job-1"}})
		next.want(fmt.Sprintf("completed tasks with records of %d tasks", size), fmt.Sprint(done(next.c)), fmt.Sprint(want))
	}
	for key := range records {
		w.want("known for deletion: "+key, strings.HasPrefix(key, CompletionPrefix) && w.c.jobs["job-1"].completionKeys[key], true)
	}
}
