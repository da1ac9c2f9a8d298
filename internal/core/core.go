package core

import "math"

// Core is the state of the scheduler. Its methods take events; Step returns the actions that
// follow from them. It is not safe for concurrent use.
type Core struct {
	cfg   Config
	teams map[string]*team
	termState

	watched           map[string]bool // jobs for which Step returns JobProgress
	machineTypes      map[string]*MachineType
	machineTypeList   []*MachineType
	machineGroupID    int
	partitionRecordID int
	fleetUnreachable  bool                   // hardly any machine reports, or isolated
	isolated          bool                   // zones with most of the fleet do not report: this leader is partitioned
	delegates         map[string][]*Delegate // by zone

	needsPlacement     bool // capacity, work or quotas changed: a placement pass is needed
	placementSuspended bool // no tasks are placed; see SetPlacementEnabled
	nextPassAt         Micros
	lastPassAt         Micros
	candidates         []*machine                    // machines that may fit a waiting task in this pass
	candidateCaches    map[searchKey]*candidateCache // search results of this pass for each kind of task
	changedMachines    []*machine                    // machines whose usage changed in this pass
	machinesExamined   int                           // machines examined for capacity or victims; the cost of placement
	nextSummaryAt      Micros
	nextVacateAt       Micros
	reservationSurplus Resources // capacity in excess of the reservations; negative where it falls short
	bootStatsByOffer   map[offer]bootStats
	classes            map[string]*jobClass
	imageCounts        map[int]int // number of machines that have an image, by image ID
	imageCountsAt      Micros      // when imageCounts was computed
	imageIDs           map[string]int
	nextRankingAt      Micros
	spareByZone        map[string]int // number of service tasks that could start immediately, by zone
	spareTaskResources Resources      // resources of one service task that spare capacity is kept for
	spareTarget        int            // number of service tasks to keep spare capacity for
	spareTargetPerZone int            // the same in each zone
	spareFetchRate     float64        // MB/s at which images must be fetched to meet the start objectives
	lastWriteID        uint64
	rentalCount        uint64
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
		termState: termState{zoneByName: map[string]*zone{}}, delegates: map[string][]*Delegate{}, candidateCaches: map[searchKey]*candidateCache{},
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

func (c *Core) logDebug(message string, args ...any) {
	c.actions = append(c.actions, LogEntry{Message: message, Args: args, Debug: true})
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
	c.raiseTokenIfDue(now)
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
