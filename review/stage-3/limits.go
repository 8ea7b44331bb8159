//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"gentiancroft/platform/platformtest"
)

// The scene "limits": the operator raises the limits for consumers by a new version of the
// configuration. Consumers send bodies of five eighths of the limit in force.

const (
	limitsHosts    = 3
	limitsReplicas = 3
	formerLimit    = 4 << 20 // maxBodyBytes of version 1
	raisedLimit    = 8 << 20 // of version 2
	limitsRequests = 90
	applyTime      = 2 * time.Second // configApplyMs
)

// limitsConfiguration has the version and maxBodyBytes left open.
const limitsConfiguration = `{"version":%d,"routes":[
 {"name":"file","host":"h.example","pathPrefix":"/file/","routeKind":"idempotent","timeoutMs":5000,"targetLatencyMs":1000,"priority":2,"service":"app","maxAttempts":2,"anonymous":false,"sticky":false,"resumable":false}],
 "services":[{"name":"app","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":%d,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t","apiKeys":["key-of-t"],"priority":1,"unit":"token","plainTokens":200,"ratePerS":118870,"burst":118870}]}`

func runLimits(dir string, r *record, trouble bool) (bool, error) {
	store := platformtest.NewStore()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	defer l.Close()
	go store.Serve(l)
	store.Put("config", "main", platformtest.RawJSON(fmt.Sprintf(limitsConfiguration, 1, formerLimit)))
	for i := range limitsReplicas {
		x := &replica{service: "app", number: i, store: store, work: 15 * time.Millisecond, onRun: func(string, *http.Request, string) {}}
		if err := x.start(); err != nil {
			return false, err
		}
		defer x.end()
	}
	var hosts []*host
	for i := range limitsHosts {
		h, _, err := newHost(dir, fmt.Sprintf("edge-%d", i), fmt.Sprintf("z%d", i), l.Addr().String())
		if err != nil {
			return false, err
		}
		if err := h.start(); err != nil {
			return false, err
		}
		defer h.kill()
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		if !h.awaitReady(20 * time.Second) {
			return false, fmt.Errorf("%s isn't ready", h.name)
		}
	}
	time.Sleep(5 * time.Second)
	limit := formerLimit
	if trouble {
		limit = raisedLimit
		store.Put("config", "main", platformtest.RawJSON(fmt.Sprintf(limitsConfiguration, 2, limit)))
		r.printf("the store has accepted version 2 with maxBodyBytes %d in place of %d", raisedLimit, formerLimit)
	}
	time.Sleep(applyTime + 3*time.Second)
	size := limit / 8 * 5
	denied, statuses := 0, map[int]int{}
	for i := range limitsRequests {
		status, text := sendFile(hosts[i%limitsHosts], i, size)
		statuses[status]++
		if status >= 300 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout && status != http.StatusMisdirectedRequest {
			denied++
			r.printf("request %d with a body of %d bytes, of %d allowed, at %s: %d %s", i, size, limit, hosts[i%limitsHosts].name, status, text)
		}
		time.Sleep(50 * time.Millisecond)
	}
	allowed := 5 + limitsRequests/500
	r.printf("answers by status: %v; %d of %d proper requests were denied, %d are allowed", statuses, denied, limitsRequests, allowed)
	return denied > allowed, nil
}

// sendFile sends a body and returns the status and the start of the answer, status 0 if there is none.
func sendFile(h *host, number, size int) (int, string) {
	q, err := http.NewRequest(http.MethodPost, "http://"+h.callers+"/file/2f", bytes.NewReader(bytes.Repeat([]byte{'x'}, size)))
	if err != nil {
		return 0, err.Error()
	}
	q.Host = "h.example"
	q.Header.Set("X-Request-Id", fmt.Sprintf("%016x", number+1))
	q.Header.Set("X-Deadline-Ms", "5000")
	q.Header.Set("Api-Key", "key-of-t")
	a, err := (&http.Client{Timeout: 6 * time.Second}).Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer a.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(a.Body, 200))
	return a.StatusCode, string(text)
}
