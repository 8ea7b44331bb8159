//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"gentiancroft/platform/platformtest"
)

func init() { plays["logs"] = logs }

// Bounds of the rule LOST.
const (
	grace     = 8 * time.Second        // graceS
	lossSlack = 200 * time.Millisecond // lossSlackMs
)

const logsConfig = `{"version":1,"routes":[
 {"name":"night","host":"h","pathPrefix":"/night/","routeKind":"streaming","timeoutMs":25000,"targetLatencyMs":1000,"priority":0,"service":"engines","maxAttempts":1,"anonymous":false,"sticky":true,"resumable":false,"gapTargetMs":250}],
 "services":[{"name":"engines","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":153150,"models":[{"name":"base","weightsMb":72700.0,"loadS":2.9,"adapters":3000,"adapterMb":66.0}],"weightsMb":76000.0,"adapterSlots":28,"loadsPerS":3.6}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"w1","apiKeys":["key-1"],"priority":1,"unit":"token","plainTokens":200,"ratePerS":118870,"burst":118870}]}`

// logs: whoever reads a host's standard output stops reading. The host gets SIGTERM, and SIGKILL
// after the grace period, as the platform does it.
func logs(s *scene) (bool, error) {
	l, err := listen()
	if err != nil {
		return false, err
	}
	go s.store.Serve(l)
	s.store.Put("config", "main", platformtest.RawJSON(logsConfig))
	replicas, err := s.startReplicas(map[string]int{"engines": 2})
	if err != nil {
		return false, err
	}
	s.pipeLogs = true
	address := l.Addr().String()
	if err := s.startHosts(address, address, address); err != nil {
		return false, err
	}
	leaving := s.hosts[0]
	t := newTraffic(s)
	night := request{path: "/night/x", key: "key-1", model: "base/a1", deadline: 25 * time.Second}
	for i := range 24 {
		t.add(fmt.Sprintf("n%d", i), 50*time.Millisecond, func() request { return night })
	}
	time.Sleep(4 * time.Second)
	if s.trouble {
		leaving.logs.stop()
		s.note("trouble: nobody reads the standard output of host 0 any more")
	}
	time.Sleep(16 * time.Second)
	if s.trouble && !leaving.logs.awaitFull(40*time.Second) {
		return false, fmt.Errorf("the pipe to the reader of logs isn't full")
	}
	var rare []*rareConsumer
	for i := range 10 {
		c := &rareConsumer{scene: s, host: leaving, name: fmt.Sprintf("rare-%d", i), request: night}
		if err := c.first(); err != nil {
			return false, err
		}
		rare = append(rare, c)
	}
	term := time.Now()
	leaving.signal(syscall.SIGTERM)
	s.note("platform: SIGTERM to host 0")
	killed := time.AfterFunc(grace, func() {
		leaving.signal(syscall.SIGKILL)
		s.note("platform: SIGKILL to host 0, %v after SIGTERM", grace)
	})
	go func() {
		<-leaving.ended
		s.note("host 0 has ended %.3f s after SIGTERM", time.Since(term).Seconds())
	}()
	var all sync.WaitGroup
	for i, c := range rare {
		at := term.Add(5700*time.Millisecond + time.Duration(i)*15*time.Millisecond)
		all.Go(func() { c.second(at) })
	}
	all.Wait()
	killed.Stop()
	s.noteAll(t.end())
	lost := 0
	for _, c := range rare {
		held := c.result.ended - c.result.sent
		isLost := c.result.sent > 0 && !c.result.complete && held > lossSlack && c.unread == 0
		s.note("request %s on a kept channel: sent %.3f, channel ended %.3f s later, status %d, bytes that the host had not read then: %d, lost: %v", c.result.id, c.result.sent.Seconds(), held.Seconds(), c.result.status, c.unread, isLost)
		if isLost {
			lost++
		}
	}
	for _, x := range replicas {
		s.note("replica %s ran %d requests", x.ID, len(x.RanRequests()))
	}
	s.note("LOST: host 0 read %d whole requests during its planned stop whose channels ended without an answer, later than %v after the last byte", lost, lossSlack)
	return lost > 0, nil
}

// rareConsumer sends one request and, on the same channel, another one seconds later. It keeps the
// addresses for three times the given time, as some consumers do.
type rareConsumer struct {
	scene   *scene
	host    *host
	name    string
	request request

	conn   net.Conn
	reader *bufio.Reader
	result request
	unread int // bytes of the second request that the host had not read a second after they were sent
}

// first opens a channel to one of the addresses that a host's directory gives, and sends a request.
func (c *rareConsumer) first() error {
	given, err := addresses(c.scene.hosts[1])
	if err != nil {
		return err
	}
	if !slices.Contains(given, c.host.callers) {
		return fmt.Errorf("the directory doesn't give host 0: %v", given)
	}
	conn, err := net.DialTimeout("tcp", c.host.callers, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return c.exchange(1)
}

// second sends a request at a time, if the channel is still open then.
func (c *rareConsumer) second(at time.Time) {
	defer func() { _ = c.conn.Close() }()
	_ = c.conn.SetReadDeadline(at)
	if _, err := c.reader.Peek(1); err == nil || !os.IsTimeout(err) {
		c.result.id, c.result.err = c.name+"-2", fmt.Errorf("the channel was closed before")
		return
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	done := time.AfterFunc(time.Second, func() { c.unread = unreadBytes(c.conn) })
	defer done.Stop()
	c.result.err = c.exchange(2)
}

func (c *rareConsumer) exchange(number int) error {
	r := &c.result
	*r = c.request
	r.id = fmt.Sprintf("%s-%d", c.name, number)
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 25000\r\nApi-Key: %s\r\nX-Model: %s\r\nX-Token-Usage: 20,40\r\nX-Prompt-Prefix: 7:16,%x:4\r\nContent-Length: %d\r\n\r\n%s",
		r.path, r.id, r.key, r.model, time.Now().UnixNano(), len(r.id), r.id)
	r.sent = c.scene.since()
	defer func() { r.ended = c.scene.since() }()
	_ = c.conn.SetReadDeadline(time.Now().Add(4 * time.Second)) // four times the objective: consumers abandon a stream then
	if _, err := io.WriteString(c.conn, text); err != nil {
		return err
	}
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	r.status, r.stamp = answer.StatusCode, answer.Header.Get("X-Server-Stamp")
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return err
	}
	r.complete = true
	return nil
}

// unreadBytes is how many bytes wait in the kernel for the other end of a loopback connection, -1
// where that isn't known.
func unreadBytes(c net.Conn) int {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return -1
	}
	local, remote := hexPort(c.RemoteAddr()), hexPort(c.LocalAddr()) // as the other end has them
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasSuffix(fields[1], local) || !strings.HasSuffix(fields[2], remote) {
			continue
		}
		var sent, received int
		if _, err := fmt.Sscanf(fields[4], "%x:%x", &sent, &received); err != nil {
			return -1
		}
		return received
	}
	return -1
}

func hexPort(a net.Addr) string {
	tcp, ok := a.(*net.TCPAddr)
	if !ok {
		return "?"
	}
	return fmt.Sprintf(":%04X", tcp.Port)
}

// logReader copies a host's standard output into a file until it stops.
type logReader struct {
	from *os.File
	mu   sync.Mutex
}

// stop makes the reader read no more. Its end stays open.
func (r *logReader) stop() { r.mu.Lock() }

// pipeBytes is how much of a pipe that holds 64 KiB is used once it is as good as full.
const pipeBytes = 60 << 10

// awaitFull waits until the pipe holds pipeBytes that nobody reads.
func (r *logReader) awaitFull(limit time.Duration) bool {
	raw, err := r.from.SyscallConn()
	if err != nil {
		return false
	}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		waiting := 0
		if err := raw.Control(func(fd uintptr) { waiting, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }); err != nil {
			return false
		}
		if waiting >= pipeBytes {
			return true
		}
	}
	return false
}

func (r *logReader) run(to io.Writer) {
	buffer := make([]byte, 4<<10)
	for {
		r.mu.Lock()
		n, err := r.from.Read(buffer)
		r.mu.Unlock()
		if err != nil {
			return
		}
		_, _ = to.Write(buffer[:n])
	}
}
