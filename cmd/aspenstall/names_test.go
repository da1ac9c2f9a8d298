package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"aspenstall/internal/configclient"
)

// describeCommands lists commands, arguments and flags with the properties that scripts rely on.
func describeCommands(n *kong.Node, path string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n", path)
	for _, p := range n.Positional {
		fmt.Fprintf(&b, "  <%s> required=%v type=%s\n", p.Name, p.Required, p.Target.Type())
	}
	for _, f := range n.Flags {
		fmt.Fprintf(&b, "  --%s type=%s enum=%q default=%q", f.Name, f.Target.Type(), f.Enum, f.Default)
		if f.Short != 0 || len(f.Aliases)+len(f.Envs) > 0 {
			fmt.Fprintf(&b, " short=%c aliases=%q env=%q", f.Short, f.Aliases, f.Envs)
		}
		b.WriteString("\n")
	}
	for _, c := range n.Children {
		name := path + " " + c.Name
		if c == n.DefaultCmd {
			name += " (default)"
		}
		b.WriteString(describeCommands(c, name))
	}
	return b.String()
}

// TestCommandNames compares commands, arguments and flags with testdata/commands.txt.
func TestCommandNames(t *testing.T) {
	k, err := kong.New(&cli{}, kong.Name("aspenstall"))
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/commands.txt")
	if got := describeCommands(k.Model.Node, "aspenstall"); err != nil || got != string(want) {
		t.Errorf("got\n%swant\n%s%v", got, want, err)
	}
}

// TestExitCodes checks the exit codes that scripts rely on.
func TestExitCodes(t *testing.T) {
	for _, c := range []struct {
		err  error
		want int
	}{
		{configclient.ErrNotReady, 3}, {configclient.ErrConflict, 4}, {configclient.ErrNotInForce, 5}, {configclient.ErrOutcomeUnknown, 5},
		{configclient.ErrTeamHasJobs, 6}, {errDiffers, 7}, {errors.New("another"), 0},
	} {
		if got := configExitCode(c.err); got != c.want {
			t.Errorf("%v: %d, want %d", c.err, got, c.want)
		}
	}
	if exitConfig != 2 {
		t.Errorf("exit code %d for invalid settings, want 2", exitConfig)
	}
}

// TestCheckResultNames checks the JSON output of the command nomad check.
func TestCheckResultNames(t *testing.T) {
	job := nativeJob{
		Group: "g", Team: "t", Class: "c", Kind: "gang", Priority: "high", Tasks: 1, CPUs: 2.5, GPUs: 3.5, MemGB: 4.5, Types: []string{"ty"}, Zone: "z",
		OneZone: true, Spread: true, Spot: true, Image: "im", ImageGB: 5.5, EstimateS: 6.5, CheckpointS: 7.5, CheckpointCostS: 8.5, DeadlineS: 9.5,
	}
	refusal := refusalView{File: "f", Line: 10, Column: 11, Reason: "r"}
	all := checkResult{File: "f", Jobs: []nativeJob{job}, Refusals: []refusalView{refusal}, Warnings: []refusalView{refusal}}
	for _, v := range []any{all, job, refusal} {
		v := reflect.ValueOf(v)
		for i := range v.NumField() {
			if v.Field(i).IsZero() {
				t.Errorf("%v.%s is not set", v.Type(), v.Type().Field(i).Name)
			}
		}
	}
	var got bytes.Buffer
	if err := printChecked(&got, "json", []checkResult{all}); err != nil {
		t.Fatal(err)
	}
	if want, err := os.ReadFile("testdata/checked.json"); err != nil || got.String() != string(want) {
		t.Errorf("got\n%swant\n%s%v", got.String(), want, err)
	}
}
