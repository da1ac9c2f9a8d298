package core

// The steady clocks of two machines drift apart by at most 0.05%; twice that
// covers a duration measured on one and compared on the other.
const driftParts = 1000

// LeaseUntil says until when a lease in the state service is certainly alive
// by the holder's own clock: counted from when the last successful renewal was
// sent, less the drift and a margin for what happens between the check and the
// packet leaving.
func LeaseUntil(sent, ttl Micros) Micros {
	return sent + ttl - ttl/driftParts - 50*Millisecond
}

// leaseOver says when a worker's lease has certainly run out, given when it
// was last answered: the worker counts from when it sent the report, which is
// earlier, so this is safe by the network's delay as well.
func (c *Core) leaseOver(answered Micros) Micros {
	return answered + c.cfg.Lease + c.cfg.Lease/driftParts + 300*Millisecond
}
