package promptpart

import (
	"cmp"
	"slices"

	"gentiancroft/internal/core"
)

// Verdicts returns all blocked parts, sorted, up to the bound of a report.
func (t *Tracker) Verdicts(now core.Instant) []Verdict {
	var all []Verdict
	for p, r := range t.records {
		if r.blockedAt != 0 {
			all = append(all, r.verdict(now, p))
		}
	}
	slices.SortFunc(all, func(a, b Verdict) int { return cmp.Compare(a.Part, b.Part) })
	return bounded(all)
}

// Suspicions returns the suspected parts that aren't blocked, those with the most crashes first, up
// to a number.
func (t *Tracker) Suspicions(now core.Instant, most int) []Suspicion {
	var all []Suspicion
	for p, r := range t.records {
		if n := r.rounds(); n > 0 && r.blockedAt == 0 {
			answered, _ := t.LastAnswer(now, p)
			all = append(all, Suspicion{Part: p, Rounds: n, Answered: answered})
		}
	}
	slices.SortFunc(all, func(a, b Suspicion) int {
		return cmp.Or(cmp.Compare(b.Rounds, a.Rounds), cmp.Compare(a.Part, b.Part))
	})
	return all[:min(len(all), most)]
}

// Inherit applies what an earlier process has known of a part. It doesn't block the part.
func (t *Tracker) Inherit(now core.Instant, s Suspicion) {
	r := t.recordOf(now, s.Part)
	if s.Answered > 0 {
		r.acquittedAt = max(r.acquittedAt, now.Add(-s.Answered), 1)
	}
	r.inherited = max(r.inherited, min(s.Rounds, r.maxRounds()-1))
}
