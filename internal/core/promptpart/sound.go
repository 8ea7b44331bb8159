package promptpart

import (
	"time"

	"gentiancroft/internal/core"
)

const (
	// soundMemory is how long an answer on a part is remembered at least, unless there are too many.
	soundMemory = time.Minute
	// maxSoundParts bounds the parts with a remembered answer.
	maxSoundParts = 8192
)

// soundParts are the parts on which answers came to a certain end lately. They are kept in two
// halves, the older of which is forgotten at once.
type soundParts struct {
	newer, older map[ID]core.Instant // when the last one ended
	turnedAt     core.Instant        // when newer was begun
}

// put records an answer.
func (s *soundParts) put(now core.Instant, p ID) {
	s.turn(now)
	if s.newer == nil {
		s.newer = map[ID]core.Instant{}
	}
	s.newer[p] = max(now, 1)
}

// lastAnswer returns when the last answer on a part ended, 0 where none is remembered.
func (s *soundParts) lastAnswer(now core.Instant, p ID) core.Instant {
	s.turn(now)
	if at, ok := s.newer[p]; ok {
		return at
	}
	return s.older[p]
}

// turn forgets the older half where the newer one is full or has lasted for soundMemory.
func (s *soundParts) turn(now core.Instant) {
	age := now.Sub(s.turnedAt)
	if age < soundMemory && len(s.newer) < maxSoundParts/2 {
		return
	}
	s.older, s.newer, s.turnedAt = s.newer, nil, now
	if age >= 2*soundMemory {
		s.older = nil
	}
}
