package core

import (
	"fmt"
	"strings"
	"testing"
)

// TestBlame: a failure is laid to the machine or to the job, also when both are at
// fault on the same day. In a recorded day, thirteen jobs with a mistake took 256
// good machines out of use, and their tasks were started 4,130 times.
func TestFailureAttribution(t *testing.T) {
	const machines = 8
	for _, c := range []struct {
		name   string
		broken int // jobs with a mistake, of twelve tasks each
		good   int // jobs without, of six tasks each
		sick   int // machines that fail every task
		found  int // of which so many at the least are taken out of use
		starts int // most starts of jobs with a mistake within five minutes, a job
	}{
		{"jobs with a mistake", 3, 1, 0, 0, 30},
		{"machines at fault", 0, 4, 2, 2, 0},
		{"a job's first tasks meet machines at fault", 0, 2, 4, 4, 0},
		{"both", 3, 3, 2, 1, 30},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, Team{Name: "blue"})
			w.beginTerm(100, nil, Snapshot{})
			var fs []*fakeWorker
			for i := range machines {
				fs = append(fs, w.newWorker(fmt.Sprintf("n-%d", i), "a").report())
			}
			for i := range c.broken {
				w.submit(JobSpec{ID: fmt.Sprintf("bad-%d", i), Kind: Array, Tasks: 12})
			}
			for i := range c.good {
				w.submit(JobSpec{ID: fmt.Sprintf("good-%d", i), Kind: Array, Tasks: 6, Request: Resources{1000, 0, 1000}})
			}
			starts, atOnce := 0, 0
			for s := range 300 {
				w.advance(Second)
				now := map[string]int{}
				for i, f := range fs {
					f.executeDirect()
					for k, task := range f.status.Tasks {
						if task.State == Exited {
							continue
						}
						if bad := strings.HasPrefix(task.Job, "bad"); bad || i < c.sick {
							f.exitTask(k, CauseError)
							if bad {
								starts++
								now[task.Job]++
							}
						}
					}
					f.report()
				}
				for _, n := range now {
					if s > 10 {
						atOnce = max(atOnce, n)
					}
				}
			}
			found := 0
			for i, f := range fs {
				m := w.c.machines[f.status.Machine]
				if m != nil && m.quarantinedUntil == 0 {
					continue
				}
				if found++; i >= c.sick {
					t.Errorf("machine %d is taken out of use", i)
				}
			}
			if found < c.found {
				t.Errorf("%d of %d machines at fault are found", found, c.sick)
			}
			for i := range c.good {
				j := w.c.jobs[fmt.Sprintf("good-%d", i)]
				w.want("tasks of "+j.spec.ID+" that run", j.running, 6)
			}
			if starts > c.broken*c.starts {
				t.Errorf("%d starts of jobs that always fail, want at most %d", starts, c.broken*c.starts)
			}
			if atOnce > 1 {
				t.Errorf("%d tasks of a job that always fails at once", atOnce)
			}
		})
	}
}
