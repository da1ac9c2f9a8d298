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

// heartbeat is how often an idle stream says that it is alive.
const heartbeat = 10 * time.Second

// event is one of the published events.
type event struct {
	Topic, Type, Key, Namespace string
	FilterKeys                  []string
	Index                       uint64
	Payload                     map[string]any
}

// frame is what is sent at once: the events of one index.
type frame struct {
	Index  uint64
	Events []event
}

// topics are what a stream wants: keys by topic, "*" for any.
type topics map[string][]string

var servedTopics = []string{"Job", "Evaluation"}

func readTopics(q *request) (topics, error) {
	out := topics{}
	for _, t := range q.q["topic"] {
		topic, key, ok := strings.Cut(t, ":")
		if !ok || key == "" {
			key = "*"
		}
		if topic != "*" && !slices.Contains(servedTopics, topic) {
			return nil, fail(http.StatusNotImplemented, "topic %s is not served; there are %s", topic, strings.Join(servedTopics, " and "))
		}
		out[topic] = append(out[topic], key)
	}
	if len(out) == 0 {
		out["*"] = []string{"*"}
	}
	return out, nil
}

func (t topics) want(e event) bool {
	for _, topic := range []string{e.Topic, "*"} {
		for _, k := range t[topic] {
			if k == "*" || k == e.Key || slices.Contains(e.FilterKeys, k) {
				return true
			}
		}
	}
	return false
}

// eventStream sends the team's events, each index once, in order. It is a
// blocking query that goes on: what a job is at an index follows from its
// records, so that a stream can be resumed with the index on any node. A job
// that changed twice meanwhile is told once, as it is.
func eventStream(q *request) (any, error) {
	want, err := readTopics(q)
	if err != nil {
		return nil, err
	}
	if !q.visible() {
		return nil, errDenied
	}
	after := uint64(0)
	if s := q.q.Get("index"); s != "" {
		if after, err = strconv.ParseUint(s, 10, 64); err != nil {
			return nil, fail(http.StatusBadRequest, "Invalid index")
		}
	}
	team := registry.Name{Team: q.team}
	if after == 0 {
		// From now on, as published.
		if after, err = q.lookFor(Query{Of: team}, func(*registry.Registry) {}); err != nil {
			return nil, err
		}
	}
	q.w.Header().Set("Content-Type", "application/json")
	// Nothing more is read but that the client goes away.
	_ = q.ctl.SetReadDeadline(time.Time{})
	send := func(v any) bool {
		b, err := json.Marshal(v)
		if err != nil {
			q.log.Error("event", "err", err)
			return false
		}
		_ = q.ctl.SetWriteDeadline(time.Now().Add(bodyTime))
		if _, err := q.w.Write(append(b, '\n')); err != nil {
			return false
		}
		return q.ctl.Flush() == nil
	}
	if !send(struct{}{}) {
		return nil, nil
	}
	for q.r.Context().Err() == nil {
		var frames []frame
		index, err := q.b.Look(q.r.Context(), Query{Of: team, After: after, Wait: heartbeat}, func(r *registry.Registry) {
			frames = framesAfter(r, q.team, after, want)
		})
		if err != nil {
			// The client comes back with the last index, to a node that can say.
			return nil, nil
		}
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

// framesAfter are the events of a team after an index, in order.
func framesAfter(r *registry.Registry, team string, after uint64, want topics) []frame {
	byIndex := map[uint64][]event{}
	add := func(e event) {
		if want.want(e) {
			byIndex[e.Index] = append(byIndex[e.Index], e)
		}
	}
	for _, j := range r.List(team, "") {
		if j.JobModifyIndex > after {
			kind := "JobRegistered"
			if j.Stopped {
				kind = "JobDeregistered"
			}
			add(event{
				Topic: "Job", Type: kind, Key: j.ID, Namespace: team, Index: j.JobModifyIndex, FilterKeys: []string{},
				Payload: map[string]any{"Job": stubOf(r, j)},
			})
			e := evaluationOf(r, j)
			add(event{
				Topic: "Evaluation", Type: "EvaluationUpdated", Key: e.ID, Namespace: team, Index: j.JobModifyIndex,
				FilterKeys: []string{j.ID}, Payload: map[string]any{"Evaluation": e},
			})
		}
		if at := r.ModifyIndex(j); at > after && at > j.JobModifyIndex {
			// Groups of it are done or were cancelled.
			e := evaluationOf(r, j)
			e.TriggeredBy, e.ModifyIndex = "alloc-stop", at
			add(event{
				Topic: "Evaluation", Type: "EvaluationUpdated", Key: e.ID, Namespace: team, Index: at,
				FilterKeys: []string{j.ID}, Payload: map[string]any{"Evaluation": e, "Job": stubOf(r, j)},
			})
		}
	}
	for _, g := range r.Purged(team, after) {
		add(event{
			Topic: "Job", Type: "JobDeregistered", Key: g.ID, Namespace: team, Index: g.Index, FilterKeys: []string{},
			Payload: map[string]any{"Job": nil},
		})
	}
	var out []frame
	for index, events := range byIndex {
		out = append(out, frame{index, events})
	}
	slices.SortFunc(out, func(a, b frame) int {
		if a.Index < b.Index {
			return -1
		}
		return 1
	})
	return out
}
