// Package notify implements the outbox of notifications about jobs: it decides
// which notifications are sent and when, and tracks their delivery. It is pure:
// events and the time are passed to methods, and Step returns actions. It uses no
// socket, clock, goroutine or source of randomness.
//
// An event is not stored separately from the job record that it belongs to: the
// record is the event, and the record's revision is the event's position in the
// outbox. So there is never an event without its record, or a record without its
// event. For each subscription, only the settled revisions are stored in addition:
// a watermark up to which all are settled, and a bitmap of those above it. The
// stored size therefore depends on the number of undelivered events.
//
// An event is settled for a subscription when it has been delivered or when it is
// stored as a dead letter. docs/design/notifications.md compares the alternatives.
package notify

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"aspenstall/internal/core"
)

// Kind is the type of an event of a job.
type Kind uint8

// The kinds of events, in the order in which they occur in the life of a job.
const (
	Accepted       Kind = iota
	Started             // all its tasks are running
	Late                // its deadline has passed or is certain to be missed
	Failing             // its tasks fail on several machines
	GuaranteeUnmet      // the guaranteed quota of its team is not met
	Done                // all its tasks are done
	Cancelled           // cancelled by its user
	kindCount
)

var kindNames = [kindCount]string{"accepted", "started", "late", "failing", "unmet", "done", "cancelled"}

// String returns the kind's name as used in the operators' settings and in events.
func (k Kind) String() string { return kindNames[min(k, kindCount-1)] }

// ParseKind parses the name that String returns; ok is false for an unknown name.
func ParseKind(s string) (Kind, bool) {
	for k, n := range kindNames {
		if n == s {
			return Kind(k), true
		}
	}
	return 0, false
}

// Event is an event of a job. Each kind occurs at most once per job.
type Event struct {
	Job, Team, Class string
	Kind             Kind
	Revision         uint64      // of the job record that it belongs to
	At               core.Micros // wall clock; when it occurred
}

// DeliveryGuarantee says how often a notification may take effect at its receiver.
type DeliveryGuarantee uint8

// The delivery guarantees.
const (
	// ExactlyOnce requires a receiver that deduplicates by idempotency key, or that
	// can be asked whether it has received a key, so that a retry has no second effect.
	ExactlyOnce DeliveryGuarantee = iota
	// AtLeastOnce is for a receiver that does neither. An attempt with unknown
	// outcome is repeated.
	AtLeastOnce
	// AtMostOnce is for a receiver that does neither. Each notification is stored as
	// a dead letter before it is sent, and the dead letter is deleted when delivery is
	// confirmed. One with unknown outcome stays a dead letter, for operators to decide.
	AtMostOnce
)

// Subscription selects events and names the receiver that they are sent to.
type Subscription struct {
	Name              string
	Team, Class       string // "" matches any
	Kinds             []Kind
	Receiver          string
	Deadline          core.Micros // after the event, then it becomes a dead letter; 0: none
	DeliveryGuarantee DeliveryGuarantee
}

// matches reports whether the subscription selects an event.
func (s *Subscription) matches(e *Event) bool {
	if s.Team != "" && s.Team != e.Team || s.Class != "" && s.Class != e.Class {
		return false
	}
	for _, k := range s.Kinds {
		if k == e.Kind {
			return true
		}
	}
	return false
}

// Receiver holds the limits of what is sent to one receiver.
type Receiver struct {
	Name        string
	PerSecond   float64 // attempts per second; 0: no limit
	MaxInFlight int     // concurrent attempts; 0: no limit
	// MaxMessageAge applies to a receiver that does not deduplicate but can be asked
	// whether it has received a key: it rejects messages that were sent longer ago.
	// After an attempt with unknown outcome, the query and the retry wait this long,
	// since the message may still be in transit. A new leader waits as long for
	// messages that its predecessor may have sent.
	MaxMessageAge core.Micros
}

// IdempotencyKey returns the key by which a receiver identifies a notification. It
// is derived from the event and the subscription, so it is the same on every node
// and in every retry.
func IdempotencyKey(subscription string, e *Event) string {
	h := sha256.Sum256(fmt.Appendf(nil, "%d:%s%d:%s%d", len(subscription), subscription, len(e.Job), e.Job, e.Kind))
	return hex.EncodeToString(h[:16])
}

// Outcome is the result of a delivery attempt.
type Outcome uint8

// The outcomes.
const (
	// Delivered means that the receiver accepted the notification.
	Delivered Outcome = iota
	// NotDelivered means that neither this attempt nor an earlier one had an effect: the
	// receiver was asked for earlier ones if that was needed and possible, and refused this
	// one temporarily, or could not be connected to.
	NotDelivered
	// Unknown means that the attempt may have taken effect, or may still do so.
	Unknown
	// Rejected means that the receiver refused the notification permanently.
	Rejected
	// NotAttempted means that nothing was sent, and nothing was learnt of earlier attempts.
	NotAttempted
)

// Action is an operation that the outbox requests: Send, Save or FetchEvents.
type Action interface{ action() }

// Send requests a delivery attempt; its result is passed to HandleSendResult.
type Send struct {
	ID           uint64
	Subscription string
	Event        Event
	Key          string
	Attempt      int // counted from 1
	// PossiblyDelivered means that an earlier attempt, possibly by an earlier leader, may
	// have taken effect: query the receiver first, if it supports that.
	PossiblyDelivered bool
}

// Save requests that changes of the settled revisions and of dead letters are
// written, in one transaction; its result is passed to HandleSaveResult.
type Save struct {
	ID                uint64
	Watermarks        []Watermark  // none, or all that are stored: they share one record
	DeleteChunks      []ChunkKey   // bitmaps that are below the watermarks
	PutChunks         []Chunk      // bitmaps that changed
	PutDeadLetters    []DeadLetter // new dead letters, which settle their events
	DeleteDeadLetters []DeadLetter // dead letters whose records are deleted
}

// Watermark is the revision up to which all events of a subscription are settled.
type Watermark struct {
	Subscription string
	Revision     uint64
}

// DeadLetter is a notification that is no longer sent automatically.
type DeadLetter struct {
	Subscription string
	Event        Event
	Reason       string
}

// FetchEvents requests a subscription's events after a revision, in order, that did
// not fit into its buffer. They are passed to HandleFetchedEvents.
type FetchEvents struct {
	Subscription string
	After        uint64
	Limit        int // soft limit: the events of one revision stay together
}

func (Send) action()        {}
func (Save) action()        {}
func (FetchEvents) action() {}
