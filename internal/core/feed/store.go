package feed

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
)

// Backoff after a failed object call.
const (
	minBackoff = 300 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// callKind is the purpose of an object call.
type callKind uint8

const (
	callRead  callKind = iota + 1 // reads the configuration's head
	callWatch                     // waits for a newer head
	callChunk                     // reads a chunk
)

// call is an object call in flight.
type call struct {
	tag  uint64
	kind callKind
	hash string
	sent core.Instant
}

// calls tracks the calls in flight and when the next may be made.
type calls struct {
	lastTag   uint64
	open      []call
	failing   bool
	failures  int
	nextRead  core.Instant
	nextWatch core.Instant
}

// has reports whether a call of this kind, for this chunk, is in flight.
func (c *calls) has(k callKind, hash string) bool {
	for _, o := range c.open {
		if o.kind == k && o.hash == hash {
			return true
		}
	}
	return false
}

// call starts an object call.
func (m *Machine) call(now core.Instant, k callKind, hash string, c core.ObjectCall) {
	m.calls.lastTag++
	c.Tag = m.calls.lastTag
	m.calls.open = append(m.calls.open, call{tag: c.Tag, kind: k, hash: hash, sent: now})
	m.out.Call(c)
}

// expireCalls ends calls whose timeout has passed, with an unknown result.
func (m *Machine) expireCalls(now core.Instant) {
	for i := 0; i < len(m.calls.open); {
		o := m.calls.open[i]
		timeout := m.settings.CallTimeout
		if o.kind == callWatch {
			timeout = m.settings.WatchTimeout
		}
		if now.Sub(o.sent) <= timeout {
			i++
			continue
		}
		m.result(now, core.ObjectResult{Tag: o.tag, Status: core.ObjectUnknown})
		i = 0
	}
}

// readStore reads the configuration's head once per period, which keeps the
// hosts fresh, and keeps a watch on it, which makes changes arrive quickly.
func (m *Machine) readStore(now core.Instant) {
	if !m.tree.watcher {
		return
	}
	if now >= m.calls.nextRead && !m.calls.has(callRead, "") {
		m.calls.nextRead = now.Add(m.settings.HeadReadInterval)
		m.call(now, callRead, "", core.ObjectCall{Op: core.ObjectGet, Key: config.HeadKey})
	}
	if now >= m.calls.nextWatch && !m.calls.has(callWatch, "") {
		m.call(now, callWatch, "", core.ObjectCall{Op: core.ObjectWatch, Key: config.HeadKey, IfVersion: m.conf.objectVersion})
	}
}

// result handles the end of an object call.
func (m *Machine) result(now core.Instant, r core.ObjectResult) {
	index := -1
	for i, o := range m.calls.open {
		if o.tag == r.Tag {
			index = i
		}
	}
	if index < 0 {
		return
	}
	c := m.calls.open[index]
	m.calls.open = append(m.calls.open[:index], m.calls.open[index+1:]...)
	if r.Status == core.ObjectUnavailable || r.Status == core.ObjectUnknown {
		m.callFailed(now, c)
		return
	}
	m.calls.failing, m.calls.failures = false, 0
	switch c.kind {
	case callRead:
		m.headReadDone(now, c, r)
	case callWatch:
		for _, o := range r.Objects {
			m.applyStoredHead(now, o)
		}
	case callChunk:
		if r.Status == core.ObjectOK {
			m.storeChunk(now, c.hash, r.Object.Value)
		}
	}
}

// callFailed delays the next call by an exponential backoff with jitter, so
// that hosts do not all call a recovered store at the same time.
func (m *Machine) callFailed(now core.Instant, c call) {
	if c.kind != callWatch || !m.calls.failing {
		m.calls.failures++
	}
	m.calls.failing = true
	wait := min(minBackoff<<min(m.calls.failures, 6), maxBackoff)
	next := now.Add(time.Duration(m.rng.Jitter(int64(wait))))
	switch c.kind {
	case callRead:
		m.calls.nextRead = max(m.calls.nextRead, next)
	case callWatch:
		m.calls.nextWatch = next
	}
}

// headReadDone handles the result of reading the configuration's head. It makes
// this host fresh as of the start of the call, unless the result is older than
// what this host already has.
func (m *Machine) headReadDone(now core.Instant, c call, r core.ObjectResult) {
	if r.Status == core.ObjectNotFound {
		if m.conf.objectVersion == 0 {
			m.recordNewest(0, c.sent)
		}
		return
	}
	if r.Object.Version < m.conf.objectVersion {
		return // an outdated read
	}
	if m.applyStoredHead(now, r.Object) {
		m.recordNewest(m.conf.target.Version, c.sent)
	}
}

// applyStoredHead applies a head read from the store. It returns false if the
// head is older than the newest one received, or invalid.
func (m *Machine) applyStoredHead(now core.Instant, o core.Object) bool {
	if o.Key != config.HeadKey || o.Version < m.conf.objectVersion {
		return false
	}
	h, err := config.DecodeHead(o.Value)
	if err != nil || h.Version < m.conf.target.Version {
		return false
	}
	m.conf.objectVersion = o.Version
	m.apply(now, Entry{Key: headKey, Stamp: Stamp{Seq: h.Version}, Value: o.Value}, storeSource)
	return true
}
