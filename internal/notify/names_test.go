package notify

import (
	"slices"
	"testing"
)

// The names of kinds appear in settings and messages, and their values are stored.
func TestKindNames(t *testing.T) {
	var got []string
	for k := range kindCount {
		got = append(got, k.String())
		if back, ok := ParseKind(k.String()); !ok || back != k {
			t.Errorf("%v is parsed as %v", k, back)
		}
	}
	if want := []string{"accepted", "started", "late", "failing", "unmet", "done", "cancelled"}; !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := []Kind{Accepted, Started, Late, Failing, GuaranteeUnmet, Done, Cancelled}, []Kind{0, 1, 2, 3, 4, 5, 6}; !slices.Equal(got, want) {
		t.Errorf("kinds are %d, want %d", got, want)
	}
}

// The key of a notification must be the same in all versions, since receivers deduplicate by it.
func TestIdempotencyKey(t *testing.T) {
	const want = "f979d61ecddb1074ac8d38d127babf08"
	if got := IdempotencyKey("s", &Event{Job: "job-1", Kind: Done}); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
