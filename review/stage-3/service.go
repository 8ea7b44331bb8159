//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"gentiancroft/platform/platformtest"
)

const (
	heartbeat    = 1200 * time.Millisecond
	serviceSlots = 6
)

// replica is one replica of a plain service, behind the platform's protocol. It has a fixed address;
// each start has a new id.
type replica struct {
	service string
	number  int
	store   *platformtest.Store
	address string
	work    time.Duration
	crashes func(body string) bool // whether a request crashes the replica that begins to run it
	onRun   func(id string, q *http.Request, body string)
	down    time.Duration // from a crash to the next start

	mu       sync.Mutex
	boot     int
	id       string
	born     int64
	sequence uint64
	server   *http.Server
	ended    chan struct{} // of this boot
}

// start begins a boot.
func (r *replica) start() error {
	if r.address == "" {
		a, err := freeAddress()
		if err != nil {
			return err
		}
		r.address = a
	}
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.boot++
	r.id = fmt.Sprintf("i-%s-%d-%d", r.service, r.number, r.boot)
	r.born, r.sequence = time.Now().UnixMilli(), 0
	r.ended = make(chan struct{})
	id, ended := r.id, r.ended
	r.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(id, w, q) })}
	server := r.server
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	r.beat()
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(heartbeat):
				r.beat()
			}
		}
	}()
	return nil
}

// beat writes the replica's entry.
func (r *replica) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	r.store.Put("servers", r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": "z1", "version": "v1", "slots": serviceSlots, "state": "ready",
		"coldRemainingMs": 0, "sequence": r.sequence, "born": r.born, "models": []any{},
	})
}

// end ends the boot: its connections are reset, and its entry lapses after three intervals of silence.
func (r *replica) end() {
	r.mu.Lock()
	id, server := r.id, r.server
	select {
	case <-r.ended:
		r.mu.Unlock()
		return
	default:
	}
	close(r.ended)
	r.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(3*heartbeat, func() { r.store.Remove("servers", id) })
}

// serve answers a call to one boot.
func (r *replica) serve(id string, w http.ResponseWriter, q *http.Request) {
	isRequest := !strings.HasPrefix(q.URL.Path, "/-/") && q.URL.Path != "/healthz"
	if isRequest {
		w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
	}
	if expect := q.Header.Get("X-Expect-Instance"); expect != "" && expect != id {
		w.Header().Set("X-Instance-Id", id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case q.URL.Path == "/healthz":
		w.Header().Set("X-Instance-Id", id)
	case q.URL.Path == "/-/report":
		r.mu.Lock()
		born := r.born
		r.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"mixed","models":[],"busy":false,"sequence":0,"queued":0,"running":0,"kvUsed":0,"kvTotal":0,"handles":0,"born":%d}`, born)
	case !isRequest:
		w.WriteHeader(http.StatusBadRequest)
	default:
		r.run(id, w, q)
	}
}

// run runs a request.
func (r *replica) run(id string, w http.ResponseWriter, q *http.Request) {
	b, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	r.onRun(id, q, string(b))
	if r.crashes != nil && r.crashes(string(b)) {
		r.end()
		time.AfterFunc(r.down, func() { _ = r.start() })
		panic(http.ErrAbortHandler)
	}
	time.Sleep(r.work)
	w.Header().Set("X-Server-Stamp", id)
	fmt.Fprintf(w, "done by %s", id)
}
