package simulator

import (
	"context"
	"time"

	"aspenstall/internal/core"
	"aspenstall/internal/node"
)

// withheldCheckInterval is how often the leader is asked for the machines that it withholds.
const withheldCheckInterval = 5 * time.Second

// Bounds on how long a healthy machine may be withheld from placement once all faults are over, from
// docs/design/meetings.md, "Liveness".
const (
	withheldDeadline = placementDeadline
	vacatingDeadline = 140 * time.Second // without a move of a service
)

// withheld is since when a leader places nothing on a machine, and why.
type withheld struct {
	leader     *node.Node
	reason     core.Withholding
	progressAt core.Micros
	since      time.Time
}

// deadline returns how long a healthy machine may be withheld for a reason.
func (c *worldChecker) deadline(reason core.Withholding) time.Duration {
	switch reason {
	case core.WithheldVacating:
		return vacatingDeadline
	case core.WithheldQuarantined:
		return max(withheldDeadline, time.Duration(c.w.Settings.QuarantineS*float64(time.Second)))
	}
	return withheldDeadline
}

// checkWithheld reports healthy machines on which the leader has placed nothing, for one reason and
// without progress, for longer than the bound.
func (c *worldChecker) checkWithheld() {
	c.mu.Lock()
	due := !c.livenessFrom.IsZero() && c.w.ctx.Err() == nil && time.Since(c.livenessFrom)%withheldCheckInterval < time.Second
	c.mu.Unlock()
	leader := c.w.leaderNode()
	if !due || leader == nil {
		return
	}
	ctx, cancel := context.WithTimeout(c.w.ctx, time.Second)
	machines, leading := leader.WithheldMachines(ctx)
	cancel()
	if !leading {
		return
	}
	healthy := map[string]bool{}
	for _, m := range c.freeMachines() {
		healthy[m.worker.name] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.withheldSince
	c.withheldSince = map[string]withheld{}
	for _, m := range machines {
		if !healthy[m.Machine] {
			continue
		}
		w := withheld{leader, m.Reason, m.ProgressAt, time.Now()}
		if old, ok := before[m.Machine]; ok && old.leader == leader && old.reason == m.Reason && old.progressAt == m.ProgressAt {
			w.since = old.since
		}
		if bound := c.deadline(m.Reason) + withheldCheckInterval; time.Since(w.since) > bound {
			c.reportViolation("withheld: %s gets no task, %v, for %v", m.Machine, m.Reason, time.Since(w.since).Round(time.Second))
			w.since = time.Now()
		}
		c.withheldSince[m.Machine] = w
	}
}

// leaderNode returns the process of the leader according to the state service's record, or nil.
func (w *World) leaderNode() *node.Node {
	i := w.Leader()
	if i < 0 {
		return nil
	}
	w.nodesMu.Lock()
	defer w.nodesMu.Unlock()
	if w.Nodes[i].cancel == nil {
		return nil
	}
	return w.Nodes[i].node
}
