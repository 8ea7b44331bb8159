//go:build review2

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"gentiancroft/platform/platformtest"
)

func init() { cases["logs"] = playLogs }

const (
	logsLength   = 6 * time.Second // of the traffic before SIGTERM
	graceTime    = 8 * time.Second // graceS
	addressTime  = 6 * time.Second // three times the ttlS of 2 that the host gives
	lossSlack    = 200 * time.Millisecond
	logsCallers  = 12
	callInterval = 40 * time.Millisecond
)

const plainConfig = `{"version":1,"routes":[
 {"name":"act","host":"h","pathPrefix":"/act/","routeKind":"non_idempotent","timeoutMs":800,"targetLatencyMs":150,"service":"desk","maxAttempts":1}],
 "services":[{"name":"desk"}],
 "tenants":[{"name":"w","apiKeys":["key"],"unit":"token","plainTokens":1,"ratePerS":100000,"burst":100000}]}`

// lost is a request that a host has read and not answered.
type lost struct {
	id    string
	after time.Duration // from SIGTERM to when it was sent
	open  time.Duration // from its last byte to the end of its channel
	err   error
}

// playLogs stops a host while nobody reads its log.
func playLogs(s *stage) (bool, error) {
	s.store.Put("config", "main", platformtest.RawJSON(plainConfig))
	for i := range 3 {
		if err := s.addReplica(&platformtest.Replica{ID: fmt.Sprintf("i-%d", i), Service: "desk", Zone: "a"}); err != nil {
			return false, err
		}
	}
	if err := s.addHosts("a", "b", "c"); err != nil {
		return false, err
	}
	read, written, err := os.Pipe()
	if err != nil {
		return false, err
	}
	defer func() { _ = read.Close() }()
	stalled := make(chan struct{})
	go readLog(read, stalled)
	if err := s.hosts[0].startWith(written); err != nil {
		return false, err
	}
	_ = written.Close()
	for _, h := range s.hosts[1:] {
		if err := h.start(); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	if s.trouble {
		s.logf("the reader of the log of edge-a stalls")
		close(stalled)
	}
	var callers sync.WaitGroup
	var mu sync.Mutex
	var found []lost
	term := time.Now().Add(logsLength)
	statuses := map[int]int{}
	for i := range logsCallers {
		callers.Go(func() {
			callUntil(s.hosts[0].callers, fmt.Sprintf("c%d", i), term, func(status int, l *lost) {
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
				if l != nil {
					found = append(found, *l)
				}
			})
		})
	}
	time.Sleep(time.Until(term))
	s.logf("SIGTERM to edge-a")
	s.hosts[0].signal(syscall.SIGTERM)
	select {
	case <-s.hosts[0].ended:
	case <-time.After(time.Until(term.Add(graceTime))):
		s.logf("edge-a still runs after graceS; SIGKILL")
		s.hosts[0].signal(syscall.SIGKILL)
	}
	callers.Wait()
	s.logf("answers by status (0: none) %v", statuses)
	broken := 0
	for _, l := range found {
		s.logf("request %s, sent %.3f s after SIGTERM: its channel ended %.3f s after its last byte without an answer: %v", l.id, l.after.Seconds(), l.open.Seconds(), l.err)
		if l.open > lossSlack {
			broken++
		}
	}
	s.logf("%d requests were read and not answered within the time that the rule allows", broken)
	return broken > 0, nil
}

// readLog reads a log until it stalls.
func readLog(r io.Reader, stalled <-chan struct{}) {
	buffer := make([]byte, 4096)
	for {
		select {
		case <-stalled:
			return
		default:
		}
		if _, err := r.Read(buffer); err != nil {
			return
		}
	}
}

// callUntil sends requests on kept channels to one address until it is no longer to be used: the caller
// has learned it just before SIGTERM, and keeps it for three times the time that it was given.
func callUntil(address, name string, term time.Time, record func(status int, l *lost)) {
	var c net.Conn
	var r *bufio.Reader
	for n := 0; time.Now().Before(term.Add(addressTime)); n++ {
		time.Sleep(callInterval)
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", address, time.Second); err != nil {
				return // it uses another address
			}
			r = bufio.NewReader(c)
		}
		id := fmt.Sprintf("%s-%d", name, n)
		sent := time.Now()
		_, err := fmt.Fprintf(c, "POST /act/%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\nApi-Key: key\r\nContent-Length: 0\r\n\r\n", id, id)
		var answer *http.Response
		if err == nil {
			_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
			answer, err = http.ReadResponse(r, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, answer.Body)
		}
		if err != nil {
			_ = c.Close()
			c = nil
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				record(0, &lost{id: id, after: sent.Sub(term), open: time.Since(sent), err: err})
			}
			continue
		}
		record(answer.StatusCode, nil)
		if answer.Close {
			_ = c.Close()
			c = nil
		}
	}
	if c != nil {
		_ = c.Close()
	}
}
