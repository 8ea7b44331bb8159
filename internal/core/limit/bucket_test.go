package limit

import (
	"flag"
	"math"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentiancroft/internal/core"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// spent is one charge: its amount may fall until it is settled.
type spent struct {
	at     core.Instant // when it counts
	amount nano
	mark   uint64
	lands  core.Instant // of a loan: the last instant at which it may be charged
	open   bool
}

// overAny reports whether any interval's charges exceed rate*t + burst.
func overAny(all []spent, rate microRate, burst nano) bool {
	for i := range all {
		for j := range all {
			if all[j].at < all[i].at {
				continue
			}
			sum := nano(0)
			for _, s := range all {
				if s.at >= all[i].at && s.at <= all[j].at {
					sum += s.amount
				}
			}
			if sum > burst+accrued(rate, all[j].at.Sub(all[i].at))+1 {
				return true
			}
		}
	}
	return false
}

// returning settles one bucket by a rule for what an unused part is worth.
type returning func(b *bucket, now core.Instant, mark uint64, unused nano)

// playBucket takes, lends, settles in any order, and reports whether any
// interval went over. A loan counts at the latest instant it may arrive.
func playBucket(t *rapid.T, settle returning) bool {
	const rate, burst = microRate(100 * microsPerToken), nano(1000 * nanosPerToken)
	b := bucket{rate: rate, burst: burst, level: burst}
	var all []spent
	now := core.Instant(0)
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond)
		for i := range all {
			if all[i].lands != 0 && all[i].lands <= now {
				all[i].mark, all[i].open = b.landed(max(all[i].lands, b.last), all[i].amount), true
				all[i].lands = 0
			}
		}
		n := nanos(core.Tokens(rapid.IntRange(1, 1000).Draw(t, "tokens")))
		switch rapid.IntRange(0, 3).Draw(t, "step") {
		case 0:
			if mark, ok := b.take(now, n); ok {
				all = append(all, spent{at: now, amount: n, mark: mark, open: true})
			}
		case 1:
			flight := now.Add(3 * time.Second)
			arrives := now.Add(time.Duration(rapid.IntRange(0, 2999).Draw(t, "under way")) * time.Millisecond)
			if b.lend(now, n) {
				all = append(all, spent{at: arrives, amount: n, lands: flight})
			}
		default:
			for i := range all {
				if all[i].open && rapid.Bool().Draw(t, "settle") {
					unused := min(n, all[i].amount)
					settle(&b, now, all[i].mark, unused)
					all[i].amount -= unused
					all[i].open = false
				}
			}
		}
	}
	return overAny(all, rate, burst)
}

func TestBucketNeverOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if playBucket(t, func(b *bucket, now core.Instant, mark uint64, unused nano) { b.settle(now, mark, unused) }) {
			t.Fatal("an interval holds more than rate*t + burst")
		}
	})
}

// The check sees a bucket that takes returns in whenever there is room: what
// had overflowed meanwhile would be spent twice.
func TestBucketCheckCanFail(t *testing.T) {
	is := is.New(t)
	b := bucket{rate: 100 * microsPerToken, burst: 1000 * nanosPerToken, level: 1000 * nanosPerToken}
	naive := func(now core.Instant, unused nano) {
		b.advance(now)
		b.level = min(b.level+unused, b.limit())
	}
	var all []spent
	take := func(now core.Instant, n nano) {
		if _, ok := b.take(now, n); ok {
			all = append(all, spent{at: now, amount: n})
		}
	}
	take(0, nanos(1000))
	later := core.Instant(10 * time.Second) // the burst is full again
	take(later, nanos(1000))
	naive(later, nanos(1000))
	all[0].amount = 0
	take(later, nanos(1000))
	is.True(overAny(all, 100*microsPerToken, nanos(1000)))
}

func TestReturnIsWorthWhatHasNotOverflowed(t *testing.T) {
	is := is.New(t)
	b := bucket{rate: 100 * microsPerToken, burst: nanos(1000), level: nanos(1000)}
	old, _ := b.take(0, nanos(1000))
	now := core.Instant(8 * time.Second)
	fresh, _ := b.take(now, nanos(800))
	is.Equal(b.settle(now, old, nanos(1000)), nanos(200))  // 800 of it would have overflowed
	is.Equal(b.settle(now, fresh, nanos(800)), nanos(800)) // all of it
	is.Equal(b.level, nanos(1000))
}

func TestClockThatStandsOrGoesBackAccruesNothing(t *testing.T) {
	is := is.New(t)
	b := bucket{rate: 100 * microsPerToken, burst: nanos(1000), last: 1000}
	b.advance(1000)
	b.advance(500)
	is.Equal(b.level, nano(0))
	b.advance(core.Instant(1000).Add(time.Second))
	is.Equal(b.level, nanos(100))
}

// A clock that gains the drift bound still accrues no more than real time.
func TestFastClockPaysItsDrift(t *testing.T) {
	is := is.New(t)
	const ppm = DefaultDriftPPM
	b := bucket{rate: 1000 * microsPerToken, burst: maxNano, ppm: ppm}
	real := core.Instant(1000 * time.Second)
	b.advance(real + real/million*ppm)
	is.True(b.level <= nanos(1_000_000))
	is.True(b.level > nanos(999_000))
}

func TestUnitsSaturate(t *testing.T) {
	is := is.New(t)
	is.Equal(nanos(math.MaxInt64), maxNano)
	is.Equal(nanos(-5), nano(0))
	is.Equal(accrued(micros(math.MaxInt64), math.MaxInt64), maxNano)
	is.Equal(accrued(1, 1), nano(0)) // rounds down
	is.Equal(mulDiv(math.MaxInt64, math.MaxInt64, 1), int64(math.MaxInt64))
	is.True(timeFor(maxNano, 1) > 0)
	is.True(longer(time.Second, 200) > time.Second)
}

func TestSamplesStayBoundedAndSafe(t *testing.T) {
	is := is.New(t)
	b := bucket{rate: 1000 * microsPerToken, burst: nanos(100_000), level: nanos(100_000)}
	first, _ := b.take(0, nanos(10))
	for i := range 1000 {
		b.take(core.Instant(i), nanos(1))
	}
	is.True(len(b.slack) <= maxSamples)
	is.Equal(b.settle(2000, first, nanos(10)), nanos(10)) // nothing overflowed since
}
