package simulator_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"aspenstall/internal/simulator"
	"aspenstall/internal/wire"
)

var randomCombinationRuns = flag.Int("meetings", 8, "how many random scenarios TestRandomFaultCombinations runs")

// leaderRefused is a scenario in which the state service first refuses the leader alone while another
// controller confirms cancellations to users. Then the state service is down for all for longer than
// a cancellation may take, while workers stay with the old leader.
type leaderRefused struct {
	cancelAfter       time.Duration // from the refusal to the first cancellations
	outageAfter       time.Duration // from the refusal to the outage
	outageLength      time.Duration // 0: 75 s, longer than a cancellation may take
	newLeader         bool          // another controller leads by the outage, and workers get its responses
	setup             func(w *simulator.World)
	extraActions      []action // their times count from the refusal
	confirmed         int      // cancellations confirmed before the outage began
	confirmedEarly    int      // cancellations confirmed before the outage had lasted a second
	servedByOldLeader int      // workers with tasks that the old leader answered during the outage
	oldLeader         int
}

// setStateRefused makes the state service refuse one node, or serve it again.
func setStateRefused(w *simulator.World, i int, refused bool) {
	w.StateFaults.Update(func(f *simulator.Faults) { f.RefuseClients[w.NodeAddr(i)] = refused })
}

// run runs the scenario: long tasks of every kind run when the refusal begins after a minute, and
// some jobs are cancelled during the refusal.
func (d *leaderRefused) run(t *testing.T, seed uint64) {
	const s = time.Second
	const refusedAt = 60 * s
	outageLength := d.outageLength
	if outageLength == 0 {
		outageLength = 75 * s
	}
	var outage time.Time
	actions := []action{
		{refusedAt, func(w *simulator.World) {
			d.oldLeader = max(w.Leader(), 0)
			setStateRefused(w, d.oldLeader, true)
		}},
		{refusedAt + d.outageAfter, setStateDown(true)},
		{refusedAt + d.outageAfter, func(*simulator.World) { outage = time.Now() }},
		{refusedAt + d.outageAfter + 14*s, func(w *simulator.World) {
			for _, k := range w.Cloud.Workers() {
				if len(k.RunningTasks()) > 0 && k.LastAcknowledged().After(outage.Add(s)) {
					d.servedByOldLeader++
				}
			}
		}},
		{refusedAt + d.outageAfter + outageLength, setStateDown(false)},
		{refusedAt + d.outageAfter + outageLength + 10*s, func(w *simulator.World) { setStateRefused(w, d.oldLeader, false) }},
	}
	for _, a := range d.extraActions {
		actions = append(actions, action{refusedAt + a.at, a.do})
	}
	p := platform()
	p.Params.Teams = p.Params.Teams[:0]
	addTeam(&p, "blue", 40, 200, 0, 0)
	addTeam(&p, "green", 40, 200, 0, 0)
	var world *simulator.World
	runScenario(t, scenario{seed: seed, setup: d.setup, actions: actions}, p, machineTypes[:1], func(t *testing.T, u *users) {
		w := u.w
		world = w
		for i := range 24 {
			var job simulator.Spec
			switch i % 3 {
			case 0:
				job = service(300+i, 4)
			case 1:
				job = array(100+i, 4, 120)
				job.DueS = nil
			case 2:
				job = gang(200+i, 2, 120)
				job.OneZone, job.CheckpointS = false, 0
			}
			u.after(0, func() {
				if !w.Submit(job) {
					t.Errorf("%s was not accepted", job.ID)
					return
				}
				switch {
				case i < 12: // cancelled while the state service refuses the leader
					time.Sleep(time.Until(u.startedAt.Add(refusedAt + d.cancelAfter + time.Duration(i)*20*time.Millisecond)))
					if w.Cancel(job.ID) == "aborted" && (outage.IsZero() || time.Since(outage) < s) {
						d.confirmedEarly++
						if outage.IsZero() {
							d.confirmed++
						}
					}
				case i%3 == 0: // a service that keeps running
					time.Sleep(refusedAt + d.outageAfter + outageLength + 60*s)
					u.expectState(job.ID, "running")
				default:
					u.expectState(job.ID, "done")
				}
			})
		}
	})
	jobs, longest := world.CancellationDelay()
	t.Logf("%d cancellations confirmed before the outage, %d by the end of its first second; %d cancelled jobs had tasks, the last task stopped after %v; the old leader answered %d workers with tasks during the outage",
		d.confirmed, d.confirmedEarly, jobs, longest.Round(100*time.Millisecond), d.servedByOldLeader)
	if d.confirmedEarly < 4 || jobs < 4 {
		t.Error("too few jobs were cancelled in time for the scenario to be conclusive")
	}
	if !d.newLeader && d.servedByOldLeader == 0 {
		t.Error("no worker stayed with the old leader: the scenario is inconclusive")
	}
	if d.newLeader && world.Leader() == d.oldLeader {
		t.Error("no other controller led")
	}
}

// TestLeaderRefusedThenOutage tests that the tasks of cancelled jobs stop in time when another
// controller confirmed the cancellation, although the workers stay with a leader that the state
// service refused before it failed for all. The outage begins right after the confirmations, before
// and after the leader's lease expires, and before and after another controller's term begins.
// Without the limit on the answers that a leader gives without reading the state service,
// ran_cancelled is violated.
func TestLeaderRefusedThenOutage(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	blockPeers := func(blocked bool) func(*simulator.World) {
		return func(w *simulator.World) { w.BlockPeerLinks(blocked) }
	}
	for _, c := range []struct {
		name     string
		scenario leaderRefused
	}{
		{"outage right after a confirmation", leaderRefused{cancelAfter: 0, outageAfter: 200 * ms}},
		{"outage before the leader's lease expires", leaderRefused{cancelAfter: 500 * ms, outageAfter: 2 * s}},
		{"cancelled when the refusal begins, outage a second later", leaderRefused{cancelAfter: 0, outageAfter: s}},
		{"outage after the leader's lease expired, before another term", leaderRefused{cancelAfter: s, outageAfter: 2900 * ms}},
		{"outage after another term began", leaderRefused{cancelAfter: s, outageAfter: 4 * s, newLeader: true}},
		{"outage after some workers reached the new leader", leaderRefused{cancelAfter: 2 * s, outageAfter: 7 * s, newLeader: true}},
		{"peer links are blocked from the refusal on", leaderRefused{cancelAfter: 500 * ms, outageAfter: 2 * s, extraActions: []action{{0, blockPeers(true)}}}},
		{"peer links are blocked during the outage", leaderRefused{cancelAfter: 500 * ms, outageAfter: 2 * s, extraActions: []action{{4 * s, blockPeers(true)}, {30 * s, blockPeers(false)}}}},
		{"the other controllers restart in the outage", leaderRefused{cancelAfter: 500 * ms, outageAfter: 2 * s}},
		{"the leader is frozen for seconds", leaderRefused{cancelAfter: 500 * ms, outageAfter: 2 * s}},
		{"machines hang and resume", leaderRefused{cancelAfter: 500 * ms, outageAfter: 2 * s}},
		{"start commands are in flight", leaderRefused{cancelAfter: 500 * ms, outageAfter: 2 * s, setup: func(w *simulator.World) {
			w.WorkerFaults.ExecuteLate, w.WorkerFaults.LateDelay, w.WorkerFaults.LateJitter, w.WorkerFaults.LatePath = 0.5, 20*s, 50*s, wire.CommandsPath
		}}},
	} {
		d := &c.scenario
		h := &activeFaults{}
		switch {
		case strings.HasPrefix(c.name, "the other controllers"):
			for i := range 2 {
				other := func(w *simulator.World) int { return (d.oldLeader + 1 + i) % 3 }
				d.extraActions = append(d.extraActions, action{5 * s, func(w *simulator.World) { w.Kill(other(w)) }}, action{5*s + 300*ms, func(w *simulator.World) { w.StartNode(other(w)) }})
			}
		case strings.HasPrefix(c.name, "the leader is frozen"):
			d.extraActions = []action{{1500 * ms, func(w *simulator.World) { w.Freeze(d.oldLeader, true) }}, {9 * s, func(w *simulator.World) { w.Freeze(d.oldLeader, false) }}}
		case strings.HasPrefix(c.name, "machines hang"):
			d.extraActions = []action{{s, h.hangWorkers}, {12 * s, h.resumeWorkers}, {30 * s, h.hangWorkers}, {40 * s, h.resumeWorkers}}
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d.run(t, 80)
		})
	}
}

// combinationFaults are kinds of faults that TestRandomFaultCombinations combines with raceFaults and
// partitionFaults.
var combinationFaults = []faultKind{
	{"late writes", func(r *rand.Rand, at time.Duration) []action {
		share := 0.1 + 0.4*r.Float64()
		return []action{{at, delayWrites(share)}, {at + randomDuration(r, 10, 40), delayWrites(0)}}
	}},
	{"late reports", func(r *rand.Rand, at time.Duration) []action {
		share := 0.1 + 0.5*r.Float64()
		return []action{{at, duplicateReports(share)}, {at + randomDuration(r, 10, 60), duplicateReports(0)}}
	}},
	{"late commands", func(r *rand.Rand, at time.Duration) []action {
		late := func(share float64) func(*simulator.World) {
			return func(w *simulator.World) {
				w.WorkerFaults.Update(func(f *simulator.Faults) {
					f.ExecuteLate, f.LateDelay, f.LateJitter = share, time.Second, 29*time.Second
				})
			}
		}
		return []action{{at, late(0.1 + 0.3*r.Float64())}, {at + randomDuration(r, 10, 40), late(0)}}
	}},
	{"machines lose inbound messages", func(r *rand.Rand, at time.Duration) []action {
		byZone, every := r.IntN(2) == 0, 2+r.IntN(4)
		zone := []string{"a", "b", "c"}[r.IntN(3)]
		isolated := map[string]bool{}
		return []action{{at, func(w *simulator.World) {
			for i, k := range w.Cloud.Workers() {
				if byZone && k.Zone() == zone || !byZone && i%every == 0 {
					k.SetInboundLost(true)
					isolated[k.Name()] = true
				}
			}
		}}, {at + randomDuration(r, 5, 60), func(w *simulator.World) {
			for _, k := range w.Cloud.Workers() {
				if isolated[k.Name()] {
					k.SetInboundLost(false)
				}
			}
		}}}
	}},
	{"leader partitioned from state service and peers", func(r *rand.Rand, at time.Duration) []action {
		isolatedLeader := &leaderPartition{}
		return []action{{at, isolatedLeader.partition}, {at + randomDuration(r, 5, 60), isolatedLeader.heal}}
	}},
	{"state service refuses the leader, then all", func(r *rand.Rand, at time.Duration) []action {
		leader, outageStart := 0, at+time.Duration(r.IntN(8000))*time.Millisecond
		outageEnd := outageStart + randomDuration(r, 5, 60)
		return []action{{at, func(w *simulator.World) { leader = max(w.Leader(), 0); setStateRefused(w, leader, true) }}, {outageStart, setStateDown(true)}, {outageEnd, setStateDown(false)},
			{outageEnd + randomDuration(r, 0, 20), func(w *simulator.World) { setStateRefused(w, leader, false) }}}
	}},
	{"all controllers crash, one restarts at once", func(r *rand.Rand, at time.Duration) []action {
		return []action{{at, killAllNodes}, {at + time.Duration(1+r.IntN(900))*time.Millisecond, startNode(r.IntN(3))}, {at + randomDuration(r, 3, 12), startAllNodes}}
	}},
	{"slow state service", func(r *rand.Rand, at time.Duration) []action {
		slow := func(d time.Duration) func(*simulator.World) {
			return func(w *simulator.World) { w.StateFaults.Update(func(f *simulator.Faults) { f.MaxDelay = d }) }
		}
		return []action{{at, slow(randomDuration(r, 0, 2) + 200*time.Millisecond)}, {at + randomDuration(r, 5, 30), slow(0)}}
	}},
}

// raceFaults are kinds of faults and of user behaviour that provoke the races of races_test.go.
var raceFaults = []faultKind{
	{"write responses lost", func(r *rand.Rand, at time.Duration) []action {
		lose := func(share float64) func(*simulator.World) {
			return func(w *simulator.World) {
				w.StateFaults.Update(func(f *simulator.Faults) { f.WithholdResponse, f.LatePath = share, wire.CommitPath })
			}
		}
		return []action{{at, lose(0.1 + 0.5*r.Float64())}, {at + randomDuration(r, 10, 40), lose(0)}}
	}},
	{"machines lose outbound messages", func(r *rand.Rand, at time.Duration) []action {
		every := 2 + r.IntN(4)
		isolated := map[*simulator.Worker]bool{}
		return []action{{at, func(w *simulator.World) {
			for i, k := range w.Cloud.Workers() {
				if i%every == 0 {
					k.SetOutboundLost(true)
					isolated[k] = true
				}
			}
		}}, {at + randomDuration(r, 5, 60), func(*simulator.World) {
			for k := range isolated {
				k.SetOutboundLost(false)
			}
		}}}
	}},
	{"old reports reach the next leader", func(r *rand.Rand, at time.Duration) []action {
		o := &reportReplayer{random: rand.New(rand.NewPCG(r.Uint64(), 1))}
		capture := func(f func(string, []byte)) func(*simulator.World) {
			return func(w *simulator.World) {
				for _, n := range w.NodeFaults {
					n.Update(func(n *simulator.Faults) { n.OnRequest = f })
				}
			}
		}
		killed, end := 0, at+randomDuration(r, 5, 15)
		return []action{{at, capture(o.capture)}, {end, func(w *simulator.World) {
			killed = max(w.Leader(), 0)
			w.Kill(killed)
			for range 30 {
				time.Sleep(200 * time.Millisecond)
				o.replay(w, 8)
			}
		}}, {end + time.Duration(1+r.IntN(900))*time.Millisecond, func(w *simulator.World) { w.StartNode(killed) }}, {end + 7*time.Second, capture(nil)}}
	}},
	{"machines hang as their jobs are cancelled", func(r *rand.Rand, at time.Duration) []action {
		many, h := 1+r.IntN(5), &activeFaults{}
		return []action{{at, func(w *simulator.World) {
			jobs := map[string]bool{}
			for _, k := range w.Cloud.Workers() {
				for _, task := range k.RunningTasks() {
					job, _, _ := strings.Cut(task, "/")
					if len(jobs) < many && !jobs[job] {
						jobs[job] = true
						go w.Cancel(job)
					}
					if jobs[job] && len(h.hungWorkers) < 8 && !slices.Contains(h.hungWorkers, k) {
						h.hungWorkers = append(h.hungWorkers, k)
					}
				}
			}
			time.Sleep(100 * time.Millisecond)
			for _, k := range h.hungWorkers {
				k.SetHung(true)
			}
		}}, {at + randomDuration(r, 3, 50), h.resumeWorkers}}
	}},
	{"jobs cancelled as they complete", func(r *rand.Rand, at time.Duration) []action {
		e := &completionRaces{random: simulator.NewStreams(r.Uint64())}
		return []action{{at, e.install}, {at + randomDuration(r, 10, 40), func(w *simulator.World) { w.OnLastTaskDone(nil) }}}
	}},
	{"reads after confirmations", func(r *rand.Rand, at time.Duration) []action {
		l := &followUpRequests{random: simulator.NewStreams(r.Uint64())}
		return []action{{at, l.install}, {at + randomDuration(r, 10, 40), func(w *simulator.World) { w.OnUserState(nil) }}}
	}},
	{"invalid requests", func(r *rand.Rand, at time.Duration) []action {
		o := rand.New(rand.NewPCG(r.Uint64(), 1))
		duration := randomDuration(r, 10, 40)
		return []action{{at, func(w *simulator.World) { sendInvalidRequests(w, o, duration) }}, {at + duration, func(*simulator.World) {}}}
	}},
	{"leader changes", func(r *rand.Rand, at time.Duration) []action {
		var actions []action
		for range 2 + r.IntN(4) {
			killed := 0
			actions = append(actions, action{at, func(w *simulator.World) { killed = max(w.Leader(), 0); w.Kill(killed) }},
				action{at + time.Duration(1+r.IntN(900))*time.Millisecond, func(w *simulator.World) { w.StartNode(killed) }})
			at += randomDuration(r, 4, 12)
		}
		return actions
	}},
	{"all controllers down", func(r *rand.Rand, at time.Duration) []action {
		return []action{{at, killAllNodes}, {at + randomDuration(r, 12, 30), startAllNodes}}
	}},
}

// sendInvalidRequests sends requests of users who resubmit known jobs, cancel jobs that are done, and
// submit jobs that fit no machine or lack a field. No node may accept any of these as a new job.
func sendInvalidRequests(w *simulator.World, r *rand.Rand, duration time.Duration) {
	n := 0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		states := w.AcceptedJobs()
		for _, id := range slices.Sorted(maps.Keys(states)) {
			if r.IntN(8) > 0 {
				continue
			}
			otherTeam := array(0, 1, 1)
			otherTeam.ID, otherTeam.Team = id, "nobody"
			node, body := r.IntN(3), []any{nil, map[string]any{"uid": id}, &otherTeam}[r.IntN(3)]
			go w.Resubmit(node, id, body)
			if states[id] == "done" {
				go w.CancelAt(node, id)
			}
		}
		n++
		tooLarge, incomplete := array(990000+n, 1, 1), map[string]any{"uid": fmt.Sprintf("job-%06d", 980000+n), "herd": "sweep", "crew": "blue"}
		tooLarge.CPUs = 500
		for i := range 3 {
			go func() {
				for what, body := range map[string]any{"fits no machine": &tooLarge, "lacks a field": incomplete} {
					switch status := w.PostJob(i, body); status {
					case 0, http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusServiceUnavailable:
					default:
						w.ReportViolation("a submission of a job that %s is answered with status %d", what, status)
					}
				}
				if state := w.PollAt(i, tooLarge.ID); state != "" && state != "unknown" {
					w.ReportViolation("a job that fits no machine is %s", state)
				}
			}()
		}
	}
}

// delayWrites returns an action that leaves a share of the transactions unanswered and executes them
// 2 to 12 s later, after newer ones. A share of 0 ends it.
func delayWrites(share float64) func(*simulator.World) {
	return func(w *simulator.World) {
		w.StateFaults.Update(func(f *simulator.Faults) {
			f.ExecuteLate, f.LateDelay, f.LateJitter, f.LatePath = share, 2*time.Second, 10*time.Second, wire.CommitPath
		})
	}
}

// duplicateReports returns an action that makes copies of a share of the workers' reports arrive
// again 2 to 30 s later, which may be well after a lease. Other requests to the nodes are copied in
// the same way. A share of 0 ends it.
func duplicateReports(share float64) func(*simulator.World) {
	return func(w *simulator.World) {
		for _, n := range w.NodeFaults {
			duplicateRequests(n, share, 2*time.Second, 30*time.Second)
		}
	}
}

// leaderPartition partitions the leader from the state service and the other controllers, but not from
// workers and users. node is the partitioned controller.
type leaderPartition struct{ node int }

func (a *leaderPartition) partition(w *simulator.World) {
	a.node = max(w.Leader(), 0)
	partitionNode(w, a.node, w.StateAddr(), true)
	w.BlockPeerLinksOf(a.node, true)
}

func (a *leaderPartition) heal(w *simulator.World) {
	partitionNode(w, a.node, w.StateAddr(), false)
	w.BlockPeerLinksOf(a.node, false)
}

// TestRandomFaultCombinations runs random scenarios, by seed, in which two or three faults begin in
// the same half minute. At least one of them is of combinationFaults or raceFaults. No invariant
// may be violated, and every job that was not cancelled must run or be done once the faults are
// over. The long form, outside CI:
//
//	go test ./internal/simulator -run TestRandomFaultCombinations -meetings 500
func TestRandomFaultCombinations(t *testing.T) {
	required := slices.Concat(combinationFaults, raceFaults)
	kinds := slices.Concat(required, partitionFaults)
	for seed := range *randomCombinationRuns {
		r := rand.New(rand.NewPCG(uint64(seed), 33))
		chosen := []int{r.IntN(len(required))}
		for many := 2 + r.IntN(2); len(chosen) < many; {
			if k := r.IntN(len(kinds)); !slices.Contains(chosen, k) {
				chosen = append(chosen, k)
			}
		}
		var faults []faultKind
		for _, k := range chosen {
			faults = append(faults, kinds[k])
		}
		sc := randomScenario(r, seed, uint64(7000+seed), faults, 40, 70)
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			runPartitionScenario(t, sc)
		})
	}
}
