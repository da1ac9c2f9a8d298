package core

import "math"

// Whether machines of a type come up in time in a zone is judged by what those did
// that were rented lately: where many are late or never come, others are rented first.
// What is overdue is replaced once and stays rented until it is given up, so at most
// twice as much is on its way as is wanted; the late one that comes after all is used
// or goes back like any that is idle.

// boots is what the machines of an offer did lately.
type bootStats struct {
	updatedAt    Micros  // of the last that is known of
	overdueShare float64 // the share that were overdue
}

const (
	// bootsWeight is what the last one counts, bootsMemory how slowly all is
	// forgotten: troubles last for minutes.
	bootStatsWeight = 0.2
	bootStatsDecay  = 120 * Second
	// lateDearer is by how much the price counts as higher where all are overdue.
	overduePricePenalty = 2.0
	// A boot is overdue after half as long again as the catalog says, and given up
	// after bootsGiven times that, and some seconds.
	bootSlack        = 2 * Second
	bootGiveUpFactor = 3
	bootGiveUpSlack  = 10 * Second
)

// late is the share of the machines of an offer that were overdue lately.
func (c *Core) overdueShare(o offer, now Micros) float64 {
	b := c.bootStatsByOffer[o]
	return b.overdueShare * math.Exp(-float64(now-b.updatedAt)/float64(bootStatsDecay))
}

func (m *machine) offer() offer { return offer{m.typeName, m.zone, m.spot} }

// booted notes that a machine that was rented is up.
func (c *Core) recordBoot(m *machine, now Micros) {
	if m.rentedAt > 0 && !m.bootOverdue {
		c.bootStatsByOffer[m.offer()] = bootStats{now, (1 - bootStatsWeight) * c.overdueShare(m.offer(), now)}
	}
}

// checkBoot notes if a machine that was rented has not come in time.
func (c *Core) checkBootOverdue(m *machine, now Micros) {
	if m.bootOverdue || m.typ == nil || m.rentedAt == 0 || now-m.discoveredAt < bootDeadline(m.typ) {
		return
	}
	m.bootOverdue = true
	share := c.overdueShare(m.offer(), now)
	c.bootStatsByOffer[m.offer()] = bootStats{now, share + bootStatsWeight*(1-share)}
}

// bootTime is within what most machines of a type come up.
func bootDeadline(t *MachineType) Micros { return t.BootTime*3/2 + bootSlack }

// coming reports whether the machine is about to come up. What takes longer than most
// may never come, and nothing should wait for it.
func (m *machine) incoming(now Micros) bool {
	return m.booting && !m.releasing && m.typ != nil && now-m.discoveredAt < bootDeadline(m.typ)
}

// givenUpAfter is for how long a machine is waited for at all.
func bootGiveUpAfter(t *MachineType) Micros { return bootGiveUpFactor*t.BootTime + bootGiveUpSlack }
