// Package strictyaml decodes operators' YAML strictly: unknown and repeated keys are
// errors, and so is text at which the YAML library fails without one.
package strictyaml

import (
	"bytes"
	"fmt"

	"github.com/goccy/go-yaml"
)

// UnreadableError reports text that the YAML library can't decode and gives no error for.
type UnreadableError struct {
	Line  int    // first line of the top-level entry; 0: unknown
	Cause string // what the library failed with
}

// Error implements error.
func (e *UnreadableError) Error() string {
	if e.Line == 0 {
		return "not readable as YAML: " + e.Cause
	}
	return fmt.Sprintf("line %d: not readable as YAML: %s", e.Line, e.Cause)
}

// Decode decodes b into a T. Errors are those of the YAML library and *UnreadableError.
func Decode[T any](b []byte) (*T, error) {
	value, err := decode[T](b)
	if e, ok := err.(*UnreadableError); ok {
		e.Line = unreadableLine[T](b)
	}
	return value, err
}

// decode is Decode without the line of an UnreadableError.
func decode[T any](b []byte) (value *T, err error) {
	defer func() {
		if p := recover(); p != nil { // the library panics at some tags
			value, err = nil, &UnreadableError{Cause: fmt.Sprint(p)}
		}
	}()
	value = new(T)
	if err := yaml.UnmarshalWithOptions(b, value, yaml.Strict()); err != nil {
		return nil, err
	}
	return value, nil
}

// unreadableLine returns the first line of the top-level entry that can't be read by
// itself, 0 if there is none.
func unreadableLine[T any](b []byte) int {
	lines := bytes.SplitAfter(b, []byte("\n"))
	start := 0
	for i := 1; i <= len(lines); i++ {
		if i < len(lines) && !startsEntry(lines[i]) {
			continue
		}
		_, err := decode[T](bytes.Join(lines[start:i], nil))
		if _, ok := err.(*UnreadableError); ok {
			return start + 1
		}
		start = i
	}
	return 0
}

// startsEntry reports whether a line starts an entry of the top-level mapping.
func startsEntry(line []byte) bool {
	return len(line) > 0 && !bytes.ContainsRune([]byte(" \t\r\n#-"), rune(line[0]))
}
