package core

import "testing"

// TestLeaseValidUntil checks that a leader stops acting before its lease can have expired on
// another clock.
func TestLeaseValidUntil(t *testing.T) {
	if got := LeaseValidUntil(10*Second, 3*Second); got >= 13*Second || got < 12*Second {
		t.Errorf("lease is valid until %d", got)
	}
}

// TestShouldResign guards against a leader that is partitioned from the workers only, and keeps its
// own lease while theirs expire.
func TestShouldResign(t *testing.T) {
	const gap = 3 * Second
	for _, c := range []struct {
		name                    string
		termBeganAt, lastReport Micros
		peer, acknowledged      bool
		want                    bool
	}{
		{"recent report", 0, 99 * Second, true, true, false},
		{"short time without reports", 0, 94 * Second, true, true, false},
		{"no reports, a peer receives some", 0, 92 * Second, true, true, true},
		{"no reports at any controller", 0, 50 * Second, false, true, false},
		{"new term", 95 * Second, 50 * Second, true, true, false},
		{"reports in this term, no answer accepted", 60 * Second, 92 * Second, true, false, false},
		{"no reports in this term", 60 * Second, 50 * Second, true, false, true},
	} {
		if got := ShouldResign(100*Second, c.termBeganAt, c.lastReport, gap, c.peer, c.acknowledged); got != c.want {
			t.Errorf("%s: got %v", c.name, got)
		}
	}
}

// TestLostMachine checks that the tasks of a machine are started elsewhere only when its lease has
// expired, counted from the last answer, when it reports a new session, when its release has
// succeeded, or when the cloud lists it as failed.
func TestLostMachine(t *testing.T) {
	for _, c := range []struct {
		name  string
		event func(w *world, f *fakeWorker)
		moved bool
	}{
		{"no report for less than the lease", func(w *world, f *fakeWorker) { w.advance(15 * Second) }, false},
		{"lease expired", func(w *world, f *fakeWorker) { w.advance(17 * Second) }, true},
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
		{"release failed", func(w *world, f *fakeWorker) { w.c.HandleReleaseResult(w.now, []string{"n-1"}, false); w.step() }, false},
		{"release succeeded", func(w *world, f *fakeWorker) { w.c.HandleReleaseResult(w.now, []string{"n-1"}, true); w.step() }, true},
		{"listed as failed", func(w *world, f *fakeWorker) {
			w.c.HandleMachineList(w.now, []ListedMachine{{Name: "n-1", Failed: true}})
			w.step()
		}, true},
		{"missing from the lagging list", func(w *world, f *fakeWorker) { w.c.HandleMachineList(w.now, nil); w.step() }, false},
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

// TestSessionLease checks that the lease of a new session counts from its start, and not from the
// last answer, which belongs to the previous session. Otherwise a machine whose reports did not
// arrive was marked as lost in the middle of its session. It gets no task before it reports again;
// see TestOutboundLoss.
func TestSessionLease(t *testing.T) {
	w := newWorld(t, blue)
	w.beginTerm(100, nil, Snapshot{})
	f := w.newWorker("n-1", "a").report()
	w.advance(15 * Second)
	// The worker refuses a direct command: it is in its next session.
	r := f.status
	r.Session, r.Seq = 2, 1
	w.c.HandleCommandResult(w.now, "n-1", 100, Refused, &r)
	f.status = r
	w.submit(JobSpec{ID: "job-1", Tasks: 1})
	f.executeDirect()
	w.want("started directly", f.liveTasks(), "")
	w.want("start of its lease", w.c.machines["n-1"].lastAcknowledged, w.now)
	for range 5 {
		w.advance(3 * Second)
		f.executeDirect()
		w.want("lost", w.c.machines["n-1"].lost, false)
	}
	w.advance(3 * Second)
	w.want("lost after its lease", w.c.machines["n-1"].lost, true)
}
