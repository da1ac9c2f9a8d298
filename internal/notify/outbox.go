package notify

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/RoaringBitmap/roaring/v2"
	"github.com/cenkalti/backoff/v5"

	"aspenstall/internal/core"
)

// Config holds the settings of an outbox.
type Config struct {
	TermStart     core.Micros // start of this leader's term, monotonic clock
	Subscriptions []Subscription
	Receivers     []Receiver
	// MaxBuffered limits the events of a subscription that are kept in memory. The
	// others are requested by FetchEvents when there is room again.
	MaxBuffered int
	// MinSaveInterval is the minimum time between two writes, so that several
	// acknowledgements share one. Dead letters do not wait for it, since a delivery
	// attempt may be waiting for their write.
	MinSaveInterval core.Micros
	// ChunkSaveDelay is how long a changed bitmap waits before it is written. If the
	// watermark passes the chunk in that time, the write is not needed.
	ChunkSaveDelay core.Micros
	MaxOpsPerSave  int // operations in one write; all watermarks count as one
	MaxChunkBytes  int // length of a stored bitmap; 0: no limit
	InitialBackoff core.Micros
	MaxBackoff     core.Micros // limit of the exponential delay, before the spread of retryDelay
}

// Outbox is one leader's state of undelivered notifications.
type Outbox struct {
	cfg                  Config
	subscriptions        map[string]*subscriptionState
	subscriptionsInOrder []*subscriptionState
	receivers            map[string]*receiverState
	nextID               uint64
	inFlight             map[uint64]*jobQueue // by the ID of the Send
	pendingSave          *pendingSave         // the write in progress, or nil
	nextSaveAt           core.Micros          // no write before this time, except for dead letters
	actions              []Action
}

// subscriptionState is the delivery state of one subscription.
type subscriptionState struct {
	Subscription
	receiver            *receiverState
	watermark           uint64                     // all revisions up to this one are settled
	settled             map[uint64]*roaring.Bitmap // settled revisions above the watermark, by chunk
	unsettled           map[uint64]int             // number of events by revision
	awaitingComplete    []uint64                   // settled so far, but more events may follow
	revisionHeap        revisionHeap               // the keys of unsettled; some may be settled
	buffered            map[string]bool            // IDs of the events in the queues
	queues              map[string]*jobQueue       // by job
	ready               queueHeap                  // queues that are not busy
	loadedThrough       uint64                     // events up to here were buffered or are settled
	lastBuffered        uint64                     // the last revision of which events were buffered
	overflowed          bool                       // later events are ignored until there is room
	fetching            bool                       // a FetchEvents is in progress
	dirtyHalves         map[uint64]bool            // halves of chunks that changed since they were last written
	dirtySince          core.Micros                // when dirtyHalves last became non-empty
	storedChunks        map[ChunkKey]bool          // records of chunks in the store
	savedWatermark      uint64                     // the watermark that was last written
	deadLettersToPut    []DeadLetter               // their records must be written
	deadLettersToDelete []DeadLetter               // their records must be deleted
	deadLetters         map[string]DeadLetter      // all dead letters by event ID, whether written or not
	sendAfterSave       map[string]*jobQueue       // by event ID; sent once the dead letter is written
}

// jobQueue holds the undelivered events of one job for one subscription, in order. They
// are sent one at a time.
type jobQueue struct {
	sub               *subscriptionState
	job               string // ID
	events            []queuedEvent
	attempts          int
	possiblyDelivered bool        // an attempt for the first event may have taken effect
	busy              bool        // the first event is being sent, or its dead letter is being written
	nextAttemptAt     core.Micros // monotonic clock
	heapIndex         int         // index in ready, or -1
}

// queuedEvent is an event in a jobQueue.
type queuedEvent struct {
	Event
	// settled is set for an event that is already settled as a dead letter and is
	// nevertheless sent.
	settled bool
}

// receiverState holds the use of one receiver, against its limits.
type receiverState struct {
	Receiver
	inFlight        int
	tokens          float64 // of the token bucket for PerSecond
	refilledAt      core.Micros
	sendingStartsAt core.Micros // no attempt is made before this time
}

// pendingSave is a write in progress, with the state that it stores.
type pendingSave struct {
	id                 uint64
	watermarks         map[*subscriptionState]uint64
	putChunks          []ChunkKey
	deletedChunks      []ChunkKey
	putDeadLetters     map[*subscriptionState]int // number of entries of deadLettersToPut
	deletedDeadLetters map[*subscriptionState]int // number of entries of deadLettersToDelete
}

// New returns an outbox without settled revisions; the Load methods add the stored ones.
func New(cfg Config) *Outbox {
	o := &Outbox{cfg: cfg, subscriptions: map[string]*subscriptionState{}, receivers: map[string]*receiverState{}, inFlight: map[uint64]*jobQueue{}}
	for _, r := range cfg.Receivers {
		o.receivers[r.Name] = &receiverState{Receiver: r, tokens: max(r.PerSecond, 1), sendingStartsAt: cfg.TermStart + r.MaxMessageAge}
	}
	for _, s := range cfg.Subscriptions {
		state := &subscriptionState{
			Subscription: s, receiver: o.receivers[s.Receiver], settled: map[uint64]*roaring.Bitmap{}, unsettled: map[uint64]int{}, buffered: map[string]bool{},
			queues: map[string]*jobQueue{}, dirtyHalves: map[uint64]bool{}, storedChunks: map[ChunkKey]bool{},
			deadLetters: map[string]DeadLetter{}, sendAfterSave: map[string]*jobQueue{},
		}
		o.subscriptions[s.Name] = state
		o.subscriptionsInOrder = append(o.subscriptionsInOrder, state)
	}
	return o
}

// LoadWatermark restores a subscription's stored watermark. It ignores unknown subscriptions.
func (o *Outbox) LoadWatermark(m Watermark) {
	if s := o.subscriptions[m.Subscription]; s != nil {
		s.watermark, s.savedWatermark, s.loadedThrough = m.Revision, m.Revision, m.Revision
	}
}

// MinWatermark returns the revision up to which all events of all subscriptions are
// settled. Older events need not be passed to HandleEvent.
func (o *Outbox) MinWatermark() uint64 {
	lowest := uint64(math.MaxUint64)
	for _, s := range o.subscriptionsInOrder {
		lowest = min(lowest, s.watermark)
	}
	return lowest
}

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

// HandleEvent processes a new event. Events must be passed in the order of their
// revisions, and all events of a revision before HandleEventsComplete for it.
func (o *Outbox) HandleEvent(now core.Micros, e Event) {
	for _, s := range o.subscriptionsInOrder {
		if !s.matches(&e) {
			continue
		}
		// Either all events of a revision are buffered or none, since a revision counts as
		// settled when all of its buffered events are.
		if !s.overflowed && len(s.buffered) >= o.cfg.MaxBuffered && e.Revision > s.lastBuffered {
			s.loadedThrough = max(s.loadedThrough, s.lastBuffered)
			s.overflowed = true
			s.advanceWatermark()
		}
		if !s.overflowed {
			s.lastBuffered = e.Revision
			s.buffer(now, e)
		}
	}
}

// HandleEventsComplete records that all events up to a revision have been passed in.
func (o *Outbox) HandleEventsComplete(rev uint64) {
	for _, s := range o.subscriptionsInOrder {
		if !s.overflowed {
			s.loadedThrough = max(s.loadedThrough, rev)
			s.advanceWatermark()
		}
	}
}

// HandleFetchedEvents processes the result of FetchEvents: the subscription's events after
// the requested revision, in order. upTo is the last revision that they cover, and all
// reports whether there are no later events.
func (o *Outbox) HandleFetchedEvents(now core.Micros, name string, events []Event, upTo uint64, all bool) {
	s := o.subscriptions[name]
	if s == nil || !s.fetching {
		return
	}
	s.fetching = false
	for _, e := range events {
		if s.matches(&e) && e.Revision > s.loadedThrough && e.Revision <= upTo {
			s.buffer(now, e)
		}
	}
	s.loadedThrough = max(s.loadedThrough, upTo)
	s.overflowed = !all
	s.advanceWatermark()
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
	q.attempts, q.possiblyDelivered, q.busy, q.nextAttemptAt = 0, false, false, now
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

// Step returns the actions that are due at the monotonic time now. wall is the wall-clock time.
func (o *Outbox) Step(now, wall core.Micros) []Action {
	for _, s := range o.subscriptionsInOrder {
		o.sendDue(now, wall, s)
		if s.overflowed && !s.fetching && len(s.buffered) <= o.cfg.MaxBuffered/2 {
			s.fetching = true
			o.actions = append(o.actions, FetchEvents{Subscription: s.Name, After: s.loadedThrough, Limit: o.cfg.MaxBuffered - len(s.buffered)})
		}
	}
	o.saveDue(now)
	out := o.actions
	o.actions = nil
	return out
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
		o.actions = append(o.actions, Send{ID: o.nextID, Subscription: s.Name, Event: e.Event, Key: IdempotencyKey(s.Name, &e.Event), Attempt: q.attempts, PossiblyDelivered: q.possiblyDelivered || q.attempts == 1})
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

// addDeadLetter makes an event a dead letter and schedules the write of its record.
func (s *subscriptionState) addDeadLetter(e *Event, reason string) {
	d := DeadLetter{Subscription: s.Name, Event: *e, Reason: reason}
	s.deadLetters[eventID(e)] = d
	s.deadLettersToPut = append(s.deadLettersToPut, d)
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
		if out == Unknown {
			q.possiblyDelivered = true
			after = max(after, q.sub.receiver.MaxMessageAge)
		}
		q.nextAttemptAt = now + max(o.retryDelay(q), after)
		heap.Push(&q.sub.ready, q)
	}
}

// deadLetterFirst makes the first event of a queue a dead letter and removes it from the queue.
func (o *Outbox) deadLetterFirst(now core.Micros, q *jobQueue, reason string) {
	q.sub.addDeadLetter(&q.events[0].Event, reason)
	o.removeFirst(now, q)
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

// saveDue emits a Save with the changes since the last write, if one is due.
//
// An event that becomes a dead letter is written as settled together with the record of the
// dead letter or after it, never before.
func (o *Outbox) saveDue(now core.Micros) {
	for _, s := range o.subscriptionsInOrder {
		if len(s.dirtyHalves) == 0 {
			s.dirtySince = now
		}
	}
	if now < o.nextSave(now) {
		return
	}
	o.nextID++
	pending := &pendingSave{id: o.nextID, watermarks: map[*subscriptionState]uint64{}, putDeadLetters: map[*subscriptionState]int{}, deletedDeadLetters: map[*subscriptionState]int{}}
	a := Save{ID: pending.id}
	watermarkOps := 0
	room := func() bool {
		return watermarkOps+len(a.DeleteChunks)+len(a.PutChunks)+len(a.PutDeadLetters)+len(a.DeleteDeadLetters) < o.cfg.MaxOpsPerSave
	}
	for _, s := range o.subscriptionsInOrder {
		for i := 0; i < len(s.deadLettersToPut) && room(); i++ {
			a.PutDeadLetters = append(a.PutDeadLetters, s.deadLettersToPut[i])
			pending.putDeadLetters[s]++
		}
		if watermarkOps == 0 && s.watermark > s.savedWatermark && room() {
			watermarkOps = 1
		}
	}
	if watermarkOps > 0 {
		for _, s := range o.subscriptionsInOrder {
			// The watermark must not pass a dead letter that is not written yet.
			to := s.watermark
			if pending.putDeadLetters[s] < len(s.deadLettersToPut) {
				to = s.savedWatermark
			}
			a.Watermarks = append(a.Watermarks, Watermark{s.Name, to})
			pending.watermarks[s] = to
		}
	}
	for _, s := range o.subscriptionsInOrder {
		// If not all dead letters fitted into this write, there is no room for a chunk either.
		for _, half := range slices.Sorted(maps.Keys(s.dirtyHalves)) {
			if !room() || now-s.dirtySince < o.cfg.ChunkSaveDelay {
				break
			}
			if !s.dirtyHalves[half] {
				continue // it is in the record of the whole chunk
			}
			record := s.recordOf(half, o.cfg.MaxChunkBytes)
			a.PutChunks = append(a.PutChunks, record)
			pending.putChunks = append(pending.putChunks, record.ChunkKey)
			for _, h := range record.halves() {
				delete(s.dirtyHalves, h)
			}
		}
		to := max(s.savedWatermark, pending.watermarks[s]) // the stored watermark after this write
		for _, key := range slices.SortedFunc(maps.Keys(s.storedChunks), ChunkKey.compare) {
			if s.settled[key.Chunk] == nil && to >= s.watermark && room() {
				a.DeleteChunks = append(a.DeleteChunks, key)
				pending.deletedChunks = append(pending.deletedChunks, key)
			}
		}
		// The record of a dead letter is deleted only when its event is stored as settled.
		// Otherwise the next leader would send the event again.
		for len(s.deadLettersToDelete) > pending.deletedDeadLetters[s] && room() && s.settlementSaved(s.deadLettersToDelete[pending.deletedDeadLetters[s]].Event.Revision, to) {
			a.DeleteDeadLetters = append(a.DeleteDeadLetters, s.deadLettersToDelete[pending.deletedDeadLetters[s]])
			pending.deletedDeadLetters[s]++
		}
	}
	if len(a.Watermarks)+len(a.DeleteChunks)+len(a.PutChunks)+len(a.PutDeadLetters)+len(a.DeleteDeadLetters) == 0 {
		return
	}
	o.pendingSave, o.nextSaveAt = pending, now+o.cfg.MinSaveInterval
	o.actions = append(o.actions, a)
}

// nextSave returns when the next write is due if nothing changes, or MaxMicros.
func (o *Outbox) nextSave(now core.Micros) core.Micros {
	at := core.MaxMicros
	if o.pendingSave != nil {
		return at
	}
	for _, s := range o.subscriptionsInOrder {
		switch {
		case len(s.deadLettersToPut) > 0:
			return now
		case s.watermark > s.savedWatermark, s.hasObsoleteChunk(), len(s.deadLettersToDelete) > 0 && s.settlementSaved(s.deadLettersToDelete[0].Event.Revision, s.savedWatermark):
			at = min(at, max(o.nextSaveAt, now))
		case len(s.dirtyHalves) > 0:
			at = min(at, max(o.nextSaveAt, s.dirtySince+o.cfg.ChunkSaveDelay, now))
		}
	}
	return at
}

// HandleSaveResult processes the result of the Save with an ID. Changes that were not stored,
// or may not have been, are written again: the writes are idempotent.
func (o *Outbox) HandleSaveResult(now core.Micros, save uint64, ok bool) {
	pending := o.pendingSave
	if pending == nil || pending.id != save {
		return
	}
	o.pendingSave = nil
	if !ok {
		for _, key := range pending.putChunks {
			s := o.subscriptions[key.Subscription]
			s.markDirty(key)
			s.storedChunks[key] = true // the write may have been executed
		}
		o.nextSaveAt = now + core.Second
		return
	}
	for s, n := range pending.putDeadLetters {
		for _, d := range s.deadLettersToPut[:n] {
			if q := s.sendAfterSave[eventID(&d.Event)]; q != nil {
				delete(s.sendAfterSave, eventID(&d.Event))
				q.busy = false
				heap.Push(&s.ready, q)
			}
		}
		s.deadLettersToPut = s.deadLettersToPut[n:]
	}
	for s, n := range pending.deletedDeadLetters {
		s.deadLettersToDelete = s.deadLettersToDelete[n:]
	}
	for s, to := range pending.watermarks {
		s.savedWatermark = max(s.savedWatermark, to)
	}
	for _, key := range pending.putChunks {
		o.subscriptions[key.Subscription].storedChunks[key] = true
	}
	for _, key := range pending.deletedChunks {
		delete(o.subscriptions[key.Subscription].storedChunks, key)
	}
}

// NextStepAt returns when Step must be called next if nothing happens before then.
func (o *Outbox) NextStepAt(now core.Micros) core.Micros {
	at := o.nextSave(now)
	for _, s := range o.subscriptionsInOrder {
		if len(s.ready) > 0 {
			next := max(s.ready[0].nextAttemptAt, s.receiver.sendingStartsAt)
			if r := s.receiver; next <= now {
				// The receiver's limits delay the queue. If the limit is MaxInFlight, the
				// result of an attempt triggers the next step; if it is the rate, wait for a
				// token.
				next = core.MaxMicros
				if r.PerSecond > 0 && (r.MaxInFlight == 0 || r.inFlight < r.MaxInFlight) {
					next = now + core.Micros(math.Ceil(float64(core.Second)/r.PerSecond))
				}
			}
			at = min(at, next)
		}
	}
	return at
}

// Undelivered returns the number of a subscription's undelivered events in memory, and whether
// there are more outside.
func (o *Outbox) Undelivered(name string) (buffered int, more bool) {
	s := o.subscriptions[name]
	if s == nil {
		return 0, false
	}
	return len(s.buffered), s.overflowed
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
