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
	ID      uint64
	Puts    []Put
	Drops   []string
	IfJob   string // a job's id, "" for none
	IfStamp uint64
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
type Return struct {
	Machines []string
	Reason   string
}

// RaiseToken asks for a new token for the current term.
type RaiseToken struct{}

// Progress says that the counts of a job changed that is watched.
type Progress struct{ Job string }

// Note is something an operator wants to read in the log.
type Note struct {
	Text  string
	Args  []any
	Debug bool
}

func (SendCommands) action() {}
func (Write) action()        {}
func (Rent) action()         {}
func (Return) action()       {}
func (RaiseToken) action()   {}
func (Note) action()         {}
func (Progress) action()     {}

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
type MachinesRecord struct {
	Key      string // where it was read
	Machines []MachineRecord
}

// RentRecord is a rental that the cloud granted, until its machines are up.
type RentRecord struct {
	Request  string
	Type     string
	Zone     string
	Spot     bool
	Count    int
	Machines []string
	At       Micros // wall clock
}

// RangeRecord holds finished tasks of one chunk of a job, as pairs of first
// and last, relative to the chunk's first task.
type RangeRecord struct {
	Key    string
	Job    string
	Chunk  int
	Ranges []int
}

// JobDone is the final record of a job.
type JobDone struct{ Record JobRecord }

// OpenRecord says that tasks of a job may have been started.
type OpenRecord struct{ Job string }

// KeptRecord says that a zone is cut off, and what can be on machines that are
// kept in it; one without a zone says that this is over.
type KeptRecord struct {
	Key      string // where it was read
	Zone     string
	Ago      Micros // since when the zone was cut off, when it was written
	Began    Micros // the same, by the wall clock; set where the record is encoded
	Machines []KeptMachine
}

// KeptMachine is a machine and the tasks that can be on it.
type KeptMachine struct {
	Name  string
	Tasks []KeptTask
}

// KeptTask is one start of a task.
type KeptTask struct {
	Job     string
	Index   int
	Attempt uint64
}

// Snapshot is all that a new leader reads before it acts.
type Snapshot struct {
	Machines []MachinesRecord
	Rents    []RentRecord
	Ranges   []RangeRecord
	Open     []string
	Kept     []KeptRecord
}
