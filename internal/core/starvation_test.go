package core

import (
	"fmt"
	"testing"
)

// TestNoJobWaitsBesideRoom: room that is kept for services that are expected, or held for a
// class that starts at once, goes to a job of which nothing has started for long: it is given
// one task's room. It waited for as long as such services kept coming and the cloud had no
// more machines. So did one whose task had failed on the only machine with room.
func TestStarvingJobTakesKeptRoom(t *testing.T) {
	for _, c := range []struct {
		what string
		kind Kind
		hold bool
		fail bool
	}{
		{"an array beside spare room", Array, false, false}, {"a gang beside spare room", Gang, false, false},
		{"an array beside held room", Array, true, false}, {"an array where a task of it failed", Array, false, true},
	} {
		t.Run(c.what, func(t *testing.T) {
			w := newWorld(t, Team{Name: "blue"}, Team{Name: "green"}, Team{Name: "guest"})
			w.c.cfg.StartObjectives = map[string][]Micros{"urgent": {2 * Second}}
			w.c.cfg.Tuning.ReservationDecay = 600 * Second
			if !c.hold && !c.fail {
				w.c.cfg.Tuning.SpareTasks = 3
			}
			w.beginTerm(100, nil, Snapshot{})
			f := w.newWorker("n-1", "a").report()
			n := 0
			arrive := func() { // what the room is kept for keeps coming, and going
				n++
				s := JobSpec{ID: "job-9" + string(rune('0'+n/10)) + string(rune('0'+n%10)), Tasks: 1, Kind: Service, Team: "green", Class: "web", Priority: Production}
				if c.hold {
					s.Kind, s.Class, s.Priority, s.Tasks, s.Request, s.EstimatedRun = Array, "urgent", High, 1, Resources{8000, 0, 2000}, 5*Second
				}
				w.submit(s)
				f.executeDirect()
				f.report()
				if c.hold {
					w.reportRounds(2, []*fakeWorker{f}) // so that it is seen what the class uses
				}
				w.cancel(s.ID)
				f.executeDirect()
				f.report()
			}
			w.reportRounds(22, []*fakeWorker{f}) // what waited when the term began is no rise
			arrive()
			w.reportRounds(3, []*fakeWorker{f})
			arrive()
			w.submit(JobSpec{ID: "job-1", Kind: c.kind, Tasks: 1, Team: "guest", Class: "visit", Request: Resources{4000, 0, 2000}})
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
			w.want("has begun", f.liveTasks(), "job-1/0 ")
		})
	}
}

// TestLentRoomIsNotKeptAnew: spare room that went to a job which had waited for long is not
// kept again out of what falls free: in a flood that took a thirtieth of all deadlines.
func TestLentSpareIsNotReplaced(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"}, Team{Name: "green"})
	w.c.cfg.Tuning.SpareTasks = 4
	w.beginTerm(100, nil, Snapshot{})
	f := w.newWorker("n-1", "a").report()
	serve := func(id string) { // services are expected
		w.submit(JobSpec{ID: id, Tasks: 1, Kind: Service, Team: "green", Class: "web", Priority: Production})
		f.executeDirect()
		f.report()
		w.cancel(id)
		f.executeDirect()
		f.report()
	}
	serve("job-90")
	w.reportRounds(10, []*fakeWorker{f})
	serve("job-91")
	w.submit(JobSpec{ID: "job-1", Tasks: 1, Request: Resources{4000, 0, 2000}})
	for i := range 7 {
		w.reportRounds(9, []*fakeWorker{f})
		serve(fmt.Sprint("job-8", i))
	}
	w.want("on spare room", f.liveTasks(), "job-1/0 ")
	g := w.newWorker("n-2", "a").report()
	w.submit(JobSpec{ID: "job-2", Tasks: 9})
	w.advance(Second)
	g.executeDirect()
	w.want("room that comes is for those in time", w.c.jobs["job-2"].occupying, 4)
	w.want("lent", w.c.machines["n-1"].spareUsed, Resources{4000, 0, 2000})
	f.exitTask(0, CauseDone)
	f.report()
	w.want("lent no more", w.c.machines["n-1"].spareUsed, Resources{})
}

// TestWaitedBeforeATakeover: a job that waited for long under a former leader does not begin to
// wait anew under the next: it takes kept room once what runs has been heard of.
func TestStarvationCountsAcrossTakeover(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"}, Team{Name: "green"})
	w.c.cfg.Tuning.SpareTasks = 4
	w.now = 200 * Second
	old := JobSpec{ID: "job-1", Tasks: 1, Team: "blue", Request: Resources{4000, 0, 2000}, Image: "im"}
	w.beginTerm(100, []JobRecord{{Spec: old, SubmittedAt: 10 * Second, Revision: 3}}, Snapshot{})
	f := w.newWorker("n-1", "a")
	for i := range 24 {
		if i%8 == 0 { // services are expected
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
	w.want("has room", w.c.jobs["job-1"].occupying, 1)
}
