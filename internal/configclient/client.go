// Package configclient changes the cluster's configuration through the state service's
// published protocol, and finds out where a change is in force.
package configclient

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"aspenstall/internal/clusterconfig"
	"aspenstall/internal/core"
	"aspenstall/internal/statestore"
	"aspenstall/internal/wait"
	"aspenstall/internal/wire"
)

// Errors that callers tell apart.
var (
	// ErrNotReady: a controller does not say that it knows configuration records.
	ErrNotReady = errors.New("not every controller says that it knows configuration records")
	// ErrConflict: somebody else changed the configuration meanwhile.
	ErrConflict = errors.New("the configuration was changed meanwhile")
	// ErrUnknown: whether the change was made could not be found out.
	ErrOutcomeUnknown = errors.New("whether the change was made is not known")
	// ErrNotInForce: the change is made and could not be seen to be in force.
	ErrNotInForce = errors.New("the change is made, and not known to be in force")
	// ErrLive: a team that is to be removed has jobs that are not over.
	ErrTeamHasJobs = errors.New("the team has jobs that are not over")
)

// Client changes the configuration. Its store's budget of requests is the caller's.
type Client struct {
	Store  *statestore.Client
	Base   clusterconfig.Base
	Limits clusterconfig.Limits
	// Controllers are all that there are; Absent are those of them that are known to be
	// down for good, and are not asked for.
	Controllers, Absent []string
}

// View is what the state service holds.
type View struct {
	Records        clusterconfig.Records
	Config         *clusterconfig.Config
	Acks           map[string]clusterconfig.Ack // by controller, of those that are heard
	SupportsConfig map[string]bool              // controllers that have said that they know configuration
	Leader         string                       // "" if nobody leads
}

// pollEvery is between two looks at the state service.
const pollInterval = 50 * time.Millisecond

// Read reads the configuration and what the controllers say of it.
func (c *Client) Read(ctx context.Context) (*View, error) {
	entries, _, err := c.Store.List(ctx, clusterconfig.Prefix)
	if err != nil {
		return nil, err
	}
	v := newView()
	for _, e := range entries {
		switch {
		case e.Key == clusterconfig.HeadKey:
			v.Records.Head, err = wire.DecodeConfigHead(e.Value)
			v.Records.HeadRevision = e.ModRevision
		case strings.HasPrefix(e.Key, clusterconfig.PagePrefix):
			v.Records.Pages[e.Key], err = wire.DecodeConfigPage(e.Value)
		}
		if err != nil {
			return nil, err
		}
	}
	if v.Config, err = v.Records.Config(); err != nil {
		return nil, err
	}
	return v, c.readAcks(ctx, v)
}

func newView() *View {
	return &View{
		Records: clusterconfig.Records{Pages: map[string]clusterconfig.Page{}},
		Acks:    map[string]clusterconfig.Ack{}, SupportsConfig: map[string]bool{},
	}
}

// Ready makes sure that every controller knows configuration records: the first time it
// writes a head that changes nothing, which controllers of an earlier version ignore.
func (c *Client) EnsureReady(ctx context.Context) (*View, error) {
	var last *View // that was read
	var failed error
	for {
		v, err := c.Read(ctx)
		if err == nil && v.Records.HeadRevision == 0 {
			_, err = c.write(ctx, v, &clusterconfig.Config{}, "enable")
			if err == nil {
				continue
			}
		}
		switch {
		case errors.Is(err, clusterconfig.ErrNewerFormat), errors.Is(err, clusterconfig.ErrTooLarge):
			return nil, err
		case err != nil:
			failed = err
		case len(c.NotReady(v)) == 0:
			return v, nil
		default:
			last = v
		}
		if !wait.For(ctx, pollInterval) {
			break
		}
	}
	if last != nil {
		return last, fmt.Errorf("%w: %s", ErrNotReady, strings.Join(c.NotReady(last), ", "))
	}
	return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, failed)
}

// Made is a change that was made.
type ApplyResult struct {
	Version      uint64
	HeadRevision uint64
	// Answered is when the write was answered, or found out to have been carried out before:
	// it was made by then.
	AnsweredAt time.Time
}

// Apply writes a configuration over what was read. id names the change: one that was made
// already, as its answer was lost, is not made again.
func (c *Client) Apply(ctx context.Context, v *View, to *clusterconfig.Config, id string) (*ApplyResult, error) {
	if n, ok := v.Records.Head.VersionOfChange(id); ok {
		return &ApplyResult{Version: n, HeadRevision: v.Records.HeadRevision, AnsweredAt: time.Now()}, nil
	}
	if p := to.Check(&c.Base); p != nil {
		return nil, p
	}
	if err := c.checkRemovals(ctx, v, to); err != nil {
		return nil, err
	}
	return c.write(ctx, v, to, id)
}

// mayRemove fails if a team that is removed may have jobs: it has to be draining in the
// version that is in force, so that none can come, and all its jobs have to be over.
func (c *Client) checkRemovals(ctx context.Context, v *View, to *clusterconfig.Config) error {
	gone := clusterconfig.RemovedTeams(v.Config, to, &c.Base)
	if len(gone) == 0 {
		return nil
	}
	for _, name := range gone {
		if !v.Config.Teams[name].Draining {
			return fmt.Errorf("%w: team %q is not draining: first let it, until its jobs are over", ErrTeamHasJobs, name)
		}
	}
	if !c.inForceEverywhere(v, v.Records.HeadRevision) {
		return fmt.Errorf("%w: that team %q is draining", ErrNotInForce, gone[0])
	}
	entries, _, err := c.Store.List(ctx, wire.JobPrefix)
	if err != nil {
		return err
	}
	for _, e := range entries {
		rec, err := wire.DecodeJob(strings.TrimPrefix(e.Key, wire.JobPrefix), e.Value, e.ModRevision)
		if err != nil {
			return err
		}
		if rec.Phase == core.Pending && slices.Contains(gone, rec.Spec.Team) {
			return fmt.Errorf("%w: %s of team %q", ErrTeamHasJobs, rec.Spec.ID, rec.Spec.Team)
		}
	}
	return nil
}

// write writes a version, until it is known whether that was done: the same transaction
// again has no effect once it was carried out, and voids one that is still under way.
func (c *Client) write(ctx context.Context, v *View, to *clusterconfig.Config, id string) (*ApplyResult, error) {
	plan, err := clusterconfig.PlanChange(&v.Records, to, id, c.Limits, wire.ConfigCodec{})
	if err != nil {
		return nil, err
	}
	for i, writes := range plan.Transactions {
		stamp, err := c.commit(ctx, plan.HeadRevision, writes)
		if errors.Is(err, statestore.ErrConflict) {
			return c.findChange(ctx, id)
		}
		if err != nil {
			return nil, err
		}
		if i == len(plan.Transactions)-1 {
			made := &ApplyResult{Version: plan.Version, HeadRevision: stamp, AnsweredAt: time.Now()}
			c.deleteUnusedPages(ctx, stamp, plan.UnusedPages)
			return made, nil
		}
	}
	return nil, ErrOutcomeUnknown
}

// commit carries out a transaction on condition that the head is the one that was read. It
// goes on trying while there is no answer.
func (c *Client) commit(ctx context.Context, head uint64, writes []clusterconfig.Write) (uint64, error) {
	txn := &wire.Txn{If: []wire.Cond{{Key: clusterconfig.HeadKey, ModRevision: head}}}
	for _, w := range writes {
		if w.Head == nil && w.Page == nil {
			txn.Then = append(txn.Then, wire.Write{Delete: w.Key})
			continue
		}
		b, err := wire.ConfigCodec{}.Encode(w)
		if err != nil {
			return 0, err
		}
		txn.Then = append(txn.Then, wire.Write{Put: w.Key, Value: b})
	}
	for {
		stamp, err := c.Store.Commit(ctx, txn)
		if err == nil || errors.Is(err, statestore.ErrConflict) || errors.Is(err, statestore.ErrInvalid) {
			return stamp, err
		}
		if !wait.For(ctx, pollInterval) {
			return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
	}
}

// find finds out whether a change was made by an earlier try, or lost to another.
func (c *Client) findChange(ctx context.Context, id string) (*ApplyResult, error) {
	for {
		v, err := c.Read(ctx)
		if err == nil {
			if n, ok := v.Records.Head.VersionOfChange(id); ok {
				return &ApplyResult{Version: n, HeadRevision: v.Records.HeadRevision, AnsweredAt: time.Now()}, nil
			}
			return nil, fmt.Errorf("%w: it is version %d now", ErrConflict, v.Records.Head.Version)
		}
		if !wait.For(ctx, pollInterval) {
			return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
	}
}

// dropOld drops pages that nothing names any more, as far as that can be done now: the next
// change's are dropped with it.
func (c *Client) deleteUnusedPages(ctx context.Context, head uint64, keys []string) {
	for len(keys) > 0 {
		n := min(len(keys), c.Limits.TxnOps)
		txn := &wire.Txn{If: []wire.Cond{{Key: clusterconfig.HeadKey, ModRevision: head}}}
		for _, key := range keys[:n] {
			txn.Then = append(txn.Then, wire.Write{Delete: key})
		}
		if _, err := c.Store.Commit(ctx, txn); err != nil {
			return
		}
		keys = keys[n:]
	}
}
