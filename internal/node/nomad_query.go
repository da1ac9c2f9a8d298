package node

import (
	"context"
	"time"

	"aspenstall/internal/core"
	"aspenstall/internal/nomad/httpapi"
	"aspenstall/internal/nomad/registry"
	"aspenstall/internal/statestore"
)

// recentCountsWindow bounds the wait of a query that arrives shortly after a change of the counts
// that it waits for: it is answered at the latest this long after the change. Counts are in no
// record, so they have no index, and a change between two queries of a client would be missed. A
// client that queries again within this time is therefore answered once more.
const recentCountsWindow = 5 * core.Second

// waiterCleanupTimeout is how long the removal of the waiter of a client that has gone may wait
// for the owning goroutine.
const waiterCleanupTimeout = 10 * time.Second

// registryQuery is a query of the registry, which may wait for a change. Its fields belong to the
// owning goroutine, except for the channels.
type registryQuery struct {
	httpapi.Query
	ctx     context.Context // of the client's request
	n       *Node
	read    func(*registry.Registry)
	askedAt core.Micros // when the owning goroutine took the query
	waiting bool        // for a change: it is among the waiters
	woken   bool        // a change has come; the query ends soon
	// nativeIDs holds the native jobs whose counts the query waits for.
	nativeIDs []string
	result    chan queryResult   // receives one result
	recheckIn chan time.Duration // receives a shorter time after which the query is answered
}

// queryResult is the result of a query.
type queryResult struct {
	index uint64
	err   error
}

// ReadRegistry runs read on the owning goroutine and returns the index that read saw. It runs read
// only once this node's view is known to hold every change made before the query came, and returns
// ErrUnavailable if that can't be found out: otherwise a node that does not reach the state service
// would answer with older state than another node did. The index is never above what the view holds.
//
// If q.AfterIndex is not 0, the query waits until the index is higher, until counts change and
// q.WakeOnCounts is set, or until q.MaxWait has passed. Nothing is polled: a waiting query is woken by
// the change, which arrives by the watch that the node has anyway. The watch also shows that the view
// is recent enough: a query that waits for longer than a watch takes costs no request of its own.
func (n *Node) ReadRegistry(ctx context.Context, q httpapi.Query, read func(*registry.Registry)) (uint64, error) {
	query := &registryQuery{Query: q, ctx: ctx, n: n, read: read, result: make(chan queryResult, 1), recheckIn: make(chan time.Duration, 1)}
	if !n.requests.add(registryRead, query.begin) {
		return 0, httpapi.ErrBusy
	}
	return query.await(ctx)
}

// await waits for the query's result, and has the owning goroutine end the query in time.
func (q *registryQuery) await(ctx context.Context) (uint64, error) {
	end, check := time.NewTimer(q.MaxWait), time.NewTimer(max(q.MaxWait-statestore.RequestTimeout, 0))
	defer end.Stop()
	defer check.Stop()
	if q.AfterIndex == 0 {
		end.Stop()
		check.Stop()
	}
	for {
		posted := true
		select {
		case r := <-q.result:
			return r.index, r.err
		case d := <-q.recheckIn:
			if d < q.MaxWait {
				end.Reset(d)
			}
		case <-check.C:
			posted = q.post(ctx, q.checkFreshness)
		case <-end.C:
			posted = q.post(ctx, q.stopWaiting)
		case <-ctx.Done():
			posted = false
		}
		if !posted {
			go q.abandon()
			return 0, httpapi.ErrUnavailable
		}
	}
}

// post runs f on the owning goroutine. It returns false if ctx ends before.
func (q *registryQuery) post(ctx context.Context, f func()) bool {
	select {
	case q.n.inbox <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

// abandon removes the query of a client that has gone from the waiters, unless this node ends.
func (q *registryQuery) abandon() {
	ctx, cancel := context.WithTimeout(context.Background(), waiterCleanupTimeout)
	defer cancel()
	q.post(ctx, func() { q.n.nomad.removeWaiter(q) })
}

// begin answers the query, or has it wait.
func (q *registryQuery) begin() {
	n, s := q.n, q.n.nomad
	q.askedAt = n.now()
	switch {
	case q.ctx.Err() != nil: // the client has gone
		q.fail(httpapi.ErrUnavailable)
	case q.AfterIndex == 0:
		q.answerOnceFresh()
	case !n.view.ready:
		q.fail(httpapi.ErrUnavailable)
	case q.indexNow() > q.AfterIndex:
		q.answerOnceFresh()
	case s.waiterCount >= s.maxWaiters:
		q.fail(httpapi.ErrBusy)
	default:
		if q.WakeOnCounts {
			q.waitForCounts()
		}
		s.addWaiter(q)
	}
}

// waitForCounts has changes of the job's task counts end the query. If they changed a moment ago, it
// ends within recentCountsWindow.
func (q *registryQuery) waitForCounts() {
	s := q.n.nomad
	j := s.registry.Get(q.Name)
	if j == nil {
		return
	}
	recheckIn := core.MaxMicros
	for _, g := range j.Groups {
		q.nativeIDs = append(q.nativeIDs, g.Native)
		if at, ok := s.countsChangedAt[g.Native]; ok && q.n.now()-at < recentCountsWindow {
			recheckIn = min(recheckIn, at+recentCountsWindow-q.n.now())
		}
	}
	if recheckIn < core.MaxMicros {
		q.recheckIn <- time.Duration(recheckIn) * time.Microsecond
	}
}

// wake ends the wait, after the change that is being applied.
func (q *registryQuery) wake() {
	if !q.woken {
		q.woken = true
		q.n.runLater(q.stopWaiting)
	}
}

// stopWaiting answers the query if it waits.
func (q *registryQuery) stopWaiting() {
	if q.waiting {
		q.n.nomad.removeWaiter(q)
		q.answerOnceFresh()
	}
}

// checkFreshness ends a query whose wait is nearly over if this node can't read the state service, so
// that its client can turn to another node in time.
func (q *registryQuery) checkFreshness() {
	if !q.waiting || q.fresh() {
		return
	}
	q.n.readLinearizable(func(ok bool) {
		if !ok && q.waiting {
			q.n.nomad.removeWaiter(q)
			q.fail(httpapi.ErrUnavailable)
		}
	})
}

// fresh reports whether the view holds every change made before the query came.
func (q *registryQuery) fresh() bool { return q.n.view.ready && q.n.currentAsOf >= q.askedAt }

// answerOnceFresh answers the query once the view holds every change made before the query came. It
// reads the state service unless the watch has shown it since.
func (q *registryQuery) answerOnceFresh() {
	if q.fresh() {
		q.answer()
		return
	}
	q.n.readLinearizable(func(ok bool) {
		if ok {
			q.answer()
		} else {
			q.fail(httpapi.ErrUnavailable)
		}
	})
}

// answer runs read and ends the query. A client's index that the view has reached is not lowered: it
// may be of another list or job.
func (q *registryQuery) answer() {
	if q.ctx.Err() != nil {
		q.fail(httpapi.ErrUnavailable)
		return
	}
	q.read(q.n.nomad.registry)
	index := max(q.indexNow(), 1)
	if q.AfterIndex <= q.n.view.revision {
		index = max(index, q.AfterIndex)
	}
	q.result <- queryResult{index: index}
}

// fail ends the query with an error.
func (q *registryQuery) fail(err error) { q.result <- queryResult{err: err} }

// indexNow returns the index of what the query is about.
func (q *registryQuery) indexNow() uint64 {
	if q.Name.ID == "" {
		return q.n.nomad.registry.TeamIndex(q.Name.Team)
	}
	return q.n.nomad.registry.Index(q.Name)
}

func (s *nomadState) wakeWaiters(name registry.Name) {
	for q := range s.waiters[name] {
		q.wake()
	}
	for q := range s.waiters[registry.Name{Team: name.Team}] {
		q.wake()
	}
}

// addWaiter adds a query that waits for a change.
func (s *nomadState) addWaiter(q *registryQuery) {
	q.waiting = true
	s.waiterCount++
	addTo(s.waiters, q.Name, q)
	for _, id := range q.nativeIDs {
		addTo(s.progressWaiters, id, q)
	}
}

// removeWaiter removes a query from those that wait, if it does.
func (s *nomadState) removeWaiter(q *registryQuery) {
	if !q.waiting {
		return
	}
	q.waiting = false
	s.waiterCount--
	removeFrom(s.waiters, q.Name, q)
	for _, id := range q.nativeIDs {
		removeFrom(s.progressWaiters, id, q)
	}
}

func addTo[K comparable](m map[K]map[*registryQuery]bool, k K, q *registryQuery) {
	if m[k] == nil {
		m[k] = map[*registryQuery]bool{}
	}
	m[k][q] = true
}

func removeFrom[K comparable](m map[K]map[*registryQuery]bool, k K, q *registryQuery) {
	delete(m[k], q)
	if len(m[k]) == 0 {
		delete(m, k)
	}
}

// BlockingQueries returns how many queries wait.
func (n *Node) BlockingQueries(ctx context.Context) int {
	k, _ := call(ctx, n, func(reply func(int)) { reply(n.nomad.waiterCount) })
	return k
}
