package quota

import (
	"math"
	"time"

	"gentiancroft/internal/core"
)

const (
	// ranks is the number of ranks of requests that are told apart; 0 is the most urgent.
	ranks = 4
	// demandHalfLife is the half-life of demand, as a host's share of it is computed from.
	// It is several heartbeats long, so that a late one changes the share little.
	demandHalfLife = 2 * time.Second
	// riseHalfLife is the half-life of the demand of all hosts that is compared with the rate.
	// The longer one of shares would show a rise to 4 times the rate 0.3 s later, and hosts
	// would not pace themselves for that time.
	riseHalfLife = 500 * time.Millisecond
	// demandFoldInterval is the time between two additions of a host's own demand to its
	// estimate. It is a heartbeat's interval: own demand that counted at once, before other
	// hosts' equal demand is heard, would make a host's share too large.
	demandFoldInterval = 300 * time.Millisecond
	// priorDemandTime is the demand at the rate that is assumed besides, in equal parts for
	// all hosts, so that the share of a host without demand isn't 0.
	priorDemandTime = 50 * time.Millisecond
	// paceBurstTime is the burst of a host's own pace.
	paceBurstTime = 200 * time.Millisecond
	// coveredBurstTime is the same for a rank whose demand has room. A shorter one refuses
	// requests for arriving unevenly.
	coveredBurstTime = 500 * time.Millisecond
	// askedTTL is how long a host's report counts as present knowledge of its demand.
	askedTTL = 3 * time.Second
	// askedRetention is how long a report is kept to compare the next one with.
	askedRetention = time.Minute
	// paceDebtTime bounds the debt that a request leaves at a host's own pace. A host of low
	// pace would else refuse for long after one large request.
	paceDebtTime = 4 * time.Second
	// targetLevel is the fraction of the burst at which the fleet's bucket is held.
	targetLevel = 0.25
	// pacedBelow is the fraction of the burst below which hosts pace themselves.
	pacedBelow = 0.5
	// freeAbove is the fraction above which they no longer do, even where demand is over the
	// rate. It is above pacedBelow as the level that a host knows swings by what others admit
	// between two heartbeats.
	freeAbove = 0.9
	// correctionTime is the time in which a pace corrects the level. The level is known about
	// 0.45 s late; a proportional correction in less than e times the delay, 1.2 s, swings.
	correctionTime = 2 * time.Second
	// minCorrection and maxCorrection bound the correction as a factor of the pace.
	minCorrection = 0.2
	maxCorrection = 1.5
	// maxDebtTime is the debt of the fleet's bucket, as time at the rate, from which every
	// host refuses. Within it the pace alone keeps the rate.
	maxDebtTime = 500 * time.Millisecond
	// lowerRanksFraction is the fraction of the pace that less urgent ranks keep.
	lowerRanksFraction = 0.25
	// lowerRanksServed bounds what they keep where they ask for little: they are served this
	// fraction as often as all. A quarter of the pace for a tenth of the demand would serve
	// them better than urgent ones.
	lowerRanksServed = 0.8
	// urgentHeadroom is by how much the pace of a rank may exceed its mean demand, so that
	// it isn't refused for arriving unevenly.
	urgentHeadroom = 2
)

// Times whose demand a decayed sum holds when demand is constant.
const (
	demandWindowSeconds = float64(demandHalfLife) / float64(time.Second) / math.Ln2
	riseWindowSeconds   = float64(riseHalfLife) / float64(time.Second) / math.Ln2
)

// demand is the recent demand for one workspace, in tokens.
type demand struct {
	own      [ranks]core.Decaying // of this host
	unfolded [ranks]float64       // not added yet
	foldedAt core.Instant
	others   core.Decaying // of other hosts
	rise     core.Decaying // of all hosts, with the shorter half-life
}

func (d *demand) ask(rank int, cost core.Tokens) { d.unfolded[rank] += float64(cost) }

func (d *demand) fold(now core.Instant) {
	if now.Sub(d.foldedAt) < demandFoldInterval {
		return
	}
	d.foldedAt = now
	for rank := range d.own {
		d.own[rank].Add(now, d.unfolded[rank], demandHalfLife)
		d.rise.Add(now, d.unfolded[rank], riseHalfLife)
		d.unfolded[rank] = 0
	}
}

// rates returns this host's demand by rank and that of all hosts, in tokens per second.
func (d *demand) rates(now core.Instant) (own [ranks]float64, all float64) {
	for rank := range d.own {
		own[rank] = d.own[rank].Now(now, demandHalfLife) / demandWindowSeconds
		all += own[rank]
	}
	return own, all + d.others.Now(now, demandHalfLife)/demandWindowSeconds
}

// level returns the demand of all hosts that is compared with the rate, in tokens per second:
// it rises soon and falls late.
func (d *demand) level(now core.Instant) float64 {
	_, all := d.rates(now)
	return max(all, d.rise.Now(now, riseHalfLife)/riseWindowSeconds)
}

// addOthers adds the demand of another host for the time since its last report.
func (d *demand) addOthers(now core.Instant, tokens float64, since time.Duration) {
	d.others.Add(now, recentPart(tokens, since, demandWindowSeconds), demandHalfLife)
	d.rise.Add(now, recentPart(tokens, since, riseWindowSeconds), riseHalfLife)
}

// recentPart returns how many of the tokens of a time count in a window: of a longer one only
// the last part does.
func recentPart(tokens float64, of time.Duration, windowSeconds float64) float64 {
	if of.Seconds() > windowSeconds {
		return tokens * windowSeconds / of.Seconds()
	}
	return tokens
}

// pace is a host's own part of a workspace's rate.
type pace struct {
	paced  bool           // the host admits at its own pace
	room   [ranks]float64 // tokens, by rank; negative: debt
	rates  [ranks]float64 // tokens per second
	bursts [ranks]float64 // tokens
	total  float64        // tokens per second, as last computed
	share  float64        // of the demand of all hosts, as last computed
	at     core.Instant   // of the last computation
}

// limits are what the reached part of the fleet may admit of a workspace.
type limits struct {
	rate, burst float64
	hosts       int
	silentRatio float64 // reached hosts for each whose demand is known
}

// advance computes the pace and adds the room that the elapsed time has earned.
func (p *pace) advance(now core.Instant, b *bucket, l limits) {
	own, all := b.demand.rates(now)
	p.paced = pacedNow(p.paced, b.level, l.rate, l.burst, b.demand.level(now)*l.silentRatio)
	p.share = demandShare(sum(own), all*l.silentRatio, l.rate, l.hosts)
	p.total = l.rate * p.share * correction(b.level, l.rate, l.burst)
	p.rates = rankRates(p.total, own)
	passed := max(now.Sub(p.at), 0).Seconds()
	p.at = max(p.at, now)
	if overdraft(b.level, l.rate) >= 0 {
		passed = 0 // room earned while all hosts refuse would be used by all at once
	}
	for rank, r := range p.rates {
		p.bursts[rank] = r * burstTime(r, own[rank]).Seconds()
		p.room[rank] = min(max(p.room[rank]+r*passed, -r*paceDebtTime.Seconds()), p.bursts[rank])
	}
}

// overdraft returns by how much the fleet's bucket is beyond the debt from which every host
// refuses.
func overdraft(level, rate float64) float64 { return -level - rate*maxDebtTime.Seconds() }

// burstTime returns the burst of a rank, as time at its rate.
func burstTime(rate, demand float64) time.Duration {
	if demand > 0 && rate > demand {
		return coveredBurstTime
	}
	return paceBurstTime
}

// refund returns the tokens of a request that was not run.
func (p *pace) refund(rank int, tokens float64) {
	p.room[rank] = min(p.room[rank]+tokens, p.bursts[rank])
}

// pacedNow decides whether a host admits at its own pace.
func pacedNow(before bool, level, rate, burst, demand float64) bool {
	switch {
	case level < pacedBelow*burst:
		return true
	case level >= freeAbove*burst || demand <= rate:
		return false
	}
	return before
}

// demandShare returns a host's share of the demand of all hosts.
func demandShare(own, all, rate float64, hosts int) float64 {
	prior := rate * priorDemandTime.Seconds()
	return (own + prior/float64(hosts)) / (all + prior)
}

// correction returns the factor by which hosts deviate from the rate to bring the level of
// the fleet's bucket to its target.
func correction(level, rate, burst float64) float64 {
	excess := (level - targetLevel*burst) / (rate * correctionTime.Seconds())
	return min(max(1+excess, minCorrection), maxCorrection)
}

// rankRates divides a pace among the ranks by their demand. The more urgent go first; those
// less urgent than a rank keep a part.
func rankRates(total float64, demand [ranks]float64) (rates [ranks]float64) {
	lower, left := sum(demand), total
	for rank, asked := range demand {
		lower = max(lower-asked, 0)
		most := left - reservedForLower(left, asked, lower)
		rates[rank] = min(urgentHeadroom*asked, most)
		left -= min(asked, most)
	}
	for rank, asked := range demand {
		if asked == 0 { // may ask next
			rates[rank] = max(left, lowerRanksFraction*total)
		}
	}
	return rates
}

// reservedForLower returns what of a pace is kept for ranks that are less urgent than one
// with a demand.
func reservedForLower(left, asked, lower float64) float64 {
	if lower <= 0 {
		return 0
	}
	fraction := min(lowerRanksFraction, lowerRanksServed*lower/(asked+lower))
	return min(lower, fraction*left)
}

func sum(x [ranks]float64) (total float64) {
	for _, v := range x {
		total += v
	}
	return total
}

// spread spreads the waits of refused callers by a hash of their requests: each waits for
// at least the base, and up to as long again, or for a time that grows with the excess of
// the demand over the rate.
func spread(base time.Duration, hash uint32, excess float64) time.Duration {
	width := max(base/2, time.Duration(min(max(excess, 0), 1)*float64(maxRetryAfter/2)))
	width = min(width, maxRetryAfter/2)
	base = max(min(base, maxRetryAfter-width), minRetryAfter)
	return min(base+time.Duration(float64(width)*float64(hash)/math.MaxUint32), maxRetryAfter)
}
