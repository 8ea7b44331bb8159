// Package replicamodel predicts what an engine does with a request: when its first event
// comes, and how long the pauses between the events of the streams become that run there.
//
// An engine generates in steps for all its running requests together, and reads the queued
// prompts in chunks between these steps. The queued tokens therefore delay the first event of
// a new request and the next events of the running streams alike. The model has two levels:
// Service is what all engines of a service have in common, and Replica is how much slower or
// faster one incarnation is. Which replica gets a request is decided elsewhere.
package replicamodel

import (
	"math"
	"time"

	"gentiancroft/internal/core"
)

const (
	// overheadQuantile is the quantile of first events without a queue that is taken for the
	// part of a first event's time that doesn't depend on the prompt.
	overheadQuantile = 0.5
	// gapQuantile is the quantile of the streams' mean gaps that is taken for the gap without
	// queued prompts: most streams meet some.
	gapQuantile = 0.2
	// delayQuantile is the quantile of the streams' largest gaps that bounds how much queued
	// prompts delay one event.
	delayQuantile = 0.95
	// placeLearningRate is the weight of one ended request in the mean time that a request
	// holds its place.
	placeLearningRate = 0.05
	// minOverheadTime bounds the overhead that is learned from below: what is shorter is the
	// network's.
	minOverheadTime = time.Millisecond
)

// quantileTime follows a quantile of observed times by steps of a fraction of its value.
type quantileTime struct{ seconds float64 }

func (q *quantileTime) observe(d time.Duration, quantile float64) {
	observed := max(d, minOverheadTime).Seconds()
	switch {
	case q.seconds == 0:
		q.seconds = observed
	case observed > q.seconds:
		q.seconds *= math.Exp(learningRate * quantile)
	default:
		q.seconds *= math.Exp(-learningRate * (1 - quantile))
	}
}

// Service is what the engines of one service have in common. The zero value knows nothing and
// predicts no time at all.
type Service struct {
	Speed    Speed
	overhead quantileTime // of a first event without queued prompts
	gap      quantileTime // between two events without queued prompts
	longest  quantileTime // between two events while prompts are queued
	place    float64      // seconds that a request holds its place after its first event; 0: not known
}

// Load is what is at a replica when a request is about to be sent there, that request included.
type Load struct {
	Requests int         // running and waiting there
	Batch    int         // that run concurrently
	Prompts  core.Tokens // that it has to read
}

// ObserveFirstEvent learns from a first event that came some time after its request was sent to
// a replica with this load. Requests that waited for a place show nothing of the reading.
func (s *Service) ObserveFirstEvent(l Load, took time.Duration) {
	switch {
	case l.Batch > 0 && l.Requests > l.Batch:
	case l.Prompts < minTokens:
		s.overhead.observe(took-s.Speed.ReadTime(l.Prompts), overheadQuantile)
	default:
		// An overhead that is too high must not make the speed infinite.
		s.Speed.Observe(l.Prompts, max(took-seconds(s.fixed()), took/2))
	}
}

// fixed returns the seconds of a first event that don't depend on the prompts. Where no short
// prompt has shown it, it is that of one more event: the steps that generate it.
func (s *Service) fixed() float64 {
	if s.overhead.seconds > 0 {
		return s.overhead.seconds
	}
	return s.gap.seconds
}

// FirstEvent predicts how long the first event of a request takes at a replica of average
// speed.
func (s *Service) FirstEvent(l Load) time.Duration {
	return seconds(s.firstEvent(l))
}

func (s *Service) firstEvent(l Load) float64 {
	return s.fixed() + s.Speed.readSeconds(l.Prompts) + s.placeWait(l)
}

// placeWait predicts the seconds until a place in a full batch becomes free.
func (s *Service) placeWait(l Load) float64 {
	if l.Batch <= 0 || l.Requests <= l.Batch {
		return 0
	}
	return float64(l.Requests-l.Batch) * s.place / float64(l.Batch)
}

// Pause predicts the time between two events of a stream that runs at a replica of average
// speed with these prompts queued; 0 where no gap has been observed.
func (s *Service) Pause(l Load) time.Duration { return seconds(s.pause(l)) }

func (s *Service) pause(l Load) float64 {
	if s.gap.seconds == 0 {
		return 0
	}
	delay := s.Speed.readSeconds(l.Prompts)
	return s.gap.seconds + min(delay, max(s.longest.seconds-s.gap.seconds, 0))
}

// Stream is what has been seen of the events of a stream that has ended.
type Stream struct {
	Events     int           // complete events
	Lasted     time.Duration // from the first to the last
	LargestGap time.Duration // between two of them
}

// minStreamEvents is the least number of events of which the gaps count.
const minStreamEvents = 3

// ObserveStream learns from the gaps between the events of a stream.
func (s *Service) ObserveStream(o Stream) {
	if o.Events < minStreamEvents || o.Lasted <= 0 {
		return
	}
	s.gap.observe(o.Lasted/time.Duration(o.Events-1), gapQuantile)
	s.longest.observe(o.LargestGap, delayQuantile)
}

// ObservePlace learns how long a request held its place after its first event.
func (s *Service) ObservePlace(held time.Duration) {
	if held <= 0 {
		return
	}
	if s.place == 0 {
		s.place = held.Seconds()
		return
	}
	s.place += placeLearningRate * (held.Seconds() - s.place)
}

const (
	// persistentRate is the weight of one observation in the persistent factor. A larger one would
	// follow single requests that waited for something else.
	persistentRate = 0.03
	// persistentOutlier is the deviation from which an observation shows a slowdown or a wait for
	// something else rather than the hardware.
	persistentOutlier = 0.6
	// persistentLimit bounds the logarithm of the persistent factor: engines of one service differ
	// by their hardware, not by more.
	persistentLimit = 0.7
	// transientRate is the weight of one observation in the transient factor: three in a row show
	// two thirds of a slowdown.
	transientRate = 0.3
	// transientLimit bounds the logarithm of one observation, so that a single request that hung
	// doesn't count for many.
	transientLimit = 1.6
	// transientHalfLife is the time after which half of a slowdown is forgotten without further
	// answers. A replica that gets no more requests would never show its recovery.
	transientHalfLife = 2 * time.Second
	// minSurePrediction is the least predicted time that an observation is compared with.
	minSurePrediction = 5 * time.Millisecond
)

// Replica is how much slower one incarnation is than the average of its service. It has a
// persistent part (its hardware) and a transient one (a slowdown). The zero value is average.
type Replica struct {
	persistent float64       // logarithm of the factor
	transient  core.Decaying // likewise, with transientHalfLife
}

// Factor returns by how much longer than the average the replica takes, 1 for the average.
func (r *Replica) Factor(now core.Instant) float64 {
	if r.transient.Value == 0 {
		if r.persistent == 0 {
			return 1
		}
		return math.Exp(r.persistent)
	}
	return math.Exp(r.persistent + r.transient.Now(now, transientHalfLife))
}

// Observe learns from a first event that took a time, against the one that Service.FirstEvent
// predicted when the request was sent.
func (r *Replica) Observe(now core.Instant, predicted, took time.Duration) {
	if predicted < minSurePrediction || took <= 0 {
		return
	}
	ratio := math.Log(took.Seconds() / predicted.Seconds())
	r.learnTransient(now, max(min(ratio-r.persistent, transientLimit), -transientLimit))
	if math.Abs(ratio-r.persistent) < persistentOutlier {
		r.persistent = max(min(r.persistent+persistentRate*(ratio-r.persistent), persistentLimit), -persistentLimit)
	}
}

// ObserveWaiting learns from a request that has had no first event after a time. Only one that
// waits longer than predicted shows something.
func (r *Replica) ObserveWaiting(now core.Instant, predicted, waits time.Duration) {
	if predicted < minSurePrediction || waits.Seconds() <= predicted.Seconds()*r.Factor(now) {
		return
	}
	r.learnTransient(now, min(math.Log(waits.Seconds()/predicted.Seconds())-r.persistent, transientLimit))
}

// learnTransient moves the transient factor towards an observed deviation, given as a logarithm.
func (r *Replica) learnTransient(now core.Instant, deviation float64) {
	current := r.transient.Now(now, transientHalfLife)
	r.transient = core.Decaying{Value: current + transientRate*(deviation-current), At: now}
}

// Prediction is what a service's model says of a request at one replica.
type Prediction struct {
	FirstEvent time.Duration // until its first event
	Pause      time.Duration // between two events of the streams there, until the prompts are read
	Factor     float64       // of the replica, against the average
}

// Predict predicts what becomes of a request at a replica with this load.
func (s *Service) Predict(now core.Instant, r *Replica, l Load) Prediction {
	factor := r.Factor(now)
	return Prediction{FirstEvent: seconds(s.firstEvent(l) * factor), Pause: seconds(s.pause(l) * factor), Factor: factor}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
