package txn_test

import (
	"testing"

	"aspenstall/internal/designdoc"
	"aspenstall/internal/txn"
)

// designPage is the page with the table of the kinds.
const designPage = "../../docs/design/late-writes.md"

// TestKinds checks that every kind is described, in the list and on the page, and that the tests exist
// that the page names. A kind that is left out of the list can't be sent.
func TestKinds(t *testing.T) {
	rows, err := designdoc.Rows(designPage, "kind")
	if err != nil {
		t.Fatal(err)
	}
	tests, err := designdoc.Tests("..")
	if err != nil {
		t.Fatal(err)
	}
	byName := map[string][]string{}
	for _, row := range rows {
		if len(row) != 4 || byName[row[0]] != nil {
			t.Errorf("incomplete or repeated row %q", row)
			continue
		}
		byName[row[0]] = row
	}
	for kind := txn.Unlisted + 1; kind < txn.NumKinds; kind++ {
		info, listed := txn.Describe(kind)
		if !listed || info.Name == "" || info.Late == "" {
			t.Errorf("kind %d has no complete description: %+v", kind, info)
			continue
		}
		row := byName[info.Name]
		delete(byName, info.Name)
		if row == nil || row[1] != info.Guard.String() || row[2] != info.Late {
			t.Errorf("kind %q (%s): %s\nthe page has %q", info.Name, info.Guard, info.Late, row)
			continue
		}
		if err := designdoc.CheckTests(row[3], tests); err != nil {
			t.Errorf("kind %q: %v", info.Name, err)
		}
	}
	for name := range byName {
		t.Errorf("the page has a row of an unknown kind, or of a name that two kinds have: %q", name)
	}
	for _, kind := range []txn.Kind{txn.Unlisted, txn.NumKinds} {
		if _, listed := txn.Describe(kind); listed {
			t.Errorf("kind %d is listed", kind)
		}
	}
}
