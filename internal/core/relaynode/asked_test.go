package relaynode

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/table"
)

// ask sends a request of workspace w.
func (h *host) ask(tokens core.Tokens) {
	h.arrive(RequestArrived{Path: "/keyed/x", HasKey: true, Key: table.HashKey([]byte("key")), Tokens: tokens})
}

// Guards against heartbeats without what the host was asked for, refused requests included.
func TestHeartbeatsCarryWhatAHostWasAskedFor(t *testing.T) {
	h := newHost(t)
	h.step(HostListed{Host: fleet.Registration{Name: "b", Host: "b/1", Domain: "a"}})
	h.ask(150)
	h.ask(70)
	h.is.Equal(h.refusal().Code, core.CodeRateLimited)
	h.advance(time.Second)
	var own Heartbeat
	for _, e := range h.out {
		if sent, ok := e.(SendToPeers); ok && len(sent.Message.Heartbeats) > 0 {
			own = sent.Message.Heartbeats[0]
		}
	}
	short := core.ShortHash("w")
	h.is.Equal(own.Asked, map[uint32]int64{short: 220})
	h.is.Equal(own.Spent, map[uint32]int64{short: 150})
}

// Guards against a host of a former build, which sends nothing of the kind, whose demand counts as
// none, so that this host takes the whole rate.
func TestSpendingCountsAsAskedForByAFormerBuild(t *testing.T) {
	short := core.ShortHash("w")
	for name, b := range map[string]Heartbeat{
		"former": {Spent: map[uint32]int64{short: 300}},
		"this":   {Spent: map[uint32]int64{short: 1}, Asked: map[uint32]int64{short: 300}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHost(t)
			h.step(HostListed{Host: fleet.Registration{Name: "b", Host: "b/1", Domain: "a"}})
			h.ask(100)
			b.Host, b.Number, b.Ready, b.Uptime = "b/1", 1, true, 500*time.Millisecond
			h.step(MessageReceived{From: "b/1", Message: Message{Heartbeats: []Heartbeat{b}}})
			h.advance(300 * time.Millisecond)
			h.ask(1) // folds the own demand
			_, share, _ := h.m.quota.Pace(core.Instant(h.now), "w")
			is.True(share > 0.2 && share < 0.35)
		})
	}
}
