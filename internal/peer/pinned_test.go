package peer

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
)

// keyRegistry holds the key fingerprints that the hosts of a test have published.
type keyRegistry struct {
	mu   sync.Mutex
	keys map[core.HostID]string
}

func (r *keyRegistry) publish(h core.HostID, fingerprint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.keys == nil {
		r.keys = map[core.HostID]string{}
	}
	r.keys[h] = fingerprint
}

func (r *keyRegistry) trusts(h core.HostID, fingerprint string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keys[h] != "" && r.keys[h] == fingerprint
}

func startPinned(t *testing.T, name core.HostID, trusts func(core.HostID, string) bool) (h *testHost, fingerprint string) {
	t.Helper()
	is := is.New(t)
	material, fingerprint, err := NewPinnedMaterial(name, trusts)
	is.NoErr(err)
	h = &testHost{received: make(chan message, 16)}
	h.Links, err = New(Settings{Self: name, Listen: "127.0.0.1:0", Material: material, IdleTimeout: time.Second}, func(from core.HostID, payload []byte) {
		h.received <- message{from, string(payload)}
	})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = h.Serve(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return h, fingerprint
}

func TestPinnedKeysSufficeForALink(t *testing.T) {
	is := is.New(t)
	keys := &keyRegistry{}
	a, keyA := startPinned(t, "a", keys.trusts)
	b, keyB := startPinned(t, "b", keys.trusts)
	keys.publish("a", keyA)
	keys.publish("b", keyB)
	is.True(a.Send("b", b.Address(), []byte("hello")))
	is.Equal(<-b.received, message{"a", "hello"})
}

func TestUnpublishedKeyIsRejected(t *testing.T) {
	is := is.New(t)
	refused := make(chan struct{}, 64)
	b, keyB := startPinned(t, "b", func(core.HostID, string) bool {
		refused <- struct{}{}
		return false
	})
	keys := &keyRegistry{}
	keys.publish("b", keyB)
	a, _ := startPinned(t, "a", keys.trusts)
	is.True(a.Send("b", b.Address(), []byte("hello")))
	<-refused
	select {
	case m := <-b.received:
		t.Fatalf("a payload of an unknown host arrived: %v", m)
	default:
	}
}
