package direct

import (
	"fmt"
	"testing"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/residency"
)

// inLargeFleet is a host of a fleet of 6 strong hosts, s0 to s5, and 20 weak ones,
// w0 to w19, that are all heard.
func inLargeFleet(t *testing.T, name string) *host {
	h := newHostAs(t, registered(name))
	for i := range 26 {
		other := fmt.Sprintf("s%d", i)
		if i >= 6 {
			other = fmt.Sprintf("w%d", i-6)
		}
		if other != name {
			h.step(HostListed{Host: registered(other)})
			h.hear(other, Heartbeat{Number: 1})
		}
	}
	h.after(time.Second)
	return h
}

func registered(name string) fleet.Registration {
	capacity := 0.192
	if name[0] == 's' {
		capacity = 0.8
	}
	return fleet.Registration{Name: name, Host: core.HostID(name + "/1"), Domain: "a", Entry: name, Capacity: capacity}
}

func (h *host) hear(from string, b Heartbeat) {
	b.Host, b.Ready = core.HostID(from+"/1"), true
	h.step(FromPeer{From: b.Host, Message: Message{Heartbeats: []Heartbeat{b}}})
}

// later lets time pass in which the strong hosts are heard, and keeps all effects.
func (h *host) later(d time.Duration) {
	const step = 100 * time.Millisecond
	var all []Effect
	defer func() { h.out = all }()
	for end := h.now + d; h.now < end; {
		for i := range 6 {
			h.hear(fmt.Sprintf("s%d", i), Heartbeat{Number: uint64(h.now)})
		}
		h.after(min(step, end-h.now))
		all = append(all, h.out...)
	}
}

// told are the names of the hosts that the last step told something with a property.
func (h *host) told(property func(Message) bool) map[string]bool {
	names := map[string]bool{}
	for _, e := range h.out {
		if p, ok := e.(ToPeers); ok && property(p.Message) {
			for _, r := range p.To {
				names[r.Name] = true
			}
		}
	}
	return names
}

func heartbeatsIn(m Message) bool   { return len(m.Heartbeats) > 0 }
func residenciesIn(m Message) bool  { return len(m.Residencies) > 0 }
func manyHeartbeats(m Message) bool { return len(m.Heartbeats) > 2 }

func TestAnActiveHostTellsTheOthersAndThoseThatStandByAndToldIt(t *testing.T) {
	h := inLargeFleet(t, "s0")
	h.is.True(h.m.fleet.Active())
	h.later(2 * time.Second)
	h.hear("w3", Heartbeat{Number: 2})
	h.later(relayEvery)
	told := h.told(heartbeatsIn)
	for _, name := range []string{"s1", "s2", "s3", "s4", "s5", "w3"} {
		h.is.True(told[name])
	}
	h.is.True(!told["w4"])                  // silent for longer: it has other contacts
	h.is.True(h.told(manyHeartbeats)["w3"]) // of the other active hosts too
}

func TestAHostThatStandsByTellsItsContactsOnceASecond(t *testing.T) {
	h := inLargeFleet(t, "w0")
	h.is.True(!h.m.fleet.Active())
	sent := 0
	for range 100 {
		h.later(20 * time.Millisecond)
		sent += len(h.told(heartbeatsIn))
	}
	h.is.Equal(sent, 2*2) // twice in two seconds, to two hosts
}

// A host that stands by and has served tells its spending; active hosts pass it on.
func TestWorkOfAHostThatStandsByIsPassedOn(t *testing.T) {
	h := inLargeFleet(t, "s0")
	spent := map[uint32]int64{core.Short("w"): 10}
	h.hear("w3", Heartbeat{Number: 2, Spent: spent})
	h.hear("w4", Heartbeat{Number: 2})
	h.later(300 * time.Millisecond)
	news := h.told(func(m Message) bool { return len(m.Heartbeats) == 2 && m.Heartbeats[1].Host == "w3/1" })
	h.is.True(news["s1"])
	h.hear("w3", Heartbeat{Number: 3, Spent: spent})
	h.later(300 * time.Millisecond)
	h.is.Equal(len(h.told(func(m Message) bool { return len(m.Heartbeats) == 2 })), 0) // nothing new
}

// Residency goes to active hosts; a host that stands by is told what it asks for.
func TestAHostThatStandsByIsToldResidencyWhenItAsks(t *testing.T) {
	h := inLargeFleet(t, "s0")
	h.lease("s0")
	h.after(20 * time.Millisecond) // the lease of an earlier process: written anew
	for _, e := range h.out {
		if o, ok := e.(Object); ok {
			h.step(ObjectDone{Result: core.ObjectResult{Tag: o.Call.Tag, Status: core.ObjectOK, Object: core.Object{Version: 2}}})
		}
	}
	h.after(20 * time.Millisecond) // the replicas are asked for their reports
	x := core.AdapterRef{ID: "x", Version: 1}
	h.step(Reported{Report: residency.Report{
		Replica: "e1",
		OK:      true,
		Started: 1,
		Models:  []replicas.Model{{Name: model, Version: 1, Adapters: []core.AdapterRef{x}}},
	}})
	h.hear("w3", Heartbeat{Number: 2})
	h.later(residencyEvery)
	h.is.True(h.told(residenciesIn)["s1"])
	h.is.True(!h.told(residenciesIn)["w3"])
	demand := residency.Demand{Replica: "e1", Model: model, Adapter: x}
	h.step(FromPeer{From: "w3/1", Message: Message{Demands: []residency.Demand{demand}}})
	h.is.True(h.told(residenciesIn)["w3"])
}

// The pattern of a deployment's first start: as long as a host has found a few others
// alone, they look like a small fleet, and each would open links to all.
func TestNobodySpeaksBeforeANewDeploymentHasMet(t *testing.T) {
	h := newHostAs(t, registered("w0"))
	h.m = New(Settings{Self: registered("w0"), FirstStart: true})
	h.now = 0
	for i := range 5 {
		h.step(HostListed{Host: registered(fmt.Sprintf("w%d", i+1))})
		h.after(20 * time.Millisecond)
		h.is.Equal(len(h.told(heartbeatsIn)), 0)
	}
	for i := range 20 {
		h.step(HostListed{Host: registered(fmt.Sprintf("s%d", i))})
	}
	h.after(meetTime)
	h.is.Equal(len(h.told(heartbeatsIn)), 2) // its contacts
}

func TestMoreRequestsMakeMoreHostsActive(t *testing.T) {
	h := inLargeFleet(t, "w0")
	for i := range 6 {
		h.hear(fmt.Sprintf("s%d", i), Heartbeat{Number: 9, Rate: 200}) // 1,200 a second: as much as six strong hosts carry
	}
	h.after(selectEvery)
	h.is.True(!h.m.fleet.Active())
	for i := range 6 {
		h.hear(fmt.Sprintf("s%d", i), Heartbeat{Number: 10, Rate: 300})
	}
	h.after(selectEvery)
	h.is.True(h.m.fleet.Active())
}

// A retry of one host is a retry of the fleet: the parts add up to what is allowed.
func TestPartsOfTheRetriesAddUp(t *testing.T) {
	total := 0.0
	for i := range 26 {
		name := fmt.Sprintf("s%d", i)
		if i >= 6 {
			name = fmt.Sprintf("w%d", i-6)
		}
		total += inLargeFleet(t, name).m.retryPart()
	}
	newHost(t).is.True(total <= 1 && total > 0.9)
}
