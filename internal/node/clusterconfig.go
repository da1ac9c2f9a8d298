package node

import (
	"context"
	"errors"
	"reflect"
	"sync/atomic"
	"time"

	"aspenstall/internal/clusterconfig"
	"aspenstall/internal/config"
	"aspenstall/internal/core"
	"aspenstall/internal/peer"
	"aspenstall/internal/statestore"
	"aspenstall/internal/wire"
)

// clusterConfig is the configuration that operators change while the cluster serves, as this
// node follows it. What it decides by that is bounded in time: docs/design/configuration.md.
type clusterConfig struct {
	base            clusterconfig.Base
	peers           []string // the other controllers
	follower        *clusterconfig.Follower
	effective       clusterconfig.Effective
	effectiveShared atomic.Pointer[clusterconfig.Effective] // the same, for other goroutines
	headRevision    atomic.Uint64                           // of the head acted by, for answers that are about to be written
	freshUntil      atomic.Int64                            // micros: tasks may be started on what was read until then

	ackLease     uint64            // 0: none
	lastAck      clusterconfig.Ack // last
	knownWritten bool              // it has said for good that it knows configuration
	ackInFlight  bool
	ackNotBefore core.Micros // not before this
	renewAckAt   core.Micros
}

// A controller says which version it acts by under a lease: one that ends, or is replaced by
// an earlier version of the program, is missed soon.
const (
	ackTTL           = 6 * time.Second
	ackRenewInterval = 2 * core.Second
	ackRetryPause    = 300 * core.Millisecond
	ackTimeout       = 3 * time.Second
)

func (c *clusterConfig) init(p *config.Platform, s config.Settings) {
	c.base, c.follower = config.ConfigBase(p, s), clusterconfig.NewFollower()
	c.setEffective(c.follower.Config().Over(&c.base))
	c.freshUntil.Store(int64(c.follower.FreshUntil(0)))
	c.peers = []string{}
	for _, k := range p.Peers {
		c.peers = append(c.peers, k.Member)
	}
}

func (c *clusterConfig) setEffective(e clusterconfig.Effective) {
	c.effective = e
	c.effectiveShared.Store(&e)
}

// priorityCap is the highest priority that a team may ask for; for any goroutine.
func (n *Node) priorityCap(team string) core.Priority {
	if t, ok := n.clusterConfig.effectiveShared.Load().Teams[team]; ok {
		return t.Cap
	}
	return core.Production
}

// putConfig takes a record of the configuration, read at a revision.
func (n *Node) putConfig(key string, value []byte, revision uint64) {
	if key == clusterconfig.HeadKey {
		h, err := wire.DecodeConfigHead(value)
		n.clusterConfig.follower.Head(h, revision, err)
		return
	}
	p, err := wire.DecodeConfigPage(value)
	if err != nil {
		n.log.Error("configuration", "record", key, "err", err)
		return // the head that names it is not acted by
	}
	n.clusterConfig.follower.Page(key, p, revision)
}

// dropConfig takes that a record of the configuration is gone since a revision.
func (n *Node) dropConfig(key string, revision uint64) {
	if key != clusterconfig.HeadKey { // which is never dropped
		n.clusterConfig.follower.Drop(key, revision)
	}
}

// resolveConfig acts by the latest version that has been read.
func (n *Node) resolveConfig() {
	c := &n.clusterConfig
	changed, err := c.follower.Resolve()
	if err != nil {
		n.log.Error("configuration is not acted by: nothing is placed, taken or refused by it until then", "err", err)
		if t := n.term; t != nil && errors.Is(err, clusterconfig.ErrNewer) {
			n.resign("the configuration can't be read")
		}
	}
	if changed {
		c.setEffective(c.follower.Config().Over(&c.base))
		n.core.Configure(config.CoreTeams(c.effective.Teams), c.effective.Tuning)
		version, revision := c.follower.Acted()
		c.headRevision.Store(revision)
		n.log.Info("configuration", "version", version, "revision", revision)
	}
	c.freshUntil.Store(int64(c.follower.FreshUntil(n.currentAsOf)))
}

// mayDecide reports whether this node knows the configuration in force well enough to place
// tasks and to refuse jobs by it.
func (n *Node) mayDecide() bool { return n.clusterConfig.follower.MayDecide(n.now(), n.currentAsOf) }

// mayStart reports whether commands that start tasks may go out: asked right before they do,
// by any goroutine.
func (n *Node) mayStartTasks() bool {
	return n.leaseValid() && n.now() < core.Micros(n.clusterConfig.freshUntil.Load())
}

// maySend is what is asked right before commands go out.
func (n *Node) sendCheck(cmds []core.Command) func() bool {
	if core.HasStart(cmds) {
		return n.mayStartTasks
	}
	return n.leaseValid
}

// configConds are the conditions of a write that accepts a job: that the configuration by
// which it was judged is in force.
func (n *Node) configConditions() []wire.Cond {
	if _, revision := n.clusterConfig.follower.Acted(); revision > 0 {
		return []wire.Cond{{Key: clusterconfig.HeadKey, Version: revision}}
	}
	return nil
}

// sameConfig reports whether the version acted by is still the one of a stamp.
func (n *Node) configUnchanged(revision uint64) bool {
	return n.clusterConfig.headRevision.Load() == revision
}

// acknowledge says which version this node acts by, if that differs from what it has said:
// looked at on every tick and after every change.
func (n *Node) acknowledgeConfig() {
	c := &n.clusterConfig
	if !c.follower.Enabled() || c.ackInFlight || n.now() < c.ackNotBefore {
		return
	}
	version, revision := c.follower.Acted()
	ack := clusterconfig.Ack{Format: clusterconfig.Format, Stamp: revision, Number: version, Peers: c.peers, Earlier: n.olderVersionPeers()}
	if !c.follower.Current() {
		ack.Error = "it can't act by the latest version"
	}
	switch {
	case c.ackLease == 0 || !reflect.DeepEqual(ack, c.lastAck):
		n.writeAck(ack)
	case n.now() >= c.renewAckAt:
		n.renewAck()
	}
}

// earlierFor is how long a peer's word counts: one that is silent for longer may be down.
const olderVersionTTL = 10 * time.Second

// earlierPeers are those whose last word was one of an earlier version of the program.
func (n *Node) olderVersionPeers() []string {
	var names []string
	for _, p := range n.platform.Peers {
		if state := n.peers[p.Member]; state.olderVersion && time.Since(state.lastStatus) < olderVersionTTL {
			names = append(names, p.Member)
		}
	}
	return names
}

// writeAck writes an acknowledgement, within what users leave of the budget.
func (n *Node) writeAck(ack clusterconfig.Ack) {
	if !n.stateClient.HasPriorityBudget(1) {
		return
	}
	value, err := wire.EncodeConfigAck(&ack)
	if err != nil {
		n.log.Error("configuration", "err", err)
		return
	}
	c := &n.clusterConfig
	c.ackInFlight = true
	lease, known := c.ackLease, c.knownWritten
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, ackTimeout)
		defer cancel()
		var err error
		if lease == 0 {
			lease, err = n.stateClient.Grant(ctx, ackTTL)
		}
		if err == nil {
			puts := []wire.Write{{Put: clusterconfig.AckPrefix + n.platform.Member, Value: value, Lease: lease}}
			if !known {
				puts = append(puts, wire.Write{Put: clusterconfig.KnownPrefix + n.platform.Member, Value: value})
			}
			_, err = n.stateClient.Commit(ctx, &wire.Txn{If: []wire.Cond{}, Then: puts})
		}
		n.post(func() {
			c.ackInFlight, c.ackNotBefore = false, n.now()+ackRetryPause
			if err != nil {
				n.log.Debug("acknowledging the configuration", "err", err)
				if errors.Is(err, statestore.ErrInvalid) {
					c.ackLease = 0 // it is over
				}
				return
			}
			c.ackLease, c.lastAck, c.knownWritten, c.ackNotBefore = lease, ack, true, 0
			c.renewAckAt = n.now() + ackRenewInterval
			n.acknowledgeConfig() // of what came meanwhile
		})
	}()
}

func (n *Node) renewAck() {
	c := &n.clusterConfig
	c.ackInFlight = true
	lease := c.ackLease
	go func() {
		err := n.stateClient.Renew(n.ctx, lease)
		n.post(func() {
			c.ackInFlight, c.renewAckAt = false, n.now()+ackRenewInterval
			if errors.Is(err, statestore.ErrNotFound) {
				c.ackLease = 0
			}
			n.acknowledgeConfig() // of what came meanwhile
		})
	}()
}

// noticeVersion says once of each process that it acts by its files alone: one of an earlier
// version of the program that is back.
func (n *Node) checkPeerVersion(state *peerState, s *peer.Status) {
	state.olderVersion = s.ConfigFormat < clusterconfig.Format
	if !state.olderVersion || !n.clusterConfig.follower.Enabled() || state.noConfigIncarnation == s.Incarnation {
		return
	}
	state.noConfigIncarnation = s.Incarnation
	n.acknowledgeConfig()
	n.log.Warn("a controller does not act by the configuration: what is in force there is its platform file", "peer", s.Node, "leads", s.Token != 0)
}
