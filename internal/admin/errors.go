package admin

import (
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Classes of errors. The command line maps Invalid to its exit code for wrong
// usage or an invalid document, all others to the one for failure.
var (
	Invalid       = errs.Class("invalid")     // the document or the request is not valid
	Denied        = errs.Class("denied")      // the key belongs to no operator
	Conflict      = errs.Class("conflict")    // another change was accepted first; wraps *ConflictError
	Unavailable   = errs.Class("unavailable") // the object API did not answer; the configuration is unchanged
	ResultUnknown = errs.Class("in doubt")    // the change may or may not have been accepted
	Damaged       = errs.Class("damaged")     // the stored configuration can't be read
)

// ConflictError reports the changes accepted since the document was loaded.
type ConflictError struct {
	BaseVersion    uint64   // the version that the change was made from
	CurrentVersion uint64   // the version in force now
	Records        []Record // of the changes accepted in between, newest first
}

// maxShownChanges bounds the changes listed for one record in Error's text.
const maxShownChanges = 20

// Error implements error.
func (e *ConflictError) Error() string {
	var b strings.Builder
	b.WriteString("the change was made from version " + strconv.FormatUint(e.BaseVersion, 10))
	b.WriteString(", and version " + strconv.FormatUint(e.CurrentVersion, 10) + " is in force:")
	for _, r := range e.Records {
		b.WriteString("\n  version " + strconv.FormatUint(r.Version, 10) + " by " + r.By + " at " + r.At.UTC().Format(time.RFC3339))
		for i, c := range r.Changes {
			if i == maxShownChanges {
				b.WriteString("\n    and " + strconv.Itoa(len(r.Changes)-i+r.Omitted) + " more")
				break
			}
			b.WriteString("\n    " + c.String())
		}
	}
	return b.String()
}
