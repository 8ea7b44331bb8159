// Package intake keeps hosts, all together, to the limit of a replica: how many requests a second it
// takes. A replica names a limit in its answers, or has one for as long as it is cold after a start.
//
// For each limited incarnation of a replica one host, its granter, hands out permits at that
// rate, on demand. A permit is for one request, and only for a short time from when its host asked for
// it, so that one that is delayed is lost and not added to later ones. A host without a permit sends
// nothing. What is known of limits (Limits), a host's permits (Permits) and the granter's side
// (Granter) are separate.
package intake

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// Key identifies an incarnation of a replica.
type Key struct {
	_       struct{} `cbor:",toarray"`
	Replica core.UpstreamID
	Started int64
}

// KeyOf returns the key of an incarnation.
func KeyOf(replica core.UpstreamID, started int64) Key {
	return Key{Replica: replica, Started: started}
}

// Compare orders keys by replica and start.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Replica, other.Replica), cmp.Compare(k.Started, other.Started))
}

// minRate is the least rate, in requests a second, at which permits are handed out: a replica that
// names less would never be asked again, and its limit not end.
const minRate = 0.2

// Evidence is what one answer of a replica has shown: that it names a limit, or that it names none.
type Evidence struct {
	_         struct{} `cbor:",toarray"`
	Key       Key
	Named     bool
	PerSecond float64
	Age       time.Duration // since the answer was received
	Held      time.Duration // from the dispatch of its request to that
}

// Change is what evidence has changed.
type Change uint8

// Changes.
const (
	Unchanged Change = iota
	Begun            // the replica is limited
	Altered          // its limit is another
	Ended            // it is no longer limited
)

// limit is what is known of one incarnation.
type limit struct {
	named      bool
	perSecond  float64
	receivedAt core.Instant // the latest answer that named it
	endedAt    core.Instant // when an answer that named none was received
}

// Limits holds what one host knows of limits: those that replicas name, and the coldness of replicas.
// It is not safe for concurrent use.
type Limits struct {
	byKey map[Key]*limit
	cold  map[Key]*coldness
}

// NewLimits returns limits of which nothing is known.
func NewLimits() *Limits { return &Limits{byKey: map[Key]*limit{}, cold: map[Key]*coldness{}} }

// Rate returns how many requests a second an incarnation names, and false where it names no limit.
func (l *Limits) Rate(k Key) (perSecond float64, limited bool) {
	x := l.byKey[k]
	if x == nil || !x.named {
		return 0, false
	}
	return max(x.perSecond, minRate), true
}

// Any reports whether any limit is known.
func (l *Limits) Any() bool { return len(l.byKey) > 0 || len(l.cold) > 0 }

// Apply applies evidence. Answers on different connections overtake each other, so that a limit ends
// only by an answer to a request that was sent after the latest answer that named it.
func (l *Limits) Apply(now core.Instant, e Evidence) Change {
	received := now.Add(-max(e.Age, 0))
	x := l.byKey[e.Key]
	if e.Named {
		return l.begin(x, received, e)
	}
	sent := received.Add(-max(e.Held, 0))
	if x == nil || !x.named || sent <= x.receivedAt {
		return Unchanged
	}
	x.named, x.endedAt = false, received
	return Ended
}

func (l *Limits) begin(x *limit, received core.Instant, e Evidence) Change {
	if x == nil {
		x = &limit{receivedAt: math.MinInt64, endedAt: math.MinInt64}
		l.byKey[e.Key] = x
	}
	if received < x.receivedAt || received < x.endedAt {
		return Unchanged
	}
	before := *x
	x.named, x.perSecond, x.receivedAt = true, e.PerSecond, received
	switch {
	case !before.named:
		return Begun
	case before.perSecond != e.PerSecond:
		return Altered
	}
	return Unchanged
}

// Evidence returns what is known of an incarnation, for another host, and false where it isn't
// limited.
func (l *Limits) Evidence(now core.Instant, k Key) (Evidence, bool) {
	x := l.byKey[k]
	if x == nil || !x.named {
		return Evidence{}, false
	}
	return Evidence{Key: k, Named: true, PerSecond: x.perSecond, Age: now.Sub(x.receivedAt)}, true
}

// All returns what is known of all limited and cold incarnations, for a host that knows nothing.
func (l *Limits) All(now core.Instant) (named []Evidence, cold []Cold) {
	for _, k := range slices.SortedFunc(maps.Keys(l.byKey), Key.Compare) {
		if e, ok := l.Evidence(now, k); ok {
			named = append(named, e)
		}
	}
	for _, k := range slices.SortedFunc(maps.Keys(l.cold), Key.Compare) {
		if c, ok := l.ColdReport(now, k); ok {
			cold = append(cold, c)
		}
	}
	return named, cold
}

// Keep forgets the incarnations for which keep returns false.
func (l *Limits) Keep(keep func(Key) bool) {
	for k := range l.byKey {
		if !keep(k) {
			delete(l.byKey, k)
		}
	}
	for k := range l.cold {
		if !keep(k) {
			delete(l.cold, k)
		}
	}
}
