package core

import "math"

// Core is the scheduler's state. Its methods are events; Step returns what is
// to be done about them. It is not safe for concurrent use.
type Core struct {
	cfg   Config
	teams map[string]*team

	leading      bool
	token        uint64 // the fencing token of commands sent now
	termToken    uint64 // a report with this token or a higher one is current
	attemptCount uint64

	jobs                  map[string]*job
	queue                 []*job // unfinished jobs in the order they are given room
	machines              map[string]*machine
	sortedMachines        []*machine      // by name, so that decisions repeat
	watched               map[string]bool // jobs whose progress is to be told
	machineTypes          map[string]*MachineType
	machineTypeList       []*MachineType
	deletedMachines       map[string]bool // machines known to be deleted
	machineGroups         []*machineGroup
	machineGroupID        int
	partitionRecords      []*retainedGroup
	partitionRecordID     int
	rentals               map[string]*rental
	rentalByMachine       map[string]*rental // of machines that are coming
	unreconciled          int
	zoneByName            map[string]*zone
	fleetUnreachable      bool                   // hardly any machine is heard
	fleetUnreachableSince Micros                 // since when; 0: it is not, or that is not known yet
	tokenAcknowledged     bool                   // a machine has shown a token of this term
	isolated              bool                   // most of the fleet is silent, by zones: this leader is cut off
	isolatedSince         Micros                 // since when it is silent; 0: it is not
	delegates             map[string][]*Delegate // by zone

	needsPlacement      bool       // room, work or quota changed: place again
	placementSuspended  bool       // nothing is placed; see SetPlacing
	commandQueue        []*machine // to be told something, perhaps
	commandRetryQueue   []*machine // the same, after a pause: a write for them failed
	probeQueue          []*machine // to be probed
	probesInFlight      int        // probes that are under way
	completionQueue     []*job     // with finished tasks or a final record to be written
	nextPassAt          Micros
	lastPassAt          Micros                        // last time
	candidates          []*machine                    // that the tasks to be placed may fit on, for one pass
	candidateCaches     map[searchKey]*candidateCache // what each kind of task has seen in a pass
	changedMachines     []*machine                    // whose use changed in the pass
	machinesExamined    int                           // machines looked at for room and victims: what placing costs
	nextSummaryAt       Micros
	nextVacateAt        Micros
	vacating            []*machine
	objectiveClasses    []*jobClass // with an aim for how soon their tasks start
	reservedClasses     []*jobClass // those of them that machines are held for, as of lookBack
	lendable            Resources   // of the room there is, beyond what is held
	usageUpdatedAt      Micros
	termBeganAt         Micros // the term
	reservationsUnknown bool   // what is to be held is not known yet
	tokenRaiseWanted    bool
	nextTokenRaiseAt    Micros
	nextFleetReviewAt   Micros
	nextLeaseCheckAt    Micros
	refusedUntil        map[offer]Micros
	bootStatsByOffer    map[offer]bootStats
	releaseQueue        []*machine // to be returned
	releaseInFlight     bool       // a return is under way
	nextReleaseAt       Micros     // not before this
	classes             map[string]*jobClass
	imageCounts         map[int]int    // machines that have an image
	imageCountsAt       Micros         // as of then
	imageIDs            map[string]int // a number for each image, to compare quickly
	nextRankingAt       Micros
	spareByZone         map[string]int // service tasks that could start at once, by zone
	spareTaskRequest    Resources
	spareTarget         int     // service tasks that room is wanted for
	spareTargetPerZone  int     // and in a zone
	spareFetchRate      float64 // megabytes a second at which images are fetched in time
	pendingWrites       map[uint64]func(now Micros, o WriteOutcome)
	lastWriteID         uint64
	rentalCount         uint64
	actions             []Action
}

// class is what has been seen of a class of jobs.
type jobClass struct {
	runRatio        float64  // run time by estimate; 0: nothing seen yet
	startObjectives []Micros // aims for how soon its tasks start, the earliest first

	serviceArrivals arrivals
	reservation     reservation // of a class with such an aim

	recentSizes []int // tasks of the latest arrays, in a ring
	nextSize    int   // the next to be replaced
	largeSize   int   // arrays of so many tasks are among its largest; 0: not known
	medianSize  int   // half of its arrays have no more tasks
}

// New returns a core that does not lead.
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

func (c *Core) class(name string) *jobClass {
	k := c.classes[name]
	if k == nil {
		k = &jobClass{startObjectives: c.cfg.StartObjectives[name]}
		c.classes[name] = k
	}
	return k
}

func (c *Core) imageID(name string) int {
	n, ok := c.imageIDs[name]
	if !ok {
		n = len(c.imageIDs) + 1
		c.imageIDs[name] = n
	}
	return n
}

func (c *Core) log(text string, args ...any) {
	c.actions = append(c.actions, LogEntry{Message: text, Args: args})
}

// Leading reports whether a term is under way.
func (c *Core) Leading() bool { return c.leading }

// Token is the term's fencing token.
func (c *Core) Token() uint64 { return c.token }

// Step places what can be placed and returns what is to be done.
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
	c.sendRelease(now)
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

// Wake says when Step is wanted next if there is no event and no tick before.
func (c *Core) NextStepAt() Micros {
	if c.needsPlacement && !c.placementSuspended {
		return c.lastPassAt + c.cfg.PlacementInterval
	}
	return math.MaxInt64
}
