//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"gentiancroft/platform/platformtest"
)

const (
	adapterSlots  = 8
	adapterLoad   = 250 * time.Millisecond
	streamEvents  = 10
	eventInterval = 20 * time.Millisecond
)

// order is a load or unload order as it reached an engine.
type order struct {
	at      time.Duration
	Op      string `json:"op"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Holder  string `json:"holder"`
	Fence   uint64 `json:"fencingToken"`
	// Expected is the number of orders that the engine must have accepted.
	Expected *uint64 `json:"expected"`
}

// engine is a model replica behind the platform's protocol. It doesn't check fence numbers.
type engine struct {
	id      string
	public  string // address in its entry
	store   *platformtest.Store
	onOrder func(e *engine, o order, status int)

	mu       sync.Mutex
	born     int64
	beats    uint64
	sequence uint64
	adapters map[string]time.Time // when each is loaded
	server   *http.Server
}

// listen starts the engine's server and returns its address.
func (e *engine) listen() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	e.born, e.adapters = time.Now().UnixMilli(), map[string]time.Time{}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	return l.Addr().String(), nil
}

// register writes the engine's entry now and at each interval.
func (e *engine) register() {
	e.beat()
	go func() {
		for range time.Tick(heartbeat) {
			e.beat()
		}
	}()
}

func (e *engine) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beats++
	e.store.Put("servers", e.id, map[string]any{
		"service": "llm", "address": e.public, "zone": "z1", "version": "v1", "slots": 64, "state": "ready", "coldRemainingMs": 0,
		"stage": "mixed", "sequence": e.beats, "born": e.born, "models": e.models(),
	})
}

// models is what the engine holds; the caller holds mu.
func (e *engine) models() []any {
	names := []string{}
	for a, at := range e.adapters {
		if !time.Now().Before(at) {
			names = append(names, a+"@1")
		}
	}
	slices.Sort(names)
	return []any{map[string]any{"name": "base", "version": 1, "adapters": names}}
}

func (e *engine) pending() []string {
	names := []string{}
	for a, at := range e.adapters {
		if time.Now().Before(at) {
			names = append(names, "base/"+a+"@1")
		}
	}
	return names
}

func (e *engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if id := q.Header.Get("X-Request-Id"); id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if expect := q.Header.Get("X-Expect-Instance"); expect != "" && expect != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/-/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "mixed", "models": e.models(), "busy": false, "sequence": e.sequence, "queued": 0, "running": 0, "kvUsed": 0,
			"kvTotal": 150000, "handles": 0, "born": e.born, "pending": e.pending(),
		})
	case "/-/order":
		var o order
		if json.NewDecoder(q.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status := e.carryOut(o)
		e.onOrder(e, o, status)
		w.WriteHeader(status)
	default:
		e.run(w, q)
	}
}

// carryOut carries an order out and returns the status of its answer.
func (e *engine) carryOut(o order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	loadedAt, held := e.adapters[o.Adapter]
	switch {
	case o.Adapter == "":
		return http.StatusOK // the base model is there
	case o.Op == "load" && held && time.Now().Before(loadedAt):
		return http.StatusAccepted
	case o.Op == "load" && held:
		return http.StatusOK
	case o.Op == "unload" && !held:
		return http.StatusOK
	case o.Expected != nil && *o.Expected != e.sequence:
		return http.StatusConflict
	}
	e.sequence++
	if o.Op == "unload" {
		delete(e.adapters, o.Adapter)
		return http.StatusOK
	}
	e.adapters[o.Adapter] = time.Now().Add(adapterLoad)
	return http.StatusAccepted
}

// run answers a request with a stream.
func (e *engine) run(w http.ResponseWriter, q *http.Request) {
	_, adapter, _ := strings.Cut(q.Header.Get("X-Model"), "/")
	e.mu.Lock()
	at, held := e.adapters[adapter]
	e.mu.Unlock()
	if !held || time.Now().Before(at) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Server-Stamp", e.id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for i := from + 1; i <= streamEvents; i++ {
		fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventInterval)
	}
}
