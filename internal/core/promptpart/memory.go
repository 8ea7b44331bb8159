package promptpart

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
)

const (
	// retention is how long a part that isn't blocked is remembered after its last event.
	retention = 90 * time.Second
	// blockedRetention is the same for one that is blocked, which is tried now and then.
	blockedRetention = 2 * time.Hour
	// maxRecords bounds the parts that are remembered.
	maxRecords = 2048

	// soundMemory is how long an answer on a part is remembered at least, unless there are too many.
	soundMemory = time.Minute
	// maxSoundParts bounds the parts with a remembered answer.
	maxSoundParts = 8192
)

// recordOf returns the record of a part, a new one if there is none.
func (t *Tracker) recordOf(now core.Instant, p ID) *record {
	r := t.records[p]
	if r == nil {
		t.evict(now)
		answeredAt, _ := t.sound.Get(now, p) // 0: none is remembered
		r = &record{lastReported: now, acquittedAt: answeredAt}
		t.records[p] = r
	}
	return r
}

// evict makes room for a record: of the expired ones or, where there is none, of the one that
// changed the longest ago, blocked parts last.
func (t *Tracker) evict(now core.Instant) {
	if len(t.records) < maxRecords {
		return
	}
	t.Expire(now)
	var oldest ID
	for p, r := range t.records {
		if o := t.records[oldest]; o == nil || r.before(o) || !o.before(r) && p < oldest {
			oldest = p
		}
	}
	if len(t.records) >= maxRecords {
		t.forget(oldest)
	}
}

func (t *Tracker) forget(p ID) {
	if t.Blocked(p) {
		t.digest -= p.hash()
	}
	delete(t.records, p)
}

// Expire forgets the parts of which nothing has been heard for long. It returns those of them
// that were blocked, sorted.
func (t *Tracker) Expire(now core.Instant) (unblocked []ID) {
	for p, r := range t.records {
		switch age := now.Sub(r.lastReported); {
		case r.blockedAt != 0 && age >= blockedRetention:
			unblocked = append(unblocked, p)
			t.forget(p)
		case r.blockedAt == 0 && age >= retention:
			t.forget(p)
		}
	}
	for i, at := range t.explained {
		if now.Sub(at) >= retention {
			delete(t.explained, i)
		}
	}
	slices.Sort(unblocked)
	return unblocked
}
