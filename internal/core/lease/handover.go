package lease

import (
	"time"

	"gentiancroft/internal/core"
)

// Resending of what is handed over.
const (
	handAgain = 300 * time.Millisecond
	handTries = 20
)

// hands is what this host gives away.
type hands struct {
	going []*departure
}

// departure is a shard on its way to its next owner.
type departure struct {
	shard   core.Shard
	to      core.HostID
	view    uint64
	custody bool
	given   bool // the node has handed its state over
	state   []byte
	next    core.Instant
	tries   int
}

// depart stops acting on a shard that belongs to another host from a view on.
func (m *Machine) depart(s *shard, view uint64, entitled bool) {
	if s.owner == "" {
		m.shards.changes = append(m.shards.changes, Change{Shard: s.id, Kind: Lost, View: view})
		return
	}
	m.hand.going = append(m.hand.going, &departure{shard: s.id, to: s.owner, view: view, custody: entitled})
	m.shards.changes = append(m.shards.changes, Change{Shard: s.id, Kind: Departing, Host: s.owner, View: view})
}

// HandOver gives the state of a departing shard to its next owner. The caller
// has stopped acting on it, also for what it had begun.
func (m *Machine) HandOver(now core.Instant, id core.Shard, state []byte) Output {
	for _, d := range m.hand.going {
		if d.shard == id && !d.given {
			d.given, d.state, d.next = true, state, now
		}
	}
	return m.finish(now)
}

// Departures is how many shards are not yet with their next owner.
func (m *Machine) Departures() int { return len(m.hand.going) }

// workHands sends and resends what is handed over.
func (m *Machine) workHands(now core.Instant) {
	keep := m.hand.going[:0]
	for _, d := range m.hand.going {
		if d.given && now >= d.next {
			d.tries++
			d.next = now.Add(handAgain)
			if _, in := m.head.find(d.to); !in {
				m.redirect(d)
			}
			m.out.Send(d.to, Message{HandOver: &HandOver{Shard: d.shard, View: d.view, Custody: d.custody, State: d.state}})
		}
		if d.tries < handTries {
			keep = append(keep, d)
		}
	}
	m.hand.going = keep
}

// redirect sends a shard's state to the owner in force where the one it was
// meant for is gone. The right to act does not go with it.
func (m *Machine) redirect(d *departure) {
	if s := m.shards.index[d.shard]; s != nil && s.owner != "" && s.owner != m.Self() {
		d.to, d.view, d.custody = s.owner, m.head.Version, false
	}
}

// received ends the resending.
func (h *hands) received(id core.Shard, view uint64) {
	keep := h.going[:0]
	for _, d := range h.going {
		if d.shard != id || d.view != view {
			keep = append(keep, d)
		}
	}
	h.going = keep
}

// handOverFrom takes a shard. Each is taken once: a repeat is only
// acknowledged, so state is never credited twice.
func (m *Machine) handOverFrom(now core.Instant, from core.HostID, h HandOver) {
	s := m.shards.index[h.Shard]
	if s == nil || m.number == 0 {
		return // the sender tries again
	}
	m.out.Send(from, Message{Received: &Received{Shard: h.Shard, View: h.View}})
	if h.View <= s.handed {
		return
	}
	s.handed = h.View
	m.shards.changes = append(m.shards.changes, Change{Shard: h.Shard, Kind: State, Host: from, View: h.View, State: h.State})
	if h.Custody {
		s.pending = h.View
	}
	m.hint(now, h.View, 0)
	m.claim(s)
}

// claimPending claims what was handed over under views that have come since.
func (m *Machine) claimPending(core.Instant) {
	for _, s := range m.shards.list {
		m.claim(s)
	}
}

// claim turns custody into the right to act, once this host has adopted the
// view that it was given under and has owned the shard in every view since.
func (m *Machine) claim(s *shard) {
	if s.pending == 0 || m.head.Version < s.pending {
		return
	}
	if s.owner == m.Self() && s.since <= s.pending {
		s.custody = true
		m.shards.dirty = true
	}
	s.pending = 0
}
