package txn_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"aspenstall/internal/txn"
)

// designPage is the page with the table of the kinds.
const designPage = "../../docs/design/late-writes.md"

// testSources returns the text of all test files of the module's internal packages.
func testSources(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		all.Write(text)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return all.String()
}

// TestKinds checks that every kind is described, in the list and on the page, and that the tests exist
// that are said to execute it late. A kind that is left out of the list can't be sent.
func TestKinds(t *testing.T) {
	page, err := os.ReadFile(designPage)
	if err != nil {
		t.Fatal(err)
	}
	tests := testSources(t)
	names := map[string]bool{}
	for kind := txn.Unlisted + 1; kind < txn.NumKinds; kind++ {
		info, listed := txn.Describe(kind)
		if !listed || info.Name == "" || info.Late == "" || len(info.Tests) == 0 || names[info.Name] {
			t.Errorf("kind %d has no complete description of its own: %+v", kind, info)
			continue
		}
		names[info.Name] = true
		row := "| " + strings.Join([]string{info.Name, info.Guard.String(), info.Late, strings.Join(info.Tests, ", ")}, " | ") + " |\n"
		if !strings.Contains(string(page), row) {
			t.Errorf("the page has no row %s", row)
		}
		for _, name := range info.Tests {
			if !strings.Contains(tests, "func "+name+"(") {
				t.Errorf("kind %q: there is no test %s", info.Name, name)
			}
		}
	}
	for _, kind := range []txn.Kind{txn.Unlisted, txn.NumKinds} {
		if _, listed := txn.Describe(kind); listed {
			t.Errorf("kind %d is listed", kind)
		}
	}
}
