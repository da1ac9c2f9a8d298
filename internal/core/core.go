package core

import "math"

// Core is the scheduler's state. Its methods are events; Step returns what is
// to be done about them. It is not safe for concurrent use.
type Core struct {
	cfg   Config
	teams map[string]*team

	leading     bool
	token       uint64 // the fencing token of commands sent now
	settleToken uint64 // a report with this token or a higher one is current
	attempts    uint64

	jobs      map[string]*job
	queue     []*job // unfinished jobs in the order they are given room
	machines  map[string]*machine
	order     []*machine      // by name, so that decisions repeat
	watched   map[string]bool // jobs whose progress is to be told
	types     map[string]*MachineType
	typeOrder []*MachineType
	gone      map[string]bool // machines known to be deleted
	chunks    []*chunk
	chunkID   int
	kept      []*kept
	keptID    int
	rents     map[string]*rent
	rentOf    map[string]*rent // of machines that are coming
	unsettled int
	zoneOf    map[string]*zone
	deaf      bool                 // hardly any machine is heard
	deafFrom  Micros               // since when; 0: it is not, or that is not known yet
	taken     bool                 // a machine has shown a token of this term
	alone     bool                 // most of the fleet is silent, by zones: this leader is cut off
	aloneFrom Micros               // since when it is silent; 0: it is not
	deputies  map[string][]*Deputy // by zone

	dirty       bool       // room, work or quota changed: place again
	suspended   bool       // nothing is placed; see SetPlacing
	touched     []*machine // to be told something, perhaps
	retouch     []*machine // the same, after a pause: a write for them failed
	probes      []*machine // to be probed
	probing     int        // probes that are under way
	ended       []*job     // with finished tasks or a final record to be written
	placeAt     Micros
	placed      Micros            // last time
	roomy       []*machine        // that the tasks to be placed may fit on, for one pass
	lookouts    map[kind]*lookout // what each kind of task has seen in a pass
	changed     []*machine        // whose use changed in the pass
	looked      int               // machines looked at for room and victims: what placing costs
	summaryAt   Micros
	vacateAt    Micros
	vacating    []*machine
	held        []*class // with an aim for how soon their tasks start
	holds       []*class // those of them that machines are held for, as of lookBack
	lendable    Res      // of the room there is, beyond what is held
	lookedBack  Micros
	begun       Micros // the term
	holdFleet   bool   // what is to be held is not known yet
	wantRaise   bool
	raising     Micros
	fleetAt     Micros
	probeAt     Micros
	refused     map[offer]Micros
	boots       map[offer]boots
	backlog     []*machine // to be returned
	returnOut   bool       // a return is under way
	returnFrom  Micros     // not before this
	classes     map[string]*class
	imagesOn    map[int]int    // machines that have an image
	imagesAt    Micros         // as of then
	images      map[string]int // a number for each image, to compare quickly
	rankAt      Micros
	spare       map[string]int // service tasks that could start at once, by zone
	spareNeed   Res
	spareWant   int     // service tasks that room is wanted for
	spareInZone int     // and in a zone
	spareRate   float64 // megabytes a second at which images are fetched in time
	writes      map[uint64]func(now Micros, o WriteOutcome)
	writeID     uint64
	requests    uint64
	out         []Action
}

// class is what has been seen of a class of jobs.
type class struct {
	ratio  float64  // run time by estimate; 0: nothing seen yet
	within []Micros // aims for how soon its tasks start, the earliest first

	services arrivals
	batches  holding // of a class with such an aim

	sizes []int // tasks of the latest arrays, in a ring
	size  int   // the next to be replaced
	large int   // arrays of so many tasks are among its largest; 0: not known
	usual int   // half of its arrays have no more tasks
}

// New returns a core that does not lead.
func New(cfg Config) *Core {
	c := &Core{
		cfg: cfg, teams: map[string]*team{}, types: map[string]*MachineType{},
		spare: map[string]int{}, classes: map[string]*class{}, images: map[string]int{}, imagesOn: map[int]int{},
		zoneOf: map[string]*zone{}, deputies: map[string][]*Deputy{}, lookouts: map[kind]*lookout{},
		watched: map[string]bool{}, boots: map[offer]boots{},
	}
	for _, t := range cfg.Teams {
		c.teams[t.Name] = &team{Team: t}
	}
	return c
}

func (c *Core) class(name string) *class {
	k := c.classes[name]
	if k == nil {
		k = &class{within: c.cfg.StartWithin[name]}
		c.classes[name] = k
	}
	return k
}

func (c *Core) image(name string) int {
	n, ok := c.images[name]
	if !ok {
		n = len(c.images) + 1
		c.images[name] = n
	}
	return n
}

func (c *Core) note(text string, args ...any) { c.out = append(c.out, Note{Text: text, Args: args}) }

// Leading reports whether a term is under way.
func (c *Core) Leading() bool { return c.leading }

// Token is the term's fencing token.
func (c *Core) Token() uint64 { return c.token }

// Step places what can be placed and returns what is to be done.
func (c *Core) Step(now Micros) []Action {
	if !c.leading {
		return nil
	}
	c.expire(now)
	if now >= c.rankAt {
		c.rankAt = now + Second
		c.rankJobs(now)
	}
	if !c.suspended && (c.dirty && now-c.placed >= c.cfg.PlacePause || now >= c.placeAt) {
		c.dirty = false
		c.placed, c.placeAt = now, now+Second
		c.schedule(now)
	}
	if now >= c.fleetAt {
		c.fleetAt = now + Second
		c.fleet(now)
	}
	c.sendReturns(now)
	c.flushEnded(now)
	c.flushChunks(now)
	c.direct(now)
	if c.wantRaise && now >= c.raising {
		c.raising = now + 10*Second
		c.wantRaise = false
		c.out = append(c.out, RaiseToken{})
	}
	out := c.out
	c.out = nil
	return out
}

// Wake says when Step is wanted next if there is no event and no tick before.
func (c *Core) Wake() Micros {
	if c.dirty && !c.suspended {
		return c.placed + c.cfg.PlacePause
	}
	return math.MaxInt64
}
