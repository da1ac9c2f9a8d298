package core

import (
	"fmt"
	"maps"
	"slices"
)

// Prefixes of the keys of the leader's records.
const (
	StartedPrefix    = "b/open/"
	CompletionPrefix = "b/done/"
	MachinePrefix    = "b/machine/"
	RentalPrefix     = "b/rent/"
	PartitionPrefix  = "b/kept/"
)

// CompletionKey returns the key of the completion record of a chunk of size tasks of a job. The size
// is part of the key, so that a leader with other limits does not replace a record by one that
// covers fewer tasks. The key changes with the number of writes of the chunk that were not
// acknowledged. The completed tasks of a job are the union of all its records.
func CompletionKey(id string, size, chunk, unacknowledged int) string {
	if unacknowledged == 0 {
		return fmt.Sprintf("%s%s/%d.%d", CompletionPrefix, id, size, chunk)
	}
	return fmt.Sprintf("%s%s/%d.%d-%d", CompletionPrefix, id, size, chunk, unacknowledged)
}

// jobKeys returns the keys of the leader's records of a job.
func (c *Core) jobKeys(j *job) []string {
	keys := []string{StartedPrefix + j.spec.ID}
	keys = slices.AppendSeq(keys, maps.Keys(j.completionKeys))
	slices.Sort(keys[1:])
	return keys
}

// write adds a Write action. onResult is called with its outcome if the term has not ended by then;
// it may be nil.
func (c *Core) write(w Write, onResult func(now Micros, o WriteOutcome)) {
	c.lastWriteID++
	w.ID = c.lastWriteID
	if onResult != nil {
		c.pendingWrites[w.ID] = onResult
	}
	c.actions = append(c.actions, w)
}

// HandleWriteResult handles the result of the Write with the ID.
func (c *Core) HandleWriteResult(now Micros, id uint64, o WriteOutcome) {
	if !c.leading {
		return
	}
	if onResult := c.pendingWrites[id]; onResult != nil {
		delete(c.pendingWrites, id)
		onResult(now, o)
	}
}
