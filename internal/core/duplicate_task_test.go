package core

import (
	"fmt"
	"testing"
)

// TestTaskOnTwoMachines covers a delayed duplicate of a report that shows a new leader a task on a
// machine that does not run it any more, before or after the machine that runs it reports. The
// later attempt is the one that runs: it was started only once the earlier one was known to be
// gone. The task must not be started while any machine that reported it may run it. The fault was:
// the machine with the task was told to stop it, the other machine reported that it had no task,
// and the task was started a second time while it still ran.
func TestTaskOnTwoMachines(t *testing.T) {
	spec := JobSpec{ID: "job-1", Tasks: 1, Team: "blue", Resources: Resources{2000, 0, 2000}, Image: "im"}
	const earlier, later = 90<<24 | 1, 95<<24 | 1
	for _, c := range []struct {
		what           string
		duplicateFirst bool
		duplicate      uint64 // the attempt in the duplicate; the later one runs
		continues      bool
	}{
		{"duplicate with an earlier attempt, before the report", true, earlier, true},
		{"duplicate with an earlier attempt, after the report", false, earlier, true},
		{"duplicate with the same attempt, before the report", true, later, false},
		{"duplicate with the same attempt, after the report", false, later, true},
	} {
		t.Run(c.what, func(t *testing.T) {
			w := newWorld(t, Team{Name: "blue"})
			w.beginTerm(100, []JobRecord{{Spec: spec, Revision: 3}}, Snapshot{MachineGroups: recordedMachines("n-1", "n-2", "n-3"), Started: []string{"job-1"}})
			left, has, third := w.newWorker("n-1", "a"), w.newWorker("n-2", "a"), w.newWorker("n-3", "a")
			for _, f := range []*fakeWorker{left, has, third} {
				f.status.Token = 99
			}
			w.sent = nil // drops the probes
			old := left.status
			old.Seq, old.Tasks = 5, []TaskReport{{Job: "job-1", Index: 0, Attempt: c.duplicate, State: Running}}
			duplicate := func() { w.c.HandleReport(w.now, &old); w.step() }
			has.status.Tasks = []TaskReport{{Job: "job-1", Index: 0, Attempt: later, State: Running}}
			has.losesCommands = true // commands to it are delayed
			reportRunning := func() {
				has.status.Seq++
				r := has.status
				r.Tasks = append([]TaskReport(nil), has.status.Tasks...)
				w.c.HandleReport(w.now, &r)
				w.step()
			}
			if c.duplicateFirst {
				duplicate()
			}
			reportRunning()
			if !c.duplicateFirst {
				duplicate()
			}
			has.status.Token = 100
			reportRunning()
			left.status.Seq, left.status.Token = 9, 100
			left.report()
			third.status.Token = 100
			third.report()
			for range 5 {
				w.advance(Second / 2)
				third.executeDirect()
				left.executeDirect()
				reportRunning()
			}
			w.want("settled", w.c.unreconciled, 0)
			w.want("tasks on other machines", left.liveTasks()+third.liveTasks(), "")
			w.want("counted", w.c.team("blue").used, Resources{2000, 0, 2000})
			p := w.c.jobs["job-1"].live[0]
			w.want("keeps running", p != nil && p.machine.name == "n-2" && !p.stopRequested, c.continues)
			if !c.continues { // it has stopped as told, so it may be started again
				has.exitTask(0, CauseStopped)
				reportRunning()
				w.advance(Second)
				third.executeDirect()
				left.executeDirect()
				w.want("started again", fmt.Sprint(w.c.jobs["job-1"].occupying), "1")
			}
		})
	}
}
