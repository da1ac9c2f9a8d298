package scale

import (
	"context"
	"fmt"
	"slices"
	"time"

	"aspenstall/internal/wait"
)

// cause brings about the run's troubles in their order and says what was seen of each.
func (r *Run) injectFaults(ctx context.Context) []FaultResult {
	seen := []FaultResult{}
	begun := time.Now()
	list := slices.Clone(r.settings.Troubles)
	slices.SortStableFunc(list, func(a, b Fault) int { return int(a.AtS*1e6) - int(b.AtS*1e6) })
	for _, t := range list {
		if !wait.For(ctx, time.Until(begun.Add(seconds(t.AtS)))) {
			break
		}
		r.mu.Lock()
		lapsed := r.leasesLost
		r.mu.Unlock()
		if n := len(seen); n > 0 {
			seen[n-1].LeasesLost = lapsed - seen[n-1].LeasesLost
		}
		fmt.Fprintf(r.progress, "trouble: %s\n", t.Kind)
		s := FaultResult{Fault: t, LeasesLost: lapsed}
		if t.Kind == FaultLeaderKilled {
			r.restartLeader(ctx, t, &s)
		} else {
			r.injectFault(ctx, t)
		}
		seen = append(seen, s)
	}
	wait.For(ctx, time.Until(begun.Add(seconds(r.settings.MeasureS))))
	r.mu.Lock()
	if n := len(seen); n > 0 {
		seen[n-1].LeasesLost = r.leasesLost - seen[n-1].LeasesLost
	}
	r.mu.Unlock()
	return seen
}

// takeoverWatched is how long the next leader is waited for.
const takeoverTimeout = 30 * time.Second

// endLeader ends the leader's process, starts it again, and says when another led.
func (r *Run) restartLeader(ctx context.Context, t Fault, s *FaultResult) {
	r.mu.Lock()
	name := r.leader
	r.mu.Unlock()
	ended := time.Now()
	for _, c := range r.controllers {
		if c.name != name {
			continue
		}
		c.kill()
		time.AfterFunc(seconds(t.ForS), func() {
			if ctx.Err() == nil {
				_ = c.start(ctx)
			}
		})
	}
	for end := ended.Add(takeoverTimeout); time.Now().Before(end) && wait.For(ctx, leaderPollInterval); {
		r.mu.Lock()
		leaderAt, firstStart := r.leaderSince, r.firstStartUnderLeader
		r.mu.Unlock()
		if leaderAt.After(ended) && !firstStart.IsZero() {
			s.NextLeaderS, s.FirstStartS = leaderAt.Sub(ended).Seconds(), firstStart.Sub(ended).Seconds()
			return
		}
	}
}

func (r *Run) injectFault(ctx context.Context, t Fault) {
	zone := r.settings.Zones[len(r.settings.Zones)-1]
	switch t.Kind {
	case FaultRack:
		for _, m := range r.pickMachines(zone, t.Count) {
			r.cloud.FailMachine(m)
		}
	case FaultRollingReplacement:
		machines := r.pickMachines("", t.Count)
		go func() {
			for _, m := range machines {
				r.cloud.FailMachine(m)
				if !wait.For(ctx, seconds(t.ForS/float64(len(machines)))) {
					return
				}
			}
		}()
	case FaultZonePartition:
		r.enableFor(ctx, t, func(on bool) {
			r.network.SetZonePartitioned(zone, on)
			r.sendToHosts(Command{Kind: CommandPartitionZone, Zone: zone, On: on})
		})
	case FaultRegionPartition:
		r.enableFor(ctx, t, func(on bool) {
			r.network.SetRegionsPartitioned(on)
			r.sendToHosts(Command{Kind: CommandPartitionRegions, On: on})
		})
	}
}

// during has something on for as long as a trouble lasts.
func (r *Run) enableFor(ctx context.Context, t Fault, set func(on bool)) {
	set(true)
	go func() {
		wait.For(ctx, seconds(t.ForS))
		set(false)
	}()
}

// machinesOf lists some machines that are up, of a zone if one is named.
func (r *Run) pickMachines(zone string, count int) []string {
	var out []string
	for _, m := range r.cloud.RunningMachines() {
		if len(out) < count && (zone == "" || m.Zone == zone) {
			out = append(out, m.Machine)
		}
	}
	return out
}
