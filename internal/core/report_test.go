package core

import (
	"fmt"
	"testing"
)

// TestOutboundLoss covers a one-way partition: direct commands reach a machine, but its reports
// reach no controller. Its lease expires again and again, with all of its tasks. It must get no
// tasks until a periodic report arrives: a reply to a direct command renews no lease, and a new
// session that such a reply shows has not been acknowledged.
func TestOutboundLoss(t *testing.T) {
	w := newWorld(t, Team{Name: "blue"})
	w.beginTerm(100, nil, Snapshot{})
	worker := w.newWorker("n-1", "a").report()
	m := w.c.machines["n-1"]
	startedTasks := 0
	expirations := 0
	for at := Micros(0); at < 55*Second; at += Second {
		w.advance(Second)
		if at%(14*Second) == 13*Second { // its lease expires
			worker.status.Session, worker.status.Seq, worker.status.Tasks = worker.status.Session+1, 0, nil
			expirations++
		}
		if at == 20*Second {
			w.submit(JobSpec{ID: "job-1", Tasks: 1})
		}
		worker.executeDirect()
		startedTasks += len(worker.status.Tasks)
	}
	w.want("expired sessions", expirations, 3)
	w.want("recent reply to a command", w.now-m.lastReport < 10*Second, true)
	w.want("given", startedTasks, 0)
	worker.report()
	w.advance(Second)
	worker.executeDirect()
	w.want("tasks started after a report", worker.liveTasks(), "job-1/0 ")
}

// TestProbedAfterTakeover checks that a machine that has only replied to a new leader's probe gets
// tasks until its periodic report is due. Nearly all machines report by then.
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
	w.want("schedulable without a report", w.c.schedulable(w.c.machines["n-1"], w.now), false)
}

// TestDuplicateReportOfReleasedMachine covers a delayed duplicate of a report, from a machine that
// a former leader released and whose record is deleted. The new leader may not know the machine, or
// may know it from the cloud's list, which lags, or from a rental record. It must adopt no task
// from the report and place none on the machine: the task would wait for a lease that no worker
// holds. A machine that still exists reports the leader's token with its next report.
func TestDuplicateReportOfReleasedMachine(t *testing.T) {
	spec := JobSpec{ID: "job-1", Tasks: 2, Team: "blue", Resources: Resources{2000, 0, 2000}, Image: "im"}
	for _, source := range []string{"unknown machine", "machine from the list", "machine from a rental"} {
		for _, tasks := range []int{0, 1} {
			t.Run(fmt.Sprint(source, ", tasks ", tasks), func(t *testing.T) {
				w := newWorld(t, Team{Name: "blue"})
				snap := Snapshot{Started: []string{"job-1"}}
				if source == "machine from a rental" {
					snap.Rentals = []RentalRecord{{RequestID: "r-50-1", Type: "m", Zone: "a", Count: 1, Machines: []string{"n-1"}, RentedAt: w.now - 9*Second}}
				}
				w.beginTerm(100, []JobRecord{{Spec: spec, Revision: 3}}, snap)
				if source == "machine from the list" {
					w.c.HandleMachineList(w.now, []ListedMachine{{Name: "n-1", Address: "n-1:1", Type: "m", Zone: "a", Age: 9 * Second}})
				}
				suspect := w.newWorker("n-1", "a")
				suspect.status.Token, suspect.status.Seq = 99, 40
				if tasks > 0 {
					suspect.status.Tasks = []TaskReport{{Job: "job-1", Index: 0, Attempt: 99<<24 | 1, State: Running}}
				}
				r := suspect.status
				w.c.HandleReport(w.now, &r)
				w.step()
				r.Seq++
				w.c.HandleReportInGrace(w.now, &r) // the same for a leader whose own lease may have expired
				w.step()
				w.want("adopted tasks", w.c.jobs["job-1"].occupying, 0)
				w.want("usable", w.c.schedulable(w.c.machines["n-1"], w.now), false)
				other := w.newWorker("n-2", "a").report()
				w.advance(Second)
				other.executeDirect()
				w.want("tasks on an existing machine", other.liveTasks(), "job-1/0 job-1/1 ")
				// The machine exists after all, and reports the token.
				suspect.status.Tasks = nil
				suspect.status.Token, suspect.status.Seq = 100, 60
				suspect.report()
				w.want("schedulable once it reports the token", w.c.schedulable(w.c.machines["n-1"], w.now), true)
			})
		}
	}
}

// TestDuplicateReportOfRetainedMachine checks that a delayed duplicate of a report from a machine
// in a partition record does not end the record: the machine gets no task before it reports this
// leader's token.
func TestDuplicateReportOfRetainedMachine(t *testing.T) {
	spec := JobSpec{ID: "job-1", Kind: Service, Tasks: 2, Team: "blue", Resources: Resources{2000, 0, 2000}, Image: "im"}
	w := newWorld(t, Team{Name: "blue"})
	attempt := uint64(50<<24 | 1)
	record := PartitionRecord{Key: PartitionPrefix + "50-1", Zone: "a", BeganAt: w.now - 2*Second, Machines: []RetainedMachine{{Name: "n-1", Tasks: []TaskAttempt{{"job-1", 0, attempt}}}}}
	w.beginTerm(100, []JobRecord{{Spec: spec, Revision: 3}}, Snapshot{MachineGroups: recordedMachines("n-1"), Started: []string{"job-1"}, Partitions: []PartitionRecord{record}})
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
	w.want("still retained", m.retainedIn != nil, true)
	w.want("counted", w.c.team("blue").used, Resources{2000, 0, 2000})
	f.status.Token, f.status.Tasks = 100, []TaskReport{{Job: "job-1", Index: 0, Attempt: attempt, State: Running}}
	f.report()
	for range 4 {
		w.advance(Second / 2)
	}
	w.want("record ended once it reports the token", m.retainedIn == nil, true)
}
