package core

import (
	"fmt"
	"math"
	"slices"
	"sort"
)

type team struct {
	Team
	used   Res
	held   Res                 // while a takeover settles: of tasks that may run unseen
	placed [Production + 1]int // tasks that hold, by priority
}

// over reports whether the team uses more than its min: of what that names, or
// anything if it names nothing.
func (t *team) over() bool {
	if t.Min.CPU == 0 && t.Min.GPU == 0 {
		return t.used.CPU > 0 || t.used.GPU > 0
	}
	return t.Min.CPU > 0 && t.used.CPU > t.Min.CPU || t.Min.GPU > 0 && t.used.GPU > t.Min.GPU
}

// lends reports whether the team is not below its min without need, of which it
// takes some, and without what else is taken from it.
func (t *team) lends(need, taken Res) bool {
	left := t.used.Sub(taken).Sub(need)
	return (need.CPU == 0 || left.CPU >= t.Min.CPU) && (need.GPU == 0 || left.GPU >= t.Min.GPU)
}

// Core is the scheduler's state. Its methods are events; Step returns what is
// to be done about them. It is not safe for concurrent use.
type Core struct {
	cfg   Config
	teams map[string]*team

	leading     bool
	token       uint64 // of commands sent now
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
	alone     bool                 // most of the fleet is silent, by zones: this leader is cut off
	aloneFrom Micros               // since when it is silent; 0: it is not
	deputies  map[string][]*Deputy // by zone

	dirty       bool       // room, work or quota changed: place again
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
	held        []*class // for which machines are held
	lookedBack  Micros
	begun       Micros // the term
	holdFleet   bool   // what is to be held is not known yet
	wantRaise   bool
	raising     Micros
	fleetAt     Micros
	probeAt     Micros
	refused     map[offer]Micros
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
}

// rent is a rental that was asked for, until all its machines are up or gone.
type rent struct {
	RentRecord
	why     string
	granted bool
	asked   bool
	retryAt Micros
	seen    Micros // when it was decided
	coming  int    // machines that are not up yet
}

// New returns a core that does not lead.
func New(cfg Config) *Core {
	c := &Core{
		cfg: cfg, teams: map[string]*team{}, types: map[string]*MachineType{},
		spare: map[string]int{}, classes: map[string]*class{}, images: map[string]int{}, imagesOn: map[int]int{},
		zoneOf: map[string]*zone{}, deputies: map[string][]*Deputy{}, lookouts: map[kind]*lookout{},
		watched: map[string]bool{},
	}
	for _, t := range cfg.Teams {
		c.teams[t.Name] = &team{Team: t}
	}
	return c
}

func (c *Core) team(name string) *team {
	t := c.teams[name]
	if t == nil {
		t = &team{Team: Team{Name: name}}
		c.teams[name] = t
	}
	return t
}

// touch has the machine looked at for commands.
func (c *Core) touch(m *machine) {
	if !m.dirty {
		m.dirty = true
		c.touched = append(c.touched, m)
	}
}

// probe has an empty command sent to the machine, to learn whether it is there.
func (c *Core) probe(m *machine) {
	if !m.probe {
		m.probe = true
		c.probes = append(c.probes, m)
	}
}

// touchLater does so after a pause.
func (c *Core) touchLater(m *machine) {
	if !m.later {
		m.later = true
		c.retouch = append(c.retouch, m)
	}
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

// Token is the term's token.
func (c *Core) Token() uint64 { return c.token }

// Begin starts a term: jobs are all jobs that are unfinished, and the
// cancelled ones; snap is the bookkeeping, read after the leader's key was
// written. wall is the time of day at now.
func (c *Core) Begin(now, wall Micros, token uint64, jobs []JobRecord, snap Snapshot) {
	c.leading, c.token, c.settleToken, c.attempts = true, token, token, 0
	c.jobs = map[string]*job{}
	c.queue = nil
	c.machines = map[string]*machine{}
	c.order = nil
	c.touched, c.retouch, c.ended = nil, nil, nil
	c.probes, c.probing = nil, 0
	c.gone = map[string]bool{}
	c.rents = map[string]*rent{}
	c.rentOf = map[string]*rent{}
	c.chunks, c.kept = nil, nil
	c.unsettled = 0
	c.refused = map[offer]Micros{}
	c.backlog, c.returnOut, c.returnFrom = nil, false, 0
	c.vacating = nil
	c.begun, c.holdFleet, c.lookedBack, c.held = now, true, now, nil
	for _, k := range c.classes {
		k.services, k.batches = arrivals{}, holding{}
	}
	c.writes = map[uint64]func(Micros, WriteOutcome){}
	c.out = nil
	c.wantRaise, c.raising = false, 0
	c.fleetAt, c.probeAt = now, now
	for _, t := range c.teams {
		t.used, t.placed = Res{}, [Production + 1]int{}
	}
	c.zoneOf, c.aloneFrom = map[string]*zone{}, 0
	for _, ds := range c.deputies {
		for _, d := range ds {
			d.begin()
		}
	}
	for _, r := range snap.Machines {
		ch := &chunk{key: r.Key}
		c.chunks = append(c.chunks, ch)
		for _, rec := range r.Machines {
			if c.machines[rec.Name] != nil {
				ch.want(now) // it is in another record too
				continue
			}
			m := &machine{
				name: rec.Name, address: rec.Address, typeName: rec.Type, zone: rec.Zone, spot: rec.Spot,
				chunk: ch, recorded: true, seen: now, heard: now,
				// The former leader may have answered it for as long as it might.
				answered: now + c.cfg.AnswerGrace,
			}
			ch.machines = append(ch.machines, m)
			c.addMachine(m)
			c.probe(m)
			c.unsettled++
		}
		if len(ch.machines) == 0 {
			ch.want(now)
		}
	}
	open := map[string]bool{}
	for _, id := range snap.Open {
		open[id] = true
	}
	for _, rec := range jobs {
		if rec.Phase == Pending || rec.Phase == Cancelled && open[rec.Spec.ID] {
			c.addJob(now, wall, rec, open[rec.Spec.ID])
		}
	}
	stray := Write{}
	for _, id := range snap.Open {
		if c.jobs[id] == nil {
			stray.Drops = append(stray.Drops, OpenPrefix+id)
		}
	}
	for _, r := range snap.Ranges {
		j := c.jobs[r.Job]
		if j == nil {
			stray.Drops = append(stray.Drops, RangeKey(r.Job, r.Chunk))
			continue
		}
		j.stored[r.Chunk] = true
		for i := 0; i+1 < len(r.Ranges); i += 2 {
			for n := r.Ranges[i]; n <= r.Ranges[i+1]; n++ {
				if k := r.Chunk*c.cfg.ChunkSize + n; k < len(j.status) {
					j.set(k, taskDone)
				}
			}
		}
	}
	for _, r := range snap.Rents {
		rt := &rent{RentRecord: r, granted: true, seen: now - max(wall-r.At, 0)}
		c.rents[r.Request] = rt
		if c.expect(rt); rt.coming == 0 {
			c.dropRent(rt)
		}
	}
	for _, r := range snap.Kept {
		if r.Zone != "" {
			c.takeKept(r, now, wall)
		} else {
			stray.Drops = append(stray.Drops, r.Key)
		}
	}
	if len(stray.Drops) > 0 {
		c.write(stray, nil) // of jobs and cuts that are over
	}
	c.dirty = true
	if c.unsettled == 0 {
		for _, j := range c.sortedJobs() {
			c.unhold(j)
		}
	}
	for _, j := range c.sortedJobs() {
		c.checkDone(j, now)
	}
	c.note("term begins", "token", token, "jobs", len(c.jobs), "machines", len(c.machines), "unsettled", c.unsettled)
}

func (c *Core) sortedJobs() []*job {
	out := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		out = append(out, j)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].spec.ID < out[b].spec.ID })
	return out
}

// End ends the term; nothing of it is kept.
func (c *Core) End() {
	c.leading = false
	c.jobs, c.queue, c.machines, c.order, c.rents, c.writes, c.out = nil, nil, nil, nil, nil, nil, nil
}

// Raised says that the leader's key was written again and what the token is now.
func (c *Core) Raised(now Micros, token uint64) {
	c.raising = 0
	if token > c.token {
		c.note("token raised", "from", c.token, "to", token)
		c.token, c.attempts = token, 0
		c.wantRaise = false
		for _, m := range c.order {
			// Others see the token with their next beat, which is soon enough.
			if m.hasLate() {
				c.probe(m)
			}
		}
	}
}

func (c *Core) nextAttempt() uint64 {
	c.attempts++
	// A token is never given twice, so neither is an attempt, by any leader.
	return c.token<<24 | c.attempts
}

// Job takes a new or changed job record.
func (c *Core) Job(now, wall Micros, rec JobRecord) {
	if !c.leading {
		return
	}
	j := c.jobs[rec.Spec.ID]
	switch {
	case j == nil && rec.Phase == Pending:
		c.addJob(now, wall, rec, false)
	case j == nil:
	case rec.Phase == Done:
		c.finish(j, now)
	case rec.Phase == Cancelled && !j.cancelled:
		c.cancel(j, now)
	}
}

func (c *Core) addJob(now, wall Micros, rec JobRecord, opened bool) {
	age := max(wall-rec.Submitted, 0)
	j := newJob(rec, now-age)
	j.team, j.class, j.image = c.team(rec.Spec.Team), c.class(rec.Spec.Class), c.image(rec.Spec.Image)
	j.opened, j.held = opened, opened
	c.jobs[rec.Spec.ID] = j
	if rec.Phase == Cancelled {
		j.cancelled = true
		return
	}
	c.enqueue(j)
	c.dirty = true
	if rec.Spec.Kind == Service {
		j.class.services.seen(j)
	} else {
		j.class.batches.seen(j)
	}
}

func (c *Core) cancel(j *job, now Micros) {
	c.note("job cancelled", "job", j.spec.ID, "tasks_on_machines", j.on)
	j.cancelled = true
	c.dequeue(j)
	for _, p := range j.placements() {
		c.unwant(p, now, 0)
		p.finalOK = true
	}
	c.recordedEnds(j.ends)
	j.ends = nil
	c.dirty = true
	c.closeIfOver(j)
}

// placements lists the job's live placements by task.
func (j *job) placements() []*placement {
	out := make([]*placement, 0, len(j.live))
	for _, p := range j.live {
		out = append(out, p)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].index < out[b].index })
	return out
}

// finish forgets a job that is recorded as done.
func (c *Core) finish(j *job, now Micros) {
	c.dequeue(j)
	delete(c.jobs, j.spec.ID)
	for _, p := range j.placements() {
		p.finalOK = true
		c.unwant(p, now, 0)
	}
	c.recordedEnds(j.ends)
	j.ends = nil
	c.dirty = true
}

// closeIfOver drops the records of a cancelled job once nothing of it is left
// on any machine.
func (c *Core) closeIfOver(j *job) {
	if !j.cancelled || j.held || j.on > 0 || c.jobs[j.spec.ID] != j {
		return
	}
	delete(c.jobs, j.spec.ID)
	if j.opened || j.opening {
		c.write(Write{Drops: c.jobKeys(j)}, nil)
	}
}

// Keys of the leader's bookkeeping.
const (
	OpenPrefix    = "b/open/"
	RangesPrefix  = "b/done/"
	MachinePrefix = "b/machine/"
	RentPrefix    = "b/rent/"
	KeptPrefix    = "b/kept/"
)

// RangeKey is where a chunk of a job's finished tasks is kept.
func RangeKey(id string, chunk int) string { return fmt.Sprintf("%s%s/%d", RangesPrefix, id, chunk) }

func (c *Core) jobKeys(j *job) []string {
	keys := []string{OpenPrefix + j.spec.ID}
	for k := range j.stored {
		keys = append(keys, RangeKey(j.spec.ID, k))
	}
	sort.Strings(keys[1:])
	return keys
}

func (c *Core) write(w Write, done func(now Micros, o WriteOutcome)) {
	c.writeID++
	w.ID = c.writeID
	if done != nil {
		c.writes[w.ID] = done
	}
	c.out = append(c.out, w)
}

// Written is the result of a Write.
func (c *Core) Written(now Micros, id uint64, o WriteOutcome) {
	if !c.leading {
		return
	}
	if f := c.writes[id]; f != nil {
		delete(c.writes, id)
		f(now, o)
	}
}

// unwant marks a placement to be stopped; one that was never sent goes at once.
func (c *Core) unwant(p *placement, now Micros, grace Micros) {
	if p.unwanted && grace >= p.grace {
		return
	}
	if p.unwanted {
		p.stopSent = 0
	}
	p.unwanted, p.grace = true, grace
	c.touch(p.m)
	if !p.sent && !p.shown && !p.inDo {
		c.remove(p, now)
	}
}

// exited handles the end of a task; its room is free already.
func (c *Core) exited(p *placement, now Micros) {
	j := p.j
	if j == nil || c.jobs[p.job] != j {
		p.finalOK = true
		return
	}
	if p.cause == CauseDone && !j.cancelled && j.spec.Kind != Service {
		delete(p.m.failed, p.job)
		c.observe(p, now)
		j.ends = append(j.ends, p)
		c.taskDone(j, p.index, now)
		if j.spec.Kind == Gang {
			// The tasks of a gang complete together.
			for i := range j.status {
				c.taskDone(j, i, now)
			}
		}
		return
	}
	p.finalOK = true
	switch p.cause {
	case CauseError:
		c.failed(p, now)
	case CauseNoRoom:
		p.m.blocked = now + 2*Second
		c.note("start refused: no room", "machine", p.m.name, "job", p.job, "task", p.index)
	case CauseUnknown:
		j.notBefore = now + Second
	}
	c.gangLost(p, now)
	c.closeIfOver(j)
}

func (c *Core) taskDone(j *job, i int, now Micros) {
	if j.status[i] == taskDone {
		return
	}
	j.set(i, taskDone)
	c.moves(j)
	if len(j.dirty) == 0 {
		j.writeFrom = max(j.writeFrom, now+rangesPause)
	}
	j.dirty[i/c.cfg.ChunkSize] = true
	c.checkDone(j, now)
}

// checkDone lets a completed job's final record go out at once.
func (c *Core) checkDone(j *job, now Micros) {
	if j.done == len(j.status) && !j.cancelled {
		j.writeFrom = now
		if j.due > 0 && now > j.due {
			c.note("job missed its deadline", "job", j.spec.ID, "class", j.spec.Class, "tasks", len(j.status),
				"cpus", j.spec.Need.CPU/1000, "estimate_s", j.spec.Estimate/Second, "ran_s", j.ranLongest/Second, "due_s", j.spec.Due/Second,
				"late_s", (now-j.due)/Second, "first_start_s", (j.firstStart-j.submitted)/Second, "last_start_s", (j.lastStart-j.submitted)/Second)
		}
	}
	c.toWrite(j)
}

// toWrite has a job's finished tasks or its final record written.
func (c *Core) toWrite(j *job) {
	if !j.ended {
		j.ended = true
		c.ended = append(c.ended, j)
	}
}

// recordedEnds lets workers forget tasks whose completion is recorded.
func (c *Core) recordedEnds(ends []*placement) {
	for _, p := range ends {
		p.finalOK = true
		c.touch(p.m)
	}
}

// failed notes that a task failed. A machine on which several jobs fail is
// taken out of use; a job that fails on several machines waits longer and
// longer, and evicts nobody meanwhile.
func (c *Core) failed(p *placement, now Micros) {
	m, j := p.m, p.j
	if m.failed == nil {
		m.failed = map[string]bool{}
	}
	m.failed[p.job] = true
	if j.errors == nil {
		j.errors = map[string]bool{}
	}
	j.errors[m.name] = true
	j.failures++
	c.note("task failed", "machine", m.name, "job", p.job, "task", p.index, "jobs_failed_here", len(m.failed), "machines_failed_on", len(j.errors))
	if len(m.failed) >= 2 && now >= m.quarantine {
		m.quarantine = now + c.cfg.Tuning.Quarantine
		c.note("quarantine: several jobs failed here", "machine", m.name)
		c.drain(m, now, 0)
	}
	if len(j.errors) >= 3 {
		n := min(len(j.errors)-3, 5)
		j.notBefore = now + (2*Second)<<n
		c.note("job backs off: it failed on several machines", "job", p.job, "machines", len(j.errors))
	}
}

// drain empties a machine: its tasks are stopped, with time to save where
// there is some, and start elsewhere.
func (c *Core) drain(m *machine, now, by Micros) {
	if m.draining {
		return
	}
	m.draining = true
	c.dirty = true
	for i := len(m.tasks) - 1; i >= 0; i-- {
		if i >= len(m.tasks) {
			continue
		}
		p := m.tasks[i]
		if !p.holds() || p.unwanted {
			continue
		}
		c.stopTask(p, now, by)
	}
}

// stopTask stops a task, and with it its gang.
func (c *Core) stopTask(p *placement, now, by Micros) {
	if p.j == nil {
		c.unwant(p, now, 0)
		return
	}
	grace := Micros(0)
	// Going back to the last checkpoint loses half an interval, on the average;
	// saving holds the machine up for as long as it takes.
	if p.j.spec.SaveCost < p.j.spec.Checkpoint/2 && (by == 0 || now+p.j.spec.SaveCost < by) {
		grace = p.j.spec.SaveCost + Second
	}
	if p.j.spec.Kind == Gang && !p.j.waiting() {
		c.stopGang(p.j, now, grace)
		return
	}
	c.unwant(p, now, grace)
}

// stopGang stops all tasks of a gang; they start again together once the last
// has exited.
func (c *Core) stopGang(j *job, now, grace Micros) {
	if j.stopping {
		return
	}
	j.stopping = true
	for _, p := range j.placements() {
		c.unwant(p, now, grace)
	}
	c.gangSettle(j)
}

// gangLost deals with a gang that lost a task. One that has not started waits
// for a replacement, which schedule looks for; what its other machines have
// fetched meanwhile is not lost. Otherwise the rest is stopped.
func (c *Core) gangLost(p *placement, now Micros) {
	if p.j == nil || p.j.spec.Kind != Gang || p.j.cancelled || p.attempt != p.j.attempt || p.j.stopping {
		return
	}
	if p.j.done > 0 || c.jobs[p.job] != p.j || p.j.live[p.index] != nil {
		return
	}
	if p.j.waiting() && p.cause != CausePeers && (p.cause != CauseAlone || p.j.held) {
		if p.j.lacksFrom == 0 {
			p.j.lacksFrom = now
		}
		return
	}
	c.stopGang(p.j, now, 0)
}

const (
	// gangPatience is how long the machines of a gang that has not started are
	// kept for want of another.
	gangPatience = 10 * Second
	// waitsMost is how often a gang task waits for the others for as long as a
	// worker lets it. Images can take longer to fetch than that.
	waitsMost = 4
)

// waiting reports whether a gang has been placed and is not known to have run.
func (j *job) waiting() bool { return j.spec.Kind == Gang && j.on > 0 && j.ran != j.attempt }

// waitAgain lets a gang task that exited because the others were not there yet
// wait once more where it is: its image is there by now, and theirs, which may
// take longer than a worker lets a task wait, will be. Stopping the gang would
// end their fetches, and begin the same again. Only the answer to a beat may
// tell the worker: a direct command could arrive after all this is over.
func (c *Core) waitAgain(p *placement) bool {
	j := p.j
	if p.cause != CauseAlone || p.unwanted || p.late || p.waits >= waitsMost || j == nil || c.jobs[p.job] != j ||
		j.cancelled || j.stopping || j.done > 0 || p.attempt != j.attempt || j.ran == j.attempt ||
		p.m.draining || p.m.returning || p.m.lost {
		return false
	}
	p.waits++
	p.again, p.state = true, Waiting
	c.hold(p)
	return true
}

func (c *Core) gangSettle(j *job) {
	if j.stopping && len(j.live) == 0 {
		j.stopping = false
		c.dirty = true
	}
}

// Beat takes a worker's report and returns the commands for the answer. ok is
// false if this node may not answer it.
func (c *Core) Beat(now Micros, r *Report) (cmds []Command, token uint64, ok bool) {
	if !c.leading {
		return nil, 0, false
	}
	m := c.machines[r.Machine]
	if m == nil {
		if c.gone[r.Machine] {
			return nil, c.token, true
		}
		// Rented late, or by a leader that died before it could say so: it was
		// never recorded, so it was never given a task.
		m = &machine{name: r.Machine, typeName: r.Type, zone: r.Zone, spot: r.Spot, seen: now, booting: true, settled: true}
		c.addMachine(m)
		c.note("unexpected machine reports", "machine", m.name, "type", m.typeName, "zone", m.zone)
	}
	if r.Session < m.session || r.Session == m.session && r.Seq <= m.seq {
		// Older than what is known: it changes nothing, and a worker that is
		// still waiting for this answer has nothing to lose by it.
		m.answered = now
		return nil, c.token, true
	}
	if m.typeName == "" {
		m.typeName, m.zone, m.spot = r.Type, r.Zone, r.Spot
		m.typ = c.types[m.typeName]
	}
	c.absorb(m, r, true, now)
	m.answered = now
	return c.commands(m, now, true), c.token, true
}

// BeatInGrace takes a report while the leader's lease is not certain to be
// alive: the worker's lease is renewed and it is told nothing. ok is false if
// the worker has seen a higher token, so that there is another leader.
func (c *Core) BeatInGrace(now Micros, r *Report) (token uint64, ok bool) {
	m := c.machines[r.Machine]
	if !c.leading || m == nil || r.Token > c.token {
		return 0, false
	}
	if r.Session > m.session || r.Session == m.session && r.Seq > m.seq {
		c.absorb(m, r, true, now)
	}
	m.answered = now
	return c.token, true
}

func (c *Core) addMachine(m *machine) {
	m.typ = c.types[m.typeName]
	c.machines[m.name] = m
	i := sort.Search(len(c.order), func(i int) bool { return c.order[i].name >= m.name })
	c.order = append(c.order, nil)
	copy(c.order[i+1:], c.order[i:])
	c.order[i] = m
}

// commands works out what the machine is to be told: the difference between
// what is wanted there and what it has shown. In the answer to a beat that is
// everything; directly, only what was not sent yet.
func (c *Core) commands(m *machine, now Micros, beat bool) []Command {
	var forget, stop, start []Command
	if m.lost {
		return nil
	}
	var on Res
	for _, p := range m.tasks {
		if p.onWorker() {
			on = on.Add(p.need)
		}
	}
	for _, p := range m.tasks {
		switch {
		case p.inDo:
		case p.shown && p.state == Exited:
			// A start that may still arrive would run again an attempt that the
			// worker has been told to forget.
			if p.finalOK && !(p.late && m.token <= p.lateToken) {
				forget = append(forget, p.command(Forget))
			} else if p.finalOK && beat {
				c.wantRaise = true
			}
		case p.unwanted && p.shown:
			if p.stopSent == 0 || beat && now-p.stopSent > 2*Second {
				cmd := p.command(Stop)
				cmd.Grace = p.grace
				stop = append(stop, cmd)
				p.stopSent = now
				if p.j == nil || p.j.spec.Checkpoint == 0 || p.grace < p.j.spec.SaveCost {
					on = on.Sub(p.need)
				}
			}
		}
	}
	for _, p := range m.tasks {
		// A machine that is being returned may be alive for as long as the cloud
		// takes: it is still told what to stop.
		if p.again && beat && !p.unwanted && !m.returning {
			forget = append(forget, p.command(Forget))
			start = append(start, p.command(Start))
			continue
		}
		if m.returning || p.inDo || p.shown || p.unwanted || p.sent && !(beat && p.resend) {
			continue
		}
		if !m.recorded || p.j == nil || !c.open(p.j, now) {
			continue
		}
		if !p.sent {
			if m.typ == nil || !on.Add(p.need).Fits(m.typ.Cap) {
				continue
			}
			on = on.Add(p.need)
		}
		p.resend = false
		p.sent = true
		if beat {
			p.beatSeq = m.seq
		} else {
			p.inDo = true
		}
		start = append(start, p.command(Start))
	}
	if !beat && len(stop) == 0 && len(start) == 0 {
		return nil // what is over can wait for the next beat
	}
	return append(append(forget, stop...), start...)
}

func (p *placement) command(op Op) Command {
	return Command{Op: op, Job: p.job, Index: p.index, Attempt: p.attempt}
}

// open reports whether it is recorded that tasks of the job may run, and sees
// to it where it is not.
func (c *Core) open(j *job, now Micros) bool {
	if j.opened {
		return true
	}
	if j.opening || now < j.openFrom {
		return false
	}
	j.opening = true
	c.write(Write{Puts: []Put{{OpenPrefix + j.spec.ID, OpenRecord{j.spec.ID}}}, Urgent: true}, func(now Micros, o WriteOutcome) {
		ok := o == Stored
		j.opening = false
		j.opened = j.opened || ok
		if !ok {
			j.openFrom = now + writeRetry
		}
		for _, p := range j.live {
			if ok {
				c.touch(p.m)
			} else {
				c.touchLater(p.m)
			}
		}
	})
	return false
}

// Outcome says what became of a direct command.
type Outcome uint8

// The outcomes.
const (
	Executed   Outcome = iota // the report is as of after the commands
	Refused                   // nothing was executed; the report is current
	NotSent                   // no connection was made, so it will never arrive
	Unanswered                // it may be executed, now or minutes later
)

// Commanded is the result of SendCommands.
func (c *Core) Commanded(now Micros, machine string, token uint64, o Outcome, r *Report) {
	if !c.leading {
		return
	}
	m := c.machines[machine]
	if m == nil {
		return
	}
	m.doing = false
	c.probeOver(m)
	c.touch(m)
	for _, p := range m.tasks {
		if !p.inDo {
			continue
		}
		p.inDo = false
		switch o {
		case Refused, NotSent:
			p.sent = p.late
		case Unanswered:
			p.late, p.lateToken = true, max(p.lateToken, token)
		}
	}
	c.dropUnwantedUnsent(m, now)
	if r != nil {
		if r.Session > m.session || r.Session == m.session && r.Seq > m.seq {
			c.absorb(m, r, false, now)
		}
		if !m.settled && (r.Session != m.session || o == Refused) {
			c.probe(m)
		}
		return
	}
	m.noDo = true
	m.misses++
	if !m.silent && c.isSilent(m, now) {
		m.silent = true
		c.fleetAt = now // its tasks wait for what is done about it
	}
	c.note("direct command failed", "machine", m.name, "delivered", map[Outcome]string{NotSent: "no", Unanswered: "unknown"}[o])
}

// isSilent reports whether a machine that a direct command did not reach is to be
// taken as silent. What nearly all others of a takeover do not wait for any more
// need not be waited for as long: everything that was opened does.
func (c *Core) isSilent(m *machine, now Micros) bool {
	last := !m.settled && m.misses >= 2 && c.unsettled*20 <= len(c.order)
	return now-m.heard >= c.cfg.Tuning.Suspect || last && now-m.heard >= c.cfg.Tuning.Suspect/2
}

func (c *Core) dropUnwantedUnsent(m *machine, now Micros) {
	for i := len(m.tasks) - 1; i >= 0; i-- {
		if i < len(m.tasks) {
			if p := m.tasks[i]; p.unwanted && !p.sent && !p.shown && !p.inDo {
				c.remove(p, now)
			}
		}
	}
}

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
	if c.dirty && now-c.placed >= c.cfg.PlacePause || now >= c.placeAt {
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
	if c.dirty {
		return c.placed + c.cfg.PlacePause
	}
	return math.MaxInt64
}

// expire ends what only time can end: the leases of machines that are no
// longer answered.
func (c *Core) expire(now Micros) {
	if now < c.probeAt {
		return
	}
	c.probeAt = now + Second/2
	for _, m := range c.retouch {
		m.later = false
		c.touch(m)
	}
	c.retouch = c.retouch[:0]
	for _, m := range c.order {
		if m.booting || m.lost {
			continue
		}
		if c.leaseEnded(m, now) {
			c.note("machine lost: its lease is over", "machine", m.name, "tasks", len(m.tasks), "session", m.session,
				"answered_ms_ago", (now-m.answered)/Millisecond, "heard_ms_ago", (now-m.heard)/Millisecond, "seen_ms_ago", (now-m.seen)/Millisecond)
			m.lost, m.lostAt = true, now
			c.clear(m, now)
			c.settle(m)
			c.fleetAt = now // it goes back, or is waited for
			continue
		}
		if m.returning {
			continue
		}
		// A worker that is up reports within the gap and its spread.
		if now-m.heard >= c.cfg.ReportGap*5/4+Second/10 || !m.settled {
			c.probe(m)
		}
	}
}

// direct sends what cannot wait for a beat.
func (c *Core) direct(now Micros) {
	touched := c.touched
	c.touched = nil
	for _, m := range touched {
		m.dirty = false
		// What can't be told now is told when that changes, and with a beat.
		if m.noDo || !c.reachable(m) {
			continue
		}
		if cmds := c.commands(m, now, false); len(cmds) > 0 {
			c.send(m, cmds)
		}
	}
	n := 0
	for ; n < len(c.probes) && c.probing < probesMost; n++ {
		m := c.probes[n]
		m.probe = false
		if !c.reachable(m) || m.settled && now-m.heard < c.cfg.ReportGap && !m.hasLate() {
			continue // or it has reported meanwhile
		}
		m.probed = now
		c.probing++
		c.send(m, c.commands(m, now, false))
	}
	c.probes = slices.Delete(c.probes, 0, n)
}

// probesMost is how many probes may be under way: after a takeover every
// machine is to be asked, but most report by themselves before their turn
// comes, and each connection costs processor time.
const probesMost = 32

// probeOver notes that a probe has its result, or will not be waited for.
func (c *Core) probeOver(m *machine) {
	if m.probed > 0 {
		m.probed = 0
		c.probing--
	}
}

// reachable reports whether a direct command can be sent to the machine now.
func (c *Core) reachable(m *machine) bool {
	return !m.doing && m.address != "" && !m.lost && !m.booting && c.machines[m.name] == m
}

func (c *Core) send(m *machine, cmds []Command) {
	session := m.session
	if session == 0 {
		session = 1
	}
	m.doing = true
	c.out = append(c.out, SendCommands{m.name, m.address, c.token, session, cmds})
}

// rangesPause lets many finished tasks share a write: until it is written they
// stay in their machines' reports, so little is lost by waiting.
const rangesPause = 10 * Second

// flushEnded writes finished tasks: a job's last ones at once with its final
// record, others in batches.
func (c *Core) flushEnded(now Micros) {
	wait := c.ended[:0]
	for _, j := range c.ended {
		complete := j.done == len(j.status)
		switch {
		case c.jobs[j.spec.ID] != j, j.cancelled, len(j.dirty) == 0 && !complete:
			j.ended = false
		case now < j.writeFrom || complete && j.finishing || !complete && j.ranging:
			wait = append(wait, j)
		case complete:
			// Ranges that wait for their turn do not hold this up.
			j.ended = false
			c.writeDone(j)
		default:
			j.ended = false
			c.writeRanges(j)
		}
	}
	c.ended = wait
}

func (c *Core) writeDone(j *job) {
	j.finishing = true
	rec := j.rec
	rec.Phase = Done
	w := Write{Puts: []Put{{"", JobDone{rec}}}, Drops: c.jobKeys(j), IfJob: j.spec.ID, IfStamp: j.rec.Stamp, Urgent: true}
	c.write(w, func(now Micros, o WriteOutcome) {
		j.finishing = false
		if c.jobs[j.spec.ID] != j {
			return
		}
		if o == Stored {
			c.finish(j, now)
			return
		}
		// Refused, because the job was cancelled first, or not known: the
		// record comes through the watch, and trying again is harmless.
		j.writeFrom = now + writeRetry
		c.toWrite(j)
	})
}

func (c *Core) writeRanges(j *job) {
	j.ranging = true
	chunks := make([]int, 0, len(j.dirty))
	for k := range j.dirty {
		chunks = append(chunks, k)
	}
	sort.Ints(chunks)
	chunks = chunks[:min(len(chunks), 8)]
	var w Write
	covered := map[int]bool{}
	for _, k := range chunks {
		delete(j.dirty, k)
		covered[k] = true
		j.stored[k] = true
		w.Puts = append(w.Puts, Put{RangeKey(j.spec.ID, k), RangeRecord{j.spec.ID, k, j.ranges(k, c.cfg.ChunkSize)}})
	}
	var ends, rest []*placement
	for _, p := range j.ends {
		if covered[p.index/c.cfg.ChunkSize] {
			ends = append(ends, p)
		} else {
			rest = append(rest, p)
		}
	}
	j.ends = rest
	c.write(w, func(now Micros, o WriteOutcome) {
		j.ranging = false
		over := c.jobs[j.spec.ID] != j || j.cancelled
		if o == Stored || over {
			c.recordedEnds(ends)
		} else {
			j.ends = append(j.ends, ends...)
			for k := range covered {
				j.dirty[k] = true
			}
		}
		if !over && j.done < len(j.status) {
			j.writeFrom = now + rangesPause
			c.toWrite(j)
		}
	})
}

// Counts are a job's tasks that are done and that run, for display.
func (c *Core) Counts(id string) (done, running int, ok bool) {
	if !c.leading {
		return 0, 0, false
	}
	j := c.jobs[id]
	if j == nil {
		return 0, 0, false
	}
	return j.done, j.running, true
}

// Jobs lists the unfinished jobs.
func (c *Core) Jobs() []string {
	out := make([]string, 0, len(c.queue))
	for _, j := range c.queue {
		out = append(out, j.spec.ID)
	}
	return out
}

// TaskView is a task that is done or on a machine, for display.
type TaskView struct {
	Index   int
	Attempt uint64
	Done    bool
	Machine string // "" for a task that is done
	State   TaskState
	Age     Micros // since it was placed
}

// Tasks lists a job's tasks that are done or on a machine, beginning with one,
// at most limit of them; more says that there are others.
func (c *Core) Tasks(now Micros, id string, from, limit int) (tasks []TaskView, more, ok bool) {
	j := c.jobs[id]
	if !c.leading || j == nil {
		return nil, false, false
	}
	for i := max(from, 0); i < len(j.status); i++ {
		p := j.live[i]
		if j.status[i] != taskDone && (p == nil || p.state == Exited) {
			continue
		}
		if len(tasks) == limit {
			return tasks, true, true
		}
		v := TaskView{Index: i, Done: j.status[i] == taskDone}
		if p != nil && !v.Done {
			v.Attempt, v.Machine, v.State, v.Age = p.attempt, p.m.name, p.state, max(now-p.at, 0)
		}
		tasks = append(tasks, v)
	}
	return tasks, false, true
}

// MachineView is a machine, for display.
type MachineView struct {
	Name, Type, Zone string
	Spot             bool
	Ready            bool // its worker reports
}

// Machines lists the machines that are up.
func (c *Core) Machines() []MachineView {
	out := make([]MachineView, 0, len(c.order))
	for _, m := range c.order {
		if !m.booting && !m.lost {
			out = append(out, MachineView{m.name, m.typeName, m.zone, m.spot, !m.silent})
		}
	}
	return out
}

// Watch has Step say when the counts of a job change, or no longer.
func (c *Core) Watch(id string, on bool) {
	if on {
		c.watched[id] = true
	} else {
		delete(c.watched, id)
	}
}

// moves notes that a job's counts changed.
func (c *Core) moves(j *job) {
	if len(c.watched) > 0 && c.watched[j.spec.ID] {
		c.out = append(c.out, Progress{j.spec.ID})
	}
}

// Catalog takes the cloud's current machine types.
func (c *Core) Catalog(types []MachineType) {
	c.types = map[string]*MachineType{}
	c.typeOrder = nil
	for i := range types {
		c.types[types[i].Name] = &types[i]
		c.typeOrder = append(c.typeOrder, &types[i])
	}
	for _, m := range c.order {
		m.typ = c.types[m.typeName]
	}
	c.dirty = true
}
