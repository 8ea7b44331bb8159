package promptpart

import (
	"time"

	"gentiancroft/internal/core"
)

// maxReported bounds the entries of one kind in one report.
const maxReported = 256

// Incarnation identifies an incarnation of a replica.
type Incarnation uint64

// IncarnationOf returns the identifier of a replica's incarnation, by its start.
func IncarnationOf(replica core.UpstreamID, started int64) Incarnation {
	return Incarnation(core.Fingerprint(uint64(started), string(replica)))
}

// Sighting says that a replica's incarnation ended while it had a request with a part.
type Sighting struct {
	_           struct{} `cbor:",toarray"`
	Part        ID
	Incarnation Incarnation
	Age         time.Duration // since the end
	Held        time.Duration // how long before the end the latest request with the part was sent to it
}

// Acquittal says that an answer on a part came to a certain end.
type Acquittal struct {
	_    struct{} `cbor:",toarray"`
	Part ID
	Age  time.Duration // since that end
}

// Verdict says that a part is blocked.
type Verdict struct {
	_      struct{} `cbor:",toarray"`
	Part   ID
	Age    time.Duration // since it was blocked
	Trials int           // requests with it that were tried since
	Failed int           // of these, those under which a replica was lost
	Rounds int           // crashes in a row for which it was blocked
	NextIn time.Duration // until the next one may be
}

// Report is what one host tells others.
type Report struct {
	Sightings  []Sighting  `cbor:"1,keyasint,omitempty"`
	Acquittals []Acquittal `cbor:"2,keyasint,omitempty"`
	Verdicts   []Verdict   `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether there is nothing to tell.
func (r *Report) Empty() bool { return len(r.Sightings)+len(r.Acquittals)+len(r.Verdicts) == 0 }

// Merge adds another report, as far as the bounds allow.
func (r *Report) Merge(other Report) {
	r.Sightings = bounded(append(r.Sightings, other.Sightings...))
	r.Acquittals = bounded(append(r.Acquittals, other.Acquittals...))
	r.Verdicts = bounded(append(r.Verdicts, other.Verdicts...))
}

// bounded returns the latest maxReported entries.
func bounded[T any](entries []T) []T { return entries[max(0, len(entries)-maxReported):] }

// Suspicion says what is known of a part that isn't blocked.
type Suspicion struct {
	Part     ID
	Rounds   int           // crashes in a row
	Answered time.Duration // since the last known answer on it; 0: none is known
}
