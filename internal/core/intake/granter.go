package intake

import (
	"time"

	"gentiancroft/internal/core"
)

const (
	// grantedShare is the share of the named rate that is handed out. The rest is a reserve for
	// requests under way and for a change of the granter.
	grantedShare = 0.9
	// burstTime is how much of the rate a granter saves up.
	burstTime = 500 * time.Millisecond
	// demandTime is how long a request for permits that got none counts in the wait that the next
	// one gets.
	demandTime = time.Second
	// maxWait bounds that wait.
	maxWait = 5 * time.Second
)

// roundingError is what a level may lack of a permit, since it is a sum of fractions.
const roundingError = 1e-6

// Ask asks the granter of an incarnation for permits.
type Ask struct {
	_      struct{} `cbor:",toarray"`
	Number uint64   // of the asking host's asks
	Limit  Evidence // of the limit, which the granter may not know
	Count  int      // permits
}

// Grant is the answer to an Ask.
type Grant struct {
	_      struct{} `cbor:",toarray"`
	Number uint64   // of the ask
	Key    Key
	Count  int           // permits
	Next   time.Duration // until there is one again, if there was none
	Wait   time.Duration // until one may be had, with those that asked before
}

// bucket is a granter's state of one incarnation.
type bucket struct {
	level   float64 // permits
	at      core.Instant
	refused core.Decaying // asks that got no permit, with demandTime
}

// Granter hands out permits. It is not safe for concurrent use.
type Granter struct{ buckets map[Key]*bucket }

// NewGranter returns a granter that has handed out nothing. For an incarnation that it has not handed
// out anything for it begins with none: another host may just have.
func NewGranter() *Granter { return &Granter{buckets: map[Key]*bucket{}} }

// Grant hands out permits for an incarnation that takes perSecond requests a second, not more at
// once than one host's fair part of what may be saved up.
func (g *Granter) Grant(now core.Instant, k Key, perSecond float64, count, hosts int) Grant {
	b := g.buckets[k]
	if b == nil {
		b = &bucket{at: now}
		g.buckets[k] = b
	}
	rate := perSecond * grantedShare
	burst := max(rate*burstTime.Seconds(), 1)
	b.level = min(b.level+rate*max(now.Sub(b.at), 0).Seconds(), burst)
	b.at = now
	fair := max(int(burst/float64(max(hosts, 1))), 1)
	granted := max(min(count, fair, int(b.level+roundingError)), 0)
	b.level -= float64(granted)
	if granted > 0 {
		return Grant{Key: k, Count: granted}
	}
	next := (1 - b.level) / rate
	wait := next + b.refused.Now(now, demandTime)/rate
	b.refused.Add(now, 1, demandTime)
	return Grant{Key: k, Next: seconds(min(next, maxWait.Seconds())), Wait: seconds(min(wait, maxWait.Seconds()))}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Keep forgets the incarnations for which keep returns false.
func (g *Granter) Keep(keep func(Key) bool) {
	for k := range g.buckets {
		if !keep(k) {
			delete(g.buckets, k)
		}
	}
}
