package notify

import (
	"math"

	"github.com/RoaringBitmap/roaring/v2"

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
	otherWatermarks      []Watermark // of subscriptions that the settings do not have
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

// LoadWatermark restores a subscription's stored watermark. That of a subscription which the settings
// do not have is kept as it is: another node may have it in its settings while these are rolled out.
func (o *Outbox) LoadWatermark(m Watermark) {
	s := o.subscriptions[m.Subscription]
	if s == nil {
		o.otherWatermarks = append(o.otherWatermarks, m)
		return
	}
	s.watermark, s.savedWatermark, s.loadedThrough = m.Revision, m.Revision, m.Revision
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
