package core

import (
	"fmt"
	"testing"
)

// TestMuteMachine: a machine whose reports reach no controller, while direct commands reach
// it (a one-way partition), loses its session with all that it runs, again and again. It
// gets no work until it reports by itself: an answer to a direct command renews no lease, and
// its new session, which such an answer shows, is none in which it was answered.
func TestMuteMachine(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"})
	w.begin(100, nil, Snapshot{})
	mute := w.machine("n-1", "a").beat()
	m := w.c.machines["n-1"]
	given := 0
	lapses := 0
	for at := Micros(0); at < 55*Second; at += Second {
		w.pass(Second)
		if at%(14*Second) == 13*Second { // its lease runs out
			mute.r.Session, mute.r.Seq, mute.r.Tasks = mute.r.Session+1, 0, nil
			lapses++
		}
		if at == 20*Second {
			w.submit(JobSpec{ID: "job-1", Tasks: 1})
		}
		mute.direct()
		given += len(mute.r.Tasks)
	}
	w.want("sessions that ran out", lapses, 3)
	w.want("heard of all the same", w.now-m.heard < 10*Second, true)
	w.want("given", given, 0)
	mute.beat()
	w.pass(Second)
	mute.direct()
	w.want("given once it reports", mute.live(), "job-1/0 ")
}

// TestTakenOverAndProbed: what a new leader has heard of by its own probes alone is given
// work until they are due to report, which nearly all do.
func TestTakenOverAndProbed(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"})
	w.begin(100, nil, Snapshot{Machines: recorded("n-1")})
	f := w.machine("n-1", "a")
	f.r.Token = 99
	f.direct()
	w.want("settled", w.c.unsettled, 0)
	w.submit(JobSpec{ID: "job-1", Tasks: 1})
	f.direct()
	w.want("given", f.live(), "job-1/0 ")
	w.pass(5 * Second)
	f.direct()
	w.want("usable without a report", w.c.usable(w.c.machines["n-1"], w.now), false)
}

// TestCopyOfAGoneMachine: a copy of an old report reaches a new leader from a machine that
// a former one returned, and whose record is dropped. Whether the leader knows the machine
// from nowhere, from the cloud's list, which is late, or from the record of a rental, it
// takes over no task from it and gives it none: a task would wait for a lease that nobody
// has. A machine that is there shows the leader's token with its next report.
func TestCopyOfAGoneMachine(t *testing.T) {
	spec := JobSpec{ID: "job-1", Tasks: 2, Team: "blue", Need: Res{2000, 0, 2000}, Image: "im"}
	for _, known := range []string{"from nowhere", "from the list", "from a rental"} {
		for _, tasks := range []int{0, 1} {
			t.Run(fmt.Sprint(known, ", tasks ", tasks), func(t *testing.T) {
				w := newWorld(t, Team{Name: "blue"})
				snap := Snapshot{Open: []string{"job-1"}}
				if known == "from a rental" {
					snap.Rents = []RentRecord{{Request: "r-50-1", Type: "m", Zone: "a", Count: 1, Machines: []string{"n-1"}, At: w.now - 9*Second}}
				}
				w.begin(100, []JobRecord{{Spec: spec, Stamp: 3}}, snap)
				if known == "from the list" {
					w.c.Listed(w.now, []Listed{{Name: "n-1", Address: "n-1:1", Type: "m", Zone: "a", Age: 9 * Second}})
				}
				ghost := w.machine("n-1", "a")
				ghost.r.Token, ghost.r.Seq = 99, 40
				if tasks > 0 {
					ghost.r.Tasks = []TaskReport{{Job: "job-1", Index: 0, Attempt: 99<<24 | 1, State: Running}}
				}
				r := ghost.r
				w.c.Beat(w.now, &r)
				w.step()
				r.Seq++
				w.c.BeatInGrace(w.now, &r) // nor by a leader whose lease is not certain
				w.step()
				w.want("tasks taken over", w.c.jobs["job-1"].on, 0)
				w.want("usable", w.c.usable(w.c.machines["n-1"], w.now), false)
				other := w.machine("n-2", "a").beat()
				w.pass(Second)
				other.direct()
				w.want("run on a machine that is there", other.live(), "job-1/0 job-1/1 ")
				// It was there after all, and shows it.
				ghost.r.Tasks = nil
				ghost.r.Token, ghost.r.Seq = 100, 60
				ghost.beat()
				w.want("usable once it shows the token", w.c.usable(w.c.machines["n-1"], w.now), true)
			})
		}
	}
}

// TestCopyFromAKeptMachine: a copy of an old report of a machine that a former leader
// recorded as cut off does not end that record: the machine is given nothing before it
// shows this leader's token.
func TestCopyFromAKeptMachine(t *testing.T) {
	spec := JobSpec{ID: "job-1", Kind: Service, Tasks: 2, Team: "blue", Need: Res{2000, 0, 2000}, Image: "im"}
	w := newWorld(t, Team{Name: "blue"})
	attempt := uint64(50<<24 | 1)
	kept := KeptRecord{Key: KeptPrefix + "50-1", Zone: "a", Began: w.now - 2*Second, Machines: []KeptMachine{{Name: "n-1", Tasks: []KeptTask{{"job-1", 0, attempt}}}}}
	w.begin(100, []JobRecord{{Spec: spec, Stamp: 3}}, Snapshot{Machines: recorded("n-1"), Open: []string{"job-1"}, Kept: []KeptRecord{kept}})
	m := w.c.machines["n-1"]
	w.want("kept", m.kept != nil, true)
	f := w.machine("n-1", "a")
	f.r.Token, f.r.Seq = 50, 40
	r := f.r
	w.now += Second
	w.c.Beat(w.now, &r)
	for range 4 {
		w.pass(Second / 2)
	}
	w.want("kept on", m.kept != nil, true)
	w.want("counted", w.c.team("blue").used, Res{2000, 0, 2000})
	f.r.Token, f.r.Tasks = 100, []TaskReport{{Job: "job-1", Index: 0, Attempt: attempt, State: Running}}
	f.beat()
	for range 4 {
		w.pass(Second / 2)
	}
	w.want("its record is over once it shows the token", m.kept == nil, true)
}
