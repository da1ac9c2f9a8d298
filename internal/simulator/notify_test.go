package simulator_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"aspenstall/internal/config"
	"aspenstall/internal/core"
	"aspenstall/internal/notify"
	"aspenstall/internal/notify/control"
	"aspenstall/internal/notify/deliver"
	"aspenstall/internal/simulator"
)

// TestNotifyFaultScenarios accepts, completes and cancels jobs while controllers crash, services
// fail and receivers fail. It checks that a receiver that keeps idempotency keys, and one that answers
// key lookups, apply each event of each job exactly once and in order, and no other event, and that
// a receiver that does neither applies none twice if the subscription promises at most once.
func TestNotifyFaultScenarios(t *testing.T) {
	const s = time.Second
	for i, sc := range []struct {
		name    string
		setup   func(w *simulator.World)
		actions []action
	}{
		{"receivers fail", nil, nil},
		{"controllers crash during deliveries", nil, []action{
			{20 * s, killNode(0)}, {24 * s, startNode(0)}, {31 * s, killNode(1)}, {32 * s, killNode(2)}, {37 * s, startNode(1)}, {39 * s, startNode(2)},
			{50 * s, killAllNodes}, {54 * s, startAllNodes}, {63 * s, killAllNodes}, {66 * s, startAllNodes}, {75 * s, killAllNodes}, {77 * s, startAllNodes},
		}},
		{"the state service is down and loses responses", func(w *simulator.World) {
			w.StateFaults.LoseResponse, w.StateFaults.LoseRequest, w.StateFaults.ExecuteLate, w.StateFaults.LateDelay = 0.05, 0.05, 0.03, 9*s
		}, []action{
			{30 * s, func(w *simulator.World) { w.StateFaults.Update(func(f *simulator.Faults) { f.Down = true }) }},
			{45 * s, func(w *simulator.World) {
				w.StateFaults.Update(func(f *simulator.Faults) { f.Down = false })
				w.State.RenewLeases()
			}},
			{60 * s, func(w *simulator.World) { w.State.CompactLog() }},
		}},
		{"a frozen leader resumes and sends", nil, []action{
			{25 * s, func(w *simulator.World) { w.Freeze(max(w.Leader(), 0), true) }}, {50 * s, func(w *simulator.World) {
				for i := range 3 {
					w.Freeze(i, false)
				}
			}},
		}},
	} {
		t.Run(sc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := simulator.NewWorld(80+uint64(i), platform(), machineTypes)
				defer w.Close()
				all := []notify.Kind{notify.Accepted, notify.Done, notify.Cancelled}
				receivers := map[string]*simulator.Receiver{}
				for n, name := range []string{"desk", "billing", "archive", "pager"} {
					receivers[name] = simulator.NewReceiver(uint64(i + 50*n))
				}
				for _, name := range []string{"desk", "archive", "pager"} {
					receivers[name].LoseResponse, receivers[name].Refuse, receivers[name].Slow = 0.15, 0.1, 0.1
				}
				receivers["billing"].Refuse = 0.3
				const maxAge = 5 * s
				receivers["archive"].Contract, receivers["archive"].MaxAge = simulator.AnswersLookups, maxAge
				receivers["archive"].FailLookup, receivers["archive"].LoseLookup, receivers["archive"].SlowLookup = 0.2, 0.1, 0.1
				receivers["pager"].Contract = simulator.AppliesRepeats
				w.Settings.Notify = &config.Notify{Subscriptions: []notify.Subscription{
					{Name: "all", Receiver: "desk", Kinds: all, Deadline: 3600 * core.Second},
					{Name: "blue-done", Receiver: "billing", Kinds: []notify.Kind{notify.Done}, Team: "blue", Deadline: 3600 * core.Second},
					{Name: "all-archived", Receiver: "archive", Kinds: all, Deadline: 3600 * core.Second},
					{Name: "all-paged", Receiver: "pager", Kinds: all, Deadline: 3600 * core.Second, DeliveryGuarantee: notify.AtMostOnce},
				}}
				for n, name := range slices.Sorted(maps.Keys(receivers)) {
					at := fmt.Sprintf("10.3.0.%d:80", n+1)
					w.Net.Serve(at, receivers[name])
					r := config.NotifyReceiver{
						Limits: notify.Receiver{Name: name, MaxInFlight: 4}, Delivery: deliver.Receiver{Name: name, URL: "http://" + at + "/hook"},
						KeepsKeys: receivers[name].Contract == simulator.DeduplicatesKeys,
					}
					if receivers[name].Contract == simulator.AnswersLookups {
						r.Delivery.LookupURL = "http://" + at + "/seen"
						r.Limits.MaxMessageAge = core.Micros(maxAge / time.Microsecond)
					}
					w.Settings.Notify.Receivers = append(w.Settings.Notify.Receivers, r)
				}
				if sc.setup != nil {
					w.StateFaults.Update(func(*simulator.Faults) { sc.setup(w) })
				}
				startAllNodes(w)
				time.Sleep(15 * s) // the subscriptions start
				var wg sync.WaitGroup
				for _, a := range sc.actions {
					wg.Go(func() { time.Sleep(max(a.at-15*s, 0)); a.do(w) })
				}
				random := rand.New(rand.NewPCG(uint64(i), 21))
				finalStates := map[string]string{}
				var mu sync.Mutex
				for k := range 40 {
					job := array(700+k, 1+random.IntN(3), 3+4*random.Float64())
					if k%2 == 1 {
						job.Team = "green"
					}
					delay := time.Duration(random.IntN(70)) * s
					wg.Go(func() {
						time.Sleep(delay)
						if !w.Submit(job) {
							t.Errorf("%s was not accepted", job.ID)
							return
						}
						state := "done"
						if k%5 == 4 {
							time.Sleep(2 * s)
							state = w.Cancel(job.ID)
						} else if !w.AwaitState(job.ID, "done", 4*time.Minute) {
							t.Errorf("%s did not complete", job.ID)
						}
						mu.Lock()
						finalStates[job.ID] = map[string]string{"done": "done", "aborted": "cancelled"}[state]
						mu.Unlock()
					})
				}
				wg.Wait()
				time.Sleep(5 * time.Minute)
				// Each failed question doubles the time to the next attempt, up to three minutes.
				receivers["archive"].StopFaults()
				time.Sleep(10 * time.Minute)
				for id, last := range finalStates {
					for _, kind := range []string{"accepted", "done", "cancelled"} {
						want := 0
						if kind == "accepted" || kind == last {
							want = 1
						}
						for _, name := range []string{"desk", "archive"} {
							if n, _ := receivers[name].EffectCounts(kind, id); n != want {
								t.Errorf("%s %s: receiver %s applied %d events, want %d", id, kind, name, n, want)
							}
						}
						if n, _ := receivers["pager"].EffectCounts(kind, id); n > want {
							t.Errorf("%s %s: receiver pager applied %d events, want at most %d", id, kind, n, want)
						}
					}
					for _, name := range []string{"desk", "archive"} {
						if order, _ := receivers[name].EventOrder(id); len(order) == 2 && !strings.HasSuffix(order[0], "accepted") {
							t.Errorf("%s: receiver %s applied events in the order %v", id, name, order)
						}
					}
					blue := int(id[len(id)-1]-'0')%2 == 0
					want := 0
					if blue && last == "done" {
						want = 1
					}
					if n, _ := receivers["billing"].EffectCounts("done", id); n != want {
						t.Errorf("%s: receiver billing applied %d events, want %d", id, n, want)
					}
				}
				for _, name := range []string{"desk", "archive"} {
					if _, n := receivers[name].EffectCounts("", ""); n != 80 {
						t.Errorf("receiver %s applied %d distinct events, want 80", name, n)
					}
				}
				for _, b := range w.Violations() {
					t.Error(b)
				}
			})
		})
	}
}

// newRefusingWorld returns a world with one subscription, to accepted events, and its receiver, which
// refuses every request until StopFaults is called.
func newRefusingWorld(seed uint64, deadline core.Micros) (*simulator.World, *simulator.Receiver) {
	w := simulator.NewWorld(seed, platform(), machineTypes)
	receiver := simulator.NewReceiver(1)
	receiver.Refuse = 1
	w.Net.Serve("10.3.0.1:80", receiver)
	w.Settings.Notify = &config.Notify{
		Subscriptions: []notify.Subscription{{Name: "all", Receiver: "desk", Kinds: []notify.Kind{notify.Accepted}, Deadline: deadline}},
		Receivers: []config.NotifyReceiver{{
			Limits: notify.Receiver{Name: "desk", MaxInFlight: 4}, Delivery: deliver.Receiver{Name: "desk", URL: "http://10.3.0.1:80/"}, KeepsKeys: true,
		}},
	}
	return w, receiver
}

// TestNotifyAcrossTakeoverAndWatchGap checks that the next leader sends the notification of an event
// that precedes a crash of all controllers, and that a leader sends the notification of an event
// that it missed while its watch had a gap.
func TestNotifyAcrossTakeoverAndWatchGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, receiver := newRefusingWorld(90, 3600*core.Second)
		defer w.Close()
		startAllNodes(w)
		time.Sleep(15 * time.Second)
		first, second := array(801, 1, 5), array(802, 1, 5)
		w.Submit(first)
		time.Sleep(100 * time.Millisecond)
		killAllNodes(w)
		startAllNodes(w)
		time.Sleep(20 * time.Second)
		receiver.StopFaults()
		leader := w.Leader()
		w.Net.BlockLink(w.NodeAddr(leader), w.StateAddr(), true)
		if status := w.PostJob((leader+1)%3, &second); status != 201 {
			t.Errorf("submission was answered with status %d", status)
		}
		w.State.CompactLog()
		time.Sleep(500 * time.Millisecond)
		w.Net.BlockLink(w.NodeAddr(leader), w.StateAddr(), false)
		time.Sleep(3 * time.Minute)
		for _, job := range []string{first.ID, second.ID} {
			if n, _ := receiver.EffectCounts("accepted", job); n != 1 {
				t.Errorf("%s: applied %d times, want 1", job, n)
			}
		}
		if w.Leader() != leader {
			t.Error("the leader changed")
		}
	})
}

// TestNotifyCost runs the same workload with different numbers of subscriptions, some with receivers
// that are down, and compares it with a run without subscriptions. It bounds the extra changes in
// the state service, the latency of notifications and the extra time that jobs take.
// docs/design/notifications.md has its figures.
func TestNotifyCost(t *testing.T) {
	type cost struct {
		requests, changes int
		jobTime           time.Duration // sum over all jobs, from submission until a poll returns "done"
		latencies         []time.Duration
	}
	const jobs = 100
	measure := func(t *testing.T, subs, down int) (c cost) {
		synctest.Test(t, func(t *testing.T) {
			w := simulator.NewWorld(95, platform(), machineTypes)
			defer w.Close()
			receiver := simulator.NewReceiver(1)
			w.Net.Serve("10.3.0.1:80", receiver)
			w.Settings.Notify = &config.Notify{}
			for i := range subs {
				name, url := fmt.Sprintf("s%d", i), "http://10.3.0.1:80/"
				if i < down {
					url = "http://10.3.0.9:80/" // no server listens there
				}
				w.Settings.Notify.Subscriptions = append(w.Settings.Notify.Subscriptions, notify.Subscription{
					Name: name, Receiver: name, Kinds: []notify.Kind{notify.Accepted, notify.Done}, Deadline: 86400 * core.Second,
				})
				w.Settings.Notify.Receivers = append(w.Settings.Notify.Receivers, config.NotifyReceiver{
					Limits: notify.Receiver{Name: name, MaxInFlight: 4}, Delivery: deliver.Receiver{Name: name, URL: url}, KeepsKeys: true,
				})
			}
			startAllNodes(w)
			time.Sleep(20 * time.Second)
			requests, changes := w.State.RequestCounts()
			var wg sync.WaitGroup
			var mu sync.Mutex
			for k := range jobs {
				job := array(600+k, 1, 5)
				wg.Go(func() {
					time.Sleep(time.Duration(k) * 1500 * time.Millisecond) // 40 jobs per minute
					started := time.Now()
					if !w.Submit(job) || !w.AwaitState(job.ID, "done", 4*time.Minute) {
						t.Errorf("%s did not complete", job.ID)
					}
					mu.Lock()
					c.jobTime += time.Since(started)
					mu.Unlock()
				})
			}
			wg.Wait()
			r, ch := w.State.RequestCounts()
			c.requests, c.changes, c.latencies = r-requests, ch-changes, receiver.Latencies()
			for _, b := range w.Violations() {
				t.Error(b)
			}
		})
		return c
	}
	none := measure(t, 0, 0)
	for _, tc := range []struct {
		subs, down                   int
		maxExtraChanges, maxLatencyS float64 // extra changes per job; 99th percentile of latencies, in seconds
	}{{1, 0, 0.8, 1}, {5, 0, 0.8, 1}, {5, 2, 0.8, 1}, {100, 30, 1, 1}} {
		c := measure(t, tc.subs, tc.down)
		if n, want := len(c.latencies), 2*jobs*(tc.subs-tc.down); n < want*95/100 {
			t.Errorf("%d subscriptions: %d events applied, want %d", tc.subs, n, want)
			continue
		}
		median, last := c.latencies[len(c.latencies)/2], c.latencies[len(c.latencies)*99/100]
		extra := float64(c.changes-none.changes) / jobs
		t.Logf("%d subscriptions, %d receivers down: %.2f changes and %.2f requests per job on top of %.2f and %.2f; latency %v and %v (median, 99%%); jobs took %.3f of the time without subscriptions",
			tc.subs, tc.down, extra, float64(c.requests-none.requests)/jobs, float64(none.changes)/jobs, float64(none.requests)/jobs,
			median, last, float64(c.jobTime)/float64(none.jobTime))
		// The order of goroutines varies the time that jobs take by 3% between runs.
		if extra > tc.maxExtraChanges || last.Seconds() > tc.maxLatencyS || float64(c.jobTime) > 1.1*float64(none.jobTime) {
			t.Errorf("%d subscriptions, %d receivers down: %.2f extra changes per job, 99th percentile of latencies %v, jobs took %v, %v without subscriptions", tc.subs, tc.down, extra, last, c.jobTime, none.jobTime)
		}
	}
}

// TestNotifyOperatorRequests checks that operators can list dead letters at any node, retry one once
// its receiver works again and drop one, and that a new leader has the earlier dead letters.
func TestNotifyOperatorRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, receiver := newRefusingWorld(91, 20*core.Second)
		defer w.Close()
		startAllNodes(w)
		time.Sleep(15 * time.Second)
		for k := range 3 {
			w.Submit(array(820+k, 1, 5))
		}
		time.Sleep(2 * time.Minute)
		request := func(i int, a control.Request) *control.Response {
			t.Helper()
			out, err := w.SendOperatorRequest(i, &a)
			if err != nil {
				t.Errorf("node %d, %+v: %v", i, a, err)
				return &control.Response{}
			}
			return out
		}
		for i := range 3 {
			if out := request(i, control.Request{Op: control.List}); len(out.Subscriptions) != 1 || out.Subscriptions[0].DeadLetters != 3 || out.Subscriptions[0].Waiting != 0 {
				t.Errorf("node %d: %+v", i, out)
			}
		}
		killed := w.Leader()
		w.Kill(killed)
		time.Sleep(20 * time.Second)
		if len(request(w.Leader(), control.Request{Op: control.Show, Subscription: "all"}).DeadLetters) != 3 {
			t.Error("the new leader does not have the 3 dead letters")
		}
		w.StartNode(killed)
		time.Sleep(10 * time.Second)
		receiver.StopFaults()
		leader := w.Leader()
		for k, tc := range []struct {
			request   control.Request
			succeeded bool
			err       string
		}{
			{control.Request{Op: control.Retry, Subscription: "all", Job: "job-000820", Kind: "accepted"}, true, ""},
			{control.Request{Op: control.Drop, Subscription: "all", Job: "job-000821", Kind: "accepted"}, true, ""},
			{control.Request{Op: control.Drop, Subscription: "all", Job: "job-000821", Kind: "accepted"}, false, ""},
			{control.Request{Op: control.Retry, Subscription: "all", Job: "job-000822", Kind: "done"}, false, ""},
			{control.Request{Op: control.Retry, Subscription: "all", Job: "job-000822"}, false, "name a subscription"},
			{control.Request{Op: control.Show, Subscription: "none"}, false, "there is no subscription"},
			{control.Request{Op: "burn"}, false, "there is no operation"},
		} {
			out, err := w.SendOperatorRequest((leader+k)%3, &tc.request)
			if tc.err == "" && (err != nil || out.Succeeded != tc.succeeded) || tc.err != "" && (err == nil || !strings.Contains(err.Error(), tc.err)) {
				t.Errorf("%+v: %+v %v", tc.request, out, err)
			}
		}
		time.Sleep(time.Minute)
		if n, all := receiver.EffectCounts("accepted", "job-000820"); n != 1 || all != 1 {
			t.Errorf("applied %d times, %d events in all; want 1 and 1", n, all)
		}
		if out := request(0, control.Request{Op: control.Show}); len(out.DeadLetters) != 1 || out.DeadLetters[0].Job != "job-000822" {
			t.Errorf("dead letters left: %+v", out)
		}
	})
}
