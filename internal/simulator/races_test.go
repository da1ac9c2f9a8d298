package simulator_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"aspenstall/internal/config"
	"aspenstall/internal/simulator"
	"aspenstall/internal/wire"
)

// stateBudgets are the two request budgets of the state service that runAtEachBudget uses. The tight
// one allows 25 writes a second.
var stateBudgets = []struct {
	name     string
	platform func() config.Platform
}{
	{"roomy", twoTeams},
	{"tight", func() config.Platform {
		p := twoTeams()
		p.Params.State.RPS, p.Params.State.WriteRPS = 150, 25
		return p
	}},
}

// twoTeams returns settings with two teams that have equal guarantees and limits.
func twoTeams() config.Platform {
	p := platform()
	p.Params.Teams = p.Params.Teams[:0]
	addTeam(&p, "blue", 40, 60, 0, 0)
	addTeam(&p, "green", 40, 60, 0, 0)
	return p
}

// raceSeeds are the seeds that runAtEachBudget uses.
var raceSeeds = []uint64{401, 402}

// runAtEachBudget runs a scenario at both state budgets with each seed. build returns the scenario, its
// workload, and a function that reports afterwards what did not occur; "" if all occurred.
func runAtEachBudget(t *testing.T, build func(seed uint64) (scenario, func(*testing.T, *users), func() string)) {
	for _, budget := range stateBudgets {
		for _, seed := range raceSeeds {
			t.Run(fmt.Sprint(budget.name, "-", seed), func(t *testing.T) {
				sc, jobs, missing := build(seed)
				sc.seed = seed
				runScenario(t, sc, budget.platform(), machineTypes[:1], jobs)
				if what := missing(); what != "" {
					t.Errorf("the scenario lacks %s", what)
				}
			})
		}
	}
}

// followUpRequests polls all nodes repeatedly within milliseconds after a user got a job's state,
// and repeats the submission, also with other bodies. Some users cancel the job at once.
type followUpRequests struct {
	w              *simulator.World
	mu             sync.Mutex
	random         *simulator.Streams // by job
	cancels        bool               // some jobs of submitShortJobs are cancelled at once
	confirmations  int                // states answered to users and followed up
	answers        [3]int             // polls and submissions with an answer, by node
	unanswered     [3]int             // those without an answer, by node
	repeats        int                // repeated submissions that were answered with status 200
	repeatsChanged int                // those of them whose body would be refused for a new job
}

// install makes the world call onConfirmation for each state answered to a user.
func (l *followUpRequests) install(w *simulator.World) {
	l.w = w
	w.OnUserState(l.onConfirmation)
}

// countAnswer counts an answer of node i; the state "" stands for none.
func (l *followUpRequests) countAnswer(i int, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == "" {
		l.unanswered[i]++
	} else {
		l.answers[i]++
	}
}

// resubmit repeats a submission at node i, with another body if one is given.
func (l *followUpRequests) resubmit(i int, id string, body any) {
	status, state := l.w.Resubmit(i, id, body)
	l.countAnswer(i, state)
	l.mu.Lock()
	defer l.mu.Unlock()
	if status != http.StatusOK {
		return
	}
	l.repeats++
	if body != nil {
		l.repeatsChanged++
	}
}

// onConfirmation polls a job at all nodes, and repeats its submission there.
func (l *followUpRequests) onConfirmation(id string) {
	l.mu.Lock()
	l.confirmations++
	r := l.random.Stream(id)
	cancel := l.cancels && id >= "job-001000" && r.IntN(6) == 0
	first, pause := r.IntN(3), time.Duration(r.IntN(8000))*time.Microsecond
	incomplete := map[string]any{"uid": id, "herd": "sweep"}
	otherTeam := array(0, 1, 1)
	otherTeam.ID, otherTeam.Team = id, "nobody"
	tooLarge := otherTeam
	tooLarge.Team, tooLarge.CPUs = "blue", 4000
	l.mu.Unlock()
	for i := range 3 {
		go func() {
			l.countAnswer(i, l.w.PollAt(i, id))
			time.Sleep(pause)
			l.countAnswer(i, l.w.PollAt(i, id))
		}()
		go l.resubmit(i, id, nil)
		go func() {
			time.Sleep(pause / 2)
			l.resubmit(i, id, []any{incomplete, &otherTeam, &tooLarge}[i])
		}()
	}
	if cancel {
		go func() {
			time.Sleep(pause)
			l.w.CancelAt(first, id)
			l.w.Cancel(id)
		}()
	}
}

// submitShortJobs submits jobs of a few tasks at regular intervals between two times since the start.
// It expects each to end; the checker verifies the states that are answered afterwards.
func submitShortJobs(u *users, from, until, every time.Duration) {
	for i, at := 0, from; at < until; i, at = i+1, at+every {
		job := array(1000+i, 1+i%3, float64(3+i%9))
		if i%2 == 1 {
			job.Team = "green"
		}
		u.after(at, func() {
			if u.w.Submit(job) {
				u.expectEnd(job.ID)
			}
		})
	}
}

// expectEnd waits up to 400 s until a job is done or cancelled, and records a failure if it is not.
func (u *users) expectEnd(id string) {
	for end := time.Now().Add(400 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		if s := u.w.Poll(id); s == "done" || s == "aborted" {
			return
		}
	}
	u.mu.Lock()
	u.unfinished = append(u.unfinished, id+" does not end")
	u.mu.Unlock()
}

// TestReadsAfterConfirmation tests reads right after a job was accepted, was done or was confirmed as
// cancelled: users poll all nodes within milliseconds, and repeat the submission; some cancel at once.
// No node may answer with an older state or refuse a job that was accepted. This holds also for a
// node that has just started or that the state service has just refused.
func TestReadsAfterConfirmation(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	runAtEachBudget(t, func(seed uint64) (scenario, func(*testing.T, *users), func() string) {
		l := &followUpRequests{random: simulator.NewStreams(seed), cancels: true}
		restarted := int(seed) % 3
		other := (restarted + 1) % 3
		at := func(d time.Duration) time.Duration { return d + time.Duration(seed%7)*150*ms }
		sc := scenario{setup: l.install, setupFaultsEnd: true, actions: []action{
			{at(30 * s), killNode(restarted)}, {at(30*s + 300*ms), startNode(restarted)},
			// Whether a user gets a state in these 0.3 s is random; this call ensures one follow-up.
			{at(30*s + 100*ms), func(*simulator.World) { l.onConfirmation("job-001000") }},
			{at(45 * s), func(w *simulator.World) { setStateRefused(w, other, true) }}, {at(62 * s), func(w *simulator.World) { setStateRefused(w, other, false) }},
			{at(70 * s), killAllNodes}, {at(70*s + 200*ms), startNode(other)}, {at(72 * s), startAllNodes},
		}}
		return sc, func(_ *testing.T, u *users) { submitShortJobs(u, 20*s, 90*s, 400*ms) }, func() string {
			t.Logf("%d states followed up, answers %v, unanswered %v, repeated submissions %d, of these with another body %d", l.confirmations, l.answers, l.unanswered, l.repeats, l.repeatsChanged)
			switch {
			case l.confirmations < 200 || slices.Min(l.answers[:]) < 200:
				return "answers of every node"
			case l.unanswered[restarted] == 0 || l.unanswered[other] == 0:
				return "unanswered requests to the restarted and the refused node"
			case l.repeats < 200 || l.repeatsChanged < 60:
				return "repeated submissions"
			}
			return ""
		}
	})
}

// writeKinds returns the kinds of writes in a transaction, named by key prefix.
func writeKinds(body []byte) (kinds []string) {
	var txn wire.Txn
	if wire.Unmarshal(body, &txn) != nil {
		return nil
	}
	name := func(key, how string) {
		for _, p := range []string{"c/job/", "c/leader", "c/catalog", "b/open/", "b/done/", "b/machine/", "b/rent/", "b/kept/"} {
			if strings.HasPrefix(key, p) {
				kinds = append(kinds, how+p)
			}
		}
	}
	for _, op := range txn.Then {
		switch {
		case op.Put == "":
			name(op.Delete, "drop ")
		case op.Put == "c/leader" && txn.If[0].ModRevision > 0:
			kinds = append(kinds, "raised c/leader")
		default:
			name(op.Put, "")
		}
	}
	if len(txn.Then) > 1 {
		kinds = append(kinds, "batch")
	}
	return kinds
}

// TestWriteResponseLost tests transactions that are executed at once and of which only the response is
// lost, while other nodes read what they wrote. The writer must treat the outcome as unknown: it
// neither reports nor acts as if the write had failed, and a retry finds its own write by reading it.
func TestWriteResponseLost(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	lostByKind := map[string]int{}
	runAtEachBudget(t, func(seed uint64) (scenario, func(*testing.T, *users), func() string) {
		l := &followUpRequests{random: simulator.NewStreams(seed), cancels: true}
		lost := 0
		lose := func(share float64) func(*simulator.World) {
			return func(w *simulator.World) {
				w.StateFaults.Update(func(f *simulator.Faults) { f.WithholdResponse, f.LatePath = share, wire.CommitPath })
			}
		}
		h := &activeFaults{}
		sc := scenario{setupFaultsEnd: true, setup: func(w *simulator.World) {
			l.install(w)
			w.StateFaults.OnUnanswered = func(_ string, status int, body []byte) {
				if status == http.StatusOK {
					lost++
					for _, k := range writeKinds(body) {
						lostByKind[k]++
					}
				}
			}
			lose(0.4)(w)
			w.WorkerFaults.ExecuteLate, w.WorkerFaults.LateDelay, w.WorkerFaults.LateJitter, w.WorkerFaults.LatePath = 0.2, s, 20*s, wire.CommandsPath
		}, actions: []action{{45 * s, killAllNodes}, {45*s + 300*ms, startAllNodes}, {60 * s, h.hangWorkers}, {70 * s, h.resumeWorkers}, {75 * s, killAllNodes}, {75*s + 300*ms, startAllNodes}, {100 * s, lose(0)}, {100 * s, func(w *simulator.World) {
			w.WorkerFaults.Update(func(f *simulator.Faults) { f.ExecuteLate = 0 })
		}}}}
		jobs := func(t *testing.T, u *users) {
			submitShortJobs(u, 5*s, 90*s, 700*ms)
			smallJobsWorkload(t, u)
		}
		return sc, jobs, func() string {
			if lost < 30 {
				return "lost responses"
			}
			return ""
		}
	})
	for _, k := range []string{"c/job/", "b/open/", "b/done/", "b/machine/", "b/rent/", "c/leader", "raised c/leader", "drop b/open/", "drop b/rent/", "batch"} {
		if lostByKind[k] == 0 {
			t.Errorf("no response to a write of %s was lost", k)
		}
	}
	t.Logf("lost responses by kind of write: %v", lostByKind)
}

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

// reportReplayer captures workers' reports, and sends copies of them to every node later.
type reportReplayer struct {
	mu            sync.Mutex
	random        *rand.Rand
	captured      []capturedReport
	takenByLeader int // copies that the leader answered with status 200
	copies        int // copies sent
}

// capturedReport is the body of a report and when it arrived.
type capturedReport struct {
	at   time.Time
	body []byte
}

// capture keeps a request if it is a worker's report.
func (o *reportReplayer) capture(path string, body []byte) {
	if path != wire.ReportPath {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.captured = append(o.captured, capturedReport{time.Now(), bytes.Clone(body)})
}

// replay sends copies of up to count random reports of the last half minute to every node.
func (o *reportReplayer) replay(w *simulator.World, count int) {
	o.mu.Lock()
	var copies []capturedReport
	for len(copies) < count && len(o.captured) > 0 {
		k := o.captured[o.random.IntN(len(o.captured))]
		if time.Since(k.at) < 30*time.Second {
			copies = append(copies, k)
		} else {
			count--
		}
	}
	o.mu.Unlock()
	slices.SortFunc(copies, func(a, b capturedReport) int { return a.at.Compare(b.at) })
	for i := range 3 {
		go func() {
			for _, k := range copies {
				status := w.SendReportCopy(i, k.body)
				o.mu.Lock()
				o.copies++
				if status == http.StatusOK && w.Leader() == i {
					o.takenByLeader++
				}
				o.mu.Unlock()
			}
		}()
	}
}

// TestOldReportsDuringTakeover tests old reports that reach every controller just as a new leader's
// term begins. A report is evidence of what runs on a machine only if it can't have been sent before the
// worker saw the new token. Otherwise it must not release, complete, place or renew anything.
func TestOldReportsDuringTakeover(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	runAtEachBudget(t, func(seed uint64) (scenario, func(*testing.T, *users), func() string) {
		o := &reportReplayer{random: rand.New(rand.NewPCG(seed, 38))}
		var unreachable []*simulator.Worker
		leader := 0
		sc := scenario{setupFaultsEnd: true, setup: func(w *simulator.World) {
			for _, f := range w.NodeFaults {
				f.OnRequest = o.capture
			}
		}}
		for i := range 4 {
			at := 35*s + time.Duration(i)*25*s
			sc.actions = append(sc.actions, action{at - 3*s, func(w *simulator.World) {
				for n, k := range w.Cloud.Workers() {
					if (n+i)%4 == 0 {
						partitionWorker(w, k, true) // only copies of its old reports arrive
						unreachable = append(unreachable, k)
					}
				}
			}}, action{at, func(w *simulator.World) {
				leader = max(w.Leader(), 0)
				w.Kill(leader)
				for range 40 { // the next term begins about three seconds later
					time.Sleep(150 * ms)
					o.replay(w, 12)
				}
			}}, action{at + 300*ms, func(w *simulator.World) { w.StartNode(leader) }},
				action{at + 8500*ms, func(w *simulator.World) { o.replay(w, 40) }}, // the new leader has started, stopped and acknowledged tasks by then
				action{at + 9*s + time.Duration(i%2)*10*s, func(w *simulator.World) {
					for _, k := range unreachable {
						partitionWorker(w, k, false)
					}
					unreachable = nil
				}})
		}
		jobs := func(t *testing.T, u *users) {
			submitShortJobs(u, 10*s, 130*s, 900*ms)
			smallJobsWorkload(t, u)
		}
		return sc, jobs, func() string {
			t.Logf("%d copies of reports, %d accepted by a leader", o.copies, o.takenByLeader)
			if o.takenByLeader < 20 {
				return "copies of reports that a leader accepted"
			}
			return ""
		}
	})
}

// TestSteadySingleTaskJobs submits four one-task jobs a second for two minutes and cancels a quarter of
// them. It tests that acceptance, confirmation and completion stay within their target times, that
// other work continues, and that no backlog grows.
func TestSteadySingleTaskJobs(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	runAtEachBudget(t, func(seed uint64) (scenario, func(*testing.T, *users), func() string) {
		const minutes, rate = 2, 4
		var mu sync.Mutex
		var accepted, confirmed, ended []time.Duration
		lastEnded := []time.Duration{} // of the last quarter of the submissions
		before, after := 0, 0
		var w *simulator.World
		r := rand.New(rand.NewPCG(seed, 39))
		jobs := func(_ *testing.T, u *users) {
			w = u.w
			u.after(15*s, func() { _, before = w.State.RequestCounts() })
			u.after(15*s+minutes*time.Minute, func() { _, after = w.State.RequestCounts() })
			for i := range minutes * 60 * rate {
				job := array(2000+i, 1, 4+4*r.Float64())
				job.CPUs, job.ImageGB, job.DueS = 1, 0.1, nil
				cancel, wait := r.IntN(4) == 0, time.Duration(r.IntN(8000))*ms
				u.after(15*s+time.Duration(i)*s/rate, func() {
					from := time.Now()
					if !w.Submit(job) {
						t.Errorf("%s was not accepted", job.ID)
						return
					}
					took := time.Since(from)
					mu.Lock()
					accepted = append(accepted, took)
					mu.Unlock()
					if cancel {
						time.Sleep(wait)
						from = time.Now()
						w.Cancel(job.ID)
						mu.Lock()
						confirmed = append(confirmed, time.Since(from))
						mu.Unlock()
						return
					}
					u.expectEnd(job.ID)
					mu.Lock()
					ended = append(ended, time.Since(from))
					if i >= minutes*60*rate*3/4 {
						lastEnded = append(lastEnded, time.Since(from))
					}
					mu.Unlock()
				})
			}
			other := service(300, 4)
			u.after(30*s, func() {
				if w.Submit(other) {
					u.expectState(other.ID, "running")
				}
			})
		}
		return scenario{}, jobs, func() string {
			p95 := func(durations []time.Duration) time.Duration {
				slices.Sort(durations)
				return durations[len(durations)*95/100]
			}
			a, c, e := p95(accepted), p95(confirmed), p95(ended)
			slowest, late := p95(ended[len(ended)*3/4:]), p95(lastEnded)
			changes := float64(after-before) / (minutes * 60 * rate)
			t.Logf("of %d jobs: accepted within %v, confirmed within %v, done within %v (95th percentile); %.2f writes a job", len(accepted), a, c, e, changes)
			// A job takes the write of its record, of its started record, and of its final record
			// with the deletion of the started record; machines take few more. At five writes a job
			// a leader would exceed its share of 25 writes a second.
			if changes > 4.2 {
				t.Errorf("%.2f writes a job", changes)
			}
			if a > 500*ms || c > 500*ms || e > 40*s || slowest > 60*s || late > 40*s {
				t.Errorf("accepted within %v, confirmed within %v, done within %v, the slowest quarter within %v, those submitted last within %v", a, c, e, slowest, late)
			}
			if len(confirmed) < minutes*60*rate/5 {
				return "cancellations"
			}
			return ""
		}
	})
}
