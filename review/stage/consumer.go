//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// request is one attempt of a consumer.
type request struct {
	path, key, model string
	deadline         time.Duration

	id       string
	host     int // number of the host
	sent     time.Duration
	ended    time.Duration
	status   int // 0: no answer
	stamp    string
	body     string
	complete bool
	err      error
}

// consumer sends one request at a time over a kept channel.
type consumer struct {
	scene  *scene
	name   string
	number int

	host   int
	conn   net.Conn
	reader *bufio.Reader
	asked  time.Time // when it last asked for addresses
}

// resolve asks a host's directory where to connect, every two seconds.
func (c *consumer) resolve() bool {
	if c.conn != nil && time.Since(c.asked) < 2*time.Second {
		return true
	}
	given, err := addresses(c.scene.hosts[rand.IntN(len(c.scene.hosts))])
	if err != nil {
		return c.conn != nil
	}
	c.asked = time.Now()
	address := given[rand.IntN(len(given))]
	if c.conn != nil && c.scene.hosts[c.host].callers == address {
		return true
	}
	c.hangUp()
	for i, h := range c.scene.hosts {
		if h.callers == address {
			c.host = i
		}
	}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

// addresses asks a host's directory where to connect.
func addresses(at *host) ([]string, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + at.directory + "/-/resolve?name=h&region=r1&zone=z1")
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Body.Close() }()
	var answer struct{ Addresses []string }
	if err := json.NewDecoder(r.Body).Decode(&answer); err != nil {
		return nil, err
	}
	if r.StatusCode != http.StatusOK || len(answer.Addresses) == 0 {
		return nil, fmt.Errorf("status %d, no addresses", r.StatusCode)
	}
	return answer.Addresses, nil
}

func (c *consumer) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and reads its answer to the end.
func (c *consumer) send(r request) request {
	if !c.resolve() {
		r.err = fmt.Errorf("no address")
		return r
	}
	c.number++
	r.id, r.host = fmt.Sprintf("%s-%d", c.name, c.number), c.host
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nApi-Key: %s\r\nContent-Length: %d\r\n", r.path, r.id, r.deadline.Milliseconds(), r.key, len(r.id))
	if r.model != "" {
		fmt.Fprintf(&b, "X-Model: %s\r\nX-Token-Usage: 20,40\r\nX-Prompt-Prefix: %x:16,%x:4\r\n", r.model, 7, rand.Uint32())
	}
	b.WriteString("\r\n" + r.id)
	r.sent = c.scene.since()
	r.err = c.exchange(&r, b.String())
	r.ended = c.scene.since()
	if r.err != nil {
		c.hangUp()
	}
	return r
}

func (c *consumer) exchange(r *request, text string) error {
	_ = c.conn.SetDeadline(time.Now().Add(r.deadline))
	if _, err := io.WriteString(c.conn, text); err != nil {
		return err
	}
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	r.status, r.stamp = answer.StatusCode, answer.Header.Get("X-Server-Stamp")
	body, err := io.ReadAll(answer.Body)
	r.body = string(body)
	if err != nil {
		return err
	}
	r.complete = true
	if answer.Close {
		c.hangUp()
	}
	return nil
}

// traffic sends requests from several consumers at once until it is stopped, and keeps them.
type traffic struct {
	scene *scene
	wait  sync.WaitGroup
	stop  chan struct{}

	mu  sync.Mutex
	all []request
}

func newTraffic(s *scene) *traffic { return &traffic{scene: s, stop: make(chan struct{})} }

// add starts a consumer that sends what next returns, with a pause after each.
func (t *traffic) add(name string, pause time.Duration, next func() request) {
	t.wait.Go(func() {
		c := &consumer{scene: t.scene, name: name}
		defer c.hangUp()
		for {
			select {
			case <-t.stop:
				return
			case <-time.After(pause/2 + rand.N(pause)):
			}
			r := c.send(next())
			t.mu.Lock()
			t.all = append(t.all, r)
			t.mu.Unlock()
		}
	})
}

// end stops the consumers and returns all requests.
func (t *traffic) end() []request {
	close(t.stop)
	t.wait.Wait()
	return t.all
}

// noteAll writes all requests into the record.
func (s *scene) noteAll(all []request) {
	for _, r := range all {
		s.note("request %s to host %d: %s key %s model %q sent %.3f ended %.3f status %d stamp %q complete %v %v", r.id, r.host, r.path, r.key, r.model, r.sent.Seconds(), r.ended.Seconds(), r.status, r.stamp, r.complete, errText(r.err))
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return "error: " + err.Error()
}
