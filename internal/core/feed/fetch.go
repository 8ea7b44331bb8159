package feed

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
)

// Limits of fetching chunks.
const (
	fetchesAtOnce = 4
	askAgain      = 500 * time.Millisecond // doubles with each unanswered one
	askAgainMost  = 4 * time.Second
	asksOfHosts   = 4 // before the store is asked
	waitersAtMost = 64
)

// headKey is the configuration's head in the feed.
var headKey = Key{Topic: TopicConfig, Name: "head"}

// conf is the configuration: the newest head known, the one in force, and the
// chunks of both.
type conf struct {
	object  uint64 // store version of the newest head read
	target  config.Head
	force   config.Head
	chunks  map[string][]byte
	fetches []*fetch
	source  core.HostID // who told of the target
	inForce core.Instant
}

// fetch is a chunk on its way. Waiters asked for it meanwhile.
type fetch struct {
	hash    string
	data    []byte
	askedAt core.Instant
	asked   bool
	asks    int
	waiters []core.HostID
}

// learnHead takes a head as the one to put in force, unless it is older.
func (m *Machine) learnHead(now core.Instant, b []byte, from core.HostID) {
	h, err := config.DecodeHead(b)
	if err != nil || h.Version <= m.conf.target.Version {
		return
	}
	c := &m.conf
	c.target, c.source = h, from
	var fetches []*fetch
	for _, hash := range h.Chunks {
		if c.chunks[hash] != nil || slices.ContainsFunc(fetches, func(f *fetch) bool { return f.hash == hash }) {
			continue
		}
		if f := c.find(hash); f != nil {
			fetches = append(fetches, f)
			continue
		}
		fetches = append(fetches, &fetch{hash: hash})
	}
	c.fetches = fetches
	m.complete(now)
	m.workFetches(now)
}

func (c *conf) find(hash string) *fetch {
	for _, f := range c.fetches {
		if f.hash == hash {
			return f
		}
	}
	return nil
}

// complete puts the target in force once all its chunks are there.
//
// Invariant: the version in force only rises.
func (m *Machine) complete(now core.Instant) {
	c := &m.conf
	if len(c.fetches) > 0 || c.target.Version <= c.force.Version {
		return
	}
	c.force, c.inForce = c.target, now
	for hash := range c.chunks {
		if !slices.Contains(c.force.Chunks, hash) {
			delete(c.chunks, hash)
		}
	}
	m.force()
}

// Config returns the configuration in force: its head and its chunks in order.
func (m *Machine) Config() (config.Head, [][]byte, bool) {
	h := m.conf.force
	if h.Version == 0 {
		return config.Head{}, nil, false
	}
	chunks := make([][]byte, 0, len(h.Chunks))
	for _, hash := range h.Chunks {
		chunks = append(chunks, m.conf.chunks[hash])
	}
	return h, chunks, true
}

// ConfigVersion is the version in force, 0 where there is none.
func (m *Machine) ConfigVersion() uint64 { return m.conf.force.Version }

// workFetches asks for missing chunks: watchers the store, others their parent,
// and the store too where no host gives an answer.
func (m *Machine) workFetches(now core.Instant) {
	for i, f := range m.conf.fetches {
		if i >= fetchesAtOnce {
			return
		}
		if f.asked && now.Sub(f.askedAt) < min(askAgain<<min(f.asks-1, 4), askAgainMost) {
			continue
		}
		f.asked, f.askedAt = true, now
		f.asks++
		if m.tree.watcher || f.asks > asksOfHosts {
			if !m.calls.has(callChunk, f.hash) {
				m.call(now, callChunk, f.hash, core.ObjectCall{Op: core.ObjectGet, Key: config.ChunkPrefix + f.hash})
			}
			if !m.tree.watcher || !m.calls.failing {
				continue
			}
		}
		if h, ok := m.giver(f.asks); ok {
			m.out.Send(h, Message{Want: &Want{Hash: f.hash, Offset: len(f.data)}})
		}
	}
}

// giver chooses whom to ask for a chunk: first who told of the head, then the
// parents and the other candidates in turn.
func (m *Machine) giver(asks int) (core.HostID, bool) {
	list := distinct(append(m.tree.parents(), m.tree.candidates...), m.set.Self.Host)
	if m.conf.source != "" && m.conf.source != store {
		list = distinct(append([]core.HostID{m.conf.source}, list...), m.set.Self.Host)
	}
	if len(list) == 0 {
		return "", false
	}
	return list[(asks-1)%len(list)], true
}

// wantFrom sends a part of a chunk, or remembers who wants it.
func (m *Machine) wantFrom(_ core.Instant, from core.HostID, w Want) {
	if data := m.conf.chunks[w.Hash]; data != nil {
		m.sendPart(from, w.Hash, data, w.Offset)
		return
	}
	f := m.conf.find(w.Hash)
	if f != nil && len(f.waiters) < waitersAtMost && !slices.Contains(f.waiters, from) {
		f.waiters = append(f.waiters, from)
	}
}

func (m *Machine) sendPart(to core.HostID, hash string, data []byte, offset int) {
	if offset < 0 || offset > len(data) {
		return
	}
	end := min(offset+PartSize, len(data))
	m.out.Send(to, Message{Part: &Part{Hash: hash, Offset: offset, Total: len(data), Data: data[offset:end]}})
}

// partFrom takes a part and asks for the next.
func (m *Machine) partFrom(now core.Instant, from core.HostID, p Part) {
	f := m.conf.find(p.Hash)
	const mostChunk = 1 << 20 // bytes, the object API's bound on a value
	if f == nil || p.Offset != len(f.data) || p.Total > mostChunk {
		return
	}
	f.data = append(f.data, p.Data...)
	f.asks = min(f.asks, asksOfHosts-1)
	if len(f.data) >= p.Total {
		m.chunkComplete(now, p.Hash, f.data)
		return
	}
	f.asked, f.askedAt = true, now
	m.out.Send(from, Message{Want: &Want{Hash: p.Hash, Offset: len(f.data)}})
}

// chunkComplete keeps a chunk whose content has the right hash.
func (m *Machine) chunkComplete(now core.Instant, hash string, data []byte) {
	f := m.conf.find(hash)
	if f == nil {
		return
	}
	sum := sha256.Sum256(data)
	if hex.EncodeToString(sum[:]) != hash {
		f.data = nil
		return
	}
	if data == nil {
		data = []byte{}
	}
	m.conf.chunks[hash] = data
	m.conf.fetches = slices.DeleteFunc(m.conf.fetches, func(o *fetch) bool { return o == f })
	for _, h := range f.waiters {
		m.sendPart(h, hash, data, 0)
	}
	m.complete(now)
	m.workFetches(now)
}
