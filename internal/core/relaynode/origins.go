package relaynode

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/origin"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/table"
)

// A stream goes on only at the software version that began it, within one answer and over a
// caller's requests. Every host remembers the streams that it began. While a service's replicas
// run several versions, or a host can't know whether they do, it sends these records to the others
// with its heartbeats; until then none is needed, and none is sent. A host that doesn't know where a
// stream began refuses to go on with it, unless every stream of its service began at the same
// version.

// retryAfterUnknownOrigin is the Retry-After time of a request that goes on with a stream of
// unknown software version: another host may know it, or this one soon.
const retryAfterUnknownOrigin = 300 * time.Millisecond

// maxUnsentRecords bounds the records in one message.
const maxUnsentRecords = 8192

// origins is what a host knows about where streams began.
type origins struct {
	known     origin.Records  // by this host or another one
	own       origin.Records  // by this host
	versions  origin.Versions // of replicas' software
	inherited bool            // what earlier processes have observed has been read
	knownFrom core.Instant    // since when no stream can have begun at a version that versions lacks
	lostAt    core.Instant    // since when the list of replicas is not current; 0: it is
	settled   settledReplicas
	shared    bool            // records are sent to the other hosts
	resendOwn bool            // those of before are to be sent too: they have begun to be shared, or a host has started
	unsent    []origin.Record // for the other active hosts
	unrelayed []origin.Record // for the standby hosts that report to this host
}

// newOrigins returns what a host knows at its start: all there is, where the whole deployment starts
// for the first time.
func newOrigins(firstStart bool) origins {
	o := origins{known: origin.NewRecords(), own: origin.NewRecords()}
	if firstStart {
		o.knownFrom = core.Instant(-origin.Memory)
	}
	return o
}

// observeSoftware records the software versions of all replicas.
func (m *Machine) observeSoftware() {
	for _, x := range m.replicas.All() {
		m.origins.versions.Observe(m.now, x.Service, x.Software)
	}
}

// decideSharing decides whether the other hosts need this host's records.
func (m *Machine) decideSharing() {
	m.observeSoftware()
	needed := m.origins.versions.Mixed(m.now) || !m.followsList() || !m.knowsSoftware()
	if needed && !m.origins.shared {
		m.origins.resendOwn = true
	}
	m.origins.shared = needed
}

// followsList reports whether this host follows the list of replicas, by its own calls or a watcher's
// messages. Unlike listIsCurrent it bears a list that lags for a moment, so that sharing doesn't
// begin anew at each change.
func (m *Machine) followsList() bool {
	return m.storeAnswers() || m.firstWatcher() != "" && !m.listDiffers()
}

// originOf returns the software version at which a stream began that a caller takes up, and
// false where this host can't know it.
func (m *Machine) originOf(e *RequestArrived, s table.ServiceID) (origin.Software, bool) {
	if e.Resumes != "" {
		if v, ok := m.origins.known.Get(m.now, origin.StreamOf(e.Resumes)); ok {
			return v, true
		}
	}
	if !m.origins.inherited || !m.knowsSoftware() || !m.listIsCurrent() {
		return 0, false
	}
	m.observeSoftware()
	only, ok := m.origins.versions.Only(m.now, s)
	return origin.SoftwareOf(s, only), ok
}

// bindToOrigin binds a request that goes on with a stream to the software version that began
// it, and to the service that has it.
func (m *Machine) bindToOrigin(r *request) *core.Refusal {
	if r.lastEvent == "" || !r.route.Resumable {
		return nil
	}
	software, ok := m.originOf(&r.arrival, r.service.ID)
	if !ok {
		return core.Refuse(core.CodeNoUpstream, retryAfterUnknownOrigin, "it isn't known at which software version the stream began")
	}
	r.software = software
	if s := m.serviceWith(r.route, software); s != nil {
		r.service = s
	}
	return nil
}

// serviceWith returns the service of a route that has a replica at a software version, nil if
// none has.
func (m *Machine) serviceWith(route *table.Route, software origin.Software) *table.Service {
	for _, target := range route.Targets {
		for _, x := range m.replicas.ByService(target.Service) {
			if softwareOf(x) == software {
				return m.table.Services[target.Service]
			}
		}
	}
	return nil
}

// softwareOf returns the identifier of the version of a replica's software.
func softwareOf(x *replicas.Replica) origin.Software { return origin.SoftwareOf(x.Service, x.Software) }

// mayGoOnAt reports whether a request may run at a replica's software version: any, unless it
// goes on with a stream.
func (r *request) mayGoOnAt(x *replicas.Replica) bool {
	return r.software == 0 || r.software == softwareOf(x)
}

// requiredIncarnation returns the start of the replica's incarnation that alone may run a request,
// 0 for any. A replica that has restarted under its id may have another software version, and
// its list entry may not have reached this host yet: neither may a stream go on there, nor may
// one that begins there be recorded at the former version.
func (m *Machine) requiredIncarnation(r *request, x *replicas.Replica) int64 {
	begins := r.software == 0
	if !r.route.Resumable || r.service.Engine == nil || begins && !m.origins.shared {
		return 0
	}
	return x.Started
}

// recordOrigin records where a stream began, once its first event has been delivered. From then
// on the request is bound to that version.
func (m *Machine) recordOrigin(r *request) {
	if !r.route.Resumable {
		return
	}
	r.software = r.sentSoftware
	began := r.arrival.CallerID
	if r.arrival.LastEvent != "" && r.arrival.Resumes != "" {
		began = r.arrival.Resumes
	}
	x := origin.Record{Stream: origin.StreamOf(began), Software: r.software}
	m.origins.known.Put(m.now, x)
	m.origins.own.Put(m.now, x)
	if m.origins.shared {
		m.queueRecords(x)
	}
}

// queueRecords queues records for the other hosts. Where there are too many, the earliest are
// dropped.
func (m *Machine) queueRecords(x ...origin.Record) {
	m.origins.unsent = lastOf(append(m.origins.unsent, x...))
	m.queueForStandbys(x)
}

// queueForStandbys queues records for the standby hosts that report to this host.
func (m *Machine) queueForStandbys(x []origin.Record) {
	if m.fleet.Active() && m.fleet.HasStandbys() {
		m.origins.unrelayed = lastOf(append(m.origins.unrelayed, x...))
	}
}

// lastOf returns the last maxUnsentRecords records.
func lastOf(x []origin.Record) []origin.Record {
	return x[max(0, len(x)-maxUnsentRecords):]
}

// takeUnsentRecords returns and clears the records for the next heartbeat.
func (m *Machine) takeUnsentRecords() []origin.Record {
	m.decideSharing()
	if m.origins.resendOwn && m.origins.shared {
		m.queueRecords(m.origins.own.All(m.now)...)
	}
	m.origins.resendOwn = false
	unsent := m.origins.unsent
	m.origins.unsent = nil
	return unsent
}

// takeUnrelayedRecords returns and clears the records for the next relay to standby hosts.
func (m *Machine) takeUnrelayedRecords() []origin.Record {
	unrelayed := m.origins.unrelayed
	m.origins.unrelayed = nil
	return unrelayed
}

// receiveRecords applies another host's records. Those of a standby host, which sends them to
// its contacts only, are forwarded.
func (m *Machine) receiveRecords(from core.HostID, received []origin.Record) {
	for _, x := range received {
		m.origins.known.Put(m.now, x)
	}
	switch {
	case len(received) == 0 || !m.fleet.Active():
	case m.fleet.IsActive(from):
		m.queueForStandbys(received)
	default:
		m.queueRecords(received...)
	}
}
