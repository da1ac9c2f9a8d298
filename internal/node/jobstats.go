package node

import (
	"maps"
	"time"

	"aspenstall/internal/core"
)

// jobStatsInterval is how often the leader logs statistics of the jobs, by team and class.
const jobStatsInterval = time.Minute

// logJobStats logs statistics of the jobs if this node leads. It is also called when the process
// ends.
func (n *Node) logJobStats() {
	if n.term == nil {
		return
	}
	for _, t := range core.CollectJobStats(maps.Values(n.view.jobs), wallClock(), n.core.MayHaveStarted) {
		n.log.Info("served", "team", t.Team, "class", t.Class, "accepted", t.Accepted, "done", t.Done, "cancelled", t.Cancelled,
			"running", t.Started, "waiting", t.Waiting, "longest_wait_s", t.LongestWait/core.Second,
			"largest", t.Largest.Jobs, "largest_begun", t.Largest.Started, "largest_done", t.Largest.Done, "largest_wait_s", t.Largest.LongestWait/core.Second)
	}
	n.logWithheldMachines()
}
