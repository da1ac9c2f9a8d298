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
	"aspenstall/internal/wire"
)

var drawnConfig = flag.Int("drawn-config", 6, "how many drawn days TestConfigDrawn plays")

// operator changes the configuration of a world and remembers what was in force when.
type operator struct {
	t      *testing.T
	w      *simulator.World
	client *configclient.Client
	base   clusterconfig.Base

	mu      sync.Mutex
	history []inForce
	longest time.Duration // until a change was in force
	forced  int
	numbers []uint64 // of the versions that were made, in their order
}

// inForce is a configuration and since when it was replaced; zero: it was not.
type inForce struct {
	config   *clusterconfig.Config
	replaced time.Time
}

// lateStart is how long after a decision its task can be on a machine: its command is late
// and the image is fetched.
const lateStart = 45 * time.Second

// newOperator follows a world from its beginning: a team's limit is the highest of the
// versions that a start which is seen now can have been decided by.
func newOperator(t *testing.T, w *simulator.World, p config.Platform) *operator {
	o := &operator{t: t, w: w, base: config.ClusterConfigBase(&p, w.Settings)}
	o.client = o.newClient("operator", p)
	o.history = []inForce{{config: &clusterconfig.Config{}}}
	w.SetTeamLimit(o.limit)
	return o
}

func (o *operator) newClient(name string, p config.Platform) *configclient.Client {
	return &configclient.Client{
		Store: statestore.New(o.w.StateAddr(), 0, 0, 2, o.w.Net.Dialer(name)),
		Base:  o.base, Limits: p.ConfigLimits(), Controllers: []string{"node-0", "node-1", "node-2"},
	}
}

func (o *operator) limit(team string) simulator.Limit {
	o.mu.Lock()
	defer o.mu.Unlock()
	most := simulator.Limit{CPUs: -1, GPUs: -1}
	unlimited := func(l, v float64) float64 {
		if v == 0 || l == 0 {
			return 0
		}
		return max(l, v)
	}
	for _, h := range o.history {
		if !h.replaced.IsZero() && time.Since(h.replaced) > lateStart {
			continue
		}
		t := h.config.OverlayOn(&o.base).Teams[team]
		cpus, gpus := float64(t.Max.CPU)/1000, float64(t.Max.GPU)/1000
		most.CPUs, most.GPUs = unlimited(most.CPUs, cpus), unlimited(most.GPUs, gpus)
	}
	return most
}

// change makes a configuration of the one that there is and waits until it is in force.
func (o *operator) change(id string, within time.Duration, edit func(c *clusterconfig.Config)) (*configclient.Rollout, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	begun := time.Now()
	v, err := o.client.EnsureReady(ctx)
	if err != nil {
		return nil, err
	}
	to := v.Config.Clone()
	edit(to)
	// From here on it may be made, whatever is answered.
	o.mu.Lock()
	o.history = append(o.history, inForce{config: to})
	nth := len(o.history) - 1
	o.mu.Unlock()
	m, err := o.client.Apply(ctx, v, to, id)
	if err != nil {
		return nil, err
	}
	f, err := o.client.AwaitInForce(ctx, v, m, begun)
	if err != nil {
		return f, err
	}
	o.mu.Lock()
	for i := range o.history[:nth] {
		if o.history[i].replaced.IsZero() {
			o.history[i].replaced = time.Now()
		}
	}
	o.longest = max(o.longest, time.Since(m.AnsweredAt))
	o.forced++
	o.numbers = append(o.numbers, m.Version)
	o.mu.Unlock()
	return f, nil
}

// team edits one team's quota, from the base if it has none of its own.
func (o *operator) team(name string, edit func(t *clusterconfig.Team)) func(*clusterconfig.Config) {
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

func maxCPUs(n int64) func(*clusterconfig.Team) {
	return func(t *clusterconfig.Team) { t.Max.CPU, t.Min.CPU = 1000*n, min(t.Min.CPU, 1000*n) }
}

// playConfig plays a day with an operator.
func playConfig(t *testing.T, d scenario, p config.Platform, act func(t *testing.T, o *operator, u *users)) {
	t.Helper()
	var o *operator
	setup := d.setup
	d.setupFaultsEnd = true
	d.setup = func(w *simulator.World) {
		o = newOperator(t, w, p)
		if setup != nil {
			setup(w)
		}
	}
	runScenario(t, d, p, machineTypes[:1], func(t *testing.T, u *users) { act(t, o, u) })
}

// tight is a platform whose state service takes few changes.
func tight() config.Platform { return stateBudgets[1].platform() }

// TestConfigMeaning: what each kind of change does to running and waiting work.
func TestConfigMeaning(t *testing.T) {
	const s = time.Second
	on := func(w *simulator.World, id string) int { return w.RunningTasks(id) }
	for _, c := range []struct {
		name string
		act  func(t *testing.T, o *operator, u *users)
	}{
		{"a max that is raised lets more tasks start", func(t *testing.T, o *operator, u *users) {
			must(t, o, "low", o.team("blue", maxCPUs(8)))
			u.w.Submit(array(1, 20, 150))
			time.Sleep(60 * s)
			if n := on(u.w, "job-000001"); n != 4 {
				t.Errorf("%d tasks of 2 CPUs run under a limit of 8", n)
			}
			must(t, o, "high", o.team("blue", maxCPUs(32)))
			time.Sleep(60 * s)
			if n := on(u.w, "job-000001"); n != 16 {
				t.Errorf("%d tasks of 2 CPUs run under a limit of 32", n)
			}
		}},
		{"a max that is lowered below what is used stops nothing and starts nothing", func(t *testing.T, o *operator, u *users) {
			u.w.Submit(array(1, 40, 100))
			time.Sleep(70 * s)
			before := on(u.w, "job-000001")
			must(t, o, "low", o.team("blue", maxCPUs(20)))
			starts := u.w.TaskStarts()
			time.Sleep(10 * s)
			if n := on(u.w, "job-000001"); n != before || before <= 10 {
				t.Errorf("%d tasks ran before, %d after", before, n)
			}
			if n := u.w.TaskStarts(); n != starts {
				t.Errorf("%d tasks were started over the limit", n-starts)
			}
			time.Sleep(100 * s)
			if n := on(u.w, "job-000001"); n > 10 {
				t.Errorf("%d tasks run under a limit of 20 CPUs", n)
			}
			must(t, o, "back", o.team("blue", maxCPUs(60)))
		}},
		{"a min that is raised is reclaimed, one that is lowered is not protected", func(t *testing.T, o *operator, u *users) {
			u.w.Cloud.Capacity = 4 // 16 CPUs
			for _, name := range []string{"blue", "green"} {
				must(t, o, "min-"+name, o.team(name, func(t *clusterconfig.Team) { t.Min.CPU = 0 }))
			}
			u.w.Submit(array(1, 20, 300))
			time.Sleep(60 * s)
			other := array(2, 4, 300)
			other.Team = "green"
			u.w.Submit(other)
			time.Sleep(30 * s)
			if n := on(u.w, other.ID); n != 0 {
				t.Errorf("%d tasks of a team without a min are given room", n)
			}
			must(t, o, "raised", o.team("green", func(t *clusterconfig.Team) { t.Min.CPU = 8000 }))
			time.Sleep(45 * s)
			if n := on(u.w, other.ID); n != 4 {
				t.Errorf("%d of 4 tasks within the raised min run", n)
			}
			u.w.Cancel("job-000001")
		}},
		{"a team that is added, drained and removed", func(t *testing.T, o *operator, u *users) {
			job := array(1, 2, 30)
			job.Team = "red"
			if got := u.w.PostJob(0, &job); got != http.StatusUnprocessableEntity {
				t.Errorf("a job of a team that there is not is answered %d", got)
			}
			must(t, o, "add", o.team("red", maxCPUs(8)))
			if got := u.w.PostJob(1, &job); got != http.StatusCreated {
				t.Errorf("a job of the new team is answered %d", got)
			}
			u.w.Submit(job)
			gone := func(c *clusterconfig.Config) { delete(c.Teams, "red") }
			if _, err := o.change("gone", 10*s, gone); !errors.Is(err, configclient.ErrTeamHasJobs) {
				t.Errorf("removed without draining: %v", err)
			}
			must(t, o, "drain", o.team("red", func(t *clusterconfig.Team) { t.Draining = true }))
			late := array(2, 1, 1)
			late.Team = "red"
			if got := u.w.PostJob(2, &late); got != http.StatusUnprocessableEntity {
				t.Errorf("a job of a draining team is answered %d", got)
			}
			if _, err := o.change("gone", 10*s, gone); !errors.Is(err, configclient.ErrTeamHasJobs) {
				t.Errorf("removed with a job that runs: %v", err)
			}
			u.expectState(job.ID, "done")
			must(t, o, "gone", gone)
			if got, told := u.w.Resubmit(0, job.ID, &job); got != http.StatusOK || told != "done" {
				t.Errorf("a repeat of its job is answered %d, %q", got, told)
			}
		}},
		{"a cap that is lowered refuses and is lifted", func(t *testing.T, o *operator, u *users) {
			must(t, o, "cap", o.team("green", func(t *clusterconfig.Team) { t.PriorityCap = core.Normal }))
			job := service(1, 1)
			for i := range 3 {
				if got := u.w.PostJob(i, &job); got != http.StatusUnprocessableEntity {
					t.Errorf("node %d answers %d to a production job", i, got)
				}
			}
			must(t, o, "lift", o.team("green", func(t *clusterconfig.Team) { t.PriorityCap = core.Production }))
			for i := range 3 {
				if got := u.w.PostJob(i, &job); got != http.StatusCreated && got != http.StatusOK {
					t.Errorf("node %d answers %d once it may", i, got)
				}
			}
			u.w.Submit(job)
			u.expectState(job.ID, "running")
			u.w.Cancel(job.ID)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			playConfig(t, scenario{seed: 500}, twoTeams(), func(t *testing.T, o *operator, u *users) {
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

// must makes a change and has it in force within four seconds.
func must(t *testing.T, o *operator, id string, edit func(*clusterconfig.Config)) {
	t.Helper()
	if _, err := o.change(id, 4*time.Second, edit); err != nil {
		t.Errorf("change %s: %v", id, err)
	}
}

// TestConfigHardCases brings about what can come between a change and its being in force.
func TestConfigHardCases(t *testing.T) {
	const s = time.Second
	busy := func(u *users) { submitShortJobs(u, 0, 80*s, 1500*time.Millisecond) }
	lower := func(o *operator, n int64) func(*clusterconfig.Config) { return o.team("blue", maxCPUs(n)) }
	for _, size := range stateBudgets {
		for _, c := range []struct {
			name string
			act  func(t *testing.T, o *operator, u *users)
		}{
			{"two operators at once", func(t *testing.T, o *operator, u *users) {
				other := &operator{t: t, w: o.w, base: o.base, client: o.newClient("operator-2", size.platform())}
				ctx, cancel := context.WithTimeout(context.Background(), 10*s)
				defer cancel()
				must(t, o, "first", lower(o, 50))
				v, err := o.client.EnsureReady(ctx)
				if err != nil {
					t.Fatal(err)
				}
				lost := 0
				var wg sync.WaitGroup
				for i, k := range []*operator{o, other} {
					to := &clusterconfig.Config{Teams: map[string]clusterconfig.Team{"blue": {Max: core.Resources{CPU: int64(30000 + i)}, PriorityCap: core.Production}}}
					wg.Go(func() {
						_, err := k.client.Apply(ctx, v, to, fmt.Sprint("both-", i))
						if errors.Is(err, configclient.ErrConflict) {
							o.mu.Lock()
							lost++
							o.mu.Unlock()
						} else if err != nil {
							t.Error(err)
						}
					})
				}
				wg.Wait()
				if lost != 1 {
					t.Errorf("%d of two lost", lost)
				}
				must(t, o, "after", lower(o, 40))
			}},
			{"the answer is lost after the write", func(t *testing.T, o *operator, u *users) {
				must(t, o, "first", lower(o, 50))
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
				if _, err := o.change("lost", 20*s, lower(o, 30)); err != nil {
					t.Error(err)
				}
				if unanswered == 0 {
					t.Error("no write of the head was carried out without an answer")
				}
			}},
			{"the write is carried out late", func(t *testing.T, o *operator, u *users) {
				must(t, o, "first", lower(o, 50))
				var refused int
				o.w.StateFaults.Update(func(f *simulator.Faults) {
					f.ExecuteLate, f.LateDelay, f.LatePath = 1, 8*s, wire.CommitPath
					f.OnRepeated = func(_ string, status int) {
						if status == http.StatusConflict {
							refused++
						}
					}
				})
				time.AfterFunc(1200*time.Millisecond, func() {
					o.w.StateFaults.Update(func(f *simulator.Faults) { f.ExecuteLate = 0 })
				})
				if _, err := o.change("late", 20*s, lower(o, 30)); err != nil {
					t.Error(err)
				}
				must(t, o, "newer", lower(o, 20))
				time.Sleep(12 * s)
				if refused == 0 {
					t.Error("no late write was void")
				}
				v, err := o.client.Read(context.Background())
				if err != nil || v.Config.Teams["blue"].Max.CPU != 20_000 {
					t.Errorf("after the late write: %+v, %v", v, err)
				}
			}},
			{"the leader ends between write and force, and its successor too", func(t *testing.T, o *operator, u *users) {
				must(t, o, "first", lower(o, 50))
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
				begun := time.Now()
				to := v.Config.Clone()
				lower(o, 20)(to)
				o.mu.Lock()
				o.history = append(o.history, inForce{config: to})
				o.mu.Unlock()
				m, err := o.client.Apply(ctx, v, to, "ends")
				if err != nil {
					t.Fatal(err)
				}
				f, err := o.client.AwaitInForce(ctx, v, m, begun)
				if err != nil || len(f.Unconfirmed) == 0 || f.EverywhereAfter > 4*s {
					t.Errorf("in force by %+v, %v", f, err)
				}
				o.mu.Lock()
				for i := range o.history[:len(o.history)-1] {
					o.history[i].replaced = time.Now()
				}
				o.mu.Unlock()
				time.Sleep(20 * s)
				must(t, o, "after", lower(o, 30))
			}},
			{"a leader that writes and does not read", func(t *testing.T, o *operator, u *users) {
				must(t, o, "first", lower(o, 50))
				many := array(900, 600, 4) // tasks end and begin all the time
				many.DueS = nil
				u.w.Submit(many)
				time.Sleep(60 * s)
				leader := max(o.w.Leader(), 0)
				refuseReads := func(on bool) {
					o.w.StateFaults.Update(func(f *simulator.Faults) { f.RefuseReadClients[o.w.NodeAddr(leader)] = on })
				}
				refuseReads(true)
				f, err := o.change("unread", 4*s, lower(o, 10))
				if err != nil || len(f.Unconfirmed) != 1 {
					t.Errorf("in force by %+v, %v", f, err)
				}
				// It still has the older version and leads on for a while: what ends is not replaced.
				time.Sleep(300 * time.Millisecond)
				before, starts := u.w.RunningTasks(many.ID), u.w.TaskStarts()
				time.Sleep(1200 * time.Millisecond)
				if n := u.w.TaskStarts() - starts; n > 0 || before < 6 || o.w.Leader() != leader {
					t.Errorf("%d tasks begin over a limit of 10 CPUs, %d ran before; leader %d, it was %d", n, before, o.w.Leader(), leader)
				}
				time.Sleep(30 * s)
				refuseReads(false)
				time.Sleep(10 * s)
				must(t, o, "after", lower(o, 30))
				u.w.Cancel(many.ID)
			}},
			{"a node that writes and does not read accepts nothing by an older version", func(t *testing.T, o *operator, u *users) {
				must(t, o, "first", lower(o, 50))
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
				to := v.Config.Clone()
				o.team("blue", func(t *clusterconfig.Team) { t.Draining = true })(to)
				if _, err := o.client.Apply(ctx, v, to, "drain"); err != nil {
					t.Fatal(err)
				}
				answers := map[int]int{}
				for i := range 30 {
					job := array(950+i, 1, 1)
					answers[u.w.PostJob(other, &job)]++
					time.Sleep(50 * time.Millisecond)
				}
				if answers[http.StatusCreated] > 0 || answers[http.StatusServiceUnavailable] == 0 {
					t.Errorf("jobs of a draining team are answered %v by a node that has not read that it is", answers)
				}
				refuseReads(false)
				time.Sleep(8 * s)
				must(t, o, "open", o.team("blue", func(t *clusterconfig.Team) { t.Draining = false }))
			}},
			{"the changes that a controller watches from are forgotten", func(t *testing.T, o *operator, u *users) {
				must(t, o, "first", lower(o, 50))
				o.w.State.CompactLog()
				must(t, o, "forgotten", lower(o, 20))
			}},
			{"the state service refuses one, then all", func(t *testing.T, o *operator, u *users) {
				must(t, o, "first", lower(o, 50))
				one := (max(o.w.Leader(), 0) + 1) % 3
				setStateRefused(o.w, one, true)
				if f, err := o.change("one", 4*s, lower(o, 20)); err != nil || len(f.Unconfirmed) != 1 {
					t.Errorf("one refused: in force by %+v, %v", f, err)
				}
				setStateRefused(o.w, one, false)
				time.Sleep(8 * s)
				o.w.StateFaults.Update(func(f *simulator.Faults) { f.Down = true })
				if _, err := o.change("out", 4*s, lower(o, 30)); err == nil {
					t.Error("a change is made while the state service is out")
				}
				o.w.StateFaults.Update(func(f *simulator.Faults) { f.Down = false })
				o.w.State.RenewLeases()
				time.Sleep(8 * s)
				must(t, o, "out", lower(o, 30))
				v, err := o.client.Read(context.Background())
				if err != nil || v.Records.Head.Version != 3 {
					t.Errorf("version %d after three changes, %v", v.Records.Head.Version, err)
				}
			}},
			{"the state service is slow", func(t *testing.T, o *operator, u *users) {
				must(t, o, "first", lower(o, 50))
				o.w.StateFaults.Update(func(f *simulator.Faults) { f.MaxDelay = 400 * time.Millisecond })
				for i := range 8 { // the command itself reads three times before it writes
					if _, err := o.change(fmt.Sprint("slow-", i), 10*s, lower(o, int64(20+i))); err != nil {
						t.Error(err)
					}
				}
				if o.longest > 4*s {
					t.Errorf("in force %v after the write", o.longest)
				}
				o.w.StateFaults.Update(func(f *simulator.Faults) { f.MaxDelay = 0 })
			}},
			{"quotas change as a gang is placed and room is taken back for it", func(t *testing.T, o *operator, u *users) {
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
					least := int64(i%2) * 24
					must(t, o, fmt.Sprint("gang-", i), o.team("green", func(t *clusterconfig.Team) { t.Min.CPU = least * 1000 }))
					time.Sleep(700 * time.Millisecond)
				}
				must(t, o, "last", o.team("green", func(t *clusterconfig.Team) { t.Min.CPU = 24_000 }))
				u.expectState(filler.ID, "done")
			}},
			{"jobs of a team as it is added", func(t *testing.T, o *operator, u *users) {
				must(t, o, "first", lower(o, 50))
				type refusal struct {
					at   time.Time
					node int
				}
				var mu sync.Mutex
				var refused []refusal
				begin := time.Now()
				for k := range 300 {
					job := array(2000+k, 1, 1)
					job.Team = "red"
					u.group.Go(func() {
						time.Sleep(time.Until(begin.Add(time.Duration(k) * 4 * time.Millisecond)))
						if u.w.PostJob(k%3, &job) == http.StatusUnprocessableEntity {
							mu.Lock()
							refused = append(refused, refusal{time.Now(), k % 3})
							mu.Unlock()
						}
					})
				}
				time.Sleep(500 * time.Millisecond)
				must(t, o, "red", o.team("red", maxCPUs(8)))
				forced := time.Now()
				time.Sleep(5 * s)
				mu.Lock()
				defer mu.Unlock()
				if len(refused) == 0 || time.Since(forced) > 6*s {
					t.Error("none was refused before")
				}
				for _, r := range refused {
					if r.at.After(forced) {
						t.Errorf("node %d refuses %v after the team is there everywhere", r.node, r.at.Sub(forced))
					}
				}
			}},
			{"a head of a newer format", func(t *testing.T, o *operator, u *users) {
				must(t, o, "first", lower(o, 50))
				v, err := o.client.Read(context.Background())
				if err != nil {
					t.Fatal(err)
				}
				head := v.Records.Head
				write := func(format int) {
					head.Format = format
					b, err := wire.ConfigCodec{}.Encode(clusterconfig.Write{Head: &head})
					if err != nil {
						t.Fatal(err)
					}
					_, err = o.client.Store.Commit(context.Background(), &wire.Txn{If: []wire.Cond{}, Then: []wire.Write{{Put: clusterconfig.HeadKey, Value: b}}})
					if err != nil {
						t.Error(err)
					}
				}
				write(clusterconfig.Format + 1)
				time.Sleep(2 * s)
				job := array(900, 1, 1)
				for i := range 3 {
					if got := u.w.PostJob(i, &job); got != http.StatusServiceUnavailable {
						t.Errorf("node %d answers %d to a job under a configuration that it can't read", i, got)
					}
				}
				if _, err := o.change("newer", 3*s, lower(o, 20)); !errors.Is(err, clusterconfig.ErrNewerFormat) {
					t.Errorf("a change over it: %v", err)
				}
				time.Sleep(20 * s)
				write(clusterconfig.Format)
				time.Sleep(5 * s)
				must(t, o, "after", lower(o, 30))
			}},
			{"a controller is missing", func(t *testing.T, o *operator, u *users) {
				other := (max(o.w.Leader(), 0) + 1) % 3
				o.w.Kill(other)
				if _, err := o.change("first", 8*s, lower(o, 50)); !errors.Is(err, configclient.ErrNotReady) {
					t.Errorf("a change without all controllers: %v", err)
				}
				o.client.Absent = []string{fmt.Sprint("node-", other)}
				must(t, o, "without it", lower(o, 50))
				o.client.Absent = nil
				o.w.StartNode(other)
				time.Sleep(5 * s)
				must(t, o, "with it", lower(o, 40))
				o.w.Kill(other) // what it has said ends with its lease
				time.Sleep(8 * s)
				v, err := o.client.Read(context.Background())
				if err != nil || !slices.Equal(o.client.NotReporting(v), []string{fmt.Sprint("node-", other)}) || len(o.client.NotReady(v)) > 0 {
					t.Errorf("says nothing: %q, not ready: %q, %v", o.client.NotReporting(v), o.client.NotReady(v), err)
				}
				if f, err := o.change("again", 4*s, lower(o, 30)); err != nil || len(f.Unconfirmed) != 1 {
					t.Errorf("a change without one that knew configuration and has ended: in force by %+v, %v", f, err)
				}
				// It is of an earlier version now, says a peer.
				a := v.Acks[fmt.Sprint("node-", (other+1)%3)]
				a.OlderPeers = []string{fmt.Sprint("node-", other)}
				v.Acks[fmt.Sprint("node-", (other+1)%3)] = a
				if got := o.client.NotReady(v); !slices.Equal(got, a.OlderPeers) {
					t.Errorf("of an earlier version: not ready %q", got)
				}
				// And where it leads, whoever says that it is down, if it never knew configuration.
				v.Acks, v.Leader, v.SupportsConfig[a.OlderPeers[0]] = map[string]clusterconfig.Ack{}, a.OlderPeers[0], false
				o.client.Absent = a.OlderPeers
				if got := o.client.NotReady(v); !slices.Equal(got, a.OlderPeers) {
					t.Errorf("an earlier version leads: not ready %q", got)
				}
				o.client.Absent = nil
				o.w.StartNode(other)
				time.Sleep(5 * s)
				must(t, o, "back", lower(o, 30))
			}},
			{"limits of the state service that come", func(t *testing.T, o *operator, u *users) {
				o.client.Limits = clusterconfig.Limits{ValueBytes: 1800, TxnOps: 4}
				many := func(c *clusterconfig.Config) {
					for i := range 150 {
						c.Teams[fmt.Sprintf("team-with-a-long-name-%03d", i)] = clusterconfig.Team{Max: core.Resources{CPU: 1_000_000}, PriorityCap: core.High}
					}
				}
				must(t, o, "many", many)
				must(t, o, "one of them", o.team("team-with-a-long-name-077", maxCPUs(5)))
				v, err := o.client.Read(context.Background())
				if err != nil || len(v.Config.Teams) != 150 || len(v.Records.Head.Pages) < 5 || len(v.Records.Pages) != len(v.Records.Head.Pages) {
					t.Errorf("%d teams on %d pages of %d, %v", len(v.Config.Teams), len(v.Records.Head.Pages), len(v.Records.Pages), err)
				}
			}},
		} {
			t.Run(size.name+"/"+c.name, func(t *testing.T) {
				t.Parallel()
				playConfig(t, scenario{seed: 510}, size.platform(), func(t *testing.T, o *operator, u *users) {
					busy(u)
					time.Sleep(30 * s)
					c.act(t, o, u)
				})
			})
		}
	}
}

// TestConfigBesideUsers: ten changes a second for a minute beside users' writes, with few
// changes to be had: users are accepted as ever, and each change is in force in time.
func TestConfigBesideUsers(t *testing.T) {
	playConfig(t, scenario{seed: 520}, tight(), func(t *testing.T, o *operator, u *users) {
		time.Sleep(20 * time.Second)
		slowest := time.Duration(0)
		var mu sync.Mutex
		for i := range 120 {
			job := array(600+i, 1, 2)
			u.after(time.Duration(i)*500*time.Millisecond, func() {
				begun := time.Now()
				u.w.Submit(job)
				mu.Lock()
				slowest = max(slowest, time.Since(begun))
				mu.Unlock()
				u.expectState(job.ID, "done")
			})
		}
		made := 0
		for i := range 600 {
			_, err := o.change(fmt.Sprint("change-", i), 4*time.Second, o.team("green", maxCPUs(int64(20+i%40))))
			if err != nil {
				t.Errorf("change %d: %v", i, err)
			}
			made++
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("%d changes, the longest until in force %v; slowest submission %v", made, o.longest, slowest)
		if slowest > time.Second {
			t.Errorf("a submission took %v beside changes of configuration", slowest)
		}
	})
}

// TestConfigDrawn plays drawn troubles with changes of quotas all the time: versions have
// one order, nothing starts over a limit that is in force, no rule is broken. The long form,
// outside CI:
//
//	go test ./internal/simulator -run TestConfigDrawn -drawn-config 500
func TestConfigDrawn(t *testing.T) {
	for seed := range *drawnConfig {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(uint64(seed), 50))
			kinds := slices.Concat(combinationFaults, raceFaults, partitionFaults)
			var troubles []faultKind
			for range 2 + r.IntN(3) {
				troubles = append(troubles, kinds[r.IntN(len(kinds))])
			}
			d := randomScenario(r, seed, uint64(5000+seed), troubles, 30, 90)
			p := stateBudgets[seed%2].platform()
			playConfig(t, d, p, func(t *testing.T, o *operator, u *users) {
				changed := make(chan struct{})
				go func() {
					defer close(changed)
					o.wander(rand.New(rand.NewPCG(uint64(seed), 51)), 170*time.Second)
				}()
				mixedWorkload(t, u)
				<-changed
				for i := 1; i < len(o.numbers); i++ {
					if o.numbers[i] <= o.numbers[i-1] {
						t.Errorf("version %d came after %d", o.numbers[i], o.numbers[i-1])
					}
				}
				if o.forced < 10 {
					t.Errorf("only %d changes were in force", o.forced)
				}
				// What waits is to end.
				for i, name := range []string{"blue", "green"} {
					for try := 0; ; try++ {
						_, err := o.change(fmt.Sprint("end-", i, "-", try), 15*time.Second, o.team(name, maxCPUs(60)))
						if err == nil || try == 10 {
							break
						}
					}
				}
			})
		})
	}
}

// wander changes quotas for a while, by chance.
func (o *operator) wander(r *rand.Rand, d time.Duration) {
	begun := time.Now()
	for i := 0; time.Since(begun) < d; i++ {
		name := []string{"blue", "green"}[r.IntN(2)]
		limit := int64(24 + r.IntN(37)) // no job of mixedJobs asks for more
		least := int64(r.IntN(40)) * 1000
		_, _ = o.change(fmt.Sprint("walk-", i), 15*time.Second, o.team(name, func(t *clusterconfig.Team) {
			t.Max.CPU, t.Min.CPU = limit*1000, min(least, limit*1000)
		}))
		time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
	}
}
