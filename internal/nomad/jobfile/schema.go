package jobfile

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	errkind "github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Schema is the JSON Schema (draft 2020-12) of the JSON form. It is generated from the grammar; a test
// compares them.
//
//go:embed job.schema.json
var Schema []byte

const schemaFile = "job.schema.json"

var compiledSchema = sync.OnceValue(func() *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	if err != nil {
		panic(err) // the embedded schema is valid
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(schemaFile, doc); err != nil {
		panic(err)
	}
	return c.MustCompile(schemaFile)
})

// schema returns the JSON Schema of a body.
func (b *body) schema() map[string]any {
	props := map[string]any{}
	for i := range b.items {
		props[b.items[i].jsonName] = b.items[i].schema()
	}
	out := map[string]any{"type": "object", "properties": props, "additionalProperties": false}
	if b.labelField != "" {
		out["required"] = []string{b.labelField}
	}
	return out
}

// schema returns the JSON Schema of an item.
func (i *item) schema() map[string]any {
	typed := func(t string) map[string]any { return map[string]any{"type": t} }
	switch i.kind {
	case kindString:
		s := typed("string")
		s["maxLength"] = 4096
		if len(i.allowed) > 0 {
			s["enum"] = i.allowed
		}
		return s
	case kindInt:
		return map[string]any{"type": "integer", "minimum": i.min, "maximum": i.max}
	case kindBool:
		return typed("boolean")
	case kindDuration:
		return map[string]any{"type": "integer", "minimum": 0, "maximum": int64(1) << 62}
	case kindStringList:
		return map[string]any{"type": "array", "items": typed("string")}
	case kindStringMap:
		return map[string]any{"type": "object", "additionalProperties": typed("string")}
	case kindAnyMap:
		return typed("object")
	case kindBlock:
		return i.body.schema()
	case kindBlockList:
		return map[string]any{"type": "array", "items": i.body.schema()}
	}
	return map[string]any{}
}

// generateSchema returns the content of job.schema.json.
func generateSchema() ([]byte, error) {
	s := jobBody.schema()
	s["$schema"] = "https://json-schema.org/draft/2020-12/schema"
	s["title"] = "A job in the JSON form that aspenstall reads; fields that are null count as not given."
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", " ")
	err := enc.Encode(s)
	return out.Bytes(), err
}

// validate validates the JSON form against the schema. It leaves out errors at positions that already
// have a known problem.
func (f *File) validate(known Problems) Problems {
	err := compiledSchema().Validate(any(f.doc))
	if err == nil {
		return nil
	}
	ve, ok := err.(*jsonschema.ValidationError)
	if !ok {
		return Problems{{Pos{File: f.Name}, err.Error()}}
	}
	var ps Problems
	printer := message.NewPrinter(language.English)
	var walk func(e *jsonschema.ValidationError)
	walk = func(e *jsonschema.ValidationError) {
		for _, c := range e.Causes {
			walk(c)
		}
		if len(e.Causes) > 0 {
			return
		}
		pointer := ""
		for _, p := range e.InstanceLocation {
			pointer += "/" + escapePointer(p)
		}
		name := "job"
		if n := len(e.InstanceLocation); n > 0 {
			name = e.InstanceLocation[n-1]
			if strings.Trim(name, "0123456789") == "" && n > 1 {
				name = fmt.Sprintf("%s[%s]", e.InstanceLocation[n-2], name)
			}
		}
		if extra, ok := e.ErrorKind.(*errkind.AdditionalProperties); ok {
			slices.Sort(extra.Properties)
			for _, p := range extra.Properties {
				ps = append(ps, problemf(f.Position(pointer+"/"+escapePointer(p)), "%s: no such field of %s", p, name))
			}
			return
		}
		p := problemf(f.Position(pointer), "%s: %s", name, e.ErrorKind.LocalizedString(printer))
		if !slices.ContainsFunc(known, func(k Problem) bool { return k.Pos == p.Pos }) {
			ps = append(ps, p)
		}
	}
	walk(ve)
	return ps
}
