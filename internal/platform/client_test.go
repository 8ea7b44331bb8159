package platform_test

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
	"gentiancroft/internal/platform"
	standin "gentiancroft/internal/standin/platform"
)

func newTestClient(t *testing.T) (*platform.Client, *standin.Server) {
	server := standin.NewServer(standin.NewStore())
	h := httptest.NewServer(server.Handler())
	c := platform.New(platform.Options{Address: h.Listener.Addr().String(), Timeout: 2 * time.Second})
	t.Cleanup(func() {
		c.Close()
		h.Close()
	})
	return c, server
}

func TestCallsAndConditions(t *testing.T) {
	is := is.New(t)
	c, server := newTestClient(t)
	do := func(op core.ObjectOp, key, value string, version uint64) core.ObjectResult {
		return c.Do(context.Background(), core.ObjectCall{Tag: 5, Op: op, Key: key, Value: []byte(value), IfVersion: version})
	}
	is.Equal(do(core.ObjectGet, "a/ü&x", "", 0).Status, core.ObjectNotFound)
	made := do(core.ObjectCreate, "a/ü&x", "one", 0)
	is.Equal(made.Status, core.ObjectOK)
	is.Equal(made.Tag, uint64(5))
	again := do(core.ObjectCreate, "a/ü&x", "two", 0)
	is.Equal(again.Status, core.ObjectConflict)
	is.Equal(string(again.Object.Value), "one") // a conflict returns the stored object
	changed := do(core.ObjectUpdate, "a/ü&x", "three", made.Object.Version)
	is.Equal(changed.Status, core.ObjectOK)
	is.True(changed.Object.Version > made.Object.Version)
	is.Equal(do(core.ObjectUpdate, "a/ü&x", "four", made.Object.Version).Status, core.ObjectConflict)
	list := do(core.ObjectList, "a/", "", 0)
	is.Equal(len(list.Objects), 1)
	is.Equal(string(list.Objects[0].Value), "three")
	is.Equal(list.Version, changed.Object.Version)
	is.Equal(do(core.ObjectDelete, "a/ü&x", "", made.Object.Version).Status, core.ObjectConflict)
	is.Equal(do(core.ObjectDelete, "a/ü&x", "", changed.Object.Version).Status, core.ObjectOK)
	is.Equal(do(core.ObjectDelete, "a/ü&x", "", 0).Status, core.ObjectNotFound)
	is.Equal(server.Store.TotalCalls(), 9)
}

func TestWatchWaitsForANewerVersion(t *testing.T) {
	is := is.New(t)
	c, server := newTestClient(t)
	first := server.Store.Do(core.ObjectCall{Op: core.ObjectCreate, Key: "w/a", Value: []byte("1")})
	got := make(chan core.ObjectResult, 1)
	go func() {
		got <- c.Do(context.Background(), core.ObjectCall{Op: core.ObjectWatch, Key: "w/", IfVersion: first.Object.Version})
	}()
	for server.Store.CallCounts()[core.ObjectWatch] == 0 {
		time.Sleep(time.Millisecond)
	}
	second := server.Store.Do(core.ObjectCall{Op: core.ObjectUpdate, Key: "w/a", Value: []byte("2"), IfVersion: first.Object.Version})
	r := <-got
	is.Equal(r.Status, core.ObjectOK)
	is.Equal(r.Objects[0].Version, second.Object.Version)
	is.Equal(server.Store.CallCounts()[core.ObjectWatch], 1) // a watch that waits is a single call
}

func TestCloseEndsAWaitingWatch(t *testing.T) {
	is := is.New(t)
	c, server := newTestClient(t)
	got := make(chan core.ObjectResult, 1)
	go func() {
		got <- c.Do(context.Background(), core.ObjectCall{Op: core.ObjectWatch, Key: "w/"})
	}()
	for server.Store.CallCounts()[core.ObjectWatch] == 0 {
		time.Sleep(time.Millisecond)
	}
	c.Close()
	is.Equal((<-got).Status, core.ObjectUnknown)
	is.Equal(c.Do(context.Background(), core.ObjectCall{Op: core.ObjectGet, Key: "w/"}).Status, core.ObjectUnavailable)
}

func TestStatusesOfFailures(t *testing.T) {
	is := is.New(t)
	c, server := newTestClient(t)
	ctx := context.Background()
	create := core.ObjectCall{Op: core.ObjectCreate, Key: "k", Value: []byte("v")}

	server.Store.SetDown(true)
	is.Equal(c.Do(ctx, create).Status, core.ObjectUnavailable)
	server.Store.SetDown(false)

	server.Store.DropAnswers(1)
	is.Equal(c.Do(ctx, create).Status, core.ObjectUnknown) // sent, but not answered
	is.Equal(c.Do(ctx, create).Status, core.ObjectConflict)
	is.Equal(server.Store.TotalCalls(), 3) // the client sent each call once

	create.Value = make([]byte, platform.MaxValueBytes+1)
	is.Equal(c.Do(ctx, create).Status, core.ObjectUnavailable)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	unreachable := platform.New(platform.Options{Address: address})
	is.Equal(unreachable.Do(ctx, core.ObjectCall{Op: core.ObjectGet, Key: "k"}).Status, core.ObjectUnavailable)

	ended, cancel := context.WithCancel(ctx)
	cancel()
	is.Equal(c.Do(ended, core.ObjectCall{Op: core.ObjectDelete, Key: "k"}).Status, core.ObjectUnavailable)
	is.Equal(c.Do(ctx, core.ObjectCall{Op: core.ObjectGet, Key: "k"}).Status, core.ObjectOK)
}

func TestResultOfATimedOutWriteIsUnknown(t *testing.T) {
	is := is.New(t)
	server := standin.NewServer(standin.NewStore())
	h := httptest.NewServer(server.Handler())
	defer h.Close()
	c := platform.New(platform.Options{Address: h.Listener.Addr().String(), Timeout: 30 * time.Millisecond})
	defer c.Close()
	server.Store.SetDelay(200 * time.Millisecond)
	r := c.Do(context.Background(), core.ObjectCall{Op: core.ObjectCreate, Key: "k", Value: []byte("v")})
	is.Equal(r.Status, core.ObjectUnknown)
}

func TestStaleReadsAndHostList(t *testing.T) {
	is := is.New(t)
	c, server := newTestClient(t)
	ctx := context.Background()
	made := server.Store.Do(core.ObjectCall{Op: core.ObjectCreate, Key: "k", Value: []byte("old")})
	server.Store.SetStaleReads(true)
	server.Store.Do(core.ObjectCall{Op: core.ObjectUpdate, Key: "k", Value: []byte("new"), IfVersion: made.Object.Version})
	is.Equal(string(c.Do(ctx, core.ObjectCall{Op: core.ObjectGet, Key: "k"}).Object.Value), "old")
	server.Store.SetStaleReads(false)
	is.Equal(string(c.Do(ctx, core.ObjectCall{Op: core.ObjectGet, Key: "k"}).Object.Value), "new")

	server.SetHost("u1", false)
	server.SetHost("u2", true)
	server.SetHostListLag(time.Hour)
	server.RemoveHost("u1")
	hosts, err := c.ListHosts(ctx)
	is.NoErr(err)
	is.Equal(hosts, []platform.ListEntry{{Name: "u1"}, {Name: "u2", Leaving: true}}) // the list lags
}
