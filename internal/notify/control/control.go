// Package control lets operators inspect the delivery of notifications, and retry or delete dead
// letters. It has an HTTP handler, which each controller serves on a loopback address and which
// forwards requests to the leader, and the client that the command line uses.
package control

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"aspenstall/internal/core"
	"aspenstall/internal/notify"
)

// Op is an operator's operation.
type Op string

// The operations. Their values are sent and typed on the command line.
const (
	List  Op = "list"  // lists the subscriptions
	Show  Op = "show"  // shows the dead letters of one subscription or all
	Retry Op = "retry" // sends a dead letter again
	Drop  Op = "drop"  // deletes a dead letter
)

// Request is an operator's request. Retry and Drop need all fields.
type Request struct {
	Op           Op     `json:"op" msgpack:"o"`
	Subscription string `json:"subscription,omitempty" msgpack:"s,omitempty"`
	Job          string `json:"job,omitempty" msgpack:"j,omitempty"`
	Kind         string `json:"event,omitempty" msgpack:"k,omitempty"`
}

// Response is the response to a Request.
type Response struct {
	Subscriptions []SubscriptionStatus `json:"subscriptions,omitempty" msgpack:"s,omitempty"`
	DeadLetters   []DeadLetter         `json:"aside,omitempty" msgpack:"d,omitempty"`
	// Succeeded reports, for Retry and Drop, that the operation was performed on a dead letter.
	Succeeded bool `json:"done" msgpack:"ok"`
}

// SubscriptionStatus is the state of the deliveries of a subscription.
type SubscriptionStatus struct {
	Name        string `json:"name" msgpack:"n"`
	Receiver    string `json:"receiver" msgpack:"r"`
	Waiting     int    `json:"waiting" msgpack:"w"` // undelivered events in memory
	More        bool   `json:"more" msgpack:"m"`    // there are further undelivered events
	DeadLetters int    `json:"aside" msgpack:"d"`   // number of dead letters
}

// DeadLetter is a notification that is no longer sent automatically.
type DeadLetter struct {
	Subscription string    `json:"subscription" msgpack:"s"`
	Job          string    `json:"job" msgpack:"j"`
	Kind         string    `json:"event" msgpack:"k"`
	At           time.Time `json:"at" msgpack:"at"`
	Key          string    `json:"key" msgpack:"y"`
	Reason       string    `json:"why" msgpack:"w"`
}

// ErrNoLeader is returned when no controller delivers notifications at present.
var ErrNoLeader = errors.New("no controller delivers now; try again")

// Execute performs a request on the leader's outbox. It returns an error if the subscription or
// the operation does not exist, or if Retry or Drop lacks a field.
func Execute(outbox *notify.Outbox, subscriptions []notify.Subscription, now core.Micros, req *Request) (*Response, error) {
	resp := &Response{}
	known := req.Subscription == ""
	for _, s := range subscriptions {
		if req.Subscription != "" && s.Name != req.Subscription {
			continue
		}
		known = true
		deadLetters := outbox.DeadLetters(s.Name)
		waiting, more := outbox.Undelivered(s.Name)
		resp.Subscriptions = append(resp.Subscriptions, SubscriptionStatus{s.Name, s.Receiver, waiting, more, len(deadLetters)})
		if req.Op == List {
			continue
		}
		for _, d := range deadLetters {
			resp.DeadLetters = append(resp.DeadLetters, DeadLetter{d.Subscription, d.Event.Job, d.Event.Kind.String(), time.UnixMicro(int64(d.Event.At)).UTC(), notify.IdempotencyKey(d.Subscription, &d.Event), d.Reason})
		}
	}
	if !known {
		return nil, fmt.Errorf("there is no subscription %q", req.Subscription)
	}
	kind, ok := notify.ParseKind(req.Kind)
	switch req.Op {
	case List, Show:
		return resp, nil
	case Retry, Drop:
		if !ok || req.Subscription == "" || req.Job == "" {
			return nil, errors.New("name a subscription, a job and an event")
		}
	default:
		return nil, fmt.Errorf("there is no operation %q", req.Op)
	}
	resp = &Response{}
	if req.Op == Drop {
		resp.Succeeded = outbox.DeleteDeadLetter(req.Subscription, req.Job, kind)
	} else {
		resp.Succeeded = outbox.RetryDeadLetter(now, req.Subscription, req.Job, kind)
	}
	return resp, nil
}

// Backend forwards requests to the leader. It returns ErrNoLeader if there is none.
type Backend interface {
	Notifications(ctx context.Context, req *Request) (*Response, error)
}

const (
	// Path is the URL path of the handler.
	Path            = "/notify"
	maxRequestBytes = 16 << 10
	requestTimeout  = 5 * time.Second
)

// Handler returns the HTTP handler of operators' requests.
func Handler(b Backend) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+Path, func(w http.ResponseWriter, r *http.Request) {
		var req Request
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&req); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		resp, err := b.Notifications(ctx, &req)
		switch {
		case errors.Is(err, ErrNoLeader):
			w.Header().Set("Retry-After", "1")
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		case err != nil:
			http.Error(w, err.Error(), http.StatusBadRequest)
		default:
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(resp)
		}
	})
	return mux
}

// Call sends a request to the controller at an address (host:port). It returns the text of an
// HTTP error response as the error.
func Call(ctx context.Context, c *http.Client, address string, request *Request) (*Response, error) {
	b, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	resp, err := c.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 64<<20))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.New(strings.TrimSpace(string(text)))
	}
	var out Response
	return &out, json.Unmarshal(text, &out)
}
