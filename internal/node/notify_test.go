package node

import (
	"fmt"
	"strings"
	"testing"

	"aspenstall/internal/core"
)

// TestJobEvents checks that a job's record implies each of its events once, at the revision at
// which it happened, even if revisions in between were missed.
func TestJobEvents(t *testing.T) {
	pending := core.JobRecord{Spec: core.JobSpec{ID: "job-1"}, Revision: 10, SubmittedAt: 5}
	done := pending.Final(core.Done, 99)
	done.Revision = 20
	cancelled := pending.Final(core.Cancelled, 77)
	cancelled.Revision = 15
	for _, c := range []struct {
		rec   core.JobRecord
		after uint64
		want  string
	}{
		{pending, 0, "accepted@10 at 5"},
		{pending, 9, "accepted@10 at 5"},
		{pending, 10, ""},
		{done, 9, "accepted@10 at 5, done@20 at 99"}, // complete list after missed changes
		{done, 10, "done@20 at 99"},
		{done, 20, ""},
		{cancelled, 12, "cancelled@15 at 77"},
		{pending.Final(core.Cancelled, 77), 9, "accepted@10 at 5"}, // with another job: its own record comes
		{done.Final(core.Done, 99), 10, "done@20 at 99"},           // the revision of its submission is kept
	} {
		var got []string
		for _, e := range jobEvents(&c.rec, c.after) {
			got = append(got, fmt.Sprintf("%v@%d at %d", e.Kind, e.Revision, e.At))
		}
		if g := strings.Join(got, ", "); g != c.want {
			t.Errorf("after %d: %s, want %s", c.after, g, c.want)
		}
	}
}

// TestDeliveryOfFormerTerm checks that nothing is sent for a term that is over, also if this node leads
// again: its next term has asked the receiver what is delivered, and may have delivered it.
func TestDeliveryOfFormerTerm(t *testing.T) {
	n := newTestNode()
	former, current := &term{n: n, token: 5}, &term{n: n, token: 9}
	n.leadingTerm.Store(current)
	n.leaseValidUntil.Store(int64(n.now() + 100*core.Second))
	if n.leads(former) || !n.leads(current) {
		t.Errorf("leads with the former term: %v, with the current one: %v", n.leads(former), n.leads(current))
	}
	n.leaseValidUntil.Store(0)
	if n.leads(current) {
		t.Error("leads without a valid lease")
	}
}
