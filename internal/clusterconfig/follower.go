package clusterconfig

import (
	"errors"

	"aspenstall/internal/core"
)

// FreshnessTTL is how long a read of the state service remains valid for decisions: a placement
// or the start of a task needs a read that began within this time. Once it has passed after a
// change by operators, plus the drift of clocks, no controller decides by an older version: one
// that has not read the change makes no such decisions.
//
// The watch starts a read at least every second. The remaining 1.5 s allow for a slow response
// and a lost one.
const FreshnessTTL = 2500 * core.Millisecond

// InForceAfter is how long after the response to the write of a version controllers may still
// decide by an older one: FreshnessTTL on a clock that is slower by the drift
// (0.2%), and a margin of 100 ms between the check and the decision.
const InForceAfter = FreshnessTTL + FreshnessTTL/500 + 100*core.Millisecond

// Follower tracks the configuration's records as they are read. Overlapping reads may deliver
// them in any order. A Follower is not safe for concurrent use.
type Follower struct {
	records           Records
	pageRevisions     map[string]uint64 // by page key
	config            *Config
	version           uint64
	effectiveRevision uint64 // revision of the head that config was read from
	resolveErr        error  // why the stored head can't be used; nil: not found unusable
	pending           bool   // records changed since the last Resolve
	reportedErr       error
}

// NewFollower returns a follower without a configuration.
func NewFollower() *Follower {
	return &Follower{records: Records{Pages: map[string]Page{}}, pageRevisions: map[string]uint64{}, config: &Config{}}
}

// UpdateHead stores the head as of a revision; err is the error of decoding it. An older head than
// the stored one is ignored.
func (f *Follower) UpdateHead(h Head, revision uint64, err error) {
	if revision <= f.records.HeadRevision {
		return
	}
	f.records.Head, f.records.HeadRevision, f.resolveErr, f.pending = h, revision, err, true
}

// UpdatePage stores a page as of a revision. A page's key is the hash of its content, so a page
// from an older read is harmless: either no head names it, or its content is the one that is named.
func (f *Follower) UpdatePage(key string, p Page, revision uint64) {
	if revision < f.pageRevisions[key] {
		return
	}
	f.records.Pages[key], f.pageRevisions[key], f.pending = p, revision, true
}

// DropPage deletes a page that was deleted at a revision, unless it was written again later.
func (f *Follower) DropPage(key string, revision uint64) {
	if f.pageRevisions[key] > revision {
		return
	}
	delete(f.records.Pages, key)
	delete(f.pageRevisions, key)
	f.pending = true
}

// Resolve assembles the configuration from the records read so far. It reports whether the
// effective version changed. If the latest version can't be used, it returns the reason as an
// error, and the same reason only once in a row.
func (f *Follower) Resolve() (changed bool, err error) {
	if !f.pending {
		return false, nil
	}
	f.pending = false
	if f.records.HeadRevision <= f.effectiveRevision {
		return false, nil
	}
	if f.resolveErr == nil {
		var c *Config
		if c, f.resolveErr = f.records.Config(); f.resolveErr == nil {
			f.config, f.version, f.effectiveRevision, f.reportedErr = c, f.records.Head.Version, f.records.HeadRevision, nil
			f.dropUnreferencedPages()
			return true, nil
		}
	}
	err = f.resolveErr
	if errors.Is(err, ErrPageMissing) {
		f.resolveErr = nil // the page or a newer head has yet to be read
	}
	if f.reportedErr != nil && f.reportedErr.Error() == err.Error() {
		return false, nil
	}
	f.reportedErr = err
	return false, err
}

// dropUnreferencedPages deletes the pages that the head doesn't name and that are older than it.
// No head that names them can follow, since it would be conditional on an older head.
func (f *Follower) dropUnreferencedPages() {
	named := map[string]bool{}
	for _, key := range f.records.Head.Pages {
		named[key] = true
	}
	for key, revision := range f.pageRevisions {
		if !named[key] && revision < f.records.HeadRevision {
			delete(f.records.Pages, key)
			delete(f.pageRevisions, key)
		}
	}
}

// Config returns the effective version of the operators' configuration.
func (f *Follower) Config() *Config { return f.config }

// EffectiveVersion returns the version in use and the revision of its head; 0, 0 if there is none.
func (f *Follower) EffectiveVersion() (version, headRevision uint64) {
	return f.version, f.effectiveRevision
}

// Enabled reports whether a head record exists.
func (f *Follower) Enabled() bool { return f.records.HeadRevision > 0 }

// Current reports whether the version in use is the latest that was read. If it isn't, the
// configuration must not be used for decisions.
func (f *Follower) Current() bool { return f.records.HeadRevision == f.effectiveRevision }

// FreshUntil returns the time until which the configuration may be used for decisions: without
// limit if no head exists, and 0 if the latest version that was read is not in use. readStarted is
// when the last answered read of the state service began.
func (f *Follower) FreshUntil(readStarted core.Micros) core.Micros {
	switch {
	case !f.Enabled():
		return core.MaxMicros
	case !f.Current():
		return 0
	}
	return readStarted + FreshnessTTL
}

// MayDecide reports whether the configuration may be used for a decision now. readStarted is when
// the last answered read of the state service began.
func (f *Follower) MayDecide(now, readStarted core.Micros) bool {
	return now < f.FreshUntil(readStarted)
}
