package simulator_test

import (
	"testing"
	"time"

	"aspenstall/internal/simulator"
	"aspenstall/internal/wire"
)

// late counts what the stand-ins carried out late or again, by how it was answered.
type late struct{ carried, refused int }

func (l *late) of(f *simulator.Faults, path string) {
	f.Repeated = func(p string, status int) {
		if p == path {
			if status < 300 {
				l.carried++
			} else {
				l.refused++
			}
		}
	}
}

// fewTasks are jobs of two or three tasks that end far apart, beside what runs on and on.
func fewTasks(_ *testing.T, u *users) {
	const s = time.Second
	for i := range 9 {
		job := array(100+i, 2+i%2, 10)
		job.RunOf = map[int]float64{0: 8, 1: float64(25 + 5*i), 2: 70}
		u.after(time.Duration(20+4*i)*s, func() { u.run(job) })
	}
	for i := range 4 {
		job := service(300+i, 4)
		u.after(0, func() {
			if u.w.Submit(job) {
				u.must(job.ID, "running")
				time.Sleep(150 * s)
				u.must(job.ID, "running")
				u.w.Cancel(job.ID)
			}
		})
	}
	long := array(200, 6, 90)
	u.after(5*s, func() { u.run(long) })
}

// TestMeetings brings about each meeting of two troubles that operators have named, in
// their order, and says if it did not happen. What must hold, beside the rules: every job
// that was not cancelled runs or is done once the troubles are over (users.must).
func TestMeetings(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	var writes, reports, commands late
	cut := &apart{}
	var other int
	var cancelled string
	var waited time.Duration
	var deaf []*simulator.Worker
	leader := 0
	endLeader := func(w *simulator.World) { leader = max(w.Leader(), 0); w.Kill(leader) }
	backLeader := func(w *simulator.World) { w.StartNode(leader) }
	terms := map[int]bool{}
	who := func(w *simulator.World) {
		if i := w.Leader(); i >= 0 {
			terms[i] = true
		}
	}
	// Who leads after an end is chance: alone is a node that has not led yet, if there is one.
	startAlone := func(w *simulator.World) {
		for i := range w.Nodes {
			if !terms[i] || i == len(w.Nodes)-1 {
				w.StartNode(i)
				return
			}
		}
	}
	for _, c := range []struct {
		day      day
		happened func() string // what did not happen; "": it did
	}{
		{day{name: "a transaction without an answer is carried out late, after newer ones", seed: 90,
			setup: func(w *simulator.World) {
				writes.of(w.StateFaults, wire.CommitPath)
				lateWrites(0.4)(w)
			}, acts: []act{{150 * s, lateWrites(0)}}},
			func() string {
				if writes.carried == 0 || writes.refused == 0 {
					return "late writes: one that was carried out and one that a newer one had overtaken"
				}
				return ""
			}},
		{day{name: "controllers hand over and back, all end, and one returns within a second", seed: 91,
			setup: func(w *simulator.World) { lateWrites(0.1)(w) },
			acts: []act{{40 * s, endLeader}, {40*s + 300*ms, backLeader}, {47 * s, who}, {48 * s, endLeader}, {48*s + 300*ms, backLeader}, {56 * s, who},
				{57 * s, killAll}, {57*s + 200*ms, startAlone}, {61 * s, who}, {63 * s, who}, {65 * s, who}, {66 * s, startAll},
				{68 * s, kill(1)}, {68*s + 100*ms, start(1)}, {79 * s, lateWrites(0)}}},
			func() string {
				if len(terms) < 2 {
					return "several leaders"
				}
				return ""
			}},
		{day{name: "an old report arrives after newer ones, also of an earlier session", seed: 92,
			setup: func(w *simulator.World) {
				for _, n := range w.NodeFaults {
					reports.of(n, wire.ReportPath)
				}
				lateReports(0.5)(w)
			}, acts: []act{{50 * s, endLeader}, {51 * s, backLeader}, {55 * s, func(w *simulator.World) {
				for i, k := range w.Cloud.Workers() {
					if i%3 == 0 {
						isolate(w, k, true) // until a new session
						deaf = append(deaf, k)
					}
				}
			}}, {75 * s, func(w *simulator.World) {
				for _, k := range deaf {
					isolate(w, k, false)
				}
				deaf = nil
			}}, {110 * s, lateReports(0)}}},
			func() string {
				if reports.carried < 20 {
					return "copies of reports"
				}
				return ""
			}},
		{day{name: "a leader is cut from the state service and the others, jobs are cancelled through the new one", seed: 93,
			acts: []act{{20 * s, func(w *simulator.World) { w.Submit(array(201, 6, 300)) }}, {50 * s, cut.begin}, {60 * s, func(w *simulator.World) {
				other = w.Leader()
				begun := time.Now()
				job := array(999, 1, 1)
				if w.Post(cut.node, &job) == 201 {
					other = cut.node
				}
				waited = time.Since(begun)
				cancelled = w.Cancel("job-000201")
			}}, {95 * s, cut.end}}},
			func() string {
				if cancelled != "aborted" {
					return "a cancellation through the new leader"
				}
				if other == cut.node {
					return "a new leader, and none that is cut off and accepts"
				}
				if waited > 100*ms {
					return "a plain refusal at once, but one after " + waited.String()
				}
				return ""
			}},
		{day{name: "a leader ends while machines with long tasks can't be reached or don't hear the next one", seed: 94,
			acts: []act{{45 * s, func(w *simulator.World) {
				for i, k := range w.Cloud.Workers() {
					if len(k.Running()) > 0 && i%2 == 0 {
						k.Deaf(true)
						deaf = append(deaf, k)
					} else if i%5 == 1 {
						isolate(w, k, true)
					}
				}
			}}, {46 * s, endLeader}, {49 * s, backLeader}, {100 * s, func(w *simulator.World) {
				for _, k := range w.Cloud.Workers() {
					isolate(w, k, false)
				}
				for _, k := range deaf {
					k.Deaf(false)
				}
			}}}},
			func() string {
				if len(deaf) == 0 {
					return "deaf machines with tasks"
				}
				return ""
			}},
		{day{name: "jobs of two or three tasks end far apart across changes of leader", seed: 95,
			acts: []act{{45 * s, endLeader}, {47 * s, backLeader}, {60 * s, endLeader}, {63 * s, backLeader}, {75 * s, killAll}, {78 * s, startAll}}}, nil},
		{day{name: "a command or its answer is held up for seconds, and the machine goes on", seed: 96,
			setup: func(w *simulator.World) {
				commands.of(w.WorkerFaults, wire.CommandsPath)
				w.WorkerFaults.Late, w.WorkerFaults.LateBy, w.WorkerFaults.LateMore, w.WorkerFaults.LoseAnswer = 0.4, s, 30*s, 0.1
			}, acts: []act{{50 * s, endLeader}, {51 * s, backLeader}, {90 * s, func(w *simulator.World) {
				w.WorkerFaults.Set(func(f *simulator.Faults) { f.Late, f.LoseAnswer = 0, 0 })
			}}}},
			func() string {
				if commands.carried == 0 || commands.refused == 0 {
					return "late commands: one that was executed and one that came too late"
				}
				return ""
			}},
	} {
		t.Run(c.day.name, func(t *testing.T) {
			p := platform()
			p.Params.Teams = p.Params.Teams[:0]
			addTeam(&p, "blue", 40, 60, 0, 0)
			addTeam(&p, "green", 40, 60, 0, 0)
			play(t, c.day, p, machineTypes[:1], fewTasks)
			if c.happened != nil {
				if lacks := c.happened(); lacks != "" {
					t.Errorf("the day lacks %s", lacks)
				}
			}
		})
	}
	t.Logf("late writes %+v, copies of reports %+v, late commands %+v; refused in %v", writes, reports, commands, waited)
}
