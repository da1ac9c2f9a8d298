package notify

import (
	"cmp"
	"container/heap"
	"slices"

	"aspenstall/internal/core"
)

// jobQueue holds the undelivered events of one job for one subscription, in order. They
// are sent one at a time.
type jobQueue struct {
	sub      *subscriptionState
	job      string // ID
	events   []queuedEvent
	attempts int
	// knownUndelivered is set once it is known that no attempt for the first event has taken effect or
	// still may: neither one of this leader nor one of an earlier leader.
	knownUndelivered bool
	busy             bool        // the first event is being sent, or its dead letter is being written
	nextAttemptAt    core.Micros // monotonic clock
	heapIndex        int         // index in ready, or -1
}

// queuedEvent is an event in a jobQueue.
type queuedEvent struct {
	Event
	// settled is set for an event that is already settled as a dead letter and is
	// nevertheless sent.
	settled bool
}

// eventID returns the ID of an event within a subscription.
func eventID(e *Event) string { return e.Job + "/" + e.Kind.String() }

// buffer queues an event unless it is settled, already queued or a dead letter.
func (s *subscriptionState) buffer(now core.Micros, e Event) {
	_, isDeadLetter := s.deadLetters[eventID(&e)]
	if s.isSettled(e.Revision) || s.buffered[eventID(&e)] || isDeadLetter {
		return
	}
	s.buffered[eventID(&e)] = true
	if s.unsettled[e.Revision] == 0 {
		heap.Push(&s.revisionHeap, e.Revision)
	}
	s.unsettled[e.Revision]++
	s.enqueue(now, queuedEvent{e, false})
}

// enqueue adds an event to its job's queue, in the order of revisions and kinds, but behind
// a first event that is being sent or has been attempted.
func (s *subscriptionState) enqueue(now core.Micros, e queuedEvent) {
	q := s.queues[e.Job]
	if q == nil {
		q = &jobQueue{sub: s, job: e.Job, heapIndex: -1, nextAttemptAt: now}
		s.queues[e.Job] = q
	}
	q.events = append(q.events, e)
	first := 0
	if q.busy || q.attempts > 0 {
		first = 1
	}
	slices.SortStableFunc(q.events[first:], func(a, b queuedEvent) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Kind, b.Kind))
	})
	if q.heapIndex < 0 && !q.busy {
		heap.Push(&s.ready, q)
	}
}

// removeFirst settles and removes the first event of a queue, and makes the queue ready for
// the next event.
func (o *Outbox) removeFirst(now core.Micros, q *jobQueue) {
	s, e := q.sub, q.events[0]
	if !e.settled {
		s.settleEvent(&e.Event)
	}
	q.events = q.events[1:]
	q.attempts, q.knownUndelivered, q.busy, q.nextAttemptAt = 0, false, false, now
	delete(s.buffered, eventID(&e.Event))
	if len(q.events) == 0 {
		delete(s.queues, q.job)
	} else {
		heap.Push(&s.ready, q)
	}
}

// settleEvent counts an event as settled, and settles its revision if it was the last one.
func (s *subscriptionState) settleEvent(e *Event) {
	if s.unsettled[e.Revision]--; s.unsettled[e.Revision] > 0 {
		return
	}
	if e.Revision > s.loadedThrough {
		s.awaitingComplete = append(s.awaitingComplete, e.Revision)
		return
	}
	s.settleRevision(e.Revision)
	s.advanceWatermark()
}

// revisionHeap is a heap of revisions, the lowest first.
type revisionHeap []uint64

func (h revisionHeap) Len() int               { return len(h) }
func (h revisionHeap) Less(i, state int) bool { return h[i] < h[state] }
func (h revisionHeap) Swap(i, state int)      { h[i], h[state] = h[state], h[i] }
func (h *revisionHeap) Push(v any)            { *h = append(*h, v.(uint64)) }
func (h *revisionHeap) Pop() any {
	v := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return v
}

// queueHeap is a heap of queues by the time of their next attempt, the earliest first.
type queueHeap []*jobQueue

func (h queueHeap) Len() int { return len(h) }
func (h queueHeap) Less(i, state int) bool {
	if h[i].nextAttemptAt != h[state].nextAttemptAt {
		return h[i].nextAttemptAt < h[state].nextAttemptAt
	}
	return h[i].events[0].Revision < h[state].events[0].Revision
}
func (h queueHeap) Swap(i, state int) {
	h[i], h[state] = h[state], h[i]
	h[i].heapIndex, h[state].heapIndex = i, state
}
func (h *queueHeap) Push(v any) {
	q := v.(*jobQueue)
	q.heapIndex = len(*h)
	*h = append(*h, q)
}
func (h *queueHeap) Pop() any {
	q := (*h)[len(*h)-1]
	q.heapIndex = -1
	*h = (*h)[:len(*h)-1]
	return q
}
