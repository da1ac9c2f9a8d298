package core

import (
	"fmt"
	"testing"
)

// reportRefused sends a periodic report and returns whether it is not answered. The worker ignores
// the answer.
func (f *fakeWorker) reportRefused() bool {
	f.status.Seq++
	r := f.status
	r.Tasks = append([]TaskReport(nil), f.status.Tasks...)
	_, _, ok := f.w.c.HandleReport(f.w.now, &r)
	f.w.step()
	return !ok
}

// TestLateStartOfCancelledJob covers an unanswered direct start of a cancelled job's task while the
// token can't be raised, because the state service refuses writes. The machine's lease has to
// expire before the cancellation's time limit; otherwise the start could be executed after the
// limit.
func TestLateStartOfCancelledJob(t *testing.T) {
	w := newWorld(t, blue)
	w.beginTerm(100, nil, Snapshot{})
	f := w.newWorker("n-1", "a").report()
	f.losesCommands = true
	w.submit(JobSpec{ID: "job-1", Tasks: 1})
	f.executeDirect()
	w.cancel("job-1")
	at := w.now
	for w.now-at < w.c.cfg.MaxCancelStaleness-3*Second {
		w.advance(3 * Second)
		w.want(fmt.Sprint("refused after ", (w.now-at)/Second), f.reportRefused(), false)
	}
	w.advance(3 * Second)
	w.want("refused", f.reportRefused(), true)
	if _, ok := w.c.HandleReportInGrace(w.now, &Report{Machine: "n-1", Type: "m", Zone: "a", Session: 1, Seq: f.status.Seq + 1, Token: 100, SpotNotice: -1}); ok {
		t.Error("report in grace is answered")
	}
	f.status.Seq++
	// The start is void in the next session.
	next := f.status
	next.Session, next.Seq = 2, 1
	w.now += w.c.cfg.WorkerLease
	if _, ok := w.c.HandleReportInGrace(w.now, &next); !ok {
		t.Error("refused in the next session")
	}
	w.want("counted", w.c.team("blue").used, Resources{})
	// It is also void once the token is raised.
	f.status = next
	w.submit(JobSpec{ID: "job-2", Tasks: 1})
	f.executeDirect()
	w.cancel("job-2")
	for range 8 {
		w.advance(3 * Second)
		f.reportRefused()
	}
	w.advance(3 * Second)
	w.want("refused again", f.reportRefused(), true)
	w.c.HandleTokenRaised(w.now, 200)
	w.want("refused with a new token", f.reportRefused(), false)
}

// TestLateStartOnHungMachine covers a machine that hangs until an unanswered direct start of a
// cancelled job's task must not be executed any more. Its report is not answered, and the token is
// raised at once; with the new token it is answered again, and its other tasks keep running. They
// were lost with the lease when only an accepted report caused the token to be raised.
func TestLateStartOnHungMachine(t *testing.T) {
	w := newWorld(t, blue)
	w.beginTerm(100, nil, Snapshot{})
	f := w.newWorker("n-1", "a").report()
	w.submit(JobSpec{ID: "job-1", Tasks: 1})
	f.executeDirect()
	f.report()
	f.losesCommands = true
	w.submit(JobSpec{ID: "job-2", Tasks: 1})
	f.executeDirect()
	w.cancel("job-2")
	m := w.c.machines["n-1"]
	w.now += w.c.cfg.MaxCancelStaleness
	m.lastAcknowledged, m.lastReport = w.now, w.now // its lease must not expire in this test
	raised := w.tokenRaises
	w.want("refused", f.reportRefused(), true)
	w.want("requests for a new token", w.tokenRaises, raised+1)
	w.c.HandleTokenRaised(w.now, 200)
	w.want("refused with the new token", f.reportRefused(), false)
	w.want("tasks that keep running", f.liveTasks(), "job-1/0 ")
}

// TestOldReport checks that a delayed duplicate of a report, also of an earlier session, changes no
// task and extends no lease. Otherwise a failed machine would be waited for as long as duplicates
// of its reports arrive.
func TestOldReport(t *testing.T) {
	w := newWorld(t, blue)
	w.beginTerm(100, nil, Snapshot{})
	f := w.newWorker("n-1", "a").report()
	w.submit(JobSpec{ID: "job-1", Tasks: 1})
	f.executeDirect()
	empty := Report{Machine: "n-1", Type: "m", Zone: "a", Session: 1, Seq: 1, Token: 100, SpotNotice: -1}
	done := f.status
	done.Tasks = append([]TaskReport(nil), f.status.Tasks...)
	done.Tasks[0].State, done.Tasks[0].Cause = Exited, CauseDone
	w.advance(3 * Second)
	f.report()
	m := w.c.machines["n-1"]
	reportedAt := w.now
	for name, r := range map[string]Report{
		"without the task":       empty,
		"with the task finished": done,
		"of an earlier session":  {Machine: "n-1", Type: "m", Zone: "a", Session: 0, Seq: 99, Token: 100, SpotNotice: -1},
	} {
		w.now += 4 * Second
		cmds, _, _ := w.c.HandleReport(w.now, &r)
		w.want(name+": commands", len(cmds), 0)
		w.want(name+": counted", w.c.team("blue").used, Resources{2000, 0, 2000})
		w.want(name+": finished", w.c.jobs["job-1"].done, 0)
		w.want(name+": start of its lease", m.lastAcknowledged, reportedAt)
	}
	// A duplicate from the earlier session has no effect on a later session.
	f.status.Session, f.status.Seq, f.status.Tasks = 2, 0, nil
	f.report()
	acknowledged := m.lastAcknowledged
	w.now += Second
	w.c.HandleReport(w.now, &done)
	w.want("start of its lease", m.lastAcknowledged, acknowledged)
	w.want("session", m.session, uint64(2))
}

// TestInboundLossTakeover covers a takeover with a machine whose reports reach the new leader, but
// that keeps the former leader's token because no answer arrives. Its reports must not be answered
// for ever: only the end of its lease makes known what runs on it, and until then all unaccounted
// tasks of started jobs wait. The lease includes the time in which the former leader may have
// answered.
func TestInboundLossTakeover(t *testing.T) {
	w := newWorld(t, blue)
	w.c.cfg.AnswerGrace = 20 * Second
	spec := JobSpec{ID: "job-1", Tasks: 2, Team: "blue", Resources: Resources{2000, 0, 2000}, Image: "im"}
	w.beginTerm(200, []JobRecord{{Spec: spec, Revision: 3}}, Snapshot{MachineGroups: recordedMachines("n-1", "n-2"), Started: []string{"job-1"}})
	began := w.now
	healthy := w.newWorker("n-2", "a")
	lossy := w.newWorker("n-1", "a")
	lossy.status.Token, lossy.losesCommands = 100, true
	lossy.status.Tasks = []TaskReport{{Job: "job-1", Index: 0, Attempt: 100<<24 | 1, State: Running}}
	m := w.c.machines["n-1"]
	refused := 0
	for w.c.unreconciled > 0 && w.now-began < 200*Second {
		w.advance(3 * Second)
		healthy.report()
		if lossy.reportRefused() {
			refused++
		}
		lossy.executeDirect()
		if !m.reconciled && m.lastAcknowledged < began+20*Second {
			t.Fatal("the former leader's grace is not part of the lease")
		}
	}
	w.want("not answered", refused > 0, true)
	if took := w.now - began; took < 36*Second || took > 45*Second {
		t.Errorf("reconciled after %d s", took/Second)
	}
	w.advance(3 * Second)
	healthy.executeDirect()
	w.want("both tasks run on the healthy machine", healthy.liveTasks(), "job-1/0 job-1/1 ")
}

// TestInboundLoss checks that a machine that executes no commands gets no more tasks, that tasks
// whose start never reached it are started elsewhere, and that it gets tasks again once it replies
// to a direct command. Without detection it got tasks again and again, and lost them with each of
// its leases.
func TestInboundLoss(t *testing.T) {
	w := newWorld(t, blue)
	w.beginTerm(100, nil, Snapshot{})
	f := w.newWorker("n-1", "a").report()
	m := w.c.machines["n-1"]
	f.losesCommands = true
	w.submit(JobSpec{ID: "job-1", Tasks: 1})
	for range 4 { // its reports are answered, but no answer arrives
		f.executeDirect()
		w.advance(3 * Second)
		f.reportRefused()
	}
	w.want("deaf", m.inboundLost, true)
	w.submit(JobSpec{ID: "job-2", Tasks: 1})
	g := w.newWorker("n-2", "a").report()
	g.executeDirect()
	w.want("new tasks run elsewhere", g.liveTasks(), "job-2/0 ")
	f.status.Session, f.status.Seq = 2, 0 // its lease has expired
	w.advance(3 * Second)
	f.reportRefused()
	w.advance(Second)
	g.executeDirect()
	w.want("tasks never started there run elsewhere", g.liveTasks(), "job-2/0 job-1/0 ")
	f.losesCommands = false
	f.executeDirect() // a probe gets through
	w.want("deaf", m.inboundLost, false)
	f.report()
	w.want("usable", w.c.schedulable(m, w.now), true)

	// A lease that expires although the reports were answered is a sign of inbound loss, too.
	w.advance(3 * Second)
	f.report()
	f.status.Session, f.status.Seq, f.losesCommands = 3, 0, true
	w.advance(Second)
	f.reportRefused()
	w.want("inbound loss in a new session", m.inboundLost, true)
}

// TestLateCompletionWrite guards against the loss of completions by a late write. A write of a
// completion record without an answer may be executed after the next one. When both used the same
// key, the late one overwrote what the other had added, and after a change of leader tasks ran
// again whose completion had been recorded and which their workers had forgotten.
func TestLateCompletionWrite(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"})
	w.beginTerm(100, nil, Snapshot{})
	f := w.newWorker("n-1", "a").report()
	w.submit(JobSpec{ID: "job-1", Tasks: 3})
	f.executeDirect()
	f.report()
	completions := func() (out []CompletionRecord) {
		for _, v := range w.puts {
			if r, ok := v.(CompletionRecord); ok {
				out = append(out, r)
			}
		}
		return out
	}
	first := f.status.Tasks[0].Index
	f.exitTask(0, CauseDone)
	w.failPrefix, w.failOutcome = CompletionPrefix, WriteUnknown
	f.report()
	w.advance(11 * Second) // the write gets no answer
	late := CompletionRecord{CompletionKey("job-1", 16, 0, 0), "job-1", 0, []int{first, first}}
	f.exitTask(1, CauseDone)
	f.report()
	w.failPrefix = ""
	w.advance(11 * Second)
	w.raiseToken()
	f.report()
	if got := completions(); len(got) != 1 || got[0].Key == late.Key || fmt.Sprint(got[0].Ranges) == fmt.Sprint(late.Ranges) {
		t.Fatalf("the next completion record is %v", got)
	}
	w.want("forgotten", len(f.status.Tasks), 1)
	// The late write is executed, and another leader reads both records.
	w2 := newWorld(t, Team{Name: "blue"})
	spec := w.c.jobs["job-1"].spec
	w2.beginTerm(200, []JobRecord{{Spec: spec, Revision: 3}}, Snapshot{Completions: append(completions(), late), Started: []string{"job-1"}})
	w2.want("finished", w2.c.jobs["job-1"].done, 2)
	// The final record of the job deletes both completion records.
	f.exitTask(0, CauseDone)
	f.report()
	w.want("dropped", w.deletes[late.Key] && w.deletes[CompletionKey("job-1", 16, 0, 1)], true)
}

// TestIdleMachineKeptUntilCompletionsStored checks that an idle machine is not released before its
// completed tasks are recorded. If the leader failed before that, the machine's reports would be
// the only source for the next leader, which would run the tasks again without them.
func TestIdleMachineKeptUntilCompletionsStored(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"})
	w.beginTerm(100, nil, Snapshot{})
	f := w.newWorker("n-1", "a").report()
	w.submit(JobSpec{ID: "job-1", Tasks: 2})
	f.executeDirect()
	f.report()
	f.exitTask(0, CauseDone)
	f.exitTask(1, CauseStopped)
	w.c.jobs["job-1"].notBefore = MaxMicros // the stopped task is not started again
	w.failWrites = true
	for range 90 {
		w.advance(Second)
		f.report()
	}
	w.want("returned", len(w.releases), 0)
	w.failWrites = false
	for range 30 {
		w.advance(Second)
		f.report()
	}
	w.want("released once recorded", len(w.releases), 1)
}
