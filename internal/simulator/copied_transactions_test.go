package simulator_test

import (
	"bytes"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"aspenstall/internal/simulator"
	"aspenstall/internal/wire"
)

// commitRecorder records the transactions that write a key with a prefix, so that copies of them can
// arrive again.
type commitRecorder struct {
	prefix string
	mu     sync.Mutex
	bodies [][]byte
}

// observe makes the recorder record the transactions that are sent from now on.
func (c *commitRecorder) observe(w *simulator.World) {
	w.StateFaults.OnRequest = func(path string, body []byte) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if path == wire.CommitPath && bytes.Contains(body, []byte(c.prefix)) {
			c.bodies = append(c.bodies, slices.Clone(body))
		}
	}
}

// sendFirstAgain sends a copy of the first of the transactions to the state service. It returns the
// number of transactions that were recorded, and the status of the answer.
func (c *commitRecorder) sendFirstAgain(w *simulator.World) (recorded, status int) {
	c.mu.Lock()
	recorded = len(c.bodies)
	if recorded == 0 {
		c.mu.Unlock()
		return 0, 0
	}
	first := c.bodies[0]
	c.mu.Unlock()
	return recorded, sendTransaction(w, first)
}

// sendTransaction sends a transaction to the state service, and returns the status of the answer; 0 if
// there is none.
func sendTransaction(w *simulator.World, body []byte) (status int) {
	request, err := http.NewRequest(http.MethodPost, "http://"+w.StateAddr()+wire.CommitPath, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	status, _ = simulator.Exchange(w.Net.Client("10.9.0.1:1"), request)
	return status
}

// TestCopyOfAnsweredTransaction guards against a copy of an answered write of the leader that takes
// machines or finished tasks from its record, so that a new leader runs their tasks again.
func TestCopyOfAnsweredTransaction(t *testing.T) {
	const s = time.Second
	for _, c := range []struct{ name, prefix string }{
		{"machines", "b/machine/"},
		{"completed tasks", "b/done/"},
	} {
		t.Run(c.name, func(t *testing.T) {
			recorder := &commitRecorder{prefix: c.prefix}
			recorded, status := 0, 0
			var world *simulator.World
			sc := scenario{seed: 950, setup: recorder.observe, actions: []action{
				{55 * s, func(w *simulator.World) {
					world = w
					recorded, status = recorder.sendFirstAgain(w)
				}},
				{56 * s, killAllNodes}, {57 * s, startAllNodes},
			}}
			p := twoTeams()
			runScenario(t, sc, p, machineTypes[:1], func(_ *testing.T, u *users) {
				for i := range 3 {
					job := array(100+i, 6, 60)
					job.RunOf = map[int]float64{0: 5, 1: 18, 2: 200, 3: 200, 4: 200, 5: 200}
					job.DueS = nil
					u.after(time.Duration(12*i)*s, func() { u.runToDone(job) })
				}
			})
			if world == nil || recorded < 2 {
				t.Fatalf("%d transactions were recorded; the scenario is inconclusive", recorded)
			}
			if status != http.StatusConflict {
				t.Errorf("the copy was answered with status %d", status)
			}
		})
	}
}

// sendWithoutConditions writes what the last of the transactions wrote once more, without its conditions,
// so that the records get another revision.
func (c *commitRecorder) sendWithoutConditions(w *simulator.World) (status int) {
	c.mu.Lock()
	var transaction wire.Txn
	err := wire.Unmarshal(c.bodies[len(c.bodies)-1], &transaction)
	c.mu.Unlock()
	if err != nil {
		return 0
	}
	transaction.If = []wire.Cond{}
	body, err := wire.Marshal(&transaction)
	if err != nil {
		return 0
	}
	return sendTransaction(w, body)
}

// TestRecordWithUnexpectedRevision guards against machines that are never recorded, and so get no task,
// because their record has a revision that the leader does not know.
func TestRecordWithUnexpectedRevision(t *testing.T) {
	const s = time.Second
	recorder := &commitRecorder{prefix: "b/machine/"}
	status := 0
	sc := scenario{seed: 951, setup: recorder.observe, setupFaultsEnd: true, actions: []action{
		{30 * s, func(w *simulator.World) { status = recorder.sendWithoutConditions(w) }},
	}}
	runScenario(t, sc, twoTeams(), machineTypes[:1], func(_ *testing.T, u *users) {
		for i := range 3 {
			u.after(time.Duration(20*i)*s, func() { u.runToDone(array(100+i, 6, 120)) })
		}
	})
	if status != http.StatusOK {
		t.Errorf("the record was not changed: status %d", status)
	}
}
