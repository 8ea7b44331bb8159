// Package hangup wraps callers' connections so that a hang-up is noticed at once
// while a request is served.
package hangup

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// aheadMost is how many bytes are read ahead of the request being served.
	// A caller that pipelines more is no longer watched until it is served.
	aheadMost = 4 << 10
	// scratchBytes is how much is read ahead at once.
	scratchBytes = 512
	// sendBuffer bounds what the kernel holds for a slow caller, in bytes.
	sendBuffer = 64 << 10
)

// Listener wraps accepted connections so that they can be watched.
type Listener struct {
	net.Listener
	Stall time.Duration // a write that takes longer fails
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBuffer)
	}
	return New(c, l.Stall), nil
}

// Conn is a caller's connection that notices a hang-up while a request is
// served. The HTTP server does not read then, so Conn reads ahead, keeps what
// it got, and hands it to the next Read: pipelined bytes are never lost.
//
// A caller that shuts down its sending side counts as gone.
type Conn struct {
	net.Conn
	stall time.Duration // a write that takes longer fails

	mu      sync.Mutex
	changed *sync.Cond
	ahead   []byte // read and not yet handed over
	err     error  // the end of the connection
	timeout error  // a read deadline that passed; handed over once
	reading bool   // readAhead runs
	onGone  func() // of the request being served

	scratch [scratchBytes]byte // of readAhead alone
}

// New wraps a connection.
func New(c net.Conn, stall time.Duration) *Conn {
	w := &Conn{Conn: c, stall: stall}
	w.changed = sync.NewCond(&w.mu)
	return w
}

// Watch watches a caller's connection as its method does, and returns it; nil where
// the connection came by no Listener, so that hang-ups can't be seen.
func Watch(c net.Conn, onGone func()) *Conn {
	w, ok := c.(*Conn)
	if !ok {
		return nil
	}
	w.Watch(onGone)
	return w
}

// Watch calls onGone, once, when the caller hangs up before Release.
func (c *Conn) Watch(onGone func()) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		onGone()
		return
	}
	c.onGone = onGone
	start := !c.reading && len(c.ahead) < aheadMost
	c.reading = c.reading || start
	c.mu.Unlock()
	_ = c.SetReadDeadline(time.Time{}) // the deadline of the request's own bytes is over
	if start {
		go c.readAhead()
	}
}

// Release ends the watch of the request being served.
func (c *Conn) Release() {
	c.mu.Lock()
	c.onGone = nil
	c.mu.Unlock()
}

func (c *Conn) readAhead() {
	for {
		n, err := c.Conn.Read(c.scratch[:])
		gone, more := c.arrived(c.scratch[:n], err)
		if gone != nil {
			gone()
		}
		if !more {
			return
		}
	}
}

// arrived keeps what a read gave. It returns whom to tell of a hang-up and
// whether to read on.
func (c *Conn) arrived(b []byte, err error) (gone func(), more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.changed.Broadcast()
	c.ahead = append(c.ahead, b...)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		if c.onGone != nil {
			return nil, true // set for the request's own bytes, before it was served
		}
		c.timeout = err
	case err != nil:
		c.err = err
		gone, c.onGone = c.onGone, nil
	case c.onGone != nil && len(c.ahead) < aheadMost:
		return nil, true
	}
	c.reading = false
	return gone, false
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	for c.reading && len(c.ahead) == 0 {
		c.changed.Wait()
	}
	if len(c.ahead) > 0 {
		n := copy(p, c.ahead)
		c.ahead = c.ahead[n:]
		if len(c.ahead) == 0 {
			c.ahead = nil
		}
		c.mu.Unlock()
		return n, nil
	}
	err := c.err
	if c.timeout != nil {
		err, c.timeout = c.timeout, nil
	}
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn. A caller that takes nothing for the stall time
// loses its connection.
func (c *Conn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(c.stall))
	return c.Conn.Write(p)
}
