package peer

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"

	"gentiancroft/internal/core"
)

const testValidity = time.Hour

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type message struct {
	from    core.HostID
	payload string
}

type testHost struct {
	*Links
	received chan message
	registry metrics.Registry
	stop     func()
}

func startHost(t *testing.T, a *Authority, name string, listen string) *testHost {
	t.Helper()
	return startCarrier(t, a, name, listen, nil)
}

// startCarrier is startHost for a host that carries connections.
func startCarrier(t *testing.T, a *Authority, name string, listen string, carry Carry) *testHost {
	t.Helper()
	is := is.New(t)
	material, err := a.Material(name, testValidity)
	is.NoErr(err)
	h := &testHost{received: make(chan message, 4096), registry: metrics.NewRegistry()}
	h.Links, err = New(Settings{
		Self: core.HostID(name), Listen: listen, Material: material, Registry: h.registry, Carry: carry,
	}, func(from core.HostID, payload []byte) { h.received <- message{from, string(payload)} })
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = h.Serve(ctx); close(done) }()
	h.stop = func() { cancel(); <-done }
	t.Cleanup(h.stop)
	return h
}

func (h *testHost) count(name string) int64 {
	return metrics.GetOrRegisterCounter("link."+name, h.registry).Count()
}

func TestPayloadsArriveBothWaysWithTheirSender(t *testing.T) {
	is := is.New(t)
	authority, err := NewAuthority("test", testValidity)
	is.NoErr(err)
	a, b := startHost(t, authority, "a", "127.0.0.1:0"), startHost(t, authority, "b", "127.0.0.1:0")
	long := string(bytes.Repeat([]byte("x"), bulkFrameBytes+1))
	is.True(a.Send("b", b.Address(), []byte("one")))
	is.Equal(<-b.received, message{"a", "one"})
	is.True(b.Send("a", a.Address(), []byte(long)))
	is.Equal(<-a.received, message{"b", long})
	is.True(a.Send("b", b.Address(), nil)) // an empty payload is delivered too
	is.Equal(<-b.received, message{"a", ""})
	is.True(!a.Send("b", b.Address(), make([]byte, MaxFrameBytes+1)))
	is.Equal(a.count("dials_connected"), int64(1)) // one connection serves all payloads
	is.Equal(b.count("dials_connected"), int64(0)) // and both directions
}

// A connection on which the peer answers is not a second one that the peer has dialled.
func TestOwnConnectionIsNotTakenForThePeers(t *testing.T) {
	is := is.New(t)
	authority, err := NewAuthority("test", testValidity)
	is.NoErr(err)
	a, b := startHost(t, authority, "a", "127.0.0.1:0"), startHost(t, authority, "b", "127.0.0.1:0")
	for _, text := range []string{"one", "two", "three"} {
		is.True(b.Send("a", a.Address(), []byte(text)))
		is.Equal(<-a.received, message{"b", text})
		is.True(a.Send("b", b.Address(), []byte(text)))
		is.Equal(<-b.received, message{"a", text})
	}
	is.Equal(b.count("dials_merged"), int64(0))
	is.Equal(b.count("dials_connected"), int64(1))
}

func TestPeerWithoutACertificateOfTheAuthorityIsRejected(t *testing.T) {
	is := is.New(t)
	ours, err := NewAuthority("ours", testValidity)
	is.NoErr(err)
	theirs, err := NewAuthority("theirs", testValidity)
	is.NoErr(err)
	host := startHost(t, ours, "a", "127.0.0.1:0")
	untrusted := startHost(t, theirs, "untrusted", "127.0.0.1:0")
	trusted := startHost(t, ours, "trusted", "127.0.0.1:0")
	is.True(untrusted.Send("a", host.Address(), []byte("from an untrusted host")))
	is.True(host.Send("untrusted", untrusted.Address(), []byte("to an untrusted host")))
	for untrusted.count("dials_failed") == 0 || host.count("dials_failed") == 0 {
		time.Sleep(time.Millisecond)
	}
	is.True(trusted.Send("a", host.Address(), []byte("hello")))
	is.Equal(<-host.received, message{"trusted", "hello"})
	is.Equal(len(host.received), 0)
	is.Equal(len(untrusted.received), 0)
	is.Equal(host.count("inbound_refused"), int64(0)) // the handshake fails before any stream is opened
}

func TestAdmitBindsAHostToItsCertificate(t *testing.T) {
	is := is.New(t)
	authority, err := NewAuthority("test", testValidity)
	is.NoErr(err)
	host := startHost(t, authority, "a", "127.0.0.1:0")
	impostor := startHost(t, authority, "impostor", "127.0.0.1:0")
	impostor.settings.Self = "b"
	is.True(impostor.Send("a", host.Address(), []byte("I am b")))
	for host.count("inbound_refused") == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(len(host.received), 0)
	is.True(MatchesCommonName("a", "a/1f") && MatchesCommonName("a", "a") && !MatchesCommonName("a", "ab/1f") && !MatchesCommonName("a", "b"))
}

func TestLinkIsDialledAgainAfterThePeerRestarts(t *testing.T) {
	is := is.New(t)
	authority, err := NewAuthority("test", testValidity)
	is.NoErr(err)
	a, b := startHost(t, authority, "a", "127.0.0.1:0"), startHost(t, authority, "b", "127.0.0.1:0")
	is.True(a.Send("b", b.Address(), []byte("one")))
	is.Equal(<-b.received, message{"a", "one"})
	b.stop()
	again := startHost(t, authority, "b", b.Address())
	for i := 0; ; i++ { // payloads may be lost, so the sender retries
		is.True(a.Send("b", b.Address(), fmt.Append(nil, i)))
		select {
		case m := <-again.received:
			is.Equal(m.from, core.HostID("a"))
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func TestIdleLinkIsClosedAndReopened(t *testing.T) {
	is := is.New(t)
	authority, err := NewAuthority("test", testValidity)
	is.NoErr(err)
	a, b := startHost(t, authority, "a", "127.0.0.1:0"), startHost(t, authority, "b", "127.0.0.1:0")
	a.idleTimeout = time.Millisecond
	for _, payload := range []string{"one", "two"} {
		is.True(a.Send("b", b.Address(), []byte(payload)))
		is.Equal(<-b.received, message{"a", payload})
		for a.count("outbound_open") > 0 {
			time.Sleep(time.Millisecond)
		}
	}
	left := a.registry.Get("link.certificate_seconds_left").(metrics.Gauge).Value()
	is.True(left > 0 && left <= int64(testValidity.Seconds()))
}

func TestSimultaneousDialsMergeIntoOneConnection(t *testing.T) {
	is := is.New(t)
	authority, err := NewAuthority("test", testValidity)
	is.NoErr(err)
	a, b := startHost(t, authority, "a", "127.0.0.1:0"), startHost(t, authority, "b", "127.0.0.1:0")
	is.True(a.Send("b", b.Address(), []byte("one")))
	is.Equal(<-b.received, message{"a", "one"})
	first := b.verifiedConn("a")
	b.removeVerified(first) // as if b had dialled before a's hello arrived
	is.True(b.Send("a", a.Address(), []byte("two")))
	is.Equal(<-a.received, message{"b", "two"})
	is.Equal(b.count("dials_connected"), int64(1))
	b.addVerified("a", first)
	is.True(b.Send("a", a.Address(), []byte("three")))
	is.True(a.Send("b", b.Address(), []byte("four")))
	is.Equal(<-a.received, message{"b", "three"})
	is.Equal(<-b.received, message{"a", "four"})
	is.Equal(b.count("dials_merged"), int64(1)) // b switched to the connection that the lower identity dialled
	is.Equal(a.count("dials_merged"), int64(0)) // and a kept it
}

func TestFullRingDropsTheOldest(t *testing.T) {
	is := is.New(t)
	r := newRing(2, 10)
	is.Equal(r.push(queued{payload: []byte("a")}), 0)
	is.Equal(r.push(queued{payload: []byte("b")}), 0)
	is.Equal(r.push(queued{payload: []byte("c")}), 1)
	is.Equal(r.push(queued{payload: make([]byte, 10)}), 2) // the limit on bytes applies as well
	is.Equal(r.push(queued{payload: make([]byte, 11)}), 1) // a payload over the limit is kept if it is the only one
	q, ok := r.pop()
	is.True(ok)
	is.Equal(len(q.payload), 11)
	is.True(r.empty())
	old := time.Unix(1, 0)
	r.push(queued{queuedAt: old})
	r.push(queued{queuedAt: old.Add(time.Hour)})
	is.Equal(r.dropBefore(old.Add(time.Minute)), 1)
}

func TestRingGrowsInOrderAndShrinksWhenEmpty(t *testing.T) {
	is := is.New(t)
	r := newRing(100, 1<<20)
	next := byte(0)
	for i := range byte(100) {
		is.Equal(r.push(queued{payload: []byte{i}}), 0)
		if i%3 == 0 {
			q, _ := r.pop()
			is.Equal(q.payload[0], next)
			next++
		}
	}
	for q, ok := r.pop(); ok; q, ok = r.pop() {
		is.Equal(q.payload[0], next)
		next++
	}
	is.Equal(next, byte(100))
	is.True(len(r.items) <= initialRingSize)
}

func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0, 0, 0, 2, 'o', 'k', 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0x10, 0, 0, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		is := is.New(t)
		r := bytes.NewReader(b)
		used := 0
		for {
			payload, err := readFrame(r, MaxFrameBytes)
			if err != nil {
				return
			}
			var back bytes.Buffer
			is.NoErr(writeFrame(&back, payload))
			is.Equal(back.Bytes(), b[used:used+back.Len()]) // writing the payload again gives the bytes that were read
			used += back.Len()
		}
	})
}
