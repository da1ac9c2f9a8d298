package notify

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"aspenstall/internal/core"
)

var longRun = flag.Bool("long", false, "run the outbox fault scenarios with more events and seeds")

// fakeReceiver records the effects of the notifications that a receiver accepted.
type fakeReceiver struct {
	deduplicates bool                // a notification with a known key has no second effect
	seenKeys     map[string]bool     // idempotency keys
	effects      map[string]int      // by subscription, job and kind
	order        map[string][]uint64 // by subscription and job: revisions and kinds as received
}

// receive applies a notification.
func (b *fakeReceiver) receive(a Send) {
	if b.deduplicates && b.seenKeys[a.Key] {
		return
	}
	b.seenKeys[a.Key] = true
	b.effects[a.Subscription+"/"+eventID(&a.Event)]++
	k := a.Subscription + "/" + a.Event.Job
	b.order[k] = append(b.order[k], a.Event.Revision*uint64(kindCount)+uint64(a.Event.Kind))
}

// fakeStore holds the records of the state service.
type fakeStore struct {
	events      []Event // ordered by revision
	watermarks  map[string]uint64
	chunks      map[ChunkKey]Chunk
	deadLetters map[string]DeadLetter
	maxOps      int // largest number of operations in one write
}

// write stores the changes of a Save.
func (r *fakeStore) write(a Save) {
	for _, m := range a.Watermarks {
		r.watermarks[m.Subscription] = max(r.watermarks[m.Subscription], m.Revision)
	}
	for _, c := range a.PutChunks {
		r.chunks[c.ChunkKey] = c
	}
	for _, k := range a.DeleteChunks {
		delete(r.chunks, k)
	}
	for _, d := range a.PutDeadLetters {
		r.deadLetters[d.Subscription+"/"+eventID(&d.Event)] = d
	}
	for _, d := range a.DeleteDeadLetters {
		delete(r.deadLetters, d.Subscription+"/"+eventID(&d.Event))
	}
	r.maxOps = max(r.maxOps, min(len(a.Watermarks), 1)+len(a.PutChunks)+len(a.DeleteChunks)+len(a.PutDeadLetters)+len(a.DeleteDeadLetters))
}

// load passes the stored records and events to a new outbox.
func (r *fakeStore) load(t *testing.T, o *Outbox, now core.Micros) {
	t.Helper()
	for s, to := range r.watermarks {
		o.LoadWatermark(Watermark{s, to})
	}
	for _, c := range r.chunks {
		if err := o.LoadChunk(c); err != nil {
			t.Fatal(err)
		}
	}
	for _, d := range r.deadLetters {
		o.LoadDeadLetter(d)
	}
	for _, e := range r.events {
		o.HandleEvent(now, e)
	}
	if n := len(r.events); n > 0 {
		o.HandleEventsComplete(r.events[n-1].Revision)
	}
}

// fetch returns the result of a FetchEvents.
func (r *fakeStore) fetch(a FetchEvents) (events []Event, upTo uint64, all bool) {
	i, _ := slices.BinarySearchFunc(r.events, a.After+1, func(e Event, rev uint64) int {
		if e.Revision < rev {
			return -1
		}
		return 1
	})
	all = true
	for _, e := range r.events[i:] {
		if len(events) >= max(a.Limit, 1) && e.Revision != upTo {
			return events, upTo, false
		}
		events, upTo = append(events, e), e.Revision
	}
	if upTo == 0 {
		upTo = a.After
	}
	return events, upTo, all
}

// scenario runs a sequence of outboxes, each ended at a random time by a change of leader, with
// receivers whose replies are lost and a state service whose writes and answers are lost.
type scenario struct {
	t         *testing.T
	rng       *rand.Rand
	cfg       Config
	outbox    *Outbox
	store     *fakeStore
	receivers map[string]*fakeReceiver // by name
	now       core.Micros
	pending   []func() // operations in progress, completed in random order
	term      int
	restarts  int
	revision  uint64
}

// newScenario returns a scenario with a subscription and receiver for each kind of guarantee.
func newScenario(t *testing.T, seed uint64) *scenario {
	sc := &scenario{
		t: t, rng: rand.New(rand.NewPCG(seed, 5)), now: core.Second, receivers: map[string]*fakeReceiver{},
		store: &fakeStore{watermarks: map[string]uint64{}, chunks: map[ChunkKey]Chunk{}, deadLetters: map[string]DeadLetter{}},
	}
	all := []Kind{Accepted, Started, Done, Cancelled}
	for i, p := range []DeliveryGuarantee{ExactlyOnce, AtLeastOnce, AtMostOnce, ExactlyOnce, ExactlyOnce} {
		receiverName := fmt.Sprintf("r%d", i)
		sc.cfg.Receivers = append(sc.cfg.Receivers, Receiver{Name: receiverName, MaxInFlight: 1 + 3*i, PerSecond: float64(40 * i)})
		s := Subscription{Name: fmt.Sprintf("s%d", i), Receiver: receiverName, Kinds: all, DeliveryGuarantee: p}
		if i == 3 {
			s.Team, s.Kinds = "blue", []Kind{Done}
		}
		sc.cfg.Subscriptions = append(sc.cfg.Subscriptions, s)
		if i == 4 {
			sc.cfg.Receivers[i].MaxMessageAge = 5 * core.Second
		}
		sc.receivers[receiverName] = &fakeReceiver{deduplicates: p == ExactlyOnce && i != 4, seenKeys: map[string]bool{}, effects: map[string]int{}, order: map[string][]uint64{}}
	}
	sc.cfg.MaxBuffered, sc.cfg.MinSaveInterval, sc.cfg.MaxOpsPerSave = 50, core.Second, 5
	sc.cfg.ChunkSaveDelay = 2 * core.Second
	sc.cfg.MaxChunkBytes = int(seed%2) * 60 // so that every other seed stores halves of chunks, too
	sc.cfg.InitialBackoff, sc.cfg.MaxBackoff = core.Second/2, 20*core.Second
	sc.cfg.TermStart = sc.now
	sc.outbox = New(sc.cfg)
	return sc
}

// maxMessageAge returns the MaxMessageAge of a subscription's receiver.
func (sc *scenario) maxMessageAge(sub string) core.Micros {
	i := slices.IndexFunc(sc.cfg.Subscriptions, func(s Subscription) bool { return s.Name == sub })
	return sc.cfg.Receivers[i].MaxMessageAge
}

// receiver returns a subscription's receiver.
func (sc *scenario) receiver(sub string) *fakeReceiver {
	for _, s := range sc.cfg.Subscriptions {
		if s.Name == sub {
			return sc.receivers[s.Receiver]
		}
	}
	return nil
}

// alwaysRejects reports whether the receiver rejects an event permanently.
func (sc *scenario) alwaysRejects(sub string, e *Event) bool {
	return sub == "s3" && e.Job[len(e.Job)-1] == '4'
}

// execute starts the actions of the outbox. Actions of an outbox that has ended are still
// completed, but their results are discarded.
func (sc *scenario) execute(actions []Action) {
	for _, a := range actions {
		o, term := sc.outbox, sc.term
		later := func(f func()) { sc.pending = append(sc.pending, f) }
		ifCurrent := func(f func()) {
			if term == sc.term {
				f()
			}
		}
		switch a := a.(type) {
		case Send:
			later(func() { sc.attempt(o, term, a) })
		case Save:
			later(func() {
				// The writes of a leader whose term is over are rejected.
				if term != sc.term {
					return
				}
				p := sc.rng.Float64()
				if p < 0.85 {
					sc.store.write(a)
				}
				o.HandleSaveResult(sc.now, a.ID, p < 0.7)
			})
		case FetchEvents:
			later(func() {
				ifCurrent(func() {
					events, upTo, all := sc.store.fetch(a)
					o.HandleFetchedEvents(sc.now, a.Subscription, events, upTo, all)
				})
			})
		}
	}
}

// attempt makes a delivery attempt for the outbox of a term. A receiver with a limit on the age of
// messages is asked first if needed, which may fail; another part of its answers is late.
func (sc *scenario) attempt(o *Outbox, term int, a Send) {
	result := func(out Outcome, after core.Micros) {
		if term == sc.term {
			o.HandleSendResult(sc.now, a.ID, out, after)
		}
	}
	b, limit := sc.receiver(a.Subscription), sc.maxMessageAge(a.Subscription)
	p := sc.rng.Float64()
	switch asks := limit > 0 && a.PossiblyDelivered; {
	case p < 0.05: // the breaker is open, or the lease lapses
		result(NotAttempted, 0)
		return
	case asks && p < 0.30: // the question is refused, or its answer is lost
		result(NotAttempted, core.Second)
		return
	case asks && b.seenKeys[a.Key]:
		result(Delivered, 0)
		return
	case !asks || p < 0.80:
		sc.post(result, term, a)
		return
	}
	sc.pending = append(sc.pending, func() { sc.post(result, term, a) })
}

// post sends the notification of an attempt, unless its term is over.
func (sc *scenario) post(result func(Outcome, core.Micros), term int, a Send) {
	if term != sc.term {
		return
	}
	b, limit, sent := sc.receiver(a.Subscription), sc.maxMessageAge(a.Subscription), sc.now
	// A receiver that does not deduplicate rejects messages that were sent too long ago.
	effect := func() {
		if limit == 0 || sc.now-sent <= limit {
			b.receive(a)
		}
	}
	later := func(f func()) { sc.pending = append(sc.pending, f) }
	later(func() {
		if limit > 0 && sc.now-sent > limit {
			result(NotDelivered, 0)
			return
		}
		p := sc.rng.Float64()
		if limit > 0 && sc.rng.IntN(3) == 0 {
			p = 0.87 // more often delivered late
		}
		switch {
		case sc.alwaysRejects(a.Subscription, &a.Event):
			result(Rejected, 0)
		case p < 0.75: // takes effect, and the reply arrives
			effect()
			result(Delivered, 0)
		case p < 0.85: // takes effect, and the reply is lost
			effect()
			result(Unknown, 0)
		case p < 0.90: // takes effect long after the attempt was given up
			result(Unknown, 0)
			later(effect)
		case p < 0.95: // is lost
			result(Unknown, 0)
		default:
			result(NotDelivered, 2*core.Second)
		}
	})
}

// advance moves the time forward by 0.1 s, sometimes with new events.
func (sc *scenario) advance() {
	sc.now += core.Second / 10
	if sc.rng.IntN(4) == 0 {
		sc.revision += uint64(1 + sc.rng.IntN(30))
		for range 1 + sc.rng.IntN(4) {
			job := fmt.Sprintf("job-%06d", len(sc.store.events)/2)
			team := []string{"blue", "green"}[len(sc.store.events)/2%2]
			kind := Accepted
			if len(sc.store.events)%2 == 1 {
				kind = Done
			}
			e := Event{Job: job, Team: team, Class: "c", Kind: kind, Revision: sc.revision, At: sc.now}
			sc.store.events = append(sc.store.events, e)
			sc.outbox.HandleEvent(sc.now, e)
			if sc.rng.IntN(4) == 0 {
				sc.runPending() // these events may be sent before the rest of the revision arrives
			}
		}
		sc.outbox.HandleEventsComplete(sc.revision)
	}
	sc.runPending()
}

// runPending executes a step of the outbox, and completes a random part of the pending operations.
func (sc *scenario) runPending() {
	sc.execute(sc.outbox.Step(sc.now, sc.now))
	sc.rng.Shuffle(len(sc.pending), func(i, k int) { sc.pending[i], sc.pending[k] = sc.pending[k], sc.pending[i] })
	n := len(sc.pending)
	if n > 0 {
		n = sc.rng.IntN(n + 1)
	}
	run := sc.pending[:n:n]
	sc.pending = sc.pending[n:]
	for _, f := range run {
		f()
	}
}

// restart ends the leader; a new one loads the stored records.
func (sc *scenario) restart() {
	sc.restarts++
	sc.term++
	sc.cfg.TermStart = sc.now
	sc.outbox = New(sc.cfg)
	sc.store.load(sc.t, sc.outbox, sc.now)
}

// While the leader changes repeatedly and replies and writes are lost, each event takes effect
// exactly once, at least once or at most once, as its subscription's guarantee says. With
// ExactlyOnce, a job's events arrive in order. In the end, all bitmaps have been deleted.
func TestOutboxUnderFaults(t *testing.T) {
	events, seeds := 2000, uint64(4)
	if *longRun {
		events, seeds = 10_000, 5
	}
	for seed := range seeds {
		if restarts := playOutboxScenario(t, seed, events); restarts < 50 {
			t.Errorf("seed %d: the leader changed only %d times", seed, restarts)
		}
	}
	// Short scenarios with many seeds: what a leader does not know of an earlier one's deliveries is
	// settled by the receiver's answer alone.
	for seed := range uint64(500) {
		playOutboxScenario(t, 1000+seed, 40)
	}
}

// playOutboxScenario plays a scenario with a number of events, and checks the effects. It returns how
// often the leader changed.
func playOutboxScenario(t *testing.T, seed uint64, events int) (restarts int) {
	t.Helper()
	sc := newScenario(t, seed)
	for len(sc.store.events) < events {
		sc.advance()
		if sc.rng.IntN(40) == 0 {
			sc.restart()
		}
	}
	for range 400_000 {
		sc.now += core.Second / 10
		sc.runPending()
		if sc.idle() {
			break
		}
	}
	sc.check(seed)
	return sc.restarts
}

// idle reports whether nothing is left to be done.
func (sc *scenario) idle() bool {
	for _, s := range sc.cfg.Subscriptions {
		if buffered, more := sc.outbox.Undelivered(s.Name); buffered != 0 || more {
			return false
		}
	}
	return len(sc.pending) == 0 && len(sc.store.chunks) == 0 && sc.outbox.NextStepAt(sc.now) == core.MaxMicros
}

// check reports each event whose effects differ from what its subscription promises, and what is left
// of the outbox's records.
func (sc *scenario) check(seed uint64) {
	t := sc.t
	t.Helper()
	wrong := 0
	for _, s := range sc.cfg.Subscriptions {
		b := sc.receiver(s.Name)
		for i := range sc.store.events {
			e := &sc.store.events[i]
			if !s.matches(e) {
				continue
			}
			k := s.Name + "/" + eventID(e)
			n := b.effects[k]
			_, isDeadLetter := sc.store.deadLetters[k]
			if sc.alwaysRejects(s.Name, e) {
				if n != 0 || !isDeadLetter {
					t.Errorf("seed %d: %s, which its receiver rejects: %d effects, dead letter %v", seed, k, n, isDeadLetter)
				}
				continue
			}
			bad := s.DeliveryGuarantee == ExactlyOnce && (n != 1 || isDeadLetter) || s.DeliveryGuarantee == AtLeastOnce && n < 1 || s.DeliveryGuarantee == AtMostOnce && (n > 1 || n == 0 && !isDeadLetter)
			if bad && wrong < 5 {
				wrong++
				t.Errorf("seed %d: %s: %d effects, dead letter %v", seed, k, n, isDeadLetter)
			}
		}
		if s.DeliveryGuarantee == ExactlyOnce {
			for job, revs := range b.order {
				if !slices.IsSorted(revs) {
					t.Errorf("seed %d: events of %s arrived in the order %v", seed, job, revs)
				}
			}
		}
		if buffered, more := sc.outbox.Undelivered(s.Name); buffered != 0 || more {
			t.Errorf("seed %d: %s has %d undelivered events, more %v", seed, s.Name, buffered, more)
		}
	}
	if len(sc.store.chunks) > 0 {
		t.Errorf("seed %d: %d chunks are left in the store", seed, len(sc.store.chunks))
	}
	if sc.store.maxOps > sc.cfg.MaxOpsPerSave {
		t.Errorf("seed %d: a write had %d operations", seed, sc.store.maxOps)
	}
}

// A failed write is repeated, and its changes count as stored only once it succeeds.
func TestFailedSaveIsRetried(t *testing.T) {
	o := New(Config{
		Subscriptions: []Subscription{{Name: "s", Receiver: "r", Kinds: []Kind{Done}}}, Receivers: []Receiver{{Name: "r"}}, MaxBuffered: 10, MaxOpsPerSave: 10,
		InitialBackoff: core.Second, MaxBackoff: core.Second,
	})
	now := core.Second
	for rev := uint64(5); rev <= 6; rev++ {
		o.HandleEvent(now, Event{Job: fmt.Sprint(rev), Kind: Done, Revision: rev})
	}
	o.HandleEventsComplete(6)
	actions := o.Step(now, now)
	o.HandleSaveResult(now, actions[2].(Save).ID, true)         // the watermark 4
	o.HandleSendResult(now, actions[1].(Send).ID, Delivered, 0) // the later event; the watermark stays below 5
	save := func() Save {
		t.Helper()
		now += 2 * core.Second
		for _, a := range o.Step(now, now) {
			if a, ok := a.(Save); ok {
				return a
			}
		}
		t.Fatal("no Save action")
		return Save{}
	}
	first := save()
	o.HandleSaveResult(now, first.ID, false)
	again := save()
	if len(again.PutChunks) != 1 || again.PutChunks[0] != first.PutChunks[0] || len(again.Watermarks) != 0 {
		t.Errorf("first write %+v, repeated as %+v", first, again)
	}
	o.HandleSaveResult(now, again.ID, true)
	o.HandleSendResult(now, actions[0].(Send).ID, Delivered, 0)
	last := save()
	if len(last.DeleteChunks) != 1 || last.Watermarks[0].Revision != 6 {
		t.Errorf("last write %+v, want a deleted chunk and the watermark 6", last)
	}
}

// A leader with earlier settings keeps the watermark of a subscription that they do not have. Without
// it, what happened while it led would never be sent once a leader has the subscription again.
func TestOtherWatermarksAreKept(t *testing.T) {
	o := New(Config{
		Subscriptions: []Subscription{{Name: "s", Receiver: "r", Kinds: []Kind{Done}}}, Receivers: []Receiver{{Name: "r"}}, MaxBuffered: 10, MaxOpsPerSave: 10,
	})
	o.LoadWatermark(Watermark{"s", 4})
	o.LoadWatermark(Watermark{"added", 3})
	o.HandleEventsComplete(9)
	saved := map[string]uint64{}
	for _, a := range o.Step(core.Second, core.Second) {
		if a, ok := a.(Save); ok {
			for _, m := range a.Watermarks {
				saved[m.Subscription] = m.Revision
			}
		}
	}
	if saved["s"] != 9 || saved["added"] != 3 || len(saved) != 2 {
		t.Errorf("saved watermarks %v", saved)
	}
}

// The limits of one receiver do not delay another one. The delay after failed attempts grows
// exponentially, and is at least the one that the receiver requests.
func TestReceiverLimitsAndBackoff(t *testing.T) {
	o := New(Config{
		Subscriptions: []Subscription{{Name: "slow", Receiver: "one", Kinds: []Kind{Done}}, {Name: "fast", Receiver: "rated", Kinds: []Kind{Done}}},
		Receivers:     []Receiver{{Name: "one", MaxInFlight: 1}, {Name: "rated", PerSecond: 4}},
		MaxBuffered:   100, MaxOpsPerSave: 10, InitialBackoff: core.Second, MaxBackoff: 8 * core.Second,
	})
	now := 10 * core.Second
	for rev := uint64(1); rev <= 12; rev++ {
		o.HandleEvent(now, Event{Job: fmt.Sprint(rev), Kind: Done, Revision: rev, At: now})
	}
	o.HandleEventsComplete(12)
	sent := func() (slow, fast []Send) {
		for _, a := range o.Step(now, now) {
			if a, ok := a.(Send); ok && a.Subscription == "slow" {
				slow = append(slow, a)
			} else if ok {
				fast = append(fast, a)
			}
		}
		return slow, fast
	}
	slow, fast := sent()
	if len(slow) != 1 || len(fast) != 4 {
		t.Fatalf("%d and %d sends in the first step, want 1 and 4", len(slow), len(fast))
	}
	if w := o.NextStepAt(now); w != now+core.Second/4 {
		t.Errorf("next step after %d us, want 250000", w-now)
	}
	now += core.Second
	if slow, fast := sent(); len(slow) != 0 || len(fast) != 4 {
		t.Errorf("%d and %d sends a second later, want 0 and 4", len(slow), len(fast))
	}
	// The first event of the slow receiver fails repeatedly; the others are sent meanwhile.
	var gaps []core.Micros
	first, since := slow[0], now
	o.HandleSendResult(now, first.ID, Unknown, 0)
	for len(gaps) < 6 {
		now += core.Second / 20
		slow, _ := sent()
		for _, a := range slow {
			if a.Event.Job != first.Event.Job {
				o.HandleSendResult(now, a.ID, Delivered, 0)
				continue
			}
			if !a.PossiblyDelivered || a.Key != first.Key || a.Attempt != len(gaps)+2 {
				t.Errorf("retry %+v", a)
			}
			gaps = append(gaps, now-since)
			since = now
			o.HandleSendResult(now, a.ID, Unknown, 0)
		}
	}
	for i, g := range gaps {
		want := min(core.Second<<i, 8*core.Second)
		if g < want/2 || g > want*3/2+core.Second/10 {
			t.Errorf("delay %d is %d us, want about %d", i, g, want)
		}
	}
	// A longer delay that the receiver requests is observed.
	for {
		now += core.Second / 20
		if slow, _ := sent(); len(slow) == 1 {
			since = now
			o.HandleSendResult(now, slow[0].ID, NotDelivered, 60*core.Second)
			break
		}
	}
	for {
		now += core.Second / 20
		if slow, _ := sent(); len(slow) == 1 {
			if now-since < 60*core.Second {
				t.Errorf("retried after %d us, want at least 60 s", now-since)
			}
			break
		}
	}
}

// An event that is undelivered after its deadline becomes a dead letter, which is listed and can
// be retried or deleted.
func TestDeadLetters(t *testing.T) {
	o := New(Config{
		Subscriptions: []Subscription{{Name: "s", Receiver: "r", Kinds: []Kind{Done}, Deadline: 100 * core.Second}},
		Receivers:     []Receiver{{Name: "r", PerSecond: 4}}, MaxBuffered: 100, MaxOpsPerSave: 50, InitialBackoff: core.Second, MaxBackoff: core.Second,
	})
	now := 10 * core.Second
	for rev := uint64(1); rev <= 12; rev++ {
		o.HandleEvent(now, Event{Job: fmt.Sprint(rev), Kind: Done, Revision: rev, At: now})
	}
	o.HandleEventsComplete(12)
	step := func() (sends []Send) {
		for _, a := range o.Step(now, now) {
			switch a := a.(type) {
			case Send:
				sends = append(sends, a)
			case Save:
				o.HandleSaveResult(now, a.ID, true)
			}
		}
		return sends
	}
	if sends := step(); len(sends) != 4 {
		t.Fatalf("%d sent, want 4", len(sends))
	}
	now += 200 * core.Second
	o.pendingSave = &pendingSave{} // with a write in progress, no other one starts
	o.sendDue(now, now, o.subscriptions["s"])
	dead := o.DeadLetters("s")
	if len(dead) != 8 {
		t.Fatalf("%d dead letters, want 8", len(dead))
	}
	if first := dead[0].Event; o.RetryDeadLetter(now, "s", first.Job, Done) || o.DeleteDeadLetter("s", first.Job, Done) {
		t.Error("an unsaved dead letter was retried or deleted")
	}
	o.pendingSave = nil
	step()
	again, deleted := dead[0].Event, dead[1].Event
	if !o.RetryDeadLetter(now, "s", again.Job, Done) || o.RetryDeadLetter(now, "s", again.Job, Done) || o.RetryDeadLetter(now, "s", "none", Done) {
		t.Error("RetryDeadLetter must succeed once, and fail for an unknown job")
	}
	if !o.DeleteDeadLetter("s", deleted.Job, Done) || len(o.DeadLetters("s")) != 7 {
		t.Error("DeleteDeadLetter did not delete the dead letter")
	}
	sends := step()
	if len(sends) != 1 || sends[0].Event.Job != again.Job {
		t.Fatalf("sent after the retry: %+v", sends)
	}
	o.HandleSendResult(now, sends[0].ID, Delivered, 0)
	if len(o.DeadLetters("s")) != 6 {
		t.Errorf("%d dead letters are left, want 6", len(o.DeadLetters("s")))
	}
}

// An event that is delivered before its revision is complete is not sent again when the buffer
// overflows in between and its revision is fetched again.
func TestBufferOverflow(t *testing.T) {
	o := New(Config{
		Subscriptions: []Subscription{{Name: "s", Receiver: "r", Kinds: []Kind{Done}, DeliveryGuarantee: AtLeastOnce}}, Receivers: []Receiver{{Name: "r"}}, MaxBuffered: 2, MaxOpsPerSave: 10,
		InitialBackoff: core.Second, MaxBackoff: core.Second,
	})
	now := core.Second
	event := func(rev uint64) Event { return Event{Job: fmt.Sprint(rev), Kind: Done, Revision: rev} }
	sent := map[string]int{}
	step := func() (page *FetchEvents) {
		now += core.Second / 10
		for _, a := range o.Step(now, now) {
			switch a := a.(type) {
			case Send:
				sent[a.Event.Job]++
				if a.Event.Job == "5" || a.Event.Job == "7" {
					o.HandleSendResult(now, a.ID, Delivered, 0)
				}
			case Save:
				o.HandleSaveResult(now, a.ID, true)
			case FetchEvents:
				page = &a
			}
		}
		return page
	}
	for rev := uint64(4); rev <= 7; rev++ {
		o.HandleEvent(now, event(rev))
		step()
	}
	if buffered, more := o.Undelivered("s"); buffered != 2 || !more {
		t.Fatalf("%d undelivered events, more %v; want 2, true", buffered, more)
	}
	o.setFetching("s")
	o.HandleFetchedEvents(now, "s", []Event{event(4), event(5), event(6), event(7)}, 7, true)
	step()
	for job, want := range map[string]int{"4": 1, "5": 1, "6": 1, "7": 1} {
		if sent[job] != want {
			t.Errorf("event of job %s was sent %d times", job, sent[job])
		}
	}
}

// setFetching marks a FetchEvents of a subscription as in progress.
func (o *Outbox) setFetching(sub string) { o.subscriptions[sub].fetching = true }

// A dead letter that cannot be deleted yet does not make the next step due: its event must be
// stored as settled first. Otherwise the node would step in a busy loop until then.
func TestNextStepWaitsForSave(t *testing.T) {
	o := New(Config{
		Subscriptions: []Subscription{{Name: "s", Receiver: "r", Kinds: []Kind{Done}, DeliveryGuarantee: AtMostOnce}}, Receivers: []Receiver{{Name: "r"}}, MaxBuffered: 10, MaxOpsPerSave: 10,
		MinSaveInterval: core.Second, ChunkSaveDelay: 15 * core.Second, InitialBackoff: 100 * core.Second, MaxBackoff: 100 * core.Second,
	})
	now := core.Second
	o.HandleEvent(now, Event{Job: "1", Kind: Done, Revision: 5})
	o.HandleEvent(now, Event{Job: "2", Kind: Done, Revision: 5})
	o.HandleEvent(now, Event{Job: "3", Kind: Done, Revision: 6})
	o.HandleEventsComplete(6)
	o.subscriptions["s"].unsettled[5]++ // one more unsettled event keeps the watermark below 5
	steps := 0
	for end := now + 10*core.Second; now < end && steps < 100; steps++ {
		actions := o.Step(now, now)
		for _, a := range actions {
			switch a := a.(type) {
			case Send:
				o.HandleSendResult(now, a.ID, Delivered, 0)
			case Save:
				o.HandleSaveResult(now, a.ID, true)
			}
		}
		if len(actions) == 0 { // results are events, which are followed by a step at once
			now = o.NextStepAt(now)
		}
	}
	if steps > 10 || len(o.subscriptions["s"].deadLettersToDelete) != 3 {
		t.Errorf("%d steps in ten seconds, %d dead letters to delete, want 3", steps, len(o.subscriptions["s"].deadLettersToDelete))
	}
}
