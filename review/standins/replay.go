//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"aspenstall/internal/simulator"
)

// receiver is a receiver of notifications that can't keep the key in the transaction of the effect. It
// keeps the second kind of contract: it tells whether a key had its effect, and refuses requests that
// are older than maxAge with 408.
type receiver struct {
	rec     *record
	maxAge  time.Duration
	askTime time.Duration // how long an answer to a question takes

	mu        sync.Mutex
	effects   map[string]int // by job and event
	total     int
	seen      map[string]bool // by key
	loseReply string          // the job whose next reply is lost; "" for none
}

func newReceiver(rec *record, maxAge, askTime time.Duration) *receiver {
	return &receiver{rec: rec, maxAge: maxAge, askTime: askTime, effects: map[string]int{}, seen: map[string]bool{}}
}

func (v *receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		key := r.URL.Query().Get("key")
		v.mu.Lock()
		seen := v.seen[key]
		v.mu.Unlock()
		status := http.StatusNotFound
		if seen {
			status = http.StatusOK
		}
		v.rec.printf("receiver: asked for key %s from %s: %d", key[:8], r.RemoteAddr, status)
		time.Sleep(v.askTime)
		w.WriteHeader(status)
		return
	}
	b, err := io.ReadAll(r.Body)
	var e struct{ ID, Type, Subject string }
	sent, err2 := strconv.ParseInt(r.Header.Get("Aspenstall-Timestamp"), 10, 64)
	if err != nil || err2 != nil || json.Unmarshal(b, &e) != nil || e.ID != r.Header.Get("Idempotency-Key") {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	head := fmt.Sprintf("receiver: POST %s of %s, key %s, token %s, from %s", e.Type, e.Subject, e.ID[:8], r.Header.Get("Aspenstall-Token"), r.RemoteAddr)
	if time.Since(time.Unix(sent, 0)) > v.maxAge {
		v.rec.printf("%s: 408, it is too old", head)
		w.WriteHeader(http.StatusRequestTimeout)
		return
	}
	event := e.Type + " " + e.Subject
	v.mu.Lock()
	v.seen[e.ID] = true
	v.effects[event]++
	v.total++
	n := v.effects[event]
	lose := v.loseReply == e.Subject
	if lose {
		v.loseReply = ""
	}
	v.mu.Unlock()
	if lose {
		v.rec.printf("%s: effect %d; the reply is lost, the connection is reset", head, n)
		panic(http.ErrAbortHandler)
	}
	v.rec.printf("%s: effect %d, 200", head, n)
}

func (v *receiver) effectsOf(job string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.effects["aspenstall.job.done "+job]
}

func (v *receiver) totalEffects() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.total
}

// judge reports whether each job's event had exactly one effect.
func (v *receiver) judge(jobs []string) int {
	code := held
	for _, id := range jobs {
		if n := v.effectsOf(id); n != 1 {
			v.rec.printf("the notification that %s is done had %d effects", id, n)
			code = broken
		}
	}
	return code
}

// writeNotifySettings writes the operators' settings with a subscription to jobs that are done.
func writeNotifySettings(dir, receiverAddr, team, class string, maxAgeS int) (string, error) {
	path := filepath.Join(dir, "notify.sexp")
	text := fmt.Sprintf(`{:notify
 {:receivers
  {"desk" {:url "http://%[1]s/hook" :ask-url "http://%[1]s/ask" :max-age-s %[4]d :in-flight 4 :timeout-s 10}}
  :subscriptions
  {"jobs-done" {:team "%[2]s" :class "%[3]s" :events [:done] :receiver "desk" :deadline-s 3600 :promise :exactly}}}}
`, receiverAddr, team, class, maxAgeS)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

func init() { cases["replay"] = runReplay }

// runReplay is case 3: the receiver accepts a notification, and its reply is lost.
func runReplay(ctx context.Context, rec *record, binary, dir string, trouble bool) int {
	params := rilaParams(false)
	params.Workers.ReportS = 3
	const maxAgeS = 3
	v := newReceiver(rec, maxAgeS*time.Second, 20*time.Millisecond)
	settings, err := writeNotifySettings(dir, serve(v), "agro-desk", "ensemble-runs", maxAgeS)
	if err != nil {
		return failed
	}
	c := newCluster(ctx, rec, dir, binary, params, wren(params.Zones), 20, settings)
	defer c.stopAll()
	if err := c.up(); err != nil {
		rec.printf("%v", err)
		return failed
	}
	var jobs []string
	for i := 1; i <= 4; i++ {
		id := fmt.Sprintf("job-%06d", i)
		jobs = append(jobs, id)
		if trouble && i == 3 {
			v.mu.Lock()
			v.loseReply = id
			v.mu.Unlock()
		}
		if !c.submit(&simulator.Spec{
			ID: id, Class: "ensemble-runs", Team: "agro-desk", Shape: "batch", Urgency: "standard", Tasks: 2, CPUs: 2, MemGB: 6,
			Image: "img-1", ImageGB: 0.3, EstimateS: 2, RunS: 2,
		}) {
			return failed
		}
		for start := time.Now(); v.effectsOf(id) == 0; time.Sleep(50 * time.Millisecond) {
			if time.Since(start) > 25*time.Second || ctx.Err() != nil {
				rec.printf("no notification of %s", id)
				return failed
			}
		}
	}
	// What is in doubt is asked about after max-age-s, so a proper second attempt comes within this time.
	time.Sleep(8 * time.Second)
	return v.judge(jobs)
}
