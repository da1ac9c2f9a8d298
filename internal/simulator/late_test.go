package simulator_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"aspenstall/internal/clusterconfig"
	"aspenstall/internal/simulator"
	"aspenstall/internal/txn"
	"aspenstall/internal/wire"
)

// kindPair is a kind of write, and one that changed its record afterwards.
type kindPair struct{ late, changer txn.Kind }

// lateCoverage is what the late executions of a test covered.
type lateCoverage struct {
	executions  map[txn.Kind]int
	outOfBounds map[txn.Kind]int
	pairs       map[kindPair]int
}

// check checks the outcome of late executions, and adds them to the coverage.
func (c *lateCoverage) check(t *testing.T, when string, executions []simulator.LateExecution) {
	for _, e := range executions {
		info, _ := txn.Describe(e.Kind)
		c.executions[e.Kind]++
		if e.OutOfBounds {
			c.outOfBounds[e.Kind]++
		}
		for _, changer := range e.Changers {
			c.pairs[kindPair{e.Kind, changer}]++
		}
		if e.OutOfBounds && e.Executed {
			t.Errorf("%s: a write of the kind %q was executed after its term or lease", when, e.Kind)
		}
		if info.Guard == txn.Revisions && len(e.Changed) > 0 {
			t.Errorf("%s: a late write of the kind %q changed %v, which %v had changed since", when, e.Kind, e.Changed, e.Changers)
		}
	}
}

// changeAllTeams changes the limits of the idle teams, and changes them back: the second change writes
// the pages again that are deleted after the first.
func changeAllTeams(t *testing.T, o *operator, round, teams int) {
	for step, extra := range []int64{1000, 0, 1000, 0} {
		_, err := o.change(fmt.Sprintf("all-teams-%d-%d", round, step), time.Minute, func(c *clusterconfig.Config) {
			for n := range teams {
				o.editTeam(idleTeam(n), func(team *clusterconfig.Team) { team.Max.CPU = 10_000 - extra })(c)
			}
		})
		if err != nil {
			t.Errorf("round %d, change of all teams: %v", round, err)
		}
	}
}

// endNativeJobs has one native job of a job file end, and another one cancelled by its own id.
func endNativeJobs(t *testing.T, s *nomadWorld, round int) {
	blue := s.client("blue", 0)
	for name, seconds := range map[string]float64{"short": 5, "long": 400} {
		if _, _, err := blue.Jobs().Register(s.batchJob(fmt.Sprint(name, round), 1, seconds), nil); err != nil {
			t.Errorf("job file %s: %v", name, err)
		}
	}
	time.Sleep(30 * time.Second)
	for _, id := range s.NativeJobs("blue", fmt.Sprint("long", round)) {
		s.Cancel(id)
	}
	time.Sleep(10 * time.Second)
}

// holdUp has transactions that contain a text get no answer and be executed 12 s late, while do runs.
func holdUp(w *simulator.World, text string, do func()) {
	w.StateFaults.Update(func(f *simulator.Faults) {
		f.ExecuteLate, f.LatePath, f.LateDelay, f.LateContaining = 1, wire.CommitPath, 12*time.Second, text
	})
	do()
	w.StateFaults.Update(func(f *simulator.Faults) { f.ExecuteLate, f.LatePath, f.LateContaining = 0, "", "" })
}

// meetLateTransactions has a submission meet its repetition, a cancellation the end of its job, and the
// other way round, has the record of a job that is cancelled with another one held up, and the leader's writes about notifications held up, so that it raises its token.
func meetLateTransactions(w *simulator.World, round int) {
	const settle = 20 * time.Second
	first := 1000*(round+1) + 10
	repeated, cancelledLate, doneLate := array(first, 1, 1), array(first+1, 1, 10), array(first+2, 1, 10)
	holdUp(w, repeated.ID, func() { w.PostJob(0, &repeated) })
	w.Submit(repeated)
	w.Submit(cancelledLate)
	time.Sleep(5 * time.Second)
	holdUp(w, cancelledLate.ID, func() { w.CancelAt(0, cancelledLate.ID) })
	w.Submit(doneLate)
	lastTaskDone := make(chan struct{})
	w.OnLastTaskDone(func(id string) {
		if id == doneLate.ID {
			close(lastTaskDone)
		}
	})
	<-lastTaskDone
	holdUp(w, doneLate.ID, func() { time.Sleep(2 * time.Second) })
	w.Cancel(doneLate.ID)
	w.OnLastTaskDone(nil)
	parent := array(first+4, 1, 300)
	child := after(array(first+5, 1, 1), parent)
	w.Submit(parent)
	w.Submit(child)
	holdUp(w, child.ID, func() {
		w.Cancel(parent.ID)
		time.Sleep(2 * time.Second)
	})
	time.Sleep(settle)
	holdUp(w, "o/marks", func() {
		w.Submit(array(first+3, 1, 1))
		time.Sleep(settle)
	})
	time.Sleep(settle)
}

// TestLateTransactions executes a copy of every transaction late: after every other kind of write to
// the same records, deletion and making again included, and after the end of its term and process. A
// late write that undoes a newer one brings back a purged job, or a cancelled one (ran_cancelled). A
// kind that is not played, or changes a record that the list of kinds does not name, fails.
func TestLateTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const idleTeams = 240 // their limits take more pages than one transaction has writes
		w, o := newFullWorld(t, idleTeams)
		defer w.Close()
		w.State.KeepSentTransactions()
		startAllNodes(w)
		time.Sleep(15 * time.Second)
		s := &nomadWorld{t, w}
		covered := lateCoverage{map[txn.Kind]int{}, map[txn.Kind]int{}, map[kindPair]int{}}
		for round, when := range []string{"before the limits are lowered", "after"} {
			if round == 1 {
				w.State.LimitSizes(2<<10, 4)
			}
			writeAllKinds(t, s, o, round)
			changeAllTeams(t, o, round, idleTeams)
			endNativeJobs(t, s, round)
			meetLateTransactions(w, round)
			covered.check(t, when, w.State.ExecuteLate())
			time.Sleep(time.Minute)
		}
		for _, v := range w.Violations() {
			t.Error(v)
		}
		covered.expectComplete(t)
	})
}

// expectComplete checks that every kind was executed late, after each kind that may change its records,
// and those of a term or lease after its end.
func (c *lateCoverage) expectComplete(t *testing.T) {
	for kind := txn.Unlisted + 1; kind < txn.NumKinds; kind++ {
		info, _ := txn.Describe(kind)
		if c.executions[kind] == 0 {
			t.Errorf("no write of the kind %q was executed late", kind)
		}
		if (info.Guard.ByTerm() || info.Guard == txn.Lease) && c.outOfBounds[kind] == 0 {
			t.Errorf("no write of the kind %q was executed after its term or lease", kind)
		}
		for _, changer := range info.Changers {
			if c.pairs[kindPair{kind, changer}] == 0 {
				t.Errorf("no write of the kind %q was executed after one of the kind %q", kind, changer)
			}
		}
	}
	for pair := range maps.Keys(c.pairs) {
		if pair.late == pair.changer {
			continue // a repetition
		}
		if info, _ := txn.Describe(pair.late); !slices.Contains(info.Changers, pair.changer) {
			t.Errorf("%q changes records of %q, which the list of kinds does not name", pair.changer, pair.late)
		}
	}
}
