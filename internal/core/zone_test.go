package core

import (
	"fmt"
	"testing"
)

// zoned is a world of twelve machines in each of the zones a and b, of which b
// has a deputy. One service task or one task of an array runs on each.
func setupTasksInBothZones(t *testing.T, kind Kind) (w *world, d *Delegate, a, b []*fakeWorker) {
	w = newWorld(t, Team{Name: "blue"})
	w.c.cfg.Tuning.SuspectAfter = 2 * Second
	d = &Delegate{}
	w.c.SetDelegates("b", []*Delegate{d})
	w.beginTerm(100, nil, Snapshot{})
	for i := range 12 {
		a = append(a, w.newWorker(fmt.Sprintf("a-%d", i), "a").report())
		b = append(b, w.newWorker(fmt.Sprintf("b-%d", i), "b").report())
	}
	w.submit(JobSpec{ID: "job-1", Kind: kind, Tasks: 24, Request: Resources{8000, 0, 2000}})
	w.reportRounds(4, append(a[:12:12], b...))
	w.want("placed", len(w.c.jobs["job-1"].live), 24)
	return w, d, a, b
}

// silence lets these machines answer nothing for a while, the others report.
func (w *world) runWithSilentWorkers(n int, silent, others []*fakeWorker) {
	for range n {
		w.advance(Second)
		for _, f := range silent {
			f.losesCommands = true
			f.executeDirect()
		}
		for _, f := range others {
			f.executeDirect()
			f.report()
		}
	}
}

func (w *world) releasedMachines() int {
	n := len(w.c.releaseQueue)
	for _, r := range w.releases {
		n += len(r.Machines)
	}
	return n
}

// TestZoneCut: machines that die one by one are given back; a zone that falls
// silent as a whole is cut off, and what serves there is kept. It was all given
// back within ten seconds, a third of the fleet.
func TestZonePartition(t *testing.T) {
	for _, c := range []struct {
		name   string
		kind   Kind
		silent int // machines of zone b
		spoke  bool
		back   int
	}{
		{"some die", Service, 4, true, 4},
		{"a zone that serves", Service, 12, true, 0},
		{"a zone of arrays", Array, 12, true, 12},
		{"a zone without anybody to answer in it", Service, 12, false, 12},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, d, a, b := setupTasksInBothZones(t, c.kind)
			w.runWithSilentWorkers(20, nil, append(a[:12:12], b...)) // the term is not new any more
			if c.spoke {
				d.HandleReply(w.now, w.now, 1, -1)
			}
			w.runWithSilentWorkers(8, b[:c.silent], append(a[:12:12], b[c.silent:]...))
			w.want("given back", w.releasedMachines(), c.back)
			cut := c.silent == 12 && c.spoke
			w.want("cut off", w.c.partitioned("b", w.now), cut)
			d2 := demand{c: w.c, now: w.now, requested: map[offer]bool{}, counts: map[offer]int{}}
			w.want("rented there", d2.mayRequest(offer{"g", "b", false}), !cut)
		})
	}
}

// TestMended: once a zone that was cut off is heard again, a machine there that
// is not is dead. It was spared for two report gaps more, and a takeover with it.
func TestPartitionHealed(t *testing.T) {
	w, d, a, b := setupTasksInBothZones(t, Service)
	w.runWithSilentWorkers(20, nil, append(a[:12:12], b...))
	d.HandleReply(w.now, w.now, 1, -1)
	w.runWithSilentWorkers(6, b, a)
	w.want("given back in the cut", w.releasedMachines(), 0)
	for _, f := range b[1:] {
		f.losesCommands = false
	}
	w.runWithSilentWorkers(8, b[:1], append(a[:12:12], b[1:]...))
	w.want("given back after it", w.releasedMachines(), 1)
}

// TestDeputyLeases: the lease of a machine that a deputy may have answered is
// not counted down before what that did is known, or can do nothing more.
func TestDelegateLeases(t *testing.T) {
	const s = Second
	for _, c := range []struct {
		name string
		do   func(d *Delegate) // the machine was answered last at 0; its lease is 16 s
		over Micros
	}{
		{"nothing was permitted", func(d *Delegate) {}, 17 * s},
		{"permitted, and nothing heard since", func(d *Delegate) { d.Grant(2*s, 20*s) }, 39 * s},
		{"it says in time that it answered nothing", func(d *Delegate) { d.Grant(2*s, 20*s); d.HandleReply(17*s, 17*s+s/2, 1, -1) }, 17 * s},
		{"it said so too early", func(d *Delegate) { d.Grant(2*s, 20*s); d.HandleReply(15*s, 15*s, 1, -1) }, 39 * s},
		{"it says that it answered", func(d *Delegate) { d.Grant(2*s, 20*s); d.HandleReply(35*s, 36*s, 1, 26*s) }, 27 * s},
		{"its former process may have answered", func(d *Delegate) {
			d.Grant(2*s, 20*s)
			d.HandleReply(3*s, 3*s, 1, -1)
			d.HandleReply(8*s, 8*s, 2, -1)
			d.HandleReply(30*s, 30*s, 2, -1)
		}, 25 * s},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t)
			d := &Delegate{}
			w.c.SetDelegates("a", []*Delegate{d})
			c.do(d)
			m := &machine{zone: "a"}
			w.want("a second before", w.c.leaseExpired(m, c.over-s), false)
			w.want("then", w.c.leaseExpired(m, c.over), true)
		})
	}
}

// TestPermission: a permission counts from the deputy's own reply, so one that
// was held up on its way is not longer, and it ends with the leader.
func TestDelegation(t *testing.T) {
	const s = Second
	for _, c := range []struct {
		name                string
		echo, token         uint64
		at, ask             Micros
		leader, worker, got uint64
	}{
		{"in time", 7, 100, 11 * s, 25 * s, 100, 100, 100},
		{"over", 7, 100, 11 * s, 30 * s, 100, 100, 0},
		{"came late", 7, 100, 29 * s, 30 * s, 100, 100, 0},
		{"of an earlier reply", 6, 100, 11 * s, 12 * s, 100, 100, 0},
		{"of no reply", 0, 100, 11 * s, 12 * s, 100, 100, 0},
		{"another leads by now", 7, 100, 11 * s, 12 * s, 101, 100, 0},
		{"the worker knows of another", 7, 100, 11 * s, 12 * s, 100, 101, 0},
		{"the worker has not seen this one", 7, 100, 11 * s, 12 * s, 100, 90, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			var p Delegation
			p.NoteReply(10*s, 7)
			p.Accept(c.token, c.echo, 20*s)
			if got := p.Token(c.ask, c.leader, c.worker); got != c.got {
				t.Errorf("answers under %d, want %d", got, c.got)
			}
		})
	}
}

// TestBlind: what is answered at the last moment without knowledge of a
// cancellation is over before the tasks have to be.
func TestMaxCancelStaleness(t *testing.T) {
	for _, c := range []struct{ lease, cancel, want Micros }{
		{22 * Second, 42 * Second, 20*Second - Second - 64*Millisecond},
		{30 * Second, 30 * Second, 0},
		{16 * Second, 0, MaxMicros},
	} {
		if got := MaxCancelStaleness(c.lease, c.cancel); got != c.want {
			t.Errorf("lease %d, cancel %d: got %d, want %d", c.lease, c.cancel, got, c.want)
		}
	}
}

// TestProbesOfDeleted: probes that are under way to machines that are deleted
// are over. They counted for ever, and after a wave no machine was probed any
// more: a hundred that hung were found when their leases ran out.
func TestProbesOfDeletedMachines(t *testing.T) {
	w, _, a, b := setupTasksInBothZones(t, Service)
	for _, f := range append(a, b...) {
		w.c.queueProbe(w.c.machines[f.status.Machine])
	}
	w.advance(5 * Second) // nobody answers
	if w.c.probesInFlight == 0 {
		t.Fatal("nothing was probed")
	}
	for _, f := range append(a, b...) {
		w.c.removeMachine(w.c.machines[f.status.Machine], w.now)
	}
	w.want("probes under way", w.c.probesInFlight, 0)
}

// TestStopCancelled: whoever answers a worker stops what is known as cancelled,
// and nothing else.
func TestStopCancelled(t *testing.T) {
	got := StopCancelled([]TaskReport{
		{Job: "job-1", Index: 2, Attempt: 9, State: Running}, {Job: "job-1", Index: 3, Attempt: 9, State: Exited}, {Job: "job-2", State: Running},
	}, func(job string) bool { return job == "job-1" })
	if len(got) != 1 || got[0] != (Command{Op: Stop, Job: "job-1", Index: 2, Attempt: 9}) {
		t.Errorf("got %v", got)
	}
}

// TestDeaf: a leader that loses all workers at one moment gives none of them
// back. It looked at who had been heard within a report's gap, which for most of
// that time are nearly all: 230 machines were given back at tolling fleet.
func TestAllWorkersUnreachable(t *testing.T) {
	w, _, a, b := setupTasksInBothZones(t, Service)
	all := append(a[:12:12], b...)
	w.runWithSilentWorkers(12, all, nil)
	w.want("given back", w.releasedMachines(), 0)
	for _, f := range all {
		f.losesCommands = false
	}
	w.runWithSilentWorkers(3, nil, all)
	w.runWithSilentWorkers(8, a[:2], all[2:])
	w.want("given back when two are silent", w.releasedMachines(), 2)

	w = newWorld(t, blue)
	w.c.cfg.Tuning.SuspectAfter = Second
	w.beginTerm(100, nil, Snapshot{MachineGroups: recordedMachines("n-1", "n-2", "n-3")})
	for _, n := range []string{"n-1", "n-2", "n-3"} {
		all = append(all, &fakeWorker{w: w, status: Report{Machine: n, Session: 1, SpotNotice: -1}})
	}
	w.runWithSilentWorkers(4, all, nil)
	w.want("given back by a new leader that hears nobody", w.releasedMachines(), 0)
}

// TestLastOfTakeover: the last machine that a takeover waits for is waited for
// half as long as others: all that was opened before waits with it.
func TestLastUnreconciledMachine(t *testing.T) {
	for _, c := range []struct{ silent, back int }{{1, 1}, {4, 0}} {
		w := newWorld(t, blue)
		var names []string
		var fs []*fakeWorker
		for i := range 24 {
			names = append(names, fmt.Sprintf("n-%02d", i))
			fs = append(fs, w.newWorker(names[i], "a"))
		}
		w.beginTerm(100, nil, Snapshot{MachineGroups: recordedMachines(names...)})
		w.runWithSilentWorkers(5, fs[:c.silent], fs[c.silent:]) // suspects are given up after 7 s
		w.want(fmt.Sprintf("given back of %d", c.silent), w.releasedMachines(), c.back)
	}
}

// TestLonely: a leader that all workers stop reaching rents nothing for what it misses
// before it is clear that no peer hears them: on a recorded day one rented 392 machines
// in the twelve seconds until it resigned. If they are dead it replaces them then.
func TestNoRentalsBeforeResigning(t *testing.T) {
	w, _, a, b := setupTasksInBothZones(t, Array)
	w.runWithSilentWorkers(4, append(a[:12:12], b...), nil)
	w.rentals = nil
	w.submit(JobSpec{ID: "job-2", Kind: Array, Tasks: 24, Request: Resources{8000, 0, 2000}})
	w.runWithSilentWorkers(4, append(a[:12:12], b...), nil)
	w.want("requests for machines while a peer may hear them", len(w.rentals), 0)
	w.runWithSilentWorkers(8, append(a[:12:12], b...), nil)
	w.want("machines are rented then", len(w.rentals) > 0, true)
}
