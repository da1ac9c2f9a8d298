package simulator_test

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"aspenstall/internal/simulator"
)

var randomExitRuns = flag.Int("ends", 8, "how many random scenarios TestProcessExitAtAnyRequest runs")

// exitPoints are the requests of or to a controller during which its process may crash: those of an
// election, a takeover, a write, a command, a rental and a response.
var exitPoints = []struct {
	name    string
	service string // the service that handles the request: state, cloud, worker or node
	match   func(r *http.Request, body []byte) bool
}{
	{"grants a lease", "state", func(r *http.Request, _ []byte) bool { return r.Method == http.MethodPost && r.URL.Path == "/leases" }},
	{"acquires leadership", "state", func(r *http.Request, b []byte) bool {
		return r.URL.Path == "/commit" && bytes.Contains(b, []byte("writes")) && bytes.Count(b, []byte("c/leader")) == 2
	}},
	{"renews", "state", func(r *http.Request, _ []byte) bool { return strings.HasSuffix(r.URL.Path, "/renew") }},
	{"revokes a lease", "state", func(r *http.Request, _ []byte) bool { return r.Method == http.MethodDelete }},
	{"reads the scheduler's records", "state", func(r *http.Request, _ []byte) bool { return r.URL.Query().Get("starts") == "b/" }},
	{"reads the shared records", "state", func(r *http.Request, _ []byte) bool {
		return r.URL.Path == "/keys" && r.URL.Query().Get("starts") == "c/"
	}},
	{"writes a started record", "state", func(r *http.Request, b []byte) bool { return bytes.Contains(b, []byte("b/open/")) }},
	{"records machines", "state", func(r *http.Request, b []byte) bool { return bytes.Contains(b, []byte("b/machine/")) }},
	{"records a rental", "state", func(r *http.Request, b []byte) bool { return bytes.Contains(b, []byte("b/rent/")) }},
	{"writes a job", "state", func(r *http.Request, b []byte) bool {
		return r.URL.Path == "/commit" && bytes.Contains(b, []byte("c/job/"))
	}},
	{"commands a worker", "worker", func(*http.Request, []byte) bool { return true }},
	{"starts a task", "worker", func(_ *http.Request, b []byte) bool { return bytes.Contains(b, []byte("start")) }},
	{"rents", "cloud", func(r *http.Request, _ []byte) bool { return r.Method == http.MethodPost && r.URL.Path == "/machines" }},
	{"releases machines", "cloud", func(r *http.Request, _ []byte) bool { return r.URL.Path == "/machines/return" }},
	{"answers a report", "node", func(r *http.Request, _ []byte) bool { return r.URL.Path == "/agent/beat" }},
	{"answers a user", "node", func(r *http.Request, _ []byte) bool { return strings.HasPrefix(r.URL.Path, "/v2/") }},
}

// exitInjector draws the requests during which processes crash, and counts the crashes by exit
// point.
type exitInjector struct {
	mu        sync.Mutex
	r         *rand.Rand
	point     int // index in exitPoints of the next crash; negative: none
	remaining int // further crashes to follow the next one, each at a newly drawn point
	mode      simulator.CrashPoint
	lateBy    time.Duration
	hits      map[string]int // crashes by the exit point's name
}

// arm draws an exit point: the next process that reaches it crashes.
func (e *exitInjector) arm(w *simulator.World) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.point, e.remaining = e.r.IntN(len(exitPoints)), max(e.r.IntN(5)-1, 0)
	e.mode = simulator.CrashPoint(1 + e.r.IntN(3))
	w.RestartDelay = []time.Duration{time.Millisecond, 20 * time.Millisecond, 300 * time.Millisecond}[e.r.IntN(3)]
	e.lateBy = time.Duration(1+e.r.IntN(20)) * time.Second
	for _, f := range []*simulator.Faults{w.StateFaults, w.CloudFaults, w.WorkerFaults} {
		f.Update(func(f *simulator.Faults) { f.LateDelay = e.lateBy })
	}
}

// onRequest returns the CrashOn function for the faults of a service. It decides whether a process
// crashes during a request, and at which point of it.
func (e *exitInjector) onRequest(service string) func(r *http.Request, body []byte) simulator.CrashPoint {
	return func(r *http.Request, body []byte) simulator.CrashPoint {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.point < 0 || !strings.HasPrefix(r.RemoteAddr, "10.0.0.") && service != "node" {
			return simulator.NoCrash
		}
		p := exitPoints[e.point]
		if p.service != service || !p.match(r, body) {
			return simulator.NoCrash
		}
		e.hits[p.name]++
		mode := e.mode
		if e.remaining--; e.remaining < 0 {
			e.point = -1
		} else {
			// The next crash is at a request soon after the restart.
			e.point, e.mode = e.r.IntN(len(exitPoints)), simulator.CrashPoint(1+e.r.IntN(3))
		}
		return mode
	}
}

// TestProcessExitAtAnyRequest runs scenarios in which processes crash during a request of an
// election, a takeover, a write, a command or a response: before the request is executed, after it
// with half of the response sent, or so that it is executed many seconds later. They restart after
// 1 ms to 0.3 s, and may crash again at once. The long form, outside CI:
//
//	go test ./internal/simulator -run TestProcessExitAtAnyRequest -ends 300
func TestProcessExitAtAnyRequest(t *testing.T) {
	hits := map[string]int{}
	for seed := range *randomExitRuns {
		r := rand.New(rand.NewPCG(uint64(seed), 30))
		e := &exitInjector{r: r, point: -1, hits: hits}
		sc := scenario{name: fmt.Sprint(seed), seed: uint64(3000 + seed), setup: func(w *simulator.World) {
			w.StateFaults.CrashOn, w.CloudFaults.CrashOn, w.WorkerFaults.CrashOn = e.onRequest("state"), e.onRequest("cloud"), e.onRequest("worker")
			for _, f := range w.NodeFaults {
				f.CrashOn = e.onRequest("node")
			}
		}}
		for at := randomDuration(r, 1, 6); at < 120*time.Second; at += randomDuration(r, 1, 9) {
			sc.actions = append(sc.actions, action{at, e.arm})
		}
		t.Run(sc.name, func(t *testing.T) {
			if seed%2 == 1 {
				runScenario(t, sc, platform(), machineTypes, mixedWorkload)
				return
			}
			runPartitionScenario(t, sc)
		})
	}
	t.Logf("crashes by exit point: %v", hits)
	for _, s := range exitPoints {
		if hits[s.name] == 0 && *randomExitRuns >= 100 && s.name != "revokes a lease" {
			t.Errorf("no process crashed while it %s", s.name)
		}
	}
}
