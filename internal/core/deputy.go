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
func Blind(lease, cancel Micros) Micros {
	const margin = Second
	if cancel == 0 {
		return MaxMicros
	}
	return max(cancel-lease-(cancel+lease)/driftParts-margin, 0)
}

// Deputy is what a leader knows of one controller that may answer in its place.
// The zero value has answered nothing and may answer nothing.
type Deputy struct {
	life  uint64 // of its process
	known bool   // life is
	clear Micros // what it answered before this is known
	last  Micros // its last answer that is known
	until Micros // it answers nothing after this
	spoke Micros // its last message of any kind
}

// Permit notes that a permission goes out. It is good for so long after a reply
// of the deputy's that the leader got at a time; sent again, it is no longer.
func (d *Deputy) Permit(replied, grace Micros) { d.until = max(d.until, replied+grace) }

// Heard takes its reply to what was asked at a time: which process replies, and
// how long ago that last answered a worker in the leader's place, negative for
// never.
func (d *Deputy) Heard(asked, now Micros, life uint64, answeredAgo Micros) {
	if d.known && d.life != life {
		// Its former process may have answered until it ended.
		d.last = max(d.last, min(now, d.until))
	}
	d.life, d.known = life, true
	d.clear = max(d.clear, asked)
	if answeredAgo >= 0 {
		d.last = max(d.last, now-answeredAgo)
	}
	d.Spoke(now)
}

// Spoke notes that it is there.
func (d *Deputy) Spoke(now Micros) { d.spoke = now }

// begin forgets what belongs to another term: what was permitted in that, a new
// leader waits out with every machine that it does not hear.
func (d *Deputy) begin() { d.clear, d.last, d.until = 0, 0, 0 }

// Deputies says which controllers a zone has besides the leader.
func (c *Core) Deputies(zone string, ds []*Deputy) { c.deputies[zone] = ds }

// leaseEnded reports whether the lease of a machine's worker has certainly run
// out, whoever answered it.
func (c *Core) leaseEnded(m *machine, now Micros) bool {
	over := c.leaseOver(m.answered)
	if now < over {
		return false
	}
	for _, d := range c.deputies[m.zone] {
		over = max(over, c.leaseOver(d.last))
	}
	if now < over {
		return false
	}
	for _, d := range c.deputies[m.zone] {
		if d.until > 0 && d.clear < over && now < c.leaseOver(d.until) {
			return false // it may have answered in time
		}
	}
	return true
}

// Permission is what a deputy holds: until when it may answer, and under which
// token.
type Permission struct {
	nonce   uint64 // of its last reply to the leader
	replied Micros
	token   uint64
	until   Micros
}

// Replied notes a reply to the leader, by which the next permission counts.
func (p *Permission) Replied(now Micros, nonce uint64) { p.nonce, p.replied = nonce, now }

// Permitted takes a permission from the leader with the token. It counts from
// the reply that the leader names: a permission that comes late is not longer.
func (p *Permission) Permitted(token, echo uint64, grace Micros) {
	if echo == 0 || echo != p.nonce || token < p.token {
		return
	}
	p.token, p.until = token, p.replied+grace
}

// Token is the token to answer with, 0 if nothing may be answered now: leader is
// the token of the last leader that is known, worker the worker's.
func (p *Permission) Token(now Micros, leader, worker uint64) uint64 {
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
