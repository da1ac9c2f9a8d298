// Package core implements the decisions of the scheduler as a deterministic state machine. Events
// and the current time are passed to methods of Core, and Step returns the actions to execute. The
// package uses no sockets, clocks, goroutines or random sources, so every decision can be replayed.
package core

import "math"

// Micros is a time or a duration in microseconds. Times are read from the monotonic clock of the
// process unless their name or comment says wall clock.
type Micros int64

// Common durations.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
	// MaxMicros stands for an unlimited duration. Other durations can be added to it without
	// overflow.
	MaxMicros Micros = 1 << 60
)

// Seconds converts a duration in seconds, as external interfaces give it, to Micros. It rounds to
// the nearest microsecond.
func Seconds(s float64) Micros { return Micros(s*1e6 + 0.5) }

// Kind is the kind of a job.
type Kind uint8

// The kinds of job.
const (
	Array   Kind = iota // independent batch tasks
	Gang                // batch tasks that run at the same time or not at all
	Service             // tasks that run until the job is cancelled
)

// Priority orders jobs. Jobs of a higher priority are scheduled first and may preempt others.
type Priority uint8

// The priorities, in ascending order.
const (
	Low Priority = iota
	Normal
	High
	Production
)

// String returns the name of the priority in the operators' settings.
func (p Priority) String() string {
	return [...]string{"low", "normal", "high", "production"}[min(p, Production)]
}

// Resources holds an amount of each resource, in thousandths of a unit.
type Resources struct{ CPU, GPU, Mem int64 }

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.GPU + o.GPU, r.Mem + o.Mem}
}

// Sub returns the difference of r and o. Its amounts may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.GPU - o.GPU, r.Mem - o.Mem}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{r.CPU * int64(n), r.GPU * int64(n), r.Mem * int64(n)}
}

// Fits reports whether r is at most o in every resource.
func (r Resources) Fits(o Resources) bool { return r.CPU <= o.CPU && r.GPU <= o.GPU && r.Mem <= o.Mem }

// max returns the larger amount of each resource in r and o.
func (r Resources) max(o Resources) Resources {
	return Resources{max(r.CPU, o.CPU), max(r.GPU, o.GPU), max(r.Mem, o.Mem)}
}

// min returns the smaller amount of each resource in r and o.
func (r Resources) min(o Resources) Resources {
	return Resources{min(r.CPU, o.CPU), min(r.GPU, o.GPU), min(r.Mem, o.Mem)}
}

// scaled returns r multiplied by factor, rounded towards zero.
func (r Resources) scaled(factor float64) Resources {
	return Resources{int64(float64(r.CPU) * factor), int64(float64(r.GPU) * factor), int64(float64(r.Mem) * factor)}
}

// dominantShare returns the largest ratio of r to o over all resources that o has.
func (r Resources) dominantShare(o Resources) float64 {
	share := 0.0
	for _, p := range [3][2]int64{{r.CPU, o.CPU}, {r.GPU, o.GPU}, {r.Mem, o.Mem}} {
		if p[1] > 0 {
			share = max(share, float64(p[0])/float64(p[1]))
		}
	}
	return share
}

// countIn returns how many times r fits in o.
func (r Resources) countIn(o Resources) int {
	n := int64(1 << 30)
	for _, p := range [3][2]int64{{r.CPU, o.CPU}, {r.GPU, o.GPU}, {r.Mem, o.Mem}} {
		if p[0] > 0 {
			n = min(n, max(p[1], 0)/p[0])
		}
	}
	return int(n)
}

// JobSpec is a job as a user submitted it.
type JobSpec struct {
	ID                 string
	Class              string
	Team               string
	Kind               Kind
	Priority           Priority
	Tasks              int
	Resources          Resources // for each task
	Types              []string
	Zone               string // "": any zone
	OneZone            bool   // all tasks have to be in the same zone
	Spread             bool   // no zone may have more than half of the tasks
	Spot               bool   // tasks may run on spot machines
	Image              string
	ImageMB            int64
	EstimatedRun       Micros
	CheckpointInterval Micros // 0: tasks do not write checkpoints
	CheckpointCost     Micros // time that writing a checkpoint takes
	Deadline           Micros // relative to the submission; 0: no deadline
	Chain              *Chain // nil: the job waits for no others
}

// Chain is what a job waits for.
type Chain struct {
	// Dependencies are the jobs that have to be done before a task of this one starts. The core is given
	// a job once they are.
	Dependencies []string
	// ReadyAt is when the last of them was done, on the wall clock; 0 before. It is not stored, but
	// follows from their records.
	ReadyAt Micros
}

// Dependencies returns the jobs that have to be done before a task of this one starts.
func (s *JobSpec) Dependencies() []string {
	if s.Chain == nil {
		return nil
	}
	return s.Chain.Dependencies
}

// ReadyAt returns the wall-clock time from which a job's tasks could start.
func (r *JobRecord) ReadyAt() Micros {
	if r.Spec.Chain == nil {
		return r.SubmittedAt
	}
	return max(r.SubmittedAt, r.Spec.Chain.ReadyAt)
}

// Limits of a job submission, independent of its format.
const (
	MaxTasks        = 100_000
	MaxTaskResource = 1e6 // units of a resource per task
	MaxSeconds      = 1e8
	MaxNameBytes    = 200
	MaxDependencies = 64
)

// MilliUnits converts a requested amount to thousandths of a unit. It rounds up, so that a request
// is never counted as less than it is.
func MilliUnits(f float64) int64 { return int64(math.Ceil(f*1000 - 1e-6)) }

// Phase is the phase of a job as users see it.
type Phase uint8

// The phases that are stored. Running is not stored because it follows from the tasks.
const (
	Pending Phase = iota
	Done
	Cancelled
)

// JobRecord is a job as it is stored in the state service.
type JobRecord struct {
	Spec        JobSpec
	Phase       Phase
	SubmittedAt Micros // wall clock
	Revision    uint64 // revision of the record in the state service
	// AcceptedRevision is the revision at which the job was accepted. It is 0 while the record
	// has that revision.
	AcceptedRevision uint64
	EndedAt          Micros // wall clock; 0 until the job has ended
}

// Final returns the record of the job after it ended in the phase p at the wall-clock time wall.
func (r JobRecord) Final(p Phase, wall Micros) JobRecord {
	if r.AcceptedRevision == 0 {
		r.AcceptedRevision = r.Revision
	}
	r.Phase, r.EndedAt, r.Spec.Chain = p, wall, nil
	return r
}

// MachineType is an entry of the cloud's catalog.
type MachineType struct {
	Name      string
	Capacity  Resources
	CacheMB   int64   // size of the image cache
	FetchMBps int64   // rate at which images are fetched
	Price     float64 // per hour
	SpotPrice float64 // per hour
	BootTime  Micros
	Zones     []string
}

// Team is a team with its elastic quota: Min is guaranteed and Max limits usage. A zero in Max
// means that there is no limit for that resource.
type Team struct {
	Name     string
	Min, Max Resources
}

// TaskState is the state of a task on its machine, as the worker reports it.
type TaskState uint8

// The task states.
const (
	Fetching        TaskState = iota // fetching its image
	WaitingForPeers                  // a gang task that waits for the others
	Running
	Checkpointing // writing a checkpoint before it stops
	Exited
)

// Cause is the reason why a task exited.
type Cause uint8

// The causes of an exit.
const (
	CauseDone Cause = iota
	CauseStopped
	CausePeersLost    // other tasks of the gang were lost
	CausePeersMissing // the other tasks of the gang did not arrive in time
	CauseError
	CauseNoCapacity     // the machine lacks resources for the task
	CauseAlreadyPresent // the machine runs another attempt of the task
	CauseUnknownTask    // the job or the task does not exist
)

// TaskReport is the part of a worker's report for one task.
type TaskReport struct {
	Job          string
	Index        int
	Attempt      uint64
	State        TaskState
	Cause        Cause
	Checkpointed bool
}

// Report is a periodic status report of a worker, or its answer to a direct command.
type Report struct {
	Machine    string
	Address    string
	Type       string
	Zone       string
	Spot       bool
	Session    uint64
	Seq        uint64 // number of the report within the session
	Token      uint64 // highest fencing token that the worker has received
	SpotNotice Micros // time until the cloud takes the spot machine back; -1: no notice
	Tasks      []TaskReport
}

// Op is the operation of a command.
type Op uint8

// The operations.
const (
	Start  Op = iota
	Stop      // stop the task within the grace period
	Forget    // remove an exited task from the reports
)

// Command is a command to a worker.
type Command struct {
	Op          Op
	Job         string
	Index       int
	Attempt     uint64
	GracePeriod Micros
}

// Config holds the settings of a Core.
type Config struct {
	Teams       []Team
	WorkerLease Micros // duration of the lease of a worker
	// PlacementInterval is the minimum time between two placement passes. Events within this time
	// are handled by one pass.
	PlacementInterval Micros
	ReportInterval    Micros // interval between two reports of a worker
	// LeaderLease is how long a leader continues to lead without the state service.
	LeaderLease Micros
	// AnswerGrace is the maximum time for which reports are answered, without commands, in place
	// of a leader that is partitioned or whose lease has expired. Workers thereby survive a network
	// partition or an outage of the state service. The time starts at the last moment at which no
	// other leader can have begun its term or, for a delegate, at its last exchange with its leader.
	AnswerGrace Micros
	// MaxCancelStaleness is for how long after a cancellation the lease of a machine may be renewed
	// while tasks of the cancelled job may still be on it or may be started by a command in flight.
	MaxCancelStaleness Micros
	ReleaseInterval    Micros // minimum time between two release requests
	ListLag            Micros // delay of the cloud's machine list; it may be up to twice as long
	ChunkSize          int    // number of tasks in one completion record
	// RelativeChunkSize is the number of tasks by which the completion records of earlier versions
	// of the program count: their ranges are relative to the start of their chunk.
	RelativeChunkSize int
	// RecordInterval is the minimum time between two writes of a machine group's record. Machines
	// that come up shortly after one another share a write.
	RecordInterval Micros
	// MaxRecordBytes is the maximum size of a record encoded as JSON.
	MaxRecordBytes int
	// MaxWriteOps is the maximum number of puts and deletes that a transaction takes.
	MaxWriteOps int
	// MachinesPerRecord is the number of machines that share one record.
	MachinesPerRecord int
	StartObjectives   map[string][]Micros // by class, objectives for the time until tasks start, ascending
	LateFactor        float64             // a late job still has some value within this multiple of its deadline
	Tuning            Tuning
}

// Tuning holds the parameters that operators can change at run time; see docs/OPERATION.md.
type Tuning struct {
	IdleTimeout      Micros // an idle machine is released after this time
	RefusalBackoff   Micros // an offer is not requested again for this time after a refusal
	ReservationDecay Micros // time constant with which the reservation for a past usage peak decays
	Quarantine       Micros // a machine on which tasks fail gets no tasks for this time
	SuspectAfter     Micros // a machine without a report for this time is unreachable if a probe fails
	SpareTasks       int    // number of service tasks to keep spare capacity for, per zone
}

// ListedMachine is a machine in the cloud's machine list.
type ListedMachine struct {
	Name    string
	Address string
	Type    string
	Zone    string
	Spot    bool
	Booting bool
	Failed  bool
	Age     Micros // time since the machine was rented
}
