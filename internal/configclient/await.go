package configclient

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"aspenstall/internal/clusterconfig"
	"aspenstall/internal/statestore"
	"aspenstall/internal/wait"
	"aspenstall/internal/wire"
)

// readAcks reads what the controllers say, and who leads.
func (c *Client) readAcks(ctx context.Context, v *View) error {
	entries, _, err := c.Store.List(ctx, ackCommonPrefix)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if name, ok := strings.CutPrefix(e.Key, clusterconfig.KnownPrefix); ok {
			v.SupportsConfig[name] = true
			continue
		}
		name, ok := strings.CutPrefix(e.Key, clusterconfig.AckPrefix)
		if !ok {
			continue
		}
		if v.Acks[name], err = wire.DecodeConfigAck(e.Value); err != nil {
			return fmt.Errorf("%s: %w", e.Key, err)
		}
	}
	e, err := c.Store.Get(ctx, wire.LeaderKey)
	if errors.Is(err, statestore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var l wire.LeaderRecord
	err = wire.Unmarshal(e.Value, &l)
	v.Leader = l.Node
	return err
}

// NotReady lists the controllers that can't be taken to go by the configuration: those that
// have never said that they know it, and those of which a peer says that they are of an
// earlier version. One that once knew it and is not heard now is down or cut off, and
// decides nothing by it after a while (clusterconfig.InForceAfter). One that is said to be
// down for good counts where it leads or a peer has heard it.
func (c *Client) NotReady(v *View) []string {
	var out []string
	for _, name := range c.allControllers(v) {
		a, heard := v.Acks[name]
		known := v.SupportsConfig[name] || slices.Contains(c.Absent, name)
		switch {
		case heard && a.Format >= clusterconfig.Format:
		case heard, !known, reportedOlder(v, name), name == v.Leader && !v.SupportsConfig[name]:
			out = append(out, name)
		}
	}
	return out
}

// earlier reports whether a controller says of another that it is of an earlier version.
func reportedOlder(v *View, name string) bool {
	for _, a := range v.Acks {
		if slices.Contains(a.OlderPeers, name) {
			return true
		}
	}
	return false
}

// Unheard lists the controllers that say nothing now.
func (c *Client) NotReporting(v *View) []string {
	return slices.DeleteFunc(c.expectedControllers(v), func(name string) bool {
		_, heard := v.Acks[name]
		return heard
	})
}

// all are the controllers that the caller or a controller knows.
func (c *Client) allControllers(v *View) []string {
	all := slices.Clone(c.Controllers)
	for name, a := range v.Acks {
		all = append(append(all, name), a.Peers...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// members are all controllers but for those that are known to be down.
func (c *Client) expectedControllers(v *View) []string {
	return slices.DeleteFunc(c.allControllers(v), func(name string) bool { return slices.Contains(c.Absent, name) })
}

// Forced is where and when a change was in force.
type Rollout struct {
	ConfirmedAfter map[string]time.Duration // by controller that said so
	// All is until no controller could decide by an older version: all said so, or the time
	// was over in which one that says nothing can.
	EverywhereAfter time.Duration
	// ByTime lists the controllers that said nothing.
	Unconfirmed []string
}

// Await waits until a change is in force everywhere. before is what was read before it was
// made, and begun when it began.
func (c *Client) AwaitInForce(ctx context.Context, before *View, m *ApplyResult, begun time.Time) (*Rollout, error) {
	bound := m.AnsweredAt.Add(time.Duration(clusterconfig.InForceAfter) * time.Microsecond)
	out := &Rollout{ConfirmedAfter: map[string]time.Duration{}}
	late := ErrNotInForce
	for {
		v := newView()
		err := c.readAcks(ctx, v)
		if err == nil {
			for name, a := range v.Acks {
				if _, said := out.ConfirmedAfter[name]; !said && a.HeadRevision >= m.HeadRevision {
					out.ConfirmedAfter[name] = time.Since(begun)
				}
			}
			out.EverywhereAfter, out.Unconfirmed = time.Since(begun), c.unconfirmed(v, out)
			if len(out.Unconfirmed) == 0 && len(c.NotReporting(v)) == 0 {
				return out, nil
			}
			if time.Now().After(bound) {
				if late = checkTimeBound(before, v); late == nil {
					return out, nil
				}
			}
		}
		if !wait.For(ctx, pollInterval) {
			return out, late
		}
	}
}

// byTime says whether the bound holds for who says nothing: not for one of an earlier version,
// which goes by its files. Such a one can't be told from one that is down, but if it leads.
func checkTimeBound(before, now *View) error {
	_, said := before.Acks[now.Leader]
	_, says := now.Acks[now.Leader]
	if now.Leader != "" && !said && !says {
		return fmt.Errorf("%w: %s leads and says nothing: it may be of an earlier version", ErrNotInForce, now.Leader)
	}
	return nil
}

// ackPrefixes is what the prefixes of what controllers say have in common.
const ackCommonPrefix = "d/"

// silent lists the controllers that have not said that they act by a change.
func (c *Client) unconfirmed(v *View, f *Rollout) []string {
	var out []string
	for _, name := range c.expectedControllers(v) {
		if _, said := f.ConfirmedAfter[name]; !said {
			out = append(out, name)
		}
	}
	return out
}

// inForce reports whether every controller says that it acts by a version.
func (c *Client) inForceEverywhere(v *View, stamp uint64) bool {
	for _, name := range c.expectedControllers(v) {
		if v.Acks[name].HeadRevision < stamp {
			return false
		}
	}
	return true
}
