package scale

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"

	"aspenstall/internal/wire"
)

// Count is how many messages of a kind there were, and their bodies' bytes both ways.
type MessageCount struct {
	Requests int64 `json:"requests"`
	BytesIn  int64 `json:"in_bytes"`
	BytesOut int64 `json:"out_bytes"`
}

// counts counts messages by kind, and changes of the state service by kind of record. It is
// safe for concurrent use.
type messageCounter struct {
	mu          sync.Mutex
	byKind      map[string]MessageCount
	stateWrites map[string]int64
}

func newMessageCounter() *messageCounter {
	return &messageCounter{byKind: map[string]MessageCount{}, stateWrites: map[string]int64{}}
}

func (c *messageCounter) add(kind string, in, out int) {
	c.mu.Lock()
	k := c.byKind[kind]
	k.Requests++
	k.BytesIn += int64(in)
	k.BytesOut += int64(out)
	c.byKind[kind] = k
	c.mu.Unlock()
}

func (c *messageCounter) addTransaction(body []byte) {
	var t wire.Txn
	if wire.Unmarshal(body, &t) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range t.Then {
		c.stateWrites[writeKind(w)]++
	}
}

// recordKind is the key's prefix, with what is done to it.
func writeKind(w wire.Write) string {
	key, how := w.Put, "write "
	if key == "" {
		key, how = w.Delete, "drop "
	}
	parts := strings.SplitN(key, "/", 3)
	if len(parts) > 2 {
		return how + parts[0] + "/" + parts[1]
	}
	return how + key
}

// copy gives the counts so far.
func (c *messageCounter) snapshot() (byKind map[string]MessageCount, changes map[string]int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	byKind, changes = map[string]MessageCount{}, map[string]int64{}
	for k, v := range c.byKind {
		byKind[k] = v
	}
	for k, v := range c.stateWrites {
		changes[k] = v
	}
	return byKind, changes
}

// count has a handler's messages counted.
func (c *messageCounter) middleware(service string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		if r.URL.Path == wire.CommitPath {
			c.addTransaction(body)
		}
		out := &countingWriter{ResponseWriter: w}
		h.ServeHTTP(out, r)
		c.add(service+" "+requestKind(r), len(body), out.written)
	})
}

// requestKind is the method and the path's first part.
func requestKind(r *http.Request) string {
	path := strings.SplitN(strings.TrimPrefix(r.URL.Path, "/"), "/", 2)
	kind := r.Method + " " + path[0]
	if r.URL.Path == wire.ChangesPath && r.URL.Query().Get("wait_ms") != "0" {
		kind += " (watch)"
	}
	return kind
}

type countingWriter struct {
	http.ResponseWriter
	written int
}

// Write writes a part of the body.
func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.written += n
	return n, err
}
