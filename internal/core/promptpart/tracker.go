package promptpart

import (
	"cmp"
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
	// retention is how long a part that isn't blocked is remembered after its last event.
	retention = 90 * time.Second
	// blockedRetention is the same for one that is blocked, which is tried now and then.
	blockedRetention = 2 * time.Hour
	// maxRecords bounds the parts that are remembered.
	maxRecords = 2048
	// maxSightings bounds what is remembered of one part.
	maxSightings = 16
	// maxReported bounds the entries of one kind in one report.
	maxReported = 256
)

// Times from the verdict on a part to its first trial, and between trials.
const (
	firstTrialDelay    = 8 * time.Second
	trialBackoffFactor = 4
	maxTrialDelay      = time.Hour

	// ambiguousTrialDelay is the time to the first trial of parts that were blocked together,
	// within ambiguousTime: a request that has only one of them shows which it is.
	ambiguousTrialDelay = time.Second
	ambiguousTime       = 200 * time.Millisecond
	// jointTrialDelay is added for a request that has several blocked parts.
	jointTrialDelay = time.Minute
)

// Incarnation identifies an incarnation of a replica.
type Incarnation uint64

// IncarnationOf returns the identifier of a replica's incarnation, by its start.
func IncarnationOf(replica core.UpstreamID, started int64) Incarnation {
	return Incarnation(core.Fingerprint(uint64(started), string(replica)))
}

// Sighting says that a replica's incarnation ended while it had a request with a part.
type Sighting struct {
	_           struct{} `cbor:",toarray"`
	Part        ID
	Incarnation Incarnation
	Age         time.Duration // since the end
	Held        time.Duration // how long before the end the latest request with the part was sent to it
}

// Acquittal says that an answer on a part came to a certain end.
type Acquittal struct {
	_    struct{} `cbor:",toarray"`
	Part ID
	Age  time.Duration // since that end
}

// Verdict says that a part is blocked.
type Verdict struct {
	_      struct{} `cbor:",toarray"`
	Part   ID
	Age    time.Duration // since it was blocked
	Trials int           // requests with it that were tried since
	Rounds int           // crashes in a row for which it was blocked
	NextIn time.Duration // until the next one may be
}

// Report is what one host tells others.
type Report struct {
	Sightings  []Sighting  `cbor:"1,keyasint,omitempty"`
	Acquittals []Acquittal `cbor:"2,keyasint,omitempty"`
	Verdicts   []Verdict   `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether there is nothing to tell.
func (r *Report) Empty() bool { return len(r.Sightings)+len(r.Acquittals)+len(r.Verdicts) == 0 }

// Merge adds another report, as far as the bounds allow.
func (r *Report) Merge(other Report) {
	r.Sightings = bounded(append(r.Sightings, other.Sightings...))
	r.Acquittals = bounded(append(r.Acquittals, other.Acquittals...))
	r.Verdicts = bounded(append(r.Verdicts, other.Verdicts...))
}

// bounded returns the latest maxReported entries.
func bounded[T any](entries []T) []T { return entries[max(0, len(entries)-maxReported):] }

// Change is what an input has changed about a part.
type Change uint8

// Changes.
const (
	Unchanged Change = iota
	Suspected        // a replica ended under it
	Acquitted        // an answer on it came to a certain end
	Blocked          // it is kept from replicas
	LetIn            // it is no longer blocked
	Disputed         // another host has blocked it, and doesn't know of an answer on it
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
	trials       int
	nextTrial    core.Instant
	lastReported core.Instant // when the record last changed
}

// Tracker holds what one host knows of parts. It is not safe for concurrent use.
type Tracker struct {
	records     map[ID]*record
	sound       soundParts
	digest      uint64       // of the blocked parts
	lastBlocked ID           // by this host's own count
	lastBlockAt core.Instant // when
}

// NewTracker returns a tracker that knows nothing.
func NewTracker() *Tracker { return &Tracker{records: map[ID]*record{}} }

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

func (r *record) rounds() int {
	n, last := r.inherited, core.Instant(-1)
	for _, s := range r.sightings {
		if s.sent > last {
			n++
			last = s.ended
		}
	}
	return n
}

// ApplySighting applies a sighting by any host.
func (t *Tracker) ApplySighting(now core.Instant, s Sighting) Change {
	r := t.recordOf(now, s.Part)
	ended := now.Add(-max(s.Age, 0))
	if ended <= r.acquittedAt && r.acquittedAt != 0 {
		return Unchanged
	}
	if !r.add(sighting{incarnation: s.Incarnation, sent: ended.Add(-max(s.Held, 0)), ended: ended}) {
		return Unchanged
	}
	r.lastReported = now
	switch {
	case r.blockedAt != 0:
		return Unchanged
	case r.rounds() >= r.maxRounds():
		t.block(now, s.Part, r)
		return Blocked
	}
	return Suspected
}

// maxRounds returns after how many crashes in a row the part is blocked.
func (r *record) maxRounds() int {
	if r.acquittedAt != 0 {
		return maxTrustedRounds
	}
	return maxRounds
}

// block blocks a part by this host's own count.
func (t *Tracker) block(now core.Instant, p ID, r *record) {
	delay := firstTrialDelay
	if other := t.records[t.lastBlocked]; other != nil && other.blockedAt != 0 && now.Sub(t.lastBlockAt) <= ambiguousTime {
		delay = ambiguousTrialDelay
		other.nextTrial = min(other.nextTrial, now.Add(delay))
	}
	t.lastBlocked, t.lastBlockAt = p, now
	t.digest += p.hash()
	r.block(now, Verdict{Part: p, NextIn: delay, Rounds: r.rounds()})
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

func (r *record) block(now core.Instant, v Verdict) {
	r.blockedAt, r.nextTrial = max(now.Add(-max(v.Age, 0)), 1), now.Add(max(v.NextIn, 0))
	r.trials, r.blockedFor, r.lastReported = max(v.Trials, 0), v.Rounds, now
}

// ApplyAcquittal applies an answer that came to a certain end, on any host. It clears what is
// known of crashes before it. A part that was blocked after it, for fewer crashes than it takes for a
// part with an answer, is let in.
func (t *Tracker) ApplyAcquittal(now core.Instant, a Acquittal) Change {
	r := t.records[a.Part]
	at := now.Add(-max(a.Age, 0))
	if r == nil || at <= r.acquittedAt {
		return Unchanged
	}
	r.acquittedAt, r.lastReported = at, now
	before := r.rounds()
	r.inherited = 0
	r.sightings = slices.DeleteFunc(r.sightings, func(s sighting) bool { return s.ended <= at })
	switch {
	case r.blockedAt != 0 && (r.blockedAt < at || r.blockedFor < maxTrustedRounds && r.trials == 0):
		r.blockedAt, r.trials = 0, 0
		t.digest -= a.Part.hash()
		return LetIn
	case r.rounds() < before:
		return Acquitted
	}
	return Unchanged
}

// ApplyVerdict applies another host's verdict. One from before the last answer on the part
// doesn't count, nor one that was made without the knowledge of an answer: the change is
// Disputed then, and the other hosts are to be told of the answer.
func (t *Tracker) ApplyVerdict(now core.Instant, v Verdict) Change {
	r := t.recordOf(now, v.Part)
	at := now.Add(-max(v.Age, 0))
	switch {
	case r.acquittedAt != 0 && at <= r.acquittedAt:
		return Unchanged
	case r.blockedAt != 0:
		if v.Trials > r.trials {
			r.trials, r.nextTrial, r.lastReported = v.Trials, now.Add(max(v.NextIn, 0)), now
		}
		return Unchanged
	}
	if r.acquittedAt != 0 && v.Rounds < maxTrustedRounds && v.Trials == 0 {
		return Disputed
	}
	r.block(now, v)
	t.digest += v.Part.hash()
	return Blocked
}

// NextTrial returns the first blocked one of a prompt's parts, and the time until a request with
// these parts may be tried; 0: it may now. It returns false where none is blocked.
func (t *Tracker) NextTrial(now core.Instant, parts []ID) (first ID, wait time.Duration, blocked bool) {
	n := 0
	for _, p := range parts {
		r := t.records[p]
		if r == nil || r.blockedAt == 0 {
			continue
		}
		if n == 0 {
			first = p
		}
		n++
		wait = max(wait, r.nextTrial.Sub(now))
	}
	if n > 1 {
		wait += jointTrialDelay
	}
	return first, wait, n > 0
}

// BeginTrial records that a request with a blocked part is tried, and returns the verdict for the
// other hosts.
func (t *Tracker) BeginTrial(now core.Instant, p ID) Verdict {
	r := t.recordOf(now, p)
	r.trials++
	delay := firstTrialDelay
	for range r.trials {
		delay = min(delay*trialBackoffFactor, maxTrialDelay)
	}
	r.nextTrial, r.lastReported = now.Add(delay), now
	return r.verdict(now, p)
}

func (r *record) verdict(now core.Instant, p ID) Verdict {
	return Verdict{Part: p, Age: now.Sub(r.blockedAt), Trials: r.trials, Rounds: r.blockedFor, NextIn: max(r.nextTrial.Sub(now), 0)}
}

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

// Suspicion says what is known of a part that isn't blocked.
type Suspicion struct {
	Part     ID
	Rounds   int           // crashes in a row
	Answered time.Duration // since the last known answer on it; 0: none is known
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

// Digest returns a sum over the blocked parts; 0: none is blocked.
func (t *Tracker) Digest() uint64 { return t.digest }

// MarkSound records that an answer on a part has come to a certain end.
func (t *Tracker) MarkSound(now core.Instant, p ID) { t.sound.put(now, p) }

// LastAnswer returns the time since the last known answer on a part that is remembered, and false
// where none is known.
func (t *Tracker) LastAnswer(now core.Instant, p ID) (time.Duration, bool) {
	r := t.records[p]
	if r == nil || r.acquittedAt == 0 {
		return 0, false
	}
	return now.Sub(r.acquittedAt), true
}

// recordOf returns the record of a part, a new one if there is none.
func (t *Tracker) recordOf(now core.Instant, p ID) *record {
	r := t.records[p]
	if r == nil {
		t.evict(now)
		r = &record{lastReported: now, acquittedAt: t.sound.lastAnswer(now, p)}
		t.records[p] = r
	}
	return r
}

// evict makes room for a record: of the expired ones or, where there is none, of the one that
// changed the longest ago, blocked parts last.
func (t *Tracker) evict(now core.Instant) {
	if len(t.records) < maxRecords {
		return
	}
	t.Expire(now)
	var oldest ID
	for p, r := range t.records {
		if o := t.records[oldest]; o == nil || r.before(o) || !o.before(r) && p < oldest {
			oldest = p
		}
	}
	if len(t.records) >= maxRecords {
		t.forget(oldest)
	}
}

// before reports whether a record is given up sooner than another one.
func (r *record) before(o *record) bool {
	if blocked := r.blockedAt != 0; blocked != (o.blockedAt != 0) {
		return !blocked
	}
	return r.lastReported < o.lastReported
}

func (t *Tracker) forget(p ID) {
	if t.Blocked(p) {
		t.digest -= p.hash()
	}
	delete(t.records, p)
}

// Expire forgets the parts of which nothing has been heard for long. It returns those of them
// that were blocked, sorted.
func (t *Tracker) Expire(now core.Instant) (unblocked []ID) {
	for p, r := range t.records {
		switch age := now.Sub(r.lastReported); {
		case r.blockedAt != 0 && age >= blockedRetention:
			unblocked = append(unblocked, p)
			t.forget(p)
		case r.blockedAt == 0 && age >= retention:
			t.forget(p)
		}
	}
	slices.Sort(unblocked)
	return unblocked
}
