package limit

import (
	"slices"

	"gentiancroft/internal/core"
)

// bucket is one slice: a token bucket whose rate and burst may change.
type bucket struct {
	rate  microRate // before the drift bound is taken off
	burst nano
	level nano
	held  nano // lent and not surely arrived: it occupies burst
	last  core.Instant
	ppm   int64 // drift bound of the clocks, parts per million

	// slack is the least room since given samples: rising sequence numbers,
	// rising room. It tells how much of a return has not overflowed since.
	slack       []sample
	seq         uint64
	outstanding int
	generation  uint32 // rises when the slice is dropped: older marks are void
}

// sample is the room below the burst, the least up to its sequence number.
type sample struct {
	seq  uint64
	room nano
}

// maxSamples bounds the memory of one bucket.
const maxSamples = 64

// advance accrues up to now. A clock that stands or goes back accrues nothing.
func (b *bucket) advance(now core.Instant) {
	if now > b.last {
		gained := accrued(slower(b.rate, b.ppm), now.Sub(b.last))
		b.last = now
		b.level = min(b.level+gained, b.limit())
	}
	b.sample()
}

// limit is the most the level may be: burst less what is in flight.
func (b *bucket) limit() nano { return max(b.burst-b.held, 0) }

func (b *bucket) sample() {
	if b.outstanding == 0 {
		b.slack = b.slack[:0]
		return
	}
	room := b.limit() - b.level
	for len(b.slack) > 0 && b.slack[len(b.slack)-1].room >= room {
		b.slack = b.slack[:len(b.slack)-1]
	}
	if n := len(b.slack); n > 0 && b.slack[n-1].seq == b.seq {
		return // the least room since that mark stands
	}
	b.slack = append(b.slack, sample{b.seq, room})
	if len(b.slack) > maxSamples {
		b.merge()
	}
}

// merge makes one of the two neighbours that differ least. The lower room
// stands for both, so a return may come out smaller, never greater.
func (b *bucket) merge() {
	at := 0
	for i := 1; i+1 < len(b.slack); i++ {
		if b.slack[i+1].room-b.slack[i].room < b.slack[at+1].room-b.slack[at].room {
			at = i
		}
	}
	b.slack[at+1].room = b.slack[at].room
	b.slack = slices.Delete(b.slack, at, at+1)
}

// take removes n tokens if they are there, and returns the mark that a return
// of the unused part needs.
func (b *bucket) take(now core.Instant, n nano) (mark uint64, ok bool) {
	b.advance(now)
	if b.level < n {
		return 0, false
	}
	b.level -= n
	b.seq++
	b.outstanding++
	return b.seq, true
}

// lend takes n and keeps it in flight, occupying burst, until landed.
func (b *bucket) lend(now core.Instant, n nano) bool {
	_, ok := b.take(now, n)
	if ok {
		b.held += n
	}
	return ok
}

// landed ends the flight of n: it was accepted or can't be any more. The mark
// is the one to settle by: while in flight, what is lent and what comes back
// occupy the same burst, so nothing of it can have overflowed.
func (b *bucket) landed(now core.Instant, n nano) (mark uint64) {
	b.advance(now)
	b.held = max(b.held-n, 0)
	b.seq++
	return b.seq
}

// settle ends what was taken at mark and gives unused back as far as it had
// not overflowed since: the level becomes what it would be had less been taken.
func (b *bucket) settle(now core.Instant, mark uint64, unused nano) nano {
	b.advance(now)
	i, _ := slices.BinarySearchFunc(b.slack, mark, func(s sample, m uint64) int {
		if s.seq < m {
			return -1
		}
		return 1
	})
	credit := nano(0)
	if i < len(b.slack) {
		credit = min(max(unused, 0), max(b.slack[i].room, 0))
	}
	b.level += credit
	for j := i; j < len(b.slack); j++ {
		b.slack[j].room -= credit
	}
	for i > 0 && i < len(b.slack) && b.slack[i-1].room >= b.slack[i].room {
		b.slack = slices.Delete(b.slack, i-1, i)
		i--
	}
	b.outstanding = max(b.outstanding-1, 0)
	return credit
}

// charge takes n although it is not there: more was used than reserved.
func (b *bucket) charge(now core.Instant, n nano) {
	b.advance(now)
	b.level -= min(n, maxNano)
	b.level = max(b.level, -maxNano)
}

// grow adds a part of another slice. Added never exceeds the burst that comes
// with it.
func (b *bucket) grow(now core.Instant, rate microRate, burst, added nano) {
	b.advance(now)
	b.rate += rate
	b.burst += burst
	b.level = min(b.level+min(added, burst), b.limit())
	b.sample()
}

// cut shrinks the slice to a rate and burst and returns the level that goes
// with the part cut off, never more than its burst.
func (b *bucket) cut(now core.Instant, rate microRate, burst nano) (level nano) {
	b.advance(now)
	burst = max(burst, b.held)
	if burst < b.burst && b.level > 0 {
		keep := nano(mulDiv(int64(b.level), int64(burst), int64(b.burst)))
		level = min(b.level-keep, b.burst-burst)
		b.level -= level
	}
	b.rate = min(rate, b.rate)
	b.burst = min(burst, b.burst)
	b.level = min(b.level, b.limit())
	b.sample()
	return level
}

// drop empties the slice. What was taken from it can't come back.
func (b *bucket) drop() {
	*b = bucket{last: b.last, ppm: b.ppm, seq: b.seq, generation: b.generation + 1}
}
