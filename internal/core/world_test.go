package core

import (
	"fmt"
	"strings"
	"testing"
)

// world is a simulated cluster for tests: a Core, a clock, fake workers that execute their
// commands, and a record of the actions that the Core returned.
type world struct {
	t           *testing.T
	c           *Core
	now         Micros
	sent        []SendCommands
	rentals     []Rent
	releases    []Release
	puts        map[string]any  // stored records by key
	deletes     map[string]bool // deleted keys
	logs        []string
	tokenRaises int
	failWrites  bool         // all writes fail, as in an outage of the state service
	failPrefix  string       // if not empty, writes of keys with this prefix fail
	failOutcome WriteOutcome // outcome of writes that fail
	holdPrefix  string       // if not empty, writes of keys with this prefix get no answer
	heldWrites  []uint64     // IDs of the writes without an answer
}

var testTypes = []MachineType{
	{Name: "m", Capacity: Resources{8000, 0, 32000}, CacheMB: 50000, FetchMBps: 1000, Price: 1, SpotPrice: 0.4, BootTime: 20 * Second, Zones: []string{"a", "b"}},
	{Name: "g", Capacity: Resources{8000, 2000, 32000}, CacheMB: 50000, FetchMBps: 1000, Price: 3, SpotPrice: 1, BootTime: 20 * Second, Zones: []string{"a"}},
}

// newWorld returns a world whose Core does not lead yet.
func newWorld(t *testing.T, teams ...Team) *world {
	c := New(Config{
		Teams: teams, WorkerLease: 16 * Second, MaxCancelStaleness: 25 * Second, ReportInterval: 3 * Second, ListLag: 4 * Second, ChunkSize: 16, RelativeChunkSize: 16, MaxWriteOps: 12, MachinesPerRecord: 4,
		Tuning: Tuning{IdleTimeout: 10 * Second, RefusalBackoff: 15 * Second, Quarantine: 60 * Second, SuspectAfter: 7 * Second, SpareTasks: 0},
	})
	w := &world{t: t, c: c, now: Second, puts: map[string]any{}, deletes: map[string]bool{}, failOutcome: WriteRefused}
	c.SetCatalog(testTypes)
	return w
}

// beginTerm makes the Core lead and executes its first actions.
func (w *world) beginTerm(token uint64, jobs []JobRecord, snap Snapshot) {
	w.c.BeginTerm(w.now, w.now, token, jobs, snap)
	w.step()
}

// step calls Step and executes the actions until none are left, at most 20 times.
func (w *world) step() {
	for range 20 {
		actions := w.c.Step(w.now)
		if len(actions) == 0 {
			return
		}
		for _, a := range actions {
			switch a := a.(type) {
			case SendCommands:
				w.sent = append(w.sent, a)
			case Rent:
				w.rentals = append(w.rentals, a)
			case Release:
				w.releases = append(w.releases, a)
			case RaiseToken:
				w.tokenRaises++
			case LogEntry:
				w.logs = append(w.logs, a.Message)
			case Write:
				if w.holdPrefix != "" && len(a.Puts) > 0 && strings.HasPrefix(a.Puts[0].Key, w.holdPrefix) {
					w.heldWrites = append(w.heldWrites, a.ID)
					continue
				}
				fail := w.failWrites
				for _, p := range a.Puts {
					fail = fail || w.failPrefix != "" && strings.HasPrefix(p.Key, w.failPrefix)
				}
				if !fail {
					for _, p := range a.Puts {
						if r, ok := p.Value.(PartitionRecord); ok {
							r.Key, r.BeganAt = p.Key, w.now-r.Elapsed
							p.Value = r
						}
						w.puts[p.Key] = p.Value
					}
					for _, k := range a.Deletes {
						w.deletes[k] = true
					}
				}
				o := Stored
				if fail {
					o = w.failOutcome
				}
				w.c.HandleWriteResult(w.now, a.ID, o)
			}
		}
	}
}

// advance advances the clock by d and calls step.
func (w *world) advance(d Micros) {
	w.now += d
	w.step()
}

// submit submits a job, with defaults for resources, image and team.
func (w *world) submit(s JobSpec) {
	if s.Resources == (Resources{}) {
		s.Resources = Resources{2000, 0, 2000}
	}
	if s.Image == "" {
		s.Image = "im"
	}
	if s.Team == "" {
		s.Team = "blue"
	}
	w.c.HandleJob(w.now, w.now, JobRecord{Spec: s, SubmittedAt: w.now, Revision: 5})
	w.step()
}

// raiseToken raises the token, as the node does for a RaiseToken action.
func (w *world) raiseToken() {
	w.c.HandleTokenRaised(w.now, w.c.token+1)
	w.step()
}

func (w *world) cancel(id string) {
	rec := w.c.jobs[id].record
	rec.Phase = Cancelled
	w.c.HandleJob(w.now, w.now, rec)
	w.step()
}

// fakeWorker is a worker that reports to the Core and executes commands.
type fakeWorker struct {
	w             *world
	status        Report
	replyCommands []Command // commands in the answer to the last report
	losesCommands bool      // direct commands are lost and stay unanswered
	fetchesImage  bool      // started tasks stay in the state Fetching
}

// newWorker returns a worker that has not reported yet.
func (w *world) newWorker(name, zone string) *fakeWorker {
	return &fakeWorker{w: w, status: Report{Machine: name, Address: name + ":1", Type: "m", Zone: zone, Session: 1, Token: w.c.token, SpotNotice: -1}}
}

// report sends a report, and executes the commands in the answer and then direct commands.
func (f *fakeWorker) report() *fakeWorker {
	f.status.Seq++
	r := f.status
	r.Tasks = append([]TaskReport(nil), f.status.Tasks...)
	cmds, token, ok := f.w.c.HandleReport(f.w.now, &r)
	if !ok {
		f.w.t.Fatal("report refused")
	}
	f.status.Token = max(f.status.Token, token)
	f.replyCommands = cmds
	f.execute(cmds)
	f.w.step()
	f.executeDirect()
	return f
}

// reportRounds lets all workers report n times, one second apart.
func (w *world) reportRounds(n int, fs []*fakeWorker) {
	for range n {
		w.advance(Second)
		for _, f := range fs {
			f.executeDirect()
			f.report()
		}
	}
}

func (f *fakeWorker) execute(cmds []Command) {
	for _, c := range cmds {
		i := f.taskIndex(c.Job, c.Index, c.Attempt)
		switch {
		case c.Op == Start && i < 0:
			state := Running
			if f.fetchesImage {
				state = Fetching
			}
			f.status.Tasks = append(f.status.Tasks, TaskReport{Job: c.Job, Index: c.Index, Attempt: c.Attempt, State: state})
		case c.Op == Stop && i >= 0:
			f.exitTask(i, CauseStopped)
		case c.Op == Forget && i >= 0:
			f.status.Tasks = append(f.status.Tasks[:i], f.status.Tasks[i+1:]...)
		}
	}
}

// taskIndex returns the index of an attempt in the status, or -1.
func (f *fakeWorker) taskIndex(job string, index int, attempt uint64) int {
	for i, t := range f.status.Tasks {
		if t.Job == job && t.Index == index && t.Attempt == attempt {
			return i
		}
	}
	return -1
}

// exitTask makes the task at index i of the status exit.
func (f *fakeWorker) exitTask(i int, cause Cause) {
	f.status.Tasks[i].State, f.status.Tasks[i].Cause = Exited, cause
}

// executeDirect executes the direct commands that were sent to the worker and answers them.
func (f *fakeWorker) executeDirect() {
	w := f.w
	for n := 0; n < len(w.sent); n++ {
		s := w.sent[n]
		if s.Machine != f.status.Machine {
			continue
		}
		w.sent = append(w.sent[:n], w.sent[n+1:]...)
		n--
		if f.losesCommands {
			w.c.HandleCommandResult(w.now, s.Machine, s.Token, Unanswered, nil)
			continue
		}
		f.status.Token = max(f.status.Token, s.Token)
		f.execute(s.Commands)
		f.status.Seq++
		r := f.status
		r.Tasks = append([]TaskReport(nil), f.status.Tasks...)
		w.c.HandleCommandResult(w.now, s.Machine, s.Token, Executed, &r)
		w.step()
		n = -1
	}
}

// liveTasks lists the tasks that have not exited, in the form "job/index ".
func (f *fakeWorker) liveTasks() string {
	out := ""
	for _, t := range f.status.Tasks {
		if t.State != Exited {
			out += fmt.Sprintf("%s/%d ", t.Job, t.Index)
		}
	}
	return out
}

// want fails the test if got differs from want.
func (w *world) want(what string, got, want any) {
	w.t.Helper()
	if got != want {
		w.t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

var blue = Team{Name: "blue", Min: Resources{CPU: 4000}, Max: Resources{CPU: 12000}}
var green = Team{Name: "green", Min: Resources{CPU: 8000}, Max: Resources{CPU: 16000}}

// recordedMachines returns the record of a machine group as an earlier leader left it.
func recordedMachines(names ...string) []MachineGroupRecord {
	r := MachineGroupRecord{Key: MachinePrefix + "50-1"}
	for _, n := range names {
		r.Machines = append(r.Machines, MachineRecord{Name: n, Address: n + ":1", Type: "m", Zone: "a"})
	}
	return []MachineGroupRecord{r}
}
