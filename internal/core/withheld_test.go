package core

import "testing"

// TestWithheldMachines checks that a machine on which nothing may be placed is listed with the reason,
// and that nothing is placed on a listed one.
func TestWithheldMachines(t *testing.T) {
	for _, c := range []struct {
		reason Withholding
		set    func(m *machine, now Micros)
	}{
		{NotWithheld, func(*machine, Micros) {}},
		{WithheldUnknownType, func(m *machine, _ Micros) { m.typ = nil }},
		{WithheldUnreconciled, func(m *machine, _ Micros) { m.reconciled = false }},
		{WithheldUnverified, func(m *machine, _ Micros) { m.unverified = true }},
		{WithheldRetained, func(m *machine, _ Micros) { m.retainedIn = &retainedGroup{} }},
		{WithheldLost, func(m *machine, _ Micros) { m.lost = true }},
		{WithheldInboundLoss, func(m *machine, _ Micros) { m.inboundLost = true }},
		{WithheldBooting, func(m *machine, _ Micros) { m.booting = true }},
		{WithheldDraining, func(m *machine, _ Micros) { m.draining = true }},
		{WithheldReleasing, func(m *machine, _ Micros) { m.releasing = true }},
		{WithheldQuarantined, func(m *machine, now Micros) { m.quarantinedUntil = now + 1 }},
		{WithheldBlocked, func(m *machine, now Micros) { m.blockedUntil = now + 1 }},
		{WithheldSilent, func(m *machine, _ Micros) { m.session = 0 }},
		{WithheldSilent, func(m *machine, now Micros) { m.lastPeriodicReport = now - 1000*Second }},
		{WithheldVacating, func(m *machine, now Micros) { m.vacating, m.vacatingSince = true, now }},
	} {
		t.Run(c.reason.String(), func(t *testing.T) {
			w := newWorld(t, Team{Name: "blue"})
			w.beginTerm(100, nil, Snapshot{})
			w.newWorker("n-1", "a").report()
			m := w.c.machines["n-1"]
			c.set(m, w.now)
			got := NotWithheld
			for _, withheld := range w.c.WithheldMachines(w.now) {
				got = withheld.Reason
			}
			w.want("reason", got, c.reason)
			w.c.candidates = []*machine{m}
			j := &job{spec: JobSpec{ID: "job-1", Tasks: 1, Resources: Resources{1000, 0, 1000}}}
			w.want("picked", w.c.pickMachine(j, w.now, "", false) != nil, c.reason == NotWithheld)
		})
	}
}
