// Command knownred runs the module's tests and ignores the failures of the tests that a file of
// known failures lists. It prints the entries of the file, which are lines of the form
//
//	Test/sub: cause; issue N
//
// An entry of a test covers its subtests. The file has at most three entries. The command fails if the
// file has more or malformed entries, or lists a test that did not run, if any other test fails, and
// if a package does not build or panics.
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

// maxEntries is the maximum number of known failures.
const maxEntries = 3

// knownFailure is an entry of the file of known failures.
type knownFailure struct{ test, line string }

// covers reports whether the entry is of the test, or of a test that has it as a subtest.
func (k knownFailure) covers(test string) bool {
	return test == k.test || strings.HasPrefix(test, k.test+"/")
}

// entryPattern matches an entry; its first group is the test.
var entryPattern = regexp.MustCompile(`^(Test[A-Za-z0-9_]*(?:/[^:\s]+)*): (\S.*); issue [0-9]+$`)

// parseEntries parses a file of known failures. Empty lines are ignored.
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
			return nil, fmt.Errorf("malformed entry: %q; want \"Test/sub: cause; issue N\"", line)
		}
		if len(out) == maxEntries {
			return nil, fmt.Errorf("more than %d entries", maxEntries)
		}
		out = append(out, knownFailure{m[1], line})
	}
	return out, s.Err()
}

// testEvent is an event in the output of go test -json.
type testEvent struct {
	Action, Package, Test, Output string
}

// testResults are the results of a run of all tests.
type testResults struct {
	ran      map[string]bool     // by test, in any package
	failed   map[string]bool     // by "package test"; "package " for the package itself
	output   map[string][]string // by the same keys
	panicked []string            // keys as above whose output has a panic, which ends the package's other tests
}

// readEvents reads the events of a run, and copies to out what go test prints without -v. It
// returns an error for malformed output.
func readEvents(events io.Reader, out io.Writer) (testResults, error) {
	results := testResults{ran: map[string]bool{}, failed: map[string]bool{}, output: map[string][]string{}}
	dec := json.NewDecoder(events)
	for {
		var e testEvent
		if err := dec.Decode(&e); errors.Is(err, io.EOF) {
			return results, nil
		} else if err != nil {
			return results, fmt.Errorf("output of go test: %w", err)
		}
		key := e.Package + " " + e.Test
		switch e.Action {
		case "run":
			results.ran[e.Test] = true
		case "output", "build-output":
			if e.Test == "" && !strings.HasPrefix(e.Output, "FAIL") {
				fmt.Fprint(out, e.Output)
			}
			results.output[key] = append(results.output[key], e.Output)
			if strings.HasPrefix(e.Output, "panic: ") {
				results.panicked = append(results.panicked, key)
			}
		case "fail", "build-fail":
			results.failed[key] = true
		}
	}
}

// unexpectedFailures returns the keys of the failures that are not in knownFailures, and of all
// panics. A test fails with its subtests, and a package with its tests, so only the innermost
// failures count. It returns an error if a test of knownFailures did not run.
func (results testResults) unexpectedFailures(knownFailures []knownFailure) (out []string, err error) {
	for _, k := range knownFailures {
		if !results.ran[k.test] {
			return nil, fmt.Errorf("no such test: %s", k.test)
		}
	}
	for key := range results.failed {
		pkg, test, _ := strings.Cut(key, " ")
		hasInnerFailure := false
		for other := range results.failed {
			p, o, _ := strings.Cut(other, " ")
			hasInnerFailure = hasInnerFailure || p == pkg && o != test && (test == "" || strings.HasPrefix(o, test+"/"))
		}
		covered := slices.ContainsFunc(knownFailures, func(k knownFailure) bool { return k.covers(test) })
		if !hasInnerFailure && !covered {
			out = append(out, key)
		}
	}
	for _, key := range results.panicked {
		if !slices.Contains(out, key) {
			out = append(out, key)
		}
	}
	return out, nil
}

// run runs all tests and compares their failures with the file of known failures at path. A missing
// file lists none.
func run(path string) error {
	var knownFailures []knownFailure
	f, err := os.Open(path)
	if err == nil {
		knownFailures, err = parseEntries(f)
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
	results, err := readEvents(&events, os.Stdout)
	if err != nil {
		return err
	}
	failures, err := results.unexpectedFailures(knownFailures)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	for _, key := range failures {
		fmt.Printf("--- FAIL: %s\n%s", key, strings.Join(results.output[key], ""))
	}
	for _, k := range knownFailures {
		fmt.Println("known red:", k.line)
	}
	switch {
	case len(failures) > 0:
		return fmt.Errorf("%d failures", len(failures))
	case status != nil && len(results.failed) == 0:
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
