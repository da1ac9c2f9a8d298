package node

import (
	"maps"
	"slices"

	"aspenstall/internal/core"
	"aspenstall/internal/peer"
)

// cancelled holds the latest cancellations that this node knows of, from the state
// service, from a write of its own or from a peer: whoever answers workers without
// reading the state service learns from its peers what to stop. The zero value knows
// of none.
type cancelled struct {
	list []peer.Cancelled  // by stamp
	jobs map[string]uint64 // the stamps of those in list
	from uint64            // what has a higher stamp is in list, what has not may be gone
}

// Bounds: what is kept, some minutes of a flood, and what one reply holds.
const (
	cancelledKept = 4096
	cancelledTold = 1000
)

func (c *cancelled) add(k peer.Cancelled) {
	if _, known := c.jobs[k.Job]; known {
		return
	}
	if c.jobs == nil {
		c.jobs = map[string]uint64{}
	}
	i := len(c.list) // most come in their order
	for i > 0 && c.list[i-1].Stamp > k.Stamp {
		i--
	}
	c.list = slices.Insert(c.list, i, k)
	c.jobs[k.Job] = k.Stamp
	if over := len(c.list) - cancelledKept; over > cancelledKept/4 {
		c.from = c.list[over-1].Stamp
		c.list = slices.Clone(c.list[over:])
		maps.DeleteFunc(c.jobs, func(_ string, stamp uint64) bool { return stamp <= c.from })
	}
}

// since lists what has a higher stamp; false if that is not all there is.
func (c *cancelled) since(stamp uint64) ([]peer.Cancelled, bool) {
	i := len(c.list)
	for i > 0 && c.list[i-1].Stamp > stamp {
		i--
	}
	out := c.list[i:]
	return slices.Clone(out[:min(len(out), cancelledTold)]), stamp >= c.from && len(out) <= cancelledTold
}

// learnCancelled takes a cancellation that a peer knows of. The view stays as it was
// read: revisions in between are not known yet.
func (n *Node) learnCancelled(k peer.Cancelled) {
	if _, told := n.cancelled.jobs[k.Job]; told {
		return
	}
	n.cancelled.add(k) // also of a job that this node has not heard of: a worker may have its tasks
	if rec, known := n.view.jobs[k.Job]; known && rec.Phase == core.Pending {
		n.log.Info("cancelled, by a peer's word", "job", k.Job, "revision", k.Stamp)
		n.core.Job(n.now(), wall(), rec.Final(core.Cancelled, core.Micros(k.At)))
	}
}

// isCancelled reports whether this node knows that a job is cancelled.
func (n *Node) isCancelled(job string) bool {
	_, told := n.cancelled.jobs[job]
	return told || n.view.jobs[job].Phase == core.Cancelled
}
