//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"gentiancroft/platform/platformtest"
)

// The scene "stale": the host that gives orders to an engine is cut off from the store, the other hosts
// and the engines for 12 s. Another one takes over meanwhile.

const (
	staleHosts   = 3
	staleEngines = 3
	staleCut     = 12 * time.Second
	thaw         = 300 * time.Millisecond // thawMs
	leaseTime    = 3 * time.Second        // leaseMs
	staleNames   = 150                    // adapters that are asked for
	asksEach     = 10                     // consumers of each host
)

const staleConfiguration = `{"version":1,"routes":[
 {"name":"live","host":"h.example","pathPrefix":"/live/","routeKind":"streaming","timeoutMs":15000,"targetLatencyMs":500,"priority":0,"service":"llm","maxAttempts":2,"anonymous":false,"sticky":true,"resumable":true,"gapTargetMs":250}],
 "services":[{"name":"llm","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":150000,"models":[{"name":"base","weightsMb":72700.0,"loadS":2.9,"adapters":3000,"adapterMb":66.0}],"weightsMb":76000.0,"adapterSlots":8,"loadsPerS":3.6}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t","apiKeys":["key-of-t"],"priority":1,"unit":"token","plainTokens":200,"ratePerS":118870,"burst":118870}]}`

type staleScene struct {
	*record

	mu     sync.Mutex
	hosts  []*host
	orders map[string][]order // by engine
	served map[int]int        // answers by status
	healed time.Duration      // when the link healed; 0: not yet
	loads  chan string        // engines that have begun to load an adapter
}

func runStale(dir string, r *record, trouble bool) (bool, error) {
	s := &staleScene{record: r, orders: map[string][]order{}, served: map[int]int{}, loads: make(chan string, 1)}
	store := platformtest.NewStore()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	defer l.Close()
	proxies := newLinkProxies()
	go func() { _ = http.Serve(l, proxies.handler(store, hostsKind)) }()
	store.Put("config", "main", platformtest.RawJSON(staleConfiguration))
	var links []*tcpLink
	storeLinks := map[string]*tcpLink{}
	for i := range staleEngines {
		e := &engine{id: fmt.Sprintf("i-llm-%d", i), store: store, onOrder: s.recordOrder}
		address, err := e.listen()
		if err != nil {
			return false, err
		}
		link, err := newTCPLink(address, ownerAmong(s.allHosts))
		if err != nil {
			return false, err
		}
		e.public = link.address
		links = append(links, link)
		e.register()
		defer e.server.Close()
	}
	for i := range staleHosts {
		storeLink, err := newTCPLink(l.Addr().String(), nil)
		if err != nil {
			return false, err
		}
		h, _, err := newHost(dir, fmt.Sprintf("edge-%d", i), fmt.Sprintf("z%d", i), storeLink.address)
		if err != nil {
			return false, err
		}
		storeLinks[h.name] = storeLink
		if err := proxies.add(h.links, h.name); err != nil {
			return false, err
		}
		if err := h.start(); err != nil {
			return false, err
		}
		defer h.kill()
		s.mu.Lock()
		s.hosts = append(s.hosts, h)
		s.mu.Unlock()
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
		for range asksEach {
			go s.ask(ctx, h)
		}
	}
	time.Sleep(8 * time.Second)
	const target = "i-llm-0"
	if !s.awaitLoad(target) {
		return false, fmt.Errorf("%s is ordered to load nothing", target)
	}
	giver := s.giver(target)
	if giver == nil {
		return false, fmt.Errorf("no host gives orders to %s", target)
	}
	if trouble {
		s.printf("%s, which gives orders to %s, is cut off from the store, the other hosts and the engines", giver.name, target)
		for _, link := range links {
			link.setCut(giver.name)
		}
		proxies.block(func(from, to string) bool { return from != to && (from == giver.name || to == giver.name) })
		storeLinks[giver.name].setCut("")
		time.Sleep(staleCut)
		s.mu.Lock()
		s.healed = s.elapsed()
		s.mu.Unlock()
		for _, link := range links {
			link.heal()
		}
		proxies.block(nil)
		storeLinks[giver.name].heal()
		s.printf("the links of %s have healed", giver.name)
	}
	time.Sleep(10 * time.Second)
	cancel()
	s.printf("answers by status: %v", s.served)
	return s.judge(), nil
}

// allHosts returns the hosts that were started.
func (s *staleScene) allHosts() []*host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.hosts)
}

func (s *staleScene) recordOrder(e *engine, o order, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o.at = s.elapsed()
	s.orders[e.id] = append(s.orders[e.id], o)
	if o.Op == "load" && status == http.StatusAccepted {
		select {
		case s.loads <- e.id:
		default:
		}
	}
	s.printf("order to %s from %s, fence %d: %s %s, expected %d: %d", e.id, o.Holder, o.Fence, o.Op, o.Adapter, *o.Expected, status)
}

// awaitLoad waits until an engine has begun to load an adapter.
func (s *staleScene) awaitLoad(id string) bool {
	for end := time.After(10 * time.Second); ; {
		select {
		case loading := <-s.loads:
			if loading == id {
				return true
			}
		case <-end:
			return false
		}
	}
}

// giver returns the host that gave the last order to an engine.
func (s *staleScene) giver(id string) *host {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.orders[id]
	if len(all) == 0 {
		return nil
	}
	for _, h := range s.hosts {
		if h.name == all[len(all)-1].Holder {
			return h
		}
	}
	return nil
}

// ask sends requests for adapters to a host, one after the other.
func (s *staleScene) ask(ctx context.Context, h *host) {
	client := &http.Client{Timeout: 15 * time.Second}
	for ctx.Err() == nil {
		status := s.askOnce(client, h, fmt.Sprintf("a%d", rand.IntN(staleNames)+1))
		s.mu.Lock()
		s.served[status]++
		s.mu.Unlock()
		if status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// askOnce sends a request for an adapter and returns the status of the answer, 0 if there is none.
func (s *staleScene) askOnce(client *http.Client, h *host, adapter string) int {
	q, err := http.NewRequest(http.MethodPost, "http://"+h.callers+"/live/2f", bytes.NewReader([]byte("draft")))
	if err != nil {
		return 0
	}
	q.Host = "h.example"
	q.Header.Set("X-Request-Id", fmt.Sprintf("%016x", rand.Uint64()))
	q.Header.Set("X-Deadline-Ms", "15000")
	q.Header.Set("Api-Key", "key-of-t")
	q.Header.Set("X-Model", "base/"+adapter)
	q.Header.Set("X-Token-Usage", "300,50")
	a, err := client.Do(q)
	if err != nil {
		return 0
	}
	defer a.Body.Close()
	_, _ = io.Copy(io.Discard, a.Body)
	return a.StatusCode
}

// judge reports whether an engine has got an order with a lower fence number after one with a higher
// number, or orders of two holders within leaseMs. Orders within thawMs after the link healed don't
// count.
func (s *staleScene) judge() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	broken := false
	for id, all := range s.orders {
		var last, highest order
		for _, o := range all {
			if s.healed != 0 && o.at >= s.healed && o.at < s.healed+thaw {
				continue
			}
			if o.Fence < highest.Fence {
				broken = true
				s.printf("%s got an order of %s with fence %d at %.3f s, after one of %s with fence %d at %.3f s", id, o.Holder, o.Fence, o.at.Seconds(), highest.Holder, highest.Fence, highest.at.Seconds())
			}
			if last.Holder != "" && o.Holder != last.Holder && o.at-last.at < leaseTime {
				broken = true
				s.printf("%s got an order of %s, fence %d, at %.3f s and one of %s, fence %d, at %.3f s", id, last.Holder, last.Fence, last.at.Seconds(), o.Holder, o.Fence, o.at.Seconds())
			}
			last = o
			if o.Fence > highest.Fence {
				highest = o
			}
		}
	}
	return broken
}
