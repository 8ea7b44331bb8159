package suspect

import "gentiancroft/internal/core"

// learnedStrike is a strike that another home published.
type learnedStrike struct {
	count  int
	serial uint64
	until  core.Instant
}

// Learned takes strikes that were published by other hosts.
func (m *Machine) Learned(now core.Instant, strikes []Strike) Result {
	m.begin(nil)
	for _, s := range strikes {
		m.learn(now, s)
		if r := m.cases[s.Fingerprint]; r != nil && s.Serial > r.serial {
			r.strikes, r.serial, r.struckAt = s.Count, s.Serial, now
		}
	}
	return m.out
}

func (m *Machine) learn(now core.Instant, s Strike) {
	old, known := m.learned[s.Fingerprint]
	if known && s.Serial != 0 && s.Serial <= old.serial {
		return
	}
	term := suspicionTerm
	if s.Count >= Budget {
		term = ConvictionTerm
	}
	if !known {
		m.heard = append(m.heard, s.Fingerprint)
	}
	m.learned[s.Fingerprint] = learnedStrike{count: s.Count, serial: max(s.Serial, old.serial), until: now.Add(term)}
	for len(m.heard) > maxStrikes {
		delete(m.learned, m.heard[0])
		m.heard = m.heard[1:]
	}
}

// struck is how many strikes this host knows of a fingerprint.
func (m *Machine) struck(now core.Instant, f uint64) int {
	count := 0
	if s, ok := m.learned[f]; ok && now.Before(s.until) {
		count = s.count
	}
	if r := m.cases[f]; r != nil {
		r.lapse(now)
		count = max(count, r.strikes)
	}
	return count
}
