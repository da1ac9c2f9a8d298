package core

import (
	"fmt"
	"testing"
)

// TestBootStats checks that an overdue machine is replaced once and is used if it comes up after
// all. Later machines are rented elsewhere if most machines of the offer were late.
func TestBootStats(t *testing.T) {
	for _, c := range []struct {
		name     string
		bootTime map[string]Micros // by zone; 0: the machines never come up
		limit    int               // most machines that may be rented where ten are needed
		wantZone string            // the zone in which most machines are rented for later jobs
		within   Micros
	}{
		{"in time", map[string]Micros{"a": 20 * Second, "b": 20 * Second}, 10, "", 25 * Second},
		{"never in one zone", map[string]Micros{"a": 0, "b": 20 * Second}, 20, "b", 60 * Second},
		{"late in one zone", map[string]Micros{"a": 50 * Second, "b": 20 * Second}, 20, "", 60 * Second},
		{"late everywhere", map[string]Micros{"a": 50 * Second, "b": 50 * Second}, 20, "", 60 * Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, Team{Name: "blue"})
			w.beginTerm(100, nil, Snapshot{})
			var workers []*fakeWorker
			rented, rentedByZone := 0, map[string]int{}
			upAt := map[string]Micros{}
			advanceUntil := func(until func() bool, limit Micros) Micros {
				from := w.now
				for w.now-from < limit && !until() {
					w.advance(Second)
					for _, r := range w.rentals {
						var names []string
						for range r.Count {
							rented++
							rentedByZone[r.Zone]++
							n := fmt.Sprintf("n-%03d", rented)
							names = append(names, n)
							if d := c.bootTime[r.Zone]; d > 0 {
								upAt[n] = w.now + d
							}
							f := w.newWorker(n, r.Zone)
							f.status.Type, f.status.Spot = r.Type, r.Spot
							workers = append(workers, f)
						}
						w.c.HandleRentalResult(w.now, w.now, r.RequestID, RentGranted, names)
					}
					w.rentals = nil
					for _, f := range workers {
						if at := upAt[f.status.Machine]; at > 0 && w.now >= at && w.c.machines[f.status.Machine] != nil {
							f.executeDirect()
							f.report()
						}
					}
				}
				return w.now - from
			}
			runs := func(id string) func() bool {
				return func() bool { return w.c.jobs[id].running == 10 }
			}
			job := JobSpec{ID: "job-1", Kind: Array, Tasks: 10, Resources: Resources{8000, 0, 8000}}
			w.submit(job)
			if took := advanceUntil(runs("job-1"), 200*Second); took > c.within {
				t.Errorf("all tasks run after %d s, want at most %d", took/Second, c.within/Second)
			}
			if rented > c.limit {
				t.Errorf("%d machines rented where ten are needed, want at most %d", rented, c.limit)
			}
			clear(rentedByZone)
			job.ID = "job-2"
			w.submit(job)
			advanceUntil(runs("job-2"), 60*Second)
			if c.wantZone != "" && rentedByZone[c.wantZone] <= 5 {
				t.Errorf("machines rented later, by zone: %v, want most in %s", rentedByZone, c.wantZone)
			}
			job.ID, job.Tasks, rented = "job-3", 40, 1000
			w.submit(job)
			advanceUntil(func() bool { return w.c.jobs["job-3"].running == 40 }, 70*Second)
			if got := w.c.jobs["job-3"].running; rented > 1080 || got < 40 {
				t.Errorf("with the statistics: %d machines rented for forty tasks, %d run", rented-1000, got)
			}
		})
	}
}
