package core

import "testing"

// TestInboundLossIdleTime guards against an idle machine that is released too early: its idle time
// counts from when its tasks were taken off it, not from its report before that.
func TestInboundLossIdleTime(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"})
	w.beginTerm(100, nil, Snapshot{})
	w.holdPrefix = MachinePrefix // the machine gets no record, so no start is sent to it
	w.newWorker("n-1", "a").report()
	w.submit(JobSpec{ID: "job-1", Tasks: 1})
	w.advance(2 * Second)
	m := w.c.machines["n-1"]
	if len(m.placements) != 1 {
		t.Fatalf("%d tasks on the machine, want 1", len(m.placements))
	}
	w.c.markInboundLost(m, "test", w.now)
	w.want("tasks on the machine", len(m.placements), 0)
	w.want("idle since", m.idleSince, w.now)
}
