//go:build review

package main

import (
	"net"
	"sync"
	"time"
)

// quietListener accepts connections whose idle ones can be made to go silent: a device on the
// way has forgotten them. Nothing passes on them any more, and neither end is told.
type quietListener struct {
	net.Listener
	mu   sync.Mutex
	open map[*quietConn]bool
}

func newQuietListener(l net.Listener) *quietListener {
	return &quietListener{Listener: l, open: map[*quietConn]bool{}}
}

// Accept implements net.Listener.
func (l *quietListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	q := &quietConn{Conn: c, last: time.Now(), owner: l, closed: make(chan struct{})}
	l.mu.Lock()
	l.open[q] = true
	l.mu.Unlock()
	return q, nil
}

// silence makes the connections go silent on which nothing has passed for idle. It returns how
// many there are, and how many stay as they are.
func (l *quietListener) silence(idle time.Duration) (silent, others int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if c.silenceIfIdle(idle) {
			silent++
		} else {
			others++
		}
	}
	return silent, others
}

type quietConn struct {
	net.Conn
	owner *quietListener

	mu     sync.Mutex
	last   time.Time
	silent bool
	once   sync.Once
	closed chan struct{}
}

func (c *quietConn) silenceIfIdle(idle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.last) < idle {
		return false
	}
	c.silent = true
	return true
}

// passed notes that bytes have passed, and reports whether the connection is silent.
func (c *quietConn) passed() (silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = time.Now()
	return c.silent
}

// Read implements net.Conn.
func (c *quietConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.passed() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *quietConn) Write(p []byte) (int, error) {
	if c.passed() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. A silent connection is closed at this end only at the end of the scene.
func (c *quietConn) Close() error {
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if silent {
		return nil
	}
	c.once.Do(func() { close(c.closed) })
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
