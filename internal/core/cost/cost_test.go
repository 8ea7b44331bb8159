package cost

import (
	"testing"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
)

const tokensPerEvent = 8

// end has requests end that generate tokens of a declared maximum.
func end(e *Estimator, r Request, outputs ...int) {
	for _, tokens := range outputs {
		e.Observe(r, (tokens+tokensPerEvent-1)/tokensPerEvent)
	}
}

func repeat(n int, outputs ...int) (all []int) {
	for range n {
		all = append(all, outputs...)
	}
	return all
}

func TestRequestsAreTakenAtTheirWordUntilOthersHaveEnded(t *testing.T) {
	is := is.New(t)
	e := NewEstimator()
	r := Request{Route: "a", Service: "s", Prompt: 1000, MaxOutput: 800, Hint: 100}
	is.Equal(e.Estimate(r, 0), Estimate{Read: 1000, Output: 800, Peak: 1800})
	is.Equal(e.Estimate(r, 700).Read, core.Tokens(300))
	is.Equal(e.Estimate(r, 7000).Read, core.Tokens(0))
	e.Observe(r, 0)
	e.Observe(Request{Route: "a", Service: "s"}, 5) // nothing declared
	is.Equal(e.Estimate(r, 0).Output, core.Tokens(800))
}

// Guards against promises of memory by the declaration: most requests use a part of it.
func TestOutputIsLearnedAgainstTheDeclaration(t *testing.T) {
	is := is.New(t)
	e := NewEstimator()
	r := Request{Route: "a", Service: "s", MaxOutput: 800}
	end(e, r, repeat(60, 80, 160, 160, 80, 240, 80, 160, 80, 160, 800)...)
	got := e.Estimate(r, 0).Output
	is.True(got >= 130 && got <= 300) // four fifths are 160 or less
	other := e.Estimate(Request{Route: "b", Service: "s", MaxOutput: 800}, 0).Output
	is.True(other >= 130 && other <= 300) // a route of which nothing is known: as its service
	is.Equal(e.Estimate(Request{Route: "b", Service: "t", MaxOutput: 800}, 0).Output, core.Tokens(800))
}

// Hints are right at the median only.
func TestHintIsCorrectedByWhatRequestsGenerate(t *testing.T) {
	is := is.New(t)
	e := NewEstimator()
	r := Request{Route: "a", Service: "s", MaxOutput: 1600, Hint: 160}
	end(e, r, repeat(60, 80, 160, 160, 400, 80, 160, 160, 400, 160, 1600)...)
	got := e.Estimate(r, 0).Output
	is.True(got >= 250 && got <= 600)
	r.Hint = 1600
	is.Equal(e.Estimate(r, 0).Output, core.Tokens(1600)) // never beyond the declaration
}

func TestRoutesAreBounded(t *testing.T) {
	is := is.New(t)
	e := NewEstimator()
	for i := range 3 * maxRoutes {
		e.Observe(Request{Route: string(rune('a' + i)), Service: "s", MaxOutput: 80}, 5)
	}
	is.True(len(e.routes) <= maxRoutes)
}
