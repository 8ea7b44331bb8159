package node

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
)

// largeDocument returns a deployment of the size expected in two years.
func largeDocument(upstreams, adapters, workspaces int) *config.Document {
	d := sampleDocument()
	d.Upstreams, d.Adapters, d.Workspaces, d.Keys = nil, nil, nil, nil
	for i := range upstreams {
		d.Upstreams = append(d.Upstreams, config.Upstream{ID: core.UpstreamID(fmt.Sprintf("drafter-%03d", i)), Kind: config.UpstreamEngine, Pool: "drafter", Address: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250), Domain: "region-0-a", Base: "base", Slots: 32, Batch: 32})
	}
	for i := range adapters {
		d.Adapters = append(d.Adapters, config.Adapter{ID: core.AdapterID(adapterName(i)), Base: "base", Versions: []int{1, 2}, Default: 2})
	}
	for i := range workspaces {
		id := core.WorkspaceID(fmt.Sprintf("workspace-%03d", i))
		d.Workspaces = append(d.Workspaces, config.Workspace{ID: id, Rate: 10000, Burst: 200000, Weight: 1})
		d.Keys = append(d.Keys, config.Key{ID: "key-" + string(id), Workspace: id, Hash: config.HashKey(secret, string(id))})
	}
	return config.Canonical(d)
}

// controlCost sums the bytes and time that the hosts of a fleet spend on control.
type controlCost struct {
	bytes map[core.HostID]int // sent, encoded
	spent map[core.HostID]time.Duration
}

func (f *fleet) measureControl() *controlCost {
	c := &controlCost{bytes: map[core.HostID]int{}, spent: map[core.HostID]time.Duration{}}
	f.onSend = func(from *fakeHost, x SendToPeer) {
		b, err := cbor.Marshal(x.Message)
		if err != nil {
			f.t.Fatal(err)
		}
		c.bytes[from.id] += len(b)
	}
	f.onStep = func(h *fakeHost, d time.Duration) { c.spent[h.id] += d }
	return c
}

// report reports means and maxima per node and second.
func (c *controlCost) report(b *testing.B, hosts int, span time.Duration) {
	seconds := span.Seconds()
	var bytes, maxBytes int
	var spent, busiest time.Duration
	for h, n := range c.bytes {
		bytes += n
		maxBytes = max(maxBytes, n)
		spent += c.spent[h]
		busiest = max(busiest, c.spent[h])
	}
	b.ReportMetric(float64(bytes)/float64(hosts)/seconds, "B/s/node")
	b.ReportMetric(float64(maxBytes)/seconds, "B/s/busiest")
	b.ReportMetric(100*spent.Seconds()/float64(hosts)/seconds, "%core/node")
	b.ReportMetric(100*busiest.Seconds()/seconds, "%core/busiest")
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkFleet runs whole nodes in virtual time, at rest and under requests,
// and reports the cost of control per node: leases, feed, limits, placement,
// polls and claims together. The data path (answer bytes) is not included.
func BenchmarkFleet(b *testing.B) {
	const span = 20 * time.Second
	for _, size := range []struct{ hosts, upstreams, adapters, workspaces, rate int }{
		{8, 15, 3000, 5, 0},
		{8, 15, 3000, 5, 55},
		{100, 190, 4300, 60, 685},
		{350, 670, 15000, 200, 0},
		{350, 670, 15000, 200, 2400},
	} {
		b.Run(fmt.Sprintf("hosts=%d/requests=%d", size.hosts, size.rate), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				f := emptyFleet(b, largeDocument(size.upstreams, size.adapters, size.workspaces))
				f.regions, f.domains = 3, 8
				f.preloadAdapters()
				for i := range size.hosts {
					f.join(i)
					f.run(10 * time.Millisecond)
				}
				f.run(30 * time.Second)
				calls := f.calls
				c := f.measureControl()
				f.sendRequests(size.rate, size.workspaces, span)
				c.report(b, size.hosts, span)
				b.ReportMetric(float64(f.calls-calls)/span.Seconds(), "objectcalls/s")
				b.ReportMetric(float64(heapBytes()-before)/float64(size.hosts)/(1<<20), "MB/node")
				served := 0
				for _, a := range f.answers {
					if a.ok {
						served++
					}
				}
				refused := 0
				for _, a := range f.answers {
					if a.refusal != nil {
						refused++
					}
				}
				b.ReportMetric(float64(served), "answers")
				b.ReportMetric(float64(refused), "refused")
				runtime.KeepAlive(f)
			}
		})
	}
}

// adaptersPerEngine is the number of adapters loaded on each engine from the start;
// all requests are for these.
const adaptersPerEngine = 3

func adapterName(i int) string { return fmt.Sprintf("quotes-%05d", i) }

// preloadAdapters loads the most popular adapters, spread over the engines.
func (f *fleet) preloadAdapters() {
	for i := range adaptersPerEngine * len(f.engines) {
		u := core.UpstreamID(fmt.Sprintf("drafter-%03d", i%len(f.engines)))
		f.engines[u].adapters[core.AdapterRef{ID: core.AdapterID(adapterName(i)), Version: 2}] = true
	}
}

// sendRequests sends rate requests per second, spread over the hosts, for the span.
// The callers of three in five hang up after 300 ms.
func (f *fleet) sendRequests(rate, workspaces int, span time.Duration) {
	if rate == 0 {
		f.run(span)
		return
	}
	gap := time.Second / time.Duration(rate)
	n := 0
	for end := f.now.Add(span); f.now < end; {
		n++
		id := core.RequestID(fmt.Sprint("r", n))
		h := f.hosts[n*7919%len(f.hosts)]
		a := completionRequest(string(id), fmt.Sprintf("workspace-%03d", n%workspaces), adapterName(n%(adaptersPerEngine*len(f.engines))))
		f.step(h, a)
		if n%5 < 3 {
			f.after(300*time.Millisecond, func() { f.step(h, CallerGone{ID: id}) })
		}
		f.run(gap)
	}
}
