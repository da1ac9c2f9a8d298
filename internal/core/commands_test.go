package core

import "testing"

// TestLateStart: a direct start that went unanswered counts as possibly there
// until the machine shows it, has a new session, or has answered under a
// raised token; and it is not forgotten by the worker before.
func TestLateStart(t *testing.T) {
	w := newWorld(t, blue)
	w.begin(100, nil, Snapshot{})
	f := w.machine("n-1", "a").beat()
	f.lossy = true
	w.submit(JobSpec{ID: "job-1", Tasks: 1})
	f.direct()
	w.cancel("job-1")
	f.lossy = false
	for range 3 {
		w.pass(3 * Second)
		f.beat()
	}
	w.want("still counted", w.c.team("blue").used, Res{2000, 0, 2000})
	w.want("asks for a token", w.raise > 0, true)
	w.c.Raised(w.now, 200)
	w.step()
	f.direct()
	f.beat()
	w.pass(3 * Second)
	f.beat()
	w.want("settled", w.c.team("blue").used, Res{})

	// One that is shown and exits is not reaped while the start may arrive.
	f.lossy = true
	w.submit(JobSpec{ID: "job-2", Tasks: 1})
	f.direct()
	f.lossy = false
	f.beat()
	w.want("started through the beat", f.live(), "job-2/0 ")
	f.beat()
	w.cancel("job-2")
	f.direct()
	w.pass(3 * Second)
	f.beat()
	w.pass(3 * Second)
	f.beat()
	w.want("kept", len(f.r.Tasks), 1)
	w.c.Raised(w.now, 300)
	w.step()
	f.direct()
	w.pass(3 * Second)
	f.beat()
	w.want("reaped", len(f.r.Tasks), 0)
}

// TestReturning guards against a machine that is alive but about to be
// returned: until the cloud has answered, which can take minutes when many go
// back, it is told what to stop, and gets nothing to start.
func TestReturning(t *testing.T) {
	w := newWorld(t, blue)
	w.begin(100, nil, Snapshot{})
	f := w.machine("n-1", "a").beat()
	w.submit(JobSpec{ID: "job-1", Tasks: 2})
	f.direct()
	f.beat()
	w.want("runs", f.live(), "job-1/0 job-1/1 ")
	w.c.giveBack(w.c.machines["n-1"], w.now, "silent")
	w.cancel("job-1")
	w.submit(JobSpec{ID: "job-2", Tasks: 1})
	for range 3 {
		w.pass(3 * Second)
		f.beat()
	}
	w.want("left", f.live(), "")
}
