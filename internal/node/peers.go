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

// Controllers exchange their status: the leader sends its own every statusInterval. Other nodes
// send theirs only while they do not reach the state service, to learn whether their peers reach
// it.
const (
	statusInterval = time.Second
	// stateTimeout is how long the state service may be without a response before a node reports
	// that it does not reach it.
	stateTimeout = 2 * time.Second
	// stateLostAfter is how long this node must have been without the state service before a peer
	// that reaches it counts: in an outage that affects all nodes, they notice one after the
	// other. A response of a slow service never takes that long, so from then on users are refused
	// at once.
	stateLostAfter = 4 * time.Second
)

// peerState is what this node knows of one peer, from the peer's last messages.
type peerState struct {
	lastStatus time.Time
	stateOK    bool
	mayList    bool   // it may be reading the watched records for the first time
	replyNonce uint64 // of the peer's last reply to this node as the leader
	lastReply  core.Micros
	// cancellationsAsOf is when the last request was sent whose reply held every cancellation that
	// users can have been told of by the peer.
	cancellationsAsOf   core.Micros
	delegate            core.Delegate // what the peer may have answered under delegation by this node
	olderVersion        bool          // its last status came from an older version of the program
	noConfigIncarnation uint64        // incarnation of the peer that was found not to apply the configuration
}

// exchangeStatuses exchanges status with one peer until ctx ends.
func (n *Node) exchangeStatuses(ctx context.Context, member string) {
	c := n.peerClients[member]
	if c == nil {
		return
	}
	defer c.Close()
	sent := map[string]peer.Counts{}
	var sentToken uint64
	for ; ctx.Err() == nil; wait.ForOrWake(ctx, statusInterval, n.statusWake[member]) {
		var sentAt core.Micros
		s, ok := call(ctx, n, func(reply func(*peer.Status)) {
			s := n.status()
			if s.Token == 0 && s.StateOK {
				reply(nil) // nothing to report
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
			clear(sent) // the peer may have missed these
			n.post(func() { n.noteListing(member, false) })
			continue
		}
		n.post(func() { n.handleStatusReply(member, s, reply, sentAt) })
	}
}

// sendStatusNow has this node's status sent to all peers at once.
func (n *Node) sendStatusNow() {
	for _, wake := range n.statusWake {
		wait.Wake(wake)
	}
}

// handleStatusReply takes a peer's reply to the status that was sent at sentAt.
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

// noteListing records whether a peer is reading the watched records for the first time, as far as
// this node knows, and takes its share of the rate of lists. A peer counts until it is heard of or
// can't be reached: all nodes may have started at once.
func (n *Node) noteListing(member string, listing bool) {
	n.peers[member].mayList = listing
	n.shareLists()
}

func (n *Node) shareLists() {
	clients := 1
	for _, p := range n.peers {
		if p.mayList {
			clients++
		}
	}
	n.stateClient.ShareLists(clients)
}

// changedCounts lists at most 500 jobs whose counts differ from those in sent, and adds them to
// sent.
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

// status returns the status of this node.
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

// ExchangeStatus takes a peer's status and returns the status of this node.
func (n *Node) ExchangeStatus(ctx context.Context, s *peer.Status) (*peer.Status, error) {
	out, ok := call(ctx, n, func(reply func(*peer.Status)) {
		n.applyPeerStatus(s)
		out := n.status()
		// Before the view is read, this node does not know which cancellations its previous process
		// told users of.
		if s.Revision > 0 && n.view.ready {
			out.Cancellations, out.CancellationsComplete = n.cancellations.since(s.Revision)
		}
		if s.Token != 0 {
			// The sender leads. It names the last reply that it received, and receives this one.
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

// applyPeerStatus applies a peer's status, received in a call or in a reply.
func (n *Node) applyPeerStatus(s *peer.Status) {
	state := n.peers[s.Node]
	if state == nil {
		return // not a peer of the settings
	}
	state.lastStatus, state.stateOK = time.Now(), s.StateOK
	n.noteListing(s.Node, s.Revision == 0)
	state.delegate.NoteMessage(n.now())
	n.checkPeerVersion(state, s)
	// Only a leader sends counts, each change once. A node that has led takes those of its successor
	// also before its own term has ended.
	if n.term == nil || s.Token > n.term.token {
		for _, c := range s.Counts {
			if _, known := n.view.jobs[c.Job]; known || len(n.leaderCounts) < 100_000 {
				n.leaderCounts[c.Job] = c
				n.nomad.countsChanged(n, c.Job)
			}
		}
	}
	n.noteLeader(s.Node, s.Token) // peers of an older version report only this
	n.noteLeader(s.Leader, s.LeaderToken)
	if t := n.term; t != nil && core.ShouldResign(n.now(), t.begunAt, n.lastReport, core.Seconds(n.platform.Params.Workers.ReportS), s.WorkersReporting, n.core.TokenAcknowledged()) {
		n.resign("workers reach a peer and not this node: " + s.Node)
	}
	n.updateHealth()
}

// abstainDuration is how long a node that resigned leaves the leadership to others, unless workers
// reach it again earlier.
const abstainDuration = 30 * core.Second

// updateHealth decides whether this node reports itself as healthy. Users go to healthy nodes.
//
// During an outage of the state service no node is better than another, and refusing users would
// only make them wait longer afterwards. But if a peer reaches the service and this node does not,
// users are better off at the peer. They are also better off elsewhere if this node hears no peer
// either: it is partitioned, and all users that stay with it are refused.
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

// stateUnreachable reports whether the state service has not responded for so long that no
// operation that needs it is worth starting. Requests are then refused at once. The watch shows
// when the service is reachable again.
func (n *Node) stateUnreachable() bool {
	return n.view.ready && time.Since(n.lastStateResponse) > stateLostAfter
}

// peerReachesState reports whether a peer recently reported that it reaches the state service.
func (n *Node) peerReachesState() bool {
	for _, p := range n.peers {
		if p.stateOK && time.Since(p.lastStatus) < stateTimeout {
			return true
		}
	}
	return false
}

// informedUntil returns the time up to which this node knows every cancellation that a user can
// have been told of: it has read the state service since, or it has asked every peer since and
// each sent all cancellations that it knew.
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

// delegatedToken returns the token under which this node may answer a worker for the leader, or 0
// if it may not. It may if it is in the worker's zone, the zone is partitioned from everything
// else, and the leader has delegated this.
func (n *Node) delegatedToken(r *core.Report) uint64 {
	if n.term != nil || r.Zone != n.platform.Zone || n.stateOK() || n.peerReachesState() || !n.mayRenewWorkerLeases() {
		return 0
	}
	return n.delegation.Token(n.now(), n.view.leaderRevision, r.Token)
}

// mayRenewWorkerLeases reports whether workers' leases may still be renewed: renewals must stop
// while this node can't know the cancellations that users are told of now.
func (n *Node) mayRenewWorkerLeases() bool { return n.now() < n.informedUntil()+n.maxCancelStaleness }

// stopCommands returns the stop commands for tasks of cancelled jobs. A worker gets them also when
// it is answered under delegation or after the leader's lease.
func (n *Node) stopCommands(r *core.Report) []core.Command {
	return core.StopCancelled(r.Tasks, n.isCancelled)
}
