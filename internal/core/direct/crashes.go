package direct

import (
	"math"
	"time"

	"gentiancroft/internal/core"
)

// Bounds on requests that seem to crash the replicas that run them.
const (
	crashesMost  = 3                // replicas lost to one request before it is refused
	crashMemory  = 90 * time.Second // how long a loss counts
	crashRecords = 512              // fingerprints that are remembered at most
)

// crash is what is known of one request's fingerprint.
type crash struct {
	mine   int                 // replicas that this host has seen lost
	others map[core.HostID]int // that others have
	at     core.Instant        // of the last loss
}

func (c *crash) total() int {
	n := c.mine
	for _, k := range c.others {
		n += k
	}
	return n
}

// suspected reports whether a request has cost so many replicas that it is not
// sent to another one.
func (m *Machine) suspected(fingerprint uint64) bool {
	c := m.crashes[fingerprint]
	return c != nil && m.now.Sub(c.at) < crashMemory && c.total() >= crashesMost
}

// crashed notes that a replica let go of a request while it ran it.
func (m *Machine) crashed(fingerprint uint64) {
	c := m.crashOf(fingerprint)
	c.mine++
	c.at = m.now
}

func (m *Machine) crashOf(fingerprint uint64) *crash {
	c := m.crashes[fingerprint]
	if c == nil {
		if len(m.crashes) >= crashRecords {
			m.forgetCrashes()
		}
		c = &crash{others: map[core.HostID]int{}}
		m.crashes[fingerprint] = c
	}
	return c
}

// forgetCrashes drops the records that are old, and the oldest in any case.
func (m *Machine) forgetCrashes() {
	var oldest uint64
	for f, c := range m.crashes {
		if m.now.Sub(c.at) >= crashMemory {
			delete(m.crashes, f)
			continue
		}
		if o := m.crashes[oldest]; o == nil || c.at < o.at || c.at == o.at && f < oldest {
			oldest = f
		}
	}
	if len(m.crashes) >= crashRecords {
		delete(m.crashes, oldest)
	}
}

// heardCrashes takes what another host has seen.
func (m *Machine) heardCrashes(from core.HostID, seen map[uint64]uint8) {
	for f, n := range seen {
		c := m.crashOf(f)
		if c.others[from] < int(n) {
			c.others[from] = int(n)
			c.at = m.now
		}
	}
}

// ownCrashes are this host's recent losses, for the others.
func (m *Machine) ownCrashes() map[uint64]uint8 {
	var seen map[uint64]uint8
	for f, c := range m.crashes {
		if c.mine == 0 || m.now.Sub(c.at) >= crashTold {
			continue
		}
		if seen == nil {
			seen = map[uint64]uint8{}
		}
		seen[f] = uint8(min(c.mine, math.MaxUint8))
	}
	return seen
}

// crashTold is how long a loss is told to the other hosts.
const crashTold = 2 * time.Second

// failureHalf is how long it takes until a failure counts half.
const failureHalf = 3 * time.Second

// failuresMost bounds how much failures at one replica can add up to.
const failuresMost = 8

// failed notes a failure at a replica.
func (m *Machine) failed(id core.UpstreamID, weight float64) {
	d := m.failures[id]
	if d == nil {
		d = &core.Decaying{}
		m.failures[id] = d
	}
	d.Add(m.now, weight, failureHalf)
	d.Value = min(d.Value, failuresMost)
}

// worked notes a success at a replica: it halves what failures have added up to.
func (m *Machine) worked(id core.UpstreamID) {
	if d := m.failures[id]; d != nil {
		d.Value = d.Now(m.now, failureHalf) / 2
		d.At = m.now
	}
}

func (m *Machine) failureOf(id core.UpstreamID) float64 {
	if d := m.failures[id]; d != nil {
		return d.Now(m.now, failureHalf)
	}
	return 0
}
