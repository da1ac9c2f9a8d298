package core

import (
	"reflect"
	"testing"
)

// TestNames checks names and values that are stored, sent or used in settings, and therefore must
// not change.
func TestNames(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want any
	}{
		{"names of priorities", []string{Low.String(), Normal.String(), High.String(), Production.String()}, []string{"low", "normal", "high", "production"}},
		{"priorities", []Priority{Low, Normal, High, Production}, []Priority{0, 1, 2, 3}},
		{"kinds", []Kind{Array, Gang, Service}, []Kind{0, 1, 2}},
		{"phases", []Phase{Pending, Done, Cancelled}, []Phase{0, 1, 2}},
		{"states of tasks", []TaskState{Fetching, WaitingForPeers, Running, Checkpointing, Exited}, []TaskState{0, 1, 2, 3, 4}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if !reflect.DeepEqual(c.got, c.want) {
				t.Errorf("got %v, want %v", c.got, c.want)
			}
		})
	}
}
