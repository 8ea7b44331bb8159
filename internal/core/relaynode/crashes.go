package relaynode

import (
	"math"
	"time"

	"gentiancroft/internal/core"
)

// Bounds on requests that seem to crash the replicas that run them.
const (
	maxCrashes      = 3                // crashes after which a request is refused
	crashRetention  = 90 * time.Second // how long a crash counts
	maxCrashRecords = 512              // request fingerprints with a record
)

// crashRecord counts the replicas that crashed while they ran requests of one
// fingerprint.
type crashRecord struct {
	own       int                 // crashes that this host observed
	byPeer    map[core.HostID]int // crashes that other hosts reported
	lastCrash core.Instant        // time of the last crash
}

func (c *crashRecord) total() int {
	n := c.own
	for _, k := range c.byPeer {
		n += k
	}
	return n
}

// isSuspect reports whether a request has crashed so many replicas that it is not
// sent to another one.
func (m *Machine) isSuspect(fingerprint uint64) bool {
	c := m.crashes[fingerprint]
	return c != nil && m.now.Sub(c.lastCrash) < crashRetention && c.total() >= maxCrashes
}

// recordCrash counts a replica that closed the connection of a request before it
// answered.
func (m *Machine) recordCrash(fingerprint uint64) {
	c := m.crashRecordFor(fingerprint)
	c.own++
	c.lastCrash = m.now
}

func (m *Machine) crashRecordFor(fingerprint uint64) *crashRecord {
	c := m.crashes[fingerprint]
	if c == nil {
		if len(m.crashes) >= maxCrashRecords {
			m.evictCrashRecords()
		}
		c = &crashRecord{byPeer: map[core.HostID]int{}}
		m.crashes[fingerprint] = c
	}
	return c
}

// evictCrashRecords removes the expired records, and the oldest one if the limit is
// still reached.
func (m *Machine) evictCrashRecords() {
	var oldest uint64
	for f, c := range m.crashes {
		if m.now.Sub(c.lastCrash) >= crashRetention {
			delete(m.crashes, f)
			continue
		}
		if o := m.crashes[oldest]; o == nil || c.lastCrash < o.lastCrash || c.lastCrash == o.lastCrash && f < oldest {
			oldest = f
		}
	}
	if len(m.crashes) >= maxCrashRecords {
		delete(m.crashes, oldest)
	}
}

// applyPeerCrashes applies the crash counts that another host reported.
func (m *Machine) applyPeerCrashes(from core.HostID, seen map[uint64]uint8) {
	for f, n := range seen {
		c := m.crashRecordFor(f)
		if c.byPeer[from] < int(n) {
			c.byPeer[from] = int(n)
			c.lastCrash = m.now
		}
	}
}

// ownCrashes returns the numbers of crashes that this host observed, by fingerprint,
// for the other hosts. Fingerprints whose last crash is older than crashReportTTL are
// left out.
func (m *Machine) ownCrashes() map[uint64]uint8 {
	var seen map[uint64]uint8
	for f, c := range m.crashes {
		if c.own == 0 || m.now.Sub(c.lastCrash) >= crashReportTTL {
			continue
		}
		if seen == nil {
			seen = map[uint64]uint8{}
		}
		seen[f] = uint8(min(c.own, math.MaxUint8))
	}
	return seen
}

// crashReportTTL is how long after the last crash a count is sent to the other
// hosts.
const crashReportTTL = 2 * time.Second

// failureHalfLife is the half-life of a failure in a replica's failure score.
const failureHalfLife = 3 * time.Second

// maxFailureScore bounds the sum of the failures of one replica.
const maxFailureScore = 8

// recordFailure adds a failure to a replica's failure score.
func (m *Machine) recordFailure(id core.UpstreamID, weight float64) {
	d := m.failures[id]
	if d == nil {
		d = &core.Decaying{}
		m.failures[id] = d
	}
	d.Add(m.now, weight, failureHalfLife)
	d.Value = min(d.Value, maxFailureScore)
}

// recordSuccess halves a replica's failure score.
func (m *Machine) recordSuccess(id core.UpstreamID) {
	if d := m.failures[id]; d != nil {
		d.Value = d.Now(m.now, failureHalfLife) / 2
		d.At = m.now
	}
}

func (m *Machine) failureScore(id core.UpstreamID) float64 {
	if d := m.failures[id]; d != nil {
		return d.Now(m.now, failureHalfLife)
	}
	return 0
}
