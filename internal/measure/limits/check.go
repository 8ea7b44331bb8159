package limits

import (
	"cmp"
	"math"
	"slices"

	"gentiancroft/internal/core"
)

// Charge is one admitted request as an observer of the whole fleet sees it.
type Charge struct {
	Workspace core.WorkspaceID
	At        core.Instant // real time of the admission
	Tokens    core.Tokens
}

// Bound is a workspace's rate and burst from an instant on.
type Bound struct {
	From  core.Instant
	Rate  core.Tokens
	Burst core.Tokens
}

// nanosPerToken is the unit of the check: 1e-9 tokens.
const nanosPerToken = int64(1_000_000_000)

// Over is the most, in tokens rounded up, by which the charges of any interval
// exceed what the bounds allow in it: the rate's integral and the greatest
// burst within. It knows nothing of the limiter. Bounds rise by From; an
// interval that spans a change has both bursts to choose from, one that starts
// after it only the new.
func Over(charges []Charge, bounds []Bound) core.Tokens {
	charges = slices.Clone(charges)
	slices.SortStableFunc(charges, func(a, b Charge) int { return cmp.Compare(a.At, b.At) })
	worst := int64(0)
	for i := range bounds {
		worst = max(worst, overFrom(charges, bounds, i))
	}
	return core.Tokens((worst + nanosPerToken - 1) / nanosPerToken)
}

// overFrom looks at the intervals that start while bounds[k] holds. Excess is,
// over those starts, the most that was charged beyond what accrued since.
func overFrom(charges []Charge, bounds []Bound, k int) int64 {
	worst, excess := int64(0), int64(0)
	last := bounds[k].From
	for _, c := range charges {
		if c.At < bounds[k].From {
			continue
		}
		excess -= integral(bounds, last, c.At)
		if inside := k+1 == len(bounds) || c.At < bounds[k+1].From; inside {
			excess = max(excess, 0)
		}
		excess += int64(c.Tokens) * nanosPerToken
		worst = max(worst, excess-burstWithin(bounds[k:], c.At))
		last = c.At
	}
	return worst
}

// integral of the rate over a span, in 1e-9 tokens.
func integral(bounds []Bound, from, to core.Instant) int64 {
	sum := int64(0)
	for i, b := range bounds {
		end := core.Instant(math.MaxInt64)
		if i+1 < len(bounds) {
			end = bounds[i+1].From
		}
		if span := min(to, end) - max(from, b.From); span > 0 {
			sum += int64(span) * int64(b.Rate)
		}
	}
	return sum
}

// burstWithin is the greatest burst up to an instant.
func burstWithin(bounds []Bound, at core.Instant) int64 {
	burst := int64(0)
	for _, b := range bounds {
		if b.From <= at {
			burst = max(burst, int64(b.Burst)*nanosPerToken)
		}
	}
	return burst
}
