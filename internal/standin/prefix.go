package standin

import (
	"container/list"
	"sync"
	"time"
)

// maxPrefixBytes is the length of the prompt prefix that is cached.
const maxPrefixBytes = 256

// CacheEvent reports that a prompt prefix was cached or evicted. A lost event
// leaves a gap in the numbers.
type CacheEvent struct {
	Number  int    `json:"number"`
	Adapter string `json:"adapter"`
	Prefix  string `json:"prefix"`
	Stored  bool   `json:"stored"` // false: evicted
	at      time.Time
}

// prefixCache is an engine's LRU cache of prompt prefixes, with the events that
// it publishes.
type prefixCache struct {
	mu                sync.Mutex
	capacity          int
	entries           map[string]*list.Element
	recency           *list.List // of *CacheEvent, most recently used first
	events            []CacheEvent
	lastNumber        int
	eventDelay        time.Duration // age at which an event is published
	lostEventInterval int           // every lostEventInterval-th event is lost; 0: none
}

func newPrefixCache(size int, delay time.Duration, lostEventInterval int) *prefixCache {
	return &prefixCache{capacity: size, entries: map[string]*list.Element{}, recency: list.New(), eventDelay: delay, lostEventInterval: lostEventInterval}
}

// lookupOrInsert reports whether the prompt's prefix was cached. If not, it
// caches the prefix and evicts the least recently used one if the cache is
// full.
func (p *prefixCache) lookupOrInsert(adapter, prompt string) bool {
	head := prompt[:min(maxPrefixBytes, len(prompt))]
	key := adapter + "\x00" + head
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.entries[key]; ok {
		p.recency.MoveToFront(e)
		return true
	}
	if p.capacity == 0 {
		return false
	}
	if p.recency.Len() >= p.capacity {
		oldest := p.recency.Remove(p.recency.Back()).(*CacheEvent)
		delete(p.entries, oldest.Adapter+"\x00"+oldest.Prefix)
		p.appendEvent(oldest.Adapter, oldest.Prefix, false)
	}
	p.entries[key] = p.recency.PushFront(&CacheEvent{Adapter: adapter, Prefix: head})
	p.appendEvent(adapter, head, true)
	return false
}

// appendEvent appends an event, except for every lostEventInterval-th, which is lost.
// The caller holds mu.
func (p *prefixCache) appendEvent(adapter, head string, stored bool) {
	const maxEvents = 4096
	p.lastNumber++
	if p.lostEventInterval > 0 && p.lastNumber%p.lostEventInterval == 0 {
		return
	}
	p.events = append(p.events, CacheEvent{Number: p.lastNumber, Adapter: adapter, Prefix: head, Stored: stored, at: time.Now()})
	if len(p.events) > maxEvents {
		p.events = p.events[len(p.events)-maxEvents:]
	}
}

// eventsAfter returns the events with a higher number that are at least
// eventDelay old.
func (p *prefixCache) eventsAfter(number int) []CacheEvent {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []CacheEvent{}
	newest := time.Now().Add(-p.eventDelay)
	for _, e := range p.events {
		if e.Number > number && !e.at.After(newest) {
			out = append(out, e)
		}
	}
	return out
}

// clear empties the cache, as a restart does. Events that are not published yet
// are kept.
func (p *prefixCache) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = map[string]*list.Element{}
	p.recency.Init()
}
