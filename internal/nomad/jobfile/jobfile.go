// Package jobfile reads Nomad's job files: HCL2 with variables, locals, functions and dynamic blocks,
// and the JSON form that clients send. Both become the same typed Job with the published defaults. The
// result keeps the line and column of every value, so that a later refusal can name its place.
//
// The format is the published job specification
// (https://developer.hashicorp.com/nomad/docs/job-specification) and the JSON form of the HTTP API.
// The grammar is one table (grammar.go), from which the schema in job.schema.json is generated.
//
// Files are untrusted input: their size, nesting and evaluation cost are bounded. Nothing outside the
// file is read.
package jobfile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// MaxSource is the largest job file, in bytes.
const MaxSource = 512 << 10

// maxDepth is the deepest nesting of brackets, blocks and expressions.
const maxDepth = 48

// Pos is a position in a file. Line and Column count from 1; Column counts characters. A zero Line
// stands for the whole file.
type Pos struct {
	File         string
	Line, Column int
}

func (p Pos) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Problem is an error in a file, or a part of it that is not supported.
type Problem struct {
	Pos
	Text string
}

func (p Problem) String() string { return p.Pos.String() + ": " + p.Text }

// Problems lists all problems of a file.
type Problems []Problem

// Error lists the problems, one on each line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Sort sorts the problems by file and position, and removes adjacent duplicates.
func (ps Problems) Sort() Problems {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return slices.Compact(ps)
}

// File is a parsed job file.
type File struct {
	Name string
	Job  *Job // with the published defaults

	doc       map[string]any // the JSON form, without defaults
	positions map[string]Pos // position of each value, by JSON pointer
}

// Options control how a file is parsed.
type Options struct {
	// Vars holds values of the file's variables, as on a command line.
	Vars map[string]string
	// VarFiles holds files of values. Later files override earlier ones, and Vars overrides all files.
	VarFiles []VarFile
	// Request is set if the JSON form is a client's request, which has other fields beside the job.
	Request bool
}

// VarFile is a file of values of variables.
type VarFile struct {
	Name   string
	Source []byte
}

// Parse parses a job file in either form; a file that begins with a brace is JSON. The error is of
// type Problems and lists all problems of the file.
func Parse(name string, src []byte, o Options) (*File, error) {
	f := &File{Name: name, positions: map[string]Pos{}}
	var ps Problems
	switch {
	case len(src) > MaxSource:
		ps = Problems{{Pos{File: name}, fmt.Sprintf("the file has %d bytes; at most %d are read", len(src), MaxSource)}}
	case strings.HasPrefix(strings.TrimLeft(string(src[:min(len(src), 1<<10)]), " \t\r\n\ufeff"), "{"):
		ps = f.readJSON(src, o)
	default:
		ps = f.readHCL(src, o)
	}
	if f.doc != nil {
		ps = append(ps, f.validate(ps)...)
	}
	if len(ps) == 0 {
		job, err := f.decode()
		if err != nil {
			ps = Problems{{Pos{File: name}, err.Error()}}
		}
		f.Job = job
	}
	if len(ps) > 0 {
		return nil, ps.Sort()
	}
	return f, nil
}

// Position returns the position of the value at a JSON pointer, or else that of its nearest known
// parent.
func (f *File) Position(pointer string) Pos {
	for p := pointer; ; {
		if pos, ok := f.positions[p]; ok {
			return pos
		}
		i := strings.LastIndexByte(p, '/')
		if i < 0 {
			return Pos{File: f.Name}
		}
		p = p[:i]
	}
}

// Entry is an attribute or block in a file.
type Entry struct {
	Path    string // names in HCL, joined by dots, as in "job.group.count"
	Pointer string // JSON pointer into the JSON form
	Value   any    // as in the JSON form; a block is a map
}

// Each calls visit for every attribute and block in the file: a block before its content, and each of
// repeated blocks by itself.
func (f *File) Each(visit func(Entry)) { visitItems(jobBody, "job", "", f.doc, visit) }

func visitItems(b *body, path, pointer string, doc map[string]any, visit func(Entry)) {
	for i := range b.items {
		it := &b.items[i]
		v, ok := doc[it.jsonName]
		if !ok || it.kind == kindServerField {
			continue
		}
		p, ptr := path+"."+it.name(), pointer+"/"+escapePointer(it.jsonName)
		switch it.kind {
		case kindBlock:
			visit(Entry{p, ptr, v})
			if m, ok := v.(map[string]any); ok {
				visitItems(it.body, p, ptr, m, visit)
			}
		case kindBlockList:
			list, _ := v.([]any)
			for k, e := range list {
				at := fmt.Sprintf("%s/%d", ptr, k)
				visit(Entry{p, at, e})
				if m, ok := e.(map[string]any); ok {
					visitItems(it.body, p, at, m, visit)
				}
			}
		default:
			visit(Entry{p, ptr, v})
		}
	}
}

// escapePointer escapes a key for use in a JSON pointer (RFC 6901).
func escapePointer(key string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(key)
}

// Paths lists the paths of all attributes and blocks of the grammar, a block before its content.
func Paths() []string {
	var out []string
	var walk func(b *body, path string)
	walk = func(b *body, path string) {
		for i := range b.items {
			it := &b.items[i]
			if it.kind == kindServerField {
				continue
			}
			out = append(out, path+"."+it.name())
			if it.body != nil {
				walk(it.body, path+"."+it.name())
			}
		}
	}
	walk(jobBody, "job")
	return out
}
