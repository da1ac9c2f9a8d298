package core

import (
	"strings"
	"testing"
)

// TestUnansweredStart checks a direct start command without an answer. Its task counts as possibly
// running until the machine reports it, begins a new session, or answers with a raised token. The
// worker is not told to forget the task before that, since a delayed start would run it again.
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
	w.want("requests a new token", w.tokenRaises > 0, true)
	w.c.HandleTokenRaised(w.now, 200)
	w.step()
	f.executeDirect()
	f.report()
	w.advance(3 * Second)
	f.report()
	w.want("settled", w.c.team("blue").used, Resources{})

	// A task that was reported and exited is not forgotten while the start may still arrive.
	f.losesCommands = true
	w.submit(JobSpec{ID: "job-2", Tasks: 1})
	f.executeDirect()
	f.losesCommands = false
	f.report()
	w.want("started in reply to a report", f.liveTasks(), "job-2/0 ")
	f.report()
	w.cancel("job-2")
	f.executeDirect()
	w.advance(3 * Second)
	f.report()
	w.advance(3 * Second)
	f.report()
	w.want("kept", len(f.status.Tasks), 1)
	w.c.HandleTokenRaised(w.now, 300)
	w.step()
	f.executeDirect()
	w.advance(3 * Second)
	f.report()
	w.want("reaped", len(f.status.Tasks), 0)
}

// TestCommandsWhileReleasing checks that a machine that is being released still gets stop commands
// and no starts. The cloud may take minutes to delete it when many machines are released.
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

// TestCommandsFitMessage checks that a machine with more tasks than fit a message gets them in several,
// and that all are started, stopped and forgotten. A message over the protocol's limit is refused, and
// the machine would get no command at all.
func TestCommandsFitMessage(t *testing.T) {
	const tasks = 2*MaxCommands + 100
	w := newWorld(t, Team{Name: "blue"})
	w.beginTerm(100, nil, Snapshot{})
	f := w.newWorker("n-1", "a").report()
	rounds := func(n int) {
		for range n {
			w.advance(Second)
			for _, s := range w.sent {
				if len(s.Commands) > MaxCommands {
					t.Errorf("%d direct commands in one message", len(s.Commands))
				}
			}
			f.report()
			if len(f.replyCommands) > MaxCommands {
				t.Errorf("%d commands in one answer", len(f.replyCommands))
			}
		}
	}
	w.submit(JobSpec{ID: "job-1", Tasks: tasks, Resources: Resources{1, 0, 1}})
	rounds(6)
	w.want("tasks that run", strings.Count(f.liveTasks(), "job-1/"), tasks)
	w.cancel("job-1")
	rounds(6)
	w.want("tasks that run after the job was cancelled", f.liveTasks(), "")
	w.want("requests a new token", w.tokenRaises > 0, true)
	w.raiseToken()
	rounds(6)
	w.want("tasks that the worker has not forgotten", len(f.status.Tasks), 0)
}
