package simulator_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/nomad/api"

	"aspenstall/internal/simulator"
)

// TestNomadStreamsMissNothing guards against an event stream that passes over a change of another
// node, since its own node made a later change before it had read the earlier one: jobs are
// registered at all nodes at once while the state service answers late.
func TestNomadStreamsMissNothing(t *testing.T) {
	runNomadScenario(t, 57, func(t *testing.T, s *nomadWorld) {
		const jobsPerNode = 12
		s.StateFaults.Update(func(f *simulator.Faults) { f.MaxDelay = 300 * time.Millisecond })
		ctx, cancel := context.WithCancel(t.Context())
		var mu sync.Mutex
		var streams, registrations sync.WaitGroup
		seen := make([]map[string]bool, len(s.Nodes))
		lastIndex := make([]uint64, len(s.Nodes))
		for i := range s.Nodes {
			seen[i] = map[string]bool{}
			stream, err := s.client("blue", i).EventStream().Stream(ctx, map[api.Topic][]string{api.TopicJob: {"*"}}, 0, nil)
			if err != nil {
				t.Fatal(err)
			}
			streams.Go(func() {
				for frame := range stream {
					mu.Lock()
					if frame.Index > 0 && frame.Index < lastIndex[i] { // a heartbeat has no index
						t.Errorf("node %d: index %d after %d", i, frame.Index, lastIndex[i])
					}
					lastIndex[i] = max(lastIndex[i], frame.Index)
					for _, e := range frame.Events {
						seen[i][e.Key] = true
					}
					mu.Unlock()
				}
			})
		}
		time.Sleep(time.Second)
		for i := range s.Nodes {
			registrations.Go(func() {
				for k := range jobsPerNode {
					job := s.batchJob(fmt.Sprintf("job-%d-%d", i, k), 1, 1)
					if _, _, err := s.client("blue", i).Jobs().Register(job, nil); err != nil {
						t.Errorf("job %d at node %d: %v", k, i, err)
					}
				}
			})
		}
		registrations.Wait()
		time.Sleep(30 * time.Second)
		cancel()
		streams.Wait()
		for i := range s.Nodes {
			for n := range s.Nodes {
				for k := range jobsPerNode {
					if id := fmt.Sprintf("job-%d-%d", n, k); !seen[i][id] {
						t.Errorf("the stream at node %d has no event of %s", i, id)
					}
				}
			}
		}
	})
}
