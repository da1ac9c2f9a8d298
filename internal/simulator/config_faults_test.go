package simulator_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"aspenstall/internal/clusterconfig"
	"aspenstall/internal/configclient"
	"aspenstall/internal/core"
	"aspenstall/internal/simulator"
	"aspenstall/internal/txn"
	"aspenstall/internal/wire"
)

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
