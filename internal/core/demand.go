package core

// incomingMachine is a machine that was rented or requested and is not up yet. Waiting tasks are
// assigned to it before more machines are rented.
type incomingMachine struct {
	offer
	free Resources // not assigned to tasks yet
}

// incomingMachines returns the machines that are expected to come up: those that are booting and
// those of rentals that are not granted yet.
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

// rentForDemand rents machines for waiting tasks, spare capacity and reservations, as far as the
// incoming machines do not cover them.
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

// demand is the state of one computation of what to rent.
type demand struct {
	c            *Core
	now          Micros
	incoming     []*incomingMachine
	requested    map[offer]bool // a request has no answer yet
	counts       map[offer]int  // machines to rent
	offers       []offer        // keys of counts, in the order in which they were added
	reasons      map[offer]string
	deadlineCPUs int64   // CPU of machines that are up or incoming, available to jobs with a deadline
	incomingCPUs int64   // CPU of incoming machines
	slowestBoot  Micros  // longest boot time of an incoming machine
	workAhead    float64 // work on these machines and ahead in the queue, in CPU time
}

// estimateCapacity computes the CPU available to jobs with a deadline and the work that is already
// placed on it.
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

// addIncoming adds an incoming machine to the capacity.
func (d *demand) addIncoming(m *incomingMachine) {
	t := d.c.machineTypes[m.machineType]
	d.deadlineCPUs += t.Capacity.CPU
	d.incomingCPUs += t.Capacity.CPU
	d.slowestBoot = max(d.slowestBoot, t.BootTime)
}

// meetsDeadline reports whether a job's waiting tasks would be done by its deadline, and would
// start in time, on the present and incoming machines, after the work ahead of them. It adds the
// job's tasks to that work. A machine that is rented now costs money at once and helps only after
// it is up, so none is rented for a job that meets its deadline.
func (d *demand) meetsDeadline(j *job) bool {
	if j.deadline == 0 || j.spec.Kind == Service || d.deadlineCPUs <= 0 {
		return false
	}
	d.workAhead += float64(j.spec.Resources.CPU) * float64(j.correctedEstimate()) * float64(j.pending)
	wait := Micros(d.workAhead / float64(d.deadlineCPUs))
	wait += Micros(float64(d.slowestBoot) * float64(d.incomingCPUs) / float64(d.deadlineCPUs))
	// Tasks often run for twice their estimate, so twice the estimate has to fit. The
	// provisioning time is added so that a machine can still be rented in time if the forecast
	// proves too optimistic. It is also added for the earliest start objective that a rented
	// machine can meet.
	provisioning := d.c.provisioningTime(&j.spec)
	for _, objective := range j.class.startObjectives {
		if objective > provisioning {
			if d.now+wait+5*Second+provisioning > j.readyAt+objective {
				return false
			}
			break
		}
	}
	return d.now+wait+2*j.correctedEstimate()+5*Second+provisioning <= j.deadline
}

// coverJob assigns a job's waiting tasks to incoming machines and adds rentals for the rest, up to
// its team's maximum.
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
	next := 0 // incoming machines before this index have no room for the job
	for n := min(j.pending, 400); n > 0; n-- {
		if overMax(usage, j.spec.Resources, t.Max) {
			return
		}
		usage = usage.Add(j.spec.Resources)
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
		m.free = m.free.Sub(j.spec.Resources)
		zones[m.zone]++
	}
}

// fits reports whether a task of the job can run on the incoming machine.
func (d *demand) fits(j *job, m *incomingMachine, zoneOK func(string) bool) bool {
	return j.spec.Resources.Fits(m.free) && (!m.spot || j.spec.Spot) && j.spec.typeAllowed(m.machineType) && zoneOK(m.zone)
}

// rentForJob adds a rental of one machine for n tasks of the job, or returns nil if no suitable
// machine may be requested.
func (d *demand) rentForJob(j *job, n int, zoneOK func(string) bool) *incomingMachine {
	o, ok := d.cheapestOffer(&j.spec, n, zoneOK)
	if !ok {
		return nil
	}
	return d.addRental(o, "waiting tasks: "+j.spec.Class)
}

// mayRequest reports whether one more machine of the offer may be requested. None is requested
// for a time after a refusal or while a request is unanswered, because the cloud may have no more
// of these machines and limits the rate of calls. None is requested in a partitioned zone, where
// the machine could not report, nor beyond the maximum number of machines per request.
func (d *demand) mayRequest(o offer) bool {
	return !d.c.partitioned(o.zone, d.now) && d.now >= d.c.refusedUntil[o] && !d.requested[o] && d.counts[o] < maxMachinesPerRental
}

// cheapestOffer returns the offer with the lowest price per task for n tasks of the job, and false
// if no suitable machine may be requested. Offers whose machines recently came up late count as
// more expensive.
func (d *demand) cheapestOffer(s *JobSpec, n int, zoneOK func(string) bool) (best offer, ok bool) {
	bestPrice := 0.0
	for _, t := range d.c.machineTypeList {
		fits := s.Resources.countIn(t.Capacity)
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

// addRental adds one machine of the offer to the rentals and returns it as an incoming machine.
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
