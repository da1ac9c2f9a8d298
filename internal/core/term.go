package core

// The steady clocks of two machines drift apart by at most 0.05%; twice that
// covers a duration measured on one and compared on the other.
const clockDriftDivisor = 1000

// LeaseUntil says until when a lease in the state service is certainly alive
// by the holder's own clock: counted from when the last successful renewal was
// sent, less the drift and a margin for what happens between the check and the
// packet leaving.
func LeaseValidUntil(sent, ttl Micros) Micros {
	return sent + ttl - ttl/clockDriftDivisor - 50*Millisecond
}

// leaseOver says when a worker's lease has certainly run out, given when it
// was last answered: the worker counts from when it sent the report, which is
// earlier, so this is safe by the network's delay as well.
func (c *Core) leaseExpiry(answered Micros) Micros {
	return answered + c.cfg.WorkerLease + c.cfg.WorkerLease/clockDriftDivisor + 300*Millisecond
}

// resignAfter is for how long no worker can have been silent by chance.
func resignTimeout(reportGap Micros) Micros { return 2*reportGap + Second }

// ShouldResign reports whether a leader should give the term up: no worker has
// reached it for longer than all of them can have been silent by chance, while
// a peer hears some. Its workers' leases would run out one after the other.
// Where workers reached it in this term and none took what it answered, they are deaf
// and go from node to node: no other leader would be better off.
func ShouldResign(now, begun, lastBeat, reportGap Micros, peerHears, taken bool) bool {
	return peerHears && now-max(begun, lastBeat) > resignTimeout(reportGap) && (taken || lastBeat <= begun)
}

// Taken reports whether any machine took an answer of this term.
func (c *Core) TokenAcknowledged() bool { return c.tokenAcknowledged }
