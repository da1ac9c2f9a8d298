package clusterconfig

import (
	"errors"

	"aspenstall/internal/core"
)

// FreshFor is how long what was read of the state service may be decided by: a placement, or
// the start of a task, needs a read that began within that time. What operators change is in
// force after it, and after the drift of clocks, whatever a controller has heard.
//
// The watch begins a read at least every second; the other second and a half are for a slow
// answer and one that is lost.
const FreshnessTTL = 2500 * core.Millisecond

// InForceAfter is how long after the write of a version was answered no controller can
// decide by an older one: FreshFor by a clock that is slower by the drift, and a margin
// between the check and what is decided.
const InForceAfter = FreshnessTTL + FreshnessTTL/500 + 100*core.Millisecond

// Follower follows the records as they are read, in any order that overlapping reads give.
// It is not safe for concurrent use.
type Follower struct {
	records           Records
	pageRevisions     map[string]uint64 // of pages
	config            *Config
	version           uint64
	effectiveRevision uint64 // the head's stamp as of config
	headErr           error
	pending           bool // something came since the last Resolve
	reportedErr       error
}

// NewFollower returns a follower that knows of no configuration.
func NewFollower() *Follower {
	return &Follower{records: Records{Pages: map[string]Page{}}, pageRevisions: map[string]uint64{}, config: &Config{}}
}

// Head takes the head as it was at a revision; one that could not be read has an error.
func (f *Follower) UpdateHead(h Head, stamp uint64, err error) {
	if stamp <= f.records.HeadRevision {
		return
	}
	f.records.Head, f.records.HeadRevision, f.headErr, f.pending = h, stamp, err, true
}

// Page takes a page as it was at a revision. Its key says what it holds, so that one of an
// older read does no harm: nothing names it, or it is what is named.
func (f *Follower) UpdatePage(key string, p Page, stamp uint64) {
	if stamp < f.pageRevisions[key] {
		return
	}
	f.records.Pages[key], f.pageRevisions[key], f.pending = p, stamp, true
}

// Drop takes that a page is gone since a revision.
func (f *Follower) DropPage(key string, stamp uint64) {
	if f.pageRevisions[key] > stamp {
		return
	}
	delete(f.records.Pages, key)
	delete(f.pageRevisions, key)
	f.pending = true
}

// Resolve puts together what has come. It reports whether another version is to be acted by
// now, and an error once for each reason why the latest can't be.
func (f *Follower) Resolve() (changed bool, err error) {
	if !f.pending {
		return false, nil
	}
	f.pending = false
	if f.records.HeadRevision <= f.effectiveRevision {
		return false, nil
	}
	if f.headErr == nil {
		var c *Config
		if c, f.headErr = f.records.Config(); f.headErr == nil {
			f.config, f.version, f.effectiveRevision, f.reportedErr = c, f.records.Head.Version, f.records.HeadRevision, nil
			f.dropUnreferencedPages()
			return true, nil
		}
	}
	err = f.headErr
	if errors.Is(err, ErrPageMissing) {
		f.headErr = nil // the page, or a newer head, is under way
	}
	if f.reportedErr != nil && f.reportedErr.Error() == err.Error() {
		return false, nil
	}
	f.reportedErr = err
	return false, err
}

// forget drops pages that the head does not name and that are older than it: whoever wrote
// them can't write a head any more that names them.
func (f *Follower) dropUnreferencedPages() {
	named := map[string]bool{}
	for _, key := range f.records.Head.Pages {
		named[key] = true
	}
	for key, stamp := range f.pageRevisions {
		if !named[key] && stamp < f.records.HeadRevision {
			delete(f.records.Pages, key)
			delete(f.pageRevisions, key)
		}
	}
}

// Config is the configuration to act by.
func (f *Follower) Config() *Config { return f.config }

// Acted is the version acted by: its number and its head's stamp; 0, 0 if there is none.
func (f *Follower) EffectiveVersion() (number, stamp uint64) { return f.version, f.effectiveRevision }

// Enabled reports whether there is a configuration at all.
func (f *Follower) Enabled() bool { return f.records.HeadRevision > 0 }

// Current reports whether the latest version that was read is the one acted by: otherwise
// nothing may be decided by it.
func (f *Follower) Current() bool { return f.records.HeadRevision == f.effectiveRevision }

// FreshUntil is until when something may be decided by the configuration, by what was asked of
// the state service at a time and has been answered since.
func (f *Follower) FreshUntil(asked core.Micros) core.Micros {
	switch {
	case !f.Enabled():
		return core.MaxMicros
	case !f.Current():
		return 0
	}
	return asked + FreshnessTTL
}

// MayDecide reports whether something may be decided by the configuration now.
func (f *Follower) MayDecide(now, asked core.Micros) bool { return now < f.FreshUntil(asked) }
