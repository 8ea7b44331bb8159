package relaynode

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/residency"
	"gentiancroft/internal/core/shard"
)

// newHostInLargeFleet returns a host of a fleet of 6 hosts of 0.8 cores, s0 to s5, and
// 20 of 0.192 cores, w0 to w19, that are all reachable.
func newHostInLargeFleet(t *testing.T, name string) *host {
	h := newHostAs(t, registered(name))
	for i := range 26 {
		other := fmt.Sprintf("s%d", i)
		if i >= 6 {
			other = fmt.Sprintf("w%d", i-6)
		}
		if other != name {
			h.step(HostListed{Host: registered(other)})
			h.deliverHeartbeat(other, Heartbeat{Number: 1})
		}
	}
	h.advance(time.Second)
	return h
}

func registered(name string) fleet.Registration {
	capacity := 0.192
	if name[0] == 's' {
		capacity = 0.8
	}
	return fleet.Registration{Name: name, Host: core.HostID(name + "/1"), Domain: "a", Entry: name, Capacity: capacity}
}

func (h *host) deliverHeartbeat(from string, b Heartbeat) {
	b.Host, b.Ready = core.HostID(from+"/1"), true
	h.step(MessageReceived{From: b.Host, Message: Message{Heartbeats: []Heartbeat{b}}})
}

// advanceFleet advances the time, with heartbeats from the hosts of 0.8 cores, and
// collects all effects.
func (h *host) advanceFleet(d time.Duration) {
	const step = 100 * time.Millisecond
	var all []Effect
	defer func() { h.out = all }()
	for end := h.now + d; h.now < end; {
		for i := range 6 {
			h.deliverHeartbeat(fmt.Sprintf("s%d", i), Heartbeat{Number: uint64(h.now)})
		}
		h.advance(min(step, end-h.now))
		all = append(all, h.out...)
	}
}

// recipients returns the names of the hosts that the last step sent a message with a
// property to.
func (h *host) recipients(property func(Message) bool) map[string]bool {
	names := map[string]bool{}
	for _, e := range h.out {
		if p, ok := e.(SendToPeers); ok && property(p.Message) {
			for _, r := range p.To {
				names[r.Name] = true
			}
		}
	}
	return names
}

func hasHeartbeats(m Message) bool     { return len(m.Heartbeats) > 0 }
func hasResidencies(m Message) bool    { return len(m.Residencies) > 0 }
func hasManyHeartbeats(m Message) bool { return len(m.Heartbeats) > 2 }

func TestActiveHostSendsHeartbeatsToActiveHostsAndItsStandbyHosts(t *testing.T) {
	h := newHostInLargeFleet(t, "s0")
	h.is.True(h.m.fleet.Active())
	h.advanceFleet(2 * time.Second)
	h.deliverHeartbeat("w3", Heartbeat{Number: 2})
	h.advanceFleet(relayInterval)
	to := h.recipients(hasHeartbeats)
	for _, name := range []string{"s1", "s2", "s3", "s4", "s5", "w3"} {
		h.is.True(to[name])
	}
	h.is.True(!to["w4"])                             // no heartbeat for longer: it has other contacts
	h.is.True(h.recipients(hasManyHeartbeats)["w3"]) // those of the other active hosts too
}

func TestStandbyHostSendsHeartbeatsToItsContactsOncePerSecond(t *testing.T) {
	h := newHostInLargeFleet(t, "w0")
	h.is.True(!h.m.fleet.Active())
	sent := 0
	for range 100 {
		h.advanceFleet(20 * time.Millisecond)
		sent += len(h.recipients(hasHeartbeats))
	}
	h.is.Equal(sent, 2*2) // twice in two seconds, to two hosts
}

// A standby host that has served requests reports its spending; active hosts relay
// it.
func TestSpendingOfAStandbyHostIsRelayed(t *testing.T) {
	h := newHostInLargeFleet(t, "s0")
	spent := map[uint32]int64{core.ShortHash("w"): 10}
	h.deliverHeartbeat("w3", Heartbeat{Number: 2, Spent: spent})
	h.deliverHeartbeat("w4", Heartbeat{Number: 2})
	h.advanceFleet(300 * time.Millisecond)
	to := h.recipients(func(m Message) bool { return len(m.Heartbeats) == 2 && m.Heartbeats[1].Host == "w3/1" })
	h.is.True(to["s1"])
	h.deliverHeartbeat("w3", Heartbeat{Number: 3, Spent: spent})
	h.advanceFleet(300 * time.Millisecond)
	h.is.Equal(len(h.recipients(func(m Message) bool { return len(m.Heartbeats) == 2 })), 0) // no change
}

// Residency goes to active hosts; a standby host receives that of a replica on
// demand.
func TestStandbyHostReceivesResidencyOnDemand(t *testing.T) {
	h := newHostInLargeFleet(t, "s0")
	h.lease("s0")
	h.advance(20 * time.Millisecond) // the lease of an earlier process: written anew
	h.acceptWrites()
	h.advance(20 * time.Millisecond) // probes for the replicas' reports
	x := core.AdapterRef{ID: "x", Version: 1}
	h.step(ReportReceived{Report: residency.Report{
		Replica: "e1",
		OK:      true,
		Started: 1,
		Models:  []replicas.Model{{Name: model, Version: 1, Adapters: []core.AdapterRef{x}}},
	}})
	h.deliverHeartbeat("w3", Heartbeat{Number: 2})
	h.advanceFleet(residencyInterval)
	h.is.True(h.recipients(hasResidencies)["s1"])
	h.is.True(!h.recipients(hasResidencies)["w3"])
	demand := residency.Demand{Replica: "e1", Model: model, Adapter: x}
	h.step(MessageReceived{From: "w3/1", Message: Message{Demands: []residency.Demand{demand}}})
	h.is.True(h.recipients(hasResidencies)["w3"])
}

// At the first start of a deployment, a host that has found only a few others would
// count a small fleet, in which every host opens links to all others.
func TestNoHeartbeatsDuringDiscoveryOfANewDeployment(t *testing.T) {
	h := newHostAs(t, registered("w0"))
	h.m = New(Settings{Self: registered("w0"), FirstStart: true})
	h.now = 0
	for i := range 5 {
		h.step(HostListed{Host: registered(fmt.Sprintf("w%d", i+1))})
		h.advance(20 * time.Millisecond)
		h.is.Equal(len(h.recipients(hasHeartbeats)), 0)
	}
	for i := range 20 {
		h.step(HostListed{Host: registered(fmt.Sprintf("s%d", i))})
	}
	h.advance(discoveryTime)
	h.is.Equal(len(h.recipients(hasHeartbeats)), 2) // its contacts
}

func TestMoreRequestsMakeMoreHostsActive(t *testing.T) {
	h := newHostInLargeFleet(t, "w0")
	for i := range 6 {
		h.deliverHeartbeat(fmt.Sprintf("s%d", i), Heartbeat{Number: 9, RequestRate: 200}) // 1,200 a second: as much as six hosts of 0.8 cores carry
	}
	h.advance(selectInterval)
	h.is.True(!h.m.fleet.Active())
	for i := range 6 {
		h.deliverHeartbeat(fmt.Sprintf("s%d", i), Heartbeat{Number: 10, RequestRate: 300})
	}
	h.advance(selectInterval)
	h.is.True(h.m.fleet.Active())
}

// The retries of all hosts together must not exceed those that the fleet is allowed.
func TestRetryFractionsAddUp(t *testing.T) {
	total := 0.0
	for i := range 26 {
		name := fmt.Sprintf("s%d", i)
		if i >= 6 {
			name = fmt.Sprintf("w%d", i-6)
		}
		total += newHostInLargeFleet(t, name).m.retryFraction()
	}
	newHost(t).is.True(total <= 1 && total > 0.9)
}

// A large deployment starts: before the hosts have heard from each other, every one tried to
// create every lease, four writes a host.
func TestOnlySelectedHostsCreateLeasesWhileADeploymentStarts(t *testing.T) {
	writers := 0
	for _, name := range []string{"s0", "s1", "s2", "s3", "s4", "s5", "w0", "w1", "w19"} {
		h := &host{is: is.New(t), m: New(Settings{Self: registered(name), FirstStart: true})}
		h.step(StoreAnswered{})
		for _, peer := range []string{"s0", "s1", "s2", "s3", "s4", "s5"} {
			h.step(HostListed{Host: registered(peer)})
		}
		for i := range 20 {
			h.step(HostListed{Host: registered("w" + strconv.Itoa(i))})
		}
		h.step(LeasesListed{})
		created := false
		for h.now < 2*time.Second {
			h.advance(100 * time.Millisecond)
			for _, e := range h.out {
				w, ok := e.(WriteObject)
				created = created || ok && w.Call.Key == shard.Prefix+"0"
			}
		}
		if created {
			writers++
			h.is.True(name[0] == 's')
		}
	}
	is.New(t).True(writers >= 1 && writers <= 2) // the first, and the second after a delay
}
