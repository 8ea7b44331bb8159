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
	maxFetches      = 4                      // chunks at a time
	minFetchRetry   = 500 * time.Millisecond // doubles with each unanswered request
	maxFetchRetry   = 4 * time.Second
	maxPeerRequests = 4  // then requests go to the store
	maxWaiters      = 64 // hosts per chunk
)

// headKey is the key of the configuration's head in the feed.
var headKey = Key{Topic: TopicConfig, Name: "head"}

// conf is the state of the configuration: the newest head received (target),
// the head in force, and the chunks of both.
type conf struct {
	objectVersion uint64 // store version of the newest head read
	target        config.Head
	inForce       config.Head
	chunks        map[string][]byte
	fetches       []*fetch
	source        core.HostID // host that sent the target, or storeSource
	inForceAt     core.Instant
}

// fetch is a chunk that is being fetched. Waiters are hosts that requested it
// in that time.
type fetch struct {
	hash        string
	data        []byte
	requestedAt core.Instant
	requested   bool
	requests    int
	waiters     []core.HostID
}

// setTarget makes a newer head the target to put in force and starts to fetch
// its chunks. An invalid head, or one that is not newer, changes nothing.
func (m *Machine) setTarget(now core.Instant, b []byte, from core.HostID) {
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
	m.activateTarget(now)
	m.requestChunks(now)
}

// find returns the fetch of a chunk, or nil.
func (c *conf) find(hash string) *fetch {
	for _, f := range c.fetches {
		if f.hash == hash {
			return f
		}
	}
	return nil
}

// activateTarget puts the target in force once all its chunks are there.
//
// Invariant: the version in force never decreases.
func (m *Machine) activateTarget(now core.Instant) {
	c := &m.conf
	if len(c.fetches) > 0 || c.target.Version <= c.inForce.Version {
		return
	}
	c.inForce, c.inForceAt = c.target, now
	for hash := range c.chunks {
		if !slices.Contains(c.inForce.Chunks, hash) {
			delete(c.chunks, hash)
		}
	}
	m.updateFreshness()
}

// Config returns the configuration in force: its head and its chunks in order.
// It returns false if there is none.
func (m *Machine) Config() (config.Head, [][]byte, bool) {
	h := m.conf.inForce
	if h.Version == 0 {
		return config.Head{}, nil, false
	}
	chunks := make([][]byte, 0, len(h.Chunks))
	for _, hash := range h.Chunks {
		chunks = append(chunks, m.conf.chunks[hash])
	}
	return h, chunks, true
}

// ConfigVersion returns the version in force, 0 if there is none.
func (m *Machine) ConfigVersion() uint64 { return m.conf.inForce.Version }

// requestChunks requests missing chunks: a watcher from the store, and from
// another host too while its store calls fail; any other host from another
// host, and after maxPeerRequests unanswered requests from the store.
func (m *Machine) requestChunks(now core.Instant) {
	for i, f := range m.conf.fetches {
		if i >= maxFetches {
			return
		}
		if f.requested && now.Sub(f.requestedAt) < min(minFetchRetry<<min(f.requests-1, 4), maxFetchRetry) {
			continue
		}
		f.requested, f.requestedAt = true, now
		f.requests++
		if m.tree.watcher || f.requests > maxPeerRequests {
			if !m.calls.has(callChunk, f.hash) {
				m.call(now, callChunk, f.hash, core.ObjectCall{Op: core.ObjectGet, Key: config.ChunkPrefix + f.hash})
			}
			if !m.tree.watcher || !m.calls.failing {
				continue
			}
		}
		if h, ok := m.chunkSource(f.requests); ok {
			m.out.Send(h, Message{ChunkRequest: &ChunkRequest{Hash: f.hash, Offset: len(f.data)}})
		}
	}
}

// chunkSource selects the host to request a chunk from: first the source of the
// target, then the parents and the other candidates in turn.
func (m *Machine) chunkSource(request int) (core.HostID, bool) {
	hosts := distinct(append(m.tree.parents(), m.tree.candidates...), m.settings.Self.Host)
	if m.conf.source != "" && m.conf.source != storeSource {
		hosts = distinct(append([]core.HostID{m.conf.source}, hosts...), m.settings.Self.Host)
	}
	if len(hosts) == 0 {
		return "", false
	}
	return hosts[(request-1)%len(hosts)], true
}

// receiveChunkRequest sends part of a chunk, or records who is waiting for it.
func (m *Machine) receiveChunkRequest(_ core.Instant, from core.HostID, req ChunkRequest) {
	if data := m.conf.chunks[req.Hash]; data != nil {
		m.sendPart(from, req.Hash, data, req.Offset)
		return
	}
	f := m.conf.find(req.Hash)
	if f != nil && len(f.waiters) < maxWaiters && !slices.Contains(f.waiters, from) {
		f.waiters = append(f.waiters, from)
	}
}

// sendPart sends the part of a chunk that begins at offset.
func (m *Machine) sendPart(to core.HostID, hash string, data []byte, offset int) {
	if offset < 0 || offset > len(data) {
		return
	}
	end := min(offset+MaxPartBytes, len(data))
	m.out.Send(to, Message{ChunkPart: &ChunkPart{Hash: hash, Offset: offset, Total: len(data), Data: data[offset:end]}})
}

// receivePart handles a part of a chunk and requests the next one.
func (m *Machine) receivePart(now core.Instant, from core.HostID, p ChunkPart) {
	f := m.conf.find(p.Hash)
	const maxChunkBytes = 1 << 20 // bytes, the object API's limit for a value
	if f == nil || p.Offset != len(f.data) || p.Total > maxChunkBytes {
		return
	}
	f.data = append(f.data, p.Data...)
	f.requests = min(f.requests, maxPeerRequests-1)
	if len(f.data) >= p.Total {
		m.storeChunk(now, p.Hash, f.data)
		return
	}
	f.requested, f.requestedAt = true, now
	m.out.Send(from, Message{ChunkRequest: &ChunkRequest{Hash: p.Hash, Offset: len(f.data)}})
}

// storeChunk stores a chunk if its content has the right hash, and sends its
// first part to the hosts that wait for it. With a wrong hash the fetch starts
// again.
func (m *Machine) storeChunk(now core.Instant, hash string, data []byte) {
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
	m.activateTarget(now)
	m.requestChunks(now)
}
