package core

import (
	"fmt"
	"testing"
)

// refused reports in the fake's name and says whether the beat is refused.
func (f *fake) refused() bool {
	f.r.Seq++
	r := f.r
	r.Tasks = append([]TaskReport(nil), f.r.Tasks...)
	_, _, ok := f.w.c.Beat(f.w.now, &r)
	f.w.step()
	return !ok
}

// TestLateStartOfCancelled: where a direct start may still arrive and the token can't be
// raised, since the state service refuses the leader and then everybody, the machine's
// lease has to end in time for the job's cancellation: the start would be carried out
// after it.
func TestLateStartOfCancelled(t *testing.T) {
	w := newWorld(t, blue)
	w.begin(100, nil, Snapshot{})
	f := w.machine("n-1", "a").beat()
	f.lossy = true
	w.submit(JobSpec{ID: "job-1", Tasks: 1})
	f.direct()
	w.cancel("job-1")
	at := w.now
	for w.now-at < w.c.cfg.Blind-3*Second {
		w.pass(3 * Second)
		w.want(fmt.Sprint("refused after ", (w.now-at)/Second), f.refused(), false)
	}
	w.pass(3 * Second)
	w.want("refused", f.refused(), true)
	if _, ok := w.c.BeatInGrace(w.now, &Report{Machine: "n-1", Type: "m", Zone: "a", Session: 1, Seq: f.r.Seq + 1, Token: 100, Notice: -1}); ok {
		t.Error("answered in grace")
	}
	f.r.Seq++
	// The next session is free of it.
	next := f.r
	next.Session, next.Seq = 2, 1
	w.now += w.c.cfg.Lease
	if _, ok := w.c.BeatInGrace(w.now, &next); !ok {
		t.Error("refused in the next session")
	}
	w.want("counted", w.c.team("blue").used, Res{})
	// And so is the machine once the token is raised after all.
	f.r = next
	w.submit(JobSpec{ID: "job-2", Tasks: 1})
	f.direct()
	w.cancel("job-2")
	for range 8 {
		w.pass(3 * Second)
		f.refused()
	}
	w.pass(3 * Second)
	w.want("refused again", f.refused(), true)
	w.c.Raised(w.now, 200)
	w.want("refused under a new token", f.refused(), false)
}

// TestLateStartOnHungMachine: a machine that hangs until a direct start of a cancelled job may
// not begin any more is not answered, and the token is raised at once: under it the machine is
// answered again, and its other tasks go on. They ended with its lease, since only a report
// that was taken asked for a new token.
func TestLateStartOnHungMachine(t *testing.T) {
	w := newWorld(t, blue)
	w.begin(100, nil, Snapshot{})
	f := w.machine("n-1", "a").beat()
	w.submit(JobSpec{ID: "job-1", Tasks: 1})
	f.direct()
	f.beat()
	f.lossy = true
	w.submit(JobSpec{ID: "job-2", Tasks: 1})
	f.direct()
	w.cancel("job-2")
	m := w.c.machines["n-1"]
	w.now += w.c.cfg.Blind
	m.answered, m.heard = w.now, w.now // whatever else keeps its lease alive
	raised := w.raise
	w.want("refused", f.refused(), true)
	w.want("a new token is asked for", w.raise, raised+1)
	w.c.Raised(w.now, 200)
	w.want("refused under it", f.refused(), false)
	w.want("runs on", f.live(), "job-1/0 ")
}

// TestOldReport: a copy of an earlier report, also of an earlier session, neither frees
// nor finishes nor starts anything, and lengthens no lease: a machine that is silent
// would be waited for as long as copies of what it once said arrive.
func TestOldReport(t *testing.T) {
	w := newWorld(t, blue)
	w.begin(100, nil, Snapshot{})
	f := w.machine("n-1", "a").beat()
	w.submit(JobSpec{ID: "job-1", Tasks: 1})
	f.direct()
	empty := Report{Machine: "n-1", Type: "m", Zone: "a", Session: 1, Seq: 1, Token: 100, Notice: -1}
	done := f.r
	done.Tasks = append([]TaskReport(nil), f.r.Tasks...)
	done.Tasks[0].State, done.Tasks[0].Cause = Exited, CauseDone
	w.pass(3 * Second)
	f.beat()
	m := w.c.machines["n-1"]
	heard := w.now
	for name, r := range map[string]Report{
		"without the task":       empty,
		"with another end of it": done,
		"of an earlier session":  {Machine: "n-1", Type: "m", Zone: "a", Session: 0, Seq: 99, Token: 100, Notice: -1},
	} {
		w.now += 4 * Second
		cmds, _, _ := w.c.Beat(w.now, &r)
		w.want(name+": commands", len(cmds), 0)
		w.want(name+": counted", w.c.team("blue").used, Res{2000, 0, 2000})
		w.want(name+": finished", w.c.jobs["job-1"].done, 0)
		w.want(name+": its lease counts from", m.answered, heard)
	}
	// In a later session that was begun meanwhile, an old one brings nothing back.
	f.r.Session, f.r.Seq, f.r.Tasks = 2, 0, nil
	f.beat()
	answered := m.answered
	w.now += Second
	w.c.Beat(w.now, &done)
	w.want("its lease counts from", m.answered, answered)
	w.want("session", m.session, uint64(2))
}

// TestDeafTakeover: a machine whose reports reach a new leader, and that goes on under
// the former one's token, is not answered again and again: only the end of its lease
// tells what is on it, and all tasks of opened jobs would wait for that without end.
// What the former leader may have answered it counts meanwhile.
func TestDeafTakeover(t *testing.T) {
	w := newWorld(t, blue)
	w.c.cfg.AnswerGrace = 20 * Second
	spec := JobSpec{ID: "job-1", Tasks: 2, Team: "blue", Need: Res{2000, 0, 2000}, Image: "im"}
	w.begin(200, []JobRecord{{Spec: spec, Stamp: 3}}, Snapshot{Machines: recorded("n-1", "n-2"), Open: []string{"job-1"}})
	began := w.now
	hears := w.machine("n-2", "a")
	deaf := w.machine("n-1", "a")
	deaf.r.Token, deaf.lossy = 100, true
	deaf.r.Tasks = []TaskReport{{Job: "job-1", Index: 0, Attempt: 100<<24 | 1, State: Running}}
	m := w.c.machines["n-1"]
	refused := 0
	for w.c.unsettled > 0 && w.now-began < 200*Second {
		w.pass(3 * Second)
		hears.beat()
		if deaf.refused() {
			refused++
		}
		deaf.direct()
		if !m.settled && m.answered < began+20*Second {
			t.Fatal("what a former leader may answer is not counted")
		}
	}
	w.want("not answered", refused > 0, true)
	if took := w.now - began; took < 36*Second || took > 45*Second {
		t.Errorf("settled after %d s", took/Second)
	}
	w.pass(3 * Second)
	hears.direct()
	w.want("both tasks run where it is heard", hears.live(), "job-1/0 job-1/1 ")
}

// TestDeafMachine: a machine that does not do what it is told gets no more tasks, and
// what never reached it goes elsewhere; once it answers a direct command it is given
// tasks again. It was given them over and over, and lost them with each of its leases.
func TestDeafMachine(t *testing.T) {
	w := newWorld(t, blue)
	w.begin(100, nil, Snapshot{})
	f := w.machine("n-1", "a").beat()
	m := w.c.machines["n-1"]
	f.lossy = true
	w.submit(JobSpec{ID: "job-1", Tasks: 1})
	for range 4 { // answered, and it does not hear
		f.direct()
		w.pass(3 * Second)
		f.refused()
	}
	w.want("deaf", m.deaf, true)
	w.submit(JobSpec{ID: "job-2", Tasks: 1})
	g := w.machine("n-2", "a").beat()
	g.direct()
	w.want("what comes runs elsewhere", g.live(), "job-2/0 ")
	f.r.Session, f.r.Seq = 2, 0 // its lease is over
	w.pass(3 * Second)
	f.refused()
	w.pass(Second)
	g.direct()
	w.want("what never reached it runs elsewhere", g.live(), "job-2/0 job-1/0 ")
	f.lossy = false
	f.direct() // a probe gets through
	w.want("deaf", m.deaf, false)
	f.beat()
	w.want("usable", w.c.usable(m, w.now), true)

	// A lease that runs out although the machine was answered shows it, too.
	w.pass(3 * Second)
	f.beat()
	f.r.Session, f.r.Seq, f.lossy = 3, 0, true
	w.pass(Second)
	f.refused()
	w.want("deaf in a new session", m.deaf, true)
}

// TestLateRanges: a write of finished tasks that got no answer may be carried out after
// the next one. It had the next one's key, and took from the record what that had added:
// tasks whose completion was recorded, and whose workers had forgotten them, ran again
// after a change of leader.
func TestLateRanges(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"})
	w.begin(100, nil, Snapshot{})
	f := w.machine("n-1", "a").beat()
	w.submit(JobSpec{ID: "job-1", Tasks: 3})
	f.direct()
	f.beat()
	ranges := func() (out []RangeRecord) {
		for _, v := range w.puts {
			if r, ok := v.(RangeRecord); ok {
				out = append(out, r)
			}
		}
		return out
	}
	first := f.r.Tasks[0].Index
	f.exit(0, CauseDone)
	w.failKey, w.failAs = RangesPrefix, WriteUnknown
	f.beat()
	w.pass(11 * Second) // it goes out and gets no answer
	late := RangeRecord{RangeKey("job-1", 0, 0), "job-1", 0, []int{first, first}}
	f.exit(1, CauseDone)
	f.beat()
	w.failKey = ""
	w.pass(11 * Second)
	f.beat()
	if got := ranges(); len(got) != 1 || got[0].Key == late.Key || fmt.Sprint(got[0].Ranges) == fmt.Sprint(late.Ranges) {
		t.Fatalf("the next write of ranges is %v", got)
	}
	w.want("forgotten", len(f.r.Tasks), 1)
	// Now the first is carried out, and another leader reads both.
	w2 := newWorld(t, Team{Name: "blue"})
	spec := w.c.jobs["job-1"].spec
	w2.begin(200, []JobRecord{{Spec: spec, Stamp: 3}}, Snapshot{Ranges: append(ranges(), late), Open: []string{"job-1"}})
	w2.want("finished", w2.c.jobs["job-1"].done, 2)
	// Whoever finishes the job drops both records.
	f.exit(0, CauseDone)
	f.beat()
	w.want("dropped", w.drops[late.Key] && w.drops[RangeKey("job-1", 0, 1)], true)
}

// TestEndsKept: an idle machine stays until its finished tasks are recorded: if the leader
// ended before that, the next one would learn of them from the machine's reports alone, and
// run them again.
func TestEndsKept(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"})
	w.begin(100, nil, Snapshot{})
	f := w.machine("n-1", "a").beat()
	w.submit(JobSpec{ID: "job-1", Tasks: 2})
	f.direct()
	f.beat()
	f.exit(0, CauseDone)
	f.exit(1, CauseStopped)
	w.c.jobs["job-1"].notBefore = MaxMicros // the other is not started again
	w.failWrites = true
	for range 90 {
		w.pass(Second)
		f.beat()
	}
	w.want("returned", len(w.backs), 0)
	w.failWrites = false
	for range 30 {
		w.pass(Second)
		f.beat()
	}
	w.want("returned once recorded", len(w.backs), 1)
}
