package membership

import (
	"testing"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/feed"
	"gentiancroft/internal/core/lease"
)

// The benchmarks send one kind of event to one host, chosen by its role, of an
// idle fleet of 350 and report nanoseconds and bytes per event.

var idleFleet *Fleet

func startIdleFleet() *Fleet {
	if idleFleet == nil {
		idleFleet = NewFleet(1)
		idleFleet.RunFeeds = true
		startHosts(idleFleet, 350)
		writeConfig(idleFleet, 1, chunkCount, chunkBytes)
		idleFleet.Run(10 * time.Second)
	}
	return idleFleet
}

func findHost(f *Fleet, is func(h *Host) bool) *Host {
	for _, id := range f.HostOrder {
		if is(f.Hosts[id]) {
			return f.Hosts[id]
		}
	}
	return nil
}

func BenchmarkMemberTick(b *testing.B) {
	f := startIdleFleet()
	h := findHost(f, func(h *Host) bool { return !h.Lease.IsPoller() && !h.Feed.IsWatcher() })
	now := h.LocalTime(f.Now)
	b.ReportAllocs()
	for b.Loop() {
		h.Lease.Tick(now)
		h.Feed.Tick(now)
	}
}

func BenchmarkLeaderHeartbeat(b *testing.B) {
	f := startIdleFleet()
	h := findHost(f, func(h *Host) bool { return h.Lease.IsBatchLeader() })
	now, seq := h.LocalTime(f.Now), uint64(1<<40)
	b.ReportAllocs()
	for b.Loop() {
		seq++
		h.Lease.HandleMessage(now, "peer", lease.Message{Heartbeat: &lease.Heartbeat{Number: 5, Seq: seq, View: 1}})
	}
}

func BenchmarkPollerReadsAllHeartbeats(b *testing.B) {
	f := startIdleFleet()
	h := findHost(f, func(h *Host) bool { return h.Lease.IsPoller() })
	objects := f.Store.changedSince(lease.HeartbeatsPrefix, 0)
	now := h.LocalTime(f.Now)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(3 * time.Second)
		for _, c := range h.Lease.Tick(now).Calls {
			if c.Op == core.ObjectList {
				h.Lease.HandleObject(now, core.ObjectResult{Tag: c.Tag, Status: core.ObjectOK, Objects: objects})
			}
		}
	}
}

func BenchmarkRelayValue(b *testing.B) {
	f := startIdleFleet()
	h := findHost(f, func(h *Host) bool { return !h.Feed.IsWatcher() && h.Feed.LinkCount() > 3 })
	if h == nil {
		b.Skip("no relay")
	}
	now, seq := h.LocalTime(f.Now), uint64(0)
	value := make([]byte, 60)
	b.ReportAllocs()
	for b.Loop() {
		seq++
		now = now.Add(time.Millisecond)
		h.Feed.HandleMessage(now, "peer", feed.Message{Values: &feed.Values{Seq: seq, Entries: []feed.Entry{{
			Key: feed.Key{Topic: feed.TopicUpstream, Name: "u1"}, Stamp: feed.Stamp{Seq: seq}, Value: value,
		}}}})
	}
}

func BenchmarkViewChange(b *testing.B) {
	f := startIdleFleet()
	h := findHost(f, func(h *Host) bool { return !h.Lease.IsPoller() })
	head, _ := lease.DecodeHead(h.Lease.Head())
	h.Lease.SetShards(makeShards(700))
	now := h.LocalTime(f.Now)
	b.ReportAllocs()
	for b.Loop() {
		head.Version++
		head.Log = []lease.MemberChange{{Version: head.Version, Kind: lease.MarkedLeaving, Host: "nobody"}}
		head.LogFrom = head.Version
		value, _ := lease.EncodeHead(head)
		h.Lease.ApplyHead(now, value, 0)
	}
}

func BenchmarkActing(b *testing.B) {
	f := startIdleFleet()
	h := findHost(f, func(h *Host) bool { return !h.Lease.IsPoller() })
	shards := makeShards(700)
	h.Lease.SetShards(shards)
	now := h.LocalTime(f.Now)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		h.Lease.Acting(now, shards[i%len(shards)])
	}
}
