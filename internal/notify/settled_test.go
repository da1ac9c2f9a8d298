package notify

import (
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/RoaringBitmap/roaring/v2"

	"aspenstall/internal/core"
)

// TestChunkRecordsFitValues guards against records of settled revisions that are larger than a
// value: the state service would refuse them for good.
func TestChunkRecordsFitValues(t *testing.T) {
	const maxBytes = 2048 - 200 // the smallest value of the deployments, less the encoding around it
	random := rand.New(rand.NewPCG(7, 7))
	wholes, halves := 0, 0
	for _, density := range []float64{0.001, 0.02, 0.1, 0.25, 0.5, 0.9, 0.99, 1} {
		for _, halfOnly := range []bool{false, true} {
			o := New(Config{Subscriptions: []Subscription{{Name: "s", Receiver: "r"}}, Receivers: []Receiver{{Name: "r"}}})
			s := o.subscriptions["s"]
			settled := roaring.New()
			for position := range uint32(ChunkSize) {
				if random.Float64() < density && (!halfOnly || position >= halfChunkSize) {
					settled.Add(position)
				}
			}
			const chunk = 3
			s.settled[chunk] = settled
			loaded := New(o.cfg)
			for half := uint64(2 * chunk); half < 2*chunk+2; half++ {
				r := s.recordOf(half, maxBytes)
				if len(r.Bitmap) > maxBytes {
					t.Errorf("density %v: a record of %d bytes", density, len(r.Bitmap))
				}
				if r.Part == WholeChunk {
					wholes++
				} else {
					halves++
				}
				if err := loaded.LoadChunk(r); err != nil {
					t.Fatal(err)
				}
			}
			if got := loaded.subscriptions["s"].settled[chunk]; !got.Equals(settled) {
				t.Errorf("density %v: %d revisions are read as %d", density, settled.GetCardinality(), got.GetCardinality())
			}
		}
	}
	if wholes == 0 || halves == 0 {
		t.Errorf("%d whole chunks and %d halves were written, want both", wholes, halves)
	}
	o := New(Config{Subscriptions: []Subscription{{Name: "s", Receiver: "r"}}, Receivers: []Receiver{{Name: "r"}}})
	for _, bad := range []Chunk{
		{ChunkKey{"s", 1, WholeChunk}, "not base64"}, {ChunkKey{"s", 1, WholeChunk}, "AAAA"}, {ChunkKey{"s", 1, FirstHalf}, "?"},
		{ChunkKey{"s", 1, SecondHalf}, base64.StdEncoding.EncodeToString(make([]byte, halfChunkSize/8+1))},
	} {
		if o.LoadChunk(bad) == nil {
			t.Errorf("%+v was read", bad.ChunkKey)
		}
	}
}

// TestChunkOfUnansweredSaveIsDeleted guards against a record that stays in the state service for
// good: its write was executed without an answer, and the watermark passed it before the retry.
func TestChunkOfUnansweredSaveIsDeleted(t *testing.T) {
	o := New(Config{
		Subscriptions: []Subscription{{Name: "s", Receiver: "r", Kinds: []Kind{Done}}}, Receivers: []Receiver{{Name: "r"}}, MaxBuffered: 10, MaxOpsPerSave: 10,
		InitialBackoff: core.Second, MaxBackoff: core.Second,
	})
	now := core.Second
	var sends []Send
	stored := map[ChunkKey]bool{}
	// step executes all saves; failed is what the outbox is told.
	step := func(failed bool) {
		now += 2 * core.Second
		for _, a := range o.Step(now, now) {
			switch a := a.(type) {
			case Send:
				sends = append(sends, a)
			case Save:
				for _, c := range a.PutChunks {
					stored[c.ChunkKey] = true
				}
				for _, key := range a.DeleteChunks {
					delete(stored, key)
				}
				o.HandleSaveResult(now, a.ID, !failed)
			}
		}
	}
	for rev := uint64(5); rev <= 6; rev++ {
		o.HandleEvent(now, Event{Job: fmt.Sprint(rev), Kind: Done, Revision: rev})
	}
	o.HandleEventsComplete(6)
	step(false)
	o.HandleSendResult(now, sends[1].ID, Delivered, 0) // the watermark stays below the first event
	step(true)
	if len(stored) != 1 {
		t.Fatalf("%d chunks are stored, want 1", len(stored))
	}
	o.HandleSendResult(now, sends[0].ID, Delivered, 0)
	for range 3 {
		step(false)
	}
	if len(stored) != 0 {
		t.Errorf("chunks %v are left in the store", stored)
	}
}
