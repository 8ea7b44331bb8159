package intake

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentiancroft/internal/core"
)

var key = KeyOf("r", 1)

func at(d time.Duration) core.Instant { return core.Instant(time.Hour + d) }

func named(perSecond float64) Evidence { return Evidence{Key: key, Named: true, PerSecond: perSecond} }

func TestLimitBeginsChangesAndEnds(t *testing.T) {
	is := is.New(t)
	l := NewLimits()
	_, limited := l.Rate(key)
	is.True(!limited && !l.Any())
	is.Equal(l.Apply(at(0), Evidence{Key: key}), Unchanged) // there was none
	is.Equal(l.Apply(at(0), named(1.1)), Begun)
	is.Equal(l.Apply(at(time.Second), named(1.1)), Unchanged)
	is.Equal(l.Apply(at(2*time.Second), named(3)), Altered)
	rate, limited := l.Rate(key)
	is.True(limited && rate == 3)
	is.Equal(l.Apply(at(3*time.Second), Evidence{Key: key, Held: 500 * time.Millisecond}), Ended)
	_, limited = l.Rate(key)
	is.True(!limited)
	_, limited = l.Rate(KeyOf("r", 2)) // the next incarnation has named none
	is.True(!limited)
}

// Answers on different connections overtake each other.
func TestAnswerToAnEarlierRequestEndsNoLimit(t *testing.T) {
	is := is.New(t)
	l := NewLimits()
	l.Apply(at(time.Second), named(2))
	is.Equal(l.Apply(at(1500*time.Millisecond), Evidence{Key: key, Held: time.Second}), Unchanged) // its request was sent before
	is.Equal(l.Apply(at(2*time.Second), Evidence{Key: key, Age: 1200 * time.Millisecond}), Unchanged)
	_, limited := l.Rate(key)
	is.True(limited)
	is.Equal(l.Apply(at(3*time.Second), Evidence{Key: key}), Ended)
	late := named(2)
	late.Age = time.Second
	is.Equal(l.Apply(at(3500*time.Millisecond), late), Unchanged) // another host heard it before the end
	is.Equal(l.Apply(at(4*time.Second), named(2)), Begun)
}

func TestHostThatHasJustStartedHearsOfAnEarlierLimit(t *testing.T) {
	is := is.New(t)
	l := NewLimits()
	before := named(2)
	before.Age = time.Minute
	is.Equal(l.Apply(core.Instant(time.Second), before), Begun)
	is.Equal(l.Apply(core.Instant(2*time.Second), Evidence{Key: key}), Ended)
}

func TestReplicaThatTakesNothingIsStillAsked(t *testing.T) {
	is := is.New(t)
	l := NewLimits()
	l.Apply(at(0), named(0))
	rate, limited := l.Rate(key)
	is.True(limited && rate > 0) // so that the end of the limit is seen
}

func TestPermitsEndSoonAfterTheyWereAskedFor(t *testing.T) {
	is := is.New(t)
	p := NewPermits()
	number, count := p.Ask(at(0), key, 3)
	is.Equal(count, 3)
	is.True(!p.Apply(at(0), Grant{Number: number + 1, Key: key, Count: 1})) // to no open ask
	is.True(p.Apply(at(900*time.Millisecond), Grant{Number: number, Key: key, Count: 2}))
	is.True(!p.Apply(at(900*time.Millisecond), Grant{Number: number, Key: key, Count: 2})) // twice
	is.Equal(p.Count(at(900*time.Millisecond), key), 2)
	p.Use(at(900*time.Millisecond), key)
	is.Equal(p.Count(at(900*time.Millisecond), key), 1)
	is.Equal(p.Count(at(permitTime), key), 0)
	p.Use(at(permitTime), key)
}

func TestHostWaitsWhereThereIsNoPermitOrNoAnswer(t *testing.T) {
	is := is.New(t)
	p := NewPermits()
	number, _ := p.Ask(at(0), key, 0)
	is.True(p.Asking(at(0), key))
	p.Apply(at(time.Millisecond), Grant{Number: number, Key: key, Next: 700 * time.Millisecond, Wait: 2 * time.Second})
	is.Equal(p.Wait(at(time.Millisecond), key), 700*time.Millisecond)
	is.Equal(p.CallerWait(at(time.Millisecond), key), 2*time.Second)
	is.Equal(p.Wait(at(time.Second), key), time.Duration(0))
	p.Ask(at(time.Second), key, 0)
	is.True(!p.Asking(at(time.Second+answerTime), key))
	is.Equal(p.Wait(at(time.Second+answerTime), key), retryTime)
}

func TestHostAsksForMoreWhereAllPermitsAreUsed(t *testing.T) {
	is := is.New(t)
	p := NewPermits()
	now, count := time.Duration(0), 0
	for range 10 {
		var number uint64
		number, count = p.Ask(at(now), key, 0)
		p.Apply(at(now), Grant{Number: number, Key: key, Count: count})
		for range count {
			p.Use(at(now), key)
		}
		now += 10 * time.Millisecond
	}
	is.Equal(count, maxWanted)
	number, _ := p.Ask(at(now), key, 0)
	p.Apply(at(now), Grant{Number: number, Key: key, Count: 9})
	_, fewer := p.Ask(at(now+time.Minute), key, 0) // none was used
	is.True(fewer < maxWanted)
}

func TestGranterThatBeginsHasNothingToHandOut(t *testing.T) {
	is := is.New(t)
	g := NewGranter()
	none := g.Grant(at(0), key, 2, 1, 3)
	is.Equal(none.Count, 0)
	is.True(none.Next > 0 && none.Next < time.Second)
	is.Equal(g.Grant(at(none.Next), key, 2, 1, 3).Count, 1)
	first := g.Grant(at(none.Next), key, 2, 1, 3)
	second := g.Grant(at(none.Next), key, 2, 1, 3)
	is.Equal(second.Next, first.Next)
	is.True(second.Wait > first.Wait) // another one waits as well
	g.Keep(func(Key) bool { return false })
	is.Equal(len(g.buckets), 0)
}

// hostCounts are the sizes of fleets that keep a limit together.
var hostCounts = []int{1, 3, 7, 30, 350}

// The rule allows one and a half times what the limit allows in 4 s, and 5 requests; half of what the
// replica takes is to be used while there is demand.
func TestHostsTogetherKeepALimitAndUseIt(t *testing.T) {
	const span, length = 4 * time.Second, 30 * time.Second
	for _, hosts := range hostCounts {
		for _, perSecond := range []float64{0.3, 1.1, 5, 40, 500} {
			is := is.New(t)
			used := drive(core.NewRand(1), hosts, perSecond, length, func() (time.Duration, bool) { return 2 * time.Millisecond, false })
			is.True(float64(most(used, span)) <= 1.5*perSecond*span.Seconds()+5)
			is.True(float64(len(used)) >= 0.5*perSecond*length.Seconds()-1)
		}
	}
}

func TestLimitIsKeptWhateverHappensToMessages(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := core.NewRand(rapid.Uint64().Draw(rt, "seed"))
		perSecond := rapid.Float64Range(0, 50).Draw(rt, "limit")
		used := drive(rng, rapid.IntRange(1, 20).Draw(rt, "hosts"), perSecond, 20*time.Second, func() (time.Duration, bool) {
			return time.Duration(rng.IntN(int(3 * time.Second))), rng.IntN(4) == 0
		})
		if n := most(used, 4*time.Second); float64(n) > 1.5*max(perSecond, minRate)*4+5 {
			rt.Fatalf("%d requests in 4 s at %v a second", n, perSecond)
		}
	})
}

// drive lets hosts send as many requests as they may to a replica, and returns when each was sent.
// message returns the delay of a message, and whether it is lost.
func drive(rng *core.Rand, hosts int, perSecond float64, length time.Duration, message func() (time.Duration, bool)) []time.Duration {
	type delivery struct {
		at   time.Duration
		host int
		ask  *Ask
		give Grant
	}
	g := NewGranter()
	all := make([]*Permits, hosts)
	for i := range all {
		all[i] = NewPermits()
	}
	var used []time.Duration
	var open []delivery
	send := func(now time.Duration, d delivery) {
		if delay, lost := message(); !lost {
			d.at = now + delay
			open = append(open, d)
		}
	}
	rate := max(perSecond, minRate)
	for now := time.Duration(0); now < length; now += 2 * time.Millisecond {
		due := open
		open = nil
		for _, d := range due {
			switch {
			case d.at > now:
				open = append(open, d)
			case d.ask != nil:
				give := g.Grant(at(now), key, rate, d.ask.Count, hosts)
				give.Number = d.ask.Number
				send(now, delivery{host: d.host, give: give})
			default:
				all[d.host].Apply(at(now), d.give)
			}
		}
		for range 1 + int(rate/250) {
			i := rng.IntN(hosts) // a request comes to it
			p := all[i]
			switch {
			case p.Count(at(now), key) > 0:
				p.Use(at(now), key)
				used = append(used, now)
			case !p.Asking(at(now), key) && p.Wait(at(now), key) == 0:
				number, count := p.Ask(at(now), key, 1)
				send(now, delivery{host: i, ask: &Ask{Number: number, Count: count}})
			}
		}
	}
	return used
}

// most returns the most requests in any span.
func most(used []time.Duration, span time.Duration) int {
	n, first := 0, 0
	for i, now := range used {
		for now-used[first] > span {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}
