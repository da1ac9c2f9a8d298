package simulator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"aspenstall/internal/notify/control"
)

// ReceiverContract says how a receiver handles repeated notifications; docs/NOTIFICATIONS.md
// describes the contracts.
type ReceiverContract int

// The contracts.
const (
	DeduplicatesKeys ReceiverContract = iota // a repeated key has no effect
	AnswersLookups                           // tells whether a key had its effect, rejects messages older than MaxAge
	AppliesRepeats                           // does neither
)

// Receiver is a simulated receiver of notifications. It counts their effects, and fails and delays
// requests at random.
type Receiver struct {
	LoseResponse, Refuse, Slow float64 // probabilities; Slow delays effect and response by less than 20 s
	// FailLookup, LoseLookup and SlowLookup are probabilities for key lookups: answered 503, without a
	// response, or later by less than 20 s.
	FailLookup, LoseLookup, SlowLookup float64
	Contract                           ReceiverContract
	MaxAge                             time.Duration // of a message, for AnswersLookups

	mu           sync.Mutex
	streams      *Streams // by notification ID
	seenKeys     map[string]bool
	effects      map[string]int // number of effects, by event type and job
	eventsByJob  map[string][]string
	requestCount int
	latencies    []time.Duration // from the event to its effect
}

// NewReceiver returns a receiver without faults. Its random choices follow from the seed.
func NewReceiver(seed uint64) *Receiver {
	return &Receiver{streams: NewStreams(seed), seenKeys: map[string]bool{}, effects: map[string]int{}, eventsByJob: map[string][]string{}}
}

// ServeHTTP receives a notification, subject to the configured faults.
func (recv *Receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		recv.answerLookup(w, r.URL.Query().Get("key"))
		return
	}
	b, err := io.ReadAll(r.Body)
	var e receivedEvent
	if err != nil || json.Unmarshal(b, &e) != nil || e.ID != r.Header.Get("Idempotency-Key") {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	recv.mu.Lock()
	random := recv.streams.Stream(e.ID)
	p, pause := random.Float64(), time.Duration(random.IntN(20))*time.Second
	loseResponse, refuse, slow := recv.LoseResponse, recv.Refuse, recv.Slow
	recv.requestCount++
	recv.mu.Unlock()
	switch {
	case p < refuse:
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case p < refuse+slow:
		time.Sleep(pause)
		w.WriteHeader(recv.apply(e, r.Header))
		return
	}
	status := recv.apply(e, r.Header)
	if p < refuse+slow+loseResponse {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// answerLookup tells whether a key had its effect.
func (recv *Receiver) answerLookup(w http.ResponseWriter, key string) {
	recv.mu.Lock()
	random := recv.streams.Stream("lookup of " + key)
	p, pause := random.Float64(), time.Duration(random.IntN(20))*time.Second
	seen := recv.seenKeys[key]
	fail, lose, slow := recv.FailLookup, recv.LoseLookup, recv.SlowLookup
	recv.mu.Unlock()
	switch {
	case p < fail:
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case p < fail+lose:
		panic(http.ErrAbortHandler)
	case p < fail+lose+slow:
		time.Sleep(pause)
	}
	if !seen {
		w.WriteHeader(http.StatusNotFound)
	}
}

// receivedEvent is the part of a notification's body that a Receiver reads.
type receivedEvent struct {
	ID, Type, Subject string
	Time              time.Time
}

// apply applies a notification's effect, as far as the contract permits, and returns the status of
// the response.
func (recv *Receiver) apply(e receivedEvent, header http.Header) int {
	recv.mu.Lock()
	defer recv.mu.Unlock()
	if recv.Contract == DeduplicatesKeys && recv.seenKeys[e.ID] {
		return http.StatusOK
	}
	if recv.Contract == AnswersLookups {
		sentAt, err := strconv.ParseInt(header.Get("Aspenstall-Timestamp"), 10, 64)
		if err != nil || time.Since(time.Unix(sentAt, 0)) > recv.MaxAge {
			return http.StatusRequestTimeout
		}
	}
	recv.seenKeys[e.ID] = true
	recv.effects[e.Type+" "+e.Subject]++
	recv.eventsByJob[e.Subject] = append(recv.eventsByJob[e.Subject], e.Type)
	recv.latencies = append(recv.latencies, time.Since(e.Time))
	return http.StatusOK
}

// StopFaults makes the receiver accept all notifications at once from now on.
func (recv *Receiver) StopFaults() {
	recv.mu.Lock()
	recv.LoseResponse, recv.Refuse, recv.Slow = 0, 0, 0
	recv.FailLookup, recv.LoseLookup, recv.SlowLookup = 0, 0, 0
	recv.mu.Unlock()
}

// EffectCounts returns the number of effects of one event, and the number of different events that
// had effects.
func (recv *Receiver) EffectCounts(kind, job string) (n, events int) {
	recv.mu.Lock()
	defer recv.mu.Unlock()
	return recv.effects["aspenstall.job."+kind+" "+job], len(recv.effects)
}

// Latencies returns the times from each event to its effect, sorted.
func (recv *Receiver) Latencies() []time.Duration {
	recv.mu.Lock()
	defer recv.mu.Unlock()
	return slices.Sorted(slices.Values(recv.latencies))
}

// EventOrder returns a job's event types in the order of their effects, and the number of all
// requests that the receiver got.
func (recv *Receiver) EventOrder(job string) (kinds []string, requests int) {
	recv.mu.Lock()
	defer recv.mu.Unlock()
	return append([]string(nil), recv.eventsByJob[job]...), recv.requestCount
}

// SendOperatorRequest sends an operator's request to a node's control interface.
func (w *World) SendOperatorRequest(i int, req *control.Request) (*control.Response, error) {
	at := fmt.Sprintf("10.9.9.%d:4650", i)
	l := w.Net.Serve(at, control.Handler(w.Nodes[i].node))
	defer l.Close()
	ctx, cancel := context.WithTimeout(w.ctx, 10*time.Second)
	defer cancel()
	c := w.Net.Client("operator")
	defer c.CloseIdleConnections()
	return control.Call(ctx, c, at, req)
}
