//go:build review2

package main

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// link is a host's path to the store, which can be cut. While it is cut, nothing passes, and opening packets
// of new connections are dropped by the kernel, since the queue of connections that wait for an accept is full:
// the sender repeats them after one and three seconds, as on a real cut.
type link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	healed  *sync.Cond
	isCut   bool
	fillers []net.Conn // connections that fill the queue
}

// newLink opens a link to a target on a free port.
func newLink(target string) (*link, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "link")
	defer func() { _ = file.Close() }()
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target}
	l.healed = sync.NewCond(&l.mu)
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return // closed
		}
		l.await() // one connection may have been accepted when the cut began
		far, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		go l.pipe(near, far)
		go l.pipe(far, near)
	}
}

// await waits while the link is cut.
func (l *link) await() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.isCut {
		l.healed.Wait()
	}
}

// pipe passes bytes on in one direction. What comes while the link is cut passes once it has healed.
func (l *link) pipe(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		l.await()
		if _, werr := to.Write(buffer[:n]); werr != nil || err != nil {
			return
		}
	}
}

// fillerTimeout is how long a connection to the link may take to open; beyond it the queue is full.
const fillerTimeout = 50 * time.Millisecond

// cut cuts the link.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = true
	for {
		c, err := net.DialTimeout("tcp", l.address(), fillerTimeout)
		if err != nil {
			return
		}
		l.fillers = append(l.fillers, c)
	}
}

// heal ends the cut.
func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = false
	for _, c := range l.fillers {
		_ = c.Close()
	}
	l.fillers = nil
	l.healed.Broadcast()
}
