package membership

import (
	"fmt"
	"time"

	"gentiancroft/internal/core"
)

// Trace follows, in real time, who may act on each shard. It knows nothing of
// the machines but their answers: a claim stands from the answer that made it
// until its end on the holder's clock or until the holder answers otherwise.
type Trace struct {
	open       map[core.Shard][]claim
	fences     map[core.Shard]fenced
	since      map[core.Shard]core.Instant // without an actor since
	Violations []string
	Claims     int
	Longest    map[core.Shard]time.Duration // longest time without an actor, after the first
}

type claim struct {
	host  core.HostID
	until core.Instant
}

type fenced struct {
	host  core.HostID
	fence core.Fence
}

// NewTrace returns an empty trace.
func NewTrace() *Trace {
	return &Trace{
		open: map[core.Shard][]claim{}, fences: map[core.Shard]fenced{},
		since: map[core.Shard]core.Instant{}, Longest: map[core.Shard]time.Duration{},
	}
}

// Claim records that a host may act on a shard from now until an instant.
func (t *Trace) Claim(now core.Instant, h core.HostID, s core.Shard, fence core.Fence, until core.Instant) {
	list := t.open[s]
	mine := -1
	for i, c := range list {
		if c.host == h {
			mine = i
			continue
		}
		if c.until > now {
			t.violate(now, "%s and %s both act on %s", c.host, h, s.Name)
		}
	}
	if mine >= 0 {
		if list[mine].until < now {
			t.idle(s, list[mine].until, now)
		}
		list[mine].until = until
	} else {
		t.begin(now, s)
		t.open[s] = append(list, claim{host: h, until: until})
		t.Claims++
	}
	last := t.fences[s]
	if last.host != h && last.host != "" && fence <= last.fence {
		t.violate(now, "fence of %s did not rise: %s %d, then %s %d", s.Name, last.host, last.fence, h, fence)
	}
	t.fences[s] = fenced{host: h, fence: fence}
}

// Drop records that a host may not act on a shard.
func (t *Trace) Drop(now core.Instant, h core.HostID, s core.Shard) {
	list := t.open[s]
	for i, c := range list {
		if c.host == h {
			t.since[s] = min(now, c.until)
			t.open[s] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// Close ends all claims of a host that died.
func (t *Trace) Close(now core.Instant, h core.HostID) {
	for s := range t.open {
		t.Drop(now, h, s)
	}
}

func (t *Trace) begin(now core.Instant, s core.Shard) {
	for _, c := range t.open[s] {
		if c.until > now {
			return
		}
		t.since[s] = c.until
	}
	if from, ok := t.since[s]; ok {
		t.idle(s, from, now)
	}
}

func (t *Trace) idle(s core.Shard, from, to core.Instant) {
	t.Longest[s] = max(t.Longest[s], to.Sub(from))
}

// LongestGap is the longest time that any shard was without an actor.
func (t *Trace) LongestGap() time.Duration {
	var longest time.Duration
	for _, d := range t.Longest {
		longest = max(longest, d)
	}
	return longest
}

// Acted reports how many shards have an actor now.
func (t *Trace) Acted(now core.Instant) int {
	n := 0
	for _, list := range t.open {
		for _, c := range list {
			if c.until > now {
				n++
				break
			}
		}
	}
	return n
}

// Actor is who may act on a shard now.
func (t *Trace) Actor(now core.Instant, s core.Shard) (core.HostID, bool) {
	for _, c := range t.open[s] {
		if c.until > now {
			return c.host, true
		}
	}
	return "", false
}

func (t *Trace) violate(now core.Instant, format string, args ...any) {
	const most = 20
	if len(t.Violations) < most {
		t.Violations = append(t.Violations, fmt.Sprintf("%v: ", time.Duration(now))+fmt.Sprintf(format, args...))
	}
}
