package relaynode

import (
	"testing"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/intake"
)

// Guards against a host that starts and sends limited replicas requests without permits: limits were told as
// they changed, to the hosts that ran then.
func TestStartingHostIsToldTheLimitsOfReplicas(t *testing.T) {
	h := newHost(t)
	h.step(LeasesListed{})
	h.nameLimit("s1", 2)
	h.advance(time.Second)
	h.is.True(h.m.isWatcher())
	registration := fleet.Registration{Name: "b", Host: "b/2", Domain: "a"}
	h.step(HostListed{Host: registration})
	told := Message{}
	for _, effect := range h.out {
		if p, ok := effect.(SendToPeers); ok && len(p.Message.Limits) > 0 {
			h.is.Equal(p.To[0].Host, core.HostID("b/2"))
			told = p.Message
		}
	}
	h.is.Equal(len(told.Limits), 1)
	h.step(HostListed{Host: registration}) // nothing new
	for _, effect := range h.out {
		p, ok := effect.(SendToPeers)
		h.is.True(!ok || len(p.Message.Limits) == 0)
	}

	started := &host{is: h.is, m: New(Settings{Self: registration}), now: 100 * time.Millisecond}
	started.step(MessageReceived{From: "a/1", Message: told})
	started.advance(100 * time.Millisecond) // before it has read the list of replicas
	other := newHostAs(t, registration)
	started.m.replicas, started.m.replicasRead = other.m.replicas, true
	started.advance(100 * time.Millisecond)
	rate, limited := started.m.limits.known.RateAt(core.Instant(started.now), intake.KeyOf("s1", 1))
	h.is.True(limited)
	h.is.Equal(rate, 2.0)
}
