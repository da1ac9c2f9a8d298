package clusterconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Keys in the state service.
const (
	Prefix     = "c/config/" // every controller watches it
	HeadKey    = Prefix + "head"
	PagePrefix = Prefix + "page/"
	// AckPrefix is where controllers say which version they act by, under their leases, and
	// KnownPrefix where they have said that they know configuration at all, for good. Nobody
	// watches these.
	AckPrefix   = "d/config/"
	KnownPrefix = "d/known/"
)

// Format is that of the records that this version writes and reads.
const Format = 1

// keptChanges is how many of the last changes the head names, so that whoever got no answer
// finds out whether its change was made.
const maxRecentChanges = 16

// Head is the record that says which version there is.
type Head struct {
	Format        int
	Version       uint64   // of the version: each is one more than the one before
	Pages         []string // keys
	RecentChanges []AppliedChange
	Tuning        Tuning
}

// Applied is a change that was made.
type AppliedChange struct {
	ID      string
	Version uint64
}

// AppliedAs is the number of the version that a change made; false if the head does not
// name it.
func (h *Head) VersionOfChange(id string) (number uint64, ok bool) {
	for _, a := range h.RecentChanges {
		if a.ID == id {
			return a.Version, true
		}
	}
	return 0, false
}

// Page holds some teams.
type Page struct{ Teams map[string]Team }

// Ack is what a controller says of itself.
type Ack struct {
	Format       int // the newest that it reads
	HeadRevision uint64
	Version      uint64
	Peers        []string // the other controllers that it knows
	Error        string   // why it can't act by the version that there is
	// Earlier are the peers whose last word was one of an earlier version of the program.
	OlderPeers []string
}

// Records are what is stored: the head with its version in the state service, and its pages.
type Records struct {
	Head         Head
	HeadRevision uint64 // of the head; 0: there is none
	Pages        map[string]Page
}

// Errors of records.
var (
	// ErrNewer: a newer version of the program wrote the records.
	ErrNewerFormat = errors.New("the configuration was written by a newer version of the program")
	// ErrIncomplete: a page is missing; what drops it is under way.
	ErrPageMissing = errors.New("a page of the configuration is missing")
)

// Config puts the pages together.
func (r *Records) Config() (*Config, error) {
	c := &Config{Teams: map[string]Team{}}
	if r.HeadRevision == 0 {
		return c, nil
	}
	if r.Head.Format > Format {
		return nil, fmt.Errorf("%w: format %d, this one reads %d", ErrNewerFormat, r.Head.Format, Format)
	}
	for _, key := range r.Head.Pages {
		p, ok := r.Pages[key]
		if !ok {
			return nil, fmt.Errorf("%w: %s", ErrPageMissing, key)
		}
		maps.Copy(c.Teams, p.Teams)
	}
	c.Tuning = r.Head.Tuning
	return c, nil
}

// Limits are the state service's: the smallest that can come.
type Limits struct {
	ValueBytes int
	TxnOps     int
}

// Codec turns heads and pages into values. The same page always gives the same value.
type Codec interface {
	Encode(w Write) ([]byte, error)
	// Size is a value's size as the state service counts it, in bytes.
	Size(value []byte) int
}

// Write is a put, of a head or a page, or a drop.
type Write struct {
	Key  string
	Head *Head
	Page *Page
}

// Plan is how a version is written. Every transaction is on condition that the head is the
// one that was read: the former ones, if any, write pages that nobody looks at yet, and the
// last one writes the head. Pages are named by what they hold, so that a late or repeated
// write of one can't replace another.
type Plan struct {
	HeadRevision uint64 // of the head that was read; 0: that there is none
	Transactions [][]Write
	Version      uint64
	// Drops are pages that nothing names any more once the head is written.
	UnusedPages []string
}

// PlanChange says how to write a configuration over records.
func PlanChange(r *Records, to *Config, id string, limits Limits, codec Codec) (*Plan, error) {
	head := Head{Format: Format, Version: r.Head.Version + 1, Tuning: to.Tuning}
	if r.HeadRevision == 0 {
		head.Version = 0 // what enables configuration; it has none yet
	}
	head.RecentChanges = append(slices.Clone(r.Head.RecentChanges), AppliedChange{id, head.Version})
	head.RecentChanges = head.RecentChanges[max(len(head.RecentChanges)-maxRecentChanges, 0):]
	pages, writes, err := assignPages(r, to, limits, codec)
	if err != nil {
		return nil, err
	}
	head.Pages = pages
	last := Write{Key: HeadKey, Head: &head}
	for err := checkSize(last, limits, codec); err != nil; err = checkSize(last, limits, codec) {
		if len(head.RecentChanges) == 1 {
			return nil, fmt.Errorf("the list of %d pages: %w", len(pages), err)
		}
		head.RecentChanges = head.RecentChanges[1:]
	}
	p := &Plan{HeadRevision: r.HeadRevision, Version: head.Version}
	for _, key := range r.Head.Pages {
		if !slices.Contains(pages, key) {
			p.UnusedPages = append(p.UnusedPages, key)
		}
	}
	for len(writes) >= limits.TxnOps {
		p.Transactions = append(p.Transactions, writes[:limits.TxnOps])
		writes = writes[limits.TxnOps:]
	}
	final := append(slices.Clone(writes), last)
	for len(p.UnusedPages) > 0 && len(final) < limits.TxnOps {
		final = append(final, Write{Key: p.UnusedPages[0]})
		p.UnusedPages = p.UnusedPages[1:]
	}
	p.Transactions = append(p.Transactions, final)
	return p, nil
}

// repage distributes teams over pages: a page in which nothing changes stays as it is, the
// teams of the others, which may need more room than they had, go onto new ones.
func assignPages(r *Records, to *Config, limits Limits, codec Codec) (keys []string, writes []Write, err error) {
	left := maps.Clone(to.Teams)
	var changed []Page
	for _, key := range r.Head.Pages {
		if page := r.Pages[key]; page.unchangedIn(to) {
			keys = append(keys, key)
			maps.DeleteFunc(left, func(name string, _ Team) bool { _, here := page.Teams[name]; return here })
		}
	}
	for _, name := range slices.Sorted(maps.Keys(left)) {
		changed, err = placeTeam(changed, name, left[name], limits, codec)
		if err != nil {
			return nil, nil, err
		}
	}
	for i := range changed {
		w := Write{Page: &changed[i]}
		b, err := codec.Encode(w)
		if err != nil {
			return nil, nil, err
		}
		w.Key = PagePrefix + pageName(b)
		if slices.Contains(keys, w.Key) {
			continue
		}
		writes = append(writes, w)
		keys = append(keys, w.Key)
	}
	return keys, writes, nil
}

// stays reports whether a configuration has all teams of a page as they are there.
func (p Page) unchangedIn(in *Config) bool {
	for name, t := range p.Teams {
		if now, ok := in.Teams[name]; !ok || now != t {
			return false
		}
	}
	return true
}

// nameOf names a page by its value.
func pageName(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:12])
}

// ErrTooLarge: a value does not fit the state service's limit.
var ErrTooLarge = errors.New("too large for the state service")

// fits reports whether a write's value is within the limit.
func checkSize(w Write, limits Limits, codec Codec) error {
	b, err := codec.Encode(w)
	if err != nil {
		return err
	}
	if n := codec.Size(b); n > limits.ValueBytes {
		return fmt.Errorf("%w: %d bytes of %d", ErrTooLarge, n, limits.ValueBytes)
	}
	return nil
}

// place puts a team onto the first page that has room for it, or onto one more.
func placeTeam(pages []Page, name string, t Team, limits Limits, codec Codec) ([]Page, error) {
	for i := range pages {
		pages[i].Teams[name] = t
		if checkSize(Write{Page: &pages[i]}, limits, codec) == nil {
			return pages, nil
		}
		delete(pages[i].Teams, name)
	}
	p := Page{Teams: map[string]Team{name: t}}
	if err := checkSize(Write{Page: &p}, limits, codec); err != nil {
		return nil, fmt.Errorf("team %q: %w", name, err)
	}
	return append(pages, p), nil
}

// IsRecord reports whether a key is the head or a page.
func IsRecord(key string) bool { return key == HeadKey || strings.HasPrefix(key, PagePrefix) }
