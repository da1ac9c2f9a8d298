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
	base      clusterconfig.Base
	peers     []string // the other controllers
	follower  *clusterconfig.Follower
	effective clusterconfig.Effective
	shared    atomic.Pointer[clusterconfig.Effective] // the same, for other goroutines
	stamp     atomic.Uint64                           // of the head acted by, for answers that are about to be written
	freshTill atomic.Int64                            // micros: tasks may be started on what was read until then

	ackLease uint64            // 0: none
	said     clusterconfig.Ack // last
	known    bool              // it has said for good that it knows configuration
	acking   bool
	ackAt    core.Micros // not before this
	renewAt  core.Micros
}

// A controller says which version it acts by under a lease: one that ends, or is replaced by
// an earlier version of the program, is missed soon.
const (
	ackTTL     = 6 * time.Second
	ackRenew   = 2 * core.Second
	ackRetry   = 300 * core.Millisecond
	ackTimeout = 3 * time.Second
)

func (c *clusterConfig) init(p *config.Platform, s config.Settings) {
	c.base, c.follower = config.ConfigBase(p, s), clusterconfig.NewFollower()
	c.use(c.follower.Config().Over(&c.base))
	c.freshTill.Store(int64(c.follower.FreshUntil(0)))
	c.peers = []string{}
	for _, k := range p.Peers {
		c.peers = append(c.peers, k.Member)
	}
}

func (c *clusterConfig) use(e clusterconfig.Effective) {
	c.effective = e
	c.shared.Store(&e)
}

// priorityCap is the highest priority that a team may ask for; for any goroutine.
func (n *Node) priorityCap(team string) core.Priority {
	if t, ok := n.config.shared.Load().Teams[team]; ok {
		return t.Cap
	}
	return core.Production
}

// putConfig takes a record of the configuration, read at a revision.
func (n *Node) putConfig(key string, value []byte, stamp uint64) {
	if key == clusterconfig.HeadKey {
		h, err := wire.DecodeConfigHead(value)
		n.config.follower.Head(h, stamp, err)
		return
	}
	p, err := wire.DecodeConfigPage(value)
	if err != nil {
		n.log.Error("configuration", "record", key, "err", err)
		return // the head that names it is not acted by
	}
	n.config.follower.Page(key, p, stamp)
}

// dropConfig takes that a record of the configuration is gone since a revision.
func (n *Node) dropConfig(key string, stamp uint64) {
	if key != clusterconfig.HeadKey { // which is never dropped
		n.config.follower.Drop(key, stamp)
	}
}

// resolveConfig acts by the latest version that has been read.
func (n *Node) resolveConfig() {
	c := &n.config
	changed, err := c.follower.Resolve()
	if err != nil {
		n.log.Error("configuration is not acted by: nothing is placed, taken or refused by it until then", "err", err)
		if t := n.term; t != nil && errors.Is(err, clusterconfig.ErrNewer) {
			n.resign("the configuration can't be read")
		}
	}
	if changed {
		c.use(c.follower.Config().Over(&c.base))
		n.core.Configure(config.CoreTeams(c.effective.Teams), c.effective.Tuning)
		number, stamp := c.follower.Acted()
		c.stamp.Store(stamp)
		n.log.Info("configuration", "version", number, "revision", stamp)
	}
	c.freshTill.Store(int64(c.follower.FreshUntil(n.knownAt)))
}

// mayDecide reports whether this node knows the configuration in force well enough to place
// tasks and to refuse jobs by it.
func (n *Node) mayDecide() bool { return n.config.follower.MayDecide(n.now(), n.knownAt) }

// mayStart reports whether commands that start tasks may go out: asked right before they do,
// by any goroutine.
func (n *Node) mayStart() bool {
	return n.mayAct() && n.now() < core.Micros(n.config.freshTill.Load())
}

// maySend is what is asked right before commands go out.
func (n *Node) maySend(cmds []core.Command) func() bool {
	if core.HasStart(cmds) {
		return n.mayStart
	}
	return n.mayAct
}

// configConds are the conditions of a write that accepts a job: that the configuration by
// which it was judged is in force.
func (n *Node) configConds() []wire.Cond {
	if _, stamp := n.config.follower.Acted(); stamp > 0 {
		return []wire.Cond{{Key: clusterconfig.HeadKey, Version: stamp}}
	}
	return nil
}

// sameConfig reports whether the version acted by is still the one of a stamp.
func (n *Node) sameConfig(stamp uint64) bool { return n.config.stamp.Load() == stamp }

// acknowledge says which version this node acts by, if that differs from what it has said:
// looked at on every tick and after every change.
func (n *Node) acknowledge() {
	c := &n.config
	if !c.follower.Enabled() || c.acking || n.now() < c.ackAt {
		return
	}
	number, stamp := c.follower.Acted()
	a := clusterconfig.Ack{Format: clusterconfig.Format, Stamp: stamp, Number: number, Peers: c.peers, Earlier: n.earlierPeers()}
	if !c.follower.Current() {
		a.Error = "it can't act by the latest version"
	}
	switch {
	case c.ackLease == 0 || !reflect.DeepEqual(a, c.said):
		n.writeAck(a)
	case n.now() >= c.renewAt:
		n.renewAck()
	}
}

// earlierFor is how long a peer's word counts: one that is silent for longer may be down.
const earlierFor = 10 * time.Second

// earlierPeers are those whose last word was one of an earlier version of the program.
func (n *Node) earlierPeers() []string {
	var names []string
	for _, p := range n.cfg.Peers {
		if k := n.peers[p.Member]; k.earlier && time.Since(k.at) < earlierFor {
			names = append(names, p.Member)
		}
	}
	return names
}

// writeAck writes an acknowledgement, within what users leave of the budget.
func (n *Node) writeAck(a clusterconfig.Ack) {
	if !n.store.Soon(1) {
		return
	}
	value, err := wire.EncodeConfigAck(&a)
	if err != nil {
		n.log.Error("configuration", "err", err)
		return
	}
	c := &n.config
	c.acking = true
	lease, known := c.ackLease, c.known
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, ackTimeout)
		defer cancel()
		var err error
		if lease == 0 {
			lease, err = n.store.Grant(ctx, ackTTL)
		}
		if err == nil {
			puts := []wire.Write{{Put: clusterconfig.AckPrefix + n.cfg.Member, Value: value, Lease: lease}}
			if !known {
				puts = append(puts, wire.Write{Put: clusterconfig.KnownPrefix + n.cfg.Member, Value: value})
			}
			_, err = n.store.Commit(ctx, &wire.Txn{If: []wire.Cond{}, Then: puts})
		}
		n.post(func() {
			c.acking, c.ackAt = false, n.now()+ackRetry
			if err != nil {
				n.log.Debug("acknowledging the configuration", "err", err)
				if errors.Is(err, statestore.ErrInvalid) {
					c.ackLease = 0 // it is over
				}
				return
			}
			c.ackLease, c.said, c.known, c.ackAt = lease, a, true, 0
			c.renewAt = n.now() + ackRenew
			n.acknowledge() // of what came meanwhile
		})
	}()
}

func (n *Node) renewAck() {
	c := &n.config
	c.acking = true
	lease := c.ackLease
	go func() {
		err := n.store.Renew(n.ctx, lease)
		n.post(func() {
			c.acking, c.renewAt = false, n.now()+ackRenew
			if errors.Is(err, statestore.ErrNotFound) {
				c.ackLease = 0
			}
			n.acknowledge() // of what came meanwhile
		})
	}()
}

// noticeVersion says once of each process that it acts by its files alone: one of an earlier
// version of the program that is back.
func (n *Node) noticeVersion(k *peerState, s *peer.Status) {
	k.earlier = s.ConfigFormat < clusterconfig.Format
	if !k.earlier || !n.config.follower.Enabled() || k.noConfig == s.Life {
		return
	}
	k.noConfig = s.Life
	n.acknowledge()
	n.log.Warn("a controller does not act by the configuration: what is in force there is its platform file", "peer", s.Node, "leads", s.Token != 0)
}
