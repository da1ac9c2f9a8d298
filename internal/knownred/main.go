// Command knownred runs the module's tests and passes over failures of just those that a
// file lists, which it prints. A line of the file is
//
//	Test/sub: cause; issue N
//
// at most three of them. It fails on a line beyond that, on a malformed one, on a test that
// there is not, on every other failure, and on a package that does not build or panics.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
)

// most is how many tests may be passed over.
const maxEntries = 3

// known is a line of the file.
type knownFailure struct{ test, line string }

var entryPattern = regexp.MustCompile(`^(Test[A-Za-z0-9_]*(?:/[^:\s]+)*): (\S.*); issue [0-9]+$`)

// parse reads the file's lines; an empty one names nothing.
func parseEntries(r io.Reader) ([]knownFailure, error) {
	var out []knownFailure
	s := bufio.NewScanner(r)
	for s.Scan() {
		line := strings.TrimSpace(s.Text())
		if line == "" {
			continue
		}
		m := entryPattern.FindStringSubmatch(line)
		if m == nil {
			return nil, fmt.Errorf("malformed line: %q; want \"Test/sub: cause; issue N\"", line)
		}
		if len(out) == maxEntries {
			return nil, fmt.Errorf("more than %d lines", maxEntries)
		}
		out = append(out, knownFailure{m[1], line})
	}
	return out, s.Err()
}

// event is a line of what go test -json prints.
type testEvent struct {
	Action, Package, Test, Output string
}

// verdict is what came of a run of all tests.
type testResults struct {
	ran      map[string]bool     // tests, of any package
	failed   map[string]bool     // "package test"; a package that failed without one: "package "
	output   map[string][]string // by the same
	panicked []string            // packages that a test ended with a panic: the rest of it did not run
}

// judge reads the events of a run; it copies to out what go test would print without -v.
func readEvents(events io.Reader, out io.Writer) (testResults, error) {
	v := testResults{ran: map[string]bool{}, failed: map[string]bool{}, output: map[string][]string{}}
	dec := json.NewDecoder(events)
	for {
		var e testEvent
		if err := dec.Decode(&e); errors.Is(err, io.EOF) {
			return v, nil
		} else if err != nil {
			return v, fmt.Errorf("what go test printed: %w", err)
		}
		key := e.Package + " " + e.Test
		switch e.Action {
		case "run":
			v.ran[e.Test] = true
		case "output", "build-output":
			if e.Test == "" && !strings.HasPrefix(e.Output, "FAIL") {
				fmt.Fprint(out, e.Output)
			}
			v.output[key] = append(v.output[key], e.Output)
			if strings.HasPrefix(e.Output, "panic: ") {
				v.panicked = append(v.panicked, key)
			}
		case "fail", "build-fail":
			v.failed[key] = true
		}
	}
}

// unknown lists the failures that are not known, the innermost tests only: a test fails with
// its subtests, and a package with its tests.
func (v testResults) unexpectedFailures(list []knownFailure) (out []string, err error) {
	excused := map[string]bool{}
	for _, k := range list {
		if !v.ran[k.test] {
			return nil, fmt.Errorf("no such test: %s", k.test)
		}
		excused[k.test] = true
	}
	for key := range v.failed {
		pkg, test, _ := strings.Cut(key, " ")
		inner := false
		for other := range v.failed {
			p, o, _ := strings.Cut(other, " ")
			inner = inner || p == pkg && o != test && (test == "" || strings.HasPrefix(o, test+"/"))
		}
		if !inner && !excused[test] {
			out = append(out, key)
		}
	}
	for _, key := range v.panicked {
		if !slices.Contains(out, key) {
			out = append(out, key)
		}
	}
	return out, nil
}

func run(path string) error {
	var list []knownFailure
	f, err := os.Open(path)
	if err == nil {
		list, err = parseEntries(f)
		_ = f.Close()
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("%s: %w", path, err)
	}
	cmd := exec.Command("go", "test", "-json", "-timeout", "40m", "./...")
	cmd.Stderr = os.Stderr
	var events bytes.Buffer
	cmd.Stdout = &events
	status := cmd.Run()
	v, err := readEvents(&events, os.Stdout)
	if err != nil {
		return err
	}
	bad, err := v.unexpectedFailures(list)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	for _, key := range bad {
		fmt.Printf("--- FAIL: %s\n%s", key, strings.Join(v.output[key], ""))
	}
	for _, k := range list {
		fmt.Println("known red:", k.line)
	}
	switch {
	case len(bad) > 0:
		return fmt.Errorf("%d failures", len(bad))
	case status != nil && len(v.failed) == 0:
		return fmt.Errorf("go test: %w", status)
	}
	return nil
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: knownred FILE")
		os.Exit(2)
	}
	if err := run(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "FAIL:", err)
		os.Exit(1)
	}
}
