package core

// Withholding is a reason why no new task is placed on a machine.
type Withholding uint8

// Reasons, in the order in which they are looked at.
const (
	NotWithheld          Withholding = iota
	WithheldUnknownType              // the catalog does not list its type
	WithheldUnreconciled             // tasks of a former term may be on it
	WithheldUnverified               // known by reports of a former term alone
	WithheldRetained                 // in a partitioned zone, by a record
	WithheldLost                     // its lease has expired, or the cloud lists it as failed
	WithheldInboundLoss              // answers do not reach it
	WithheldBooting                  // no leader has received a report yet
	WithheldDraining                 // being stopped, to be released
	WithheldReleasing                // queued for release
	WithheldQuarantined              // tasks of several jobs failed on it
	WithheldBlocked                  // it refused a start for lack of capacity
	WithheldSilent                   // its reports are late
	WithheldVacating                 // being emptied, to be released
	NumWithholdings                  // the number of values above
)

var withholdingNames = [NumWithholdings]string{
	"", "unknown type", "unreconciled", "unverified", "retained", "lost", "inbound loss", "booting", "draining", "releasing",
	"quarantined", "blocked", "silent", "vacating",
}

func (w Withholding) String() string { return withholdingNames[w] }

// WithheldMachine is a machine on which no new task is placed.
type WithheldMachine struct {
	Machine string
	Reason  Withholding
	// ProgressAt is when what withholds the machine last went on, for reasons that are a plan with
	// steps; else 0.
	ProgressAt Micros
}

// WithheldMachines returns the machines on which no new task is placed, by name.
func (c *Core) WithheldMachines(now Micros) []WithheldMachine {
	var out []WithheldMachine
	for _, m := range c.sortedMachines {
		switch reason := c.withholding(m, now); reason {
		case NotWithheld:
		case WithheldVacating:
			out = append(out, WithheldMachine{Machine: m.name, Reason: reason, ProgressAt: m.vacatingSince})
		default:
			out = append(out, WithheldMachine{Machine: m.name, Reason: reason})
		}
	}
	return out
}

// withheldBy returns the first reason why no task may be placed on the machine now, other than that
// it is being emptied: the tasks on such a machine still count as capacity in use.
func (c *Core) withheldBy(m *machine, now Micros) Withholding {
	switch {
	case m.typ == nil:
		return WithheldUnknownType
	case !m.reconciled:
		return WithheldUnreconciled
	case m.unverified:
		return WithheldUnverified
	case m.retainedIn != nil:
		return WithheldRetained
	case m.lost:
		return WithheldLost
	case m.inboundLost:
		return WithheldInboundLoss
	case m.booting:
		return WithheldBooting
	case m.draining:
		return WithheldDraining
	case m.releasing:
		return WithheldReleasing
	case now < m.quarantinedUntil:
		return WithheldQuarantined
	case now < m.blockedUntil:
		return WithheldBlocked
	case !m.reportedWithin(now, c.reportTimeout()), now-m.lastPeriodicReport >= c.cfg.WorkerLease/2:
		// With outbound loss (a one-way partition) a machine replies to direct commands, but its
		// periodic reports do not arrive. Its lease expires soon, in this session and in each later
		// one, and the tasks placed on it are lost.
		return WithheldSilent
	}
	return NotWithheld
}

// withholding returns the first reason why no new task is placed on the machine now.
func (c *Core) withholding(m *machine, now Micros) Withholding {
	if reason := c.withheldBy(m, now); reason != NotWithheld || !m.vacating {
		return reason
	}
	return WithheldVacating
}

// acceptsTasks reports whether new tasks may be placed on the machine now.
func (c *Core) acceptsTasks(m *machine, now Micros) bool { return c.withholding(m, now) == NotWithheld }

// schedulable reports whether the machine counts as capacity: new tasks may be placed on it now, unless
// it is being emptied.
func (c *Core) schedulable(m *machine, now Micros) bool { return c.withheldBy(m, now) == NotWithheld }
