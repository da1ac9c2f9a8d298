package simulator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"aspenstall/internal/notify/control"
)

// Hook is a stand-in for a receiver of notifications. It keeps keys, fails and
// delays on purpose, and its ledger counts what had an effect.
type Receiver struct {
	LoseResponse, Refuse, Slow float64 // how often; slow ones take their time before or after the effect

	mu           sync.Mutex
	streams      *Streams // by notification
	seenKeys     map[string]bool
	effects      map[string]int // by type and job
	eventsByJob  map[string][]string
	requestCount int
	latencies    []time.Duration // from event to effect
}

// NewHook returns a receiver that fails by chance from a seed.
func NewReceiver(seed uint64) *Receiver {
	return &Receiver{streams: NewStreams(seed), seenKeys: map[string]bool{}, effects: map[string]int{}, eventsByJob: map[string][]string{}}
}

// ServeHTTP takes a notification.
func (h *Receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	var e struct {
		ID, Type, Subject string
		Time              time.Time
	}
	if err != nil || json.Unmarshal(b, &e) != nil || e.ID != r.Header.Get("Idempotency-Key") {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.mu.Lock()
	random := h.streams.Stream(e.ID)
	p, pause := random.Float64(), time.Duration(random.IntN(20))*time.Second
	lose, refuse, slow := h.LoseResponse, h.Refuse, h.Slow
	h.requestCount++
	h.mu.Unlock()
	switch {
	case p < refuse:
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case p < refuse+slow:
		time.Sleep(pause)
		h.applyOnce(e.ID, e.Type, e.Subject, e.Time)
		return
	}
	h.applyOnce(e.ID, e.Type, e.Subject, e.Time)
	if p < refuse+slow+lose {
		panic(http.ErrAbortHandler)
	}
}

func (h *Receiver) applyOnce(key, kind, job string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seenKeys[key] {
		return
	}
	h.seenKeys[key] = true
	h.effects[kind+" "+job]++
	h.eventsByJob[job] = append(h.eventsByJob[job], kind)
	h.latencies = append(h.latencies, time.Since(at))
}

// Accept has it fail no more.
func (h *Receiver) StopFaults() {
	h.mu.Lock()
	h.LoseResponse, h.Refuse, h.Slow = 0, 0, 0
	h.mu.Unlock()
}

// Effects says how often an event had an effect, and of how many there were any.
func (h *Receiver) EffectCounts(kind, job string) (n, all int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.effects["aspenstall.job."+kind+" "+job], len(h.effects)
}

// Late lists how long after its event each effect came, the shortest first.
func (h *Receiver) Latencies() []time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(slices.Values(h.latencies))
}

// Order is the order in which a job's events had their effects, and how many
// requests came in all.
func (h *Receiver) EventOrder(job string) (kinds []string, posts int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.eventsByJob[job]...), h.requestCount
}

// Operator sends an operator's request to a node.
func (w *World) SendOperatorRequest(i int, a *control.Request) (*control.Response, error) {
	at := fmt.Sprintf("10.9.9.%d:4650", i)
	l := w.Net.Serve(at, control.Handler(w.Nodes[i].node))
	defer l.Close()
	ctx, cancel := context.WithTimeout(w.ctx, 10*time.Second)
	defer cancel()
	c := w.Net.Client("operator")
	defer c.CloseIdleConnections()
	return control.Call(ctx, c, at, a)
}
