package replicamodel

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
)

// Figures of the engines in these tests.
const (
	testSpeed    = 38000.0 // tokens a second that an average engine reads
	testOverhead = 100 * time.Millisecond
	testBatch    = 12
)

// engine is a replica that answers requests after the time that its load and slowness give.
type engine struct {
	Replica
	slowness float64
}

// fleet drives one service's model by the first events of its engines.
type fleet struct {
	service Service
	engines []*engine
	rng     *core.Rand
	now     core.Instant
}

func newFleet(slowness ...float64) *fleet {
	f := &fleet{rng: core.NewRand(7)}
	for _, s := range slowness {
		f.engines = append(f.engines, &engine{slowness: s})
	}
	return f
}

// answer has an engine answer a request with prompts of up to 8,000 tokens ahead of it. One in
// five finds a part of its prompt in the cache, one in five waits for a queue that this host
// hasn't heard of.
func (f *fleet) answer(e *engine) {
	load := Load{Requests: 4, Batch: testBatch, Prompts: core.Tokens(200 + f.rng.IntN(8000))}
	predicted := f.service.FirstEvent(load)
	read := float64(load.Prompts) / testSpeed
	switch f.rng.IntN(5) {
	case 0:
		read *= 0.7
	case 1:
		read += 0.1
	}
	took := time.Duration((testOverhead.Seconds() + read) * e.slowness * float64(time.Second))
	e.Observe(f.now, predicted, took)
	f.service.ObserveFirstEvent(load, took)
}

// run has every engine answer a request every 100 ms.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(100 * time.Millisecond) {
		for _, e := range f.engines {
			f.answer(e)
		}
	}
}

func (f *fleet) factor(i int) float64 { return f.engines[i].Factor(f.now) }

// The zero model predicts nothing, so that a host without observations chooses by its loads alone.
func TestModelWithoutObservationsPredictsNoTime(t *testing.T) {
	is := is.New(t)
	var s Service
	var r Replica
	is.Equal(s.Predict(0, &r, Load{Requests: 30, Batch: testBatch, Prompts: 9000}), Prediction{Factor: 1})
	s.Speed.Observe(10000, time.Second)
	is.Equal(s.Predict(0, &r, Load{Prompts: 5000}).FirstEvent, s.Speed.ReadTime(5000)) // the service's speed alone
}

func TestFirstEventsAreLearned(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 1)
	f.run(30 * time.Second)
	for _, tokens := range []core.Tokens{300, 3000, 9000} {
		want := testOverhead + time.Duration(float64(tokens)/testSpeed*float64(time.Second))
		is.True(within(f.service.FirstEvent(Load{Requests: 1, Batch: testBatch, Prompts: tokens}), want, 0.3))
	}
}

// Engines differ by their hardware. A model of the service alone sends the slower ones as much.
func TestFastAndSlowHardwareIsToldApart(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1.3, 1, 1.3)
	f.run(20 * time.Second)
	for _, i := range []int{0, 2} {
		ratio := f.factor(i+1) / f.factor(i)
		is.True(ratio > 1.12 && ratio < 1.5)
	}
}

// A replica that is 3.5 times slower for 6.5 s must be found after a few answers, and must not be
// avoided for long after.
func TestSlowdownIsFoundWithinAFewAnswersAndForgotten(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1.3, 1)
	f.run(20 * time.Second)
	usual := f.factor(0)
	f.engines[0].slowness = 3.5
	f.run(400 * time.Millisecond) // four answers
	is.True(f.factor(0) > 1.8*usual)
	f.run(6100 * time.Millisecond)
	is.True(f.factor(0) > 2.3*usual)
	f.engines[0].slowness = 1
	f.run(time.Second)
	is.True(f.factor(0) < 1.4*usual)
}

// A replica that gets nothing while it is slow shows no recovery.
func TestSlowdownIsForgottenWithoutAnswers(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1)
	f.run(20 * time.Second)
	usual := f.factor(0)
	f.engines[0].slowness = 3.5
	f.run(time.Second)
	is.True(f.factor(0) > 2*usual)
	f.now = f.now.Add(3 * transientHalfLife)
	is.True(f.factor(0) < 1.3*usual)
}

// A replica that hangs sends no first event at all.
func TestReplicaThatDoesNotAnswerIsFound(t *testing.T) {
	is := is.New(t)
	var r Replica
	const predicted = 200 * time.Millisecond
	r.ObserveWaiting(0, predicted, predicted-1)
	is.Equal(r.Factor(0), 1.0)
	for waits := 2 * predicted; waits < 8*predicted; waits += 100 * time.Millisecond {
		r.ObserveWaiting(core.Instant(waits), predicted, waits)
	}
	is.True(r.Factor(core.Instant(8*predicted)) > 2.5)
}

func TestRequestBeyondTheBatchWaitsForAPlace(t *testing.T) {
	is := is.New(t)
	var s Service
	for range 100 {
		s.ObservePlace(2400 * time.Millisecond)
	}
	is.Equal(s.FirstEvent(Load{Requests: testBatch, Batch: testBatch}), time.Duration(0))
	is.True(within(s.FirstEvent(Load{Requests: testBatch + 3, Batch: testBatch}), 600*time.Millisecond, 0.01))
}

// An engine with 8 steps of 20 ms an event reads a chunk of 2,048 tokens in each step while
// prompts are queued. About 10,000 queued tokens make every stream there miss 300 ms.
func TestQueuedPromptsPauseTheRunningStreams(t *testing.T) {
	is := is.New(t)
	const gap, longest = 160 * time.Millisecond, 590 * time.Millisecond
	f := newFleet(1)
	f.run(20 * time.Second)
	for range 100 {
		f.service.ObserveStream(Stream{Events: 11, Lasted: 10 * gap, LargestGap: longest})
	}
	is.True(within(f.service.Pause(Load{Prompts: 0}), gap, 0.1))
	is.True(f.service.Pause(Load{Prompts: 2000}) < 300*time.Millisecond)
	is.True(f.service.Pause(Load{Prompts: 10000}) > 350*time.Millisecond)
	is.True(within(f.service.Pause(Load{Prompts: 1000000}), longest, 0.1)) // a step reads no more than a chunk
}

func TestStreamsWithoutGapsTeachNothing(t *testing.T) {
	is := is.New(t)
	var s Service
	s.ObserveStream(Stream{Events: 1})
	s.ObserveStream(Stream{Events: minStreamEvents})
	is.Equal(s.Pause(Load{Prompts: 9000}), time.Duration(0))
}
