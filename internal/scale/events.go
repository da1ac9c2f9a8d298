package scale

import (
	"container/heap"
	"sync"
	"time"

	"aspenstall/internal/simulator"
)

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	EventStarted        EventKind = "started"
	EventLeft           EventKind = "left"
	EventDone           EventKind = "done"
	EventOrdered        EventKind = "ordered"         // a start command was executed
	EventForgottenStart EventKind = "forgotten-start" // a start arrived for an attempt that its machine has forgotten
	EventExpired        EventKind = "expired"         // a worker's lease expired
	EventTraffic        EventKind = "traffic"         // total traffic of the process's workers
)

// Event is what a worker host process reports to the run.
type Event struct {
	AtNS     int64                 `json:"at"` // wall clock, in nanoseconds since the Unix epoch
	Kind     EventKind             `json:"kind"`
	Task     string                `json:"task,omitempty"`
	Attempt  uint64                `json:"attempt,omitempty"`
	Cause    string                `json:"why,omitempty"`
	Place    simulator.MachineInfo `json:"place"`
	Tasks    int                   `json:"tasks,omitempty"`    // number of tasks on the machine, for EventExpired
	Executed bool                  `json:"executed,omitempty"` // for EventForgottenStart
	Traffic  *WorkerTraffic        `json:"spent,omitempty"`
}

// WorkerTraffic is the number of messages and bytes that the workers of a process have sent and
// received.
type WorkerTraffic struct {
	Workers              int   `json:"workers"`
	Reports              int64 `json:"reports"`
	ReportBytesSent      int64 `json:"reports_sent_bytes"`
	ReportBytesReceived  int64 `json:"reports_received_bytes"`
	Commands             int64 `json:"commands"`
	CommandBytesSent     int64 `json:"commands_sent_bytes"`
	CommandBytesReceived int64 `json:"commands_received_bytes"`
	CopiedCommands       int64 `json:"copied_commands"` // copies that arrived again
}

// CommandKind is the kind of a Command.
type CommandKind string

// Kinds of commands.
const (
	CommandStart            CommandKind = "start"
	CommandKill             CommandKind = "die"
	CommandLeaderZone       CommandKind = "leader" // sets the zone that direct commands come from
	CommandPartitionZone    CommandKind = "cut-zone"
	CommandPartitionRegions CommandKind = "apart"
	CommandCopyCommands     CommandKind = "copies" // copies of direct commands arrive again
)

// Command is an instruction from the run to a worker host process.
type Command struct {
	Kind    CommandKind           `json:"kind"`
	Place   simulator.MachineInfo `json:"place"`
	Address string                `json:"address,omitempty"`
	Zone    string                `json:"zone,omitempty"`
	On      bool                  `json:"on,omitempty"`
}

// reorderDelay is how long an event is held back before it is checked, so that events of several
// processes are checked in the order in which they happened.
const reorderDelay = 5 * time.Second

// timeline orders events by time. It is safe for concurrent use.
type timeline struct {
	mu       sync.Mutex
	events   eventHeap
	sequence int
}

// timedEvent is an event in a timeline. Events of the same time keep their order of insertion.
type timedEvent struct {
	at       time.Time
	sequence int
	apply    func()
}

// eventHeap is a heap of events, the earliest first.
type eventHeap []timedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an element, for container/heap.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(timedEvent)) }

// Pop removes the last element, for container/heap.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// add adds an event at a time. drain calls apply in the order of the times.
func (t *timeline) add(at time.Time, apply func()) {
	t.mu.Lock()
	t.sequence++
	heap.Push(&t.events, timedEvent{at, t.sequence, apply})
	t.mu.Unlock()
}

// drain removes all events before a time and applies them in order. It calls setNow with the time
// of each event first.
func (t *timeline) drain(before time.Time, setNow func(time.Time)) {
	for {
		t.mu.Lock()
		if len(t.events) == 0 || !t.events[0].at.Before(before) {
			t.mu.Unlock()
			return
		}
		h := heap.Pop(&t.events).(timedEvent)
		t.mu.Unlock()
		setNow(h.at)
		h.apply()
	}
}
