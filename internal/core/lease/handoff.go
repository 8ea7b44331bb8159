package lease

import (
	"time"

	"gentiancroft/internal/core"
)

// Resending of a Handoff message until it is acknowledged.
const (
	handoffResendInterval = 300 * time.Millisecond
	maxHandoffSends       = 20
)

// handoffs holds the shards that this host is handing over to other hosts.
type handoffs struct {
	outgoing []*handoff
}

// handoff is one shard on its way to its next owner.
type handoff struct {
	shard         core.Shard
	to            core.HostID
	view          uint64
	senderStopped bool // this host was entitled to act and has stopped
	stateReady    bool // the caller has passed the shard's state to HandOff
	state         []byte
	nextSend      core.Instant
	sends         int
}

// startHandoff ends this host's right to a shard that another host owns from
// view on. entitled says whether this host could act on it until now.
func (m *Machine) startHandoff(s *shard, view uint64, entitled bool) {
	if s.owner == "" {
		m.shards.changes = append(m.shards.changes, RightChange{Shard: s.id, Kind: RightLost, View: view})
		return
	}
	m.handoffs.outgoing = append(m.handoffs.outgoing, &handoff{shard: s.id, to: s.owner, view: view, senderStopped: entitled})
	m.shards.changes = append(m.shards.changes, RightChange{Shard: s.id, Kind: HandoffNeeded, Host: s.owner, View: view})
}

// HandOff sends the state of a departing shard to its next owner. The caller
// must have stopped acting on the shard, including operations that were already
// in progress.
func (m *Machine) HandOff(now core.Instant, id core.Shard, state []byte) Output {
	for _, d := range m.handoffs.outgoing {
		if d.shard == id && !d.stateReady {
			d.stateReady, d.state, d.nextSend = true, state, now
		}
	}
	return m.finish(now)
}

// PendingHandoffs returns the number of shards whose next owner has not yet
// acknowledged them.
func (m *Machine) PendingHandoffs() int { return len(m.handoffs.outgoing) }

// sendHandoffs sends the states of departing shards and resends those that are
// not acknowledged. A handoff is dropped after maxHandoffSends attempts.
func (m *Machine) sendHandoffs(now core.Instant) {
	keep := m.handoffs.outgoing[:0]
	for _, d := range m.handoffs.outgoing {
		if d.stateReady && now >= d.nextSend {
			d.sends++
			d.nextSend = now.Add(handoffResendInterval)
			if _, in := m.head.find(d.to); !in {
				m.redirect(d)
			}
			m.out.Send(d.to, Message{Handoff: &Handoff{Shard: d.shard, View: d.view, SenderStopped: d.senderStopped, State: d.state}})
		}
		if d.sends < maxHandoffSends {
			keep = append(keep, d)
		}
	}
	m.handoffs.outgoing = keep
}

// redirect sends a shard's state to its present owner where the intended one is
// no longer a member. That owner may not act because of this message:
// it waits until its view is the lowest applied one.
func (m *Machine) redirect(h *handoff) {
	if s := m.shards.index[h.shard]; s != nil && s.owner != "" && s.owner != m.Self() {
		h.to, h.view, h.senderStopped = s.owner, m.head.Version, false
	}
}

// acknowledge ends the resending of a handoff.
func (h *handoffs) acknowledge(id core.Shard, view uint64) {
	keep := h.outgoing[:0]
	for _, d := range h.outgoing {
		if d.shard != id || d.view != view {
			keep = append(keep, d)
		}
	}
	h.outgoing = keep
}

// receiveHandoff accepts a shard's state. A repeat is acknowledged but not
// applied, so state is never credited twice.
func (m *Machine) receiveHandoff(now core.Instant, from core.HostID, h Handoff) {
	s := m.shards.index[h.Shard]
	if s == nil || m.number == 0 {
		return // not ready yet: the sender retries
	}
	m.out.Send(from, Message{HandoffAck: &HandoffAck{Shard: h.Shard, View: h.View}})
	if h.View <= s.receivedView {
		return
	}
	s.receivedView = h.View
	m.shards.changes = append(m.shards.changes, RightChange{Shard: h.Shard, Kind: StateReceived, Host: from, View: h.View, State: h.State})
	if h.SenderStopped {
		s.claimView = h.View
	}
	m.noteNewerView(now, h.View, 0)
	m.claim(s)
}

// claimPending claims the shards that were handed over under a view that this
// host has adopted since.
func (m *Machine) claimPending(core.Instant) {
	for _, s := range m.shards.list {
		m.claim(s)
	}
}

// claim lets this host act on a shard whose previous owner has stopped. It
// requires that this host has adopted the view of the handoff and has owned the
// shard in every view since.
func (m *Machine) claim(s *shard) {
	if s.claimView == 0 || m.head.Version < s.claimView {
		return
	}
	if s.owner == m.Self() && s.ownerSince <= s.claimView {
		s.predecessorStopped = true
		m.shards.dirty = true
	}
	s.claimView = 0
}
