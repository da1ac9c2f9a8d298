package notify

import (
	"slices"
	"testing"
)

// Names and values that are kept, sent and set.
func TestKindNames(t *testing.T) {
	var got []string
	for k := range kindCount {
		got = append(got, k.String())
		if back, ok := ParseKind(k.String()); !ok || back != k {
			t.Errorf("%v is read as %v", k, back)
		}
	}
	if want := []string{"accepted", "started", "late", "failing", "unmet", "done", "cancelled"}; !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := []Kind{Accepted, Started, Late, Failing, GuaranteeUnmet, Done, Cancelled}, []Kind{0, 1, 2, 3, 4, 5, 6}; !slices.Equal(got, want) {
		t.Errorf("kinds are %d, want %d", got, want)
	}
}

// Receivers tell notifications that were sent by earlier versions by their keys.
func TestIdempotencyKey(t *testing.T) {
	const want = "f979d61ecddb1074ac8d38d127babf08"
	if got := IdempotencyKey("s", &Event{Job: "job-1", Kind: Done}); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
