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
	spec := JobSpec{ID: "job-1", Tasks: 1, Team: "blue", Need: Res{2000, 0, 2000}, Image: "im"}
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
			w.begin(100, []JobRecord{{Spec: spec, Stamp: 3}}, Snapshot{Machines: recorded("n-1", "n-2", "n-3"), Open: []string{"job-1"}})
			left, has, third := w.machine("n-1", "a"), w.machine("n-2", "a"), w.machine("n-3", "a")
			for _, f := range []*fake{left, has, third} {
				f.r.Token = 99
			}
			w.sent = nil // probes are under way
			old := left.r
			old.Seq, old.Tasks = 5, []TaskReport{{Job: "job-1", Index: 0, Attempt: c.copied, State: Running}}
			copied := func() { w.c.Beat(w.now, &old); w.step() }
			has.r.Tasks = []TaskReport{{Job: "job-1", Index: 0, Attempt: later, State: Running}}
			has.lossy = true // what it is told is held up
			show := func() {
				has.r.Seq++
				r := has.r
				r.Tasks = append([]TaskReport(nil), has.r.Tasks...)
				w.c.Beat(w.now, &r)
				w.step()
			}
			if c.copyFirst {
				copied()
			}
			show()
			if !c.copyFirst {
				copied()
			}
			has.r.Token = 100
			show()
			left.r.Seq, left.r.Token = 9, 100
			left.beat()
			third.r.Token = 100
			third.beat()
			for range 5 {
				w.pass(Second / 2)
				third.direct()
				left.direct()
				show()
			}
			w.want("settled", w.c.unsettled, 0)
			w.want("on other machines", left.live()+third.live(), "")
			w.want("counted", w.c.team("blue").used, Res{2000, 0, 2000})
			p := w.c.jobs["job-1"].live[0]
			w.want("goes on", p != nil && p.m.name == "n-2" && !p.unwanted, c.goesOn)
			if !c.goesOn { // it was told to stop, and does: now it may start
				has.exit(0, CauseStopped)
				show()
				w.pass(Second)
				third.direct()
				left.direct()
				w.want("started again", fmt.Sprint(w.c.jobs["job-1"].on), "1")
			}
		})
	}
}
