package placement

import (
	"slices"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/admission"
)

// pin keeps an adapter on its upstream for one ticket.
type pin struct {
	from    core.HostID
	seq     uint64
	adapter core.AdapterRef
	item    admission.Item
	heard   core.Instant // last word of its holder
	lost    bool         // the holder is gone or silent
}

// add puts an adapter on the upstream. Tickets that outlived its former stay
// there, as over an engine's restart, pin it from the start.
func (o *owned) add(s *slot) {
	s.pins = 0
	for _, p := range o.pins {
		if p.adapter == s.adapter {
			s.pins++
		}
	}
	o.slots[s.adapter] = s
}

func (m *Machine) pin(o *owned, from core.HostID, a *AskMessage, it admission.Item) {
	o.pins[a.Request] = &pin{from: from, seq: a.Seq, adapter: a.Adapter, item: it, heard: m.now}
	if s := o.slots[a.Adapter]; s != nil {
		s.pins++
	}
}

func (m *Machine) unpin(o *owned, id core.RequestID, e End) {
	p := o.pins[id]
	delete(o.pins, id)
	if s := o.slots[p.adapter]; s != nil {
		s.pins--
	}
	if e.Used > 0 || e.NotReached {
		o.queue.Settle(p.item.Workspace, p.item.Charged, p.item.Cost, e.Used)
	}
}

func (m *Machine) released(from core.HostID, r ReleaseMessage) {
	o := m.owned.byID[r.Upstream]
	if o == nil {
		return
	}
	if q := o.asks[r.Request]; q != nil && q.Seq <= r.Seq {
		delete(o.asks, r.Request)
		o.queue.Remove(r.Request)
	}
	p := o.pins[r.Request]
	if p == nil || p.seq > r.Seq || p.from != from {
		return
	}
	m.unpin(o, r.Request, r.End)
	if r.End.Missing {
		m.doubt(o, p.adapter, "an engine did not hold it")
	}
	if !r.End.NotReached || r.End.Crashed {
		o.health.Served(m.now, !r.End.Crashed)
	}
	m.pump(o)
	m.nowRoom(o)
	m.flush()
}

// held compares an entry host's account with what this host has from it.
func (m *Machine) held(from core.HostID, h HoldMessage) {
	known := make(map[core.RequestID]bool, len(h.Requests))
	for _, o := range m.owned.list {
		m.heldAt(o, from, h, known)
	}
	for _, id := range h.Requests {
		if !known[id] {
			m.send(from, Message{Answer: &AnswerMessage{Request: id, Kind: AnswerUnknown}})
		}
	}
}

func (m *Machine) heldAt(o *owned, from core.HostID, h HoldMessage, known map[core.RequestID]bool) {
	var over []core.RequestID
	for id, p := range o.pins {
		if p.from != from {
			continue
		}
		known[id] = true
		if p.seq > h.Upto {
			continue
		}
		if _, listed := slices.BinarySearch(h.Requests, id); listed {
			p.heard, p.lost = m.now, false
			continue
		}
		over = append(over, id)
	}
	for id, q := range o.asks {
		if q.from != from {
			continue
		}
		known[id] = true
		if _, listed := slices.BinarySearch(h.Requests, id); q.Seq <= h.Upto && !listed {
			delete(o.asks, id)
			o.queue.Remove(id)
		}
	}
	for _, id := range over {
		m.unpin(o, id, End{})
		m.note("pin.settled", "its release was lost")
	}
	if len(over) > 0 {
		m.pump(o)
	}
}

func (o *owned) hostLost(h core.HostID) {
	for _, p := range o.pins {
		if p.from == h {
			p.lost = true
		}
	}
	for id, q := range o.asks {
		if q.from == h {
			delete(o.asks, id)
			o.queue.Remove(id)
		}
	}
}
