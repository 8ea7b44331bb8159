package replicamodel

import (
	"math"
	"time"

	"gentiancroft/internal/core"
)

const (
	// quantile of the observed speeds that is taken for the speed. Those of requests that
	// waited for something else as well are too low.
	quantile = 0.7
	// learningRate is the relative step of the speed at one observation.
	learningRate = 0.05
	// minTokens is the least work of which an observation counts: shorter prompts are
	// dominated by what does not depend on their length.
	minTokens = 500
)

// Speed is the speed at which a service's engines read prompts.
type Speed struct {
	tokensPerSecond float64 // 0: not known yet
}

// Observe records that an engine took some time to read a number of tokens: those queued
// when a request was sent, and its own.
func (s *Speed) Observe(tokens core.Tokens, took time.Duration) {
	if tokens < minTokens || took <= 0 {
		return
	}
	observed := float64(tokens) / took.Seconds()
	switch {
	case s.tokensPerSecond == 0:
		s.tokensPerSecond = observed
	case observed > s.tokensPerSecond:
		s.tokensPerSecond *= math.Exp(learningRate * quantile)
	default:
		s.tokensPerSecond *= math.Exp(-learningRate * (1 - quantile))
	}
}

// ReadTime returns how long an engine takes to read a number of tokens, and 0 while the
// speed is not known.
func (s *Speed) ReadTime(tokens core.Tokens) time.Duration { return seconds(s.readSeconds(tokens)) }

func (s *Speed) readSeconds(tokens core.Tokens) float64 {
	if s.tokensPerSecond == 0 {
		return 0
	}
	return float64(tokens) / s.tokensPerSecond
}
