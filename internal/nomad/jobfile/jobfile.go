// Package jobfile reads Nomad's job files: HCL2 with variables, locals,
// functions and dynamic blocks, and the JSON form that clients send. Either
// becomes the same typed Job with the published defaults, and remembers the
// line and column of everything that was written in it, so that whoever refuses
// something later can point at it.
//
// The format is the published job specification
// (https://developer.hashicorp.com/nomad/docs/job-specification) and the JSON
// form of the HTTP interface beside it. What a job file may hold is one table
// (grammar.go); the schema in job.schema.json is made from it.
//
// Files come from strangers: size, nesting and the work of evaluating them are
// bounded, whatever they hold. Nothing outside the file is read.
package jobfile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// MaxSource is the largest job file, in bytes.
const MaxSource = 512 << 10

// maxDepth bounds how deep brackets, blocks and expressions nest.
const maxDepth = 48

// Pos is a place in a file. Line and Column count from 1; Column counts
// characters. A zero Line is the file as a whole.
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

// Problem is one thing wrong with a file, or one that is not served.
type Problem struct {
	Pos
	Text string
}

func (p Problem) String() string { return p.Pos.String() + ": " + p.Text }

// Problems are all that is wrong with a file, in its order.
type Problems []Problem

// Error lists the problems, one a line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Sort brings the problems into the order of the file, each once.
func (ps Problems) Sort() Problems {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return slices.Compact(ps)
}

// File is a job file that was read.
type File struct {
	Name string
	Job  *Job // with the published defaults

	doc       map[string]any // the JSON form, as given
	positions map[string]Pos // by JSON pointer
}

// Options say how a file is read.
type Options struct {
	// Vars are values of the file's variables, as on a command line.
	Vars map[string]string
	// VarFiles are files of values, by name; later ones win, and Vars over them.
	VarFiles []VarFile
	// Request says that the JSON form is a client's request, in which other
	// fields stand beside the job.
	Request bool
}

// VarFile is a file that gives variables their values.
type VarFile struct {
	Name   string
	Source []byte
}

// Parse reads a job file in either form: what begins with a brace is JSON. The
// error is of type Problems and lists all that is wrong.
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

// At is where the value at a JSON pointer was written, or else what holds it.
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

// Entry is something that was written in a file.
type Entry struct {
	Path    string // names of the job file with dots between, as in "job.group.count"
	Pointer string // into the JSON form
	Value   any    // as in the JSON form; a block's is a map or a list of maps
}

// Each calls f for every attribute and block that the file gives, blocks before
// what they hold, repeated blocks once each.
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

// escape makes a JSON pointer's token of a key (RFC 6901).
func escapePointer(key string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(key)
}

// Paths lists the paths of all that a job file may hold, blocks before what
// they hold.
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
