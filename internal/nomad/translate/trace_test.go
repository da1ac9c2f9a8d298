package translate_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"aspenstall/internal/core"
)

// cluster is a core with simulated workers that execute commands at once. Every step adds the tasks on
// each machine and each team's usage to the trace.
type cluster struct {
	core    *core.Core
	now     core.Micros
	workers []*fakeWorker
	specs   map[string]core.JobSpec
	trace   []string
	started int // number of tasks started
}

// fakeWorker is a simulated worker. endTimes holds the time when each task ends by itself.
type fakeWorker struct {
	lastReport core.Report
	endTimes   map[string]core.Micros
}

const tickInterval = 250 * core.Millisecond

func newCluster() *cluster {
	s := &cluster{now: core.Second, specs: map[string]core.JobSpec{}, core: core.New(core.Config{
		Teams: []core.Team{
			{Name: "blue", Min: core.Resources{CPU: 16_000}, Max: core.Resources{CPU: 40_000}},
			{Name: "green", Min: core.Resources{CPU: 8_000, GPU: 1_000}, Max: core.Resources{CPU: 24_000, GPU: 2_000}},
		},
		WorkerLease: 16 * core.Second, ReportInterval: 3 * core.Second, PlacementInterval: 20 * core.Millisecond, RecordInterval: 200 * core.Millisecond,
		ReleaseInterval: core.Second, ListLag: 4 * core.Second, ChunkSize: 500, RelativeChunkSize: 500, MaxWriteOps: 12, MachinesPerRecord: 100, LateFactor: 1.5,
		Tuning: core.Tuning{IdleTimeout: 3600 * core.Second, RefusalBackoff: 3600 * core.Second, ReservationDecay: 600 * core.Second, Quarantine: 120 * core.Second, SuspectAfter: 30 * core.Second},
	})}
	s.core.SetCatalog([]core.MachineType{
		{Name: "s4", Capacity: core.Resources{CPU: 4_000, Mem: 16_000}, CacheMB: 40_000, FetchMBps: 500, Price: 0.2, SpotPrice: 0.1, BootTime: 15 * core.Second, Zones: []string{"a", "b", "c"}},
		{Name: "g16", Capacity: core.Resources{CPU: 16_000, GPU: 2_000, Mem: 64_000}, CacheMB: 40_000, FetchMBps: 1000, Price: 0.9, SpotPrice: 0.3, BootTime: 20 * core.Second, Zones: []string{"a", "b"}},
	})
	for i := range 12 {
		w := &fakeWorker{endTimes: map[string]core.Micros{}, lastReport: core.Report{
			Machine: fmt.Sprintf("n-%02d", i), Address: fmt.Sprintf("w%02d", i), Type: "s4", Zone: string(rune('a' + i%3)), Spot: i%4 == 1, Session: 1, SpotNotice: -1,
		}}
		if i%3 < 2 && i < 6 {
			w.lastReport.Type = "g16"
		}
		s.workers = append(s.workers, w)
	}
	s.core.BeginTerm(s.now, s.now, 1, nil, core.Snapshot{})
	return s
}

func (s *cluster) submit(spec core.JobSpec) {
	s.specs[spec.ID] = spec
	s.core.HandleJob(s.now, s.now, core.JobRecord{Spec: spec, SubmittedAt: s.now, Revision: 5})
}

// nextReport returns the worker's report with the next sequence number.
func (w *fakeWorker) nextReport() *core.Report {
	w.lastReport.Seq++
	r := w.lastReport
	r.Tasks = slices.Clone(w.lastReport.Tasks)
	return &r
}

// execute carries out commands on a worker.
func (s *cluster) execute(w *fakeWorker, cmds []core.Command) {
	for _, c := range cmds {
		i := slices.IndexFunc(w.lastReport.Tasks, func(t core.TaskReport) bool { return t.Job == c.Job && t.Index == c.Index && t.Attempt == c.Attempt })
		switch {
		case c.Op == core.Start && i < 0:
			s.started++
			w.lastReport.Tasks = append(w.lastReport.Tasks, core.TaskReport{Job: c.Job, Index: c.Index, Attempt: c.Attempt, State: core.Running})
			if d := s.specs[c.Job].EstimatedRun; d > 0 {
				w.endTimes[fmt.Sprint(c.Job, c.Index)] = s.now + d + core.Micros(c.Index%5)*core.Second
			}
		case c.Op == core.Stop && i >= 0 && w.lastReport.Tasks[i].State != core.Exited:
			w.lastReport.Tasks[i].State, w.lastReport.Tasks[i].Cause = core.Exited, core.CauseStopped
		case c.Op == core.Forget && i >= 0:
			w.lastReport.Tasks = slices.Delete(w.lastReport.Tasks, i, i+1)
		}
	}
}

// step advances the time by one tick: workers report, and the actions of the core are carried out.
// Every rental is refused and no machine is released, so the machines stay the same.
func (s *cluster) step() {
	s.now += tickInterval
	for k, w := range s.workers {
		changed := s.now/tickInterval%12 == core.Micros(k)
		for i := range w.lastReport.Tasks {
			t := &w.lastReport.Tasks[i]
			if end := w.endTimes[fmt.Sprint(t.Job, t.Index)]; t.State == core.Running && end > 0 && end <= s.now {
				t.State, t.Cause, changed = core.Exited, core.CauseDone, true
			}
		}
		if changed {
			cmds, token, ok := s.core.HandleReport(s.now, w.nextReport())
			if ok {
				w.lastReport.Token = max(w.lastReport.Token, token)
				s.execute(w, cmds)
			}
		}
	}
	for _, a := range s.core.Step(s.now) {
		switch a := a.(type) {
		case core.SendCommands:
			w := s.workers[slices.IndexFunc(s.workers, func(w *fakeWorker) bool { return w.lastReport.Machine == a.Machine })]
			w.lastReport.Token = max(w.lastReport.Token, a.Token)
			s.execute(w, a.Commands)
			s.core.HandleCommandResult(s.now, a.Machine, a.Token, core.Executed, w.nextReport())
		case core.Write:
			s.core.HandleWriteResult(s.now, a.ID, core.Stored)
			for _, p := range a.Puts {
				if d, ok := p.Value.(core.FinalRecord); ok {
					s.core.HandleJob(s.now, s.now, d.Record)
				}
			}
		case core.Rent:
			s.core.HandleRentalResult(s.now, s.now, a.RequestID, core.RentRefused, nil)
		case core.Release:
			s.core.HandleReleaseResult(s.now, a.Machines, false)
		}
	}
	used := map[string]core.Resources{}
	var line strings.Builder
	for _, w := range s.workers {
		for _, t := range w.lastReport.Tasks {
			fmt.Fprintf(&line, " %s:%s/%d#%d=%d", w.lastReport.Machine, t.Job, t.Index, t.Attempt, t.State)
			if spec := s.specs[t.Job]; t.State != core.Exited {
				used[spec.Team] = used[spec.Team].Add(spec.Resources)
			}
		}
	}
	s.trace = append(s.trace, fmt.Sprintf("%d blue %v green %v%s", s.now, used["blue"], used["green"], &line))
}

// All samples run in two clusters, as job files in one and as native jobs in the other. At every step
// the same tasks must be on the same machines, with the same usage by each team.
func TestSamplesRunLikeNativeJobs(t *testing.T) {
	nomad, native := newCluster(), newCluster()
	all := samples(t)
	for i := range 1200 {
		if i%20 == 0 && i/20 < len(all) {
			for _, spec := range all[i/20].nomad {
				nomad.submit(spec)
			}
			for _, spec := range all[i/20].native {
				native.submit(spec)
			}
		}
		nomad.step()
		native.step()
		if a, b := nomad.trace[i], native.trace[i]; a != b {
			t.Fatalf("step %d:\n%s\nnative jobs\n%s", i, a, b)
		}
	}
	if nomad.started < 80 {
		t.Errorf("only %d tasks were started: too few for a meaningful comparison", nomad.started)
	}
}
