package core

import (
	"fmt"
	"strings"
	"testing"
)

// TestFailureAttribution checks that failures are attributed to the machine or to the job, also
// when there are faulty machines and jobs with mistakes at the same time. In a recorded scenario
// thirteen jobs with mistakes quarantined 256 healthy machines, and their tasks were started 4,130
// times.
func TestFailureAttribution(t *testing.T) {
	const machines = 8
	for _, c := range []struct {
		name        string
		broken      int // jobs with a mistake, of twelve tasks each
		good        int // jobs without a mistake, of six tasks each
		faulty      int // machines that fail every task
		quarantined int // minimum number of faulty machines that are quarantined
		starts      int // maximum number of starts within five minutes for each job with a mistake
	}{
		{"jobs with a mistake", 3, 1, 0, 0, 30},
		{"faulty machines", 0, 4, 2, 2, 0},
		{"faulty machines run a job's first tasks", 0, 2, 4, 4, 0},
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
				w.submit(JobSpec{ID: fmt.Sprintf("good-%d", i), Kind: Array, Tasks: 6, Resources: Resources{1000, 0, 1000}})
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
						if bad := strings.HasPrefix(task.Job, "bad"); bad || i < c.faulty {
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
			quarantined := 0
			for i, f := range fs {
				m := w.c.machines[f.status.Machine]
				if m != nil && m.quarantinedUntil == 0 {
					continue
				}
				if quarantined++; i >= c.faulty {
					t.Errorf("healthy machine %d is quarantined", i)
				}
			}
			if quarantined < c.quarantined {
				t.Errorf("%d of %d faulty machines are quarantined", quarantined, c.faulty)
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
