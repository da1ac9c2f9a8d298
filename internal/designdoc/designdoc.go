// Package designdoc reads the tables of the pages under docs/design, so that tests can compare them with
// the code.
package designdoc

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

// Rows returns the cells of the rows of the table whose first column has the given heading.
func Rows(page, heading string) ([][]string, error) {
	text, err := os.ReadFile(page)
	if err != nil {
		return nil, err
	}
	var rows [][]string
	inTable := false
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		switch {
		case !strings.HasPrefix(line, "|"):
			inTable = false
		case strings.HasPrefix(line, "| "+heading+" |"):
			inTable = true
		case inTable && !strings.HasPrefix(line, "| ---"):
			rows = append(rows, cells(line))
		}
	}
	if len(rows) == 0 {
		return nil, fmt.Errorf("%s has no table with the heading %q", page, heading)
	}
	return rows, nil
}

// cells returns the cells of a row.
func cells(line string) []string {
	var out []string
	for cell := range strings.SplitSeq(strings.Trim(line, "|"), "|") {
		out = append(out, strings.TrimSpace(cell))
	}
	return out
}

// testPattern matches the definition of a test function.
var testPattern = regexp.MustCompile(`(?m)^func (Test\w+)\(`)

// Tests returns the names of the test functions in the tree at root.
func Tests(root string) (map[string]bool, error) {
	names := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, match := range testPattern.FindAllStringSubmatch(string(text), -1) {
			names[match[1]] = true
		}
		return err
	})
	return names, err
}

// CheckTests returns an error if a cell names no test, or one that is not among the tests.
func CheckTests(cell string, tests map[string]bool) error {
	named := List(cell)
	if len(named) == 0 {
		return errors.New("no test is named")
	}
	for _, name := range named {
		if !tests[name] {
			return fmt.Errorf("there is no test %s", name)
		}
	}
	return nil
}

// List returns the entries of a cell that are separated by commas.
func List(cell string) []string {
	var out []string
	for entry := range strings.SplitSeq(cell, ",") {
		if entry = strings.Trim(strings.TrimSpace(entry), "`"); entry != "" {
			out = append(out, entry)
		}
	}
	return out
}
