package promptpart

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gentiancroft/internal/core"
)

const (
	// maxRounds is after how many crashes in a row a part is blocked on which no answer is known.
	maxRounds = 3
	// maxTrustedRounds is the same for a part on which there has been an answer: another part of
	// the same prompts is more likely.
	maxTrustedRounds = 6
	// maxSightings bounds what is remembered of one part.
	maxSightings = 16
)

// sighting is a Sighting on this host's clock.
type sighting struct {
	incarnation Incarnation
	sent, ended core.Instant
}

// record is what is known of one part.
type record struct {
	sightings    []sighting   // since the last acquittal, by their ends
	inherited    int          // crashes in a row before, that earlier processes have seen
	acquittedAt  core.Instant // when the last known answer on it ended; 0: none is known
	blockedAt    core.Instant // 0: it isn't blocked
	blockedFor   int          // crashes in a row for which it was blocked
	trials       int          // requests with it that were tried since
	failed       int          // of these, those under which a replica was lost
	triedAt      core.Instant // when the first of them was sent after the last that failed, or not long before; 0: there was none
	nextTrial    core.Instant
	lastReported core.Instant // when the record last changed
}

// rounds is as Tracker.Rounds.
func (r *record) rounds() int {
	n, last := r.inherited, core.Instant(math.MinInt64)
	for _, s := range r.sightings {
		if s.sent > last {
			n++
			last = s.ended
		}
	}
	return n
}

// maxRounds returns after how many crashes in a row the part is blocked.
func (r *record) maxRounds() int {
	if r.acquittedAt != 0 {
		return maxTrustedRounds
	}
	return maxRounds
}

// wasAt reports whether the part was at the end of an incarnation.
func (r *record) wasAt(i Incarnation) bool {
	return slices.ContainsFunc(r.sightings, func(s sighting) bool { return s.incarnation == i })
}

// ends returns the incarnations at whose ends the part was.
func (r *record) ends() []Incarnation {
	ends := make([]Incarnation, len(r.sightings))
	for i, s := range r.sightings {
		ends[i] = s.incarnation
	}
	return ends
}

// add adds a sighting, or merges it with that of the same incarnation. It reports whether it was
// unknown.
func (r *record) add(s sighting) bool {
	i := slices.IndexFunc(r.sightings, func(known sighting) bool { return known.incarnation == s.incarnation })
	if i >= 0 {
		known := &r.sightings[i]
		known.sent, known.ended = max(known.sent, s.sent), min(known.ended, s.ended)
	} else {
		r.sightings = append(r.sightings, s)
	}
	slices.SortStableFunc(r.sightings, func(a, b sighting) int { return cmp.Compare(a.ended, b.ended) })
	r.sightings = r.sightings[max(0, len(r.sightings)-maxSightings):]
	return i < 0
}

// block applies a verdict.
func (r *record) block(now core.Instant, v Verdict) {
	r.blockedAt, r.nextTrial = max(now.Add(-max(v.Age, 0)), 1), now.Add(max(v.NextIn, 0))
	r.trials, r.failed, r.triedAt = max(v.Trials, 0), max(v.Failed, 0), 0
	r.blockedFor, r.lastReported = v.Rounds, now
}

// verdict returns the verdict on the part, which is blocked.
func (r *record) verdict(now core.Instant, p ID) Verdict {
	return Verdict{
		Part: p, Age: now.Sub(r.blockedAt), Rounds: r.blockedFor,
		Trials: r.trials, Failed: r.failed, NextIn: max(r.nextTrial.Sub(now), 0),
	}
}

// beginTrial applies that a request is tried.
func (r *record) beginTrial(now core.Instant) {
	shownNothing := max(r.trials-r.failed, 0)
	r.trials++
	r.lastReported = now
	if r.triedAt == 0 {
		r.triedAt = max(now, 1)
	}
	r.nextTrial = now.Add(backoff(trialTime, 2, max(shownNothing+1-quickTrials, 0)))
}

// failTrial applies that a replica was lost under the trial.
func (r *record) failTrial(now core.Instant) {
	r.failed++
	r.triedAt, r.lastReported = 0, now
	r.nextTrial = now.Add(backoff(firstTrialDelay, trialBackoffFactor, r.failed))
}

// applyTrials applies another host's verdict on the part, which is blocked, if that host knows of
// more trials.
func (r *record) applyTrials(now core.Instant, v Verdict) {
	switch {
	case v.Failed > r.failed:
		r.triedAt = 0
	case v.Failed == r.failed && v.Trials > r.trials:
		if r.triedAt == 0 {
			r.triedAt = max(now.Add(-reportDelay), 1)
		}
	default:
		return
	}
	r.trials, r.failed = max(r.trials, v.Trials), v.Failed
	r.nextTrial, r.lastReported = now.Add(max(v.NextIn, 0)), now
}

// backoff returns a time that grows by a factor with each of n repetitions, up to maxTrialDelay.
func backoff(first time.Duration, factor, n int) time.Duration {
	delay := first
	for range n {
		delay = min(delay*time.Duration(factor), maxTrialDelay)
	}
	return delay
}

// before reports whether a record is given up sooner than another one.
func (r *record) before(o *record) bool {
	if blocked := r.blockedAt != 0; blocked != (o.blockedAt != 0) {
		return !blocked
	}
	return r.lastReported < o.lastReported
}
