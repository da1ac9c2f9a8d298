package statestore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"

	"aspenstall/internal/wait"
	"aspenstall/internal/wire"
)

// pageSize is the number of keys that a page may have at most (PROTOCOL, "GET /keys").
const pageSize = 1000

const (
	pageTimeout      = 2 * RequestTimeout
	minPageRetry     = 50 * time.Millisecond
	maxPageRetry     = 500 * time.Millisecond // bounds the delay after an outage
	progressInterval = 2 * time.Second
)

// ListProgress describes how far a list has been read.
type ListProgress struct {
	Prefix         string
	Pages, Keys    int
	Refused        int     // pages that the service refused; they were requested again
	Failed         int     // pages without a response in time; they were requested again
	PagesPerSecond float64 // present limit on the rate of pages; +Inf for none
	Elapsed        time.Duration
	Complete       bool
	LastErr        error // of the last page that was refused or failed
}

// ObserveLists sets a function that is called every two seconds during a list, and after a list
// that took longer. It must be set before the client is used; lists may call it concurrently.
func (c *Client) ObserveLists(observe func(ListProgress)) { c.observeList = observe }

// ShareLists divides the rate of pages between the given number of clients that list at present,
// with this one. The number may be a guess: refusals lower the rate further.
func (c *Client) ShareLists(clients int) { c.pages.share(clients) }

// lister reads the pages of one list.
type lister struct {
	client     *Client
	progress   ListProgress
	started    time.Time
	reportedAt time.Time
}

// List reads all keys with the prefix. It returns them with the revision of the first page: a
// watch from that revision finds every later change. It fails like ListPages.
func (c *Client) List(ctx context.Context, prefix string) ([]wire.Entry, uint64, error) {
	var all []wire.Entry
	revision, err := c.ListPages(ctx, prefix, func(page []wire.Entry) error {
		all = append(all, page...)
		return nil
	})
	if err != nil {
		return nil, 0, err
	}
	return all, revision, nil
}

// ListPages reads all keys with the prefix and passes them to handle page by page, so that a long list
// is not held as a whole. It returns the revision of the first page, and fails with the error of
// handle.
//
// A page that is refused, lost or late is requested again until ctx ends, so a list fails only if
// ctx ends or the service finds the request invalid. The pages are paced by what the service bears;
// see docs/design/lists.md.
func (c *Client) ListPages(ctx context.Context, prefix string, handle func(page []wire.Entry) error) (revision uint64, err error) {
	l := &lister{client: c, progress: ListProgress{Prefix: prefix}, started: time.Now(), reportedAt: time.Now()}
	for since := ""; ; {
		page, err := l.readPage(ctx, since)
		if err != nil {
			return 0, fmt.Errorf("list %s: %w", prefix, err)
		}
		if since == "" {
			revision = page.Revision
		}
		l.progress.Pages, l.progress.Keys = l.progress.Pages+1, l.progress.Keys+len(page.Items)
		if len(page.Items) > 0 {
			since = page.Items[len(page.Items)-1].Key
			if err := handle(page.Items); err != nil {
				return 0, fmt.Errorf("list %s: %w", prefix, err)
			}
		}
		if !page.More || len(page.Items) == 0 {
			l.finish()
			return revision, nil
		}
		l.report()
	}
}

// readPage reads the page after the key since, and requests it again until there is a response.
func (l *lister) readPage(ctx context.Context, since string) (*wire.Entries, error) {
	path := wire.KeysPath + "?starts=" + url.QueryEscape(l.progress.Prefix) + "&limit=" + strconv.Itoa(pageSize)
	if since != "" {
		path += "&since=" + url.QueryEscape(since)
	}
	retry := &backoff.ExponentialBackOff{InitialInterval: minPageRetry, MaxInterval: maxPageRetry, Multiplier: 2, RandomizationFactor: 0.5}
	retry.Reset()
	for {
		if err := l.client.awaitPageBudget(ctx); err != nil {
			return nil, errors.Join(err, l.progress.LastErr)
		}
		var page wire.Entries
		err := l.client.do(ctx, http.MethodGet, path, nil, &page, 0, pageTimeout)
		switch {
		case err == nil:
			l.client.pages.succeeded(time.Now())
			return &page, nil
		case errors.Is(err, ErrInvalid), errors.Is(err, ErrNotFound), errors.Is(err, ErrCompacted), errors.Is(err, ErrConflict):
			return nil, err
		case errors.Is(err, ErrNotExecuted):
			l.progress.Refused++
		default:
			l.progress.Failed++
		}
		l.progress.LastErr = err
		l.report()
		if !wait.For(ctx, retry.NextBackOff()) {
			return nil, errors.Join(ctx.Err(), err)
		}
	}
}

// report passes the progress to the observer if the last time was progressInterval ago.
func (l *lister) report() {
	if time.Since(l.reportedAt) >= progressInterval {
		l.observe()
	}
}

// finish reports the end of a list that took longer than progressInterval.
func (l *lister) finish() {
	if time.Since(l.started) >= progressInterval {
		l.progress.Complete = true
		l.observe()
	}
}

// observe passes the progress to the observer.
func (l *lister) observe() {
	now := time.Now()
	l.reportedAt = now
	if l.client.observeList == nil {
		return
	}
	l.progress.Elapsed = now.Sub(l.started)
	l.progress.PagesPerSecond = l.client.pages.rate()
	l.client.observeList(l.progress)
}

// awaitPageBudget waits until the pacer and the client's budget permit a page.
func (c *Client) awaitPageBudget(ctx context.Context) error {
	if err := c.pages.wait(ctx); err != nil {
		return err
	}
	for c.reads.Limit() != rate.Inf {
		missing := float64(c.reads.Burst())*listReserve + 1 - c.reads.Tokens()
		if missing <= 0 {
			return nil
		}
		if !wait.For(ctx, time.Duration(missing/float64(c.reads.Limit())*float64(time.Second))) {
			return ctx.Err()
		}
	}
	return nil
}
