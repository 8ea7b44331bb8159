package feed

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// Limits of the resend interval: it is how long a message may stay
// unacknowledged and doubles with each resend.
const (
	minResendInterval = time.Second
	maxResendInterval = 8 * time.Second
)

// link is the state of one neighbour. Changes are kept as a set of keys, so a
// slow neighbour costs one entry per key and receives only the newest values.
type link struct {
	host   core.HostID
	parent bool // this host pings it
	child  bool // it pings this host
	mesh   bool // this fleet is small and hosts send directly

	dirty  map[Key]bool
	queue  []Key // dirty keys, oldest first
	urgent bool

	seq       uint64
	inFlight  []Key
	sentAt    core.Instant
	resends   int
	nextFlush core.Instant

	nextPing     core.Instant
	lastPong     core.Instant // when the last timely Pong was received
	lastPing     core.Instant // when the last Ping was received
	compared     bool         // sums were compared since it became the parent
	differsSince core.Instant // start of the difference between the sums; 0 if they are equal
	lastRepair   core.Instant
}

// findLink returns the link to a host, or nil.
func (m *Machine) findLink(h core.HostID) *link {
	i, ok := m.searchLink(h)
	if !ok {
		return nil
	}
	return m.links[i]
}

// searchLink returns the index of the link to a host, or where it would be
// inserted and false.
func (m *Machine) searchLink(h core.HostID) (int, bool) {
	return slices.BinarySearchFunc(m.links, h, func(l *link, h core.HostID) int {
		if l.host < h {
			return -1
		}
		if l.host > h {
			return 1
		}
		return 0
	})
}

// ensureLink returns the link to a host and creates it if there is none.
func (m *Machine) ensureLink(now core.Instant, h core.HostID) *link {
	i, ok := m.searchLink(h)
	if ok {
		return m.links[i]
	}
	l := &link{host: h, dirty: map[Key]bool{}, lastPong: now, lastPing: now}
	m.links = slices.Insert(m.links, i, l)
	return l
}

// pruneLinks drops links to hosts that are no longer members. In a small fleet
// it keeps a link to every other member.
func (m *Machine) pruneLinks(now core.Instant) {
	present := map[core.HostID]bool{}
	for _, o := range m.tree.members {
		present[o.Host] = true
	}
	m.links = slices.DeleteFunc(m.links, func(l *link) bool { return !present[l.host] })
	for _, l := range m.links {
		l.mesh = false
	}
	if !m.tree.mesh {
		return
	}
	for _, o := range m.tree.members {
		if o.Host != m.settings.Self.Host {
			m.ensureLink(now, o.Host).mesh = true
		}
	}
}

// mark records that a key has changed. Keys of the configuration and of status
// are sent first, without waiting for the flush interval.
func (l *link) mark(now core.Instant, k Key) {
	if l.dirty[k] {
		return
	}
	l.dirty[k] = true
	if k.Topic <= TopicStatus {
		l.queue = slices.Insert(l.queue, 0, k)
		l.urgent = true
	} else {
		l.queue = append(l.queue, k)
	}
	if len(l.queue) == 1 && !l.urgent {
		const gatherDelay = 50 * time.Millisecond
		l.nextFlush = max(l.nextFlush, now.Add(gatherDelay))
	}
}

// flush sends the newest values of changed keys if no message is in flight. An
// unacknowledged message is abandoned after the resend interval; its keys count
// as changed again.
func (m *Machine) flush(now core.Instant, l *link) {
	if l.inFlight != nil {
		wait := min(minResendInterval<<min(l.resends, 4), maxResendInterval)
		if now.Sub(l.sentAt) < wait {
			return
		}
		l.resends++
		for _, k := range l.inFlight {
			if !l.dirty[k] {
				l.dirty[k] = true
				l.queue = append(l.queue, k)
			}
		}
		l.inFlight = nil
	}
	if len(l.queue) == 0 || (now < l.nextFlush && !l.urgent) {
		return
	}
	var entries []Entry
	bytes, taken := 0, 0
	for _, k := range l.queue {
		const overhead = 32 // bytes of an entry's encoding besides name and value
		v := m.values[k]
		if v == nil {
			taken++
			delete(l.dirty, k)
			continue
		}
		n := len(v.entry.Value) + len(k.Name) + overhead
		if bytes+n > MaxMessageBytes && len(entries) > 0 {
			break
		}
		bytes += n
		taken++
		delete(l.dirty, k)
		entries = append(entries, v.entry)
		l.inFlight = append(l.inFlight, k)
	}
	l.queue = slices.Delete(l.queue, 0, taken)
	if len(entries) == 0 {
		return
	}
	l.seq++
	l.urgent = false
	l.sentAt, l.nextFlush = now, now.Add(m.settings.FlushInterval)
	m.out.Send(l.host, Message{Values: &Values{Seq: l.seq, Entries: entries}})
}

// receiveValues applies another host's values and acknowledges them. A key that
// the sender has in the same or a newer version is no longer due on the link to
// it.
func (m *Machine) receiveValues(now core.Instant, from core.HostID, v Values) {
	l := m.findLink(from)
	for _, e := range v.Entries {
		m.apply(now, e, from)
		if own := m.values[e.Key]; l != nil && own != nil && l.dirty[e.Key] && !e.Stamp.Before(own.entry.Stamp) {
			delete(l.dirty, e.Key)
			l.queue = slices.DeleteFunc(l.queue, func(k Key) bool { return k == e.Key })
		}
	}
	m.out.Send(from, Message{ValuesAck: &ValuesAck{Seq: v.Seq}})
}

// receiveValuesAck handles the acknowledgement of the message in flight.
func (m *Machine) receiveValuesAck(_ core.Instant, from core.HostID, ack ValuesAck) {
	if l := m.findLink(from); l != nil && ack.Seq == l.seq {
		l.inFlight, l.resends = nil, 0
	}
}

// LinkCount returns the number of this host's neighbours, for the metrics.
func (m *Machine) LinkCount() int { return len(m.links) }
