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
	"gentiancroft/internal/core/recent"
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

// maxRecords bounds the records. Where there are more, the oldest are forgotten sooner.
const maxRecords = 1 << 16

// Records are the streams that began lately. A record lasts for Memory at least.
type Records struct{ recent *recent.Map[Stream, Software] }

// NewRecords returns no records.
func NewRecords() Records {
	return Records{recent.NewMap[Stream, Software](Memory, maxRecords)}
}

// Put adds a record, or renews it.
func (r Records) Put(now core.Instant, x Record) { r.recent.Put(now, x.Stream, x.Software) }

// Get returns where a stream began, and false where that isn't known.
func (r Records) Get(now core.Instant, s Stream) (Software, bool) { return r.recent.Get(now, s) }

// All returns all records, in no order.
func (r Records) All(now core.Instant) []Record {
	all := make([]Record, 0, r.recent.Len())
	for s, v := range r.recent.All(now) {
		all = append(all, Record{Stream: s, Software: v})
	}
	return all
}
