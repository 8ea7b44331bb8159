// Package membership measures leases, ownership and the feed on fleets of
// state machines in virtual time: object calls by fleet size, time to detect a
// crash and take over its shards, shards that change owner, and time until a
// configuration is in force on all hosts. The fleet, with its fake links, clocks
// and store, also serves the tests of the state machines.
package membership

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/feed"
	"gentiancroft/internal/core/lease"
)

// One-way delays of the fake network, times of the fake store, and frame size.
const (
	tickInterval     = 100 * time.Millisecond
	sameDomainDelay  = 300 * time.Microsecond
	sameRegionDelay  = 1500 * time.Microsecond
	crossRegionDelay = 40 * time.Millisecond
	storeServiceTime = 3 * time.Millisecond
	watchTimeout     = 30 * time.Second
	headerBytes      = 28 // IP and UDP headers
)

// Place is the location of a host.
type Place struct {
	Region core.Region
	Domain core.Domain
}

// Places returns a number of failure domains: up to 3 in one region, up to 8 in
// three regions with 3, 3 and 2 of them.
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

// Datagram is one message between hosts.
type Datagram struct {
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

	clockDriftPPM int64        // clock drift, parts per million
	clockOffset   core.Instant // clock reading at time 0
	mayAct        []bool       // whether it may act, by shard, as last recorded
	feedView      uint64       // membership view last passed to the feed
	delayed       []func()     // events delayed while it is paused

	LinkBytesIn, LinkBytesOut int // bytes received and sent on host links
	StoreBytes                int // bytes of object calls
	MessagesSent              int // sent
	Steps                     int
	HandoffState              func(lease.RightChange) []byte // returns the state to hand off with a shard
	ReceivedHandoffs          []lease.RightChange            // handoffs received
}

// LocalTime returns the reading of the host's clock at a real time.
func (h *Host) LocalTime(real core.Instant) core.Instant {
	return h.clockOffset + real + core.Instant(int64(real)/1_000_000*h.clockDriftPPM)
}

// RealTime returns the real time at which the host's clock reads an instant.
func (h *Host) RealTime(local core.Instant) core.Instant {
	const million = 1_000_000
	return core.Instant(float64(local-h.clockOffset) / (1 + float64(h.clockDriftPPM)/million))
}

// Fleet is a set of hosts, links and a store in virtual time.
type Fleet struct {
	Now       core.Instant
	Store     *Store
	Hosts     map[core.HostID]*Host
	HostOrder []core.HostID
	Rng       *core.Rand
	Trace     *ActingTrace

	Shards       []core.Shard
	RunFeeds     bool                                         // hosts run a feed machine too
	TuneSettings func(*lease.Settings)                        // adjusts the settings of each new host
	CallFault    func(h *Host, c core.ObjectCall) Fault       // fault of an object call
	LinkFault    func(from, to *Host) (cut, twice bool)       // loss or duplication of a message
	ExtraDelay   func(from, to *Host, size int) time.Duration // added to the delay of a message
	AfterStep    func(h *Host)                                // called after each step of a host

	events     events
	seq        uint64
	hostsAdded int
}

// NewFleet returns a fleet without hosts.
func NewFleet(seed uint64) *Fleet {
	return &Fleet{
		Store: NewStore(), Hosts: map[core.HostID]*Host{}, Rng: core.NewRand(seed), Trace: NewActingTrace(),
	}
}

// AddHost starts a host under a new identity.
func (f *Fleet) AddHost(p Place) *Host {
	f.hostsAdded++
	id := core.HostID(fmt.Sprintf("h%04d-%06x", f.hostsAdded, f.Rng.Uint64()&0xffffff))
	m := core.Member{
		Host: id, Address: fmt.Sprintf("10.0.%d.%d:8080", f.hostsAdded/250, f.hostsAdded%250), Link: fmt.Sprintf("10.0.%d.%d:9090", f.hostsAdded/250, f.hostsAdded%250),
		Domain: p.Domain, Region: p.Region,
	}
	s := lease.Settings{Self: m}
	if f.TuneSettings != nil {
		f.TuneSettings(&s)
	}
	h := &Host{Member: m, Lease: lease.New(s, core.NewRand(f.Rng.Uint64())), clockOffset: core.Instant(f.Rng.Int64N(int64(time.Hour)))}
	h.Lease.SetShards(f.Shards)
	if f.RunFeeds {
		h.Feed = feed.New(feed.Settings{Self: m}, core.NewRand(f.Rng.Uint64()))
	}
	f.Hosts[id] = h
	f.HostOrder = append(f.HostOrder, id)
	f.After(time.Duration(f.Rng.Int64N(int64(tickInterval))), func() { f.tick(h) })
	return h
}

// SetClockDrift sets the drift of a host's clock. Call it before the host runs.
func (f *Fleet) SetClockDrift(h *Host, ppm int64) { h.clockDriftPPM = ppm }

func (f *Fleet) tick(h *Host) {
	if h.Dead {
		return
	}
	f.After(tickInterval, func() { f.tick(h) })
	if !h.Paused {
		f.step(h, func(now core.Instant) {
			f.applyLease(h, h.Lease.Tick(now))
			if h.Feed != nil {
				f.ApplyFeed(h, h.Feed.Tick(now))
			}
		})
	}
}

// deliver runs an event on a host, after its pause if it is paused. A dead host
// drops the event.
func (f *Fleet) deliver(h *Host, do func()) {
	switch {
	case h.Dead:
	case h.Paused:
		h.delayed = append(h.delayed, do)
	default:
		do()
	}
}

// Pause stops a host's process; its events wait until Resume.
func (f *Fleet) Pause(h *Host) { h.Paused = true }

// Resume ends a pause and runs the delayed events.
func (f *Fleet) Resume(h *Host) {
	h.Paused = false
	queue := h.delayed
	h.delayed = nil
	for _, do := range queue {
		do()
	}
}

// Crash ends a host's process.
func (f *Fleet) Crash(h *Host) {
	h.Dead = true
	f.Trace.CloseClaims(f.Now, h.Member.Host)
}

// StepLease calls a function on a host's lease machine and carries out the effects.
func (f *Fleet) StepLease(h *Host, do func(now core.Instant) lease.Output) {
	f.step(h, func(now core.Instant) { f.applyLease(h, do(now)) })
}

// step runs an event on a host and then applies and records what it changed.
func (f *Fleet) step(h *Host, do func(now core.Instant)) {
	h.Steps++
	do(h.LocalTime(f.Now))
	if h.Feed != nil {
		f.connectFeed(h)
	}
	f.applyChanges(h)
	f.recordClaims(h)
	if f.AfterStep != nil {
		f.AfterStep(h)
	}
}

// applyChanges hands off the shards that must leave the host and keeps the
// received handoffs, as a node does.
func (f *Fleet) applyChanges(h *Host) {
	for _, c := range h.Lease.Changes() {
		switch c.Kind {
		case lease.HandoffNeeded:
			f.recordClaims(h)
			var state []byte
			if h.HandoffState != nil {
				state = h.HandoffState(c)
			}
			f.applyLease(h, h.Lease.HandOff(h.LocalTime(f.Now), c.Shard, state))
		case lease.StateReceived:
			h.ReceivedHandoffs = append(h.ReceivedHandoffs, c)
		}
	}
}

// recordClaims records in the trace, in real time, the shards that the host may
// act on.
func (f *Fleet) recordClaims(h *Host) {
	now := h.LocalTime(f.Now)
	if h.mayAct == nil {
		h.mayAct = make([]bool, len(f.Shards))
	}
	for i, s := range f.Shards {
		g, ok := h.Lease.Acting(now, s)
		if ok {
			f.Trace.Claim(f.Now, h.Member.Host, s, g.Fence, h.RealTime(g.Until))
		} else if h.mayAct[i] {
			f.Trace.Drop(f.Now, h.Member.Host, s)
		}
		h.mayAct[i] = ok
	}
}

// applyLease carries out the effects of a lease machine.
func (f *Fleet) applyLease(h *Host, out lease.Output) {
	for _, c := range out.Calls {
		f.callStore(h, c, func(now core.Instant, r core.ObjectResult) { f.applyLease(h, h.Lease.HandleObject(now, r)) })
	}
	for i := range out.Sends {
		f.send(h, out.Sends[i].To, Datagram{Lease: &out.Sends[i].Message})
	}
}

// ApplyFeed carries out the effects of a feed machine.
func (f *Fleet) ApplyFeed(h *Host, out feed.Output) {
	for _, c := range out.Calls {
		f.callStore(h, c, func(now core.Instant, r core.ObjectResult) { f.ApplyFeed(h, h.Feed.HandleObject(now, r)) })
	}
	for i := range out.Sends {
		f.send(h, out.Sends[i].To, Datagram{Feed: &out.Sends[i].Message})
	}
}

// headKey is the key of the membership head in the feed.
var headKey = feed.Key{Topic: feed.TopicMembers, Name: "head"}

// connectFeed connects a host's two machines as a node does: the feed uses the
// current members and distributes the membership head, and the lease machine
// applies the heads that the feed receives.
func (f *Fleet) connectFeed(h *Host) {
	now := h.LocalTime(f.Now)
	for _, e := range h.Feed.TakeChanged() {
		if e.Key == headKey {
			f.applyLease(h, h.Lease.ApplyHead(now, e.Value, 0))
		}
	}
	if h.feedView == h.Lease.View() || !h.Lease.Joined() {
		return
	}
	h.feedView = h.Lease.View()
	h.Feed.SetMembers(now, h.feedView, h.Lease.Members())
	out, err := h.Feed.Set(now, headKey, feed.Stamp{Seq: h.feedView}, h.Lease.Head())
	if err == nil {
		f.ApplyFeed(h, out)
	}
}

// send delivers a message after the link's delay, unless the link is cut.
func (f *Fleet) send(h *Host, to core.HostID, p Datagram) {
	target := f.Hosts[to]
	if target == nil {
		return
	}
	b, err := cbor.Marshal(p)
	if err != nil {
		return
	}
	bytes := len(b) + headerBytes
	h.LinkBytesOut += bytes
	h.MessagesSent++
	cut, twice := false, false
	if f.LinkFault != nil {
		cut, twice = f.LinkFault(h, target)
	}
	if cut || target.Dead {
		return
	}
	arrive := func() {
		f.deliver(target, func() {
			target.LinkBytesIn += bytes
			f.step(target, func(now core.Instant) { f.receive(target, now, h.Member.Host, p) })
		})
	}
	f.After(f.linkDelay(h, target, bytes), arrive)
	if twice {
		f.After(f.linkDelay(h, target, bytes)*3, arrive)
	}
}

func (f *Fleet) receive(t *Host, now core.Instant, from core.HostID, p Datagram) {
	if p.Lease != nil {
		f.applyLease(t, t.Lease.HandleMessage(now, from, *p.Lease))
	}
	if p.Feed != nil {
		f.ApplyFeed(t, t.Feed.HandleMessage(now, from, *p.Feed))
	}
}

// linkDelay returns the delay of a message between two hosts, with up to half of
// it added at random.
func (f *Fleet) linkDelay(a, b *Host, size int) time.Duration {
	d := sameDomainDelay
	switch {
	case a.Member.Region != b.Member.Region:
		d = crossRegionDelay
	case a.Member.Domain != b.Member.Domain:
		d = sameRegionDelay
	}
	d += time.Duration(f.Rng.Int64N(int64(d) / 2))
	if f.ExtraDelay != nil {
		d += f.ExtraDelay(a, b, size)
	}
	return d
}

// callStore sends a call to the store, which is in region r1, and delivers the
// result.
func (f *Fleet) callStore(h *Host, c core.ObjectCall, done func(core.Instant, core.ObjectResult)) {
	var fault Fault
	if f.CallFault != nil {
		fault = f.CallFault(h, c)
	}
	oneWay := storeServiceTime / 2
	if h.Member.Region != "r1" {
		oneWay += crossRegionDelay
	}
	answer := func(r core.ObjectResult) {
		r.Tag = c.Tag
		f.After(oneWay, func() {
			f.deliver(h, func() {
				h.StoreBytes += payloadBytes(c, r) + headerBytes
				f.step(h, func(now core.Instant) { done(now, r) })
			})
		})
	}
	if fault.DropCall {
		f.Store.CallsByOp[c.Op]++
		answer(core.ObjectResult{Status: core.ObjectUnavailable})
		return
	}
	f.After(oneWay+fault.Delay, func() {
		w := f.Store.Do(c, fault.StaleRead, func(r core.ObjectResult) {
			if fault.LoseAnswer {
				r = core.ObjectResult{Status: core.ObjectUnknown}
			}
			answer(r)
		})
		if w != nil {
			f.After(watchTimeout, func() { f.Store.expireWatch(w) })
		}
	})
}
