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

// operatorNumber is where the operator reaches the state service, beside the controllers.
const operatorIndex = 150

// operator changes teams' quotas all the time, by the operators' own client.
type operator struct {
	run            *Run
	client         *configclient.Client
	random         *rand.Rand
	inForceLatency *latencyHistogram // from the beginning of a change until it is in force everywhere
	applied        int
	failed         int
	unconfirmed    int // of those made: in force by time, as a controller said nothing
}

func newOperator(r *Run, p *config.Platform) *operator {
	const connections = 2
	c := &configclient.Client{
		Store: statestore.New(stateAddress(operatorIndex), 0, 0, connections, netdial.TCP(time.Second)),
		Base:  config.ClusterConfigBase(p, config.DefaultSettings()), Limits: p.ConfigLimits(),
	}
	for _, k := range r.controllers {
		c.Controllers = append(c.Controllers, k.name)
	}
	return &operator{run: r, client: c, random: rand.New(rand.NewPCG(uint64(r.settings.Seed), 5)), inForceLatency: newLatencyHistogram()}
}

// changeTimeout is how long one change is waited for.
const changeTimeout = 30 * time.Second

// change makes changes at a rate until ctx ends.
func (o *operator) applyChanges(ctx context.Context, perS float64) {
	for n := 0; wait.For(ctx, seconds(o.random.ExpFloat64()/perS)); n++ {
		begun := time.Now()
		forced, err := o.changeQuota(ctx, fmt.Sprint("change-", n))
		if ctx.Err() != nil {
			return
		}
		o.run.mu.Lock()
		if err != nil {
			o.failed++
			fmt.Fprintf(o.run.progress, "change %d: %v\n", n, err)
		} else {
			o.applied++
			o.inForceLatency.add(time.Since(begun))
			if len(forced.Unconfirmed) > 0 {
				o.unconfirmed++
			}
		}
		o.run.mu.Unlock()
	}
}

// one changes one team's quota, within what the platform's file allows, and waits until that
// is in force.
func (o *operator) changeQuota(ctx context.Context, id string) (*configclient.Rollout, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	begun := time.Now()
	v, err := o.client.EnsureReady(ctx)
	if err != nil {
		return nil, err
	}
	to := v.Config.Clone()
	name := o.run.teams[o.random.IntN(len(o.run.teams)-1)].Name // not the urgent work's
	t := o.client.Base.Teams[name]
	t.Max.CPU = int64(float64(t.Max.CPU) * (0.7 + 0.3*o.random.Float64()))
	t.Min.CPU = int64(float64(t.Min.CPU) * (0.7 + 0.3*o.random.Float64()))
	to.Teams[name] = t
	m, err := o.client.Apply(ctx, v, to, id)
	if err != nil {
		return nil, err
	}
	return o.client.AwaitInForce(ctx, v, m, begun)
}
