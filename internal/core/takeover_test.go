package core

import "testing"

// TestTakeover: a new leader starts nothing that may still run somewhere, and
// counts it, until every recorded machine has answered under the new token or
// its lease is over.
func TestTakeover(t *testing.T) {
	rec := JobRecord{Spec: JobSpec{ID: "job-1", Team: "blue", Tasks: 2, Request: Resources{2000, 0, 1000}, Image: "im"}, Revision: 5}
	fresh := rec
	fresh.Spec.ID = "job-2"
	snap := func() Snapshot {
		return Snapshot{MachineGroups: recordedMachines("n-1"), Started: []string{"job-1"}}
	}
	for _, c := range []struct {
		name  string
		event func(w *world, old, n2 *fakeWorker)
		want  int // tasks of the opened job on the new machine
	}{
		{"not heard", func(w *world, old, n2 *fakeWorker) { w.advance(10 * Second) }, 0},
		{"report from before the new token", func(w *world, old, n2 *fakeWorker) {
			old.status.Seq++
			old.status.Token = 99
			r := old.status
			w.c.HandleReport(w.now, &r)
			w.step()
		}, 0},
		{"answered under the new token, empty", func(w *world, old, n2 *fakeWorker) { old.executeDirect() }, 2},
		{"answered, one task runs there", func(w *world, old, n2 *fakeWorker) {
			old.status.Tasks = []TaskReport{{Job: "job-1", Index: 1, Attempt: 7, State: Running}}
			old.executeDirect()
		}, 1},
		{"lease over", func(w *world, old, n2 *fakeWorker) {
			for range 6 {
				w.advance(3 * Second)
				n2.report()
			}
		}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, blue)
			w.beginTerm(100, []JobRecord{rec, fresh}, snap())
			old := w.newWorker("n-1", "a")
			n2 := w.newWorker("n-2", "a").report()
			w.want("probed", len(w.sent) > 0 && w.sent[0].Machine == "n-1" && len(w.sent[0].Commands) == 0, true)
			c.event(w, old, n2)
			old.losesCommands = true
			old.executeDirect()
			for range 3 {
				n2.report()
				w.advance(Second / 2)
				n2.executeDirect()
			}
			counts := map[string]int{}
			for _, task := range n2.status.Tasks {
				counts[task.Job]++
			}
			// The machine n-1 takes its share once it is settled.
			for _, m := range w.c.sortedMachines {
				for _, p := range m.placements {
					if p.job != nil && m.name == "n-1" && !p.reported {
						counts[p.jobID]++
					}
				}
			}
			w.want("opened job", counts["job-1"], c.want)
			w.want("job never opened", counts["job-2"], 2)
		})
	}
}

// TestAnswerGrace: a leader whose lease is over renews workers' leases and tells
// them nothing, unless they know a higher token; and the next leader waits as
// much longer for machines that it does not hear.
func TestAnswerGrace(t *testing.T) {
	w := newWorld(t, blue)
	w.beginTerm(100, nil, Snapshot{})
	f := w.newWorker("n-1", "a").report()
	r := f.status
	r.Seq++
	w.now += 12 * Second
	token, ok := w.c.HandleReportInGrace(w.now, &r)
	w.want("answered under the token", ok && token == 100, true)
	w.advance(12 * Second)
	w.want("its lease is over", w.c.machines["n-1"].lost, false)
	r.Seq, r.Token = r.Seq+1, 101
	_, ok = w.c.HandleReportInGrace(w.now, &r)
	w.want("answered though there is another leader", ok, false)

	w = newWorld(t, blue)
	w.c.cfg.AnswerGrace = 60 * Second
	rec := JobRecord{Spec: JobSpec{ID: "job-1", Team: "blue", Tasks: 1, Request: Resources{2000, 0, 1000}, Image: "im"}, Revision: 5}
	w.beginTerm(100, []JobRecord{rec}, Snapshot{MachineGroups: recordedMachines("n-1"), Started: []string{"job-1"}})
	w.advance(70 * Second)
	w.want("held while it may be answered", w.c.jobs["job-1"].unaccounted, true)
	w.advance(10 * Second)
	w.want("held", w.c.jobs["job-1"].unaccounted, false)
}

// TestAttempts: no attempt is given twice, by any leader.
func TestAttemptsAreUnique(t *testing.T) {
	seen := map[uint64]bool{}
	w := newWorld(t)
	for _, token := range []uint64{1, 2, 3, 500} {
		w.beginTerm(token, nil, Snapshot{})
		for range 1000 {
			a := w.c.nextAttempt()
			if seen[a] {
				t.Fatalf("attempt %d is given twice", a)
			}
			seen[a] = true
		}
	}
}
