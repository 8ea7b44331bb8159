package held

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"

	"gentiancroft/internal/core/heldbytes"
)

var testLimits = heldbytes.Limits{
	Total: 100, Reserve: 20, Small: 5, Connection: 80, Peer: 80, Connections: 2, PeerConnections: 2,
	StallAge: time.Millisecond, IdleAge: time.Hour, MaxWait: time.Hour, MinRate: 1,
}

func address(last byte) net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, last), Port: 1} }

func TestAWaitEndsWhenBytesAreGivenBack(t *testing.T) {
	is := is.New(t)
	b := New("test", testLimits, metrics.NewRegistry())
	first, second := b.Open(address(1), func() {}), b.Open(address(2), func() {})
	is.NoErr(first.Acquire(80))
	first.SetPhase(heldbytes.Running)
	got := make(chan error)
	go func() { got <- second.Acquire(30) }()
	first.Close()
	is.NoErr(<-got)
	is.Equal(metrics.GetOrRegisterGauge("held.test.bytes", b.registry).Value(), int64(30))
}

func TestAStalledConnectionIsEvictedOnce(t *testing.T) {
	is := is.New(t)
	b := New("test", testLimits, metrics.NewRegistry())
	var evicted sync.WaitGroup
	evicted.Add(1)
	first, second := b.Open(address(1), evicted.Done), b.Open(address(2), func() {})
	first.SetPhase(heldbytes.Receiving)
	is.NoErr(first.Acquire(80))
	is.NoErr(second.Acquire(30))
	evicted.Wait()
	is.Equal(first.Evicted(), heldbytes.Stalled)
	is.True(Refused.Has(first.Acquire(1)))
	first.Close()
	is.Equal(metrics.GetOrRegisterCounter("held.test.closed.stalled", b.registry).Count(), int64(1))
}

// Guards against a log that a crowd fills: one line a second for each reason.
func TestOneLineASecondForEachReason(t *testing.T) {
	is := is.New(t)
	lines := memory.New()
	former := log.Log
	log.Log = &log.Logger{Handler: lines, Level: log.InfoLevel}
	defer func() { log.Log = former }()
	b := New("test", testLimits, metrics.NewRegistry())
	for n := range byte(2) {
		is.True(b.Open(address(n), func() {}) != nil)
	}
	began := time.Now()
	for range 50 {
		is.True(b.Open(address(9), func() {}) == nil)
	}
	most := 1 + int(time.Since(began)/logInterval)
	is.True(len(lines.Entries) >= 1 && len(lines.Entries) <= most)
	is.Equal(metrics.GetOrRegisterCounter("held.test.refused.connections", b.registry).Count(), int64(50))
}
