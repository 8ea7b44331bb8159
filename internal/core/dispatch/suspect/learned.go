package suspect

import "gentiancroft/internal/core"

// learnedCount is a crash count that another home published.
type learnedCount struct {
	count  int
	serial uint64
	until  core.Instant
}

// ApplyPublished applies crash counts that other hosts published. The higher serial wins.
func (m *Machine) ApplyPublished(now core.Instant, counts []CrashCount) Result {
	m.begin(nil)
	for _, s := range counts {
		m.mergeCount(now, s)
		if r := m.records[s.Fingerprint]; r != nil && s.Serial > r.serial {
			r.crashCount, r.serial, r.lastCrash = s.Count, s.Serial, now
		}
	}
	return m.out
}

// mergeCount stores a published count unless a newer one is stored. Serial 0
// always replaces the count and keeps the stored serial.
func (m *Machine) mergeCount(now core.Instant, s CrashCount) {
	old, stored := m.learned[s.Fingerprint]
	if stored && s.Serial != 0 && s.Serial <= old.serial {
		return
	}
	ttl := suspicionTTL
	if s.Count >= MaxCrashes {
		ttl = BlockTTL
	}
	if !stored {
		m.learnedOrder = append(m.learnedOrder, s.Fingerprint)
	}
	m.learned[s.Fingerprint] = learnedCount{count: s.Count, serial: max(s.Serial, old.serial), until: now.Add(ttl)}
	for len(m.learnedOrder) > maxLearnedCounts {
		delete(m.learned, m.learnedOrder[0])
		m.learnedOrder = m.learnedOrder[1:]
	}
}

// crashCountOf returns the crash count of a fingerprint at this host, from its
// own record or as published by another home.
func (m *Machine) crashCountOf(now core.Instant, f uint64) int {
	count := 0
	if s, ok := m.learned[f]; ok && now.Before(s.until) {
		count = s.count
	}
	if r := m.records[f]; r != nil {
		r.expire(now)
		count = max(count, r.crashCount)
	}
	return count
}
