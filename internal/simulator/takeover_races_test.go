package simulator_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"aspenstall/internal/simulator"
	"aspenstall/internal/wire"
)

// TestLimitsAcrossTakeover tests team limits when every team is at its limit, jobs are cancelled whose
// machines are partitioned or hang, and the leader changes. A task that may still run on a machine
// counts against its team's limit until it has certainly stopped, also in the new leader's usage.
func TestLimitsAcrossTakeover(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	runAtEachBudget(t, func(seed uint64) (scenario, func(*testing.T, *users), func() string) {
		h := &activeFaults{}
		var partitioned []*simulator.Worker
		var leader int
		var cancelled []string
		unstopped := 0 // tasks of cancelled jobs on unreachable machines when the leader crashes
		loseMachines := func(w *simulator.World) {
			for i, k := range w.Cloud.Workers() {
				switch {
				case len(k.RunningTasks()) == 0:
				case i%3 == 0:
					partitionWorker(w, k, true)
					partitioned = append(partitioned, k)
				case i%3 == 1:
					k.SetHung(true)
					h.hungWorkers = append(h.hungWorkers, k)
				}
			}
		}
		at := 50*s + time.Duration(seed%5)*700*ms
		outage := 8*s + time.Duration(seed%3)*8*s // shorter and longer than a lease
		sc := scenario{actions: []action{
			{at, loseMachines},
			{at + s, func(w *simulator.World) {
				for i := range 6 {
					id := fmt.Sprintf("job-%06d", 100+i)
					if w.Cancel(id) == "aborted" {
						cancelled = append(cancelled, id)
					}
				}
			}},
			{at + 1500*ms, func(w *simulator.World) {
				for _, k := range append(slices.Clone(partitioned), h.hungWorkers...) {
					for _, task := range k.RunningTasks() {
						if job, _, _ := strings.Cut(task, "/"); slices.Contains(cancelled, job) {
							unstopped++
						}
					}
				}
				leader = max(w.Leader(), 0)
				w.Kill(leader)
			}},
			{at + 1800*ms, func(w *simulator.World) { w.StartNode(leader) }},
			{at + outage, h.resumeWorkers},
			{at + outage, func(w *simulator.World) {
				for _, k := range partitioned {
					partitionWorker(w, k, false)
				}
			}},
		}}
		jobs := func(_ *testing.T, u *users) {
			for i := range 40 { // far more than the teams may use
				job := array(100+i, 5, float64(40+i%30))
				if i%2 == 1 {
					job.Team = "green"
				}
				job.DueS = nil
				u.after(time.Duration(i)*200*ms, func() {
					if u.w.Submit(job) {
						u.expectEnd(job.ID)
					}
				})
			}
		}
		return sc, jobs, func() string {
			if unstopped < 4 {
				return fmt.Sprintf("tasks of cancelled jobs on unreachable machines (%d)", unstopped)
			}
			return ""
		}
	})
}

// TestCancellationDuringTakeover cancels running and waiting jobs in the seconds of a takeover. It
// tests that no leader starts a task of such a job once it has learnt of the confirmation: a start
// may follow the confirmation by the propagation time at most.
func TestCancellationDuringTakeover(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	// A confirmation reaches the leader by its watch, within the propagation time.
	const writeDelay, propagation = 200 * ms, 400 * ms
	runAtEachBudget(t, func(seed uint64) (scenario, func(*testing.T, *users), func() string) {
		var w *simulator.World
		leader, next := 0, 0
		var killedAt, nextSince time.Time
		before, between, after := 0, 0, 0
		at := 45 * s
		var unreachable *simulator.Worker // the takeover is not reconciled before this worker reports
		sc := scenario{setupFaultsEnd: true, setup: func(w *simulator.World) {
			w.StateFaults.Update(func(f *simulator.Faults) { f.MaxDelay = writeDelay })
		}, actions: []action{{at, func(w *simulator.World) {
			for _, k := range w.Cloud.Workers() {
				if len(k.RunningTasks()) > 0 {
					unreachable = k
				}
			}
			partitionWorker(w, unreachable, true)
			leader = max(w.Leader(), 0)
			switch seed % 2 {
			case 0:
				setStateRefused(w, leader, true)
			default:
				w.Kill(leader)
			}
			killedAt = time.Now()
			for {
				time.Sleep(5 * ms)
				if next = w.Leader(); next >= 0 && next != leader {
					nextSince = time.Now()
					return
				}
			}
		}}, {at + 12*s, func(w *simulator.World) {
			setStateRefused(w, leader, false)
			w.StartNode(leader)
			partitionWorker(w, unreachable, false)
			w.StateFaults.Update(func(f *simulator.Faults) { f.MaxDelay = 0 })
		}}}}
		jobs := func(_ *testing.T, u *users) {
			w = u.w
			for i := range 60 {
				job := array(100+i, 2, 60)
				if i%2 == 1 {
					job.Team = "green"
				}
				job.DueS = nil
				u.after(time.Duration(i)*150*ms, func() {
					if !u.w.Submit(job) {
						return
					}
					if i%3 == 0 {
						u.expectEnd(job.ID)
						return
					}
					time.Sleep(time.Until(u.startedAt.Add(at - s + time.Duration(i)*100*ms)))
					if u.w.Cancel(job.ID) != "aborted" {
						return
					}
					u.mu.Lock()
					defer u.mu.Unlock()
					switch {
					case killedAt.IsZero():
						before++
					case nextSince.IsZero():
						between++
					default:
						after++
					}
				})
			}
		}
		return sc, jobs, func() string {
			n, longest := w.StartsAfterCancel()
			t.Logf("cancelled %d before, %d between two leaders, %d after; %d starts after a confirmation, the latest after %v", before, between, after, n, longest)
			if longest > propagation {
				t.Errorf("a task was started %v after the confirmation", longest)
			}
			if before == 0 || between < 4 || after < 4 {
				return "cancellations before, during and after the change of leader"
			}
			return ""
		}
	})
}

// TestLeaderCrashAfterFastBoot tests leader crashes while new machines boot within two seconds, get
// tasks at once, and writes are delayed. The next leader must learn of every task on a machine before it
// could start the task elsewhere or exceed a limit.
func TestLeaderCrashAfterFastBoot(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	const rounds = 9
	runAtEachBudget(t, func(seed uint64) (scenario, func(*testing.T, *users), func() string) {
		var writes replayCounts
		newMachines := 0 // machines with tasks that were up for less than three seconds when a leader crashed
		// When a new machine is up and has a task is random. The leader crashes as soon as there is
		// one, or after half a minute without one.
		crashLeader := func(w *simulator.World) {
			for wait := time.Duration(0); wait < 30*s; wait += 20 * ms {
				if found := busyNewMachines(w); found > 0 {
					newMachines += found
					break
				}
				time.Sleep(20 * ms)
			}
			leader := max(w.Leader(), 0)
			w.Kill(leader)
			time.Sleep(4 * s)
			w.StartNode(leader)
		}
		sc := scenario{setupFaultsEnd: true, setup: func(w *simulator.World) {
			writes.observe(w.StateFaults, wire.CommitPath)
			w.Cloud.SetBootFactor(func(n int) float64 { return 0.02 + 0.1*float64(n%2) }) // 0.3 s and 1.8 s
			w.Settings.IdleReturnS = 2                                                    // so that the next jobs need new machines
			delayWrites(0.2)(w)
		}}
		for i := range rounds {
			at := 30*s + time.Duration(i)*60*s
			submit := func(w *simulator.World) {
				for k := range 8 {
					job := array(100+10*i+k, 4, 30)
					if k%2 == 1 {
						job.Team = "green"
					}
					job.DueS = nil
					w.Submit(job)
				}
			}
			sc.actions = append(sc.actions, action{at, submit}, action{at + time.Duration(seed%4)*300*ms + time.Duration(i)*100*ms, crashLeader})
		}
		sc.actions = append(sc.actions, action{(35 + 60*rounds) * s, delayWrites(0)})
		jobs := func(_ *testing.T, u *users) {
			u.after((40+60*rounds)*s, func() {
				for i := range rounds {
					for k := range 8 {
						u.expectEnd(fmt.Sprintf("job-%06d", 100+10*i+k))
					}
				}
			})
		}
		return sc, jobs, func() string {
			t.Logf("%d machines with tasks were up for less than three seconds when a leader crashed; late writes %+v", newMachines, writes)
			if newMachines < 3 {
				return fmt.Sprintf("new machines with tasks when a leader crashes (%d)", newMachines)
			}
			if writes.executed+writes.rejected == 0 {
				return "late writes"
			}
			return ""
		}
	})
}

// busyNewMachines counts the machines with tasks that have been up for less than three seconds.
func busyNewMachines(w *simulator.World) int {
	found := 0
	for _, k := range w.Cloud.Workers() {
		if k.Uptime() < 3*time.Second && k.ActiveTasks() > 0 {
			found++
		}
	}
	return found
}
