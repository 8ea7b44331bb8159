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
	linkedHosts         = 40    // hosts linked with the first one
	payloadBytes        = 200   // about a ticket with its envelope
	payloadCount        = 20000 // sent from one host to another
	maxPayloadsInFlight = 200   // so that no ring overflows
	payloadTimeout      = 10 * time.Second
)

// linkHost is one host's links and a signal for each received payload.
type linkHost struct {
	*peer.Links
	id       core.HostID
	received chan struct{}
}

// measureLinks measures the memory and goroutines of an idle link, and the time
// of a payload between two hosts, both ends included.
func measureLinks(_ *testbed, s sizes) ([]measure.Table, []measure.Target, error) {
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
	bytesBefore, goroutinesBefore := memoryInUse()
	for _, h := range hosts[1:] {
		if err := exchangePayloads(hosts[0], h); err != nil {
			return nil, nil, err
		}
	}
	bytesAfter, goroutinesAfter := memoryInUse()
	took, err := sendPayloads(hosts[0], hosts[1], s.payloads)
	if err != nil {
		return nil, nil, err
	}
	ends := float64(2 * s.peers) // both ends of a pair are in this process
	table := measure.Table{
		Title:   fmt.Sprintf("host links: %d peers, both directions, payloads of %d bytes", s.peers, payloadBytes),
		Columns: []string{"per end of a pair"},
		Rows: []measure.Row{
			{Label: "memory KB", Values: []float64{float64(bytesAfter-bytesBefore) / ends / 1024}},
			{Label: "goroutines", Values: []float64{float64(goroutinesAfter-goroutinesBefore) / ends}},
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
	h := &linkHost{id: core.HostID(name), received: make(chan struct{}, payloadCount)}
	h.Links, err = peer.New(peer.Settings{
		Self: h.id, Listen: "127.0.0.1:0", Material: material, Registry: metrics.NewRegistry(),
	}, func(core.HostID, []byte) {
		h.received <- struct{}{}
	})
	return h, err
}

// exchangePayloads sends one payload each way, which opens both links.
func exchangePayloads(a, b *linkHost) error {
	payload := make([]byte, payloadBytes)
	a.Send(b.id, b.Address(), payload)
	ok := awaitPayload(b)
	b.Send(a.id, a.Address(), payload)
	if !ok || !awaitPayload(a) {
		return Error.New("a payload between two hosts did not arrive")
	}
	return nil
}

// awaitPayload waits for a payload and reports whether one came in time.
func awaitPayload(h *linkHost) bool {
	t := time.NewTimer(payloadTimeout)
	defer t.Stop()
	select {
	case <-h.received:
		return true
	case <-t.C:
		return false
	}
}

// sendPayloads returns the time that a number of payloads takes from a to b.
func sendPayloads(a, b *linkHost, payloads int) (time.Duration, error) {
	payload := make([]byte, payloadBytes)
	to := b.id
	started := time.Now()
	for sent, received := 0, 0; received < payloads; received++ {
		for sent < payloads && sent-received < maxPayloadsInFlight {
			a.Send(to, b.Address(), payload)
			sent++
		}
		if !awaitPayload(b) {
			return 0, Error.New("payloads between two hosts were lost")
		}
	}
	return time.Since(started), nil
}

// memoryInUse returns the bytes in use after garbage collection and the number
// of goroutines.
func memoryInUse() (int64, int) {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse), runtime.NumGoroutine()
}
