package feed

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// resendAfter is how long a message may stay unanswered; it doubles with each
// resending up to resendMost.
const (
	resendAfter = time.Second
	resendMost  = 8 * time.Second
)

// link is one neighbour. What changed is a set of keys: however slow the
// neighbour, it costs one key each and gets the newest value.
type link struct {
	host   core.HostID
	parent bool // this host pings it
	child  bool // it pings this host
	mesh   bool // a small fleet sends to all

	dirty  map[Key]bool
	queue  []Key // dirty keys, oldest first
	urgent bool

	seq      uint64
	inFlight []Key
	sentAt   core.Instant
	resends  int
	flushAt  core.Instant

	pingAt   core.Instant
	heard    core.Instant // the latest Pong
	pinged   core.Instant // the latest Ping
	attached bool         // compared with it since it became the parent
	differs  core.Instant // sums differ since; 0: they do not
	repaired core.Instant
}

// find returns the link to a host, or nil.
func (m *Machine) find(h core.HostID) *link {
	i, ok := m.locate(h)
	if !ok {
		return nil
	}
	return m.links[i]
}

func (m *Machine) locate(h core.HostID) (int, bool) {
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

// link returns the link to a host and makes it if need be.
func (m *Machine) link(now core.Instant, h core.HostID) *link {
	i, ok := m.locate(h)
	if ok {
		return m.links[i]
	}
	l := &link{host: h, dirty: map[Key]bool{}, heard: now, pinged: now}
	m.links = slices.Insert(m.links, i, l)
	return l
}

// pruneLinks drops links to hosts that are members no more, and in a small
// fleet keeps one to each member.
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
		if o.Host != m.set.Self.Host {
			m.link(now, o.Host).mesh = true
		}
	}
}

// mark notes that a key has changed.
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
		const gather = 50 * time.Millisecond
		l.flushAt = max(l.flushAt, now.Add(gather))
	}
}

// flush sends changed values, the newest of each, if the link has credit.
func (m *Machine) flush(now core.Instant, l *link) {
	if l.inFlight != nil {
		wait := min(resendAfter<<min(l.resends, 4), resendMost)
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
	if len(l.queue) == 0 || (now < l.flushAt && !l.urgent) {
		return
	}
	var entries []Entry
	bytes, taken := 0, 0
	for _, k := range l.queue {
		const overhead = 32 // bytes of an entry's frame
		v := m.values[k]
		if v == nil {
			taken++
			delete(l.dirty, k)
			continue
		}
		n := len(v.entry.Value) + len(k.Name) + overhead
		if bytes+n > MaxMessage && len(entries) > 0 {
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
	l.sentAt, l.flushAt = now, now.Add(m.set.Flush)
	m.out.Send(l.host, Message{Values: &Values{Seq: l.seq, Entries: entries}})
}

// valuesFrom takes another host's values.
func (m *Machine) valuesFrom(now core.Instant, from core.HostID, v Values) {
	l := m.find(from)
	for _, e := range v.Entries {
		m.apply(now, e, from)
		if own := m.values[e.Key]; l != nil && own != nil && l.dirty[e.Key] && !e.Stamp.Before(own.entry.Stamp) {
			delete(l.dirty, e.Key)
			l.queue = slices.DeleteFunc(l.queue, func(k Key) bool { return k == e.Key })
		}
	}
	m.out.Send(from, Message{Got: &Got{Seq: v.Seq}})
}

// gotFrom returns a link's credit.
func (m *Machine) gotFrom(_ core.Instant, from core.HostID, g Got) {
	if l := m.find(from); l != nil && g.Seq == l.seq {
		l.inFlight, l.resends = nil, 0
	}
}

// Links is how many neighbours this host has, for the metrics.
func (m *Machine) Links() int { return len(m.links) }
