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

// store is a state service of the smallest kind: it executes changes.
type store struct {
	rev     uint64
	jobs    map[string]core.JobRecord
	keys    map[string]wire.Write
	stamps  map[string]uint64
	log     []wire.Write // what was written, in order, with its revision
	at      []uint64
	nextID  int
	running map[string]int
}

func newStore() *store {
	return &store{rev: 10, jobs: map[string]core.JobRecord{}, keys: map[string]wire.Write{}, stamps: map[string]uint64{}, running: map[string]int{}}
}

func (s *store) Record(id string) (core.JobRecord, bool) { r, ok := s.jobs[id]; return r, ok }
func (s *store) Counts(id string) (done, running int)    { return 0, s.running[id] }
func (s *store) id() string                              { s.nextID++; return fmt.Sprintf("job-%06d", s.nextID) }
func (s *store) finish(id string, phase core.Phase) uint64 {
	s.rev++
	r := s.jobs[id]
	r.Phase, r.Revision = phase, s.rev
	s.jobs[id] = r
	return s.rev
}

// execute executes a change as the state service does; false for a conflict.
func (s *store) execute(ch *Change) bool {
	for _, c := range ch.Conds {
		if s.stamps[c.Key] != c.ModRevision {
			return false
		}
	}
	for _, r := range ch.End {
		if s.jobs[r.Spec.ID].Revision != r.Revision {
			return false
		}
	}
	s.rev++
	for _, spec := range ch.Start {
		s.jobs[spec.ID] = core.JobRecord{Spec: spec, Revision: s.rev}
	}
	for _, r := range ch.End {
		r.Phase, r.Revision = core.Cancelled, s.rev
		s.jobs[r.Spec.ID] = r
	}
	for _, w := range ch.Puts {
		s.log, s.at = append(s.log, w), append(s.at, s.rev)
		if w.Put != "" {
			s.keys[w.Put], s.stamps[w.Put] = w, s.rev
		} else {
			delete(s.keys, w.Delete)
			delete(s.stamps, w.Delete)
		}
	}
	return true
}

func (r *Registry) apply(w wire.Write, rev uint64) error {
	if w.Put == "" {
		r.Drop(w.Delete, rev)
		return nil
	}
	_, _, err := r.Put(w.Put, w.Value, rev)
	return err
}

func (s *store) catchUp(t *testing.T, r *Registry, from int) {
	t.Helper()
	for i := from; i < len(s.log); i++ {
		if err := r.apply(s.log[i], s.at[i]); err != nil {
			t.Fatal(err)
		}
	}
}

var limits = Limits{Ops: 12, ValueLen: 4096}

// groups are groups of a job by name and content.
func groups(names ...string) []translate.Group {
	var out []translate.Group
	for _, n := range names {
		name, content, _ := strings.Cut(n, "=")
		out = append(out, translate.Group{Name: name, Digest: "of " + content, Spec: core.JobSpec{Tasks: 3}})
	}
	return out
}

func reg(source string, g ...string) Registration {
	return Registration{Name: Name{"blue", "j"}, Source: []byte(source), Groups: groups(g...)}
}

// Versions replace what differs and keep what does not; the same content
// changes nothing, unless the job was stopped.
func TestRegister(t *testing.T) {
	s := newStore()
	r := New(limits, s)
	do := func(reg Registration, start, end, keep int) {
		t.Helper()
		from := len(s.log)
		ch, err := r.Register(reg, s.id, 7)
		if err != nil {
			t.Fatal(err)
		}
		if len(ch.Start) != start || len(ch.End) != end || len(ch.Keep) != keep {
			t.Fatalf("starts %d, ends %d, keeps %d; want %d, %d, %d", len(ch.Start), len(ch.End), len(ch.Keep), start, end, keep)
		}
		if n := len(ch.Puts) + start + end; n > limits.Ops {
			t.Errorf("%d parts", n)
		}
		if !ch.Empty() && !s.execute(ch) {
			t.Fatal("conflict")
		}
		s.catchUp(t, r, from)
	}
	do(reg("1", "a=1", "b=1"), 2, 0, 0)
	do(reg("1", "a=1", "b=1"), 0, 0, 2)
	do(reg("2", "a=2", "b=1"), 1, 1, 1)
	j := r.Get(Name{"blue", "j"})
	s.finish(j.Groups[1].Native, core.Done)
	do(reg("3", "a=2", "b=1", "c=1"), 1, 0, 2) // what is done stays done
	s.finish(r.Get(j.Name).Groups[0].Native, core.Cancelled)
	do(reg("4", "a=2", "b=1", "c=2"), 2, 1, 1) // what was cancelled from outside begins again
	ch, err := r.Deregister(j.Name, false)
	if err != nil || len(ch.End) != 2 || !s.execute(ch) {
		t.Fatalf("%+v %v", ch, err)
	}
	s.catchUp(t, r, len(s.log)-1)
	if ch, _ := r.Deregister(j.Name, false); !ch.Empty() {
		t.Error("stopped twice")
	}
	if st := r.Status(r.Get(j.Name)); st != Dead {
		t.Errorf("stopped, it is %s", st)
	}
	do(reg("4", "a=2", "b=1", "c=2"), 3, 0, 0)
	for i := range 8 {
		do(reg(fmt.Sprint(5+i), "a=2", "b=1", "c=2"), 0, 0, 3)
	}
	j = r.Get(j.Name)
	if v := j.Versions(); len(v) != limits.kept() || v[0] != j.Version || j.Version != 12 || j.CreateIndex != 11 {
		t.Errorf("version %d, created at %d, kept %v", j.Version, j.CreateIndex, v)
	}
	b, _, _, err := j.Source(j.Version)
	if err != nil || string(b) != "12" {
		t.Errorf("source %q %v", b, err)
	}
	if ch, err = r.Deregister(j.Name, true); err != nil || !s.execute(ch) {
		t.Fatal(err)
	}
	s.catchUp(t, r, 0)
	if r.Get(j.Name) != nil || len(s.keys) != 1 || len(r.orphans) != 0 || len(r.byNative) != 0 {
		t.Errorf("left behind: %d keys, %d orphans, %d natives", len(s.keys), len(r.orphans), len(r.byNative))
	}
	// A node that starts now reads one record, which holds the index.
	fresh := New(limits, s)
	for k, w := range s.keys {
		if err := fresh.apply(w, s.stamps[k]); err != nil {
			t.Fatal(err)
		}
	}
	if i := fresh.TeamIndex("blue"); i != r.TeamIndex("blue") || i != s.rev {
		t.Errorf("the index was %d and is %d at a new node", r.TeamIndex("blue"), i)
	}
	if g := r.Purged("blue", 0); len(g) != 1 || g[0].Index != s.rev || len(r.Purged("blue", s.rev)) != 0 || len(r.Purged("green", 0)) != 0 {
		t.Errorf("purged: %v", g)
	}
}

// An index to enforce holds for a job as it is, and for a retry of what made it so.
func TestEnforce(t *testing.T) {
	s := newStore()
	r := New(limits, s)
	step := func(source string, index uint64, conflict bool) uint64 {
		t.Helper()
		g := reg(source, "a="+source)
		g.Enforce, g.Index = true, index
		from := len(s.log)
		ch, err := r.Register(g, s.id, 0)
		var ce *ConflictError
		if errors.As(err, &ce) != conflict || err != nil && !conflict {
			t.Fatalf("%s at %d: %v", source, index, err)
		}
		if err == nil && !ch.Empty() {
			s.execute(ch)
			s.catchUp(t, r, from)
		}
		return s.rev
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

// Of two changes that were worked out from the same state, one is written.
func TestConflict(t *testing.T) {
	s := newStore()
	r := New(limits, s)
	one, _ := r.Register(reg("1", "a=1"), s.id, 0)
	two, _ := r.Register(reg("2", "a=2"), s.id, 0)
	if !s.execute(one) || s.execute(two) {
		t.Error("both were written, or none")
	}
	s.catchUp(t, r, 0)
	// Its own write, heard of again, is no change.
	for _, w := range s.keys {
		if _, again, err := r.Put(w.Put, w.Value, s.stamps[w.Put]); again || err != nil {
			t.Errorf("%s: a change again, %v", w.Put, err)
		}
	}
	version, _ := r.Register(reg("2", "a=2"), s.id, 0)
	stop, _ := r.Deregister(Name{"blue", "j"}, false)
	native := r.Get(Name{"blue", "j"}).Groups[0].Native
	s.finish(native, core.Done)
	if s.execute(version) || s.execute(stop) {
		t.Error("a job that is done was ended")
	}
}

func TestLimits(t *testing.T) {
	s := newStore()
	r := New(limits, s)
	noise := make([]byte, 4000)
	dice := rand.New(rand.NewPCG(1, 1))
	for i := range noise {
		noise[i] = byte(dice.Uint32())
	}
	for _, c := range []struct {
		reg  Registration
		want string
	}{
		{reg("1", "a=1", "b=1", "c=1", "d=1", "e=1"), "at most 4"},
		{reg(string(noise), "a=1"), "when packed"},
		{reg(strings.Repeat("x", 100_000), "a=1"), ""},
	} {
		_, err := r.Register(c.reg, s.id, 0)
		var large *TooLargeError
		if c.want == "" && err != nil || c.want != "" && (!errors.As(err, &large) || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("want %q, got %v", c.want, err)
		}
	}
}

// change is what one transaction wrote of a job: a part of the store's log.
type change struct {
	job      Name
	from, to int
}

func (c change) apply(t *testing.T, s *store, r *Registry) {
	t.Helper()
	for i := c.from; i < c.to; i++ {
		if err := r.apply(s.log[i], s.at[i]); err != nil {
			t.Fatal(err)
		}
	}
}

// Two nodes hear of the same records, one of its own writes early, of some
// twice, and by a whole list after a gap: they come to know the same.
func TestOrderDoesNotMatter(t *testing.T) {
	for seed := range uint64(50) {
		dice := rand.New(rand.NewPCG(seed, 3))
		s := newStore()
		writer := New(limits, s)
		var changes []change
		for range 30 {
			n := Name{"blue", string(rune('a' + dice.IntN(3)))}
			g := reg(fmt.Sprint(dice.IntN(3)), fmt.Sprintf("x=%d", dice.IntN(2)), fmt.Sprintf("y=%d", dice.IntN(2)))
			g.Name = n
			ch, err := writer.Register(g, s.id, 0)
			if dice.IntN(4) == 0 {
				ch, err = writer.Deregister(n, dice.IntN(2) == 0)
			}
			if err != nil {
				t.Fatal(err)
			}
			from := len(s.log)
			if ch == nil || ch.Empty() {
				continue
			}
			s.execute(ch)
			s.catchUp(t, writer, from)
			changes = append(changes, change{n, from, len(s.log)})
		}
		other, inOrder := New(limits, s), New(limits, s)
		same := func(a, b *Registry) {
			t.Helper()
			x, y := a.List("blue", ""), b.List("blue", "")
			if len(x) != len(y) {
				t.Fatalf("seed %d: %d jobs and %d", seed, len(x), len(y))
			}
			for i := range x {
				if !reflect.DeepEqual(x[i], y[i]) {
					t.Errorf("seed %d:\n%+v\n%+v", seed, x[i], y[i])
				}
			}
			if a.TeamIndex("blue") != b.TeamIndex("blue") || len(a.byNative) != len(b.byNative) {
				t.Errorf("seed %d: index %d and %d, %d natives and %d", seed, a.TeamIndex("blue"), b.TeamIndex("blue"), len(a.byNative), len(b.byNative))
			}
		}
		cut := dice.IntN(len(changes) + 1)
		for i := range cut {
			// Its own write may come early, unless another change to the job is
			// not known yet: it would not have been written then.
			if k := i + 1 + dice.IntN(3); k < cut && dice.IntN(2) == 0 {
				if !slices.ContainsFunc(changes[i:k], func(c change) bool { return c.job == changes[k].job }) {
					changes[k].apply(t, s, other)
				}
			}
			changes[i].apply(t, s, other)
			if dice.IntN(3) == 0 {
				changes[i].apply(t, s, other)
			}
			changes[i].apply(t, s, inOrder)
		}
		same(inOrder, other)
		have := map[string]bool{}
		keys := make([]string, 0, len(s.keys))
		for k := range s.keys {
			have[k] = true
			keys = append(keys, k)
		}
		slices.Sort(keys)
		dice.Shuffle(len(keys), func(i, k int) { keys[i], keys[k] = keys[k], keys[i] })
		for _, k := range keys {
			if err := other.apply(s.keys[k], s.stamps[k]); err != nil {
				t.Fatal(err)
			}
		}
		other.Missing(have, s.rev+100)
		same(writer, other)
	}
}
