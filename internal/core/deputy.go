package core

// A controller that is cut off together with the workers of its zone may answer
// their beats in the leader's place, without commands that a leader could mind,
// so that what runs there outlasts the cut: it is the leader's deputy. The
// leader permits it beforehand, a while at a time, and counts no lease of that
// zone down further than it knows what its deputies have answered.

// Blind says for how long a node may answer workers without learning of
// cancellations: what it renews at the last moment is over before the tasks of
// a job that was cancelled right after it lost sight have to be gone. Without a
// limit on cancellations there is none on this.
func MaxCancelStaleness(lease, cancel Micros) Micros {
	const margin = Second
	if cancel == 0 {
		return MaxMicros
	}
	return max(cancel-lease-(cancel+lease)/clockDriftDivisor-margin, 0)
}

// Deputy is what a leader knows of one controller that may answer in its place.
// The zero value has answered nothing and may answer nothing.
type Delegate struct {
	incarnation       uint64 // of its process
	incarnationKnown  bool   // life is
	answersKnownUntil Micros // what it answered before this is known
	lastAnswer        Micros // its last answer that is known
	delegatedUntil    Micros // it answers nothing after this
	lastMessage       Micros // its last message of any kind
}

// Permit notes that a permission goes out. It is good for so long after a reply
// of the deputy's that the leader got at a time; sent again, it is no longer.
func (d *Delegate) Grant(replied, grace Micros) {
	d.delegatedUntil = max(d.delegatedUntil, replied+grace)
}

// Heard takes its reply to what was asked at a time: which process replies, and
// how long ago that last answered a worker in the leader's place, negative for
// never.
func (d *Delegate) HandleReply(asked, now Micros, life uint64, answeredAgo Micros) {
	if d.incarnationKnown && d.incarnation != life {
		// Its former process may have answered until it ended.
		d.lastAnswer = max(d.lastAnswer, min(now, d.delegatedUntil))
	}
	d.incarnation, d.incarnationKnown = life, true
	d.answersKnownUntil = max(d.answersKnownUntil, asked)
	if answeredAgo >= 0 {
		d.lastAnswer = max(d.lastAnswer, now-answeredAgo)
	}
	d.NoteMessage(now)
}

// Spoke notes that it is there.
func (d *Delegate) NoteMessage(now Micros) { d.lastMessage = now }

// begin forgets what belongs to another term: what was permitted in that, a new
// leader waits out with every machine that it does not hear.
func (d *Delegate) resetTerm() { d.answersKnownUntil, d.lastAnswer, d.delegatedUntil = 0, 0, 0 }

// Deputies says which controllers a zone has besides the leader.
func (c *Core) SetDelegates(zone string, ds []*Delegate) { c.delegates[zone] = ds }

// leaseEnded reports whether the lease of a machine's worker has certainly run
// out, whoever answered it.
func (c *Core) leaseExpired(m *machine, now Micros) bool {
	over := c.leaseExpiry(m.lastAcknowledged)
	if now < over {
		return false
	}
	for _, d := range c.delegates[m.zone] {
		over = max(over, c.leaseExpiry(d.lastAnswer))
	}
	if now < over {
		return false
	}
	for _, d := range c.delegates[m.zone] {
		if d.delegatedUntil > 0 && d.answersKnownUntil < over && now < c.leaseExpiry(d.delegatedUntil) {
			return false // it may have answered in time
		}
	}
	return true
}

// Permission is what a deputy holds: until when it may answer, and under which
// token.
type Delegation struct {
	nonce     uint64 // of its last reply to the leader
	repliedAt Micros
	token     uint64
	until     Micros
}

// Replied notes a reply to the leader, by which the next permission counts.
func (p *Delegation) NoteReply(now Micros, nonce uint64) { p.nonce, p.repliedAt = nonce, now }

// Permitted takes a permission from the leader with the token. It counts from
// the reply that the leader names: a permission that comes late is not longer.
func (p *Delegation) Accept(token, echo uint64, grace Micros) {
	if echo == 0 || echo != p.nonce || token < p.token {
		return
	}
	p.token, p.until = token, p.repliedAt+grace
}

// Token is the token to answer with, 0 if nothing may be answered now: leader is
// the token of the last leader that is known, worker the worker's.
func (p *Delegation) Token(now Micros, leader, worker uint64) uint64 {
	if now >= p.until || p.token != leader || worker > p.token {
		return 0
	}
	return p.token
}

// StopCancelled lists commands that stop a worker's tasks of cancelled jobs.
// Whoever leads wants them stopped, so whoever answers the worker may say so.
func StopCancelled(tasks []TaskReport, cancelled func(job string) bool) []Command {
	var out []Command
	for _, t := range tasks {
		if t.State != Exited && cancelled(t.Job) {
			out = append(out, Command{Op: Stop, Job: t.Job, Index: t.Index, Attempt: t.Attempt})
		}
	}
	return out
}
