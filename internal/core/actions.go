package core

import "aspenstall/internal/txn"

// Action is an action that the caller of Step has to execute. The types that implement it follow.
type Action interface{ action() }

// SendCommands sends commands directly to a worker. Its result is passed to HandleCommandResult.
type SendCommands struct {
	Machine  string
	Address  string
	Token    uint64
	Session  uint64
	Commands []Command
}

// WriteOutcome is the outcome of a Write.
type WriteOutcome uint8

// The outcomes of a Write.
const (
	Stored       WriteOutcome = iota
	WriteRefused              // not executed
	WriteUnknown              // it may have been executed or may be executed later
)

// Write changes the leader's records. It is conditional on the leader's key and, if IfJob is set,
// on the revision of that job's record. Its result is passed to HandleWriteResult.
type Write struct {
	ID         uint64
	Kind       txn.Kind
	Puts       []Put
	Deletes    []string
	IfJob      string // ID of a job; "": no condition
	IfRevision uint64
	IfAbsent   string // a key that must not exist; "": no condition
	Urgent     bool
	Priority   Priority // of what waits for the write; the highest goes first among urgent ones
}

// Put is a record to write. Value has one of the record types below.
type Put struct {
	Key   string
	Value any
}

// Rent requests machines from the cloud. Its result is passed to HandleRentalResult.
type Rent struct {
	RequestID string
	Type      string
	Zone      string
	Spot      bool
	Count     int
	Reason    string
}

// Release releases machines to the cloud. Its result is passed to HandleReleaseResult.
type Release struct {
	Machines []string
	Reason   string
}

// RaiseToken requests a new fencing token for the current term. Its result is passed to
// HandleTokenRaised.
type RaiseToken struct{}

// JobProgress reports that the task counts of a watched job changed.
type JobProgress struct{ Job string }

// LogEntry is a log message for operators, with its keys and values in Args.
type LogEntry struct {
	Message string
	Args    []any
	Debug   bool
}

func (SendCommands) action() {}
func (Write) action()        {}
func (Rent) action()         {}
func (Release) action()      {}
func (RaiseToken) action()   {}
func (LogEntry) action()     {}
func (JobProgress) action()  {}

// The following types are the leader's records in the state service.

// MachineRecord records that tasks may have been sent to a machine.
type MachineRecord struct {
	Name    string
	Address string
	Type    string
	Zone    string
	Spot    bool
}

// MachineGroupRecord holds the machine records that are stored under one key.
type MachineGroupRecord struct {
	Key      string // key from which the record was read
	Machines []MachineRecord
}

// RentalRecord is a rental that the cloud has granted. It is deleted when its machines are up.
type RentalRecord struct {
	RequestID string
	Type      string
	Zone      string
	Spot      bool
	Count     int
	Machines  []string
	RentedAt  Micros // wall clock
}

// CompletionRecord holds completed tasks of a job. Ranges contains pairs of the first and the last
// index of each range. In records of earlier versions of the program these are relative to the first
// task of a chunk of Config.RelativeChunkSize tasks; Chunk is 0 in all others, so that every version
// reads them.
type CompletionRecord struct {
	Key    string
	Job    string
	Chunk  int
	Ranges []int
}

// FinalRecord is the record of a job that is done.
type FinalRecord struct{ Record JobRecord }

// StartedRecord records that tasks of a job may have been started.
type StartedRecord struct{ Job string }

// PartitionRecord records that a zone is partitioned and which tasks can be on the machines that
// are retained in it. A record without a zone says that the partition is over.
type PartitionRecord struct {
	Key      string // key from which the record was read
	Zone     string
	Elapsed  Micros // time from the beginning of the partition until the record was written
	BeganAt  Micros // beginning of the partition by the wall clock; set when the record is encoded
	Machines []RetainedMachine
}

// RetainedMachine is a machine in a partitioned zone and the tasks that can be on it.
type RetainedMachine struct {
	Name  string
	Tasks []TaskAttempt
}

// TaskAttempt identifies an attempt of a task.
type TaskAttempt struct {
	Job     string
	Index   int
	Attempt uint64
}

// Snapshot holds the records that a new leader reads before it acts.
type Snapshot struct {
	MachineGroups []MachineGroupRecord
	Rentals       []RentalRecord
	Completions   []CompletionRecord
	Started       []string // IDs of jobs that have a started record
	Partitions    []PartitionRecord
}
