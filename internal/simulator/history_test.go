package simulator_test

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"testing"
	"testing/synctest"
	"time"

	"aspenstall/internal/core"
	"aspenstall/internal/simulator"
	"aspenstall/internal/wire"
)

// historyPage is the number of job records that the state service returns in one page.
const historyPage = 1000

// finishedJobs returns the records of finished jobs, as an earlier run of the controllers left them.
func finishedJobs(t testing.TB, count int) []wire.Write {
	writes := make([]wire.Write, 0, count)
	for n := range count {
		r := core.JobRecord{
			Phase: core.Done, SubmittedAt: core.Micros(n+1) * core.Second, EndedAt: core.Micros(n+60) * core.Second, AcceptedRevision: uint64(n + 1),
			Spec: core.JobSpec{
				ID: fmt.Sprintf("job-%06d", n), Class: "sweep", Team: "blue", Kind: core.Array, Priority: core.High, Tasks: 70,
				Resources: core.Resources{CPU: 4000, Mem: 26000}, Spot: true, Image: "img-1", ImageMB: 1500, EstimatedRun: 35 * core.Second, Deadline: 120 * core.Second,
			},
		}
		b, err := wire.EncodeJob(&r)
		if err != nil {
			t.Fatal(err)
		}
		writes = append(writes, wire.Write{Put: wire.JobPrefix + r.Spec.ID, Value: b})
	}
	return writes
}

// startCost is what it took until all controllers that were started at once could serve.
type startCost struct {
	serving           time.Duration // until the last controller can serve; the limit if one can't
	requests, refused int
}

// historyStateRPS is the rate of the state service in these tests, in requests per second.
const historyStateRPS = 150

// newHistoryWorld returns a world whose state service holds the records, and answers
// historyStateRPS requests and 25 writes per second after 3 ms on average.
func newHistoryWorld(seed uint64, writes []wire.Write) *simulator.World {
	const writeRPS = 25
	p := platform()
	p.Params.State.RPS, p.Params.State.WriteRPS = historyStateRPS, writeRPS
	w := simulator.NewWorld(seed, p, machineTypes)
	w.State.Load(writes)
	w.State.LimitRates(historyStateRPS, writeRPS)
	w.StateFaults.Update(func(f *simulator.Faults) { f.MaxDelay = 6 * time.Millisecond })
	return w
}

// startWithHistory starts controllers at once and waits until all can serve or the limit is over.
func startWithHistory(writes []wire.Write, controllers int, limit time.Duration) startCost {
	w := newHistoryWorld(97, writes)
	defer w.Close()
	started := time.Now()
	for i := range controllers {
		w.StartNode(i)
	}
	for serving := 0; serving < controllers && time.Since(started) < limit; {
		time.Sleep(10 * time.Millisecond)
		serving = 0
		for i := range controllers {
			if w.Healthy(i) {
				serving++
			}
		}
	}
	requests, _ := w.State.RequestCounts()
	return startCost{time.Since(started), requests, w.State.RefusedCount()}
}

// TestStartWithLongHistory guards against controllers that never serve again because each reads all
// records from the start whenever the state service refuses a page.
func TestStartWithLongHistory(t *testing.T) {
	const jobs = 60_000
	writes := finishedJobs(t, jobs)
	for _, controllers := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d controllers", controllers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startWithHistory(writes, controllers, 75*time.Second)
				pages := float64(jobs / historyPage * controllers)
				// The rate allows a burst, so a short list takes less than this.
				bound := time.Duration(1.5 * pages / historyStateRPS * float64(time.Second))
				t.Logf("serving after %v, %d requests, %d refused", c.serving, c.requests, c.refused)
				if c.serving > bound {
					t.Errorf("serving after %v, want at most %v", c.serving, bound)
				}
			})
		})
	}
}

// TestListBesideLeader guards against lists that take the state service's rate from a leader: while
// two controllers read a long history, and later read it again since their watches had a gap, the
// leader keeps its lease, accepts each job within half a second and is refused nothing.
func TestListBesideLeader(t *testing.T) {
	const jobs = 150_000
	const acceptWithin = 500 * time.Millisecond
	writes := finishedJobs(t, jobs)
	synctest.Test(t, func(t *testing.T) {
		w := newHistoryWorld(98, writes)
		defer w.Close()
		startAllNodes(w)
		time.Sleep(20 * time.Second)
		leader, refused, submitted := w.Leader(), w.State.RefusedCount(), 0
		token, _ := w.State.Get(wire.LeaderKey)
		submitFor := func(d time.Duration) {
			for started := time.Now(); time.Since(started) < d; time.Sleep(200 * time.Millisecond) {
				job := array(700_000+submitted, 1, 1)
				submitted++
				sent := time.Now()
				if status := w.PostJob(leader, &job); status != 201 || time.Since(sent) > acceptWithin {
					t.Errorf("%s: status %d after %v", job.ID, status, time.Since(sent))
				}
			}
		}
		for i := range w.Nodes {
			if i != leader {
				w.Kill(i)
				w.StartNode(i)
			}
		}
		submitFor(5 * time.Second)
		followers := []int{(leader + 1) % 3, (leader + 2) % 3}
		for _, i := range followers {
			if !w.Healthy(i) {
				t.Errorf("controller %d does not serve 5 s after its start", i)
			}
			w.Net.BlockLink(w.NodeAddr(i), w.StateAddr(), true)
		}
		submitFor(2 * time.Second)
		w.State.CompactLog()
		submitFor(500 * time.Millisecond)
		for _, i := range followers {
			w.Net.BlockLink(w.NodeAddr(i), w.StateAddr(), false)
		}
		submitFor(5 * time.Second)
		if now, _ := w.State.Get(wire.LeaderKey); now.Lease != token.Lease {
			t.Error("the leader lost its lease")
		}
		if n := w.State.RefusedCount() - refused; n != 0 {
			t.Errorf("%d requests were refused", n)
		}
		for _, b := range w.Violations() {
			t.Error(b)
		}
	})
}

// BenchmarkStartWithHistory measures, under fake time, how long controllers that start at once take
// until all can serve.
func BenchmarkStartWithHistory(b *testing.B) {
	for _, jobs := range []int{10_000, 100_000, 300_000, 600_000} {
		writes := finishedJobs(b, jobs)
		for _, controllers := range []int{1, 3} {
			b.Run(fmt.Sprintf("%d jobs, %d controllers", jobs, controllers), func(b *testing.B) {
				for range b.N {
					var c startCost
					// synctest needs a testing.T; a benchmark has none.
					testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{Name: b.Name(), F: func(t *testing.T) {
						synctest.Test(t, func(*testing.T) { c = startWithHistory(writes, controllers, 150*time.Second) })
					}}})
					b.ReportMetric(c.serving.Seconds(), "s-to-serving")
					b.ReportMetric(float64(c.requests), "requests")
					b.ReportMetric(float64(c.refused), "refused")
				}
			})
		}
	}
}

// BenchmarkStartMemory measures the memory that a controller's heap takes at most while it starts, by what
// it takes while it serves, and what it takes for one finished job. Garbage is collected often, so that
// what lives is seen.
func BenchmarkStartMemory(b *testing.B) {
	defer debug.SetGCPercent(debug.SetGCPercent(5))
	heap := func() float64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for _, jobs := range []int{100_000, 200_000, 400_000, 800_000} {
		b.Run(fmt.Sprintf("%d jobs", jobs), func(b *testing.B) {
			for range b.N {
				var before, peak, serving float64
				testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{Name: b.Name(), F: func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						w := newHistoryWorld(97, finishedJobs(t, jobs))
						defer w.Close()
						runtime.GC()
						before = heap()
						w.StartNode(0)
						for !w.Healthy(0) {
							time.Sleep(5 * time.Millisecond)
							peak = max(peak, heap()-before)
						}
						time.Sleep(time.Second)
						runtime.GC()
						serving = heap() - before
					})
				}}})
				b.ReportMetric(peak/serving, "peak-by-serving")
				b.ReportMetric(serving/float64(jobs), "B-per-job")
				b.ReportMetric(peak/(1<<20), "peak-MB")
			}
		})
	}
}
