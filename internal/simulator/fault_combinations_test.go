package simulator_test

import (
	"testing"
	"time"

	"aspenstall/internal/simulator"
	"aspenstall/internal/wire"
)

// replayCounts counts the requests that a service or node executed late or again, by whether they
// succeeded or were rejected.
type replayCounts struct{ executed, rejected int }

// observe counts the requests to a path of the service that has these faults.
func (l *replayCounts) observe(f *simulator.Faults, path string) {
	f.OnRepeated = func(p string, status int) {
		if p == path {
			if status < 300 {
				l.executed++
			} else {
				l.rejected++
			}
		}
	}
}

// smallJobsWorkload submits jobs of two or three tasks whose completions are far apart, services
// that run throughout, and one array of long tasks.
func smallJobsWorkload(_ *testing.T, u *users) {
	const s = time.Second
	for i := range 9 {
		job := array(100+i, 2+i%2, 10)
		job.RunOf = map[int]float64{0: 8, 1: float64(25 + 5*i), 2: 70}
		u.after(time.Duration(20+4*i)*s, func() { u.runToDone(job) })
	}
	for i := range 4 {
		job := service(300+i, 4)
		u.after(0, func() {
			if u.w.Submit(job) {
				u.expectState(job.ID, "running")
				time.Sleep(150 * s)
				u.expectState(job.ID, "running")
				u.w.Cancel(job.ID)
			}
		})
	}
	long := array(200, 6, 90)
	u.after(5*s, func() { u.runToDone(long) })
}

// TestFaultCombinations runs the combinations of two faults that operators reported. A test fails if
// the combination did not occur or if an invariant is violated. It also fails if a job that was not
// cancelled neither runs nor is done once the faults are over (users.expectState).
func TestFaultCombinations(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	var writes, reportCopies, commands replayCounts
	isolatedLeader := &leaderPartition{}
	var otherLeader int
	var cancelled string
	var refusalTime time.Duration
	var unreachable []*simulator.Worker
	leader := 0
	killLeader := func(w *simulator.World) { leader = max(w.Leader(), 0); w.Kill(leader) }
	restartLeader := func(w *simulator.World) { w.StartNode(leader) }
	leaders := map[int]bool{}
	noteLeader := func(w *simulator.World) {
		if i := w.Leader(); i >= 0 {
			leaders[i] = true
		}
	}
	// Which node leads after a crash is random. startNewLeader starts a node that has not led yet,
	// if there is one, while no other runs.
	startNewLeader := func(w *simulator.World) {
		for i := range w.Nodes {
			if !leaders[i] || i == len(w.Nodes)-1 {
				w.StartNode(i)
				return
			}
		}
	}
	for _, c := range []struct {
		scenario scenario
		missing  func() string // what did not occur; "": the combination occurred
	}{
		{scenario{name: "an unanswered transaction is executed late, after newer ones", seed: 90,
			setup: func(w *simulator.World) {
				writes.observe(w.StateFaults, wire.CommitPath)
				delayWrites(0.4)(w)
			}, actions: []action{{150 * s, delayWrites(0)}}},
			func() string {
				if writes.executed == 0 || writes.rejected == 0 {
					return "late writes: an executed one and one rejected because of a newer one"
				}
				return ""
			}},
		{scenario{name: "leaders change, all controllers crash and one restarts within a second", seed: 91,
			setup: func(w *simulator.World) { delayWrites(0.1)(w) },
			actions: []action{{40 * s, killLeader}, {40*s + 300*ms, restartLeader}, {47 * s, noteLeader}, {48 * s, killLeader}, {48*s + 300*ms, restartLeader}, {56 * s, noteLeader},
				{57 * s, killAllNodes}, {57*s + 200*ms, startNewLeader}, {61 * s, noteLeader}, {63 * s, noteLeader}, {65 * s, noteLeader}, {66 * s, startAllNodes},
				{68 * s, killNode(1)}, {68*s + 100*ms, startNode(1)}, {79 * s, delayWrites(0)}}},
			func() string {
				if len(leaders) < 2 {
					return "several leaders"
				}
				return ""
			}},
		{scenario{name: "an old report arrives after newer ones, also one of an earlier session", seed: 92,
			setup: func(w *simulator.World) {
				for _, n := range w.NodeFaults {
					reportCopies.observe(n, wire.ReportPath)
				}
				duplicateReports(0.5)(w)
			}, actions: []action{{50 * s, killLeader}, {51 * s, restartLeader}, {55 * s, func(w *simulator.World) {
				for i, k := range w.Cloud.Workers() {
					if i%3 == 0 {
						partitionWorker(w, k, true) // until the worker begins a new session
						unreachable = append(unreachable, k)
					}
				}
			}}, {75 * s, func(w *simulator.World) {
				for _, k := range unreachable {
					partitionWorker(w, k, false)
				}
				unreachable = nil
			}}, {110 * s, duplicateReports(0)}}},
			func() string {
				if reportCopies.executed < 20 {
					return "copies of reports"
				}
				return ""
			}},
		{scenario{name: "a leader is partitioned from state service and peers, jobs are cancelled through the new leader", seed: 93,
			actions: []action{{20 * s, func(w *simulator.World) { w.Submit(array(201, 6, 300)) }}, {50 * s, isolatedLeader.partition}, {60 * s, func(w *simulator.World) {
				otherLeader = w.Leader()
				begun := time.Now()
				job := array(999, 1, 1)
				if w.PostJob(isolatedLeader.node, &job) == 201 {
					otherLeader = isolatedLeader.node
				}
				refusalTime = time.Since(begun)
				cancelled = w.Cancel("job-000201")
			}}, {95 * s, isolatedLeader.heal}}},
			func() string {
				if cancelled != "aborted" {
					return "a cancellation through the new leader"
				}
				if otherLeader == isolatedLeader.node {
					return "a new leader, or the partitioned one accepts jobs"
				}
				if refusalTime > 100*ms {
					return "an immediate refusal; it came after " + refusalTime.String()
				}
				return ""
			}},
		{scenario{name: "a leader crashes while machines with long tasks are unreachable or lose inbound messages", seed: 94,
			actions: []action{{45 * s, func(w *simulator.World) {
				for i, k := range w.Cloud.Workers() {
					if len(k.RunningTasks()) > 0 && i%2 == 0 {
						k.SetInboundLost(true)
						unreachable = append(unreachable, k)
					} else if i%5 == 1 {
						partitionWorker(w, k, true)
					}
				}
			}}, {46 * s, killLeader}, {49 * s, restartLeader}, {100 * s, func(w *simulator.World) {
				for _, k := range w.Cloud.Workers() {
					partitionWorker(w, k, false)
				}
				for _, k := range unreachable {
					k.SetInboundLost(false)
				}
			}}}},
			func() string {
				if len(unreachable) == 0 {
					return "machines with tasks that lose inbound messages"
				}
				return ""
			}},
		{scenario{name: "completions of small jobs are spread over several leaders", seed: 95,
			actions: []action{{45 * s, killLeader}, {47 * s, restartLeader}, {60 * s, killLeader}, {63 * s, restartLeader}, {75 * s, killAllNodes}, {78 * s, startAllNodes}}}, nil},
		{scenario{name: "a command or its response is delayed for seconds while the machine continues", seed: 96,
			setup: func(w *simulator.World) {
				commands.observe(w.WorkerFaults, wire.CommandsPath)
				w.WorkerFaults.ExecuteLate, w.WorkerFaults.LateDelay, w.WorkerFaults.LateJitter, w.WorkerFaults.LoseResponse = 0.4, s, 30*s, 0.1
			}, actions: []action{{50 * s, killLeader}, {51 * s, restartLeader}, {90 * s, func(w *simulator.World) {
				w.WorkerFaults.Update(func(f *simulator.Faults) { f.ExecuteLate, f.LoseResponse = 0, 0 })
			}}}},
			func() string {
				if commands.executed == 0 || commands.rejected == 0 {
					return "late commands: an executed one and one rejected as too late"
				}
				return ""
			}},
	} {
		t.Run(c.scenario.name, func(t *testing.T) {
			p := platform()
			p.Params.Teams = p.Params.Teams[:0]
			addTeam(&p, "blue", 40, 60, 0, 0)
			addTeam(&p, "green", 40, 60, 0, 0)
			runScenario(t, c.scenario, p, machineTypes[:1], smallJobsWorkload)
			if c.missing != nil {
				if missing := c.missing(); missing != "" {
					t.Errorf("the scenario lacks %s", missing)
				}
			}
		})
	}
	t.Logf("late writes %+v, copies of reports %+v, late commands %+v; refusal took %v", writes, reportCopies, commands, refusalTime)
}
