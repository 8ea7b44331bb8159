package relaynode

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/origin"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/shard"
	"gentiancroft/internal/core/table"
)

// A host takes the only software version that it has seen for the one at which a stream began. That
// holds if it has seen all versions at which streams can have begun lately. It hasn't where it has
// just started, unless it learns the rest from the leases or from another host, and where its list
// of replicas wasn't current for a while. So that a short while doesn't count, no host begins
// streams at a version that is new until all others know it, or know that their lists aren't
// current.

const (
	// settleTime is how long a software version must be known before streams begin at it, while
	// replicas of other versions serve.
	settleTime = listTTL + 200*time.Millisecond
	// delayedHeartbeatTime is how long after it was sent a heartbeat may still arrive.
	delayedHeartbeatTime = 2 * time.Second
)

// knowsSoftware reports whether this host knows all software versions at which a stream can have
// begun that may still be taken up.
func (m *Machine) knowsSoftware() bool { return m.now.Sub(m.origins.knownFrom) >= origin.Memory }

// trackSoftware records since when the list of replicas is not current.
func (m *Machine) trackSoftware() {
	if m.listIsCurrent() {
		m.origins.lostAt = 0
		return
	}
	m.softwareUnobserved(m.now)
}

// softwareUnobserved records that the list of replicas is not current, since a time if it was until
// then. Invariant: a version that comes and goes in less than settleTime begins no stream.
func (m *Machine) softwareUnobserved(since core.Instant) {
	if m.origins.lostAt == 0 {
		m.origins.lostAt = since
	}
	if m.now.Sub(m.origins.lostAt) < settleTime || m.forming() {
		return
	}
	if m.knowsSoftware() {
		m.emit(LogDecision{Name: "software", Reason: "unknown", Age: m.now.Sub(m.origins.lostAt)})
	}
	m.origins.knownFrom = m.now
}

// inheritSoftware reads from the shards' leases, once, which software versions ran before this
// process started. What they lack isn't known: a restored store may have lost the latest ones, and
// the owner that wrote a lease may not have known all.
func (m *Machine) inheritSoftware() {
	if m.origins.inherited {
		return
	}
	m.origins.inherited = true
	for _, s := range m.shards.Software() {
		m.origins.versions.ObserveAges(m.now, s.Ages)
		m.origins.knownFrom = min(m.origins.knownFrom, m.now.Add(-s.Known))
	}
}

// software returns what is kept with each lease of the software versions.
func (m *Machine) software() shard.Software {
	m.observeSoftware()
	known := min(m.now.Sub(m.origins.knownFrom), origin.Memory)
	return shard.Software{Ages: m.origins.versions.Ages(m.now), Known: max(known, 0)}
}

// softwareDigest returns a digest of the software versions that ran lately, 0 where this host doesn't
// know all of them.
func (m *Machine) softwareDigest() uint64 {
	if !m.knowsSoftware() || !m.listIsCurrent() {
		return 0
	}
	return m.origins.versions.Digest(m.now)
}

// compareSoftware completes this host's knowledge of software versions by that of another host, which
// knows all of them and has seen the same.
func (m *Machine) compareSoftware(theirs uint64) {
	if theirs == 0 || m.knowsSoftware() || !m.listIsCurrent() || m.now.Sub(m.origins.knownFrom) < delayedHeartbeatTime {
		return
	}
	if theirs == m.origins.versions.Digest(m.now) {
		m.emit(LogDecision{Name: "software", Reason: "known_elsewhere", Age: m.now.Sub(m.origins.knownFrom)})
		m.origins.knownFrom = m.now.Add(-origin.Memory)
	}
}

// mayBeginAt reports whether a stream may begin at a replica's software version. A new version waits
// for settleTime while replicas of other versions serve.
func (m *Machine) mayBeginAt(r *request, x *replicas.Replica) bool {
	if r.software != 0 || m.settled(x) {
		return true
	}
	return !m.hasSettledReplica(x.Service) || !r.route.Resumable || r.service.Engine == nil
}

// settled reports whether the software version of a replica has been known for settleTime.
func (m *Machine) settled(x *replicas.Replica) bool {
	return m.origins.versions.KnownFor(m.now, x.Service, x.Software) >= settleTime
}

// settledReplicas is which services have a replica for new requests whose software version isn't new,
// as found at a time.
type settledReplicas struct {
	at        core.Instant
	byService map[table.ServiceID]bool
}

// settledTTL is how long what was found counts: each request asks for each replica.
const settledTTL = 20 * time.Millisecond

// hasSettledReplica reports whether a service has a replica for new requests whose software version
// isn't new.
func (m *Machine) hasSettledReplica(s table.ServiceID) bool {
	known := &m.origins.settled
	if known.byService == nil || m.now.Sub(known.at) >= settledTTL {
		*known = settledReplicas{at: m.now, byService: map[table.ServiceID]bool{}}
	}
	has, ok := known.byService[s]
	if !ok {
		has = slices.ContainsFunc(m.replicas.ByService(s), func(x *replicas.Replica) bool {
			return !x.Unavailable() && !x.Down(m.now) && !m.evacuated(x) && m.settled(x)
		})
		known.byService[s] = has
	}
	return has
}
