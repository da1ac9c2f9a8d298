package core

import (
	"fmt"
	"maps"
	"slices"
)

// Keys of the leader's bookkeeping.
const (
	StartedPrefix    = "b/open/"
	CompletionPrefix = "b/done/"
	MachinePrefix    = "b/machine/"
	RentalPrefix     = "b/rent/"
	PartitionPrefix  = "b/kept/"
)

// RangeKey is where a chunk of a job's finished tasks is kept; after so many writes
// without an answer in another place. What is kept of a chunk is all of them together.
func CompletionKey(id string, chunk, unsure int) string {
	if unsure == 0 {
		return fmt.Sprintf("%s%s/%d", CompletionPrefix, id, chunk)
	}
	return fmt.Sprintf("%s%s/%d-%d", CompletionPrefix, id, chunk, unsure)
}

func (c *Core) jobKeys(j *job) []string {
	keys := []string{StartedPrefix + j.spec.ID}
	keys = slices.AppendSeq(keys, maps.Keys(j.completionKeys))
	slices.Sort(keys[1:])
	return keys
}

func (c *Core) write(w Write, done func(now Micros, o WriteOutcome)) {
	c.lastWriteID++
	w.ID = c.lastWriteID
	if done != nil {
		c.pendingWrites[w.ID] = done
	}
	c.actions = append(c.actions, w)
}

// Written is the result of a Write.
func (c *Core) WriteResult(now Micros, id uint64, o WriteOutcome) {
	if !c.leading {
		return
	}
	if f := c.pendingWrites[id]; f != nil {
		delete(c.pendingWrites, id)
		f(now, o)
	}
}
