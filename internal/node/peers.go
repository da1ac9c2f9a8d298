package node

import (
	"context"
	"time"

	"aspenstall/internal/config"
	"aspenstall/internal/core"
	"aspenstall/internal/peer"
)

// Peers tell each other their status: the leader every tellEvery, others only
// while they do not reach the state service, to learn whether it is only them.
const (
	tellEvery = time.Second
	// stateGrace is how long the state service may be unheard before a node
	// says that it does not reach it.
	stateGrace = 2 * time.Second
	// aloneAfter is how long this node must have been without the state service
	// before a peer that reaches it counts: in an outage of all, the nodes
	// notice one after the other.
	aloneAfter = 4 * time.Second
)

// peerState is what a peer said last.
type peerState struct {
	at      time.Time
	stateOK bool
}

// tellPeers exchanges status with one peer until ctx ends.
func (n *Node) tellPeers(ctx context.Context, p config.Peer) {
	c, err := peer.Dial(p.Endpoint)
	if err != nil {
		n.log.Error("peer", "peer", p.Member, "err", err)
		return
	}
	sent := map[string]peer.Counts{}
	var term uint64
	for ctx.Err() == nil {
		sleep(ctx, tellEvery)
		s, ok := call(ctx, n, func(reply func(*peer.Status)) {
			s := n.status()
			if s.Token == 0 && s.StateOK {
				reply(nil) // nothing to say
				return
			}
			if s.Token != term {
				term = s.Token
				clear(sent)
			}
			if s.Token != 0 {
				s.Counts = n.changedCounts(sent)
			}
			reply(s)
		})
		if !ok || s == nil {
			continue
		}
		answer, err := c.Tell(ctx, s)
		if err != nil {
			n.log.Debug("peer", "peer", p.Member, "err", err)
			clear(sent) // it may have missed these
			continue
		}
		n.post(func() { n.heardPeer(answer) })
	}
}

// changedCounts lists the jobs whose counts differ from what was sent.
func (n *Node) changedCounts(sent map[string]peer.Counts) []peer.Counts {
	const most = 500
	var out []peer.Counts
	for id := range sent {
		if _, _, ok := n.core.Counts(id); !ok {
			delete(sent, id)
		}
	}
	for _, id := range n.core.Jobs() {
		done, running, ok := n.core.Counts(id)
		k := peer.Counts{Job: id, Done: done, Running: running}
		if ok && sent[id] != k && len(out) < most {
			sent[id] = k
			out = append(out, k)
		}
	}
	return out
}

// status is what this node says of itself.
func (n *Node) status() *peer.Status {
	s := &peer.Status{Node: n.cfg.Member, StateOK: n.stateOK(), Workers: n.beatHeard > 0 && n.now()-n.beatHeard < 3*core.Second}
	if n.term != nil && n.mayAct() {
		s.Token = n.term.stamp
	}
	return s
}

func (n *Node) stateOK() bool { return time.Since(n.stateHeard) < stateGrace }

// Told answers a peer's status.
func (n *Node) Told(ctx context.Context, s *peer.Status) (*peer.Status, error) {
	out, ok := call(ctx, n, func(reply func(*peer.Status)) {
		n.heardPeer(s)
		reply(n.status())
	})
	if !ok {
		return nil, context.DeadlineExceeded
	}
	return out, nil
}

func (n *Node) heardPeer(s *peer.Status) {
	n.peers[s.Node] = peerState{time.Now(), s.StateOK}
	if n.term == nil {
		for _, c := range s.Counts {
			if _, known := n.view.jobs[c.Job]; known || len(n.counts) < 100_000 {
				n.counts[c.Job] = c
			}
		}
	}
	if t := n.term; t != nil && s.Token > t.stamp {
		t.deposed = true
	}
	if t := n.term; t != nil && core.ShouldResign(n.now(), t.begun, n.beatHeard, core.Seconds(n.cfg.Params.Workers.ReportS), s.Workers) {
		n.log.Info("resigning: workers reach a peer and not this node", "peer", s.Node, "token", t.stamp)
		n.abstain = n.now() + abstainFor
		t.resigned = true
		t.cancel()
	}
	n.judgeHealth()
}

// abstainFor is how long a node that resigned leaves the leadership to others,
// unless workers reach it again before.
const abstainFor = 30 * core.Second

// judgeHealth decides whether users should come here. During an outage of the
// state service no node is better than another, and sending users away would
// only make them wait longer afterwards; but if a peer is served and this node
// is not, they are better off there.
func (n *Node) judgeHealth() {
	ok := n.view.ready
	if ok && time.Since(n.stateHeard) > aloneAfter {
		for _, p := range n.peers {
			if p.stateOK && p.at.After(n.stateHeard.Add(aloneAfter)) {
				ok = false
			}
		}
	}
	if n.serving.Swap(ok) != ok {
		n.log.Info("health", "serving", ok)
	}
}
