package replicamodel

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
)

// observeAt records requests of one engine that reads at a speed. Some are delayed by
// something else, and some find a part of their prompt in the cache.
func observeAt(s *Speed, tokensPerSecond float64, requests int) {
	rng := core.NewRand(1)
	for range requests {
		tokens := core.Tokens(1000 + rng.IntN(9000))
		took := time.Duration(float64(tokens) / tokensPerSecond * float64(time.Second))
		switch rng.IntN(10) {
		case 0, 1:
			took += 200 * time.Millisecond
		case 2:
			took /= 2
		}
		s.Observe(tokens, took)
	}
}

func within(got, want time.Duration, tolerance float64) bool {
	return got.Seconds() > want.Seconds()*(1-tolerance) && got.Seconds() < want.Seconds()*(1+tolerance)
}

func TestSpeedIsLearnedDespiteDelayedAndCachedRequests(t *testing.T) {
	is := is.New(t)
	var s Speed
	is.Equal(s.ReadTime(1000), time.Duration(0)) // unknown
	observeAt(&s, 20000, 200)
	is.True(within(s.ReadTime(10000), 500*time.Millisecond, 0.2))
}

// Engines slow down under load, and become fast again.
func TestSpeedFollowsTheEngines(t *testing.T) {
	is := is.New(t)
	var s Speed
	observeAt(&s, 20000, 100)
	observeAt(&s, 5000, 200)
	is.True(within(s.ReadTime(10000), 2*time.Second, 0.2))
	observeAt(&s, 20000, 200)
	is.True(within(s.ReadTime(10000), 500*time.Millisecond, 0.2))
}

func TestShortAndInvalidObservationsAreIgnored(t *testing.T) {
	is := is.New(t)
	var s Speed
	s.Observe(minTokens-1, time.Second)
	s.Observe(minTokens, 0)
	s.Observe(-5, time.Second)
	is.Equal(s.ReadTime(1000), time.Duration(0))
}
