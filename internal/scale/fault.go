package scale

import (
	"context"
	"fmt"
	"slices"
	"time"

	"aspenstall/internal/wait"
)

// injectFaults injects the run's faults in the order of their times, and returns the observed
// result of each at the end of the measurement.
func (r *Run) injectFaults(ctx context.Context) []FaultResult {
	results := []FaultResult{}
	startedAt := time.Now()
	list := slices.Clone(r.settings.Troubles)
	slices.SortStableFunc(list, func(a, b Fault) int { return int(a.AtS*1e6) - int(b.AtS*1e6) })
	for _, t := range list {
		if !wait.For(ctx, time.Until(startedAt.Add(seconds(t.AtS)))) {
			break
		}
		r.mu.Lock()
		leasesLost := r.leasesLost
		r.mu.Unlock()
		if n := len(results); n > 0 {
			results[n-1].LeasesLost = leasesLost - results[n-1].LeasesLost
		}
		fmt.Fprintf(r.progress, "fault: %s\n", t.Kind)
		// LeasesLost holds the total at the injection until the next fault or the end.
		result := FaultResult{Fault: t, LeasesLost: leasesLost}
		if t.Kind == FaultLeaderKilled {
			r.restartLeader(ctx, t, &result)
		} else {
			r.injectFault(ctx, t)
		}
		results = append(results, result)
	}
	wait.For(ctx, time.Until(startedAt.Add(seconds(r.settings.MeasureS))))
	r.mu.Lock()
	if n := len(results); n > 0 {
		results[n-1].LeasesLost = r.leasesLost - results[n-1].LeasesLost
	}
	r.mu.Unlock()
	return results
}

// takeoverTimeout is the limit on the wait for the next leader and its first task start.
const takeoverTimeout = 30 * time.Second

// restartLeader kills the leader's process, restarts it after t.ForS, and sets the times until the
// next leader and its first task start in result.
func (r *Run) restartLeader(ctx context.Context, t Fault, result *FaultResult) {
	r.mu.Lock()
	name := r.leader
	r.mu.Unlock()
	killedAt := time.Now()
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
	for end := killedAt.Add(takeoverTimeout); time.Now().Before(end) && wait.For(ctx, leaderPollInterval); {
		r.mu.Lock()
		leaderAt, firstStart := r.leaderSince, r.firstStartUnderLeader
		r.mu.Unlock()
		if leaderAt.After(killedAt) && !firstStart.IsZero() {
			result.NextLeaderS, result.FirstStartS = leaderAt.Sub(killedAt).Seconds(), firstStart.Sub(killedAt).Seconds()
			return
		}
	}
}

// injectFault injects a fault of any kind but FaultLeaderKilled. Rack failures and zone
// partitions affect the last zone.
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
	case FaultCommandCopies:
		r.enableFor(ctx, t, func(on bool) { r.sendToHosts(Command{Kind: CommandCopyCommands, On: on}) })
	case FaultRegionPartition:
		r.enableFor(ctx, t, func(on bool) {
			r.network.SetRegionsPartitioned(on)
			r.sendToHosts(Command{Kind: CommandPartitionRegions, On: on})
		})
	}
}

// enableFor calls set with true, and with false when the fault is over.
func (r *Run) enableFor(ctx context.Context, t Fault, set func(on bool)) {
	set(true)
	go func() {
		wait.For(ctx, seconds(t.ForS))
		set(false)
	}()
}

// pickMachines returns up to count running machines of a zone, or of any zone for "".
func (r *Run) pickMachines(zone string, count int) []string {
	var out []string
	for _, m := range r.cloud.RunningMachines() {
		if len(out) < count && (zone == "" || m.Zone == zone) {
			out = append(out, m.Machine)
		}
	}
	return out
}
