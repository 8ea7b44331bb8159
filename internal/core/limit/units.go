package limit

import (
	"math"
	"math/bits"
	"time"

	"gentiancroft/internal/core"
)

// nanotokens is an amount in 1e-9 tokens.
type nanotokens int64

// microtokenRate is a rate in 1e-6 tokens per second.
type microtokenRate int64

// Units, and the bound that keeps integer arithmetic from overflowing.
const (
	nanotokensPerToken  = 1_000_000_000
	microtokensPerToken = 1_000_000
	million             = 1_000_000
	// MaxTokens is the maximum burst and rate; greater ones are treated as this one.
	MaxTokens     = core.Tokens(4_000_000_000)
	maxNanotokens = nanotokens(MaxTokens) * nanotokensPerToken
)

func clampTokens(t core.Tokens) core.Tokens { return min(max(t, 0), MaxTokens) }

func toNanotokens(t core.Tokens) nanotokens { return nanotokens(clampTokens(t)) * nanotokensPerToken }

func toMicrotokenRate(t core.Tokens) microtokenRate {
	return microtokenRate(clampTokens(t)) * microtokensPerToken
}

// mulDiv returns a*b/c rounded down, saturating; a, b >= 0 and c > 0.
func mulDiv(a, b, c int64) int64 {
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	if hi >= uint64(c) {
		return math.MaxInt64
	}
	q, _ := bits.Div64(hi, lo, uint64(c))
	return int64(min(q, math.MaxInt64))
}

// accrued returns what a rate yields in d, rounded down; 0 if either is not positive.
func accrued(r microtokenRate, d time.Duration) nanotokens {
	if r <= 0 || d <= 0 {
		return 0
	}
	return min(nanotokens(mulDiv(int64(r), int64(d), million)), maxNanotokens)
}

// accrualTime returns how long a rate takes to yield n, rounded up; 0 if n is not
// positive, the maximum duration if only the rate is not.
func accrualTime(n nanotokens, r microtokenRate) time.Duration {
	if n <= 0 {
		return 0
	}
	if r <= 0 {
		return math.MaxInt64
	}
	d := mulDiv(int64(n), million, int64(r))
	return time.Duration(min(d, math.MaxInt64-1) + 1)
}

// slowedByDrift returns a rate less the drift bound, so that a fast clock doesn't
// accrue more than real time allows.
func slowedByDrift(r microtokenRate, ppm int64) microtokenRate {
	return microtokenRate(mulDiv(int64(r), million-ppm, million))
}

// extendedByDrift returns a duration after which another host's clock has certainly
// measured d.
func extendedByDrift(d time.Duration, ppm int64) time.Duration {
	return d + time.Duration(mulDiv(int64(d), 2*ppm, million)) + 1
}
