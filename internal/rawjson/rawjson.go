// Package rawjson splits JSON text into its members without decoding them. Unlike encoding/json it
// has no bound on how deeply they are nested: one member that can't be decoded leaves the others
// readable. The members themselves are not checked.
package rawjson

import (
	"encoding/json"

	"github.com/zeebo/errs"
)

// Malformed is the class of errors for text that can't be split.
var Malformed = errs.Class("malformed JSON")

// Members returns the members of an object by name. Of several with one name the last one counts.
func Members(text []byte) (map[string]json.RawMessage, error) {
	members := map[string]json.RawMessage{}
	s := scanner{text: text}
	err := s.each('{', '}', func() error {
		quoted, err := s.value()
		if err != nil {
			return err
		}
		var name string
		if err := json.Unmarshal(quoted, &name); err != nil {
			return Malformed.Wrap(err)
		}
		if !s.skip(':') {
			return Malformed.New("no colon after a name at byte %d", s.at)
		}
		members[name], err = s.value()
		return err
	})
	return members, err
}

// Elements returns the elements of an array.
func Elements(text []byte) ([]json.RawMessage, error) {
	var elements []json.RawMessage
	s := scanner{text: text}
	err := s.each('[', ']', func() error {
		element, err := s.value()
		elements = append(elements, element)
		return err
	})
	return elements, err
}

// scanner reads text from a position on.
type scanner struct {
	text []byte
	at   int
}

// each calls read at each member between two brackets.
func (s *scanner) each(open, closing byte, read func() error) error {
	if !s.skip(open) {
		return Malformed.New("no %q at byte %d", open, s.at)
	}
	if s.skip(closing) {
		return nil
	}
	for {
		if err := read(); err != nil {
			return err
		}
		if s.skip(closing) {
			return nil
		}
		if !s.skip(',') {
			return Malformed.New("no comma or %q at byte %d", closing, s.at)
		}
	}
}

// skip reads spaces and then one byte, and returns false if that is another one.
func (s *scanner) skip(c byte) bool {
	s.skipSpaces()
	if s.at == len(s.text) || s.text[s.at] != c {
		return false
	}
	s.at++
	return true
}

func (s *scanner) skipSpaces() {
	for s.at < len(s.text) && isSpace(s.text[s.at]) {
		s.at++
	}
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

// value reads one value.
func (s *scanner) value() (json.RawMessage, error) {
	s.skipSpaces()
	start := s.at
	for depth := 0; s.at < len(s.text); {
		switch c := s.text[s.at]; c {
		case '"':
			if !s.skipString() {
				return nil, Malformed.New("a string at byte %d doesn't end", start)
			}
		case '{', '[':
			depth++
			s.at++
		case '}', ']':
			if depth == 0 {
				return s.literal(start)
			}
			depth--
			s.at++
		case ',', ':':
			if depth == 0 {
				return s.literal(start)
			}
			s.at++
			continue
		default:
			s.at++
			continue
		}
		if depth == 0 {
			return s.text[start:s.at], nil
		}
	}
	return nil, Malformed.New("a value at byte %d doesn't end", start)
}

// literal returns a number or a word that has been read up to the byte after it.
func (s *scanner) literal(start int) (json.RawMessage, error) {
	end := s.at
	for end > start && isSpace(s.text[end-1]) {
		end--
	}
	if end == start {
		return nil, Malformed.New("no value at byte %d", start)
	}
	return s.text[start:end], nil
}

// skipString reads a string, and returns false if it doesn't end.
func (s *scanner) skipString() bool {
	for s.at++; s.at < len(s.text); s.at++ {
		switch s.text[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return true
		}
	}
	return false
}
