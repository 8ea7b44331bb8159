package admin

import (
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"gentiancroft/internal/core/config"
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
	Loaded  uint64 // the version that the change was made from
	Present uint64 // the version in force now
	By      string // the operator of the present version
	At      time.Time
	Changes []config.Change // from the loaded to the present document
}

// shownChanges bounds the changes in an error's text.
const shownChanges = 20

// Error implements error.
func (e *ConflictError) Error() string {
	var b strings.Builder
	b.WriteString("version " + strconv.FormatUint(e.Present, 10) + " by " + e.By + " at " + e.At.UTC().Format(time.RFC3339))
	b.WriteString(" came after version " + strconv.FormatUint(e.Loaded, 10) + ", which this change was made from:")
	for i, c := range e.Changes {
		if i == shownChanges {
			b.WriteString("\n  and " + strconv.Itoa(len(e.Changes)-i) + " more")
			break
		}
		b.WriteString("\n  " + c.String())
	}
	return b.String()
}
