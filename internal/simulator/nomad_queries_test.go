package simulator_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/nomad/api"

	"aspenstall/internal/simulator"
)

// TestNomadBlockingQuery checks that a blocking query survives a takeover, and a watch that has to
// read all records again, and that changes made in between, also a purge, wake it.
func TestNomadBlockingQuery(t *testing.T) {
	runNomadScenario(t, 56, func(t *testing.T, s *nomadWorld) {
		r, _, err := s.client("blue", 0).Jobs().Register(s.batchJob("watched", 1, 500), nil)
		if err != nil {
			t.Fatal(err)
		}
		type answer struct {
			index uint64
			jobs  int
			after time.Duration
			err   error
		}
		listAsync := func(at int, index uint64) chan answer {
			out := make(chan answer, 1)
			go func() {
				started := time.Now()
				l, m, err := s.client("blue", at).Jobs().List(&api.QueryOptions{WaitIndex: index, WaitTime: 2 * time.Minute})
				a := answer{err: err, after: time.Since(started), jobs: len(l)}
				if m != nil {
					a.index = m.LastIndex
				}
				out <- a
			}()
			return out
		}
		leader := max(s.Leader(), 0)
		other := (leader + 1) % 3
		// Until the node has read the registration, that change may rightly wake the query.
		time.Sleep(time.Second)
		waiting := listAsync(other, r.JobModifyIndex)
		time.Sleep(5 * time.Second)
		s.Kill(leader)
		time.Sleep(20 * time.Second)
		select {
		case a := <-waiting:
			t.Fatalf("a takeover woke the query: %+v", a)
		default:
		}
		s.StartNode(leader)
		second, _, err := s.client("blue", (leader+2)%3).Jobs().Register(s.batchJob("second", 1, 500), nil)
		if err != nil {
			t.Fatal(err)
		}
		if a := <-waiting; a.err != nil || a.jobs != 2 || a.index < second.JobModifyIndex || a.after > 30*time.Second {
			t.Errorf("got %+v, want index %d", a, second.JobModifyIndex)
		}
		// The node is partitioned from the state service, which compacts the changes that the node
		// misses, the purge among them.
		waiting = listAsync(other, second.JobModifyIndex)
		time.Sleep(time.Second)
		s.Net.BlockLink(s.NodeAddr(other), s.StateAddr(), true)
		if _, _, err := s.client("blue", leader).Jobs().Deregister("second", true, nil); err != nil {
			t.Error(err)
		}
		s.NoteCancelled(s.NativeJobs("blue", "second"))
		s.State.CompactLog()
		time.Sleep(2 * time.Second)
		s.Net.BlockLink(s.NodeAddr(other), s.StateAddr(), false)
		if a := <-waiting; a.err != nil || a.jobs != 1 || a.index <= second.JobModifyIndex || a.after > 30*time.Second {
			t.Errorf("after the gap in the watch: %+v", a)
		}
		// A restarted node has the same index, although the log has no record of the purge any more.
		_, before, err := s.client("blue", leader).Jobs().List(nil)
		s.Kill(other)
		s.StartNode(other)
		time.Sleep(10 * time.Second)
		_, after, err2 := s.client("blue", other).Jobs().List(nil)
		if err != nil || err2 != nil || after.LastIndex != before.LastIndex {
			t.Errorf("index %+v, at the restarted node %+v; %v %v", before, after, err, err2)
		}
		// A query ends when its client disconnects.
		ctx, cancel := context.WithCancel(t.Context())
		returned := make(chan error)
		go func() {
			q := (&api.QueryOptions{WaitIndex: before.LastIndex, WaitTime: time.Minute}).WithContext(ctx)
			_, _, err := s.client("blue", leader).Jobs().List(q)
			returned <- err
		}()
		time.Sleep(time.Second)
		if n := s.BlockingQueries(leader); n != 1 {
			t.Errorf("%d queries are blocked, want 1", n)
		}
		cancel()
		<-returned
		time.Sleep(time.Second)
		if n := s.BlockingQueries(leader); n != 0 {
			t.Errorf("%d queries are blocked after the client disconnected", n)
		}
		// A query whose wait time ends returns the same index and no error. An index that no node has
		// given is not returned: the answer would claim to be as new as changes that are yet to come.
		for _, index := range []uint64{before.LastIndex, 1 << 40} {
			started := time.Now()
			l, m, err := s.client("blue", leader).Jobs().List(&api.QueryOptions{WaitIndex: index, WaitTime: 3 * time.Second})
			if d := time.Since(started); err != nil || len(l) != 1 || m.LastIndex != before.LastIndex || d < 3*time.Second || d > 4*time.Second {
				t.Errorf("index %d, after %v: %d jobs, %+v, %v", index, d, len(l), m, err)
			}
		}
		if _, _, err := s.client("blue", leader).Jobs().Deregister("watched", false, nil); err != nil {
			t.Error(err)
		}
		s.NoteCancelled(s.NativeJobs("blue", "watched"))
	})
}

// TestNomadProgressWakesQueries checks that a blocking query for a job returns when its tasks start to
// run, at the leader and at followers, although no record changes then.
func TestNomadProgressWakesQueries(t *testing.T) {
	runNomadScenario(t, 60, func(t *testing.T, s *nomadWorld) {
		r, _, err := s.client("blue", 0).Jobs().Register(s.batchJob("starts", 9, 400), nil)
		if err != nil {
			t.Fatal(err)
		}
		var wg sync.WaitGroup
		for at := range 3 {
			wg.Go(func() {
				started, running := time.Now(), 0
				for running < 9 && time.Since(started) < 2*time.Minute {
					sum, m, err := s.client("blue", at).Jobs().Summary("starts", &api.QueryOptions{WaitIndex: r.JobModifyIndex, WaitTime: 5 * time.Minute})
					if err != nil || m.LastIndex != r.JobModifyIndex {
						t.Errorf("node %d: %+v %v", at, m, err)
						return
					}
					running = sum.Summary["g"].Running
				}
				if running != 9 {
					t.Errorf("node %d: %d tasks run after %v", at, running, time.Since(started))
				}
			})
		}
		wg.Wait()
		// A change of progress between two queries of a client is not missed, although the index stays.
		time.Sleep(10 * time.Second)
		for _, worker := range s.Cloud.Workers() {
			if len(worker.RunningTasks()) > 0 {
				worker.SetSpotNotice(1)
			}
		}
		time.Sleep(3 * time.Second)
		started := time.Now()
		sum, _, err := s.client("blue", s.Leader()).Jobs().Summary("starts", &api.QueryOptions{WaitIndex: r.JobModifyIndex, WaitTime: 5 * time.Minute})
		if d := time.Since(started); err != nil || d > 5*time.Second || sum.Summary["g"].Running == 9 {
			t.Errorf("after %v: %+v %v", d, sum, err)
		}
		// A resumed event stream stays open when there are no events for a long time.
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		stream, err := s.client("blue", 1).EventStream().Stream(ctx, nil, r.JobModifyIndex, nil)
		if err != nil {
			t.Fatal(err)
		}
		received := make(chan *api.Events, 10)
		go func() {
			defer close(received)
			for e := range stream {
				if e.Err != nil {
					return
				}
				if !e.IsHeartbeat() {
					received <- e
				}
			}
		}()
		time.Sleep(50 * time.Second)
		if _, _, err := s.client("blue", 0).Jobs().Deregister("starts", false, nil); err != nil {
			t.Error(err)
		}
		s.NoteCancelled(s.NativeJobs("blue", "starts"))
		if e, ok := <-received; !ok || e.Events[0].Type != "JobDeregistered" {
			t.Errorf("received %+v", e)
		}
	})
}

// TestNomadOverlappingReads checks that job versions which were dropped do not come back when reads
// of the state service overlap and some responses are late.
func TestNomadOverlappingReads(t *testing.T) {
	runNomadScenario(t, 62, func(t *testing.T, s *nomadWorld) {
		s.StateFaults.Update(func(f *simulator.Faults) { f.MaxDelay = 400 * time.Millisecond })
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() {
				for ctx.Err() == nil {
					_, _, _ = s.client("blue", 1).Jobs().List((&api.QueryOptions{}).WithContext(ctx))
				}
			})
		}
		c := s.client("blue", 0).Jobs()
		for range 25 {
			for _, count := range []int{1, 2, 3} {
				if _, _, err := c.Register(s.batchJob("again", count, 900), nil); err != nil {
					t.Error(err)
				}
			}
			if _, _, err := c.Deregister("again", true, nil); err != nil {
				t.Error(err)
			}
			s.NoteCancelled(s.NativeJobs("blue", "again"))
			if _, _, err := c.Register(s.batchJob("again", 4, 900), nil); err != nil {
				t.Error(err)
			}
			time.Sleep(time.Second)
			vs, _, _, err := s.client("blue", 1).Jobs().Versions("again", false, nil)
			if err != nil || len(vs) != 1 || *vs[0].TaskGroups[0].Count != 4 {
				t.Errorf("%d versions, %v", len(vs), err)
				break
			}
			if _, _, err := c.Deregister("again", true, nil); err != nil {
				t.Error(err)
			}
			s.NoteCancelled(s.NativeJobs("blue", "again"))
		}
		cancel()
		wg.Wait()
	})
}
