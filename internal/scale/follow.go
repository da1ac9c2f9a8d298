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

// healthy is the address of a controller that users are sent to, "" if there is none.
func (r *Run) healthyController() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.healthyAddresses) == 0 {
		return ""
	}
	return r.healthyAddresses[r.random.IntN(len(r.healthyAddresses))]
}

const (
	healthProbeInterval = time.Second
	leaderPollInterval  = 20 * time.Millisecond
)

// follow probes the controllers' health, as a load balancer does, and looks who leads.
func (r *Run) watchControllers(ctx context.Context) {
	client := &http.Client{Timeout: healthProbeInterval}
	go func() {
		for wait.For(ctx, healthProbeInterval/2) {
			var up []string
			for _, c := range r.controllers {
				if resp, err := client.Get("http://" + controllerAddress(c.index) + wire.HealthPath); err == nil {
					_ = resp.Body.Close()
					if resp.StatusCode == http.StatusOK {
						up = append(up, controllerAddress(c.index))
					}
				}
			}
			r.mu.Lock()
			r.healthyAddresses = up
			r.mu.Unlock()
		}
	}()
	for wait.For(ctx, leaderPollInterval) {
		r.pollLeader()
	}
}

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

func (r *Run) sendToHosts(c Command) {
	for _, h := range r.hosts {
		h.send(c)
	}
}

// progress waits and says how the run stands; false if it ends early.
func (r *Run) waitWithProgress(ctx context.Context, what string, d time.Duration) bool {
	const every = 10 * time.Second
	for end := time.Now().Add(d); time.Now().Before(end); {
		if !wait.For(ctx, min(every, time.Until(end))) {
			return false
		}
		r.mu.Lock()
		workers := 0
		for _, h := range r.hosts {
			workers += h.traffic.Workers
		}
		fmt.Fprintf(r.progress, "%s: %d workers, %d tasks running, %d started, leader %q, healthy %d, %.0f MB\n",
			what, workers, r.runningTasks, r.taskStarts, r.leader, len(r.healthyAddresses), r.peakMB)
		r.mu.Unlock()
		if err := r.checkMemory(); err != nil {
			fmt.Fprintln(r.progress, err)
			return false
		}
	}
	return true
}

var errMemoryLimit = errors.New("all processes together hold more than half of the machine's memory")

// checkMemory fails if all processes together hold too much.
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
