package node

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"aspenstall/internal/config"
	"aspenstall/internal/core"
	"aspenstall/internal/peer"
)

// TestCancellationLogSince checks that since reports its list as complete only if it is. A peer
// that treats a partial list as complete keeps tasks of cancelled jobs alive.
func TestCancellationLogSince(t *testing.T) {
	var c cancellationLog
	for _, revision := range []uint64{3, 9, 5, 9} { // reads and the node's own writes arrive in any order
		c.add(peer.Cancellation{Job: fmt.Sprint("job-", revision), Revision: revision})
	}
	many := cancellationLog{}
	for i := range maxCancellationsKept * 2 {
		many.add(peer.Cancellation{Job: fmt.Sprint("job-", i), Revision: uint64(i + 1)})
	}
	last := uint64(maxCancellationsKept * 2)
	for _, k := range []struct {
		name     string
		log      *cancellationLog
		since    uint64
		listed   int
		complete bool
	}{
		{"empty log", &cancellationLog{}, 0, 0, true},
		{"all", &c, 0, 3, true},
		{"after a revision, in order", &c, 3, 2, true},
		{"nothing newer", &c, 9, 0, true},
		{"within the kept entries", &many, last - 10, 10, true},
		{"more than one reply may hold", &many, last - maxCancellationsPerReply - 1, maxCancellationsPerReply, false},
		{"older than the kept entries", &many, 1, maxCancellationsPerReply, false},
	} {
		list, complete := k.log.since(k.since)
		if len(list) != k.listed || complete != k.complete {
			t.Errorf("%s: %d cancellations, complete %v; want %d, %v", k.name, len(list), complete, k.listed, k.complete)
		}
		for i := 1; i < len(list); i++ {
			if list[i].Revision <= list[i-1].Revision {
				t.Errorf("%s: out of order", k.name)
			}
		}
	}
	if n := len(many.revisions); n != len(many.entries) {
		t.Errorf("%d jobs for %d entries", n, len(many.entries))
	}
}

func newTestNode() *Node {
	p := config.Platform{Member: "n-0", Zone: "a", Peers: []config.Peer{{Member: "n-1", Zone: "b", Endpoint: "10.0.0.2:1"}}}
	p.Params.Workers.LeaseS, p.Params.Workers.CancelS, p.Params.Workers.ReportS = 20, 40, 3
	p.Params.State.ValueKB, p.Params.State.TxnOps = 4, 12
	return New(&p, config.DefaultSettings(), slog.New(slog.DiscardHandler), nil)
}

// TestStatusReply checks two effects of a peer's reply. A newer leader's key ends this node's
// right to answer workers, even if the peer's own lease is not certain to be valid. The reply
// confirms the known cancellations only if both the peer and the requesting node have read the
// state service.
func TestStatusReply(t *testing.T) {
	for _, k := range []struct {
		name               string
		ownRevision        uint64
		answer             peer.Status
		deposed, confirmed bool
	}{
		{"nothing newer", 7, peer.Status{CancellationsComplete: true, Leader: "n-0", LeaderToken: 5}, false, true},
		{"cancellations not complete", 7, peer.Status{Leader: "n-0", LeaderToken: 5}, false, false},
		{"no revision read yet", 0, peer.Status{CancellationsComplete: true}, false, false},
		{"newer leader whose lease is uncertain", 7, peer.Status{CancellationsComplete: true, Leader: "n-1", LeaderToken: 6}, true, true},
		{"earlier leader", 7, peer.Status{CancellationsComplete: true, Leader: "n-1", LeaderToken: 4}, false, true},
	} {
		n := newTestNode()
		n.term = &term{n: n, token: 5}
		n.core.BeginTerm(0, 0, 5, nil, core.Snapshot{})
		k.answer.Node = "n-1"
		n.handleStatusReply("n-1", &peer.Status{Revision: k.ownRevision}, &k.answer, 3)
		if n.term.deposed != k.deposed || (n.informedUntil() == 3) != k.confirmed {
			t.Errorf("%s: deposed %v, informed at %d", k.name, n.term.deposed, n.informedUntil())
		}
	}
}

// TestPeerCancellationStopsTasks checks that a cancellation that only a peer knows stops the tasks
// of the job, also if this node does not know the job. The view does not change.
func TestPeerCancellationStopsTasks(t *testing.T) {
	n := newTestNode()
	n.applyJob(core.JobRecord{Spec: core.JobSpec{ID: "job-1", Tasks: 1}, Revision: 3})
	n.handleStatusReply("n-1", &peer.Status{Revision: 3}, &peer.Status{Node: "n-1", Cancellations: []peer.Cancellation{{Job: "job-1", Revision: 8}, {Job: "job-2", Revision: 9}}}, 3)
	r := core.Report{Tasks: []core.TaskReport{{Job: "job-1", State: core.Running}, {Job: "job-2", State: core.Fetching}, {Job: "job-3", State: core.Running}}}
	if got := len(n.stopCommands(&r)); got != 2 {
		t.Errorf("%d stops, want 2", got)
	}
	if n.view.jobs["job-1"].Phase != core.Pending || n.view.revision != 0 {
		t.Error("the view changed")
	}
}

// TestStateUnreachable checks that requests are refused at once when the state service has not
// responded for longer than any response takes, and that the node then reports itself as unhealthy
// if users are better off elsewhere. Without this, users of a partitioned node waited as long as
// each of its requests to the state service did, and kept doing so where the node heard no peer.
func TestStateUnreachable(t *testing.T) {
	for _, k := range []struct {
		name             string
		state, peer      time.Duration // since the last message
		peerOK           bool
		refused, healthy bool
	}{
		{"everything reachable", 0, 0, true, false, true},
		{"state service just lost", 3 * time.Second, 0, true, false, true},
		{"outage for all nodes", 30 * time.Second, 0, false, true, true},
		{"a peer reaches the state service", 30 * time.Second, 0, true, true, false},
		{"peers just lost too", 6 * time.Second, 8 * time.Second, true, true, true},
		{"peers unreachable too", 10 * time.Second, 12 * time.Second, true, true, false},
	} {
		n := newTestNode()
		n.view.ready = true
		n.lastStateResponse = time.Now().Add(-k.state)
		n.peers["n-1"].lastStatus, n.peers["n-1"].stateOK = time.Now().Add(-k.peer), k.peerOK
		n.updateHealth()
		if n.stateUnreachable() != k.refused || n.Healthy() != k.healthy {
			t.Errorf("%s: refused %v, healthy %v", k.name, n.stateUnreachable(), n.Healthy())
		}
	}
}

// TestFenceWrites checks that a callback of fenceWrites runs once, when the token is raised, and
// not before. The new token may come from the response to the write or from the watch.
func TestFenceWrites(t *testing.T) {
	n := newTestNode()
	n.ctx = t.Context()
	n.term = &term{n: n, token: 5}
	n.core.BeginTerm(0, 0, 5, nil, core.Snapshot{})
	done := 0
	n.term.fenceWrites(func() { done++ })
	n.noteLeader("n-0", 5)
	if done != 0 {
		t.Error("callback ran before the token was raised")
	}
	n.view.lastLeaderToken = 9
	n.noteLeader("n-0", 9) // the watch shows the new token; the response to the write was lost
	if done != 1 || n.term.token != 9 {
		t.Errorf("callback ran %d times, token %d", done, n.term.token)
	}
	n.term.tokenRaised(12)
	if done != 1 {
		t.Error("callback ran again")
	}
}

// TestCountsOfSuccessor checks that a node which has led takes the task counts of its successor before
// its own term has ended, and not those of a former leader. Each count is sent once: the node would
// call a running job pending for as long as its counts stay the same.
func TestCountsOfSuccessor(t *testing.T) {
	for _, c := range []struct {
		name     string
		ownTerm  bool
		token    uint64 // of the sender; this node's own is 5
		accepted bool
	}{
		{"a follower", false, 9, true},
		{"a former leader, from its successor", true, 9, true},
		{"a leader, from the former one", true, 3, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newTestNode()
			n.ctx = t.Context()
			if c.ownTerm {
				n.term = &term{n: n, token: 5}
				n.core.BeginTerm(0, 0, 5, nil, core.Snapshot{})
			}
			n.applyPeerStatus(&peer.Status{Node: "n-1", Token: c.token, Counts: []peer.Counts{{Job: "job-1", Done: 1, Running: 2}}})
			if _, accepted := n.leaderCounts["job-1"]; accepted != c.accepted {
				t.Errorf("accepted: %v", accepted)
			}
		})
	}
}
