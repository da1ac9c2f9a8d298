package core

// A delegate is a controller that is partitioned from the leader together with the workers of its
// zone, and answers their reports in the leader's place. The answers renew the workers' leases, so
// that their tasks outlast the partition, and carry no commands that could conflict with those of
// a leader. The leader grants the delegation in advance, for a short time at once. It counts no
// lease in that zone as expired unless it knows what the zone's delegates have answered, or that
// they can't answer any more.

// MaxCancelStaleness returns for how long a node may answer workers without up-to-date knowledge of
// cancellations, given the duration of a worker's lease and the time limit within which the tasks
// of a cancelled job must be gone. A lease renewed at the last moment expires before the tasks of
// a job that was cancelled right after the node's last update have to be gone. If cancelLimit is
// 0, there is no limit.
func MaxCancelStaleness(lease, cancelLimit Micros) Micros {
	const margin = Second
	if cancelLimit == 0 {
		return MaxMicros
	}
	return max(cancelLimit-lease-(cancelLimit+lease)/clockDriftDivisor-margin, 0)
}

// Delegate is the leader's knowledge of one controller that may answer workers in its place. The
// zero value stands for one that has answered no worker and may answer none.
type Delegate struct {
	incarnation       uint64 // identifies the controller's process
	incarnationKnown  bool
	answersKnownUntil Micros // the leader knows of all answers before this
	lastAnswer        Micros // the last known answer to a worker
	delegatedUntil    Micros // the delegate answers no worker after this
	lastMessage       Micros // the last message of any kind from the controller
}

// Grant records that a delegation is sent. It is valid for grace after the delegate's reply that
// the leader received at repliedAt. Sending it again does not extend it.
func (d *Delegate) Grant(repliedAt, grace Micros) {
	d.delegatedUntil = max(d.delegatedUntil, repliedAt+grace)
}

// HandleReply applies the delegate's reply to a request that was sent at askedAt. The reply names
// the process that replies, and how long ago that process last answered a worker in the leader's
// place; answeredAgo is negative if it never did.
func (d *Delegate) HandleReply(askedAt, now Micros, replyIncarnation uint64, answeredAgo Micros) {
	if d.incarnationKnown && d.incarnation != replyIncarnation {
		// The former process may have answered workers until it ended.
		d.lastAnswer = max(d.lastAnswer, min(now, d.delegatedUntil))
	}
	d.incarnation, d.incarnationKnown = replyIncarnation, true
	d.answersKnownUntil = max(d.answersKnownUntil, askedAt)
	if answeredAgo >= 0 {
		d.lastAnswer = max(d.lastAnswer, now-answeredAgo)
	}
	d.NoteMessage(now)
}

// NoteMessage records that a message from the controller arrived.
func (d *Delegate) NoteMessage(now Micros) { d.lastMessage = now }

// resetTerm clears the state of an earlier term. A new leader assumes for every machine that a
// delegation of the former term may be in use until it expires; see BeginTerm.
func (d *Delegate) resetTerm() { d.answersKnownUntil, d.lastAnswer, d.delegatedUntil = 0, 0, 0 }

// SetDelegates sets the controllers of a zone other than the leader.
func (c *Core) SetDelegates(zone string, ds []*Delegate) { c.delegates[zone] = ds }

// leaseExpired reports whether the lease of a machine's worker has certainly expired, also if a
// delegate answered it.
func (c *Core) leaseExpired(m *machine, now Micros) bool {
	expiry := c.leaseExpiry(m.lastAcknowledged)
	if now < expiry {
		return false
	}
	for _, d := range c.delegates[m.zone] {
		expiry = max(expiry, c.leaseExpiry(d.lastAnswer))
	}
	if now < expiry {
		return false
	}
	for _, d := range c.delegates[m.zone] {
		if d.delegatedUntil > 0 && d.answersKnownUntil < expiry && now < c.leaseExpiry(d.delegatedUntil) {
			return false // the delegate may have renewed the lease since
		}
	}
	return true
}

// Delegation is a delegate's own record of the leader's grant: until when it may answer workers,
// and with which token.
type Delegation struct {
	nonce     uint64 // of the last reply to the leader
	repliedAt Micros
	token     uint64
	until     Micros
}

// NoteReply records a reply to the leader. The next grant counts from it.
func (d *Delegation) NoteReply(now Micros, nonce uint64) { d.nonce, d.repliedAt = nonce, now }

// Accept applies a grant from the leader with the given token. The grant counts from the reply
// whose nonce it echoes, so a delayed grant is not longer. A grant that echoes another nonce than
// that of the last reply, or has a lower token, is ignored.
func (d *Delegation) Accept(token, echo uint64, grace Micros) {
	if echo == 0 || echo != d.nonce || token < d.token {
		return
	}
	d.token, d.until = token, d.repliedAt+grace
}

// Token returns the token to answer a worker with, or 0 if the worker must not be answered now.
// leader is the token of the last known leader, worker the token that the worker reported.
func (d *Delegation) Token(now Micros, leader, worker uint64) uint64 {
	if now >= d.until || d.token != leader || worker > d.token {
		return 0
	}
	return d.token
}

// StopCancelled returns commands that stop a worker's tasks of cancelled jobs. Every leader wants
// these stopped, so any controller that answers the worker may send them.
func StopCancelled(tasks []TaskReport, cancelled func(job string) bool) []Command {
	var out []Command
	for _, t := range tasks {
		if t.State != Exited && cancelled(t.Job) {
			out = append(out, Command{Op: Stop, Job: t.Job, Index: t.Index, Attempt: t.Attempt})
		}
	}
	return out
}
