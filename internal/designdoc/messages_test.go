package designdoc_test

import (
	"context"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"regexp"
	"slices"
	"testing"

	"aspenstall/internal/cloud"
	"aspenstall/internal/designdoc"
	"aspenstall/internal/notify/deliver"
	"aspenstall/internal/peer"
	"aspenstall/internal/statestore"
	"aspenstall/internal/worker"
)

// messagesPage has the table of the kinds of messages.
const messagesPage = "../../docs/design/copied-messages.md"

// calls returns the methods of a client that take a context: those that send messages.
func calls(name string, client reflect.Type) []string {
	var out []string
	withContext := reflect.TypeFor[context.Context]()
	first := 1 // the receiver is before it
	if client.Kind() == reflect.Interface {
		first = 0
	}
	for m := range client.Methods() {
		if m.Type.NumIn() > first && m.Type.In(first) == withContext {
			out = append(out, name+"."+m.Name)
		}
	}
	return out
}

// commandOps returns the names of the operations of commands.
func commandOps(t *testing.T) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../core/types.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, decl := range file.Decls {
		group, ok := decl.(*ast.GenDecl)
		if !ok || group.Tok != token.CONST {
			continue
		}
		if kind, ok := group.Specs[0].(*ast.ValueSpec).Type.(*ast.Ident); !ok || kind.Name != "Op" {
			continue
		}
		for _, spec := range group.Specs {
			out = append(out, "command "+spec.(*ast.ValueSpec).Names[0].Name)
		}
	}
	return out
}

// routes returns the matches of a pattern's first group in a file.
func routes(t *testing.T, path, pattern string) []string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(string(text), -1) {
		out = append(out, match[1])
	}
	return out
}

// TestMessageKinds guards against a kind of message of which nobody has said what a copy of it does.
func TestMessageKinds(t *testing.T) {
	rows, err := designdoc.Rows(messagesPage, "messages")
	if err != nil {
		t.Fatal(err)
	}
	tests, err := designdoc.Tests("..")
	if err != nil {
		t.Fatal(err)
	}
	named := map[string]bool{}
	for _, row := range rows {
		if len(row) != 4 || row[2] == "" {
			t.Errorf("incomplete row %q", row)
			continue
		}
		for _, message := range designdoc.List(row[0]) {
			named[message] = true
		}
		if err := designdoc.CheckTests(row[3], tests); err != nil {
			t.Errorf("%s: %v", row[0], err)
		}
	}
	kinds := map[string][]string{
		"commands":           commandOps(t),
		"state service":      calls("statestore", reflect.TypeFor[*statestore.Client]()),
		"cloud":              calls("cloud", reflect.TypeFor[*cloud.Client]()),
		"workers":            calls("worker", reflect.TypeFor[*worker.Client]()),
		"peers":              calls("peer", reflect.TypeFor[peer.Handler]()),
		"receivers":          calls("deliver", reflect.TypeFor[*deliver.Sender]()),
		"users and workers":  routes(t, "../httpapi/httpapi.go", `mux\.HandleFunc\(wire\.(\w+)`),
		"Nomad's routes":     routes(t, "../nomad/httpapi/routes.go", `(?m)^\t"(/v1/[^"]*)":.*methods: "[^"]*P[OU]`),
		"Nomad's job routes": routes(t, "../nomad/httpapi/routes.go", `(?m)^\t"(\w*)":.*methods: "[^"]*P[OU]`),
	}
	for group, messages := range kinds {
		if len(messages) == 0 {
			t.Errorf("%s: no message was found", group)
		}
		for _, message := range slices.Compact(slices.Sorted(slices.Values(messages))) {
			if message == "" {
				message = "/v1/job/"
			}
			if !named[message] {
				t.Errorf("%s: no row names %s", group, message)
			}
		}
	}
}
