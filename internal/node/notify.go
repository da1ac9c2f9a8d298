package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"aspenstall/internal/core"
	"aspenstall/internal/notify"
	"aspenstall/internal/notify/control"
	"aspenstall/internal/notify/deliver"
	"aspenstall/internal/txn"
	"aspenstall/internal/wait"
	"aspenstall/internal/wire"
)

// Keys of the outbox. Only a leader reads them, when its term begins.
const (
	outboxPrefix     = "o/"
	marksKey         = outboxPrefix + "marks" // value: revisions by subscription
	chunkPrefix      = outboxPrefix + "set/"  // followed by the subscription and the chunk
	halfPrefix       = outboxPrefix + "half/" // like chunkPrefix, followed by a dot and the half, 1 or 2
	deadLetterPrefix = outboxPrefix + "dead/" // followed by the subscription, the job and the kind of event
)

// notifier holds the state for the delivery of notifications. outbox belongs to the owning
// goroutine. It is set only while this node leads and has read the outbox's records.
type notifier struct {
	subscriptions []string                   // their names
	senders       map[string]*deliver.Sender // by subscription; subscriptions of one receiver share a sender
	outbox        *notify.Outbox
}

func newNotifier(n *Node) *notifier {
	s := n.settings.Notify
	if s == nil || len(s.Subscriptions) == 0 {
		return nil
	}
	v := &notifier{senders: map[string]*deliver.Sender{}}
	byName := map[string]*deliver.Sender{}
	for _, r := range s.Receivers {
		byName[r.Limits.Name] = deliver.New(r.Delivery, n.dial)
	}
	for _, sub := range s.Subscriptions {
		v.subscriptions = append(v.subscriptions, sub.Name)
		v.senders[sub.Name] = byName[sub.Receiver]
	}
	return v
}

// outboxConfig returns the outbox's configuration.
func (n *Node) outboxConfig() notify.Config {
	c := notify.Config{
		TermStart: n.now(), Subscriptions: n.settings.Notify.Subscriptions, MaxBuffered: 1000, MinSaveInterval: 5 * core.Second, ChunkSaveDelay: 15 * core.Second,
		// The rest of the transaction is left to writes that jobs wait for.
		MaxOpsPerSave:  max(n.stateLimits.TxnOps/2, 2),
		MaxChunkBytes:  n.stateLimits.RecordBytes(),
		InitialBackoff: core.Second, MaxBackoff: 120 * core.Second,
	}
	for _, r := range n.settings.Notify.Receivers {
		c.Receivers = append(c.Receivers, r.Limits)
	}
	return c
}

// startOutbox reads the outbox's records and starts delivery. It retries until ctx ends. A new
// subscription begins at the current revision, which is recorded before anything is delivered.
func (n *Node) startOutbox(ctx context.Context, t *term) {
	for ctx.Err() == nil {
		err := n.tryStartOutbox(ctx, t)
		if err == nil {
			return
		}
		n.log.Info("notifications cannot begin yet", "err", err)
		wait.For(ctx, time.Second)
	}
}

func (n *Node) tryStartOutbox(ctx context.Context, t *term) error {
	if !n.refreshView(ctx) {
		return errors.New("the view could not be brought up to date")
	}
	// Everything written after this revision reaches the outbox through the view.
	type readPoint struct{ since, token uint64 }
	start, ok := call(ctx, n, func(reply func(readPoint)) { reply(readPoint{n.view.revision, t.token}) })
	if !ok {
		return ctx.Err()
	}
	entries, _, err := n.stateClient.List(ctx, outboxPrefix)
	if err != nil {
		return err
	}
	box := notify.New(n.outboxConfig())
	marks, marksRevision := map[string]uint64{}, uint64(0)
	for _, e := range entries {
		if e.Key != marksKey {
			if err := loadOutboxRecord(box, e); err != nil {
				return err
			}
			continue
		}
		marksRevision = e.ModRevision
		if err := wire.Unmarshal(e.Value, &marks); err != nil {
			return fmt.Errorf("record %s: %w", e.Key, err)
		}
	}
	added := false
	for _, sub := range n.notifier.subscriptions {
		if _, ok := marks[sub]; !ok {
			marks[sub], added = start.since, true
		}
	}
	for sub, revision := range marks {
		box.LoadWatermark(notify.Watermark{Subscription: sub, Revision: revision})
	}
	if added {
		v, err := wire.Marshal(marks)
		if err != nil {
			return err
		}
		_, err = n.stateClient.Commit(ctx, &wire.Txn{
			If:   []wire.Cond{{Key: leaderKey, ModRevision: start.token}, {Key: marksKey, ModRevision: marksRevision}},
			Then: []wire.Write{{Kind: txn.NotificationMarks, Put: marksKey, Value: v}},
		})
		if err != nil {
			return err
		}
	}
	n.post(func() {
		n.ifCurrentTerm(t, func() {
			for _, e := range n.eventsAfter(box.MinWatermark(), n.view.revision) {
				box.HandleEvent(n.now(), e)
			}
			box.HandleEventsComplete(n.view.revision)
			n.notifier.outbox = box
			n.log.Info("notification delivery started", "subscriptions", len(n.notifier.subscriptions))
		})
	})
	return nil
}

// loadOutboxRecord loads one record other than the marks.
func loadOutboxRecord(box *notify.Outbox, e wire.Entry) error {
	switch {
	case strings.HasPrefix(e.Key, chunkPrefix), strings.HasPrefix(e.Key, halfPrefix):
		key, err := parseChunkKey(e.Key)
		if err != nil {
			return fmt.Errorf("record %s: %w", e.Key, err)
		}
		var bitmap string
		if err := wire.Unmarshal(e.Value, &bitmap); err != nil {
			return fmt.Errorf("record %s: %w", e.Key, err)
		}
		return box.LoadChunk(notify.Chunk{ChunkKey: key, Bitmap: bitmap})
	case strings.HasPrefix(e.Key, deadLetterPrefix):
		var d deadLetterRecord
		if err := wire.Unmarshal(e.Value, &d); err != nil {
			return fmt.Errorf("record %s: %w", e.Key, err)
		}
		k, ok := notify.ParseKind(d.Kind)
		if !ok {
			return fmt.Errorf("record %s: kind %q", e.Key, d.Kind)
		}
		box.LoadDeadLetter(notify.DeadLetter{Subscription: d.Sub, Reason: d.Why, Event: notify.Event{
			Job: d.Job, Team: d.Team, Class: d.Class, Kind: k, Revision: d.Revision, At: core.Micros(d.At),
		}})
	}
	return nil
}

// chunkRecordKey returns the key of a record of settled revisions.
func chunkRecordKey(k notify.ChunkKey) string {
	if k.Part == notify.WholeChunk {
		return fmt.Sprintf("%s%s/%d", chunkPrefix, k.Subscription, k.Chunk)
	}
	return fmt.Sprintf("%s%s/%d.%d", halfPrefix, k.Subscription, k.Chunk, k.Part)
}

// parseChunkKey parses a key that chunkRecordKey returned.
func parseChunkKey(key string) (notify.ChunkKey, error) {
	prefix := chunkPrefix
	if strings.HasPrefix(key, halfPrefix) {
		prefix = halfPrefix
	}
	subscription, name, _ := strings.Cut(key[len(prefix):], "/")
	part := uint64(notify.WholeChunk)
	var err error
	if prefix == halfPrefix {
		var half string
		name, half, _ = strings.Cut(name, ".")
		if part, err = strconv.ParseUint(half, 10, 8); err == nil && part != uint64(notify.FirstHalf) && part != uint64(notify.SecondHalf) {
			err = fmt.Errorf("half %d", part)
		}
		if err != nil {
			return notify.ChunkKey{}, err
		}
	}
	chunk, err := strconv.ParseUint(name, 10, 64)
	return notify.ChunkKey{Subscription: subscription, Chunk: chunk, Part: notify.ChunkPart(part)}, err
}

// deadLetterRecord is a dead letter in its stored form.
type deadLetterRecord struct {
	Sub      string `msgpack:"s"`
	Job      string `msgpack:"j"`
	Team     string `msgpack:"t"`
	Class    string `msgpack:"c"`
	Kind     string `msgpack:"k"`
	Revision uint64 `msgpack:"r"`
	At       int64  `msgpack:"at"`
	Why      string `msgpack:"w"`
}

func deadLetterKey(d *notify.DeadLetter) string {
	return deadLetterPrefix + d.Subscription + "/" + d.Event.Job + "." + d.Event.Kind.String()
}

// jobEvents returns the events after a revision that a job's record implies.
func jobEvents(rec *core.JobRecord, after uint64) []notify.Event {
	var out []notify.Event
	add := func(k notify.Kind, rev uint64, at core.Micros) {
		if rev > after {
			out = append(out, notify.Event{Job: rec.Spec.ID, Team: rec.Spec.Team, Class: rec.Spec.Class, Kind: k, Revision: rev, At: at})
		}
	}
	add(notify.Accepted, cmp.Or(rec.AcceptedRevision, rec.Revision), rec.SubmittedAt)
	if !endRecorded(rec) {
		return out // its own record comes
	}
	switch rec.Phase {
	case core.Done:
		add(notify.Done, rec.Revision, rec.EndedAt)
	case core.Cancelled:
		add(notify.Cancelled, rec.Revision, rec.EndedAt)
	}
	return out
}

func sortEvents(events []notify.Event) []notify.Event {
	slices.SortFunc(events, func(a, b notify.Event) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Job, b.Job))
	})
	return events
}

// eventsAfter returns all events after a revision and up to another one, in order.
func (n *Node) eventsAfter(after, upTo uint64) []notify.Event {
	var out []notify.Event
	for _, rec := range n.view.jobs {
		for _, e := range jobEvents(&rec, after) {
			if e.Revision <= upTo {
				out = append(out, e)
			}
		}
	}
	return sortEvents(out)
}

// feedOutbox passes the events of jobs that the watch delivered to the outbox. The view held all
// changes up to the revision before; now it holds those up to upTo.
func (n *Node) feedOutbox(ids []string, before, upTo uint64) {
	v := n.notifier
	if v == nil || v.outbox == nil || upTo <= before {
		return
	}
	var events []notify.Event
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		rec := n.view.jobs[id]
		for _, e := range jobEvents(&rec, before) {
			if e.Revision <= upTo {
				events = append(events, e)
			}
		}
	}
	for _, e := range sortEvents(events) {
		v.outbox.HandleEvent(n.now(), e)
	}
	v.outbox.HandleEventsComplete(upTo)
}

// stepOutbox carries out the actions of the outbox. The leader's lease must be valid.
func (n *Node) stepOutbox() {
	t, box := n.term, n.notifier.outbox
	// The wall clock at the start and the monotonic clock from there: a wall clock that is set
	// forward must not end deadlines.
	wallNow := core.Micros(n.started.UnixMicro()) + n.now()
	for _, a := range box.Step(n.now(), wallNow) {
		switch a := a.(type) {
		case notify.Send:
			go n.deliver(t, t.token, box, a)
		case notify.Save:
			n.saveOutbox(t, box, a)
		case notify.FetchEvents:
			events, upTo, all := n.eventPage(a)
			box.HandleFetchedEvents(n.now(), a.Subscription, events, upTo, all)
		}
	}
}

// eventPage returns the events after a.After, at most a.Limit unless several share the last
// revision. upTo is the last revision that they cover, and all reports whether no later events are
// known.
func (n *Node) eventPage(a notify.FetchEvents) (events []notify.Event, upTo uint64, all bool) {
	events = n.eventsAfter(a.After, n.view.revision)
	for i, e := range events {
		if i >= a.Limit && e.Revision > events[i-1].Revision {
			return events[:i], events[i-1].Revision, false
		}
	}
	return events, n.view.revision, true
}

// deliver sends one notification for a term, if that is not over and its lease is valid, and reports the
// outcome to the outbox.
func (n *Node) deliver(t *term, token uint64, box *notify.Outbox, a notify.Send) {
	out, after := notify.NotAttempted, core.Micros(0)
	started := time.Now()
	leading := func() bool { return n.leads(t) }
	if leading() {
		out, after = n.notifier.senders[a.Subscription].Send(n.ctx, a, token, leading)
	}
	outcomes := [...]string{"delivered", "not taken", "in doubt", "refused", "not attempted"}
	n.log.Info("notification "+outcomes[out], "subscription", a.Subscription, "job", a.Event.Job, "event", a.Event.Kind.String(), "key", a.Key,
		"attempt", a.Attempt, "took_ms", time.Since(started).Milliseconds())
	n.post(func() {
		if n.notifier.outbox == box {
			box.HandleSendResult(n.now(), a.ID, out, after)
		}
	})
}

// saveOutbox writes the outbox's changes in one transaction, as a background write of the leader:
// behind the writes that users and tasks wait for.
func (n *Node) saveOutbox(t *term, box *notify.Outbox, a notify.Save) {
	req := &writeRequest{term: t}
	put := func(key string, v any) {
		b, err := wire.Marshal(v)
		if err != nil {
			// The value holds only strings and numbers, so this does not fail.
			n.log.Error("encoding a record failed", "key", key, "err", err)
		}
		req.ops = append(req.ops, wire.Write{Kind: txn.NotificationState, Put: key, Value: b})
	}
	if len(a.Watermarks) > 0 {
		marks := map[string]uint64{}
		for _, m := range a.Watermarks {
			marks[m.Subscription] = m.Revision
		}
		put(marksKey, marks)
	}
	for _, c := range a.PutChunks {
		put(chunkRecordKey(c.ChunkKey), c.Bitmap)
	}
	for _, d := range a.PutDeadLetters {
		n.log.Warn("notification put aside", "subscription", d.Subscription, "job", d.Event.Job, "event", d.Event.Kind.String(), "why", d.Reason)
		put(deadLetterKey(&d), &deadLetterRecord{d.Subscription, d.Event.Job, d.Event.Team, d.Event.Class, d.Event.Kind.String(), d.Event.Revision, int64(d.Event.At), d.Reason})
	}
	for _, k := range a.DeleteChunks {
		req.ops = append(req.ops, wire.Write{Kind: txn.NotificationState, Delete: chunkRecordKey(k)})
	}
	for _, d := range a.DeleteDeadLetters {
		req.ops = append(req.ops, wire.Write{Kind: txn.NotificationState, Delete: deadLetterKey(&d)})
	}
	saved := func(ok bool) {
		if n.notifier.outbox == box {
			box.HandleSaveResult(n.now(), a.ID, ok)
		}
	}
	req.done = func(_ uint64, err error) {
		if writeOutcome(err) == core.WriteUnknown {
			// The write may still be executed after the next one and replace the marks and bitmaps
			// of that one. Notifications that were delivered would be delivered again.
			n.ifCurrentTerm(t, func() { t.fenceWrites(func() { saved(false) }) })
			return
		}
		saved(err == nil)
	}
	if !n.committer.add(req, false) {
		n.runLater(func() { saved(false) })
	}
}

// ControlNotifications carries out an operator's request. It fails with ErrNoLeader if this node
// does not lead or has not started delivery.
func (n *Node) ControlNotifications(ctx context.Context, a *control.Request) (*control.Response, error) {
	return callWithError(ctx, n, control.ErrNoLeader, func(reply func(*control.Response, error)) {
		if n.notifier == nil || n.notifier.outbox == nil || !n.leaseValid() {
			reply(nil, control.ErrNoLeader)
			return
		}
		if a.Op == control.Retry || a.Op == control.Drop {
			n.log.Info("operator request on notifications", "op", string(a.Op), "subscription", a.Subscription, "job", a.Job, "event", a.Kind)
		}
		reply(control.Execute(n.notifier.outbox, n.settings.Notify.Subscriptions, n.now(), a))
	})
}

// Notifications has the leader carry out an operator's request. It works on any node.
func (n *Node) Notifications(ctx context.Context, a *control.Request) (*control.Response, error) {
	c, here := n.leaderClient(ctx)
	switch {
	case here:
		return n.ControlNotifications(ctx, a)
	case c == nil:
		return nil, control.ErrNoLeader
	}
	out, err := c.ControlNotifications(ctx, a)
	if s, ok := status.FromError(err); ok && err != nil {
		if s.Code() == codes.Unknown && s.Message() != control.ErrNoLeader.Error() {
			return nil, errors.New(s.Message()) // the error that the leader returned
		}
		return nil, fmt.Errorf("%w (%s)", control.ErrNoLeader, s.Message())
	}
	return out, err
}
