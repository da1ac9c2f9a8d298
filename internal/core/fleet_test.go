package core

import (
	"fmt"
	"testing"
)

// TestFleet checks which machines are rented and which are released.
func TestFleet(t *testing.T) {
	t.Run("spot machines are rented for jobs that allow them, once", func(t *testing.T) {
		w := newWorld(t, Team{Name: "blue"})
		w.beginTerm(100, nil, Snapshot{})
		w.submit(JobSpec{ID: "job-1", Tasks: 8, Spot: true})
		w.advance(2 * Second)
		w.want("requests", len(w.rentals), 1)
		w.want("rented", fmt.Sprint(w.rentals[0].Spot, w.rentals[0].Count), "true 2")
		w.c.HandleRentalResult(w.now, w.now, w.rentals[0].RequestID, RentGranted, []string{"n-1", "n-2"})
		w.advance(5 * Second)
		w.want("requests after the grant", len(w.rentals), 1)
	})
	t.Run("an overdue machine does not count as incoming", func(t *testing.T) {
		w := newWorld(t, Team{Name: "blue"})
		w.beginTerm(100, nil, Snapshot{})
		w.submit(JobSpec{ID: "job-1", Tasks: 1, Zone: "b"})
		w.advance(Second)
		w.c.HandleRentalResult(w.now, w.now, w.rentals[0].RequestID, RentGranted, []string{"n-1"})
		w.advance(25 * Second)
		w.want("requests while the machine is incoming", len(w.rentals), 1)
		w.advance(10 * Second)
		w.want("requests when the machine is overdue", len(w.rentals), 2)
	})
	t.Run("a refused offer is not requested for a while, request names are not reused", func(t *testing.T) {
		w := newWorld(t, Team{Name: "blue"})
		w.beginTerm(100, nil, Snapshot{})
		w.submit(JobSpec{ID: "job-1", Tasks: 1, Zone: "b"})
		w.advance(Second)
		w.c.HandleRentalResult(w.now, w.now, w.rentals[0].RequestID, RentRefused, nil)
		w.advance(5 * Second)
		w.want("requests while refused", len(w.rentals), 1)
		w.advance(15 * Second)
		w.want("requested again", len(w.rentals) == 2 && w.rentals[0].RequestID != w.rentals[1].RequestID, true)
	})
	t.Run("an unanswered request is repeated under its name", func(t *testing.T) {
		w := newWorld(t, Team{Name: "blue"})
		w.beginTerm(100, nil, Snapshot{})
		w.submit(JobSpec{ID: "job-1", Tasks: 1})
		w.advance(Second)
		name := w.rentals[0].RequestID
		w.c.HandleRentalResult(w.now, w.now, name, RentUnknown, nil)
		w.advance(2 * Second)
		w.want("repeated", len(w.rentals) == 2 && w.rentals[1].RequestID == name, true)
	})
	t.Run("machines rented by a former leader count as incoming until they are not listed in time", func(t *testing.T) {
		w := newWorld(t, Team{Name: "blue"})
		job := JobRecord{Spec: JobSpec{ID: "job-1", Team: "blue", Tasks: 4, Resources: Resources{2000, 0, 2000}, Image: "im", Zone: "b"}, Revision: 5}
		w.now = 100 * Second
		w.beginTerm(200, []JobRecord{job}, Snapshot{Rentals: []RentalRecord{{RequestID: "r-1", Type: "m", Zone: "b", Count: 1, Machines: []string{"n-1"}, RentedAt: 96 * Second}}})
		w.advance(2 * Second)
		w.want("rented", len(w.rentals), 0)
		w.c.HandleMachineList(w.now, nil)
		w.advance(2 * Second)
		w.want("rented while the list may lag", len(w.rentals), 0)
		w.advance(12 * Second)
		w.c.HandleMachineList(w.now, nil)
		w.advance(2 * Second)
		w.want("rented when the machine is gone", len(w.rentals), 1)
	})
	t.Run("idle machines are released after a minute, drained ones at once", func(t *testing.T) {
		w := newWorld(t, Team{Name: "blue"})
		w.beginTerm(100, nil, Snapshot{})
		f := w.newWorker("n-1", "a").report()
		g := w.newWorker("n-2", "a").report()
		for range 14 {
			w.advance(Second)
			f.report()
			g.report()
		}
		w.c.HandleMachineList(w.now, []ListedMachine{{Name: "n-1", Age: 30 * Second}, {Name: "n-2", Age: 30 * Second}})
		g.status.SpotNotice = 10 * Second
		g.report()
		w.advance(Second)
		w.want("back", fmt.Sprint(w.releases), "[{[n-2] drained}]")
		w.c.HandleReleaseResult(w.now, []string{"n-2"}, true)
		for range 35 {
			w.advance(Second)
			f.report()
		}
		w.want("released later", len(w.releases) == 2 && w.releases[1].Machines[0] == "n-1" && w.releases[1].Reason == "idle", true)
	})
	t.Run("several machines are released with one request, one that reports again before is kept", func(t *testing.T) {
		w := newWorld(t, Team{Name: "blue"})
		w.beginTerm(100, nil, Snapshot{})
		var workers []*fakeWorker
		for i := range 4 {
			workers = append(workers, w.newWorker(fmt.Sprintf("n-%d", i), "a").report())
		}
		ms := w.c.machines
		w.c.queueRelease(ms["n-0"], w.now, "idle")
		w.step()
		for _, n := range []string{"n-1", "n-2", "n-3"} {
			ms[n].unreachable = true
			w.c.queueRelease(ms[n], w.now, unreachableReason)
		}
		w.step()
		w.want("one request at a time", fmt.Sprint(w.releases), "[{[n-0] idle}]")
		workers[2].report()
		w.c.HandleReleaseResult(w.now, []string{"n-0"}, true)
		w.step()
		w.want("the other machines together", fmt.Sprint(w.releases[1:]), "[{[n-1 n-3] silent}]")
		w.c.HandleReleaseResult(w.now, []string{"n-1", "n-3"}, false)
		w.advance(2 * Second)
		w.want("requested again", fmt.Sprint(w.releases[2:]), "[{[n-1 n-3] silent}]")
	})
	t.Run("an unreachable machine is released, unless no machine reports", func(t *testing.T) {
		for _, c := range []struct{ heard, want int }{{3, 1}, {0, 0}} {
			w := newWorld(t, Team{Name: "blue"})
			w.beginTerm(100, nil, Snapshot{})
			var workers []*fakeWorker
			for i := range 4 {
				workers = append(workers, w.newWorker(fmt.Sprintf("n-%d", i), "a").report())
			}
			workers[3].losesCommands = true
			for range 12 {
				w.advance(Second)
				for i, f := range workers {
					f.losesCommands = i >= c.heard
					f.executeDirect()
					if i < c.heard {
						f.report()
					}
				}
			}
			w.want("returned", len(w.releases), c.want)
		}
	})
	t.Run("a machine that runs only one service is emptied, one with batch tasks is not", func(t *testing.T) {
		for _, c := range []struct {
			batch bool
			want  string
		}{{false, "[{[n-1] drained}]"}, {true, "[]"}} {
			w := newWorld(t, Team{Name: "blue"})
			w.beginTerm(100, nil, Snapshot{})
			f, g := w.newWorker("n-1", "a").report(), w.newWorker("n-2", "b").report()
			round := func() {
				w.advance(Second)
				for _, x := range []*fakeWorker{f, g} {
					x.executeDirect()
					x.report()
				}
			}
			// One service runs on n-1. n-2 has more tasks and room for that service.
			w.submit(JobSpec{ID: "job-1", Kind: Service, Tasks: 1, Zone: "a"})
			w.submit(JobSpec{ID: "job-2", Kind: Service, Tasks: 2, Zone: "b"})
			if c.batch {
				w.submit(JobSpec{ID: "job-3", Tasks: 1, Zone: "a"})
			}
			for range 60 { // until no more services are expected
				round()
			}
			w.c.jobs["job-1"].spec.Zone = ""
			for range 5 {
				round()
			}
			w.want("services", w.c.jobs["job-1"].running+w.c.jobs["job-2"].running, 3)
			w.want("back", fmt.Sprint(w.releases), c.want)
		}
	})
	t.Run("the rate of moves is proportional to the number of services", func(t *testing.T) {
		// After a batch job has ended, each machine runs one service.
		moves := func(machines int) int {
			w := newWorld(t, Team{Name: "blue"})
			w.beginTerm(100, nil, Snapshot{})
			var workers []*fakeWorker
			for i := range machines {
				workers = append(workers, w.newWorker(fmt.Sprintf("n-%03d", i), "a").report())
			}
			w.submit(JobSpec{ID: "job-1", Tasks: machines, Resources: Resources{7000, 0, 1000}})
			w.submit(JobSpec{ID: "job-2", Kind: Service, Tasks: machines, Resources: Resources{1000, 0, 1000}})
			round := func() {
				for _, f := range workers {
					f.executeDirect()
					f.report()
				}
			}
			round()
			round()
			w.want("services", w.c.jobs["job-2"].running, machines)
			w.cancel("job-1")
			round()
			before := w.c.attemptCount
			for range 20 {
				w.advance(Second)
				round()
			}
			return int(w.c.attemptCount - before)
		}
		few, many := moves(20), moves(200)
		w := &world{t: t}
		one := 20 * float64(Second) / float64(serviceMoveInterval) // moves of one service in that time
		w.want("few move", float64(few) >= 1 && float64(few) <= 20*one+1, true)
		w.want("many move", float64(many) >= 0.8*200*one && float64(many) <= 1.2*200*one, true)
	})
	t.Run("capacity is reserved for a class with a start objective, by the next leader too", func(t *testing.T) {
		const sooner, later = 2 * Second, 60 * Second
		for _, c := range []struct {
			name       string
			within     Micros
			noMoreJobs bool // no more jobs are submitted
			want       int  // released machines
		}{
			{"no objective", 0, false, 2},
			{"renting would be too late", sooner, false, 0},
			{"renting is in time", later, false, 2},
			{"no more are expected", sooner, true, 2},
		} {
			w := newWorld(t, Team{Name: "blue"})
			w.c.cfg.Tuning.ReservationDecay = 1000 * Second
			if c.within > 0 {
				w.c.cfg.StartObjectives = map[string][]Micros{"sweep": {c.within}}
			}
			w.beginTerm(100, nil, Snapshot{})
			workers := []*fakeWorker{w.newWorker("n-1", "a"), w.newWorker("n-2", "b")}
			for _, f := range workers {
				f.status.Type = "g" // one task uses all GPUs but few CPUs
			}
			sweep := JobSpec{Class: "sweep", Tasks: 2, Resources: Resources{1000, 2000, 1000}}
			n := 0
			// If jobs is set, a job is submitted in every other round and cancelled in the next.
			rounds := func(count int, jobs bool) {
				for i := range count {
					w.advance(3 * Second)
					for _, f := range workers {
						f.executeDirect()
						f.report()
					}
					if id := fmt.Sprint("job-", n); jobs && i%2 == 0 {
						n++
						sweep.ID = fmt.Sprint("job-", n)
						w.submit(sweep)
					} else if w.c.jobs[id] != nil {
						w.cancel(id)
					}
				}
			}
			rounds(10, false)
			rounds(10, true)
			rounds(6, false) // a pause in which more jobs are still expected
			rounds(20, !c.noMoreJobs)
			w.want("machines released, "+c.name, w.releases != nil, c.want > 0)
			if c.want > 0 {
				continue
			}
			var records []MachineRecord
			for i, f := range workers {
				records = append(records, MachineRecord{Name: f.status.Machine, Address: f.status.Address, Type: "g", Zone: string(rune('a' + i))})
			}
			sweep.Tasks, sweep.ID, sweep.Team, sweep.Image = 1, "job-100", "blue", "im"
			w.beginTerm(200, []JobRecord{{Spec: sweep, Revision: 5}}, Snapshot{MachineGroups: []MachineGroupRecord{{MachinePrefix + "1-1", records}}})
			n = 200
			rounds(30, true)
			w.want("released by the next leader", len(w.releases), 0)
			// A lost machine is replaced before any task waits.
			w.rentals = nil
			w.c.HandleReleaseResult(w.now, []string{"n-2"}, true)
			w.advance(2 * Second)
			w.want("requests for a replacement", len(w.rentals), 1)
			w.advance(2 * Second)
			w.want("requests after the first", len(w.rentals), 1)
		}
	})
	for _, c := range []struct {
		name string
		typ  string
		snap Snapshot
	}{
		{"a machine of an unknown type is released", "new", Snapshot{}},
		{"a machine that is idle at takeover is released", "m", Snapshot{MachineGroups: recordedMachines("n-1")}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, Team{Name: "blue"})
			w.beginTerm(100, nil, c.snap)
			f := w.newWorker("n-1", "a")
			f.status.Type = c.typ
			for range 25 {
				f.executeDirect()
				f.report()
				w.advance(3 * Second)
			}
			w.want("back", len(w.releases), 1)
		})
	}
	t.Run("a machine that never comes up is released", func(t *testing.T) {
		w := newWorld(t, Team{Name: "blue"})
		w.beginTerm(100, nil, Snapshot{})
		w.submit(JobSpec{ID: "job-1", Tasks: 1})
		w.advance(Second)
		w.c.HandleRentalResult(w.now, w.now, w.rentals[0].RequestID, RentGranted, []string{"n-1"})
		w.c.HandleMachineList(w.now, []ListedMachine{{Name: "n-1", Type: "m", Zone: "a", Booting: true}})
		w.advance(75 * Second)
		w.want("back", len(w.releases) > 0 && w.releases[0].Reason == "never came up", true)
	})
}

// TestUnlistedMachinesAreReleased covers a leader that fails after its release of most machines was
// executed but before it could record that. Hardly any machine reports to the next leader, which
// must not take this for a network fault on its side until the leases are over: the cloud's list
// shows that the machines are gone.
func TestUnlistedMachinesAreReleased(t *testing.T) {
	for _, c := range []struct {
		name         string
		listed       bool // the machines are listed, so they exist but do not report
		after        Micros
		wantReleased int
	}{
		{"gone", false, 15 * Second, 6},
		{"gone, and the list may still be too old", false, 12 * Second, 0},
		{"silent", true, 15 * Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, Team{Name: "blue"})
			names := []string{"n-1", "n-2", "n-3", "n-4", "n-5", "n-6", "n-7"}
			job := JobRecord{Spec: JobSpec{ID: "job-1", Team: "blue", Image: "im", Tasks: 2, Resources: Resources{2000, 0, 2000}}}
			w.beginTerm(100, []JobRecord{job}, Snapshot{MachineGroups: recordedMachines(names...), Started: []string{"job-1"}})
			list := []ListedMachine{{Name: "n-7", Type: "m", Zone: "a", Age: 100 * Second}}
			if c.listed {
				for _, n := range names[:6] {
					list = append(list, ListedMachine{Name: n, Type: "m", Zone: "a", Age: 100 * Second})
				}
			}
			f := w.newWorker("n-7", "a")
			for w.now < c.after {
				w.advance(Second)
				f.report()
			}
			w.c.HandleMachineList(w.now, list)
			w.step()
			w.want("released machines", w.releasedMachines(), c.wantReleased)
			if c.wantReleased > 0 {
				w.c.HandleReleaseResult(w.now, names[:6], true)
				w.reportRounds(2, []*fakeWorker{f})
				w.want("running tasks", w.c.jobs["job-1"].running, 2)
			}
		})
	}
}

// TestReservedRoomIsNotBorrowed checks that capacity reserved for a class is not lent to a job of
// lower priority that is beyond its team's minimum, if the class could not reclaim it. In a
// randomly generated scenario, long reruns of another team filled the reserved capacity, and jobs
// that had to start at once waited for minutes.
func TestReservedRoomIsNotBorrowed(t *testing.T) {
	for _, c := range []struct {
		name        string
		own, min    Resources // minimum of the class's team and of the other team
		priority    Priority
		wantRunning int // running tasks of sixteen; half of the capacity for sixteen is reserved
	}{
		{"borrows", Resources{}, Resources{}, Low, 8},
		{"within its min", Resources{}, Resources{CPU: 40000}, Low, 16},
		{"of no lower priority", Resources{}, Resources{}, High, 16},
		{"the class can reclaim", Resources{CPU: 2000}, Resources{}, Low, 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, Team{Name: "blue", Min: c.own}, Team{Name: "green", Min: c.min})
			w.c.cfg.StartObjectives = map[string][]Micros{"sweep": {Second}}
			w.c.cfg.Tuning.ReservationDecay = 600 * Second
			w.beginTerm(100, nil, Snapshot{})
			var workers []*fakeWorker
			for i := range 4 {
				workers = append(workers, w.newWorker(fmt.Sprintf("n-%d", i), "a").report())
			}
			w.reportRounds(25, workers)
			sweep := JobSpec{ID: "job-1", Class: "sweep", Kind: Array, Priority: High, Tasks: 8}
			w.submit(sweep)
			w.reportRounds(3, workers)
			for _, f := range workers {
				for i := range f.status.Tasks {
					f.exitTask(i, CauseDone)
				}
			}
			w.reportRounds(3, workers)
			w.submit(JobSpec{ID: "job-2", Class: "rerun", Team: "green", Kind: Array, Priority: c.priority, Tasks: 16})
			w.reportRounds(3, workers)
			w.want("running tasks of the other team", w.c.jobs["job-2"].running, c.wantRunning)
			sweep.ID = "job-3"
			w.submit(sweep)
			w.reportRounds(1, workers)
			w.want("running tasks of the class", w.c.jobs["job-3"].running, 16-c.wantRunning+min(int(c.own.CPU/2000), 1))
		})
	}
}
