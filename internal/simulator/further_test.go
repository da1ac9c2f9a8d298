package simulator_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"aspenstall/internal/simulator"
	"aspenstall/internal/wire"
)

// atTheEnd are users who call a job off, ask about it and submit it again as its last task
// ends.
type atTheEnd struct {
	w      *simulator.World
	random *simulator.Streams // by job
	mu     sync.Mutex
	final  map[string]string
}

func (e *atTheEnd) at(w *simulator.World) {
	e.w, e.final = w, map[string]string{}
	w.Last(e.last)
}

func (e *atTheEnd) last(id string) {
	e.mu.Lock()
	r := e.random.Of(id)
	within := []int{60, 700}[r.IntN(2)] // most jobs are done long before the latter
	cancel, ask := time.Duration(r.IntN(within))*time.Millisecond, time.Duration(r.IntN(700))*time.Millisecond
	node := r.IntN(3)
	e.mu.Unlock()
	for i := range 3 {
		go func() {
			time.Sleep(ask)
			e.w.PollAt(i, id)
			e.w.Repeat(i, id, nil)
		}()
	}
	time.Sleep(cancel)
	e.w.CancelAt(node, id)
	told := e.w.Cancel(id)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.final[id] = told
}

// bound are jobs that may run in one zone only, arrays and services, spread ones and arrays
// whose tasks have to be together.
func bound(_ *testing.T, u *users) {
	const s = time.Second
	for i := range 10 {
		job := array(100+i, 4, float64(10+3*i))
		job.DueS = nil
		switch i % 3 {
		case 0:
			job.Zone = []string{"a", "b", "c"}[i/3%3]
		case 1:
			job.OneZone = true
		}
		u.after(time.Duration(5*i)*s, func() { u.run(job) })
	}
	for i := range 6 {
		job := service(300+i, 3+i%3)
		switch i % 3 {
		case 0:
			job.Spread, job.Zone = false, "b"
		case 1:
			job.Spread, job.OneZone = false, true
		}
		u.after(0, func() {
			if u.w.Submit(job) {
				u.must(job.ID, "running")
				time.Sleep(170 * s)
				u.must(job.ID, "running")
				u.w.Cancel(job.ID)
			}
		})
	}
}

// TestFurtherMeetings brings about the other meetings that operators have named, each at both
// sizes of settings, and says if one did not happen.
func TestFurtherMeetings(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	type meeting struct {
		day
		jobs  func(*testing.T, *users)
		lacks func() string
	}
	leader := func() (end, back func(*simulator.World)) {
		lead := 0
		return func(w *simulator.World) { lead = max(w.Leader(), 0); w.Kill(lead) }, func(w *simulator.World) { w.StartNode(lead) }
	}
	for _, c := range []struct {
		name  string
		build func(seed uint64) meeting
	}{
		{"a cancellation, a question and a submission at the end of a job's last task", func(seed uint64) meeting {
			e := &atTheEnd{random: simulator.NewStreams(seed)}
			return meeting{day{setup: e.at, ends: true}, func(_ *testing.T, u *users) { short(u, 10*s, 100*s, 500*ms) }, func() string {
				n := map[string]int{}
				for _, f := range e.final {
					n[f]++
				}
				t.Logf("told at the end: %v", n)
				if n["done"] < 10 || n["aborted"] < 10 {
					return "jobs that were done and jobs that were cancelled"
				}
				return ""
			}}
		}},
		{"more work than room, urgent and not, over slow links", func(seed uint64) meeting {
			full := false
			d := day{ends: true, setup: func(w *simulator.World) {
				w.Cloud.Capacity = 10
				w.StateFaults.Delay, w.WorkerFaults.Delay = 300*ms, 1500*ms
				for _, f := range w.NodeFaults {
					f.Delay = 800 * ms
				}
			}, acts: []act{{50 * s, func(w *simulator.World) { full = w.Cloud.Machines() >= 10 }}, {90 * s, func(w *simulator.World) {
				for _, f := range append([]*simulator.Faults{w.StateFaults, w.WorkerFaults}, w.NodeFaults...) {
					f.Set(func(f *simulator.Faults) { f.Delay = 0 })
				}
			}}}}
			return meeting{d, func(_ *testing.T, u *users) {
				for i := range 24 {
					job := array(100+i, 6, 15)
					job.Urgency = []string{"high", "idle", "standard"}[i%3]
					if i%2 == 1 {
						job.Team = "green"
					}
					u.after(time.Duration(2*i)*s, func() { u.run(job) })
				}
			}, func() string {
				if !full {
					return "a full fleet"
				}
				return ""
			}}
		}},
		{"workers reach no controller while direct commands reach them", func(seed uint64) meeting {
			mute := map[*simulator.Worker]bool{}
			given := map[string]bool{} // tasks that such a machine was given after its first session ended
			seen := map[string]bool{}
			var begun time.Time // a new leader's first seconds: it can't know yet
			was := map[*simulator.Worker]uint64{}
			watch := func(w *simulator.World) {
				for range 140 {
					time.Sleep(500 * ms)
					for k := range mute {
						if session, tasks := k.Session(); session > was[k] {
							for _, task := range tasks {
								what := fmt.Sprint(k.Name(), " ", session, " ", task)
								if !seen[what] && (begun.IsZero() || time.Since(begun) > 9*s) {
									given[what] = true
								}
								seen[what] = true
							}
						}
					}
				}
			}
			end, back := leader()
			d := day{acts: []act{{40 * s, func(w *simulator.World) {
				for i, k := range w.Cloud.Workers() {
					if i%3 == 0 {
						k.Mute(true)
						mute[k] = true
						was[k], _ = k.Session()
					}
				}
			}}, {41 * s, watch}, {70 * s, end}, {70 * s, func(*simulator.World) { begun = time.Now() }}, {70*s + 300*ms, back}, {112 * s, func(*simulator.World) {
				for k := range mute {
					k.Mute(false)
				}
			}}}}
			return meeting{d, fewTasks, func() string {
				t.Logf("%d mute machines, given after their sessions ended: %v; a new leader gave %d in its first seconds", len(mute), given, len(seen)-len(given))
				if len(given) > 0 {
					t.Errorf("mute machines were given work again: %v", given)
				}
				if len(mute) < 2 {
					return "mute machines"
				}
				return ""
			}}
		}},
		{"every controller and its zone are cut off for longer than a lease, and back", func(seed uint64) meeting {
			cut := func(on bool) func(*simulator.World) {
				return func(w *simulator.World) {
					for _, z := range []string{"a", "b", "c"} {
						w.Net.CutZone(z, on)
					}
				}
			}
			return meeting{day{acts: []act{{45 * s, cut(true)}, {45*s + 26*s, cut(false)}}}, fewTasks, nil}
		}},
		{"a zone with workers and a controller is cut off for longer than a lease, twice", func(seed uint64) meeting {
			c := &cuts{}
			return meeting{day{acts: []act{{45 * s, c.cutOff(int(seed) % 3)}, {68 * s, c.mend}, {80 * s, c.cutOff(0)}, {104 * s, c.mend}}}, bound, nil}
		}},
		{"jobs bound to one zone, spread ones and ones together lose machines, with a takeover", func(seed uint64) meeting {
			lost := 0
			end, back := leader()
			h := &cuts{}
			d := day{acts: []act{{40 * s, func(w *simulator.World) {
				for i, k := range w.Cloud.Workers() {
					if len(k.Running()) > 0 && i%3 == int(seed)%3 {
						lost++
						k.Die()
					}
				}
			}}, {41 * s, h.hang}, {42 * s, end}, {42*s + 300*ms, back}, {55 * s, h.goOn}, {70 * s, h.hang}, {95 * s, h.goOn}}}
			return meeting{d, bound, func() string {
				if lost < 2 {
					return "machines that were lost with tasks"
				}
				return ""
			}}
		}},
		{"leaders change ten times in two minutes, also inside an outage", func(seed uint64) meeting {
			terms := map[int]int{}
			var d day
			for i := range 10 {
				at := 30*s + time.Duration(i)*11*s
				end, back := leader()
				d.acts = append(d.acts, act{at, end}, act{at + 300*ms, back}, act{at + 10*s, func(w *simulator.World) { terms[w.Leader()]++ }})
			}
			d.acts = append(d.acts, act{72 * s, stateDown(true)}, act{100 * s, stateDown(false)})
			return meeting{d, fewTasks, func() string {
				if len(terms) < 2 {
					return "several leaders"
				}
				return ""
			}}
		}},
		{"all controllers are away for longer than a lease", func(seed uint64) meeting {
			return meeting{day{acts: []act{{45 * s, killAll}, {70 * s, startAll}, {90 * s, killAll}, {90*s + 300*ms, startAll}}}, fewTasks, nil}
		}},
		{"a hang ends after a cancellation's time", func(seed uint64) meeting {
			h := &cuts{}
			var ids []string
			d := day{acts: []act{{40 * s, h.hang}, {41 * s, func(w *simulator.World) {
				for _, k := range h.hung {
					for _, task := range k.Running() {
						job, _, _ := strings.Cut(task, "/")
						if w.Cancel(job) == "aborted" {
							ids = append(ids, job)
						}
					}
				}
			}}, {88 * s, h.goOn}}}
			return meeting{d, func(_ *testing.T, u *users) {
				for i := range 12 {
					job := array(100+i, 3, 120)
					u.after(time.Duration(i)*s, func() {
						if u.w.Submit(job) {
							u.ended(job.ID)
						}
					})
				}
			}, func() string {
				if len(ids) < 2 {
					return "cancelled jobs on machines that hang"
				}
				return ""
			}}
		}},
		{"a quarter of the reports arrive again after what the new leader did", func(seed uint64) meeting {
			var reports late
			end, back := leader()
			d := day{ends: true, setup: func(w *simulator.World) {
				for _, n := range w.NodeFaults {
					reports.of(n, wire.ReportPath)
				}
				lateReports(0.25)(w)
			}, acts: []act{{40 * s, end}, {40*s + 300*ms, back}, {65 * s, end}, {65*s + 300*ms, back}, {100 * s, lateReports(0)}}}
			return meeting{d, fewTasks, func() string {
				if reports.carried < 20 {
					return "copies of reports"
				}
				return ""
			}}
		}},
	} {
		for n, size := range sizes {
			t.Run(c.name+"/"+size.name, func(t *testing.T) {
				seed := seeds[n]
				m := c.build(seed)
				m.seed = seed
				play(t, m.day, size.of(), machineTypes[:1], m.jobs)
				if m.lacks != nil {
					if what := m.lacks(); what != "" {
						t.Errorf("the day lacks %s", what)
					}
				}
			})
		}
	}
}
