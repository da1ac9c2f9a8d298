package core

import (
	"fmt"
	"testing"
)

// refused reports in the fake's name and says whether the beat is refused.
func (f *fakeWorker) reportRefused() bool {
	f.status.Seq++
	r := f.status
	r.Tasks = append([]TaskReport(nil), f.status.Tasks...)
	_, _, ok := f.w.c.HandleReport(f.w.now, &r)
	f.w.step()
	return !ok
}

// TestLateStartOfCancelled: where a direct start may still arrive and the token can't be
// raised, since the state service refuses the leader and then everybody, the machine's
// lease has to end in time for the job's cancellation: the start would be carried out
// after it.
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
		t.Error("answered in grace")
	}
	f.status.Seq++
	// The next session is free of it.
	next := f.status
	next.Session, next.Seq = 2, 1
	w.now += w.c.cfg.WorkerLease
	if _, ok := w.c.HandleReportInGrace(w.now, &next); !ok {
		t.Error("refused in the next session")
	}
	w.want("counted", w.c.team("blue").used, Resources{})
	// And so is the machine once the token is raised after all.
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
	w.c.TokenRaised(w.now, 200)
	w.want("refused under a new token", f.reportRefused(), false)
}

// TestLateStartOnHungMachine: a machine that hangs until a direct start of a cancelled job may
// not begin any more is not answered, and the token is raised at once: under it the machine is
// answered again, and its other tasks go on. They ended with its lease, since only a report
// that was taken asked for a new token.
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
	m.lastAcknowledged, m.lastReport = w.now, w.now // whatever else keeps its lease alive
	raised := w.tokenRaises
	w.want("refused", f.reportRefused(), true)
	w.want("a new token is asked for", w.tokenRaises, raised+1)
	w.c.TokenRaised(w.now, 200)
	w.want("refused under it", f.reportRefused(), false)
	w.want("runs on", f.liveTasks(), "job-1/0 ")
}

// TestOldReport: a copy of an earlier report, also of an earlier session, neither frees
// nor finishes nor starts anything, and lengthens no lease: a machine that is silent
// would be waited for as long as copies of what it once said arrive.
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
	heard := w.now
	for name, r := range map[string]Report{
		"without the task":       empty,
		"with another end of it": done,
		"of an earlier session":  {Machine: "n-1", Type: "m", Zone: "a", Session: 0, Seq: 99, Token: 100, SpotNotice: -1},
	} {
		w.now += 4 * Second
		cmds, _, _ := w.c.HandleReport(w.now, &r)
		w.want(name+": commands", len(cmds), 0)
		w.want(name+": counted", w.c.team("blue").used, Resources{2000, 0, 2000})
		w.want(name+": finished", w.c.jobs["job-1"].done, 0)
		w.want(name+": its lease counts from", m.lastAcknowledged, heard)
	}
	// In a later session that was begun meanwhile, an old one brings nothing back.
	f.status.Session, f.status.Seq, f.status.Tasks = 2, 0, nil
	f.report()
	answered := m.lastAcknowledged
	w.now += Second
	w.c.HandleReport(w.now, &done)
	w.want("its lease counts from", m.lastAcknowledged, answered)
	w.want("session", m.session, uint64(2))
}

// TestDeafTakeover: a machine whose reports reach a new leader, and that goes on under
// the former one's token, is not answered again and again: only the end of its lease
// tells what is on it, and all tasks of opened jobs would wait for that without end.
// What the former leader may have answered it counts meanwhile.
func TestInboundLossTakeover(t *testing.T) {
	w := newWorld(t, blue)
	w.c.cfg.AnswerGrace = 20 * Second
	spec := JobSpec{ID: "job-1", Tasks: 2, Team: "blue", Request: Resources{2000, 0, 2000}, Image: "im"}
	w.beginTerm(200, []JobRecord{{Spec: spec, Revision: 3}}, Snapshot{MachineGroups: recordedMachines("n-1", "n-2"), Started: []string{"job-1"}})
	began := w.now
	hears := w.newWorker("n-2", "a")
	deaf := w.newWorker("n-1", "a")
	deaf.status.Token, deaf.losesCommands = 100, true
	deaf.status.Tasks = []TaskReport{{Job: "job-1", Index: 0, Attempt: 100<<24 | 1, State: Running}}
	m := w.c.machines["n-1"]
	refused := 0
	for w.c.unreconciled > 0 && w.now-began < 200*Second {
		w.advance(3 * Second)
		hears.report()
		if deaf.reportRefused() {
			refused++
		}
		deaf.executeDirect()
		if !m.reconciled && m.lastAcknowledged < began+20*Second {
			t.Fatal("what a former leader may answer is not counted")
		}
	}
	w.want("not answered", refused > 0, true)
	if took := w.now - began; took < 36*Second || took > 45*Second {
		t.Errorf("settled after %d s", took/Second)
	}
	w.advance(3 * Second)
	hears.executeDirect()
	w.want("both tasks run where it is heard", hears.liveTasks(), "job-1/0 job-1/1 ")
}

// TestDeafMachine: a machine that does not do what it is told gets no more tasks, and
// what never reached it goes elsewhere; once it answers a direct command it is given
// tasks again. It was given them over and over, and lost them with each of its leases.
func TestInboundLoss(t *testing.T) {
	w := newWorld(t, blue)
	w.beginTerm(100, nil, Snapshot{})
	f := w.newWorker("n-1", "a").report()
	m := w.c.machines["n-1"]
	f.losesCommands = true
	w.submit(JobSpec{ID: "job-1", Tasks: 1})
	for range 4 { // answered, and it does not hear
		f.executeDirect()
		w.advance(3 * Second)
		f.reportRefused()
	}
	w.want("deaf", m.inboundLost, true)
	w.submit(JobSpec{ID: "job-2", Tasks: 1})
	g := w.newWorker("n-2", "a").report()
	g.executeDirect()
	w.want("what comes runs elsewhere", g.liveTasks(), "job-2/0 ")
	f.status.Session, f.status.Seq = 2, 0 // its lease is over
	w.advance(3 * Second)
	f.reportRefused()
	w.advance(Second)
	g.executeDirect()
	w.want("what never reached it runs elsewhere", g.liveTasks(), "job-2/0 job-1/0 ")
	f.losesCommands = false
	f.executeDirect() // a probe gets through
	w.want("deaf", m.inboundLost, false)
	f.report()
	w.want("usable", w.c.schedulable(m, w.now), true)

	// A lease that runs out although the machine was answered shows it, too.
	w.advance(3 * Second)
	f.report()
	f.status.Session, f.status.Seq, f.losesCommands = 3, 0, true
	w.advance(Second)
	f.reportRefused()
	w.want("deaf in a new session", m.inboundLost, true)
}

// TestLateRanges: a write of finished tasks that got no answer may be carried out after
// the next one. It had the next one's key, and took from the record what that had added:
// tasks whose completion was recorded, and whose workers had forgotten them, ran again
// after a change of leader.
func TestLateRangeWrite(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"})
	w.beginTerm(100, nil, Snapshot{})
	f := w.newWorker("n-1", "a").report()
	w.submit(JobSpec{ID: "job-1", Tasks: 3})
	f.executeDirect()
	f.report()
	ranges := func() (out []CompletionRecord) {
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
	w.advance(11 * Second) // it goes out and gets no answer
	late := CompletionRecord{CompletionKey("job-1", 0, 0), "job-1", 0, []int{first, first}}
	f.exitTask(1, CauseDone)
	f.report()
	w.failPrefix = ""
	w.advance(11 * Second)
	f.report()
	if got := ranges(); len(got) != 1 || got[0].Key == late.Key || fmt.Sprint(got[0].Ranges) == fmt.Sprint(late.Ranges) {
		t.Fatalf("the next write of ranges is %v", got)
	}
	w.want("forgotten", len(f.status.Tasks), 1)
	// Now the first is carried out, and another leader reads both.
	w2 := newWorld(t, Team{Name: "blue"})
	spec := w.c.jobs["job-1"].spec
	w2.beginTerm(200, []JobRecord{{Spec: spec, Revision: 3}}, Snapshot{Completions: append(ranges(), late), Started: []string{"job-1"}})
	w2.want("finished", w2.c.jobs["job-1"].done, 2)
	// Whoever finishes the job drops both records.
	f.exitTask(0, CauseDone)
	f.report()
	w.want("dropped", w.deletes[late.Key] && w.deletes[CompletionKey("job-1", 0, 1)], true)
}

// TestEndsKept: an idle machine stays until its finished tasks are recorded: if the leader
// ended before that, the next one would learn of them from the machine's reports alone, and
// run them again.
func TestIdleMachineKeptUntilCompletionsStored(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"})
	w.beginTerm(100, nil, Snapshot{})
	f := w.newWorker("n-1", "a").report()
	w.submit(JobSpec{ID: "job-1", Tasks: 2})
	f.executeDirect()
	f.report()
	f.exitTask(0, CauseDone)
	f.exitTask(1, CauseStopped)
	w.c.jobs["job-1"].notBefore = MaxMicros // the other is not started again
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
	w.want("returned once recorded", len(w.releases), 1)
}
