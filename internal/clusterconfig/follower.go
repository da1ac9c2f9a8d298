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
const FreshFor = 2500 * core.Millisecond

// InForceAfter is how long after the write of a version was answered no controller can
// decide by an older one: FreshFor by a clock that is slower by the drift, and a margin
// between the check and what is decided.
const InForceAfter = FreshFor + FreshFor/500 + 100*core.Millisecond

// Follower follows the records as they are read, in any order that overlapping reads give.
// It is not safe for concurrent use.
type Follower struct {
	records  Records
	stamps   map[string]uint64 // of pages
	config   *Config
	number   uint64
	acted    uint64 // the head's stamp as of config
	err      error
	unread   bool // something came since the last Resolve
	notified error
}

// NewFollower returns a follower that knows of no configuration.
func NewFollower() *Follower {
	return &Follower{records: Records{Pages: map[string]Page{}}, stamps: map[string]uint64{}, config: &Config{}}
}

// Head takes the head as it was at a revision; one that could not be read has an error.
func (f *Follower) Head(h Head, stamp uint64, err error) {
	if stamp <= f.records.Stamp {
		return
	}
	f.records.Head, f.records.Stamp, f.err, f.unread = h, stamp, err, true
}

// Page takes a page as it was at a revision. Its key says what it holds, so that one of an
// older read does no harm: nothing names it, or it is what is named.
func (f *Follower) Page(key string, p Page, stamp uint64) {
	if stamp < f.stamps[key] {
		return
	}
	f.records.Pages[key], f.stamps[key], f.unread = p, stamp, true
}

// Drop takes that a page is gone since a revision.
func (f *Follower) Drop(key string, stamp uint64) {
	if f.stamps[key] > stamp {
		return
	}
	delete(f.records.Pages, key)
	delete(f.stamps, key)
	f.unread = true
}

// Resolve puts together what has come. It reports whether another version is to be acted by
// now, and an error once for each reason why the latest can't be.
func (f *Follower) Resolve() (changed bool, err error) {
	if !f.unread {
		return false, nil
	}
	f.unread = false
	if f.records.Stamp <= f.acted {
		return false, nil
	}
	if f.err == nil {
		var c *Config
		if c, f.err = f.records.Config(); f.err == nil {
			f.config, f.number, f.acted, f.notified = c, f.records.Head.Number, f.records.Stamp, nil
			f.forget()
			return true, nil
		}
	}
	err = f.err
	if errors.Is(err, ErrIncomplete) {
		f.err = nil // the page, or a newer head, is under way
	}
	if f.notified != nil && f.notified.Error() == err.Error() {
		return false, nil
	}
	f.notified = err
	return false, err
}

// forget drops pages that the head does not name and that are older than it: whoever wrote
// them can't write a head any more that names them.
func (f *Follower) forget() {
	named := map[string]bool{}
	for _, key := range f.records.Head.Pages {
		named[key] = true
	}
	for key, stamp := range f.stamps {
		if !named[key] && stamp < f.records.Stamp {
			delete(f.records.Pages, key)
			delete(f.stamps, key)
		}
	}
}

// Config is the configuration to act by.
func (f *Follower) Config() *Config { return f.config }

// Acted is the version acted by: its number and its head's stamp; 0, 0 if there is none.
func (f *Follower) Acted() (number, stamp uint64) { return f.number, f.acted }

// Enabled reports whether there is a configuration at all.
func (f *Follower) Enabled() bool { return f.records.Stamp > 0 }

// Current reports whether the latest version that was read is the one acted by: otherwise
// nothing may be decided by it.
func (f *Follower) Current() bool { return f.records.Stamp == f.acted }

// FreshUntil is until when something may be decided by the configuration, by what was asked of
// the state service at a time and has been answered since.
func (f *Follower) FreshUntil(asked core.Micros) core.Micros {
	switch {
	case !f.Enabled():
		return core.MaxMicros
	case !f.Current():
		return 0
	}
	return asked + FreshFor
}

// MayDecide reports whether something may be decided by the configuration now.
func (f *Follower) MayDecide(now, asked core.Micros) bool { return now < f.FreshUntil(asked) }
