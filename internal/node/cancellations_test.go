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

// TestCancelledSince: what a node lists for a peer is all that it can have told of, or it
// does not vouch for it: a peer that takes a part for the whole keeps tasks of cancelled
// jobs alive.
func TestCancellationLogSince(t *testing.T) {
	var c cancellationLog
	for _, stamp := range []uint64{3, 9, 5, 9} { // reads and own writes come in any order
		c.add(peer.Cancellation{Job: fmt.Sprint("job-", stamp), Revision: stamp})
	}
	many := cancellationLog{}
	for i := range maxCancellationsKept * 2 {
		many.add(peer.Cancellation{Job: fmt.Sprint("job-", i), Revision: uint64(i + 1)})
	}
	last := uint64(maxCancellationsKept * 2)
	for _, k := range []struct {
		what    string
		of      *cancellationLog
		since   uint64
		listed  int
		vouches bool
	}{
		{"nothing known", &cancellationLog{}, 0, 0, true},
		{"all", &c, 0, 3, true},
		{"after one, in order", &c, 3, 2, true},
		{"none newer", &c, 9, 0, true},
		{"what is kept", &many, last - 10, 10, true},
		{"more than one reply holds", &many, last - maxCancellationsPerReply - 1, maxCancellationsPerReply, false},
		{"older than what is kept", &many, 1, maxCancellationsPerReply, false},
	} {
		list, vouches := k.of.since(k.since)
		if len(list) != k.listed || vouches != k.vouches {
			t.Errorf("%s: %d, %v; want %d, %v", k.what, len(list), vouches, k.listed, k.vouches)
		}
		for i := 1; i < len(list); i++ {
			if list[i].Revision <= list[i-1].Revision {
				t.Errorf("%s: out of order", k.what)
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

// TestPeersWord: what a peer says of the leader's key ends a leader's right to answer
// workers, also where the peer's own lease is not certain; and only a peer that has read
// the state service, asked by a node that has, vouches for cancellations.
func TestStatusReply(t *testing.T) {
	for _, k := range []struct {
		what            string
		have            uint64
		answer          peer.Status
		deposed, agreed bool
	}{
		{"nothing new", 7, peer.Status{CancellationsComplete: true, Leader: "n-0", LeaderToken: 5}, false, true},
		{"it does not vouch", 7, peer.Status{Leader: "n-0", LeaderToken: 5}, false, false},
		{"this node has read nothing", 0, peer.Status{CancellationsComplete: true}, false, false},
		{"another has led, and its lease is not certain now", 7, peer.Status{CancellationsComplete: true, Leader: "n-1", LeaderToken: 6}, true, true},
		{"another led before", 7, peer.Status{CancellationsComplete: true, Leader: "n-1", LeaderToken: 4}, false, true},
	} {
		n := newTestNode()
		n.term = &term{n: n, token: 5}
		n.core.BeginTerm(0, 0, 5, nil, core.Snapshot{})
		k.answer.Node = "n-1"
		n.handleStatusReply("n-1", &peer.Status{Revision: k.have}, &k.answer, 3)
		if n.term.deposed != k.deposed || (n.informedUntil() == 3) != k.agreed {
			t.Errorf("%s: deposed %v, informed at %d", k.what, n.term.deposed, n.informedUntil())
		}
	}
}

// TestCancelledByPeer: a cancellation that only a peer knows of stops the tasks of the
// job, on workers of which this node has not heard the job, too; the view stays as read.
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

// TestUnreached: once the state service has not been heard for longer than any answer of
// it takes, what needs it is refused at once. Users of a node that was cut off waited for
// as long as each request of the node's did, and went on doing so where it heard no peer
// that could have told it to send them elsewhere.
func TestStateUnreachable(t *testing.T) {
	for _, k := range []struct {
		what             string
		state, peer      time.Duration // since it was last heard
		peerOK           bool
		refused, healthy bool
	}{
		{"all is well", 0, 0, true, false, true},
		{"a moment", 3 * time.Second, 0, true, false, true},
		{"an outage of all", 30 * time.Second, 0, false, true, true},
		{"refused alone", 30 * time.Second, 0, true, true, false},
		{"cut off from the peers too, for a moment", 6 * time.Second, 8 * time.Second, true, true, true},
		{"cut off from the peers too", 10 * time.Second, 12 * time.Second, true, true, false},
	} {
		n := newTestNode()
		n.view.ready = true
		n.lastStateResponse = time.Now().Add(-k.state)
		n.peers["n-1"].lastStatus, n.peers["n-1"].stateOK = time.Now().Add(-k.peer), k.peerOK
		n.updateHealth()
		if n.stateUnreachable() != k.refused || n.Healthy() != k.healthy {
			t.Errorf("%s: refused %v, healthy %v", k.what, n.stateUnreachable(), n.Healthy())
		}
	}
}

// TestVoid: what waits until a write without an answer is void is done once the token is
// raised, whoever tells of it, and not before.
func TestFenceWrites(t *testing.T) {
	n := newTestNode()
	n.ctx = t.Context()
	n.term = &term{n: n, token: 5}
	n.core.BeginTerm(0, 0, 5, nil, core.Snapshot{})
	done := 0
	n.term.fenceWrites(func() { done++ })
	n.noteLeader("n-0", 5)
	if done != 0 {
		t.Error("done before the token was raised")
	}
	n.view.lastLeaderToken = 9
	n.noteLeader("n-0", 9) // the watch shows it, the answer to the write was lost
	if done != 1 || n.term.token != 9 {
		t.Errorf("done %d times under token %d", done, n.term.token)
	}
	n.term.tokenRaised(12)
	if done != 1 {
		t.Error("done again")
	}
}
