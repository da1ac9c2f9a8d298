package node

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"aspenstall/internal/clusterconfig"
	"aspenstall/internal/core"
	"aspenstall/internal/peer"
	"aspenstall/internal/wait"
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
	// notice one after the other. No answer of a service that is only slow takes as
	// long, so from then on users are refused at once.
	aloneAfter = 4 * time.Second
)

// peerState is what a peer said last.
type peerState struct {
	at      time.Time
	stateOK bool
	nonce   uint64 // of its last reply to this node as the leader
	replied core.Micros
	// agreed: asked then, it told every cancellation that users can have from it.
	agreed   core.Micros
	deputy   core.Deputy // what it may have answered in this node's place
	earlier  bool        // its last word was one of an earlier version of the program
	noConfig uint64      // life of its process that is known not to act by the configuration
}

// tellPeers exchanges status with one peer until ctx ends.
func (n *Node) tellPeers(ctx context.Context, member string) {
	c := n.clients[member]
	if c == nil {
		return
	}
	defer c.Close()
	sent := map[string]peer.Counts{}
	var term uint64
	for ctx.Err() == nil {
		wait.For(ctx, tellEvery)
		var asked core.Micros
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
			asked = n.now()
			if s.Token != 0 {
				s.Counts = n.changedCounts(sent)
				k := n.peers[member]
				s.Echo = k.nonce
				if s.Echo != 0 {
					k.deputy.Permit(k.replied, n.grace)
				}
			}
			reply(s)
		})
		if !ok || s == nil {
			continue
		}
		answer, err := c.Tell(ctx, s)
		if err != nil {
			n.log.Debug("peer", "peer", member, "err", err)
			clear(sent) // it may have missed these
			continue
		}
		n.post(func() { n.replied(member, s, answer, asked) })
	}
}

// replied takes a peer's reply to the status that it was told.
func (n *Node) replied(name string, told, answer *peer.Status, asked core.Micros) {
	k := n.peers[name]
	if t := n.term; t != nil && told.Token == t.stamp {
		k.nonce, k.replied = answer.Nonce, n.now()
		k.deputy.Heard(asked, n.now(), answer.Life, core.Micros(answer.AnsweredAgo))
	}
	for _, c := range answer.Cancelled {
		n.learnCancelled(c)
	}
	if answer.Vouches && told.Have > 0 {
		k.agreed = asked
	}
	n.heardPeer(answer)
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
	s := &peer.Status{
		Node: n.cfg.Member, StateOK: n.stateOK(), Workers: n.beatHeard > 0 && n.now()-n.beatHeard < 3*core.Second,
		Seen: math.MaxUint64, Life: n.life, AnsweredAgo: -1, Leader: n.view.lastLeader, LeaderToken: n.view.lastToken,
		ConfigFormat: clusterconfig.Format, Config: n.config.stamp.Load(),
	}
	if n.view.ready {
		s.Have = n.view.revision
	}
	if t := n.term; t != nil && t.stamp > s.LeaderToken {
		s.Leader, s.LeaderToken = n.cfg.Member, t.stamp
	}
	if n.deputized > 0 {
		s.AnsweredAgo = int64(n.now() - n.deputized)
	}
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
		out := n.status()
		if s.Have > 0 && n.view.ready { // else what its former process told is not known
			out.Cancelled, out.Vouches = n.cancelled.since(s.Have)
		}
		if s.Token != 0 {
			// The leader: it names the last reply that it has, and has this one.
			n.permit.Permitted(s.Token, s.Echo, n.grace)
			out.Nonce = rand.Uint64()
			n.permit.Replied(n.now(), out.Nonce)
		}
		reply(out)
	})
	if !ok {
		return nil, context.DeadlineExceeded
	}
	return out, nil
}

func (n *Node) heardPeer(s *peer.Status) {
	k := n.peers[s.Node]
	if k == nil {
		return // not one of ours
	}
	k.at, k.stateOK = time.Now(), s.StateOK
	k.deputy.Spoke(n.now())
	n.noticeVersion(k, s)
	if n.term == nil {
		for _, c := range s.Counts {
			if _, known := n.view.jobs[c.Job]; known || len(n.counts) < 100_000 {
				n.counts[c.Job] = c
				n.nomad.moved(n, c.Job)
			}
		}
	}
	n.heardLeader(s.Node, s.Token) // all that a peer of an earlier version says
	n.heardLeader(s.Leader, s.LeaderToken)
	if t := n.term; t != nil && core.ShouldResign(n.now(), t.begun, n.beatHeard, core.Seconds(n.cfg.Params.Workers.ReportS), s.Workers, n.core.Taken()) {
		n.resign("workers reach a peer and not this node: " + s.Node)
	}
	n.judgeHealth()
}

// abstainFor is how long a node that resigned leaves the leadership to others,
// unless workers reach it again before.
const abstainFor = 30 * core.Second

// judgeHealth decides whether users should come here. During an outage of the
// state service no node is better than another, and sending users away would
// only make them wait longer afterwards; but if a peer is served and this node
// is not, they are better off there. So they are if this node hears no peer
// either: it is cut off, and who stays with it is refused all the time.
func (n *Node) judgeHealth() {
	ok := n.view.ready
	if ok && n.unreached() {
		alone := len(n.peers) > 0 && time.Since(n.stateHeard) > 2*aloneAfter
		for _, p := range n.peers {
			if p.stateOK && p.at.After(n.stateHeard.Add(aloneAfter)) {
				ok = false
			}
			alone = alone && p.at.Before(n.stateHeard)
		}
		ok = ok && !alone
	}
	if n.serving.Swap(ok) != ok {
		n.log.Info("health", "serving", ok)
	}
}

// unreached reports whether the state service has not been heard for so long that
// nothing that needs it is worth beginning: whoever asks is refused at once, and the
// watch tells when that changes.
func (n *Node) unreached() bool { return n.view.ready && time.Since(n.stateHeard) > aloneAfter }

// served reports whether a peer says that it reaches the state service.
func (n *Node) served() bool {
	for _, p := range n.peers {
		if p.stateOK && time.Since(p.at) < stateGrace {
			return true
		}
	}
	return false
}

// informed is up to when this node knows of every cancellation that a user can
// have been told of: it has read the state service since, or every peer, asked
// then, told it all that it knew of.
func (n *Node) informed() core.Micros {
	agreed := core.MaxMicros
	for _, p := range n.peers {
		agreed = min(agreed, p.agreed)
	}
	if len(n.peers) == 0 {
		agreed = n.now()
	}
	return max(n.knownAt, agreed)
}

// deputize gives the token under which this node may answer a worker in the
// leader's place, 0 for none: it and the worker are of one zone and cut off
// together from everything, and the leader has permitted it.
func (n *Node) deputize(r *core.Report) uint64 {
	if n.term != nil || r.Zone != n.cfg.Zone || n.stateOK() || n.served() || !n.mayRenew() {
		return 0
	}
	return n.permit.Token(n.now(), n.view.leaderStamp, r.Token)
}

// mayRenew reports whether a worker's lease may still be renewed without
// knowledge of the cancellations that users are told of now.
func (n *Node) mayRenew() bool { return n.now() < n.informed()+n.blind }

// stops lists what a worker that is answered in the leader's place, or after its
// lease, is told all the same.
func (n *Node) stops(r *core.Report) []core.Command {
	return core.StopCancelled(r.Tasks, n.isCancelled)
}
