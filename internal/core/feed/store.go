package feed

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
)

// Retries of object calls.
const (
	backoffMin = 300 * time.Millisecond
	backoffMax = 4 * time.Second
)

// callKind is what an object call is for.
type callKind uint8

const (
	callRead  callKind = iota + 1 // reads the configuration's head
	callWatch                     // waits for a newer one
	callChunk                     // reads a chunk
)

// call is one in flight.
type call struct {
	tag  uint64
	kind callKind
	hash string
	sent core.Instant
}

// calls are those in flight, and when the next may be made.
type calls struct {
	last     uint64
	open     []call
	failing  bool
	failures int
	readAt   core.Instant
	watchAt  core.Instant
}

func (c *calls) has(k callKind, hash string) bool {
	for _, o := range c.open {
		if o.kind == k && o.hash == hash {
			return true
		}
	}
	return false
}

func (m *Machine) call(now core.Instant, k callKind, hash string, c core.ObjectCall) {
	m.calls.last++
	c.Tag = m.calls.last
	m.calls.open = append(m.calls.open, call{tag: c.Tag, kind: k, hash: hash, sent: now})
	m.out.Call(c)
}

// expireCalls gives up on calls without an answer.
func (m *Machine) expireCalls(now core.Instant) {
	for i := 0; i < len(m.calls.open); {
		o := m.calls.open[i]
		most := m.set.CallTimeout
		if o.kind == callWatch {
			most = m.set.WatchWait
		}
		if now.Sub(o.sent) <= most {
			i++
			continue
		}
		m.result(now, core.ObjectResult{Tag: o.tag, Status: core.ObjectUnknown})
		i = 0
	}
}

// workStore reads the configuration's head once a period, which is what makes
// hosts fresh, and keeps a watch, which is what makes changes quick.
func (m *Machine) workStore(now core.Instant) {
	if !m.tree.watcher {
		return
	}
	if now >= m.calls.readAt && !m.calls.has(callRead, "") {
		m.calls.readAt = now.Add(m.set.Read)
		m.call(now, callRead, "", core.ObjectCall{Op: core.ObjectGet, Key: config.HeadKey})
	}
	if now >= m.calls.watchAt && !m.calls.has(callWatch, "") {
		m.call(now, callWatch, "", core.ObjectCall{Op: core.ObjectWatch, Key: config.HeadKey, IfVersion: m.conf.object})
	}
}

// result takes the end of a call.
func (m *Machine) result(now core.Instant, r core.ObjectResult) {
	at := -1
	for i, o := range m.calls.open {
		if o.tag == r.Tag {
			at = i
		}
	}
	if at < 0 {
		return
	}
	c := m.calls.open[at]
	m.calls.open = append(m.calls.open[:at], m.calls.open[at+1:]...)
	if r.Status == core.ObjectUnavailable || r.Status == core.ObjectUnknown {
		m.failed(now, c)
		return
	}
	m.calls.failing, m.calls.failures = false, 0
	switch c.kind {
	case callRead:
		m.headRead(now, c, r)
	case callWatch:
		for _, o := range r.Objects {
			m.headSeen(now, o)
		}
	case callChunk:
		if r.Status == core.ObjectOK {
			m.chunkComplete(now, c.hash, r.Object.Value)
		}
	}
}

// failed spaces the next call, with jitter, so that a store that comes back is
// not met by all at once.
func (m *Machine) failed(now core.Instant, c call) {
	if c.kind != callWatch || !m.calls.failing {
		m.calls.failures++
	}
	m.calls.failing = true
	wait := min(backoffMin<<min(m.calls.failures, 6), backoffMax)
	next := now.Add(time.Duration(m.rng.Jitter(int64(wait))))
	switch c.kind {
	case callRead:
		m.calls.readAt = max(m.calls.readAt, next)
	case callWatch:
		m.calls.watchAt = next
	}
}

// headRead takes a reading. It makes the host fresh as of before it was asked
// for, unless it is older than what is known already.
func (m *Machine) headRead(now core.Instant, c call, r core.ObjectResult) {
	if r.Status == core.ObjectNotFound {
		if m.conf.object == 0 {
			m.newest(0, c.sent)
		}
		return
	}
	if r.Object.Version < m.conf.object {
		return // an old read
	}
	if m.headSeen(now, r.Object) {
		m.newest(m.conf.target.Version, c.sent)
	}
}

// headSeen takes a head from the store. False: it is older than what is known.
func (m *Machine) headSeen(now core.Instant, o core.Object) bool {
	if o.Key != config.HeadKey || o.Version < m.conf.object {
		return false
	}
	h, err := config.DecodeHead(o.Value)
	if err != nil || h.Version < m.conf.target.Version {
		return false
	}
	m.conf.object = o.Version
	m.apply(now, Entry{Key: headKey, Stamp: Stamp{Seq: h.Version}, Value: o.Value}, store)
	return true
}
