// Package cost estimates what a request costs an engine: the prompt tokens to be read, the tokens
// to be generated, and the memory that it holds at its end. Callers declare a maximum output, which
// most don't use up, and an estimate of the output (hint), which is right at the median only. How far both are off is
// learned from requests that have ended. Which replica gets a request is decided elsewhere.
package cost

import (
	"gentiancroft/internal/core"
	"gentiancroft/internal/core/table"
)

const (
	// outputQuantile is the quantile of the outputs that is taken for a request's. The median would
	// promise too little memory: the tail is heavy.
	outputQuantile = 0.8
	// learningStep is the step of a learned quantile at one observation.
	learningStep = 0.03
	// minObservations is how many ended requests must have been seen until what is learned of a
	// route or service is used.
	minObservations = 20
	// maxRoutes bounds the routes of which something is learned.
	maxRoutes = 256
	// maxHintFactor bounds by how much an output exceeds its hint.
	maxHintFactor = 16.0
	// eventDrift is how fast the learned tokens per event rise, for each request that ends, where
	// no request shows fewer.
	eventDrift = 1.002
)

// Estimate is the cost of a request, in tokens.
type Estimate struct {
	Read   core.Tokens // of the prompt, that the replica must still read
	Output core.Tokens // to be generated
	Peak   core.Tokens // held in memory at the end
}

// Request is what a caller has declared.
type Request struct {
	Route     string
	Service   table.ServiceID
	Prompt    core.Tokens
	MaxOutput core.Tokens // 0: not declared
	Hint      core.Tokens // the caller's estimate of the output; 0: none
}

// outputs is what is learned of the outputs of a route's or service's requests.
type outputs struct {
	fraction, factor quantile // of the declared maximum, of the hint
}

// quantile approximates the outputQuantile of observed ratios in small steps, without keeping them.
type quantile struct {
	value float64
	seen  int
}

func (q *quantile) observe(ratio, most float64) {
	q.seen++
	switch {
	case q.seen == 1:
		q.value = ratio
	case ratio > q.value:
		q.value = min(q.value*(1+learningStep*outputQuantile)+learningStep/100, most)
	default:
		q.value *= 1 - learningStep*(1-outputQuantile)
	}
}

func (q *quantile) known() bool { return q.seen >= minObservations }

// Estimator learns the outputs by route and service.
type Estimator struct {
	routes   map[string]*outputs
	services map[table.ServiceID]*outputs
	perEvent map[table.ServiceID]float64 // tokens that an event of a stream holds
}

// NewEstimator returns an estimator that has learned nothing: it returns the declared maximum output.
func NewEstimator() *Estimator {
	return &Estimator{routes: map[string]*outputs{}, services: map[table.ServiceID]*outputs{}, perEvent: map[table.ServiceID]float64{}}
}

// Observe learns from a request that has ended with its whole output.
func (e *Estimator) Observe(r Request, events int) {
	if r.MaxOutput <= 0 || events <= 0 {
		return
	}
	generated := e.generated(r, events)
	if e.routes[r.Route] == nil {
		if len(e.routes) >= maxRoutes {
			clear(e.routes)
		}
		e.routes[r.Route] = &outputs{}
	}
	if e.services[r.Service] == nil {
		e.services[r.Service] = &outputs{}
	}
	for _, o := range []*outputs{e.routes[r.Route], e.services[r.Service]} {
		o.fraction.observe(generated/float64(r.MaxOutput), 1)
		if r.Hint > 0 {
			o.factor.observe(generated/float64(r.Hint), maxHintFactor)
		}
	}
}

// generated returns the tokens of events. How many an event holds shows in the requests that use up
// their maximum output: no other has as few for each event.
func (e *Estimator) generated(r Request, events int) float64 {
	most := float64(r.MaxOutput) / float64(events)
	per, known := e.perEvent[r.Service]
	if !known || most < per {
		per = most
	} else {
		per *= eventDrift
	}
	e.perEvent[r.Service] = per
	return min(float64(events)*per, float64(r.MaxOutput))
}

// Estimate returns the estimated cost of a request of whose prompt a part is kept by the replica.
func (e *Estimator) Estimate(r Request, kept core.Tokens) Estimate {
	output := e.output(r)
	return Estimate{Read: max(r.Prompt-kept, 0), Output: output, Peak: r.Prompt + output}
}

func (e *Estimator) output(r Request) core.Tokens {
	for _, o := range []*outputs{e.routes[r.Route], e.services[r.Service]} {
		switch {
		case o == nil:
		case r.Hint > 0 && o.factor.known():
			return atMost(float64(r.Hint)*o.factor.value, r.MaxOutput)
		case o.fraction.known():
			return atMost(float64(r.MaxOutput)*o.fraction.value, r.MaxOutput)
		}
	}
	return r.MaxOutput
}

// atMost returns a number of tokens, at most the declared maximum if there is one.
func atMost(tokens float64, most core.Tokens) core.Tokens {
	if most > 0 {
		return min(core.Tokens(tokens), most)
	}
	return core.Tokens(tokens)
}
