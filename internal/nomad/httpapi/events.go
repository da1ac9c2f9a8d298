package httpapi

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"aspenstall/internal/nomad/registry"
)

// heartbeatInterval is the interval of the empty objects that keep an idle stream alive.
const heartbeatInterval = 10 * time.Second

// event is an event of the published event stream.
type event struct {
	Topic, Type, Key, Namespace string
	FilterKeys                  []string
	Index                       uint64
	Payload                     map[string]any
}

// eventFrame holds the events of one index, which are sent together.
type eventFrame struct {
	Index  uint64
	Events []event
}

// topicFilter selects the events of a stream: keys by topic, where "*" stands for any.
type topicFilter map[string][]string

// supportedTopics lists the topics that have events.
var supportedTopics = []string{"Job", "Evaluation"}

// parseTopics reads the topics of a request; without any, the filter matches all events.
func parseTopics(q *request) (topicFilter, error) {
	out := topicFilter{}
	for _, t := range q.params["topic"] {
		topic, key, ok := strings.Cut(t, ":")
		if !ok || key == "" {
			key = "*"
		}
		if topic != "*" && !slices.Contains(supportedTopics, topic) {
			return nil, statusErrorf(http.StatusNotImplemented, "topic %s is not served; there are %s", topic, strings.Join(supportedTopics, " and "))
		}
		out[topic] = append(out[topic], key)
	}
	if len(out) == 0 {
		out["*"] = []string{"*"}
	}
	return out, nil
}

// matches reports whether the filter selects an event.
func (t topicFilter) matches(e event) bool {
	for _, topic := range []string{e.Topic, "*"} {
		for _, k := range t[topic] {
			if k == "*" || k == e.Key || slices.Contains(e.FilterKeys, k) {
				return true
			}
		}
	}
	return false
}

// streamEvents sends the team's events, each index once, in order. It repeats a blocking query: the
// state of a job at an index follows from its records, so a client can resume the stream with the
// index on any node. If a job changed twice between two reads, its latest state is sent once.
func streamEvents(q *request) (any, error) {
	filter, err := parseTopics(q)
	if err != nil {
		return nil, err
	}
	if !q.namespaceVisible() {
		return nil, errForbidden
	}
	after := uint64(0)
	if s := q.params.Get("index"); s != "" {
		if after, err = strconv.ParseUint(s, 10, 64); err != nil {
			return nil, statusErrorf(http.StatusBadRequest, "Invalid index")
		}
	}
	team := registry.Name{Team: q.team}
	if after == 0 {
		// As in the published API, a stream without an index begins with the next event.
		if after, err = q.runQuery(Query{Name: team}, func(*registry.Registry) {}); err != nil {
			return nil, err
		}
	}
	q.w.Header().Set("Content-Type", "application/json")
	// No more requests are read; the connection is read only to notice that the client is gone.
	_ = q.ctl.SetReadDeadline(time.Time{})
	send := func(v any) bool {
		b, err := json.Marshal(v)
		if err != nil {
			q.log.Error("event", "err", err)
			return false
		}
		_ = q.ctl.SetWriteDeadline(time.Now().Add(ioTimeout))
		if _, err := q.w.Write(append(b, '\n')); err != nil {
			return false
		}
		return q.ctl.Flush() == nil
	}
	if !send(struct{}{}) {
		return nil, nil
	}
	for q.r.Context().Err() == nil {
		var frames []eventFrame
		index, err := q.backend.ReadRegistry(q.r.Context(), Query{Name: team, AfterIndex: after, MaxWait: heartbeatInterval}, func(r *registry.Registry) {
			frames = framesAfter(r, q.team, after, filter)
		})
		if err != nil {
			// The client reconnects with its last index to a node that can serve it.
			return nil, nil
		}
		// What is after the index may be incomplete. It is sent when the index has reached it.
		frames = slices.DeleteFunc(frames, func(f eventFrame) bool { return f.Index > index })
		for _, f := range frames {
			if !send(f) {
				return nil, nil
			}
		}
		if len(frames) == 0 && !send(struct{}{}) {
			return nil, nil
		}
		after = index
	}
	return nil, nil
}

// framesAfter returns the events of a team after an index, ordered by index.
func framesAfter(r *registry.Registry, team string, after uint64, filter topicFilter) []eventFrame {
	byIndex := map[uint64][]event{}
	add := func(e event) {
		if filter.matches(e) {
			byIndex[e.Index] = append(byIndex[e.Index], e)
		}
	}
	for _, j := range r.List(team, "") {
		if j.JobModifyIndex > after {
			eventType := "JobRegistered"
			if j.Stopped {
				eventType = "JobDeregistered"
			}
			add(event{
				Topic: "Job", Type: eventType, Key: j.ID, Namespace: team, Index: j.JobModifyIndex, FilterKeys: []string{},
				Payload: map[string]any{"Job": newJobStub(r, j)},
			})
			e := newEvalView(r, j)
			add(event{
				Topic: "Evaluation", Type: "EvaluationUpdated", Key: e.ID, Namespace: team, Index: j.JobModifyIndex,
				FilterKeys: []string{j.ID}, Payload: map[string]any{"Evaluation": e},
			})
		}
		if modifyIndex := r.ModifyIndex(j); modifyIndex > after && modifyIndex > j.JobModifyIndex {
			// Since the last registration, groups of the job have finished or were cancelled.
			e := newEvalView(r, j)
			e.TriggeredBy, e.ModifyIndex = "alloc-stop", modifyIndex
			add(event{
				Topic: "Evaluation", Type: "EvaluationUpdated", Key: e.ID, Namespace: team, Index: modifyIndex,
				FilterKeys: []string{j.ID}, Payload: map[string]any{"Evaluation": e, "Job": newJobStub(r, j)},
			})
		}
	}
	for _, g := range r.Purged(team, after) {
		add(event{
			Topic: "Job", Type: "JobDeregistered", Key: g.ID, Namespace: team, Index: g.Index, FilterKeys: []string{},
			Payload: map[string]any{"Job": nil},
		})
	}
	var out []eventFrame
	for index, events := range byIndex {
		out = append(out, eventFrame{index, events})
	}
	slices.SortFunc(out, func(a, b eventFrame) int {
		if a.Index < b.Index {
			return -1
		}
		return 1
	})
	return out
}
