// Package configclient changes the cluster's configuration through the state service's published
// protocol, and determines on which controllers a change is in force.
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
	"aspenstall/internal/txn"
	"aspenstall/internal/wait"
	"aspenstall/internal/wire"
)

// Errors that callers distinguish.
var (
	// ErrNotReady means that a controller has not confirmed that it supports configuration records.
	ErrNotReady = errors.New("not every controller says that it knows configuration records")
	// ErrConflict means that the configuration was changed by another client since it was read.
	ErrConflict = errors.New("the configuration was changed meanwhile")
	// ErrOutcomeUnknown means that the state service did not respond, so the change may or may not
	// have been made.
	ErrOutcomeUnknown = errors.New("whether the change was made is not known")
	// ErrNotInForce means that the change was made, but not confirmed to be in force everywhere.
	ErrNotInForce = errors.New("the change is made, and not known to be in force")
	// ErrTeamHasJobs means that a team to be removed has unfinished jobs, or may still get new
	// ones.
	ErrTeamHasJobs = errors.New("the team has jobs that are not over")
)

// Client changes the configuration. The caller sets the store's request budget.
type Client struct {
	Store  *statestore.Client
	Base   clusterconfig.Base
	Limits clusterconfig.Limits
	// Controllers lists all controllers in the platform's file. Absent lists those of them that
	// are permanently down; no acknowledgement of them is awaited.
	Controllers, Absent []string
}

// View is the configuration and the controllers' acknowledgements as read from the state service.
type View struct {
	Records        clusterconfig.Records
	Config         *clusterconfig.Config
	Acks           map[string]clusterconfig.Ack // by controller; only those that hold a lease
	SupportsConfig map[string]bool              // controllers that ever recorded support for configuration records
	Leader         string                       // "" if there is no leader
}

// pollInterval is the time between two reads of the state service, and between retries.
const pollInterval = 50 * time.Millisecond

// Read reads the configuration and the controllers' acknowledgements.
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
			v.Records.PageRevisions[e.Key] = e.ModRevision
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

// newView returns an empty view.
func newView() *View {
	return &View{
		Records: clusterconfig.Records{Pages: map[string]clusterconfig.Page{}, PageRevisions: map[string]uint64{}},
		Acks:    map[string]clusterconfig.Ack{}, SupportsConfig: map[string]bool{},
	}
}

// EnsureReady waits until every controller supports configuration records, and returns the view. If
// there is no head yet, it first writes one that changes nothing; earlier versions of the program
// ignore it. If ctx ends first, it returns ErrNotReady, or ErrOutcomeUnknown if it could not read
// the configuration or write the head.
func (c *Client) EnsureReady(ctx context.Context) (*View, error) {
	var last *View // the last view that was not ready
	var lastErr error
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
			lastErr = err
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
	return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, lastErr)
}

// ApplyResult is the result of a change that was made.
type ApplyResult struct {
	Version      uint64
	HeadRevision uint64
	// AnsweredAt is when the response to the write arrived, or when the write was found to have
	// been executed earlier. The change was made by then.
	AnsweredAt time.Time
}

// Apply replaces the configuration that was read into v by another. id identifies the change: a
// change that was already made, and whose response was lost, is not made again. Apply returns a
// clusterconfig.Problem for an invalid configuration, and ErrConflict, ErrTeamHasJobs,
// ErrNotInForce or ErrOutcomeUnknown.
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

// checkRemovals returns an error if a removed team may have unfinished jobs. The team has to be
// draining in a version that is in force on every controller, so that it gets no new jobs, and all
// its jobs have to be finished.
func (c *Client) checkRemovals(ctx context.Context, v *View, to *clusterconfig.Config) error {
	removed := clusterconfig.RemovedTeams(v.Config, to, &c.Base)
	if len(removed) == 0 {
		return nil
	}
	for _, name := range removed {
		if !v.Config.Teams[name].Draining {
			return fmt.Errorf("%w: team %q is not draining: set :draining first, and remove it when its jobs are over", ErrTeamHasJobs, name)
		}
	}
	if !c.inForceEverywhere(v, v.Records.HeadRevision) {
		return fmt.Errorf("%w: that team %q is draining", ErrNotInForce, removed[0])
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
		if rec.Phase == core.Pending && slices.Contains(removed, rec.Spec.Team) {
			return fmt.Errorf("%w: %s of team %q", ErrTeamHasJobs, rec.Spec.ID, rec.Spec.Team)
		}
	}
	return nil
}

// write writes a version. It retries transactions until their outcome is known. A repeated
// transaction has no effect if the first one was executed, and keeps a delayed first one from being
// executed later.
func (c *Client) write(ctx context.Context, v *View, to *clusterconfig.Config, id string) (*ApplyResult, error) {
	plan, err := clusterconfig.PlanChange(&v.Records, to, id, c.Limits, wire.ConfigCodec{})
	if err != nil {
		return nil, err
	}
	for i, writes := range plan.Transactions {
		revision, err := c.commit(ctx, plan.HeadRevision, writes)
		if errors.Is(err, statestore.ErrConflict) {
			return c.findChange(ctx, id)
		}
		if err != nil {
			return nil, err
		}
		if i == len(plan.Transactions)-1 {
			made := &ApplyResult{Version: plan.Version, HeadRevision: revision, AnsweredAt: time.Now()}
			c.deleteUnusedPages(ctx, revision, plan.UnusedPages)
			return made, nil
		}
	}
	return nil, ErrOutcomeUnknown
}

// commit executes a transaction on condition that the head is at the given revision, and returns
// the new revision. It retries until the state service responds or ctx ends.
func (c *Client) commit(ctx context.Context, headRevision uint64, writes []clusterconfig.Write) (uint64, error) {
	request := &wire.Txn{If: []wire.Cond{{Key: clusterconfig.HeadKey, ModRevision: headRevision}}}
	for _, w := range writes {
		if w.Head == nil && w.Page == nil {
			request.Then = append(request.Then, wire.Write{Kind: txn.ConfigChange, Delete: w.Key})
			continue
		}
		b, err := wire.ConfigCodec{}.Encode(w)
		if err != nil {
			return 0, err
		}
		request.Then = append(request.Then, wire.Write{Kind: txn.ConfigChange, Put: w.Key, Value: b})
	}
	for {
		revision, err := c.Store.Commit(ctx, request)
		if err == nil || errors.Is(err, statestore.ErrConflict) || errors.Is(err, statestore.ErrInvalid) {
			return revision, err
		}
		if !wait.For(ctx, pollInterval) {
			return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
	}
}

// findChange determines, after a conflict, whether an earlier attempt made the change. It returns
// ErrConflict if another client's change came first.
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

// deleteUnusedPages deletes pages that the head no longer names. A page that a later change has written
// again has another revision, and is not deleted. It stops at the first error; the next change deletes
// what is left.
func (c *Client) deleteUnusedPages(ctx context.Context, headRevision uint64, pages []clusterconfig.UnusedPage) {
	for len(pages) > 0 {
		n := min(len(pages), c.Limits.TxnOps)
		request := &wire.Txn{If: []wire.Cond{{Key: clusterconfig.HeadKey, ModRevision: headRevision}}}
		for _, page := range pages[:n] {
			request.If = append(request.If, wire.Cond{Key: page.Key, ModRevision: page.Revision})
			request.Then = append(request.Then, wire.Write{Kind: txn.ConfigPagesDropped, Delete: page.Key})
		}
		if _, err := c.Store.Commit(ctx, request); err != nil {
			return
		}
		pages = pages[n:]
	}
}
