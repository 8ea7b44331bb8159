package placement

import (
	"maps"
	"slices"

	"gentiancroft/internal/core"
)

// suspicion names a change of an upstream's health.
var suspicion = map[bool]string{true: "upstream.suspect", false: "upstream.cleared"}

// report takes an upstream's own account. It lags: a line of it proves a state
// only where the poll was sent ReportLag after that state could have changed.
func (m *Machine) report(r core.UpstreamReport) {
	o := m.owned.byID[r.Upstream]
	if o == nil || r.Sent.Before(o.since) {
		return
	}
	if !o.reported && r.Sent <= o.since.Add(m.settings.OrderLinger) {
		return // an order of a former owner may still arrive
	}
	before := o.health.Suspect()
	o.health.Polled(m.now, r.OK)
	if before != o.health.Suspect() {
		o.dirty = true
		m.note(suspicion[o.health.Suspect()], string(o.id))
	}
	if !r.OK {
		m.flush()
		m.bounceEjected(o)
		return
	}
	if x := m.view.seen[o.id]; x != nil && x.Leaving != r.Leaving {
		x.Leaving, o.dirty = r.Leaving, true
	}
	m.restarted(o, r)
	o.reported, o.running = true, r.Running
	running := make(map[core.AdapterRef]int, len(r.Adapters))
	for _, a := range r.Adapters {
		running[a.Adapter] = a.Running
		m.listed(o, r, a.Adapter)
	}
	for _, a := range slices.SortedFunc(maps.Keys(o.slots), compareRefs) {
		if _, ok := running[a]; !ok {
			m.unlisted(o, r, o.slots[a])
		}
	}
	m.settle(o, r, running)
	m.clearLost(o, r, running)
	m.bounceAbsent(o)
	m.pump(o)
	m.flush()
}

// restarted drops everything that a former incarnation held. Keeps: an engine
// that came back empty is never taken to hold an adapter.
func (m *Machine) restarted(o *owned, r core.UpstreamReport) {
	former := o.incarnation
	o.incarnation = r.Incarnation
	if former == "" || former == r.Incarnation {
		return
	}
	m.note("upstream.restarted", string(o.id))
	o.health.Restarted(m.now)
	for a, s := range o.slots {
		if s.state == resident || s.state == doubtful {
			delete(o.slots, a)
		}
	}
	o.dirty = true
}

// listed takes a line about an adapter that the upstream holds.
func (m *Machine) listed(o *owned, r core.UpstreamReport, a core.AdapterRef) {
	if at, ok := o.gone[a]; ok {
		if r.Sent.Before(at.Add(m.settings.ReportLag)) {
			return
		}
		delete(o.gone, a)
	}
	s := o.slots[a]
	switch {
	case s == nil:
		s = &slot{adapter: a, touched: m.now, score: m.rememberedScore(o.id, a)}
		s.become(resident, m.now)
		o.add(s)
		o.dirty = true
	case s.state == doubtful && r.Sent > s.since.Add(m.settings.OrderLinger+m.settings.ReportLag):
		s.become(resident, m.now)
		o.dirty = true
	}
}

// unlisted takes an adapter's absence from a report.
func (m *Machine) unlisted(o *owned, r core.UpstreamReport, s *slot) {
	settled := s.since.Add(m.settings.ReportLag)
	if s.state == doubtful {
		settled = settled.Add(m.settings.OrderLinger)
	}
	if r.Sent.Before(settled) || (s.state != resident && s.state != doubtful) {
		return
	}
	if s.state == doubtful && slices.Contains(r.Loading, s.adapter) {
		return
	}
	delete(o.slots, s.adapter)
	o.dirty = true
	m.note("adapter.lost", s.adapter.String()+" on "+string(o.id))
}

func (m *Machine) rememberedScore(u core.UpstreamID, a core.AdapterRef) float64 {
	x := m.view.seen[u]
	if x == nil {
		return 0
	}
	for _, p := range x.Adapters {
		if p.Adapter == a {
			return p.Score
		}
	}
	return 0
}

// settle ends the time in which tickets of former owners may be unknown. What
// then runs beyond the known pins is theirs, until a report shows it ended.
func (m *Machine) settle(o *owned, r core.UpstreamReport, running map[core.AdapterRef]int) {
	if o.settled {
		for a, s := range o.slots {
			s.foreign = min(s.foreign, running[a])
		}
		return
	}
	guard := o.since.Add(m.settings.evictionGuard() + m.settings.ReportLag)
	if _, acting := m.own.Acting(m.now, o.shard); !acting || r.Sent.Before(guard) {
		return
	}
	o.settled, o.dirty = true, true
	for a, s := range o.slots {
		s.foreign = max(running[a]-s.pins, 0)
	}
}

// clearLost drops pins whose holder is gone: the ticket has ended, and a
// report of after that shows nothing running on the adapter. Keeps: no adapter
// is stuck for ever (Settings.StuckBound).
func (m *Machine) clearLost(o *owned, r core.UpstreamReport, running map[core.AdapterRef]int) {
	grace := m.settings.evictionGuard() + m.settings.ReportLag
	for id, p := range o.pins {
		if !p.lost || r.Sent.Before(p.heard.Add(grace)) || running[p.adapter] > 0 {
			continue
		}
		m.unpin(o, id, End{})
		m.note("pin.cleared", "its holder is gone and its adapter idle")
	}
}

// bounceEjected turns away what waits for an upstream that is left out.
func (m *Machine) bounceEjected(o *owned) {
	if x := m.view.seen[o.id]; x == nil || !m.view.ejected(x) {
		return
	}
	m.turnAway(o)
}

// turnAway sends what waits for an upstream elsewhere.
func (m *Machine) turnAway(o *owned) {
	for _, id := range slices.Sorted(maps.Keys(o.asks)) {
		o.queue.Remove(id)
		m.answerQueued(o, id, AnswerLeaving)
	}
}

// bounceAbsent turns away what waits for adapters that are not here.
func (m *Machine) bounceAbsent(o *owned) {
	for _, id := range slices.Sorted(maps.Keys(o.asks)) {
		if !m.comes(o, o.asks[id].Adapter) {
			o.queue.Remove(id)
			m.answerQueued(o, id, AnswerNotResident)
		}
	}
}
