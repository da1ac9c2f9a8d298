package main

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// describeCommands lists the commands, arguments and flags below n with the properties that scripts
// depend on.
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

// TestCommandNames guards the names of commands and flags, which scripts use.
func TestCommandNames(t *testing.T) {
	k, err := kong.New(&cli{}, kong.Name("scalerun"))
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/commands.txt")
	if got := describeCommands(k.Model.Node, "scalerun"); err != nil || got != string(want) {
		t.Errorf("got\n%swant\n%s%v", got, want, err)
	}
}
