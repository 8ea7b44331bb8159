package limits

import (
	"cmp"
	"math"
	"slices"

	"gentiancroft/internal/core"
)

// Charge is one admitted request in real time.
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

// nanosPerToken is the number of nanotokens in a token; the check computes in
// nanotokens.
const nanosPerToken = int64(1_000_000_000)

// MaxOverGrant returns the maximum, in tokens rounded up, by which the charges of any
// interval exceed its allowance: the integral of the rate plus the largest burst
// in force during the interval. It uses no state of the limiter. Bounds are in
// order of From; an interval that spans a change may use the larger of both
// bursts, one that starts after the change only the new one.
func MaxOverGrant(charges []Charge, bounds []Bound) core.Tokens {
	charges = slices.Clone(charges)
	slices.SortStableFunc(charges, func(a, b Charge) int { return cmp.Compare(a.At, b.At) })
	worst := int64(0)
	for i := range bounds {
		worst = max(worst, excessFrom(charges, bounds, i))
	}
	return core.Tokens((worst + nanosPerToken - 1) / nanosPerToken)
}

// excessFrom checks the intervals that start while bounds[k] is in force.
// Excess is the maximum, over those starts, of the charges minus the tokens
// accrued since.
func excessFrom(charges []Charge, bounds []Bound, k int) int64 {
	worst, excess := int64(0), int64(0)
	last := bounds[k].From
	for _, c := range charges {
		if c.At < bounds[k].From {
			continue
		}
		excess -= accruedNanotokens(bounds, last, c.At)
		if inside := k+1 == len(bounds) || c.At < bounds[k+1].From; inside {
			excess = max(excess, 0)
		}
		excess += int64(c.Tokens) * nanosPerToken
		worst = max(worst, excess-maxBurstNanotokens(bounds[k:], c.At))
		last = c.At
	}
	return worst
}

// accruedNanotokens returns the integral of the rate over a span, in nanotokens.
func accruedNanotokens(bounds []Bound, from, to core.Instant) int64 {
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

// maxBurstNanotokens returns the largest burst of bounds in force up to an
// instant, in nanotokens.
func maxBurstNanotokens(bounds []Bound, at core.Instant) int64 {
	burst := int64(0)
	for _, b := range bounds {
		if b.From <= at {
			burst = max(burst, int64(b.Burst)*nanosPerToken)
		}
	}
	return burst
}
