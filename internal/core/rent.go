package core

import (
	"fmt"
	"slices"
	"sort"
)

// offer is a kind of machine that can be rented.
type offer struct {
	machineType, zone string
	spot              bool
}

// rent is a rental that was asked for, until all its machines are up or gone.
type rental struct {
	RentalRecord
	reason    string
	granted   bool
	inFlight  bool
	retryAt   Micros
	decidedAt Micros // when it was decided
	awaited   int    // machines that are not up yet
}

const maxRentalsInFlight = 4

// rentMost is how many machines the cloud rents with one request.
const maxMachinesPerRental = 50

// pursueRents asks again for what was not answered, under the same name: it
// may have been granted.
func (c *Core) retryRentals(now Micros) {
	for _, r := range c.sortedRentals() {
		if !r.inFlight && !r.granted && now >= r.retryAt {
			c.requestRental(r)
		}
	}
}

func (c *Core) requestRental(r *rental) {
	r.inFlight = true
	c.actions = append(c.actions, Rent{r.Request, r.Type, r.Zone, r.Spot, r.Count, r.reason})
}

func (c *Core) sortedRentals() []*rental {
	out := make([]*rental, 0, len(c.rentals))
	for _, r := range c.rentals {
		out = append(out, r)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Request < out[b].Request })
	return out
}

func (c *Core) rent(now Micros, of offer, n int, why string) {
	c.rentalCount++
	r := &rental{
		RentalRecord: RentalRecord{Request: fmt.Sprintf("r-%d-%d", c.token, c.rentalCount), Type: of.machineType, Zone: of.zone, Spot: of.spot, Count: n},
		reason:       why, decidedAt: now,
	}
	c.rentals[r.Request] = r
	c.log("renting", "request", r.Request, "type", of.machineType, "zone", of.zone, "spot", of.spot, "count", n, "reason", why)
	c.requestRental(r)
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
func (c *Core) RentResult(now, wall Micros, request string, o RentOutcome, machines []string) {
	if !c.leading {
		return
	}
	r := c.rentals[request]
	if r == nil || r.granted {
		return
	}
	of := offer{r.Type, r.Zone, r.Spot}
	if o == RentRefused || o == RentGranted && len(machines) < r.Count {
		c.refusedUntil[of] = now + c.cfg.Tuning.RefusalBackoff
	}
	switch {
	case o == RentUnknown:
		r.inFlight = false
		r.retryAt = now + Second
	case o == RentRefused || len(machines) == 0:
		delete(c.rentals, request)
		c.log("rental refused: no capacity", "request", request, "type", r.Type, "zone", r.Zone, "spot", r.Spot)
	default:
		r.granted = true
		r.Machines = slices.Clone(machines)
		r.RentedAt = wall - (now - r.decidedAt)
		c.awaitMachines(r, true)
		if r.awaited == 0 {
			delete(c.rentals, request) // all are up already, and recorded
			return
		}
		c.write(Write{Puts: []Put{{RentalPrefix + request, r.RentalRecord}}}, nil)
	}
}

// expect makes the machines of a granted rental known, of this term's own or of one that
// a former leader recorded.
func (c *Core) awaitMachines(r *rental, thisTerm bool) {
	for _, n := range r.Machines {
		m := c.machines[n]
		if m != nil {
			m.rentedAt = r.decidedAt
			m.unverified = m.unverified && !thisTerm // it was rented in this term
		}
		if m != nil && m.recorded || c.deletedMachines[n] {
			continue
		}
		r.awaited++
		c.rentalByMachine[n] = r
		if m == nil {
			c.addMachine(&machine{
				name: n, typeName: r.Type, zone: r.Zone, spot: r.Spot,
				booting: true, reconciled: true, unverified: !thisTerm, discoveredAt: r.decidedAt, rentedAt: r.decidedAt,
			})
		}
	}
}

// upRent takes a machine that is recorded or gone off the rental that it came
// from, and forgets a rental that has none left.
func (c *Core) removeFromRental(name string) {
	r := c.rentalByMachine[name]
	if r == nil {
		return
	}
	delete(c.rentalByMachine, name)
	if r.awaited--; r.awaited == 0 {
		c.deleteRental(r)
	}
}

func (c *Core) deleteRental(r *rental) {
	delete(c.rentals, r.Request)
	c.write(Write{Deletes: []string{RentalPrefix + r.Request}}, nil)
}
