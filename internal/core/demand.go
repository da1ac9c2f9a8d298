package core

// room is a machine that is coming: tasks are promised to it before more is
// rented.
type incomingMachine struct {
	offer
	free Resources
}

// coming lists the machines that are coming.
func (c *Core) incomingMachines(now Micros) []*incomingMachine {
	var machines []*incomingMachine
	for _, m := range c.sortedMachines {
		if m.incoming(now) && !c.partitioned(m.zone, now) {
			machines = append(machines, &incomingMachine{offer{m.typeName, m.zone, m.spot}, m.typ.Capacity})
		}
	}
	for _, r := range c.sortedRentals() {
		if r.granted {
			continue
		}
		if t := c.machineTypes[r.Type]; t != nil {
			for i := 0; i < r.Count; i++ {
				machines = append(machines, &incomingMachine{offer{r.Type, r.Zone, r.Spot}, t.Capacity})
			}
		}
	}
	return machines
}

// rentForDemand rents for tasks that wait and for room that is kept, after
// what is coming already.
func (c *Core) rentForDemand(now Micros, incoming []*incomingMachine) {
	d := &demand{c: c, now: now, incoming: incoming, requested: map[offer]bool{}, counts: map[offer]int{}, reasons: map[offer]string{}}
	for _, r := range c.rentals {
		if !r.granted {
			d.requested[offer{r.Type, r.Zone, r.Spot}] = true
		}
	}
	d.estimateCapacity()
	c.countUnaccounted()
	for _, j := range c.queue {
		if j.pending == 0 || j.unaccounted || j.suspect() {
			continue
		}
		if !d.meetsDeadline(j) {
			d.coverJob(j)
		}
	}
	d.rentSpare()
	d.rentReserved()
	for _, o := range d.offers[:max(min(len(d.offers), maxRentalsInFlight-len(d.requested)), 0)] {
		c.rent(now, o, d.counts[o], d.reasons[o])
	}
}

// demand is one computation of what to rent.
type demand struct {
	c            *Core
	now          Micros
	incoming     []*incomingMachine
	requested    map[offer]bool // a request has no answer yet
	counts       map[offer]int
	offers       []offer
	reasons      map[offer]string
	deadlineCPUs int64 // of machines that are up or coming, for jobs with a deadline
	incomingCPUs int64
	slowestBoot  Micros  // of the slowest that is coming
	workAhead    float64 // on them and ahead in the queue, in CPU time
}

// forecast works out how much of the machines that are up is there for jobs
// with a deadline, and how much work is on them.
func (d *demand) estimateCapacity() {
	for _, in := range d.incoming {
		d.addIncoming(in)
	}
	for _, m := range d.c.sortedMachines {
		if !d.c.schedulable(m, d.now) {
			continue
		}
		d.deadlineCPUs += m.typ.Capacity.CPU
		for _, p := range m.placements {
			if p.job == nil || !p.occupies() {
				continue
			}
			if p.job.deadline == 0 {
				d.deadlineCPUs -= p.need.CPU
				continue
			}
			remaining := p.job.correctedEstimate()
			if p.reported && p.state == Running {
				remaining -= d.now - p.runningAt
			}
			d.workAhead += float64(p.need.CPU) * float64(max(remaining, Second))
		}
	}
}

// expect counts a machine that is coming.
func (d *demand) addIncoming(m *incomingMachine) {
	t := d.c.machineTypes[m.machineType]
	d.deadlineCPUs += t.Capacity.CPU
	d.incomingCPUs += t.Capacity.CPU
	d.slowestBoot = max(d.slowestBoot, t.BootTime)
}

// inTime reports whether a job's waiting tasks would be done by its deadline
// on the machines there are, behind the work that goes first. A machine that
// is rented now costs money from now on and helps only once it is up.
func (d *demand) meetsDeadline(j *job) bool {
	if j.deadline == 0 || j.spec.Kind == Service || d.deadlineCPUs <= 0 {
		return false
	}
	d.workAhead += float64(j.spec.Request.CPU) * float64(j.correctedEstimate()) * float64(j.pending)
	wait := Micros(d.workAhead / float64(d.deadlineCPUs))
	wait += Micros(float64(d.slowestBoot) * float64(d.incomingCPUs) / float64(d.deadlineCPUs))
	// Estimates are often half of what it takes; and it must not be too late yet to
	// rent when this turns out too hopeful. The same goes for the first aim for
	// its tasks' start that a rented machine can meet.
	provisioning := d.c.provisioningTime(&j.spec)
	for _, objective := range j.class.startObjectives {
		if objective > provisioning {
			if d.now+wait+5*Second+provisioning > j.submitted+objective {
				return false
			}
			break
		}
	}
	return d.now+wait+2*j.correctedEstimate()+5*Second+provisioning <= j.deadline
}

// job covers a job's waiting tasks.
func (d *demand) coverJob(j *job) {
	c := d.c
	t := j.team
	usage := c.teamUsage(t)
	zones := map[string]int{}
	for z, n := range j.placedByZone {
		zones[z] = n
	}
	maxPerZone := (j.spec.Tasks + 1) / 2
	zoneOK := func(z string) bool {
		if j.spec.Zone != "" && z != j.spec.Zone || j.spec.Spread && zones[z] >= maxPerZone {
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
		if overMax(usage, j.spec.Request, t.Max) {
			return
		}
		usage = usage.Add(j.spec.Request)
		var m *incomingMachine
		for ; next < len(d.incoming); next++ {
			if d.fits(j, d.incoming[next], zoneOK) {
				m = d.incoming[next]
				break
			}
		}
		if m == nil {
			m = d.rentForJob(j, n, zoneOK)
		}
		if m == nil {
			return
		}
		m.free = m.free.Sub(j.spec.Request)
		zones[m.zone]++
	}
}

func (d *demand) fits(j *job, m *incomingMachine, zoneOK func(string) bool) bool {
	return j.spec.Request.Fits(m.free) && (!m.spot || j.spec.Spot) && j.spec.typeAllowed(m.machineType) && zoneOK(m.zone)
}

// rentFor orders one more machine for n tasks of the job.
func (d *demand) rentForJob(j *job, n int, zoneOK func(string) bool) *incomingMachine {
	o, ok := d.cheapestOffer(&j.spec, n, zoneOK)
	if !ok {
		return nil
	}
	return d.addRental(o, "tasks wait: "+j.spec.Class)
}

// open reports whether one more machine may be asked for: not while the last
// request for such machines was refused or has no answer, since there may be
// no more of them, and the cloud takes few calls; nor where it could not report.
func (d *demand) mayRequest(o offer) bool {
	return !d.c.partitioned(o.zone, d.now) && d.now >= d.c.refusedUntil[o] && !d.requested[o] && d.counts[o] < maxMachinesPerRental
}

// cheapest finds the machine whose useful part is cheapest for n such tasks.
func (d *demand) cheapestOffer(s *JobSpec, n int, zoneOK func(string) bool) (best offer, ok bool) {
	bestPrice := 0.0
	for _, t := range d.c.machineTypeList {
		fits := s.Request.countIn(t.Capacity)
		if fits == 0 || !s.typeAllowed(t.Name) {
			continue
		}
		for _, z := range t.Zones {
			if !zoneOK(z) {
				continue
			}
			for _, spot := range []bool{true, false} {
				o := offer{t.Name, z, spot}
				if spot && !s.Spot || !d.mayRequest(o) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				price *= 1 + overduePricePenalty*d.c.overdueShare(o, d.now)
				price /= float64(min(fits, n))
				if !ok || price < bestPrice {
					best, bestPrice, ok = o, price, true
				}
			}
		}
	}
	return best, ok
}

func (d *demand) addRental(o offer, reason string) *incomingMachine {
	if d.counts[o] == 0 {
		d.offers = append(d.offers, o)
		d.reasons[o] = reason
	}
	d.counts[o]++
	m := &incomingMachine{o, d.c.machineTypes[o.machineType].Capacity}
	d.incoming = append(d.incoming, m)
	d.addIncoming(m)
	return m
}
