package core

import (
	"fmt"
	"testing"
)

// TestTaskOnTwoMachines: a copy of an old report shows a new leader a task on a machine that it
// has left, before or after the machine that has it now reports. The later attempt is the one
// that is there: an earlier one was known to be gone before it was started. And a task starts
// nowhere while any machine that showed it may have it. The one that had it was told to stop
// it, and as soon as the other had shown that it was empty, it was started a second time
// beside it.
func TestTaskOnTwoMachines(t *testing.T) {
	spec := JobSpec{ID: "job-1", Tasks: 1, Team: "blue", Request: Resources{2000, 0, 2000}, Image: "im"}
	const earlier, later = 90<<24 | 1, 95<<24 | 1
	for _, c := range []struct {
		what      string
		copyFirst bool
		copied    uint64 // the attempt in the copy; the machine that has the task has the later one
		goesOn    bool
	}{
		{"a copy of an earlier attempt first", true, earlier, true},
		{"a copy of an earlier attempt after it", false, earlier, true},
		{"a copy of the same attempt first", true, later, false},
		{"a copy of the same attempt after it", false, later, true},
	} {
		t.Run(c.what, func(t *testing.T) {
			w := newWorld(t, Team{Name: "blue"})
			w.beginTerm(100, []JobRecord{{Spec: spec, Revision: 3}}, Snapshot{MachineGroups: recordedMachines("n-1", "n-2", "n-3"), Started: []string{"job-1"}})
			left, has, third := w.newWorker("n-1", "a"), w.newWorker("n-2", "a"), w.newWorker("n-3", "a")
			for _, f := range []*fakeWorker{left, has, third} {
				f.status.Token = 99
			}
			w.sent = nil // probes are under way
			old := left.status
			old.Seq, old.Tasks = 5, []TaskReport{{Job: "job-1", Index: 0, Attempt: c.copied, State: Running}}
			copied := func() { w.c.HandleReport(w.now, &old); w.step() }
			has.status.Tasks = []TaskReport{{Job: "job-1", Index: 0, Attempt: later, State: Running}}
			has.losesCommands = true // what it is told is held up
			show := func() {
				has.status.Seq++
				r := has.status
				r.Tasks = append([]TaskReport(nil), has.status.Tasks...)
				w.c.HandleReport(w.now, &r)
				w.step()
			}
			if c.copyFirst {
				copied()
			}
			show()
			if !c.copyFirst {
				copied()
			}
			has.status.Token = 100
			show()
			left.status.Seq, left.status.Token = 9, 100
			left.report()
			third.status.Token = 100
			third.report()
			for range 5 {
				w.advance(Second / 2)
				third.executeDirect()
				left.executeDirect()
				show()
			}
			w.want("settled", w.c.unreconciled, 0)
			w.want("on other machines", left.liveTasks()+third.liveTasks(), "")
			w.want("counted", w.c.team("blue").used, Resources{2000, 0, 2000})
			p := w.c.jobs["job-1"].live[0]
			w.want("goes on", p != nil && p.machine.name == "n-2" && !p.stopRequested, c.goesOn)
			if !c.goesOn { // it was told to stop, and does: now it may start
				has.exitTask(0, CauseStopped)
				show()
				w.advance(Second)
				third.executeDirect()
				left.executeDirect()
				w.want("started again", fmt.Sprint(w.c.jobs["job-1"].occupying), "1")
			}
		})
	}
}
