package limit

import (
	"slices"

	"gentiancroft/internal/core"
)

// bucket is a token bucket whose rate and burst may change: the pool, a share or a
// whole limit.
type bucket struct {
	rate     microtokenRate // before the drift bound is subtracted
	burst    nanotokens
	level    nanotokens
	inFlight nanotokens // lent and possibly not received yet; occupies burst
	last     core.Instant
	ppm      int64 // maximum clock drift, parts per million

	// roomSamples bound how much of a return has not overflowed since its
	// reservation. Sequence numbers and rooms both ascend.
	roomSamples []roomSample
	seq         uint64
	outstanding int
	generation  uint32 // increases on reset; marks of older generations are void
}

// roomSample is the smallest room below the burst after the previous sample's
// sequence number, up to its own.
type roomSample struct {
	seq  uint64
	room nanotokens
}

// maxSamples bounds the memory of one bucket.
const maxSamples = 64

// advance accrues up to now. A clock that stops or goes backward accrues nothing.
func (b *bucket) advance(now core.Instant) {
	if now > b.last {
		gained := accrued(slowedByDrift(b.rate, b.ppm), now.Sub(b.last))
		b.last = now
		b.level = min(b.level+gained, b.maxLevel())
	}
	b.sampleRoom()
}

// maxLevel returns the burst less what is in flight.
func (b *bucket) maxLevel() nanotokens { return max(b.burst-b.inFlight, 0) }

// sampleRoom records the present room. Without open reservations no sample is kept.
func (b *bucket) sampleRoom() {
	if b.outstanding == 0 {
		b.roomSamples = b.roomSamples[:0]
		return
	}
	room := b.maxLevel() - b.level
	for len(b.roomSamples) > 0 && b.roomSamples[len(b.roomSamples)-1].room >= room {
		b.roomSamples = b.roomSamples[:len(b.roomSamples)-1]
	}
	if n := len(b.roomSamples); n > 0 && b.roomSamples[n-1].seq == b.seq {
		return // the smaller room since that mark stays
	}
	b.roomSamples = append(b.roomSamples, roomSample{b.seq, room})
	if len(b.roomSamples) > maxSamples {
		b.mergeSamples()
	}
}

// mergeSamples merges the two neighbouring samples whose rooms differ least. The
// smaller room is kept for both, so a return may be credited less, never more.
func (b *bucket) mergeSamples() {
	at := 0
	for i := 1; i+1 < len(b.roomSamples); i++ {
		if b.roomSamples[i+1].room-b.roomSamples[i].room < b.roomSamples[at+1].room-b.roomSamples[at].room {
			at = i
		}
	}
	b.roomSamples[at+1].room = b.roomSamples[at].room
	b.roomSamples = slices.Delete(b.roomSamples, at, at+1)
}

// take removes n if the level allows it, and returns the mark that settle needs.
func (b *bucket) take(now core.Instant, n nanotokens) (mark uint64, ok bool) {
	b.advance(now)
	if b.level < n {
		return 0, false
	}
	b.level -= n
	b.seq++
	b.outstanding++
	return b.seq, true
}

// lend takes n and counts it as in flight, occupying burst, until endInFlight.
func (b *bucket) lend(now core.Instant, n nanotokens) bool {
	_, ok := b.take(now, n)
	if ok {
		b.inFlight += n
	}
	return ok
}

// endInFlight ends the flight of n, which was accepted or can't be accepted any
// more, and returns the mark for settle. While n was in flight it occupied the same
// burst as its return, so none of it can have overflowed.
func (b *bucket) endInFlight(now core.Instant, n nanotokens) (mark uint64) {
	b.advance(now)
	b.inFlight = max(b.inFlight-n, 0)
	b.seq++
	return b.seq
}

// settle ends the reservation with this mark and credits its unused part as far as
// it would not have overflowed since: the level becomes what it would be if less
// had been taken. It returns the credit.
func (b *bucket) settle(now core.Instant, mark uint64, unused nanotokens) nanotokens {
	b.advance(now)
	i, _ := slices.BinarySearchFunc(b.roomSamples, mark, func(s roomSample, m uint64) int {
		if s.seq < m {
			return -1
		}
		return 1
	})
	credit := nanotokens(0)
	if i < len(b.roomSamples) {
		credit = min(max(unused, 0), max(b.roomSamples[i].room, 0))
	}
	b.level += credit
	for j := i; j < len(b.roomSamples); j++ {
		b.roomSamples[j].room -= credit
	}
	for i > 0 && i < len(b.roomSamples) && b.roomSamples[i-1].room >= b.roomSamples[i].room {
		b.roomSamples = slices.Delete(b.roomSamples, i-1, i)
		i--
	}
	b.outstanding = max(b.outstanding-1, 0)
	return credit
}

// charge removes n even below zero: more was used than reserved.
func (b *bucket) charge(now core.Instant, n nanotokens) {
	b.advance(now)
	b.level -= min(n, maxNanotokens)
	b.level = max(b.level, -maxNanotokens)
}

// grow adds rate and burst of another bucket, and added to the level, of which at
// most burst counts.
func (b *bucket) grow(now core.Instant, rate microtokenRate, burst, added nanotokens) {
	b.advance(now)
	b.rate += rate
	b.burst += burst
	b.level = min(b.level+min(added, burst), b.maxLevel())
	b.sampleRoom()
}

// shrink lowers the rate and burst to the given ones and returns the level removed
// with them, never more than the burst removed. Burst in flight is not removed.
func (b *bucket) shrink(now core.Instant, rate microtokenRate, burst nanotokens) (level nanotokens) {
	b.advance(now)
	burst = max(burst, b.inFlight)
	if burst < b.burst && b.level > 0 {
		keep := nanotokens(mulDiv(int64(b.level), int64(burst), int64(b.burst)))
		level = min(b.level-keep, b.burst-burst)
		b.level -= level
	}
	b.rate = min(rate, b.rate)
	b.burst = min(burst, b.burst)
	b.level = min(b.level, b.maxLevel())
	b.sampleRoom()
	return level
}

// reset empties the bucket. What was taken from it can't be returned.
func (b *bucket) reset() {
	*b = bucket{last: b.last, ppm: b.ppm, seq: b.seq, generation: b.generation + 1}
}
