package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
)

func TestParseEntries(t *testing.T) {
	const good = "TestDays/a_day: a late write takes a record; issue 36\n"
	for _, c := range []struct {
		what, text string
		lines      int
		ok         bool
	}{
		{"no line", "", 0, true},
		{"a subtest", good, 1, true},
		{"three", strings.Repeat(good, 3), 3, true},
		{"four", strings.Repeat(good, 4), 0, false},
		{"no cause", "TestDays: ; issue 36", 0, false},
		{"no issue", "TestDays: late", 0, false},
		{"no test", "Days: late; issue 36", 0, false},
	} {
		got, err := parseEntries(strings.NewReader(c.text))
		if len(got) != c.lines && c.ok || (err == nil) != c.ok {
			t.Errorf("%s: %v, %v", c.what, got, err)
		}
	}
}

// TestUnknown: only what is listed is passed over, neither its neighbours nor the package.
func TestUnexpectedFailures(t *testing.T) {
	one := func(action, test string) string {
		return fmt.Sprintf(`{"Action":%q,"Package":"p","Test":%q}`+"\n", action, test)
	}
	ran := one("run", "TestA") + one("run", "TestA/x") + one("run", "TestB")
	for _, c := range []struct {
		what, events string
		list         []string
		bad          []string
		err          bool
	}{
		{"all passed", ran, nil, nil, false},
		{"one failed", ran + one("fail", "TestB") + one("fail", ""), nil, []string{"p TestB"}, false},
		{"a known one", ran + one("fail", "TestB") + one("fail", ""), []string{"TestB"}, nil, false},
		{"a known one and another", ran + one("fail", "TestB") + one("fail", "TestA/x") + one("fail", "TestA") + one("fail", ""), []string{"TestB"}, []string{"p TestA/x"}, false},
		{"a known subtest", ran + one("fail", "TestA/x") + one("fail", "TestA") + one("fail", ""), []string{"TestA/x"}, nil, false},
		{"its neighbour", ran + one("fail", "TestA/x") + one("fail", "TestA") + one("fail", ""), []string{"TestA/y"}, nil, true},
		{"the package failed by itself", ran + one("fail", ""), []string{"TestB"}, []string{"p "}, false},
		{"a known one that takes the others with it", ran + `{"Action":"output","Package":"p","Test":"TestB","Output":"panic: oh\n"}` + "\n" + one("fail", "TestB") + one("fail", ""), []string{"TestB"}, []string{"p TestB"}, false},
		{"it does not build", `{"ImportPath":"p","Action":"build-fail"}` + "\n" + one("fail", ""), nil, []string{" ", "p "}, false},
	} {
		v, err := readEvents(strings.NewReader(c.events), io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		var list []knownFailure
		for _, name := range c.list {
			list = append(list, knownFailure{test: name})
		}
		bad, err := v.unexpectedFailures(list)
		slices.Sort(bad)
		if !slices.Equal(bad, c.bad) || (err != nil) != c.err {
			t.Errorf("%s: %q, %v; want %q", c.what, bad, err, c.bad)
		}
	}
}
