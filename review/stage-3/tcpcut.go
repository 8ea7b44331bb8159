//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// minRTO is the least time until TCP sends unacknowledged bytes again. It is doubled each time.
	minRTO = 200 * time.Millisecond
	// backlog is how many connections may wait to be accepted. While the link is cut, they are filled up,
	// so that the kernel drops the first packets of others.
	backlog = 8
)

// tcpLink is the link to one address, for all who use it or, with ownerOf, for one host. While it is cut,
// no connection opens and no byte passes, without an answer of any kind; what was sent meanwhile on open
// connections passes when its sender sends it again after the cut, as TCP does.
type tcpLink struct {
	address string // of this end
	to      string
	ownerOf func(*net.TCPConn) string // the host that has opened a connection; nil: the link is of one host

	listener net.Listener
	mu       sync.Mutex
	healed   *sync.Cond
	cut      bool
	cutHost  string // with ownerOf, the host that is cut off
	fill     []net.Conn
}

// newTCPLink returns a link to an address; ownerOf is as in tcpLink.
func newTCPLink(to string, ownerOf func(*net.TCPConn) string) (*tcpLink, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "link")
	defer f.Close()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, backlog); err != nil {
		return nil, err
	}
	l, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	k := &tcpLink{address: l.Addr().String(), to: to, ownerOf: ownerOf, listener: l}
	k.healed = sync.NewCond(&k.mu)
	go k.accept()
	return k, nil
}

// setCut cuts the link, for one host if others use it too.
func (k *tcpLink) setCut(host string) {
	k.mu.Lock()
	k.cut, k.cutHost = true, host
	k.mu.Unlock()
	if k.ownerOf != nil {
		return
	}
	for range backlog + 4 { // the last ones don't open
		c, err := net.DialTimeout("tcp", k.address, 20*time.Millisecond)
		if err == nil {
			k.mu.Lock()
			k.fill = append(k.fill, c)
			k.mu.Unlock()
		}
	}
}

// heal ends the cut.
func (k *tcpLink) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = false
	k.healed.Broadcast()
}

// isCut reports whether the link is cut for a host.
func (k *tcpLink) isCut(host string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cut && k.cutHost == host
}

// await waits until the link isn't cut.
func (k *tcpLink) await() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for k.cut {
		k.healed.Wait()
	}
}

// dropFill closes the connections that filled the backlog.
func (k *tcpLink) dropFill() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.fill {
		_ = c.Close()
	}
	k.fill = nil
}

func (k *tcpLink) accept() {
	for {
		if k.ownerOf == nil {
			k.await()
		}
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		if k.ownerOf == nil {
			k.mu.Lock()
			cut := k.cut
			if cut { // the accept that was under way when the link was cut has taken one of the fill
				k.fill = append(k.fill, c)
			}
			k.mu.Unlock()
			if cut {
				k.await()
				k.dropFill()
				continue
			}
		}
		go k.open(c.(*net.TCPConn))
	}
}

// open connects a connection to the other end. What a host that is cut off opens gets nowhere.
func (k *tcpLink) open(c *net.TCPConn) {
	host := ""
	if k.ownerOf != nil {
		host = k.ownerOf(c)
	}
	if k.isCut(host) {
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
		return
	}
	to, err := net.Dial("tcp", k.to)
	if err != nil {
		_ = c.Close()
		return
	}
	go k.pass(to.(*net.TCPConn), c, host)
	k.pass(c, to.(*net.TCPConn), host)
}

// pass passes bytes and the end of the connection on in one direction.
func (k *tcpLink) pass(to, from *net.TCPConn, host string) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		k.holdBack(time.Now(), host)
		if n > 0 {
			_, _ = to.Write(b[:n])
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

// holdBack waits, for bytes that were sent while the link was cut, until their sender sends them again.
func (k *tcpLink) holdBack(sent time.Time, host string) {
	if !k.isCut(host) {
		return
	}
	k.await()
	again, wait := sent, minRTO
	for !again.After(time.Now()) {
		again = again.Add(wait)
		wait *= 2
	}
	time.Sleep(time.Until(again))
}

// ownerAmong returns a function that finds the host whose process has opened a connection to this one.
func ownerAmong(hosts func() []*host) func(*net.TCPConn) string {
	return func(c *net.TCPConn) string {
		inode := inodeOf(c.RemoteAddr().(*net.TCPAddr).Port, c.LocalAddr().(*net.TCPAddr).Port)
		for _, h := range hosts() {
			if h.command != nil && hasSocket(h.command.Process.Pid, inode) {
				return h.name
			}
		}
		return ""
	}
}

// inodeOf returns the inode of the socket with these ports, "" if there is none.
func inodeOf(local, remote int) string {
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	const localField, remoteField, inodeField = 1, 2, 9
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line)
		if len(f) > inodeField && strings.HasSuffix(f[localField], fmt.Sprintf(":%04X", local)) && strings.HasSuffix(f[remoteField], fmt.Sprintf(":%04X", remote)) {
			return f[inodeField]
		}
	}
	return ""
}

// hasSocket reports whether a process has a socket open.
func hasSocket(pid int, inode string) bool {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, e := range entries {
		if to, err := os.Readlink(dir + "/" + e.Name()); err == nil && to == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
