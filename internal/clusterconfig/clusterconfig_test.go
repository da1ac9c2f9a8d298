package clusterconfig_test

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"aspenstall/internal/clusterconfig"
	"aspenstall/internal/core"
	"aspenstall/internal/wire"
)

// cpus returns a team with a CPU guarantee and limit, in thousandths.
func cpus(guarantee, limit int64) clusterconfig.Team {
	return clusterconfig.Team{Min: core.Resources{CPU: guarantee}, Max: core.Resources{CPU: limit}, PriorityCap: core.Production}
}

var base = clusterconfig.Base{
	Teams:  map[string]clusterconfig.Team{"blue": cpus(4000, 8000), "free": cpus(0, 0)},
	Tuning: core.Tuning{IdleTimeout: 10 * core.Second, SpareTasks: 3},
}

// TestOverlayOn checks that a configuration replaces the base's values within the base's limits.
func TestOverlayOn(t *testing.T) {
	idle := 2.5
	for _, c := range []struct {
		name   string
		config clusterconfig.Config
		want   map[string]clusterconfig.Team
		idle   core.Micros
	}{
		{"nothing", clusterconfig.Config{}, base.Teams, 10 * core.Second},
		{"a quota within the platform's", clusterconfig.Config{Teams: map[string]clusterconfig.Team{"blue": cpus(1000, 6000)}},
			map[string]clusterconfig.Team{"blue": cpus(1000, 6000), "free": cpus(0, 0)}, 10 * core.Second},
		// The platform's file is now stricter than the one that the configuration was checked
		// against.
		{"a limit over the platform's", clusterconfig.Config{Teams: map[string]clusterconfig.Team{"blue": cpus(9000, 9000)}},
			map[string]clusterconfig.Team{"blue": cpus(8000, 8000), "free": cpus(0, 0)}, 10 * core.Second},
		{"no limit where the platform has one", clusterconfig.Config{Teams: map[string]clusterconfig.Team{"blue": cpus(0, 0)}},
			map[string]clusterconfig.Team{"blue": cpus(0, 8000), "free": cpus(0, 0)}, 10 * core.Second},
		{"a limit where the platform has none", clusterconfig.Config{Teams: map[string]clusterconfig.Team{"free": cpus(0, 5000)}},
			map[string]clusterconfig.Team{"blue": cpus(4000, 8000), "free": cpus(0, 5000)}, 10 * core.Second},
		{"a team that is added, and a setting", clusterconfig.Config{Teams: map[string]clusterconfig.Team{"red": cpus(1, 2)}, Tuning: clusterconfig.Tuning{IdleReturnS: &idle}},
			map[string]clusterconfig.Team{"blue": cpus(4000, 8000), "free": cpus(0, 0), "red": cpus(1, 2)}, 2500 * core.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := c.config.OverlayOn(&base)
			if !maps.Equal(e.Teams, c.want) || e.Tuning.IdleTimeout != c.idle || e.Tuning.SpareTasks != 3 {
				t.Errorf("got %+v", e)
			}
		})
	}
}

func TestCheck(t *testing.T) {
	low := cpus(0, 8000)
	low.PriorityCap = core.Normal
	capped := clusterconfig.Base{Teams: map[string]clusterconfig.Team{"blue": low}}
	for _, c := range []struct {
		name, team string
		value      clusterconfig.Team
		base       clusterconfig.Base
		want       string // "" if it is valid
	}{
		{"good", "blue", cpus(1000, 8000), base, ""},
		{"added", "red", cpus(0, 0), base, ""},
		{"over the platform's limit", "blue", cpus(0, 8001), base, `:teams "blue" :cpus-max: the limit is over the platform's, 8`},
		{"without a limit where the platform has one", "blue", cpus(0, 0), base, `:teams "blue" :cpus-max: the limit is over the platform's, 8`},
		{"a guarantee over the limit", "red", cpus(9000, 8000), base, `:teams "red" :cpus: the guarantee 9 is over the limit 8`},
		{"negative", "red", cpus(-1, 0), base, `:teams "red" :cpus: negative`},
		{"a name with a space", "two words", cpus(0, 0), base, `:teams "two words": want a name of 1 to 64 bytes without spaces`},
		{"a cap over the settings'", "blue", cpus(0, 8000), capped, `:teams "blue" :cap: higher than the settings' cap, :normal`},
	} {
		t.Run(c.name, func(t *testing.T) {
			config := clusterconfig.Config{Teams: map[string]clusterconfig.Team{c.team: c.value}}
			got := ""
			if p := config.Check(&c.base); p != nil {
				got = p.Error()
			}
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

func TestDiffAndWarnings(t *testing.T) {
	to := clusterconfig.Config{Teams: map[string]clusterconfig.Team{"blue": cpus(4000, 6000), "red": cpus(90_000, 0)}}
	var got []string
	for _, d := range clusterconfig.Diff((&clusterconfig.Config{}).OverlayOn(&base), to.OverlayOn(&base)) {
		got = append(got, d.String())
	}
	want := []string{
		"team blue :cpus-max: 8 -> 6", "team red :cpus: none -> 90", "team red :cpus-max: none -> unlimited", "team red :gpus: none -> 0",
		"team red :gpus-max: none -> unlimited", "team red :cap: none -> :production", "team red :draining: none -> false",
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %q", got)
	}
	if w := to.Warnings(&base, core.Resources{CPU: 50_000}); len(w) != 1 || !strings.Contains(w[0], "94 CPUs") {
		t.Errorf("warnings %q", w)
	}
	if gone := clusterconfig.RemovedTeams(&to, &clusterconfig.Config{}, &base); !slices.Equal(gone, []string{"red"}) {
		t.Errorf("removed %q, want red only: a team of the platform is never removed", gone)
	}
}

// fakeStore is a state service in memory that holds only the configuration's records.
type fakeStore struct {
	revision uint64
	keys     map[string]entry
	log      []change
}

type entry struct {
	value    []byte
	revision uint64
}

type change struct {
	key      string
	value    []byte // nil if the key was deleted
	revision uint64
}

// commit executes a transaction of a plan. It returns false, and writes nothing, if the head isn't
// at the given revision.
func (s *fakeStore) commit(t *testing.T, head uint64, writes []clusterconfig.Write, limits clusterconfig.Limits) bool {
	t.Helper()
	if len(writes) > limits.TxnOps {
		t.Fatalf("%d changes in a transaction of %d", len(writes), limits.TxnOps)
	}
	if s.keys[clusterconfig.HeadKey].revision != head {
		return false
	}
	s.revision++
	for _, w := range writes {
		if w.Head == nil && w.Page == nil {
			delete(s.keys, w.Key)
			s.log = append(s.log, change{w.Key, nil, s.revision})
			continue
		}
		b, err := wire.ConfigCodec{}.Encode(w)
		if err != nil {
			t.Fatal(err)
		}
		if n := (wire.ConfigCodec{}).Size(b); n > limits.ValueBytes {
			t.Fatalf("%s takes %d bytes of %d", w.Key, n, limits.ValueBytes)
		}
		s.keys[w.Key] = entry{b, s.revision}
		s.log = append(s.log, change{w.Key, b, s.revision})
	}
	return true
}

// records returns the stored records.
func (s *fakeStore) records(t *testing.T) *clusterconfig.Records {
	t.Helper()
	r := &clusterconfig.Records{Pages: map[string]clusterconfig.Page{}, PageRevisions: map[string]uint64{}}
	for key, e := range s.keys {
		var err error
		if key == clusterconfig.HeadKey {
			r.Head, err = wire.DecodeConfigHead(e.value)
			r.HeadRevision = e.revision
		} else {
			r.Pages[key], err = wire.DecodeConfigPage(e.value)
			r.PageRevisions[key] = e.revision
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	return r
}

// feedFollower passes one change to a follower.
func feedFollower(f *clusterconfig.Follower, c change) {
	switch {
	case c.value == nil:
		f.DropPage(c.key, c.revision)
	case c.key == clusterconfig.HeadKey:
		h, err := wire.DecodeConfigHead(c.value)
		f.UpdateHead(h, c.revision, err)
	default:
		p, err := wire.DecodeConfigPage(c.value)
		if err == nil {
			f.UpdatePage(c.key, p, c.revision)
		}
	}
}

// operator is an operator whose transactions are executed one by one, late or never.
type operator struct {
	plan *clusterconfig.Plan
	to   *clusterconfig.Config
	next int
}

var walkCount = flag.Int("walks", 60, "the number of random walks of TestRandomWalk")

// TestRandomWalk lets three operators change the configuration, with their transactions
// interleaved, lost, late and repeated. Three followers read the changes in pieces, from the log or
// as a listing, and read some changes again. The test checks that no follower goes back to an older
// version or uses a configuration that was never a version, and that all followers agree in the
// end. The long form, outside CI:
//
//	go test ./internal/clusterconfig -run TestRandomWalk -walks 500
func TestRandomWalk(t *testing.T) {
	limits := clusterconfig.Limits{ValueBytes: 400, TxnOps: 3}
	made, conflicts, spanned := 0, 0, 0
	for seed := range *walkCount {
		r := rand.New(rand.NewPCG(uint64(seed), 1))
		s := &fakeStore{keys: map[string]entry{}}
		versions := map[uint64]*clusterconfig.Config{} // by the head's revision
		var operators [3]*operator
		var late []func()
		followers := make([]*clusterconfig.Follower, 3)
		read := make([]int, 3)         // number of changes of the log that were read
		revisions := make([]uint64, 3) // of the heads in use
		for i := range followers {
			followers[i] = clusterconfig.NewFollower()
		}
		execute := func(w *operator, n int) bool {
			ok := s.commit(t, w.plan.HeadRevision, w.plan.Transactions[n], limits)
			if ok && n == len(w.plan.Transactions)-1 {
				versions[s.revision] = w.to
				made++
				if n > 0 {
					spanned++
				}
			}
			return ok
		}
		resolve := func(i int) {
			f := followers[i]
			if _, err := f.Resolve(); err != nil && !errors.Is(err, clusterconfig.ErrPageMissing) {
				t.Fatal(err)
			}
			_, revision := f.EffectiveVersion()
			if revision < revisions[i] {
				t.Fatalf("seed %d: a follower went back from revision %d to %d", seed, revisions[i], revision)
			}
			revisions[i] = revision
			if revision > 0 && !sameTeams(f.Config(), versions[revision]) {
				t.Fatalf("seed %d: a follower uses a configuration that was never a version", seed)
			}
		}
		for step := range 200 {
			switch i := r.IntN(3); r.IntN(8) {
			case 0: // an operator reads, and plans a change
				to := randomConfig(r)
				plan, err := clusterconfig.PlanChange(s.records(t), to, fmt.Sprint("change-", step), limits, wire.ConfigCodec{})
				if err != nil {
					t.Fatal(err)
				}
				operators[i] = &operator{plan: plan, to: to}
			case 1, 2, 3: // an operator's next transaction is executed, delayed or repeated
				w := operators[i]
				if w == nil || w.next >= len(w.plan.Transactions) {
					continue
				}
				n := w.next
				switch r.IntN(4) {
				case 0:
					late = append(late, func() { execute(w, n) })
				case 1:
					execute(w, n)
					late = append(late, func() { execute(w, n) })
					w.next++
				default:
					if !execute(w, n) {
						conflicts++
						operators[i] = nil
						continue
					}
					w.next++
				}
			case 4: // a delayed transaction is executed
				if len(late) > 0 {
					k := r.IntN(len(late))
					late[k]()
					late = slices.Delete(late, k, k+1)
				}
			case 5: // a follower reads on from the log, and sometimes repeats older changes
				from := max(0, read[i]-r.IntN(3))
				to := from + r.IntN(len(s.log)-from+1)
				for _, c := range s.log[from:to] {
					feedFollower(followers[i], c)
				}
				read[i] = max(read[i], to)
				resolve(i)
			case 6: // a follower reads a listing of all keys
				for key, e := range s.keys {
					feedFollower(followers[i], change{key, e.value, e.revision})
				}
				read[i] = len(s.log)
				resolve(i)
			case 7: // a follower's process restarts
				followers[i], read[i], revisions[i] = clusterconfig.NewFollower(), 0, 0
			}
		}
		for i, f := range followers {
			for _, c := range s.log {
				feedFollower(f, c)
			}
			resolve(i)
			if !f.Current() {
				t.Fatalf("seed %d: a follower that has read everything is not current", seed)
			}
			if got, err := s.records(t).Config(); err != nil || !sameTeams(got, f.Config()) {
				t.Fatalf("seed %d: a follower's configuration differs from the stored one, %v", seed, err)
			}
		}
	}
	t.Logf("%d versions, %d conflicts, %d changes of several transactions", made, conflicts, spanned)
	if made < 5**walkCount || conflicts < *walkCount || spanned < *walkCount {
		t.Errorf("too few versions (%d), conflicts (%d) or changes of several transactions (%d)", made, conflicts, spanned)
	}
}

// sameTeams reports whether two configurations have the same teams.
func sameTeams(a, b *clusterconfig.Config) bool {
	return b != nil && (len(a.Teams) == 0 && len(b.Teams) == 0 || reflect.DeepEqual(a.Teams, b.Teams))
}

// randomConfig returns a configuration of up to 59 teams with random limits.
func randomConfig(r *rand.Rand) *clusterconfig.Config {
	c := &clusterconfig.Config{Teams: map[string]clusterconfig.Team{}}
	for i := range r.IntN(60) {
		if r.IntN(3) > 0 {
			c.Teams[fmt.Sprintf("team-%02d", i)] = cpus(0, int64(r.IntN(3))*1000)
		}
	}
	return c
}

// TestStaleReads checks that records from an older, overlapping read change nothing and leave the
// follower current.
func TestStaleReads(t *testing.T) {
	page := clusterconfig.PagePrefix + "x"
	headOf := func(version uint64) clusterconfig.Head {
		return clusterconfig.Head{Format: clusterconfig.Format, Version: version, Pages: []string{page}}
	}
	f := clusterconfig.NewFollower()
	f.UpdatePage(page, clusterconfig.Page{Teams: map[string]clusterconfig.Team{"blue": cpus(0, 1)}}, 4) // deleted at 6 and written again at 8
	f.UpdatePage(page, clusterconfig.Page{Teams: map[string]clusterconfig.Team{"blue": cpus(0, 1)}}, 8)
	f.UpdateHead(headOf(3), 8, nil)
	if changed, err := f.Resolve(); !changed || err != nil {
		t.Fatal(changed, err)
	}
	f.UpdateHead(headOf(1), 4, nil)
	f.UpdatePage(page, clusterconfig.Page{}, 4)
	f.DropPage(page, 6)
	changed, err := f.Resolve()
	if version, _ := f.EffectiveVersion(); changed || err != nil || version != 3 || !f.Current() {
		t.Errorf("after an older read: changed %v, %v, version %d, current %v", changed, err, version, f.Current())
	}
	f.UpdateHead(headOf(4), 9, nil) // names the page that was kept
	if changed, err := f.Resolve(); !changed || err != nil || f.Config().Teams["blue"] != cpus(0, 1) {
		t.Errorf("after the next version: changed %v, %v, %+v", changed, err, f.Config())
	}
}

// TestNewerFormat checks that a head of a newer format is refused with an error that is returned
// once, and that neither it nor the version before may be used for decisions.
func TestNewerFormat(t *testing.T) {
	f := clusterconfig.NewFollower()
	if !f.MayDecide(100*core.Second, 0) {
		t.Error("decisions are refused without a configuration, want them allowed")
	}
	f.UpdateHead(clusterconfig.Head{Format: clusterconfig.Format}, 1, nil)
	if changed, err := f.Resolve(); !changed || err != nil || !f.MayDecide(core.Second, 0) || f.MayDecide(clusterconfig.FreshnessTTL, 0) {
		t.Errorf("changed %v, %v; want decisions after a fresh read only", changed, err)
	}
	f.UpdateHead(clusterconfig.Head{Format: clusterconfig.Format + 1}, 2, nil)
	if changed, err := f.Resolve(); changed || !errors.Is(err, clusterconfig.ErrNewerFormat) || f.MayDecide(0, 0) {
		t.Errorf("changed %v, %v; want ErrNewerFormat and no decisions", changed, err)
	}
	if _, err := f.Resolve(); err != nil {
		t.Errorf("the same error is returned again: %v", err)
	}
	f.UpdateHead(clusterconfig.Head{Format: clusterconfig.Format}, 3, nil)
	if changed, err := f.Resolve(); !changed || err != nil || !f.MayDecide(0, 0) {
		t.Errorf("after a head of a known format: changed %v, %v", changed, err)
	}
}

// TestLeftoverPages checks that pages which a failed change or a failed deletion left are deleted with
// the next change, at the revision at which they were read. Otherwise they stay for ever.
func TestLeftoverPages(t *testing.T) {
	limits := clusterconfig.Limits{ValueBytes: 400, TxnOps: 2} // the last transaction deletes nothing
	s := &fakeStore{keys: map[string]entry{}}
	plan := func(limit int64) *clusterconfig.Plan {
		to := &clusterconfig.Config{Teams: map[string]clusterconfig.Team{"blue": cpus(0, limit)}}
		p, err := clusterconfig.PlanChange(s.records(t), to, fmt.Sprint("change-", limit), limits, wire.ConfigCodec{})
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	pages := func(p *clusterconfig.Plan) (keys []string) {
		for _, w := range slices.Concat(p.Transactions...) {
			if w.Page != nil {
				keys = append(keys, w.Key)
			}
		}
		return keys
	}
	first, lost := plan(1000), plan(2000)
	s.commit(t, 0, first.Transactions[0], limits)
	// Of a change that failed, the page alone is written.
	page := slices.DeleteFunc(slices.Concat(lost.Transactions...), func(w clusterconfig.Write) bool { return w.Page == nil })
	s.commit(t, s.keys[clusterconfig.HeadKey].revision, page, limits)
	next := plan(3000)
	for _, key := range append(pages(first), pages(lost)...) {
		if !slices.Contains(next.UnusedPages, clusterconfig.UnusedPage{Key: key, Revision: s.keys[key].revision}) {
			t.Errorf("page %s is not deleted: %v", key, next.UnusedPages)
		}
	}
}
