package core

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// benchFleet is a Core with a large fleet of workers that execute their commands immediately. It
// measures the time spent in the Core and its allocations. The fleet is larger than any test needs,
// so only benchmarks use it: run them with go test -bench, see docs/SCALE.md.
type benchFleet struct {
	c            *Core
	now          Micros
	workers      []*benchWorker
	workerByName map[string]*benchWorker
	events       int // number of calls of the Core other than Step, and of tasks that completed
	jobs         int
	coreTime     time.Duration                                 // time spent in the Core
	reportSlots  [reportInterval / slotDuration][]*benchWorker // workers by the time of their report within an interval
}

// benchWorker is a worker of a benchFleet.
type benchWorker struct {
	status Report
	endAt  map[string]Micros // time at which each running task completes
}

const (
	tasksPerMachine = 10
	reportInterval  = 5 * Second
	slotDuration    = 20 * Millisecond
)

// newBenchFleet returns a fleet of n machines with quotas for the teams blue and green.
func newBenchFleet(n int) *benchFleet {
	f := &benchFleet{workerByName: map[string]*benchWorker{}, now: Second}
	f.c = New(Config{
		Teams: []Team{
			{Name: "blue", Min: Resources{CPU: int64(n) * tasksPerMachine * 250}, Max: Resources{CPU: 1 << 50}},
			{Name: "green", Min: Resources{CPU: int64(n) * tasksPerMachine * 500}, Max: Resources{CPU: 1 << 50}},
		},
		WorkerLease: 26 * Second, ReportInterval: reportInterval, PlacementInterval: 20 * Millisecond, RecordInterval: 200 * Millisecond, ReleaseInterval: Second,
		ListLag: 10 * Second, ChunkSize: 2000, RelativeChunkSize: 2000, MaxWriteOps: 12, MachinesPerRecord: 160, LateFactor: 1.5,
		Tuning: Tuning{IdleTimeout: 3600 * Second, RefusalBackoff: 15 * Second, ReservationDecay: 600 * Second, Quarantine: 120 * Second, SuspectAfter: 4500 * Millisecond, SpareTasks: 3},
	})
	f.c.SetCatalog([]MachineType{{Name: "t", Capacity: Resources{CPU: tasksPerMachine * 1000, Mem: tasksPerMachine * 4000}, CacheMB: 50000, FetchMBps: 1000, Price: 1, SpotPrice: 0.4, BootTime: 30 * Second, Zones: []string{"a", "b", "c"}}})
	for i := range n {
		name := fmt.Sprintf("n-%06d", i)
		w := &benchWorker{endAt: map[string]Micros{}, status: Report{
			Machine: name, Address: name, Type: "t", Zone: string(rune('a' + i%3)), Session: 1, SpotNotice: -1,
		}}
		f.workerByName[name] = w
		f.workers = append(f.workers, w)
		slot := i * len(f.reportSlots) / n
		f.reportSlots[slot] = append(f.reportSlots[slot], w)
	}
	return f
}

// timed makes a call of the Core, measures its time and counts it as one event.
func (f *benchFleet) timed(call func()) {
	start := time.Now()
	call()
	f.coreTime += time.Since(start)
	f.events++
}

func (f *benchFleet) submit(tasks int, team string, run Micros) {
	f.jobs++
	rec := JobRecord{SubmittedAt: f.now, Revision: 5, Spec: JobSpec{
		ID: fmt.Sprintf("job-%06d", f.jobs), Team: team, Class: team, Priority: Normal, Tasks: tasks, Resources: Resources{CPU: 1000, Mem: 2000},
		Image: "im", ImageMB: 1000, EstimatedRun: run, Deadline: 10 * run,
	}}
	f.timed(func() { f.c.HandleJob(f.now, f.now, rec) })
}

func (w *benchWorker) execute(cmds []Command, f *benchFleet) {
	for _, cmd := range cmds {
		i := -1
		for k, t := range w.status.Tasks {
			if t.Job == cmd.Job && t.Index == cmd.Index && t.Attempt == cmd.Attempt {
				i = k
			}
		}
		switch {
		case cmd.Op == Start && i < 0:
			w.status.Tasks = append(w.status.Tasks, TaskReport{Job: cmd.Job, Index: cmd.Index, Attempt: cmd.Attempt, State: Running})
			w.endAt[fmt.Sprint(cmd.Job, cmd.Index)] = f.now + 50*Second + Micros(cmd.Index%20)*Second
		case cmd.Op == Stop && i >= 0:
			w.status.Tasks[i].State, w.status.Tasks[i].Cause = Exited, CauseStopped
		case cmd.Op == Forget && i >= 0:
			w.status.Tasks = append(w.status.Tasks[:i], w.status.Tasks[i+1:]...)
		}
	}
}

func (w *benchWorker) report() *Report {
	w.status.Seq++
	r := w.status
	r.Tasks = append([]TaskReport(nil), w.status.Tasks...)
	return &r
}

// step calls Step once and executes the actions. Rentals are refused and releases fail.
func (f *benchFleet) step() {
	var actions []Action
	f.timed(func() { actions = f.c.Step(f.now) })
	f.events-- // Step does not count as an event
	for _, a := range actions {
		switch a := a.(type) {
		case SendCommands:
			w := f.workerByName[a.Machine]
			w.status.Token = max(w.status.Token, a.Token)
			w.execute(a.Commands, f)
			r := w.report()
			f.timed(func() { f.c.HandleCommandResult(f.now, a.Machine, a.Token, Executed, r) })
		case Write:
			f.timed(func() { f.c.HandleWriteResult(f.now, a.ID, Stored) })
			for _, p := range a.Puts {
				if d, ok := p.Value.(FinalRecord); ok {
					f.timed(func() { f.c.HandleJob(f.now, f.now, d.Record) })
				}
			}
		case Rent:
			f.timed(func() { f.c.HandleRentalResult(f.now, f.now, a.RequestID, RentRefused, nil) })
		case Release:
			f.timed(func() { f.c.HandleReleaseResult(f.now, a.Machines, false) })
		}
	}
}

// advance advances the clock by d. Each worker reports once per interval, with the tasks that have
// completed since.
func (f *benchFleet) advance(d Micros) {
	for end := f.now + d; f.now < end; f.now += slotDuration {
		for _, w := range f.reportSlots[f.now/slotDuration%(reportInterval/slotDuration)] {
			for i := range w.status.Tasks {
				t := &w.status.Tasks[i]
				if k := fmt.Sprint(t.Job, t.Index); t.State == Running && w.endAt[k] <= f.now {
					t.State, t.Cause = Exited, CauseDone
					delete(w.endAt, k)
					f.events++
				}
			}
			r := w.report()
			var cmds []Command
			f.timed(func() {
				var token uint64
				cmds, token, _ = f.c.HandleReport(f.now, r)
				w.status.Token = max(w.status.Token, token)
			})
			w.execute(cmds, f)
		}
		f.step()
	}
}

// fill begins a term and fills the fleet with jobs of team blue.
func (f *benchFleet) fill(n int) {
	f.c.BeginTerm(f.now, f.now, 100, nil, Snapshot{})
	f.advance(6 * Second)
	for range n / 10 {
		f.submit(10*tasksPerMachine, "blue", 60*Second)
	}
	f.advance(10 * Second)
}

// measure runs the measured part of a benchmark and reports the cost per event.
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

// forFleetSizes runs a benchmark on full fleets of several sizes. run has to call measure itself.
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

// submitPerSecond submits the number of jobs each second for a number of seconds.
func (f *benchFleet) submitPerSecond(seconds, jobs int) {
	for range seconds {
		for range jobs {
			f.submit(10*tasksPerMachine, "blue", 60*Second)
		}
		f.advance(Second)
	}
}

// advanceUntil advances the clock until a condition holds, for at most a minute.
func (f *benchFleet) advanceUntil(b *testing.B, what func() bool) {
	for i := 0; !what(); i++ {
		if i > 60 {
			b.Fatal("condition not met within a minute")
		}
		f.advance(Second)
	}
}

// BenchmarkSteady measures half a minute with a full fleet, in which a waiting task replaces each
// task that completes: reports, completions and starts.
func BenchmarkSteady(b *testing.B) {
	forFleetSizes(b, func(b *testing.B, f *benchFleet, n int) {
		f.measure(b, func() { f.submitPerSecond(30, n/600) })
	})
}

// BenchmarkBurst measures ten seconds in which jobs for the capacity of the whole fleet are
// submitted while the fleet is full.
func BenchmarkBurst(b *testing.B) {
	forFleetSizes(b, func(b *testing.B, f *benchFleet, n int) {
		f.measure(b, func() { f.submitPerSecond(10, n/100) })
	})
}

// BenchmarkReclaim measures the time until team green, within its min, has reclaimed a fifth of the
// fleet from team blue, which uses all of it.
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

// BenchmarkTakeover measures a takeover by a new leader, from reading the records until every
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
			for _, w := range f.workers[i:min(i+160, n)] {
				r.Machines = append(r.Machines, MachineRecord{w.status.Machine, w.status.Address, "t", w.status.Zone, false})
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
