package upstream

import (
	"errors"
	"os"
	"sync"
	"time"
)

// Bounds of the kept connections. Usual engines close a connection that was
// idle for five seconds, so none is kept that long.
const (
	keepIdle  = 3 * time.Second  // where the upstream does not say how long it keeps them
	keepLong  = 10 * time.Second // where it says longer
	keepMost  = 64               // per address
	sweepTime = 10 * time.Second
)

// pool keeps idle connections by address, the latest used on top.
type pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	swept  time.Time
	closed bool
}

func newPool() *pool {
	return &pool{idle: map[string][]*conn{}, swept: time.Now()}
}

// get returns a kept connection that is still open and has not been idle for
// longer than fresh (0: as long as it may be kept), or nil.
func (p *pool) get(address string, fresh time.Duration) *conn {
	for {
		c := p.take(address)
		if c == nil {
			return nil
		}
		if time.Since(c.idle) < c.usable(fresh) && alive(c) {
			return c
		}
		_ = c.Close()
	}
}

// usable is how long a connection may have been idle to be used again: well
// within the time after which the upstream closes it.
func (c *conn) usable(fresh time.Duration) time.Duration {
	limit := keepIdle
	if c.keep > 0 {
		limit = min(keepLong, c.keep*2/3)
	}
	if fresh > 0 {
		limit = min(limit, fresh)
	}
	return limit
}

func (p *pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	stack := p.idle[address]
	if len(stack) == 0 {
		return nil
	}
	c := stack[len(stack)-1]
	p.idle[address] = stack[:len(stack)-1]
	return c
}

// alive reports whether the other side has neither closed the connection nor
// sent anything unasked.
func alive(c *conn) bool {
	_ = c.SetReadDeadline(time.Unix(1, 0))
	_, err := c.reader.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded)
}

func (p *pool) put(c *conn) {
	c.idle = time.Now()
	p.mu.Lock()
	keep := !p.closed && len(p.idle[c.address]) < keepMost
	if keep {
		p.idle[c.address] = append(p.idle[c.address], c)
	}
	expired := p.sweep(c.idle)
	p.mu.Unlock()
	if !keep {
		expired = append(expired, c)
	}
	for _, old := range expired {
		_ = old.Close()
	}
}

// sweep removes expired connections of all addresses now and then, so that a
// replaced upstream leaves nothing behind. The caller holds mu.
func (p *pool) sweep(now time.Time) []*conn {
	if now.Sub(p.swept) < sweepTime {
		return nil
	}
	p.swept = now
	var expired []*conn
	for address, stack := range p.idle {
		var kept []*conn
		for _, c := range stack {
			if now.Sub(c.idle) < c.usable(0) {
				kept = append(kept, c)
				continue
			}
			expired = append(expired, c)
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	return expired
}

func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = map[string][]*conn{}
	p.closed = true
	p.mu.Unlock()
	for _, stack := range idle {
		for _, c := range stack {
			_ = c.Close()
		}
	}
}
