package core

import (
	"fmt"
	"testing"
)

// TestNoJobWaitsBesideRoom: room that is kept for services that are expected, or held for a
// class that starts at once, goes to a job of which nothing has started for long: it is given
// one task's room. It waited for as long as such services kept coming and the cloud had no
// more machines. So did one whose task had failed on the only machine with room.
func TestNoJobWaitsBesideRoom(t *testing.T) {
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
			w.c.cfg.StartWithin = map[string][]Micros{"urgent": {2 * Second}}
			w.c.cfg.Tuning.Hold = 600 * Second
			if !c.hold && !c.fail {
				w.c.cfg.Tuning.SpareTasks = 3
			}
			w.begin(100, nil, Snapshot{})
			f := w.machine("n-1", "a").beat()
			n := 0
			arrive := func() { // what the room is kept for keeps coming, and going
				n++
				s := JobSpec{ID: "job-9" + string(rune('0'+n/10)) + string(rune('0'+n%10)), Tasks: 1, Kind: Service, Team: "green", Class: "web", Priority: Production}
				if c.hold {
					s.Kind, s.Class, s.Priority, s.Tasks, s.Need, s.Estimate = Array, "urgent", High, 1, Res{8000, 0, 2000}, 5*Second
				}
				w.submit(s)
				f.direct()
				f.beat()
				if c.hold {
					w.rounds(2, []*fake{f}) // so that it is seen what the class uses
				}
				w.cancel(s.ID)
				f.direct()
				f.beat()
			}
			w.rounds(22, []*fake{f}) // what waited when the term began is no rise
			arrive()
			w.rounds(3, []*fake{f})
			arrive()
			w.submit(JobSpec{ID: "job-1", Kind: c.kind, Tasks: 1, Team: "guest", Class: "visit", Need: Res{4000, 0, 2000}})
			if c.fail {
				f.direct()
				f.exit(f.index("job-1", 0, w.c.jobs["job-1"].live[0].attempt), CauseError)
				f.beat()
			}
			began := w.now
			for w.now-began < 59*Second {
				w.pass(Second)
				if (w.now-began)/Second%10 == 5 {
					arrive()
				}
				f.direct()
				f.beat()
			}
			w.want("waits", f.live(), "")
			for w.now-began < 70*Second {
				w.pass(Second)
				f.direct()
				f.beat()
			}
			w.want("has begun", f.live(), "job-1/0 ")
		})
	}
}

// TestLentRoomIsNotKeptAnew: spare room that went to a job which had waited for long is not
// kept again out of what falls free: in a flood that took a thirtieth of all deadlines.
func TestLentRoomIsNotKeptAnew(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"}, Team{Name: "green"})
	w.c.cfg.Tuning.SpareTasks = 4
	w.begin(100, nil, Snapshot{})
	f := w.machine("n-1", "a").beat()
	serve := func(id string) { // services are expected
		w.submit(JobSpec{ID: id, Tasks: 1, Kind: Service, Team: "green", Class: "web", Priority: Production})
		f.direct()
		f.beat()
		w.cancel(id)
		f.direct()
		f.beat()
	}
	serve("job-90")
	w.rounds(10, []*fake{f})
	serve("job-91")
	w.submit(JobSpec{ID: "job-1", Tasks: 1, Need: Res{4000, 0, 2000}})
	for i := range 7 {
		w.rounds(9, []*fake{f})
		serve(fmt.Sprint("job-8", i))
	}
	w.want("on spare room", f.live(), "job-1/0 ")
	g := w.machine("n-2", "a").beat()
	w.submit(JobSpec{ID: "job-2", Tasks: 9})
	w.pass(Second)
	g.direct()
	w.want("room that comes is for those in time", w.c.jobs["job-2"].on, 4)
	w.want("lent", w.c.machines["n-1"].lent, Res{4000, 0, 2000})
	f.exit(0, CauseDone)
	f.beat()
	w.want("lent no more", w.c.machines["n-1"].lent, Res{})
}

// TestWaitedBeforeATakeover: a job that waited for long under a former leader does not begin to
// wait anew under the next: it takes kept room once what runs has been heard of.
func TestWaitedBeforeATakeover(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"}, Team{Name: "green"})
	w.c.cfg.Tuning.SpareTasks = 4
	w.now = 200 * Second
	old := JobSpec{ID: "job-1", Tasks: 1, Team: "blue", Need: Res{4000, 0, 2000}, Image: "im"}
	w.begin(100, []JobRecord{{Spec: old, Submitted: 10 * Second, Stamp: 3}}, Snapshot{})
	f := w.machine("n-1", "a")
	for i := range 24 {
		if i%8 == 0 { // services are expected
			id := fmt.Sprint("job-9", i/8)
			w.submit(JobSpec{ID: id, Tasks: 1, Kind: Service, Team: "green", Class: "web", Priority: Production})
			w.cancel(id)
		}
		w.pass(Second)
		f.direct()
		f.beat()
		if i == 17 {
			w.want("waits", w.c.jobs["job-1"].on, 0)
		}
	}
	w.want("has room", w.c.jobs["job-1"].on, 1)
}
