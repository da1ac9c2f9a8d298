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
type cancellationLog struct {
	entries       []peer.Cancellation // by stamp
	revisions     map[string]uint64   // the stamps of those in list
	completeAfter uint64              // what has a higher stamp is in list, what has not may be gone
}

// Bounds: what is kept, some minutes of a flood, and what one reply holds.
const (
	maxCancellationsKept     = 4096
	maxCancellationsPerReply = 1000
)

func (c *cancellationLog) add(k peer.Cancellation) {
	if _, known := c.revisions[k.Job]; known {
		return
	}
	if c.revisions == nil {
		c.revisions = map[string]uint64{}
	}
	i := len(c.entries) // most come in their order
	for i > 0 && c.entries[i-1].Revision > k.Revision {
		i--
	}
	c.entries = slices.Insert(c.entries, i, k)
	c.revisions[k.Job] = k.Revision
	if excess := len(c.entries) - maxCancellationsKept; excess > maxCancellationsKept/4 {
		c.completeAfter = c.entries[excess-1].Revision
		c.entries = slices.Clone(c.entries[excess:])
		maps.DeleteFunc(c.revisions, func(_ string, revision uint64) bool { return revision <= c.completeAfter })
	}
}

// since lists what has a higher stamp; false if that is not all there is.
func (c *cancellationLog) since(revision uint64) ([]peer.Cancellation, bool) {
	i := len(c.entries)
	for i > 0 && c.entries[i-1].Revision > revision {
		i--
	}
	out := c.entries[i:]
	return slices.Clone(out[:min(len(out), maxCancellationsPerReply)]), revision >= c.completeAfter && len(out) <= maxCancellationsPerReply
}

// learnCancelled takes a cancellation that a peer knows of. The view stays as it was
// read: revisions in between are not known yet.
func (n *Node) applyPeerCancellation(k peer.Cancellation) {
	if _, known := n.cancellations.revisions[k.Job]; known {
		return
	}
	n.cancellations.add(k) // also of a job that this node has not heard of: a worker may have its tasks
	if rec, known := n.view.jobs[k.Job]; known && rec.Phase == core.Pending {
		n.log.Info("cancelled, by a peer's word", "job", k.Job, "revision", k.Revision)
		n.core.UpdateJob(n.now(), wallClock(), rec.Final(core.Cancelled, core.Micros(k.At)))
	}
}

// isCancelled reports whether this node knows that a job is cancelled.
func (n *Node) isCancelled(job string) bool {
	_, known := n.cancellations.revisions[job]
	return known || n.view.jobs[job].Phase == core.Cancelled
}
