//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"gentiancroft/platform/platformtest"
)

// The scene "quota": two regions lose each other for 40 s, while a tenant asks for four times its rate.
// Consumers, replicas and the store are reached from both regions.

const (
	hostsKind     = "gentiancroft-hosts"
	quotaHosts    = 4 // two in each region
	quotaReplicas = 4
	tokensEach    = 200    // plainTokens
	ratePerS      = 20_000 // tokens
	burst         = 20_000
	quotaWindow   = 8 * time.Second
	overshoot     = 0.1
	quotaSlack    = 17_000
	demandEach    = 100 // requests a second, at each host
	beforeCut     = 12 * time.Second
	cutLength     = 40 * time.Second
)

const quotaConfiguration = `{"version":1,"routes":[
 {"name":"read","host":"h.example","pathPrefix":"/read/","routeKind":"idempotent","timeoutMs":1500,"targetLatencyMs":150,"priority":2,"service":"app","maxAttempts":2,"anonymous":false,"sticky":false,"resumable":false}],
 "services":[{"name":"app","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t","apiKeys":["key-of-t"],"priority":1,"unit":"token","plainTokens":200,"ratePerS":20000,"burst":20000}]}`

type quotaScene struct {
	*record
	hosts []*host

	mu   sync.Mutex
	runs []time.Duration // when the requests began to run
	sent map[string]int  // answers by host and status
}

func runQuota(dir string, r *record, trouble bool) (bool, error) {
	s := &quotaScene{record: r, sent: map[string]int{}}
	store := platformtest.NewStore()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	defer l.Close()
	proxies := newLinkProxies()
	go func() { _ = http.Serve(l, proxies.handler(store, hostsKind)) }()
	store.Put("config", "main", platformtest.RawJSON(quotaConfiguration))
	for i := range quotaReplicas {
		x := &replica{service: "app", number: i, store: store, work: 15 * time.Millisecond, onRun: s.recordRun}
		if err := x.start(); err != nil {
			return false, err
		}
		defer x.end()
	}
	for i := range quotaHosts {
		region := fmt.Sprintf("r%d", i%2)
		h, _, err := newHost(dir, fmt.Sprintf("edge-%s-%d", region, i), "z-"+region, l.Addr().String())
		if err != nil {
			return false, err
		}
		if err := proxies.add(h.links, region); err != nil {
			return false, err
		}
		if err := h.start(); err != nil {
			return false, err
		}
		defer h.kill()
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		if !h.awaitReady(20 * time.Second) {
			return false, fmt.Errorf("%s isn't ready", h.name)
		}
	}
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, h := range s.hosts {
		go s.demand(ctx, h)
	}
	time.Sleep(beforeCut)
	s.report("before the cut")
	if trouble {
		s.printf("the regions lose each other")
		proxies.block(func(from, to string) bool { return from != to })
	}
	time.Sleep(cutLength)
	s.report("at the end of the cut")
	proxies.block(nil)
	time.Sleep(8 * time.Second)
	s.report("at the end")
	cancel()
	return s.judge(), nil
}

func (s *quotaScene) recordRun(string, *http.Request, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, s.elapsed())
}

// report records how many requests have run in the last window.
func (s *quotaScene) report(when string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, n := s.elapsed(), 0
	for _, at := range s.runs {
		if now-at < quotaWindow {
			n++
		}
	}
	s.printf("%s: %d requests (%d tokens) of the tenant ran in the last %v; answers so far: %v", when, n, n*tokensEach, quotaWindow, s.sent)
}

// demand sends the tenant's requests to a host at a steady rate.
func (s *quotaScene) demand(ctx context.Context, h *host) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	tick := time.NewTicker(time.Second / demandEach)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		go func() {
			q, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/read/%d", h.callers, n), bytes.NewReader(nil))
			if err != nil {
				return
			}
			q.Host = "h.example"
			q.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d", h.name, n))
			q.Header.Set("X-Deadline-Ms", "1500")
			q.Header.Set("Api-Key", "key-of-t")
			status := 0
			if a, err := client.Do(q); err == nil {
				_, _ = io.Copy(io.Discard, a.Body)
				_ = a.Body.Close()
				status = a.StatusCode
			}
			s.mu.Lock()
			s.sent[fmt.Sprintf("%s %d", h.name, status)]++
			s.mu.Unlock()
		}()
	}
}

// judge reports whether more tokens of the tenant ran in some window than its rate and burst allow, with
// the bounds of the rule.
func (s *quotaScene) judge() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	allowed := (ratePerS*quotaWindow.Seconds()+burst)*(1+overshoot) + quotaSlack
	most, end, first := 0, time.Duration(0), 0
	for i, at := range s.runs {
		for at-s.runs[first] >= quotaWindow {
			first++
		}
		if n := (i - first + 1) * tokensEach; n > most {
			most, end = n, at
		}
	}
	s.printf("at most %d tokens ran in %v, until %.3f s; %.0f are allowed", most, quotaWindow, end.Seconds(), allowed)
	return float64(most) > allowed
}
