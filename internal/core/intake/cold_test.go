package intake

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentiancroft/internal/core"
)

var coldRule = ColdRule{PerSecond: 7.5, Start: 3 * time.Second}

func says(remaining time.Duration) ColdEntry { return ColdEntry{Known: true, Remaining: remaining} }

// newSaysNothing is the first entry of an incarnation, of a replica or a host that doesn't say.
var newSaysNothing = ColdEntry{New: true}

func TestColdnessEndsAtATime(t *testing.T) {
	is := is.New(t)
	l := NewLimits()
	is.True(l.ApplyEntry(at(0), key, coldRule, says(2*time.Second)))
	is.True(l.Any() && l.Cold(at(0), key))
	rate, limited := l.RateAt(at(1999*time.Millisecond), key)
	is.True(limited && rate == 7.5)
	_, limited = l.RateAt(at(2*time.Second), key)
	is.True(!limited)
	_, limited = l.Rate(key) // it names none
	is.True(!limited)
}

func TestLowerRateOfNamedLimitAndColdnessApplies(t *testing.T) {
	is := is.New(t)
	l := NewLimits()
	l.ApplyEntry(at(0), key, coldRule, says(2*time.Second))
	for _, c := range []struct{ named, want float64 }{{3, 3}, {40, 7.5}} {
		l.Apply(at(0), named(c.named))
		rate, limited := l.RateAt(at(time.Second), key)
		is.True(limited && rate == c.want)
		evidence, ok := l.AskEvidence(at(time.Second), key)
		is.True(ok && evidence.Named && evidence.PerSecond == c.want)
		rate, limited = l.RateAt(at(3*time.Second), key)
		is.True(limited && rate == c.named)
	}
}

// A host of the previous build that hands out permits keeps the cold rate as a limit that the replica
// names. It must not take one that it has seen end for ended.
func TestAskForAColdReplicaIsAnOrdinaryLimitToAnEarlierBuild(t *testing.T) {
	is := is.New(t)
	asking, granting := NewLimits(), NewLimits()
	asking.ApplyEntry(at(0), key, coldRule, says(3*time.Second))
	first, _ := asking.AskEvidence(at(0), key)
	is.Equal(granting.Apply(at(0), first), Begun)
	is.Equal(granting.Apply(at(time.Second), Evidence{Key: key}), Ended) // an answer names none
	again, _ := asking.AskEvidence(at(1500*time.Millisecond), key)
	is.Equal(granting.Apply(at(1500*time.Millisecond), again), Begun)
}

func TestNewIncarnationThatDoesNotSayIsColdForAStart(t *testing.T) {
	is := is.New(t)
	l := NewLimits()
	is.True(l.ApplyEntry(at(0), key, coldRule, newSaysNothing))
	is.True(l.Cold(at(2999*time.Millisecond), key))
	is.True(!l.Cold(at(3*time.Second), key))
	is.True(!l.ApplyEntry(at(time.Second), key, coldRule, ColdEntry{})) // a later one that doesn't say, either
	is.True(l.Cold(at(2999*time.Millisecond), key))
	is.True(l.ApplyEntry(at(2*time.Second), key, coldRule, says(0)))
	is.True(!l.Cold(at(2*time.Second), key))
}

func TestIncarnationThatIsNotNewAndDoesNotSayIsNotCold(t *testing.T) {
	is := is.New(t)
	l := NewLimits()
	is.True(!l.ApplyEntry(at(0), key, coldRule, ColdEntry{}))
	is.True(!l.ApplyEntry(at(0), key, coldRule, says(0)))
	is.True(!l.Any())
}

func TestServiceWithoutAColdRateHasNoColdReplicas(t *testing.T) {
	is := is.New(t)
	for _, rule := range []ColdRule{{}, {Start: 3 * time.Second}} {
		l := NewLimits()
		is.True(!l.ApplyEntry(at(0), key, rule, says(2*time.Second)))
		is.True(!l.ApplyEntry(at(0), key, rule, newSaysNothing))
		is.True(!l.BeginCold(at(0), key, rule, time.Second))
		is.True(!l.SuspectRestart(at(0), key, rule))
		is.True(!l.Cold(at(0), key))
		is.Equal(len(l.ColdChanges(at(0))), 0)
	}
}

// The configuration may be read after the list of replicas.
func TestRuleThatIsReadLaterApplies(t *testing.T) {
	is := is.New(t)
	l := NewLimits()
	l.ApplyEntry(at(0), key, ColdRule{}, newSaysNothing)
	is.True(!l.Cold(at(0), key))
	l.SetColdRules(func(Key) ColdRule { return coldRule })
	is.True(l.Cold(at(0), key))
}

// An entry may be older than an event that has shown the replica cold.
func TestEntryEndsNoColdnessThatALaterEventBegan(t *testing.T) {
	is := is.New(t)
	l := NewLimits()
	is.True(l.BeginCold(at(0), key, coldRule, 4*time.Second))
	is.True(!l.ApplyEntry(at(1999*time.Millisecond), key, coldRule, says(0)))
	is.True(l.Cold(at(1999*time.Millisecond), key))
	is.True(l.ApplyEntry(at(2*time.Second), key, coldRule, says(0)))
	is.True(!l.Cold(at(2*time.Second), key))
}

func TestPossibleRestartIsColdUntilAnEntryShowsTheIncarnation(t *testing.T) {
	is := is.New(t)
	l := NewLimits()
	is.True(l.SuspectRestart(at(0), key, coldRule))
	is.True(!l.SuspectRestart(at(100*time.Millisecond), key, coldRule)) // known
	l.ApplyEntry(at(time.Second), key, coldRule, says(0))               // perhaps written before it ended
	is.True(l.Cold(at(time.Hour), key))
	is.True(l.ApplyEntry(at(2100*time.Millisecond), key, coldRule, ColdEntry{}))
	is.True(!l.Cold(at(2100*time.Millisecond), key))
	l.SuspectRestart(at(3*time.Second), key, coldRule)
	l.ConfirmRunning(key)
	is.True(!l.Cold(at(3*time.Second), key))
	is.True(!l.SuspectRestart(at(4*time.Second), key, ColdRule{PerSecond: 1})) // its replicas are never cold after a start
}

func TestNewsOfWhatIsKnownDoesNotProlongColdness(t *testing.T) {
	is := is.New(t)
	first, second := NewLimits(), NewLimits()
	first.BeginCold(at(0), key, coldRule, 2*time.Second)
	for now := time.Duration(0); now < 2*time.Second; now += 200 * time.Millisecond { // each message takes 100 ms
		if news, cold := first.ColdReport(at(now), key); cold {
			second.ApplyCold(at(now+100*time.Millisecond), coldRule, news)
		}
		if news, cold := second.ColdReport(at(now+100*time.Millisecond), key); cold {
			first.ApplyCold(at(now+200*time.Millisecond), coldRule, news)
		}
	}
	is.True(!first.Cold(at(2*time.Second), key))
	is.True(!second.Cold(at(2100*time.Millisecond), key))
	first.SuspectRestart(at(5*time.Second), key, coldRule)
	news, _ := first.ColdReport(at(5*time.Second), key)
	is.True(second.ApplyCold(at(5*time.Second), coldRule, news))
	is.True(!second.ApplyCold(at(5*time.Second), coldRule, news))
}

func TestRemainingTimeIsBounded(t *testing.T) {
	is := is.New(t)
	l := NewLimits()
	l.ApplyEntry(at(0), key, coldRule, says(1<<62))
	is.True(l.Cold(at(0), key))
	is.True(!l.Cold(at(maxColdTime), key))
}

func TestBeginningAndEndOfColdnessAreReportedOnce(t *testing.T) {
	is := is.New(t)
	l := NewLimits()
	l.ApplyEntry(at(0), key, coldRule, says(2*time.Second))
	begun := l.ColdChanges(at(0))
	is.Equal(begun, []ColdChange{{Key: key, Begun: true, PerSecond: 7.5, For: 2 * time.Second}})
	is.Equal(len(l.ColdChanges(at(time.Second))), 0)
	is.Equal(l.ColdCount(at(time.Second)), 1)
	ended := l.ColdChanges(at(2 * time.Second))
	is.Equal(len(ended), 1)
	is.True(!ended[0].Begun)
	is.True(l.Any()) // delayed news of it begin nothing
	l.ColdChanges(at(2*time.Second + coldRetention))
	is.True(!l.Any())
	l.ApplyEntry(at(4*time.Second), key, coldRule, says(2*time.Second))
	l.Keep(func(Key) bool { return false })
	is.True(!l.Any())
}

// follow returns permits that know a cold incarnation.
func follow(until time.Duration) (*Permits, *Limits) {
	l, p := NewLimits(), NewPermits()
	l.ApplyEntry(at(0), key, coldRule, says(until))
	p.SetLimits(l)
	return p, l
}

func TestPermitsForAColdReplicaEndSooner(t *testing.T) {
	is := is.New(t)
	p, _ := follow(time.Minute)
	number, _ := p.Ask(at(0), key, 2)
	p.Apply(at(100*time.Millisecond), Grant{Number: number, Key: key, Count: 2})
	is.Equal(p.Count(at(coldPermitTime-1), key), 2)
	is.Equal(p.Count(at(coldPermitTime), key), 0)
}

// A permit is for a request that the replica counts: one that it answers with 421 isn't.
func TestReturnedPermitIsUsedWhileItIsValid(t *testing.T) {
	is := is.New(t)
	p, l := follow(time.Minute)
	number, _ := p.Ask(at(0), key, 1)
	p.Apply(at(0), Grant{Number: number, Key: key, Count: 1})
	used := p.Use(at(10*time.Millisecond), key)
	is.Equal(p.Count(at(10*time.Millisecond), key), 0)
	p.Ask(at(20*time.Millisecond), key, 1) // another ask is open
	p.Return(at(100*time.Millisecond), used)
	is.Equal(p.Count(at(100*time.Millisecond), key), 1)
	is.Equal(p.Use(at(100*time.Millisecond), key), used)
	p.Return(at(coldPermitTime), used) // too late
	is.Equal(p.Count(at(coldPermitTime), key), 0)
	p.Return(at(150*time.Millisecond), used)
	is.Equal(p.Count(at(coldPermitTime), key), 0) // it ends like others
	l.Apply(at(0), named(9))                      // a replica that names a limit counts every request
	p.Return(at(150*time.Millisecond), used)
	is.Equal(p.Count(at(150*time.Millisecond), key), 0)
	p.Return(at(150*time.Millisecond), Permit{})
}

func TestNamedLimitGetsNoPermitBack(t *testing.T) {
	is := is.New(t)
	p := NewPermits()
	number, _ := p.Ask(at(0), key, 1)
	p.Apply(at(0), Grant{Number: number, Key: key, Count: 1})
	p.Return(at(0), p.Use(at(0), key))
	is.Equal(p.Count(at(0), key), 0)
}

// Hosts may know different incarnations of a replica.
func TestIncarnationsOfAColdReplicaShareItsPermits(t *testing.T) {
	is := is.New(t)
	g := NewGranter()
	g.GrantCold(at(0), key, 7.5, 1, 1)
	is.Equal(g.GrantCold(at(time.Second), key, 7.5, 1, 1).Count, 1)
	next := g.GrantCold(at(time.Second), KeyOf("r", 2), 7.5, 1, 1)
	is.Equal(next.Count, 0)
	is.Equal(next.Key, KeyOf("r", 2))
	g.KeepCold(func(core.UpstreamID) bool { return false })
	is.Equal(len(g.cold), 0)
}

// coldBound returns how many requests may reach a cold replica in a second.
func coldBound(perSecond float64) float64 { return perSecond*1.5 + 5 }

// Half of the rate is to be used while there is demand and messages are prompt.
func TestHostsTogetherKeepAndUseAColdReplicasRate(t *testing.T) {
	const length = 20 * time.Second
	for _, hosts := range hostCounts {
		for _, perSecond := range []float64{0.3, 1.1, 7.5, 40, 500} {
			is := is.New(t)
			used := driveCold(core.NewRand(1), coldDrive{hosts: hosts, granters: 1, perSecond: perSecond, length: length}, func() (time.Duration, bool) { return 2 * time.Millisecond, false })
			t.Logf("%d hosts, %v a second: %d in all, at most %d in a second", hosts, perSecond, len(used), most(used, time.Second))
			is.True(float64(most(used, time.Second)) <= coldBound(perSecond))
			is.True(float64(len(used)) >= 0.5*perSecond*length.Seconds()-1)
		}
	}
}

// Guards against more requests than a cold replica stands: in each second, with any delays and losses
// of messages, and while hosts don't reach each other and have a granter on each side.
func TestColdRateIsKeptWhateverHappensToMessages(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := core.NewRand(rapid.Uint64().Draw(rt, "seed"))
		perSecond := rapid.Float64Range(0.2, 200).Draw(rt, "rate")
		longest := rapid.IntRange(1, int(2*time.Second)).Draw(rt, "delay")
		drive := coldDrive{perSecond: perSecond, length: 8 * time.Second}
		drive.hosts = rapid.IntRange(1, 350).Draw(rt, "hosts")
		drive.granters = rapid.IntRange(1, coldGranters).Draw(rt, "granters")
		drive.pause = time.Duration(rapid.IntRange(0, int(time.Second)).Draw(rt, "pause"))
		used := driveCold(rng, drive, func() (time.Duration, bool) {
			return time.Duration(rng.IntN(longest)), rng.IntN(4) == 0
		})
		if n := most(used, time.Second); float64(n) > coldBound(perSecond) {
			rt.Fatalf("%d requests in a second at %v a second", n, perSecond)
		}
	})
}

// coldDrive is what driveCold drives.
type coldDrive struct {
	hosts, granters int
	perSecond       float64
	length          time.Duration
	pause           time.Duration // how long hosts use permits and only ask for them, in turn; 0: they always use them
}

// driveCold is drive for a cold replica. The hosts are divided among granters, each of which hands
// out the whole rate, and requests wait for the answer of theirs for answerTime.
func driveCold(rng *core.Rand, d coldDrive, message func() (time.Duration, bool)) []time.Duration {
	hosts, granters, perSecond, length := d.hosts, d.granters, d.perSecond, d.length
	type delivery struct {
		at    time.Duration
		host  int
		count int // asked for; 0: an answer
		give  Grant
	}
	all, waiting := make([]*Permits, hosts), make([][]time.Duration, hosts)
	for i := range all {
		all[i], _ = follow(length + time.Second)
	}
	givers := make([]*Granter, granters)
	for i := range givers {
		givers[i] = NewGranter()
	}
	var used []time.Duration
	var open []delivery
	send := func(now time.Duration, d delivery) {
		if delay, lost := message(); !lost {
			d.at = now + delay
			open = append(open, d)
		}
	}
	use := func(now time.Duration, i int) {
		for ; len(waiting[i]) > 0 && all[i].Count(at(now), key) > 0; waiting[i] = waiting[i][1:] {
			if now-waiting[i][0] > answerTime {
				continue // it has been refused
			}
			permit := all[i].Use(at(now), key)
			if rng.IntN(8) == 0 { // answered with 421
				all[i].Return(at(now), permit)
				continue
			}
			used = append(used, now)
		}
	}
	for now := time.Duration(0); now < length; now += 2 * time.Millisecond {
		due := open
		open = nil
		for _, d := range due {
			switch {
			case d.at > now:
				open = append(open, d)
			case d.count > 0:
				give := givers[d.host%granters].GrantCold(at(now), key, perSecond, d.count, (hosts+granters-1)/granters)
				give.Number = d.give.Number
				send(now, delivery{host: d.host, give: give})
			default:
				all[d.host].Apply(at(now), d.give)
				use(now, d.host)
			}
		}
		for range 1 + int(perSecond/25) {
			i := rng.IntN(hosts) // a request comes to it, or, in a pause, one for which there are other replicas
			p := all[i]
			paused := d.pause > 0 && now/d.pause%2 == 1
			if !paused {
				waiting[i] = append(waiting[i], now)
				use(now, i)
			}
			if (len(waiting[i]) > 0 || paused && p.Count(at(now), key) == 0) && !p.Asking(at(now), key) && p.Wait(at(now), key) == 0 {
				number, count := p.Ask(at(now), key, 1)
				send(now, delivery{host: i, count: count, give: Grant{Number: number}})
			}
		}
	}
	return used
}
