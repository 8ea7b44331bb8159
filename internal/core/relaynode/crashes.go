package relaynode

import (
	"strconv"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/crashcount"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/shard"
)

// A request that seems to crash the replicas that run it is refused by all hosts. Each tells the others of the
// crashes that it observes with its heartbeats. What was missed meanwhile, by a host that starts or is cut
// off, is told to it when it registers, and when its heartbeat shows other suspects. What all hosts would
// forget together is kept with the leases.

const (
	// crashReportTTL is how long after the last crash a count is sent with heartbeats.
	crashReportTTL = 2 * time.Second
	// crashReportInterval is the minimum time between two reports of all counts to the same host.
	crashReportInterval = time.Second
)

// crashes is what a host knows of requests that crash replicas.
type crashes struct {
	counts *crashcount.Counts
	toldAt toldHosts // all counts
	digest uint64    // of the suspects, as in this host's latest heartbeat
}

func newCrashes(self core.HostID) crashes {
	return crashes{counts: crashcount.New(self), toldAt: toldHosts{}}
}

// isSuspect reports whether a request has crashed so many replicas that it is not
// sent to another one.
func (m *Machine) isSuspect(fingerprint uint64) bool {
	return m.crashes.counts.IsSuspect(m.now, fingerprint)
}

// recordCrash counts a replica that closed the connection of a request before it
// answered.
func (m *Machine) recordCrash(fingerprint uint64) {
	m.crashes.counts.Observe(m.now, fingerprint)
	m.logSuspect(fingerprint, learnedHere)
}

// applyPeerCrashes applies the crashes that another host has observed lately.
func (m *Machine) applyPeerCrashes(from core.HostID, seen map[uint64]uint8) {
	for fingerprint, n := range seen {
		m.applyCrashCount(crashcount.Count{Fingerprint: fingerprint, Observer: from, Crashes: n})
	}
}

// receiveCrashCounts applies what another host knows.
func (m *Machine) receiveCrashCounts(counts []crashcount.Count) {
	for _, k := range counts {
		m.applyCrashCount(k)
	}
}

func (m *Machine) applyCrashCount(k crashcount.Count) {
	known := m.isSuspect(k.Fingerprint)
	if m.crashes.counts.Apply(m.now, k) && !known {
		m.logSuspect(k.Fingerprint, learnedFromPeer)
	}
}

// logSuspect logs that a request is not sent to replicas, if it is a suspect now.
func (m *Machine) logSuspect(fingerprint uint64, source string) {
	if m.isSuspect(fingerprint) {
		m.emit(LogDecision{Name: "crashing_request", Reason: "suspect", Detail: fingerprintName(fingerprint) + ", " + source})
	}
}

// suspectDigest returns the digest for a heartbeat, and keeps it to compare those of others with.
func (m *Machine) suspectDigest() uint64 {
	m.crashes.digest = m.crashes.counts.Digest(m.now)
	return m.crashes.digest
}

// compareCrashes sends all counts to a host whose heartbeat shows other suspects, and so may lack some.
// Hosts that don't watch tell the watchers, and standby hosts their contacts, who tell the others.
func (m *Machine) compareCrashes(from core.HostID, b *Heartbeat) {
	if m.crashes.digest == 0 || m.crashes.digest == b.Suspects {
		return
	}
	if m.isWatcher() || b.IsWatcher || !m.fleet.IsActive(from) || !m.fleet.Active() {
		m.sendCrashCounts(from)
	}
}

// sendCrashCounts sends all counts to a host, unless that was done within crashReportInterval.
func (m *Machine) sendCrashCounts(to core.HostID) {
	if !m.crashes.toldAt.mayTell(m.now, to, crashReportInterval) {
		return
	}
	counts := m.crashes.counts.Report(m.now)
	if len(counts) == 0 {
		return
	}
	if p, ok := m.fleet.ByHostID(to); ok {
		m.crashes.toldAt[to] = m.now
		m.send([]fleet.Registration{p}, Message{Crashes: counts})
	}
}

// fingerprintBase is the base of a fingerprint's name in leases and logs.
const fingerprintBase = 16

func fingerprintName(fingerprint uint64) string {
	return strconv.FormatUint(fingerprint, fingerprintBase)
}

// suspectAges returns what is kept of suspects with each lease.
func (m *Machine) suspectAges() shard.SuspectAges {
	ages := shard.SuspectAges{}
	for fingerprint, age := range m.crashes.counts.Suspects(m.now) {
		ages[fingerprintName(fingerprint)] = age.Milliseconds()
	}
	return ages
}

// inheritSuspects reads from the shards' leases which requests were suspects before this process started.
func (m *Machine) inheritSuspects() {
	for _, ages := range m.shards.SuspectAges() {
		for name, age := range ages {
			fingerprint, err := strconv.ParseUint(name, fingerprintBase, 64)
			if err != nil {
				m.emit(LogDecision{Name: "crashing_request", Reason: "malformed", Detail: name})
				continue
			}
			m.crashes.counts.Inherit(m.now, fingerprint, milliseconds(age))
		}
	}
}
