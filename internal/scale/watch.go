package scale

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"aspenstall/internal/wait"
	"aspenstall/internal/wire"
)

// healthyController returns the address of a random healthy controller, or "" if there is none.
func (r *Run) healthyController() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.healthyAddresses) == 0 {
		return ""
	}
	return r.healthyAddresses[r.random.IntN(len(r.healthyAddresses))]
}

const (
	// healthProbeInterval is the timeout of a health probe. Probes are sent twice per interval.
	healthProbeInterval = time.Second
	// leaderPollInterval is the interval between reads of the leader record.
	leaderPollInterval = 20 * time.Millisecond
)

// watchControllers probes the controllers' health, as a load balancer does, and polls the leader
// record until ctx ends.
func (r *Run) watchControllers(ctx context.Context) {
	client := &http.Client{Timeout: healthProbeInterval}
	go func() {
		for wait.For(ctx, healthProbeInterval/2) {
			var healthy []string
			for _, c := range r.controllers {
				if resp, err := client.Get("http://" + c.at.controller(c.index) + wire.HealthPath); err == nil {
					_ = resp.Body.Close()
					if resp.StatusCode == http.StatusOK {
						healthy = append(healthy, c.at.controller(c.index))
					}
				}
			}
			r.mu.Lock()
			r.healthyAddresses = healthy
			r.mu.Unlock()
		}
	}()
	for wait.For(ctx, leaderPollInterval) {
		r.pollLeader()
	}
}

// pollLeader reads the leader record. If the leader has changed, it records the time and sends the
// leader's zone to the worker hosts.
func (r *Run) pollLeader() {
	var l wire.LeaderRecord
	if e, ok := r.state.Get(wire.LeaderKey); !ok || wire.Unmarshal(e.Value, &l) != nil {
		l.Node = ""
	}
	r.mu.Lock()
	changed := l.Node != r.leader
	if changed {
		r.leader = l.Node
		if l.Node != "" {
			r.leaderSince, r.firstStartUnderLeader = time.Now(), time.Time{}
		}
	}
	r.mu.Unlock()
	if !changed || l.Node == "" {
		return
	}
	for _, c := range r.controllers {
		if c.name == l.Node {
			r.sendToHosts(Command{Kind: CommandLeaderZone, Zone: c.zone})
		}
	}
}

// sendToHosts sends a command to every worker host process.
func (r *Run) sendToHosts(c Command) {
	for _, h := range r.hosts {
		h.send(c)
	}
}

// waitWithProgress waits for d, logs the state of the run every 10 s, and checks the memory limit.
// It returns the cause if ctx ends, and errMemoryLimit if the limit is exceeded.
func (r *Run) waitWithProgress(ctx context.Context, phase string, d time.Duration) error {
	const interval = 10 * time.Second
	for end := time.Now().Add(d); time.Now().Before(end); {
		if !wait.For(ctx, min(interval, time.Until(end))) {
			return context.Cause(ctx)
		}
		workers := r.workerTraffic().Workers
		r.mu.Lock()
		fmt.Fprintf(r.progress, "%s: %d workers, %d tasks running, %d started, leader %q, healthy %d, %.0f MB\n",
			phase, workers, r.runningTasks, r.taskStarts, r.leader, len(r.healthyAddresses), r.peakMB)
		r.mu.Unlock()
		if err := r.checkMemory(); err != nil {
			fmt.Fprintln(r.progress, err)
			return err
		}
	}
	return nil
}

// errMemoryLimit reports that the run's processes use too much memory.
var errMemoryLimit = errors.New("all processes together use more than half of the machine's memory")

// checkMemory updates the peak of the resident memory of all processes, and returns errMemoryLimit
// if they use more than half of the machine's memory.
func (r *Run) checkMemory() error {
	total := residentMB(ownPID)
	for _, h := range r.hosts {
		total += residentMB(h.pid)
	}
	for _, c := range r.controllers {
		if pid := c.runningPID(); pid != 0 {
			total += residentMB(pid)
		}
	}
	r.mu.Lock()
	r.peakMB = max(r.peakMB, total)
	r.mu.Unlock()
	if total > machineMemoryMB()/2 {
		return errMemoryLimit
	}
	return nil
}
