//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"gentiancroft/platform/platformtest"
)

func init() { cases["term"] = playTerm }

const (
	answerBytes = 2 << 20
	readBytes   = 16 << 10              // at once
	readPause   = 56 * time.Millisecond // between two reads: 290 KB a second, 7.2 s for the answer
	slowCallers = 3
	// settleTime is longer than contactMs, 4 s: nothing but the stop is to be near the requests.
	settleTime = 5 * time.Second
)

const slowConfig = `{"version":1,"routes":[
 {"name":"act","host":"h","pathPrefix":"/act/","routeKind":"non_idempotent","timeoutMs":15000,"targetLatencyMs":150,"service":"desk","maxAttempts":1}],
 "services":[{"name":"desk"}],
 "tenants":[{"name":"w","apiKeys":["key"],"unit":"token","plainTokens":1,"ratePerS":100000,"burst":100000}]}`

// playTerm stops a host while callers read their answers slowly.
func playTerm(s *stage) (bool, error) {
	s.store.Put("config", "main", platformtest.RawJSON(slowConfig))
	x := &platformtest.Replica{ID: "i-1", Service: "desk", Zone: "a"}
	x.Intercept(func(w http.ResponseWriter, q *http.Request) bool {
		w.Header().Set("X-Server-Stamp", x.ID)
		w.Header().Set("Content-Length", fmt.Sprint(answerBytes))
		n, err := io.WriteString(w, strings.Repeat("x", answerBytes))
		s.logf("the replica has run %s and written %d bytes, error %v", q.Header.Get("X-Request-Id"), n, err)
		return true
	})
	if err := s.addReplica(x); err != nil {
		return false, err
	}
	if err := s.addHosts("a", "b"); err != nil {
		return false, err
	}
	for _, h := range s.hosts {
		if err := h.start(); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	var callers, begun sync.WaitGroup
	var mu sync.Mutex
	cut, failed := 0, 0
	begun.Add(slowCallers)
	for i := range slowCallers {
		callers.Go(func() {
			got, err := s.readSlowly(fmt.Sprintf("r%d", i), begun.Done)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case got < 0:
				failed++
			case err != nil:
				cut++
			}
		})
	}
	begun.Wait()
	if s.trouble {
		s.logf("SIGTERM to edge-a")
		s.hosts[0].signal(syscall.SIGTERM)
	}
	callers.Wait()
	if failed > 0 {
		return false, errNotRun
	}
	s.logf("%d of %d answers were cut off", cut, slowCallers)
	return cut > 0, nil
}

// readSlowly sends a request to the first host and reads its answer slowly. It calls begun once the head of
// the answer has come, and returns how many bytes of the body came, -1 where there was no successful answer.
func (s *stage) readSlowly(id string, begun func()) (got int, err error) {
	begin := sync.OnceFunc(begun)
	defer begin()
	c, err := net.Dial("tcp", s.hosts[0].callers)
	if err != nil {
		return -1, err
	}
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetReadBuffer(readBytes)
	s.logf("caller sends %s", id)
	if _, err := fmt.Fprintf(c, "POST /act/%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 15000\r\nApi-Key: key\r\nContent-Length: 0\r\n\r\n", id, id); err != nil {
		return -1, err
	}
	answer, err := http.ReadResponse(bufio.NewReaderSize(c, 4<<10), nil)
	if err != nil || answer.StatusCode != http.StatusOK {
		return -1, err
	}
	began := time.Now()
	begin()
	buffer := make([]byte, readBytes)
	for err == nil {
		var n int
		n, err = io.ReadFull(answer.Body, buffer)
		got += n
		time.Sleep(readPause)
	}
	if got == answerBytes {
		err = nil
	}
	s.logf("caller got status 200 and %d of %d bytes for %s, within %.1f s; error %v", got, answerBytes, id, time.Since(began).Seconds(), err)
	return got, err
}
