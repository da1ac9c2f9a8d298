package notify

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"aspenstall/internal/core"
)

var long = flag.Bool("long", false, "play the outbox's days with ten times as many events")

// book is what receivers did: it knows only keys and what was sent.
type book struct {
	keeps   bool            // it keeps keys: a repetition has no effect
	seen    map[string]bool // keys
	effects map[string]int  // by subscription, job and kind
	order   map[string][]uint64
}

func (b *book) take(a Send) {
	if b.keeps && b.seen[a.Key] {
		return
	}
	b.seen[a.Key] = true
	b.effects[a.Sub+"/"+id(&a.Event)]++
	k := a.Sub + "/" + a.Event.Job
	b.order[k] = append(b.order[k], a.Event.Revision*uint64(kinds)+uint64(a.Event.Kind))
}

// records is what the state service holds.
type records struct {
	events []Event // in order, those of one revision side by side
	marks  map[string]uint64
	chunks map[ChunkKey]Chunk
	dead   map[string]DeadLetter
	most   int // parts of one write
}

func (r *records) write(a Save) {
	for _, m := range a.Marks {
		r.marks[m.Sub] = max(r.marks[m.Sub], m.To)
	}
	for _, c := range a.Put {
		r.chunks[c.ChunkKey] = c
	}
	for _, k := range a.Drop {
		delete(r.chunks, k)
	}
	for _, d := range a.Dead {
		r.dead[d.Sub+"/"+id(&d.Event)] = d
	}
	for _, d := range a.Alive {
		delete(r.dead, d.Sub+"/"+id(&d.Event))
	}
	r.most = max(r.most, min(len(a.Marks), 1)+len(a.Put)+len(a.Drop)+len(a.Dead)+len(a.Alive))
}

func (r *records) load(t *testing.T, o *Outbox, now core.Micros) {
	t.Helper()
	for s, to := range r.marks {
		o.LoadMark(Mark{s, to})
	}
	for _, c := range r.chunks {
		if err := o.LoadChunk(c); err != nil {
			t.Fatal(err)
		}
	}
	for _, d := range r.dead {
		o.LoadDead(d)
	}
	for _, e := range r.events {
		o.Event(now, e)
	}
	if n := len(r.events); n > 0 {
		o.Complete(r.events[n-1].Revision)
	}
}

func (r *records) page(a Page) (events []Event, upTo uint64, all bool) {
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
type day struct {
	t       *testing.T
	dice    *rand.Rand
	cfg     Config
	o       *Outbox
	recs    *records
	books   map[string]*book // by receiver
	now     core.Micros
	pending []func() // things under way, executed in any order
	epoch   int
	ends    int
	rev     uint64
}

func newDay(t *testing.T, seed uint64) *day {
	d := &day{
		t: t, dice: rand.New(rand.NewPCG(seed, 5)), now: core.Second, books: map[string]*book{},
		recs: &records{marks: map[string]uint64{}, chunks: map[ChunkKey]Chunk{}, dead: map[string]DeadLetter{}},
	}
	all := []Kind{Accepted, Started, Done, Cancelled}
	for i, p := range []Promise{Exactly, AtLeast, AtMost, Exactly, Exactly} {
		recv := fmt.Sprintf("r%d", i)
		d.cfg.Receivers = append(d.cfg.Receivers, Receiver{Name: recv, InFlight: 1 + 3*i, PerSecond: float64(40 * i)})
		s := Subscription{Name: fmt.Sprintf("s%d", i), Receiver: recv, Kinds: all, Promise: p}
		if i == 3 {
			s.Team, s.Kinds = "blue", []Kind{Done}
		}
		d.cfg.Subs = append(d.cfg.Subs, s)
		if i == 4 {
			d.cfg.Receivers[i].MaxAge = 5 * core.Second
		}
		d.books[recv] = &book{keeps: p == Exactly && i != 4, seen: map[string]bool{}, effects: map[string]int{}, order: map[string][]uint64{}}
	}
	d.cfg.Window, d.cfg.SaveGap, d.cfg.ChunksPerSave = 50, core.Second, 5
	d.cfg.ChunkGap = 2 * core.Second
	d.cfg.FirstRetry, d.cfg.LastRetry = core.Second/2, 20*core.Second
	d.cfg.Begin = d.now
	d.o = New(d.cfg)
	return d
}

func (d *day) maxAge(sub string) core.Micros {
	i := slices.IndexFunc(d.cfg.Subs, func(s Subscription) bool { return s.Name == sub })
	return d.cfg.Receivers[i].MaxAge
}

func (d *day) receiver(sub string) *book {
	for _, s := range d.cfg.Subs {
		if s.Name == sub {
			return d.books[s.Receiver]
		}
	}
	return nil
}

// poison reports whether the receiver never takes an event.
func (d *day) poison(sub string, e *Event) bool {
	return sub == "s3" && e.Job[len(e.Job)-1] == '4'
}

// do does what the outbox wants, in its own time; what belongs to an outbox that
// has ended goes on all the same, but is not heard of.
func (d *day) do(acts []Action) {
	for _, a := range acts {
		o, epoch := d.o, d.epoch
		later := func(f func()) { d.pending = append(d.pending, f) }
		heard := func(f func()) {
			if epoch == d.epoch {
				f()
			}
		}
		switch a := a.(type) {
		case Send:
			sent := d.now
			b, limit := d.receiver(a.Sub), d.maxAge(a.Sub)
			// One that keeps no keys refuses what was sent too long ago.
			effect := func() {
				if limit == 0 || d.now-sent <= limit {
					b.take(a)
				}
			}
			later(func() {
				if limit > 0 && d.now-sent > limit {
					heard(func() { o.Sent(d.now, a.ID, NotSent, 0) })
					return
				}
				if limit > 0 && a.Ask && b.seen[a.Key] {
					heard(func() { o.Sent(d.now, a.ID, Delivered, 0) })
					return
				}
				p := d.dice.Float64()
				if limit > 0 && d.dice.IntN(3) == 0 {
					p = 0.87 // late, often
				}
				switch {
				case d.poison(a.Sub, &a.Event):
					heard(func() { o.Sent(d.now, a.ID, Rejected, 0) })
				case p < 0.75: // has its effect, and the reply comes
					effect()
					heard(func() { o.Sent(d.now, a.ID, Delivered, 0) })
				case p < 0.85: // has its effect, and the reply is lost
					effect()
					heard(func() { o.Sent(d.now, a.ID, Unknown, 0) })
				case p < 0.90: // has its effect long after it was given up
					heard(func() { o.Sent(d.now, a.ID, Unknown, 0) })
					later(effect)
				case p < 0.95:
					heard(func() { o.Sent(d.now, a.ID, Unknown, 0) })
				default:
					heard(func() { o.Sent(d.now, a.ID, NotSent, 2*core.Second) })
				}
			})
		case Save:
			later(func() {
				// A leader that was deposed does not write: its term is over.
				if epoch != d.epoch {
					return
				}
				p := d.dice.Float64()
				if p < 0.85 {
					d.recs.write(a)
				}
				o.Saved(d.now, a.ID, p < 0.7)
			})
		case Page:
			later(func() {
				heard(func() {
					events, upTo, all := d.recs.page(a)
					o.Events(d.now, a.Sub, events, upTo, all)
				})
			})
		}
	}
}

// step lets a tenth of a second go by.
func (d *day) step() {
	d.now += core.Second / 10
	if d.dice.IntN(4) == 0 {
		d.rev += uint64(1 + d.dice.IntN(30))
		for range 1 + d.dice.IntN(4) {
			job := fmt.Sprintf("job-%06d", len(d.recs.events)/2)
			team := []string{"blue", "green"}[len(d.recs.events)/2%2]
			kind := Accepted
			if len(d.recs.events)%2 == 1 {
				kind = Done
			}
			e := Event{Job: job, Team: team, Class: "c", Kind: kind, Revision: d.rev, At: d.now}
			d.recs.events = append(d.recs.events, e)
			d.o.Event(d.now, e)
			if d.dice.IntN(4) == 0 {
				d.play() // what came so far may be under way before the rest comes
			}
		}
		d.o.Complete(d.rev)
	}
	d.play()
}

func (d *day) play() {
	d.do(d.o.Step(d.now, d.now))
	d.dice.Shuffle(len(d.pending), func(i, k int) { d.pending[i], d.pending[k] = d.pending[k], d.pending[i] })
	n := len(d.pending)
	if n > 0 {
		n = d.dice.IntN(n + 1)
	}
	run := d.pending[:n:n]
	d.pending = d.pending[n:]
	for _, f := range run {
		f()
	}
}

// end ends the leader; the next one reads what was written.
func (d *day) end() {
	d.ends++
	d.epoch++
	d.cfg.Begin = d.now
	d.o = New(d.cfg)
	d.recs.load(d.t, d.o, d.now)
}

// Over days on which the leader ends again and again, replies are lost and
// writes are lost, each event has exactly one effect where the receiver keeps
// keys, at least one or at most one where it does not and the operator chose so;
// a job's events come in order; and in the end nothing is kept but the marks.
func TestOutboxDays(t *testing.T) {
	events, seeds := 2000, uint64(4)
	if *long {
		events, seeds = 10_000, 5
	}
	for seed := range seeds {
		d := newDay(t, seed)
		for len(d.recs.events) < events {
			d.step()
			if d.dice.IntN(40) == 0 {
				d.end()
			}
		}
		for range 400_000 {
			d.now += core.Second / 10
			d.play()
			if len(d.pending) == 0 && len(d.recs.chunks) == 0 && d.now > d.o.Wake(d.now) && d.o.Wake(d.now) == core.MaxMicros {
				break
			}
		}
		if d.ends < 50 {
			t.Errorf("seed %d: the leader ended %d times", seed, d.ends)
		}
		wrong := 0
		for _, s := range d.cfg.Subs {
			b := d.receiver(s.Name)
			for i := range d.recs.events {
				e := &d.recs.events[i]
				if !s.wants(e) {
					continue
				}
				k := s.Name + "/" + id(e)
				n := b.effects[k]
				_, aside := d.recs.dead[k]
				if d.poison(s.Name, e) {
					if n != 0 || !aside {
						t.Errorf("seed %d: %s, which is never taken: %d effects, put aside %v", seed, k, n, aside)
					}
					continue
				}
				bad := s.Promise == Exactly && (n != 1 || aside) || s.Promise == AtLeast && n < 1 || s.Promise == AtMost && (n > 1 || n == 0 && !aside)
				if bad && wrong < 5 {
					wrong++
					t.Errorf("seed %d: %s: %d effects, put aside %v", seed, k, n, aside)
				}
			}
			if s.Promise == Exactly {
				for job, revs := range b.order {
					if !slices.IsSorted(revs) {
						t.Errorf("seed %d: %s in the order %v", seed, job, revs)
					}
				}
			}
			if held, more := d.o.Undelivered(s.Name); held != 0 || more {
				t.Errorf("seed %d: %s holds %d, more %v", seed, s.Name, held, more)
			}
		}
		if len(d.recs.chunks) > 0 {
			t.Errorf("seed %d: %d bitmaps are kept", seed, len(d.recs.chunks))
		}
		if d.recs.most > d.cfg.ChunksPerSave {
			t.Errorf("seed %d: a write of %d parts", seed, d.recs.most)
		}
	}
}

// What could not be written, or may not have been, is written again; nothing
// counts as written before.
func TestSaveIsRepeated(t *testing.T) {
	o := New(Config{
		Subs: []Subscription{{Name: "s", Receiver: "r", Kinds: []Kind{Done}}}, Receivers: []Receiver{{Name: "r"}}, Window: 10, ChunksPerSave: 10,
		FirstRetry: core.Second, LastRetry: core.Second,
	})
	now := core.Second
	for rev := uint64(5); rev <= 6; rev++ {
		o.Event(now, Event{Job: fmt.Sprint(rev), Kind: Done, Revision: rev})
	}
	o.Complete(6)
	acts := o.Step(now, now)
	o.Saved(now, acts[2].(Save).ID, true)        // the mark, up to 4
	o.Sent(now, acts[1].(Send).ID, Delivered, 0) // the later one: the mark stays before the first
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
	o.Saved(now, first.ID, false)
	again := save()
	if len(again.Put) != 1 || again.Put[0] != first.Put[0] || len(again.Marks) != 0 {
		t.Errorf("first %+v, then %+v", first, again)
	}
	o.Saved(now, again.ID, true)
	o.Sent(now, acts[0].(Send).ID, Delivered, 0)
	last := save()
	if len(last.Drop) != 1 || last.Marks[0].To != 6 {
		t.Errorf("in the end %+v", last)
	}
}

// A receiver's limits hold one another back in nothing, and a failed attempt is
// repeated later and later, not before its receiver wants it.
func TestLimitsAndPauses(t *testing.T) {
	o := New(Config{
		Subs:      []Subscription{{Name: "slow", Receiver: "one", Kinds: []Kind{Done}}, {Name: "fast", Receiver: "rated", Kinds: []Kind{Done}}},
		Receivers: []Receiver{{Name: "one", InFlight: 1}, {Name: "rated", PerSecond: 4}},
		Window:    100, ChunksPerSave: 10, FirstRetry: core.Second, LastRetry: 8 * core.Second,
	})
	now := 10 * core.Second
	for rev := uint64(1); rev <= 12; rev++ {
		o.Event(now, Event{Job: fmt.Sprint(rev), Kind: Done, Revision: rev, At: now})
	}
	o.Complete(12)
	sent := func() (slow, fast []Send) {
		for _, a := range o.Step(now, now) {
			if a, ok := a.(Send); ok && a.Sub == "slow" {
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
	if w := o.Wake(now); w != now+core.Second/4 {
		t.Errorf("wakes after %d us", w-now)
	}
	now += core.Second
	if slow, fast := sent(); len(slow) != 0 || len(fast) != 4 {
		t.Errorf("a second later %d and %d", len(slow), len(fast))
	}
	// The first of the slow one fails again and again; the others go on meanwhile.
	var gaps []core.Micros
	first, since := slow[0], now
	o.Sent(now, first.ID, Unknown, 0)
	for len(gaps) < 6 {
		now += core.Second / 20
		slow, _ := sent()
		for _, a := range slow {
			if a.Event.Job != first.Event.Job {
				o.Sent(now, a.ID, Delivered, 0)
				continue
			}
			if !a.Ask || a.Key != first.Key || a.Attempt != len(gaps)+2 {
				t.Errorf("again: %+v", a)
			}
			gaps = append(gaps, now-since)
			since = now
			o.Sent(now, a.ID, Unknown, 0)
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
			o.Sent(now, slow[0].ID, NotSent, 60*core.Second)
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
		Subs:      []Subscription{{Name: "s", Receiver: "r", Kinds: []Kind{Done}, Deadline: 100 * core.Second}},
		Receivers: []Receiver{{Name: "r", PerSecond: 4}}, Window: 100, ChunksPerSave: 50, FirstRetry: core.Second, LastRetry: core.Second,
	})
	now := 10 * core.Second
	for rev := uint64(1); rev <= 12; rev++ {
		o.Event(now, Event{Job: fmt.Sprint(rev), Kind: Done, Revision: rev, At: now})
	}
	o.Complete(12)
	step := func() (sends []Send) {
		for _, a := range o.Step(now, now) {
			switch a := a.(type) {
			case Send:
				sends = append(sends, a)
			case Save:
				o.Saved(now, a.ID, true)
			}
		}
		return sends
	}
	if sends := step(); len(sends) != 4 {
		t.Fatalf("%d sent", len(sends))
	}
	now += 200 * core.Second
	o.saving = &saving{} // a write is under way: nothing is written meanwhile
	o.send(now, now, o.subs["s"])
	dead := o.Dead("s")
	if len(dead) != 8 {
		t.Fatalf("%d put aside", len(dead))
	}
	if first := dead[0].Event; o.Retry(now, "s", first.Job, Done) || o.Drop("s", first.Job, Done) {
		t.Error("a dead letter is touched before it is written")
	}
	o.saving = nil
	step()
	again, gone := dead[0].Event, dead[1].Event
	if !o.Retry(now, "s", again.Job, Done) || o.Retry(now, "s", again.Job, Done) || o.Retry(now, "s", "none", Done) {
		t.Error("retry of a dead letter")
	}
	if !o.Drop("s", gone.Job, Done) || len(o.Dead("s")) != 7 {
		t.Error("drop of a dead letter")
	}
	sends := step()
	if len(sends) != 1 || sends[0].Event.Job != again.Job {
		t.Fatalf("sent again: %+v", sends)
	}
	o.Sent(now, sends[0].ID, Delivered, 0)
	if len(o.Dead("s")) != 6 {
		t.Errorf("%d are left", len(o.Dead("s")))
	}
}

// What was delivered before its revision was complete is not sent again when the
// window fills up in between and older events are read again.
func TestWindowFillsUp(t *testing.T) {
	o := New(Config{
		Subs: []Subscription{{Name: "s", Receiver: "r", Kinds: []Kind{Done}, Promise: AtLeast}}, Receivers: []Receiver{{Name: "r"}}, Window: 2, ChunksPerSave: 10,
		FirstRetry: core.Second, LastRetry: core.Second,
	})
	now := core.Second
	event := func(rev uint64) Event { return Event{Job: fmt.Sprint(rev), Kind: Done, Revision: rev} }
	sent := map[string]int{}
	step := func() (page *Page) {
		now += core.Second / 10
		for _, a := range o.Step(now, now) {
			switch a := a.(type) {
			case Send:
				sent[a.Event.Job]++
				if a.Event.Job == "5" || a.Event.Job == "7" {
					o.Sent(now, a.ID, Delivered, 0)
				}
			case Save:
				o.Saved(now, a.ID, true)
			case Page:
				page = &a
			}
		}
		return page
	}
	for rev := uint64(4); rev <= 7; rev++ {
		o.Event(now, event(rev))
		step()
	}
	if held, more := o.Undelivered("s"); held != 2 || !more {
		t.Fatalf("holds %d, more %v", held, more)
	}
	o.asked("s")
	o.Events(now, "s", []Event{event(4), event(5), event(6), event(7)}, 7, true)
	step()
	for job, want := range map[string]int{"4": 1, "5": 1, "6": 1, "7": 1} {
		if sent[job] != want {
			t.Errorf("%s was sent %d times", job, sent[job])
		}
	}
}

// asked has the outbox believe that it asked for a page.
func (o *Outbox) asked(sub string) { o.subs[sub].asked = true }

// A dead letter that may not go yet wakes nobody: what it waits for is written
// first. Without that the node would go round and round until then.
func TestWakeWaitsForWhatIsWritten(t *testing.T) {
	o := New(Config{
		Subs: []Subscription{{Name: "s", Receiver: "r", Kinds: []Kind{Done}, Promise: AtMost}}, Receivers: []Receiver{{Name: "r"}}, Window: 10, ChunksPerSave: 10,
		SaveGap: core.Second, ChunkGap: 15 * core.Second, FirstRetry: 100 * core.Second, LastRetry: 100 * core.Second,
	})
	now := core.Second
	o.Event(now, Event{Job: "1", Kind: Done, Revision: 5})
	o.Event(now, Event{Job: "2", Kind: Done, Revision: 5})
	o.Event(now, Event{Job: "3", Kind: Done, Revision: 6})
	o.Complete(6)
	o.subs["s"].open[5]++ // another of revision 5 stays unsettled, and the mark before it
	turns := 0
	for end := now + 10*core.Second; now < end && turns < 100; turns++ {
		acts := o.Step(now, now)
		for _, a := range acts {
			switch a := a.(type) {
			case Send:
				o.Sent(now, a.ID, Delivered, 0)
			case Save:
				o.Saved(now, a.ID, true)
			}
		}
		if len(acts) == 0 { // what came back is an event, which is looked at at once
			now = o.Wake(now)
		}
	}
	if turns > 10 || len(o.subs["s"].alive) != 3 {
		t.Errorf("%d turns in ten seconds, %d dead letters wait", turns, len(o.subs["s"].alive))
	}
}
