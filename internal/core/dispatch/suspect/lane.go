package suspect

import (
	"slices"

	"gentiancroft/internal/core"
)

// lane keeps suspects apart on one upstream: one runs, the others wait in
// order. So a second death names one suspect, not an innocent neighbour too.
type lane struct {
	holder  ApartMessage
	since   core.Instant
	waiting []ApartMessage
}

// keepApart passes an allowed run on to the host that keeps its upstream's
// lane. One that is no suspect may go to the upstreams in use instead.
func (m *Machine) keepApart(now core.Instant, x run, use []core.UpstreamID) {
	host, ok := m.keeper(now, x.upstream)
	if !ok {
		return // the entry host refuses it after its wait
	}
	m.tell(now, x.entry, Message{Verdict: &VerdictMessage{ID: x.id, Waiting: true, Use: use}})
	m.tell(now, host, Message{Apart: &ApartMessage{ID: x.id, Entry: x.entry, Upstream: x.upstream}})
}

// apart lets a suspect run, or queues it.
func (m *Machine) apart(now core.Instant, a ApartMessage) {
	l := m.lanes[a.Upstream]
	if l == nil {
		l = &lane{}
		m.lanes[a.Upstream] = l
		m.laned = append(m.laned, a.Upstream)
	}
	switch {
	case l.holder.ID == "" || l.holder.ID == a.ID:
		m.enter(now, l, a)
	case slices.ContainsFunc(l.waiting, func(w ApartMessage) bool { return w.ID == a.ID }):
	case len(l.waiting) < maxWaiting:
		l.waiting = append(l.waiting, a)
	default:
		m.tell(now, a.Entry, Message{Verdict: &VerdictMessage{ID: a.ID, Struck: 1}})
	}
}

func (m *Machine) enter(now core.Instant, l *lane, a ApartMessage) {
	l.holder, l.since = a, now
	m.tell(now, a.Entry, Message{Verdict: &VerdictMessage{ID: a.ID, Allowed: true, Suspect: true, Struck: 1}})
}

// freed lets the next suspect run.
func (m *Machine) freed(now core.Instant, f FreeMessage) {
	l := m.lanes[f.Upstream]
	if l == nil {
		return
	}
	l.waiting = slices.DeleteFunc(l.waiting, func(w ApartMessage) bool { return w.ID == f.ID })
	if l.holder.ID == f.ID {
		m.next(now, l)
	}
}

func (m *Machine) next(now core.Instant, l *lane) {
	l.holder = ApartMessage{}
	if len(l.waiting) == 0 {
		return
	}
	a := l.waiting[0]
	l.waiting = l.waiting[1:]
	m.enter(now, l, a)
}

// expireLanes moves on from holders that are not heard of again.
func (m *Machine) expireLanes(now core.Instant) {
	m.laned = slices.DeleteFunc(m.laned, func(u core.UpstreamID) bool {
		l := m.lanes[u]
		if l.holder.ID != "" && now.Sub(l.since) >= claimTerm {
			m.next(now, l)
		}
		if l.holder.ID != "" {
			return false
		}
		delete(m.lanes, u)
		return true
	})
}
