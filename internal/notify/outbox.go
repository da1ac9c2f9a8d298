package notify

import (
	"cmp"
	"container/heap"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/RoaringBitmap/roaring/v2"
	"github.com/cenkalti/backoff/v5"

	"aspenstall/internal/core"
)

// Config is what an outbox knows from the settings.
type Config struct {
	TermStart     core.Micros // of this leader's term, on its steady clock
	Subscriptions []Subscription
	Receivers     []Receiver
	// Window is how many events of a subscription are held at once; the others
	// are asked for when there is room again.
	MaxBuffered int
	// SaveGap is the least time between two writes, so that acknowledgements
	// share one. What is put aside does not wait for it, since an attempt may.
	MinSaveInterval core.Micros
	// ChunkGap is how long the mark has to catch up before a bitmap is written.
	ChunkSaveDelay core.Micros
	MaxOpsPerSave  int // parts of one write
	InitialBackoff core.Micros
	MaxBackoff     core.Micros // the longest pause between attempts
}

// Outbox is what one leader knows of undelivered notifications.
type Outbox struct {
	cfg                  Config
	subscriptions        map[string]*subscriptionState
	subscriptionsInOrder []*subscriptionState
	receivers            map[string]*receiverState
	nextID               uint64
	inFlight             map[uint64]*jobQueue
	pendingSave          *pendingSave // the write under way
	nextSaveAt           core.Micros
	actions              []Action
}

// sub is a subscription's state.
type subscriptionState struct {
	Subscription
	receiver            *receiverState
	watermark           uint64 // all up to here are settled
	settled             map[uint64]*roaring.Bitmap
	unsettled           map[uint64]int // unsettled events by revision
	awaitingComplete    []uint64       // revisions of which more may come, and all so far is settled
	revisionHeap        revisionHeap   // their revisions, the lowest first; some may be settled
	buffered            map[string]bool
	queues              map[string]*jobQueue // by job
	ready               queueHeap
	loadedThrough       uint64 // all events up to here were taken or are settled
	lastBuffered        uint64 // the last revision of which events were taken
	overflowed          bool   // those after it are left out until there is room
	fetching            bool
	dirtyChunks         map[uint64]bool // chunks that changed since they were written
	dirtySince          core.Micros     // since when there are any
	storedChunks        map[uint64]bool // chunks that have a record
	savedWatermark      uint64
	deadLettersToPut    []DeadLetter          // to be written
	deadLettersToDelete []DeadLetter          // whose records are to go
	deadLetters         map[string]DeadLetter // all that are put aside, written or not
	sendAfterSave       map[string]*jobQueue  // to be sent once they are written as put aside
}

// lane is a job's undelivered events in their order: one is sent at a time.
type jobQueue struct {
	sub               *subscriptionState
	job               string
	events            []queuedEvent
	attempts          int
	possiblyDelivered bool        // an attempt may have had its effect
	busy              bool        // the first event is on its way, or being claimed
	nextAttemptAt     core.Micros // steady clock; not before
	heapIndex         int         // in the heap, -1 if it is not
}

// item is an event in a lane.
type queuedEvent struct {
	Event
	// counted: it counts as settled already, since it is put aside; it is sent all
	// the same.
	settled bool
}

// receiver is a receiver's state.
type receiverState struct {
	Receiver
	inFlight        int
	tokens          float64
	refilledAt      core.Micros
	sendingStartsAt core.Micros // nothing is sent before
}

// saving is a write under way and what it settles.
type pendingSave struct {
	id                 uint64
	watermarks         map[*subscriptionState]uint64
	putChunks          []ChunkKey
	deletedChunks      []ChunkKey
	putDeadLetters     map[*subscriptionState]int
	deletedDeadLetters map[*subscriptionState]int
}

// New returns an outbox that knows of nothing settled.
func New(cfg Config) *Outbox {
	o := &Outbox{cfg: cfg, subscriptions: map[string]*subscriptionState{}, receivers: map[string]*receiverState{}, inFlight: map[uint64]*jobQueue{}}
	for _, r := range cfg.Receivers {
		o.receivers[r.Name] = &receiverState{Receiver: r, tokens: max(r.PerSecond, 1), sendingStartsAt: cfg.TermStart + r.MaxMessageAge}
	}
	for _, s := range cfg.Subscriptions {
		state := &subscriptionState{
			Subscription: s, receiver: o.receivers[s.Receiver], settled: map[uint64]*roaring.Bitmap{}, unsettled: map[uint64]int{}, buffered: map[string]bool{},
			queues: map[string]*jobQueue{}, dirtyChunks: map[uint64]bool{}, storedChunks: map[uint64]bool{},
			deadLetters: map[string]DeadLetter{}, sendAfterSave: map[string]*jobQueue{},
		}
		o.subscriptions[s.Name] = state
		o.subscriptionsInOrder = append(o.subscriptionsInOrder, state)
	}
	return o
}

// LoadMark takes over a subscription's mark, as it was written.
func (o *Outbox) LoadWatermark(m Watermark) {
	if s := o.subscriptions[m.Subscription]; s != nil {
		s.watermark, s.savedWatermark, s.loadedThrough = m.Revision, m.Revision, m.Revision
	}
}

// From is the revision up to which all is settled of every subscription: what
// is older need not be told.
func (o *Outbox) MinWatermark() uint64 {
	lowest := uint64(math.MaxUint64)
	for _, s := range o.subscriptionsInOrder {
		lowest = min(lowest, s.watermark)
	}
	return lowest
}

// LoadChunk takes over a part of a subscription's bitmap, as it was written.
func (o *Outbox) LoadChunk(c Chunk) error {
	s := o.subscriptions[c.Subscription]
	if s == nil {
		return nil // a subscription that is no more
	}
	b, err := base64.StdEncoding.DecodeString(c.Bitmap)
	if err != nil {
		return fmt.Errorf("settled of %s: %w", c.Subscription, err)
	}
	bm := roaring.New()
	if err := bm.UnmarshalBinary(b); err != nil {
		return fmt.Errorf("settled of %s: %w", c.Subscription, err)
	}
	s.settled[c.Chunk], s.storedChunks[c.Chunk] = bm, true
	return nil
}

// LoadDead takes over a dead letter, as it was written.
func (o *Outbox) LoadDeadLetter(d DeadLetter) {
	if s := o.subscriptions[d.Subscription]; s != nil {
		s.deadLetters[eventID(&d.Event)] = d
	}
}

// Dead lists the dead letters of a subscription.
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

// Retry has a dead letter sent again, behind what its job's lane holds; false if
// there is none, it is on its way, or its record is not written yet. Drop forgets one.
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

// Drop forgets a dead letter.
func (o *Outbox) DeleteDeadLetter(name, job string, kind Kind) bool {
	e := Event{Job: job, Kind: kind}
	s := o.subscriptions[name]
	if s == nil || s.buffered[eventID(&e)] || s.deadLetterUnsaved(&e) {
		return false
	}
	return s.deleteDeadLetter(&e)
}

// unwritten reports whether a dead letter's record is still to be written.
func (s *subscriptionState) deadLetterUnsaved(e *Event) bool {
	return slices.ContainsFunc(s.deadLettersToPut, func(d DeadLetter) bool { return d.Event.Job == e.Job && d.Event.Kind == e.Kind })
}

// revive ends a dead letter's record.
func (s *subscriptionState) deleteDeadLetter(e *Event) bool {
	d, ok := s.deadLetters[eventID(e)]
	if ok {
		delete(s.deadLetters, eventID(e))
		s.deadLettersToDelete = append(s.deadLettersToDelete, d)
	}
	return ok
}

func (s *subscriptionState) isSettled(rev uint64) bool {
	if rev <= s.watermark {
		return true
	}
	bm := s.settled[rev/ChunkSize]
	return bm != nil && bm.Contains(uint32(rev%ChunkSize))
}

// Event takes an event that is new. Events come in the order of their
// revisions, and all of one revision before Complete.
func (o *Outbox) HandleEvent(now core.Micros, e Event) {
	for _, s := range o.subscriptionsInOrder {
		if !s.matches(&e) {
			continue
		}
		// A revision is taken whole or left out whole: it is settled once all that
		// was taken of it is.
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

// Complete says that every event up to a revision has come.
func (o *Outbox) HandleEventsComplete(rev uint64) {
	for _, s := range o.subscriptionsInOrder {
		if !s.overflowed {
			s.loadedThrough = max(s.loadedThrough, rev)
			s.advanceWatermark()
		}
	}
}

// Events is the answer to Page: the subscription's events after the revision
// that was asked for, in order; upTo is the last revision that they cover.
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

func eventID(e *Event) string { return e.Job + "/" + e.Kind.String() }

// take holds an event unless it is settled or held.
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

// lane puts an event into its job's lane, in the order of revisions and kinds,
// but behind one that is on its way.
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

// settle ends the lane's first event.
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

// count counts an event as settled.
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

// close settles a revision.
func (s *subscriptionState) settleRevision(rev uint64) {
	delete(s.unsettled, rev)
	c := rev / ChunkSize
	if s.settled[c] == nil {
		s.settled[c] = roaring.New()
	}
	s.settled[c].Add(uint32(rev % ChunkSize))
	s.dirtyChunks[c] = true
}

// advance moves the mark up to before the first event that is not settled.
func (s *subscriptionState) advanceWatermark() {
	s.awaitingComplete = slices.DeleteFunc(s.awaitingComplete, func(rev uint64) bool {
		if n, ok := s.unsettled[rev]; rev > s.loadedThrough || ok && n > 0 {
			return ok && n > 0 // it is open again, and comes back here
		}
		s.settleRevision(rev)
		return true
	})
	for len(s.revisionHeap) > 0 && s.unsettled[s.revisionHeap[0]] == 0 && s.revisionHeap[0] <= s.loadedThrough {
		heap.Pop(&s.revisionHeap)
	}
	to := s.loadedThrough
	if len(s.revisionHeap) > 0 {
		to = min(to, s.revisionHeap[0]-1)
	}
	s.watermark = max(s.watermark, to)
	for c, bm := range s.settled {
		if c*ChunkSize+uint64(bm.Maximum()) <= s.watermark {
			delete(s.settled, c)
			delete(s.dirtyChunks, c)
		}
	}
}

// Step returns what is to be done now. wall is the time of day.
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

// send sends what is due of a subscription, as far as its receiver's limits go.
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

// claim puts the lane's first event aside, to be sent once that is written.
func (o *Outbox) deadLetterBeforeSend(q *jobQueue) {
	s, e := q.sub, &q.events[0]
	s.addDeadLetter(&e.Event, "it is sent once at most, and it is not known whether it was delivered")
	s.settleEvent(&e.Event)
	e.settled, q.busy = true, true
	s.sendAfterSave[eventID(&e.Event)] = q
}

func (s *subscriptionState) addDeadLetter(e *Event, reason string) {
	d := DeadLetter{Subscription: s.Name, Event: *e, Reason: reason}
	s.deadLetters[eventID(e)] = d
	s.deadLettersToPut = append(s.deadLettersToPut, d)
}

// admit takes one attempt from the receiver's limits.
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

// Sent is the result of Send. after is when the receiver wants to be asked
// again, 0 if it does not say.
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
		o.removeFirst(now, q) // it stays aside
	default:
		if out == Unknown {
			q.possiblyDelivered = true
			after = max(after, q.sub.receiver.MaxMessageAge)
		}
		q.nextAttemptAt = now + max(o.retryDelay(q), after)
		heap.Push(&q.sub.ready, q)
	}
}

// putAside settles the lane's first event as a dead letter.
func (o *Outbox) deadLetterFirst(now core.Micros, q *jobQueue, reason string) {
	q.sub.addDeadLetter(&q.events[0].Event, reason)
	o.removeFirst(now, q)
}

// pause is how long a lane waits after a failed attempt: doubled each time, and
// spread by its key, so that not all come back at once.
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

// save writes what has been settled since the last write, once in a while.
//
// What is put aside is settled with its own record or after it.
func (o *Outbox) saveDue(now core.Micros) {
	for _, s := range o.subscriptionsInOrder {
		if len(s.dirtyChunks) == 0 {
			s.dirtySince = now
		}
	}
	if now < o.nextSave(now) {
		return
	}
	o.nextID++
	pending := &pendingSave{id: o.nextID, watermarks: map[*subscriptionState]uint64{}, putDeadLetters: map[*subscriptionState]int{}, deletedDeadLetters: map[*subscriptionState]int{}}
	a := Save{ID: pending.id}
	marks := 0
	room := func() bool {
		return marks+len(a.DeleteChunks)+len(a.PutChunks)+len(a.PutDeadLetters)+len(a.DeleteDeadLetters) < o.cfg.MaxOpsPerSave
	}
	for _, s := range o.subscriptionsInOrder {
		for i := 0; i < len(s.deadLettersToPut) && room(); i++ {
			a.PutDeadLetters = append(a.PutDeadLetters, s.deadLettersToPut[i])
			pending.putDeadLetters[s]++
		}
		if marks == 0 && s.watermark > s.savedWatermark && room() {
			marks = 1
		}
	}
	if marks > 0 {
		for _, s := range o.subscriptionsInOrder {
			// A mark does not pass what is put aside and not written yet.
			to := s.watermark
			if pending.putDeadLetters[s] < len(s.deadLettersToPut) {
				to = s.savedWatermark
			}
			a.Watermarks = append(a.Watermarks, Watermark{s.Name, to})
			pending.watermarks[s] = to
		}
	}
	for _, s := range o.subscriptionsInOrder {
		// If not all that is put aside did fit, there is no room for this either.
		for _, c := range sortedKeys(s.dirtyChunks) {
			if !room() || now-s.dirtySince < o.cfg.ChunkSaveDelay {
				break
			}
			b, err := s.settled[c].ToBytes()
			if err != nil {
				continue // into memory: it does not fail
			}
			state := ChunkKey{s.Name, c}
			a.PutChunks = append(a.PutChunks, Chunk{state, base64.StdEncoding.EncodeToString(b)})
			pending.putChunks = append(pending.putChunks, state)
			delete(s.dirtyChunks, c)
		}
		to := max(s.savedWatermark, pending.watermarks[s]) // what is the mark once this is written
		for _, c := range sortedKeys(s.storedChunks) {
			if s.settled[c] == nil && to >= s.watermark && room() {
				a.DeleteChunks = append(a.DeleteChunks, ChunkKey{s.Name, c})
				pending.deletedChunks = append(pending.deletedChunks, ChunkKey{s.Name, c})
			}
		}
		// A record of what is put aside goes only when that is written as settled:
		// nothing else would say so to the next leader.
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

// saveDue is when there is next something to write, given what is known now.
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
		case len(s.dirtyChunks) > 0:
			at = min(at, max(o.nextSaveAt, s.dirtySince+o.cfg.ChunkSaveDelay, now))
		}
	}
	return at
}

// passed reports whether a bitmap has a record that the mark has passed.
func (s *subscriptionState) hasObsoleteChunk() bool {
	for c := range s.storedChunks {
		if s.settled[c] == nil {
			return true
		}
	}
	return false
}

// written reports whether a revision is written as settled, given the mark.
func (s *subscriptionState) settlementSaved(rev, watermark uint64) bool {
	if rev <= watermark {
		return true
	}
	c := rev / ChunkSize
	return s.settled[c] != nil && s.settled[c].Contains(uint32(rev%ChunkSize)) && !s.dirtyChunks[c]
}

func sortedKeys(m map[uint64]bool) []uint64 {
	out := make([]uint64, 0, len(m))
	for state := range m {
		out = append(out, state)
	}
	slices.Sort(out)
	return out
}

// Saved is the result of Save. What was not stored, or may not have been, is
// written again: the records say the same whoever writes them twice.
func (o *Outbox) HandleSaveResult(now core.Micros, save uint64, ok bool) {
	pending := o.pendingSave
	if pending == nil || pending.id != save {
		return
	}
	o.pendingSave = nil
	if !ok {
		for _, state := range pending.putChunks {
			if s := o.subscriptions[state.Subscription]; s.settled[state.Chunk] != nil {
				s.dirtyChunks[state.Chunk] = true
			}
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
	for _, state := range pending.putChunks {
		o.subscriptions[state.Subscription].storedChunks[state.Chunk] = true
	}
	for _, state := range pending.deletedChunks {
		delete(o.subscriptions[state.Subscription].storedChunks, state.Chunk)
	}
}

// Wake is when Step is wanted next if nothing happens before.
func (o *Outbox) NextStepAt(now core.Micros) core.Micros {
	at := o.nextSave(now)
	for _, s := range o.subscriptionsInOrder {
		if len(s.ready) > 0 {
			next := max(s.ready[0].nextAttemptAt, s.receiver.sendingStartsAt)
			if r := s.receiver; next <= now {
				// Its receiver's limits hold it: in flight is an event, tokens come.
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

// Undelivered counts a subscription's events that are held, and says whether
// there are more that are not.
func (o *Outbox) Undelivered(name string) (buffered int, more bool) {
	s := o.subscriptions[name]
	if s == nil {
		return 0, false
	}
	return len(s.buffered), s.overflowed
}

// revisions is a heap of revisions, the lowest first.
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

// lanes is a heap of lanes that wait, the first due first.
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
