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
		Teams: teams, Lease: 16 * Second, ReportGap: 3 * Second, ListLag: 4 * Second, ChunkSize: 16, MachinesPerRecord: 4,
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

// TestQuota: max caps what is placed, unused min is lent, and reclaim takes
// victims on one machine from teams over their min, none pushed below its own.
func TestQuota(t *testing.T) {
	for _, c := range []struct {
		name     string
		machines int
		first    JobSpec // runs already
		then     JobSpec
		first1   int // tasks of the first that run in the end
		then1    int
	}{
		{"max caps a team", 3, JobSpec{ID: "job-1", Tasks: 9}, JobSpec{ID: "job-2", Team: "green", Tasks: 1}, 6, 1},
		{"unused min is lent", 1, JobSpec{ID: "job-1", Tasks: 4}, JobSpec{ID: "job-2", Tasks: 1}, 4, 0},
		{"reclaim within min, down to the lender's min", 1, JobSpec{ID: "job-1", Tasks: 4}, JobSpec{ID: "job-2", Team: "green", Tasks: 4}, 2, 2},
		{"beyond min others are left alone", 2, JobSpec{ID: "job-1", Tasks: 6},
			JobSpec{ID: "job-2", Team: "green", Tasks: 3, Need: Res{6000, 0, 1000}}, 5, 1},
		{"beyond min, own lower priorities", 1, JobSpec{ID: "job-1", Tasks: 4, Priority: Low}, JobSpec{ID: "job-2", Tasks: 2, Priority: High}, 2, 2},
		{"not own equal priorities", 1, JobSpec{ID: "job-1", Tasks: 4, Priority: High}, JobSpec{ID: "job-2", Tasks: 2, Priority: High}, 4, 0},
		{"no victims that would not make room", 1, JobSpec{ID: "job-1", Tasks: 3},
			JobSpec{ID: "job-2", Team: "green", Tasks: 1, Need: Res{8000, 0, 1000}}, 3, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, blue, green)
			w.begin(100, nil, Snapshot{})
			var fs []*fake
			for i := range c.machines {
				fs = append(fs, w.machine(fmt.Sprintf("n-%d", i), "a").beat())
			}
			round := func() { w.rounds(4, fs) }
			w.submit(c.first)
			round()
			w.submit(c.then)
			round()
			count := map[string]int{}
			for _, f := range fs {
				for _, t := range f.r.Tasks {
					if t.State != Exited {
						count[t.Job]++
					}
				}
			}
			w.want("tasks of the first", count["job-1"], c.first1)
			w.want("tasks of the second", count["job-2"], c.then1)
		})
	}
}

// TestPlaces: types, zones, kinds of machine, spread and one zone.
func TestPlaces(t *testing.T) {
	for _, c := range []struct {
		name string
		job  JobSpec
		want string // tasks on a1, a2 (spot), b1
	}{
		{"zone", JobSpec{Tasks: 2, Zone: "b"}, "0 0 2"},
		{"no spot", JobSpec{Tasks: 4, Zone: "a"}, "4 0 0"},
		{"spread", JobSpec{Tasks: 4, Spread: true}, "2 0 2"},
		{"spread, uneven", JobSpec{Tasks: 3, Spread: true, Spot: true, Zone: "a"}, "0 2 0"},
		{"one zone", JobSpec{Tasks: 6, OneZone: true}, "4 0 0"},
		{"gang in one zone or not at all", JobSpec{Tasks: 5, Kind: Gang, OneZone: true}, "0 0 0"},
		{"gang in one zone with spot", JobSpec{Tasks: 5, Kind: Gang, OneZone: true, Spot: true}, "1 4 0"},
		{"no such type", JobSpec{Tasks: 1, Types: []string{"g"}}, "0 0 0"},
		{"no GPU there", JobSpec{Tasks: 1, Need: Res{1000, 1000, 1000}}, "0 0 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, Team{Name: "blue"})
			w.begin(100, nil, Snapshot{})
			a1, a2, b1 := w.machine("a1", "a"), w.machine("a2", "a"), w.machine("b1", "b")
			a2.r.Spot = true
			fs := []*fake{a1, a2, b1}
			for _, f := range fs {
				f.beat()
			}
			c.job.ID = "job-1"
			w.submit(c.job)
			n := [3]int{}
			for range 3 {
				for i, f := range fs {
					f.direct()
					f.beat()
					n[i] = len(f.r.Tasks)
				}
			}
			w.want("tasks", fmt.Sprint(n[0], n[1], n[2]), c.want)
		})
	}
}

// TestGPUs: they are placed and capped like CPUs.
func TestGPUs(t *testing.T) {
	w := newWorld(t, Team{Name: "blue", Max: Res{GPU: 3000}})
	w.begin(100, nil, Snapshot{})
	var fs []*fake
	for i := range 3 {
		f := w.machine(fmt.Sprintf("n-%d", i), "a")
		if i > 0 {
			f.r.Type = "g"
		}
		fs = append(fs, f.beat())
	}
	w.submit(JobSpec{ID: "job-1", Tasks: 6, Need: Res{1000, 1000, 1000}})
	n := [3]int{}
	for range 3 {
		for i, f := range fs {
			f.direct()
			f.beat()
			n[i] = len(f.r.Tasks)
		}
	}
	w.want("none without GPUs", n[0], 0)
	w.want("up to the team's limit", n[1]+n[2], 3)
}

// TestGuaranteedGPUs: a min that names GPUs alone is a guarantee, although tasks
// take CPUs as well: what is borrowed of it comes back.
func TestGuaranteedGPUs(t *testing.T) {
	w := newWorld(t, Team{Name: "blue", Min: Res{GPU: 2000}}, Team{Name: "green", Min: Res{GPU: 2000}})
	w.begin(100, nil, Snapshot{})
	var fs []*fake
	for i := range 2 {
		f := w.machine(fmt.Sprintf("n-%d", i), "a")
		f.r.Type = "g"
		fs = append(fs, f.beat())
	}
	round := func() { w.rounds(4, fs) }
	w.submit(JobSpec{ID: "job-1", Tasks: 4, Need: Res{1000, 1000, 1000}})
	round()
	w.want("borrowed", w.c.jobs["job-1"].running, 4)
	w.submit(JobSpec{ID: "job-2", Team: "green", Tasks: 4, Need: Res{1000, 1000, 1000}})
	round()
	w.want("the lender's", w.c.jobs["job-2"].running, 2)
	w.want("the borrower's", w.c.jobs["job-1"].running, 2)
	w.submit(JobSpec{ID: "job-3", Team: "green", Tasks: 4, Need: Res{1000, 0, 1000}})
	round()
	w.submit(JobSpec{ID: "job-4", Tasks: 16, Need: Res{1000, 0, 1000}})
	round()
	w.want("CPUs are not guaranteed by it", w.c.jobs["job-3"].running, 4)
}

// TestRecordedFirst: no start goes to a machine that is not recorded, nor for a
// job that is not recorded as opened.
func TestRecordedFirst(t *testing.T) {
	for _, key := range []string{MachinePrefix, OpenPrefix} {
		t.Run(key, func(t *testing.T) {
			w := newWorld(t, blue)
			w.begin(100, nil, Snapshot{})
			w.failKey = key
			f := w.machine("n-1", "a").beat()
			w.submit(JobSpec{ID: "job-1", Tasks: 1})
			round := func() {
				w.pass(Second)
				f.direct()
				f.beat()
			}
			for range 5 {
				round()
			}
			w.want("started before it was recorded", f.live(), "")
			w.failKey = ""
			for range 3 {
				round()
			}
			w.want("started", f.live(), "job-1/0 ")
			w.want("machine recorded", fmt.Sprint(w.puts[w.c.machines["n-1"].chunk.key]), "{ [{n-1 n-1:1 m a false}]}")
			w.want("job opened", w.puts[OpenPrefix+"job-1"] != nil, true)
		})
	}
}

// TestMachineRecords: machines share records, a write that may still be
// executed late can't take from a record what a later one added, and machines
// that are gone leave their record.
func TestMachineRecords(t *testing.T) {
	w := newWorld(t, blue)
	w.begin(100, nil, Snapshot{})
	w.failKey, w.failAs = MachinePrefix, WriteUnknown
	for i := range 5 {
		w.machine(fmt.Sprintf("n-%d", i), "a").beat()
	}
	w.want("recorded", w.c.machines["n-0"].recorded, false)
	w.failKey = ""
	w.pass(Second)
	keys := map[string]int{}
	for k, v := range w.puts {
		if r, ok := v.(MachinesRecord); ok {
			keys[k] = len(r.Machines)
			w.want("a key that was tried before", k == MachinePrefix+"100-1", false)
		}
	}
	w.want("records", len(keys), 2)
	w.want("the key tried before is dropped", w.drops[MachinePrefix+"100-1"], true)
	w.want("recorded", w.c.machines["n-0"].recorded && w.c.machines["n-4"].recorded, true)
	first := w.c.machines["n-0"].chunk.key
	for _, n := range []string{"n-0", "n-1", "n-2"} {
		w.c.Returned(w.now, []string{n}, true)
	}
	w.pass(3 * Second)
	r, _ := w.puts[first].(MachinesRecord)
	w.want("left in the first record", fmt.Sprint(r.Machines), "[{n-3 n-3:1 m a false}]")
	w.c.Returned(w.now, []string{"n-3"}, true)
	w.pass(3 * Second)
	w.want("an empty record is dropped", w.drops[first], true)
}

// TestLostMachine: tasks of a machine start elsewhere only when its lease is
// over, counted from the last answer, when it shows a new session, or when a
// return of it was answered.
func TestLostMachine(t *testing.T) {
	for _, c := range []struct {
		name  string
		event func(w *world, f *fake)
		moved bool
	}{
		{"silent for less than the lease", func(w *world, f *fake) { w.pass(15 * Second) }, false},
		{"lease over", func(w *world, f *fake) { w.pass(17 * Second) }, true},
		{"new session", func(w *world, f *fake) {
			f.r.Session, f.r.Tasks = 2, nil
			f.r.Seq++
			r := f.r
			w.c.Beat(w.now, &r)
			w.step()
		}, true},
		{"older report", func(w *world, f *fake) {
			r := f.r
			r.Seq, r.Tasks = 1, nil
			w.c.Beat(w.now, &r)
			w.step()
		}, false},
		{"return not answered", func(w *world, f *fake) { w.c.Returned(w.now, []string{"n-1"}, false); w.step() }, false},
		{"return answered", func(w *world, f *fake) { w.c.Returned(w.now, []string{"n-1"}, true); w.step() }, true},
		{"listed as failed", func(w *world, f *fake) { w.c.Listed(w.now, []Listed{{Name: "n-1", Failed: true}}); w.step() }, true},
		{"missing from the late list", func(w *world, f *fake) { w.c.Listed(w.now, nil); w.step() }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, blue)
			w.begin(100, nil, Snapshot{})
			f := w.machine("n-1", "a").beat()
			w.submit(JobSpec{ID: "job-1", Tasks: 1})
			f.direct()
			f.beat()
			w.want("runs", f.live(), "job-1/0 ")
			w.sent = nil
			c.event(w, f)
			p := w.c.jobs["job-1"].live[0]
			w.want("moved", p == nil || p.m.name != "n-1" || p.attempt != w.c.token<<24|1, c.moved)
		})
	}
}

// recorded is a record of machines as a former leader left it.
func recorded(names ...string) []MachinesRecord {
	r := MachinesRecord{Key: MachinePrefix + "50-1"}
	for _, n := range names {
		r.Machines = append(r.Machines, MachineRecord{Name: n, Address: n + ":1", Type: "m", Zone: "a"})
	}
	return []MachinesRecord{r}
}

// TestSessionLease: a new session's lease counts from when it began, not from
// the last answer, which belongs to the session before. A machine whose beats
// did not get through was given tasks directly, and counted as lost while they
// ran.
func TestSessionLease(t *testing.T) {
	w := newWorld(t, blue)
	w.begin(100, nil, Snapshot{})
	f := w.machine("n-1", "a").beat()
	w.pass(15 * Second)
	// A direct command is refused: the worker has begun its next session.
	r := f.r
	r.Session, r.Seq = 2, 1
	w.c.Commanded(w.now, "n-1", 100, Refused, &r)
	f.r = r
	w.submit(JobSpec{ID: "job-1", Tasks: 1})
	f.direct()
	w.want("started directly", f.live(), "job-1/0 ")
	for range 5 {
		w.pass(3 * Second)
		f.direct()
		w.want("lost", w.c.machines["n-1"].lost, false)
	}
	w.pass(3 * Second)
	w.want("lost, its lease is over", w.c.machines["n-1"].lost, true)
}

// TestTakeover: a new leader starts nothing that may still run somewhere, and
// counts it, until every recorded machine has answered under the new token or
// its lease is over.
func TestTakeover(t *testing.T) {
	rec := JobRecord{Spec: JobSpec{ID: "job-1", Team: "blue", Tasks: 2, Need: Res{2000, 0, 1000}, Image: "im"}, Stamp: 5}
	fresh := rec
	fresh.Spec.ID = "job-2"
	snap := func() Snapshot {
		return Snapshot{Machines: recorded("n-1"), Open: []string{"job-1"}}
	}
	for _, c := range []struct {
		name  string
		event func(w *world, old, n2 *fake)
		want  int // tasks of the opened job on the new machine
	}{
		{"not heard", func(w *world, old, n2 *fake) { w.pass(10 * Second) }, 0},
		{"report from before the new token", func(w *world, old, n2 *fake) {
			old.r.Seq++
			old.r.Token = 99
			r := old.r
			w.c.Beat(w.now, &r)
			w.step()
		}, 0},
		{"answered under the new token, empty", func(w *world, old, n2 *fake) { old.direct() }, 2},
		{"answered, one task runs there", func(w *world, old, n2 *fake) {
			old.r.Tasks = []TaskReport{{Job: "job-1", Index: 1, Attempt: 7, State: Running}}
			old.direct()
		}, 1},
		{"lease over", func(w *world, old, n2 *fake) {
			for range 6 {
				w.pass(3 * Second)
				n2.beat()
			}
		}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, blue)
			w.begin(100, []JobRecord{rec, fresh}, snap())
			old := w.machine("n-1", "a")
			n2 := w.machine("n-2", "a").beat()
			w.want("probed", len(w.sent) > 0 && w.sent[0].Machine == "n-1" && len(w.sent[0].Commands) == 0, true)
			c.event(w, old, n2)
			old.lossy = true
			old.direct()
			for range 3 {
				n2.beat()
				w.pass(Second / 2)
				n2.direct()
			}
			counts := map[string]int{}
			for _, task := range n2.r.Tasks {
				counts[task.Job]++
			}
			// The machine n-1 takes its share once it is settled.
			for _, m := range w.c.order {
				for _, p := range m.tasks {
					if p.j != nil && m.name == "n-1" && !p.shown {
						counts[p.job]++
					}
				}
			}
			w.want("opened job", counts["job-1"], c.want)
			w.want("job never opened", counts["job-2"], 2)
		})
	}
}

// TestAnswerGrace: a leader whose lease is over renews workers' leases and tells
// them nothing, unless they know a higher token; and the next leader waits as
// much longer for machines that it does not hear.
func TestAnswerGrace(t *testing.T) {
	w := newWorld(t, blue)
	w.begin(100, nil, Snapshot{})
	f := w.machine("n-1", "a").beat()
	r := f.r
	r.Seq++
	w.now += 12 * Second
	token, ok := w.c.BeatInGrace(w.now, &r)
	w.want("answered under the token", ok && token == 100, true)
	w.pass(12 * Second)
	w.want("its lease is over", w.c.machines["n-1"].lost, false)
	r.Seq, r.Token = r.Seq+1, 101
	_, ok = w.c.BeatInGrace(w.now, &r)
	w.want("answered though there is another leader", ok, false)

	w = newWorld(t, blue)
	w.c.cfg.AnswerGrace = 60 * Second
	rec := JobRecord{Spec: JobSpec{ID: "job-1", Team: "blue", Tasks: 1, Need: Res{2000, 0, 1000}, Image: "im"}, Stamp: 5}
	w.begin(100, []JobRecord{rec}, Snapshot{Machines: recorded("n-1"), Open: []string{"job-1"}})
	w.pass(70 * Second)
	w.want("held while it may be answered", w.c.jobs["job-1"].held, true)
	w.pass(10 * Second)
	w.want("held", w.c.jobs["job-1"].held, false)
}

// TestLateStart: a direct start that went unanswered counts as possibly there
// until the machine shows it, has a new session, or has answered under a
// raised token; and it is not forgotten by the worker before.
func TestLateStart(t *testing.T) {
	w := newWorld(t, blue)
	w.begin(100, nil, Snapshot{})
	f := w.machine("n-1", "a").beat()
	f.lossy = true
	w.submit(JobSpec{ID: "job-1", Tasks: 1})
	f.direct()
	w.cancel("job-1")
	f.lossy = false
	for range 3 {
		w.pass(3 * Second)
		f.beat()
	}
	w.want("still counted", w.c.team("blue").used, Res{2000, 0, 2000})
	w.want("asks for a token", w.raise > 0, true)
	w.c.Raised(w.now, 200)
	w.step()
	f.direct()
	f.beat()
	w.pass(3 * Second)
	f.beat()
	w.want("settled", w.c.team("blue").used, Res{})

	// One that is shown and exits is not reaped while the start may arrive.
	f.lossy = true
	w.submit(JobSpec{ID: "job-2", Tasks: 1})
	f.direct()
	f.lossy = false
	f.beat()
	w.want("started through the beat", f.live(), "job-2/0 ")
	f.beat()
	w.cancel("job-2")
	f.direct()
	w.pass(3 * Second)
	f.beat()
	w.pass(3 * Second)
	f.beat()
	w.want("kept", len(f.r.Tasks), 1)
	w.c.Raised(w.now, 300)
	w.step()
	f.direct()
	w.pass(3 * Second)
	f.beat()
	w.want("reaped", len(f.r.Tasks), 0)
}

// TestReturning guards against a machine that is alive but about to be
// returned: until the cloud has answered, which can take minutes when many go
// back, it is told what to stop, and gets nothing to start.
func TestReturning(t *testing.T) {
	w := newWorld(t, blue)
	w.begin(100, nil, Snapshot{})
	f := w.machine("n-1", "a").beat()
	w.submit(JobSpec{ID: "job-1", Tasks: 2})
	f.direct()
	f.beat()
	w.want("runs", f.live(), "job-1/0 job-1/1 ")
	w.c.giveBack(w.c.machines["n-1"], w.now, "silent")
	w.cancel("job-1")
	w.submit(JobSpec{ID: "job-2", Tasks: 1})
	for range 3 {
		w.pass(3 * Second)
		f.beat()
	}
	w.want("left", f.live(), "")
}

// TestAttempts: no attempt is given twice, by any leader.
func TestAttempts(t *testing.T) {
	seen := map[uint64]bool{}
	w := newWorld(t)
	for _, token := range []uint64{1, 2, 3, 500} {
		w.begin(token, nil, Snapshot{})
		for range 1000 {
			a := w.c.nextAttempt()
			if seen[a] {
				t.Fatalf("attempt %d is given twice", a)
			}
			seen[a] = true
		}
	}
}

// TestDone: a job is done only once all its tasks are, and what was finished is
// kept as ranges; exited tasks are forgotten only after that.
func TestDone(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"})
	w.begin(100, nil, Snapshot{})
	f := w.machine("n-1", "a").beat()
	w.submit(JobSpec{ID: "job-1", Tasks: 4})
	f.direct()
	f.beat()
	w.failWrites = true
	for _, i := range []int{0, 1, 3} {
		f.exit(f.index("job-1", f.r.Tasks[i].Index, f.r.Tasks[i].Attempt), CauseDone)
	}
	left := f.r.Tasks[2].Index
	f.beat()
	w.pass(3 * Second)
	f.beat()
	w.want("kept until recorded", len(f.r.Tasks), 4)
	w.failWrites = false
	w.pass(12 * Second)
	f.beat()
	rec, _ := w.puts[RangeKey("job-1", 0)].(RangeRecord)
	want := map[int]string{0: "[1 3]", 1: "[0 0 2 3]", 2: "[0 1 3 3]", 3: "[0 2]"}[left]
	w.want("ranges", fmt.Sprint(rec.Ranges), want)
	w.want("forgotten", len(f.r.Tasks), 1)
	if _, ok := w.puts[""]; ok {
		t.Error("done before the last task")
	}
	f.exit(0, CauseDone)
	f.beat()
	d, ok := w.puts[""].(JobDone)
	w.want("final record", ok && d.Record.Phase == Done, true)
	w.want("bookkeeping dropped", w.drops[RangeKey("job-1", 0)] && w.drops[OpenPrefix+"job-1"], true)

	// A write of ranges that gets no answer does not hold up the final record.
	w.submit(JobSpec{ID: "job-2", Tasks: 2})
	f.direct()
	f.beat()
	f.exit(0, CauseDone)
	f.beat()
	w.hold = RangesPrefix
	w.pass(11 * Second)
	f.exit(1, CauseDone)
	delete(w.puts, "")
	f.beat()
	_, ok = w.puts[""]
	w.want("final record while ranges wait", ok, true)
	for _, id := range w.held {
		w.c.Written(w.now, id, WriteRefused)
	}
	w.pass(3 * Second)
	f.beat()
	w.want("forgotten", len(w.held) > 0 && len(f.r.Tasks) == 0, true)

	// A new leader takes the ranges over and runs only the rest.
	spec := JobSpec{ID: "job-9", Team: "blue", Tasks: 20, Need: Res{1000, 0, 1000}, Image: "im"}
	w2 := newWorld(t, Team{Name: "blue"})
	w2.begin(200, []JobRecord{{Spec: spec, Stamp: 3}}, Snapshot{Ranges: []RangeRecord{{"job-9", 0, []int{0, 14}}, {"job-9", 1, []int{1, 2}}}, Open: []string{"job-9"}})
	w2.want("left", w2.c.jobs["job-9"].pending, 3)
	// What is left of jobs that are over is dropped.
	w2.begin(300, nil, Snapshot{Ranges: []RangeRecord{{"job-9", 0, nil}}, Open: []string{"job-9"}})
	w2.want("dropped", w2.drops[RangeKey("job-9", 0)] && w2.drops[OpenPrefix+"job-9"], true)
}

// TestGang: all or none, one attempt, and a stopped task stops its gang.
func TestGang(t *testing.T) {
	spec := JobSpec{ID: "job-1", Kind: Gang, Tasks: 6, Need: Res{2000, 0, 1000}}
	setup := func(t *testing.T) (*world, []*fake) {
		w := newWorld(t, Team{Name: "blue"})
		w.begin(100, nil, Snapshot{})
		return w, []*fake{w.machine("n-1", "a").beat(), w.machine("n-2", "b").beat()}
	}
	round := func(w *world, fs []*fake) {
		for _, f := range fs {
			f.direct()
			f.beat()
		}
	}
	t.Run("none without room for all", func(t *testing.T) {
		w, fs := setup(t)
		big := spec
		big.Tasks = 9
		w.submit(big)
		round(w, fs)
		w.want("tasks", len(fs[0].r.Tasks)+len(fs[1].r.Tasks), 0)
	})
	t.Run("no victims unless all fit", func(t *testing.T) {
		w, fs := setup(t)
		w.submit(JobSpec{ID: "job-0", Tasks: 8, Priority: Low})
		round(w, fs)
		big := spec
		big.Tasks, big.Priority = 9, High
		w.submit(big)
		round(w, fs)
		w.want("running", len(fs[0].live())+len(fs[1].live()) > 0 && w.c.jobs["job-0"].on == 8, true)
		w.submit(JobSpec{ID: "job-2", Kind: Gang, Tasks: 6, Need: Res{2000, 0, 1000}, Priority: High})
		round(w, fs)
		round(w, fs)
		w.want("gang after eviction", w.c.jobs["job-2"].running, 6)
		w.want("left", w.c.jobs["job-0"].on, 2)
	})
	t.Run("a plan that is dropped leaves no trace", func(t *testing.T) {
		w, fs := setup(t)
		round(w, fs)
		m := w.c.machines["n-1"]
		idle := m.idle
		big := spec
		big.Tasks = 9
		w.submit(big)
		w.pass(5 * Second)
		w.want("idle since, images", fmt.Sprint(m.idle, m.images), fmt.Sprint(idle, []image(nil)))
		w.want("another pass at once", w.c.Wake() < w.now+Second, false)
	})
	t.Run("it rather waits for its image than for a fetch, but not for long", func(t *testing.T) {
		for _, c := range []struct {
			name   string
			within Micros
			frees  bool // the machine with the image falls free
			wait   Micros
			want   string
		}{
			{"falls free", 0, true, Second, "1 0"},
			{"does not", 0, false, Second, "0 0"},
			{"has not for as long as a fetch", 0, false, 9 * Second, "0 1"},
			{"there is no time to wait", 11 * Second, false, Second, "0 1"},
		} {
			w := newWorld(t, Team{Name: "blue"})
			if c.within > 0 {
				w.c.cfg.StartWithin = map[string][]Micros{"train": {c.within}}
			}
			w.begin(100, nil, Snapshot{})
			fs := []*fake{w.machine("n-1", "a").beat()}
			w.submit(JobSpec{ID: "job-0", Tasks: 1, Need: Res{8000, 0, 1000}, Image: "big", ImageMB: 8000})
			round(w, fs)
			fs = append(fs, w.machine("n-2", "a").beat())
			w.submit(JobSpec{ID: "job-1", Class: "train", Kind: Gang, Tasks: 1, Need: Res{8000, 0, 1000}, Image: "big", ImageMB: 8000, Estimate: Second})
			if c.frees {
				fs[0].exit(0, CauseDone)
			}
			fs[0].beat()
			w.pass(c.wait)
			round(w, fs)
			w.pass(Second)
			round(w, fs)
			w.want(c.name, fmt.Sprint(strings.Count(fs[0].live(), "job-1"), strings.Count(fs[1].live(), "job-1")), c.want)
		}
	})
	t.Run("a gang that borrows goes as a whole, or not at all", func(t *testing.T) {
		for _, c := range []struct {
			min  int64 // of the gang's team
			want string
		}{{0, "0 4"}, {4000, "2 0"}} {
			w := newWorld(t, Team{Name: "blue", Min: Res{CPU: c.min}}, Team{Name: "green", Min: Res{CPU: 16000}})
			w.begin(100, nil, Snapshot{})
			fs := []*fake{w.machine("n-1", "a").beat(), w.machine("n-2", "b").beat()}
			w.submit(JobSpec{ID: "job-1", Kind: Gang, Tasks: 2, Need: Res{8000, 0, 1000}})
			round(w, fs)
			w.submit(JobSpec{ID: "job-2", Kind: Gang, Tasks: 4, Need: Res{4000, 0, 1000}, Team: "green"})
			for range 4 {
				w.pass(Second)
				round(w, fs)
			}
			w.want("running", fmt.Sprint(w.c.jobs["job-1"].running, w.c.jobs["job-2"].running), c.want)
		}
	})
	t.Run("victims in the zone where the gang fits", func(t *testing.T) {
		w, fs := setup(t)
		fs = append(fs, w.machine("n-3", "b").beat())
		w.submit(JobSpec{ID: "job-0", Tasks: 4, Zone: "a", Priority: Low})
		w.submit(JobSpec{ID: "job-1", Tasks: 8, Zone: "b", Priority: Low, Checkpoint: Second, SaveCost: 6 * Second})
		round(w, fs)
		// The victims in zone a are cheaper, but only zone b has room for all.
		w.submit(JobSpec{ID: "job-2", Kind: Gang, Tasks: 2, Need: Res{8000, 0, 1000}, Priority: High, OneZone: true})
		for range 3 {
			w.pass(Second)
			round(w, fs)
		}
		w.want("gang", w.c.jobs["job-2"].running, 2)
		w.want("left alone", w.c.jobs["job-0"].running, 4)
	})
	t.Run("a task that exits stops the rest, and all start again with one attempt", func(t *testing.T) {
		w, fs := setup(t)
		w.submit(spec)
		round(w, fs)
		round(w, fs)
		first := w.c.jobs["job-1"].attempt
		fs[0].exit(0, CausePeers)
		for range 4 {
			w.pass(Second)
			round(w, fs)
		}
		attempts := map[uint64]int{}
		for _, f := range fs {
			for _, task := range f.r.Tasks {
				if task.State != Exited {
					attempts[task.Attempt]++
				}
			}
		}
		w.want("attempts", len(attempts) == 1 && attempts[first] == 0 && attempts[w.c.jobs["job-1"].attempt] == 6, true)
	})
}

// TestGangWaits: a gang that has not started keeps what it has, and what it
// lacks is replaced with the same attempt.
func TestGangWaits(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(w *world, fs []*fake) // the gang's two tasks are on n-0 and n-1
		want string                     // its tasks on n-0, n-1, n-2: f for the first attempt, n for a new one
	}{
		{"a task that waited for too long waits again", func(w *world, fs []*fake) {
			fs[0].exit(0, CauseAlone)
		}, "[f f ]"},
		{"but not for ever", func(w *world, fs []*fake) {
			for range waitsMost + 1 {
				if len(fs[0].r.Tasks) > 0 {
					fs[0].exit(0, CauseAlone)
				}
				fs[0].beat()
				fs[0].beat()
			}
		}, "[n n ]"},
		{"the answer that says so is lost", func(w *world, fs []*fake) {
			fs[0].exit(0, CauseAlone)
			r := fs[0].r
			r.Seq++
			fs[0].r.Seq++
			w.c.Beat(w.now, &r)
		}, "[f f ]"},
		{"a lost machine is replaced", func(w *world, fs []*fake) {
			w.c.Returned(w.now, []string{"n-0"}, true)
			fs[0].r.Tasks = nil
		}, "[ f f]"},
		{"a machine that is taken away is replaced once its task is gone", func(w *world, fs []*fake) {
			fs[0].r.Notice = 20 * Second
		}, "[ f f]"},
		{"no room for what is lacking", func(w *world, fs []*fake) {
			w.c.Returned(w.now, []string{"n-2"}, true)
			fs[0].r.Notice = 20 * Second
			for range 4 {
				fs[0].beat()
				fs[1].beat()
				w.pass(3 * Second)
			}
		}, "[  ]"},
		{"a gang that runs starts anew", func(w *world, fs []*fake) {
			fs[0].r.Tasks[0].State, fs[1].r.Tasks[0].State = Running, Running
			fs[0].beat()
			fs[1].beat()
			fs[0].r.Notice = 20 * Second
		}, "[ n n]"},
		{"a new leader completes it", func(w *world, fs []*fake) {
			var jobs []JobRecord
			for _, j := range w.c.jobs {
				jobs = append(jobs, j.rec)
			}
			fs[0].r.Tasks = nil // it was never told
			w.begin(200, jobs, Snapshot{Machines: recorded("n-0", "n-1", "n-2"), Open: []string{"job-1"}})
		}, "[f f ]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, Team{Name: "blue"})
			w.begin(100, nil, Snapshot{})
			var fs []*fake
			for i := range 3 {
				f := w.machine(fmt.Sprintf("n-%d", i), "a").beat()
				f.slow = true
				fs = append(fs, f)
			}
			round := func() {
				for _, f := range fs {
					if w.c.machines[f.r.Machine] != nil {
						f.direct()
						f.beat()
					}
				}
			}
			w.submit(JobSpec{ID: "job-1", Kind: Gang, Tasks: 2, Need: Res{8000, 0, 1000}, OneZone: true})
			round()
			first := w.c.jobs["job-1"].attempt
			for _, f := range fs[:2] {
				w.want("fetching", len(f.r.Tasks) == 1 && f.r.Tasks[0].State == Fetching, true)
				f.r.Tasks[0].State = Waiting
				f.beat()
			}
			c.do(w, fs)
			for range 4 {
				w.pass(Second)
				round()
			}
			got := make([]string, len(fs))
			for i, f := range fs {
				for _, task := range f.r.Tasks {
					if task.State != Exited && task.Attempt == first {
						got[i] += "f"
					} else if task.State != Exited {
						got[i] += "n"
					}
				}
			}
			w.want("on machines", fmt.Sprint(got), c.want)
		})
	}
}

// TestFaults: machines that fail several jobs are emptied and returned; a job
// that fails everywhere backs off and evicts nobody.
func TestFaults(t *testing.T) {
	t.Run("quarantine", func(t *testing.T) {
		w := newWorld(t, Team{Name: "blue"})
		w.begin(100, nil, Snapshot{})
		f := w.machine("n-1", "a").beat()
		w.submit(JobSpec{ID: "job-1", Tasks: 1})
		w.submit(JobSpec{ID: "job-2", Tasks: 1})
		f.direct()
		f.beat()
		f.exit(0, CauseError)
		f.exit(1, CauseError)
		f.beat()
		w.pass(Second)
		f.beat()
		w.pass(2 * Second)
		w.want("returned", len(w.backs) == 1 && w.backs[0].Reason == "drained", true)
	})
	t.Run("job that fails everywhere", func(t *testing.T) {
		w := newWorld(t, blue, green)
		w.begin(100, nil, Snapshot{})
		var fs []*fake
		for i := range 3 {
			fs = append(fs, w.machine(fmt.Sprintf("n-%d", i), "a").beat())
		}
		w.submit(JobSpec{ID: "job-1", Team: "green", Tasks: 1})
		for range 12 {
			w.pass(Second / 2)
			for _, f := range fs {
				f.direct()
				for i := range f.r.Tasks {
					if f.r.Tasks[i].State != Exited {
						f.exit(i, CauseError)
					}
				}
				f.beat()
			}
		}
		j := w.c.jobs["job-1"]
		w.want("machines it failed on", len(j.errors), 3)
		w.want("backs off", j.notBefore > w.now, true)
		w.want("no machine is blamed for one job", len(w.backs), 0)
		w.submit(JobSpec{ID: "job-2", Tasks: 6})
		for range 3 {
			for _, f := range fs {
				f.direct()
				f.beat()
			}
		}
		w.want("borrowers stay", w.c.reclaim(j, Res{}, w.now, "", &reclaimPlan{}) == nil, true)
	})
}

// TestFleet: what is rented, and what goes back.
func TestFleet(t *testing.T) {
	t.Run("spot for jobs that allow it, once", func(t *testing.T) {
		w := newWorld(t, Team{Name: "blue"})
		w.begin(100, nil, Snapshot{})
		w.submit(JobSpec{ID: "job-1", Tasks: 8, Spot: true})
		w.pass(2 * Second)
		w.want("requests", len(w.rents), 1)
		w.want("rented", fmt.Sprint(w.rents[0].Spot, w.rents[0].Count), "true 2")
		w.c.Rented(w.now, w.now, w.rents[0].Request, RentGranted, []string{"n-1", "n-2"})
		w.pass(5 * Second)
		w.want("nothing twice", len(w.rents), 1)
	})
	t.Run("a machine that is overdue does not count as coming", func(t *testing.T) {
		w := newWorld(t, Team{Name: "blue"})
		w.begin(100, nil, Snapshot{})
		w.submit(JobSpec{ID: "job-1", Tasks: 1, Zone: "b"})
		w.pass(Second)
		w.c.Rented(w.now, w.now, w.rents[0].Request, RentGranted, []string{"n-1"})
		w.pass(25 * Second)
		w.want("rented while it is coming", len(w.rents), 1)
		w.pass(10 * Second)
		w.want("rented when it is overdue", len(w.rents), 2)
	})
	t.Run("refused capacity is remembered, names are not used again", func(t *testing.T) {
		w := newWorld(t, Team{Name: "blue"})
		w.begin(100, nil, Snapshot{})
		w.submit(JobSpec{ID: "job-1", Tasks: 1, Zone: "b"})
		w.pass(Second)
		w.c.Rented(w.now, w.now, w.rents[0].Request, RentRefused, nil)
		w.pass(5 * Second)
		w.want("asked while refused", len(w.rents), 1)
		w.pass(15 * Second)
		w.want("asked again", len(w.rents) == 2 && w.rents[0].Request != w.rents[1].Request, true)
	})
	t.Run("an unanswered request is repeated under its name", func(t *testing.T) {
		w := newWorld(t, Team{Name: "blue"})
		w.begin(100, nil, Snapshot{})
		w.submit(JobSpec{ID: "job-1", Tasks: 1})
		w.pass(Second)
		name := w.rents[0].Request
		w.c.Rented(w.now, w.now, name, RentUnknown, nil)
		w.pass(2 * Second)
		w.want("repeated", len(w.rents) == 2 && w.rents[1].Request == name, true)
	})
	t.Run("what a former leader rented counts as coming, until it is not listed in time", func(t *testing.T) {
		w := newWorld(t, Team{Name: "blue"})
		job := JobRecord{Spec: JobSpec{ID: "job-1", Team: "blue", Tasks: 4, Need: Res{2000, 0, 2000}, Image: "im", Zone: "b"}, Stamp: 5}
		w.now = 100 * Second
		w.begin(200, []JobRecord{job}, Snapshot{Rents: []RentRecord{{Request: "r-1", Type: "m", Zone: "b", Count: 1, Machines: []string{"n-1"}, At: 96 * Second}}})
		w.pass(2 * Second)
		w.want("rented", len(w.rents), 0)
		w.c.Listed(w.now, nil)
		w.pass(2 * Second)
		w.want("rented, the list is late", len(w.rents), 0)
		w.pass(12 * Second)
		w.c.Listed(w.now, nil)
		w.pass(2 * Second)
		w.want("rented, it is gone", len(w.rents), 1)
	})
	t.Run("idle machines go back after a minute, drained ones at once", func(t *testing.T) {
		w := newWorld(t, Team{Name: "blue"})
		w.begin(100, nil, Snapshot{})
		f := w.machine("n-1", "a").beat()
		g := w.machine("n-2", "a").beat()
		for range 14 {
			w.pass(Second)
			f.beat()
			g.beat()
		}
		w.c.Listed(w.now, []Listed{{Name: "n-1", Age: 30 * Second}, {Name: "n-2", Age: 30 * Second}})
		g.r.Notice = 10 * Second
		g.beat()
		w.pass(Second)
		w.want("back", fmt.Sprint(w.backs), "[{[n-2] drained}]")
		w.c.Returned(w.now, []string{"n-2"}, true)
		for range 35 {
			w.pass(Second)
			f.beat()
		}
		w.want("back later", len(w.backs) == 2 && w.backs[1].Machines[0] == "n-1" && w.backs[1].Reason == "idle", true)
	})
	t.Run("many go back with one request; one that reports again before is kept", func(t *testing.T) {
		w := newWorld(t, Team{Name: "blue"})
		w.begin(100, nil, Snapshot{})
		var fs []*fake
		for i := range 4 {
			fs = append(fs, w.machine(fmt.Sprintf("n-%d", i), "a").beat())
		}
		ms := w.c.machines
		w.c.giveBack(ms["n-0"], w.now, "idle")
		w.step()
		for _, n := range []string{"n-1", "n-2", "n-3"} {
			ms[n].silent = true
			w.c.giveBack(ms[n], w.now, silentWhy)
		}
		w.step()
		w.want("one request at a time", fmt.Sprint(w.backs), "[{[n-0] idle}]")
		fs[2].beat()
		w.c.Returned(w.now, []string{"n-0"}, true)
		w.step()
		w.want("the rest together", fmt.Sprint(w.backs[1:]), "[{[n-1 n-3] silent}]")
		w.c.Returned(w.now, []string{"n-1", "n-3"}, false)
		w.pass(2 * Second)
		w.want("asked again", fmt.Sprint(w.backs[2:]), "[{[n-1 n-3] silent}]")
	})
	t.Run("a silent machine is returned, unless it is this side that hears nothing", func(t *testing.T) {
		for _, c := range []struct{ heard, want int }{{3, 1}, {0, 0}} {
			w := newWorld(t, Team{Name: "blue"})
			w.begin(100, nil, Snapshot{})
			var fs []*fake
			for i := range 4 {
				fs = append(fs, w.machine(fmt.Sprintf("n-%d", i), "a").beat())
			}
			fs[3].lossy = true
			for range 12 {
				w.pass(Second)
				for i, f := range fs {
					f.lossy = i >= c.heard
					f.direct()
					if i < c.heard {
						f.beat()
					}
				}
			}
			w.want("returned", len(w.backs), c.want)
		}
	})
	t.Run("a machine that one service keeps rented is emptied, one that batches use is not", func(t *testing.T) {
		for _, c := range []struct {
			batch bool
			want  string
		}{{false, "[{[n-1] drained}]"}, {true, "[]"}} {
			w := newWorld(t, Team{Name: "blue"})
			w.begin(100, nil, Snapshot{})
			f, g := w.machine("n-1", "a").beat(), w.machine("n-2", "b").beat()
			round := func() {
				w.pass(Second)
				for _, x := range []*fake{f, g} {
					x.direct()
					x.beat()
				}
			}
			// One service on n-1; n-2 is fuller and has room for it.
			w.submit(JobSpec{ID: "job-1", Kind: Service, Tasks: 1, Zone: "a"})
			w.submit(JobSpec{ID: "job-2", Kind: Service, Tasks: 2, Zone: "b"})
			if c.batch {
				w.submit(JobSpec{ID: "job-3", Tasks: 1, Zone: "a"})
			}
			for range 60 { // until no more services are expected
				round()
			}
			w.c.jobs["job-1"].spec.Zone = ""
			for range 5 {
				round()
			}
			w.want("services", w.c.jobs["job-1"].running+w.c.jobs["job-2"].running, 3)
			w.want("back", fmt.Sprint(w.backs), c.want)
		}
	})
	t.Run("the more services, the more move in a second", func(t *testing.T) {
		// After a batch left them thinly spread: one service on every machine.
		moves := func(machines int) int {
			w := newWorld(t, Team{Name: "blue"})
			w.begin(100, nil, Snapshot{})
			var fs []*fake
			for i := range machines {
				fs = append(fs, w.machine(fmt.Sprintf("n-%03d", i), "a").beat())
			}
			w.submit(JobSpec{ID: "job-1", Tasks: machines, Need: Res{7000, 0, 1000}})
			w.submit(JobSpec{ID: "job-2", Kind: Service, Tasks: machines, Need: Res{1000, 0, 1000}})
			round := func() {
				for _, f := range fs {
					f.direct()
					f.beat()
				}
			}
			round()
			round()
			w.want("services", w.c.jobs["job-2"].running, machines)
			w.cancel("job-1")
			round()
			before := w.c.attempts
			for range 20 {
				w.pass(Second)
				round()
			}
			return int(w.c.attempts - before)
		}
		few, many := moves(20), moves(200)
		w := &world{t: t}
		one := 20 * float64(Second) / float64(vacateShare) // a service's moves in that time
		w.want("few move", float64(few) >= 1 && float64(few) <= 20*one+1, true)
		w.want("many move", float64(many) >= 0.8*200*one && float64(many) <= 1.2*200*one, true)
	})
	t.Run("what a class with a start aim may need before a machine comes is held, by the next leader too", func(t *testing.T) {
		const sooner, later = 2 * Second, 60 * Second
		for _, c := range []struct {
			name   string
			within Micros
			gone   bool // no more jobs come
			want   int  // machines that go back
		}{
			{"no aim", 0, false, 2},
			{"renting would be too late", sooner, false, 0},
			{"renting is in time", later, false, 2},
			{"no more are expected", sooner, true, 2},
		} {
			w := newWorld(t, Team{Name: "blue"})
			w.c.cfg.Tuning.Hold = 1000 * Second
			if c.within > 0 {
				w.c.cfg.StartWithin = map[string][]Micros{"sweep": {c.within}}
			}
			w.begin(100, nil, Snapshot{})
			fs := []*fake{w.machine("n-1", "a"), w.machine("n-2", "b")}
			for _, f := range fs {
				f.r.Type = "g" // of its CPUs one task leaves most, but no GPU
			}
			sweep := JobSpec{Class: "sweep", Tasks: 2, Need: Res{1000, 2000, 1000}}
			n := 0
			// All that is seen in this time is a job every other report.
			rounds := func(count int, jobs bool) {
				for i := range count {
					w.pass(3 * Second)
					for _, f := range fs {
						f.direct()
						f.beat()
					}
					if id := fmt.Sprint("job-", n); jobs && i%2 == 0 {
						n++
						sweep.ID = fmt.Sprint("job-", n)
						w.submit(sweep)
					} else if w.c.jobs[id] != nil {
						w.cancel(id)
					}
				}
			}
			rounds(10, false)
			rounds(10, true)
			rounds(6, false) // but for this pause
			rounds(20, !c.gone)
			w.want("returned, "+c.name, w.backs != nil, c.want > 0)
			if c.want > 0 {
				continue
			}
			var records []MachineRecord
			for i, f := range fs {
				records = append(records, MachineRecord{Name: f.r.Machine, Address: f.r.Address, Type: "g", Zone: string(rune('a' + i))})
			}
			sweep.Tasks, sweep.ID, sweep.Team, sweep.Image = 1, "job-100", "blue", "im"
			w.begin(200, []JobRecord{{Spec: sweep, Stamp: 5}}, Snapshot{Machines: []MachinesRecord{{MachinePrefix + "1-1", records}}})
			n = 200
			rounds(30, true)
			w.want("returned by the next leader", len(w.backs), 0)
			// A machine that is lost is replaced before any task waits.
			w.rents = nil
			w.c.Returned(w.now, []string{"n-2"}, true)
			w.pass(2 * Second)
			w.want("rented in its place", len(w.rents), 1)
			w.pass(2 * Second)
			w.want("not asked for twice", len(w.rents), 1)
		}
	})
	for _, c := range []struct {
		name string
		typ  string
		snap Snapshot
	}{
		{"a machine of a type that nobody knows goes back", "new", Snapshot{}},
		{"a machine taken over empty goes back", "m", Snapshot{Machines: recorded("n-1")}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, Team{Name: "blue"})
			w.begin(100, nil, c.snap)
			f := w.machine("n-1", "a")
			f.r.Type = c.typ
			for range 25 {
				f.direct()
				f.beat()
				w.pass(3 * Second)
			}
			w.want("back", len(w.backs), 1)
		})
	}
	t.Run("a machine that never comes up goes back", func(t *testing.T) {
		w := newWorld(t, Team{Name: "blue"})
		w.begin(100, nil, Snapshot{})
		w.submit(JobSpec{ID: "job-1", Tasks: 1})
		w.pass(Second)
		w.c.Rented(w.now, w.now, w.rents[0].Request, RentGranted, []string{"n-1"})
		w.c.Listed(w.now, []Listed{{Name: "n-1", Type: "m", Zone: "a", Booting: true}})
		w.pass(75 * Second)
		w.want("back", len(w.backs) > 0 && w.backs[0].Reason == "never came up", true)
	})
}

// TestLeaseUntil: a leader stops before its lease can be over by another clock.
func TestLeaseUntil(t *testing.T) {
	if got := LeaseUntil(10*Second, 3*Second); got >= 13*Second || got < 12*Second {
		t.Errorf("acts until %d", got)
	}
}

func TestRanges(t *testing.T) {
	for _, c := range []struct {
		done []int
		want string
	}{
		{nil, "[]"}, {[]int{0}, "[0 0]"}, {[]int{0, 1, 2, 5}, "[0 2 5 5]"}, {[]int{15, 16, 17}, "[15 15]"},
	} {
		j := newJob(JobRecord{Spec: JobSpec{Tasks: 20}}, 0)
		for _, i := range c.done {
			j.set(i, taskDone)
		}
		if got := fmt.Sprint(j.ranges(0, 16)); got != c.want {
			t.Errorf("%v: got %s, want %s", c.done, got, c.want)
		}
	}
}

// TestOverload: once there is more work than room, the largest late jobs go
// behind, so that the others are on time.
func TestOverload(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"})
	w.begin(100, nil, Snapshot{})
	w.machine("n-1", "a").beat()
	job := func(id string, tasks int, due Micros) {
		w.submit(JobSpec{ID: id, Tasks: tasks, Estimate: 20 * Second, Due: due, Need: Res{8000, 0, 1000}})
	}
	job("job-1", 1, 45*Second)
	job("job-2", 4, 60*Second) // 80 s of work: cannot be done by then
	job("job-3", 1, 70*Second)
	job("job-4", 1, 10*Second) // too late already
	w.pass(Second)
	for id, rank := range map[string]int{"job-1": 0, "job-2": 2, "job-3": 0, "job-4": 2} {
		w.want(id, w.c.jobs[id].rank, rank)
	}
	order := ""
	for _, j := range w.c.queue {
		order += j.spec.ID + " "
	}
	w.want("queue", order, "job-1 job-3 job-4 job-2 ")
}

// TestShouldResign guards against a leader that is cut off from the workers
// alone and keeps its lease while theirs run out.
func TestShouldResign(t *testing.T) {
	const gap = 3 * Second
	for _, c := range []struct {
		name            string
		begun, lastBeat Micros
		peer, want      bool
	}{
		{"hears workers", 0, 99 * Second, true, false},
		{"a short silence", 0, 94 * Second, true, false},
		{"silence, a peer hears them", 0, 92 * Second, true, true},
		{"silence for all", 0, 50 * Second, false, false},
		{"new term", 95 * Second, 50 * Second, true, false},
	} {
		if got := ShouldResign(100*Second, c.begun, c.lastBeat, gap, c.peer); got != c.want {
			t.Errorf("%s: got %v", c.name, got)
		}
	}
}

// TestWorkPerEvent counts, with a thousand machines and ten thousand tasks,
// how many machines and jobs an ordinary beat has the core look at: a walk over
// all of them for every event is what made large deployments short of
// processor time.
func TestWorkPerEvent(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"})
	w.begin(100, nil, Snapshot{})
	fs := make([]*fake, 1000)
	for i := range fs {
		fs[i] = w.machine(fmt.Sprintf("n-%04d", i), "ab"[i%2:i%2+1])
		fs[i].r.Seq++
		r := fs[i].r
		w.c.Beat(w.now, &r)
	}
	w.step()
	for i := range 100 {
		w.c.Job(w.now, w.now, JobRecord{Spec: JobSpec{ID: fmt.Sprintf("job-%d", i), Team: "blue", Tasks: 100, Need: Res{800, 0, 1000}, Image: "im"}, Stamp: 5})
	}
	w.step()
	for _, s := range w.sent {
		w.c.Commanded(w.now, s.Machine, s.Token, Executed, nil)
	}
	w.step()
	w.want("jobs placed", w.c.jobs["job-99"].pending, 0)
	w.sent = nil

	// One worker reports; its tasks run, and one of them has ended.
	m := w.c.machines["n-0007"]
	r := fs[7].r
	r.Seq += 5
	for _, p := range m.tasks {
		r.Tasks = append(r.Tasks, TaskReport{Job: p.job, Index: p.index, Attempt: p.attempt, State: Running})
	}
	r.Tasks[0].State, r.Tasks[0].Cause = Exited, CauseDone
	w.c.Beat(w.now, &r)
	w.want("machines to be told something", len(w.c.touched), 1)
	w.want("jobs with something to write", len(w.c.ended), 1)
	w.want("the queue is not gone through: no task waits", w.c.lookForRoom(w.now), false)
	w.step()

	// Work waits that fits only where the task ended.
	w.c.Job(w.now, w.now, JobRecord{Spec: JobSpec{ID: "job-100", Team: "blue", Tasks: 500, Need: Res{800, 0, 1000}, Image: "im"}, Stamp: 5})
	w.c.lookForRoom(w.now)
	w.want("machines looked at for each task", len(w.c.roomy), 1)
	w.want("no victims are looked for where there can be none", w.c.mayReclaim(w.c.jobs["job-100"], false), false)

	// Gangs that find no room, nor victims who would make any, are looked at once
	// a pass for all of their shape, and not again before something changes.
	for i := range 50 {
		w.c.Job(w.now, w.now, JobRecord{Spec: JobSpec{ID: fmt.Sprintf("job-2%02d", i), Team: "blue", Kind: Gang, Tasks: 4, Priority: High,
			Need: Res{8000, 0, 1000}, Types: []string{"g"}, OneZone: true, Image: "im"}, Stamp: 5})
	}
	w.pass(Second / 2)
	w.c.looked = 0
	w.pass(Second)
	// A pass a second; victims in each of two zones and tries without any.
	w.want("machines looked at for gangs", w.c.looked >= 1000 && w.c.looked <= 2100, true)

	// CPUs alone make no room: GPUs or memory may be what is used up.
	for _, c := range []struct {
		used Res
		want int
	}{{Res{}, 1}, {Res{Mem: 32000}, 0}, {Res{GPU: 1}, 0}} {
		m.used = c.used
		w.c.lookForRoom(w.now)
		w.want(fmt.Sprint("machines with room where this is used: ", c.used), len(w.c.roomy), c.want)
	}
}

// TestHeldAtOnce: machines are held for a class whose tasks are to start sooner
// than a machine can be rented, and for no other. A class with a start aim of 90 s
// had a machine rented for every task that waited, in time or not.
func TestHeldAtOnce(t *testing.T) {
	for _, c := range []struct {
		within Micros
		rents  bool
	}{{2 * Second, true}, {90 * Second, false}, {28 * Second, true}} {
		w := newWorld(t, Team{Name: "blue"})
		w.c.cfg.StartWithin = map[string][]Micros{"sweep": {c.within}}
		w.begin(100, nil, Snapshot{})
		f := w.machine("n-1", "a").beat()
		w.submit(JobSpec{ID: "job-1", Class: "sweep", Tasks: 4, Estimate: 10 * Second, Due: 300 * Second})
		w.rounds(3, []*fake{f})
		w.submit(JobSpec{ID: "job-2", Class: "sweep", Tasks: 4, Estimate: 10 * Second, Due: 300 * Second})
		w.rounds(4, []*fake{f})
		w.want(fmt.Sprintf("rented for tasks that wait for 10 s, to start within %d s", c.within/Second), len(w.rents) > 0, c.rents)
	}
}
