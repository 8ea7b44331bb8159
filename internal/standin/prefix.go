package standin

import (
	"container/list"
	"sync"
	"time"
)

// prefixBytes is how much of a prompt one cache entry stands for.
const prefixBytes = 256

// CacheEvent says that a prefix was cached or dropped. A lost event shows as a
// gap in the numbers.
type CacheEvent struct {
	Number  int    `json:"number"`
	Adapter string `json:"adapter"`
	Prefix  string `json:"prefix"`
	Stored  bool   `json:"stored"` // false: dropped
	at      time.Time
}

// prefixes is an engine's prompt prefix cache: the most recently used ones.
type prefixes struct {
	mu      sync.Mutex
	size    int
	entries map[string]*list.Element
	order   *list.List // of *CacheEvent, most recently used first
	events  []CacheEvent
	number  int
	delay   time.Duration // events are published so much later
	gap     int           // every gap-th event is lost; 0: none
}

func newPrefixes(size int, delay time.Duration, gap int) *prefixes {
	return &prefixes{size: size, entries: map[string]*list.Element{}, order: list.New(), delay: delay, gap: gap}
}

// use reports whether the prompt's head was cached, and caches it.
func (p *prefixes) use(adapter, prompt string) bool {
	head := prompt[:min(prefixBytes, len(prompt))]
	key := adapter + "\x00" + head
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.entries[key]; ok {
		p.order.MoveToFront(e)
		return true
	}
	if p.size == 0 {
		return false
	}
	if p.order.Len() >= p.size {
		oldest := p.order.Remove(p.order.Back()).(*CacheEvent)
		delete(p.entries, oldest.Adapter+"\x00"+oldest.Prefix)
		p.publish(oldest.Adapter, oldest.Prefix, false)
	}
	p.entries[key] = p.order.PushFront(&CacheEvent{Adapter: adapter, Prefix: head})
	p.publish(adapter, head, true)
	return false
}

// publish appends an event unless it is one that gets lost; mu is held.
func (p *prefixes) publish(adapter, head string, stored bool) {
	const keep = 4096
	p.number++
	if p.gap > 0 && p.number%p.gap == 0 {
		return
	}
	p.events = append(p.events, CacheEvent{Number: p.number, Adapter: adapter, Prefix: head, Stored: stored, at: time.Now()})
	if len(p.events) > keep {
		p.events = p.events[len(p.events)-keep:]
	}
}

// after returns the events past a number that are old enough to be published.
func (p *prefixes) after(number int) []CacheEvent {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []CacheEvent{}
	due := time.Now().Add(-p.delay)
	for _, e := range p.events {
		if e.Number > number && !e.at.After(due) {
			out = append(out, e)
		}
	}
	return out
}

// clear forgets everything, as a restart does.
func (p *prefixes) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = map[string]*list.Element{}
	p.order.Init()
}
