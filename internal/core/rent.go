package core

import (
	"fmt"
	"slices"
	"sort"

	"aspenstall/internal/txn"
)

// offer identifies a kind of machine that can be rented.
type offer struct {
	machineType, zone string
	spot              bool
}

// rental is a request for machines, from the decision until all its machines are recorded or
// deleted.
type rental struct {
	RentalRecord
	reason    string
	granted   bool
	inFlight  bool // a request to the cloud is in flight
	retryAt   Micros
	decidedAt Micros // when the rental was decided
	awaited   int    // number of its machines that are not recorded or deleted yet
}

// maxRentalsInFlight limits the rentals that the cloud has not granted or refused yet.
const maxRentalsInFlight = 4

// maxMachinesPerRental is the maximum number of machines that the cloud rents per request.
const maxMachinesPerRental = 50

// retryRentals repeats requests that were not answered, with the same request ID because they may
// have been granted.
func (c *Core) retryRentals(now Micros) {
	for _, r := range c.sortedRentals() {
		if !r.inFlight && !r.granted && now >= r.retryAt {
			c.requestRental(r)
		}
	}
}

// requestRental adds a Rent action.
func (c *Core) requestRental(r *rental) {
	r.inFlight = true
	c.actions = append(c.actions, Rent{r.RequestID, r.Type, r.Zone, r.Spot, r.Count, r.reason})
}

// sortedRentals returns the rentals ordered by request ID.
func (c *Core) sortedRentals() []*rental {
	out := make([]*rental, 0, len(c.rentals))
	for _, r := range c.rentals {
		out = append(out, r)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].RequestID < out[b].RequestID })
	return out
}

// rent requests n machines of an offer. why is the reason given in the log and to the cloud.
func (c *Core) rent(now Micros, of offer, n int, why string) {
	c.rentalCount++
	r := &rental{
		RentalRecord: RentalRecord{RequestID: fmt.Sprintf("r-%d-%d", c.token, c.rentalCount), Type: of.machineType, Zone: of.zone, Spot: of.spot, Count: n},
		reason:       why, decidedAt: now,
	}
	c.rentals[r.RequestID] = r
	c.log("renting", "request", r.RequestID, "type", of.machineType, "zone", of.zone, "spot", of.spot, "count", n, "reason", why)
	c.requestRental(r)
}

// RentOutcome is the outcome of a Rent.
type RentOutcome uint8

// The outcomes of a Rent.
const (
	RentGranted RentOutcome = iota
	RentRefused             // no capacity
	RentUnknown             // failed or unanswered: the same request is sent again
)

// HandleRentalResult handles the result of a Rent with the request ID. machines are the names of
// the rented machines, and wall is the wall-clock time at now.
func (c *Core) HandleRentalResult(now, wall Micros, request string, o RentOutcome, machines []string) {
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
			delete(c.rentals, request) // all machines are up and recorded already
			return
		}
		c.write(Write{Kind: txn.Rental, Puts: []Put{{RentalPrefix + request, r.RentalRecord}}}, nil)
	}
}

// awaitMachines adds the machines of a granted rental. thisTerm is false for a rental that an
// earlier leader recorded.
func (c *Core) awaitMachines(r *rental, thisTerm bool) {
	for _, n := range r.Machines {
		m := c.machines[n]
		if m != nil {
			m.rentedAt = r.decidedAt
			m.unverified = m.unverified && !thisTerm // machines rented in this term are verified
		}
		if m != nil && m.recorded() || c.deletedMachines[n] {
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

// removeFromRental removes a machine that is recorded or deleted from its rental. It deletes the
// rental when no machine is left in it.
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

// deleteRental deletes a rental and its record.
func (c *Core) deleteRental(r *rental) {
	delete(c.rentals, r.RequestID)
	c.write(Write{Kind: txn.RentalDropped, Deletes: []string{RentalPrefix + r.RequestID}}, nil)
}
