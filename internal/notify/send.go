package notify

import (
	"container/heap"
	"encoding/binary"
	"hash/fnv"
	"time"

	"github.com/cenkalti/backoff/v5"

	"aspenstall/internal/core"
)

// receiverState holds the use of one receiver, against its limits.
type receiverState struct {
	Receiver
	inFlight        int
	tokens          float64 // of the token bucket for PerSecond
	refilledAt      core.Micros
	sendingStartsAt core.Micros // no attempt is made before this time
}

// sendDue emits Send actions for a subscription's queues that are due, as far as the limits
// of its receiver allow.
func (o *Outbox) sendDue(now, wall core.Micros, s *subscriptionState) {
	for len(s.ready) > 0 && s.ready[0].nextAttemptAt <= now {
		q := s.ready[0]
		e := &q.events[0]
		if s.Deadline > 0 && !e.settled && wall > e.At+s.Deadline {
			heap.Pop(&s.ready)
			o.deadLetterFirst(now, q, "its deadline is over")
			continue
		}
		if s.DeliveryGuarantee == AtMostOnce && !e.settled {
			heap.Pop(&s.ready)
			o.deadLetterBeforeSend(q)
			continue
		}
		if now < s.receiver.sendingStartsAt || !s.receiver.allowAttempt(now) {
			return
		}
		heap.Pop(&s.ready)
		o.nextID++
		q.attempts++
		q.busy = true
		o.inFlight[o.nextID] = q
		o.actions = append(o.actions, Send{ID: o.nextID, Subscription: s.Name, Event: e.Event, Key: IdempotencyKey(s.Name, &e.Event), Attempt: q.attempts, PossiblyDelivered: !q.knownUndelivered})
	}
}

// deadLetterBeforeSend makes the first event of a queue a dead letter; the event is sent once
// that is written. With AtMostOnce, a new leader then does not send it again.
func (o *Outbox) deadLetterBeforeSend(q *jobQueue) {
	s, e := q.sub, &q.events[0]
	s.addDeadLetter(&e.Event, "it is sent once at most, and it is not known whether it was delivered")
	s.settleEvent(&e.Event)
	e.settled, q.busy = true, true
	s.sendAfterSave[eventID(&e.Event)] = q
}

// allowAttempt reports whether the receiver's limits allow an attempt now, and if so counts it.
func (r *receiverState) allowAttempt(now core.Micros) bool {
	if r.MaxInFlight > 0 && r.inFlight >= r.MaxInFlight {
		return false
	}
	if r.PerSecond > 0 {
		r.tokens = min(r.tokens+float64(now-r.refilledAt)/float64(core.Second)*r.PerSecond, max(r.PerSecond, 1))
		r.refilledAt = now
		if r.tokens < 1 {
			return false
		}
		r.tokens--
	}
	r.inFlight++
	return true
}

// HandleSendResult processes the outcome of the Send with an ID. after is the delay that the
// receiver requested before the next attempt, or 0.
func (o *Outbox) HandleSendResult(now core.Micros, id uint64, out Outcome, after core.Micros) {
	q := o.inFlight[id]
	if q == nil {
		return
	}
	delete(o.inFlight, id)
	q.busy = false
	q.sub.receiver.inFlight--
	switch {
	case out == Delivered:
		q.sub.deleteDeadLetter(&q.events[0].Event)
		o.removeFirst(now, q)
	case out == Rejected:
		o.deadLetterFirst(now, q, "its receiver refused it")
	case out == Unknown && q.sub.DeliveryGuarantee == AtMostOnce:
		o.removeFirst(now, q) // it remains a dead letter
	default:
		switch out {
		case Unknown:
			q.knownUndelivered = false
			after = max(after, q.sub.receiver.MaxMessageAge)
		case NotDelivered:
			q.knownUndelivered = true
		}
		q.nextAttemptAt = now + max(o.retryDelay(q), after)
		heap.Push(&q.sub.ready, q)
	}
}

// retryDelay returns the delay of a queue after a failed attempt. It doubles with each attempt,
// and is multiplied by a factor of 0.5 to 1.5 that is derived from the key and the attempt, so
// that retries are spread over time.
func (o *Outbox) retryDelay(q *jobQueue) core.Micros {
	b := backoff.ExponentialBackOff{
		InitialInterval: time.Duration(o.cfg.InitialBackoff) * time.Microsecond, Multiplier: 2, RandomizationFactor: 0,
		MaxInterval: time.Duration(o.cfg.MaxBackoff) * time.Microsecond,
	}
	b.Reset()
	var d time.Duration
	for range min(q.attempts, 40) {
		d = b.NextBackOff()
	}
	h := fnv.New64a()
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(q.attempts))
	_, _ = h.Write([]byte(IdempotencyKey(q.sub.Name, &q.events[0].Event)))
	_, _ = h.Write(n[:])
	spread := float64(h.Sum64()>>11) / (1 << 53) // 0 to 1
	return core.Micros(float64(d/time.Microsecond) * (0.5 + spread))
}
