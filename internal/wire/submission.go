package wire

import (
	"fmt"
	"math"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"aspenstall/internal/core"
)

var kindsByName = map[string]core.Kind{"batch": core.Array, "ensemble": core.Gang, "standing": core.Service}

var prioritiesByName = map[string]core.Priority{
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

// floorMilli converts an amount of a machine's resource to thousandths, rounded down.
func floorMilli(f float64) int64 { return int64(math.Floor(f*1000 + 1e-6)) }

// fieldReader reads the fields of a decoded map and keeps the first error.
type fieldReader struct {
	values map[string]any
	err    error
}

// fail records an error for a field unless there already is one.
func (f *fieldReader) fail(name, why string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s", name, why)
	}
}

// readString reads a text of 1 to core.MaxNameBytes bytes. If optional, a missing field or null
// reads as "".
func (f *fieldReader) readString(name string, optional bool) string {
	v := f.values[name]
	if v == nil && optional {
		return ""
	}
	s, ok := v.(string)
	if !ok || s == "" || len(s) > core.MaxNameBytes {
		f.fail(name, "want a text")
	}
	return s
}

// readBool reads true or false.
func (f *fieldReader) readBool(name string) bool {
	b, ok := f.values[name].(bool)
	if !ok {
		f.fail(name, "want true or false")
	}
	return b
}

// readNumber reads a number from lo to hi.
func (f *fieldReader) readNumber(name string, lo, hi float64) float64 {
	var n float64
	switch v := f.values[name].(type) {
	case float64:
		n = v
	case float32:
		n = float64(v)
	default:
		i, ok := asInt64(v)
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

// asInt64 returns the value of any integer type of the decoder; larger ones become the largest
// int64.
func asInt64(v any) (int64, bool) {
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

// readEnum reads a text and returns the value that it names.
func readEnum[T any](f *fieldReader, name string, byName map[string]T) T {
	s, _ := f.values[name].(string)
	v, ok := byName[s]
	if !ok {
		f.fail(name, "unknown value")
	}
	return v
}

// readDependencies reads a list of other jobs' ids, each once, for the job with an id. A missing field
// or null is an empty list.
func (f *fieldReader) readDependencies(name, id string) []string {
	if f.values[name] == nil {
		return nil
	}
	list, ok := f.values[name].([]any)
	if !ok || len(list) > core.MaxDependencies {
		f.fail(name, fmt.Sprintf("want a list of at most %d job ids", core.MaxDependencies))
		return nil
	}
	var out []string
	for _, v := range list {
		other, _ := v.(string)
		switch {
		case !ValidID(other):
			f.fail(name, "not a job id")
		case other == id:
			f.fail(name, "a job can't wait for itself")
		case slices.Contains(out, other):
			f.fail(name, "a job is named twice")
		}
		out = append(out, other)
	}
	return out
}

// SubmissionID returns only the job id of a submission, so that a retry of an accepted job is
// answered even if the rest of the submission is invalid. It returns "" if there is no valid id.
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

// ParseSubmission decodes and checks a submission; an error names the first invalid field.
func ParseSubmission(b []byte) (core.JobSpec, error) {
	var s core.JobSpec
	var m map[string]any
	if err := Unmarshal(b, &m); err != nil {
		return s, err
	}
	if m == nil {
		return s, fmt.Errorf("the submission is not a map")
	}
	f := &fieldReader{values: m}
	s.ID = f.readString("uid", false)
	if !ValidID(s.ID) {
		f.fail("uid", "not a job id")
	}
	s.Class = f.readString("herd", false)
	s.Team = f.readString("crew", false)
	s.Kind = readEnum(f, "shape", kindsByName)
	s.Priority = readEnum(f, "urgency", prioritiesByName)
	n, ok := asInt64(m["lots"])
	if !ok || n < 1 || n > core.MaxTasks {
		f.fail("lots", "want a whole number from 1 to 100000")
	}
	s.Tasks = int(n)
	s.Resources = core.Resources{
		CPU: core.MilliUnits(f.readNumber("cores", 0, core.MaxTaskResource)),
		GPU: core.MilliUnits(f.readNumber("gpus", 0, core.MaxTaskResource)),
		Mem: core.MilliUnits(f.readNumber("ram_gb", 0, core.MaxTaskResource)),
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
	s.Zone = f.readString("paddock", true)
	s.OneZone = f.readBool("together")
	s.Spread = f.readBool("scatter")
	s.Spot = f.readBool("loaners")
	s.Image = f.readString("bundle", false)
	s.ImageMB = core.MilliUnits(f.readNumber("image_gb", 0, core.MaxTaskResource))
	s.EstimatedRun = core.Seconds(f.readNumber("expect_s", 0, core.MaxSeconds))
	s.CheckpointInterval = core.Seconds(f.readNumber("pin_every_s", 0, core.MaxSeconds))
	s.CheckpointCost = core.Seconds(f.readNumber("pin_cost_s", 0, core.MaxSeconds))
	if dependencies := f.readDependencies("awaits", s.ID); len(dependencies) > 0 {
		s.Chain = &core.Chain{Dependencies: dependencies}
	}
	if m["due_s"] != nil {
		s.Deadline = core.Seconds(f.readNumber("due_s", 0, core.MaxSeconds))
	}
	return s, f.err
}
