// Package ednmap reads settings from S-expressions (EDN): one map from keywords to values,
// each checked by itself, so that an error can name it.
package ednmap

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"

	"olympos.io/encoding/edn"
)

// Setting reads one setting's value.
type Parser func(edn.RawMessage) error

// Read reads a file's text, which is one map and nothing more.
func Parse(b []byte, known map[string]Parser) error {
	var whole edn.RawMessage
	dec := edn.NewDecoder(bytes.NewReader(b))
	if err := dec.Decode(&whole); err != nil {
		return fmt.Errorf("not a map of settings: %w", err)
	}
	var extra any
	if err := dec.Decode(&extra); !errors.Is(err, io.EOF) {
		return errors.New("more than one expression")
	}
	return ParseMap(whole, known)
}

// Map reads a map of settings. One that is misspelt and silently ignored would be worse
// than a refusal.
func ParseMap(b edn.RawMessage, known map[string]Parser) error {
	var given map[edn.Keyword]edn.RawMessage
	if err := edn.Unmarshal(b, &given); err != nil {
		return fmt.Errorf("not a map of settings: %w", err)
	}
	for _, k := range slices.Sorted(maps.Keys(given)) {
		set, ok := known[string(k)]
		if !ok {
			return fmt.Errorf("%v: no such setting", k)
		}
		if err := set(given[k]); err != nil {
			return fmt.Errorf("%v: %w", k, err)
		}
	}
	return nil
}

// Number reads a number in a range.
func Number(lo, hi float64, to *float64) Parser {
	return func(b edn.RawMessage) error {
		var n float64
		if err := edn.Unmarshal(b, &n); err != nil || math.IsNaN(n) || n < lo || n > hi {
			return fmt.Errorf("want a number from %v to %v, not %s", lo, hi, bytes.TrimSpace(b))
		}
		*to = n
		return nil
	}
}

// Whole reads a whole number in a range.
func Integer(lo, hi float64, to *int) Parser {
	return func(b edn.RawMessage) error {
		var n float64
		if err := Number(lo, hi, &n)(b); err != nil {
			return err
		}
		if n != math.Trunc(n) {
			return fmt.Errorf("want a whole number, not %s", bytes.TrimSpace(b))
		}
		*to = int(n)
		return nil
	}
}

// Text reads a text that is not empty.
func String(to *string) Parser {
	return func(b edn.RawMessage) error {
		if err := edn.Unmarshal(b, to); err != nil || *to == "" {
			return fmt.Errorf("want a text, not %s", bytes.TrimSpace(b))
		}
		return nil
	}
}

// Texts reads a list of texts.
func Strings(to *[]string) Parser {
	return func(b edn.RawMessage) error {
		*to = nil
		if err := edn.Unmarshal(b, to); err != nil {
			return fmt.Errorf("want a list of texts, not %s", bytes.TrimSpace(b))
		}
		return nil
	}
}
