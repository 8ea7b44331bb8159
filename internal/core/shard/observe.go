package shard

import (
	"encoding/json"
	"strconv"

	"gentiancroft/internal/core"
)

// SetEra sets the era of the store; restored means that an earlier one has ended. Nothing
// is written before the leases have been listed in the new era.
func (m *Machine) SetEra(era uint64, restored bool) {
	if era > m.era {
		m.era, m.listed, m.restored = era, false, m.restored || restored
	}
}

// ApplyList applies a list of the leases, read in an era of the store. A stale list of
// this era only delays a takeover. It returns false for one of another era, which isn't applied.
func (m *Machine) ApplyList(now core.Instant, era uint64, objects []core.Object) bool {
	if era != m.era {
		return false
	}
	missing := !m.listed
	m.listed = true
	found := make([]bool, len(m.leases))
	for _, o := range objects {
		i, err := strconv.Atoi(o.Key[min(len(Prefix), len(o.Key)):])
		if err != nil || i < 0 || i >= len(m.leases) {
			continue
		}
		found[i] = true
		m.observe(now, i, o)
	}
	for i := range m.leases {
		if missing && !found[i] {
			m.observeMissing(now, &m.leases[i])
		}
	}
	return true
}

// observe applies a lease as stored, unless it is older than the known revision.
func (m *Machine) observe(now core.Instant, i int, o core.Object) {
	l := &m.leases[i]
	if !l.revision.Before(o.Revision()) {
		return
	}
	var r Record
	if json.Unmarshal(o.Value, &r) != nil {
		r = Record{} // not a lease record: taken over like a lease that isn't renewed
	}
	l.revision, l.seenAt = o.Revision(), now
	l.outdated = r.Era != o.Era
	if l.outdated && l.record.Owner != "" {
		l.keep(now, r.Fence)
		return
	}
	if r.Owner != m.settings.Self {
		l.validUntil = 0
	}
	l.record = r
}

// observeMissing records that the store has no lease of a shard, although it has given
// an era. It may have lost it, unless the whole deployment starts now.
func (m *Machine) observeMissing(now core.Instant, l *lease) {
	lost := l.revision.Version != 0
	l.revision, l.seenAt = core.Revision{Era: m.era}, now
	l.outdated = l.outdated || lost || m.restored || m.era != 0 && m.settings.Joining
	l.keep(now, 0)
}

// keep keeps the owner that this host knows after the store has lost its lease. If it is
// this host and its term still runs, the renewal is due. Invariant: no other host orders
// before the term has ended.
func (l *lease) keep(now core.Instant, fence core.Fence) {
	l.record.Fence = max(l.record.Fence, fence)
	l.renewAt = now
}

// eraFenceBits is the number of low bits of a fencing number that count within an era.
const eraFenceBits = 20

// nextFence returns a fencing number above one that was read, and above all that earlier
// eras have given out.
func (m *Machine) nextFence(read core.Fence) core.Fence {
	return max(read, core.Fence(m.era)<<eraFenceBits) + 1
}
