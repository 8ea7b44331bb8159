package relaynode

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/replicas"
)

// BenchmarkHost measures the work of one host in a second of a fleet of a size:
// received heartbeats, ticks, and its share of the requests if it is active.
func BenchmarkHost(b *testing.B) {
	for _, hosts := range []int{8, 75, 350} {
		b.Run(fmt.Sprintf("active-%d", hosts), func(b *testing.B) { benchmarkHost(b, hosts, 2) })
		if hosts > fleet.MaxAllActive {
			b.Run(fmt.Sprintf("standby-%d", hosts), func(b *testing.B) { benchmarkHost(b, hosts, 0.1) })
		}
	}
}

func benchmarkHost(b *testing.B, hosts int, capacity float64) {
	m := New(Settings{Self: fleet.Registration{Name: "self", Host: "self/1", Domain: "a", Capacity: capacity}, FirstStart: true})
	now := core.Instant(0)
	m.Step(now, ConfigurationRead{Table: testTable()})
	m.Step(now, VersionsRead{})
	var entries []replicas.Entry
	var loads []Load
	for i := range 2 * hosts {
		id := core.UpstreamID(fmt.Sprintf("i-%d", i))
		entries = append(entries, replica(id, engines, core.AdapterRef{ID: "x", Version: 1}))
		if i < 8 {
			loads = append(loads, Load{Replica: core.ShortHash(string(id)), Running: 2})
		}
	}
	m.Step(now, ReplicasListed{Entries: entries})
	heartbeats := make([]Heartbeat, hosts-1)
	for i := range heartbeats {
		name := fmt.Sprintf("host-%d", i)
		heartbeats[i] = Heartbeat{Host: core.HostID(name), Ready: true, Loads: loads, Spent: map[uint32]int64{core.ShortHash("w"): 0}}
		m.Step(now, HostListed{Host: fleet.Registration{Name: name, Host: heartbeats[i].Host, Domain: "a"}})
	}
	sent, bytes, n := 0, 0, uint64(0)
	count := func(effects []Effect) {
		for _, e := range effects {
			if p, ok := e.(SendToPeers); ok {
				payload, err := cbor.Marshal(p.Message)
				if err != nil {
					b.Fatal(err)
				}
				sent += len(p.To)
				bytes += len(p.To) * len(payload)
			}
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		for tick := range 50 {
			now = now.Add(20 * time.Millisecond)
			if tick%10 == 0 { // the active hosts send to this one five times a second
				n++
				for i := range heartbeats {
					if !heartbeatArrives(m, heartbeats[i].Host, i, tick) {
						continue
					}
					heartbeats[i].Number = n
					count(m.Step(now, MessageReceived{From: heartbeats[i].Host, Message: Message{Heartbeats: heartbeats[i : i+1]}}))
				}
			}
			count(m.Step(now, Tick{}))
			if tick%2 == 0 && m.fleet.Active() {
				id := core.RequestID(fmt.Sprintf("%d-%d", n, tick))
				count(m.Step(now, RequestArrived{ID: id, Host: "h", Path: "/stream/x", Model: model, Adapter: "x", Timeout: time.Second}))
				count(m.Step(now, AttemptEnded{ID: id, Attempt: 1, Kind: EndOK}))
			}
		}
	}
	b.ReportMetric(float64(sent)/float64(b.N), "messages/s")
	b.ReportMetric(float64(bytes)/float64(b.N), "sent-B/s")
}

// heartbeatArrives reports whether a host's heartbeat reaches this one at a tick:
// those of active hosts five times a second, or twice if relayed; those of standby
// hosts once, at two active hosts.
func heartbeatArrives(m *Machine, from core.HostID, i, tick int) bool {
	switch {
	case m.fleet.IsActive(from) && m.fleet.Active():
		return true
	case m.fleet.IsActive(from):
		return tick%20 == 0
	case m.fleet.Active():
		return tick == 0 && i%(fleet.MaxAllActive/2) == 0
	}
	return false
}
