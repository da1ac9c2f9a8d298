package core

import "testing"

// TestTakeover checks that a new leader starts no task that may still run on a machine before every
// recorded machine has reported the new token or its lease has expired.
func TestTakeover(t *testing.T) {
	rec := JobRecord{Spec: JobSpec{ID: "job-1", Team: "blue", Tasks: 2, Resources: Resources{2000, 0, 1000}, Image: "im"}, Revision: 5}
	fresh := rec
	fresh.Spec.ID = "job-2"
	snap := func() Snapshot {
		return Snapshot{MachineGroups: recordedMachines("n-1"), Started: []string{"job-1"}}
	}
	for _, c := range []struct {
		name  string
		event func(w *world, old, n2 *fakeWorker)
		want  int // tasks of the started job on the new machine
	}{
		{"no report", func(w *world, old, n2 *fakeWorker) { w.advance(10 * Second) }, 0},
		{"report with the old token", func(w *world, old, n2 *fakeWorker) {
			old.status.Seq++
			old.status.Token = 99
			r := old.status
			w.c.HandleReport(w.now, &r)
			w.step()
		}, 0},
		{"reply with the new token, no tasks", func(w *world, old, n2 *fakeWorker) { old.executeDirect() }, 2},
		{"reply with the new token, one task runs", func(w *world, old, n2 *fakeWorker) {
			old.status.Tasks = []TaskReport{{Job: "job-1", Index: 1, Attempt: 7, State: Running}}
			old.executeDirect()
		}, 1},
		{"lease expired", func(w *world, old, n2 *fakeWorker) {
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
			// Machine n-1 gets tasks, too, once it is reconciled.
			for _, m := range w.c.sortedMachines {
				for _, p := range m.placements {
					if p.job != nil && m.name == "n-1" && !p.reported {
						counts[p.jobID]++
					}
				}
			}
			w.want("started job", counts["job-1"], c.want)
			w.want("job never started", counts["job-2"], 2)
		})
	}
}

// TestAnswerGrace checks that a leader whose own lease has expired renews the leases of workers
// without sending commands, but not of workers with a higher token. The next leader waits longer
// for machines that do not report, by AnswerGrace.
func TestAnswerGrace(t *testing.T) {
	w := newWorld(t, blue)
	w.beginTerm(100, nil, Snapshot{})
	f := w.newWorker("n-1", "a").report()
	r := f.status
	r.Seq++
	w.now += 12 * Second
	token, ok := w.c.HandleReportInGrace(w.now, &r)
	w.want("answered with the token", ok && token == 100, true)
	w.advance(12 * Second)
	w.want("counts as lost", w.c.machines["n-1"].lost, false)
	r.Seq, r.Token = r.Seq+1, 101
	_, ok = w.c.HandleReportInGrace(w.now, &r)
	w.want("answered although there is another leader", ok, false)

	w = newWorld(t, blue)
	w.c.cfg.AnswerGrace = 60 * Second
	rec := JobRecord{Spec: JobSpec{ID: "job-1", Team: "blue", Tasks: 1, Resources: Resources{2000, 0, 1000}, Image: "im"}, Revision: 5}
	w.beginTerm(100, []JobRecord{rec}, Snapshot{MachineGroups: recordedMachines("n-1"), Started: []string{"job-1"}})
	w.advance(70 * Second)
	w.want("unaccounted while the former leader may answer", w.c.jobs["job-1"].unaccounted, true)
	w.advance(10 * Second)
	w.want("held", w.c.jobs["job-1"].unaccounted, false)
}

// TestAttemptsAreUnique checks that no attempt number is used twice, within a term or across terms.
func TestAttemptsAreUnique(t *testing.T) {
	seen := map[uint64]bool{}
	w := newWorld(t)
	for _, token := range []uint64{1, 2, 3, 500} {
		w.beginTerm(token, nil, Snapshot{})
		for range 1000 {
			a := w.c.nextAttempt()
			if seen[a] {
				t.Fatalf("attempt %d is used twice", a)
			}
			seen[a] = true
		}
	}
}
