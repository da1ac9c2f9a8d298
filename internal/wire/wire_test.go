package wire

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"

	"aspenstall/internal/core"
)

// submission returns a valid submission with every field.
func submission() map[string]any {
	return map[string]any{
		"uid": "job-000412", "herd": "train", "crew": "vision", "shape": "ensemble", "urgency": "high", "lots": 16,
		"cores": 8.0, "gpus": 1.0, "ram_gb": 64.0, "bundle": "img-07", "image_gb": 6.2, "breeds": []string{"g8"},
		"paddock": nil, "together": true, "scatter": false, "loaners": true, "expect_s": 240.0,
		"pin_every_s": 30.0, "pin_cost_s": 4.0, "due_s": 900.0,
	}
}

// TestParseSubmission checks a submission's fields, and that its record decodes to the same job.
func TestParseSubmission(t *testing.T) {
	b, err := Marshal(submission())
	if err != nil {
		t.Fatal(err)
	}
	got, err := ParseSubmission(b)
	want := core.JobSpec{
		ID: "job-000412", Class: "train", Team: "vision", Kind: core.Gang, Priority: core.High, Tasks: 16,
		Resources: core.Resources{CPU: 8000, GPU: 1000, Mem: 64000}, Types: []string{"g8"}, OneZone: true, Spot: true,
		Image: "img-07", ImageMB: 6200, EstimatedRun: 240 * core.Second, CheckpointInterval: 30 * core.Second,
		CheckpointCost: 4 * core.Second, Deadline: 900 * core.Second,
	}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v", got, err)
	}
	rec := core.JobRecord{Spec: got, Phase: core.Cancelled, SubmittedAt: 5, Revision: 9}
	b, err = EncodeJob(&rec)
	if err != nil {
		t.Fatal(err)
	}
	if back, err := DecodeJob(got.ID, b, 9); err != nil || !reflect.DeepEqual(back, rec) {
		t.Errorf("the record decodes as %+v, %v", back, err)
	}
}

// TestBadSubmissions checks that an invalid field is named in the error, and that malformed
// messages are refused.
func TestBadSubmissions(t *testing.T) {
	for _, c := range []struct {
		field string
		value any // nil removes the field
	}{
		{"uid", nil}, {"uid", "task-1"}, {"uid", "job-"}, {"uid", "job-1/2"}, {"uid", 7},
		{"herd", nil}, {"crew", ""}, {"shape", "array"}, {"urgency", nil}, {"lots", 0}, {"lots", 100_001}, {"lots", 2.5},
		{"lots", "3"}, {"lots", uint64(math.MaxUint64)}, {"cores", -1.0}, {"cores", "4"}, {"cores", math.NaN()},
		{"ram_gb", math.Inf(1)}, {"breeds", "g8"}, {"breeds", []any{1}}, {"paddock", 3}, {"together", nil}, {"scatter", 1},
		{"loaners", "yes"}, {"bundle", nil}, {"expect_s", nil}, {"due_s", "soon"}, {"due_s", -1.0},
	} {
		t.Run(fmt.Sprint(c.field, " ", c.value), func(t *testing.T) {
			m := submission()
			if c.value == nil {
				delete(m, c.field)
			} else {
				m[c.field] = c.value
			}
			b, err := Marshal(m)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := ParseSubmission(b); err == nil || !strings.Contains(err.Error(), c.field) {
				t.Errorf("got %v", err)
			}
		})
	}
	for _, b := range [][]byte{nil, {0xc0}, {0x93, 1, 2, 3}, []byte("{}"), {0xdf, 0xff, 0xff, 0xff, 0xff}} {
		if _, err := ParseSubmission(b); err == nil {
			t.Errorf("%x is accepted", b)
		}
	}
	if id := SubmissionID([]byte{0x81, 0xa3, 'u', 'i', 'd', 0xa5, 'j', 'o', 'b', '-', '7'}); id != "job-7" {
		t.Errorf("got id %q of an incomplete submission, want job-7", id)
	}
}

func TestReport(t *testing.T) {
	b, err := Marshal(map[string]any{
		"stall": "n-1", "address": "10.1.0.1:9", "breed": "g8", "paddock": "a", "loaners": true, "tenure": 2, "tick": 88,
		"epoch": 41, "recall_s": 1.5, "extra": 1, "lots": []map[string]any{
			{"lot": "job-1/3", "try": uint64(1) << 40, "phase": "running"},
			{"lot": "job-2/0", "try": 1, "phase": "exited", "cause": "mates_gone", "kept": true},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	got, err := ParseReport(b)
	want := &core.Report{
		Machine: "n-1", Address: "10.1.0.1:9", Type: "g8", Zone: "a", Spot: true, Session: 2, Seq: 88, Token: 41,
		SpotNotice: 1500 * core.Millisecond, Tasks: []core.TaskReport{
			{Job: "job-1", Index: 3, Attempt: 1 << 40, State: core.Running, Cause: core.CauseError},
			{Job: "job-2", Index: 0, Attempt: 1, State: core.Exited, Cause: core.CausePeersLost, Checkpointed: true},
		},
	}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v", got, err)
	}
	if _, err := ParseReport([]byte{0x80}); err == nil {
		t.Error("an empty report is accepted")
	}
}

// TestCommandsFitBody checks that the largest message of commands fits the protocol's limit.
func TestCommandsFitBody(t *testing.T) {
	command := core.Command{Op: core.Stop, Job: strings.Repeat("j", 64), Index: math.MaxInt32, Attempt: math.MaxUint64, GracePeriod: core.MaxMicros}
	commands := make([]core.Command, core.MaxCommands)
	for i := range commands {
		commands[i] = command
	}
	b, err := EncodeCommands(math.MaxUint64, math.MaxUint64, commands)
	if err != nil || len(b) > MaxBodyBytes {
		t.Errorf("%d bytes of %d, %v", len(b), MaxBodyBytes, err)
	}
}
