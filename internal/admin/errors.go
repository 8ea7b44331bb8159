package admin

import (
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Classes of errors. The command line maps Invalid to its exit code for bad
// use or a bad document, all others to failure.
var (
	Invalid     = errs.Class("invalid")     // the document or the request is wrong
	Denied      = errs.Class("denied")      // the operator is not known
	Conflict    = errs.Class("conflict")    // another operator was first; wraps *ConflictError
	Unavailable = errs.Class("unavailable") // the object API did not take the change; nothing changed
	InDoubt     = errs.Class("in doubt")    // the change may or may not have been accepted
	Damaged     = errs.Class("damaged")     // what is stored can't be read
)

// ConflictError says who changed what since the document was loaded.
type ConflictError struct {
	Loaded  uint64   // the version that the change was made from
	Present uint64   // the version in force now
	Records []Record // of the accepted changes in between, newest first
}

// shownChanges bounds the changes of one record in an error's text.
const shownChanges = 20

// Error implements error.
func (e *ConflictError) Error() string {
	var b strings.Builder
	b.WriteString("the change was made from version " + strconv.FormatUint(e.Loaded, 10))
	b.WriteString(", and version " + strconv.FormatUint(e.Present, 10) + " is in force:")
	for _, r := range e.Records {
		b.WriteString("\n  version " + strconv.FormatUint(r.Version, 10) + " by " + r.By + " at " + r.At.UTC().Format(time.RFC3339))
		for i, c := range r.Changes {
			if i == shownChanges {
				b.WriteString("\n    and " + strconv.Itoa(len(r.Changes)-i+r.Omitted) + " more")
				break
			}
			b.WriteString("\n    " + c.String())
		}
	}
	return b.String()
}
