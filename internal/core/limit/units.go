package limit

import (
	"math"
	"math/bits"
	"time"

	"gentiancroft/internal/core"
)

// nano is an amount of 1e-9 tokens.
type nano int64

// microRate is a rate of 1e-6 tokens a second.
type microRate int64

// Units and the limits that keep integer arithmetic from overflowing.
const (
	nanosPerToken  = 1_000_000_000
	microsPerToken = 1_000_000
	million        = 1_000_000
	// MaxTokens is the greatest burst and rate that is kept; greater ones count as this.
	MaxTokens = core.Tokens(4_000_000_000)
	maxNano   = nano(MaxTokens) * nanosPerToken
)

func clampTokens(t core.Tokens) core.Tokens { return min(max(t, 0), MaxTokens) }

func nanos(t core.Tokens) nano { return nano(clampTokens(t)) * nanosPerToken }

func micros(t core.Tokens) microRate { return microRate(clampTokens(t)) * microsPerToken }

// mulDiv is a*b/c rounded down, saturating; a, b >= 0 and c > 0.
func mulDiv(a, b, c int64) int64 {
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	if hi >= uint64(c) {
		return math.MaxInt64
	}
	q, _ := bits.Div64(hi, lo, uint64(c))
	return int64(min(q, math.MaxInt64))
}

// accrued is what a rate gives in a span, rounded down.
func accrued(r microRate, d time.Duration) nano {
	if r <= 0 || d <= 0 {
		return 0
	}
	return min(nano(mulDiv(int64(r), int64(d), million)), maxNano)
}

// timeFor is how long a rate takes to give an amount, rounded up.
func timeFor(n nano, r microRate) time.Duration {
	if n <= 0 {
		return 0
	}
	if r <= 0 {
		return math.MaxInt64
	}
	d := mulDiv(int64(n), million, int64(r))
	return time.Duration(min(d, math.MaxInt64-1) + 1)
}

// slower is a rate with the drift bound taken off, so that a fast clock
// doesn't accrue more than real time allows.
func slower(r microRate, ppm int64) microRate {
	return microRate(mulDiv(int64(r), million-ppm, million))
}

// longer is a span after which another host's clock has surely measured d.
func longer(d time.Duration, ppm int64) time.Duration {
	return d + time.Duration(mulDiv(int64(d), 2*ppm, million)) + 1
}
