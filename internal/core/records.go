package core

import (
	"fmt"
	"maps"
	"slices"
)

// Keys of the leader's bookkeeping.
const (
	OpenPrefix    = "b/open/"
	RangesPrefix  = "b/done/"
	MachinePrefix = "b/machine/"
	RentPrefix    = "b/rent/"
	KeptPrefix    = "b/kept/"
)

// RangeKey is where a chunk of a job's finished tasks is kept; after so many writes
// without an answer in another place. What is kept of a chunk is all of them together.
func RangeKey(id string, chunk, unsure int) string {
	if unsure == 0 {
		return fmt.Sprintf("%s%s/%d", RangesPrefix, id, chunk)
	}
	return fmt.Sprintf("%s%s/%d-%d", RangesPrefix, id, chunk, unsure)
}

func (c *Core) jobKeys(j *job) []string {
	keys := []string{OpenPrefix + j.spec.ID}
	keys = slices.AppendSeq(keys, maps.Keys(j.stored))
	slices.Sort(keys[1:])
	return keys
}

func (c *Core) write(w Write, done func(now Micros, o WriteOutcome)) {
	c.writeID++
	w.ID = c.writeID
	if done != nil {
		c.writes[w.ID] = done
	}
	c.out = append(c.out, w)
}

// Written is the result of a Write.
func (c *Core) Written(now Micros, id uint64, o WriteOutcome) {
	if !c.leading {
		return
	}
	if f := c.writes[id]; f != nil {
		delete(c.writes, id)
		f(now, o)
	}
}
