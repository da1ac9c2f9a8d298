package core

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
)

// offer is a kind of machine that can be rented.
type offer struct {
	typ, zone string
	spot      bool
}

// room is a machine that is coming: tasks are promised to it before more is
// rented.
type room struct {
	offer
	free Res
}

const maxRentsOut = 4

const silentWhy = "silent"

// fleet compares the machines there are with those that are wanted.
func (c *Core) fleet(now Micros) {
	if len(c.types) == 0 {
		return
	}
	c.judgeZones(now)
	c.lookBack(now)
	c.recordKept(now)
	c.moveOut(now)
	coming := c.coming(now)
	short := c.shortOfHeld(now, coming)
	c.returns(now, &short)
	if !c.holding(now) {
		c.consolidate(now)
	}
	c.pursueRents(now)
	// After a takeover most machines are heard of within a report's time; before,
	// what is free on them is not known, and all that waits would be rented for.
	// What a leader that is cut off asks for may be rented minutes later.
	if !c.alone && (c.unsettled == c.unsettledInCut(now) || now-c.begun > 2*c.cfg.ReportGap) {
		c.rentForDemand(now, coming)
	}
	if now >= c.summaryAt {
		c.summaryAt = now + 10*Second
		c.summary(now)
	}
}

// spending is what the fleet costs an hour, by what it is spent on.
type spending struct {
	boot, idle         float64 // machines that are not up yet, or without tasks
	run, wait, service float64 // the parts of machines that tasks of batches run on, or wait on, and services' parts
	left               float64 // the parts of those machines that nothing uses
}

// add counts a machine.
func (s *spending) add(m *machine) {
	price := m.price()
	switch {
	case m.booting:
		s.boot += price
		return
	case m.used == (Res{}):
		s.idle += price
		return
	}
	left := 1.0
	for _, p := range m.tasks {
		if !p.holds() {
			continue
		}
		part := min(p.need.share(m.typ.Cap), left)
		left -= part
		switch {
		case p.j != nil && p.j.spec.Kind == Service:
			s.service += price * part
		case p.shown && p.state == Running:
			s.run += price * part
		default:
			s.wait += price * part
		}
	}
	s.left += price * left
}

// summary tells an operator how full the fleet is, and what it is paid for.
func (c *Core) summary(now Micros) {
	var up, booting, idle int
	var cpus, used [2]int64
	var money spending
	for _, m := range c.order {
		k := 0
		if m.spot {
			k = 1
		}
		if m.typ != nil && !m.lost {
			money.add(m)
		}
		switch {
		case m.booting:
			booting++
		case m.typ != nil:
			up++
			if m.used == (Res{}) {
				idle++
			}
			cpus[k] += m.typ.Cap.CPU
			used[k] += m.used.CPU
		}
	}
	defer func() { c.looked = 0 }()
	waiting := 0
	for _, j := range c.queue {
		waiting += j.pending
	}
	c.out = append(c.out, Note{Text: "fleet", Debug: true, Args: []any{
		"up", up, "booting", booting, "idle", idle, "ordinary_cpus", cpus[0] / 1000, "used", used[0] / 1000,
		"spot_cpus", cpus[1] / 1000, "spot_used", used[1] / 1000, "jobs", len(c.queue), "tasks_waiting", waiting,
		"spare", c.spare, "spare_want", c.spareWant, "looked_at", c.looked,
		"cost_boot", cents(money.boot), "cost_idle", cents(money.idle), "cost_run", cents(money.run),
		"cost_wait", cents(money.wait), "cost_service", cents(money.service), "cost_left", cents(money.left),
	}})
}

// cents is an amount of money for the log.
func cents(x float64) float64 { return math.Round(x*100) / 100 }

// returns gives back machines that are lost, drained, overdue or idle.
func (c *Core) returns(now Micros, short *Res) {
	c.countSpare(now)
	var idle []*machine
	for _, m := range c.order {
		if m.returning {
			continue
		}
		switch {
		case m.lost:
			// The cut may end before another machine could be there.
			if m.typ == nil || !c.cutOff(m.zone, now) || now-m.lostAt >= m.typ.Boot {
				c.giveBack(m, now, "lost")
			}
		case m.booting:
			if m.typ != nil && now-m.seen > 3*m.typ.Boot+10*Second {
				c.giveBack(m, now, "never came up")
			}
		case (m.silent || c.silentInCut(m, now)) && !c.deaf && !(c.cutOff(m.zone, now) && c.keepsServices(m)):
			// Deleting it frees its tasks at once; waiting for its lease would
			// take longer. But when few others are heard, good machines would be
			// deleted; and what serves in a zone that is cut off goes on serving.
			m.silent = true
			c.giveBack(m, now, silentWhy)
		case !m.settled:
		case m.typ == nil && m.used == (Res{}):
			c.giveBack(m, now, "of a type that is not in the catalog")
		case m.draining, m.vacating:
			if m.used == (Res{}) {
				c.giveBack(m, now, "drained")
			}
		case m.used == (Res{}) && m.idle > 0 && now-m.idle >= c.cfg.Tuning.Idle && now-m.rented >= 60*Second:
			idle = append(idle, m)
		}
	}
	// The dearest go first.
	slices.SortStableFunc(idle, func(a, b *machine) int { return cmp.Compare(b.price(), a.price()) })
	for _, m := range idle {
		if c.neededSpare(m) || short.Add(m.typ.Cap).lacks() {
			continue
		}
		*short = short.Add(m.typ.Cap)
		if !m.spot && c.spareNeed != (Res{}) {
			c.spare[m.zone] -= c.spareNeed.copies(m.free())
		}
		c.giveBack(m, now, "idle")
	}
}

const (
	// vacateShare is how long a service is left in peace between two moves, on
	// the average: each move takes it down for as long as its image takes, and
	// they must not add up.
	vacateShare = 140 * Second
	// vacateMost is how many services are moved to empty a machine.
	vacateMost = 16
	// vacateTries is how many machines are looked at closely in one pass.
	vacateTries = 8
)

// consolidate empties ordinary machines that a few services keep rented while
// there is room for them elsewhere. The more services there are, the more may
// move in a second. A machine that batches use as well is of use.
func (c *Core) consolidate(now Micros) {
	services := 0
	for _, j := range c.queue {
		if j.pending > 0 {
			// Room is short.
			c.vacateAt = now
			for _, m := range c.vacating {
				m.vacating = false
			}
			c.vacating = c.vacating[:0]
			return
		}
		if j.spec.Kind == Service {
			services += len(j.live)
		}
	}
	if c.unsettled > 0 || services == 0 {
		return
	}
	// Moves that were not made are not made up for.
	c.vacateAt = max(c.vacateAt, now-Second)
	if now < c.vacateAt {
		return
	}
	type candidate struct {
		m    *machine
		gain float64
	}
	var from []candidate
	var to []*machine
	for _, m := range c.order {
		if m.spot || m.used == (Res{}) || !c.usable(m, now) {
			continue
		}
		free := float64(m.typ.Cap.CPU-m.used.CPU) / float64(m.typ.Cap.CPU)
		if free <= 0 {
			continue
		}
		gain := m.typ.Price * free / float64(len(m.tasks))
		if m.vacating {
			gain *= 10 // finish what was begun
		} else {
			to = append(to, m)
		}
		if m.vacating || len(m.tasks) <= vacateMost {
			from = append(from, candidate{m, gain})
		}
	}
	slices.SortStableFunc(from, func(a, b candidate) int { return cmp.Compare(b.gain, a.gain) })
	for _, f := range from[:min(len(from), vacateTries)] {
		m := f.m
		if !c.movable(m, to, now) {
			if m.vacating {
				m.vacating = false
				c.vacating = slices.DeleteFunc(c.vacating, func(o *machine) bool { return o == m })
			}
			continue
		}
		if !m.vacating {
			c.note("vacating: its services fit elsewhere", "machine", m.name, "type", m.typeName, "used_cpus", m.used.CPU/1000)
			m.vacating = true
			c.vacating = append(c.vacating, m)
			to = slices.DeleteFunc(to, func(o *machine) bool { return o == m })
		}
		for _, p := range slices.Clone(m.tasks) {
			if now < c.vacateAt {
				return
			}
			if p.j != nil && p.holds() && !p.unwanted && p.j.spec.Kind == Service {
				c.vacateAt += vacateShare / Micros(services)
				c.unwant(p, now, 0)
			}
		}
	}
}

// moves are services that are to move, by where there is room for them.
type moves struct {
	to    []*machine
	taken map[*machine]Res
	zones map[zoneOfJob]int // tasks of a job that come to a zone, or leave it
	made  []move
}

type move struct {
	p  *placement
	to *machine
}

type zoneOfJob struct {
	j    *job
	zone string
}

func movesTo(to []*machine) *moves {
	return &moves{to: to, taken: map[*machine]Res{}, zones: map[zoneOfJob]int{}}
}

// left is what stays free on a machine that services may move to.
func (v *moves) left(o *machine) Res { return o.free().Sub(v.taken[o]) }

// count notes a move, or one that is not made after all.
func (v *moves) count(mv move, sign int) {
	v.taken[mv.to] = v.taken[mv.to].Add(mv.p.need.Times(sign))
	v.zones[zoneOfJob{mv.p.j, mv.to.zone}] += sign
	v.zones[zoneOfJob{mv.p.j, mv.p.m.zone}] -= sign
}

// take finds room for tasks of services away from their machines, with their
// images there already if cached is set: for all of them, or it reports false and
// nothing is taken.
func (c *Core) take(v *moves, ps []*placement, cached bool) bool {
	before := len(v.made)
	for _, p := range ps {
		j, from := p.j, p.m.zone
		i := slices.IndexFunc(v.to, func(o *machine) bool {
			if o == p.m || cached && !o.hasImage(j.image) || !p.need.Fits(v.left(o)) {
				return false
			}
			j.zones[from]-- // as it will be
			ok := c.allowed(j, o) && (!j.spec.Spread || o.zone == from || j.zones[o.zone]+v.zones[zoneOfJob{j, o.zone}] < (j.spec.Tasks+1)/2)
			j.zones[from]++
			return ok
		})
		if i < 0 {
			for _, mv := range v.made[before:] {
				v.count(mv, -1)
			}
			v.made = v.made[:before]
			return false
		}
		mv := move{p, v.to[i]}
		v.count(mv, 1)
		v.made = append(v.made, mv)
	}
	return true
}

// movable reports whether all services on a machine, and there are some, have
// room on the machines to, with their image and besides the spare room.
func (c *Core) movable(m *machine, to []*machine, now Micros) bool {
	v := movesTo(to)
	var ps []*placement
	for _, p := range m.tasks {
		if !p.holds() {
			continue
		}
		if m.vacating && p.unwanted {
			continue
		}
		if p.j == nil || p.unwanted || p.state != Running {
			return false
		}
		if p.j.spec.Kind != Service {
			if m.vacating {
				continue
			}
			return false // batches make use of it
		}
		ps = append(ps, p)
	}
	if len(ps) == 0 || !c.take(v, ps, true) {
		return false
	}
	if c.spareNeed == (Res{}) {
		return true
	}
	// What is left must do for the services that are expected.
	left := 0
	for _, o := range c.order {
		if o != m && !o.spot && !o.vacating && c.usable(o, now) {
			left += c.spareNeed.copies(v.left(o))
		}
	}
	return left >= c.spareWant
}

// giveBack has a machine returned. What was not sent to it yet goes elsewhere.
func (c *Core) giveBack(m *machine, now Micros, why string) {
	if m.returning {
		return
	}
	m.returning, m.returnWhy = true, why
	c.backlog = append(c.backlog, m)
	for _, p := range slices.Clone(m.tasks) {
		if !p.sent && !p.shown && !p.inDo {
			c.remove(p, now)
		}
	}
}

// keep takes a machine off the backlog of returns, unless the cloud has been
// asked already.
func (c *Core) keep(m *machine) {
	if i := slices.Index(c.backlog, m); i >= 0 {
		c.backlog = slices.Delete(c.backlog, i, i+1)
		m.returning = false
		c.dirty = true
		c.note("kept: it reports again", "machine", m.name, "reason", m.returnWhy)
	}
}

// returnMost is how many machines go back with one request.
const returnMost = 100

// sendReturns asks the cloud to take machines back, many with one request, one
// request at a time and with a pause between two: in a wave a few machines are
// given up every moment, the cloud's calls are few, and rentals go first.
func (c *Core) sendReturns(now Micros) {
	if c.returnOut || len(c.backlog) == 0 || now < c.returnFrom {
		return
	}
	batch := c.backlog[:min(len(c.backlog), returnMost)]
	c.backlog = slices.Clone(c.backlog[len(batch):])
	var r Return
	for _, m := range batch {
		r.Machines = append(r.Machines, m.name)
		if !strings.Contains(r.Reason, m.returnWhy) {
			r.Reason = strings.TrimPrefix(r.Reason+", "+m.returnWhy, ", ")
		}
	}
	c.returnOut = true
	c.out = append(c.out, r)
}

// Returned is the result of a Return: after ok, the machines and all that was
// on them are gone.
func (c *Core) Returned(now Micros, names []string, ok bool) {
	if !c.leading {
		return
	}
	c.returnOut = false
	c.returnFrom = now + c.cfg.ReturnPause
	for _, name := range names {
		switch m := c.machines[name]; {
		case m == nil:
		case ok:
			c.removeMachine(m, now)
		default:
			c.backlog = append(c.backlog, m)
		}
	}
}

func (c *Core) removeMachine(m *machine, now Micros) {
	c.clear(m, now)
	c.settle(m)
	c.probeOver(m) // its result finds no machine any more
	c.unkeep(m)
	delete(c.machines, m.name)
	i := sort.Search(len(c.order), func(i int) bool { return c.order[i].name >= m.name })
	c.order = append(c.order[:i:i], c.order[i+1:]...)
	c.gone[m.name] = true
	c.vacating = slices.DeleteFunc(c.vacating, func(o *machine) bool { return o == m })
	c.delist(m, now)
	c.upRent(m.name)
	c.dirty = true
}

// upRent takes a machine that is recorded or gone off the rental that it came
// from, and forgets a rental that has none left.
func (c *Core) upRent(name string) {
	r := c.rentOf[name]
	if r == nil {
		return
	}
	delete(c.rentOf, name)
	if r.coming--; r.coming == 0 {
		c.dropRent(r)
	}
}

func (c *Core) dropRent(r *rent) {
	delete(c.rents, r.Request)
	c.write(Write{Drops: []string{RentPrefix + r.Request}}, nil)
}

// expect makes the machines of a granted rental known.
func (c *Core) expect(r *rent) {
	for _, n := range r.Machines {
		m := c.machines[n]
		if m != nil {
			m.rented = r.seen
		}
		if m != nil && m.recorded || c.gone[n] {
			continue
		}
		r.coming++
		c.rentOf[n] = r
		if m == nil {
			c.addMachine(&machine{
				name: n, typeName: r.Type, zone: r.Zone, spot: r.Spot,
				booting: true, settled: true, seen: r.seen, rented: r.seen,
			})
		}
	}
}

// pursueRents asks again for what was not answered, under the same name: it
// may have been granted.
func (c *Core) pursueRents(now Micros) {
	for _, r := range c.sortedRents() {
		if !r.asked && !r.granted && now >= r.retryAt {
			c.ask(r)
		}
	}
}

func (c *Core) ask(r *rent) {
	r.asked = true
	c.out = append(c.out, Rent{r.Request, r.Type, r.Zone, r.Spot, r.Count, r.why})
}

func (c *Core) sortedRents() []*rent {
	out := make([]*rent, 0, len(c.rents))
	for _, r := range c.rents {
		out = append(out, r)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Request < out[b].Request })
	return out
}

// RentOutcome says what became of a rental request.
type RentOutcome uint8

// The outcomes.
const (
	RentGranted RentOutcome = iota
	RentRefused             // no capacity
	RentUnknown             // failed or unanswered: the same request is repeated
)

// Rented is the result of a Rent; wall is the time of day at now.
func (c *Core) Rented(now, wall Micros, request string, o RentOutcome, machines []string) {
	if !c.leading {
		return
	}
	r := c.rents[request]
	if r == nil || r.granted {
		return
	}
	of := offer{r.Type, r.Zone, r.Spot}
	if o == RentRefused || o == RentGranted && len(machines) < r.Count {
		c.refused[of] = now + c.cfg.Tuning.RefusalPause
	}
	switch {
	case o == RentUnknown:
		r.asked = false
		r.retryAt = now + Second
	case o == RentRefused || len(machines) == 0:
		delete(c.rents, request)
		c.note("rental refused: no capacity", "request", request, "type", r.Type, "zone", r.Zone, "spot", r.Spot)
	default:
		r.granted = true
		r.Machines = slices.Clone(machines)
		r.At = wall - (now - r.seen)
		c.expect(r)
		if r.coming == 0 {
			delete(c.rents, request) // all are up already, and recorded
			return
		}
		c.write(Write{Puts: []Put{{RentPrefix + request, r.RentRecord}}}, nil)
	}
}

// coming lists the machines that are coming.
func (c *Core) coming(now Micros) []*room {
	var coming []*room
	for _, m := range c.order {
		if m.coming(now) && !c.cutOff(m.zone, now) {
			coming = append(coming, &room{offer{m.typeName, m.zone, m.spot}, m.typ.Cap})
		}
	}
	for _, r := range c.sortedRents() {
		if r.granted {
			continue
		}
		if t := c.types[r.Type]; t != nil {
			for i := 0; i < r.Count; i++ {
				coming = append(coming, &room{offer{r.Type, r.Zone, r.Spot}, t.Cap})
			}
		}
	}
	return coming
}

// rentForDemand rents for tasks that wait and for room that is kept, after
// what is coming already.
func (c *Core) rentForDemand(now Micros, coming []*room) {
	d := &demand{c: c, now: now, coming: coming, asked: map[offer]bool{}, orders: map[offer]int{}, why: map[offer]string{}}
	for _, r := range c.rents {
		if !r.granted {
			d.asked[offer{r.Type, r.Zone, r.Spot}] = true
		}
	}
	d.forecast()
	c.countHeld()
	for _, j := range c.queue {
		if j.pending == 0 || j.held || j.failures > 0 && len(j.errors) >= 3 {
			continue
		}
		if !d.inTime(j) {
			d.job(j)
		}
	}
	d.spare()
	d.hold()
	for _, of := range d.order[:max(min(len(d.order), maxRentsOut-len(d.asked)), 0)] {
		c.rent(now, of, d.orders[of], d.why[of])
	}
}

func (c *Core) rent(now Micros, of offer, n int, why string) {
	c.requests++
	r := &rent{
		RentRecord: RentRecord{Request: fmt.Sprintf("r-%d-%d", c.token, c.requests), Type: of.typ, Zone: of.zone, Spot: of.spot, Count: n},
		why:        why, seen: now,
	}
	c.rents[r.Request] = r
	c.note("renting", "request", r.Request, "type", of.typ, "zone", of.zone, "spot", of.spot, "count", n, "reason", why)
	c.ask(r)
}

// demand is one computation of what to rent.
type demand struct {
	c          *Core
	now        Micros
	coming     []*room
	asked      map[offer]bool // a request has no answer yet
	orders     map[offer]int
	order      []offer
	why        map[offer]string
	cpus       int64 // of machines that are up or coming, for jobs with a deadline
	comingCPUs int64
	boot       Micros  // of the slowest that is coming
	work       float64 // on them and ahead in the queue, in CPU time
}

// forecast works out how much of the machines that are up is there for jobs
// with a deadline, and how much work is on them.
func (d *demand) forecast() {
	for _, r := range d.coming {
		d.expect(r)
	}
	for _, m := range d.c.order {
		if !d.c.usable(m, d.now) {
			continue
		}
		d.cpus += m.typ.Cap.CPU
		for _, p := range m.tasks {
			if p.j == nil || !p.holds() {
				continue
			}
			if p.j.due == 0 {
				d.cpus -= p.need.CPU
				continue
			}
			left := p.j.estimate()
			if p.shown && p.state == Running {
				left -= d.now - p.runningAt
			}
			d.work += float64(p.need.CPU) * float64(max(left, Second))
		}
	}
}

// lead is how long a machine that the job could use takes to come.
func (d *demand) lead(j *job) Micros {
	var lead Micros
	for _, t := range d.c.typeOrder {
		if j.spec.typeAllowed(t.Name) && j.spec.Need.Fits(t.Cap) && (lead == 0 || t.Boot < lead) {
			lead = t.Boot
		}
	}
	return lead
}

// expect counts a machine that is coming.
func (d *demand) expect(r *room) {
	t := d.c.types[r.typ]
	d.cpus += t.Cap.CPU
	d.comingCPUs += t.Cap.CPU
	d.boot = max(d.boot, t.Boot)
}

// inTime reports whether a job's waiting tasks would be done by its deadline
// on the machines there are, behind the work that goes first. A machine that
// is rented now costs money from now on and helps only once it is up.
func (d *demand) inTime(j *job) bool {
	if j.due == 0 || j.spec.Kind == Service || d.cpus <= 0 {
		return false
	}
	d.work += float64(j.spec.Need.CPU) * float64(j.estimate()) * float64(j.pending)
	wait := Micros(d.work / float64(d.cpus))
	wait += Micros(float64(d.boot) * float64(d.comingCPUs) / float64(d.cpus))
	// Estimates are often half of what it takes; and it must not be too late yet to
	// rent when this turns out too hopeful. The same goes for the first aim for
	// its tasks' start that a rented machine can meet.
	lead := d.lead(j)
	for _, within := range j.class.within {
		if within > lead {
			if d.now+wait+5*Second+lead > j.submitted+within {
				return false
			}
			break
		}
	}
	return d.now+wait+2*j.estimate()+5*Second+lead <= j.due
}

// job covers a job's waiting tasks.
func (d *demand) job(j *job) {
	c := d.c
	t := j.team
	use := c.teamUse(t)
	zones := map[string]int{}
	for z, n := range j.zones {
		zones[z] = n
	}
	half := (j.spec.Tasks + 1) / 2
	zoneOK := func(z string) bool {
		if j.spec.Zone != "" && z != j.spec.Zone || j.spec.Spread && zones[z] >= half {
			return false
		}
		if j.spec.OneZone {
			for o, n := range zones {
				if n > 0 && o != z {
					return false
				}
			}
		}
		return true
	}
	next := 0 // what is coming before this has no room for the job
	for n := min(j.pending, 400); n > 0; n-- {
		if overMax(use, j.spec.Need, t.Max) {
			return
		}
		use = use.Add(j.spec.Need)
		var r *room
		for ; next < len(d.coming); next++ {
			if d.fits(j, d.coming[next], zoneOK) {
				r = d.coming[next]
				break
			}
		}
		if r == nil {
			r = d.rentFor(j, n, zoneOK)
		}
		if r == nil {
			return
		}
		r.free = r.free.Sub(j.spec.Need)
		zones[r.zone]++
	}
}

func (d *demand) fits(j *job, r *room, zoneOK func(string) bool) bool {
	return j.spec.Need.Fits(r.free) && (!r.spot || j.spec.Spot) && j.spec.typeAllowed(r.typ) && zoneOK(r.zone)
}

// rentFor orders one more machine for n tasks of the job.
func (d *demand) rentFor(j *job, n int, zoneOK func(string) bool) *room {
	of, ok := d.cheapest(&j.spec, n, zoneOK)
	if !ok {
		return nil
	}
	return d.add(of, "tasks wait: "+j.spec.Class)
}

// rentMost is how many machines the cloud rents with one request.
const rentMost = 50

// open reports whether one more machine may be asked for: not while the last
// request for such machines was refused or has no answer, since there may be
// no more of them, and the cloud takes few calls; nor where it could not report.
func (d *demand) open(of offer) bool {
	return !d.c.cutOff(of.zone, d.now) && d.now >= d.c.refused[of] && !d.asked[of] && d.orders[of] < rentMost
}

// cheapest finds the machine whose useful part is cheapest for n such tasks.
func (d *demand) cheapest(s *JobSpec, n int, zoneOK func(string) bool) (best offer, ok bool) {
	bestPrice := 0.0
	for _, t := range d.c.typeOrder {
		fits := s.Need.copies(t.Cap)
		if fits == 0 || !s.typeAllowed(t.Name) {
			continue
		}
		for _, z := range t.Zones {
			if !zoneOK(z) {
				continue
			}
			for _, spot := range []bool{true, false} {
				of := offer{t.Name, z, spot}
				if spot && !s.Spot || !d.open(of) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				price /= float64(min(fits, n))
				if !ok || price < bestPrice {
					best, bestPrice, ok = of, price, true
				}
			}
		}
	}
	return best, ok
}

func (d *demand) add(of offer, why string) *room {
	if d.orders[of] == 0 {
		d.order = append(d.order, of)
		d.why[of] = why
	}
	d.orders[of]++
	r := &room{of, d.c.types[of.typ].Cap}
	d.coming = append(d.coming, r)
	d.expect(r)
	return r
}

// Listed takes a whole list of the cloud's machines; it is late, so a machine
// missing from it says nothing.
func (c *Core) Listed(now Micros, list []Listed) {
	if !c.leading {
		return
	}
	listed := make(map[string]bool, len(list))
	for _, l := range list {
		listed[l.Name] = true
		if c.gone[l.Name] {
			continue
		}
		m := c.machines[l.Name]
		if m == nil {
			m = &machine{
				name: l.Name, address: l.Address, typeName: l.Type, zone: l.Zone, spot: l.Spot,
				booting: true, settled: true, seen: now - min(l.Age, now),
			}
			c.addMachine(m)
			c.note("machine found in the cloud's list", "machine", m.name, "type", m.typeName, "zone", m.zone)
		}
		if m.address == "" {
			m.address = l.Address
		}
		m.rented = now - l.Age
		if l.Failed && !m.returning {
			c.note("machine failed", "machine", m.name)
			m.lost = true
			c.clear(m, now)
			c.settle(m)
			c.giveBack(m, now, "failed")
		}
	}
	// A machine stays listed until it is gone, so one that a former leader rented
	// and that is not listed in time never comes: it must not count as coming.
	for _, m := range c.order {
		if m.booting && !m.returning && !listed[m.name] && now-m.seen > 3*c.cfg.ListLag+5*Second {
			c.note("booting machine is gone", "machine", m.name)
			c.giveBack(m, now, "not listed")
		}
	}
}
