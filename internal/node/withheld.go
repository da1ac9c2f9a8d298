package node

import (
	"context"

	"aspenstall/internal/core"
)

// withheldMachines is the answer to WithheldMachines.
type withheldMachines struct {
	machines []core.WithheldMachine
	leading  bool
}

// WithheldMachines returns the machines on which this node places no new task, and whether it leads.
func (n *Node) WithheldMachines(ctx context.Context) ([]core.WithheldMachine, bool) {
	out, _ := call(ctx, n, func(reply func(withheldMachines)) {
		if !n.isActiveLeader() {
			reply(withheldMachines{})
			return
		}
		reply(withheldMachines{n.core.WithheldMachines(n.now()), true})
	})
	return out.machines, out.leading
}

// logWithheldMachines logs how many machines get no new task, by reason.
func (n *Node) logWithheldMachines() {
	var counts [core.NumWithholdings]int
	for _, m := range n.core.WithheldMachines(n.now()) {
		counts[m.Reason]++
	}
	for reason, machines := range counts {
		if machines > 0 {
			n.log.Info("machines withheld from placement", "reason", core.Withholding(reason).String(), "machines", machines)
		}
	}
}
