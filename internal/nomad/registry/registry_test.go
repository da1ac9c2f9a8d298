package registry

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"aspenstall/internal/core"
	"aspenstall/internal/nomad/translate"
	"aspenstall/internal/wire"
)

// fakeStore is a minimal state service that executes changes.
type fakeStore struct {
	revision       uint64
	jobs           map[string]core.JobRecord
	keys           map[string]wire.Write // the current records by key
	revisions      map[string]uint64     // their revisions
	writes         []wire.Write          // all writes in order
	writeRevisions []uint64              // their revisions
	nextID         int
	running        map[string]int // number of running tasks by native job
}

func newFakeStore() *fakeStore {
	return &fakeStore{revision: 10, jobs: map[string]core.JobRecord{}, keys: map[string]wire.Write{}, revisions: map[string]uint64{}, running: map[string]int{}}
}

func (s *fakeStore) Record(id string) (core.JobRecord, bool)  { r, ok := s.jobs[id]; return r, ok }
func (s *fakeStore) TaskCounts(id string) (done, running int) { return 0, s.running[id] }
func (s *fakeStore) newID() string                            { s.nextID++; return fmt.Sprintf("job-%06d", s.nextID) }

// finish ends a native job in a phase and returns the new revision.
func (s *fakeStore) finish(id string, phase core.Phase) uint64 {
	s.revision++
	r := s.jobs[id]
	r.Phase, r.Revision = phase, s.revision
	s.jobs[id] = r
	return s.revision
}

// commit executes a change like the state service. It returns false if a condition fails.
func (s *fakeStore) commit(change *Change) bool {
	for _, c := range change.Conditions {
		if s.revisions[c.Key] != c.ModRevision {
			return false
		}
	}
	for _, r := range change.Cancel {
		if s.jobs[r.Spec.ID].Revision != r.Revision {
			return false
		}
	}
	s.revision++
	for _, spec := range change.Start {
		s.jobs[spec.ID] = core.JobRecord{Spec: spec, Revision: s.revision}
	}
	for _, r := range change.Cancel {
		r.Phase, r.Revision = core.Cancelled, s.revision
		s.jobs[r.Spec.ID] = r
	}
	for _, w := range change.Writes {
		s.writes, s.writeRevisions = append(s.writes, w), append(s.writeRevisions, s.revision)
		if w.Put != "" {
			s.keys[w.Put], s.revisions[w.Put] = w, s.revision
		} else {
			delete(s.keys, w.Delete)
			delete(s.revisions, w.Delete)
		}
	}
	return true
}

// cleanUp executes a change's cleanup like the state service.
func (s *fakeStore) cleanUp(change *Change) {
	for _, d := range change.Cleanup {
		if s.revisions[d.Key] == d.ModRevision {
			s.commit(&Change{Writes: []wire.Write{{Delete: d.Key}}})
		}
	}
}

// handleWrite passes a write to the registry.
func (r *Registry) handleWrite(w wire.Write, rev uint64) error {
	if w.Put == "" {
		r.HandleDelete(w.Delete, rev)
		return nil
	}
	_, _, err := r.HandlePut(w.Put, w.Value, rev)
	return err
}

// replay passes the writes from an index on to a registry.
func (s *fakeStore) replay(t *testing.T, r *Registry, from int) {
	t.Helper()
	for i := from; i < len(s.writes); i++ {
		if err := r.handleWrite(s.writes[i], s.writeRevisions[i]); err != nil {
			t.Fatal(err)
		}
	}
}

var testLimits = Limits{MaxOps: 12, MaxValueBytes: 4096}

// testGroups returns groups from strings of the form name=content.
func testGroups(names ...string) []translate.Group {
	var out []translate.Group
	for _, n := range names {
		name, content, _ := strings.Cut(n, "=")
		out = append(out, translate.Group{Name: name, Digest: "of " + content, Spec: core.JobSpec{Tasks: 3}})
	}
	return out
}

// newRegistration returns a registration of job j of team blue.
func newRegistration(source string, g ...string) Registration {
	packed, err := Pack([]byte(source))
	if err != nil {
		panic(err) // memory does not fail
	}
	return Registration{Name: Name{"blue", "j"}, Source: packed, Groups: testGroups(g...)}
}

// A new version replaces the native jobs of changed groups and keeps those of unchanged ones. Equal
// content changes nothing, unless the job was stopped.
func TestRegister(t *testing.T) {
	s := newFakeStore()
	r := New(testLimits, s)
	register := func(reg Registration, start, end, keep int) {
		t.Helper()
		from := len(s.writes)
		change, err := r.Register(reg, s.newID, 7)
		if err != nil {
			t.Fatal(err)
		}
		if len(change.Start) != start || len(change.Cancel) != end || len(change.Keep) != keep {
			t.Fatalf("starts %d, cancels %d, keeps %d; want %d, %d, %d", len(change.Start), len(change.Cancel), len(change.Keep), start, end, keep)
		}
		if n := len(change.Writes) + start + end; n > testLimits.MaxOps {
			t.Errorf("%d operations", n)
		}
		if !change.Empty() && !s.commit(change) {
			t.Fatal("conflict")
		}
		s.replay(t, r, from)
	}
	register(newRegistration("1", "a=1", "b=1"), 2, 0, 0)
	register(newRegistration("1", "a=1", "b=1"), 0, 0, 2)
	register(newRegistration("2", "a=2", "b=1"), 1, 1, 1)
	j := r.Get(Name{"blue", "j"})
	s.finish(j.Groups[1].Native, core.Done)
	// A completed native job is not started again, but one that was cancelled separately is.
	register(newRegistration("3", "a=2", "b=1", "c=1"), 1, 0, 2)
	s.finish(r.Get(j.Name).Groups[0].Native, core.Cancelled)
	register(newRegistration("4", "a=2", "b=1", "c=2"), 2, 1, 1)
	change, err := r.Deregister(j.Name, false)
	if err != nil || len(change.Cancel) != 2 || !s.commit(change) {
		t.Fatalf("%+v %v", change, err)
	}
	s.replay(t, r, len(s.writes)-1)
	if change, _ := r.Deregister(j.Name, false); !change.Empty() {
		t.Error("a stopped job was stopped again")
	}
	if st := r.Status(r.Get(j.Name)); st != Dead {
		t.Errorf("the status of a stopped job is %s", st)
	}
	register(newRegistration("4", "a=2", "b=1", "c=2"), 3, 0, 0)
	for i := range 8 {
		register(newRegistration(fmt.Sprint(5+i), "a=2", "b=1", "c=2"), 0, 0, 3)
	}
	j = r.Get(j.Name)
	if v := j.Versions(); len(v) != testLimits.maxVersions() || v[0] != j.Version || j.Version != 12 || j.CreateIndex != 11 {
		t.Errorf("version %d, created at %d, stored versions %v", j.Version, j.CreateIndex, v)
	}
	b, _, _, err := j.Source(j.Version)
	if err != nil || string(b) != "12" {
		t.Errorf("source %q %v", b, err)
	}
	if change, err = r.Deregister(j.Name, true); err != nil || !s.commit(change) {
		t.Fatal(err)
	}
	s.replay(t, r, 0)
	if r.Get(j.Name) != nil || len(s.keys) != 1 || len(r.orphanedSources) != 0 || len(r.byNative) != 0 {
		t.Errorf("after the purge: %d keys, %d orphaned sources, %d native jobs", len(s.keys), len(r.orphanedSources), len(r.byNative))
	}
	// A new node reads the one remaining record, which determines the index of the team.
	fresh := New(testLimits, s)
	for k, w := range s.keys {
		if err := fresh.handleWrite(w, s.revisions[k]); err != nil {
			t.Fatal(err)
		}
	}
	if i := fresh.TeamIndex("blue"); i != r.TeamIndex("blue") || i != s.revision {
		t.Errorf("the index was %d, and is %d on a new node", r.TeamIndex("blue"), i)
	}
	if g := r.Purged("blue", 0); len(g) != 1 || g[0].Index != s.revision || len(r.Purged("blue", s.revision)) != 0 || len(r.Purged("green", 0)) != 0 {
		t.Errorf("purged: %v", g)
	}
}

// An enforced index must be the current one. A retry of the registration that replaced it also
// succeeds.
func TestEnforceIndex(t *testing.T) {
	s := newFakeStore()
	r := New(testLimits, s)
	step := func(source string, index uint64, conflict bool) uint64 {
		t.Helper()
		g := newRegistration(source, "a="+source)
		g.EnforceIndex, g.ExpectedIndex = true, index
		from := len(s.writes)
		change, err := r.Register(g, s.newID, 0)
		var ce *ConflictError
		if errors.As(err, &ce) != conflict || err != nil && !conflict {
			t.Fatalf("source %s at index %d: %v", source, index, err)
		}
		if err == nil && !change.Empty() {
			s.commit(change)
			s.replay(t, r, from)
		}
		return s.revision
	}
	step("1", 5, true)
	one := step("1", 0, false)
	step("1", 0, false) // a retry
	step("2", 0, true)
	two := step("2", one, false)
	step("2", one, false) // a retry
	step("2", two, false)
	step("3", one, true)
	step("1", one, true)
}

// Of two changes that were computed from the same state, only the first is written.
func TestConflict(t *testing.T) {
	s := newFakeStore()
	r := New(testLimits, s)
	one, _ := r.Register(newRegistration("1", "a=1"), s.newID, 0)
	two, _ := r.Register(newRegistration("2", "a=2"), s.newID, 0)
	if !s.commit(one) || s.commit(two) {
		t.Error("want the first change written and the second refused")
	}
	s.replay(t, r, 0)
	// A write that is received a second time is not a change.
	for _, w := range s.keys {
		if _, again, err := r.HandlePut(w.Put, w.Value, s.revisions[w.Put]); again || err != nil {
			t.Errorf("%s: changed again, error %v", w.Put, err)
		}
	}
	version, _ := r.Register(newRegistration("2", "a=2"), s.newID, 0)
	stop, _ := r.Deregister(Name{"blue", "j"}, false)
	native := r.Get(Name{"blue", "j"}).Groups[0].Native
	s.finish(native, core.Done)
	if s.commit(version) || s.commit(stop) {
		t.Error("a change was written although a native job was completed in the meantime")
	}
}

// A change that is executed late, after others of the same job, is refused: also where a purge has
// brought the job's keys back to the state that the change was computed from.
func TestLateChange(t *testing.T) {
	job := Name{"blue", "j"}
	register := func(source string) func(*Registry, *fakeStore) (*Change, error) {
		return func(r *Registry, s *fakeStore) (*Change, error) {
			return r.Register(newRegistration(source, "a="+source), s.newID, 0)
		}
	}
	deregister := func(purge bool) func(*Registry, *fakeStore) (*Change, error) {
		return func(r *Registry, _ *fakeStore) (*Change, error) { return r.Deregister(job, purge) }
	}
	type step = func(*Registry, *fakeStore) (*Change, error)
	purgeByEarlierVersion := func(r *Registry, _ *fakeStore) (*Change, error) {
		change, err := r.Deregister(job, true)
		for i := range change.Writes {
			if change.Writes[i].Put == purgeKey(job) {
				change.Writes[i].Put = teamPurgeKey(job.Team)
			}
		}
		return change, err
	}
	for _, c := range []struct {
		name         string
		before       []step // executed before the late change is computed
		late         step
		beforeItRuns []step // executed between
	}{
		{"a first registration, after its retry", nil, register("1"), []step{register("1")}},
		{"a first registration, after its retry and a purge", nil, register("1"), []step{register("1"), deregister(true)}},
		{"a first registration, after its retry, a stop and a purge", nil, register("1"), []step{register("1"), deregister(false), deregister(true)}},
		{"a registration after a purge, after its retry and a purge", []step{register("1"), deregister(true)}, register("1"), []step{register("1"), deregister(true)}},
		{"a first registration, after a purge by an earlier version of the program", nil, register("1"), []step{register("1"), purgeByEarlierVersion}},
		{"a new version, after its retry and a purge", []step{register("1")}, register("2"), []step{register("2"), deregister(true)}},
		{"a new version, after a purge and a registration", []step{register("1")}, register("2"), []step{deregister(true), register("1")}},
		{"a stop, after a purge and a registration", []step{register("1")}, deregister(false), []step{deregister(true), register("1")}},
		{"a purge, after its retry and a registration", []step{register("1")}, deregister(true), []step{deregister(true), register("1")}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFakeStore()
			r := New(testLimits, s)
			execute := func(steps []step) {
				for i, compute := range steps {
					from := len(s.writes)
					change, err := compute(r, s)
					if err != nil || !s.commit(change) {
						t.Fatalf("step %d: %v", i, err)
					}
					s.replay(t, r, from)
				}
			}
			execute(c.before)
			late, err := c.late(r, s)
			if err != nil {
				t.Fatal(err)
			}
			execute(c.beforeItRuns)
			if s.commit(late) {
				t.Error("the late change was executed")
			}
		})
	}
}

// A purge that is too large for one transaction deletes the remaining sources afterwards. If these
// deletions are executed late, they leave the sources of a job that was registered again, without
// which no machine could run it.
func TestLateCleanup(t *testing.T) {
	s := newFakeStore()
	r := New(testLimits, s)
	from := 0
	execute := func(change *Change, err error) *Change {
		t.Helper()
		if err != nil || !s.commit(change) {
			t.Fatalf("not executed: %v", err)
		}
		s.replay(t, r, from)
		from = len(s.writes)
		return change
	}
	for i := range testLimits.maxVersions() {
		execute(r.Register(newRegistration(fmt.Sprint(i), "a=1"), s.newID, 0))
	}
	r.limits.MaxOps = 4 // as after a restart with lower limits
	purge := execute(r.Deregister(Name{"blue", "j"}, true))
	if len(purge.Cleanup) < 2 {
		t.Fatalf("the purge leaves %d sources", len(purge.Cleanup))
	}
	for i := range testLimits.maxVersions() {
		execute(r.Register(newRegistration(fmt.Sprint("again ", i), "a=1"), s.newID, 0))
	}
	s.cleanUp(purge)
	s.replay(t, r, from)
	j := r.Get(Name{"blue", "j"})
	if _, _, _, err := j.Source(j.Version); err != nil {
		t.Error(err)
	}
}

func TestLimits(t *testing.T) {
	s := newFakeStore()
	r := New(testLimits, s)
	noise := make([]byte, 4000)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range noise {
		noise[i] = byte(rng.Uint32())
	}
	for _, c := range []struct {
		reg  Registration
		want string
	}{
		{newRegistration("1", "a=1", "b=1", "c=1", "d=1", "e=1"), "at most 4"},
		{newRegistration(string(noise), "a=1"), "when packed"},
		{newRegistration(strings.Repeat("x", 100_000), "a=1"), ""},
	} {
		_, err := r.Register(c.reg, s.newID, 0)
		var large *TooLargeError
		if c.want == "" && err != nil || c.want != "" && (!errors.As(err, &large) || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("want %q, got %v", c.want, err)
		}
	}
}

// loggedChange is a transaction that changed a job: a range of the store's writes.
type loggedChange struct {
	job      Name
	from, to int
}

// apply passes the writes of a change to a registry.
func (c loggedChange) apply(t *testing.T, s *fakeStore, r *Registry) {
	t.Helper()
	for i := c.from; i < c.to; i++ {
		if err := r.handleWrite(s.writes[i], s.writeRevisions[i]); err != nil {
			t.Fatal(err)
		}
	}
}

// A node that receives its own writes early, some writes twice and, after a gap, a complete list
// reaches the same state as a node that receives all writes in order.
func TestRecordOrder(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 3))
		s := newFakeStore()
		writer := New(testLimits, s)
		var changes []loggedChange
		for range 30 {
			n := Name{"blue", string(rune('a' + rng.IntN(3)))}
			g := newRegistration(fmt.Sprint(rng.IntN(3)), fmt.Sprintf("x=%d", rng.IntN(2)), fmt.Sprintf("y=%d", rng.IntN(2)))
			g.Name = n
			change, err := writer.Register(g, s.newID, 0)
			if rng.IntN(4) == 0 {
				change, err = writer.Deregister(n, rng.IntN(2) == 0)
			}
			if err != nil {
				t.Fatal(err)
			}
			from := len(s.writes)
			if change == nil || change.Empty() {
				continue
			}
			s.commit(change)
			s.replay(t, writer, from)
			changes = append(changes, loggedChange{n, from, len(s.writes)})
		}
		shuffled, inOrder := New(testLimits, s), New(testLimits, s)
		same := func(a, b *Registry) {
			t.Helper()
			x, y := a.List("blue", ""), b.List("blue", "")
			if len(x) != len(y) {
				t.Fatalf("seed %d: %d and %d jobs", seed, len(x), len(y))
			}
			for i := range x {
				if !reflect.DeepEqual(x[i], y[i]) {
					t.Errorf("seed %d:\n%+v\n%+v", seed, x[i], y[i])
				}
			}
			if a.TeamIndex("blue") != b.TeamIndex("blue") || len(a.byNative) != len(b.byNative) {
				t.Errorf("seed %d: indexes %d and %d, %d and %d native jobs", seed, a.TeamIndex("blue"), b.TeamIndex("blue"), len(a.byNative), len(b.byNative))
			}
		}
		delivered := rng.IntN(len(changes) + 1)
		for i := range delivered {
			// The node's own write may come early, unless an earlier change to the same job is
			// still missing: the node would not have made the write then.
			if k := i + 1 + rng.IntN(3); k < delivered && rng.IntN(2) == 0 {
				if !slices.ContainsFunc(changes[i:k], func(c loggedChange) bool { return c.job == changes[k].job }) {
					changes[k].apply(t, s, shuffled)
				}
			}
			changes[i].apply(t, s, shuffled)
			if rng.IntN(3) == 0 {
				changes[i].apply(t, s, shuffled)
			}
			changes[i].apply(t, s, inOrder)
		}
		same(inOrder, shuffled)
		listed := map[string]bool{}
		keys := make([]string, 0, len(s.keys))
		for k := range s.keys {
			listed[k] = true
			keys = append(keys, k)
		}
		slices.Sort(keys)
		rng.Shuffle(len(keys), func(i, k int) { keys[i], keys[k] = keys[k], keys[i] })
		for _, k := range keys {
			if err := shuffled.handleWrite(s.keys[k], s.revisions[k]); err != nil {
				t.Fatal(err)
			}
		}
		shuffled.HandleKeyList(listed, s.revision+100)
		same(writer, shuffled)
	}
}
