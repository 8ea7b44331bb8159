package relaynode

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/evacuation"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/table"
)

// The operator evacuates a failure domain by an object in the store: no request and no load order
// goes to its replicas any more. The hosts that watch the store send the evacuations to the others,
// in a message for each change and in their heartbeats. A host that gets none of them reads the
// store itself, as hosts of the previous build don't watch these objects.

const (
	// evacuationStateTimeout is how long a host may have had no evacuations from a watcher until it
	// reads them itself.
	evacuationStateTimeout = 1500 * time.Millisecond
	// evacuationReadTTL is how long an answer of the store shows that a watcher's evacuations are
	// current: the wait of a watch, its timeout's margin and the pause after a failed call.
	evacuationReadTTL = 3 * time.Second
	// evacuationStartTimeout is how long a starting host waits for its first read of the
	// evacuations until it is ready without it.
	evacuationStartTimeout = 3 * time.Second
	// unknownDomainInterval is the time between two checks whether an evacuated domain that
	// nothing was in has a replica or a host now.
	unknownDomainInterval = time.Second
	// retryAfterEvacuated is the Retry-After time of a request whose service has no replicas but
	// evacuated and unavailable ones.
	retryAfterEvacuated = time.Second
)

// EvacuationsListed is the whole list of evacuated domains in the store.
type EvacuationsListed struct {
	At      core.Revision // version 0: the store has no object of the kind
	Sent    core.Instant  // when the list was asked for; 0: now
	Domains []core.Domain
}

// EvacuationsChanged is sent when the store has told what has changed in the list of evacuated
// domains since it was last read; nothing may have.
type EvacuationsChanged struct {
	At      core.Revision
	Sent    core.Instant // when it was asked; 0: now
	Changes []evacuation.ObjectChange
}

func (EvacuationsListed) isEvent()  {}
func (EvacuationsChanged) isEvent() {}

// evacuations is what this host knows of evacuated domains, and where from.
type evacuations struct {
	*evacuation.Machine
	heardAt      core.Instant                 // when a watcher's evacuations were last received
	readAt       core.Instant                 // when the store last answered this host's read of them; 0: never
	begun        map[core.Domain]core.Instant // of the evacuated domains that have a replica or a host: since when this host knows
	unknown      map[core.Domain]bool         // evacuated domains that have none, as logged
	unknownCheck core.Instant                 // when those are next checked
	lastSend     time.Duration                // from the beginning to the last dispatch to a replica of an evacuated domain; 0: there was none
}

func newEvacuations() evacuations {
	return evacuations{Machine: evacuation.New(), begun: map[core.Domain]core.Instant{}, unknown: map[core.Domain]bool{}}
}

// ReadsEvacuations reports whether the settings have evacuations observed.
func (m *Machine) ReadsEvacuations() bool { return m.settings.Evacuation > 0 }

// evacuationsInitialized reports whether the evacuations are known, or could not be read for so long
// that the host serves without them.
func (m *Machine) evacuationsInitialized() bool {
	return !m.ReadsEvacuations() || m.evacuations.Known() || m.now >= core.Instant(evacuationStartTimeout)
}

// watchesEvacuations reports whether this host is to watch the evacuations in the store: it is a
// watcher, or no watcher sends them.
func (m *Machine) watchesEvacuations() bool {
	return m.ReadsEvacuations() && (m.isWatcher() || m.now.Sub(m.evacuations.heardAt) >= evacuationStateTimeout)
}

// evacuated reports whether a replica is in an evacuated domain.
func (m *Machine) evacuated(x *replicas.Replica) bool { return m.evacuations.Evacuated(x.Domain) }

// handleEvacuationsListed applies the store's list.
func (m *Machine) handleEvacuationsListed(e EvacuationsListed) {
	m.readEvacuations(e.Sent, func() evacuation.Change {
		return m.evacuations.ApplyList(m.now, m.sentAt(e.Sent), e.At, e.Domains)
	})
}

// handleEvacuationsChanged applies changes in the store.
func (m *Machine) handleEvacuationsChanged(e EvacuationsChanged) {
	m.readEvacuations(e.Sent, func() evacuation.Change {
		return m.evacuations.ApplyChanges(m.now, e.At, e.Changes)
	})
}

// readEvacuations applies what this host has read from the store by a call that was sent at a time. A
// watcher sends it to all hosts where it differs from what it read before. An answer that waited
// while the process stood still doesn't show that what it says is current.
func (m *Machine) readEvacuations(sent core.Instant, apply func() evacuation.Change) {
	if !m.ReadsEvacuations() {
		return
	}
	if m.sentAt(sent) >= m.list.doubtedAt {
		m.evacuations.readAt = m.now
	}
	before := m.evacuations.ReadChanges()
	m.applyEvacuationChange(apply())
	if m.evacuations.ReadChanges() != before && m.now >= core.Instant(startupTime) && m.isWatcher() {
		m.sendEvacuations()
	}
}

// sendEvacuations sends the evacuations to all hosts.
func (m *Machine) sendEvacuations() {
	if s := m.evacuations.ToSend(); s != nil {
		m.sendToAll(Message{Evacuations: s})
	}
}

// evacuationsForHeartbeat returns the evacuations that a watcher's heartbeats carry; nil where this
// host doesn't watch them or the store doesn't answer it.
func (m *Machine) evacuationsForHeartbeat() *evacuation.State {
	read := m.evacuations.readAt
	current := read != 0 && read >= m.list.doubtedAt && m.now.Sub(read) < evacuationReadTTL
	if !m.ReadsEvacuations() || !current || !m.storeAnswers() || !m.isWatcher() {
		return nil
	}
	return m.evacuations.ToSend()
}

// receiveEvacuations applies the evacuations that another host knows, if it has sent any.
func (m *Machine) receiveEvacuations(s *evacuation.State, fromWatcher bool) {
	if s == nil || !m.ReadsEvacuations() {
		return
	}
	if fromWatcher {
		m.evacuations.heardAt = m.now
	}
	m.applyEvacuationChange(m.evacuations.ApplyState(m.now, *s))
}

// tickEvacuations ends the evacuations that were kept for a while after the store was restored, and
// finds out which evacuated domains have got a replica or a host.
func (m *Machine) tickEvacuations() {
	m.applyEvacuationChange(m.evacuations.Tick(m.now))
	if len(m.evacuations.unknown) == 0 || m.now < m.evacuations.unknownCheck {
		return
	}
	m.evacuations.unknownCheck = m.now.Add(unknownDomainInterval)
	for _, d := range m.evacuations.Domains() {
		if m.evacuations.unknown[d] && m.hasDomain(d) {
			delete(m.evacuations.unknown, d)
			m.beginEvacuation(d)
		}
	}
}

// applyEvacuationChange logs the beginnings and ends of evacuations and acts on the ends.
func (m *Machine) applyEvacuationChange(c evacuation.Change) {
	for _, d := range c.Begun {
		if m.hasDomain(d) {
			m.beginEvacuation(d)
			continue
		}
		m.evacuations.unknown[d] = true
		m.emit(LogDecision{Name: "evacuation", Reason: "unknown_domain", Detail: string(d)})
	}
	for _, d := range c.Ended {
		m.endEvacuation(d)
	}
}

func (m *Machine) beginEvacuation(d core.Domain) {
	m.evacuations.begun[d] = m.now
	m.emit(LogDecision{Name: "evacuation", Reason: "begun", Detail: string(d)})
}

func (m *Machine) endEvacuation(d core.Domain) {
	begun, known := m.evacuations.begun[d]
	delete(m.evacuations.begun, d)
	delete(m.evacuations.unknown, d)
	m.placementDue = true
	m.markDomainCold(d)
	if known {
		m.emit(LogDecision{Name: "evacuation", Reason: "ended", Detail: string(d), Age: m.now.Sub(begun)})
	}
}

// hasDomain reports whether a replica or a registered host is in a domain.
func (m *Machine) hasDomain(d core.Domain) bool {
	if m.settings.Self.Domain == d {
		return true
	}
	for _, x := range m.replicas.All() {
		if x.Domain == d {
			return true
		}
	}
	for _, p := range m.fleet.Peers(m.now) {
		if p.Domain == d {
			return true
		}
	}
	return false
}

// serviceEvacuated reports whether a service has evacuated replicas, and no other one that could
// take a request now.
func (m *Machine) serviceEvacuated(service table.ServiceID) bool {
	if !m.evacuations.Any() {
		return false
	}
	reachable := m.reachable()
	found := false
	for _, x := range m.replicas.ByService(service) {
		switch {
		case x.Unavailable():
		case m.evacuated(x):
			found = true
		case !x.Down(m.now) && x.Pause(m.now) == 0 && reachable(x.ID):
			return false
		}
	}
	return found
}

// refuseEvacuated refuses a request whose service has evacuated replicas and none that could take it,
// and returns whether it has.
func (m *Machine) refuseEvacuated(r *request) bool {
	if !m.serviceEvacuated(r.service.ID) {
		return false
	}
	m.refuse(r, core.Refuse(core.CodeNoUpstream, retryAfterEvacuated, "every replica of the service is in an evacuated domain or unavailable"))
	return true
}

// recordEvacuatedSend records a dispatch to a replica of an evacuated domain. There is none unless
// the choice of replicas has a fault.
func (m *Machine) recordEvacuatedSend(x *replicas.Replica) {
	if begun, ok := m.evacuations.begun[x.Domain]; ok {
		m.evacuations.lastSend = max(m.now.Sub(begun), time.Millisecond)
	}
}

// EvacuationState is the state of the evacuations on this host, for the metrics.
type EvacuationState struct {
	Domains  int           // evacuated ones that have a replica or a host
	LastSend time.Duration // from the beginning to the last dispatch to a replica of an evacuated domain; 0: there was none
}

// evacuationState returns nil where the settings have evacuations ignored.
func (m *Machine) evacuationState() *EvacuationState {
	if !m.ReadsEvacuations() {
		return nil
	}
	return &EvacuationState{Domains: len(m.evacuations.begun), LastSend: m.evacuations.lastSend}
}
