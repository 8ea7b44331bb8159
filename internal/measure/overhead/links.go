package overhead

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"gentiancroft/internal/core"
	"gentiancroft/internal/measure"
	"gentiancroft/internal/peer"
)

const (
	linkPeers   = 40    // hosts that one host is linked with
	linkPayload = 200   // bytes, about a ticket with its envelope
	linkBatch   = 20000 // payloads
	linkWindow  = 200   // payloads under way at once, so that no ring overflows
	linkWait    = 10 * time.Second
)

// linkHost is one host's links and a signal for each payload that came.
type linkHost struct {
	*peer.Links
	id   core.HostID
	came chan struct{}
}

// links measures what links cost: memory of an idle pair, and the time of a
// payload between two hosts, both ends included.
func links(_ *fleet, s sizes) ([]measure.Table, []measure.Target, error) {
	authority, err := peer.NewAuthority("overhead", time.Hour)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var served sync.WaitGroup
	defer served.Wait()
	defer cancel()
	hosts := make([]*linkHost, 0, s.peers+1)
	for i := range s.peers + 1 {
		h, err := newLinkHost(authority, fmt.Sprint("host-", i))
		if err != nil {
			return nil, nil, err
		}
		hosts = append(hosts, h)
		served.Add(1)
		go func() {
			defer served.Done()
			_ = h.Serve(ctx)
		}()
	}
	before, goroutines := inUse()
	for _, h := range hosts[1:] {
		if err := exchange(hosts[0], h); err != nil {
			return nil, nil, err
		}
	}
	after, more := inUse()
	took, err := throughput(hosts[0], hosts[1], s.payloads)
	if err != nil {
		return nil, nil, err
	}
	ends := float64(2 * s.peers) // both ends of a pair are in this process
	table := measure.Table{
		Title:   fmt.Sprintf("host links: %d peers, both directions, payloads of %d bytes", s.peers, linkPayload),
		Columns: []string{"per end of a pair"},
		Rows: []measure.Row{
			{Label: "memory KB", Values: []float64{float64(after-before) / ends / 1024}},
			{Label: "goroutines", Values: []float64{float64(more-goroutines) / ends}},
			{Label: "µs a payload, both ends", Values: []float64{float64(took.Nanoseconds()) / 1000 / float64(s.payloads)}},
		},
	}
	return []measure.Table{table}, nil, nil
}

func newLinkHost(a *peer.Authority, name string) (*linkHost, error) {
	material, err := a.Material(name, time.Hour)
	if err != nil {
		return nil, err
	}
	h := &linkHost{id: core.HostID(name), came: make(chan struct{}, linkBatch)}
	h.Links, err = peer.New(peer.Settings{
		Self: h.id, Listen: "127.0.0.1:0", Material: material, Registry: metrics.NewRegistry(),
	}, func(core.HostID, []byte) {
		h.came <- struct{}{}
	})
	return h, err
}

// exchange sends one payload each way, so that both links stand.
func exchange(a, b *linkHost) error {
	payload := make([]byte, linkPayload)
	a.Send(b.id, b.Address(), payload)
	came := arrives(b)
	b.Send(a.id, a.Address(), payload)
	if !came || !arrives(a) {
		return Error.New("a payload between two hosts did not arrive")
	}
	return nil
}

func arrives(h *linkHost) bool {
	t := time.NewTimer(linkWait)
	defer t.Stop()
	select {
	case <-h.came:
		return true
	case <-t.C:
		return false
	}
}

func throughput(a, b *linkHost, payloads int) (time.Duration, error) {
	payload := make([]byte, linkPayload)
	to := b.id
	started := time.Now()
	for sent, come := 0, 0; come < payloads; come++ {
		for sent < payloads && sent-come < linkWindow {
			a.Send(to, b.Address(), payload)
			sent++
		}
		if !arrives(b) {
			return 0, Error.New("payloads between two hosts were lost")
		}
	}
	return time.Since(started), nil
}

// inUse is the memory in use after a collection, in bytes, and the goroutines.
func inUse() (int64, int) {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse), runtime.NumGoroutine()
}
