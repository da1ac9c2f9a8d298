package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"aspenstall/internal/config"
	"aspenstall/internal/configclient"
	"aspenstall/internal/netdial"
	"aspenstall/internal/statestore"
	"aspenstall/internal/wait"
)

// operatorIndex is the index of the state service's address that the operator uses, outside the
// range of the controllers' indexes.
const operatorIndex = 150

// operator simulates an operator who changes teams' quotas throughout the run, with the client that
// operators use.
type operator struct {
	run            *Run
	client         *configclient.Client
	random         *rand.Rand
	inForceLatency *latencyHistogram // from the start of a change until it is in force on every controller
	applied        int
	failed         int
	unconfirmed    int // applied changes in force by timeout: a controller did not confirm them
}

// newOperator returns an operator of the cluster whose platform configuration is p.
func newOperator(r *Run, p *config.Platform) *operator {
	const connections = 2
	c := &configclient.Client{
		Store: statestore.New(r.at.state(operatorIndex), 0, 0, connections, netdial.TCP(time.Second)),
		Base:  config.ClusterConfigBase(p, config.DefaultSettings()), Limits: p.ConfigLimits(),
	}
	for _, k := range r.controllers {
		c.Controllers = append(c.Controllers, k.name)
	}
	return &operator{run: r, client: c, random: rand.New(rand.NewPCG(uint64(r.settings.Seed), 5)), inForceLatency: newLatencyHistogram()}
}

// changeTimeout is the limit on one change, including the wait until it is in force.
const changeTimeout = 30 * time.Second

// applyChanges applies quota changes one after the other until ctx ends. The pauses between them
// are exponentially distributed with a mean of 1/ratePerS seconds.
func (o *operator) applyChanges(ctx context.Context, ratePerS float64) {
	for n := 0; wait.For(ctx, seconds(o.random.ExpFloat64()/ratePerS)); n++ {
		startedAt := time.Now()
		rollout, err := o.changeQuota(ctx, fmt.Sprint("change-", n))
		if ctx.Err() != nil {
			return
		}
		o.run.mu.Lock()
		if err != nil {
			o.failed++
			fmt.Fprintf(o.run.progress, "change %d: %v\n", n, err)
		} else {
			o.applied++
			o.inForceLatency.add(time.Since(startedAt))
			if len(rollout.Unconfirmed) > 0 {
				o.unconfirmed++
			}
		}
		o.run.mu.Unlock()
	}
}

// changeQuota changes the quota of one random team, within the limits of the platform
// configuration, and waits until the change is in force.
func (o *operator) changeQuota(ctx context.Context, id string) (*configclient.Rollout, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	startedAt := time.Now()
	view, err := o.client.EnsureReady(ctx)
	if err != nil {
		return nil, err
	}
	next := view.Config.Clone()
	name := o.run.teams[o.random.IntN(len(o.run.teams)-1)].Name // not urgentTeam, which is the last
	t := o.client.Base.Teams[name]
	t.Max.CPU = int64(float64(t.Max.CPU) * (0.7 + 0.3*o.random.Float64()))
	t.Min.CPU = int64(float64(t.Min.CPU) * (0.7 + 0.3*o.random.Float64()))
	next.Teams[name] = t
	applied, err := o.client.Apply(ctx, view, next, id)
	if err != nil {
		return nil, err
	}
	return o.client.AwaitInForce(ctx, view, applied, startedAt)
}
