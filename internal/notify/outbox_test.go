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
	d := &scenario{
		t: t, rng: rand.New(rand.NewPCG(seed, 5)), now: core.Second, receivers: map[string]*fakeReceiver{},
		store: &fakeStore{watermarks: map[string]uint64{}, chunks: map[ChunkKey]Chunk{}, deadLetters: map[string]DeadLetter{}},
	}
	all := []Kind{Accepted, Started, Done, Cancelled}
	for i, p := range []DeliveryGuarantee{ExactlyOnce, AtLeastOnce, AtMostOnce, ExactlyOnce, ExactlyOnce} {
		recv := fmt.Sprintf("r%d", i)
		d.cfg.Receivers = append(d.cfg.Receivers, Receiver{Name: recv, MaxInFlight: 1 + 3*i, PerSecond: float64(40 * i)})
		s := Subscription{Name: fmt.Sprintf("s%d", i), Receiver: recv, Kinds: all, DeliveryGuarantee: p}
		if i == 3 {
			s.Team, s.Kinds = "blue", []Kind{Done}
		}
		d.cfg.Subscriptions = append(d.cfg.Subscriptions, s)
		if i == 4 {
			d.cfg.Receivers[i].MaxMessageAge = 5 * core.Second
		}
		d.receivers[recv] = &fakeReceiver{deduplicates: p == ExactlyOnce && i != 4, seenKeys: map[string]bool{}, effects: map[string]int{}, order: map[string][]uint64{}}
	}
	d.cfg.MaxBuffered, d.cfg.MinSaveInterval, d.cfg.MaxOpsPerSave = 50, core.Second, 5
	d.cfg.ChunkSaveDelay = 2 * core.Second
	d.cfg.InitialBackoff, d.cfg.MaxBackoff = core.Second/2, 20*core.Second
	d.cfg.TermStart = d.now
	d.outbox = New(d.cfg)
	return d
}

func (d *scenario) maxMessageAge(sub string) core.Micros {
	i := slices.IndexFunc(d.cfg.Subscriptions, func(s Subscription) bool { return s.Name == sub })
	return d.cfg.Receivers[i].MaxMessageAge
}

func (d *scenario) receiver(sub string) *fakeReceiver {
	for _, s := range d.cfg.Subscriptions {
		if s.Name == sub {
			return d.receivers[s.Receiver]
		}
	}
	return nil
}

// poison reports whether the receiver never takes an event.
func (d *scenario) alwaysRejects(sub string, e *Event) bool {
	return sub == "s3" && e.Job[len(e.Job)-1] == '4'
}

// do does what the outbox wants, in its own time; what belongs to an outbox that
// has ended goes on all the same, but is not heard of.
func (d *scenario) execute(acts []Action) {
	for _, a := range acts {
		o, epoch := d.outbox, d.term
		later := func(f func()) { d.pending = append(d.pending, f) }
		heard := func(f func()) {
			if epoch == d.term {
				f()
			}
		}
		switch a := a.(type) {
		case Send:
			sent := d.now
			b, limit := d.receiver(a.Subscription), d.maxMessageAge(a.Subscription)
			// One that keeps no keys refuses what was sent too long ago.
			effect := func() {
				if limit == 0 || d.now-sent <= limit {
					b.receive(a)
				}
			}
			later(func() {
				if limit > 0 && d.now-sent > limit {
					heard(func() { o.HandleSendResult(d.now, a.ID, NotDelivered, 0) })
					return
				}
				if limit > 0 && a.PossiblyDelivered && b.seenKeys[a.Key] {
					heard(func() { o.HandleSendResult(d.now, a.ID, Delivered, 0) })
					return
				}
				p := d.rng.Float64()
				if limit > 0 && d.rng.IntN(3) == 0 {
					p = 0.87 // late, often
				}
				switch {
				case d.alwaysRejects(a.Subscription, &a.Event):
					heard(func() { o.HandleSendResult(d.now, a.ID, Rejected, 0) })
				case p < 0.75: // has its effect, and the reply comes
					effect()
					heard(func() { o.HandleSendResult(d.now, a.ID, Delivered, 0) })
				case p < 0.85: // has its effect, and the reply is lost
					effect()
					heard(func() { o.HandleSendResult(d.now, a.ID, Unknown, 0) })
				case p < 0.90: // has its effect long after it was given up
					heard(func() { o.HandleSendResult(d.now, a.ID, Unknown, 0) })
					later(effect)
				case p < 0.95:
					heard(func() { o.HandleSendResult(d.now, a.ID, Unknown, 0) })
				default:
					heard(func() { o.HandleSendResult(d.now, a.ID, NotDelivered, 2*core.Second) })
				}
			})
		case Save:
			later(func() {
				// A leader that was deposed does not write: its term is over.
				if epoch != d.term {
					return
				}
				p := d.rng.Float64()
				if p < 0.85 {
					d.store.write(a)
				}
				o.HandleSaveResult(d.now, a.ID, p < 0.7)
			})
		case FetchEvents:
			later(func() {
				heard(func() {
					events, upTo, all := d.store.fetch(a)
					o.HandleFetchedEvents(d.now, a.Subscription, events, upTo, all)
				})
			})
		}
	}
}

// step lets a tenth of a second go by.
func (d *scenario) advance() {
	d.now += core.Second / 10
	if d.rng.IntN(4) == 0 {
		d.revision += uint64(1 + d.rng.IntN(30))
		for range 1 + d.rng.IntN(4) {
			job := fmt.Sprintf("job-%06d", len(d.store.events)/2)
			team := []string{"blue", "green"}[len(d.store.events)/2%2]
			kind := Accepted
			if len(d.store.events)%2 == 1 {
				kind = Done
			}
			e := Event{Job: job, Team: team, Class: "c", Kind: kind, Revision: d.revision, At: d.now}
			d.store.events = append(d.store.events, e)
			d.outbox.HandleEvent(d.now, e)
			if d.rng.IntN(4) == 0 {
				d.runPending() // what came so far may be under way before the rest comes
			}
		}
		d.outbox.HandleEventsComplete(d.revision)
	}
	d.runPending()
}

func (d *scenario) runPending() {
	d.execute(d.outbox.Step(d.now, d.now))
	d.rng.Shuffle(len(d.pending), func(i, k int) { d.pending[i], d.pending[k] = d.pending[k], d.pending[i] })
	n := len(d.pending)
	if n > 0 {
		n = d.rng.IntN(n + 1)
	}
	run := d.pending[:n:n]
	d.pending = d.pending[n:]
	for _, f := range run {
		f()
	}
}

// end ends the leader; the next one reads what was written.
func (d *scenario) restart() {
	d.restarts++
	d.term++
	d.cfg.TermStart = d.now
	d.outbox = New(d.cfg)
	d.store.load(d.t, d.outbox, d.now)
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
		d := newScenario(t, seed)
		for len(d.store.events) < events {
			d.advance()
			if d.rng.IntN(40) == 0 {
				d.restart()
			}
		}
		for range 400_000 {
			d.now += core.Second / 10
			d.runPending()
			if len(d.pending) == 0 && len(d.store.chunks) == 0 && d.now > d.outbox.NextStepAt(d.now) && d.outbox.NextStepAt(d.now) == core.MaxMicros {
				break
			}
		}
		if d.restarts < 50 {
			t.Errorf("seed %d: the leader ended %d times", seed, d.restarts)
		}
		wrong := 0
		for _, s := range d.cfg.Subscriptions {
			b := d.receiver(s.Name)
			for i := range d.store.events {
				e := &d.store.events[i]
				if !s.matches(e) {
					continue
				}
				k := s.Name + "/" + eventID(e)
				n := b.effects[k]
				_, aside := d.store.deadLetters[k]
				if d.alwaysRejects(s.Name, e) {
					if n != 0 || !aside {
						t.Errorf("seed %d: %s, which is never taken: %d effects, put aside %v", seed, k, n, aside)
					}
					continue
				}
				bad := s.DeliveryGuarantee == ExactlyOnce && (n != 1 || aside) || s.DeliveryGuarantee == AtLeastOnce && n < 1 || s.DeliveryGuarantee == AtMostOnce && (n > 1 || n == 0 && !aside)
				if bad && wrong < 5 {
					wrong++
					t.Errorf("seed %d: %s: %d effects, put aside %v", seed, k, n, aside)
				}
			}
			if s.DeliveryGuarantee == ExactlyOnce {
				for job, revs := range b.order {
					if !slices.IsSorted(revs) {
						t.Errorf("seed %d: %s in the order %v", seed, job, revs)
					}
				}
			}
			if held, more := d.outbox.Undelivered(s.Name); held != 0 || more {
				t.Errorf("seed %d: %s holds %d, more %v", seed, s.Name, held, more)
			}
		}
		if len(d.store.chunks) > 0 {
			t.Errorf("seed %d: %d bitmaps are kept", seed, len(d.store.chunks))
		}
		if d.store.maxOps > d.cfg.MaxOpsPerSave {
			t.Errorf("seed %d: a write of %d parts", seed, d.store.maxOps)
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
	acts := o.Step(now, now)
	o.HandleSaveResult(now, acts[2].(Save).ID, true)         // the mark, up to 4
	o.HandleSendResult(now, acts[1].(Send).ID, Delivered, 0) // the later one: the mark stays before the first
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
	o.HandleSendResult(now, acts[0].(Send).ID, Delivered, 0)
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
	again, gone := dead[0].Event, dead[1].Event
	if !o.RetryDeadLetter(now, "s", again.Job, Done) || o.RetryDeadLetter(now, "s", again.Job, Done) || o.RetryDeadLetter(now, "s", "none", Done) {
		t.Error("retry of a dead letter")
	}
	if !o.DeleteDeadLetter("s", gone.Job, Done) || len(o.DeadLetters("s")) != 7 {
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
	if held, more := o.Undelivered("s"); held != 2 || !more {
		t.Fatalf("holds %d, more %v", held, more)
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
	turns := 0
	for end := now + 10*core.Second; now < end && turns < 100; turns++ {
		acts := o.Step(now, now)
		for _, a := range acts {
			switch a := a.(type) {
			case Send:
				o.HandleSendResult(now, a.ID, Delivered, 0)
			case Save:
				o.HandleSaveResult(now, a.ID, true)
			}
		}
		if len(acts) == 0 { // what came back is an event, which is looked at at once
			now = o.NextStepAt(now)
		}
	}
	if turns > 10 || len(o.subscriptions["s"].deadLettersToDelete) != 3 {
		t.Errorf("%d turns in ten seconds, %d dead letters wait", turns, len(o.subscriptions["s"].deadLettersToDelete))
	}
}
