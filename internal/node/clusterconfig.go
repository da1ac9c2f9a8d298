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
	"aspenstall/internal/txn"
	"aspenstall/internal/wire"
)

// clusterConfig is the configuration that operators change while the cluster serves, as this node
// follows it. Decisions by it are bounded in time: see docs/design/configuration.md.
type clusterConfig struct {
	base            clusterconfig.Base
	peers           []string // the other controllers
	follower        *clusterconfig.Follower
	effective       clusterconfig.Effective
	effectiveShared atomic.Pointer[clusterconfig.Effective] // copy of effective for other goroutines
	headRevision    atomic.Uint64                           // of the head record in effect, checked before a response is written
	freshUntil      atomic.Int64                            // in Micros of now: tasks may be started by the last read until then

	ackLease     uint64            // 0: none
	lastAck      clusterconfig.Ack // the last acknowledgement that was written
	knownWritten bool              // the permanent record that this node supports the configuration has been written
	ackInFlight  bool
	ackNotBefore core.Micros // no acknowledgement is written before this time
	renewAckAt   core.Micros
}

// A controller acknowledges the version in effect under a lease. The acknowledgement expires soon
// after a controller ends or is replaced by an older version of the program.
const (
	ackTTL           = 6 * time.Second
	ackRenewInterval = 2 * core.Second
	ackRetryPause    = 300 * core.Millisecond
	ackTimeout       = 3 * time.Second
)

func (c *clusterConfig) init(p *config.Platform, s config.Settings) {
	c.base, c.follower = config.ClusterConfigBase(p, s), clusterconfig.NewFollower()
	c.setEffective(c.follower.Config().OverlayOn(&c.base))
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

// priorityCap returns the highest priority that a team may use. Any goroutine may call it.
func (n *Node) priorityCap(team string) core.Priority {
	if t, ok := n.clusterConfig.effectiveShared.Load().Teams[team]; ok {
		return t.PriorityCap
	}
	return core.Production
}

// putConfig applies a record of the configuration, read at a revision.
func (n *Node) putConfig(key string, value []byte, revision uint64) {
	if key == clusterconfig.HeadKey {
		h, err := wire.DecodeConfigHead(value)
		n.clusterConfig.follower.UpdateHead(h, revision, err)
		return
	}
	p, err := wire.DecodeConfigPage(value)
	if err != nil {
		n.log.Error("configuration", "record", key, "err", err)
		return // a head that names this page does not take effect
	}
	n.clusterConfig.follower.UpdatePage(key, p, revision)
}

// dropConfig applies the deletion of a record of the configuration at a revision.
func (n *Node) dropConfig(key string, revision uint64) {
	if key != clusterconfig.HeadKey { // the head is never deleted
		n.clusterConfig.follower.DropPage(key, revision)
	}
}

// resolveConfig puts the latest version that has been read completely into effect.
func (n *Node) resolveConfig() {
	c := &n.clusterConfig
	changed, err := c.follower.Resolve()
	if err != nil {
		n.log.Error("configuration is not acted by: nothing is placed, taken or refused by it until then", "err", err)
		if t := n.term; t != nil && errors.Is(err, clusterconfig.ErrNewerFormat) {
			n.resign("the configuration can't be read")
		}
	}
	if changed {
		c.setEffective(c.follower.Config().OverlayOn(&c.base))
		n.core.Configure(n.now(), config.CoreTeams(c.effective.Teams), c.effective.Tuning)
		version, revision := c.follower.EffectiveVersion()
		c.headRevision.Store(revision)
		n.log.Info("configuration", "version", version, "revision", revision)
	}
	c.freshUntil.Store(int64(c.follower.FreshUntil(n.currentAsOf)))
}

// mayDecide reports whether this node may place tasks and refuse jobs by the configuration: it has
// read the configuration recently, and the latest version that it has read is in effect. It always
// may while no configuration exists.
func (n *Node) mayDecide() bool { return n.clusterConfig.follower.MayDecide(n.now(), n.currentAsOf) }

// mayStartTasks reports whether commands that start tasks may be sent. Any goroutine may call it,
// right before it sends them.
func (n *Node) mayStartTasks() bool {
	return n.leaseValid() && n.now() < core.Micros(n.clusterConfig.freshUntil.Load())
}

// sendCheck returns the check to make right before the commands are sent.
func (n *Node) sendCheck(cmds []core.Command) func() bool {
	if core.HasStart(cmds) {
		return n.mayStartTasks
	}
	return n.leaseValid
}

// configConditions returns the conditions of a write that accepts a job: the configuration by
// which the job was checked is still in force.
func (n *Node) configConditions() []wire.Cond {
	if _, revision := n.clusterConfig.follower.EffectiveVersion(); revision > 0 {
		return []wire.Cond{{Key: clusterconfig.HeadKey, ModRevision: revision}}
	}
	return nil
}

// configUnchanged reports whether the configuration in effect is still the one of the given
// revision.
func (n *Node) configUnchanged(revision uint64) bool {
	return n.clusterConfig.headRevision.Load() == revision
}

// acknowledgeConfig acknowledges the version in effect if that differs from the last
// acknowledgement, and renews the lease of the acknowledgement. It is called on every tick and
// after every change.
func (n *Node) acknowledgeConfig() {
	c := &n.clusterConfig
	if !c.follower.Enabled() || c.ackInFlight || n.now() < c.ackNotBefore {
		return
	}
	version, revision := c.follower.EffectiveVersion()
	ack := clusterconfig.Ack{Format: clusterconfig.Format, HeadRevision: revision, Version: version, Peers: c.peers, OlderPeers: n.olderVersionPeers()}
	if !c.follower.Current() {
		ack.Error = "it can't put the latest version into effect"
	}
	switch {
	case c.ackLease == 0 || !reflect.DeepEqual(ack, c.lastAck):
		n.writeAck(ack)
	case n.now() >= c.renewAckAt:
		n.renewAck()
	}
}

// olderVersionTTL is how long a peer's last status counts. A peer that sends nothing for longer
// may be down.
const olderVersionTTL = 10 * time.Second

// olderVersionPeers returns the peers whose last status came from an older version of the program.
func (n *Node) olderVersionPeers() []string {
	var names []string
	for _, p := range n.platform.Peers {
		if state := n.peers[p.Member]; state.olderVersion && time.Since(state.lastStatus) < olderVersionTTL {
			names = append(names, p.Member)
		}
	}
	return names
}

// writeAck writes an acknowledgement if the write budget has room beside the users' writes.
func (n *Node) writeAck(ack clusterconfig.Ack) {
	if !n.stateClient.HasBudgetBesideUsers(1) {
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
			puts := []wire.Write{{Kind: txn.ConfigAcknowledgement, Put: clusterconfig.AckPrefix + n.platform.Member, Value: value, Lease: lease}}
			if !known {
				puts = append(puts, wire.Write{Kind: txn.ConfigKnown, Put: clusterconfig.KnownPrefix + n.platform.Member, Value: value})
			}
			_, err = n.stateClient.Commit(ctx, &wire.Txn{If: []wire.Cond{}, Then: puts})
		}
		n.post(func() {
			c.ackInFlight, c.ackNotBefore = false, n.now()+ackRetryPause
			if err != nil {
				n.log.Debug("acknowledging the configuration failed", "err", err)
				if errors.Is(err, statestore.ErrInvalid) {
					c.ackLease = 0 // the lease has expired
				}
				return
			}
			c.ackLease, c.lastAck, c.knownWritten, c.ackNotBefore = lease, ack, true, 0
			c.renewAckAt = n.now() + ackRenewInterval
			n.acknowledgeConfig() // the version may have changed meanwhile
		})
	}()
}

// renewAck renews the lease of the acknowledgement.
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
			n.acknowledgeConfig() // the version may have changed meanwhile
		})
	}()
}

// checkPeerVersion logs, once per incarnation of a peer, that the peer applies only its files and
// not the configuration: an older version of the program is running again.
func (n *Node) checkPeerVersion(state *peerState, s *peer.Status) {
	state.olderVersion = s.ConfigFormat < clusterconfig.Format
	if !state.olderVersion || !n.clusterConfig.follower.Enabled() || state.noConfigIncarnation == s.Incarnation {
		return
	}
	state.noConfigIncarnation = s.Incarnation
	n.acknowledgeConfig()
	n.log.Warn("a controller does not act by the configuration: what is in force there is its platform file", "peer", s.Node, "leads", s.Token != 0)
}
