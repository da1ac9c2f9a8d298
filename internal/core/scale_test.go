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
type benchFleet struct {
	c            *Core
	now          Micros
	workers      []*benchWorker
	workerByName map[string]*benchWorker
	events       int // reports, answers to direct commands, job records and completions
	jobs         int
	coreTime     time.Duration                                 // in the core
	reportSlots  [reportInterval / slotDuration][]*benchWorker // who reports when
}

// hand is a worker of a farm.
type benchWorker struct {
	status Report
	endAt  map[string]Micros // of its tasks, by name
}

const (
	tasksPerMachine = 10
	reportInterval  = 5 * Second
	slotDuration    = 20 * Millisecond
)

func newBenchFleet(n int) *benchFleet {
	f := &benchFleet{workerByName: map[string]*benchWorker{}, now: Second}
	f.c = New(Config{
		Teams: []Team{
			{Name: "blue", Min: Resources{CPU: int64(n) * tasksPerMachine * 250}, Max: Resources{CPU: 1 << 50}},
			{Name: "green", Min: Resources{CPU: int64(n) * tasksPerMachine * 500}, Max: Resources{CPU: 1 << 50}},
		},
		WorkerLease: 26 * Second, ReportInterval: reportInterval, PlacementInterval: 20 * Millisecond, RecordInterval: 200 * Millisecond, ReleaseInterval: Second,
		ListLag: 10 * Second, ChunkSize: 2000, MachinesPerRecord: 160, LateFactor: 1.5,
		Tuning: Tuning{IdleTimeout: 3600 * Second, RefusalBackoff: 15 * Second, ReservationDecay: 600 * Second, Quarantine: 120 * Second, SuspectAfter: 4500 * Millisecond, SpareTasks: 3},
	})
	f.c.SetCatalog([]MachineType{{Name: "t", Capacity: Resources{CPU: tasksPerMachine * 1000, Mem: tasksPerMachine * 4000}, CacheMB: 50000, FetchMBps: 1000, Price: 1, SpotPrice: 0.4, BootTime: 30 * Second, Zones: []string{"a", "b", "c"}}})
	for i := range n {
		name := fmt.Sprintf("n-%06d", i)
		h := &benchWorker{endAt: map[string]Micros{}, status: Report{
			Machine: name, Address: name, Type: "t", Zone: string(rune('a' + i%3)), Session: 1, SpotNotice: -1,
		}}
		f.workerByName[name] = h
		f.workers = append(f.workers, h)
		turn := i * len(f.reportSlots) / n
		f.reportSlots[turn] = append(f.reportSlots[turn], h)
	}
	return f
}

// core runs a call of the core and counts its time.
func (f *benchFleet) timed(call func()) {
	at := time.Now()
	call()
	f.coreTime += time.Since(at)
	f.events++
}

func (f *benchFleet) submit(tasks int, team string, run Micros) {
	f.jobs++
	rec := JobRecord{SubmittedAt: f.now, Revision: 5, Spec: JobSpec{
		ID: fmt.Sprintf("job-%06d", f.jobs), Team: team, Class: team, Priority: Normal, Tasks: tasks, Request: Resources{CPU: 1000, Mem: 2000},
		Image: "im", ImageMB: 1000, EstimatedRun: run, Deadline: 10 * run,
	}}
	f.timed(func() { f.c.UpdateJob(f.now, f.now, rec) })
}

func (h *benchWorker) execute(cmds []Command, f *benchFleet) {
	for _, cmd := range cmds {
		i := -1
		for k, t := range h.status.Tasks {
			if t.Job == cmd.Job && t.Index == cmd.Index && t.Attempt == cmd.Attempt {
				i = k
			}
		}
		switch {
		case cmd.Op == Start && i < 0:
			h.status.Tasks = append(h.status.Tasks, TaskReport{Job: cmd.Job, Index: cmd.Index, Attempt: cmd.Attempt, State: Running})
			h.endAt[fmt.Sprint(cmd.Job, cmd.Index)] = f.now + 50*Second + Micros(cmd.Index%20)*Second
		case cmd.Op == Stop && i >= 0:
			h.status.Tasks[i].State, h.status.Tasks[i].Cause = Exited, CauseStopped
		case cmd.Op == Forget && i >= 0:
			h.status.Tasks = append(h.status.Tasks[:i], h.status.Tasks[i+1:]...)
		}
	}
}

func (h *benchWorker) report() *Report {
	h.status.Seq++
	r := h.status
	r.Tasks = append([]TaskReport(nil), h.status.Tasks...)
	return &r
}

// act lets the core decide and does what it wants.
func (f *benchFleet) step() {
	var acts []Action
	f.timed(func() { acts = f.c.Step(f.now) })
	f.events-- // it is no event
	for _, a := range acts {
		switch a := a.(type) {
		case SendCommands:
			h := f.workerByName[a.Machine]
			h.status.Token = max(h.status.Token, a.Token)
			h.execute(a.Commands, f)
			r := h.report()
			f.timed(func() { f.c.CommandResult(f.now, a.Machine, a.Token, Executed, r) })
		case Write:
			f.timed(func() { f.c.WriteResult(f.now, a.ID, Stored) })
			for _, p := range a.Puts {
				if d, ok := p.Value.(FinalRecord); ok {
					f.timed(func() { f.c.UpdateJob(f.now, f.now, d.Record) })
				}
			}
		case Rent:
			f.timed(func() { f.c.RentResult(f.now, f.now, a.Request, RentRefused, nil) })
		case Release:
			f.timed(func() { f.c.ReleaseResult(f.now, a.Machines, false) })
		}
	}
}

// pass lets time go by; every machine reports in its turn, and at once when a
// task of its ends.
func (f *benchFleet) advance(d Micros) {
	for end := f.now + d; f.now < end; f.now += slotDuration {
		for _, h := range f.reportSlots[f.now/slotDuration%(reportInterval/slotDuration)] {
			for i := range h.status.Tasks {
				t := &h.status.Tasks[i]
				if k := fmt.Sprint(t.Job, t.Index); t.State == Running && h.endAt[k] <= f.now {
					t.State, t.Cause = Exited, CauseDone
					delete(h.endAt, k)
					f.events++
				}
			}
			r := h.report()
			var cmds []Command
			f.timed(func() {
				var token uint64
				cmds, token, _ = f.c.HandleReport(f.now, r)
				h.status.Token = max(h.status.Token, token)
			})
			h.execute(cmds, f)
		}
		f.step()
	}
}

// fill has blue run on all that there is.
func (f *benchFleet) fill(n int) {
	f.c.BeginTerm(f.now, f.now, 100, nil, Snapshot{})
	f.advance(6 * Second)
	for range n / 10 {
		f.submit(10*tasksPerMachine, "blue", 60*Second)
	}
	f.advance(10 * Second)
}

// measure runs what a benchmark is about and reports cost per event.
func (f *benchFleet) measure(b *testing.B, what func()) {
	f.events, f.coreTime = 0, 0
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	what()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(f.coreTime.Nanoseconds())/float64(f.events), "ns/event")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/float64(f.events), "B/event")
	b.ReportMetric(float64(f.events), "events")
	b.ReportMetric(float64(f.coreTime.Milliseconds()), "ms-in-core")
}

// atSizes runs a benchmark on full fleets; what it does is measured by itself.
func forFleetSizes(b *testing.B, run func(b *testing.B, f *benchFleet, n int)) {
	for _, n := range []int{1500, 5000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				f := newBenchFleet(n)
				f.fill(n)
				run(b, f, n)
			}
		})
	}
}

// submitEvery submits so many jobs each second for a while.
func (f *benchFleet) submitPerSecond(seconds, jobs int) {
	for range seconds {
		for range jobs {
			f.submit(10*tasksPerMachine, "blue", 60*Second)
		}
		f.advance(Second)
	}
}

// until lets time pass until something holds, a minute at the most.
func (f *benchFleet) advanceUntil(b *testing.B, what func() bool) {
	for i := 0; !what(); i++ {
		if i > 60 {
			b.Fatal("not within a minute")
		}
		f.advance(Second)
	}
}

// BenchmarkSteady is half a minute in which every task that ends has a
// successor waiting: reports, completions and starts, with the fleet full.
func BenchmarkSteady(b *testing.B) {
	forFleetSizes(b, func(b *testing.B, f *benchFleet, n int) {
		f.measure(b, func() { f.submitPerSecond(30, n/600) })
	})
}

// BenchmarkBurst is ten seconds in which as much work comes as the fleet holds,
// while it is full.
func BenchmarkBurst(b *testing.B) {
	forFleetSizes(b, func(b *testing.B, f *benchFleet, n int) {
		f.measure(b, func() { f.submitPerSecond(10, n/100) })
	})
}

// BenchmarkReclaim is the time until green, within its min, has taken back a
// fifth of the fleet from blue, which borrows all of it.
func BenchmarkReclaim(b *testing.B) {
	forFleetSizes(b, func(b *testing.B, f *benchFleet, n int) {
		f.measure(b, func() {
			for range n / 50 {
				f.submit(10*tasksPerMachine, "green", 60*Second)
			}
			f.advanceUntil(b, func() bool { return f.c.teams["green"].used.CPU >= int64(n)*tasksPerMachine*200 })
		})
	})
}

// BenchmarkTakeover is a new leader's beginning, from the records until every
// machine has reported.
func BenchmarkTakeover(b *testing.B) {
	forFleetSizes(b, func(b *testing.B, f *benchFleet, n int) {
		var jobs []JobRecord
		snap := Snapshot{}
		for _, j := range f.c.sortedJobs() {
			jobs = append(jobs, j.record)
			snap.Started = append(snap.Started, j.spec.ID)
		}
		for i := 0; i < n; i += 160 {
			r := MachineGroupRecord{Key: fmt.Sprint(MachinePrefix, i)}
			for _, h := range f.workers[i:min(i+160, n)] {
				r.Machines = append(r.Machines, MachineRecord{h.status.Machine, h.status.Address, "t", h.status.Zone, false})
			}
			snap.MachineGroups = append(snap.MachineGroups, r)
		}
		f.measure(b, func() {
			f.timed(func() { f.c.BeginTerm(f.now, f.now, 200, jobs, snap) })
			f.advanceUntil(b, func() bool { return f.c.unreconciled == 0 })
		})
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		b.ReportMetric(float64(m.HeapAlloc)/float64(n), "B/machine")
		runtime.KeepAlive(f)
	})
}
