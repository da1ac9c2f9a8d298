package core

import "testing"

// TestTakeover: a new leader starts nothing that may still run somewhere, and
// counts it, until every recorded machine has answered under the new token or
// its lease is over.
func TestTakeover(t *testing.T) {
	rec := JobRecord{Spec: JobSpec{ID: "job-1", Team: "blue", Tasks: 2, Need: Res{2000, 0, 1000}, Image: "im"}, Stamp: 5}
	fresh := rec
	fresh.Spec.ID = "job-2"
	snap := func() Snapshot {
		return Snapshot{Machines: recorded("n-1"), Open: []string{"job-1"}}
	}
	for _, c := range []struct {
		name  string
		event func(w *world, old, n2 *fake)
		want  int // tasks of the opened job on the new machine
	}{
		{"not heard", func(w *world, old, n2 *fake) { w.pass(10 * Second) }, 0},
		{"report from before the new token", func(w *world, old, n2 *fake) {
			old.r.Seq++
			old.r.Token = 99
			r := old.r
			w.c.Beat(w.now, &r)
			w.step()
		}, 0},
		{"answered under the new token, empty", func(w *world, old, n2 *fake) { old.direct() }, 2},
		{"answered, one task runs there", func(w *world, old, n2 *fake) {
			old.r.Tasks = []TaskReport{{Job: "job-1", Index: 1, Attempt: 7, State: Running}}
			old.direct()
		}, 1},
		{"lease over", func(w *world, old, n2 *fake) {
			for range 6 {
				w.pass(3 * Second)
				n2.beat()
			}
		}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, blue)
			w.begin(100, []JobRecord{rec, fresh}, snap())
			old := w.machine("n-1", "a")
			n2 := w.machine("n-2", "a").beat()
			w.want("probed", len(w.sent) > 0 && w.sent[0].Machine == "n-1" && len(w.sent[0].Commands) == 0, true)
			c.event(w, old, n2)
			old.lossy = true
			old.direct()
			for range 3 {
				n2.beat()
				w.pass(Second / 2)
				n2.direct()
			}
			counts := map[string]int{}
			for _, task := range n2.r.Tasks {
				counts[task.Job]++
			}
			// The machine n-1 takes its share once it is settled.
			for _, m := range w.c.order {
				for _, p := range m.tasks {
					if p.j != nil && m.name == "n-1" && !p.shown {
						counts[p.job]++
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
	w.begin(100, nil, Snapshot{})
	f := w.machine("n-1", "a").beat()
	r := f.r
	r.Seq++
	w.now += 12 * Second
	token, ok := w.c.BeatInGrace(w.now, &r)
	w.want("answered under the token", ok && token == 100, true)
	w.pass(12 * Second)
	w.want("its lease is over", w.c.machines["n-1"].lost, false)
	r.Seq, r.Token = r.Seq+1, 101
	_, ok = w.c.BeatInGrace(w.now, &r)
	w.want("answered though there is another leader", ok, false)

	w = newWorld(t, blue)
	w.c.cfg.AnswerGrace = 60 * Second
	rec := JobRecord{Spec: JobSpec{ID: "job-1", Team: "blue", Tasks: 1, Need: Res{2000, 0, 1000}, Image: "im"}, Stamp: 5}
	w.begin(100, []JobRecord{rec}, Snapshot{Machines: recorded("n-1"), Open: []string{"job-1"}})
	w.pass(70 * Second)
	w.want("held while it may be answered", w.c.jobs["job-1"].held, true)
	w.pass(10 * Second)
	w.want("held", w.c.jobs["job-1"].held, false)
}

// TestAttempts: no attempt is given twice, by any leader.
func TestAttempts(t *testing.T) {
	seen := map[uint64]bool{}
	w := newWorld(t)
	for _, token := range []uint64{1, 2, 3, 500} {
		w.begin(token, nil, Snapshot{})
		for range 1000 {
			a := w.c.nextAttempt()
			if seen[a] {
				t.Fatalf("attempt %d is given twice", a)
			}
			seen[a] = true
		}
	}
}
