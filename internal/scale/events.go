package scale

import (
	"container/heap"
	"sync"
	"time"

	"aspenstall/internal/simulator"
)

// EventKind says what a worker did.
type EventKind string

// The kinds.
const (
	EventStarted EventKind = "started"
	EventLeft    EventKind = "left"
	EventDone    EventKind = "done"
	EventOrdered EventKind = "ordered"
	EventExpired EventKind = "expired"
	EventTraffic EventKind = "traffic" // of a process's workers, since it began
)

// Event is what a process of workers tells the run.
type Event struct {
	AtNS    int64                 `json:"at"` // by the time of day
	Kind    EventKind             `json:"kind"`
	Task    string                `json:"task,omitempty"`
	Attempt uint64                `json:"attempt,omitempty"`
	Cause   string                `json:"why,omitempty"`
	Place   simulator.MachineInfo `json:"place"`
	Tasks   int                   `json:"tasks,omitempty"` // on the machine, with EventExpired
	Traffic *WorkerTraffic        `json:"spent,omitempty"`
}

// Spent is what a process's workers have sent and received.
type WorkerTraffic struct {
	Workers              int   `json:"workers"`
	Reports              int64 `json:"reports"`
	ReportBytesSent      int64 `json:"reports_sent_bytes"`
	ReportBytesReceived  int64 `json:"reports_received_bytes"`
	Commands             int64 `json:"commands"`
	CommandBytesSent     int64 `json:"commands_sent_bytes"`
	CommandBytesReceived int64 `json:"commands_received_bytes"`
}

// CommandKind says what a process of workers is to do.
type CommandKind string

// The kinds.
const (
	CommandStart            CommandKind = "start"
	CommandKill             CommandKind = "die"
	CommandLeaderZone       CommandKind = "leader" // the zone that commands come from
	CommandPartitionZone    CommandKind = "cut-zone"
	CommandPartitionRegions CommandKind = "apart"
)

// Command is what the run tells a process of workers.
type Command struct {
	Kind    CommandKind           `json:"kind"`
	Place   simulator.MachineInfo `json:"place"`
	Address string                `json:"address,omitempty"`
	Zone    string                `json:"zone,omitempty"`
	On      bool                  `json:"on,omitempty"`
}

// settleFor is how long what happened is held back, so that what several processes tell is
// judged in the order in which it happened.
const reorderDelay = 5 * time.Second

// timeline hands on what happened in its order, some time later.
type timeline struct {
	mu       sync.Mutex
	events   eventHeap
	sequence int
}

type timedEvent struct {
	at       time.Time
	sequence int
	apply    func()
}

type eventHeap []timedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an element.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(timedEvent)) }

// Pop removes the last element.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// add notes what happened at a time.
func (t *timeline) add(at time.Time, do func()) {
	t.mu.Lock()
	t.sequence++
	heap.Push(&t.events, timedEvent{at, t.sequence, do})
	t.mu.Unlock()
}

// drain calls, in order, all that happened before a time; now is told the time of each.
func (t *timeline) drain(before time.Time, now func(time.Time)) {
	for {
		t.mu.Lock()
		if len(t.events) == 0 || !t.events[0].at.Before(before) {
			t.mu.Unlock()
			return
		}
		h := heap.Pop(&t.events).(timedEvent)
		t.mu.Unlock()
		now(h.at)
		h.apply()
	}
}
