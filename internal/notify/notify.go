// Package notify decides which notifications are due, when, and what is known
// of their delivery. It is pure: events and the time go in through methods,
// actions come out of Step. It holds no socket, clock, goroutine or random
// source.
//
// An event that goes with a job's record is not written a second time: the
// record is the event, and its revision is the event's place in the outbox. What
// is kept beside it, for each subscription, is which revisions are settled: all
// up to a mark, and a bitmap of those above. So neither exists without the
// other, and what is kept follows what is undelivered. docs/design/notifications.md
// has the ways weighed.
package notify

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"aspenstall/internal/core"
)

// Kind is what happened to a job.
type Kind uint8

// The kinds, in the order in which they happen to a job.
const (
	Accepted       Kind = iota
	Started             // all its tasks run
	Late                // its deadline has passed, or is sure to
	Failing             // its tasks fail on several machines
	GuaranteeUnmet      // its team's guarantee is not met
	Done                // all its tasks are done
	Cancelled           // by its user
	kindCount
)

var kindNames = [kindCount]string{"accepted", "started", "late", "failing", "unmet", "done", "cancelled"}

// String is the kind's name in the operators' settings and in events.
func (k Kind) String() string { return kindNames[min(k, kindCount-1)] }

// ParseKind is the reverse of String.
func ParseKind(s string) (Kind, bool) {
	for k, n := range kindNames {
		if n == s {
			return Kind(k), true
		}
	}
	return 0, false
}

// Event is something that happened to a job, once.
type Event struct {
	Job, Team, Class string
	Kind             Kind
	Revision         uint64      // of the record that it goes with
	At               core.Micros // wall clock; when it happened
}

// Promise is what a subscription may count on.
type DeliveryGuarantee uint8

// The promises.
const (
	// Exactly once: the receiver keeps keys, or can be asked whether it has seen
	// one, so that a repetition has no second effect.
	ExactlyOnce DeliveryGuarantee = iota
	// AtLeast once: the receiver does neither. What is in doubt is sent again.
	AtLeastOnce
	// AtMost once: the receiver does neither. Each is put aside before it is sent,
	// and taken from there once it is known to be delivered: what is in doubt
	// stays for the operators.
	AtMostOnce
)

// Subscription says who is told of what.
type Subscription struct {
	Name              string
	Team, Class       string // "" for any
	Kinds             []Kind
	Receiver          string
	Deadline          core.Micros // after the event: what is undelivered then is put aside
	DeliveryGuarantee DeliveryGuarantee
}

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

// Receiver limits what one receiver is sent.
type Receiver struct {
	Name        string
	PerSecond   float64 // 0: no limit
	MaxInFlight int
	// MaxAge is of a receiver that keeps no keys and can be asked whether it has
	// seen one: it refuses what was sent longer ago. What is in doubt is asked
	// about, and sent again, only after that, since a message may still be on its
	// way; a new leader waits as long for what the former may have sent.
	MaxMessageAge core.Micros
}

// Key is what a receiver knows a notification by. It follows from the event and
// the subscription, so that every node and every retry has the same one.
func IdempotencyKey(subscription string, e *Event) string {
	h := sha256.Sum256(fmt.Appendf(nil, "%d:%s%d:%s%d", len(subscription), subscription, len(e.Job), e.Job, e.Kind))
	return hex.EncodeToString(h[:16])
}

// Outcome says what became of an attempt.
type Outcome uint8

// The outcomes.
const (
	// Delivered: the receiver has it.
	Delivered Outcome = iota
	// NotSent: it certainly has no effect: not sent, or refused for now.
	NotDelivered
	// Unknown: it may have had its effect, or may yet.
	Unknown
	// Rejected: the receiver will never take it.
	Rejected
)

// Action is something the outbox wants done. The concrete types follow.
type Action interface{ action() }

// Send is an attempt to deliver; its result comes back through Sent.
type Send struct {
	ID                uint64
	Subscription      string
	Event             Event
	Key               string
	Attempt           int  // from 1
	PossiblyDelivered bool // it may have had its effect before: a receiver that can be asked is to be
}

// Save writes what is settled; its result comes back through Saved. Everything
// in it goes into one transaction.
type Save struct {
	ID                uint64
	Watermarks        []Watermark  // none, or those of all subscriptions, for one record
	DeleteChunks      []ChunkKey   // bitmaps that the marks have passed
	PutChunks         []Chunk      // bitmaps that changed
	PutDeadLetters    []DeadLetter // put aside: they are settled by this
	DeleteDeadLetters []DeadLetter // no longer: their records go
}

// Mark says that all of a subscription's events up to a revision are settled.
type Watermark struct {
	Subscription string
	Revision     uint64
}

// ChunkKey names a part of a subscription's bitmap.
type ChunkKey struct {
	Subscription string
	Chunk        uint64
}

// Chunk is a part of a subscription's bitmap: the settled revisions from
// Chunk*ChunkSize on, as roaring's published format in base64.
type Chunk struct {
	ChunkKey
	Bitmap string
}

// ChunkSize is how many revisions one chunk covers. Its bitmap takes 2 KiB at
// most, which base64 makes 2.8 KiB: within the smallest value that the
// deployments allow.
const ChunkSize = 1 << 14

// DeadLetter is a notification that was put aside.
type DeadLetter struct {
	Subscription string
	Event        Event
	Reason       string
}

// Page asks for a subscription's events after a revision, in order, through
// Events: they did not fit into memory.
type FetchEvents struct {
	Subscription string
	After        uint64
	Limit        int
}

func (Send) action()        {}
func (Save) action()        {}
func (FetchEvents) action() {}
