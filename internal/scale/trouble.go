package scale

import (
	"context"
	"fmt"
	"slices"
	"time"

	"aspenstall/internal/wait"
)

// cause brings about the run's troubles in their order and says what was seen of each.
func (r *Run) cause(ctx context.Context) []TroubleSeen {
	seen := []TroubleSeen{}
	begun := time.Now()
	list := slices.Clone(r.settings.Troubles)
	slices.SortStableFunc(list, func(a, b Trouble) int { return int(a.AtS*1e6) - int(b.AtS*1e6) })
	for _, t := range list {
		if !wait.For(ctx, time.Until(begun.Add(seconds(t.AtS)))) {
			break
		}
		r.mu.Lock()
		lapsed := r.lapsed
		r.mu.Unlock()
		if n := len(seen); n > 0 {
			seen[n-1].LeasesLost = lapsed - seen[n-1].LeasesLost
		}
		fmt.Fprintf(r.log, "trouble: %s\n", t.Kind)
		s := TroubleSeen{Trouble: t, LeasesLost: lapsed}
		if t.Kind == TroubleLeaderEnds {
			r.endLeader(ctx, t, &s)
		} else {
			r.trouble(ctx, t)
		}
		seen = append(seen, s)
	}
	wait.For(ctx, time.Until(begun.Add(seconds(r.settings.MeasureS))))
	r.mu.Lock()
	if n := len(seen); n > 0 {
		seen[n-1].LeasesLost = r.lapsed - seen[n-1].LeasesLost
	}
	r.mu.Unlock()
	return seen
}

// takeoverWatched is how long the next leader is waited for.
const takeoverWatched = 30 * time.Second

// endLeader ends the leader's process, starts it again, and says when another led.
func (r *Run) endLeader(ctx context.Context, t Trouble, s *TroubleSeen) {
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
	for end := ended.Add(takeoverWatched); time.Now().Before(end) && wait.For(ctx, leaderEvery); {
		r.mu.Lock()
		leaderAt, firstStart := r.leaderAt, r.firstStart
		r.mu.Unlock()
		if leaderAt.After(ended) && !firstStart.IsZero() {
			s.NextLeaderS, s.FirstStartS = leaderAt.Sub(ended).Seconds(), firstStart.Sub(ended).Seconds()
			return
		}
	}
}

func (r *Run) trouble(ctx context.Context, t Trouble) {
	zone := r.settings.Zones[len(r.settings.Zones)-1]
	switch t.Kind {
	case TroubleRack:
		for _, m := range r.machinesOf(zone, t.Count) {
			r.cloud.Fail(m)
		}
	case TroubleReplacement:
		machines := r.machinesOf("", t.Count)
		go func() {
			for _, m := range machines {
				r.cloud.Fail(m)
				if !wait.For(ctx, seconds(t.ForS/float64(len(machines)))) {
					return
				}
			}
		}()
	case TroubleZoneCut:
		r.during(ctx, t, func(on bool) {
			r.links.CutZone(zone, on)
			r.tellHosts(Command{Kind: CommandCutZone, Zone: zone, On: on})
		})
	case TroubleRegionsCut:
		r.during(ctx, t, func(on bool) {
			r.links.CutRegions(on)
			r.tellHosts(Command{Kind: CommandApart, On: on})
		})
	}
}

// during has something on for as long as a trouble lasts.
func (r *Run) during(ctx context.Context, t Trouble, set func(on bool)) {
	set(true)
	go func() {
		wait.For(ctx, seconds(t.ForS))
		set(false)
	}()
}

// machinesOf lists some machines that are up, of a zone if one is named.
func (r *Run) machinesOf(zone string, count int) []string {
	var out []string
	for _, m := range r.cloud.Up() {
		if len(out) < count && (zone == "" || m.Zone == zone) {
			out = append(out, m.Machine)
		}
	}
	return out
}
