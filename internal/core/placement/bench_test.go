package placement

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
)

// Design size of the fleet.
const (
	sizeUpstreams = 670
	sizeAdapters  = 15000
	sizeSlots     = 32
	sizeHosts     = 350
)

// fixedOwnership assigns every shard to this host or to another one. Of the
// upstreams, this host may act for u0 and u1 only.
type fixedOwnership struct {
	self  core.HostID
	mine  bool
	hosts []core.Member
}

func (o fixedOwnership) Self() core.HostID { return o.self }
func (o fixedOwnership) Owner(core.Shard) (core.HostID, bool) {
	if o.mine {
		return o.self, true
	}
	return "other", true
}
func (o fixedOwnership) Acting(now core.Instant, s core.Shard) (core.Grant, bool) {
	mine := o.mine && (s.Kind == core.ShardLoader || s.Name == "u0" || s.Name == "u1")
	return core.Grant{Fence: 1, Until: now.Add(time.Minute)}, mine
}
func (o fixedOwnership) Serving(now core.Instant, s core.Shard) bool {
	_, ok := o.Acting(now, s)
	return ok
}
func (o fixedOwnership) Members() []core.Member { return o.hosts }

// atSize returns a machine with a full view, its ownership and the heap bytes
// of its view.
func atSize(mine bool) (*Machine, fixedOwnership, uint64) {
	d := &config.Document{}
	for i := range sizeUpstreams {
		d.Upstreams = append(d.Upstreams, config.Upstream{
			ID: core.UpstreamID(fmt.Sprintf("u%d", i)), Kind: config.UpstreamEngine, Pool: fmt.Sprintf("p%d", i%4),
			Slots: sizeSlots, Batch: 32, Domain: core.Domain(fmt.Sprint(i % 8)),
		})
	}
	own := fixedOwnership{self: "h0", mine: mine, hosts: make([]core.Member, sizeHosts)}
	snapshot := config.NewSnapshot(1, d)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m := New(Settings{Self: "h0"}, core.NewRand(1))
	m.Configure(1, own, snapshot)
	for i := range sizeUpstreams {
		r := Residency{Upstream: core.UpstreamID(fmt.Sprintf("u%d", i)), Fence: 1, Seq: 1, SlowStartWeight: 1, FreeSlots: 1}
		for j := range sizeSlots {
			r.Adapters = append(r.Adapters, AdapterPopularity{Adapter: ref((i*sizeSlots + j) % sizeAdapters), Score: 1})
		}
		m.ReceiveResidency(2, own, r)
	}
	if m.loader != nil {
		for i := range sizeAdapters {
			m.loader.countRequests(ref(i), "p0", 1, 2, defaultHalfLife)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	return m, own, after.HeapAlloc - before.HeapAlloc
}

func BenchmarkEntryDecision(b *testing.B) {
	m, own, viewBytes := atSize(false)
	b.ReportAllocs()
	id := core.RequestID("r")
	for i := 0; b.Loop(); i++ {
		now := core.Instant(i)
		pool := fmt.Sprintf("p%d", (i%sizeAdapters/sizeSlots)%4)
		m.Place(now, own, PlacementRequest{Request: id, Pool: pool, Adapter: ref(i % sizeAdapters), Deadline: now + 1e9})
		m.Cancel(now, own, id)
	}
	b.ReportMetric(float64(viewBytes)/1e6, "view-MB")
}

func BenchmarkOwnerTicket(b *testing.B) {
	m, own, _ := atSize(true)
	now := core.Instant(time.Hour)
	m.Tick(now, own)
	now = now.Add(time.Minute)
	report := core.UpstreamReport{Upstream: "u0", OK: true, Incarnation: "1", Sent: now}
	for j := range sizeSlots {
		report.Adapters = append(report.Adapters, core.AdapterLoad{Adapter: ref(j)})
	}
	m.Report(now, own, report)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		ask := TicketRequestMessage{Request: "r", Seq: uint64(i + 1), Upstream: "u0", Adapter: ref(i % sizeSlots), Remaining: time.Second, Sent: now, Workspace: "w"}
		m.HandleMessage(now, own, "h1", Message{TicketRequest: &ask})
		r := m.HandleMessage(now, own, "h1", Message{Release: &ReleaseMessage{Request: "r", Seq: ask.Seq, Upstream: "u0", End: TicketEnd{OK: true}}})
		if len(r.Sends) != 0 || len(m.owned.byID["u0"].pins) != 0 {
			b.Fatal("the ticket was not released")
		}
	}
}

func BenchmarkLoaderRequest(b *testing.B) {
	m, own, viewBytes := atSize(true)
	b.ReportAllocs()
	now := core.Instant(time.Hour)
	for i := 0; b.Loop(); i++ {
		now = now.Add(400 * time.Millisecond)
		cold := core.AdapterRef{ID: "cold", Version: i}
		r := m.HandleMessage(now, own, "h1", Message{LoadRequest: &LoadRequestMessage{Adapter: cold, Pool: "p0", Waiting: 1, NewArrivals: 1}})
		for _, s := range r.Sends {
			if s.Message.LoadOrder != nil {
				m.HandleMessage(now, own, s.To, Message{LoadDone: &LoadDoneMessage{ID: s.Message.LoadOrder.ID, Adapter: cold, Upstream: s.Message.LoadOrder.Upstream, End: LoadOK}})
			}
		}
		m.HandleMessage(now, own, "h1", Message{LoadRequest: &LoadRequestMessage{Adapter: cold, Pool: "p0"}})
	}
	b.ReportMetric(float64(viewBytes)/1e6, "view+loader-MB")
}

func BenchmarkTickOfAnEntry(b *testing.B)   { benchmarkTick(b, false) }
func BenchmarkTickOfTheLoader(b *testing.B) { benchmarkTick(b, true) }

func benchmarkTick(b *testing.B, mine bool) {
	m, own, _ := atSize(mine)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		m.Tick(core.Instant(time.Duration(i)*100*time.Millisecond), own)
	}
}
