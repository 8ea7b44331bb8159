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
	// coldBurstTime is burstTime for a cold replica.
	coldBurstTime = 50 * time.Millisecond
	// coldOvershoot and coldSlack bound the requests that reach a cold replica in any one second:
	// the rate times the first, and the second in addition.
	coldOvershoot = 1.5
	coldSlack     = 5
	// coldGranters is how many granters together keep that bound, each at its full rate: there are
	// two while hosts don't reach each other or disagree on which hosts there are.
	coldGranters = 2
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
type Granter struct {
	buckets map[Key]*bucket
	cold    map[core.UpstreamID]*bucket // of cold replicas: hosts may know different incarnations
}

// NewGranter returns a granter that has handed out nothing. For an incarnation that it has not handed
// out anything for it begins with none: another host may just have.
func NewGranter() *Granter {
	return &Granter{buckets: map[Key]*bucket{}, cold: map[core.UpstreamID]*bucket{}}
}

// Grant hands out permits for an incarnation that takes perSecond requests a second, not more at
// once than one host's fair part of what may be saved up.
func (g *Granter) Grant(now core.Instant, k Key, perSecond float64, count, hosts int) Grant {
	rate := perSecond * grantedShare
	granted := bucketOf(g.buckets, k, now).take(now, rate, rate*burstTime.Seconds(), count, hosts)
	granted.Key = k
	return granted
}

// GrantCold is Grant for an incarnation that is cold.
func (g *Granter) GrantCold(now core.Instant, k Key, perSecond float64, count, hosts int) Grant {
	rate := coldGrantedRate(perSecond)
	granted := bucketOf(g.cold, k.Replica, now).take(now, rate, rate*coldBurstTime.Seconds(), count, hosts)
	granted.Key = k
	return granted
}

// coldGrantedRate returns the rate at which permits for a cold replica are handed out. What reaches
// the replica within a second was handed out within that second and coldPermitTime before, after what
// was saved up, one permit at least.
func coldGrantedRate(perSecond float64) float64 {
	allowed := (coldOvershoot*perSecond + coldSlack) / coldGranters
	return min(perSecond*grantedShare, (allowed-1)/(time.Second+coldPermitTime+coldBurstTime).Seconds())
}

// bucketOf returns a bucket, which begins with nothing.
func bucketOf[K comparable](buckets map[K]*bucket, k K, now core.Instant) *bucket {
	b := buckets[k]
	if b == nil {
		b = &bucket{at: now}
		buckets[k] = b
	}
	return b
}

// take takes permits out of a bucket that fills at a rate up to burst, one permit at least.
func (b *bucket) take(now core.Instant, rate, burst float64, count, hosts int) Grant {
	burst = max(burst, 1)
	b.level = min(b.level+rate*max(now.Sub(b.at), 0).Seconds(), burst)
	b.at = now
	fair := max(int(burst/float64(max(hosts, 1))), 1)
	granted := max(min(count, fair, int(b.level+roundingError)), 0)
	b.level -= float64(granted)
	if granted > 0 {
		return Grant{Count: granted}
	}
	next := (1 - b.level) / rate
	wait := next + b.refused.Now(now, demandTime)/rate
	b.refused.Add(now, 1, demandTime)
	return Grant{Next: seconds(min(next, maxWait.Seconds())), Wait: seconds(min(wait, maxWait.Seconds()))}
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

// KeepCold forgets the cold replicas for which keep returns false.
func (g *Granter) KeepCold(keep func(core.UpstreamID) bool) {
	for id := range g.cold {
		if !keep(id) {
			delete(g.cold, id)
		}
	}
}
