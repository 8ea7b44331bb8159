package suspect

import (
	"slices"

	"gentiancroft/internal/core"
)

// isolationSlot isolates suspects on one upstream: one runs, the others wait in
// order of arrival. So a second crash identifies one suspect and never a request
// that merely ran beside it.
type isolationSlot struct {
	running   IsolateMessage
	renewedAt core.Instant
	waiting   []IsolateMessage
}

// isolate sends an allowed run to the isolation host of its upstream. One that is
// not a suspect may go to the upstreams in use instead.
func (m *Machine) isolate(now core.Instant, x run, use []core.UpstreamID) {
	host, ok := m.isolationHost(now, x.upstream)
	if !ok {
		return // the entry host refuses it after its wait
	}
	m.send(now, x.entry, Message{Verdict: &VerdictMessage{ID: x.id, Waiting: true, Alternatives: use}})
	m.send(now, host, Message{Isolate: &IsolateMessage{ID: x.id, Entry: x.entry, Upstream: x.upstream}})
}

// handleIsolate grants the slot of an upstream to a suspect, or queues it. A
// repeated message from the running one renews it.
func (m *Machine) handleIsolate(now core.Instant, msg IsolateMessage) {
	slot := m.slots[msg.Upstream]
	if slot == nil {
		slot = &isolationSlot{}
		m.slots[msg.Upstream] = slot
		m.slotOrder = append(m.slotOrder, msg.Upstream)
	}
	switch {
	case slot.running.ID == "" || slot.running.ID == msg.ID:
		m.grantSlot(now, slot, msg)
	case slices.ContainsFunc(slot.waiting, func(w IsolateMessage) bool { return w.ID == msg.ID }):
	case len(slot.waiting) < maxQueuedPerSlot:
		slot.waiting = append(slot.waiting, msg)
	default:
		m.send(now, msg.Entry, Message{Verdict: &VerdictMessage{ID: msg.ID, CrashCount: 1}})
	}
}

func (m *Machine) grantSlot(now core.Instant, slot *isolationSlot, msg IsolateMessage) {
	slot.running, slot.renewedAt = msg, now
	m.send(now, msg.Entry, Message{Verdict: &VerdictMessage{ID: msg.ID, Allowed: true, Isolated: true, CrashCount: 1}})
}

// handleFree ends a suspect's run or wait; the next one gets the slot.
func (m *Machine) handleFree(now core.Instant, f FreeSlotMessage) {
	slot := m.slots[f.Upstream]
	if slot == nil {
		return
	}
	slot.waiting = slices.DeleteFunc(slot.waiting, func(w IsolateMessage) bool { return w.ID == f.ID })
	if slot.running.ID == f.ID {
		m.grantNext(now, slot)
	}
}

func (m *Machine) grantNext(now core.Instant, slot *isolationSlot) {
	slot.running = IsolateMessage{}
	if len(slot.waiting) == 0 {
		return
	}
	a := slot.waiting[0]
	slot.waiting = slot.waiting[1:]
	m.grantSlot(now, slot, a)
}

// expireSlots frees slots whose running suspect was not renewed in time.
func (m *Machine) expireSlots(now core.Instant) {
	m.slotOrder = slices.DeleteFunc(m.slotOrder, func(u core.UpstreamID) bool {
		slot := m.slots[u]
		if slot.running.ID != "" && now.Sub(slot.renewedAt) >= claimTTL {
			m.grantNext(now, slot)
		}
		if slot.running.ID != "" {
			return false
		}
		delete(m.slots, u)
		return true
	})
}
