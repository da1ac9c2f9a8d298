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

// readAcks reads the controllers' acknowledgements, which of them support configuration records,
// and the leader.
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

// NotReady returns the controllers that possibly don't follow the configuration: those that
// acknowledge it in an older format, those that have never recorded support for it, and those that
// a peer reports as an earlier version of the program. A controller that recorded support and has
// no acknowledgement now is down or partitioned; after clusterconfig.InForceAfter it makes no
// decisions by an old version. A controller in Absent without an acknowledgement is included only
// if it leads without recorded support, or if a peer reports it as an earlier version.
func (c *Client) NotReady(v *View) []string {
	var out []string
	for _, name := range c.allControllers(v) {
		a, acked := v.Acks[name]
		mayLackAck := v.SupportsConfig[name] || slices.Contains(c.Absent, name)
		switch {
		case acked && a.Format >= clusterconfig.Format:
		case acked, !mayLackAck, reportedOlder(v, name), name == v.Leader && !v.SupportsConfig[name]:
			out = append(out, name)
		}
	}
	return out
}

// reportedOlder reports whether any acknowledgement names a controller as one of an earlier version
// of the program.
func reportedOlder(v *View, name string) bool {
	for _, a := range v.Acks {
		if slices.Contains(a.OlderPeers, name) {
			return true
		}
	}
	return false
}

// NotReporting returns the expected controllers without an acknowledgement.
func (c *Client) NotReporting(v *View) []string {
	return slices.DeleteFunc(c.expectedControllers(v), func(name string) bool {
		_, acked := v.Acks[name]
		return acked
	})
}

// allControllers returns the controllers known to the caller or to any controller, sorted.
func (c *Client) allControllers(v *View) []string {
	all := slices.Clone(c.Controllers)
	for name, a := range v.Acks {
		all = append(append(all, name), a.Peers...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// expectedControllers returns all controllers except those in Absent.
func (c *Client) expectedControllers(v *View) []string {
	return slices.DeleteFunc(c.allControllers(v), func(name string) bool { return slices.Contains(c.Absent, name) })
}

// Rollout is the progress of a change: when it came into force, and on which controllers.
type Rollout struct {
	ConfirmedAfter map[string]time.Duration // by controller that acknowledged the change
	// EverywhereAfter is the time until no controller could decide by an older version: all of them
	// acknowledged the change, or clusterconfig.InForceAfter passed for those that didn't.
	EverywhereAfter time.Duration
	// Unconfirmed lists the controllers that did not acknowledge the change.
	Unconfirmed []string
}

// AwaitInForce waits until the change m is in force on every controller. before is the view that
// was read before the change; the durations in the result count from started. If ctx ends first,
// it returns ErrNotInForce with the progress so far.
func (c *Client) AwaitInForce(ctx context.Context, before *View, m *ApplyResult, started time.Time) (*Rollout, error) {
	bound := m.AnsweredAt.Add(time.Duration(clusterconfig.InForceAfter) * time.Microsecond)
	out := &Rollout{ConfirmedAfter: map[string]time.Duration{}}
	lastErr := ErrNotInForce
	for {
		v := newView()
		err := c.readAcks(ctx, v)
		if err == nil {
			for name, a := range v.Acks {
				if _, confirmed := out.ConfirmedAfter[name]; !confirmed && a.HeadRevision >= m.HeadRevision {
					out.ConfirmedAfter[name] = time.Since(started)
				}
			}
			out.EverywhereAfter, out.Unconfirmed = time.Since(started), c.unconfirmed(v, out)
			if len(out.Unconfirmed) == 0 && len(c.NotReporting(v)) == 0 {
				return out, nil
			}
			if time.Now().After(bound) {
				if lastErr = checkTimeBound(before, v); lastErr == nil {
					return out, nil
				}
			}
		}
		if !wait.For(ctx, pollInterval) {
			return out, lastErr
		}
	}
}

// checkTimeBound returns an error if the time bound may not hold for a controller that doesn't
// report. The bound doesn't hold for an earlier version of the program, which uses only its files.
// Such a controller can't be distinguished from one that is down, unless it leads.
func checkTimeBound(before, now *View) error {
	_, ackedBefore := before.Acks[now.Leader]
	_, acksNow := now.Acks[now.Leader]
	if now.Leader != "" && !ackedBefore && !acksNow {
		return fmt.Errorf("%w: leader %s does not acknowledge configuration: it may run an earlier version", ErrNotInForce, now.Leader)
	}
	return nil
}

// ackCommonPrefix is the common part of clusterconfig.AckPrefix and clusterconfig.KnownPrefix.
const ackCommonPrefix = "d/"

// unconfirmed returns the expected controllers that have not acknowledged a change.
func (c *Client) unconfirmed(v *View, r *Rollout) []string {
	var out []string
	for _, name := range c.expectedControllers(v) {
		if _, confirmed := r.ConfirmedAfter[name]; !confirmed {
			out = append(out, name)
		}
	}
	return out
}

// inForceEverywhere reports whether every expected controller acknowledges the version whose head
// has the given revision, or a later one.
func (c *Client) inForceEverywhere(v *View, revision uint64) bool {
	for _, name := range c.expectedControllers(v) {
		if v.Acks[name].HeadRevision < revision {
			return false
		}
	}
	return true
}
