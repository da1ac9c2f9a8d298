package txn

// infos has the description of each kind, the checked form of the table in docs/design/late-writes.md.
var infos = [NumKinds]Info{
	Submission: {
		Name: "submission", Guard: Revisions,
		Late:     "the job is accepted after all: records of jobs are never deleted, so its absence holds once at most",
		Changers: []Kind{Submission, Cancellation, OrphanCancellation, Completion},
	},
	Cancellation: {
		Name: "cancellation", Guard: Revisions,
		Late:     "the job is cancelled, as its user asked, or it is done and stays so",
		Changers: []Kind{Completion},
	},
	OrphanCancellation: {
		Name: "orphan cancellation", Guard: Revisions,
		Late: "the job is cancelled, which every node says already, or its user cancelled it",
	},
	Completion: {
		Name: "completion", Guard: Revisions,
		Late:     "the job is done, which is true, or it is cancelled and stays so",
		Changers: []Kind{Cancellation},
	},
	JobStarted: {
		Name: "job started", Guard: Term,
		Late:     "the job is started already, or over: the next leader drops the record",
		Changers: []Kind{JobRecordsDropped},
	},
	CompletedTasks: {
		Name: "completed tasks", Guard: TermAndRevisions,
		Late:     "nothing once the record is replaced; after a write without an answer the next one has a key of its own, and both are read",
		Changers: []Kind{CompletedTasks, JobRecordsDropped},
	},
	JobRecordsDropped: {
		Name: "job records dropped", Guard: Term,
		Late:     "the job stays over; ids of jobs are not used again",
		Changers: []Kind{JobRecordsDropped},
	},
	MachineGroup: {
		Name: "machine group", Guard: TermAndRevisions,
		Late:     "nothing once the record is replaced; after a write without an answer the next one has a key of its own; a machine that comes back into a record is found gone by the cloud's list or its lease",
		Changers: []Kind{MachineGroup, MachineGroupDropped},
	},
	MachineGroupDropped: {
		Name: "machine group dropped", Guard: Term,
		Late: "a record's key is not used again",
	},
	Rental: {
		Name: "rental", Guard: Term,
		Late:     "the next leader takes its machines as overdue and gives them up",
		Changers: []Kind{RentalDropped},
	},
	RentalDropped: {
		Name: "rental dropped", Guard: Term,
		Late: "nothing: a request's name is not used again",
	},
	PartitionBegun: {
		Name: "partition begun", Guard: Revisions,
		Late:     "nothing once the empty record is in its place",
		Changers: []Kind{PartitionEnded, ObsoleteRecordsDropped},
	},
	PartitionEnded: {
		Name: "partition ended", Guard: Term,
		Late:     "the record is empty already; a new partition has a record of its own",
		Changers: []Kind{ObsoleteRecordsDropped},
	},
	ObsoleteRecordsDropped: {
		Name: "obsolete records dropped", Guard: Term,
		Late: "nothing: their keys are not used again",
	},
	Catalog: {
		Name: "catalog", Guard: Term,
		Late: "the same catalog, or one that the leader replaces when it asks the cloud next",
	},
	Election: {
		Name: "election", Guard: Lease,
		Late:     "the lease has ended, or the node finds its key by the watch and ends the lease",
		Changers: []Kind{Election, TokenRaise, Unlisted},
	},
	TokenRaise: {
		Name: "token raise", Guard: Revisions,
		Late:     "the new token is found by the watch",
		Changers: []Kind{Election, TokenRaise, Unlisted},
	},
	RegistryChange: {
		Name: "registry change", Guard: Revisions,
		Late:     "the change is made after all, if nothing has changed the job or was purged beside it meanwhile",
		Changers: []Kind{RegistryChange, RegistryCleanup, Cancellation, Completion},
	},
	RegistryCleanup: {
		Name: "registry cleanup", Guard: Revisions,
		Late:     "the record that it is about is deleted, and no newer one",
		Changers: []Kind{RegistryChange, RegistryCleanup},
	},
	NotificationState: {
		Name: "notification state", Guard: Term,
		Late:     "the token is raised before the next write goes out",
		Changers: []Kind{NotificationState},
	},
	NotificationMarks: {
		Name: "notification marks", Guard: Revisions,
		Late:     "the marks are as the term began with them",
		Changers: []Kind{NotificationState},
	},
	ConfigChange: {
		Name: "configuration change", Guard: Revisions,
		Late:     "the change is made after all, if the head is as it was read",
		Changers: []Kind{ConfigChange, ConfigPagesDropped},
	},
	ConfigPagesDropped: {
		Name: "configuration pages dropped", Guard: Revisions,
		Late:     "pages that the head does not name are deleted",
		Changers: []Kind{ConfigChange, ConfigPagesDropped},
	},
	ConfigAcknowledgement: {
		Name: "configuration acknowledgement", Guard: Lease,
		Late:     "an older version is acknowledged, and the next renewal says the newer one",
		Changers: []Kind{ConfigAcknowledgement, Unlisted},
	},
	ConfigKnown: {
		Name: "configuration known", Guard: Unguarded,
		Late:     "the controller is known to act by the configuration, which it did",
		Changers: []Kind{ConfigKnown},
	},
}
