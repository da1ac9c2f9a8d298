package simulator_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"aspenstall/internal/clusterconfig"
	"aspenstall/internal/config"
	"aspenstall/internal/configclient"
	"aspenstall/internal/core"
	"aspenstall/internal/simulator"
	"aspenstall/internal/statestore"
	"aspenstall/internal/txn"
	"aspenstall/internal/wire"
)

var randomConfigRuns = flag.Int("drawn-config", 6, "number of random scenarios in TestConfigRandomScenarios")

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

// TestConfigChangeEffects checks what each kind of change does to running and waiting tasks.
func TestConfigChangeEffects(t *testing.T) {
	const s = time.Second
	runningTasks := func(w *simulator.World, id string) int { return w.RunningTasks(id) }
	for _, c := range []struct {
		name string
		act  func(t *testing.T, o *operator, u *users)
	}{
		{"a raised max lets more tasks start", func(t *testing.T, o *operator, u *users) {
			mustChange(t, o, "low", o.editTeam("blue", setMaxCPUs(8)))
			u.w.Submit(array(1, 20, 150))
			time.Sleep(60 * s)
			if n := runningTasks(u.w, "job-000001"); n != 4 {
				t.Errorf("%d tasks of 2 CPUs run under a limit of 8", n)
			}
			mustChange(t, o, "high", o.editTeam("blue", setMaxCPUs(32)))
			time.Sleep(60 * s)
			if n := runningTasks(u.w, "job-000001"); n != 16 {
				t.Errorf("%d tasks of 2 CPUs run under a limit of 32", n)
			}
		}},
		{"a max lowered below the usage stops nothing and starts nothing", func(t *testing.T, o *operator, u *users) {
			u.w.Submit(array(1, 40, 100))
			time.Sleep(70 * s)
			before := runningTasks(u.w, "job-000001")
			mustChange(t, o, "low", o.editTeam("blue", setMaxCPUs(20)))
			starts := u.w.TaskStarts()
			time.Sleep(10 * s)
			if n := runningTasks(u.w, "job-000001"); n != before || before <= 10 {
				t.Errorf("%d tasks ran before, %d after; want the same, more than 10", before, n)
			}
			if n := u.w.TaskStarts(); n != starts {
				t.Errorf("%d tasks were started over the limit", n-starts)
			}
			time.Sleep(100 * s)
			if n := runningTasks(u.w, "job-000001"); n > 10 {
				t.Errorf("%d tasks run under a limit of 20 CPUs", n)
			}
			mustChange(t, o, "back", o.editTeam("blue", setMaxCPUs(60)))
		}},
		{"a raised min is reclaimed, a lowered one is not protected", func(t *testing.T, o *operator, u *users) {
			u.w.Cloud.Capacity = 4 // 16 CPUs
			for _, name := range []string{"blue", "green"} {
				mustChange(t, o, "min-"+name, o.editTeam(name, func(t *clusterconfig.Team) { t.Min.CPU = 0 }))
			}
			u.w.Submit(array(1, 20, 300))
			time.Sleep(60 * s)
			other := array(2, 4, 300)
			other.Team = "green"
			u.w.Submit(other)
			time.Sleep(30 * s)
			if n := runningTasks(u.w, other.ID); n != 0 {
				t.Errorf("%d tasks of a team without a min were placed by reclaim", n)
			}
			mustChange(t, o, "raised", o.editTeam("green", func(t *clusterconfig.Team) { t.Min.CPU = 8000 }))
			time.Sleep(45 * s)
			if n := runningTasks(u.w, other.ID); n != 4 {
				t.Errorf("%d of 4 tasks within the raised min run", n)
			}
			u.w.Cancel("job-000001")
		}},
		{"a team is added, drained and removed", func(t *testing.T, o *operator, u *users) {
			job := array(1, 2, 30)
			job.Team = "red"
			if got := u.w.PostJob(0, &job); got != http.StatusUnprocessableEntity {
				t.Errorf("a job of an unknown team is answered with status %d", got)
			}
			mustChange(t, o, "add", o.editTeam("red", setMaxCPUs(8)))
			if got := u.w.PostJob(1, &job); got != http.StatusCreated {
				t.Errorf("a job of the new team is answered with status %d", got)
			}
			u.w.Submit(job)
			removeRed := func(c *clusterconfig.Config) { delete(c.Teams, "red") }
			if _, err := o.change("gone", 10*s, removeRed); !errors.Is(err, configclient.ErrTeamHasJobs) {
				t.Errorf("removed without draining: %v", err)
			}
			mustChange(t, o, "drain", o.editTeam("red", func(t *clusterconfig.Team) { t.Draining = true }))
			late := array(2, 1, 1)
			late.Team = "red"
			if got := u.w.PostJob(2, &late); got != http.StatusUnprocessableEntity {
				t.Errorf("a job of a draining team is answered with status %d", got)
			}
			if _, err := o.change("gone", 10*s, removeRed); !errors.Is(err, configclient.ErrTeamHasJobs) {
				t.Errorf("removed with a running job: %v", err)
			}
			u.expectState(job.ID, "done")
			mustChange(t, o, "gone", removeRed)
			if got, state := u.w.Resubmit(0, job.ID, &job); got != http.StatusOK || state != "done" {
				t.Errorf("a resubmission of its job is answered with status %d, state %q", got, state)
			}
		}},
		{"a lowered priority cap refuses jobs until it is raised", func(t *testing.T, o *operator, u *users) {
			mustChange(t, o, "cap", o.editTeam("green", func(t *clusterconfig.Team) { t.PriorityCap = core.Normal }))
			job := service(1, 1)
			for i := range 3 {
				if got := u.w.PostJob(i, &job); got != http.StatusUnprocessableEntity {
					t.Errorf("node %d answers a production job with status %d", i, got)
				}
			}
			mustChange(t, o, "lift", o.editTeam("green", func(t *clusterconfig.Team) { t.PriorityCap = core.Production }))
			for i := range 3 {
				if got := u.w.PostJob(i, &job); got != http.StatusCreated && got != http.StatusOK {
					t.Errorf("node %d answers with status %d after the cap is raised", i, got)
				}
			}
			u.w.Submit(job)
			u.expectState(job.ID, "running")
			u.w.Cancel(job.ID)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runConfigScenario(t, scenario{seed: 500}, twoTeams(), func(t *testing.T, o *operator, u *users) {
				time.Sleep(10 * s)
				c.act(t, o, u)
				if n := u.w.TaskStarts(); n == 0 {
					u.w.Submit(array(9, 1, 1))
					u.expectState("job-000009", "done")
				}
			})
		})
	}
}

// mustChange makes a change and fails the test unless it is in force within 4 seconds.
func mustChange(t *testing.T, o *operator, id string, edit func(*clusterconfig.Config)) {
	t.Helper()
	if _, err := o.change(id, 4*time.Second, edit); err != nil {
		t.Errorf("change %s: %v", id, err)
	}
}

// TestConfigChangesUnderFaults injects the faults that can occur between a change and its coming into
// force, with each state service budget.
func TestConfigChangesUnderFaults(t *testing.T) {
	const s = time.Second
	submitLoad := func(u *users) { submitShortJobs(u, 0, 80*s, 1500*time.Millisecond) }
	limitBlue := func(o *operator, n int64) func(*clusterconfig.Config) { return o.editTeam("blue", setMaxCPUs(n)) }
	for _, budget := range stateBudgets {
		for _, c := range []struct {
			name string
			act  func(t *testing.T, o *operator, u *users)
		}{
			{"two operators at once", func(t *testing.T, o *operator, u *users) {
				other := &operator{t: t, w: o.w, base: o.base, client: o.newClient("operator-2", budget.platform())}
				ctx, cancel := context.WithTimeout(context.Background(), 10*s)
				defer cancel()
				mustChange(t, o, "first", limitBlue(o, 50))
				v, err := o.client.EnsureReady(ctx)
				if err != nil {
					t.Fatal(err)
				}
				conflicts := 0
				var wg sync.WaitGroup
				for i, op := range []*operator{o, other} {
					next := &clusterconfig.Config{Teams: map[string]clusterconfig.Team{"blue": {Max: core.Resources{CPU: int64(30000 + i)}, PriorityCap: core.Production}}}
					wg.Go(func() {
						_, err := op.client.Apply(ctx, v, next, fmt.Sprint("both-", i))
						if errors.Is(err, configclient.ErrConflict) {
							o.mu.Lock()
							conflicts++
							o.mu.Unlock()
						} else if err != nil {
							t.Error(err)
						}
					})
				}
				wg.Wait()
				if conflicts != 1 {
					t.Errorf("%d of two concurrent changes conflicted, want 1", conflicts)
				}
				mustChange(t, o, "after", limitBlue(o, 40))
			}},
			{"the response is lost after the write", func(t *testing.T, o *operator, u *users) {
				mustChange(t, o, "first", limitBlue(o, 50))
				unanswered := 0
				o.w.StateFaults.Update(func(f *simulator.Faults) {
					f.WithholdResponse, f.LatePath = 1, wire.CommitPath
					f.OnUnanswered = func(_ string, status int, body []byte) {
						if status == http.StatusOK && strings.Contains(string(body), clusterconfig.HeadKey) && strings.Contains(string(body), "lost") {
							unanswered++
						}
					}
				})
				time.AfterFunc(1200*time.Millisecond, func() {
					o.w.StateFaults.Update(func(f *simulator.Faults) { f.WithholdResponse = 0 })
				})
				if _, err := o.change("lost", 20*s, limitBlue(o, 30)); err != nil {
					t.Error(err)
				}
				if unanswered == 0 {
					t.Error("no write of the head record was executed without a response")
				}
			}},
			{"the write is executed late", func(t *testing.T, o *operator, u *users) {
				mustChange(t, o, "first", limitBlue(o, 50))
				var rejected int
				o.w.StateFaults.Update(func(f *simulator.Faults) {
					f.ExecuteLate, f.LateDelay, f.LatePath = 1, 8*s, wire.CommitPath
					f.OnRepeated = func(_ string, status int) {
						if status == http.StatusConflict {
							rejected++
						}
					}
				})
				time.AfterFunc(1200*time.Millisecond, func() {
					o.w.StateFaults.Update(func(f *simulator.Faults) { f.ExecuteLate = 0 })
				})
				if _, err := o.change("late", 20*s, limitBlue(o, 30)); err != nil {
					t.Error(err)
				}
				mustChange(t, o, "newer", limitBlue(o, 20))
				time.Sleep(12 * s)
				if rejected == 0 {
					t.Error("no late write was rejected")
				}
				v, err := o.client.Read(context.Background())
				if err != nil || v.Config.Teams["blue"].Max.CPU != 20_000 {
					t.Errorf("after the late write: %+v, %v", v, err)
				}
			}},
			{"the leader and its successor crash before the change is in force", func(t *testing.T, o *operator, u *users) {
				mustChange(t, o, "first", limitBlue(o, 50))
				leader := max(o.w.Leader(), 0)
				o.w.OnUserState(nil)
				u.group.Go(func() {
					o.w.Kill(leader)
					time.Sleep(3500 * time.Millisecond)
					next := o.w.Leader()
					o.w.StartNode(leader)
					if next >= 0 {
						o.w.Kill(next)
						time.Sleep(2 * s)
						o.w.StartNode(next)
					}
				})
				time.Sleep(time.Millisecond)
				ctx, cancel := context.WithTimeout(context.Background(), 4*s)
				defer cancel()
				v, err := o.client.Read(ctx)
				if err != nil {
					t.Fatal(err)
				}
				started := time.Now()
				next := v.Config.Clone()
				limitBlue(o, 20)(next)
				o.mu.Lock()
				o.history = append(o.history, configPeriod{config: next})
				o.mu.Unlock()
				applied, err := o.client.Apply(ctx, v, next, "ends")
				if err != nil {
					t.Fatal(err)
				}
				rollout, err := o.client.AwaitInForce(ctx, v, applied, started)
				if err != nil || len(rollout.Unconfirmed) == 0 || rollout.EverywhereAfter > 4*s {
					t.Errorf("rollout %+v, %v", rollout, err)
				}
				o.mu.Lock()
				for i := range o.history[:len(o.history)-1] {
					o.history[i].replaced = time.Now()
				}
				o.mu.Unlock()
				time.Sleep(20 * s)
				mustChange(t, o, "after", limitBlue(o, 30))
			}},
			{"a leader whose reads are refused", func(t *testing.T, o *operator, u *users) {
				mustChange(t, o, "first", limitBlue(o, 50))
				many := array(900, 600, 4) // tasks complete and start all the time
				many.DueS = nil
				u.w.Submit(many)
				time.Sleep(60 * s)
				leader := max(o.w.Leader(), 0)
				refuseReads := func(on bool) {
					o.w.StateFaults.Update(func(f *simulator.Faults) { f.RefuseReadClients[o.w.NodeAddr(leader)] = on })
				}
				refuseReads(true)
				rollout, err := o.change("unread", 4*s, limitBlue(o, 10))
				if err != nil || len(rollout.Unconfirmed) != 1 {
					t.Errorf("rollout %+v, %v", rollout, err)
				}
				// The leader still has the older version and leads for a while: it must not replace tasks that
				// complete.
				time.Sleep(300 * time.Millisecond)
				before, starts := u.w.RunningTasks(many.ID), u.w.TaskStarts()
				time.Sleep(1200 * time.Millisecond)
				if n := u.w.TaskStarts() - starts; n > 0 || before < 6 || o.w.Leader() != leader {
					t.Errorf("%d tasks started over a limit of 10 CPUs, %d ran before; leader %d, it was %d", n, before, o.w.Leader(), leader)
				}
				time.Sleep(30 * s)
				refuseReads(false)
				time.Sleep(10 * s)
				mustChange(t, o, "after", limitBlue(o, 30))
				u.w.Cancel(many.ID)
			}},
			{"a node whose reads are refused accepts nothing by an older version", func(t *testing.T, o *operator, u *users) {
				mustChange(t, o, "first", limitBlue(o, 50))
				other := (max(o.w.Leader(), 0) + 1) % 3
				refuseReads := func(on bool) {
					o.w.StateFaults.Update(func(f *simulator.Faults) { f.RefuseReadClients[o.w.NodeAddr(other)] = on })
				}
				refuseReads(true)
				ctx, cancel := context.WithTimeout(context.Background(), 4*s)
				defer cancel()
				v, err := o.client.EnsureReady(ctx)
				if err != nil {
					t.Fatal(err)
				}
				next := v.Config.Clone()
				o.editTeam("blue", func(t *clusterconfig.Team) { t.Draining = true })(next)
				if _, err := o.client.Apply(ctx, v, next, "drain"); err != nil {
					t.Fatal(err)
				}
				answers := map[int]int{}
				for i := range 30 {
					job := array(950+i, 1, 1)
					answers[u.w.PostJob(other, &job)]++
					time.Sleep(50 * time.Millisecond)
				}
				if answers[http.StatusCreated] > 0 || answers[http.StatusServiceUnavailable] == 0 {
					t.Errorf("jobs of a draining team get the statuses %v from a node that has not read the change", answers)
				}
				refuseReads(false)
				time.Sleep(8 * s)
				mustChange(t, o, "open", o.editTeam("blue", func(t *clusterconfig.Team) { t.Draining = false }))
			}},
			{"the change log is compacted under the controllers' watches", func(t *testing.T, o *operator, u *users) {
				mustChange(t, o, "first", limitBlue(o, 50))
				o.w.State.CompactLog()
				mustChange(t, o, "forgotten", limitBlue(o, 20))
			}},
			{"the state service refuses one controller, then all", func(t *testing.T, o *operator, u *users) {
				mustChange(t, o, "first", limitBlue(o, 50))
				one := (max(o.w.Leader(), 0) + 1) % 3
				setStateRefused(o.w, one, true)
				if rollout, err := o.change("one", 4*s, limitBlue(o, 20)); err != nil || len(rollout.Unconfirmed) != 1 {
					t.Errorf("with one controller refused: rollout %+v, %v", rollout, err)
				}
				setStateRefused(o.w, one, false)
				time.Sleep(8 * s)
				o.w.StateFaults.Update(func(f *simulator.Faults) { f.Down = true })
				if _, err := o.change("out", 4*s, limitBlue(o, 30)); err == nil {
					t.Error("a change succeeded while the state service was down")
				}
				o.w.StateFaults.Update(func(f *simulator.Faults) { f.Down = false })
				o.w.State.RenewLeases()
				time.Sleep(8 * s)
				mustChange(t, o, "out", limitBlue(o, 30))
				v, err := o.client.Read(context.Background())
				if err != nil || v.Records.Head.Version != 3 {
					t.Errorf("version %d after three changes, want 3; %v", v.Records.Head.Version, err)
				}
			}},
			{"the state service is slow", func(t *testing.T, o *operator, u *users) {
				mustChange(t, o, "first", limitBlue(o, 50))
				o.w.StateFaults.Update(func(f *simulator.Faults) { f.MaxDelay = 400 * time.Millisecond })
				for i := range 8 { // the client itself reads three times before it writes
					if _, err := o.change(fmt.Sprint("slow-", i), 10*s, limitBlue(o, int64(20+i))); err != nil {
						t.Error(err)
					}
				}
				if o.maxInForceDelay > 4*s {
					t.Errorf("a change was in force only %v after the write", o.maxInForceDelay)
				}
				o.w.StateFaults.Update(func(f *simulator.Faults) { f.MaxDelay = 0 })
			}},
			{"quotas change while gangs are placed by reclaim", func(t *testing.T, o *operator, u *users) {
				u.w.Cloud.Capacity = 8 // 32 CPUs
				filler := array(700, 60, 25)
				filler.DueS = nil
				u.w.Submit(filler)
				time.Sleep(50 * s)
				for i := range 4 {
					g := gang(710+i, 3, 6)
					g.Team = "green"
					u.group.Go(func() { u.runToDone(g) })
				}
				for i := range 20 {
					minCPUs := int64(i%2) * 24
					mustChange(t, o, fmt.Sprint("gang-", i), o.editTeam("green", func(t *clusterconfig.Team) { t.Min.CPU = minCPUs * 1000 }))
					time.Sleep(700 * time.Millisecond)
				}
				mustChange(t, o, "last", o.editTeam("green", func(t *clusterconfig.Team) { t.Min.CPU = 24_000 }))
				u.expectState(filler.ID, "done")
			}},
			{"jobs are submitted while their team is added", func(t *testing.T, o *operator, u *users) {
				mustChange(t, o, "first", limitBlue(o, 50))
				type refusal struct {
					at   time.Time
					node int
				}
				var mu sync.Mutex
				var refused []refusal
				started := time.Now()
				for k := range 300 {
					job := array(2000+k, 1, 1)
					job.Team = "red"
					u.group.Go(func() {
						time.Sleep(time.Until(started.Add(time.Duration(k) * 4 * time.Millisecond)))
						if u.w.PostJob(k%3, &job) == http.StatusUnprocessableEntity {
							mu.Lock()
							refused = append(refused, refusal{time.Now(), k % 3})
							mu.Unlock()
						}
					})
				}
				time.Sleep(500 * time.Millisecond)
				mustChange(t, o, "red", o.editTeam("red", setMaxCPUs(8)))
				inForce := time.Now()
				time.Sleep(5 * s)
				mu.Lock()
				defer mu.Unlock()
				if len(refused) == 0 || time.Since(inForce) > 6*s {
					t.Error("no job was refused before the team was added")
				}
				for _, r := range refused {
					if r.at.After(inForce) {
						t.Errorf("node %d refused a job %v after the team was in force everywhere", r.node, r.at.Sub(inForce))
					}
				}
			}},
			{"a head record of a newer format", func(t *testing.T, o *operator, u *users) {
				mustChange(t, o, "first", limitBlue(o, 50))
				v, err := o.client.Read(context.Background())
				if err != nil {
					t.Fatal(err)
				}
				head, headRevision := v.Records.Head, v.Records.HeadRevision
				writeHead := func(format int) {
					head.Format = format
					b, err := wire.ConfigCodec{}.Encode(clusterconfig.Write{Head: &head})
					if err != nil {
						t.Fatal(err)
					}
					unchanged := []wire.Cond{{Key: clusterconfig.HeadKey, ModRevision: headRevision}}
					headRevision, err = o.client.Store.Commit(context.Background(), &wire.Txn{If: unchanged, Then: []wire.Write{{Kind: txn.ConfigChange, Put: clusterconfig.HeadKey, Value: b}}})
					if err != nil {
						t.Error(err)
					}
				}
				writeHead(clusterconfig.Format + 1)
				time.Sleep(2 * s)
				job := array(900, 1, 1)
				for i := range 3 {
					if got := u.w.PostJob(i, &job); got != http.StatusServiceUnavailable {
						t.Errorf("node %d answers a job with status %d under a configuration that it can't read", i, got)
					}
				}
				if _, err := o.change("newer", 3*s, limitBlue(o, 20)); !errors.Is(err, clusterconfig.ErrNewerFormat) {
					t.Errorf("a change on top of a newer format: %v", err)
				}
				time.Sleep(20 * s)
				writeHead(clusterconfig.Format)
				time.Sleep(5 * s)
				mustChange(t, o, "after", limitBlue(o, 30))
			}},
			{"a controller is missing", func(t *testing.T, o *operator, u *users) {
				other := (max(o.w.Leader(), 0) + 1) % 3
				o.w.Kill(other)
				if _, err := o.change("first", 8*s, limitBlue(o, 50)); !errors.Is(err, configclient.ErrNotReady) {
					t.Errorf("a change without all controllers: %v", err)
				}
				o.client.Absent = []string{fmt.Sprint("node-", other)}
				mustChange(t, o, "without it", limitBlue(o, 50))
				o.client.Absent = nil
				o.w.StartNode(other)
				time.Sleep(5 * s)
				mustChange(t, o, "with it", limitBlue(o, 40))
				o.w.Kill(other) // its acknowledgement expires with its lease
				time.Sleep(8 * s)
				v, err := o.client.Read(context.Background())
				if err != nil || !slices.Equal(o.client.NotReporting(v), []string{fmt.Sprint("node-", other)}) || len(o.client.NotReady(v)) > 0 {
					t.Errorf("not reporting: %q, not ready: %q, %v", o.client.NotReporting(v), o.client.NotReady(v), err)
				}
				if rollout, err := o.change("again", 4*s, limitBlue(o, 30)); err != nil || len(rollout.Unconfirmed) != 1 {
					t.Errorf("a change without a crashed controller that supported configuration records: rollout %+v, %v", rollout, err)
				}
				// A peer now reports the controller as an earlier version of the program: it is not ready.
				ack := v.Acks[fmt.Sprint("node-", (other+1)%3)]
				ack.OlderPeers = []string{fmt.Sprint("node-", other)}
				v.Acks[fmt.Sprint("node-", (other+1)%3)] = ack
				if got := o.client.NotReady(v); !slices.Equal(got, ack.OlderPeers) {
					t.Errorf("reported as an earlier version: not ready %q", got)
				}
				// A controller that leads without recorded support is not ready, even if the operator lists
				// it as absent.
				v.Acks, v.Leader, v.SupportsConfig[ack.OlderPeers[0]] = map[string]clusterconfig.Ack{}, ack.OlderPeers[0], false
				o.client.Absent = ack.OlderPeers
				if got := o.client.NotReady(v); !slices.Equal(got, ack.OlderPeers) {
					t.Errorf("a leader of an earlier version: not ready %q", got)
				}
				o.client.Absent = nil
				o.w.StartNode(other)
				time.Sleep(5 * s)
				mustChange(t, o, "back", limitBlue(o, 30))
			}},
			{"many teams under low limits of the state service", func(t *testing.T, o *operator, u *users) {
				o.client.Limits = clusterconfig.Limits{ValueBytes: 1800, TxnOps: 4}
				many := func(c *clusterconfig.Config) {
					for i := range 150 {
						c.Teams[fmt.Sprintf("team-with-a-long-name-%03d", i)] = clusterconfig.Team{Max: core.Resources{CPU: 1_000_000}, PriorityCap: core.High}
					}
				}
				mustChange(t, o, "many", many)
				mustChange(t, o, "one of them", o.editTeam("team-with-a-long-name-077", setMaxCPUs(5)))
				v, err := o.client.Read(context.Background())
				if err != nil || len(v.Config.Teams) != 150 || len(v.Records.Head.Pages) < 5 || len(v.Records.Pages) != len(v.Records.Head.Pages) {
					t.Errorf("%d teams on %d pages of %d, %v", len(v.Config.Teams), len(v.Records.Head.Pages), len(v.Records.Pages), err)
				}
			}},
		} {
			t.Run(budget.name+"/"+c.name, func(t *testing.T) {
				t.Parallel()
				runConfigScenario(t, scenario{seed: 510}, budget.platform(), func(t *testing.T, o *operator, u *users) {
					submitLoad(u)
					time.Sleep(30 * s)
					c.act(t, o, u)
				})
			})
		}
	}
}

// TestConfigChangesDuringSubmissions makes 600 configuration changes, about ten a second, while users
// submit jobs, with a state service that accepts few changes per second. Every submission must be
// answered within a second, and every change must be in force within 4 seconds.
func TestConfigChangesDuringSubmissions(t *testing.T) {
	runConfigScenario(t, scenario{seed: 520}, lowWriteBudgetPlatform(), func(t *testing.T, o *operator, u *users) {
		time.Sleep(20 * time.Second)
		slowest := time.Duration(0)
		var mu sync.Mutex
		for i := range 120 {
			job := array(600+i, 1, 2)
			u.after(time.Duration(i)*500*time.Millisecond, func() {
				started := time.Now()
				u.w.Submit(job)
				mu.Lock()
				slowest = max(slowest, time.Since(started))
				mu.Unlock()
				u.expectState(job.ID, "done")
			})
		}
		made := 0
		for i := range 600 {
			_, err := o.change(fmt.Sprint("change-", i), 4*time.Second, o.editTeam("green", setMaxCPUs(int64(20+i%40))))
			if err != nil {
				t.Errorf("change %d: %v", i, err)
			}
			made++
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("%d changes, the slowest in force after %v; slowest submission %v", made, o.maxInForceDelay, slowest)
		if slowest > time.Second {
			t.Errorf("a submission took %v during configuration changes", slowest)
		}
	})
}

// TestConfigRandomScenarios runs random fault scenarios while quotas change all the time. Versions
// must increase, no task may start over a limit in force, and no invariant may be violated. The long
// form, outside CI:
//
//	go test ./internal/simulator -run TestConfigRandomScenarios -drawn-config 500
func TestConfigRandomScenarios(t *testing.T) {
	for seed := range *randomConfigRuns {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(uint64(seed), 50))
			kinds := slices.Concat(combinationFaults, raceFaults, partitionFaults)
			var faults []faultKind
			for range 2 + r.IntN(3) {
				faults = append(faults, kinds[r.IntN(len(kinds))])
			}
			sc := randomScenario(r, seed, uint64(5000+seed), faults, 30, 90)
			p := stateBudgets[seed%2].platform()
			runConfigScenario(t, sc, p, func(t *testing.T, o *operator, u *users) {
				changed := make(chan struct{})
				go func() {
					defer close(changed)
					o.changeRandomly(rand.New(rand.NewPCG(uint64(seed), 51)), 170*time.Second)
				}()
				mixedWorkload(t, u)
				<-changed
				for i := 1; i < len(o.versions); i++ {
					if o.versions[i] <= o.versions[i-1] {
						t.Errorf("version %d was made after version %d", o.versions[i], o.versions[i-1])
					}
				}
				if o.inForceCount < 10 {
					t.Errorf("only %d changes came into force, want at least 10", o.inForceCount)
				}
				// Raise the limits, so that waiting jobs can complete.
				for i, name := range []string{"blue", "green"} {
					for try := 0; ; try++ {
						_, err := o.change(fmt.Sprint("end-", i, "-", try), 15*time.Second, o.editTeam(name, setMaxCPUs(60)))
						if err == nil || try == 10 {
							break
						}
					}
				}
			})
		})
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
