package core

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// farm is a fleet of workers that do what they are told at once, round a core,
// to measure what the core's work costs. It is larger than any test needs: run
// it with go test -bench, see docs/SCALE.md.
type farm struct {
	c      *Core
	now    Micros
	order  []*hand
	hands  map[string]*hand
	events int // reports, answers to direct commands, job records and completions
	jobs   int
	spent  time.Duration       // in the core
	turns  [gap / slot][]*hand // who reports when
}

// hand is a worker of a farm.
type hand struct {
	r    Report
	ends map[string]Micros // of its tasks, by name
}

const (
	perMachine = 10
	gap        = 5 * Second
	slot       = 20 * Millisecond
)

func newFarm(n int) *farm {
	f := &farm{hands: map[string]*hand{}, now: Second}
	f.c = New(Config{
		Teams: []Team{
			{Name: "blue", Min: Res{CPU: int64(n) * perMachine * 250}, Max: Res{CPU: 1 << 50}},
			{Name: "green", Min: Res{CPU: int64(n) * perMachine * 500}, Max: Res{CPU: 1 << 50}},
		},
		Lease: 26 * Second, ReportGap: gap, PlacePause: 20 * Millisecond, RecordPause: 200 * Millisecond, ReturnPause: Second,
		ListLag: 10 * Second, ChunkSize: 2000, MachinesPerRecord: 160, LateTimes: 1.5,
		Tuning: Tuning{Idle: 3600 * Second, RefusalPause: 15 * Second, Hold: 600 * Second, Quarantine: 120 * Second, Suspect: 4500 * Millisecond, SpareTasks: 3},
	})
	f.c.Catalog([]MachineType{{Name: "t", Cap: Res{CPU: perMachine * 1000, Mem: perMachine * 4000}, CacheMB: 50000, FetchMBps: 1000, Price: 1, SpotPrice: 0.4, Boot: 30 * Second, Zones: []string{"a", "b", "c"}}})
	for i := range n {
		name := fmt.Sprintf("n-%06d", i)
		h := &hand{ends: map[string]Micros{}, r: Report{
			Machine: name, Address: name, Type: "t", Zone: string(rune('a' + i%3)), Session: 1, Notice: -1,
		}}
		f.hands[name] = h
		f.order = append(f.order, h)
		turn := i * len(f.turns) / n
		f.turns[turn] = append(f.turns[turn], h)
	}
	return f
}

// core runs a call of the core and counts its time.
func (f *farm) core(call func()) {
	at := time.Now()
	call()
	f.spent += time.Since(at)
	f.events++
}

func (f *farm) submit(tasks int, team string, run Micros) {
	f.jobs++
	rec := JobRecord{Submitted: f.now, Stamp: 5, Spec: JobSpec{
		ID: fmt.Sprintf("job-%06d", f.jobs), Team: team, Class: team, Priority: Normal, Tasks: tasks, Need: Res{CPU: 1000, Mem: 2000},
		Image: "im", ImageMB: 1000, Estimate: run, Due: 10 * run,
	}}
	f.core(func() { f.c.Job(f.now, f.now, rec) })
}

func (h *hand) do(cmds []Command, f *farm) {
	for _, cmd := range cmds {
		i := -1
		for k, t := range h.r.Tasks {
			if t.Job == cmd.Job && t.Index == cmd.Index && t.Attempt == cmd.Attempt {
				i = k
			}
		}
		switch {
		case cmd.Op == Start && i < 0:
			h.r.Tasks = append(h.r.Tasks, TaskReport{Job: cmd.Job, Index: cmd.Index, Attempt: cmd.Attempt, State: Running})
			h.ends[fmt.Sprint(cmd.Job, cmd.Index)] = f.now + 50*Second + Micros(cmd.Index%20)*Second
		case cmd.Op == Stop && i >= 0:
			h.r.Tasks[i].State, h.r.Tasks[i].Cause = Exited, CauseStopped
		case cmd.Op == Forget && i >= 0:
			h.r.Tasks = append(h.r.Tasks[:i], h.r.Tasks[i+1:]...)
		}
	}
}

func (h *hand) report() *Report {
	h.r.Seq++
	r := h.r
	r.Tasks = append([]TaskReport(nil), h.r.Tasks...)
	return &r
}

// act lets the core decide and does what it wants.
func (f *farm) act() {
	var acts []Action
	f.core(func() { acts = f.c.Step(f.now) })
	f.events-- // it is no event
	for _, a := range acts {
		switch a := a.(type) {
		case SendCommands:
			h := f.hands[a.Machine]
			h.r.Token = max(h.r.Token, a.Token)
			h.do(a.Commands, f)
			r := h.report()
			f.core(func() { f.c.Commanded(f.now, a.Machine, a.Token, Executed, r) })
		case Write:
			f.core(func() { f.c.Written(f.now, a.ID, Stored) })
			for _, p := range a.Puts {
				if d, ok := p.Value.(JobDone); ok {
					f.core(func() { f.c.Job(f.now, f.now, d.Record) })
				}
			}
		case Rent:
			f.core(func() { f.c.Rented(f.now, f.now, a.Request, RentRefused, nil) })
		case Return:
			f.core(func() { f.c.Returned(f.now, a.Machines, false) })
		}
	}
}

// pass lets time go by; every machine reports in its turn, and at once when a
// task of its ends.
func (f *farm) pass(d Micros) {
	for end := f.now + d; f.now < end; f.now += slot {
		for _, h := range f.turns[f.now/slot%(gap/slot)] {
			for i := range h.r.Tasks {
				t := &h.r.Tasks[i]
				if k := fmt.Sprint(t.Job, t.Index); t.State == Running && h.ends[k] <= f.now {
					t.State, t.Cause = Exited, CauseDone
					delete(h.ends, k)
					f.events++
				}
			}
			r := h.report()
			var cmds []Command
			f.core(func() {
				var token uint64
				cmds, token, _ = f.c.Beat(f.now, r)
				h.r.Token = max(h.r.Token, token)
			})
			h.do(cmds, f)
		}
		f.act()
	}
}

// fill has blue run on all that there is.
func (f *farm) fill(n int) {
	f.c.Begin(f.now, f.now, 100, nil, Snapshot{})
	f.pass(6 * Second)
	for range n / 10 {
		f.submit(10*perMachine, "blue", 60*Second)
	}
	f.pass(10 * Second)
}

// measure runs what a benchmark is about and reports cost per event.
func (f *farm) measure(b *testing.B, what func()) {
	f.events, f.spent = 0, 0
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	what()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(f.spent.Nanoseconds())/float64(f.events), "ns/event")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/float64(f.events), "B/event")
	b.ReportMetric(float64(f.events), "events")
	b.ReportMetric(float64(f.spent.Milliseconds()), "ms-in-core")
}

// atSizes runs a benchmark on full fleets; what it does is measured by itself.
func atSizes(b *testing.B, run func(b *testing.B, f *farm, n int)) {
	for _, n := range []int{1500, 5000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				f := newFarm(n)
				f.fill(n)
				run(b, f, n)
			}
		})
	}
}

// submitEvery submits so many jobs each second for a while.
func (f *farm) submitEvery(seconds, jobs int) {
	for range seconds {
		for range jobs {
			f.submit(10*perMachine, "blue", 60*Second)
		}
		f.pass(Second)
	}
}

// until lets time pass until something holds, a minute at the most.
func (f *farm) until(b *testing.B, what func() bool) {
	for i := 0; !what(); i++ {
		if i > 60 {
			b.Fatal("not within a minute")
		}
		f.pass(Second)
	}
}

// BenchmarkSteady is half a minute in which every task that ends has a
// successor waiting: reports, completions and starts, with the fleet full.
func BenchmarkSteady(b *testing.B) {
	atSizes(b, func(b *testing.B, f *farm, n int) {
		f.measure(b, func() { f.submitEvery(30, n/600) })
	})
}

// BenchmarkBurst is ten seconds in which as much work comes as the fleet holds,
// while it is full.
func BenchmarkBurst(b *testing.B) {
	atSizes(b, func(b *testing.B, f *farm, n int) {
		f.measure(b, func() { f.submitEvery(10, n/100) })
	})
}

// BenchmarkReclaim is the time until green, within its min, has taken back a
// fifth of the fleet from blue, which borrows all of it.
func BenchmarkReclaim(b *testing.B) {
	atSizes(b, func(b *testing.B, f *farm, n int) {
		f.measure(b, func() {
			for range n / 50 {
				f.submit(10*perMachine, "green", 60*Second)
			}
			f.until(b, func() bool { return f.c.teams["green"].used.CPU >= int64(n)*perMachine*200 })
		})
	})
}

// BenchmarkTakeover is a new leader's beginning, from the records until every
// machine has reported.
func BenchmarkTakeover(b *testing.B) {
	atSizes(b, func(b *testing.B, f *farm, n int) {
		var jobs []JobRecord
		snap := Snapshot{}
		for _, j := range f.c.sortedJobs() {
			jobs = append(jobs, j.rec)
			snap.Open = append(snap.Open, j.spec.ID)
		}
		for i := 0; i < n; i += 160 {
			r := MachinesRecord{Key: fmt.Sprint(MachinePrefix, i)}
			for _, h := range f.order[i:min(i+160, n)] {
				r.Machines = append(r.Machines, MachineRecord{h.r.Machine, h.r.Address, "t", h.r.Zone, false})
			}
			snap.Machines = append(snap.Machines, r)
		}
		f.measure(b, func() {
			f.core(func() { f.c.Begin(f.now, f.now, 200, jobs, snap) })
			f.until(b, func() bool { return f.c.unsettled == 0 })
		})
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		b.ReportMetric(float64(m.HeapAlloc)/float64(n), "B/machine")
		runtime.KeepAlive(f)
	})
}
