package node

import (
	"testing"

	"aspenstall/internal/wire"
)

// TestBatchesKeepConflicts checks that of two changes with the same condition, or one that the other
// breaks, only the first is in a transaction: together both would be executed. Two versions of a job
// file would both start native jobs, of which the first ones would run on after a purge.
func TestBatchesKeepConflicts(t *testing.T) {
	request := func(writes []wire.Write, conditions ...wire.Cond) *writeRequest {
		return &writeRequest{ops: writes, conds: conditions}
	}
	put := func(key string) []wire.Write { return []wire.Write{{Put: key}} }
	remove := func(key string) []wire.Write { return []wire.Write{{Delete: key}} }
	at := func(key string, revision uint64) wire.Cond { return wire.Cond{Key: key, ModRevision: revision} }
	for _, c := range []struct {
		name  string
		queue []*writeRequest
		first int // requests in the first transaction
	}{
		{"two new records under one key", []*writeRequest{request(put("a"), at("a", 0)), request(put("a"), at("a", 0))}, 1},
		{"two versions of a record", []*writeRequest{request(put("a"), at("a", 5)), request(put("a"), at("a", 5))}, 1},
		{"a new version, and a deletion", []*writeRequest{request(put("a"), at("a", 5)), request(remove("a"), at("a", 5))}, 1},
		{"a deletion, and a new version", []*writeRequest{request(remove("a"), at("a", 5)), request(put("a"), at("a", 5))}, 1},
		{"a condition on another request's key", []*writeRequest{request(put("a"), at("a", 5)), request(put("b"), at("b", 0), at("a", 5))}, 1},
		{"the third breaks the first one's", []*writeRequest{request(put("a"), at("a", 0)), request(put("b"), at("b", 0)), request(put("c"), at("a", 0))}, 2},
		{"separate records", []*writeRequest{request(put("a"), at("a", 0)), request(put("b"), at("b", 0)), request(put("c"), at("c", 3))}, 3},
		{"a common condition", []*writeRequest{request(put("a"), at("x", 1)), request(put("b"), at("x", 1))}, 2},
		{"the leader's writes of one record, without conditions", []*writeRequest{request(put("a")), request(put("a"))}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newTestNode()
			queue := c.queue
			if batch := n.committer.nextBatch(&queue); len(batch) != c.first || len(queue) != len(c.queue)-c.first {
				t.Errorf("%d requests in the transaction, %d left; want %d in it", len(batch), len(queue), c.first)
			}
		})
	}
}
