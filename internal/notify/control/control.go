// Package control is how operators look at notifications and decide on those
// that were put aside: a handler on a loopback address of each controller, which
// asks the leader, and the client of the command line.
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

// Op is what an operator wants.
type Op string

// The operations.
const (
	List  Op = "list"  // the subscriptions
	Show  Op = "show"  // a subscription's dead letters
	Retry Op = "retry" // a dead letter is sent again
	Drop  Op = "drop"  // a dead letter is forgotten
)

// Ask is a request.
type Ask struct {
	Op   Op     `json:"op" msgpack:"o"`
	Sub  string `json:"subscription,omitempty" msgpack:"s,omitempty"`
	Job  string `json:"job,omitempty" msgpack:"j,omitempty"`
	Kind string `json:"event,omitempty" msgpack:"k,omitempty"`
}

// Answer is what comes back.
type Answer struct {
	Subs []Sub    `json:"subscriptions,omitempty" msgpack:"s,omitempty"`
	Dead []Letter `json:"aside,omitempty" msgpack:"d,omitempty"`
	Done bool     `json:"done" msgpack:"ok"` // of Retry and Drop: there was one, and it is as was wanted
}

// Sub is how a subscription stands.
type Sub struct {
	Name     string `json:"name" msgpack:"n"`
	Receiver string `json:"receiver" msgpack:"r"`
	Waiting  int    `json:"waiting" msgpack:"w"` // in memory, undelivered
	More     bool   `json:"more" msgpack:"m"`    // there are others behind them
	Aside    int    `json:"aside" msgpack:"d"`
}

// Letter is a notification that was put aside.
type Letter struct {
	Sub  string    `json:"subscription" msgpack:"s"`
	Job  string    `json:"job" msgpack:"j"`
	Kind string    `json:"event" msgpack:"k"`
	At   time.Time `json:"at" msgpack:"at"`
	Key  string    `json:"key" msgpack:"y"`
	Why  string    `json:"why" msgpack:"w"`
}

// ErrNoLeader: nobody delivers now.
var ErrNoLeader = errors.New("no controller delivers now; try again")

// Do carries out a request on a leader's outbox.
func Do(box *notify.Outbox, subs []notify.Subscription, now core.Micros, a *Ask) (*Answer, error) {
	out := &Answer{}
	known := a.Sub == ""
	for _, s := range subs {
		if a.Sub != "" && s.Name != a.Sub {
			continue
		}
		known = true
		dead := box.Dead(s.Name)
		waiting, more := box.Undelivered(s.Name)
		out.Subs = append(out.Subs, Sub{s.Name, s.Receiver, waiting, more, len(dead)})
		if a.Op == List {
			continue
		}
		for _, d := range dead {
			out.Dead = append(out.Dead, Letter{d.Sub, d.Event.Job, d.Event.Kind.String(), time.UnixMicro(int64(d.Event.At)).UTC(), notify.Key(d.Sub, &d.Event), d.Why})
		}
	}
	if !known {
		return nil, fmt.Errorf("there is no subscription %q", a.Sub)
	}
	kind, ok := notify.ParseKind(a.Kind)
	switch a.Op {
	case List, Show:
		return out, nil
	case Retry, Drop:
		if !ok || a.Sub == "" || a.Job == "" {
			return nil, errors.New("name a subscription, a job and an event")
		}
	default:
		return nil, fmt.Errorf("there is no operation %q", a.Op)
	}
	out = &Answer{}
	if a.Op == Drop {
		out.Done = box.Drop(a.Sub, a.Job, kind)
	} else {
		out.Done = box.Retry(now, a.Sub, a.Job, kind)
	}
	return out, nil
}

// Backend asks the leader.
type Backend interface {
	Notifications(ctx context.Context, a *Ask) (*Answer, error)
}

const (
	// Path is where the handler is.
	Path    = "/notify"
	maxBody = 16 << 10
	limit   = 5 * time.Second
)

// Handler serves operators.
func Handler(b Backend) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+Path, func(w http.ResponseWriter, r *http.Request) {
		var a Ask
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&a); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), limit)
		defer cancel()
		out, err := b.Notifications(ctx, &a)
		switch {
		case errors.Is(err, ErrNoLeader):
			w.Header().Set("Retry-After", "1")
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		case err != nil:
			http.Error(w, err.Error(), http.StatusBadRequest)
		default:
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(out)
		}
	})
	return mux
}

// Call sends a request to a controller at an address.
func Call(ctx context.Context, c *http.Client, address string, a *Ask) (*Answer, error) {
	b, err := json.Marshal(a)
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
	var out Answer
	return &out, json.Unmarshal(text, &out)
}
