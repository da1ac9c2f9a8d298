package core

import (
	"fmt"
	"testing"
)

// TestMuteMachine: a machine whose reports reach no controller, while direct commands reach
// it (a one-way partition), loses its session with all that it runs, again and again. It
// gets no work until it reports by itself: an answer to a direct command renews no lease, and
// its new session, which such an answer shows, is none in which it was answered.
func TestOutboundLoss(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"})
	w.beginTerm(100, nil, Snapshot{})
	mute := w.newWorker("n-1", "a").report()
	m := w.c.machines["n-1"]
	given := 0
	lapses := 0
	for at := Micros(0); at < 55*Second; at += Second {
		w.advance(Second)
		if at%(14*Second) == 13*Second { // its lease runs out
			mute.status.Session, mute.status.Seq, mute.status.Tasks = mute.status.Session+1, 0, nil
			lapses++
		}
		if at == 20*Second {
			w.submit(JobSpec{ID: "job-1", Tasks: 1})
		}
		mute.executeDirect()
		given += len(mute.status.Tasks)
	}
	w.want("sessions that ran out", lapses, 3)
	w.want("heard of all the same", w.now-m.lastReport < 10*Second, true)
	w.want("given", given, 0)
	mute.report()
	w.advance(Second)
	mute.executeDirect()
	w.want("given once it reports", mute.liveTasks(), "job-1/0 ")
}

// TestTakenOverAndProbed: what a new leader has heard of by its own probes alone is given
// work until they are due to report, which nearly all do.
func TestProbedAfterTakeover(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"})
	w.beginTerm(100, nil, Snapshot{MachineGroups: recordedMachines("n-1")})
	f := w.newWorker("n-1", "a")
	f.status.Token = 99
	f.executeDirect()
	w.want("settled", w.c.unreconciled, 0)
	w.submit(JobSpec{ID: "job-1", Tasks: 1})
	f.executeDirect()
	w.want("given", f.liveTasks(), "job-1/0 ")
	w.advance(5 * Second)
	f.executeDirect()
	w.want("usable without a report", w.c.schedulable(w.c.machines["n-1"], w.now), false)
}

// TestCopyOfAGoneMachine: a copy of an old report reaches a new leader from a machine that
// a former one returned, and whose record is dropped. Whether the leader knows the machine
// from nowhere, from the cloud's list, which is late, or from the record of a rental, it
// takes over no task from it and gives it none: a task would wait for a lease that nobody
// has. A machine that is there shows the leader's token with its next report.
func TestDuplicateReportOfReleasedMachine(t *testing.T) {
	spec := JobSpec{ID: "job-1", Tasks: 2, Team: "blue", Request: Resources{2000, 0, 2000}, Image: "im"}
	for _, known := range []string{"from nowhere", "from the list", "from a rental"} {
		for _, tasks := range []int{0, 1} {
			t.Run(fmt.Sprint(known, ", tasks ", tasks), func(t *testing.T) {
				w := newWorld(t, Team{Name: "blue"})
				snap := Snapshot{Started: []string{"job-1"}}
				if known == "from a rental" {
					snap.Rentals = []RentalRecord{{Request: "r-50-1", Type: "m", Zone: "a", Count: 1, Machines: []string{"n-1"}, RentedAt: w.now - 9*Second}}
				}
				w.beginTerm(100, []JobRecord{{Spec: spec, Revision: 3}}, snap)
				if known == "from the list" {
					w.c.HandleMachineList(w.now, []ListedMachine{{Name: "n-1", Address: "n-1:1", Type: "m", Zone: "a", Age: 9 * Second}})
				}
				ghost := w.newWorker("n-1", "a")
				ghost.status.Token, ghost.status.Seq = 99, 40
				if tasks > 0 {
					ghost.status.Tasks = []TaskReport{{Job: "job-1", Index: 0, Attempt: 99<<24 | 1, State: Running}}
				}
				r := ghost.status
				w.c.HandleReport(w.now, &r)
				w.step()
				r.Seq++
				w.c.HandleReportInGrace(w.now, &r) // nor by a leader whose lease is not certain
				w.step()
				w.want("tasks taken over", w.c.jobs["job-1"].occupying, 0)
				w.want("usable", w.c.schedulable(w.c.machines["n-1"], w.now), false)
				other := w.newWorker("n-2", "a").report()
				w.advance(Second)
				other.executeDirect()
				w.want("run on a machine that is there", other.liveTasks(), "job-1/0 job-1/1 ")
				// It was there after all, and shows it.
				ghost.status.Tasks = nil
				ghost.status.Token, ghost.status.Seq = 100, 60
				ghost.report()
				w.want("usable once it shows the token", w.c.schedulable(w.c.machines["n-1"], w.now), true)
			})
		}
	}
}

// TestCopyFromAKeptMachine: a copy of an old report of a machine that a former leader
// recorded as cut off does not end that record: the machine is given nothing before it
// shows this leader's token.
func TestDuplicateReportOfRetainedMachine(t *testing.T) {
	spec := JobSpec{ID: "job-1", Kind: Service, Tasks: 2, Team: "blue", Request: Resources{2000, 0, 2000}, Image: "im"}
	w := newWorld(t, Team{Name: "blue"})
	attempt := uint64(50<<24 | 1)
	kept := PartitionRecord{Key: PartitionPrefix + "50-1", Zone: "a", BeganAt: w.now - 2*Second, Machines: []RetainedMachine{{Name: "n-1", Tasks: []RetainedTask{{"job-1", 0, attempt}}}}}
	w.beginTerm(100, []JobRecord{{Spec: spec, Revision: 3}}, Snapshot{MachineGroups: recordedMachines("n-1"), Started: []string{"job-1"}, Partitions: []PartitionRecord{kept}})
	m := w.c.machines["n-1"]
	w.want("kept", m.retainedIn != nil, true)
	f := w.newWorker("n-1", "a")
	f.status.Token, f.status.Seq = 50, 40
	r := f.status
	w.now += Second
	w.c.HandleReport(w.now, &r)
	for range 4 {
		w.advance(Second / 2)
	}
	w.want("kept on", m.retainedIn != nil, true)
	w.want("counted", w.c.team("blue").used, Resources{2000, 0, 2000})
	f.status.Token, f.status.Tasks = 100, []TaskReport{{Job: "job-1", Index: 0, Attempt: attempt, State: Running}}
	f.report()
	for range 4 {
		w.advance(Second / 2)
	}
	w.want("its record is over once it shows the token", m.retainedIn == nil, true)
}
