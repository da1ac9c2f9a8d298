package simulator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"aspenstall/internal/clusterconfig"
	"aspenstall/internal/config"
	"aspenstall/internal/configclient"
	"aspenstall/internal/core"
	"aspenstall/internal/simulator"
	"aspenstall/internal/statestore"
)

// operator changes the configuration of a world and records which configuration was in force when.
type operator struct {
	t      *testing.T
	w      *simulator.World
	client *configclient.Client
	base   clusterconfig.Base

	mu              sync.Mutex
	history         []configPeriod
	maxInForceDelay time.Duration // from the response to a write until the change was in force
	inForceCount    int           // changes that came into force
	versions        []uint64      // of the changes that came into force, in the order in which they were made
}

// configPeriod is a configuration and the time at which a later one had replaced it everywhere; the
// time is zero if none has.
type configPeriod struct {
	config   *clusterconfig.Config
	replaced time.Time
}

// maxStartDelay bounds the time from a placement decision until its task runs on a machine: the
// command may be delayed and the image has to be fetched.
const maxStartDelay = 45 * time.Second

// newOperator returns an operator for a world that has not started yet, and sets the limits that the
// world checks to the operator's teamLimit.
func newOperator(t *testing.T, w *simulator.World, p config.Platform) *operator {
	o := &operator{t: t, w: w, base: config.ClusterConfigBase(&p, w.Settings)}
	o.client = o.newClient("operator", p)
	o.history = []configPeriod{{config: &clusterconfig.Config{}}}
	w.SetTeamLimit(o.teamLimit)
	return o
}

// newClient returns a configuration client that connects to the state service under a name.
func (o *operator) newClient(name string, p config.Platform) *configclient.Client {
	store := statestore.New(o.w.StateAddr(), 0, 0, 2, o.w.Net.Dialer(name))
	store.ObserveCommits(o.w.State.TransactionSent)
	return &configclient.Client{
		Store: store,
		Base:  o.base, Limits: p.ConfigLimits(), Controllers: []string{"node-0", "node-1", "node-2"},
	}
}

// teamLimit returns the highest limit of a team among the configurations by which a task start that
// is observed now can have been decided. 0 means no limit.
func (o *operator) teamLimit(team string) simulator.Limit {
	o.mu.Lock()
	defer o.mu.Unlock()
	highest := simulator.Limit{CPUs: -1, GPUs: -1}
	maxOrUnlimited := func(l, v float64) float64 {
		if v == 0 || l == 0 {
			return 0
		}
		return max(l, v)
	}
	for _, period := range o.history {
		if !period.replaced.IsZero() && time.Since(period.replaced) > maxStartDelay {
			continue
		}
		t := period.config.OverlayOn(&o.base).Teams[team]
		cpus, gpus := float64(t.Max.CPU)/1000, float64(t.Max.GPU)/1000
		highest.CPUs, highest.GPUs = maxOrUnlimited(highest.CPUs, cpus), maxOrUnlimited(highest.GPUs, gpus)
	}
	return highest
}

// change edits the current configuration, applies it and waits until it is in force everywhere. It
// gives up after the time within, and returns the errors of configclient.
func (o *operator) change(id string, within time.Duration, edit func(c *clusterconfig.Config)) (*configclient.Rollout, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	started := time.Now()
	before, err := o.client.EnsureReady(ctx)
	if err != nil {
		return nil, err
	}
	next := before.Config.Clone()
	edit(next)
	// From here on the change may be executed, whatever the response is.
	o.mu.Lock()
	o.history = append(o.history, configPeriod{config: next})
	index := len(o.history) - 1
	o.mu.Unlock()
	applied, err := o.client.Apply(ctx, before, next, id)
	if err != nil {
		return nil, err
	}
	rollout, err := o.client.AwaitInForce(ctx, before, applied, started)
	if err != nil {
		return rollout, err
	}
	o.mu.Lock()
	for i := range o.history[:index] {
		if o.history[i].replaced.IsZero() {
			o.history[i].replaced = time.Now()
		}
	}
	o.maxInForceDelay = max(o.maxInForceDelay, time.Since(applied.AnsweredAt))
	o.inForceCount++
	o.versions = append(o.versions, applied.Version)
	o.mu.Unlock()
	return rollout, nil
}

// editTeam returns an edit of one team's quota. It starts from the base's quota if the configuration
// has none for the team.
func (o *operator) editTeam(name string, edit func(t *clusterconfig.Team)) func(*clusterconfig.Config) {
	return func(c *clusterconfig.Config) {
		t, ok := c.Teams[name]
		if !ok {
			t, ok = o.base.Teams[name]
		}
		if !ok {
			t.PriorityCap = core.Production
		}
		edit(&t)
		c.Teams[name] = t
	}
}

// setMaxCPUs returns an edit that sets a team's maximum to n CPUs, and its minimum to at most that.
func setMaxCPUs(n int64) func(*clusterconfig.Team) {
	return func(t *clusterconfig.Team) { t.Max.CPU, t.Min.CPU = 1000*n, min(t.Min.CPU, 1000*n) }
}

// runConfigScenario runs a scenario with an operator and users.
func runConfigScenario(t *testing.T, sc scenario, p config.Platform, act func(t *testing.T, o *operator, u *users)) {
	t.Helper()
	var o *operator
	setup := sc.setup
	sc.setupFaultsEnd = true
	sc.setup = func(w *simulator.World) {
		o = newOperator(t, w, p)
		if setup != nil {
			setup(w)
		}
	}
	runScenario(t, sc, p, machineTypes[:1], func(t *testing.T, u *users) { act(t, o, u) })
}

// lowWriteBudgetPlatform returns a platform whose state service accepts few changes per second.
func lowWriteBudgetPlatform() config.Platform { return stateBudgets[1].platform() }

// mustChange makes a change and fails the test unless it is in force within 4 seconds.
func mustChange(t *testing.T, o *operator, id string, edit func(*clusterconfig.Config)) {
	t.Helper()
	if _, err := o.change(id, 4*time.Second, edit); err != nil {
		t.Errorf("change %s: %v", id, err)
	}
}

// changeRandomly changes quotas at random for the duration d, with pauses of up to 3 seconds. Changes
// may fail.
func (o *operator) changeRandomly(r *rand.Rand, d time.Duration) {
	started := time.Now()
	for i := 0; time.Since(started) < d; i++ {
		name := []string{"blue", "green"}[r.IntN(2)]
		limit := int64(24 + r.IntN(37)) // no job of mixedWorkload requests more
		minCPUs := int64(r.IntN(40)) * 1000
		_, _ = o.change(fmt.Sprint("walk-", i), 15*time.Second, o.editTeam(name, func(t *clusterconfig.Team) {
			t.Max.CPU, t.Min.CPU = limit*1000, min(minCPUs, limit*1000)
		}))
		time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
	}
}
