package core

import "testing"

// TestLeaseUntil: a leader stops before its lease can be over by another clock.
func TestLeaseValidUntil(t *testing.T) {
	if got := LeaseValidUntil(10*Second, 3*Second); got >= 13*Second || got < 12*Second {
		t.Errorf("acts until %d", got)
	}
}

// TestShouldResign guards against a leader that is cut off from the workers
// alone and keeps its lease while theirs run out.
func TestShouldResign(t *testing.T) {
	const gap = 3 * Second
	for _, c := range []struct {
		name            string
		begun, lastBeat Micros
		peer, taken     bool
		want            bool
	}{
		{"hears workers", 0, 99 * Second, true, true, false},
		{"a short silence", 0, 94 * Second, true, true, false},
		{"silence, a peer hears them", 0, 92 * Second, true, true, true},
		{"silence for all", 0, 50 * Second, false, true, false},
		{"new term", 95 * Second, 50 * Second, true, true, false},
		{"heard in this term, and none took an answer", 60 * Second, 92 * Second, true, false, false},
		{"none heard in this term", 60 * Second, 50 * Second, true, false, true},
	} {
		if got := ShouldResign(100*Second, c.begun, c.lastBeat, gap, c.peer, c.taken); got != c.want {
			t.Errorf("%s: got %v", c.name, got)
		}
	}
}

// TestLostMachine: tasks of a machine start elsewhere only when its lease is
// over, counted from the last answer, when it shows a new session, or when a
// return of it was answered.
func TestLostMachine(t *testing.T) {
	for _, c := range []struct {
		name  string
		event func(w *world, f *fakeWorker)
		moved bool
	}{
		{"silent for less than the lease", func(w *world, f *fakeWorker) { w.advance(15 * Second) }, false},
		{"lease over", func(w *world, f *fakeWorker) { w.advance(17 * Second) }, true},
		{"new session", func(w *world, f *fakeWorker) {
			f.status.Session, f.status.Tasks = 2, nil
			f.status.Seq++
			r := f.status
			w.c.HandleReport(w.now, &r)
			w.step()
		}, true},
		{"older report", func(w *world, f *fakeWorker) {
			r := f.status
			r.Seq, r.Tasks = 1, nil
			w.c.HandleReport(w.now, &r)
			w.step()
		}, false},
		{"return not answered", func(w *world, f *fakeWorker) { w.c.ReleaseResult(w.now, []string{"n-1"}, false); w.step() }, false},
		{"return answered", func(w *world, f *fakeWorker) { w.c.ReleaseResult(w.now, []string{"n-1"}, true); w.step() }, true},
		{"listed as failed", func(w *world, f *fakeWorker) {
			w.c.HandleMachineList(w.now, []ListedMachine{{Name: "n-1", Failed: true}})
			w.step()
		}, true},
		{"missing from the late list", func(w *world, f *fakeWorker) { w.c.HandleMachineList(w.now, nil); w.step() }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, blue)
			w.beginTerm(100, nil, Snapshot{})
			f := w.newWorker("n-1", "a").report()
			w.submit(JobSpec{ID: "job-1", Tasks: 1})
			f.executeDirect()
			f.report()
			w.want("runs", f.liveTasks(), "job-1/0 ")
			w.sent = nil
			c.event(w, f)
			p := w.c.jobs["job-1"].live[0]
			w.want("moved", p == nil || p.machine.name != "n-1" || p.attempt != w.c.token<<24|1, c.moved)
		})
	}
}

// TestSessionLease: a new session's lease counts from when it began, not from
// the last answer, which belongs to the session before: a machine whose beats did
// not get through was counted as lost in the midst of its session. It is given
// nothing before it reports again (TestMuteMachine).
func TestSessionLease(t *testing.T) {
	w := newWorld(t, blue)
	w.beginTerm(100, nil, Snapshot{})
	f := w.newWorker("n-1", "a").report()
	w.advance(15 * Second)
	// A direct command is refused: the worker has begun its next session.
	r := f.status
	r.Session, r.Seq = 2, 1
	w.c.CommandResult(w.now, "n-1", 100, Refused, &r)
	f.status = r
	w.submit(JobSpec{ID: "job-1", Tasks: 1})
	f.executeDirect()
	w.want("started directly", f.liveTasks(), "")
	w.want("its lease counts from", w.c.machines["n-1"].lastAcknowledged, w.now)
	for range 5 {
		w.advance(3 * Second)
		f.executeDirect()
		w.want("lost", w.c.machines["n-1"].lost, false)
	}
	w.advance(3 * Second)
	w.want("lost, its lease is over", w.c.machines["n-1"].lost, true)
}
