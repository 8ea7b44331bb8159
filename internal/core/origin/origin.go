// Package origin remembers at which version of a service's software streams began. A stream
// may go on only at that version, and replicas don't check it.
//
// It keeps two things: the streams that began lately, by the request of the caller that
// brought their first event, and the versions that a service's replicas have run lately.
// Where that was one version only, every stream of the service began at it.
package origin

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/table"
)

// Memory is how long a stream may be taken up after its latest request has begun to bring
// events.
const Memory = time.Minute

// Software identifies a version of a service's software among all services'. It is never 0.
type Software uint32

// SoftwareOf returns the identifier of a version of a service's software.
func SoftwareOf(s table.ServiceID, v replicas.SoftwareVersion) Software {
	return Software(core.Fingerprint(0, string(s), string(v)) | 1)
}

// Stream identifies a stream by the caller's request that brought its first event.
type Stream uint64

// StreamOf returns the identifier of the stream whose first event the caller's request with
// this id brought.
func StreamOf(callerID string) Stream { return Stream(core.Fingerprint(0, callerID)) }

// Record is where a stream began.
type Record struct {
	_        struct{} `cbor:",toarray"`
	Stream   Stream
	Software Software
}

// maxRecords is how many records are kept for sure while they are younger than Memory. Where
// there are more, the oldest are forgotten sooner.
const maxRecords = 1 << 16

// Records are the streams that began lately. They are kept in two halves, the older of which
// is forgotten at once, so that a record lasts for Memory at least and twice that at most.
type Records struct {
	newer, older map[Stream]Software
	turnedAt     core.Instant // when newer was begun
}

// Put adds a record, or renews it.
func (r *Records) Put(now core.Instant, x Record) {
	r.turn(now)
	if r.newer == nil {
		r.newer = map[Stream]Software{}
	}
	r.newer[x.Stream] = x.Software
}

// Get returns where a stream began, and false where that isn't known.
func (r *Records) Get(now core.Instant, s Stream) (Software, bool) {
	r.turn(now)
	if v, ok := r.newer[s]; ok {
		return v, true
	}
	v, ok := r.older[s]
	return v, ok
}

// All returns all records, in no order.
func (r *Records) All(now core.Instant) []Record {
	r.turn(now)
	all := make([]Record, 0, len(r.newer)+len(r.older))
	for s, v := range r.newer {
		all = append(all, Record{Stream: s, Software: v})
	}
	for s, v := range r.older {
		if _, renewed := r.newer[s]; !renewed {
			all = append(all, Record{Stream: s, Software: v})
		}
	}
	return all
}

// turn forgets the older half where the newer one is full or has lasted for Memory.
func (r *Records) turn(now core.Instant) {
	age := now.Sub(r.turnedAt)
	if age < Memory && len(r.newer) < maxRecords/2 {
		return
	}
	r.older, r.newer, r.turnedAt = r.newer, nil, now
	if age >= 2*Memory {
		r.older = nil
	}
}
