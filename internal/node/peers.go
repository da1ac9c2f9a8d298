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
	statusInterval = time.Second
	// stateGrace is how long the state service may be unheard before a node
	// says that it does not reach it.
	stateTimeout = 2 * time.Second
	// aloneAfter is how long this node must have been without the state service
	// before a peer that reaches it counts: in an outage of all, the nodes
	// notice one after the other. No answer of a service that is only slow takes as
	// long, so from then on users are refused at once.
	stateLostAfter = 4 * time.Second
)

// peerState is what a peer said last.
type peerState struct {
	lastStatus time.Time
	stateOK    bool
	replyNonce uint64 // of its last reply to this node as the leader
	lastReply  core.Micros
	// agreed: asked then, it told every cancellation that users can have from it.
	cancellationsAsOf   core.Micros
	delegate            core.Delegate // what it may have answered in this node's place
	olderVersion        bool          // its last word was one of an earlier version of the program
	noConfigIncarnation uint64        // life of its process that is known not to act by the configuration
}

// tellPeers exchanges status with one peer until ctx ends.
func (n *Node) exchangeStatuses(ctx context.Context, member string) {
	c := n.peerClients[member]
	if c == nil {
		return
	}
	defer c.Close()
	sent := map[string]peer.Counts{}
	var sentToken uint64
	for ctx.Err() == nil {
		wait.For(ctx, statusInterval)
		var sentAt core.Micros
		s, ok := call(ctx, n, func(reply func(*peer.Status)) {
			s := n.status()
			if s.Token == 0 && s.StateOK {
				reply(nil) // nothing to say
				return
			}
			if s.Token != sentToken {
				sentToken = s.Token
				clear(sent)
			}
			sentAt = n.now()
			if s.Token != 0 {
				s.Counts = n.changedCounts(sent)
				state := n.peers[member]
				s.EchoedNonce = state.replyNonce
				if s.EchoedNonce != 0 {
					state.delegate.Grant(state.lastReply, n.delegationTTL)
				}
			}
			reply(s)
		})
		if !ok || s == nil {
			continue
		}
		reply, err := c.ExchangeStatus(ctx, s)
		if err != nil {
			n.log.Debug("peer", "peer", member, "err", err)
			clear(sent) // it may have missed these
			continue
		}
		n.post(func() { n.handleStatusReply(member, s, reply, sentAt) })
	}
}

// replied takes a peer's reply to the status that it was told.
func (n *Node) handleStatusReply(member string, sent, reply *peer.Status, sentAt core.Micros) {
	state := n.peers[member]
	if t := n.term; t != nil && sent.Token == t.token {
		state.replyNonce, state.lastReply = reply.Nonce, n.now()
		state.delegate.HandleReply(sentAt, n.now(), reply.Incarnation, core.Micros(reply.DelegatedAnswerAge))
	}
	for _, c := range reply.Cancellations {
		n.applyPeerCancellation(c)
	}
	if reply.CancellationsComplete && sent.Revision > 0 {
		state.cancellationsAsOf = sentAt
	}
	n.applyPeerStatus(reply)
}

// changedCounts lists the jobs whose counts differ from what was sent.
func (n *Node) changedCounts(sent map[string]peer.Counts) []peer.Counts {
	const maxJobs = 500
	var out []peer.Counts
	for id := range sent {
		if _, _, ok := n.core.TaskCounts(id); !ok {
			delete(sent, id)
		}
	}
	for _, id := range n.core.UnfinishedJobs() {
		done, running, ok := n.core.TaskCounts(id)
		k := peer.Counts{Job: id, Done: done, Running: running}
		if ok && sent[id] != k && len(out) < maxJobs {
			sent[id] = k
			out = append(out, k)
		}
	}
	return out
}

// status is what this node says of itself.
func (n *Node) status() *peer.Status {
	s := &peer.Status{
		Node: n.platform.Member, StateOK: n.stateOK(), WorkersReporting: n.lastReport > 0 && n.now()-n.lastReport < 3*core.Second,
		LegacySeen: math.MaxUint64, Incarnation: n.incarnation, DelegatedAnswerAge: -1, Leader: n.view.lastLeader, LeaderToken: n.view.lastLeaderToken,
		ConfigFormat: clusterconfig.Format, ConfigRevision: n.clusterConfig.headRevision.Load(),
	}
	if n.view.ready {
		s.Revision = n.view.revision
	}
	if t := n.term; t != nil && t.token > s.LeaderToken {
		s.Leader, s.LeaderToken = n.platform.Member, t.token
	}
	if n.lastDelegatedAnswer > 0 {
		s.DelegatedAnswerAge = int64(n.now() - n.lastDelegatedAnswer)
	}
	if n.term != nil && n.leaseValid() {
		s.Token = n.term.token
	}
	return s
}

func (n *Node) stateOK() bool { return time.Since(n.lastStateResponse) < stateTimeout }

// Told answers a peer's status.
func (n *Node) ExchangeStatus(ctx context.Context, s *peer.Status) (*peer.Status, error) {
	out, ok := call(ctx, n, func(reply func(*peer.Status)) {
		n.applyPeerStatus(s)
		out := n.status()
		if s.Revision > 0 && n.view.ready { // else what its former process told is not known
			out.Cancellations, out.CancellationsComplete = n.cancellations.since(s.Revision)
		}
		if s.Token != 0 {
			// The leader: it names the last reply that it has, and has this one.
			n.delegation.Accept(s.Token, s.EchoedNonce, n.delegationTTL)
			out.Nonce = rand.Uint64()
			n.delegation.NoteReply(n.now(), out.Nonce)
		}
		reply(out)
	})
	if !ok {
		return nil, context.DeadlineExceeded
	}
	return out, nil
}

func (n *Node) applyPeerStatus(s *peer.Status) {
	state := n.peers[s.Node]
	if state == nil {
		return // not one of ours
	}
	state.lastStatus, state.stateOK = time.Now(), s.StateOK
	state.delegate.NoteMessage(n.now())
	n.checkPeerVersion(state, s)
	if n.term == nil {
		for _, c := range s.Counts {
			if _, known := n.view.jobs[c.Job]; known || len(n.leaderCounts) < 100_000 {
				n.leaderCounts[c.Job] = c
				n.nomad.countsChanged(n, c.Job)
			}
		}
	}
	n.noteLeader(s.Node, s.Token) // all that a peer of an earlier version says
	n.noteLeader(s.Leader, s.LeaderToken)
	if t := n.term; t != nil && core.ShouldResign(n.now(), t.begunAt, n.lastReport, core.Seconds(n.platform.Params.Workers.ReportS), s.WorkersReporting, n.core.TokenAcknowledged()) {
		n.resign("workers reach a peer and not this node: " + s.Node)
	}
	n.updateHealth()
}

// abstainFor is how long a node that resigned leaves the leadership to others,
// unless workers reach it again before.
const abstainDuration = 30 * core.Second

// judgeHealth decides whether users should come here. During an outage of the
// state service no node is better than another, and sending users away would
// only make them wait longer afterwards; but if a peer is served and this node
// is not, they are better off there. So they are if this node hears no peer
// either: it is cut off, and who stays with it is refused all the time.
func (n *Node) updateHealth() {
	ok := n.view.ready
	if ok && n.stateUnreachable() {
		isolated := len(n.peers) > 0 && time.Since(n.lastStateResponse) > 2*stateLostAfter
		for _, p := range n.peers {
			if p.stateOK && p.lastStatus.After(n.lastStateResponse.Add(stateLostAfter)) {
				ok = false
			}
			isolated = isolated && p.lastStatus.Before(n.lastStateResponse)
		}
		ok = ok && !isolated
	}
	if n.serving.Swap(ok) != ok {
		n.log.Info("health", "serving", ok)
	}
}

// unreached reports whether the state service has not been heard for so long that
// nothing that needs it is worth beginning: whoever asks is refused at once, and the
// watch tells when that changes.
func (n *Node) stateUnreachable() bool {
	return n.view.ready && time.Since(n.lastStateResponse) > stateLostAfter
}

// served reports whether a peer says that it reaches the state service.
func (n *Node) peerReachesState() bool {
	for _, p := range n.peers {
		if p.stateOK && time.Since(p.lastStatus) < stateTimeout {
			return true
		}
	}
	return false
}

// informed is up to when this node knows of every cancellation that a user can
// have been told of: it has read the state service since, or every peer, asked
// then, told it all that it knew of.
func (n *Node) informedUntil() core.Micros {
	confirmed := core.MaxMicros
	for _, p := range n.peers {
		confirmed = min(confirmed, p.cancellationsAsOf)
	}
	if len(n.peers) == 0 {
		confirmed = n.now()
	}
	return max(n.currentAsOf, confirmed)
}

// deputize gives the token under which this node may answer a worker in the
// leader's place, 0 for none: it and the worker are of one zone and cut off
// together from everything, and the leader has permitted it.
func (n *Node) delegatedToken(r *core.Report) uint64 {
	if n.term != nil || r.Zone != n.platform.Zone || n.stateOK() || n.peerReachesState() || !n.mayRenewWorkerLeases() {
		return 0
	}
	return n.delegation.Token(n.now(), n.view.leaderRevision, r.Token)
}

// mayRenew reports whether a worker's lease may still be renewed without
// knowledge of the cancellations that users are told of now.
func (n *Node) mayRenewWorkerLeases() bool { return n.now() < n.informedUntil()+n.maxCancelStaleness }

// stops lists what a worker that is answered in the leader's place, or after its
// lease, is told all the same.
func (n *Node) stopCommands(r *core.Report) []core.Command {
	return core.StopCancelled(r.Tasks, n.isCancelled)
}
