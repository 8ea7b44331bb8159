//go:build review

package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"gentiancroft/platform/platformtest"
)

// storeFront serves a store, notes when watches begin, and can cut them off.
type storeFront struct {
	store *platformtest.Store

	mu     sync.Mutex
	begun  map[string][]time.Time // watches, by kind
	cutMin time.Duration          // a waiting watch is cut off after cutMin to cutMax
	cutMax time.Duration          // 0: none is
	cuts   int
}

type connKey struct{}

func newStoreFront(s *platformtest.Store) *storeFront {
	return &storeFront{store: s, begun: map[string][]time.Time{}}
}

// serve answers calls on l until it is closed.
func (f *storeFront) serve(l net.Listener) {
	server := &http.Server{Handler: f, ReadHeaderTimeout: time.Minute}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	_ = server.Serve(l)
}

// ServeHTTP implements http.Handler.
func (f *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !r.URL.Query().Has("watch") {
		f.store.ServeHTTP(w, r)
		return
	}
	kind := strings.TrimPrefix(r.URL.Path, "/-/objects/")
	f.mu.Lock()
	f.begun[kind] = append(f.begun[kind], time.Now())
	low, high := f.cutMin, f.cutMax
	f.mu.Unlock()
	if high > 0 {
		conn := r.Context().Value(connKey{}).(net.Conn)
		cut := time.AfterFunc(low+rand.N(high-low), func() {
			f.mu.Lock()
			f.cuts++
			f.mu.Unlock()
			_ = conn.Close()
		})
		defer cut.Stop()
	}
	f.store.ServeHTTP(w, r)
}

// cutWatches makes the store cut waiting watches off after a time between two bounds.
func (f *storeFront) cutWatches(low, high time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutMin, f.cutMax = low, high
}

// cutSoFar is the number of watches that were cut off.
func (f *storeFront) cutSoFar() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cuts
}

// awaitWatches waits until a number of watches of a kind have begun anew.
func (f *storeFront) awaitWatches(kind string, count int, limit time.Duration) bool {
	f.mu.Lock()
	before := len(f.begun[kind])
	f.mu.Unlock()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		f.mu.Lock()
		now := len(f.begun[kind])
		f.mu.Unlock()
		if now >= before+count {
			return true
		}
	}
	return false
}
