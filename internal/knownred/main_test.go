package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
)

// TestParseEntries checks the format and the maximum number of entries.
func TestParseEntries(t *testing.T) {
	const good = "TestDays/a_day: a late write takes a record; issue 36\n"
	for _, c := range []struct {
		name, text string
		lines      int
		ok         bool
	}{
		{"empty file", "", 0, true},
		{"one subtest", good, 1, true},
		{"three", strings.Repeat(good, 3), 3, true},
		{"four", strings.Repeat(good, 4), 0, false},
		{"no cause", "TestDays: ; issue 36", 0, false},
		{"no issue", "TestDays: late", 0, false},
		{"no test", "Days: late; issue 36", 0, false},
	} {
		got, err := parseEntries(strings.NewReader(c.text))
		if len(got) != c.lines && c.ok || (err == nil) != c.ok {
			t.Errorf("%s: %v, %v", c.name, got, err)
		}
	}
}

// TestUnexpectedFailures checks that only listed tests are ignored, not other tests of the package
// or the package itself.
func TestUnexpectedFailures(t *testing.T) {
	one := func(action, test string) string {
		return fmt.Sprintf(`{"Action":%q,"Package":"p","Test":%q}`+"\n", action, test)
	}
	ran := one("run", "TestA") + one("run", "TestA/x") + one("run", "TestB")
	for _, c := range []struct {
		name, events string
		list         []string
		failures     []string
		err          bool
	}{
		{"all passed", ran, nil, nil, false},
		{"one failure", ran + one("fail", "TestB") + one("fail", ""), nil, []string{"p TestB"}, false},
		{"known failure", ran + one("fail", "TestB") + one("fail", ""), []string{"TestB"}, nil, false},
		{"known and other failure", ran + one("fail", "TestB") + one("fail", "TestA/x") + one("fail", "TestA") + one("fail", ""), []string{"TestB"}, []string{"p TestA/x"}, false},
		{"known subtest", ran + one("fail", "TestA/x") + one("fail", "TestA") + one("fail", ""), []string{"TestA/x"}, nil, false},
		{"subtest of a known failure", ran + one("fail", "TestA/x") + one("fail", "TestA") + one("fail", ""), []string{"TestA"}, nil, false},
		{"failure whose name begins alike", ran + one("run", "TestAB") + one("fail", "TestAB") + one("fail", ""), []string{"TestA"}, []string{"p TestAB"}, false},
		{"other subtest", ran + one("fail", "TestA/x") + one("fail", "TestA") + one("fail", ""), []string{"TestA/y"}, nil, true},
		{"package fails without a test", ran + one("fail", ""), []string{"TestB"}, []string{"p "}, false},
		{"known failure that panics", ran + `{"Action":"output","Package":"p","Test":"TestB","Output":"panic: oh\n"}` + "\n" + one("fail", "TestB") + one("fail", ""), []string{"TestB"}, []string{"p TestB"}, false},
		{"build failure", `{"ImportPath":"p","Action":"build-fail"}` + "\n" + one("fail", ""), nil, []string{" ", "p "}, false},
	} {
		v, err := readEvents(strings.NewReader(c.events), io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		var list []knownFailure
		for _, name := range c.list {
			list = append(list, knownFailure{test: name})
		}
		failures, err := v.unexpectedFailures(list)
		slices.Sort(failures)
		if !slices.Equal(failures, c.failures) || (err != nil) != c.err {
			t.Errorf("%s: %q, %v; want %q", c.name, failures, err, c.failures)
		}
	}
}
