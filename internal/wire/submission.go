package wire

import (
	"fmt"
	"math"

	"github.com/vmihailenco/msgpack/v5"

	"aspenstall/internal/core"
)

var kinds = map[string]core.Kind{"batch": core.Array, "ensemble": core.Gang, "standing": core.Service}

var priorities = map[string]core.Priority{
	"production": core.Production, "high": core.High, "standard": core.Normal, "idle": core.Low,
}

// ValidID reports whether s has the form of a job id: "job-" and digits.
func ValidID(s string) bool {
	if len(s) < 5 || len(s) > 64 || s[:4] != "job-" {
		return false
	}
	for _, r := range s[4:] {
		if r < '0' || r > '9' {
			return false
		}
	}
	return true
}

// floor rounds a machine's room down.
func floor(f float64) int64 { return int64(math.Floor(f*1000 + 1e-6)) }

// fields reads a decoded map and remembers the first thing wrong with it.
type fields struct {
	m   map[string]any
	err error
}

func (f *fields) fail(name, why string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s", name, why)
	}
}

func (f *fields) text(name string, null bool) string {
	v := f.m[name]
	if v == nil && null {
		return ""
	}
	s, ok := v.(string)
	if !ok || s == "" || len(s) > core.MaxNameBytes {
		f.fail(name, "want a text")
	}
	return s
}

func (f *fields) flag(name string) bool {
	b, ok := f.m[name].(bool)
	if !ok {
		f.fail(name, "want true or false")
	}
	return b
}

func (f *fields) number(name string, lo, hi float64) float64 {
	var n float64
	switch v := f.m[name].(type) {
	case float64:
		n = v
	case float32:
		n = float64(v)
	default:
		i, ok := integer(v)
		if !ok {
			f.fail(name, "want a number")
			return 0
		}
		n = float64(i)
	}
	if math.IsNaN(n) || n < lo || n > hi {
		f.fail(name, "out of range")
		return 0
	}
	return n
}

func integer(v any) (int64, bool) {
	switch v := v.(type) {
	case int8:
		return int64(v), true
	case int16:
		return int64(v), true
	case int32:
		return int64(v), true
	case int64:
		return v, true
	case uint8:
		return int64(v), true
	case uint16:
		return int64(v), true
	case uint32:
		return int64(v), true
	case uint64:
		if v > math.MaxInt64 {
			return math.MaxInt64, true
		}
		return int64(v), true
	}
	return 0, false
}

func word[T any](f *fields, name string, words map[string]T) T {
	s, _ := f.m[name].(string)
	v, ok := words[s]
	if !ok {
		f.fail(name, "unknown value")
	}
	return v
}

// SubmissionID reads only the id of a submission, so that a retry can be
// answered whatever else it holds.
func SubmissionID(b []byte) string {
	var w struct {
		ID msgpack.RawMessage `msgpack:"uid"`
	}
	var id string
	if Unmarshal(b, &w) != nil || Unmarshal(w.ID, &id) != nil || !ValidID(id) {
		return ""
	}
	return id
}

// ParseSubmission reads a submission; the error says which field is wrong.
func ParseSubmission(b []byte) (core.JobSpec, error) {
	var s core.JobSpec
	var m map[string]any
	if err := Unmarshal(b, &m); err != nil {
		return s, err
	}
	if m == nil {
		return s, fmt.Errorf("not a map")
	}
	f := &fields{m: m}
	s.ID = f.text("uid", false)
	if !ValidID(s.ID) {
		f.fail("uid", "not a job id")
	}
	s.Class = f.text("herd", false)
	s.Team = f.text("crew", false)
	s.Kind = word(f, "shape", kinds)
	s.Priority = word(f, "urgency", priorities)
	n, ok := integer(m["lots"])
	if !ok || n < 1 || n > core.MaxTasks {
		f.fail("lots", "want a whole number from 1 to 100000")
	}
	s.Tasks = int(n)
	s.Request = core.Resources{
		CPU: core.MilliUnits(f.number("cores", 0, core.MaxTaskResource)),
		GPU: core.MilliUnits(f.number("gpus", 0, core.MaxTaskResource)),
		Mem: core.MilliUnits(f.number("ram_gb", 0, core.MaxTaskResource)),
	}
	switch v := m["breeds"].(type) {
	case nil:
	case []any:
		s.Types = []string{}
		for _, t := range v {
			name, ok := t.(string)
			if !ok {
				f.fail("breeds", "want a list of texts")
			}
			s.Types = append(s.Types, name)
		}
	default:
		f.fail("breeds", "want a list or null")
	}
	s.Zone = f.text("paddock", true)
	s.OneZone = f.flag("together")
	s.Spread = f.flag("scatter")
	s.Spot = f.flag("loaners")
	s.Image = f.text("bundle", false)
	s.ImageMB = core.MilliUnits(f.number("image_gb", 0, core.MaxTaskResource))
	s.EstimatedRun = core.Seconds(f.number("expect_s", 0, core.MaxSeconds))
	s.CheckpointInterval = core.Seconds(f.number("pin_every_s", 0, core.MaxSeconds))
	s.CheckpointCost = core.Seconds(f.number("pin_cost_s", 0, core.MaxSeconds))
	if m["due_s"] != nil {
		s.Deadline = core.Seconds(f.number("due_s", 0, core.MaxSeconds))
	}
	return s, f.err
}
