package core

import "testing"

// TestLateStart: a direct start that went unanswered counts as possibly there
// until the machine shows it, has a new session, or has answered under a
// raised token; and it is not forgotten by the worker before.
func TestUnansweredStart(t *testing.T) {
	w := newWorld(t, blue)
	w.beginTerm(100, nil, Snapshot{})
	f := w.newWorker("n-1", "a").report()
	f.losesCommands = true
	w.submit(JobSpec{ID: "job-1", Tasks: 1})
	f.executeDirect()
	w.cancel("job-1")
	f.losesCommands = false
	for range 3 {
		w.advance(3 * Second)
		f.report()
	}
	w.want("still counted", w.c.team("blue").used, Resources{2000, 0, 2000})
	w.want("asks for a token", w.tokenRaises > 0, true)
	w.c.TokenRaised(w.now, 200)
	w.step()
	f.executeDirect()
	f.report()
	w.advance(3 * Second)
	f.report()
	w.want("settled", w.c.team("blue").used, Resources{})

	// One that is shown and exits is not reaped while the start may arrive.
	f.losesCommands = true
	w.submit(JobSpec{ID: "job-2", Tasks: 1})
	f.executeDirect()
	f.losesCommands = false
	f.report()
	w.want("started through the beat", f.liveTasks(), "job-2/0 ")
	f.report()
	w.cancel("job-2")
	f.executeDirect()
	w.advance(3 * Second)
	f.report()
	w.advance(3 * Second)
	f.report()
	w.want("kept", len(f.status.Tasks), 1)
	w.c.TokenRaised(w.now, 300)
	w.step()
	f.executeDirect()
	w.advance(3 * Second)
	f.report()
	w.want("reaped", len(f.status.Tasks), 0)
}

// TestReturning guards against a machine that is alive but about to be
// returned: until the cloud has answered, which can take minutes when many go
// back, it is told what to stop, and gets nothing to start.
func TestCommandsWhileReleasing(t *testing.T) {
	w := newWorld(t, blue)
	w.beginTerm(100, nil, Snapshot{})
	f := w.newWorker("n-1", "a").report()
	w.submit(JobSpec{ID: "job-1", Tasks: 2})
	f.executeDirect()
	f.report()
	w.want("runs", f.liveTasks(), "job-1/0 job-1/1 ")
	w.c.queueRelease(w.c.machines["n-1"], w.now, "silent")
	w.cancel("job-1")
	w.submit(JobSpec{ID: "job-2", Tasks: 1})
	for range 3 {
		w.advance(3 * Second)
		f.report()
	}
	w.want("left", f.liveTasks(), "")
}
