package promptpart

import (
	"time"

	"gentiancroft/internal/core"
)

// A blocked part's requests are refused, so that nothing shows whether it still crashes replicas. Now
// and then one of them is tried.

// Times from the verdict on a part to its first trial, and between trials under which replicas
// were lost.
const (
	firstTrialDelay    = 8 * time.Second
	trialBackoffFactor = 4
	maxTrialDelay      = time.Hour

	// ambiguousTrialDelay is the time to the first trial of parts that were blocked together: a
	// request that has only one of them shows which it is.
	ambiguousTrialDelay = time.Second
	// jointTrialDelay is added for a request that has several blocked parts.
	jointTrialDelay = time.Minute
)

const (
	// trialTime is how long a trial may show nothing until the next one: its caller may have left,
	// or its replica not have run it.
	trialTime = time.Second
	// quickTrials is how many such trials have that time. Each further one has twice the time of the
	// one before.
	quickTrials = 5
	// reportDelay is what the report of a trial may have taken to reach this host.
	reportDelay = 300 * time.Millisecond
)

// NextTrial returns the first blocked one of a prompt's parts, and the time until a request with
// these parts may be tried; 0: it may now. It returns false where none is blocked.
func (t *Tracker) NextTrial(now core.Instant, parts []ID) (first ID, wait time.Duration, blocked bool) {
	n, due := 0, now
	for _, p := range parts {
		r := t.records[p]
		if r == nil || r.blockedAt == 0 {
			continue
		}
		n++
		switch n {
		case 1:
			first, due = p, r.nextTrial
		default:
			due = max(due, r.nextTrial)
		}
	}
	if n > 1 {
		due = due.Add(jointTrialDelay)
	}
	return first, max(due.Sub(now), 0), n > 0
}

// BeginTrial records that a request with a blocked part is tried, and returns the verdict for the
// other hosts.
func (t *Tracker) BeginTrial(now core.Instant, p ID) Verdict {
	r := t.recordOf(now, p)
	r.beginTrial(now)
	return r.verdict(now, p)
}
