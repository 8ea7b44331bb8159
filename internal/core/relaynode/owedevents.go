package relaynode

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/recent"
)

// A stream that was broken off inside an event lacks that event at least. An answer that goes on with it and
// has none is not whole, whichever host it comes over: within one answer, at the next attempt, or where the
// caller takes the stream up, which then repeats its request.

const (
	// owedMemory is how long a broken stream may be taken up.
	owedMemory = time.Minute
	// maxOwed bounds the broken streams that are remembered.
	maxOwed = 1 << 12
)

// owedEvents are the streams that were broken off inside an event lately, by owedKey.
type owedEvents struct{ recent *recent.Map[uint64, struct{}] }

func newOwedEvents() owedEvents {
	return owedEvents{recent.NewMap[uint64, struct{}](owedMemory, maxOwed)}
}

// owedKey identifies a stream by its request and the last event that was delivered of it.
func owedKey(fingerprint uint64, lastEvent string) uint64 {
	return core.Fingerprint(fingerprint, lastEvent)
}

// owesEvent reports whether the stream that a request takes up, or begins anew, was broken off inside an
// event.
func (m *Machine) owesEvent(e *RequestArrived) bool {
	_, owed := m.owed.recent.Get(m.now, owedKey(e.Fingerprint, e.LastEvent))
	return owed
}

// rememberOwed remembers a request whose stream ends inside an event, and tells the other hosts, where its
// caller may take it up.
func (m *Machine) rememberOwed(r *request) {
	if !r.owesEvent {
		return
	}
	key := owedKey(r.arrival.Fingerprint, r.lastEvent)
	m.owed.recent.Put(m.now, key, struct{}{})
	m.tellAll(Message{OwedEvents: []uint64{key}})
}

// receiveOwed applies what another host has told, and passes on what was unknown.
func (m *Machine) receiveOwed(from core.HostID, keys []uint64) {
	var unknown []uint64
	for _, k := range keys {
		if _, known := m.owed.recent.Get(m.now, k); !known {
			m.owed.recent.Put(m.now, k, struct{}{})
			unknown = append(unknown, k)
		}
	}
	if len(unknown) > 0 {
		m.passOn(from, Message{OwedEvents: unknown})
	}
}
