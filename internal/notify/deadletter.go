package notify

import (
	"cmp"
	"slices"

	"aspenstall/internal/core"
)

// LoadDeadLetter restores a stored dead letter. It ignores unknown subscriptions.
func (o *Outbox) LoadDeadLetter(d DeadLetter) {
	if s := o.subscriptions[d.Subscription]; s != nil {
		s.deadLetters[eventID(&d.Event)] = d
	}
}

// DeadLetters returns the dead letters of a subscription, ordered by revision, job and kind.
func (o *Outbox) DeadLetters(name string) []DeadLetter {
	s := o.subscriptions[name]
	if s == nil {
		return nil
	}
	out := make([]DeadLetter, 0, len(s.deadLetters))
	for _, d := range s.deadLetters {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b DeadLetter) int {
		return cmp.Or(cmp.Compare(a.Event.Revision, b.Event.Revision), cmp.Compare(a.Event.Job, b.Event.Job), cmp.Compare(a.Event.Kind, b.Event.Kind))
	})
	return out
}

// RetryDeadLetter queues a dead letter to be sent again, behind an event of its job that is
// being sent or has been attempted. It returns false if there is no such dead letter, if it is
// already queued, or if its record is not written yet.
func (o *Outbox) RetryDeadLetter(now core.Micros, name, job string, kind Kind) bool {
	e := Event{Job: job, Kind: kind}
	s := o.subscriptions[name]
	if s == nil {
		return false
	}
	d, ok := s.deadLetters[eventID(&e)]
	if !ok || s.buffered[eventID(&e)] || s.deadLetterUnsaved(&e) {
		return false
	}
	s.buffered[eventID(&e)] = true
	s.enqueue(now, queuedEvent{d.Event, true})
	return true
}

// DeleteDeadLetter deletes a dead letter. It returns false if there is none, if it is queued
// to be sent again, or if its record is not written yet.
func (o *Outbox) DeleteDeadLetter(name, job string, kind Kind) bool {
	e := Event{Job: job, Kind: kind}
	s := o.subscriptions[name]
	if s == nil || s.buffered[eventID(&e)] || s.deadLetterUnsaved(&e) {
		return false
	}
	return s.deleteDeadLetter(&e)
}

// deadLetterUnsaved reports whether the record of an event's dead letter is not written yet.
func (s *subscriptionState) deadLetterUnsaved(e *Event) bool {
	return slices.ContainsFunc(s.deadLettersToPut, func(d DeadLetter) bool { return d.Event.Job == e.Job && d.Event.Kind == e.Kind })
}

// deleteDeadLetter removes an event's dead letter and schedules the deletion of its record.
// It reports whether there was one.
func (s *subscriptionState) deleteDeadLetter(e *Event) bool {
	d, ok := s.deadLetters[eventID(e)]
	if ok {
		delete(s.deadLetters, eventID(e))
		s.deadLettersToDelete = append(s.deadLettersToDelete, d)
	}
	return ok
}

// addDeadLetter makes an event a dead letter and schedules the write of its record.
func (s *subscriptionState) addDeadLetter(e *Event, reason string) {
	d := DeadLetter{Subscription: s.Name, Event: *e, Reason: reason}
	s.deadLetters[eventID(e)] = d
	s.deadLettersToPut = append(s.deadLettersToPut, d)
}

// deadLetterFirst makes the first event of a queue a dead letter and removes it from the queue.
func (o *Outbox) deadLetterFirst(now core.Micros, q *jobQueue, reason string) {
	q.sub.addDeadLetter(&q.events[0].Event, reason)
	o.removeFirst(now, q)
}
