package node

import (
	"log/slog"
	"reflect"
	"testing"
	"time"

	"aspenstall/internal/core"
	"aspenstall/internal/golden"
	"aspenstall/internal/notify"
	"aspenstall/internal/wire"
)

func TestKeys(t *testing.T) {
	got := []string{watchedPrefix, leaderKey, catalogKey, jobPrefix, outboxPrefix, marksKey, chunkPrefix, deadLetterPrefix}
	want := []string{"c/", "c/leader", "c/catalog", "c/job/", "o/", "o/marks", "o/set/", "o/dead/"}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestOutboxNames(t *testing.T) {
	letter := notify.DeadLetter{Subscription: "s", Reason: "w", Event: notify.Event{Job: "job-1", Team: "t", Class: "c", Kind: notify.Done, Revision: 2, At: 3}}
	record := &deadLetterRecord{Sub: "s", Job: "job-1", Team: "t", Class: "c", Kind: "done", Revision: 2, At: 3, Why: "w"}
	golden.AllSet(t, "dead letter", *record, nil)
	golden.AllSet(t, "dead letter", letter, nil)

	n := &Node{started: time.Now(), log: slog.New(slog.DiscardHandler)}
	n.committer = committer{n: n, backgroundNotBefore: core.MaxMicros} // it sends nothing
	n.saveOutbox(&term{}, nil, notify.Save{
		ID: 1, Watermarks: []notify.Watermark{{Subscription: "s", Revision: 4}, {Subscription: "q", Revision: 5}},
		PutChunks:      []notify.Chunk{{ChunkKey: notify.ChunkKey{Subscription: "s", Chunk: 6}, Bitmap: bitmap}},
		DeleteChunks:   []notify.ChunkKey{{Subscription: "s", Chunk: 7}},
		PutDeadLetters: []notify.DeadLetter{letter}, DeleteDeadLetters: []notify.DeadLetter{{Subscription: "s", Event: notify.Event{Job: "job-8", Kind: notify.Cancelled}}},
	})
	var got []string
	for _, op := range n.committer.backgroundQueue[0].ops {
		got = append(got, op.Put+op.Delete)
		switch op.Put {
		case "o/marks", "o/set/s/6", "o/dead/s/job-1.done":
			golden.Compare(t, op.Put, op.Value)
		}
	}
	if want := []string{"o/marks", "o/set/s/6", "o/dead/s/job-1.done", "o/set/s/7", "o/dead/s/job-8.cancelled"}; !reflect.DeepEqual(got, want) {
		t.Errorf("keys %q, want %q", got, want)
	}

	box := notify.New(notify.Config{Subscriptions: []notify.Subscription{{Name: "s", Receiver: "r"}}, Receivers: []notify.Receiver{{Name: "r"}}})
	for _, key := range []string{"o/dead/s/job-1.done", "o/set/s/6"} {
		if err := loadOutboxRecord(box, wire.Entry{Key: key, Value: golden.Pack(t, golden.Message(t, key))}); err != nil {
			t.Error(err)
		}
	}
	if got := box.DeadLetters("s"); !reflect.DeepEqual(got, []notify.DeadLetter{letter}) {
		t.Errorf("golden is read as %+v", got)
	}
}

// bitmap is the stored bitmap of a chunk that contains one revision.
const bitmap = "OjAAAAEAAAAAAAAAEAAAAGQA"
