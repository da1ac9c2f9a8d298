// Package ednmap parses settings from S-expressions (EDN): a map from keywords to values. Each
// value has a parser of its own, so that an error can name the setting.
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

// Parser parses and checks the value of one setting and stores it.
type Parser func(edn.RawMessage) error

// Parse parses the text of a file, which must be one map and nothing else. known holds the parsers
// of the settings by name.
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

// ParseMap parses a map of settings. An unknown setting is an error, since a misspelt one would
// otherwise be ignored silently.
func ParseMap(b edn.RawMessage, known map[string]Parser) error {
	var values map[edn.Keyword]edn.RawMessage
	if err := edn.Unmarshal(b, &values); err != nil {
		return fmt.Errorf("not a map of settings: %w", err)
	}
	for _, k := range slices.Sorted(maps.Keys(values)) {
		set, ok := known[string(k)]
		if !ok {
			return fmt.Errorf("%v: no such setting", k)
		}
		if err := set(values[k]); err != nil {
			return fmt.Errorf("%v: %w", k, err)
		}
	}
	return nil
}

// Number returns a parser for a number from lo to hi.
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

// Integer returns a parser for a whole number from lo to hi.
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

// String returns a parser for a text that is not empty.
func String(to *string) Parser {
	return func(b edn.RawMessage) error {
		if err := edn.Unmarshal(b, to); err != nil || *to == "" {
			return fmt.Errorf("want a text, not %s", bytes.TrimSpace(b))
		}
		return nil
	}
}

// Strings returns a parser for a list of texts.
func Strings(to *[]string) Parser {
	return func(b edn.RawMessage) error {
		*to = nil
		if err := edn.Unmarshal(b, to); err != nil {
			return fmt.Errorf("want a list of texts, not %s", bytes.TrimSpace(b))
		}
		return nil
	}
}
