package core

import (
	"fmt"
	"testing"
)

// TestBoots: what is overdue is replaced once, elsewhere if machines are late there as
// a rule, and is used when it comes after all.
func TestBootStats(t *testing.T) {
	for _, c := range []struct {
		name   string
		take   map[string]Micros // by zone; 0: they never come
		most   int               // machines rented for the work of ten
		in     string            // the zone in which most are rented for later work
		within Micros
	}{
		{"in time", map[string]Micros{"a": 20 * Second, "b": 20 * Second}, 10, "", 25 * Second},
		{"never in one zone", map[string]Micros{"a": 0, "b": 20 * Second}, 20, "b", 60 * Second},
		{"late in one zone", map[string]Micros{"a": 50 * Second, "b": 20 * Second}, 20, "", 60 * Second},
		{"late everywhere", map[string]Micros{"a": 50 * Second, "b": 50 * Second}, 20, "", 60 * Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, Team{Name: "blue"})
			w.beginTerm(100, nil, Snapshot{})
			var fs []*fakeWorker
			rented, where := 0, map[string]int{}
			up := map[string]Micros{}
			play := func(until func() bool, most Micros) Micros {
				from := w.now
				for w.now-from < most && !until() {
					w.advance(Second)
					for _, r := range w.rentals {
						var names []string
						for range r.Count {
							rented++
							where[r.Zone]++
							n := fmt.Sprintf("n-%03d", rented)
							names = append(names, n)
							if d := c.take[r.Zone]; d > 0 {
								up[n] = w.now + d
							}
							f := w.newWorker(n, r.Zone)
							f.status.Type, f.status.Spot = r.Type, r.Spot
							fs = append(fs, f)
						}
						w.c.RentResult(w.now, w.now, r.Request, RentGranted, names)
					}
					w.rentals = nil
					for _, f := range fs {
						if at := up[f.status.Machine]; at > 0 && w.now >= at && w.c.machines[f.status.Machine] != nil {
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
			job := JobSpec{ID: "job-1", Kind: Array, Tasks: 10, Request: Resources{8000, 0, 8000}}
			w.submit(job)
			if took := play(runs("job-1"), 200*Second); took > c.within {
				t.Errorf("all run after %d s, want %d at most", took/Second, c.within/Second)
			}
			if rented > c.most {
				t.Errorf("%d machines were rented for ten, want %d at most", rented, c.most)
			}
			clear(where)
			job.ID = "job-2"
			w.submit(job)
			play(runs("job-2"), 60*Second)
			if c.in != "" && where[c.in] <= 5 {
				t.Errorf("rented later by zone: %v, want most in %s", where, c.in)
			}
			job.ID, job.Tasks, rented = "job-3", 40, 1000
			w.submit(job)
			play(func() bool { return w.c.jobs["job-3"].running == 40 }, 70*Second)
			if got := w.c.jobs["job-3"].running; rented > 1080 || got < 40 {
				t.Errorf("known by then: %d machines rented for forty, %d run", rented-1000, got)
			}
		})
	}
}
