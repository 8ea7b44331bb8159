// Package membership measures leases, ownership and the feed on fleets of
// state machines in virtual time: object calls against hosts, detection and
// takeover, moves, and the time until a configuration is in force everywhere.
package membership

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/feed"
	"gentiancroft/internal/core/lease"
)

// Durations of the fake network, one way, and of the fake store.
const (
	tickEvery     = 100 * time.Millisecond
	inDomain      = 300 * time.Microsecond
	inRegion      = 1500 * time.Microsecond
	betweenRegion = 40 * time.Millisecond
	storeServes   = 3 * time.Millisecond
	watchTimeout  = 30 * time.Second
	frameBytes    = 28 // headers of one datagram
)

// Place is where a host runs.
type Place struct {
	Region core.Region
	Domain core.Domain
}

// Places spreads hosts over three regions with 3, 3 and 2 failure domains.
func Places(domains int) []Place {
	all := []Place{
		{"r1", "r1-a"}, {"r2", "r2-a"}, {"r3", "r3-a"}, {"r1", "r1-b"},
		{"r2", "r2-b"}, {"r3", "r3-b"}, {"r1", "r1-c"}, {"r2", "r2-c"},
	}
	if domains <= 3 {
		return []Place{{"r1", "r1-a"}, {"r1", "r1-b"}, {"r1", "r1-c"}}[:domains]
	}
	return all[:domains]
}

// Packet is one message between hosts.
type Packet struct {
	Lease *lease.Message `cbor:"1,keyasint,omitempty"`
	Feed  *feed.Message  `cbor:"2,keyasint,omitempty"`
}

// Host is one host of a fleet.
type Host struct {
	Member core.Member
	Lease  *lease.Machine
	Feed   *feed.Machine // nil in a fleet without feed
	Dead   bool
	Paused bool

	ppm     int64        // how fast its clock runs, millionths
	offset  core.Instant // its clock at time 0
	claimed []bool       // by shard, as last recorded
	coupled uint64       // the view that the feed has
	queue   []func()     // events held while it is paused

	In, Out  int // bytes of host links
	Store    int // bytes of object calls
	Messages int
	Steps    int
	Given    func(lease.RightChange) []byte // state for a departing shard
	Took     []lease.RightChange
}

// Local is the host's clock at a real time.
func (h *Host) Local(real core.Instant) core.Instant {
	return h.offset + real + core.Instant(int64(real)/1_000_000*h.ppm)
}

// Real is the real time at which the host's clock shows an instant.
func (h *Host) Real(local core.Instant) core.Instant {
	const million = 1_000_000
	return core.Instant(float64(local-h.offset) / (1 + float64(h.ppm)/million))
}

// Fleet is a set of hosts, links and a store in virtual time.
type Fleet struct {
	Now   core.Instant
	Store *Store
	Hosts map[core.HostID]*Host
	Order []core.HostID
	Rng   *core.Rand
	Trace *Trace

	Shards  []core.Shard
	Feeds   bool                                         // hosts have a feed too
	Tune    func(*lease.Settings)                        // before a host is made
	Fault   func(h *Host, c core.ObjectCall) Fault       // of an object call
	Link    func(from, to *Host) (cut, twice bool)       // of a message
	Delay   func(from, to *Host, size int) time.Duration // added to a message
	Stepped func(h *Host)

	events events
	seq    uint64
	made   int
}

// NewFleet returns a fleet without hosts.
func NewFleet(seed uint64) *Fleet {
	return &Fleet{
		Store: NewStore(), Hosts: map[core.HostID]*Host{}, Rng: core.NewRand(seed), Trace: NewTrace(),
	}
}

// Add starts a host. Each has a new identity.
func (f *Fleet) Add(p Place) *Host {
	f.made++
	id := core.HostID(fmt.Sprintf("h%04d-%06x", f.made, f.Rng.Uint64()&0xffffff))
	m := core.Member{
		Host: id, Address: fmt.Sprintf("10.0.%d.%d:8080", f.made/250, f.made%250), Link: fmt.Sprintf("10.0.%d.%d:9090", f.made/250, f.made%250),
		Domain: p.Domain, Region: p.Region,
	}
	s := lease.Settings{Self: m}
	if f.Tune != nil {
		f.Tune(&s)
	}
	h := &Host{Member: m, Lease: lease.New(s, core.NewRand(f.Rng.Uint64())), offset: core.Instant(f.Rng.Int64N(int64(time.Hour)))}
	h.Lease.SetShards(f.Shards)
	if f.Feeds {
		h.Feed = feed.New(feed.Settings{Self: m}, core.NewRand(f.Rng.Uint64()))
	}
	f.Hosts[id] = h
	f.Order = append(f.Order, id)
	f.After(time.Duration(f.Rng.Int64N(int64(tickEvery))), func() { f.tick(h) })
	return h
}

// SetClock makes a host's clock run fast or slow. Call it before it runs.
func (f *Fleet) SetClock(h *Host, ppm int64) { h.ppm = ppm }

func (f *Fleet) tick(h *Host) {
	if h.Dead {
		return
	}
	f.After(tickEvery, func() { f.tick(h) })
	if !h.Paused {
		f.step(h, func(now core.Instant) {
			f.apply(h, h.Lease.Tick(now))
			if h.Feed != nil {
				f.Apply(h, h.Feed.Tick(now))
			}
		})
	}
}

// deliver runs an event on a host, or keeps it while the host is paused.
func (f *Fleet) deliver(h *Host, do func()) {
	switch {
	case h.Dead:
	case h.Paused:
		h.queue = append(h.queue, do)
	default:
		do()
	}
}

// Pause stops a host's process; what arrives meanwhile waits.
func (f *Fleet) Pause(h *Host) { h.Paused = true }

// Resume lets it go on.
func (f *Fleet) Resume(h *Host) {
	h.Paused = false
	queue := h.queue
	h.queue = nil
	for _, do := range queue {
		do()
	}
}

// Kill ends a host's process.
func (f *Fleet) Kill(h *Host) {
	h.Dead = true
	f.Trace.Close(f.Now, h.Member.Host)
}

// Do runs something on a host's machine and carries out what it wants.
func (f *Fleet) Do(h *Host, do func(now core.Instant) lease.Output) {
	f.step(h, func(now core.Instant) { f.apply(h, do(now)) })
}

func (f *Fleet) step(h *Host, do func(now core.Instant)) {
	h.Steps++
	do(h.Local(f.Now))
	if h.Feed != nil {
		f.couple(h)
	}
	f.changes(h)
	f.claims(h)
	if f.Stepped != nil {
		f.Stepped(h)
	}
}

// changes hands over what departs, as a node would.
func (f *Fleet) changes(h *Host) {
	for _, c := range h.Lease.Changes() {
		switch c.Kind {
		case lease.HandoffNeeded:
			f.claims(h)
			var state []byte
			if h.Given != nil {
				state = h.Given(c)
			}
			f.apply(h, h.Lease.HandOff(h.Local(f.Now), c.Shard, state))
		case lease.StateReceived:
			h.Took = append(h.Took, c)
		}
	}
}

// claims records what the host may act on from now on, in real time.
func (f *Fleet) claims(h *Host) {
	now := h.Local(f.Now)
	if h.claimed == nil {
		h.claimed = make([]bool, len(f.Shards))
	}
	for i, s := range f.Shards {
		g, ok := h.Lease.Acting(now, s)
		if ok {
			f.Trace.Claim(f.Now, h.Member.Host, s, g.Fence, h.Real(g.Until))
		} else if h.claimed[i] {
			f.Trace.Drop(f.Now, h.Member.Host, s)
		}
		h.claimed[i] = ok
	}
}

func (f *Fleet) apply(h *Host, out lease.Output) {
	for _, c := range out.Calls {
		f.object(h, c, func(now core.Instant, r core.ObjectResult) { f.apply(h, h.Lease.HandleObject(now, r)) })
	}
	for i := range out.Sends {
		f.send(h, out.Sends[i].To, Packet{Lease: &out.Sends[i].Message})
	}
}

// Apply carries out what a feed machine wants.
func (f *Fleet) Apply(h *Host, out feed.Output) {
	for _, c := range out.Calls {
		f.object(h, c, func(now core.Instant, r core.ObjectResult) { f.Apply(h, h.Feed.HandleObject(now, r)) })
	}
	for i := range out.Sends {
		f.send(h, out.Sends[i].To, Packet{Feed: &out.Sends[i].Message})
	}
}

// headKey is the membership head in the feed.
var headKey = feed.Key{Topic: feed.TopicMembers, Name: "head"}

// couple joins a host's two machines as a node does: the feed follows the
// membership, and carries its head.
func (f *Fleet) couple(h *Host) {
	now := h.Local(f.Now)
	for _, e := range h.Feed.TakeChanged() {
		if e.Key == headKey {
			f.apply(h, h.Lease.ApplyHead(now, e.Value, 0))
		}
	}
	if h.coupled == h.Lease.View() || !h.Lease.Joined() {
		return
	}
	h.coupled = h.Lease.View()
	h.Feed.SetMembers(now, h.coupled, h.Lease.Members())
	out, err := h.Feed.Set(now, headKey, feed.Stamp{Seq: h.coupled}, h.Lease.Head())
	if err == nil {
		f.Apply(h, out)
	}
}

// send carries a message over a link.
func (f *Fleet) send(h *Host, to core.HostID, p Packet) {
	t := f.Hosts[to]
	if t == nil {
		return
	}
	b, err := cbor.Marshal(p)
	if err != nil {
		return
	}
	n := len(b) + frameBytes
	h.Out += n
	h.Messages++
	cut, twice := false, false
	if f.Link != nil {
		cut, twice = f.Link(h, t)
	}
	if cut || t.Dead {
		return
	}
	arrive := func() {
		f.deliver(t, func() {
			t.In += n
			f.step(t, func(now core.Instant) { f.receive(t, now, h.Member.Host, p) })
		})
	}
	f.After(f.latency(h, t, n), arrive)
	if twice {
		f.After(f.latency(h, t, n)*3, arrive)
	}
}

func (f *Fleet) receive(t *Host, now core.Instant, from core.HostID, p Packet) {
	if p.Lease != nil {
		f.apply(t, t.Lease.HandleMessage(now, from, *p.Lease))
	}
	if p.Feed != nil {
		f.Apply(t, t.Feed.HandleMessage(now, from, *p.Feed))
	}
}

func (f *Fleet) latency(a, b *Host, size int) time.Duration {
	d := inDomain
	switch {
	case a.Member.Region != b.Member.Region:
		d = betweenRegion
	case a.Member.Domain != b.Member.Domain:
		d = inRegion
	}
	d += time.Duration(f.Rng.Int64N(int64(d) / 2))
	if f.Delay != nil {
		d += f.Delay(a, b, size)
	}
	return d
}

// object carries a call to the store, which is in region r1, and back.
func (f *Fleet) object(h *Host, c core.ObjectCall, done func(core.Instant, core.ObjectResult)) {
	var fault Fault
	if f.Fault != nil {
		fault = f.Fault(h, c)
	}
	way := storeServes / 2
	if h.Member.Region != "r1" {
		way += betweenRegion
	}
	answer := func(r core.ObjectResult) {
		r.Tag = c.Tag
		f.After(way, func() {
			f.deliver(h, func() {
				h.Store += size(c, r) + frameBytes
				f.step(h, func(now core.Instant) { done(now, r) })
			})
		})
	}
	if fault.Drop {
		f.Store.Calls[c.Op]++
		answer(core.ObjectResult{Status: core.ObjectUnavailable})
		return
	}
	f.After(way+fault.Delay, func() {
		w := f.Store.Do(c, fault.Stale, func(r core.ObjectResult) {
			if fault.Lose {
				r = core.ObjectResult{Status: core.ObjectUnknown}
			}
			answer(r)
		})
		if w != nil {
			f.After(watchTimeout, func() { f.Store.expire(w) })
		}
	})
}
