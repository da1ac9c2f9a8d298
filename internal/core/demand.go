package core

// room is a machine that is coming: tasks are promised to it before more is
// rented.
type incomingMachine struct {
	offer
	free Resources
}

// coming lists the machines that are coming.
func (c *Core) incomingMachines(now Micros) []*incomingMachine {
	var coming []*incomingMachine
	for _, m := range c.sortedMachines {
		if m.incoming(now) && !c.partitioned(m.zone, now) {
			coming = append(coming, &incomingMachine{offer{m.typeName, m.zone, m.spot}, m.typ.Capacity})
		}
	}
	for _, r := range c.sortedRentals() {
		if r.granted {
			continue
		}
		if t := c.machineTypes[r.Type]; t != nil {
			for i := 0; i < r.Count; i++ {
				coming = append(coming, &incomingMachine{offer{r.Type, r.Zone, r.Spot}, t.Capacity})
			}
		}
	}
	return coming
}

// rentForDemand rents for tasks that wait and for room that is kept, after
// what is coming already.
func (c *Core) rentForDemand(now Micros, coming []*incomingMachine) {
	d := &demand{c: c, now: now, incoming: coming, requested: map[offer]bool{}, counts: map[offer]int{}, reasons: map[offer]string{}}
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
	for _, of := range d.offers[:max(min(len(d.offers), maxRentalsInFlight-len(d.requested)), 0)] {
		c.rent(now, of, d.counts[of], d.reasons[of])
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
	for _, r := range d.incoming {
		d.addIncoming(r)
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
			left := p.job.correctedEstimate()
			if p.reported && p.state == Running {
				left -= d.now - p.runningAt
			}
			d.workAhead += float64(p.need.CPU) * float64(max(left, Second))
		}
	}
}

// expect counts a machine that is coming.
func (d *demand) addIncoming(r *incomingMachine) {
	t := d.c.machineTypes[r.machineType]
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
	lead := d.c.provisioningTime(&j.spec)
	for _, within := range j.class.startObjectives {
		if within > lead {
			if d.now+wait+5*Second+lead > j.submitted+within {
				return false
			}
			break
		}
	}
	return d.now+wait+2*j.correctedEstimate()+5*Second+lead <= j.deadline
}

// job covers a job's waiting tasks.
func (d *demand) coverJob(j *job) {
	c := d.c
	t := j.team
	use := c.teamUsage(t)
	zones := map[string]int{}
	for z, n := range j.placedByZone {
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
		if overMax(use, j.spec.Request, t.Max) {
			return
		}
		use = use.Add(j.spec.Request)
		var r *incomingMachine
		for ; next < len(d.incoming); next++ {
			if d.fits(j, d.incoming[next], zoneOK) {
				r = d.incoming[next]
				break
			}
		}
		if r == nil {
			r = d.rentForJob(j, n, zoneOK)
		}
		if r == nil {
			return
		}
		r.free = r.free.Sub(j.spec.Request)
		zones[r.zone]++
	}
}

func (d *demand) fits(j *job, r *incomingMachine, zoneOK func(string) bool) bool {
	return j.spec.Request.Fits(r.free) && (!r.spot || j.spec.Spot) && j.spec.typeAllowed(r.machineType) && zoneOK(r.zone)
}

// rentFor orders one more machine for n tasks of the job.
func (d *demand) rentForJob(j *job, n int, zoneOK func(string) bool) *incomingMachine {
	of, ok := d.cheapestOffer(&j.spec, n, zoneOK)
	if !ok {
		return nil
	}
	return d.addRental(of, "tasks wait: "+j.spec.Class)
}

// open reports whether one more machine may be asked for: not while the last
// request for such machines was refused or has no answer, since there may be
// no more of them, and the cloud takes few calls; nor where it could not report.
func (d *demand) mayRequest(of offer) bool {
	return !d.c.partitioned(of.zone, d.now) && d.now >= d.c.refusedUntil[of] && !d.requested[of] && d.counts[of] < maxMachinesPerRental
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
				of := offer{t.Name, z, spot}
				if spot && !s.Spot || !d.mayRequest(of) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				price *= 1 + overduePricePenalty*d.c.overdueShare(of, d.now)
				price /= float64(min(fits, n))
				if !ok || price < bestPrice {
					best, bestPrice, ok = of, price, true
				}
			}
		}
	}
	return best, ok
}

func (d *demand) addRental(of offer, why string) *incomingMachine {
	if d.counts[of] == 0 {
		d.offers = append(d.offers, of)
		d.reasons[of] = why
	}
	d.counts[of]++
	r := &incomingMachine{of, d.c.machineTypes[of.machineType].Capacity}
	d.incoming = append(d.incoming, r)
	d.addIncoming(r)
	return r
}
