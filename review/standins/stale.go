//go:build review

package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"aspenstall/internal/simulator"
)

func init() { cases["stale"] = runStale }

// runStale is no case of its own (see REPORT.md): the leader stands still for 8 s while its clocks run on, in the middle of
// deliveries, and another one takes over meanwhile.
func runStale(ctx context.Context, rec *record, binary, dir string, trouble bool) int {
	const (
		maxAgeS  = 2
		jobCount = 40
		freeze   = 8 * time.Second
	)
	params := desertParams()
	v := newReceiver(rec, maxAgeS*time.Second, 800*time.Millisecond)
	settings, err := writeNotifySettings(dir, serve(v), "revenue-ops", "fraud-sweep", maxAgeS)
	if err != nil {
		return failed
	}
	c := newCluster(ctx, rec, dir, binary, params, falcon(params.Zones), 48, settings)
	defer c.stopAll()
	if err := c.up(); err != nil {
		rec.printf("%v", err)
		return failed
	}
	var jobs []string
	for i := 1; i <= jobCount; i++ {
		id := fmt.Sprintf("job-%06d", i)
		jobs = append(jobs, id)
		if !c.submit(&simulator.Spec{
			ID: id, Class: "fraud-sweep", Team: "revenue-ops", Shape: "batch", Urgency: "high", Tasks: 1, CPUs: 4, MemGB: 26,
			Image: "img-1", ImageGB: 1, EstimateS: 4, RunS: 4,
		}) {
			return failed
		}
	}
	for start := time.Now(); v.totalEffects() < 6; time.Sleep(20 * time.Millisecond) {
		if time.Since(start) > 40*time.Second || ctx.Err() != nil {
			rec.printf("only %d notifications", v.totalEffects())
			return failed
		}
	}
	if trouble {
		k := c.leader()
		if k == nil {
			return failed
		}
		_ = k.cmd.Process.Signal(syscall.SIGSTOP)
		rec.printf("controller %s, the leader, stands still", k.name)
		time.Sleep(freeze)
		_ = k.cmd.Process.Signal(syscall.SIGCONT)
		rec.printf("controller %s goes on", k.name)
	}
	for start := time.Now(); time.Since(start) < 45*time.Second && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		missing := 0
		for _, id := range jobs {
			if v.effectsOf(id) == 0 {
				missing++
			}
		}
		if missing == 0 {
			break
		}
	}
	time.Sleep(6 * time.Second)
	return v.judge(jobs)
}
