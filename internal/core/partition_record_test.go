package core

import (
	"fmt"
	"maps"
	"slices"
	"testing"
)

// cutWorld is a world of twelve machines in each of the zones a and b, of which b
// has a deputy; a service of twelve tasks fills those of b, and those of a are free.
func setupServicesInZoneB(t *testing.T) (w *world, a, b []*fakeWorker) {
	w = newWorld(t, Team{Name: "blue"})
	w.c.cfg.Tuning.SuspectAfter, w.c.cfg.Tuning.IdleTimeout, w.c.cfg.MaxRecordBytes = 2*Second, MaxMicros, 200
	d := &Delegate{}
	w.c.SetDelegates("b", []*Delegate{d})
	w.beginTerm(100, nil, Snapshot{})
	for i := range 12 {
		b = append(b, w.newWorker(fmt.Sprintf("b-%02d", i), "b").report())
	}
	w.submit(JobSpec{ID: "job-1", Kind: Service, Tasks: 12, Request: Resources{8000, 0, 2000}})
	w.reportRounds(4, b)
	for i := range 12 {
		a = append(a, w.newWorker(fmt.Sprintf("a-%02d", i), "a").report())
	}
	w.reportRounds(10, append(a[:12:12], b...))
	d.HandleReply(w.now, w.now, 1, -1)
	w.c.rentals = map[string]*rental{}
	w.want("tasks in b", w.tasksIn("b"), 12)
	return w, a, b
}

func (w *world) tasksIn(zone string) (n int) {
	for _, m := range w.c.sortedMachines {
		if m.zone == zone {
			n += len(m.placements)
		}
	}
	return n
}

// kept lists the records of cuts that stand, as a new leader reads them.
func (w *world) partitionRecords() (out []PartitionRecord, tasks int) {
	for _, key := range slices.Sorted(maps.Keys(w.puts)) {
		if r, ok := w.puts[key].(PartitionRecord); ok && r.Zone != "" {
			out = append(out, r)
			for _, m := range r.Machines {
				tasks += len(m.Tasks)
			}
		}
	}
	return out, tasks
}

// next is a later leader of the same state service, which is told of the jobs.
func (w *world) nextLeader(jobs ...JobSpec) *world {
	o := newWorld(w.t, Team{Name: "blue"})
	o.now, o.c.cfg = w.now, w.c.cfg
	o.c.delegates = w.c.delegates
	snap := Snapshot{Started: []string{"job-1"}}
	snap.Partitions, _ = w.partitionRecords()
	rec := MachineGroupRecord{Key: MachinePrefix + "x"}
	for _, m := range w.c.sortedMachines {
		rec.Machines = append(rec.Machines, MachineRecord{m.name, m.address, m.typeName, m.zone, m.spot})
	}
	snap.MachineGroups = append(snap.MachineGroups, rec)
	var recs []JobRecord
	for _, s := range jobs {
		recs = append(recs, JobRecord{Spec: s, SubmittedAt: o.now, Revision: 5})
	}
	o.beginTerm(200, recs, snap)
	return o
}

func (w *world) transferWorkers(fs ...*fakeWorker) []*fakeWorker {
	var out []*fakeWorker
	for _, f := range fs {
		g := *f
		g.w, g.losesCommands = w, false
		out = append(out, &g)
	}
	return out
}

// TestMovesOut: what serves in a zone that is cut off moves shortly before its
// leases may end, as far as there is room, and not before. It all fell at once.
func TestEvacuateBeforeLeasesEnd(t *testing.T) {
	for _, c := range []struct {
		name  string
		after int // seconds of the cut; its leases end 9.25 s after it began, at the earliest
		room  int // machines
		back  int
	}{
		{"early in the cut", 8, 12, 0},
		{"before its leases end", 13, 12, 12},
		{"as far as there is room", 13, 5, 5},
		{"without room", 13, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, a, b := setupServicesInZoneB(t)
			if c.room < 12 {
				w.submit(JobSpec{ID: "job-2", Kind: Service, Tasks: 12 - c.room, Request: Resources{8000, 0, 2000}})
				w.reportRounds(4, append(a[:12:12], b...))
			}
			w.rentals, w.c.rentals = nil, map[string]*rental{}
			w.runWithSilentWorkers(c.after, b, a)
			w.want("given back", w.releasedMachines(), c.back)
			if c.room == 0 {
				w.want("room is rented ahead", len(w.rentals) > 0, true)
			}
		})
	}
}

// TestKeptRecord: what is kept in a cut is recorded, and a leader that begins in
// it waits for nothing there. All that was opened waited for the leases' end, 23 s
// on a day of rila fleet.
func TestPartitionRecord(t *testing.T) {
	w, a, b := setupServicesInZoneB(t)
	w.runWithSilentWorkers(6, b, a)
	recs, tasks := w.partitionRecords()
	w.want("records", len(recs) > 1, true)
	w.want("all that were written", w.c.partitionRecordID, len(recs)) // they ended while their machines had been heard lately
	w.want("tasks in them", tasks, 12)

	o := w.nextLeader(w.c.jobs["job-1"].spec)
	w.want("machines to be heard", o.c.unreconciled, 12)
	fs := o.transferWorkers(a...)
	o.runWithSilentWorkers(1, o.transferWorkers(b...), fs)
	w.want("machines to be heard then", o.c.unreconciled, 0)
	w.want("tasks that are taken to be there", o.tasksIn("b"), 12)
	w.want("tasks that start elsewhere", o.tasksIn("a"), 0)
	w.want("the cut began as recorded", o.c.zoneByName["b"].partitionStart, w.c.zoneByName["b"].partitionStart)
	w.want("given back early", o.releasedMachines(), 0)

	// Mended: the first report ends the record, and not before is anything placed.
	o.failPrefix = PartitionPrefix
	m := o.c.machines["b-00"]
	bs := o.transferWorkers(b...)
	bs[0].status.Tasks = nil // its lease ran out
	bs[0].status.Session = 2
	bs[0].report().report()
	o.advance(Second)
	w.want("usable while the record stands", o.c.schedulable(m, o.now), false)
	o.failPrefix = ""
	o.advance(Second)
	bs[0].report()
	w.want("usable once it has ended", o.c.schedulable(m, o.now), true)
	other := o.c.machines["b-01"]
	w.want("usable before it is heard, but for that", other.retainedIn == nil && o.now-other.lastReport < o.c.reportTimeout(), true)
	w.want("usable before it is heard", o.c.schedulable(other, o.now), false)
	w.want("the task is free to start", o.tasksIn("b")+o.tasksIn("a"), 12)
}

// TestKeptStands: a record whose write got no answer may stand, or come to, so
// nothing is placed on its machines before it is ended under its own key; and its
// write is on the condition that there is nothing under that.
func TestPartitionRecordWriteWithoutAnswer(t *testing.T) {
	for _, c := range []struct {
		name   string
		as     WriteOutcome
		usable bool
	}{{"refused", WriteRefused, true}, {"no answer", WriteUnknown, false}} {
		t.Run(c.name, func(t *testing.T) {
			w, a, b := setupServicesInZoneB(t)
			w.failPrefix, w.failOutcome = PartitionPrefix, c.as
			w.runWithSilentWorkers(6, b, a)
			for _, f := range b {
				f.losesCommands = false
				f.report()
			}
			w.want("usable", w.c.schedulable(w.c.machines["b-00"], w.now), c.usable)
			w.failPrefix = ""
			w.reportRounds(2, append(a[:12:12], b...))
			w.want("usable once it has ended", w.c.schedulable(w.c.machines["b-00"], w.now), true)
		})
	}
	w, a, b := setupServicesInZoneB(t)
	w.advance(Second)
	for _, f := range a {
		f.report()
	}
	for range 4 {
		w.now += Second
		for _, f := range append(a[:12:12], b...) {
			f.losesCommands = f.status.Zone == "b"
			f.executeDirect()
		}
		for _, f := range a {
			f.status.Seq++
			r := f.status
			w.c.HandleReport(w.now, &r)
		}
		for _, act := range w.c.Step(w.now) {
			if wr, ok := act.(Write); ok && len(wr.Puts) > 0 {
				if r, ok := wr.Puts[0].Value.(PartitionRecord); ok && r.Zone != "" && wr.IfAbsent != wr.Puts[0].Key {
					t.Errorf("written on the condition %q", wr.IfAbsent)
				}
			}
		}
	}
}

// TestListedTasks: what a machine reports goes before what a record says of
// another one, and of two records the later start counts.
func TestReportOverridesPartitionRecord(t *testing.T) {
	w, a, b := setupServicesInZoneB(t)
	w.runWithSilentWorkers(6, b, a)
	spec := w.c.jobs["job-1"].spec
	o := w.nextLeader(spec)
	attempt := b[3].status.Tasks[0].Attempt
	moved := o.transferWorkers(a[0])[0] // the former leader started it there, after b-03 was surely gone
	moved.status.Tasks = []TaskReport{{Job: "job-1", Index: b[3].status.Tasks[0].Index, Attempt: attempt + 1, State: Running}}
	moved.report()
	w.want("it runs on", moved.liveTasks() != "", true)
	w.want("it is not stopped", len(moved.replyCommands), 0)
	w.want("tasks in b", o.tasksIn("b"), 11)

	w.puts[PartitionPrefix+"0"] = PartitionRecord{Key: PartitionPrefix + "0", Zone: "a", Machines: []RetainedMachine{{"a-00", []RetainedTask{{"job-1", b[3].status.Tasks[0].Index, attempt + 1}}}}}
	o = w.nextLeader(spec)
	w.want("tasks in all", o.tasksIn("a")+o.tasksIn("b"), 12)
	w.want("where the later one is", o.tasksIn("a"), 1)

	// A gang's task is replaced with the same attempt: which of two records is
	// right is not known, and one of the machines is waited for.
	w.puts[PartitionPrefix+"0"] = PartitionRecord{Key: PartitionPrefix + "0", Zone: "a", Machines: []RetainedMachine{{"a-00", []RetainedTask{{"job-1", b[3].status.Tasks[0].Index, attempt}}}}}
	o = w.nextLeader(spec)
	w.want("machines to be heard", o.c.unreconciled, 12)
	w.want("both are waited for", o.c.machines["a-00"].reconciled && o.c.machines["b-03"].reconciled, false)
}

// TestLateStartOfKept: a start of the former leader's may still arrive until the
// machine has seen the new token: until then the task counts as there.
func TestLateStartOnRetainedMachine(t *testing.T) {
	w, a, b := setupServicesInZoneB(t)
	w.runWithSilentWorkers(6, b, a)
	o := w.nextLeader(w.c.jobs["job-1"].spec)
	f := o.transferWorkers(b[0])[0]
	f.status.Tasks, f.status.Token = nil, 100
	f.status.Seq++
	r := f.status
	cmds, _, _ := o.c.HandleReport(o.now, &r)
	w.want("tasks there when it shows the old token", len(o.c.machines["b-00"].placements), 1)
	w.want("it is started there again", len(cmds) == 1 && cmds[0].Op == Start, true)
	o.c.stopPlacement(o.c.machines["b-00"].placements[0], o.now, 0)
	f.status.Seq++ // the answer was lost
	r = f.status
	o.c.HandleReport(o.now, &r)
	w.want("tasks there while it may arrive", len(o.c.machines["b-00"].placements), 1)
	f.status.Seq, f.status.Token = f.status.Seq+1, 200
	r = f.status
	o.c.HandleReport(o.now, &r)
	w.want("tasks there when it can't any more", len(o.c.machines["b-00"].placements), 0)
}

// TestUnknownInCut: where nobody knows what runs in a zone that is cut off, all
// that was opened waits; its machines go once every service that was not heard of
// has room, and when the leases may end at the latest.
func TestUnreconciledMachinesInPartition(t *testing.T) {
	for _, c := range []struct {
		name string
		more int // tasks of another service that was not heard of
		back [2]int
	}{
		{"room for all that may be there", 0, [2]int{12, 12}},
		{"not enough room", 6, [2]int{0, 12}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, a, b := setupServicesInZoneB(t)
			for k := range w.puts {
				delete(w.puts, k) // the leader was cut off with them: nothing is recorded
			}
			specs := []JobSpec{w.c.jobs["job-1"].spec}
			if c.more > 0 {
				specs = append(specs, JobSpec{ID: "job-2", Kind: Service, Tasks: c.more, Request: Resources{8000, 0, 2000}, Image: "im", Team: "blue"})
			}
			o := w.nextLeader(specs...)
			for _, s := range specs {
				o.c.jobs[s.ID].unaccounted = true
			}
			as, bs := o.transferWorkers(a...), o.transferWorkers(b...)
			o.runWithSilentWorkers(6, bs, as)
			w.want("given back", o.releasedMachines(), c.back[0])
			o.runWithSilentWorkers(6, bs, as)
			w.want("given back in the end", o.releasedMachines(), c.back[1])
		})
	}
}

// TestAlone: a leader to which most of the fleet is silent is cut off itself: the
// other zones are not, and what it asks for is rented minutes later. 97 machines
// were, at rila fleet. If it leads on, they are.
func TestIsolatedLeader(t *testing.T) {
	for _, c := range []struct {
		name  string
		lease Micros
		cuts  int
	}{{"its lease may be over", 20 * Second, 0}, {"it leads on", Second, 2}} {
		t.Run(c.name, func(t *testing.T) {
			w, a, b := setupServicesInZoneB(t)
			w.c.cfg.LeaderLease = c.lease
			var all []*fakeWorker
			for i := range 12 {
				all = append(all, w.newWorker(fmt.Sprintf("c-%02d", i), "c").report())
			}
			w.reportRounds(4, append(append(all[:12:12], a...), b...))
			w.c.SetDelegates("c", []*Delegate{{lastMessage: w.now}})
			w.c.SetDelegates("a", []*Delegate{{lastMessage: w.now}})
			w.submit(JobSpec{ID: "job-9", Tasks: 60, Request: Resources{8000, 0, 2000}})
			w.c.rentals, w.c.refusedUntil = map[string]*rental{}, map[offer]Micros{}
			silent := append(a[:12:12], all...)
			w.runWithSilentWorkers(1, silent, b)
			before := len(w.rentals)
			w.runWithSilentWorkers(9, silent, b)
			zones := map[string]bool{}
			recs, _ := w.partitionRecords()
			for _, r := range recs {
				zones[r.Zone] = true
			}
			w.want("cuts", len(zones), c.cuts)
			w.want("given back", w.releasedMachines() > 0, c.cuts > 0)
			if c.cuts == 0 {
				w.want("rented", len(w.rentals)-before, 0)
			}
		})
	}
}

// TestBunched: after a takeover all machines report at once, and then not for
// seconds; a zone that pauses is not cut off. 80 good machines were given back on a
// day of storm bureau.
func TestBurstOfReportsAfterTakeover(t *testing.T) {
	w, a, b := setupServicesInZoneB(t)
	o := w.nextLeader(w.c.jobs["job-1"].spec)
	o.c.cfg.ReportInterval = 8 * Second
	o.c.SetDelegates("b", []*Delegate{{lastMessage: o.now}})
	as, bs := o.transferWorkers(a...), o.transferWorkers(b...)
	for i := range 36 {
		as = append(as, o.newWorker(fmt.Sprintf("a-%d", 20+i), "a"))
		bs = append(bs, o.newWorker(fmt.Sprintf("b-%d", 20+i), "b"))
	}
	o.reportRounds(1, append(as[:48:48], bs...))
	for range 7 {
		o.reportRounds(1, as)
		w.want("cut off", o.c.partitioned("b", o.now), false)
	}
	w.want("given back", o.releasedMachines(), 0)
}
