package promptpart

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/recent"
)

// Change is what an input has changed about a part.
type Change uint8

// Changes.
const (
	Unchanged   Change = iota
	Suspected          // a replica ended under it
	Acquitted          // an answer on it came to a certain end
	Blocked            // it is kept from replicas
	LetIn              // it is no longer blocked
	Disputed           // another host has blocked it, and doesn't know of an answer on it
	TrialFailed        // it is blocked, and a replica ended under a trial
)

// Tracker holds what one host knows of parts. It is not safe for concurrent use.
type Tracker struct {
	records   map[ID]*record
	sound     *recent.Map[ID, core.Instant] // when the last answer on a part came to a certain end
	digest    uint64                        // of the blocked parts
	explained map[Incarnation]core.Instant  // ends at which a blocked part was, and when that was seen
}

// NewTracker returns a tracker that knows nothing.
func NewTracker() *Tracker {
	return &Tracker{
		records:   map[ID]*record{},
		sound:     recent.NewMap[ID, core.Instant](soundMemory, maxSoundParts),
		explained: map[Incarnation]core.Instant{},
	}
}

// Suspected reports whether a replica has ended under a part since the last answer on it.
func (t *Tracker) Suspected(p ID) bool {
	r := t.records[p]
	return r != nil && (r.rounds() > 0 || r.blockedAt != 0)
}

// Blocked reports whether a part is kept from replicas.
func (t *Tracker) Blocked(p ID) bool {
	r := t.records[p]
	return r != nil && r.blockedAt != 0
}

// Rounds returns how many crashes in a row a part has been at since the last answer on it. Of
// crashes that a request with the part can't have caused one after the other, because its latest request
// was sent before the other one, only one counts.
func (t *Tracker) Rounds(p ID) int {
	r := t.records[p]
	if r == nil {
		return 0
	}
	return r.rounds()
}

// PartChange is what an input has changed about a part.
type PartChange struct {
	Part   ID
	Change Change
}

// ApplySightings applies sightings by any host, of one end of a replica or of several, and returns
// what they have changed.
func (t *Tracker) ApplySightings(now core.Instant, sightings []Sighting) []PartChange {
	var changes []PartChange
	for _, s := range sightings {
		if change := t.addSighting(now, s); change != Unchanged {
			changes = append(changes, PartChange{s.Part, change})
		}
	}
	suspected := changes // all parts of a prompt are known to have been there
	changes = append(changes, t.blockDue(now, suspected, false)...)
	return append(changes, t.blockDue(now, suspected, true)...)
}

// blockDue blocks the suspected parts that were at enough crashes: those on which an answer is
// known, or the others.
func (t *Tracker) blockDue(now core.Instant, suspected []PartChange, answered bool) []PartChange {
	var changes []PartChange
	for _, c := range suspected {
		r := t.records[c.Part]
		if r != nil && r.blockedAt == 0 && (r.acquittedAt != 0) == answered && r.rounds() >= r.maxRounds() {
			changes = append(changes, t.block(now, c.Part, r)...)
		}
	}
	return changes
}

// explain records that a blocked part was at the ends of incarnations. They no longer count for the
// parts on which an answer is known.
func (t *Tracker) explain(now core.Instant, ends ...Incarnation) {
	for _, i := range ends {
		t.explained[i] = now
	}
	for _, r := range t.records {
		if r.blockedAt == 0 && r.acquittedAt != 0 {
			r.sightings = slices.DeleteFunc(r.sightings, func(s sighting) bool { return slices.Contains(ends, s.incarnation) })
		}
	}
}

// addSighting adds a sighting. It changes nothing where it was known, or is from before the last
// answer on the part.
func (t *Tracker) addSighting(now core.Instant, s Sighting) Change {
	r := t.recordOf(now, s.Part)
	ended := now.Add(-max(s.Age, 0))
	if r.acquittedAt != 0 && ended <= r.acquittedAt {
		return Unchanged
	}
	if _, explained := t.explained[s.Incarnation]; explained && r.acquittedAt != 0 {
		return Unchanged
	}
	sent := ended.Add(-max(s.Held, 0))
	if !r.add(sighting{incarnation: s.Incarnation, sent: sent, ended: ended}) {
		return Unchanged
	}
	r.lastReported = now
	if r.blockedAt == 0 {
		return Suspected
	}
	t.explain(now, s.Incarnation)
	if r.triedAt == 0 || sent < r.triedAt {
		return Unchanged // it was sent before the part was blocked
	}
	r.failTrial(now)
	return TrialFailed
}

// block blocks a part by this host's own count. Where no answer is known on the part, it may be
// there only because another one of the same prompts is, so these are blocked with it.
func (t *Tracker) block(now core.Instant, p ID, r *record) []PartChange {
	blocked := []ID{p}
	if r.acquittedAt == 0 {
		blocked = append(blocked, t.companions(p, r)...)
	}
	delay := firstTrialDelay
	if len(blocked) > 1 {
		delay = ambiguousTrialDelay
	}
	var changes []PartChange
	for _, id := range blocked {
		x := t.records[id]
		x.block(now, Verdict{Part: id, NextIn: delay, Rounds: x.rounds()})
		t.digest += id.hash()
		t.explain(now, x.ends()...)
		changes = append(changes, PartChange{id, Blocked})
	}
	return changes
}

// companions returns the parts that were at the latest crash of a part, and at one crash less than it
// takes to block them or more. No answer on them is known.
func (t *Tracker) companions(p ID, r *record) []ID {
	if len(r.sightings) == 0 {
		return nil
	}
	latest := r.sightings[len(r.sightings)-1].incarnation
	var found []ID
	for id, x := range t.records {
		if id != p && x.blockedAt == 0 && x.acquittedAt == 0 && x.rounds() >= maxRounds-1 && x.wasAt(latest) {
			found = append(found, id)
		}
	}
	slices.Sort(found)
	return found
}

// ApplyAcquittal applies an answer that came to a certain end, on any host. It clears what is
// known of crashes before it. A part that was blocked after it, for fewer crashes than it takes for a
// part with an answer, is let in.
func (t *Tracker) ApplyAcquittal(now core.Instant, a Acquittal) Change {
	r := t.records[a.Part]
	at := now.Add(-max(a.Age, 0))
	if r == nil || max(at, 1) <= r.acquittedAt {
		return Unchanged
	}
	r.acquittedAt, r.lastReported = max(at, 1), now // this host may have started after it
	before := r.rounds()
	r.inherited = 0
	r.sightings = slices.DeleteFunc(r.sightings, func(s sighting) bool { return s.ended <= at })
	switch {
	case r.blockedAt != 0 && (r.blockedAt < at || r.blockedFor < maxTrustedRounds && r.failed == 0):
		r.blockedAt, r.trials, r.failed, r.triedAt = 0, 0, 0, 0
		t.digest -= a.Part.hash()
		return LetIn
	case r.rounds() < before:
		return Acquitted
	}
	return Unchanged
}

// ApplyVerdict applies another host's verdict. One from before the last answer on the part doesn't
// count, nor one that was made without the knowledge of an answer: the change is Disputed then, and
// the other hosts, which may have missed it, are to be told of the answer.
func (t *Tracker) ApplyVerdict(now core.Instant, v Verdict) Change {
	r := t.recordOf(now, v.Part)
	at := now.Add(-max(v.Age, 0))
	switch {
	case r.acquittedAt != 0 && at <= r.acquittedAt:
		return Disputed
	case r.blockedAt != 0:
		r.applyTrials(now, v)
		return Unchanged
	}
	if r.acquittedAt != 0 && v.Rounds < maxTrustedRounds && v.Failed == 0 {
		return Disputed
	}
	r.block(now, v)
	t.digest += v.Part.hash()
	t.explain(now, r.ends()...)
	return Blocked
}

// Digest returns a sum over the blocked parts; 0: none is blocked.
func (t *Tracker) Digest() uint64 { return t.digest }

// MarkSound records that an answer on a part has come to a certain end.
func (t *Tracker) MarkSound(now core.Instant, p ID) { t.sound.Put(now, p, max(now, 1)) }

// LastAnswer returns the time since the last known answer on a part that is remembered, and false
// where none is known.
func (t *Tracker) LastAnswer(now core.Instant, p ID) (time.Duration, bool) {
	r := t.records[p]
	if r == nil || r.acquittedAt == 0 {
		return 0, false
	}
	return now.Sub(r.acquittedAt), true
}
