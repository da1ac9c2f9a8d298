//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"aspenstall/internal/core"
	"aspenstall/internal/simulator"
	"aspenstall/internal/wire"
)

// quickState is a state service that answers within a few milliseconds also when it holds many keys:
// the keys are kept in order.
type quickState struct {
	latency time.Duration
	rec     *record

	mu               sync.Mutex
	limits           stateLimits
	requests, writes float64 // tokens left
	refilled         time.Time
	tooMany          int // requests answered with 429

	revision, kept uint64 // changes after kept are in log
	names          []string
	keys           map[string]wire.Entry
	log            []wire.Change
	leases         map[uint64]*quickLease
	lastLease      uint64
	changed        chan struct{}
}

type quickLease struct {
	ttl time.Duration
	end time.Time
}

func newQuickState(l stateLimits, latency time.Duration, rec *record) *quickState {
	return &quickState{
		latency: latency, rec: rec, limits: l, requests: l.rps, writes: l.writeRPS, refilled: time.Now(),
		keys: map[string]wire.Entry{}, leases: map[uint64]*quickLease{}, changed: make(chan struct{}),
	}
}

// endLeases ends leases that are over, and removes their keys.
func (s *quickState) endLeases(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *quickState) endLease(id uint64) {
	delete(s.leases, id)
	var gone []wire.Write
	for k, e := range s.keys {
		if e.Lease == id {
			gone = append(gone, wire.Write{Delete: k})
		}
	}
	s.apply(gone)
}

// apply executes changes at one revision; s.mu is held.
func (s *quickState) apply(ops []wire.Write) {
	if len(ops) == 0 {
		return
	}
	s.revision++
	for _, op := range ops {
		key := op.Put + op.Delete
		i, known := slices.BinarySearch(s.names, key)
		switch {
		case op.Put != "":
			if !known {
				s.names = slices.Insert(s.names, i, key)
			}
			v := bytes.Clone(op.Value)
			s.keys[key] = wire.Entry{Key: key, Value: v, ModRevision: s.revision, Lease: op.Lease}
			s.log = append(s.log, wire.Change{Put: key, Value: v, ModRevision: s.revision})
		case known:
			s.names = slices.Delete(s.names, i, i+1)
			delete(s.keys, key)
			s.log = append(s.log, wire.Change{Delete: key, ModRevision: s.revision})
		}
	}
	if more := len(s.log) - 10_000; more > 0 {
		s.kept = s.log[more-1].ModRevision
		s.log = slices.Clone(s.log[more:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// add adds records, as if they had been written.
func (s *quickState) add(ops []wire.Write) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(ops)
}

func (s *quickState) allow(writes int) bool {
	now := time.Now()
	dt := now.Sub(s.refilled).Seconds()
	s.refilled = now
	s.requests = min(s.requests+dt*s.limits.rps, s.limits.rps)
	s.writes = min(s.writes+dt*s.limits.writeRPS, s.limits.writeRPS)
	if s.requests < 1 || s.writes < float64(writes) {
		s.tooMany++
		return false
	}
	s.requests--
	s.writes -= float64(writes)
	return true
}

func (s *quickState) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body bytes.Buffer
	_, _ = body.ReadFrom(r.Body)
	time.Sleep(s.latency)
	s.mu.Lock()
	status, out := s.answer(r, body.Bytes())
	s.mu.Unlock()
	w.WriteHeader(status)
	if out != nil {
		if b, err := wire.Marshal(out); err == nil {
			_, _ = w.Write(b)
		}
	}
}

// answer executes a request; s.mu is held.
func (s *quickState) answer(r *http.Request, body []byte) (int, any) {
	q, p := r.URL.Query(), r.URL.Path
	var txn wire.Txn
	if p == wire.CommitPath && (wire.Unmarshal(body, &txn) != nil || len(txn.Then) > s.limits.txnOps || len(txn.If) > 4*s.limits.txnOps) {
		return http.StatusBadRequest, nil
	}
	if !s.allow(len(txn.Then)) {
		return http.StatusTooManyRequests, nil
	}
	switch {
	case p == wire.KeysPath:
		limit, _ := strconv.Atoi(q.Get("limit"))
		if limit <= 0 || limit > 1000 {
			limit = 1000
		}
		out := &wire.Entries{Revision: s.revision, Items: []wire.Entry{}}
		prefix, since := q.Get("starts"), q.Get("since")
		i := sort.SearchStrings(s.names, prefix)
		if since != "" {
			i = max(i, sort.Search(len(s.names), func(n int) bool { return s.names[n] > since }))
		}
		size := 0
		for ; i < len(s.names) && strings.HasPrefix(s.names[i], prefix); i++ {
			e := s.keys[s.names[i]]
			size += 2*len(e.Value) + len(e.Key) + 60
			if len(out.Items) == limit || size > 512<<10 {
				out.More = true
				break
			}
			out.Items = append(out.Items, e)
		}
		return http.StatusOK, out
	case strings.HasPrefix(p, wire.KeysPath+"/"):
		if e, ok := s.keys[strings.TrimPrefix(p, wire.KeysPath+"/")]; ok {
			return http.StatusOK, &e
		}
		return http.StatusNotFound, &wire.TxnResult{Revision: s.revision}
	case p == wire.CommitPath:
		for _, op := range txn.Then {
			if op.Lease != 0 && s.leases[op.Lease] == nil {
				return http.StatusBadRequest, &wire.TxnResult{Error: "no such lease"}
			}
		}
		var bad []string
		for _, c := range txn.If {
			if s.keys[c.Key].ModRevision != c.ModRevision {
				bad = append(bad, c.Key)
			}
		}
		if bad != nil {
			return http.StatusConflict, &wire.TxnResult{Revision: s.revision, Failed: bad}
		}
		s.apply(txn.Then)
		return http.StatusOK, &wire.TxnResult{Revision: s.revision}
	case p == wire.LeasesPath:
		var l wire.LeaseRequest
		_ = wire.Unmarshal(body, &l)
		s.lastLease++
		ttl := time.Duration(l.TTL) * time.Millisecond
		s.leases[s.lastLease] = &quickLease{ttl, time.Now().Add(ttl)}
		return http.StatusOK, &wire.Lease{ID: s.lastLease}
	case strings.HasPrefix(p, wire.LeasesPath+"/"):
		id, _ := strconv.ParseUint(strings.Split(strings.TrimPrefix(p, wire.LeasesPath+"/"), "/")[0], 10, 64)
		l := s.leases[id]
		switch {
		case l == nil:
			return http.StatusNotFound, nil
		case r.Method == http.MethodDelete:
			s.endLease(id)
		default:
			l.end = time.Now().Add(l.ttl)
		}
		return http.StatusOK, map[string]any{}
	case p == wire.ChangesPath:
		since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
		ms, _ := strconv.Atoi(q.Get("wait_ms"))
		return s.changes(r.Context(), q.Get("starts"), since, time.Now().Add(time.Duration(ms)*time.Millisecond))
	}
	return http.StatusBadRequest, nil
}

// changes serves a watch. s.mu is held, and unlocked while it waits.
func (s *quickState) changes(ctx context.Context, prefix string, since uint64, end time.Time) (int, any) {
	for {
		if since < s.kept {
			return http.StatusGone, nil
		}
		out := &wire.Changes{Revision: s.revision, Events: []wire.Change{}}
		for _, e := range s.log[sort.Search(len(s.log), func(i int) bool { return s.log[i].ModRevision > since }):] {
			if strings.HasPrefix(e.Put+e.Delete, prefix) {
				out.Events = append(out.Events, e)
			}
		}
		left := time.Until(end)
		if len(out.Events) > 0 || left <= 0 || ctx.Err() != nil {
			return http.StatusOK, out
		}
		changed := s.changed
		s.mu.Unlock()
		t := time.NewTimer(left)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		s.mu.Lock()
	}
}

func init() { cases["history"] = runHistory }

// historyLatency is the time that the state service takes for an answer, as in the site file.
const historyLatency = 3 * time.Millisecond

// runHistory is case 1, of many jobs that are over: all controllers crash and come back.
func runHistory(ctx context.Context, rec *record, binary, dir string, trouble bool) int {
	const (
		over  = 300_000 // jobs that are over
		bound = 75 * time.Second
		back  = 3 * time.Second
	)
	params := desertParams()
	state := newQuickState(stateLimits{params.State.RPS, params.State.WriteRPS, params.State.ValueKB, params.State.TxnOps}, historyLatency, rec)
	go state.endLeases(ctx)
	c := newCluster(ctx, rec, dir, binary, params, falcon(params.Zones), 48, "")
	c.useState(serve(state))
	defer c.stopAll()
	if err := c.up(); err != nil {
		rec.printf("%v", err)
		return failed
	}
	// The jobs of the last days, which are done.
	ended := time.Now().Add(-time.Hour)
	for n := 0; n < over; {
		var ops []wire.Write
		for ; len(ops) < 1000; n++ {
			at := core.Micros(ended.Add(-time.Duration(over-n) * time.Second).UnixMicro())
			r := core.JobRecord{
				Phase: core.Done, SubmittedAt: at, EndedAt: at + 60*core.Second, AcceptedRevision: uint64(n + 1),
				Spec: core.JobSpec{
					ID: fmt.Sprintf("job-%06d", n+1), Class: "fraud-sweep", Team: "revenue-ops", Kind: core.Array, Priority: core.High, Tasks: 70,
					Resources: core.Resources{CPU: 4000, Mem: 26000}, Spot: true, Image: "img-1", ImageMB: 1500, EstimatedRun: 35 * core.Second, Deadline: 120 * core.Second,
				},
			}
			b, err := wire.EncodeJob(&r)
			if err != nil {
				return failed
			}
			ops = append(ops, wire.Write{Put: wire.JobPrefix + r.Spec.ID, Value: b})
		}
		state.add(ops)
		time.Sleep(40 * time.Millisecond)
	}
	rec.printf("the state service holds %d jobs that are done", over)
	time.Sleep(time.Second)
	const id = "job-900001"
	if !c.submit(&simulator.Spec{
		ID: id, Class: "plate-reader", Team: "revenue-ops", Shape: "standing", Urgency: "production", Tasks: 1, CPUs: 4, MemGB: 20,
		Image: "img-2", ImageGB: 1,
	}) {
		return failed
	}
	for start := time.Now(); c.startedTasks(id) == 0; time.Sleep(100 * time.Millisecond) {
		if time.Since(start) > 15*time.Second || ctx.Err() != nil {
			rec.printf("the job does not run")
			return failed
		}
	}
	for _, k := range c.controllers {
		rec.printf("controller %s holds %s", k.name, residentMemory(k))
	}
	if trouble {
		c.stopAll()
		rec.printf("all controllers crash")
		time.Sleep(back)
		for _, k := range c.controllers {
			if err := c.start(k); err != nil {
				return failed
			}
		}
	}
	calm := time.Now() // all troubles are over
	asked := 0
	for i := 0; ctx.Err() == nil && time.Since(calm) < bound; i++ {
		status, _ := c.poll(id, i)
		asked++
		if status == http.StatusOK {
			rec.printf("answered %.1f s after the troubles were over", time.Since(calm).Seconds())
			return held
		}
		if status == http.StatusNotFound {
			rec.printf("404 to an accepted job")
			return broken
		}
		time.Sleep(time.Second)
	}
	if ctx.Err() != nil {
		return failed
	}
	state.mu.Lock()
	rec.printf("no answer to %d questions about %s in %.0f s; the state service answered 429 to %d requests", asked, id, time.Since(calm).Seconds(), state.tooMany)
	state.mu.Unlock()
	return broken
}
