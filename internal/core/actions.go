package core

// Action is something the core wants done. The concrete types follow.
type Action interface{ action() }

// SendCommands is a direct command list to a worker; its result comes back
// through Commanded.
type SendCommands struct {
	Machine  string
	Address  string
	Token    uint64
	Session  uint64
	Commands []Command
}

// WriteOutcome says what became of a Write.
type WriteOutcome uint8

// The outcomes.
const (
	Stored       WriteOutcome = iota
	WriteRefused              // not executed
	WriteUnknown              // it may have been executed, or may be later
)

// Write is a change of the leader's records; it is conditional on the
// leader's key, and on the job's stamp where IfJob is set. Its result comes
// back through Written.
type Write struct {
	ID         uint64
	Puts       []Put
	Deletes    []string
	IfJob      string // a job's id, "" for none
	IfRevision uint64
	// IfAbsent is a key that must not exist, "" for none.
	IfAbsent string
	Urgent   bool
	Priority Priority // of what waits for it; among urgent ones the highest goes first
}

// Put is one record to write; Value is one of the record types.
type Put struct {
	Key   string
	Value any
}

// Rent asks the cloud for machines; its result comes back through Rented.
type Rent struct {
	Request string
	Type    string
	Zone    string
	Spot    bool
	Count   int
	Reason  string
}

// Return gives machines back; its result comes back through Returned.
type Release struct {
	Machines []string
	Reason   string
}

// RaiseToken asks for a new token for the current term.
type RaiseToken struct{}

// Progress says that the counts of a job changed that is watched.
type JobProgress struct{ Job string }

// Note is something an operator wants to read in the log.
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

// Records of the leader's bookkeeping, as they are kept.

// MachineRecord says that a machine may have been given tasks.
type MachineRecord struct {
	Name    string
	Address string
	Type    string
	Zone    string
	Spot    bool
}

// MachinesRecord is what one key holds of them.
type MachineGroupRecord struct {
	Key      string // where it was read
	Machines []MachineRecord
}

// RentRecord is a rental that the cloud granted, until its machines are up.
type RentalRecord struct {
	Request  string
	Type     string
	Zone     string
	Spot     bool
	Count    int
	Machines []string
	RentedAt Micros // wall clock
}

// RangeRecord holds finished tasks of one chunk of a job, as pairs of first
// and last, relative to the chunk's first task.
type CompletionRecord struct {
	Key    string
	Job    string
	Chunk  int
	Ranges []int
}

// JobDone is the final record of a job.
type FinalRecord struct{ Record JobRecord }

// OpenRecord says that tasks of a job may have been started.
type StartedRecord struct{ Job string }

// KeptRecord says that a zone is cut off, and what can be on machines that are
// kept in it; one without a zone says that this is over.
type PartitionRecord struct {
	Key      string // where it was read
	Zone     string
	Elapsed  Micros // since when the zone was cut off, when it was written
	BeganAt  Micros // the same, by the wall clock; set where the record is encoded
	Machines []RetainedMachine
}

// KeptMachine is a machine and the tasks that can be on it.
type RetainedMachine struct {
	Name  string
	Tasks []RetainedTask
}

// KeptTask is one start of a task.
type RetainedTask struct {
	Job     string
	Index   int
	Attempt uint64
}

// Snapshot is all that a new leader reads before it acts.
type Snapshot struct {
	MachineGroups []MachineGroupRecord
	Rentals       []RentalRecord
	Completions   []CompletionRecord
	Started       []string
	Partitions    []PartitionRecord
}
