package node

import (
	"context"
	"net/http"
	"slices"
	"testing"

	"aspenstall/internal/httpapi"
)

// TestRequestOrder checks that requests are served in the order of their classes, each class in
// batches, and that the inbox goes before each class. Otherwise questions of users can keep workers'
// reports from being answered until their leases end.
func TestRequestOrder(t *testing.T) {
	n := newTestNode()
	var served []requestClass
	inbox := 0
	for class := numRequestClasses; class > 0; class-- {
		for range requestLimits[class-1].batch + 1 {
			n.requests.add(class-1, func() { served = append(served, class-1) })
		}
	}
	for round := range 2 {
		served = nil
		<-n.requests.arrived
		n.requests.run(func() { inbox++ })
		if !slices.IsSorted(served) {
			t.Errorf("round %d: not in the order of the classes", round)
		}
		for class := range numRequestClasses {
			first := slices.Index(served, class)
			count := len(slices.DeleteFunc(slices.Clone(served), func(c requestClass) bool { return c != class }))
			if want := []int{requestLimits[class].batch, 1}[round]; first < 0 || count != want {
				t.Errorf("round %d: %d requests of class %d, want %d", round, count, class, want)
			}
		}
	}
	if inbox != 2*int(numRequestClasses) || len(n.requests.arrived) != 0 {
		t.Errorf("the inbox was looked at %d times, and %d signals are left", inbox, len(n.requests.arrived))
	}
}

// TestFullRequestQueue checks that a request beyond the bound of its class is refused with 503 and
// Retry-After at once, and others are not, and that the request of a client that has gone is not begun.
func TestFullRequestQueue(t *testing.T) {
	n := newTestNode()
	gone, leave := context.WithCancel(t.Context())
	begun := 0
	for range requestLimits[question].waiting {
		go n.awaitResponse(gone, question, func(func(httpapi.Response)) { begun++ })
	}
	for len(n.requests.waiting[question]) < requestLimits[question].waiting {
		<-n.requests.arrived
	}
	if r := n.Poll(t.Context(), "job-1"); r.Status != http.StatusServiceUnavailable || r.RetryAfter == 0 {
		t.Errorf("a question beyond the bound is answered %+v", r)
	}
	go n.Cancel(t.Context(), "job-1")
	for len(n.requests.waiting[cancellation]) == 0 {
		<-n.requests.arrived
	}
	leave()
	for len(n.requests.waiting[question]) > 0 {
		n.requests.run(func() {})
	}
	if begun != 0 {
		t.Errorf("%d questions of clients that have gone were begun", begun)
	}
}
