//go:build review

package main

import (
	"context"
	"time"

	"aspenstall/internal/simulator"
)

func init() { cases["limits"] = runLimits }

// runLimits is case 2: the state service lowers its limits, as the settings announced. A job that is
// accepted afterwards has to run: it must not wait for 90 s while a machine that fits has room and its
// team is under its limit.
func runLimits(ctx context.Context, rec *record, binary, dir string, trouble bool) int {
	const bound = 90 * time.Second
	params := rilaParams(true)
	c := newCluster(ctx, rec, dir, binary, params, wren(params.Zones), 80, "")
	defer c.stopAll()
	if err := c.up(); err != nil {
		rec.printf("%v", err)
		return failed
	}
	job := func(id string, tasks int) *simulator.Spec {
		return &simulator.Spec{
			ID: id, Class: "ensemble-runs", Team: "agro-desk", Shape: "batch", Urgency: "standard", Tasks: tasks, CPUs: 4, MemGB: 6,
			Image: "img-1", ImageGB: 0.3, EstimateS: 600, RunS: 600,
		}
	}
	const first = 48
	if !c.submit(job("job-000001", first)) {
		return failed
	}
	for start := time.Now(); c.startedTasks("job-000001") < first; time.Sleep(100 * time.Millisecond) {
		if time.Since(start) > 15*time.Second || ctx.Err() != nil {
			rec.printf("only %d of %d tasks of the first job run", c.startedTasks("job-000001"), first)
			return failed
		}
	}
	rec.printf("all %d tasks of the first job run, each on a machine of its own", first)
	if trouble {
		c.state.setLimits(stateLimits{rps: 250, writeRPS: 70, valueKB: 2, txnOps: 4})
		rec.printf("state service: the limits are now those of state.next: values of 2 KiB, 4 changes a transaction, 70 changes a second")
	}
	time.Sleep(500 * time.Millisecond)
	before := time.Now()
	if !c.submit(job("job-000002", 4)) {
		rec.printf("the second job was not accepted")
		return failed
	}
	accepted := time.Now()
	var since time.Time // the job waits beside a free machine since then
	for i := 0; ctx.Err() == nil; i++ {
		if n := c.startedTasks("job-000002"); n == 4 {
			rec.printf("all tasks of the second job run %.1f s after it was accepted", time.Since(accepted).Seconds())
			return held
		} else if n > 0 {
			since = time.Time{} // it does not wait any more, as a job
		} else if name, up := c.freeMachine(before); name != "" {
			if since.IsZero() {
				since = up
				if accepted.After(up) {
					since = accepted
				}
				rec.printf("machine %s is up and has nothing on it, and the second job waits", name)
			}
			if time.Since(since) >= bound {
				rec.printf("the second job, accepted %.1f s ago, has no task on a machine; %s, which fits, is up and empty for %.1f s; team agro-desk uses %d of 336 CPUs",
					time.Since(accepted).Seconds(), name, time.Since(up).Seconds(), 4*first)
				return broken
			}
		}
		if i%50 == 0 {
			c.poll("job-000002", i/50)
		}
		time.Sleep(100 * time.Millisecond)
	}
	rec.printf("not decided: %v", ctx.Err())
	return failed
}
