// Package core decides what the scheduler does. It is pure: events and the
// time go in through methods, actions come out of Step. It holds no socket,
// clock, goroutine or random source, so that every decision can be replayed.
package core

import "math"

// Micros is a time or a duration in whole microseconds. Times are readings of
// the process's steady clock unless a name says wall.
type Micros int64

// Durations.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
	// MaxMicros is longer than anything lasts, and leaves room to add to.
	MaxMicros Micros = 1 << 60
)

// Seconds turns a duration of the published interfaces into Micros.
func Seconds(s float64) Micros { return Micros(s*1e6 + 0.5) }

// Kind is the shape of a job.
type Kind uint8

// The kinds of job.
const (
	Array Kind = iota
	Gang
	Service
)

// Priority orders jobs; a higher one goes first and may preempt.
type Priority uint8

// The priorities.
const (
	Low Priority = iota
	Normal
	High
	Production
)

// String is the priority's name in the operators' settings.
func (p Priority) String() string {
	return [...]string{"low", "normal", "high", "production"}[min(p, Production)]
}

// Res is an amount of each resource, in thousandths.
type Resources struct{ CPU, GPU, Mem int64 }

// Add returns r+o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.GPU + o.GPU, r.Mem + o.Mem}
}

// Sub returns r-o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.GPU - o.GPU, r.Mem - o.Mem}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	return Resources{r.CPU * int64(n), r.GPU * int64(n), r.Mem * int64(n)}
}

// Fits reports whether r is within o in every resource.
func (r Resources) Fits(o Resources) bool { return r.CPU <= o.CPU && r.GPU <= o.GPU && r.Mem <= o.Mem }

// most and least combine r and o by resource.
func (r Resources) max(o Resources) Resources {
	return Resources{max(r.CPU, o.CPU), max(r.GPU, o.GPU), max(r.Mem, o.Mem)}
}
func (r Resources) min(o Resources) Resources {
	return Resources{min(r.CPU, o.CPU), min(r.GPU, o.GPU), min(r.Mem, o.Mem)}
}

func (r Resources) scaled(by float64) Resources {
	return Resources{int64(float64(r.CPU) * by), int64(float64(r.GPU) * by), int64(float64(r.Mem) * by)}
}

// share is the part of o that r takes, by the resource of which it takes most.
func (r Resources) dominantShare(o Resources) float64 {
	most := 0.0
	for _, p := range [3][2]int64{{r.CPU, o.CPU}, {r.GPU, o.GPU}, {r.Mem, o.Mem}} {
		if p[1] > 0 {
			most = max(most, float64(p[0])/float64(p[1]))
		}
	}
	return most
}

// copies says how many of r fit into o.
func (r Resources) countIn(o Resources) int {
	n := int64(1 << 30)
	for _, p := range [3][2]int64{{r.CPU, o.CPU}, {r.GPU, o.GPU}, {r.Mem, o.Mem}} {
		if p[0] > 0 {
			n = min(n, max(p[1], 0)/p[0])
		}
	}
	return int(n)
}

// JobSpec is what a user asked for.
type JobSpec struct {
	ID                 string
	Class              string
	Team               string
	Kind               Kind
	Priority           Priority
	Tasks              int
	Request            Resources // of each task
	Types              []string
	Zone               string // "" for any
	OneZone            bool
	Spread             bool
	Spot               bool
	Image              string
	ImageMB            int64
	EstimatedRun       Micros
	CheckpointInterval Micros // interval; 0: the task never saves
	CheckpointCost     Micros
	Deadline           Micros // after submission; 0: no deadline
}

// What a job may ask for, whatever form it is submitted in.
const (
	MaxTasks        = 100_000
	MaxTaskResource = 1e6 // of a resource, for a task
	MaxSeconds      = 1e8
	MaxNameBytes    = 200 // bytes
)

// Amount turns an amount that is asked for into thousandths. It rounds up, so
// that a request is never taken for less than it is.
func MilliUnits(f float64) int64 { return int64(math.Ceil(f*1000 - 1e-6)) }

// Phase is what a user is told of a job.
type Phase uint8

// The phases that are kept. Running is not kept: it is derived.
const (
	Pending Phase = iota
	Done
	Cancelled
)

// JobRecord is a job as the state service keeps it.
type JobRecord struct {
	Spec        JobSpec
	Phase       Phase
	SubmittedAt Micros // wall clock
	Revision    uint64 // revision of the record
	// Born is the revision at which the job was accepted, once the record has
	// another, and Ended when that was, by the wall clock.
	AcceptedRevision uint64
	EndedAt          Micros
}

// Final is the record of the job once it has ended.
func (r JobRecord) Final(p Phase, wall Micros) JobRecord {
	if r.AcceptedRevision == 0 {
		r.AcceptedRevision = r.Revision
	}
	r.Phase, r.EndedAt = p, wall
	return r
}

// MachineType is a row of the cloud's catalog.
type MachineType struct {
	Name      string
	Capacity  Resources
	CacheMB   int64
	FetchMBps int64
	Price     float64 // an hour
	SpotPrice float64
	BootTime  Micros
	Zones     []string
}

// Team is an elastic quota: Min is guaranteed, Max caps use. A zero in Max
// means no maximum for that resource.
type Team struct {
	Name     string
	Min, Max Resources
}

// TaskState is a task's state on its machine, as its worker reports it.
type TaskState uint8

// The task states.
const (
	Fetching TaskState = iota
	WaitingForPeers
	Running
	Checkpointing
	Exited
)

// Cause says why a task exited.
type Cause uint8

// The causes of an exit.
const (
	CauseDone Cause = iota
	CauseStopped
	CausePeersLost
	CausePeersMissing
	CauseError
	CauseNoCapacity
	CauseAlreadyPresent
	CauseUnknownTask
)

// TaskReport is a task in a worker's report.
type TaskReport struct {
	Job          string
	Index        int
	Attempt      uint64
	State        TaskState
	Cause        Cause
	Checkpointed bool
}

// Report is a worker's report.
type Report struct {
	Machine    string
	Address    string
	Type       string
	Zone       string
	Spot       bool
	Session    uint64
	Seq        uint64
	Token      uint64
	SpotNotice Micros // -1: none
	Tasks      []TaskReport
}

// Op is a command's verb.
type Op uint8

// The commands a worker takes.
const (
	Start Op = iota
	Stop
	Forget
)

// Command is a command to a worker.
type Command struct {
	Op          Op
	Job         string
	Index       int
	Attempt     uint64
	GracePeriod Micros
}

// Config is what the core knows from the settings.
type Config struct {
	Teams       []Team
	WorkerLease Micros // a worker's lease
	// PlacePause is the least time between two passes over the queue: what comes
	// meanwhile shares the next one.
	PlacementInterval Micros
	ReportInterval    Micros
	// LeaderLease is how long a leader leads without the state service.
	LeaderLease Micros
	// AnswerGrace is how long at most workers are answered, without commands,
	// in the place of a leader that is cut off or whose lease is over, so that
	// they outlast a cut or an outage of the state service. It counts from when
	// no other leader can have begun, and from a deputy's last word with its own.
	AnswerGrace Micros
	// Blind is for how long after a cancellation a machine's lease may be renewed on
	// which the job's tasks may still be, or be started by a command under way.
	MaxCancelStaleness Micros
	ReleaseInterval    Micros // between two returns of machines
	ListLag            Micros // the cloud's list is late by this, or by twice as much
	ChunkSize          int    // tasks in one record of finished ranges
	// RecordPause lets machines that come up shortly after one another share a
	// write.
	RecordInterval Micros
	// ValueBytes is how much a record may hold, as JSON.
	MaxRecordBytes int
	// MachinesPerRecord is how many machines share one record.
	MachinesPerRecord int
	StartObjectives   map[string][]Micros // aims for how soon a class's tasks start, the earliest first
	LateFactor        float64             // a late job is still worth something within this many times its due time
	Tuning            Tuning
}

// Tuning is what operators may set; see docs/OPERATION.md.
type Tuning struct {
	IdleTimeout      Micros // an idle machine is returned after this
	RefusalBackoff   Micros // an offer that was refused rests this long
	ReservationDecay Micros // what was used at a peak is held for about this long
	Quarantine       Micros // a machine that fails starts rests this long
	SuspectAfter     Micros // a silent machine is probed after this
	SpareTasks       int    // service tasks that room is kept for, per zone
}

// Listed is a machine in the cloud's list.
type ListedMachine struct {
	Name    string
	Address string
	Type    string
	Zone    string
	Spot    bool
	Booting bool
	Failed  bool
	Age     Micros
}
