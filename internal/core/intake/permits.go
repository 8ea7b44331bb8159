package intake

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
)

const (
	// permitTime is how long a permit may be used, from when its host asked for it.
	permitTime = time.Second
	// coldPermitTime is permitTime for a cold replica, whose rate is to be kept in each second.
	coldPermitTime = 250 * time.Millisecond
	// answerTime is how long an ask may stay unanswered.
	answerTime = 200 * time.Millisecond
	// retryTime is how long after that a host waits before its next request for permits.
	retryTime = 300 * time.Millisecond
	// maxWanted bounds the permits that a host asks for beyond what waits for them.
	maxWanted = 64
)

// permits are one host's permits for an incarnation.
type permits struct {
	count     int
	until     core.Instant // when they end
	asked     uint64       // number of the open ask; 0: none is open
	askedAt   core.Instant // when the last one was sent
	noneUntil core.Instant // the granter has had none, and may have one again then
	waitUntil core.Instant // with those that asked before, one may be had then
	wanted    int          // permits to ask for: more where all were used, fewer where some were not
	returned  []Permit     // given back, for as long as they may still be used
}

// Permit is the right to send one request to an incarnation. The zero value is none.
type Permit struct {
	Key   Key
	Until core.Instant // when it ends
}

// Permits holds the permits of one host. It is not safe for concurrent use.
type Permits struct {
	byKey  map[Key]*permits
	number uint64  // of the last ask
	limits *Limits // which incarnations are cold; nil: none is
}

// NewPermits returns no permits.
func NewPermits() *Permits { return &Permits{byKey: map[Key]*permits{}} }

// SetLimits sets the limits that tell which incarnations are cold: permits for them end after
// coldPermitTime.
func (p *Permits) SetLimits(l *Limits) { p.limits = l }

// end returns when the permits of the latest answered ask end.
func (p *Permits) end(now core.Instant, k Key, x *permits) core.Instant {
	if p.cold(now, k) {
		return min(x.until, x.askedAt.Add(coldPermitTime))
	}
	return x.until
}

func (p *Permits) cold(now core.Instant, k Key) bool { return p.limits != nil && p.limits.Cold(now, k) }

// Count returns how many requests may be sent to a limited incarnation now.
func (p *Permits) Count(now core.Instant, k Key) int {
	x := p.byKey[k]
	if x == nil {
		return 0
	}
	x.returned = slices.DeleteFunc(x.returned, func(r Permit) bool { return now >= r.Until })
	if now >= p.end(now, k, x) {
		return len(x.returned)
	}
	return len(x.returned) + x.count
}

// Use uses one permit, if there is one, and returns it.
func (p *Permits) Use(now core.Instant, k Key) Permit {
	if p.Count(now, k) == 0 {
		return Permit{}
	}
	x := p.byKey[k]
	if len(x.returned) > 0 {
		used := x.returned[0]
		x.returned = slices.Delete(x.returned, 0, 1)
		return used
	}
	x.count--
	return Permit{Key: k, Until: p.end(now, k, x)}
}

// Return gives back the permit of a request that its replica has not counted, while the permit may
// still be used. A replica that names a limit counts every request.
func (p *Permits) Return(now core.Instant, used Permit) {
	x := p.byKey[used.Key]
	if x == nil || now >= used.Until || !p.cold(now, used.Key) {
		return
	}
	if _, named := p.limits.Rate(used.Key); !named {
		x.returned = append(x.returned, used)
	}
}

// Wait returns the time until it is of use to ask for a permit again; 0: it is now. It gives up an ask
// that was not answered in time.
func (p *Permits) Wait(now core.Instant, k Key) time.Duration {
	x := p.byKey[k]
	if x == nil {
		return 0
	}
	if x.asked != 0 && now.Sub(x.askedAt) >= answerTime {
		x.asked, x.noneUntil = 0, x.askedAt.Add(answerTime+retryTime)
	}
	return max(x.noneUntil.Sub(now), 0)
}

// CallerWait returns the time after which a caller may come back that got no permit.
func (p *Permits) CallerWait(now core.Instant, k Key) time.Duration {
	x := p.byKey[k]
	if x == nil {
		return 0
	}
	return max(x.waitUntil.Sub(now), x.noneUntil.Sub(now), 0)
}

// Asking reports whether an ask is open that may still be answered.
func (p *Permits) Asking(now core.Instant, k Key) bool {
	x := p.byKey[k]
	return x != nil && x.asked != 0 && now.Sub(x.askedAt) < answerTime
}

// LastAsk returns when permits for an incarnation were last asked for, and false if never.
func (p *Permits) LastAsk(k Key) (core.Instant, bool) {
	x := p.byKey[k]
	if x == nil {
		return 0, false
	}
	return x.askedAt, true
}

// Ask begins an ask of permits for the requests that wait for them, and returns its number and how
// many to ask for.
func (p *Permits) Ask(now core.Instant, k Key, waiting int) (number uint64, count int) {
	x := p.byKey[k]
	if x == nil {
		x = &permits{wanted: 1}
		p.byKey[k] = x
	}
	switch {
	case x.count > 0: // they have ended
		x.wanted = max(x.wanted/2, 1)
	case now < x.until:
		x.wanted = min(2*x.wanted, maxWanted)
	}
	x.count, x.until = 0, 0
	p.number++
	x.asked, x.askedAt = p.number, now
	return p.number, max(x.wanted, waiting)
}

// Apply applies the answer to the open ask, and reports whether it was that. Permits end permitTime
// after they were asked for, however late they come.
func (p *Permits) Apply(now core.Instant, g Grant) bool {
	x := p.byKey[g.Key]
	if x == nil || x.asked == 0 || x.asked != g.Number {
		return false
	}
	x.asked = 0
	if g.Count <= 0 {
		x.noneUntil = now.Add(min(max(g.Next, 0), maxWait))
		x.waitUntil = now.Add(min(max(g.Wait, g.Next), maxWait))
		return true
	}
	x.count = g.Count
	x.until, x.noneUntil = x.askedAt.Add(permitTime), 0
	return true
}

// Keep forgets the incarnations for which keep returns false.
func (p *Permits) Keep(keep func(Key) bool) {
	for k := range p.byKey {
		if !keep(k) {
			delete(p.byKey, k)
		}
	}
}
