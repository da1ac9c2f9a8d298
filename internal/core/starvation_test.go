package core

import (
	"fmt"
	"testing"
)

// TestStarvingJobTakesSpareOrReservedCapacity checks that a job with no task placed for
// starvationTimeout gets capacity for one task, even if that capacity is spare capacity for
// expected services or reserved for a class. Otherwise the job waits for as long as such services
// keep arriving and the cloud has no more machines. The same holds for a job whose task failed on
// the only machine with room.
func TestStarvingJobTakesSpareOrReservedCapacity(t *testing.T) {
	for _, c := range []struct {
		name     string
		kind     Kind
		reserved bool
		fail     bool
	}{
		{"an array, spare capacity", Array, false, false}, {"a gang, spare capacity", Gang, false, false},
		{"an array, reserved capacity", Array, true, false}, {"an array, on a machine where its task failed", Array, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, Team{Name: "blue"}, Team{Name: "green"}, Team{Name: "guest"})
			w.c.cfg.StartObjectives = map[string][]Micros{"urgent": {2 * Second}}
			w.c.cfg.Tuning.ReservationDecay = 600 * Second
			if !c.reserved && !c.fail {
				w.c.cfg.Tuning.SpareTasks = 3
			}
			w.beginTerm(100, nil, Snapshot{})
			f := w.newWorker("n-1", "a").report()
			n := 0
			arrive := func() { // jobs for which the capacity is kept arrive and end
				n++
				s := JobSpec{ID: "job-9" + string(rune('0'+n/10)) + string(rune('0'+n%10)), Tasks: 1, Kind: Service, Team: "green", Class: "web", Priority: Production}
				if c.reserved {
					s.Kind, s.Class, s.Priority, s.Tasks, s.Resources, s.EstimatedRun = Array, "urgent", High, 1, Resources{8000, 0, 2000}, 5*Second
				}
				w.submit(s)
				f.executeDirect()
				f.report()
				if c.reserved {
					w.reportRounds(2, []*fakeWorker{f}) // so that the usage of the class is observed
				}
				w.cancel(s.ID)
				f.executeDirect()
				f.report()
			}
			w.reportRounds(22, []*fakeWorker{f}) // jobs pending when the term began are no rise of usage
			arrive()
			w.reportRounds(3, []*fakeWorker{f})
			arrive()
			w.submit(JobSpec{ID: "job-1", Kind: c.kind, Tasks: 1, Team: "guest", Class: "visit", Resources: Resources{4000, 0, 2000}})
			if c.fail {
				f.executeDirect()
				f.exitTask(f.taskIndex("job-1", 0, w.c.jobs["job-1"].live[0].attempt), CauseError)
				f.report()
			}
			began := w.now
			for w.now-began < 59*Second {
				w.advance(Second)
				if (w.now-began)/Second%10 == 5 {
					arrive()
				}
				f.executeDirect()
				f.report()
			}
			w.want("waits", f.liveTasks(), "")
			for w.now-began < 70*Second {
				w.advance(Second)
				f.executeDirect()
				f.report()
			}
			w.want("tasks after the timeout", f.liveTasks(), "job-1/0 ")
		})
	}
}

// TestLentSpareIsNotReplaced checks that spare capacity used by a starving job is not replaced from
// capacity that becomes free. In an overload, that replacement made a thirtieth of all jobs miss
// their deadlines.
func TestLentSpareIsNotReplaced(t *testing.T) {
	for _, c := range []struct {
		name  string
		job   JobSpec
		tasks string
	}{
		{"an array", JobSpec{Tasks: 1, Resources: Resources{4000, 0, 2000}}, "job-1/0 "},
		{"a gang, each of its tasks", JobSpec{Tasks: 2, Kind: Gang, Resources: Resources{2000, 0, 1000}}, "job-1/0 job-1/1 "},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, Team{Name: "blue"}, Team{Name: "green"})
			w.c.cfg.Tuning.SpareTasks = 4
			w.beginTerm(100, nil, Snapshot{})
			f := w.newWorker("n-1", "a").report()
			submitService := func(id string) { // more services are expected after this
				w.submit(JobSpec{ID: id, Tasks: 1, Kind: Service, Team: "green", Class: "web", Priority: Production})
				f.executeDirect()
				f.report()
				w.cancel(id)
				f.executeDirect()
				f.report()
			}
			submitService("job-90")
			w.reportRounds(10, []*fakeWorker{f})
			submitService("job-91")
			c.job.ID = "job-1"
			w.submit(c.job)
			for i := range 7 {
				w.reportRounds(9, []*fakeWorker{f})
				submitService(fmt.Sprint("job-8", i))
			}
			w.want("tasks on spare capacity", f.liveTasks(), c.tasks)
			g := w.newWorker("n-2", "a").report()
			w.submit(JobSpec{ID: "job-2", Tasks: 9})
			w.advance(Second)
			g.executeDirect()
			w.want("tasks on new capacity", w.c.jobs["job-2"].occupying, 4)
			w.want("lent", w.c.machines["n-1"].spareUsed, Resources{4000, 0, 2000})
			for i, task := range f.status.Tasks {
				if task.Job == c.job.ID {
					f.exitTask(i, CauseDone)
				}
			}
			f.report()
			w.want("spare capacity in use after the tasks", w.c.machines["n-1"].spareUsed, Resources{})
		})
	}
}

// TestStarvationCountsAcrossTakeover checks that a job that starved under a former leader does not
// wait for the full timeout again under the next one. It gets kept capacity once the workers have
// reported their tasks.
func TestStarvationCountsAcrossTakeover(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"}, Team{Name: "green"})
	w.c.cfg.Tuning.SpareTasks = 4
	w.now = 200 * Second
	old := JobSpec{ID: "job-1", Tasks: 1, Team: "blue", Resources: Resources{4000, 0, 2000}, Image: "im"}
	w.beginTerm(100, []JobRecord{{Spec: old, SubmittedAt: 10 * Second, Revision: 3}}, Snapshot{})
	f := w.newWorker("n-1", "a")
	for i := range 24 {
		if i%8 == 0 { // more services are expected after this
			id := fmt.Sprint("job-9", i/8)
			w.submit(JobSpec{ID: id, Tasks: 1, Kind: Service, Team: "green", Class: "web", Priority: Production})
			w.cancel(id)
		}
		w.advance(Second)
		f.executeDirect()
		f.report()
		if i == 17 {
			w.want("waits", w.c.jobs["job-1"].occupying, 0)
		}
	}
	w.want("placed after the timeout", w.c.jobs["job-1"].occupying, 1)
}

// TestVacatingEnds checks that a machine that is being emptied is given back while a class with a start
// objective has jobs, and nothing is moved: as soon as a job waits, and at the latest when nothing was
// moved for maxVacateStall. Otherwise jobs wait beside a machine with room for as long as the class
// has jobs (left-waiting).
func TestVacatingEnds(t *testing.T) {
	for _, c := range []struct {
		name     string
		reserved bool // a class with a start objective has a job
		waiting  bool // a job waits that fits on the machine alone
		within   Micros
	}{
		{"a job waits, and a class starts at once", true, true, 3 * Second},
		{"a job waits", false, true, 3 * Second},
		{"nobody waits, and a class starts at once", true, false, maxVacateStall + 3*Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, Team{Name: "blue"}, Team{Name: "green"})
			w.c.cfg.StartObjectives = map[string][]Micros{"urgent": {2 * Second}}
			w.c.cfg.Tuning.ReservationDecay = 600 * Second
			w.beginTerm(100, nil, Snapshot{})
			fs := []*fakeWorker{w.newWorker("n-1", "a").report(), w.newWorker("n-2", "b").report()}
			w.reportRounds(22, fs) // jobs pending when the term began are no rise of usage
			submit := func(s JobSpec) {
				w.submit(s)
				w.reportRounds(3, fs)
			}
			submit(JobSpec{ID: "job-1", Tasks: 1, Kind: Service, Class: "web", Zone: "a"})
			submit(JobSpec{ID: "job-2", Tasks: 1, Kind: Service, Class: "web", Zone: "b"})
			if c.reserved {
				submit(JobSpec{ID: "job-3", Tasks: 1, Team: "green", Class: "urgent", Priority: High, Zone: "a", EstimatedRun: 500 * Second})
			}
			submit(JobSpec{ID: "job-4", Tasks: 1, Zone: "a"})
			emptied := w.c.machines["n-2"]
			w.c.beginVacating(emptied, w.now)
			w.want("reservations", w.c.hasReservations(w.now), c.reserved)
			if c.waiting {
				w.submit(JobSpec{ID: "job-5", Tasks: 1, Resources: Resources{6000, 0, 2000}})
			}
			began := w.now
			for emptied.vacating && w.now-began < 2*maxVacateStall {
				w.reportRounds(1, fs)
			}
			if took := w.now - began; emptied.vacating || took > c.within {
				t.Errorf("vacating %v after %d s, want it given back within %d s", emptied.vacating, took/Second, c.within/Second)
			}
			if c.waiting {
				for w.c.jobs["job-5"].occupying == 0 && w.now-began < 90*Second {
					w.reportRounds(1, fs)
				}
				w.want("tasks of the job that waited", w.c.jobs["job-5"].occupying, 1)
			}
		})
	}
}
