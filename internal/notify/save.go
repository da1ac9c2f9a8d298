package notify

import (
	"container/heap"
	"maps"
	"slices"

	"aspenstall/internal/core"
)

// pendingSave is a write in progress, with the state that it stores.
type pendingSave struct {
	id                 uint64
	watermarks         map[*subscriptionState]uint64
	putChunks          []ChunkKey
	deletedChunks      []ChunkKey
	putDeadLetters     map[*subscriptionState]int // number of entries of deadLettersToPut
	deletedDeadLetters map[*subscriptionState]int // number of entries of deadLettersToDelete
}

// saveDue emits a Save with the changes since the last write, if one is due.
//
// An event that becomes a dead letter is written as settled together with the record of the
// dead letter or after it, never before.
func (o *Outbox) saveDue(now core.Micros) {
	for _, s := range o.subscriptionsInOrder {
		if len(s.dirtyHalves) == 0 {
			s.dirtySince = now
		}
	}
	if now < o.nextSave(now) {
		return
	}
	o.nextID++
	pending := &pendingSave{id: o.nextID, watermarks: map[*subscriptionState]uint64{}, putDeadLetters: map[*subscriptionState]int{}, deletedDeadLetters: map[*subscriptionState]int{}}
	a := Save{ID: pending.id}
	watermarkOps := 0
	room := func() bool {
		return watermarkOps+len(a.DeleteChunks)+len(a.PutChunks)+len(a.PutDeadLetters)+len(a.DeleteDeadLetters) < o.cfg.MaxOpsPerSave
	}
	for _, s := range o.subscriptionsInOrder {
		for i := 0; i < len(s.deadLettersToPut) && room(); i++ {
			a.PutDeadLetters = append(a.PutDeadLetters, s.deadLettersToPut[i])
			pending.putDeadLetters[s]++
		}
		if watermarkOps == 0 && s.watermark > s.savedWatermark && room() {
			watermarkOps = 1
		}
	}
	if watermarkOps > 0 {
		a.Watermarks = append(a.Watermarks, o.otherWatermarks...)
		for _, s := range o.subscriptionsInOrder {
			// The watermark must not pass a dead letter that is not written yet.
			to := s.watermark
			if pending.putDeadLetters[s] < len(s.deadLettersToPut) {
				to = s.savedWatermark
			}
			a.Watermarks = append(a.Watermarks, Watermark{s.Name, to})
			pending.watermarks[s] = to
		}
	}
	for _, s := range o.subscriptionsInOrder {
		// If not all dead letters fitted into this write, there is no room for a chunk either.
		for _, half := range slices.Sorted(maps.Keys(s.dirtyHalves)) {
			if !room() || now-s.dirtySince < o.cfg.ChunkSaveDelay {
				break
			}
			if !s.dirtyHalves[half] {
				continue // it is in the record of the whole chunk
			}
			record := s.recordOf(half, o.cfg.MaxChunkBytes)
			a.PutChunks = append(a.PutChunks, record)
			pending.putChunks = append(pending.putChunks, record.ChunkKey)
			for _, h := range record.halves() {
				delete(s.dirtyHalves, h)
			}
		}
		to := max(s.savedWatermark, pending.watermarks[s]) // the stored watermark after this write
		for _, key := range slices.SortedFunc(maps.Keys(s.storedChunks), ChunkKey.compare) {
			if s.settled[key.Chunk] == nil && to >= s.watermark && room() {
				a.DeleteChunks = append(a.DeleteChunks, key)
				pending.deletedChunks = append(pending.deletedChunks, key)
			}
		}
		// The record of a dead letter is deleted only when its event is stored as settled.
		// Otherwise the next leader would send the event again.
		for len(s.deadLettersToDelete) > pending.deletedDeadLetters[s] && room() && s.settlementSaved(s.deadLettersToDelete[pending.deletedDeadLetters[s]].Event.Revision, to) {
			a.DeleteDeadLetters = append(a.DeleteDeadLetters, s.deadLettersToDelete[pending.deletedDeadLetters[s]])
			pending.deletedDeadLetters[s]++
		}
	}
	if len(a.Watermarks)+len(a.DeleteChunks)+len(a.PutChunks)+len(a.PutDeadLetters)+len(a.DeleteDeadLetters) == 0 {
		return
	}
	o.pendingSave, o.nextSaveAt = pending, now+o.cfg.MinSaveInterval
	o.actions = append(o.actions, a)
}

// nextSave returns when the next write is due if nothing changes, or MaxMicros.
func (o *Outbox) nextSave(now core.Micros) core.Micros {
	at := core.MaxMicros
	if o.pendingSave != nil {
		return at
	}
	for _, s := range o.subscriptionsInOrder {
		switch {
		case len(s.deadLettersToPut) > 0:
			return now
		case s.watermark > s.savedWatermark, s.hasObsoleteChunk(), len(s.deadLettersToDelete) > 0 && s.settlementSaved(s.deadLettersToDelete[0].Event.Revision, s.savedWatermark):
			at = min(at, max(o.nextSaveAt, now))
		case len(s.dirtyHalves) > 0:
			at = min(at, max(o.nextSaveAt, s.dirtySince+o.cfg.ChunkSaveDelay, now))
		}
	}
	return at
}

// HandleSaveResult processes the result of the Save with an ID. Changes that were not stored,
// or may not have been, are written again: the writes are idempotent.
func (o *Outbox) HandleSaveResult(now core.Micros, save uint64, ok bool) {
	pending := o.pendingSave
	if pending == nil || pending.id != save {
		return
	}
	o.pendingSave = nil
	if !ok {
		for _, key := range pending.putChunks {
			s := o.subscriptions[key.Subscription]
			s.markDirty(key)
			s.storedChunks[key] = true // the write may have been executed
		}
		o.nextSaveAt = now + core.Second
		return
	}
	for s, n := range pending.putDeadLetters {
		for _, d := range s.deadLettersToPut[:n] {
			if q := s.sendAfterSave[eventID(&d.Event)]; q != nil {
				delete(s.sendAfterSave, eventID(&d.Event))
				q.busy = false
				heap.Push(&s.ready, q)
			}
		}
		s.deadLettersToPut = s.deadLettersToPut[n:]
	}
	for s, n := range pending.deletedDeadLetters {
		s.deadLettersToDelete = s.deadLettersToDelete[n:]
	}
	for s, to := range pending.watermarks {
		s.savedWatermark = max(s.savedWatermark, to)
	}
	for _, key := range pending.putChunks {
		o.subscriptions[key.Subscription].storedChunks[key] = true
	}
	for _, key := range pending.deletedChunks {
		delete(o.subscriptions[key.Subscription].storedChunks, key)
	}
}
