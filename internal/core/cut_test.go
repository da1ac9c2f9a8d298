package core

import (
	"fmt"
	"maps"
	"slices"
	"testing"
)

// cutWorld is a world of twelve machines in each of the zones a and b, of which b
// has a deputy; a service of twelve tasks fills those of b, and those of a are free.
func cutWorld(t *testing.T) (w *world, a, b []*fake) {
	w = newWorld(t, Team{Name: "blue"})
	w.c.cfg.Tuning.Suspect, w.c.cfg.Tuning.Idle, w.c.cfg.ValueBytes = 2*Second, MaxMicros, 200
	d := &Deputy{}
	w.c.Deputies("b", []*Deputy{d})
	w.begin(100, nil, Snapshot{})
	for i := range 12 {
		b = append(b, w.machine(fmt.Sprintf("b-%02d", i), "b").beat())
	}
	w.submit(JobSpec{ID: "job-1", Kind: Service, Tasks: 12, Need: Res{8000, 0, 2000}})
	w.rounds(4, b)
	for i := range 12 {
		a = append(a, w.machine(fmt.Sprintf("a-%02d", i), "a").beat())
	}
	w.rounds(10, append(a[:12:12], b...))
	d.Heard(w.now, w.now, 1, -1)
	w.c.rents = map[string]*rent{}
	w.want("tasks in b", w.tasksIn("b"), 12)
	return w, a, b
}

func (w *world) tasksIn(zone string) (n int) {
	for _, m := range w.c.order {
		if m.zone == zone {
			n += len(m.tasks)
		}
	}
	return n
}

// kept lists the records of cuts that stand, as a new leader reads them.
func (w *world) kept() (out []KeptRecord, tasks int) {
	for _, key := range slices.Sorted(maps.Keys(w.puts)) {
		if r, ok := w.puts[key].(KeptRecord); ok && r.Zone != "" {
			out = append(out, r)
			for _, m := range r.Machines {
				tasks += len(m.Tasks)
			}
		}
	}
	return out, tasks
}

// next is a later leader of the same state service, which is told of the jobs.
func (w *world) next(jobs ...JobSpec) *world {
	o := newWorld(w.t, Team{Name: "blue"})
	o.now, o.c.cfg = w.now, w.c.cfg
	o.c.deputies = w.c.deputies
	snap := Snapshot{Open: []string{"job-1"}}
	snap.Kept, _ = w.kept()
	rec := MachinesRecord{Key: MachinePrefix + "x"}
	for _, m := range w.c.order {
		rec.Machines = append(rec.Machines, MachineRecord{m.name, m.address, m.typeName, m.zone, m.spot})
	}
	snap.Machines = append(snap.Machines, rec)
	var recs []JobRecord
	for _, s := range jobs {
		recs = append(recs, JobRecord{Spec: s, Submitted: o.now, Stamp: 5})
	}
	o.begin(200, recs, snap)
	return o
}

func (w *world) over(fs ...*fake) []*fake {
	var out []*fake
	for _, f := range fs {
		g := *f
		g.w, g.lossy = w, false
		out = append(out, &g)
	}
	return out
}

// TestMovesOut: what serves in a zone that is cut off moves shortly before its
// leases may end, as far as there is room, and not before. It all fell at once.
func TestMovesOut(t *testing.T) {
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
			w, a, b := cutWorld(t)
			if c.room < 12 {
				w.submit(JobSpec{ID: "job-2", Kind: Service, Tasks: 12 - c.room, Need: Res{8000, 0, 2000}})
				w.rounds(4, append(a[:12:12], b...))
			}
			w.rents, w.c.rents = nil, map[string]*rent{}
			w.silence(c.after, b, a)
			w.want("given back", w.returned(), c.back)
			if c.room == 0 {
				w.want("room is rented ahead", len(w.rents) > 0, true)
			}
		})
	}
}

// TestKeptRecord: what is kept in a cut is recorded, and a leader that begins in
// it waits for nothing there. All that was opened waited for the leases' end, 23 s
// on a day of rila fleet.
func TestKeptRecord(t *testing.T) {
	w, a, b := cutWorld(t)
	w.silence(6, b, a)
	recs, tasks := w.kept()
	w.want("records", len(recs) > 1, true)
	w.want("all that were written", w.c.keptID, len(recs)) // they ended while their machines had been heard lately
	w.want("tasks in them", tasks, 12)

	o := w.next(w.c.jobs["job-1"].spec)
	w.want("machines to be heard", o.c.unsettled, 12)
	fs := o.over(a...)
	o.silence(1, o.over(b...), fs)
	w.want("machines to be heard then", o.c.unsettled, 0)
	w.want("tasks that are taken to be there", o.tasksIn("b"), 12)
	w.want("tasks that start elsewhere", o.tasksIn("a"), 0)
	w.want("the cut began as recorded", o.c.zoneOf["b"].began, w.c.zoneOf["b"].began)
	w.want("given back early", o.returned(), 0)

	// Mended: the first report ends the record, and not before is anything placed.
	o.failKey = KeptPrefix
	m := o.c.machines["b-00"]
	bs := o.over(b...)
	bs[0].r.Tasks = nil // its lease ran out
	bs[0].r.Session = 2
	bs[0].beat().beat()
	o.pass(Second)
	w.want("usable while the record stands", o.c.usable(m, o.now), false)
	o.failKey = ""
	o.pass(Second)
	bs[0].beat()
	w.want("usable once it has ended", o.c.usable(m, o.now), true)
	other := o.c.machines["b-01"]
	w.want("usable before it is heard, but for that", other.kept == nil && o.now-other.heard < o.c.silence(), true)
	w.want("usable before it is heard", o.c.usable(other, o.now), false)
	w.want("the task is free to start", o.tasksIn("b")+o.tasksIn("a"), 12)
}

// TestKeptStands: a record whose write got no answer may stand, or come to, so
// nothing is placed on its machines before it is ended under its own key; and its
// write is on the condition that there is nothing under that.
func TestKeptStands(t *testing.T) {
	for _, c := range []struct {
		name   string
		as     WriteOutcome
		usable bool
	}{{"refused", WriteRefused, true}, {"no answer", WriteUnknown, false}} {
		t.Run(c.name, func(t *testing.T) {
			w, a, b := cutWorld(t)
			w.failKey, w.failAs = KeptPrefix, c.as
			w.silence(6, b, a)
			for _, f := range b {
				f.lossy = false
				f.beat()
			}
			w.want("usable", w.c.usable(w.c.machines["b-00"], w.now), c.usable)
			w.failKey = ""
			w.rounds(2, append(a[:12:12], b...))
			w.want("usable once it has ended", w.c.usable(w.c.machines["b-00"], w.now), true)
		})
	}
	w, a, b := cutWorld(t)
	w.pass(Second)
	for _, f := range a {
		f.beat()
	}
	for range 4 {
		w.now += Second
		for _, f := range append(a[:12:12], b...) {
			f.lossy = f.r.Zone == "b"
			f.direct()
		}
		for _, f := range a {
			f.r.Seq++
			r := f.r
			w.c.Beat(w.now, &r)
		}
		for _, act := range w.c.Step(w.now) {
			if wr, ok := act.(Write); ok && len(wr.Puts) > 0 {
				if r, ok := wr.Puts[0].Value.(KeptRecord); ok && r.Zone != "" && wr.IfAbsent != wr.Puts[0].Key {
					t.Errorf("written on the condition %q", wr.IfAbsent)
				}
			}
		}
	}
}

// TestListedTasks: what a machine reports goes before what a record says of
// another one, and of two records the later start counts.
func TestListedTasks(t *testing.T) {
	w, a, b := cutWorld(t)
	w.silence(6, b, a)
	spec := w.c.jobs["job-1"].spec
	o := w.next(spec)
	attempt := b[3].r.Tasks[0].Attempt
	moved := o.over(a[0])[0] // the former leader started it there, after b-03 was surely gone
	moved.r.Tasks = []TaskReport{{Job: "job-1", Index: b[3].r.Tasks[0].Index, Attempt: attempt + 1, State: Running}}
	moved.beat()
	w.want("it runs on", moved.live() != "", true)
	w.want("it is not stopped", len(moved.cmds), 0)
	w.want("tasks in b", o.tasksIn("b"), 11)

	w.puts[KeptPrefix+"0"] = KeptRecord{Key: KeptPrefix + "0", Zone: "a", Machines: []KeptMachine{{"a-00", []KeptTask{{"job-1", b[3].r.Tasks[0].Index, attempt + 1}}}}}
	o = w.next(spec)
	w.want("tasks in all", o.tasksIn("a")+o.tasksIn("b"), 12)
	w.want("where the later one is", o.tasksIn("a"), 1)

	// A gang's task is replaced with the same attempt: which of two records is
	// right is not known, and one of the machines is waited for.
	w.puts[KeptPrefix+"0"] = KeptRecord{Key: KeptPrefix + "0", Zone: "a", Machines: []KeptMachine{{"a-00", []KeptTask{{"job-1", b[3].r.Tasks[0].Index, attempt}}}}}
	o = w.next(spec)
	w.want("machines to be heard", o.c.unsettled, 12)
	w.want("both are waited for", o.c.machines["a-00"].settled && o.c.machines["b-03"].settled, false)
}

// TestLateStartOfKept: a start of the former leader's may still arrive until the
// machine has seen the new token: until then the task counts as there.
func TestLateStartOfKept(t *testing.T) {
	w, a, b := cutWorld(t)
	w.silence(6, b, a)
	o := w.next(w.c.jobs["job-1"].spec)
	f := o.over(b[0])[0]
	f.r.Tasks, f.r.Token = nil, 100
	f.r.Seq++
	r := f.r
	cmds, _, _ := o.c.Beat(o.now, &r)
	w.want("tasks there when it shows the old token", len(o.c.machines["b-00"].tasks), 1)
	w.want("it is started there again", len(cmds) == 1 && cmds[0].Op == Start, true)
	o.c.unwant(o.c.machines["b-00"].tasks[0], o.now, 0)
	f.r.Seq++ // the answer was lost
	r = f.r
	o.c.Beat(o.now, &r)
	w.want("tasks there while it may arrive", len(o.c.machines["b-00"].tasks), 1)
	f.r.Seq, f.r.Token = f.r.Seq+1, 200
	r = f.r
	o.c.Beat(o.now, &r)
	w.want("tasks there when it can't any more", len(o.c.machines["b-00"].tasks), 0)
}

// TestUnknownInCut: where nobody knows what runs in a zone that is cut off, all
// that was opened waits; its machines go once every service that was not heard of
// has room, and when the leases may end at the latest.
func TestUnknownInCut(t *testing.T) {
	for _, c := range []struct {
		name string
		more int // tasks of another service that was not heard of
		back [2]int
	}{
		{"room for all that may be there", 0, [2]int{12, 12}},
		{"not enough room", 6, [2]int{0, 12}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, a, b := cutWorld(t)
			for k := range w.puts {
				delete(w.puts, k) // the leader was cut off with them: nothing is recorded
			}
			specs := []JobSpec{w.c.jobs["job-1"].spec}
			if c.more > 0 {
				specs = append(specs, JobSpec{ID: "job-2", Kind: Service, Tasks: c.more, Need: Res{8000, 0, 2000}, Image: "im", Team: "blue"})
			}
			o := w.next(specs...)
			for _, s := range specs {
				o.c.jobs[s.ID].held = true
			}
			as, bs := o.over(a...), o.over(b...)
			o.silence(6, bs, as)
			w.want("given back", o.returned(), c.back[0])
			o.silence(6, bs, as)
			w.want("given back in the end", o.returned(), c.back[1])
		})
	}
}

// TestAlone: a leader to which most of the fleet is silent is cut off itself: the
// other zones are not, and what it asks for is rented minutes later. 97 machines
// were, at rila fleet. If it leads on, they are.
func TestAlone(t *testing.T) {
	for _, c := range []struct {
		name  string
		lease Micros
		cuts  int
	}{{"its lease may be over", 20 * Second, 0}, {"it leads on", Second, 2}} {
		t.Run(c.name, func(t *testing.T) {
			w, a, b := cutWorld(t)
			w.c.cfg.LeaderLease = c.lease
			var all []*fake
			for i := range 12 {
				all = append(all, w.machine(fmt.Sprintf("c-%02d", i), "c").beat())
			}
			w.rounds(4, append(append(all[:12:12], a...), b...))
			w.c.Deputies("c", []*Deputy{{spoke: w.now}})
			w.c.Deputies("a", []*Deputy{{spoke: w.now}})
			w.submit(JobSpec{ID: "job-9", Tasks: 60, Need: Res{8000, 0, 2000}})
			w.c.rents, w.c.refused = map[string]*rent{}, map[offer]Micros{}
			silent := append(a[:12:12], all...)
			w.silence(1, silent, b)
			before := len(w.rents)
			w.silence(9, silent, b)
			zones := map[string]bool{}
			recs, _ := w.kept()
			for _, r := range recs {
				zones[r.Zone] = true
			}
			w.want("cuts", len(zones), c.cuts)
			w.want("given back", w.returned() > 0, c.cuts > 0)
			if c.cuts == 0 {
				w.want("rented", len(w.rents)-before, 0)
			}
		})
	}
}

// TestBunched: after a takeover all machines report at once, and then not for
// seconds; a zone that pauses is not cut off. 80 good machines were given back on a
// day of storm bureau.
func TestBunched(t *testing.T) {
	w, a, b := cutWorld(t)
	o := w.next(w.c.jobs["job-1"].spec)
	o.c.cfg.ReportGap = 8 * Second
	o.c.Deputies("b", []*Deputy{{spoke: o.now}})
	as, bs := o.over(a...), o.over(b...)
	for i := range 36 {
		as = append(as, o.machine(fmt.Sprintf("a-%d", 20+i), "a"))
		bs = append(bs, o.machine(fmt.Sprintf("b-%d", 20+i), "b"))
	}
	o.rounds(1, append(as[:48:48], bs...))
	for range 7 {
		o.rounds(1, as)
		w.want("cut off", o.c.cutOff("b", o.now), false)
	}
	w.want("given back", o.returned(), 0)
}
