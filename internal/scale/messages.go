package scale

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"

	"aspenstall/internal/wire"
)

// MessageCount is the number of requests of one kind and the bytes of their request and response
// bodies.
type MessageCount struct {
	Requests int64 `json:"requests"`
	BytesIn  int64 `json:"in_bytes"`
	BytesOut int64 `json:"out_bytes"`
}

// messageCounter counts messages by kind, and writes to the state service by kind of record. It is
// safe for concurrent use.
type messageCounter struct {
	mu          sync.Mutex
	byKind      map[string]MessageCount
	stateWrites map[string]int64
}

// newMessageCounter returns a counter with all counts zero.
func newMessageCounter() *messageCounter {
	return &messageCounter{byKind: map[string]MessageCount{}, stateWrites: map[string]int64{}}
}

// add counts one request of a kind with the sizes of its bodies in bytes.
func (c *messageCounter) add(kind string, in, out int) {
	c.mu.Lock()
	count := c.byKind[kind]
	count.Requests++
	count.BytesIn += int64(in)
	count.BytesOut += int64(out)
	c.byKind[kind] = count
	c.mu.Unlock()
}

// addTransaction counts the writes in the body of a commit request. It ignores a body that cannot
// be decoded.
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

// writeKind returns the operation and the first two components of the key, or the whole key if it
// has no more.
func writeKind(w wire.Write) string {
	key, op := w.Put, "write "
	if key == "" {
		key, op = w.Delete, "drop "
	}
	parts := strings.SplitN(key, "/", 3)
	if len(parts) > 2 {
		return op + parts[0] + "/" + parts[1]
	}
	return op + key
}

// snapshot returns copies of the counts so far.
func (c *messageCounter) snapshot() (byKind map[string]MessageCount, stateWrites map[string]int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	byKind, stateWrites = map[string]MessageCount{}, map[string]int64{}
	for k, v := range c.byKind {
		byKind[k] = v
	}
	for k, v := range c.stateWrites {
		stateWrites[k] = v
	}
	return byKind, stateWrites
}

// middleware returns a handler that counts the messages of h, with service as the first word of
// their kind.
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

// requestKind returns the request's method and the first component of its path. Long polls for
// changes are a kind of their own.
func requestKind(r *http.Request) string {
	path := strings.SplitN(strings.TrimPrefix(r.URL.Path, "/"), "/", 2)
	kind := r.Method + " " + path[0]
	if r.URL.Path == wire.ChangesPath && r.URL.Query().Get("wait_ms") != "0" {
		kind += " (watch)"
	}
	return kind
}

// countingWriter counts the bytes of a response body.
type countingWriter struct {
	http.ResponseWriter
	written int
}

// Write writes part of the body and counts its bytes.
func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.written += n
	return n, err
}
