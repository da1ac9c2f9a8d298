//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"aspenstall/internal/core"
	"aspenstall/internal/simulator"
	"aspenstall/internal/wire"
)

// rilaGrown is kit/next/rila-forecast-coop-grown.toml.
func rilaGrown() site {
	s := rila()
	s.teams = []map[string]any{
		{"name": "agro-desk", "cpus": 4000.0, "cpus_max": 10000.0, "gpus": 0.0, "gpus_max": 0.0},
		{"name": "marine-desk", "cpus": 1500.0, "cpus_max": 2000.0, "gpus": 0.0, "gpus_max": 0.0},
		{"name": "climate-archive", "cpus": 4000.0, "cpus_max": 15000.0, "gpus": 0.0, "gpus_max": 0.0},
	}
	s.objectives = []map[string]any{
		{"kind": "deadline", "class": "ensemble-runs", "share": 0.98, "times": 1.0}, {"kind": "deadline", "class": "ensemble-runs", "share": 0.992, "times": 1.5},
		{"kind": "wait", "class": "chart-server", "within_s": 4.0, "share": 0.82}, {"kind": "guarantee", "within_s": 5.0, "share": 0.85},
	}
	s.reportS = 4
	return s
}

// doneJob is the record of an ensemble run that is done, as the controllers write it.
func doneJob(i int) wire.Write {
	at := core.Micros(time.Now().UnixMicro())
	r := core.JobRecord{Phase: core.Done, SubmittedAt: at, AcceptedRevision: uint64(3 * i), EndedAt: at, Spec: core.JobSpec{
		ID: fmt.Sprintf("job-%06d", i), Class: "ensemble-runs", Team: "agro-desk", Kind: core.Array, Priority: core.Normal, Tasks: 30,
		Resources: core.Resources{CPU: 4000, Mem: 6000}, Spot: true, Image: fmt.Sprintf("img-%02d", i%2), ImageMB: 1800, EstimatedRun: 20 * core.Second, Deadline: 80 * core.Second}}
	b, err := wire.EncodeJob(&r)
	if err != nil {
		panic(err)
	}
	return wire.Write{Put: wire.JobPrefix + r.Spec.ID, Value: b}
}

// memory returns the anonymous memory that a process holds, in bytes.
func (k *controller) memory() int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", k.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if f := strings.Fields(line); len(f) == 3 && f[0] == "RssAnon:" {
			kb, _ := strconv.ParseInt(f[1], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// history: the jobs of some days are over, and all controllers crash once. The platform kills a
// controller that holds more memory than it is granted, and restarts it.
func history(rec *recorder, trouble bool) (int, error) {
	const jobs = 400_000
	c, err := newCluster(rilaGrown(), rec)
	if err != nil {
		return 2, err
	}
	defer c.stop()
	limit := int64(c.site.memMB * (1 << 20))
	var mu sync.Mutex
	peak, kills := map[string]int64{}, 0
	ended := make(chan struct{})
	defer close(ended)
	platform := func(k *controller) {
		for {
			select {
			case <-ended:
				return
			case <-time.After(50 * time.Millisecond):
			}
			m := k.memory()
			mu.Lock()
			peak[k.member] = max(peak[k.member], m)
			mu.Unlock()
			if m <= limit && k.running() {
				continue
			}
			if m > limit {
				rec.log("platform: %s holds %d MB of %.0f", k.member, m>>20, c.site.memMB)
				k.kill()
				mu.Lock()
				kills++
				mu.Unlock()
			}
			select {
			case <-ended:
				return
			case <-time.After(c.site.restart):
			}
			if err := k.start(); err != nil {
				return
			}
		}
	}
	// ask polls a job at each controller in turn and reports whether one answered.
	ask := func(id, want string) bool {
		for _, k := range c.controllers {
			status, b := c.call(http.MethodGet, "http://"+k.listen+wire.JobsPath+"/"+id, nil, nil, 2*time.Second)
			var a wire.JobState
			if status == http.StatusOK && wire.Unmarshal(b, &a) == nil && a.State == want {
				return true
			}
		}
		return false
	}
	if err := c.startAll(); err != nil {
		return 2, err
	}
	for i := 0; i < jobs; i += 4000 {
		var writes []wire.Write
		for n := range 4000 {
			writes = append(writes, doneJob(i+n))
		}
		c.state.Load(writes)
		time.Sleep(80 * time.Millisecond)
	}
	last := fmt.Sprintf("job-%06d", jobs-1)
	if !await(20*time.Second, func() bool { return ask(last, "done") }) {
		return 2, errors.New("the controllers do not know the jobs")
	}
	// A job that is accepted now and goes on.
	s := &simulator.Spec{ID: "job-900001", Class: "chart-server", Team: "marine-desk", Shape: "standing", Urgency: "production", Tasks: 1, CPUs: 2, MemGB: 3.4, Image: "chart-1", ImageGB: 0.7}
	if !await(20*time.Second, func() bool { return c.submit(c.controllers[0], s) == http.StatusCreated }) {
		return 2, errors.New("a submission was not accepted")
	}
	rec.log("user: %s is accepted", s.ID)
	for _, k := range c.controllers {
		rec.log("%s holds %d MB; %d jobs are over", k.member, k.memory()>>20, jobs)
	}
	if trouble {
		for _, k := range c.controllers {
			k.kill()
		}
		rec.log("all controllers have crashed; they are back after %v", c.site.restart)
		time.Sleep(c.site.restart)
		for _, k := range c.controllers {
			if err := k.start(); err != nil {
				return 2, err
			}
		}
	}
	mu.Lock()
	clear(peak)
	mu.Unlock()
	for _, k := range c.controllers {
		go platform(k)
	}
	began, answered := time.Now(), time.Time{}
	for time.Since(began) < 76*time.Second {
		if ask(last, "done") {
			answered = time.Now()
			if time.Since(began) > 25*time.Second {
				break
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	for _, k := range c.controllers {
		rec.log("%s held %d MB at most since, of %.0f", k.member, peak[k.member]>>20, c.site.memMB)
	}
	rec.log("the platform killed %d controllers for their memory", kills)
	if answered.IsZero() {
		rec.log("for %.0f s no question about %s was answered", time.Since(began).Seconds(), last)
		return 1, nil
	}
	return 0, nil
}
