package core

import (
	"fmt"
	"strings"
	"testing"
)

// world is a core with a clock and with workers that do what they are told, so
// that a case reads as what happens and what is to follow.
type world struct {
	t     *testing.T
	c     *Core
	now   Micros
	sent  []SendCommands
	rents []Rent
	backs []Return
	puts  map[string]any // what was written
	drops map[string]bool
	notes []string
	raise int
	// failWrites makes writes fail, as in an outage; with failKey, only those
	// of keys that begin with it.
	failWrites bool
	failKey    string
	failAs     WriteOutcome
	hold       string // writes of keys that begin with it get no answer
	held       []uint64
}

var testTypes = []MachineType{
	{Name: "m", Cap: Res{8000, 0, 32000}, CacheMB: 50000, FetchMBps: 1000, Price: 1, SpotPrice: 0.4, Boot: 20 * Second, Zones: []string{"a", "b"}},
	{Name: "g", Cap: Res{8000, 2000, 32000}, CacheMB: 50000, FetchMBps: 1000, Price: 3, SpotPrice: 1, Boot: 20 * Second, Zones: []string{"a"}},
}

func newWorld(t *testing.T, teams ...Team) *world {
	c := New(Config{
		Teams: teams, Lease: 16 * Second, Blind: 25 * Second, ReportGap: 3 * Second, ListLag: 4 * Second, ChunkSize: 16, MachinesPerRecord: 4,
		Tuning: Tuning{Idle: 10 * Second, RefusalPause: 15 * Second, Quarantine: 60 * Second, Suspect: 7 * Second, SpareTasks: 0},
	})
	w := &world{t: t, c: c, now: Second, puts: map[string]any{}, drops: map[string]bool{}, failAs: WriteRefused}
	c.Catalog(testTypes)
	return w
}

func (w *world) begin(token uint64, jobs []JobRecord, snap Snapshot) {
	w.c.Begin(w.now, w.now, token, jobs, snap)
	w.step()
}

// step lets the core act until it wants nothing more.
func (w *world) step() {
	for range 20 {
		acts := w.c.Step(w.now)
		if len(acts) == 0 {
			return
		}
		for _, a := range acts {
			switch a := a.(type) {
			case SendCommands:
				w.sent = append(w.sent, a)
			case Rent:
				w.rents = append(w.rents, a)
			case Return:
				w.backs = append(w.backs, a)
			case RaiseToken:
				w.raise++
			case Note:
				w.notes = append(w.notes, a.Text)
			case Write:
				if w.hold != "" && len(a.Puts) > 0 && strings.HasPrefix(a.Puts[0].Key, w.hold) {
					w.held = append(w.held, a.ID)
					continue
				}
				fail := w.failWrites
				for _, p := range a.Puts {
					fail = fail || w.failKey != "" && strings.HasPrefix(p.Key, w.failKey)
				}
				if !fail {
					for _, p := range a.Puts {
						if r, ok := p.Value.(KeptRecord); ok {
							r.Key, r.Began = p.Key, w.now-r.Ago
							p.Value = r
						}
						w.puts[p.Key] = p.Value
					}
					for _, k := range a.Drops {
						w.drops[k] = true
					}
				}
				o := Stored
				if fail {
					o = w.failAs
				}
				w.c.Written(w.now, a.ID, o)
			}
		}
	}
}

func (w *world) pass(d Micros) {
	w.now += d
	w.step()
}

func (w *world) submit(s JobSpec) {
	if s.Need == (Res{}) {
		s.Need = Res{2000, 0, 2000}
	}
	if s.Image == "" {
		s.Image = "im"
	}
	if s.Team == "" {
		s.Team = "blue"
	}
	w.c.Job(w.now, w.now, JobRecord{Spec: s, Submitted: w.now, Stamp: 5})
	w.step()
}

func (w *world) cancel(id string) {
	rec := w.c.jobs[id].rec
	rec.Phase = Cancelled
	w.c.Job(w.now, w.now, rec)
	w.step()
}

// fake is a worker as the core sees it.
type fake struct {
	w     *world
	r     Report
	cmds  []Command // from the answer to the last beat
	lossy bool      // direct commands go unanswered
	slow  bool      // what is started has to fetch its image
}

func (w *world) machine(name, zone string) *fake {
	return &fake{w: w, r: Report{Machine: name, Address: name + ":1", Type: "m", Zone: zone, Session: 1, Token: w.c.token, Notice: -1}}
}

// beat reports and executes the commands of the answer.
func (f *fake) beat() *fake {
	f.r.Seq++
	r := f.r
	r.Tasks = append([]TaskReport(nil), f.r.Tasks...)
	cmds, token, ok := f.w.c.Beat(f.w.now, &r)
	if !ok {
		f.w.t.Fatal("beat refused")
	}
	f.r.Token = max(f.r.Token, token)
	f.cmds = cmds
	f.execute(cmds)
	f.w.step()
	f.direct()
	return f
}

// rounds lets all workers report so many times, a second apart.
func (w *world) rounds(n int, fs []*fake) {
	for range n {
		w.pass(Second)
		for _, f := range fs {
			f.direct()
			f.beat()
		}
	}
}

func (f *fake) execute(cmds []Command) {
	for _, c := range cmds {
		i := f.index(c.Job, c.Index, c.Attempt)
		switch {
		case c.Op == Start && i < 0:
			state := Running
			if f.slow {
				state = Fetching
			}
			f.r.Tasks = append(f.r.Tasks, TaskReport{Job: c.Job, Index: c.Index, Attempt: c.Attempt, State: state})
		case c.Op == Stop && i >= 0:
			f.exit(i, CauseStopped)
		case c.Op == Forget && i >= 0:
			f.r.Tasks = append(f.r.Tasks[:i], f.r.Tasks[i+1:]...)
		}
	}
}

func (f *fake) index(job string, index int, attempt uint64) int {
	for i, t := range f.r.Tasks {
		if t.Job == job && t.Index == index && t.Attempt == attempt {
			return i
		}
	}
	return -1
}

func (f *fake) exit(i int, why Cause) { f.r.Tasks[i].State, f.r.Tasks[i].Cause = Exited, why }

// direct executes the direct commands that were sent to the worker.
func (f *fake) direct() {
	w := f.w
	for n := 0; n < len(w.sent); n++ {
		s := w.sent[n]
		if s.Machine != f.r.Machine {
			continue
		}
		w.sent = append(w.sent[:n], w.sent[n+1:]...)
		n--
		if f.lossy {
			w.c.Commanded(w.now, s.Machine, s.Token, Unanswered, nil)
			continue
		}
		f.r.Token = max(f.r.Token, s.Token)
		f.execute(s.Commands)
		f.r.Seq++
		r := f.r
		r.Tasks = append([]TaskReport(nil), f.r.Tasks...)
		w.c.Commanded(w.now, s.Machine, s.Token, Executed, &r)
		w.step()
		n = -1
	}
}

func (f *fake) live() string {
	out := ""
	for _, t := range f.r.Tasks {
		if t.State != Exited {
			out += fmt.Sprintf("%s/%d ", t.Job, t.Index)
		}
	}
	return out
}

func (w *world) want(what string, got, want any) {
	w.t.Helper()
	if got != want {
		w.t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

var blue = Team{Name: "blue", Min: Res{CPU: 4000}, Max: Res{CPU: 12000}}
var green = Team{Name: "green", Min: Res{CPU: 8000}, Max: Res{CPU: 16000}}

// recorded is a record of machines as a former leader left it.
func recorded(names ...string) []MachinesRecord {
	r := MachinesRecord{Key: MachinePrefix + "50-1"}
	for _, n := range names {
		r.Machines = append(r.Machines, MachineRecord{Name: n, Address: n + ":1", Type: "m", Zone: "a"})
	}
	return []MachinesRecord{r}
}
