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
type Hook struct {
	LoseReply, Refuse, Slow float64 // how often; slow ones take their time before or after the effect

	mu      sync.Mutex
	random  *Streams // by notification
	keys    map[string]bool
	effects map[string]int // by type and job
	order   map[string][]string
	posts   int
	late    []time.Duration // from event to effect
}

// NewHook returns a receiver that fails by chance from a seed.
func NewHook(seed uint64) *Hook {
	return &Hook{random: NewStreams(seed), keys: map[string]bool{}, effects: map[string]int{}, order: map[string][]string{}}
}

// ServeHTTP takes a notification.
func (h *Hook) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	random := h.random.Of(e.ID)
	p, pause := random.Float64(), time.Duration(random.IntN(20))*time.Second
	lose, refuse, slow := h.LoseReply, h.Refuse, h.Slow
	h.posts++
	h.mu.Unlock()
	switch {
	case p < refuse:
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case p < refuse+slow:
		time.Sleep(pause)
		h.take(e.ID, e.Type, e.Subject, e.Time)
		return
	}
	h.take(e.ID, e.Type, e.Subject, e.Time)
	if p < refuse+slow+lose {
		panic(http.ErrAbortHandler)
	}
}

func (h *Hook) take(key, kind, job string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.keys[key] {
		return
	}
	h.keys[key] = true
	h.effects[kind+" "+job]++
	h.order[job] = append(h.order[job], kind)
	h.late = append(h.late, time.Since(at))
}

// Accept has it fail no more.
func (h *Hook) Accept() {
	h.mu.Lock()
	h.LoseReply, h.Refuse, h.Slow = 0, 0, 0
	h.mu.Unlock()
}

// Effects says how often an event had an effect, and of how many there were any.
func (h *Hook) Effects(kind, job string) (n, all int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.effects["aspenstall.job."+kind+" "+job], len(h.effects)
}

// Late lists how long after its event each effect came, the shortest first.
func (h *Hook) Late() []time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(slices.Values(h.late))
}

// Order is the order in which a job's events had their effects, and how many
// requests came in all.
func (h *Hook) Order(job string) (kinds []string, posts int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.order[job]...), h.posts
}

// Operator sends an operator's request to a node.
func (w *World) Operator(i int, a *control.Ask) (*control.Answer, error) {
	at := fmt.Sprintf("10.9.9.%d:4650", i)
	l := w.Net.Serve(at, control.Handler(w.Nodes[i].nd))
	defer l.Close()
	ctx, cancel := context.WithTimeout(w.ctx, 10*time.Second)
	defer cancel()
	c := w.Net.Client("operator")
	defer c.CloseIdleConnections()
	return control.Call(ctx, c, at, a)
}
