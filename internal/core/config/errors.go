package config

import (
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of errors that are not faults of a document's content: a missing
// chunk, a wrong hash, a value that can't be decoded.
var Error = errs.Class("config")

// Reason is the stable name of what is wrong with a field.
type Reason string

// Reasons.
const (
	ReasonSyntax    Reason = "syntax"    // not YAML, or not the field's type
	ReasonUnknown   Reason = "unknown"   // no such field
	ReasonMissing   Reason = "missing"   // the field must be set
	ReasonForm      Reason = "form"      // malformed value
	ReasonRange     Reason = "range"     // the value is out of range
	ReasonDuplicate Reason = "duplicate" // another entry has the same value
	ReasonReference Reason = "reference" // names something that the document doesn't contain
	ReasonConflict  Reason = "conflict"  // incompatible with another field
)

// Problem is one thing that is wrong with a document.
type Problem struct {
	Path   string `json:"path"` // such as adapters[3].base
	Line   int    `json:"line,omitempty"`
	Reason Reason `json:"reason"`
	Why    string `json:"why"`
}

// String implements fmt.Stringer.
func (p Problem) String() string {
	s := p.Path + ": " + p.Why
	if p.Line > 0 {
		s = "line " + strconv.Itoa(p.Line) + ": " + s
	}
	return s
}

// InvalidError holds everything that is wrong with a document.
type InvalidError struct{ Problems []Problem }

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, "the document has "+strconv.Itoa(len(e.Problems))+" error(s)")
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n  ")
}
