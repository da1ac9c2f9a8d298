package core

import "math"

// Recent boots show whether machines of an offer (a type in a zone, spot or on-demand) come up in
// time. If many are late or never come up, other offers are preferred. An overdue machine is
// replaced once and stays rented until it is given up, so at most twice the wanted capacity is
// rented and not up yet. An overdue machine that comes up after all is used, or released like any
// idle machine.

// bootStats are the results of recent boots of an offer's machines.
type bootStats struct {
	updatedAt    Micros  // time of the last result
	overdueShare float64 // share of boots that were overdue, as of updatedAt
}

const (
	// bootStatsWeight is the weight of the latest boot in the average.
	bootStatsWeight = 0.2
	// bootStatsDecay is the time constant with which past boots are forgotten. Disturbances of the
	// cloud last for minutes.
	bootStatsDecay = 120 * Second
	// overduePricePenalty is the relative rise of the price at which an offer is rated if all its
	// boots are overdue.
	overduePricePenalty = 2.0
	// bootSlack is added to one and a half times the catalog's boot time. A boot that takes
	// longer is overdue.
	bootSlack = 2 * Second
	// A machine is given up if it is not up after bootGiveUpFactor times the catalog's boot time,
	// plus bootGiveUpSlack.
	bootGiveUpFactor = 3
	bootGiveUpSlack  = 10 * Second
)

// overdueShare returns the share of the offer's recent boots that were overdue, decayed since the
// last result.
func (c *Core) overdueShare(o offer, now Micros) float64 {
	b := c.bootStatsByOffer[o]
	return b.overdueShare * math.Exp(-float64(now-b.updatedAt)/float64(bootStatsDecay))
}

// offer returns the offer of which the machine was rented.
func (m *machine) offer() offer { return offer{m.typeName, m.zone, m.spot} }

// recordBoot records that a rented machine came up in time. It does nothing for an overdue machine,
// which is already counted.
func (c *Core) recordBoot(m *machine, now Micros) {
	if m.rentedAt > 0 && !m.bootOverdue {
		c.bootStatsByOffer[m.offer()] = bootStats{now, (1 - bootStatsWeight) * c.overdueShare(m.offer(), now)}
	}
}

// checkBootOverdue marks a rented machine that has not come up in time as overdue and records that.
func (c *Core) checkBootOverdue(m *machine, now Micros) {
	if m.bootOverdue || m.typ == nil || m.rentedAt == 0 || now-m.discoveredAt < bootDeadline(m.typ) {
		return
	}
	m.bootOverdue = true
	share := c.overdueShare(m.offer(), now)
	c.bootStatsByOffer[m.offer()] = bootStats{now, share + bootStatsWeight*(1-share)}
}

// bootDeadline returns the time within which most machines of a type come up.
func bootDeadline(t *MachineType) Micros { return t.BootTime*3/2 + bootSlack }

// incoming reports whether the machine is expected to come up soon. An overdue machine may never
// come up, so nothing should wait for it.
func (m *machine) incoming(now Micros) bool {
	return m.booting && !m.releasing && m.typ != nil && now-m.discoveredAt < bootDeadline(m.typ)
}

// bootGiveUpAfter returns the time after which a machine that has not come up is given up.
func bootGiveUpAfter(t *MachineType) Micros { return bootGiveUpFactor*t.BootTime + bootGiveUpSlack }
