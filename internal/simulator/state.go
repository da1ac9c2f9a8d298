package simulator

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"

	"aspenstall/internal/wire"
)

// bodyCopier reads a request's body and returns a function that returns copies of it.
func bodyCopier(r *http.Request) func() io.ReadCloser {
	b, _ := io.ReadAll(r.Body)
	return func() io.ReadCloser { return io.NopCloser(bytes.NewReader(b)) }
}

// respond writes a status and, unless v is nil, v in msgpack.
func respond(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	if v != nil {
		b, err := wire.Marshal(v)
		if err == nil {
			_, _ = w.Write(b)
		}
	}
}

// State is a simulated state service.
type State struct {
	mu                sync.Mutex
	revision          uint64
	compactedRevision uint64 // changes up to this revision are no longer available
	requestCount      int
	writeCount        int // puts and deletes
	refusedCount      int // requests answered with 429
	keys              map[string]wire.Entry
	sortedKeys        []string
	changeLog         []wire.Change
	leases            map[uint64]*stateLease
	lastLeaseID       uint64
	changed           chan struct{} // closed and replaced at each change
	MaxTxnOps         int           // most writes in a transaction; conditions: four times as many
	requests, writes  *rate.Limiter // nil: no limit
	maxValueBytes     int           // of a value as JSON; 0: no limit
	violations        []LimitViolation
	writtenKinds      map[string]bool // of the keys written since ForgetWrittenKinds
	late              *lateTransactions
}

// LimitViolation is a transaction that was refused because it exceeds a limit.
type LimitViolation struct {
	Key        string // of the too large value, or of the first of too many writes
	Bytes      int    // of the value as JSON; 0 for too many writes or conditions
	Writes     int
	Conditions int
}

// Limits of a page of keys.
const (
	maxPageItems = 1000
	maxPageBytes = 512 << 10
)

// stateLease is a lease; the keys that are attached to it are deleted when it ends.
type stateLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// NewState returns an empty state service with a limit of writes in a transaction.
func NewState(txnOps int) *State {
	return &State{keys: map[string]wire.Entry{}, leases: map[uint64]*stateLease{}, changed: make(chan struct{}), MaxTxnOps: txnOps, writtenKinds: map[string]bool{}, late: newLateTransactions()}
}

// LimitRates makes the service answer 429 above the given requests and writes per second. Both
// limits allow bursts of one second's worth.
func (s *State) LimitRates(requestsPerSecond, writesPerSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = rate.NewLimiter(rate.Limit(requestsPerSecond), int(requestsPerSecond))
	s.writes = rate.NewLimiter(rate.Limit(writesPerSecond), int(writesPerSecond))
}

// LimitSizes makes the service answer 400 to transactions with more writes, or with larger values.
func (s *State) LimitSizes(valueBytes, txnOps int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxValueBytes, s.MaxTxnOps = valueBytes, txnOps
}

// LimitViolations returns the transactions that were refused because of their size.
func (s *State) LimitViolations() []LimitViolation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.violations)
}

// WrittenKinds returns the kinds of the keys that were written since ForgetWrittenKinds was called:
// the first two parts of their paths.
func (s *State) WrittenKinds() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.writtenKinds)
}

// ForgetWrittenKinds makes WrittenKinds start anew.
func (s *State) ForgetWrittenKinds() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writtenKinds = map[string]bool{}
}

// limitViolation returns how a transaction exceeds a limit, or nil; s.mu is held.
func (s *State) limitViolation(t *wire.Txn) *LimitViolation {
	v := &LimitViolation{Writes: len(t.Then), Conditions: len(t.If)}
	if len(t.Then) > s.MaxTxnOps || len(t.If) > 4*s.MaxTxnOps {
		if len(t.Then) > 0 {
			v.Key = t.Then[0].Put + t.Then[0].Delete
		}
		return v
	}
	if s.maxValueBytes == 0 {
		return nil
	}
	for _, op := range t.Then {
		if v.Bytes = jsonSize(op.Value); v.Bytes > s.maxValueBytes {
			v.Key = op.Put
			return v
		}
	}
	return nil
}

// jsonSize returns the size of an encoded value as JSON.
func jsonSize(value []byte) int {
	var v any
	if len(value) == 0 || wire.Unmarshal(value, &v) != nil {
		return len(value)
	}
	b, err := json.Marshal(v)
	if err != nil {
		return len(value)
	}
	return len(b)
}

// kindOf returns the first two parts of a key's path.
func kindOf(key string) string {
	parts := strings.SplitN(key, "/", 3)
	return strings.Join(parts[:min(len(parts), 2)], "/")
}

// withinRates reports whether a request with the given number of writes is within the rates, and
// counts it; s.mu is held.
func (s *State) withinRates(writes int) bool {
	if s.requests == nil {
		return true
	}
	now := time.Now()
	return s.requests.AllowN(now, 1) && s.writes.AllowN(now, writes)
}

// Load writes keys in one revision, without requests: the records of an earlier time.
func (s *State) Load(writes []wire.Write) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyWrites(writes)
}

// RefusedCount returns the number of requests that were answered with 429.
func (s *State) RefusedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusedCount
}

// expireLeases ends the leases whose TTL is over; s.mu is held.
func (s *State) expireLeases() {
	for id, l := range s.leases {
		if time.Now().After(l.expiresAt) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and deletes its keys in one revision; s.mu is held.
func (s *State) endLease(id uint64) {
	delete(s.leases, id)
	var gone []string
	for k, e := range s.keys {
		if e.Lease == id {
			gone = append(gone, k)
		}
	}
	sort.Strings(gone)
	if len(gone) == 0 {
		return
	}
	s.revision++
	for _, k := range gone {
		s.deleteKey(k)
		s.changeLog = append(s.changeLog, wire.Change{Delete: k, ModRevision: s.revision})
	}
	s.noteChanges(gone)
	s.notifyWatchers()
}

// maxLoggedChanges is the number of changes that remain available to watches. The log is compacted
// when it is a tenth longer.
const maxLoggedChanges = 10_000

// notifyWatchers wakes all watches, and compacts the log of changes if it is too long; s.mu is
// held.
func (s *State) notifyWatchers() {
	if more := len(s.changeLog) - maxLoggedChanges; more > maxLoggedChanges/10 {
		s.compactedRevision = s.changeLog[more-1].ModRevision
		s.changeLog = append([]wire.Change(nil), s.changeLog[more:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// RenewLeases gives every lease its full TTL again, as after an outage.
func (s *State) RenewLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.expiresAt = time.Now().Add(l.ttl)
	}
}

// Size returns the number of keys and the bytes of their values.
func (s *State) Size() (keys, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.keys {
		size += len(e.Value)
	}
	return len(s.keys), size
}

// RequestCounts returns the number of requests and the number of executed puts and deletes.
func (s *State) RequestCounts() (requests, changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestCount, s.writeCount
}

// CompactLog drops all changes so far. Watches from an earlier revision get status 410 and have to
// read again.
func (s *State) CompactLog() {
	s.mu.Lock()
	s.changeLog, s.compactedRevision = nil, s.revision
	s.notifyWatchers()
	s.mu.Unlock()
}

// Get returns a key's entry, without a request, and whether the key exists.
func (s *State) Get(key string) (wire.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.keys[key]
	return e, ok
}

// ServeHTTP serves the state service's published interface.
func (s *State) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	s.requestCount++
	q := r.URL.Query()
	var txn wire.Txn
	txnErr := error(nil)
	if r.URL.Path == wire.CommitPath {
		txnErr = wire.Unmarshal(b, &txn)
	}
	if !s.withinRates(len(txn.Then)) {
		s.refusedCount++
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	switch p := r.URL.Path; {
	case p == wire.KeysPath:
		limit, _ := strconv.Atoi(q.Get("limit"))
		respond(w, http.StatusOK, s.page(q.Get("starts"), q.Get("since"), limit))
	case strings.HasPrefix(p, wire.KeysPath+"/"):
		if e, ok := s.keys[strings.TrimPrefix(p, wire.KeysPath+"/")]; ok {
			respond(w, http.StatusOK, &e)
			return
		}
		w.WriteHeader(http.StatusNotFound)
	case p == wire.CommitPath:
		if txnErr != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if v := s.limitViolation(&txn); v != nil {
			s.violations = append(s.violations, *v)
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.commit(w, &txn)
	case p == wire.LeasesPath:
		var l wire.LeaseRequest
		_ = wire.Unmarshal(b, &l)
		s.lastLeaseID++
		ttl := time.Duration(l.TTL) * time.Millisecond
		id := s.lastLeaseID
		s.leases[id] = &stateLease{ttl, time.Now().Add(ttl)}
		respond(w, http.StatusOK, &wire.Lease{ID: id})
	case strings.HasPrefix(p, wire.LeasesPath+"/"):
		id, _ := strconv.ParseUint(strings.Split(strings.TrimPrefix(p, wire.LeasesPath+"/"), "/")[0], 10, 64)
		l := s.leases[id]
		if l == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if r.Method == http.MethodDelete {
			s.endLease(id)
		} else {
			l.expiresAt = time.Now().Add(l.ttl)
		}
	case p == wire.ChangesPath:
		since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveChanges(w, r, q.Get("starts"), since, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// page returns the keys with a prefix that come after since, as far as they fit into one page; s.mu
// is held.
func (s *State) page(prefix, since string, limit int) *wire.Entries {
	if limit <= 0 || limit > maxPageItems {
		limit = maxPageItems
	}
	out := &wire.Entries{Revision: s.revision, Items: []wire.Entry{}}
	first := sort.Search(len(s.sortedKeys), func(i int) bool { return s.sortedKeys[i] >= prefix && s.sortedKeys[i] > since })
	size := 0
	for _, k := range s.sortedKeys[first:] {
		if !strings.HasPrefix(k, prefix) {
			break
		}
		e := s.keys[k]
		size += len(k) + len(e.Value)
		if len(out.Items) == limit || size > maxPageBytes {
			out.More = true
			break
		}
		out.Items = append(out.Items, e)
	}
	return out
}

// putKey sets a key's entry; s.mu is held.
func (s *State) putKey(e wire.Entry) {
	if _, known := s.keys[e.Key]; !known {
		i, _ := slices.BinarySearch(s.sortedKeys, e.Key)
		s.sortedKeys = slices.Insert(s.sortedKeys, i, e.Key)
	}
	s.keys[e.Key] = e
}

// deleteKey deletes a key; s.mu is held.
func (s *State) deleteKey(key string) {
	delete(s.keys, key)
	if i, found := slices.BinarySearch(s.sortedKeys, key); found {
		s.sortedKeys = slices.Delete(s.sortedKeys, i, i+1)
	}
}

// applyWrites executes writes in one revision; s.mu is held.
func (s *State) applyWrites(writes []wire.Write) {
	s.revision++
	changed := make([]string, 0, len(writes))
	for _, op := range writes {
		s.writtenKinds[kindOf(op.Put+op.Delete)] = true
		if op.Put != "" {
			v := append(msgpack.RawMessage(nil), op.Value...)
			s.putKey(wire.Entry{Key: op.Put, Value: v, ModRevision: s.revision, Lease: op.Lease})
			s.changeLog = append(s.changeLog, wire.Change{Put: op.Put, Value: v, ModRevision: s.revision})
			changed = append(changed, op.Put)
		} else if _, ok := s.keys[op.Delete]; ok {
			s.deleteKey(op.Delete)
			s.changeLog = append(s.changeLog, wire.Change{Delete: op.Delete, ModRevision: s.revision})
			changed = append(changed, op.Delete)
		}
	}
	s.noteChanges(changed)
	s.notifyWatchers()
}

// commit executes a transaction and writes its response; s.mu is held.
func (s *State) commit(w http.ResponseWriter, t *wire.Txn) {
	for _, op := range t.Then {
		if op.Lease != 0 && s.leases[op.Lease] == nil {
			respond(w, http.StatusBadRequest, &wire.TxnResult{Error: "no such lease"})
			return
		}
	}
	var failed []string
	for _, c := range t.If {
		if s.keys[c.Key].ModRevision != c.ModRevision {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		respond(w, http.StatusConflict, &wire.TxnResult{Revision: s.revision, Failed: failed})
		return
	}
	if len(t.Then) > 0 {
		s.writeCount += len(t.Then)
		s.applyWrites(t.Then)
	}
	respond(w, http.StatusOK, &wire.TxnResult{Revision: s.revision})
}

// serveChanges serves a watch: it returns the changes after a revision, and waits for some if there
// are none, but no longer than wait. s.mu is held, and unlocked while it waits.
func (s *State) serveChanges(w http.ResponseWriter, r *http.Request, prefix string, since uint64, wait time.Duration) {
	end := time.Now().Add(wait)
	for {
		if since < s.compactedRevision {
			w.WriteHeader(http.StatusGone)
			return
		}
		out := wire.Changes{Revision: s.revision, Events: []wire.Change{}}
		first := sort.Search(len(s.changeLog), func(i int) bool { return s.changeLog[i].ModRevision > since })
		for _, e := range s.changeLog[first:] {
			if strings.HasPrefix(e.Put+e.Delete, prefix) {
				out.Events = append(out.Events, e)
			}
		}
		left := time.Until(end)
		if len(out.Events) > 0 || left <= 0 {
			respond(w, http.StatusOK, &out)
			return
		}
		// Leases also expire without a request, so they are checked at least once a second.
		changed := s.changed
		s.mu.Unlock()
		t := time.NewTimer(min(left, time.Second))
		select {
		case <-changed:
		case <-t.C:
		case <-r.Context().Done():
		}
		t.Stop()
		s.mu.Lock()
		s.expireLeases()
		if r.Context().Err() != nil {
			return
		}
	}
}
