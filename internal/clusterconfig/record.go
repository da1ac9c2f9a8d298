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

// Keys of the configuration's records in the state service.
const (
	Prefix     = "c/config/" // watched by every controller
	HeadKey    = Prefix + "head"
	PagePrefix = Prefix + "page/"
	// AckPrefix precedes the controllers' acknowledgements of the version that they use, which
	// are bound to their leases. KnownPrefix precedes permanent records of the controllers that
	// support configuration records. Neither prefix is watched.
	AckPrefix   = "d/config/"
	KnownPrefix = "d/known/"
)

// Format is the format of the records that this version of the program writes and reads.
const Format = 1

// maxRecentChanges is the number of recent changes that the head names. A client whose write got no
// response looks there whether its change was applied.
const maxRecentChanges = 16

// Head is the record of the current version.
type Head struct {
	Format        int
	Version       uint64   // one more than the previous version's
	Pages         []string // keys
	RecentChanges []AppliedChange
	Tuning        Tuning
}

// AppliedChange is the id of a change that was applied, and the version that it made.
type AppliedChange struct {
	ID      string
	Version uint64
}

// VersionOfChange returns the version that a change made; ok is false if the head doesn't name the
// change.
func (h *Head) VersionOfChange(id string) (version uint64, ok bool) {
	for _, a := range h.RecentChanges {
		if a.ID == id {
			return a.Version, true
		}
	}
	return 0, false
}

// Page is a record of some of the teams, by name.
type Page struct{ Teams map[string]Team }

// Ack is a controller's acknowledgement of the version that it uses.
type Ack struct {
	Format       int // the newest format that it reads
	HeadRevision uint64
	Version      uint64
	Peers        []string // the other controllers in its platform file
	Error        string   // why it can't use the current version
	// OlderPeers are the peers whose last message came from an earlier version of the program.
	OlderPeers []string
}

// Records holds the stored head and pages with their revisions, the pages by key.
type Records struct {
	Head          Head
	HeadRevision  uint64 // 0 if there is no head
	Pages         map[string]Page
	PageRevisions map[string]uint64 // only PlanChange needs them
}

// Errors of Records.Config.
var (
	// ErrNewerFormat means that a newer version of the program wrote the records.
	ErrNewerFormat = errors.New("the configuration was written by a newer version of the program")
	// ErrPageMissing means that a page which the head names was not read. Either the page is
	// still to come, or a newer head that doesn't name it.
	ErrPageMissing = errors.New("a page of the configuration is missing")
)

// Config assembles the configuration from the head and its pages.
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

// Limits are the state service's limits: the smaller of the present and the announced ones.
type Limits struct {
	ValueBytes int
	TxnOps     int
}

// Codec encodes heads and pages as values. Equal pages have equal values.
type Codec interface {
	Encode(w Write) ([]byte, error)
	// Size returns a value's size as the state service counts it, in bytes.
	Size(value []byte) int
}

// Write is a put of a head or a page, or a deletion of the key if both are nil.
type Write struct {
	Key  string
	Head *Head
	Page *Page
}

// Plan is the sequence of transactions that writes a version. Every transaction is conditional on
// the head that was read. All but the last write pages that no head names yet; the last one
// writes the head. A page's key is the hash of its content, so a late or repeated write of a page
// can't replace another.
type Plan struct {
	HeadRevision uint64 // of the head that was read; 0 if there was none
	Transactions [][]Write
	Version      uint64
	// UnusedPages are the pages that were read, are not named by the new head, and are not deleted by
	// the transactions.
	UnusedPages []UnusedPage
}

// UnusedPage is a page that no head names, at the revision at which it was read. A later change may
// write the page again under the same key. It must be deleted only at this revision.
type UnusedPage struct {
	Key      string
	Revision uint64
}

// PlanChange plans the change with the given id, which replaces the configuration in the records
// by another. It returns ErrTooLarge if a team or the head doesn't fit a value.
func PlanChange(r *Records, to *Config, id string, limits Limits, codec Codec) (*Plan, error) {
	head := Head{Format: Format, Version: r.Head.Version + 1, Tuning: to.Tuning}
	if r.HeadRevision == 0 {
		head.Version = 0 // the first head only enables configuration records
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
	// Besides the pages that are replaced, there may be some of earlier changes that failed, or whose
	// deletions did.
	for _, key := range slices.Sorted(maps.Keys(r.Pages)) {
		if !slices.Contains(pages, key) {
			p.UnusedPages = append(p.UnusedPages, UnusedPage{key, r.PageRevisions[key]})
		}
	}
	for len(writes) >= limits.TxnOps {
		p.Transactions = append(p.Transactions, writes[:limits.TxnOps])
		writes = writes[limits.TxnOps:]
	}
	final := append(slices.Clone(writes), last)
	for len(p.UnusedPages) > 0 && len(final) < limits.TxnOps {
		final = append(final, Write{Key: p.UnusedPages[0].Key})
		p.UnusedPages = p.UnusedPages[1:]
	}
	p.Transactions = append(p.Transactions, final)
	return p, nil
}

// assignPages distributes the teams over pages. Pages without a change are kept; the teams of the
// other pages, which may take more space than before, go onto new pages. It returns the keys of
// all pages and the writes of the new ones.
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

// unchangedIn reports whether a configuration has all teams of the page with the same values.
func (p Page) unchangedIn(c *Config) bool {
	for name, t := range p.Teams {
		if now, ok := c.Teams[name]; !ok || now != t {
			return false
		}
	}
	return true
}

// pageName returns a page's name: a hash of its value.
func pageName(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:12])
}

// ErrTooLarge means that a value exceeds the state service's limit.
var ErrTooLarge = errors.New("too large for the state service")

// checkSize returns ErrTooLarge if a write's value exceeds the limit.
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

// placeTeam adds a team to the first page with enough space, or to a new page.
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
