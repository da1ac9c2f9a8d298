package core

// clockDriftDivisor gives the allowance for clock drift: a duration divided by it, or 0.1%. The
// monotonic clocks of two machines drift apart by at most 0.05%; twice that covers a duration
// measured on one machine and compared on the other.
const clockDriftDivisor = 1000

// LeaseValidUntil returns until when a lease in the state service is certainly valid on the
// holder's own clock. It counts from the sending of the last successful renewal, less the clock
// drift and 50 ms for the time between a check of the lease and the departure of a packet.
func LeaseValidUntil(sentAt, ttl Micros) Micros {
	return sentAt + ttl - ttl/clockDriftDivisor - 50*Millisecond
}

// leaseExpiry returns when a worker's lease has certainly expired, given when its report was last
// acknowledged. The worker counts from the earlier time when it sent the report, so the network
// delay is on the safe side.
func (c *Core) leaseExpiry(acknowledgedAt Micros) Micros {
	return acknowledgedAt + c.cfg.WorkerLease + c.cfg.WorkerLease/clockDriftDivisor + 300*Millisecond
}

// resignTimeout returns a time without any report that is too long to be due to chance.
func resignTimeout(reportInterval Micros) Micros { return 2*reportInterval + Second }

// ShouldResign reports whether a leader should resign: no worker has reached it for longer than
// resignTimeout, while a peer receives reports. If it kept leading, the workers' leases would
// expire one after the other. If workers reached it in this term but none adopted its token, they
// have inbound loss and try one node after the other, and no other leader would do better.
func ShouldResign(now, termBeganAt, lastReport, reportInterval Micros, peerReceivesReports, tokenAcknowledged bool) bool {
	return peerReceivesReports && now-max(termBeganAt, lastReport) > resignTimeout(reportInterval) && (tokenAcknowledged || lastReport <= termBeganAt)
}

// TokenAcknowledged reports whether any machine has reported the token of this term, and so has
// received an answer or a command of this leader.
func (c *Core) TokenAcknowledged() bool { return c.tokenAcknowledged }
