// Package hangup wraps callers' connections to detect immediately that a caller hangs up
// while its request is served. Reacting to a hang-up is left to the callback.
//
// With framing, it also bounds what a connection holds: the HTTP server gets the heads of requests
// only, one at a time, and the request's handler reads the body with ReceiveBody.
package hangup

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gentiancroft/internal/framing"
	"gentiancroft/internal/held"
	"gentiancroft/internal/socket"
)

const (
	// maxReadAheadBytes is how many bytes are read ahead of the request being served.
	// Once a caller has pipelined more, its hang-up is not detected until the next watch.
	maxReadAheadBytes = 4 << 10
	// readChunkBytes is the size of one read ahead.
	readChunkBytes = 512
	// sendBufferBytes bounds the kernel's send buffer for a slow caller.
	sendBufferBytes = 64 << 10
	// minWriteRate is the least rate in bytes a second at which a caller must take an answer, apart
	// from the stall timeout, which it may use up once for each request.
	minWriteRate = 1 << 10
	// acceptRetryDelay is the pause after an accept that failed for want of descriptors or memory.
	acceptRetryDelay = 50 * time.Millisecond
)

// Listener wraps accepted connections so that they can be watched.
type Listener struct {
	net.Listener
	StallTimeout time.Duration // a write that takes longer fails
	MaxLines     int           // of a request's head; 0: no framing
	Budget       *held.Budget  // of the connections; nil: no bounds
	Serving      *Serving      // counts the requests on the connections; nil: nothing does
}

// Accept implements net.Listener. It closes connections that are too many.
func (l Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if outOfResources(err) {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if err != nil {
			return nil, err
		}
		if w := l.admit(c); w != nil {
			return w, nil
		}
		_ = c.Close()
	}
}

// outOfResources reports whether an accept failed for want of something that may be free again
// soon. The HTTP server would end.
func outOfResources(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// admit wraps a connection. It returns nil if the budget has no place for it.
func (l Listener) admit(c net.Conn) *Conn {
	w := New(c, l.StallTimeout)
	w.head.MaxLines = l.MaxLines
	w.serving = l.Serving
	if l.Budget != nil {
		if w.account = l.Budget.Open(c.RemoteAddr(), w.evict); w.account == nil {
			return nil
		}
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBufferBytes)
	}
	return w
}

// Conn is a caller's connection that detects a hang-up while a request is served. The HTTP
// server does not read in that time, so Conn reads ahead and buffers what it gets for the
// next Read: pipelined bytes are never lost.
//
// A caller that shuts down its sending side counts as having hung up.
type Conn struct {
	net.Conn
	stallTimeout time.Duration // a write that takes longer fails

	mu         sync.Mutex
	changed    *sync.Cond
	buffered   []byte // read ahead and not yet returned by Read
	err        error  // that ended the connection
	timeoutErr error  // an expired read deadline; Read returns it once
	reading    bool   // whether readAhead runs
	onHangup   func() // of the request being served

	scratch [readChunkBytes]byte // used by readAhead only

	account   *held.Account // nil: no bounds
	head      framing.Head  // of the current request; no framing where its MaxLines is 0
	body      body
	state     atomic.Int32 // a requestState
	receiving atomic.Bool  // ReceiveBody runs
	serving   *Serving     // nil: nothing is counted
	counted   atomic.Bool  // the current request counts in serving

	// Of the current answer:
	written int           // bytes
	blocked time.Duration // spent in writes
	// answerHeld is set where the answer counts in the budget.
	answerHeld bool
}

// New wraps a connection. A write that takes longer than stall fails.
func New(c net.Conn, stall time.Duration) *Conn {
	w := &Conn{Conn: c, stallTimeout: stall}
	w.changed = sync.NewCond(&w.mu)
	return w
}

// Watch calls the method Watch of a connection that a Listener accepted and returns that
// connection. It returns nil for other connections, whose hang-ups can't be detected.
func Watch(c net.Conn, onHangup func()) *Conn {
	w, ok := c.(*Conn)
	if !ok {
		return nil
	}
	w.Watch(onHangup)
	return w
}

// Watch calls onHangup once if the caller hangs up before Release, or has hung up already.
func (c *Conn) Watch(onHangup func()) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		onHangup()
		return
	}
	c.onHangup = onHangup
	start := !c.reading && len(c.buffered) < maxReadAheadBytes
	c.reading = c.reading || start
	c.mu.Unlock()
	_ = c.SetReadDeadline(time.Time{}) // the deadline applied to receiving the request
	if start {
		go c.readAhead()
	}
}

// Release ends the watch. The callback of a hang-up that has been detected may still run.
func (c *Conn) Release() {
	c.mu.Lock()
	c.onHangup = nil
	c.mu.Unlock()
}

func (c *Conn) readAhead() {
	for {
		n, err := c.Conn.Read(c.scratch[:])
		callback, more := c.handleRead(c.scratch[:n], err)
		if callback != nil {
			callback()
		}
		if !more {
			return
		}
	}
}

// handleRead buffers the bytes of a read. It returns the callback to call, nil if there was
// no hang-up, and whether to read on.
func (c *Conn) handleRead(b []byte, err error) (callback func(), more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.changed.Broadcast()
	c.buffered = append(c.buffered, b...)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		if c.onHangup != nil {
			return nil, true // the deadline applied to receiving the request
		}
		c.timeoutErr = err
	case err != nil:
		c.err = err
		callback, c.onHangup = c.onHangup, nil
	case c.onHangup != nil && len(c.buffered) < maxReadAheadBytes:
		return nil, true
	}
	c.reading = false
	return callback, false
}

// Read implements net.Conn. With framing, it returns the head of one request only.
func (c *Conn) Read(p []byte) (int, error) {
	if c.head.MaxLines > 0 {
		return c.readHead(p)
	}
	return c.read(p)
}

// read reads what comes next on the connection.
func (c *Conn) read(p []byte) (int, error) {
	c.mu.Lock()
	for c.reading && len(c.buffered) == 0 {
		c.changed.Wait()
	}
	if len(c.buffered) > 0 {
		n := copy(p, c.buffered)
		c.buffered = c.buffered[n:]
		if len(c.buffered) == 0 {
			c.buffered = nil
		}
		c.mu.Unlock()
		return n, nil
	}
	err := c.err
	if c.timeoutErr != nil {
		err, c.timeoutErr = c.timeoutErr, nil
	}
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn. It fails if the caller reads too slowly for it to end within
// the stall timeout, or has read the answer too slowly so far.
func (c *Conn) Write(p []byte) (int, error) {
	began := time.Now()
	allowed := min(c.stallTimeout, writeTimeLeft(c.stallTimeout, c.blocked, c.written+len(p)))
	_ = c.SetWriteDeadline(began.Add(allowed))
	n, err := c.Conn.Write(p)
	c.blocked += time.Since(began)
	c.written += n
	if c.answerHeld {
		c.account.Progress(n)
	}
	return n, err
}

// writeTimeLeft returns how much longer writes of an answer may block once it has written bytes.
func writeTimeLeft(stall, blocked time.Duration, written int) time.Duration {
	return stall - blocked + time.Duration(written)*time.Second/minWriteRate
}

// ResetOnClose makes the close of a connection that a Listener accepted reset it, also where
// the process is killed, so that the caller doesn't take the end of what was sent for the end of
// the answer. With reset false, the connection is closed in order again.
func ResetOnClose(c net.Conn, reset bool) {
	w, ok := c.(*Conn)
	if !ok {
		return
	}
	_ = socket.ResetOnClose(w.Conn, reset) // a connection without a socket has no such option
}
