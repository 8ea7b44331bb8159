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

const testTerm = time.Hour

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type message struct {
	from    core.HostID
	payload string
}

type testHost struct {
	*Links
	got      chan message
	registry metrics.Registry
	stop     func()
}

func startHost(t *testing.T, a *Authority, name string, listen string) *testHost {
	t.Helper()
	is := is.New(t)
	material, err := a.Material(name, testTerm)
	is.NoErr(err)
	h := &testHost{got: make(chan message, 4096), registry: metrics.NewRegistry()}
	h.Links, err = New(Settings{
		Self: core.HostID(name), Listen: listen, Material: material, Registry: h.registry,
	}, func(from core.HostID, payload []byte) { h.got <- message{from, string(payload)} })
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
	authority, err := NewAuthority("test", testTerm)
	is.NoErr(err)
	a, b := startHost(t, authority, "a", "127.0.0.1:0"), startHost(t, authority, "b", "127.0.0.1:0")
	long := string(bytes.Repeat([]byte("x"), bulkFrame+1))
	is.True(a.Send("b", b.Address(), []byte("one")))
	is.Equal(<-b.got, message{"a", "one"})
	is.True(b.Send("a", a.Address(), []byte(long)))
	is.Equal(<-a.got, message{"b", long})
	is.True(a.Send("b", b.Address(), nil)) // an empty payload is a payload
	is.Equal(<-b.got, message{"a", ""})
	is.True(!a.Send("b", b.Address(), make([]byte, MaxFrame+1)))
	is.Equal(a.count("dials_connected"), int64(1)) // one connection serves all payloads
	is.Equal(b.count("dials_connected"), int64(0)) // and both directions
}

func TestPeerWithoutTheRightCertificateGetsNothing(t *testing.T) {
	is := is.New(t)
	ours, err := NewAuthority("ours", testTerm)
	is.NoErr(err)
	theirs, err := NewAuthority("theirs", testTerm)
	is.NoErr(err)
	host := startHost(t, ours, "a", "127.0.0.1:0")
	stranger := startHost(t, theirs, "stranger", "127.0.0.1:0")
	friend := startHost(t, ours, "friend", "127.0.0.1:0")
	is.True(stranger.Send("a", host.Address(), []byte("let me in")))
	is.True(host.Send("stranger", stranger.Address(), []byte("for a friend")))
	for stranger.count("dials_failed") == 0 || host.count("dials_failed") == 0 {
		time.Sleep(time.Millisecond)
	}
	is.True(friend.Send("a", host.Address(), []byte("hello")))
	is.Equal(<-host.got, message{"friend", "hello"})
	is.Equal(len(host.got), 0)
	is.Equal(len(stranger.got), 0)
	is.Equal(host.count("inbound_refused"), int64(0)) // the handshake failed before any stream
}

func TestAdmitBindsAHostToItsCertificate(t *testing.T) {
	is := is.New(t)
	authority, err := NewAuthority("test", testTerm)
	is.NoErr(err)
	host := startHost(t, authority, "a", "127.0.0.1:0")
	liar := startHost(t, authority, "liar", "127.0.0.1:0")
	liar.settings.Self = "b"
	is.True(liar.Send("a", host.Address(), []byte("I am b")))
	for host.count("inbound_refused") == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(len(host.got), 0)
	is.True(NamedHost("a", "a/1f") && NamedHost("a", "a") && !NamedHost("a", "ab/1f") && !NamedHost("a", "b"))
}

func TestLinkIsDialledAgainAfterThePeerRestarts(t *testing.T) {
	is := is.New(t)
	authority, err := NewAuthority("test", testTerm)
	is.NoErr(err)
	a, b := startHost(t, authority, "a", "127.0.0.1:0"), startHost(t, authority, "b", "127.0.0.1:0")
	is.True(a.Send("b", b.Address(), []byte("one")))
	is.Equal(<-b.got, message{"a", "one"})
	b.stop()
	again := startHost(t, authority, "b", b.Address())
	for i := 0; ; i++ { // loss is tolerated: the sender repeats itself
		is.True(a.Send("b", b.Address(), fmt.Append(nil, i)))
		select {
		case m := <-again.got:
			is.Equal(m.from, core.HostID("a"))
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func TestIdleLinkEndsAndComesBack(t *testing.T) {
	is := is.New(t)
	authority, err := NewAuthority("test", testTerm)
	is.NoErr(err)
	a, b := startHost(t, authority, "a", "127.0.0.1:0"), startHost(t, authority, "b", "127.0.0.1:0")
	a.idle = time.Millisecond
	for _, payload := range []string{"one", "two"} {
		is.True(a.Send("b", b.Address(), []byte(payload)))
		is.Equal(<-b.got, message{"a", payload})
		for a.count("outbound_open") > 0 {
			time.Sleep(time.Millisecond)
		}
	}
	left := a.registry.Get("link.certificate_seconds_left").(metrics.Gauge).Value()
	is.True(left > 0 && left <= int64(testTerm.Seconds()))
}

func TestPairThatDialledAtOnceSettlesOnOneConnection(t *testing.T) {
	is := is.New(t)
	authority, err := NewAuthority("test", testTerm)
	is.NoErr(err)
	a, b := startHost(t, authority, "a", "127.0.0.1:0"), startHost(t, authority, "b", "127.0.0.1:0")
	is.True(a.Send("b", b.Address(), []byte("one")))
	is.Equal(<-b.got, message{"a", "one"})
	first := b.way("a")
	b.forget(first) // as if b had dialled before it heard of a's connection
	is.True(b.Send("a", a.Address(), []byte("two")))
	is.Equal(<-a.got, message{"b", "two"})
	is.Equal(b.count("dials_connected"), int64(1))
	b.learn("a", first)
	is.True(b.Send("a", a.Address(), []byte("three")))
	is.True(a.Send("b", b.Address(), []byte("four")))
	is.Equal(<-a.got, message{"b", "three"})
	is.Equal(<-b.got, message{"a", "four"})
	is.Equal(b.count("dials_merged"), int64(1)) // b took the connection of the lower identity
	is.Equal(a.count("dials_merged"), int64(0)) // and a kept it
}

func TestFullRingDropsTheOldest(t *testing.T) {
	is := is.New(t)
	r := newRing(2, 10)
	is.Equal(r.push(queued{payload: []byte("a")}), 0)
	is.Equal(r.push(queued{payload: []byte("b")}), 0)
	is.Equal(r.push(queued{payload: []byte("c")}), 1)
	is.Equal(r.push(queued{payload: make([]byte, 10)}), 2) // the bound on bytes holds as well
	is.Equal(r.push(queued{payload: make([]byte, 11)}), 1) // one over the bound is kept alone
	q, ok := r.pop()
	is.True(ok)
	is.Equal(len(q.payload), 11)
	is.True(r.empty())
	old := time.Unix(1, 0)
	r.push(queued{at: old})
	r.push(queued{at: old.Add(time.Hour)})
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
	is.True(len(r.items) <= ringStart)
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
			payload, err := readFrame(r, MaxFrame)
			if err != nil {
				return
			}
			var back bytes.Buffer
			is.NoErr(writeFrame(&back, payload))
			is.Equal(back.Bytes(), b[used:used+back.Len()]) // what is read is what was written
			used += back.Len()
		}
	})
}
