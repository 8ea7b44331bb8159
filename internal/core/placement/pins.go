package placement

import (
	"slices"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/admission"
)

// pin keeps an adapter from being evicted while one ticket is outstanding.
type pin struct {
	from          core.HostID
	seq           uint64
	adapter       core.AdapterRef
	item          admission.Item
	lastConfirmed core.Instant // last message about the ticket from its entry host
	entryLost     bool         // the entry host left or is unresponsive
}

// addSlot adds an adapter to the upstream. Tickets for it that are still
// outstanding, as after an engine's restart, pin it from the start.
func (o *ownedUpstream) addSlot(s *slot) {
	s.pins = 0
	for _, p := range o.pins {
		if p.adapter == s.adapter {
			s.pins++
		}
	}
	o.slots[s.adapter] = s
}

func (m *Machine) pin(o *ownedUpstream, from core.HostID, req *TicketRequestMessage, it admission.Item) {
	o.pins[req.Request] = &pin{from: from, seq: req.Seq, adapter: req.Adapter, item: it, lastConfirmed: m.now}
	if s := o.slots[req.Adapter]; s != nil {
		s.pins++
	}
}

func (m *Machine) unpin(o *ownedUpstream, id core.RequestID, e TicketEnd) {
	p := o.pins[id]
	delete(o.pins, id)
	if s := o.slots[p.adapter]; s != nil {
		s.pins--
	}
	if e.TokensUsed > 0 || e.NotReached {
		o.queue.CorrectCharge(p.item.Workspace, p.item.ChargedClass, p.item.Cost, e.TokensUsed)
	}
}

func (m *Machine) receiveRelease(from core.HostID, r ReleaseMessage) {
	o := m.owned.byID[r.Upstream]
	if o == nil {
		return
	}
	if q := o.ticketRequests[r.Request]; q != nil && q.Seq <= r.Seq {
		delete(o.ticketRequests, r.Request)
		o.queue.Remove(r.Request)
	}
	p := o.pins[r.Request]
	if p == nil || p.seq > r.Seq || p.from != from {
		return
	}
	m.unpin(o, r.Request, r.End)
	if r.End.AdapterMissing {
		m.markUncertain(o, p.adapter, "the engine did not have it loaded")
	}
	if !r.End.NotReached || r.End.Crashed {
		o.health.RecordRequest(m.now, !r.End.Crashed)
	}
	m.issueTickets(o)
	m.publishIfRoom(o)
	m.publish()
}

// receiveOutstandingList compares an entry host's list of outstanding requests
// with the pins and queued requests that this host has from it.
func (m *Machine) receiveOutstandingList(from core.HostID, list OutstandingMessage) {
	known := make(map[core.RequestID]bool, len(list.Requests))
	for _, o := range m.owned.list {
		m.reconcileOutstanding(o, from, list, known)
	}
	for _, id := range list.Requests {
		if !known[id] {
			m.send(from, Message{TicketReply: &TicketReplyMessage{Request: id, Kind: ReplyUnknownRequest}})
		}
	}
}

func (m *Machine) reconcileOutstanding(o *ownedUpstream, from core.HostID, list OutstandingMessage, known map[core.RequestID]bool) {
	var ended []core.RequestID
	for id, p := range o.pins {
		if p.from != from {
			continue
		}
		known[id] = true
		if p.seq > list.MaxSeq {
			continue
		}
		if _, listed := slices.BinarySearch(list.Requests, id); listed {
			p.lastConfirmed, p.entryLost = m.now, false
			continue
		}
		ended = append(ended, id)
	}
	for id, q := range o.ticketRequests {
		if q.from != from {
			continue
		}
		known[id] = true
		if _, listed := slices.BinarySearch(list.Requests, id); q.Seq <= list.MaxSeq && !listed {
			delete(o.ticketRequests, id)
			o.queue.Remove(id)
		}
	}
	for _, id := range ended {
		m.unpin(o, id, TicketEnd{})
		m.logDecision("pin.settled", "the release of its ticket was lost")
	}
	if len(ended) > 0 {
		m.issueTickets(o)
	}
}

func (o *ownedUpstream) hostLost(h core.HostID) {
	for _, p := range o.pins {
		if p.from == h {
			p.entryLost = true
		}
	}
	for id, q := range o.ticketRequests {
		if q.from == h {
			delete(o.ticketRequests, id)
			o.queue.Remove(id)
		}
	}
}
