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
	Begin     core.Micros // of this leader's term, on its steady clock
	Subs      []Subscription
	Receivers []Receiver
	// Window is how many events of a subscription are held at once; the others
	// are asked for when there is room again.
	Window int
	// SaveGap is the least time between two writes, so that acknowledgements
	// share one. What is put aside does not wait for it, since an attempt may.
	SaveGap core.Micros
	// ChunkGap is how long the mark has to catch up before a bitmap is written.
	ChunkGap      core.Micros
	ChunksPerSave int // parts of one write
	FirstRetry    core.Micros
	LastRetry     core.Micros // the longest pause between attempts
}

// Outbox is what one leader knows of undelivered notifications.
type Outbox struct {
	cfg       Config
	subs      map[string]*sub
	order     []*sub
	receivers map[string]*receiver
	nextID    uint64
	sending   map[uint64]*lane
	saving    *saving // the write under way
	saveAt    core.Micros
	out       []Action
}

// sub is a subscription's state.
type sub struct {
	Subscription
	recv    *receiver
	mark    uint64 // all up to here are settled
	settled map[uint64]*roaring.Bitmap
	open    map[uint64]int // unsettled events by revision
	early   []uint64       // revisions of which more may come, and all so far is settled
	revs    revisions      // their revisions, the lowest first; some may be settled
	held    map[string]bool
	lanes   map[string]*lane // by job
	ready   lanes
	loaded  uint64 // all events up to here were taken or are settled
	taken   uint64 // the last revision of which events were taken
	paging  bool   // those after it are left out until there is room
	asked   bool
	dirty   map[uint64]bool // chunks that changed since they were written
	dirtyAt core.Micros     // since when there are any
	stored  map[uint64]bool // chunks that have a record
	savedTo uint64
	dead    []DeadLetter          // to be written
	alive   []DeadLetter          // whose records are to go
	aside   map[string]DeadLetter // all that are put aside, written or not
	claims  map[string]*lane      // to be sent once they are written as put aside
}

// lane is a job's undelivered events in their order: one is sent at a time.
type lane struct {
	s       *sub
	job     string
	events  []item
	attempt int
	doubt   bool        // an attempt may have had its effect
	sending bool        // the first event is on its way, or being claimed
	at      core.Micros // steady clock; not before
	pos     int         // in the heap, -1 if it is not
}

// item is an event in a lane.
type item struct {
	Event
	// counted: it counts as settled already, since it is put aside; it is sent all
	// the same.
	counted bool
}

// receiver is a receiver's state.
type receiver struct {
	Receiver
	flying int
	tokens float64
	filled core.Micros
	from   core.Micros // nothing is sent before
}

// saving is a write under way and what it settles.
type saving struct {
	id    uint64
	marks map[*sub]uint64
	put   []ChunkKey
	drop  []ChunkKey
	dead  map[*sub]int
	alive map[*sub]int
}

// New returns an outbox that knows of nothing settled.
func New(cfg Config) *Outbox {
	o := &Outbox{cfg: cfg, subs: map[string]*sub{}, receivers: map[string]*receiver{}, sending: map[uint64]*lane{}}
	for _, r := range cfg.Receivers {
		o.receivers[r.Name] = &receiver{Receiver: r, tokens: max(r.PerSecond, 1), from: cfg.Begin + r.MaxAge}
	}
	for _, s := range cfg.Subs {
		k := &sub{
			Subscription: s, recv: o.receivers[s.Receiver], settled: map[uint64]*roaring.Bitmap{}, open: map[uint64]int{}, held: map[string]bool{},
			lanes: map[string]*lane{}, dirty: map[uint64]bool{}, stored: map[uint64]bool{},
			aside: map[string]DeadLetter{}, claims: map[string]*lane{},
		}
		o.subs[s.Name] = k
		o.order = append(o.order, k)
	}
	return o
}

// LoadMark takes over a subscription's mark, as it was written.
func (o *Outbox) LoadMark(m Mark) {
	if s := o.subs[m.Sub]; s != nil {
		s.mark, s.savedTo, s.loaded = m.To, m.To, m.To
	}
}

// From is the revision up to which all is settled of every subscription: what
// is older need not be told.
func (o *Outbox) From() uint64 {
	from := uint64(math.MaxUint64)
	for _, s := range o.order {
		from = min(from, s.mark)
	}
	return from
}

// LoadChunk takes over a part of a subscription's bitmap, as it was written.
func (o *Outbox) LoadChunk(c Chunk) error {
	s := o.subs[c.Sub]
	if s == nil {
		return nil // a subscription that is no more
	}
	b, err := base64.StdEncoding.DecodeString(c.Bitmap)
	if err != nil {
		return fmt.Errorf("settled of %s: %w", c.Sub, err)
	}
	bm := roaring.New()
	if err := bm.UnmarshalBinary(b); err != nil {
		return fmt.Errorf("settled of %s: %w", c.Sub, err)
	}
	s.settled[c.Chunk], s.stored[c.Chunk] = bm, true
	return nil
}

// LoadDead takes over a dead letter, as it was written.
func (o *Outbox) LoadDead(d DeadLetter) {
	if s := o.subs[d.Sub]; s != nil {
		s.aside[id(&d.Event)] = d
	}
}

// Dead lists the dead letters of a subscription.
func (o *Outbox) Dead(name string) []DeadLetter {
	s := o.subs[name]
	if s == nil {
		return nil
	}
	out := make([]DeadLetter, 0, len(s.aside))
	for _, d := range s.aside {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b DeadLetter) int {
		return cmp.Or(cmp.Compare(a.Event.Revision, b.Event.Revision), cmp.Compare(a.Event.Job, b.Event.Job), cmp.Compare(a.Event.Kind, b.Event.Kind))
	})
	return out
}

// Retry has a dead letter sent again, behind what its job's lane holds; false if
// there is none, it is on its way, or its record is not written yet. Drop forgets one.
func (o *Outbox) Retry(now core.Micros, name, job string, kind Kind) bool {
	e := Event{Job: job, Kind: kind}
	s := o.subs[name]
	if s == nil {
		return false
	}
	d, ok := s.aside[id(&e)]
	if !ok || s.held[id(&e)] || s.unwritten(&e) {
		return false
	}
	s.held[id(&e)] = true
	s.lane(now, item{d.Event, true})
	return true
}

// Drop forgets a dead letter.
func (o *Outbox) Drop(name, job string, kind Kind) bool {
	e := Event{Job: job, Kind: kind}
	s := o.subs[name]
	if s == nil || s.held[id(&e)] || s.unwritten(&e) {
		return false
	}
	return s.revive(&e)
}

// unwritten reports whether a dead letter's record is still to be written.
func (s *sub) unwritten(e *Event) bool {
	return slices.ContainsFunc(s.dead, func(d DeadLetter) bool { return d.Event.Job == e.Job && d.Event.Kind == e.Kind })
}

// revive ends a dead letter's record.
func (s *sub) revive(e *Event) bool {
	d, ok := s.aside[id(e)]
	if ok {
		delete(s.aside, id(e))
		s.alive = append(s.alive, d)
	}
	return ok
}

func (s *sub) isSettled(rev uint64) bool {
	if rev <= s.mark {
		return true
	}
	bm := s.settled[rev/ChunkSize]
	return bm != nil && bm.Contains(uint32(rev%ChunkSize))
}

// Event takes an event that is new. Events come in the order of their
// revisions, and all of one revision before Complete.
func (o *Outbox) Event(now core.Micros, e Event) {
	for _, s := range o.order {
		if !s.wants(&e) {
			continue
		}
		// A revision is taken whole or left out whole: it is settled once all that
		// was taken of it is.
		if !s.paging && len(s.held) >= o.cfg.Window && e.Revision > s.taken {
			s.loaded = max(s.loaded, s.taken)
			s.paging = true
			s.advance()
		}
		if !s.paging {
			s.taken = e.Revision
			s.take(now, e)
		}
	}
}

// Complete says that every event up to a revision has come.
func (o *Outbox) Complete(rev uint64) {
	for _, s := range o.order {
		if !s.paging {
			s.loaded = max(s.loaded, rev)
			s.advance()
		}
	}
}

// Events is the answer to Page: the subscription's events after the revision
// that was asked for, in order; upTo is the last revision that they cover.
func (o *Outbox) Events(now core.Micros, name string, events []Event, upTo uint64, all bool) {
	s := o.subs[name]
	if s == nil || !s.asked {
		return
	}
	s.asked = false
	for _, e := range events {
		if s.wants(&e) && e.Revision > s.loaded && e.Revision <= upTo {
			s.take(now, e)
		}
	}
	s.loaded = max(s.loaded, upTo)
	s.paging = !all
	s.advance()
}

func id(e *Event) string { return e.Job + "/" + e.Kind.String() }

// take holds an event unless it is settled or held.
func (s *sub) take(now core.Micros, e Event) {
	_, aside := s.aside[id(&e)]
	if s.isSettled(e.Revision) || s.held[id(&e)] || aside {
		return
	}
	s.held[id(&e)] = true
	if s.open[e.Revision] == 0 {
		heap.Push(&s.revs, e.Revision)
	}
	s.open[e.Revision]++
	s.lane(now, item{e, false})
}

// lane puts an event into its job's lane, in the order of revisions and kinds,
// but behind one that is on its way.
func (s *sub) lane(now core.Micros, e item) {
	l := s.lanes[e.Job]
	if l == nil {
		l = &lane{s: s, job: e.Job, pos: -1, at: now}
		s.lanes[e.Job] = l
	}
	l.events = append(l.events, e)
	first := 0
	if l.sending || l.attempt > 0 {
		first = 1
	}
	slices.SortStableFunc(l.events[first:], func(a, b item) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Kind, b.Kind))
	})
	if l.pos < 0 && !l.sending {
		heap.Push(&s.ready, l)
	}
}

// settle ends the lane's first event.
func (o *Outbox) settle(now core.Micros, l *lane) {
	s, e := l.s, l.events[0]
	if !e.counted {
		s.count(&e.Event)
	}
	l.events = l.events[1:]
	l.attempt, l.doubt, l.sending, l.at = 0, false, false, now
	delete(s.held, id(&e.Event))
	if len(l.events) == 0 {
		delete(s.lanes, l.job)
	} else {
		heap.Push(&s.ready, l)
	}
}

// count counts an event as settled.
func (s *sub) count(e *Event) {
	if s.open[e.Revision]--; s.open[e.Revision] > 0 {
		return
	}
	if e.Revision > s.loaded {
		s.early = append(s.early, e.Revision)
		return
	}
	s.close(e.Revision)
	s.advance()
}

// close settles a revision.
func (s *sub) close(rev uint64) {
	delete(s.open, rev)
	c := rev / ChunkSize
	if s.settled[c] == nil {
		s.settled[c] = roaring.New()
	}
	s.settled[c].Add(uint32(rev % ChunkSize))
	s.dirty[c] = true
}

// advance moves the mark up to before the first event that is not settled.
func (s *sub) advance() {
	s.early = slices.DeleteFunc(s.early, func(rev uint64) bool {
		if n, ok := s.open[rev]; rev > s.loaded || ok && n > 0 {
			return ok && n > 0 // it is open again, and comes back here
		}
		s.close(rev)
		return true
	})
	for len(s.revs) > 0 && s.open[s.revs[0]] == 0 && s.revs[0] <= s.loaded {
		heap.Pop(&s.revs)
	}
	to := s.loaded
	if len(s.revs) > 0 {
		to = min(to, s.revs[0]-1)
	}
	s.mark = max(s.mark, to)
	for c, bm := range s.settled {
		if c*ChunkSize+uint64(bm.Maximum()) <= s.mark {
			delete(s.settled, c)
			delete(s.dirty, c)
		}
	}
}

// Step returns what is to be done now. wall is the time of day.
func (o *Outbox) Step(now, wall core.Micros) []Action {
	for _, s := range o.order {
		o.send(now, wall, s)
		if s.paging && !s.asked && len(s.held) <= o.cfg.Window/2 {
			s.asked = true
			o.out = append(o.out, Page{Sub: s.Name, After: s.loaded, Limit: o.cfg.Window - len(s.held)})
		}
	}
	o.save(now)
	out := o.out
	o.out = nil
	return out
}

// send sends what is due of a subscription, as far as its receiver's limits go.
func (o *Outbox) send(now, wall core.Micros, s *sub) {
	for len(s.ready) > 0 && s.ready[0].at <= now {
		l := s.ready[0]
		e := &l.events[0]
		if s.Deadline > 0 && !e.counted && wall > e.At+s.Deadline {
			heap.Pop(&s.ready)
			o.putAside(now, l, "its deadline is over")
			continue
		}
		if s.Promise == AtMost && !e.counted {
			heap.Pop(&s.ready)
			o.claim(l)
			continue
		}
		if now < s.recv.from || !s.recv.admit(now) {
			return
		}
		heap.Pop(&s.ready)
		o.nextID++
		l.attempt++
		l.sending = true
		o.sending[o.nextID] = l
		o.out = append(o.out, Send{ID: o.nextID, Sub: s.Name, Event: e.Event, Key: Key(s.Name, &e.Event), Attempt: l.attempt, Ask: l.doubt || l.attempt == 1})
	}
}

// claim puts the lane's first event aside, to be sent once that is written.
func (o *Outbox) claim(l *lane) {
	s, e := l.s, &l.events[0]
	s.putAside(&e.Event, "it is sent once at most, and it is not known whether it was delivered")
	s.count(&e.Event)
	e.counted, l.sending = true, true
	s.claims[id(&e.Event)] = l
}

func (s *sub) putAside(e *Event, why string) {
	d := DeadLetter{Sub: s.Name, Event: *e, Why: why}
	s.aside[id(e)] = d
	s.dead = append(s.dead, d)
}

// admit takes one attempt from the receiver's limits.
func (r *receiver) admit(now core.Micros) bool {
	if r.InFlight > 0 && r.flying >= r.InFlight {
		return false
	}
	if r.PerSecond > 0 {
		r.tokens = min(r.tokens+float64(now-r.filled)/float64(core.Second)*r.PerSecond, max(r.PerSecond, 1))
		r.filled = now
		if r.tokens < 1 {
			return false
		}
		r.tokens--
	}
	r.flying++
	return true
}

// Sent is the result of Send. after is when the receiver wants to be asked
// again, 0 if it does not say.
func (o *Outbox) Sent(now core.Micros, sent uint64, out Outcome, after core.Micros) {
	l := o.sending[sent]
	if l == nil {
		return
	}
	delete(o.sending, sent)
	l.sending = false
	l.s.recv.flying--
	switch {
	case out == Delivered:
		l.s.revive(&l.events[0].Event)
		o.settle(now, l)
	case out == Rejected:
		o.putAside(now, l, "its receiver refused it")
	case out == Unknown && l.s.Promise == AtMost:
		o.settle(now, l) // it stays aside
	default:
		if out == Unknown {
			l.doubt = true
			after = max(after, l.s.recv.MaxAge)
		}
		l.at = now + max(o.pause(l), after)
		heap.Push(&l.s.ready, l)
	}
}

// putAside settles the lane's first event as a dead letter.
func (o *Outbox) putAside(now core.Micros, l *lane, why string) {
	l.s.putAside(&l.events[0].Event, why)
	o.settle(now, l)
}

// pause is how long a lane waits after a failed attempt: doubled each time, and
// spread by its key, so that not all come back at once.
func (o *Outbox) pause(l *lane) core.Micros {
	b := backoff.ExponentialBackOff{
		InitialInterval: time.Duration(o.cfg.FirstRetry) * time.Microsecond, Multiplier: 2, RandomizationFactor: 0,
		MaxInterval: time.Duration(o.cfg.LastRetry) * time.Microsecond,
	}
	b.Reset()
	var d time.Duration
	for range min(l.attempt, 40) {
		d = b.NextBackOff()
	}
	h := fnv.New64a()
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(l.attempt))
	_, _ = h.Write([]byte(Key(l.s.Name, &l.events[0].Event)))
	_, _ = h.Write(n[:])
	spread := float64(h.Sum64()>>11) / (1 << 53) // 0 to 1
	return core.Micros(float64(d/time.Microsecond) * (0.5 + spread))
}

// save writes what has been settled since the last write, once in a while.
//
// What is put aside is settled with its own record or after it.
func (o *Outbox) save(now core.Micros) {
	for _, s := range o.order {
		if len(s.dirty) == 0 {
			s.dirtyAt = now
		}
	}
	if now < o.saveDue(now) {
		return
	}
	o.nextID++
	w := &saving{id: o.nextID, marks: map[*sub]uint64{}, dead: map[*sub]int{}, alive: map[*sub]int{}}
	a := Save{ID: w.id}
	marks := 0
	room := func() bool { return marks+len(a.Drop)+len(a.Put)+len(a.Dead)+len(a.Alive) < o.cfg.ChunksPerSave }
	for _, s := range o.order {
		for i := 0; i < len(s.dead) && room(); i++ {
			a.Dead = append(a.Dead, s.dead[i])
			w.dead[s]++
		}
		if marks == 0 && s.mark > s.savedTo && room() {
			marks = 1
		}
	}
	if marks > 0 {
		for _, s := range o.order {
			// A mark does not pass what is put aside and not written yet.
			to := s.mark
			if w.dead[s] < len(s.dead) {
				to = s.savedTo
			}
			a.Marks = append(a.Marks, Mark{s.Name, to})
			w.marks[s] = to
		}
	}
	for _, s := range o.order {
		// If not all that is put aside did fit, there is no room for this either.
		for _, c := range sortedKeys(s.dirty) {
			if !room() || now-s.dirtyAt < o.cfg.ChunkGap {
				break
			}
			b, err := s.settled[c].ToBytes()
			if err != nil {
				continue // into memory: it does not fail
			}
			k := ChunkKey{s.Name, c}
			a.Put = append(a.Put, Chunk{k, base64.StdEncoding.EncodeToString(b)})
			w.put = append(w.put, k)
			delete(s.dirty, c)
		}
		to := max(s.savedTo, w.marks[s]) // what is the mark once this is written
		for _, c := range sortedKeys(s.stored) {
			if s.settled[c] == nil && to >= s.mark && room() {
				a.Drop = append(a.Drop, ChunkKey{s.Name, c})
				w.drop = append(w.drop, ChunkKey{s.Name, c})
			}
		}
		// A record of what is put aside goes only when that is written as settled:
		// nothing else would say so to the next leader.
		for len(s.alive) > w.alive[s] && room() && s.written(s.alive[w.alive[s]].Event.Revision, to) {
			a.Alive = append(a.Alive, s.alive[w.alive[s]])
			w.alive[s]++
		}
	}
	if len(a.Marks)+len(a.Drop)+len(a.Put)+len(a.Dead)+len(a.Alive) == 0 {
		return
	}
	o.saving, o.saveAt = w, now+o.cfg.SaveGap
	o.out = append(o.out, a)
}

// saveDue is when there is next something to write, given what is known now.
func (o *Outbox) saveDue(now core.Micros) core.Micros {
	at := core.MaxMicros
	if o.saving != nil {
		return at
	}
	for _, s := range o.order {
		switch {
		case len(s.dead) > 0:
			return now
		case s.mark > s.savedTo, s.passed(), len(s.alive) > 0 && s.written(s.alive[0].Event.Revision, s.savedTo):
			at = min(at, max(o.saveAt, now))
		case len(s.dirty) > 0:
			at = min(at, max(o.saveAt, s.dirtyAt+o.cfg.ChunkGap, now))
		}
	}
	return at
}

// passed reports whether a bitmap has a record that the mark has passed.
func (s *sub) passed() bool {
	for c := range s.stored {
		if s.settled[c] == nil {
			return true
		}
	}
	return false
}

// written reports whether a revision is written as settled, given the mark.
func (s *sub) written(rev, mark uint64) bool {
	if rev <= mark {
		return true
	}
	c := rev / ChunkSize
	return s.settled[c] != nil && s.settled[c].Contains(uint32(rev%ChunkSize)) && !s.dirty[c]
}

func sortedKeys(m map[uint64]bool) []uint64 {
	out := make([]uint64, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// Saved is the result of Save. What was not stored, or may not have been, is
// written again: the records say the same whoever writes them twice.
func (o *Outbox) Saved(now core.Micros, save uint64, ok bool) {
	w := o.saving
	if w == nil || w.id != save {
		return
	}
	o.saving = nil
	if !ok {
		for _, k := range w.put {
			if s := o.subs[k.Sub]; s.settled[k.Chunk] != nil {
				s.dirty[k.Chunk] = true
			}
		}
		o.saveAt = now + core.Second
		return
	}
	for s, n := range w.dead {
		for _, d := range s.dead[:n] {
			if l := s.claims[id(&d.Event)]; l != nil {
				delete(s.claims, id(&d.Event))
				l.sending = false
				heap.Push(&s.ready, l)
			}
		}
		s.dead = s.dead[n:]
	}
	for s, n := range w.alive {
		s.alive = s.alive[n:]
	}
	for s, to := range w.marks {
		s.savedTo = max(s.savedTo, to)
	}
	for _, k := range w.put {
		o.subs[k.Sub].stored[k.Chunk] = true
	}
	for _, k := range w.drop {
		delete(o.subs[k.Sub].stored, k.Chunk)
	}
}

// Wake is when Step is wanted next if nothing happens before.
func (o *Outbox) Wake(now core.Micros) core.Micros {
	at := o.saveDue(now)
	for _, s := range o.order {
		if len(s.ready) > 0 {
			next := max(s.ready[0].at, s.recv.from)
			if r := s.recv; next <= now {
				// Its receiver's limits hold it: in flight is an event, tokens come.
				next = core.MaxMicros
				if r.PerSecond > 0 && (r.InFlight == 0 || r.flying < r.InFlight) {
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
func (o *Outbox) Undelivered(name string) (held int, more bool) {
	s := o.subs[name]
	if s == nil {
		return 0, false
	}
	return len(s.held), s.paging
}

// revisions is a heap of revisions, the lowest first.
type revisions []uint64

func (h revisions) Len() int           { return len(h) }
func (h revisions) Less(i, k int) bool { return h[i] < h[k] }
func (h revisions) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *revisions) Push(v any)        { *h = append(*h, v.(uint64)) }
func (h *revisions) Pop() any {
	v := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return v
}

// lanes is a heap of lanes that wait, the first due first.
type lanes []*lane

func (h lanes) Len() int { return len(h) }
func (h lanes) Less(i, k int) bool {
	if h[i].at != h[k].at {
		return h[i].at < h[k].at
	}
	return h[i].events[0].Revision < h[k].events[0].Revision
}
func (h lanes) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].pos, h[k].pos = i, k
}
func (h *lanes) Push(v any) {
	l := v.(*lane)
	l.pos = len(*h)
	*h = append(*h, l)
}
func (h *lanes) Pop() any {
	l := (*h)[len(*h)-1]
	l.pos = -1
	*h = (*h)[:len(*h)-1]
	return l
}
