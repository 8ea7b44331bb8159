package placement

import (
	"maps"
	"slices"

	"gentiancroft/internal/core"
)

// suspectDecision is the decision name for a change of an upstream's health, by
// whether it is now suspect.
var suspectDecision = map[bool]string{true: "upstream.suspect", false: "upstream.cleared"}

// applyReport applies an upstream's report. Reports lag: an entry proves a
// state only if the poll was sent a maximum report lag after that state could
// have changed.
func (m *Machine) applyReport(r core.UpstreamReport) {
	o := m.owned.byID[r.Upstream]
	if o == nil || r.Sent.Before(o.ownedSince) {
		return
	}
	if !o.reported && r.Sent <= o.ownedSince.Add(m.settings.MaxOrderDelay) {
		return // an order of a former owner may still arrive
	}
	before := o.health.Ejected()
	o.health.RecordPoll(m.now, r.OK)
	if before != o.health.Ejected() {
		o.publishNow = true
		m.logDecision(suspectDecision[o.health.Ejected()], string(o.id))
	}
	if !r.OK {
		m.publish()
		m.rejectIfEjected(o)
		return
	}
	if x := m.view.upstreams[o.id]; x != nil && x.Leaving != r.Leaving {
		x.Leaving, o.publishNow = r.Leaving, true
	}
	m.checkRestart(o, r)
	o.reported, o.reportedRunning = true, r.Running
	running := make(map[core.AdapterRef]int, len(r.Adapters))
	for _, a := range r.Adapters {
		running[a.Adapter] = a.Running
		m.applyListed(o, r, a.Adapter)
	}
	for _, a := range slices.SortedFunc(maps.Keys(o.slots), compareRefs) {
		if _, ok := running[a]; !ok {
			m.applyUnlisted(o, r, o.slots[a])
		}
	}
	m.reconcile(o, r, running)
	m.clearLostPins(o, r, running)
	m.rejectAbsent(o)
	m.issueTickets(o)
	m.publish()
}

// checkRestart drops everything loaded on a former incarnation. Invariant: an
// engine that restarted empty is never taken to have an adapter loaded.
func (m *Machine) checkRestart(o *ownedUpstream, r core.UpstreamReport) {
	former := o.incarnation
	o.incarnation = r.Incarnation
	if former == "" || former == r.Incarnation {
		return
	}
	m.logDecision("upstream.restarted", string(o.id))
	o.health.StartSlowStart(m.now)
	for a, s := range o.slots {
		if s.state == resident || s.state == uncertain {
			delete(o.slots, a)
		}
	}
	o.publishNow = true
}

// applyListed applies a report's entry for a loaded adapter.
func (m *Machine) applyListed(o *ownedUpstream, r core.UpstreamReport, a core.AdapterRef) {
	if at, ok := o.removedAt[a]; ok {
		if r.Sent.Before(at.Add(m.settings.MaxReportLag)) {
			return
		}
		delete(o.removedAt, a)
	}
	s := o.slots[a]
	switch {
	case s == nil:
		s = &slot{adapter: a, lastRequest: m.now, score: m.publishedScore(o.id, a)}
		s.setState(resident, m.now)
		o.addSlot(s)
		o.publishNow = true
	case s.state == uncertain && r.Sent > s.stateSince.Add(m.settings.MaxOrderDelay+m.settings.MaxReportLag):
		s.setState(resident, m.now)
		o.publishNow = true
	}
}

// applyUnlisted applies an adapter's absence from a report.
func (m *Machine) applyUnlisted(o *ownedUpstream, r core.UpstreamReport, s *slot) {
	settled := s.stateSince.Add(m.settings.MaxReportLag)
	if s.state == uncertain {
		settled = settled.Add(m.settings.MaxOrderDelay)
	}
	if r.Sent.Before(settled) || (s.state != resident && s.state != uncertain) {
		return
	}
	if s.state == uncertain && slices.Contains(r.Loading, s.adapter) {
		return
	}
	delete(o.slots, s.adapter)
	o.publishNow = true
	m.logDecision("adapter.lost", s.adapter.String()+" on "+string(o.id))
}

func (m *Machine) publishedScore(u core.UpstreamID, a core.AdapterRef) float64 {
	x := m.view.upstreams[u]
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

// reconcile ends the time in which tickets of former owners may be unknown.
// What then runs beyond the known pins belongs to former owners' tickets, until
// a report shows that it has ended.
func (m *Machine) reconcile(o *ownedUpstream, r core.UpstreamReport, running map[core.AdapterRef]int) {
	if o.reconciled {
		for a, s := range o.slots {
			s.formerOwnerRequests = min(s.formerOwnerRequests, running[a])
		}
		return
	}
	guard := o.ownedSince.Add(m.settings.evictionGuard() + m.settings.MaxReportLag)
	if _, acting := m.ownership.Acting(m.now, o.shard); !acting || r.Sent.Before(guard) {
		return
	}
	o.reconciled, o.publishNow = true, true
	for a, s := range o.slots {
		s.formerOwnerRequests = max(running[a]-s.pins, 0)
	}
}

// clearLostPins drops pins of lost entry hosts once the ticket has expired and
// a later report shows nothing running on the adapter. Invariant: no adapter
// stays pinned for ever (Settings.StuckBound).
func (m *Machine) clearLostPins(o *ownedUpstream, r core.UpstreamReport, running map[core.AdapterRef]int) {
	grace := m.settings.evictionGuard() + m.settings.MaxReportLag
	for id, p := range o.pins {
		if !p.entryLost || r.Sent.Before(p.lastConfirmed.Add(grace)) || running[p.adapter] > 0 {
			continue
		}
		m.unpin(o, id, TicketEnd{})
		m.logDecision("pin.cleared", "its entry host is lost and its adapter idle")
	}
}

// rejectIfEjected rejects the requests that wait for an upstream ejected for
// its health.
func (m *Machine) rejectIfEjected(o *ownedUpstream) {
	if x := m.view.upstreams[o.id]; x == nil || !m.view.ejected(x) {
		return
	}
	m.rejectWaiting(o)
}

// rejectWaiting rejects all requests that wait for an upstream; their entry
// hosts place them elsewhere.
func (m *Machine) rejectWaiting(o *ownedUpstream) {
	for _, id := range slices.Sorted(maps.Keys(o.ticketRequests)) {
		o.queue.Remove(id)
		m.replyQueued(o, id, ReplyLeaving)
	}
}

// rejectAbsent rejects the requests that wait for adapters neither loaded nor
// loading.
func (m *Machine) rejectAbsent(o *ownedUpstream) {
	for _, id := range slices.Sorted(maps.Keys(o.ticketRequests)) {
		if !m.residentOrLoading(o, o.ticketRequests[id].Adapter) {
			o.queue.Remove(id)
			m.replyQueued(o, id, ReplyNotLoaded)
		}
	}
}
