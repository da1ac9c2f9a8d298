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
func (r *Run) healthy() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.up) == 0 {
		return ""
	}
	return r.up[r.random.IntN(len(r.up))]
}

const (
	probeEvery  = time.Second
	leaderEvery = 20 * time.Millisecond
)

// follow probes the controllers' health, as a load balancer does, and looks who leads.
func (r *Run) follow(ctx context.Context) {
	client := &http.Client{Timeout: probeEvery}
	go func() {
		for wait.For(ctx, probeEvery/2) {
			var up []string
			for _, c := range r.controllers {
				if resp, err := client.Get("http://" + controllerAddress(c.number) + wire.HealthPath); err == nil {
					_ = resp.Body.Close()
					if resp.StatusCode == http.StatusOK {
						up = append(up, controllerAddress(c.number))
					}
				}
			}
			r.mu.Lock()
			r.up = up
			r.mu.Unlock()
		}
	}()
	for wait.For(ctx, leaderEvery) {
		r.lookForLeader()
	}
}

func (r *Run) lookForLeader() {
	var l wire.LeaderRecord
	if e, ok := r.state.Get(wire.LeaderKey); !ok || wire.Unmarshal(e.Value, &l) != nil {
		l.Node = ""
	}
	r.mu.Lock()
	changed := l.Node != r.leader
	if changed {
		r.leader = l.Node
		if l.Node != "" {
			r.leaderAt, r.firstStart = time.Now(), time.Time{}
		}
	}
	r.mu.Unlock()
	if !changed || l.Node == "" {
		return
	}
	for _, c := range r.controllers {
		if c.name == l.Node {
			r.tellHosts(Command{Kind: CommandLeader, Zone: c.zone})
		}
	}
}

func (r *Run) tellHosts(c Command) {
	for _, h := range r.hosts {
		h.do(c)
	}
}

// progress waits and says how the run stands; false if it ends early.
func (r *Run) progress(ctx context.Context, what string, d time.Duration) bool {
	const every = 10 * time.Second
	for end := time.Now().Add(d); time.Now().Before(end); {
		if !wait.For(ctx, min(every, time.Until(end))) {
			return false
		}
		r.mu.Lock()
		workers := 0
		for _, h := range r.hosts {
			workers += h.spent.Workers
		}
		fmt.Fprintf(r.log, "%s: %d workers, %d tasks running, %d started, leader %q, healthy %d, %.0f MB\n",
			what, workers, r.running, r.starts, r.leader, len(r.up), r.peakMB)
		r.mu.Unlock()
		if err := r.checkMemory(); err != nil {
			fmt.Fprintln(r.log, err)
			return false
		}
	}
	return true
}

var errMemory = errors.New("all processes together hold more than half of the machine's memory")

// checkMemory fails if all processes together hold too much.
func (r *Run) checkMemory() error {
	total := residentMB(self)
	for _, h := range r.hosts {
		total += residentMB(h.pid)
	}
	for _, c := range r.controllers {
		if pid := c.running(); pid != 0 {
			total += residentMB(pid)
		}
	}
	r.mu.Lock()
	r.peakMB = max(r.peakMB, total)
	r.mu.Unlock()
	if total > machineMemoryMB()/2 {
		return errMemory
	}
	return nil
}
