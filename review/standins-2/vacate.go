//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"aspenstall/internal/simulator"
	"aspenstall/internal/wire"
)

// tollingGrown is kit/next/desert-highway-tolling-grown.toml.
func tollingGrown() site {
	s := tolling()
	zones := []string{"amman-core", "aqaba-plaza", "zarqa-backup"}
	s.objectives = []map[string]any{
		{"kind": "deadline", "class": "fraud-sweep", "share": 0.98, "times": 1.0}, {"kind": "deadline", "class": "fraud-sweep", "share": 0.992, "times": 1.5},
		{"kind": "wait", "class": "fraud-sweep", "within_s": 2.0, "share": 0.85}, {"kind": "wait", "class": "plate-reader", "within_s": 1.0, "share": 0.85},
	}
	s.zones = zones
	s.capacity = 3
	return s
}

// vacating: services leave a fleet half empty, and the leader begins to empty a machine. Then a burst
// comes. Machines are not to be had.
func vacating(rec *recorder, trouble bool) (int, error) {
	c, err := newCluster(tollingGrown(), rec)
	if err != nil {
		return 2, err
	}
	defer c.stop()
	var mu sync.Mutex
	on := map[string]map[string]float64{} // CPUs by task, by machine
	halted := ""                          // the machine that a service left which nobody cancelled
	cancelled := map[string]bool{}
	startedAt := map[string]time.Time{} // first start, by job
	c.onTask = func(what string, t simulator.TaskOnMachine) {
		mu.Lock()
		defer mu.Unlock()
		if on[t.Host.Machine] == nil {
			on[t.Host.Machine] = map[string]float64{}
		}
		if what == "starts" {
			on[t.Host.Machine][t.Task] = t.Spec.CPUs
			if startedAt[t.Spec.ID].IsZero() {
				startedAt[t.Spec.ID] = time.Now()
			}
			return
		}
		delete(on[t.Host.Machine], t.Task)
		if t.Cause == "halted" && t.Spec.Shape == "standing" && !cancelled[t.Spec.ID] && halted == "" {
			halted = t.Host.Machine
		}
	}
	free := func(m string) float64 {
		mu.Lock()
		defer mu.Unlock()
		left := 32.0
		for _, cpus := range on[m] {
			left -= cpus
		}
		return left
	}
	tasksOn := func() int {
		mu.Lock()
		defer mu.Unlock()
		n := 0
		for _, tasks := range on {
			n += len(tasks)
		}
		return n
	}
	if err := c.startAll(); err != nil {
		return 2, err
	}
	user := c.controllers[1]
	id := 0
	submit := func(s *simulator.Spec) (string, error) {
		id++
		s.ID, s.Team = fmt.Sprintf("job-%06d", id), "revenue-ops"
		ok := await(30*time.Second, func() bool {
			status := c.submit(user, s)
			rec.log("user: submits %s (%s, %d tasks): %d", s.ID, s.Class, s.Tasks, status)
			if status != http.StatusCreated && status != http.StatusOK {
				time.Sleep(time.Second)
				return false
			}
			return true
		})
		if !ok {
			return s.ID, errors.New("a submission was not accepted")
		}
		return s.ID, nil
	}
	service := func() (string, error) {
		return submit(&simulator.Spec{Class: "plate-reader", Shape: "standing", Urgency: "production", Tasks: 1, CPUs: 4, MemGB: 20, Image: "reader-1", ImageGB: 1, Spread: true})
	}
	sweep := func(tasks int) (string, error) {
		return submit(&simulator.Spec{Class: "fraud-sweep", Shape: "batch", Urgency: "high", Tasks: tasks, CPUs: 4, MemGB: 26, Image: "sweep-1", ImageGB: 1.5, EstimateS: 150, RunS: 150, Spot: true, DueS: 385.0})
	}
	const services = 18
	var ids []string
	for range services {
		s, err := service()
		if err != nil {
			return 2, err
		}
		ids = append(ids, s)
	}
	if !await(30*time.Second, func() bool { return tasksOn() == services }) {
		return 2, fmt.Errorf("%d of %d services run", tasksOn(), services)
	}
	// Users call off services until two are left on each machine.
	for _, m := range c.cloud.RunningMachines() {
		mu.Lock()
		var here []string
		for task := range on[m.Machine] {
			here = append(here, task[:len("job-000001")])
		}
		mu.Unlock()
		slices.Sort(here)
		for _, s := range here[min(2, len(here)):] {
			mu.Lock()
			cancelled[s] = true
			mu.Unlock()
			status, _ := c.call(http.MethodPost, "http://"+user.listen+wire.JobsPath+"/"+s+"/"+wire.CancelSuffix, nil, nil, 5*time.Second)
			rec.log("user: withdraws %s: %d", s, status)
		}
	}
	if !await(15*time.Second, func() bool { mu.Lock(); defer mu.Unlock(); return halted != "" }) {
		return 2, errors.New("no machine is being emptied")
	}
	empty := halted
	rec.log("%s is being emptied: a service that nobody called off was stopped there", empty)
	if trouble {
		if _, err := sweep(8); err != nil {
			return 2, err
		}
		time.Sleep(1500 * time.Millisecond)
		others := func() float64 {
			sum := 0.0
			for _, m := range c.cloud.RunningMachines() {
				if m.Machine != empty {
					sum += free(m.Machine)
				}
			}
			return sum
		}
		for range 12 {
			if others() < 4 {
				break
			}
			if _, err := service(); err != nil {
				return 2, err
			}
			time.Sleep(2400 * time.Millisecond) // four times the site's 0.1028 a second
		}
		rec.log("the burst is over: %.0f CPUs are free on the other machines, %.0f on %s", others(), free(empty), empty)
	}
	last, err := sweep(1)
	if err != nil {
		return 2, err
	}
	began := time.Now()
	least := free(empty)
	for time.Since(began) < 91*time.Second {
		time.Sleep(200 * time.Millisecond)
		least = min(least, free(empty))
		mu.Lock()
		at := startedAt[last]
		mu.Unlock()
		if !at.IsZero() {
			rec.log("%s started after %.1f s", last, at.Sub(began).Seconds())
			return 0, nil
		}
		if int(time.Since(began).Seconds()*5)%50 == 0 {
			rec.log("%s waits for %.0f s; %.0f CPUs are free on %s", last, time.Since(began).Seconds(), free(empty), empty)
		}
	}
	status, b := c.call(http.MethodGet, "http://"+user.listen+wire.JobsPath+"/"+last, nil, nil, 2*time.Second)
	var a wire.JobState
	_ = wire.Unmarshal(b, &a)
	rec.log("user: asks for %s: %d %s; it waited for %.0f s, and %s had at least %.0f CPUs free all the time", last, status, a.State, time.Since(began).Seconds(), empty, least)
	if least >= 4 {
		return 1, nil
	}
	return 0, nil
}
