package core

import (
	"fmt"
	"slices"
	"testing"
)

// TestAttemptIsForgottenUnderHigherToken guards against copies of executed starts: a worker that was
// told to forget an attempt under the token of its start would run it again.
func TestAttemptIsForgottenUnderHigherToken(t *testing.T) {
	for _, c := range []struct {
		name        string
		direct      bool // the start is sent directly
		cause       Cause
		cancelled   bool
		otherLeader bool // a new leader finds the task, which has exited
		forgotten   bool // under the token of the start
	}{
		{"failed", true, CauseError, false, false, false},
		{"refused", true, CauseNoCapacity, false, false, false},
		{"done", true, CauseDone, false, false, false},
		{"cancelled", true, CauseStopped, true, false, false},
		{"failed, started in an answer", false, CauseError, false, false, true},
		{"cancelled, started in an answer", false, CauseStopped, true, false, true},
		{"failed under an earlier leader", true, CauseError, false, true, true},
		{"cancelled under an earlier leader", true, CauseStopped, true, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, blue)
			w.beginTerm(100, nil, Snapshot{})
			f := w.newWorker("n-1", "a").report()
			w.c.machines["n-1"].commandInFlight = !c.direct // no other direct command is sent meanwhile
			w.submit(JobSpec{ID: "job-1", Tasks: 1})
			f.executeDirect()
			f.report()
			f.report()
			w.c.machines["n-1"].commandInFlight = false
			w.want("runs", f.liveTasks(), "job-1/0 ")
			job := w.c.jobs["job-1"].record
			w.c.jobs["job-1"].notBefore = MaxMicros // the task is not started again
			if c.cancelled {
				w.cancel("job-1")
				job.Phase = Cancelled
				w.sent = nil
			}
			f.exitTask(0, c.cause)
			if c.otherLeader {
				w.beginTerm(200, []JobRecord{job}, Snapshot{MachineGroups: recordedMachines("n-1"), Started: []string{"job-1"}})
				w.c.jobs["job-1"].notBefore = MaxMicros
			}
			for range 20 {
				w.advance(Second)
				f.report()
			}
			w.want("forgotten under the same token", len(f.status.Tasks) == 0, c.forgotten)
			w.want("quota in use", w.c.team("blue").used, Resources{})
			w.want("room in use", w.c.machines["n-1"].used, Resources{})
			w.raiseToken()
			f.report()
			w.want("attempts listed under a higher token", len(f.status.Tasks), 0)
			f.report()
			w.want("attempts waiting to be forgotten", len(w.c.machines["n-1"].exited), 0)
		})
	}
}

// TestTokenRaisesForExitedTasks guards against exited tasks that stay in reports, and against raises so
// frequent that all workers report twice as often.
func TestTokenRaisesForExitedTasks(t *testing.T) {
	for _, c := range []struct {
		name    string
		tasks   int
		granted bool // the state service executes the raise
		raises  []Micros
	}{
		{"one task", 1, true, []Micros{60 * Second}},
		{"many tasks on a machine", earlyRaiseForgets, true, []Micros{8 * Second}},
		{"the raise gets no answer", earlyRaiseForgets, false, []Micros{8 * Second, 18 * Second, 28 * Second}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, Team{Name: "blue"})
			w.beginTerm(100, nil, Snapshot{})
			began := w.now
			f := w.newWorker("n-1", "a").report()
			w.submit(JobSpec{ID: "job-1", Tasks: c.tasks, Resources: Resources{1, 0, 1}})
			f.executeDirect()
			f.report()
			w.c.jobs["job-1"].notBefore = MaxMicros
			for i := range f.status.Tasks {
				f.exitTask(i, CauseError)
			}
			f.report()
			var raises []Micros
			for w.now < began+70*Second && len(raises) < len(c.raises) {
				before := w.tokenRaises
				w.advance(Second)
				if w.tokenRaises > before {
					raises = append(raises, w.now-began)
				}
				if w.tokenRaises > before && c.granted {
					w.raiseToken()
				}
				f.report()
			}
			w.want("raises", fmt.Sprint(raises), fmt.Sprint(c.raises))
			if !c.granted {
				return
			}
			w.want("attempts listed", len(f.status.Tasks), 0)
			raisesBefore := w.tokenRaises
			for range 200 {
				w.advance(Second)
				f.report()
			}
			w.want("raises without exited tasks", w.tokenRaises-raisesBefore, 0)
		})
	}
}

// TestStartsInAnswersWhileForgetsArePending guards against reports that outgrow their limit while the
// token can't be raised.
func TestStartsInAnswersWhileForgetsArePending(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"})
	w.beginTerm(100, nil, Snapshot{})
	f := w.newWorker("n-1", "a").report()
	most := 0
	for i := range 2 * maxPendingForgets {
		w.submit(JobSpec{ID: fmt.Sprint("job-", i), Tasks: 2, Resources: Resources{4000, 0, 1}})
		f.executeDirect()
		f.report()
		f.report()
		for k, task := range f.status.Tasks {
			if task.State != Exited {
				f.exitTask(k, CauseError)
			}
		}
		w.cancel(fmt.Sprint("job-", i))
		w.c.machines["n-1"].failedJobs, w.c.machines["n-1"].quarantinedUntil = nil, 0
		f.report()
		most = max(most, len(f.status.Tasks))
		w.advance(Second)
	}
	if most < maxPendingForgets || most > maxPendingForgets+4 {
		t.Errorf("at most %d exited tasks were listed, want about %d", most, maxPendingForgets)
	}
	w.want("starts went out in answers", w.c.commandCounts.answerStarts > 0, true)
	w.raiseToken()
	f.report()
	f.report()
	w.want("attempts listed under a higher token", len(f.status.Tasks), 0)
}

// TestForgetsGoInAnswersOnly guards against a copy of a forget that removes a later result of the same
// attempt of a gang: an answer can't be executed late.
func TestForgetsGoInAnswersOnly(t *testing.T) {
	w := newWorld(t, blue)
	w.beginTerm(100, nil, Snapshot{})
	f := w.newWorker("n-1", "a").report()
	w.submit(JobSpec{ID: "job-1", Tasks: 2})
	f.executeDirect()
	f.report()
	w.c.jobs["job-1"].notBefore = MaxMicros
	f.exitTask(0, CauseError)
	f.exitTask(1, CauseError)
	f.report()
	w.raiseToken()
	w.submit(JobSpec{ID: "job-2", Tasks: 1})
	direct := 0
	for _, s := range w.sent {
		for _, cmd := range s.Commands {
			direct++
			w.want("direct command", cmd.Op, Start)
		}
	}
	w.want("direct commands", direct, 1)
	f.executeDirect()
	f.report()
	w.want("attempts listed", len(f.status.Tasks), 1)
}

// TestUnknownAttemptOfThisTerm guards against copies of starts of which this leader knows nothing any
// more: the attempt may have been started directly under the present token.
func TestUnknownAttemptOfThisTerm(t *testing.T) {
	for _, c := range []struct {
		name      string
		kind      Kind
		attempt   uint64
		forgotten bool // under the present token
	}{
		{"of an earlier term", Array, 90<<attemptTokenShift | 5, true},
		{"of this term", Array, 100<<attemptTokenShift | 5, false},
		{"of an earlier term, of a gang that is completed in this one", Gang, 90<<attemptTokenShift | 5, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, blue)
			spec := JobSpec{ID: "job-1", Team: "blue", Kind: c.kind, Tasks: 2, Resources: Resources{2000, 0, 2000}, Image: "im"}
			w.beginTerm(100, []JobRecord{{Spec: spec, Revision: 3}}, Snapshot{Started: []string{"job-1"}})
			w.c.jobs["job-1"].notBefore = MaxMicros
			f := w.newWorker("n-1", "a")
			f.status.Tasks = []TaskReport{{Job: "job-1", Index: 0, Attempt: c.attempt, State: Exited, Cause: CauseError}}
			f.report()
			f.report()
			w.want("forgotten", len(f.status.Tasks) == 0, c.forgotten)
			w.want("logged", slices.Contains(w.logs, "an attempt of this term is reported that is not known"), c.attempt>>attemptTokenShift >= 100)
			w.raiseToken()
			f.report()
			w.want("attempts listed under a higher token", len(f.status.Tasks), 0)
		})
	}
}

// TestGangTaskIsNotReplacedWhereItIsListed guards against a replacement that its worker ignores, since it
// knows the attempt.
func TestGangTaskIsNotReplacedWhereItIsListed(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"})
	w.beginTerm(100, nil, Snapshot{})
	f := w.newWorker("n-1", "a").report()
	f.fetchesImage = true
	w.submit(JobSpec{ID: "job-1", Kind: Gang, Tasks: 2, Resources: Resources{2000, 0, 1000}})
	f.executeDirect()
	f.report()
	w.want("fetching", f.liveTasks(), "job-1/0 job-1/1 ")
	f.exitTask(0, CauseNoCapacity) // one task of the gang has to be replaced with the same attempt
	f.report()
	w.c.machines["n-1"].blockedUntil = 0
	for range 5 {
		w.advance(Second)
		f.report()
	}
	w.want("tasks on the machine that knows the attempt", f.liveTasks(), "job-1/1 ")
	g := w.newWorker("n-2", "a").report()
	g.fetchesImage = true
	w.advance(Second)
	g.executeDirect()
	g.report()
	w.want("tasks on the other machine", g.liveTasks(), "job-1/0 ")
}
