package statestore

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Shares and factors of the pages' rate. docs/design/lists.md weighs them.
const (
	maxPageShare   = 0.68                   // of the service's rate: the highest rate of one client's pages
	totalPageShare = 0.8                    // of the service's rate: the rate of all clients' pages
	minPageShare   = 0.02                   // of the service's rate: the lowest rate of pages
	pageIncrease   = 0.03                   // of the service's rate, per second
	pageDecrease   = 0.7                    // factor after a refused request
	decreasePause  = 200 * time.Millisecond // refusals within it count as one
	pageBurst      = 0.1                    // of the service's rate: short lists are not paced
	listReserve    = 0.25                   // of the client's read budget that pages leave to other requests
)

// pagePacer limits the rate of pages. The clients that list share totalPageShare of the service's
// rate, as far as they know of each other. Within that, the rate follows the service's refusals by
// additive increase and multiplicative decrease. All lists of a client share a pacer. It is safe for
// concurrent use.
type pagePacer struct {
	mu          sync.Mutex
	limiter     *rate.Limiter
	serviceRate float64 // requests per second; 0 means no limit
	max         float64 // pages per second
	changedAt   time.Time
	decreasedAt time.Time
}

// newPagePacer returns a pacer for a service that serves rps requests per second; 0 means no limit.
func newPagePacer(rps float64) *pagePacer {
	p := &pagePacer{limiter: rate.NewLimiter(rate.Inf, max(int(rps*pageBurst), 1)), serviceRate: rps}
	p.share(1)
	return p
}

// share divides the rate between the given number of clients that list.
func (p *pagePacer) share(clients int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	highest := p.serviceRate * min(maxPageShare, totalPageShare/float64(max(clients, 1)))
	if p.serviceRate <= 0 || highest == p.max {
		return
	}
	p.max = highest
	p.limiter.SetLimit(rate.Limit(highest))
}

// wait waits until the rate permits a page.
func (p *pagePacer) wait(ctx context.Context) error { return p.limiter.Wait(ctx) }

// rate returns the present limit, in pages per second.
func (p *pagePacer) rate() float64 { return float64(p.limiter.Limit()) }

// succeeded raises the rate in proportion to the time since its last change.
func (p *pagePacer) succeeded(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.serviceRate <= 0 {
		return
	}
	// A pause without pages tells nothing about what the service bears.
	elapsed := min(now.Sub(p.changedAt), decreasePause).Seconds()
	p.changedAt = now
	p.limiter.SetLimitAt(now, rate.Limit(min(p.rate()+p.serviceRate*pageIncrease*elapsed, p.max)))
}

// refused lowers the rate after the service refused a request of this client for its rate.
func (p *pagePacer) refused(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.serviceRate <= 0 || now.Sub(p.decreasedAt) < decreasePause {
		return
	}
	p.changedAt, p.decreasedAt = now, now
	p.limiter.SetLimitAt(now, rate.Limit(max(p.rate()*pageDecrease, p.serviceRate*minPageShare)))
}
