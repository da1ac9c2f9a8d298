// Package txn lists the kinds of writes that the program sends to the state service, each with what
// keeps it from doing harm if it is executed late.
//
// A transaction without an answer may be executed seconds later, after newer transactions of the same
// or another process. Each write of a transaction names its kind; the state service's client sends no
// write of a kind that is not listed here.
package txn

// Kind is a kind of write: which records it is about, and for what purpose.
type Kind uint8

// The kinds of writes.
const (
	Unlisted               Kind = iota
	Submission                  // the record of a new job
	Cancellation                // a job's record, cancelled by a user
	OrphanCancellation          // a job's record, cancelled with a job that it depends on
	Completion                  // a job's record, done
	JobStarted                  // that tasks of a job may have been started
	CompletedTasks              // the completed tasks of a job
	JobRecordsDropped           // the leader's records of a job that is over
	MachineGroup                // the machines that may have tasks
	MachineGroupDropped         // a record of machines that are gone, or are in another record
	Rental                      // a granted rental
	RentalDropped               // a rental whose machines are up
	PartitionBegun              // what runs on machines in a partitioned zone
	PartitionEnded              // that a partition is over
	ObsoleteRecordsDropped      // records of a former leader that a new one does not need
	Catalog                     // the cloud's catalog
	Election                    // the leader's key
	TokenRaise                  // the leader's key, for a higher fencing token
	RegistryChange              // a job file's records, and its native jobs
	RegistryCleanup             // sources that a purge had no room for
	NotificationState           // what is settled of notifications
	NotificationMarks           // marks of subscriptions that begin
	ConfigChange                // pages and head of a configuration
	ConfigPagesDropped          // pages that no head names any more
	ConfigAcknowledgement       // the version that a controller acts by
	ConfigKnown                 // that a controller acts by the configuration at all
	NumKinds
)

// Guard is what keeps a write that is executed late from undoing a newer one.
type Guard uint8

const (
	// Revisions: the transaction has conditions that do not hold again once the records that it
	// writes have been changed by another one.
	Revisions Guard = iota + 1
	// Term: the transaction is on condition of the leader's key at the term's token. It does nothing
	// after the term, or once the token is raised. Within them it may be executed after newer ones;
	// the writer allows for that.
	Term
	// Lease: the record is bound to a lease, and is not written once that has ended.
	Lease
	// TermAndRevisions: the same as Term, and the transaction is also on condition of the revision of
	// each record that it replaces.
	TermAndRevisions
	// Unguarded: it may be executed at any time, and does no harm.
	Unguarded
)

// Info describes a kind.
type Info struct {
	Name  string
	Guard Guard
	// Late says what a late execution within the guard's bounds does.
	Late string
	// Changers are the kinds that may change the records after a write of this kind was sent. Unlisted
	// stands for the end of a lease.
	Changers []Kind
}

// Describe returns the description of a kind, and false if the kind is not listed.
func Describe(k Kind) (Info, bool) {
	if k >= NumKinds || infos[k].Guard == 0 {
		return Info{}, false
	}
	return infos[k], true
}

// ByTerm reports whether writes with the guard are on condition of the leader's key.
func (g Guard) ByTerm() bool { return g == Term || g == TermAndRevisions }

func (g Guard) String() string {
	return [...]string{"", "revisions", "term", "lease", "term and revisions", "none"}[g]
}

func (k Kind) String() string {
	if info, ok := Describe(k); ok {
		return info.Name
	}
	return "unlisted"
}
