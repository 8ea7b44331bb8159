package promptpart

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentiancroft/internal/core"
)

const (
	shared = ID(0xa)
	bad    = ID(0xbad)
)

func at(d time.Duration) core.Instant { return core.Instant(time.Hour + d) }

// crash applies the end of a replica under parts whose requests were sent held before it, and
// returns the last change.
func crash(t *Tracker, now time.Duration, i int, held time.Duration, parts ...ID) Change {
	var sightings []Sighting
	for _, p := range parts {
		sightings = append(sightings, Sighting{Part: p, Incarnation: Incarnation(i), Held: held})
	}
	return lastChange(t.ApplySightings(at(now), sightings))
}

func lastChange(changes []PartChange) Change {
	if len(changes) == 0 {
		return Unchanged
	}
	return changes[len(changes)-1].Change
}

func TestPartIsBlockedAfterCrashesInARow(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for i := range maxRounds - 1 {
		is.Equal(crash(tracker, time.Duration(i)*time.Second, i, 100*time.Millisecond, bad), Suspected)
	}
	is.True(!tracker.Blocked(bad))
	is.Equal(crash(tracker, 3*time.Second, 9, 100*time.Millisecond, bad), Blocked)
	is.Equal(len(tracker.Verdicts(at(3*time.Second))), 1)
}

// Eight requests of one batch are one crash, and so are replicas that end at the same time: a
// request that was sent before a crash can't be the next one of a row.
func TestCrashesThatAreNotInARowCountOnce(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for range 8 {
		crash(tracker, 0, 1, time.Second, bad)
	}
	is.Equal(tracker.Rounds(bad), 1)
	for i := range 8 {
		crash(tracker, time.Duration(i)*10*time.Millisecond, 10+i, time.Second, bad)
	}
	is.Equal(tracker.Rounds(bad), 1)
}

func TestCrashIsCountedOnceWhoeverReportsIt(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	is.Equal(lastChange(tracker.ApplySightings(at(0), []Sighting{{Part: bad, Incarnation: 1}})), Suspected)
	late := Sighting{Part: bad, Incarnation: 1, Age: 80 * time.Millisecond, Held: 40 * time.Millisecond}
	is.Equal(len(tracker.ApplySightings(at(100*time.Millisecond), []Sighting{late})), 0)
	is.Equal(tracker.Rounds(bad), 1)
}

func TestAnswerAcquitsOfTheCrashesBefore(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	crash(tracker, 0, 1, 0, shared)
	crash(tracker, 2*time.Second, 2, 0, shared)
	is.Equal(tracker.ApplyAcquittal(at(3*time.Second), Acquittal{Part: shared, Age: 2 * time.Second}), Acquitted) // before the second
	is.Equal(tracker.Rounds(shared), 1)
	is.Equal(len(tracker.ApplySightings(at(3*time.Second), []Sighting{{Part: shared, Incarnation: 3, Age: 2500 * time.Millisecond}})), 0) // reported late
	is.Equal(tracker.ApplyAcquittal(at(4*time.Second), Acquittal{Part: shared}), Acquitted)
	is.True(!tracker.Suspected(shared))
}

// All requests share a system prompt, and no answer on it may come while replicas crash.
func TestPartWithAKnownAnswerIsNotBlockedForAnother(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	tracker.MarkSound(at(0), shared)
	for i := range maxRounds {
		crash(tracker, time.Duration(1+i)*time.Second, i, 50*time.Millisecond, shared, bad)
	}
	is.True(tracker.Blocked(bad))
	is.True(!tracker.Blocked(shared))
	for i := range maxTrustedRounds {
		is.True(!tracker.Blocked(shared))
		crash(tracker, time.Duration(10+i)*time.Second, 10+i, 50*time.Millisecond, shared)
	}
	is.True(tracker.Blocked(shared)) // nothing else was there
}

func TestHostThatKnowsAnAnswerDisputesAVerdict(t *testing.T) {
	is := is.New(t)
	knows, other := NewTracker(), NewTracker()
	knows.MarkSound(at(0), shared)
	for i := range maxRounds {
		crash(other, time.Duration(1+i)*time.Second, i, 50*time.Millisecond, shared)
	}
	is.True(other.Blocked(shared))
	now := at(4 * time.Second)
	is.Equal(knows.ApplyVerdict(now, other.Verdicts(now)[0]), Disputed)
	is.True(!knows.Blocked(shared))
	age, ok := knows.LastAnswer(now, shared)
	is.True(ok)
	is.Equal(other.ApplyAcquittal(now, Acquittal{Part: shared, Age: age}), LetIn)
	is.Equal(other.Digest(), knows.Digest())
	crash(other, 5*time.Second, 7, 50*time.Millisecond, shared)
	is.True(!other.Blocked(shared)) // the sightings are kept, and it takes more of them
}

// Soak, seed 2133: the shared part was at six crashes in a row, three of which had another cause, and
// was blocked in the same moment as the part that had caused the other three.
func TestCrashesOfABlockedPartDontCountForAPartWithAnAnswer(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	tracker.MarkSound(at(0), shared)
	for i := range maxTrustedRounds - maxRounds {
		crash(tracker, time.Duration(1+i)*time.Second, i, 0, shared)
	}
	for i := range maxRounds {
		crash(tracker, time.Duration(10+i)*time.Second, 10+i, 0, shared, bad)
	}
	is.True(tracker.Blocked(bad))
	is.True(!tracker.Blocked(shared))
	is.Equal(tracker.Rounds(shared), maxTrustedRounds-maxRounds)
	crash(tracker, 20*time.Second, 20, 0, bad) // a trial
	crash(tracker, 20*time.Second, 20, 0, shared)
	is.Equal(tracker.Rounds(shared), maxTrustedRounds-maxRounds)
	tracker.Expire(at(time.Hour))
	is.Equal(len(tracker.explained), 0)
}

// A host that has missed the answer which let a part in must not keep it out.
func TestHostThatHasMissedAnAcquittalIsTold(t *testing.T) {
	is := is.New(t)
	told, missed := NewTracker(), NewTracker()
	for i := range maxRounds {
		crash(told, time.Duration(i)*time.Second, i, 0, bad)
		crash(missed, time.Duration(i)*time.Second, i, 0, bad)
	}
	is.Equal(told.ApplyAcquittal(at(5*time.Second), Acquittal{Part: bad}), LetIn)
	now := at(6 * time.Second)
	is.Equal(told.ApplyVerdict(now, missed.Verdicts(now)[0]), Disputed)
	age, _ := told.LastAnswer(now, bad)
	is.Equal(missed.ApplyAcquittal(now, Acquittal{Part: bad, Age: age}), LetIn)
}

// Parts that were never answered and are blocked together: a request that has only one of them
// shows soon which it is.
func TestPartsBlockedTogetherAreTriedSoon(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for i := range maxRounds {
		crash(tracker, time.Duration(i)*time.Second, i, 50*time.Millisecond, shared, bad)
	}
	is.True(tracker.Blocked(shared) && tracker.Blocked(bad))
	blockedAt := time.Duration(maxRounds-1) * time.Second
	_, wait, blocked := tracker.NextTrial(at(blockedAt), []ID{shared})
	is.True(blocked)
	is.Equal(wait, ambiguousTrialDelay)
	_, wait, _ = tracker.NextTrial(at(blockedAt), []ID{1, shared, bad})
	is.True(wait >= jointTrialDelay)
	_, wait, _ = tracker.NextTrial(at(blockedAt+2*jointTrialDelay), []ID{1, shared, bad})
	is.Equal(wait, time.Duration(0)) // parts that always come together
	now := blockedAt + ambiguousTrialDelay
	_, wait, _ = tracker.NextTrial(at(now), []ID{shared})
	is.Equal(wait, time.Duration(0))
	tracker.BeginTrial(at(now), shared)
	is.Equal(tracker.ApplyAcquittal(at(now+time.Second), Acquittal{Part: shared}), LetIn)
	is.True(tracker.Blocked(bad))
}

// After a loss of all hosts no answer on the shared part is known, and it is at all crashes: the
// part that comes with it is blocked too, and the shared one tried soon without it.
func TestRarerPartIsBlockedWithTheSharedOne(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	crash(tracker, 0, 1, 0, shared)
	crash(tracker, time.Second, 2, 0, shared, bad)
	crash(tracker, 2*time.Second, 3, 0, shared, bad, ID(0x77))
	is.True(tracker.Blocked(shared) && tracker.Blocked(bad))
	is.True(!tracker.Blocked(ID(0x77))) // it was at one only
	_, wait, _ := tracker.NextTrial(at(2*time.Second), []ID{shared})
	is.Equal(wait, ambiguousTrialDelay)
}

// Ages go back to before this host's start.
func TestHostThatHasJustStartedAppliesWhatHappenedBefore(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	const now = core.Instant(time.Second)
	for i := range maxRounds - 1 {
		age := time.Duration(10-i) * time.Second
		tracker.ApplySightings(now, []Sighting{{Part: bad, Incarnation: Incarnation(i), Age: age}, {Part: shared, Incarnation: Incarnation(i), Age: age}})
	}
	is.Equal(tracker.Rounds(bad), maxRounds-1)
	tracker.ApplyAcquittal(now, Acquittal{Part: shared, Age: time.Minute})
	is.Equal(tracker.Rounds(shared), maxRounds-1)
	tracker.ApplySightings(now, []Sighting{{Part: bad, Incarnation: 9}, {Part: shared, Incarnation: 9}})
	is.True(tracker.Blocked(bad))
	is.True(!tracker.Blocked(shared))
}

func TestTrialsBecomeRarer(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for i := range maxRounds {
		crash(tracker, time.Duration(i)*time.Second, i, 0, bad)
	}
	const day = 24 * time.Hour
	trials := 0
	for now := 3 * time.Second; now < time.Minute; now += time.Second {
		if _, wait, blocked := tracker.NextTrial(at(now), []ID{bad}); blocked && wait == 0 {
			tracker.BeginTrial(at(now), bad)
			trials++
			crash(tracker, now+100*time.Millisecond, 100+trials, 0, bad)
		}
	}
	is.Equal(trials, 2)
	_, wait, blocked := tracker.NextTrial(at(day), []ID{bad})
	is.True(blocked && wait == 0)
	is.Equal(tracker.Expire(at(time.Hour)), nil)
	is.Equal(tracker.Expire(at(day)), []ID{bad})
	is.Equal(tracker.Digest(), uint64(0))
}

func TestSuspicionsAreHandedOn(t *testing.T) {
	is := is.New(t)
	before, after := NewTracker(), NewTracker()
	before.MarkSound(at(0), shared)
	for i := range maxRounds - 1 {
		crash(before, time.Duration(1+i)*time.Second, i, 0, shared, bad)
	}
	for _, s := range before.Suspicions(at(4*time.Second), 10) {
		after.Inherit(at(0), s) // on its own clock
	}
	crash(after, time.Second, 50, 0, shared, bad)
	is.True(after.Blocked(bad))
	is.True(!after.Blocked(shared))
	is.Equal(len(before.Suspicions(at(4*time.Second), 1)), 1)
}

func TestRecordsAreBoundedAndBlockedOnesKept(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for i := range maxRounds {
		crash(tracker, time.Duration(i)*time.Second, i, 0, bad)
	}
	for i := range 3 * maxRecords {
		crash(tracker, 4*time.Second, 100+i, 0, ID(0x10000+i))
	}
	is.True(len(tracker.records) <= maxRecords)
	is.True(tracker.Blocked(bad))
	for i := range 3 * maxSoundParts {
		tracker.MarkSound(at(0), ID(i+1))
	}
	is.True(tracker.sound.Len() <= maxSoundParts)
}

func TestReportsAreBounded(t *testing.T) {
	is := is.New(t)
	var r Report
	is.True(r.Empty())
	for i := range 3 * maxReported {
		r.Merge(Report{Acquittals: []Acquittal{{Part: ID(i + 1)}}})
	}
	is.Equal(len(r.Acquittals), maxReported)
	is.Equal(r.Acquittals[maxReported-1].Part, ID(3*maxReported))
}

// Whatever the order, delays and repetitions of reports, a part with an answer between any two
// crashes is never blocked, and the digest is that of the blocked parts.
func TestPartWithAnswersBetweenCrashesIsNeverBlocked(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tracker := NewTracker()
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 40).Draw(rt, "crashes") {
			now += time.Duration(rapid.IntRange(1, 2000).Draw(rt, "pause")) * time.Millisecond
			held := time.Duration(rapid.IntRange(0, 500).Draw(rt, "held")) * time.Millisecond
			for range rapid.IntRange(1, 3).Draw(rt, "reports") {
				crash(tracker, now, i, held, shared, bad)
			}
			now += time.Duration(rapid.IntRange(1, 500).Draw(rt, "pause")) * time.Millisecond
			tracker.MarkSound(at(now), shared)
			tracker.ApplyAcquittal(at(now), Acquittal{Part: shared})
			if tracker.Blocked(shared) {
				rt.Fatal("blocked")
			}
		}
		sum := uint64(0)
		for _, v := range tracker.Verdicts(at(now)) {
			sum += v.Part.hash()
		}
		if sum != tracker.Digest() {
			rt.Fatal("digest")
		}
	})
}

// Guards against a part that all requests share and that stays shut out for half a minute, because
// the caller of the one request that was tried had left.
func TestTrialThatShowsNothingIsSoonRepeated(t *testing.T) {
	is := is.New(t)
	tracker, other := NewTracker(), NewTracker()
	for i := range maxRounds {
		crash(tracker, time.Duration(i)*time.Second, i, 0, bad)
	}
	for _, v := range tracker.Verdicts(at(2 * time.Second)) {
		other.ApplyVerdict(at(2*time.Second), v)
	}
	nextTrial := func(x *Tracker, now time.Duration) time.Duration {
		_, wait, blocked := x.NextTrial(at(now), []ID{bad})
		is.True(blocked)
		return wait
	}
	now := 2*time.Second + firstTrialDelay
	for _, wait := range []time.Duration{trialTime, trialTime, trialTime, trialTime, trialTime, 2 * trialTime, 4 * trialTime} {
		is.Equal(nextTrial(tracker, now), time.Duration(0))
		other.ApplyVerdict(at(now), tracker.BeginTrial(at(now), bad))
		is.Equal(nextTrial(tracker, now), wait)
		is.Equal(nextTrial(other, now), wait)
		now += wait
	}
	other.ApplyVerdict(at(now), tracker.BeginTrial(at(now), bad))
	const held = 3 * time.Second // it was the trial before this one that waited at its replica
	crash(tracker, now+100*time.Millisecond, 50, held, bad)
	crash(other, now+100*time.Millisecond, 50, held, bad) // reported, the tracker's verdict is lost
	const afterFailure = firstTrialDelay * trialBackoffFactor
	is.Equal(nextTrial(tracker, now+100*time.Millisecond), afterFailure)
	is.Equal(nextTrial(other, now+100*time.Millisecond), afterFailure)
}

// A request that was sent before its part was blocked is no trial.
func TestRequestSentBeforeTheVerdictIsNoTrial(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for i := range maxRounds {
		crash(tracker, time.Duration(i)*time.Second, i, 0, bad)
	}
	trialAt := 2*time.Second + firstTrialDelay
	tracker.BeginTrial(at(trialAt), bad)
	crash(tracker, trialAt+time.Millisecond, 50, time.Second, bad)
	_, wait, _ := tracker.NextTrial(at(trialAt+time.Millisecond), []ID{bad})
	is.True(wait <= trialTime)
}

// A trial that has shown nothing doesn't outweigh an answer which the host that blocked the part
// hadn't heard of; one under which a replica was lost does.
func TestOnlyAFailedTrialOutweighsAnEarlierAnswer(t *testing.T) {
	for _, failed := range []bool{false, true} {
		is := is.New(t)
		blocking, answered := NewTracker(), NewTracker()
		answered.MarkSound(at(0), shared)
		for i := range maxRounds {
			crash(blocking, time.Duration(1+i)*time.Second, i, 0, shared)
		}
		now := 3*time.Second + firstTrialDelay
		verdict := blocking.BeginTrial(at(now), shared)
		if failed {
			now += time.Second
			crash(blocking, now, 50, 0, shared)
			verdict = blocking.Verdicts(at(now))[0]
		}
		change := answered.ApplyVerdict(at(now), verdict)
		is.Equal(change == Blocked, failed)
		is.Equal(change == Disputed, !failed)
		change = blocking.ApplyAcquittal(at(now), Acquittal{Part: shared, Age: now}) // of that answer
		is.Equal(change == LetIn, !failed)
	}
}

func TestFailedTrialIsLearnedFromItsVerdict(t *testing.T) {
	is := is.New(t)
	tracker, other := NewTracker(), NewTracker()
	for i := range maxRounds {
		crash(tracker, time.Duration(i)*time.Second, i, 0, bad)
	}
	other.ApplyVerdict(at(2*time.Second), tracker.Verdicts(at(2 * time.Second))[0])
	now := 2*time.Second + firstTrialDelay
	other.ApplyVerdict(at(now), tracker.BeginTrial(at(now), bad))
	crash(tracker, now, 50, 0, bad)
	other.ApplyVerdict(at(now), tracker.Verdicts(at(now))[0]) // the report of the end is lost
	_, wait, _ := other.NextTrial(at(now), []ID{bad})
	is.Equal(wait, firstTrialDelay*trialBackoffFactor)
}
