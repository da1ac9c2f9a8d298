//go:build review

package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"aspenstall/internal/simulator"
)

// askedReceiver keeps no keys from having a second effect, but can be asked whether it has seen one,
// and refuses what was sent longer ago than maxAge (docs/NOTIFICATIONS.md, "The receiver's side", 2).
type askedReceiver struct {
	mu       sync.Mutex
	rec      *recorder
	maxAge   time.Duration
	effects  map[string]int // by key
	subjects map[string]string
	last     time.Time // of the last effect
	failing  bool      // lookups are answered 503
	asked    map[string]int
}

func (a *askedReceiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Method == http.MethodGet {
		key := r.URL.Query().Get("key")
		a.asked[key]++
		status := http.StatusNotFound
		switch {
		case a.failing:
			w.Header().Set("Retry-After", "1")
			status = http.StatusServiceUnavailable
		case a.effects[key] > 0:
			status = http.StatusOK
		}
		a.rec.log("receiver: asked for %.12s: %d", key, status)
		w.WriteHeader(status)
		return
	}
	_, _ = io.ReadAll(r.Body)
	key := r.Header.Get("Idempotency-Key")
	sent, err := strconv.ParseInt(r.Header.Get("Aspenstall-Timestamp"), 10, 64)
	if err != nil || time.Since(time.Unix(sent, 0)) > a.maxAge {
		a.rec.log("receiver: %.12s is too old", key)
		w.WriteHeader(http.StatusRequestTimeout)
		return
	}
	a.effects[key]++
	a.last = time.Now()
	a.rec.log("receiver: notification %.12s under token %s: effect %d", key, r.Header.Get("Aspenstall-Token"), a.effects[key])
	w.WriteHeader(http.StatusOK)
}

// notifyLookup: the leader ends just after deliveries; the receiver can't answer the next leader's
// first questions.
func notifyLookup(rec *recorder, trouble bool) (int, error) {
	c, err := newCluster(tolling(), rec)
	if err != nil {
		return 2, err
	}
	defer c.stop()
	recv := &askedReceiver{rec: rec, maxAge: 3 * time.Second, effects: map[string]int{}, asked: map[string]int{}}
	at, err := serve(recv)
	if err != nil {
		return 2, err
	}
	for _, k := range c.controllers {
		if err := k.writeSettings(fmt.Sprintf(`{:notify {:receivers {"billing" {:url "http://%s/hook" :ask-url "http://%s/ask" :max-age-s 3 :timeout-s 5}}
 :subscriptions {"reconciled" {:receiver "billing" :events [:done] :promise :exactly}}}}`, at, at)); err != nil {
			return 2, err
		}
	}
	if err := c.startAll(); err != nil {
		return 2, err
	}
	user := c.controllers[(c.leader().index+1)%3] // the leader is going to end
	const jobs = 6
	for i := range jobs {
		s := &simulator.Spec{ID: fmt.Sprintf("job-%06d", i+1), Class: "fraud-sweep", Team: "revenue-ops", Shape: "batch", Urgency: "high", Tasks: 1,
			CPUs: 4, MemGB: 26, Image: "img-1", ImageGB: 1.5, EstimateS: 5, RunS: 5 + float64(i), Spot: false}
		ok := await(30*time.Second, func() bool {
			status := c.submit(user, s)
			rec.log("user: submits %s at %s: %d", s.ID, user.member, status)
			if status != http.StatusCreated && status != http.StatusOK {
				time.Sleep(time.Second)
				return false
			}
			return true
		})
		if !ok {
			return 2, errors.New("a submission was not accepted")
		}
	}
	count := func() int {
		recv.mu.Lock()
		defer recv.mu.Unlock()
		return len(recv.effects)
	}
	if !await(60*time.Second, func() bool { return count() >= 3 }) {
		return 2, errors.New("nothing was delivered")
	}
	if trouble {
		old := c.leader()
		recv.mu.Lock()
		recv.failing = true
		recv.mu.Unlock()
		rec.log("receiver: can't answer questions for a while (503)")
		old.kill()
		time.AfterFunc(c.site.restart, func() {
			if c.ctx.Err() == nil {
				_ = old.start()
			}
		})
		asked := func() bool {
			recv.mu.Lock()
			defer recv.mu.Unlock()
			return len(recv.asked) > 0
		}
		recv.mu.Lock()
		recv.asked = map[string]int{}
		recv.mu.Unlock()
		if !await(40*time.Second, asked) {
			rec.log("nothing was asked")
		}
		time.Sleep(300 * time.Millisecond)
		recv.mu.Lock()
		recv.failing = false
		recv.mu.Unlock()
		rec.log("receiver: answers questions again")
	}
	all := await(45*time.Second, func() bool { return count() == jobs })
	time.Sleep(8 * time.Second)
	recv.mu.Lock()
	defer recv.mu.Unlock()
	broken := false
	for key, n := range recv.effects {
		rec.log("notification %.12s: %d effects", key, n)
		broken = broken || n != 1
	}
	if !all {
		rec.log("%d of %d notifications arrived", len(recv.effects), jobs)
	}
	if broken {
		return 1, nil
	}
	if !all {
		return 2, errors.New("not all notifications arrived")
	}
	return 0, nil
}
