package upstream

import (
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Limits of the kept connections. Common engines close a connection that was idle for
// five seconds, so by default none is kept that long.
const (
	defaultIdleTimeout = 3 * time.Second  // if the upstream gives no Keep-Alive timeout
	maxIdleTimeout     = 10 * time.Second // if the upstream's timeout is longer
	maxIdlePerAddress  = 64
	sweepInterval      = 10 * time.Second
)

// pool keeps idle connections by address, with the most recently used last.
type pool struct {
	mu        sync.Mutex
	idle      map[string][]*conn
	lastSweep time.Time
	closed    bool
}

func newPool() *pool {
	return &pool{idle: map[string][]*conn{}, lastSweep: time.Now()}
}

// get returns a kept connection that may carry a call, is still open and has been idle for less than
// limit (0: as long as connections are kept), or nil if there is none.
func (p *pool) get(call Call, limit time.Duration) *conn {
	for {
		c := p.pop(call)
		if c == nil {
			return nil
		}
		if time.Since(c.idleSince) < c.maxIdle(limit) && isOpen(c) {
			return c
		}
		c.closeInOrder()
	}
}

// maxIdle returns how long a connection may have been idle to be used again: at most
// callLimit (0: no limit), and well within the time after which the upstream closes it.
func (c *conn) maxIdle(callLimit time.Duration) time.Duration {
	limit := defaultIdleTimeout
	if c.serverIdleTimeout > 0 {
		limit = min(maxIdleTimeout, c.serverIdleTimeout*2/3)
	}
	if callLimit > 0 {
		limit = min(limit, callLimit)
	}
	return limit
}

// pop removes and returns the most recently used connection that get may return.
func (p *pool) pop(call Call) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	stack := p.idle[call.Address]
	for i, c := range slices.Backward(stack) {
		if c.mayCarry(call) {
			p.idle[call.Address] = slices.Delete(stack, i, i+1)
			return c
		}
	}
	return nil
}

// isOpen reports whether the upstream has neither closed the connection nor sent
// unexpected bytes on it. It does not block.
func isOpen(c *conn) bool {
	if c.reader.Buffered() > 0 || c.Failed() {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var unexpected [1]byte
		_, err := syscall.Read(int(fd), unexpected[:])
		idle = errors.Is(err, syscall.EAGAIN)
		return true // don't wait for more
	})
	return err == nil && idle
}

func (p *pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	keep := !p.closed && len(p.idle[c.address]) < maxIdlePerAddress
	if keep {
		p.idle[c.address] = append(p.idle[c.address], c)
	}
	expired := p.sweep(c.idleSince)
	p.mu.Unlock()
	if !keep {
		expired = append(expired, c)
	}
	for _, old := range expired {
		old.closeInOrder()
	}
}

// sweep removes and returns the expired connections of all addresses, at most once per
// sweepInterval. Without it the connections to a replaced upstream would stay in the
// pool. The caller holds mu.
func (p *pool) sweep(now time.Time) []*conn {
	if now.Sub(p.lastSweep) < sweepInterval {
		return nil
	}
	p.lastSweep = now
	var expired []*conn
	for address, stack := range p.idle {
		var kept []*conn
		for _, c := range stack {
			if now.Sub(c.idleSince) < c.maxIdle(0) {
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
			c.closeInOrder()
		}
	}
}
