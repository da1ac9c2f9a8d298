package notify

import (
	"encoding/base64"
	"math/rand/v2"
	"testing"

	"github.com/RoaringBitmap/roaring/v2"
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
