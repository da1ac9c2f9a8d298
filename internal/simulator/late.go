package simulator

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"aspenstall/internal/txn"
	"aspenstall/internal/wire"
)

// lateWindow is how long after it was sent a transaction is still checked for a late execution. The
// protocol's late writes come up to 12 s late.
const lateWindow = time.Minute

// sentTransaction is a transaction that a client has sent. It may be executed once more, or for the
// first time, at any later time.
type sentTransaction struct {
	wire.Txn
	sentAt   time.Time
	revision uint64 // of the service when the transaction was sent
	reported bool
}

// lateTransactions checks, after each change, whether a transaction that was sent earlier could be
// executed now and undo a newer change. It is part of State, and protected by its lock.
type lateTransactions struct {
	sent      []*sentTransaction
	byKey     map[string][]*sentTransaction // by the keys of conditions and writes
	changedAt map[string]uint64             // the revision of the last put or deletion of one of these keys
	findings  []string
	keepAll   bool                      // past lateWindow, too
	changes   map[string][]recordChange // with keepAll: by key
}

// recordChange is a put or deletion of a key that was executed.
type recordChange struct {
	revision uint64
	by       *sentTransaction // nil for the end of a lease, and for keys that were loaded
	kind     txn.Kind
}

func newLateTransactions() *lateTransactions {
	return &lateTransactions{byKey: map[string][]*sentTransaction{}, changedAt: map[string]uint64{}, changes: map[string][]recordChange{}}
}

// TransactionSent takes note of a transaction that a client is about to send.
func (s *State) TransactionSent(t *wire.Txn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := &sentTransaction{
		Txn: wire.Txn{If: slices.Clone(t.If), Then: slices.Clone(t.Then)}, sentAt: time.Now(), revision: s.revision,
	}
	l := s.late
	l.forgetOld()
	l.sent = append(l.sent, sent)
	for _, key := range sent.keys() {
		l.byKey[key] = append(l.byKey[key], sent)
	}
	for _, op := range sent.Then {
		if info, _ := txn.Describe(op.Kind); info.Guard.ByTerm() && !sent.hasCondition(wire.LeaderKey) {
			l.findings = append(l.findings, fmt.Sprintf("late: a write of the kind %q is not on condition of the leader's key", op.Kind))
		}
	}
}

// LateFindings returns what was found since the last call: transactions that could have been executed
// late and undone a newer change.
func (s *State) LateFindings() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.late.findings
	s.late.findings = nil
	return found
}

// forgetOld forgets transactions that were sent before lateWindow.
func (l *lateTransactions) forgetOld() {
	for !l.keepAll && len(l.sent) > 0 && time.Since(l.sent[0].sentAt) > lateWindow {
		old := l.sent[0]
		l.sent = l.sent[1:]
		for _, key := range old.keys() {
			rest := slices.DeleteFunc(l.byKey[key], func(o *sentTransaction) bool { return o == old })
			if l.byKey[key] = rest; len(rest) == 0 {
				delete(l.byKey, key)
				delete(l.changedAt, key)
			}
		}
	}
}

// keys returns the keys of the conditions and the writes, each once.
func (t *sentTransaction) keys() []string {
	var keys []string
	for _, c := range t.If {
		keys = append(keys, c.Key)
	}
	for _, op := range t.Then {
		keys = append(keys, op.Put+op.Delete)
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

// hasCondition reports whether the transaction is on condition of a revision of a key.
func (t *sentTransaction) hasCondition(key string) bool {
	return slices.ContainsFunc(t.If, func(c wire.Cond) bool { return c.Key == key && c.ModRevision > 0 })
}

// noteChanges takes note of keys that were put or deleted at the present revision, and checks the
// transactions that are about them; s.mu is held.
func (s *State) noteChanges(changed []string) {
	l := s.late
	for _, key := range changed {
		if len(l.byKey[key]) == 0 {
			continue
		}
		l.changedAt[key] = s.revision
		if l.keepAll {
			by, kind := l.findWrite(key, s.keys[key].Value)
			l.changes[key] = append(l.changes[key], recordChange{s.revision, by, kind})
		}
	}
	for _, key := range changed {
		for _, t := range l.byKey[key] {
			if op := s.undoneBy(t); op != nil && !t.reported {
				t.reported = true
				l.findings = append(l.findings, fmt.Sprintf(
					"late: a write of the kind %q sent at revision %d could undo the change of %s at revision %d", op.Kind, t.revision, op.Put+op.Delete, l.changedAt[op.Put+op.Delete]))
			}
		}
	}
}

// undoneBy returns a write of a transaction, of a kind that is guarded by revisions, that would undo a
// newer change if the transaction were executed now, or nil; s.mu is held. A record of the leader that
// comes back after its deletion is dropped by the next one.
func (s *State) undoneBy(t *sentTransaction) *wire.Write {
	if !s.executable(&t.Txn) {
		return nil
	}
	for i := range t.Then {
		op := &t.Then[i]
		info, _ := txn.Describe(op.Kind)
		guarded := info.Guard == txn.Revisions || info.Guard == txn.TermAndRevisions && s.replaces(op)
		if guarded && s.late.changedAt[op.Put+op.Delete] > t.revision && s.changes(op) {
			return op
		}
	}
	return nil
}

// executable reports whether the conditions of a transaction hold now, and the leases of its keys
// exist; s.mu is held.
func (s *State) executable(t *wire.Txn) bool {
	for _, c := range t.If {
		if s.keys[c.Key].ModRevision != c.ModRevision {
			return false
		}
	}
	return !slices.ContainsFunc(t.Then, func(op wire.Write) bool { return op.Lease != 0 && s.leases[op.Lease] == nil })
}

// changes reports whether a write would change the content of its key now; s.mu is held.
func (s *State) changes(op *wire.Write) bool {
	e, exists := s.keys[op.Put+op.Delete]
	if op.Delete != "" {
		return exists
	}
	return !exists || !bytes.Equal(e.Value, op.Value)
}

// replaces reports whether a write would put a key that exists; s.mu is held.
func (s *State) replaces(op *wire.Write) bool {
	_, exists := s.keys[op.Put]
	return op.Put != "" && exists
}

// checkLateTransactions reports what the state service has found.
func (c *worldChecker) checkLateTransactions() {
	for _, finding := range c.w.State.LateFindings() {
		c.w.ReportViolation("%s", finding)
	}
}

// KeepSentTransactions has all transactions kept that are sent from now on, for ExecuteLate.
func (s *State) KeepSentTransactions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late.keepAll = true
}

// LateExecution is the outcome of one late execution of a transaction, for its writes of one kind.
type LateExecution struct {
	Kind txn.Kind
	// Changers are the kinds of other transactions' writes that have changed one of the records since
	// this one was sent. Unlisted stands for the end of a lease.
	Changers []txn.Kind
	// OutOfBounds reports that the guard keeps the transaction from being executed at all: its term or
	// its leases are over.
	OutOfBounds bool
	Executed    bool
	Changed     []string // the keys whose content was changed by the execution
}

// ExecuteLate executes every kept transaction once more, as if the request had been held up until now.
// Transactions that may be executed late within their bounds, where only their writer knows whether
// there was an answer, are passed over until these are over.
func (s *State) ExecuteLate() []LateExecution {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []LateExecution
	for _, t := range s.late.sent {
		out = append(out, s.executeLate(t)...)
	}
	return out
}

// executeLate executes one transaction, and returns the outcome for each kind in it; s.mu is held.
func (s *State) executeLate(t *sentTransaction) []LateExecution {
	byKind := map[txn.Kind]*LateExecution{}
	outOfBounds := s.outOfBounds(t)
	for i := range t.Then {
		op := &t.Then[i]
		info, _ := txn.Describe(op.Kind)
		if !outOfBounds && (info.Guard.ByTerm() || info.Guard == txn.Lease) {
			return nil
		}
		e := byKind[op.Kind]
		if e == nil {
			e = &LateExecution{Kind: op.Kind, OutOfBounds: outOfBounds, Executed: s.executable(&t.Txn)}
			byKind[op.Kind] = e
		}
		if e.Executed && s.changes(op) {
			e.Changed = append(e.Changed, op.Put+op.Delete)
		}
		for _, change := range s.late.changes[op.Put+op.Delete] {
			if change.revision > t.revision && change.by != t {
				e.Changers = append(e.Changers, change.kind)
			}
		}
	}
	if s.executable(&t.Txn) {
		s.applyWrites(t.Then)
	}
	var out []LateExecution
	for _, e := range byKind {
		out = append(out, *e)
	}
	return out
}

// outOfBounds reports whether the leader's key has another revision than the transaction is on
// condition of, or one of its leases has ended; s.mu is held.
func (s *State) outOfBounds(t *sentTransaction) bool {
	for _, c := range t.If {
		if c.Key == wire.LeaderKey && c.ModRevision > 0 && s.keys[c.Key].ModRevision != c.ModRevision {
			return true
		}
	}
	return slices.ContainsFunc(t.Then, func(op wire.Write) bool { return op.Lease != 0 && s.leases[op.Lease] == nil })
}

// findWrite returns the latest transaction that was sent with a write of a key and a value, and the
// kind of that write, or nil and Unlisted. A nil value stands for a deletion.
func (l *lateTransactions) findWrite(key string, value []byte) (*sentTransaction, txn.Kind) {
	for _, t := range slices.Backward(l.byKey[key]) {
		for _, op := range t.Then {
			if op.Put == key && bytes.Equal(op.Value, value) || op.Delete == key && value == nil {
				return t, op.Kind
			}
		}
	}
	return nil, txn.Unlisted
}
