package jobfile

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"unicode/utf8"
)

// jsonScanner parses JSON and records the position of each value.
type jsonScanner struct {
	file       *File
	src        []byte
	dec        *json.Decoder
	lineStarts []int // offset of each line
}

func newJSONScanner(f *File, src []byte) *jsonScanner {
	s := &jsonScanner{file: f, src: src, dec: json.NewDecoder(bytes.NewReader(src)), lineStarts: []int{0}}
	s.dec.UseNumber()
	for i, c := range src {
		if c == '\n' {
			s.lineStarts = append(s.lineStarts, i+1)
		}
	}
	return s
}

// pos converts a byte offset to a position.
func (s *jsonScanner) pos(offset int) Pos {
	offset = min(offset, len(s.src))
	line := sort.SearchInts(s.lineStarts, offset+1)
	return Pos{s.file.Name, line, utf8.RuneCount(s.src[s.lineStarts[line-1]:offset]) + 1}
}

// nextOffset returns the offset of the next token.
func (s *jsonScanner) nextOffset() int {
	i := int(s.dec.InputOffset())
	for i < len(s.src) && bytes.IndexByte([]byte(" \t\r\n,:"), s.src[i]) >= 0 {
		i++
	}
	return i
}

// readValue reads a value and records its position, and those of all values in it, by JSON pointer. It
// leaves out members that are null.
func (s *jsonScanner) readValue(pointer string, depth int) (any, error) {
	at := s.nextOffset()
	if depth > maxDepth {
		return nil, Problems{problemf(s.pos(at), "nested deeper than %d levels", maxDepth)}
	}
	if _, ok := s.file.positions[pointer]; !ok {
		s.file.positions[pointer] = s.pos(at)
	}
	t, err := s.dec.Token()
	if err != nil {
		return nil, s.syntaxError(err)
	}
	switch t {
	case json.Delim('{'):
		m := map[string]any{}
		for s.dec.More() {
			at := s.nextOffset()
			t, err := s.dec.Token()
			if err != nil {
				return nil, s.syntaxError(err)
			}
			key := t.(string) // the decoder ensures that a key is a string
			ptr := pointer + "/" + escapePointer(key)
			if _, twice := s.file.positions[ptr]; twice {
				return nil, Problems{problemf(s.pos(at), "%s: given twice", key)}
			}
			s.file.positions[ptr] = s.pos(at)
			v, err := s.readValue(ptr, depth+1)
			if err != nil {
				return nil, err
			}
			if v != nil {
				m[key] = v
			}
		}
		_, err = s.dec.Token()
		return m, s.syntaxError(err)
	case json.Delim('['):
		list := []any{}
		for s.dec.More() {
			v, err := s.readValue(fmt.Sprintf("%s/%d", pointer, len(list)), depth+1)
			if err != nil {
				return nil, err
			}
			list = append(list, v)
		}
		_, err = s.dec.Token()
		return list, s.syntaxError(err)
	}
	if n, ok := t.(json.Number); ok && !numberInRange(string(n)) {
		return nil, Problems{problemf(s.pos(at), "%.40s: number out of range", n)}
	}
	return t, nil
}

// syntaxError converts an error of the decoder to Problems.
func (s *jsonScanner) syntaxError(err error) error {
	var se *json.SyntaxError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &se):
		return Problems{problemf(s.pos(int(se.Offset)), "not JSON: %v", err)}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return Problems{problemf(s.pos(len(s.src)), "not JSON: unexpected end of file")}
	}
	return Problems{problemf(s.pos(int(s.dec.InputOffset())), "not JSON: %v", err)}
}

// readJSON reads a job in the JSON form, by itself or in the field Job of an object, as clients send
// it. A field that is null counts as not given.
func (f *File) readJSON(src []byte, o Options) Problems {
	if len(o.Vars) > 0 || len(o.VarFiles) > 0 {
		return Problems{{Pos{File: f.Name}, "the JSON form has no variables"}}
	}
	s := newJSONScanner(f, src)
	v, err := s.readValue("", 0)
	if err == nil {
		if end := s.nextOffset(); end < len(src) {
			err = Problems{problemf(s.pos(end), "not JSON: more than one value")}
		}
	}
	if err != nil {
		var ps Problems
		if errors.As(err, &ps) {
			return ps
		}
		return Problems{{Pos{File: f.Name}, err.Error()}}
	}
	doc := v.(map[string]any) // Parse selects JSON only for a file that begins with a brace
	job, ok := doc["Job"].(map[string]any)
	if o.Request && !ok {
		return Problems{{Pos{File: f.Name}, "Job must be specified"}}
	}
	if ok {
		for name := range doc {
			if name != "Job" && !o.Request {
				return Problems{problemf(f.Position("/"+escapePointer(name)), "%s: no such field beside Job", name)}
			}
		}
		at := map[string]Pos{}
		for p, pos := range f.positions {
			if rest, ok := bytes.CutPrefix([]byte(p), []byte("/Job")); ok {
				at[string(rest)] = pos
			}
		}
		f.positions, doc = at, job
	}
	f.doc = doc
	return f.normalizeDurations(jobBody, "", doc)
}

// normalizeDurations converts durations with a unit to nanoseconds.
func (f *File) normalizeDurations(b *body, pointer string, doc map[string]any) Problems {
	var ps Problems
	for i := range b.items {
		it := &b.items[i]
		ptr := pointer + "/" + escapePointer(it.jsonName)
		switch v := doc[it.jsonName].(type) {
		case string:
			if it.kind != kindDuration {
				continue
			}
			ns, ok := parseDuration(v, false)
			if !ok {
				ps = append(ps, problemf(f.Position(ptr), "%s: want a duration such as \"30s\", or nanoseconds, not %q", it.jsonName, v))
				delete(doc, it.jsonName)
				continue
			}
			doc[it.jsonName] = ns
		case map[string]any:
			if it.body != nil {
				ps = append(ps, f.normalizeDurations(it.body, ptr, v)...)
			}
		case []any:
			for k, e := range v {
				if m, ok := e.(map[string]any); ok && it.body != nil {
					ps = append(ps, f.normalizeDurations(it.body, fmt.Sprintf("%s/%d", ptr, k), m)...)
				}
			}
		}
	}
	return ps
}
