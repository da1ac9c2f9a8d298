package simulator_test

import (
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

// runAtEachBudget runs a scenario at both state budgets with each seed, side by side, and returns when all
// have ended. build returns the scenario, its workload, and a function that reports afterwards what did
// not occur; "" if all occurred. What the scenarios share must be safe for concurrent use.
func runAtEachBudget(t *testing.T, build func(seed uint64) (scenario, func(*testing.T, *users), func() string)) {
	t.Run("budgets", func(t *testing.T) {
		for _, budget := range stateBudgets {
			for _, seed := range raceSeeds {
				t.Run(fmt.Sprint(budget.name, "-", seed), func(t *testing.T) {
					t.Parallel()
					sc, jobs, missing := build(seed)
					sc.seed = seed
					runScenario(t, sc, budget.platform(), machineTypes[:1], jobs)
					if what := missing(); what != "" {
						t.Errorf("the scenario lacks %s", what)
					}
				})
			}
		}
	})
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
	var mu sync.Mutex
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
					mu.Lock()
					for _, k := range writeKinds(body) {
						lostByKind[k]++
					}
					mu.Unlock()
				}
			}
			lose(0.4)(w)
			w.WorkerFaults.ExecuteLate, w.WorkerFaults.LateDelay, w.WorkerFaults.LateJitter, w.WorkerFaults.LatePath = 0.5, s, 20*s, wire.CommandsPath
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
