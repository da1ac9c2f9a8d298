package core

import "math"

// Core is the state of the scheduler. Its methods take events; Step returns the actions that
// follow from them. It is not safe for concurrent use.
type Core struct {
	cfg   Config
	teams map[string]*team

	leading      bool
	token        uint64 // fencing token of commands that are sent now
	termToken    uint64 // token with which the term began; a report with at least this token is current
	attemptCount uint64

	jobs                  map[string]*job
	queue                 []*job // unfinished jobs in scheduling order
	machines              map[string]*machine
	sortedMachines        []*machine      // ordered by name, which makes decisions deterministic
	watched               map[string]bool // jobs for which Step returns JobProgress
	machineTypes          map[string]*MachineType
	machineTypeList       []*MachineType
	deletedMachines       map[string]bool // machines that are known to be deleted
	machineGroups         []*machineGroup
	machineGroupID        int
	partitionRecords      []*retainedGroup
	partitionRecordID     int
	rentals               map[string]*rental
	rentalByMachine       map[string]*rental // for machines that are not recorded yet
	unreconciled          int                // number of machines that are not reconciled
	zoneByName            map[string]*zone
	fleetUnreachable      bool                   // hardly any machine reports, or isolated
	fleetUnreachableSince Micros                 // 0: not unreachable, or not known yet in this term
	tokenAcknowledged     bool                   // a machine has reported a token of this term
	isolated              bool                   // zones with most of the fleet do not report: this leader is partitioned
	isolatedSince         Micros                 // since when those zones do not report; 0: they report
	delegates             map[string][]*Delegate // by zone

	needsPlacement      bool       // capacity, work or quotas changed: a placement pass is needed
	placementSuspended  bool       // no tasks are placed; see SetPlacementEnabled
	commandQueue        []*machine // machines that may need commands
	commandRetryQueue   []*machine // the same, after a delay because a write for them failed
	probeQueue          []*machine // machines to be probed
	probesInFlight      int
	completionQueue     []*job // jobs with completed tasks or a final record to write
	nextPassAt          Micros
	lastPassAt          Micros
	candidates          []*machine                    // machines that may fit a waiting task in this pass
	candidateCaches     map[searchKey]*candidateCache // search results of this pass for each kind of task
	changedMachines     []*machine                    // machines whose usage changed in this pass
	machinesExamined    int                           // machines examined for capacity or victims; the cost of placement
	nextSummaryAt       Micros
	nextVacateAt        Micros
	vacating            []*machine  // machines that are being emptied to be released
	objectiveClasses    []*jobClass // classes with start objectives
	reservedClasses     []*jobClass // those of objectiveClasses that have a reservation; see updateReservations
	reservationSurplus  Resources   // capacity in excess of the reservations; negative where it falls short
	usageUpdatedAt      Micros      // last time at which the usage of objectiveClasses was recorded
	termBeganAt         Micros
	reservationsUnknown bool // the term has not determined yet what to reserve
	tokenRaiseWanted    bool
	nextTokenRaiseAt    Micros
	nextFleetReviewAt   Micros
	nextLeaseCheckAt    Micros
	refusedUntil        map[offer]Micros // end of the back-off after a refused rental
	bootStatsByOffer    map[offer]bootStats
	releaseQueue        []*machine // machines to be released
	releaseInFlight     bool
	nextReleaseAt       Micros
	classes             map[string]*jobClass
	imageCounts         map[int]int // number of machines that have an image, by image ID
	imageCountsAt       Micros      // when imageCounts was computed
	imageIDs            map[string]int
	nextRankingAt       Micros
	spareByZone         map[string]int // number of service tasks that could start immediately, by zone
	spareTaskResources  Resources      // resources of one service task that spare capacity is kept for
	spareTarget         int            // number of service tasks to keep spare capacity for
	spareTargetPerZone  int            // the same in each zone
	spareFetchRate      float64        // MB/s at which images must be fetched to meet the start objectives
	pendingWrites       map[uint64]func(now Micros, o WriteOutcome)
	lastWriteID         uint64
	rentalCount         uint64
	actions             []Action
}

// jobClass holds statistics of the jobs of a class.
type jobClass struct {
	runRatio        float64  // ratio of run time to estimate; 0: no task has completed yet
	startObjectives []Micros // objectives for the time until tasks start, in ascending order

	serviceArrivals arrivals
	reservation     reservation // used if the class has start objectives

	recentSizes []int // ring buffer of the task counts of the latest batch jobs
	nextSize    int   // index in recentSizes that is overwritten next
	largeSize   int   // batch jobs of at least this many tasks are among the largest; 0: unknown
	medianSize  int   // median task count of the batch jobs
}

// New returns a Core that does not lead.
func New(cfg Config) *Core {
	c := &Core{
		cfg: cfg, teams: map[string]*team{}, machineTypes: map[string]*MachineType{},
		spareByZone: map[string]int{}, classes: map[string]*jobClass{}, imageIDs: map[string]int{}, imageCounts: map[int]int{},
		zoneByName: map[string]*zone{}, delegates: map[string][]*Delegate{}, candidateCaches: map[searchKey]*candidateCache{},
		watched: map[string]bool{}, bootStatsByOffer: map[offer]bootStats{},
	}
	for _, t := range cfg.Teams {
		c.teams[t.Name] = &team{Team: t}
	}
	return c
}

// class returns the class with the name and creates it if it does not exist.
func (c *Core) class(name string) *jobClass {
	k := c.classes[name]
	if k == nil {
		k = &jobClass{startObjectives: c.cfg.StartObjectives[name]}
		c.classes[name] = k
	}
	return k
}

// imageID returns a number for the image, which is faster to compare than its name.
func (c *Core) imageID(name string) int {
	n, ok := c.imageIDs[name]
	if !ok {
		n = len(c.imageIDs) + 1
		c.imageIDs[name] = n
	}
	return n
}

func (c *Core) log(message string, args ...any) {
	c.actions = append(c.actions, LogEntry{Message: message, Args: args})
}

// Leading reports whether this node leads.
func (c *Core) Leading() bool { return c.leading }

// Token returns the current fencing token.
func (c *Core) Token() uint64 { return c.token }

// Step runs the work that is due at now, such as a placement pass, and returns the actions to
// execute. They include those that events caused since the last Step.
func (c *Core) Step(now Micros) []Action {
	if !c.leading {
		return nil
	}
	c.expireLeases(now)
	if now >= c.nextRankingAt {
		c.nextRankingAt = now + Second
		c.rankJobs(now)
	}
	if !c.placementSuspended && (c.needsPlacement && now-c.lastPassAt >= c.cfg.PlacementInterval || now >= c.nextPassAt) {
		c.needsPlacement = false
		c.lastPassAt, c.nextPassAt = now, now+Second
		c.schedule(now)
	}
	if now >= c.nextFleetReviewAt {
		c.nextFleetReviewAt = now + Second
		c.updateFleet(now)
	}
	c.sendReleases(now)
	c.flushCompletions(now)
	c.flushGroups(now)
	c.sendDirectCommands(now)
	if c.tokenRaiseWanted && now >= c.nextTokenRaiseAt {
		c.nextTokenRaiseAt = now + 10*Second
		c.tokenRaiseWanted = false
		c.actions = append(c.actions, RaiseToken{})
	}
	out := c.actions
	c.actions = nil
	return out
}

// NextStepAt returns when Step has to run next if no event and no tick come earlier.
func (c *Core) NextStepAt() Micros {
	if c.needsPlacement && !c.placementSuspended {
		return c.lastPassAt + c.cfg.PlacementInterval
	}
	return math.MaxInt64
}
