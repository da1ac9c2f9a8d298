package simulator_test

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"aspenstall/internal/simulator"
	"aspenstall/internal/wire"
)

// reportReplayer captures workers' reports, and sends copies of them to every node later.
type reportReplayer struct {
	mu            sync.Mutex
	random        *rand.Rand
	captured      []capturedReport
	takenByLeader int // copies that the leader answered with status 200
	copies        int // copies sent
}

// capturedReport is the body of a report and when it arrived.
type capturedReport struct {
	at   time.Time
	body []byte
}

// capture keeps a request if it is a worker's report.
func (o *reportReplayer) capture(path string, body []byte) {
	if path != wire.ReportPath {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.captured = append(o.captured, capturedReport{time.Now(), bytes.Clone(body)})
}

// replay sends copies of up to count random reports of the last half minute to every node.
func (o *reportReplayer) replay(w *simulator.World, count int) {
	o.mu.Lock()
	var copies []capturedReport
	for len(copies) < count && len(o.captured) > 0 {
		k := o.captured[o.random.IntN(len(o.captured))]
		if time.Since(k.at) < 30*time.Second {
			copies = append(copies, k)
		} else {
			count--
		}
	}
	o.mu.Unlock()
	slices.SortFunc(copies, func(a, b capturedReport) int { return a.at.Compare(b.at) })
	for i := range 3 {
		go func() {
			for _, k := range copies {
				status := w.SendReportCopy(i, k.body)
				o.mu.Lock()
				o.copies++
				if status == http.StatusOK && w.Leader() == i {
					o.takenByLeader++
				}
				o.mu.Unlock()
			}
		}()
	}
}

// TestOldReportsDuringTakeover tests old reports that reach every controller just as a new leader's
// term begins. A report is evidence of what runs on a machine only if it can't have been sent before the
// worker saw the new token. Otherwise it must not release, complete, place or renew anything.
func TestOldReportsDuringTakeover(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	runAtEachBudget(t, func(seed uint64) (scenario, func(*testing.T, *users), func() string) {
		o := &reportReplayer{random: rand.New(rand.NewPCG(seed, 38))}
		var unreachable []*simulator.Worker
		leader := 0
		sc := scenario{setupFaultsEnd: true, setup: func(w *simulator.World) {
			for _, f := range w.NodeFaults {
				f.OnRequest = o.capture
			}
		}}
		for i := range 4 {
			at := 35*s + time.Duration(i)*25*s
			sc.actions = append(sc.actions, action{at - 3*s, func(w *simulator.World) {
				for n, k := range w.Cloud.Workers() {
					if (n+i)%4 == 0 {
						partitionWorker(w, k, true) // only copies of its old reports arrive
						unreachable = append(unreachable, k)
					}
				}
			}}, action{at, func(w *simulator.World) {
				leader = max(w.Leader(), 0)
				w.Kill(leader)
				for range 40 { // the next term begins about three seconds later
					time.Sleep(150 * ms)
					o.replay(w, 12)
				}
			}}, action{at + 300*ms, func(w *simulator.World) { w.StartNode(leader) }},
				action{at + 8500*ms, func(w *simulator.World) { o.replay(w, 40) }}, // the new leader has started, stopped and acknowledged tasks by then
				action{at + 9*s + time.Duration(i%2)*10*s, func(w *simulator.World) {
					for _, k := range unreachable {
						partitionWorker(w, k, false)
					}
					unreachable = nil
				}})
		}
		jobs := func(t *testing.T, u *users) {
			submitShortJobs(u, 10*s, 130*s, 900*ms)
			smallJobsWorkload(t, u)
		}
		return sc, jobs, func() string {
			t.Logf("%d copies of reports, %d accepted by a leader", o.copies, o.takenByLeader)
			if o.takenByLeader < 20 {
				return "copies of reports that a leader accepted"
			}
			return ""
		}
	})
}
