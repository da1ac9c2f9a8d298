package node

import (
	"aspenstall/internal/txn"
	"aspenstall/internal/wire"
)

// recordRevisions holds the revision of each of the leader's records that it may write again under the
// same key, as last read or stored. A write that replaces such a record is on condition of it, so that
// a copy of an answered write can't be executed after a newer one. After a write without an answer the
// next one uses another key, so the revision of a key is always known.
type recordRevisions map[string]uint64

// conditions returns the conditions of writes of the leader's records.
func (r recordRevisions) conditions(writes []wire.Write) []wire.Cond {
	var out []wire.Cond
	for i := range writes {
		w := &writes[i]
		if info, _ := txn.Describe(w.Kind); w.Put != "" && info.Guard == txn.TermAndRevisions {
			out = append(out, wire.Cond{Key: w.Put, ModRevision: r[w.Put]})
		}
	}
	return out
}

// noteStored takes note of writes that were executed at a revision.
func (r recordRevisions) noteStored(writes []wire.Write, revision uint64) {
	for i := range writes {
		w := &writes[i]
		info, _ := txn.Describe(w.Kind)
		switch {
		case w.Delete != "":
			delete(r, w.Delete)
		case info.Guard == txn.TermAndRevisions:
			r[w.Put] = revision
		}
	}
}
