//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"gentiancroft/platform/platformtest"
)

// The scene "room": while an engine loads one adapter slowly, it leaves the load of a second one unanswered
// and carries it out seconds later, and a copy of an earlier answer comes late on a kept connection, where
// the answer to the load of a third one is expected.

const (
	roomHosts  = 2
	roomFilled = adapterSlots - 2 // adapters that are held before the slow one
	minLate    = 2 * time.Second  // from an order to its late execution
	maxLate    = 12 * time.Second
	slowLoad   = 5 * time.Second // of the slow adapter
	roomQuiet  = 3 * time.Second // until the adapters that were loaded before are settled
)

// faultyEngine is an engine whose orders are disturbed.
type faultyEngine struct {
	*engine
	r       *record
	trouble bool

	lateMu   sync.Mutex
	late     *order // without an answer
	lateAt   time.Time
	done     bool // a copy was sent
	overfull int  // adapters beyond the slots, at most
}

// held returns how many adapters the engine holds, those on their way included.
func (e *faultyEngine) held() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.adapters)
}

// newLoad reports whether an order would begin a load.
func (e *faultyEngine) newLoad(o order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.adapters[o.Adapter]
	return o.Op == "load" && o.Adapter != "" && !ok && o.Expected != nil && *o.Expected == e.sequence
}

func (e *faultyEngine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/-/order" || q.Header.Get("X-Expect-Instance") != e.id {
		e.engine.ServeHTTP(w, q)
		return
	}
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	copied := false
	if e.trouble && !e.done {
		silent, copies := e.disturb(o, connectionOf(q).accepted)
		if silent {
			e.r.printf("order from %s: %s %s, expected %d: no answer", o.Holder, o.Op, o.Adapter, *o.Expected)
			<-q.Context().Done()
			return
		}
		copied = copies
	}
	status := e.carryOut(o)
	if before := connectionOf(q); status == http.StatusAccepted {
		before.accepted = true
	}
	held := e.held()
	e.r.printf("order from %s: %s %s, expected %d: %d; %d adapters are held", o.Holder, o.Op, o.Adapter, *o.Expected, status, held)
	e.lateMu.Lock()
	e.overfull = max(e.overfull, held-adapterSlots)
	e.lateMu.Unlock()
	if !copied {
		w.WriteHeader(status)
		return
	}
	e.r.printf("before that answer, a copy of an earlier one (202) is sent")
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	fmt.Fprintf(c, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\nHTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
	time.Sleep(100 * time.Millisecond)
	_ = c.Close()
}

// disturb decides what happens to an order: it gets no answer, or a copy of an earlier one before its own.
// accepted is set where the connection has had an answer with status 202.
func (e *faultyEngine) disturb(o order, accepted bool) (silent, copied bool) {
	e.lateMu.Lock()
	defer e.lateMu.Unlock()
	switch {
	case e.late == nil && e.newLoad(o) && e.held() == roomFilled+1:
		e.late, e.lateAt = &o, time.Now()
		return true, false
	case e.late == nil:
		return false, false
	case o.Adapter == e.late.Adapter:
		return true, false
	case !e.newLoad(o) || time.Since(e.lateAt) < minLate || !accepted:
		return false, false
	case time.Since(e.lateAt) > maxLate:
		e.done = true
		return false, false
	}
	e.done = true
	status := e.carryOut(*e.late)
	e.r.printf("the load of %s, expected %d, is carried out %.1f s after it came: %d; %d adapters are held", e.late.Adapter, *e.late.Expected, time.Since(e.lateAt).Seconds(), status, e.held())
	return false, true
}

// connection is what is kept of a connection to the engine.
type connection struct{ accepted bool }

type connectionKey struct{}

// connectionOf returns what is kept of a call's connection.
func connectionOf(q *http.Request) *connection {
	return q.Context().Value(connectionKey{}).(*connection)
}

func runRoom(dir string, r *record, trouble bool) (bool, error) {
	s := &staleScene{record: r, orders: map[string][]order{}, served: map[int]int{}, loads: make(chan string, 1)}
	store := platformtest.NewStore()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	defer l.Close()
	go store.Serve(l)
	store.Put("config", "main", platformtest.RawJSON(staleConfiguration))
	e := &faultyEngine{engine: &engine{id: "i-llm-0", store: store, onOrder: s.recordOrder}, r: r, trouble: trouble}
	el, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	defer el.Close()
	e.loadsIn = func(adapter string) time.Duration {
		if adapter == fmt.Sprintf("a%d", roomFilled+1) {
			return slowLoad
		}
		return adapterLoad
	}
	e.born, e.adapters, e.public = time.Now().UnixMilli(), map[string]time.Time{}, el.Addr().String()
	server := &http.Server{Handler: e, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, &connection{})
	}}
	go func() { _ = server.Serve(el) }()
	e.register()
	for i := range roomHosts {
		h, _, err := newHost(dir, fmt.Sprintf("edge-%d", i), fmt.Sprintf("z%d", i), l.Addr().String())
		if err != nil {
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
	client := &http.Client{Timeout: 15 * time.Second}
	ask := func(number int) {
		adapter, h := fmt.Sprintf("a%d", number), s.hosts[number%roomHosts]
		status := s.askOnce(client, h, adapter)
		r.printf("a request for %s at %s: %d", adapter, h.name, status)
	}
	for i := range roomFilled {
		ask(i + 1)
	}
	time.Sleep(roomQuiet)
	var open sync.WaitGroup
	for i, at := range []time.Duration{0, 500 * time.Millisecond, 3 * time.Second} {
		open.Go(func() {
			time.Sleep(at)
			ask(roomFilled + 1 + i)
		})
	}
	open.Wait()
	time.Sleep(roomQuiet)
	r.printf("the engine was ordered to load at most %d adapters beyond its %d places", max(e.overfull, 0), adapterSlots)
	return e.overfull > 0, nil
}
