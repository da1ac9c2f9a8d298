package notify

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"aspenstall/internal/core"
)

var longRun = flag.Bool("long", false, "play the outbox's days with ten times as many events")

// book is what receivers did: it knows only keys and what was sent.
type fakeReceiver struct {
	deduplicates bool            // it keeps keys: a repetition has no effect
	seenKeys     map[string]bool // keys
	effects      map[string]int  // by subscription, job and kind
	order        map[string][]uint64
}

func (b *fakeReceiver) receive(a Send) {
	if b.deduplicates && b.seenKeys[a.Key] {
		return
	}
	b.seenKeys[a.Key] = true
	b.effects[a.Subscription+"/"+eventID(&a.Event)]++
	k := a.Subscription + "/" + a.Event.Job
	b.order[k] = append(b.order[k], a.Event.Revision*uint64(kindCount)+uint64(a.Event.Kind))
}

// records is what the state service holds.
type fakeStore struct {
	events      []Event // in order, those of one revision side by side
	watermarks  map[string]uint64
	chunks      map[ChunkKey]Chunk
	deadLetters map[string]DeadLetter
	maxOps      int // parts of one write
}

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

// day is one outbox after the other, each ended at some moment, with receivers
// that lose replies and state that loses answers.
type scenario struct {
	t         *testing.T
	rng       *rand.Rand
	cfg       Config
	outbox    *Outbox
	store     *fakeStore
	receivers map[string]*fakeReceiver // by receiver
	now       core.Micros
	pending   []func() // things under way, executed in any order
	term      int
	restarts  int
	revision  uint64
}

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
	sc.cfg.InitialBackoff, sc.cfg.MaxBackoff = core.Second/2, 20*core.Second
	sc.cfg.TermStart = sc.now
	sc.outbox = New(sc.cfg)
	return sc
}

func (sc *scenario) maxMessageAge(sub string) core.Micros {
	i := slices.IndexFunc(sc.cfg.Subscriptions, func(s Subscription) bool { return s.Name == sub })
	return sc.cfg.Receivers[i].MaxMessageAge
}

func (sc *scenario) receiver(sub string) *fakeReceiver {
	for _, s := range sc.cfg.Subscriptions {
		if s.Name == sub {
			return sc.receivers[s.Receiver]
		}
	}
	return nil
}

// poison reports whether the receiver never takes an event.
func (sc *scenario) alwaysRejects(sub string, e *Event) bool {
	return sub == "s3" && e.Job[len(e.Job)-1] == '4'
}

// do does what the outbox wants, in its own time; what belongs to an outbox that
// has ended goes on all the same, but is not heard of.
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
			sent := sc.now
			b, limit := sc.receiver(a.Subscription), sc.maxMessageAge(a.Subscription)
			// One that keeps no keys refuses what was sent too long ago.
			effect := func() {
				if limit == 0 || sc.now-sent <= limit {
					b.receive(a)
				}
			}
			later(func() {
				if limit > 0 && sc.now-sent > limit {
					ifCurrent(func() { o.HandleSendResult(sc.now, a.ID, NotDelivered, 0) })
					return
				}
				if limit > 0 && a.PossiblyDelivered && b.seenKeys[a.Key] {
					ifCurrent(func() { o.HandleSendResult(sc.now, a.ID, Delivered, 0) })
					return
				}
				p := sc.rng.Float64()
				if limit > 0 && sc.rng.IntN(3) == 0 {
					p = 0.87 // late, often
				}
				switch {
				case sc.alwaysRejects(a.Subscription, &a.Event):
					ifCurrent(func() { o.HandleSendResult(sc.now, a.ID, Rejected, 0) })
				case p < 0.75: // has its effect, and the reply comes
					effect()
					ifCurrent(func() { o.HandleSendResult(sc.now, a.ID, Delivered, 0) })
				case p < 0.85: // has its effect, and the reply is lost
					effect()
					ifCurrent(func() { o.HandleSendResult(sc.now, a.ID, Unknown, 0) })
				case p < 0.90: // has its effect long after it was given up
					ifCurrent(func() { o.HandleSendResult(sc.now, a.ID, Unknown, 0) })
					later(effect)
				case p < 0.95:
					ifCurrent(func() { o.HandleSendResult(sc.now, a.ID, Unknown, 0) })
				default:
					ifCurrent(func() { o.HandleSendResult(sc.now, a.ID, NotDelivered, 2*core.Second) })
				}
			})
		case Save:
			later(func() {
				// A leader that was deposed does not write: its term is over.
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

// step lets a tenth of a second go by.
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
				sc.runPending() // what came so far may be under way before the rest comes
			}
		}
		sc.outbox.HandleEventsComplete(sc.revision)
	}
	sc.runPending()
}

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

// end ends the leader; the next one reads what was written.
func (sc *scenario) restart() {
	sc.restarts++
	sc.term++
	sc.cfg.TermStart = sc.now
	sc.outbox = New(sc.cfg)
	sc.store.load(sc.t, sc.outbox, sc.now)
}

// Over days on which the leader ends again and again, replies are lost and
// writes are lost, each event has exactly one effect where the receiver keeps
// keys, at least one or at most one where it does not and the operator chose so;
// a job's events come in order; and in the end nothing is kept but the marks.
func TestOutboxUnderFaults(t *testing.T) {
	events, seeds := 2000, uint64(4)
	if *longRun {
		events, seeds = 10_000, 5
	}
	for seed := range seeds {
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
			if len(sc.pending) == 0 && len(sc.store.chunks) == 0 && sc.now > sc.outbox.NextStepAt(sc.now) && sc.outbox.NextStepAt(sc.now) == core.MaxMicros {
				break
			}
		}
		if sc.restarts < 50 {
			t.Errorf("seed %d: the leader ended %d times", seed, sc.restarts)
		}
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
						t.Errorf("seed %d: %s, which is never taken: %d effects, put aside %v", seed, k, n, isDeadLetter)
					}
					continue
				}
				bad := s.DeliveryGuarantee == ExactlyOnce && (n != 1 || isDeadLetter) || s.DeliveryGuarantee == AtLeastOnce && n < 1 || s.DeliveryGuarantee == AtMostOnce && (n > 1 || n == 0 && !isDeadLetter)
				if bad && wrong < 5 {
					wrong++
					t.Errorf("seed %d: %s: %d effects, put aside %v", seed, k, n, isDeadLetter)
				}
			}
			if s.DeliveryGuarantee == ExactlyOnce {
				for job, revs := range b.order {
					if !slices.IsSorted(revs) {
						t.Errorf("seed %d: %s in the order %v", seed, job, revs)
					}
				}
			}
			if buffered, more := sc.outbox.Undelivered(s.Name); buffered != 0 || more {
				t.Errorf("seed %d: %s holds %d, more %v", seed, s.Name, buffered, more)
			}
		}
		if len(sc.store.chunks) > 0 {
			t.Errorf("seed %d: %d bitmaps are kept", seed, len(sc.store.chunks))
		}
		if sc.store.maxOps > sc.cfg.MaxOpsPerSave {
			t.Errorf("seed %d: a write of %d parts", seed, sc.store.maxOps)
		}
	}
}

// What could not be written, or may not have been, is written again; nothing
// counts as written before.
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
	o.HandleSaveResult(now, actions[2].(Save).ID, true)         // the mark, up to 4
	o.HandleSendResult(now, actions[1].(Send).ID, Delivered, 0) // the later one: the mark stays before the first
	save := func() Save {
		t.Helper()
		now += 2 * core.Second
		for _, a := range o.Step(now, now) {
			if a, ok := a.(Save); ok {
				return a
			}
		}
		t.Fatal("nothing is written")
		return Save{}
	}
	first := save()
	o.HandleSaveResult(now, first.ID, false)
	again := save()
	if len(again.PutChunks) != 1 || again.PutChunks[0] != first.PutChunks[0] || len(again.Watermarks) != 0 {
		t.Errorf("first %+v, then %+v", first, again)
	}
	o.HandleSaveResult(now, again.ID, true)
	o.HandleSendResult(now, actions[0].(Send).ID, Delivered, 0)
	last := save()
	if len(last.DeleteChunks) != 1 || last.Watermarks[0].Revision != 6 {
		t.Errorf("in the end %+v", last)
	}
}

// A receiver's limits hold one another back in nothing, and a failed attempt is
// repeated later and later, not before its receiver wants it.
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
		t.Fatalf("%d and %d at once", len(slow), len(fast))
	}
	if w := o.NextStepAt(now); w != now+core.Second/4 {
		t.Errorf("wakes after %d us", w-now)
	}
	now += core.Second
	if slow, fast := sent(); len(slow) != 0 || len(fast) != 4 {
		t.Errorf("a second later %d and %d", len(slow), len(fast))
	}
	// The first of the slow one fails again and again; the others go on meanwhile.
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
				t.Errorf("again: %+v", a)
			}
			gaps = append(gaps, now-since)
			since = now
			o.HandleSendResult(now, a.ID, Unknown, 0)
		}
	}
	for i, g := range gaps {
		want := min(core.Second<<i, 8*core.Second)
		if g < want/2 || g > want*3/2+core.Second/10 {
			t.Errorf("pause %d is %d us, want about %d", i, g, want)
		}
	}
	// As long as its receiver says, if that is longer.
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
				t.Errorf("again after %d us", now-since)
			}
			break
		}
	}
}

// What is undelivered after its deadline is put aside, listed, and sent again
// when an operator wants it.
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
		t.Fatalf("%d sent", len(sends))
	}
	now += 200 * core.Second
	o.pendingSave = &pendingSave{} // a write is under way: nothing is written meanwhile
	o.sendDue(now, now, o.subscriptions["s"])
	dead := o.DeadLetters("s")
	if len(dead) != 8 {
		t.Fatalf("%d put aside", len(dead))
	}
	if first := dead[0].Event; o.RetryDeadLetter(now, "s", first.Job, Done) || o.DeleteDeadLetter("s", first.Job, Done) {
		t.Error("a dead letter is touched before it is written")
	}
	o.pendingSave = nil
	step()
	again, deleted := dead[0].Event, dead[1].Event
	if !o.RetryDeadLetter(now, "s", again.Job, Done) || o.RetryDeadLetter(now, "s", again.Job, Done) || o.RetryDeadLetter(now, "s", "none", Done) {
		t.Error("retry of a dead letter")
	}
	if !o.DeleteDeadLetter("s", deleted.Job, Done) || len(o.DeadLetters("s")) != 7 {
		t.Error("drop of a dead letter")
	}
	sends := step()
	if len(sends) != 1 || sends[0].Event.Job != again.Job {
		t.Fatalf("sent again: %+v", sends)
	}
	o.HandleSendResult(now, sends[0].ID, Delivered, 0)
	if len(o.DeadLetters("s")) != 6 {
		t.Errorf("%d are left", len(o.DeadLetters("s")))
	}
}

// What was delivered before its revision was complete is not sent again when the
// window fills up in between and older events are read again.
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
		t.Fatalf("holds %d, more %v", buffered, more)
	}
	o.setFetching("s")
	o.HandleFetchedEvents(now, "s", []Event{event(4), event(5), event(6), event(7)}, 7, true)
	step()
	for job, want := range map[string]int{"4": 1, "5": 1, "6": 1, "7": 1} {
		if sent[job] != want {
			t.Errorf("%s was sent %d times", job, sent[job])
		}
	}
}

// asked has the outbox believe that it asked for a page.
func (o *Outbox) setFetching(sub string) { o.subscriptions[sub].fetching = true }

// A dead letter that may not go yet wakes nobody: what it waits for is written
// first. Without that the node would go round and round until then.
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
	o.subscriptions["s"].unsettled[5]++ // another of revision 5 stays unsettled, and the mark before it
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
		if len(actions) == 0 { // what came back is an event, which is looked at at once
			now = o.NextStepAt(now)
		}
	}
	if steps > 10 || len(o.subscriptions["s"].deadLettersToDelete) != 3 {
		t.Errorf("%d turns in ten seconds, %d dead letters wait", steps, len(o.subscriptions["s"].deadLettersToDelete))
	}
}
