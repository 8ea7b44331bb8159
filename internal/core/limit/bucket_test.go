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

// charge is one spending: its amount may fall until it is settled.
type charge struct {
	at         core.Instant // when it counts
	amount     nanotokens
	mark       uint64
	flightEnds core.Instant // of a loan: when it can't be accepted any more
	open       bool
}

// exceedsLimit reports whether the charges of any interval exceed rate*t + burst.
func exceedsLimit(all []charge, rate microtokenRate, burst nanotokens) bool {
	for i := range all {
		for j := range all {
			if all[j].at < all[i].at {
				continue
			}
			sum := nanotokens(0)
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

// settleFunc settles one reservation of a bucket.
type settleFunc func(b *bucket, now core.Instant, mark uint64, unused nanotokens)

// runBucket takes, lends and settles in a random order, and reports whether any
// interval exceeds the limit. A loan counts at the time it arrives.
func runBucket(t *rapid.T, settle settleFunc) bool {
	const rate, burst = microtokenRate(100 * microtokensPerToken), nanotokens(1000 * nanotokensPerToken)
	b := bucket{rate: rate, burst: burst, level: burst}
	var all []charge
	now := core.Instant(0)
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond)
		for i := range all {
			if all[i].flightEnds != 0 && all[i].flightEnds <= now {
				all[i].mark, all[i].open = b.endInFlight(max(all[i].flightEnds, b.last), all[i].amount), true
				all[i].flightEnds = 0
			}
		}
		n := toNanotokens(core.Tokens(rapid.IntRange(1, 1000).Draw(t, "tokens")))
		switch rapid.IntRange(0, 3).Draw(t, "step") {
		case 0:
			if mark, ok := b.take(now, n); ok {
				all = append(all, charge{at: now, amount: n, mark: mark, open: true})
			}
		case 1:
			flight := now.Add(3 * time.Second)
			arrives := now.Add(time.Duration(rapid.IntRange(0, 2999).Draw(t, "under way")) * time.Millisecond)
			if b.lend(now, n) {
				all = append(all, charge{at: arrives, amount: n, flightEnds: flight})
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
	return exceedsLimit(all, rate, burst)
}

func TestBucketNeverExceedsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if runBucket(t, func(b *bucket, now core.Instant, mark uint64, unused nanotokens) { b.settle(now, mark, unused) }) {
			t.Fatal("the charges of an interval exceed rate*t + burst")
		}
	})
}

// The check must detect a bucket that credits a return whenever there is room: what
// has overflowed in the meantime is then spent twice.
func TestBucketCheckDetectsDoubleSpending(t *testing.T) {
	is := is.New(t)
	b := bucket{rate: 100 * microtokensPerToken, burst: 1000 * nanotokensPerToken, level: 1000 * nanotokensPerToken}
	naive := func(now core.Instant, unused nanotokens) {
		b.advance(now)
		b.level = min(b.level+unused, b.maxLevel())
	}
	var all []charge
	take := func(now core.Instant, n nanotokens) {
		if _, ok := b.take(now, n); ok {
			all = append(all, charge{at: now, amount: n})
		}
	}
	take(0, toNanotokens(1000))
	later := core.Instant(10 * time.Second) // the burst is full again
	take(later, toNanotokens(1000))
	naive(later, toNanotokens(1000))
	all[0].amount = 0
	take(later, toNanotokens(1000))
	is.True(exceedsLimit(all, 100*microtokensPerToken, toNanotokens(1000)))
}

func TestSettleCreditsWhatHasNotOverflowed(t *testing.T) {
	is := is.New(t)
	b := bucket{rate: 100 * microtokensPerToken, burst: toNanotokens(1000), level: toNanotokens(1000)}
	old, _ := b.take(0, toNanotokens(1000))
	now := core.Instant(8 * time.Second)
	fresh, _ := b.take(now, toNanotokens(800))
	is.Equal(b.settle(now, old, toNanotokens(1000)), toNanotokens(200))  // 800 of it would have overflowed
	is.Equal(b.settle(now, fresh, toNanotokens(800)), toNanotokens(800)) // all of it
	is.Equal(b.level, toNanotokens(1000))
}

func TestStoppedOrBackwardClockAccruesNothing(t *testing.T) {
	is := is.New(t)
	b := bucket{rate: 100 * microtokensPerToken, burst: toNanotokens(1000), last: 1000}
	b.advance(1000)
	b.advance(500)
	is.Equal(b.level, nanotokens(0))
	b.advance(core.Instant(1000).Add(time.Second))
	is.Equal(b.level, toNanotokens(100))
}

// A clock that is fast by the drift bound accrues no more than real time allows.
func TestFastClockDoesNotExceedTheRate(t *testing.T) {
	is := is.New(t)
	const ppm = DefaultDriftPPM
	b := bucket{rate: 1000 * microtokensPerToken, burst: maxNanotokens, ppm: ppm}
	real := core.Instant(1000 * time.Second)
	b.advance(real + real/million*ppm)
	is.True(b.level <= toNanotokens(1_000_000))
	is.True(b.level > toNanotokens(999_000))
}

func TestUnitsSaturate(t *testing.T) {
	is := is.New(t)
	is.Equal(toNanotokens(math.MaxInt64), maxNanotokens)
	is.Equal(toNanotokens(-5), nanotokens(0))
	is.Equal(accrued(toMicrotokenRate(math.MaxInt64), math.MaxInt64), maxNanotokens)
	is.Equal(accrued(1, 1), nanotokens(0)) // rounds down
	is.Equal(mulDiv(math.MaxInt64, math.MaxInt64, 1), int64(math.MaxInt64))
	is.True(accrualTime(maxNanotokens, 1) > 0)
	is.True(extendedByDrift(time.Second, 200) > time.Second)
}

func TestSamplesStayBoundedAndSafe(t *testing.T) {
	is := is.New(t)
	b := bucket{rate: 1000 * microtokensPerToken, burst: toNanotokens(100_000), level: toNanotokens(100_000)}
	first, _ := b.take(0, toNanotokens(10))
	for i := range 1000 {
		b.take(core.Instant(i), toNanotokens(1))
	}
	is.True(len(b.roomSamples) <= maxSamples)
	is.Equal(b.settle(2000, first, toNanotokens(10)), toNanotokens(10)) // nothing overflowed since
}
