package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
	"gentiancroft/internal/socket/sockettest"
)

// carryTest is two hosts, of which b carries connections of a, and an upstream that b reaches.
type carryTest struct {
	a, b     *testHost
	upstream net.Listener
}

func newCarryTest(t *testing.T) *carryTest {
	t.Helper()
	return newCarryTestWith(t, func(ctx context.Context, t CarryTarget) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", t.Address)
	})
}

func newCarryTestWith(t *testing.T, carry Carry) *carryTest {
	t.Helper()
	is := is.New(t)
	authority, err := NewAuthority("test", testValidity)
	is.NoErr(err)
	x := &carryTest{a: startHost(t, authority, "a", "127.0.0.1:0"), b: startCarrier(t, authority, "b", "127.0.0.1:0", carry)}
	x.upstream, err = net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = x.upstream.Close() })
	return x
}

// dial opens a carried connection, and returns the upstream's side as well.
func (x *carryTest) dial(t *testing.T) (here, there net.Conn) {
	t.Helper()
	is := is.New(t)
	here, err := x.dialTo(x.upstream.Addr().String())
	is.NoErr(err)
	there, err = x.upstream.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _, _ = here.Close(), there.Close() })
	return here, there
}

func (x *carryTest) dialTo(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return x.a.DialCarried(ctx, core.Carrier{Host: "b", Link: x.b.Address()}, CarryTarget{Upstream: "u", Address: address})
}

func TestCarriedConnectionPassesBytesBothWaysUntilItsEnd(t *testing.T) {
	is := is.New(t)
	x := newCarryTest(t)
	here, there := x.dial(t)
	long := bytes.Repeat([]byte("0123456789"), 50_000) // more than the windows hold
	var group sync.WaitGroup
	group.Go(func() {
		_, err := here.Write(long)
		is.NoErr(err)
	})
	got := make([]byte, len(long))
	_, err := io.ReadFull(there, got)
	is.NoErr(err)
	group.Wait()
	is.True(bytes.Equal(got, long))
	group.Go(func() {
		_, _ = there.Write(long)
		_ = there.Close()
	})
	got, err = io.ReadAll(here)
	is.NoErr(err) // the upstream's end is the connection's
	is.True(bytes.Equal(got, long))
	group.Wait()
}

func TestEndOfACarriedConnectionReachesTheUpstream(t *testing.T) {
	is := is.New(t)
	x := newCarryTest(t)
	here, there := x.dial(t)
	is.NoErr(here.Close())
	_, err := there.Read(make([]byte, 1))
	is.True(err != nil)
}

// A caller may hang up while an upstream reads nothing of its request.
func TestEndReachesAnUpstreamThatReadsNothing(t *testing.T) {
	is := is.New(t)
	x := newCarryTest(t)
	here, _ := x.dial(t)
	is.NoErr(here.SetWriteDeadline(time.Now().Add(time.Second)))
	_, err := io.Copy(here, endless{})
	is.True(err != nil) // all buffers are full
	is.NoErr(here.Close())
	for x.b.Carried() > 0 {
		time.Sleep(time.Millisecond) // until the upstream's connection has been closed
	}
}

// A reset by the upstream and the loss of the carrying host are different things: only the former
// may be a crash.
func TestResetByTheUpstreamIsToldFromTheLossOfTheCarrier(t *testing.T) {
	is := is.New(t)
	x := newCarryTest(t)
	here, there := x.dial(t)
	is.NoErr(there.(*net.TCPConn).SetLinger(0))
	_ = there.Close()
	_, err := here.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))

	here, _ = x.dial(t)
	x.b.stop()
	_, err = here.Read(make([]byte, 1))
	is.True(err != nil && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, io.EOF))
}

func TestWhyAConnectionIsNotCarried(t *testing.T) {
	is := is.New(t)
	x := newCarryTest(t)
	_ = x.upstream.Close()
	_, err := x.dialTo(x.upstream.Addr().String())
	is.True(errors.Is(err, syscall.ECONNREFUSED) && !CarrierError.Has(err))
	x = newCarryTestWith(t, func(context.Context, CarryTarget) (net.Conn, error) { return nil, CarryError.New("unknown") })
	_, err = x.dialTo("127.0.0.1:1")
	is.True(CarryError.Has(err) && !CarrierError.Has(err) && !errors.Is(err, syscall.ECONNREFUSED))
	x = newCarryTestWith(t, nil)
	_, err = x.dialTo("127.0.0.1:1")
	is.True(CarrierError.Has(err))
}

// What a caller reads slowly must hold up neither messages nor other carried connections.
func TestSlowReaderHoldsUpNothingElse(t *testing.T) {
	is := is.New(t)
	x := newCarryTest(t)
	_, flooding := x.dial(t) // its other side is never read
	var group sync.WaitGroup
	group.Go(func() { _, _ = io.Copy(flooding, endless{}) })
	here, there := x.dial(t)
	for range 200 {
		is.True(x.b.Send("a", x.a.Address(), bytes.Repeat([]byte("m"), 10_000)))
		<-x.a.received
		_, err := there.Write(bytes.Repeat([]byte("e"), 1000))
		is.NoErr(err)
		_, err = io.ReadFull(here, make([]byte, 1000))
		is.NoErr(err)
	}
	_ = flooding.Close()
	group.Wait()
}

type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

func TestHostCarriesABoundedNumberOfConnections(t *testing.T) {
	is := is.New(t)
	x := newCarryTest(t)
	x.b.mu.Lock()
	x.b.carriedOpen = maxCarried
	x.b.mu.Unlock()
	_, err := x.dialTo(x.upstream.Addr().String())
	is.True(CarrierError.Has(err))
	is.Equal(x.b.Carried(), maxCarried)
}

// Guards against a part of an answer that passes for the whole one (issue 54): the upstream resets the
// connection while bytes are passed on to it, so that the carrying host's write gets the error.
func TestResetDuringAnUploadIsAReset(t *testing.T) {
	is := is.New(t)
	x := newCarryTest(t)
	for range 20 {
		here, there := x.dial(t)
		var upload sync.WaitGroup
		upload.Go(func() { _, _ = io.Copy(here, endless{}) })
		_, err := io.ReadFull(there, make([]byte, 1<<20))
		is.NoErr(err)
		_, err = there.Write([]byte("part"))
		is.NoErr(err)
		is.NoErr(there.(*net.TCPConn).SetLinger(0))
		_ = there.Close()
		_, err = io.ReadAll(here)
		is.True(errors.Is(err, syscall.ECONNRESET))
		_ = here.Close()
		upload.Wait()
	}
}

// Guards against a call that its upstream gets after the other host has given it up: the carrying host's
// kernel held it.
func TestCarriedBytesThatAreGivenUpNeverArrive(t *testing.T) {
	is := is.New(t)
	x := newCarryTest(t)
	upstream := sockettest.Listen(t)
	here, err := x.dialTo(upstream.Address())
	is.NoErr(err)
	const length = 96 << 10 // fits in the buffers on the way, but not in the upstream's
	_ = here.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
	_, _ = here.Write(make([]byte, length))
	is.NoErr(here.Close())
	for x.b.Carried() > 0 {
		time.Sleep(time.Millisecond)
	}
	got, reset := upstream.ReadAll()
	is.True(reset)
	is.True(len(got) < length)
}
