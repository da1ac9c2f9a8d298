package node

import (
	"maps"
	"slices"

	"aspenstall/internal/core"
	"aspenstall/internal/peer"
)

// cancellationLog holds the latest cancellations that this node knows of, from the state service,
// from its own writes or from a peer. A node that answers workers without reading the state
// service learns from its peers which tasks to stop. The zero value is empty.
type cancellationLog struct {
	entries   []peer.Cancellation // in order of revision
	revisions map[string]uint64   // by job, of all entries
	// entries holds every known cancellation with a higher revision than completeAfter. Older ones
	// may have been dropped.
	completeAfter uint64
}

// maxCancellationsKept covers some minutes of a flood of cancellations. maxCancellationsPerReply
// bounds the size of a reply to a peer.
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
	i := len(c.entries) // most arrive in order
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

// since returns the cancellations with a higher revision, at most maxCancellationsPerReply, and
// whether the list is complete. It is not if more entries follow, or if entries with a higher
// revision may have been dropped from the log.
func (c *cancellationLog) since(revision uint64) ([]peer.Cancellation, bool) {
	i := len(c.entries)
	for i > 0 && c.entries[i-1].Revision > revision {
		i--
	}
	out := c.entries[i:]
	return slices.Clone(out[:min(len(out), maxCancellationsPerReply)]), revision >= c.completeAfter && len(out) <= maxCancellationsPerReply
}

// applyPeerCancellation applies a cancellation that a peer reported. The view does not change:
// other changes up to that revision are not known yet.
func (n *Node) applyPeerCancellation(k peer.Cancellation) {
	if _, known := n.cancellations.revisions[k.Job]; known {
		return
	}
	n.cancellations.add(k) // even if this node does not know the job: a worker may have tasks of it
	if rec, known := n.view.jobs[k.Job]; known && rec.Phase == core.Pending {
		n.log.Info("cancelled, by a peer's word", "job", k.Job, "revision", k.Revision)
		n.core.HandleJob(n.now(), wallClock(), rec.Final(core.Cancelled, core.Micros(k.At)))
	}
}

// isCancelled reports whether this node knows that a job is cancelled.
func (n *Node) isCancelled(job string) bool {
	_, known := n.cancellations.revisions[job]
	return known || n.view.jobs[job].Phase == core.Cancelled
}
