package notify

import (
	"cmp"
	"container/heap"
	"encoding/base64"
	"fmt"
	"slices"

	"github.com/RoaringBitmap/roaring/v2"
)

// ChunkSize is the number of revisions that one chunk of the settled revisions covers. A chunk is
// stored as a Roaring bitmap, which every version of the program reads, if that fits into a value.
// Otherwise its halves are stored as plain bitmaps, which always fit: they take at most 1,368 bytes.
const (
	ChunkSize     = 1 << 14
	halfChunkSize = ChunkSize / 2
)

// ChunkPart is the part of a chunk that a record holds.
type ChunkPart uint8

// The parts of a chunk.
const (
	WholeChunk ChunkPart = iota // as a Roaring bitmap in its published format, as base64
	FirstHalf                   // as a plain bitmap, the lowest revision in the lowest bit, as base64
	SecondHalf                  // like FirstHalf
)

// ChunkKey identifies a record of settled revisions of a subscription.
type ChunkKey struct {
	Subscription string
	Chunk        uint64
	Part         ChunkPart
}

// compare orders the keys of one subscription.
func (k ChunkKey) compare(o ChunkKey) int {
	return cmp.Or(cmp.Compare(k.Chunk, o.Chunk), cmp.Compare(k.Part, o.Part))
}

// halves returns the numbers of the halves that the record holds.
func (k ChunkKey) halves() []uint64 {
	switch k.Part {
	case FirstHalf:
		return []uint64{2 * k.Chunk}
	case SecondHalf:
		return []uint64{2*k.Chunk + 1}
	}
	return []uint64{2 * k.Chunk, 2*k.Chunk + 1}
}

// halfKey returns the key of the record of a half, by its number.
func halfKey(subscription string, half uint64) ChunkKey {
	return ChunkKey{subscription, half / 2, FirstHalf + ChunkPart(half%2)}
}

// Chunk is a record of those revisions of a part of a chunk that are settled.
type Chunk struct {
	ChunkKey
	Bitmap string
}

// LoadChunk restores a stored record of a subscription's settled revisions. It returns an error if
// the bitmap cannot be decoded.
func (o *Outbox) LoadChunk(c Chunk) error {
	s := o.subscriptions[c.Subscription]
	if s == nil {
		return nil // the subscription no longer exists
	}
	bitmap, err := c.decode()
	if err != nil {
		return fmt.Errorf("settled revisions of subscription %s: %w", c.Subscription, err)
	}
	s.storedChunks[c.ChunkKey] = true
	if bitmap.IsEmpty() {
		return nil
	}
	if s.settled[c.Chunk] == nil {
		s.settled[c.Chunk] = roaring.New()
	}
	s.settled[c.Chunk].Or(bitmap)
	return nil
}

// decode returns the positions in the chunk that the record holds.
func (c *Chunk) decode() (*roaring.Bitmap, error) {
	b, err := base64.StdEncoding.DecodeString(c.Bitmap)
	if err != nil {
		return nil, err
	}
	bitmap := roaring.New()
	if c.Part == WholeChunk {
		return bitmap, bitmap.UnmarshalBinary(b)
	}
	if len(b) > halfChunkSize/8 {
		return nil, fmt.Errorf("bitmap of %d bytes", len(b))
	}
	first := uint32(c.Part-FirstHalf) * halfChunkSize
	for i, bits := range b {
		for bit := range uint32(8) {
			if bits&(1<<bit) != 0 {
				bitmap.Add(first + uint32(i)*8 + bit)
			}
		}
	}
	return bitmap, nil
}

// encodeWhole returns the record of a whole chunk.
func (s *subscriptionState) encodeWhole(chunk uint64) (Chunk, error) {
	bitmap := s.settled[chunk].Clone()
	bitmap.RunOptimize()
	b, err := bitmap.ToBytes()
	return Chunk{ChunkKey{s.Name, chunk, WholeChunk}, base64.StdEncoding.EncodeToString(b)}, err
}

// encodeHalf returns the record of a half, by its number.
func (s *subscriptionState) encodeHalf(half uint64) Chunk {
	first := uint32(half%2) * halfChunkSize
	bits := make([]byte, halfChunkSize/8)
	used := 0
	for it := s.settled[half/2].Iterator(); it.HasNext(); {
		position := it.Next()
		if position < first || position >= first+halfChunkSize {
			continue
		}
		i := int(position-first) / 8
		bits[i] |= 1 << ((position - first) % 8)
		used = i + 1
	}
	return Chunk{halfKey(s.Name, half), base64.StdEncoding.EncodeToString(bits[:used])}
}

// recordOf returns the record to write for a half that has changed: that of the whole chunk, if it
// has at most maxBytes, or else that of the half. maxBytes of 0 means no limit.
func (s *subscriptionState) recordOf(half uint64, maxBytes int) Chunk {
	whole, err := s.encodeWhole(half / 2)
	if err == nil && (maxBytes <= 0 || len(whole.Bitmap) <= maxBytes) {
		return whole
	}
	return s.encodeHalf(half)
}

// markDirty marks those parts of a record for writing that have settled revisions.
func (s *subscriptionState) markDirty(key ChunkKey) {
	bitmap := s.settled[key.Chunk]
	if bitmap == nil {
		return // the watermark has passed it
	}
	for _, half := range key.halves() {
		first := half % 2 * halfChunkSize
		if bitmap.CardinalityInRange(first, first+halfChunkSize) > 0 {
			s.dirtyHalves[half] = true
		}
	}
}

// isSettled reports whether a revision is settled.
func (s *subscriptionState) isSettled(rev uint64) bool {
	if rev <= s.watermark {
		return true
	}
	bm := s.settled[rev/ChunkSize]
	return bm != nil && bm.Contains(uint32(rev%ChunkSize))
}

// settleRevision adds a revision to the bitmap of settled revisions.
func (s *subscriptionState) settleRevision(rev uint64) {
	delete(s.unsettled, rev)
	c := rev / ChunkSize
	if s.settled[c] == nil {
		s.settled[c] = roaring.New()
	}
	s.settled[c].Add(uint32(rev % ChunkSize))
	s.dirtyHalves[rev/halfChunkSize] = true
}

// advanceWatermark moves the watermark up to the revision before the first unsettled one,
// and removes the chunks below it.
func (s *subscriptionState) advanceWatermark() {
	s.awaitingComplete = slices.DeleteFunc(s.awaitingComplete, func(rev uint64) bool {
		if n, ok := s.unsettled[rev]; rev > s.loadedThrough || ok && n > 0 {
			return ok && n > 0 // more events of it were buffered: settleEvent adds it again
		}
		s.settleRevision(rev)
		return true
	})
	for len(s.revisionHeap) > 0 && s.unsettled[s.revisionHeap[0]] == 0 && s.revisionHeap[0] <= s.loadedThrough {
		heap.Pop(&s.revisionHeap)
	}
	to := s.loadedThrough
	if len(s.revisionHeap) > 0 {
		to = min(to, s.revisionHeap[0]-1)
	}
	s.watermark = max(s.watermark, to)
	for c, bm := range s.settled {
		if c*ChunkSize+uint64(bm.Maximum()) <= s.watermark {
			delete(s.settled, c)
			delete(s.dirtyHalves, 2*c)
			delete(s.dirtyHalves, 2*c+1)
		}
	}
}

// hasObsoleteChunk reports whether a stored chunk is below the watermark.
func (s *subscriptionState) hasObsoleteChunk() bool {
	for key := range s.storedChunks {
		if s.settled[key.Chunk] == nil {
			return true
		}
	}
	return false
}

// settlementSaved reports whether a revision is stored as settled, given the stored watermark.
func (s *subscriptionState) settlementSaved(rev, watermark uint64) bool {
	if rev <= watermark {
		return true
	}
	c := rev / ChunkSize
	return s.settled[c] != nil && s.settled[c].Contains(uint32(rev%ChunkSize)) && !s.dirtyHalves[rev/halfChunkSize]
}
