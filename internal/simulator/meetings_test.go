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

var randomCombinationRuns = flag.Int("meetings", 8, "how many drawn days TestDrawnMeetings plays")

// refused is a day on which the state service refuses the leader alone, another
// controller confirms cancellations to users, and then nobody has the state service for
// longer than a cancellation may take, while workers stay with the old leader.
type leaderRefused struct {
	cancelAfter       time.Duration // from the refusal to the first cancellations
	outageAfter       time.Duration // from the refusal to the outage
	outageLength      time.Duration // the outage; 0: longer than a cancellation may take
	newLeader         bool          // another leads by then, and workers hear it
	setup             func(w *simulator.World)
	extraActions      []action // times count from the refusal
	confirmed         int      // cancellations that were told before the outage began
	confirmedEarly    int      // and by the time it had lasted a second
	servedByOldLeader int      // workers with tasks that the old leader answered in the outage
	oldLeader         int
}

// refuseOne refuses one node the state service, or serves it again.
func setStateRefused(w *simulator.World, i int, refused bool) {
	w.StateFaults.Update(func(f *simulator.Faults) { f.RefuseClients[w.NodeAddr(i)] = refused })
}

// play plays the day: long tasks of every kind run by the minute, some jobs are
// cancelled in the refusal.
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
				case i < 12: // cancelled while the leader is refused
					time.Sleep(time.Until(u.startedAt.Add(refusedAt + d.cancelAfter + time.Duration(i)*20*time.Millisecond)))
					if w.Cancel(job.ID) == "aborted" && (outage.IsZero() || time.Since(outage) < s) {
						d.confirmedEarly++
						if outage.IsZero() {
							d.confirmed++
						}
					}
				case i%3 == 0: // a service that goes on
					time.Sleep(refusedAt + d.outageAfter + outageLength + 60*s)
					u.expectState(job.ID, "running")
				default:
					u.expectState(job.ID, "done")
				}
			})
		}
	})
	jobs, longest := world.CancellationDelay()
	t.Logf("%d cancellations told before the outage, %d within a second of it; %d jobs had tasks then, the last was gone after %v; the old leader answered %d workers with tasks in the outage",
		d.confirmed, d.confirmedEarly, jobs, longest.Round(100*time.Millisecond), d.servedByOldLeader)
	if d.confirmedEarly < 4 || jobs < 4 {
		t.Error("hardly anything was cancelled in time: the day shows nothing")
	}
	if !d.newLeader && d.servedByOldLeader == 0 {
		t.Error("no worker stayed with the old leader: the day shows nothing")
	}
	if d.newLeader && world.Leader() == d.oldLeader {
		t.Error("nobody else led")
	}
}

// TestRefusedThenOut: the tasks of jobs whose cancellation another controller has
// confirmed are gone in time, although the workers stay with a leader that the state
// service refused before it failed for all. The outage begins right after the
// confirmations, before and after the leader's lease is over, before and after another
// has the term. Without the bound on what is answered unread, ran_cancelled is broken.
func TestLeaderRefusedThenOutage(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	peers := func(blocked bool) func(*simulator.World) {
		return func(w *simulator.World) { w.BlockPeerLinks(blocked) }
	}
	for _, c := range []struct {
		name     string
		scenario leaderRefused
	}{
		{"right after a confirmation", leaderRefused{cancelAfter: 0, outageAfter: 200 * ms}},
		{"before its lease is over", leaderRefused{cancelAfter: 500 * ms, outageAfter: 2 * s}},
		{"cancelled as it is refused, out a second later", leaderRefused{cancelAfter: 0, outageAfter: s}},
		{"its lease is over, nobody else leads", leaderRefused{cancelAfter: s, outageAfter: 2900 * ms}},
		{"another has the term", leaderRefused{cancelAfter: s, outageAfter: 4 * s, newLeader: true}},
		{"another leads, and some workers heard it", leaderRefused{cancelAfter: 2 * s, outageAfter: 7 * s, newLeader: true}},
		{"peers are refused too", leaderRefused{cancelAfter: 500 * ms, outageAfter: 2 * s, extraActions: []action{{0, peers(true)}}}},
		{"peers are refused in the outage", leaderRefused{cancelAfter: 500 * ms, outageAfter: 2 * s, extraActions: []action{{4 * s, peers(true)}, {30 * s, peers(false)}}}},
		{"who confirmed ends in the outage and is back", leaderRefused{cancelAfter: 500 * ms, outageAfter: 2 * s}},
		{"the leader stands still for seconds", leaderRefused{cancelAfter: 500 * ms, outageAfter: 2 * s}},
		{"machines hang and go on", leaderRefused{cancelAfter: 500 * ms, outageAfter: 2 * s}},
		{"starts are under way", leaderRefused{cancelAfter: 500 * ms, outageAfter: 2 * s, setup: func(w *simulator.World) {
			w.WorkerFaults.ExecuteLate, w.WorkerFaults.LateDelay, w.WorkerFaults.LateJitter, w.WorkerFaults.LatePath = 0.5, 20*s, 50*s, wire.CommandsPath
		}}},
	} {
		d := &c.scenario
		h := &activeFaults{}
		switch {
		case strings.HasPrefix(c.name, "who confirmed"):
			for i := range 2 {
				other := func(w *simulator.World) int { return (d.oldLeader + 1 + i) % 3 }
				d.extraActions = append(d.extraActions, action{5 * s, func(w *simulator.World) { w.Kill(other(w)) }}, action{5*s + 300*ms, func(w *simulator.World) { w.StartNode(other(w)) }})
			}
		case strings.HasPrefix(c.name, "the leader stands"):
			d.extraActions = []action{{1500 * ms, func(w *simulator.World) { w.Freeze(d.oldLeader, true) }}, {9 * s, func(w *simulator.World) { w.Freeze(d.oldLeader, false) }}}
		case strings.HasPrefix(c.name, "machines hang"):
			d.extraActions = []action{{s, h.hangWorkers}, {12 * s, h.resumeWorkers}, {30 * s, h.hangWorkers}, {40 * s, h.resumeWorkers}}
		}
		t.Run(c.name, func(t *testing.T) { d.run(t, 80) })
	}
}

// meetingKinds are the kinds that TestDrawnMeetings combines with those of cuts.
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
	{"machines deaf", func(r *rand.Rand, at time.Duration) []action {
		one, in := r.IntN(2) == 0, 2+r.IntN(4)
		zone := []string{"a", "b", "c"}[r.IntN(3)]
		isolated := map[string]bool{}
		return []action{{at, func(w *simulator.World) {
			for i, k := range w.Cloud.Workers() {
				if one && k.Zone() == zone || !one && i%in == 0 {
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
	{"leader cut from state and peers", func(r *rand.Rand, at time.Duration) []action {
		cut := &leaderPartition{}
		return []action{{at, cut.partition}, {at + randomDuration(r, 5, 60), cut.heal}}
	}},
	{"leader refused, then all", func(r *rand.Rand, at time.Duration) []action {
		leader, outageStart := 0, at+time.Duration(r.IntN(8000))*time.Millisecond
		outageEnd := outageStart + randomDuration(r, 5, 60)
		return []action{{at, func(w *simulator.World) { leader = max(w.Leader(), 0); setStateRefused(w, leader, true) }}, {outageStart, setStateDown(true)}, {outageEnd, setStateDown(false)},
			{outageEnd + randomDuration(r, 0, 20), func(w *simulator.World) { setStateRefused(w, leader, false) }}}
	}},
	{"all end, one is back at once", func(r *rand.Rand, at time.Duration) []action {
		return []action{{at, killAllNodes}, {at + time.Duration(1+r.IntN(900))*time.Millisecond, startNode(r.IntN(3))}, {at + randomDuration(r, 3, 12), startAllNodes}}
	}},
	{"slow state", func(r *rand.Rand, at time.Duration) []action {
		slow := func(d time.Duration) func(*simulator.World) {
			return func(w *simulator.World) { w.StateFaults.Update(func(f *simulator.Faults) { f.MaxDelay = d }) }
		}
		return []action{{at, slow(randomDuration(r, 0, 2) + 200*time.Millisecond)}, {at + randomDuration(r, 5, 30), slow(0)}}
	}},
}

// newKinds are the kinds of trouble that the operators named last.
var raceFaults = []faultKind{
	{"answers lost", func(r *rand.Rand, at time.Duration) []action {
		lose := func(share float64) func(*simulator.World) {
			return func(w *simulator.World) {
				w.StateFaults.Update(func(f *simulator.Faults) { f.WithholdResponse, f.LatePath = share, wire.CommitPath })
			}
		}
		return []action{{at, lose(0.1 + 0.5*r.Float64())}, {at + randomDuration(r, 10, 40), lose(0)}}
	}},
	{"machines mute", func(r *rand.Rand, at time.Duration) []action {
		in := 2 + r.IntN(4)
		isolated := map[*simulator.Worker]bool{}
		return []action{{at, func(w *simulator.World) {
			for i, k := range w.Cloud.Workers() {
				if i%in == 0 {
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
	{"old reports for the next leader", func(r *rand.Rand, at time.Duration) []action {
		o := &reportReplayer{random: rand.New(rand.NewPCG(r.Uint64(), 1))}
		keep := func(f func(string, []byte)) func(*simulator.World) {
			return func(w *simulator.World) {
				for _, n := range w.NodeFaults {
					n.Update(func(n *simulator.Faults) { n.OnRequest = f })
				}
			}
		}
		killed, end := 0, at+randomDuration(r, 5, 15)
		return []action{{at, keep(o.capture)}, {end, func(w *simulator.World) {
			killed = max(w.Leader(), 0)
			w.Kill(killed)
			for range 30 {
				time.Sleep(200 * time.Millisecond)
				o.replay(w, 8)
			}
		}}, {end + time.Duration(1+r.IntN(900))*time.Millisecond, func(w *simulator.World) { w.StartNode(killed) }}, {end + 7*time.Second, keep(nil)}}
	}},
	{"cancelled now, machines hang", func(r *rand.Rand, at time.Duration) []action {
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
	{"cancelled at the end", func(r *rand.Rand, at time.Duration) []action {
		e := &completionRaces{random: simulator.NewStreams(r.Uint64())}
		return []action{{at, e.install}, {at + randomDuration(r, 10, 40), func(w *simulator.World) { w.OnLastTaskDone(nil) }}}
	}},
	{"close looks", func(r *rand.Rand, at time.Duration) []action {
		l := &followUpRequests{random: simulator.NewStreams(r.Uint64())}
		return []action{{at, l.install}, {at + randomDuration(r, 10, 40), func(w *simulator.World) { w.OnUserState(nil) }}}
	}},
	{"odd requests", func(r *rand.Rand, at time.Duration) []action {
		o := rand.New(rand.NewPCG(r.Uint64(), 1))
		duration := randomDuration(r, 10, 40)
		return []action{{at, func(w *simulator.World) { sendInvalidRequests(w, o, duration) }}, {at + duration, func(*simulator.World) {}}}
	}},
	{"leaders change", func(r *rand.Rand, at time.Duration) []action {
		var actions []action
		for range 2 + r.IntN(4) {
			killed := 0
			actions = append(actions, action{at, func(w *simulator.World) { killed = max(w.Leader(), 0); w.Kill(killed) }},
				action{at + time.Duration(1+r.IntN(900))*time.Millisecond, func(w *simulator.World) { w.StartNode(killed) }})
			at += randomDuration(r, 4, 12)
		}
		return actions
	}},
	{"all away", func(r *rand.Rand, at time.Duration) []action {
		return []action{{at, killAllNodes}, {at + randomDuration(r, 12, 30), startAllNodes}}
	}},
}

// oddRequests are users who submit again what is not over, cancel what is done, and send jobs
// that fit no machine or lack a field: none of those is ever accepted, by any node.
func sendInvalidRequests(w *simulator.World, r *rand.Rand, duration time.Duration) {
	n := 0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		known := w.AcceptedJobs()
		for _, id := range slices.Sorted(maps.Keys(known)) {
			if r.IntN(8) > 0 {
				continue
			}
			foreign := array(0, 1, 1)
			foreign.ID, foreign.Team = id, "nobody"
			node, body := r.IntN(3), []any{nil, map[string]any{"uid": id}, &foreign}[r.IntN(3)]
			go w.Resubmit(node, id, body)
			if known[id] == "done" {
				go w.CancelAt(node, id)
			}
		}
		n++
		large, lacking := array(990000+n, 1, 1), map[string]any{"uid": fmt.Sprintf("job-%06d", 980000+n), "herd": "sweep", "crew": "blue"}
		large.CPUs = 500
		for i := range 3 {
			go func() {
				for what, body := range map[string]any{"fits no machine": &large, "lacks a field": lacking} {
					switch status := w.PostJob(i, body); status {
					case 0, http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusServiceUnavailable:
					default:
						w.ReportViolation("a job that %s is answered %d", what, status)
					}
				}
				if state := w.PollAt(i, large.ID); state != "" && state != "unknown" {
					w.ReportViolation("a job that fits no machine is %s", state)
				}
			}()
		}
	}
}

// lateWrites has a share of the transactions get no answer and be carried out 2 to 12 s
// later, after newer ones.
func delayWrites(share float64) func(*simulator.World) {
	return func(w *simulator.World) {
		w.StateFaults.Update(func(f *simulator.Faults) {
			f.ExecuteLate, f.LateDelay, f.LateJitter, f.LatePath = share, 2*time.Second, 10*time.Second, wire.CommitPath
		})
	}
}

// lateReports has a copy of a share of the workers' reports arrive again, from 2 s to
// well over a lease later.
func duplicateReports(share float64) func(*simulator.World) {
	return func(w *simulator.World) {
		for _, n := range w.NodeFaults {
			n.Update(func(f *simulator.Faults) {
				f.Duplicate, f.LateDelay, f.LateJitter = share, 2*time.Second, 28*time.Second
			})
		}
	}
}

// apart cuts the leader off from the state service and the other controllers, not from
// workers and users.
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

// TestDrawnMeetings plays days on which two or three troubles meet in the same half
// minute, those of meetings among those of cuts, drawn by seed: no rule is broken, and
// every job that was not cancelled runs or is done once they are over. The long form,
// outside CI:
//
//	go test ./internal/simulator -run TestDrawnMeetings -meetings 500
func TestRandomFaultCombinations(t *testing.T) {
	ours := slices.Concat(combinationFaults, raceFaults)
	kinds := slices.Concat(ours, partitionFaults)
	for seed := range *randomCombinationRuns {
		r := rand.New(rand.NewPCG(uint64(seed), 33))
		chosen := []int{r.IntN(len(ours))}
		for many := 2 + r.IntN(2); len(chosen) < many; {
			if k := r.IntN(len(kinds)); !slices.Contains(chosen, k) {
				chosen = append(chosen, k)
			}
		}
		var troubles []faultKind
		for _, k := range chosen {
			troubles = append(troubles, kinds[k])
		}
		sc := randomScenario(r, seed, uint64(7000+seed), troubles, 40, 70)
		t.Run(sc.name, func(t *testing.T) { runPartitionScenario(t, sc) })
	}
}
