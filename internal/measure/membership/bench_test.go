package membership

import (
	"testing"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/feed"
	"gentiancroft/internal/core/lease"
)

// The benchmarks drive one host of a settled fleet of 350 with one kind of
// event and give nanoseconds and bytes per event for its role.

var settled *Fleet

func fleet350() *Fleet {
	if settled == nil {
		settled = NewFleet(1)
		settled.Feeds = true
		grow(settled, 350)
		accept(settled, 1, chunkCount, chunkBytes)
		settled.Run(10 * time.Second)
	}
	return settled
}

func pick(f *Fleet, is func(h *Host) bool) *Host {
	for _, id := range f.Order {
		if is(f.Hosts[id]) {
			return f.Hosts[id]
		}
	}
	return nil
}

func BenchmarkMemberTick(b *testing.B) {
	f := fleet350()
	h := pick(f, func(h *Host) bool { return !h.Lease.IsPoller() && !h.Feed.IsWatcher() })
	now := h.Local(f.Now)
	b.ReportAllocs()
	for b.Loop() {
		h.Lease.Tick(now)
		h.Feed.Tick(now)
	}
}

func BenchmarkLeaderHeartbeat(b *testing.B) {
	f := fleet350()
	h := pick(f, func(h *Host) bool { return h.Lease.IsBatchLeader() })
	now, seq := h.Local(f.Now), uint64(1<<40)
	b.ReportAllocs()
	for b.Loop() {
		seq++
		h.Lease.HandleMessage(now, "peer", lease.Message{Heartbeat: &lease.Heartbeat{Number: 5, Seq: seq, View: 1}})
	}
}

func BenchmarkPollerReadsAllHeartbeats(b *testing.B) {
	f := fleet350()
	h := pick(f, func(h *Host) bool { return h.Lease.IsPoller() })
	objects := f.Store.newer(lease.HeartbeatsPrefix, 0)
	now := h.Local(f.Now)
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
	f := fleet350()
	h := pick(f, func(h *Host) bool { return !h.Feed.IsWatcher() && h.Feed.LinkCount() > 3 })
	if h == nil {
		b.Skip("no relay")
	}
	now, seq := h.Local(f.Now), uint64(0)
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
	f := fleet350()
	h := pick(f, func(h *Host) bool { return !h.Lease.IsPoller() })
	head, _ := lease.DecodeHead(h.Lease.Head())
	h.Lease.SetShards(shardsOf(700))
	now := h.Local(f.Now)
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
	f := fleet350()
	h := pick(f, func(h *Host) bool { return !h.Lease.IsPoller() })
	shards := shardsOf(700)
	h.Lease.SetShards(shards)
	now := h.Local(f.Now)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		h.Lease.Acting(now, shards[i%len(shards)])
	}
}
