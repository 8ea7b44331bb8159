package membership

import (
	"fmt"
	"time"

	"gentiancroft/internal/core"
)

// ActingTrace records, in real time, which host may act on each shard, and reports
// violations: two hosts at once, or a fencing number that does not rise. It uses
// only the answers of the machines: a claim lasts from the answer that made
// it until its expiry on the host's clock, or until the host answers otherwise.
type ActingTrace struct {
	claims      map[core.Shard][]claim
	lastFences  map[core.Shard]fenceRecord
	idleSince   map[core.Shard]core.Instant // without an acting owner since
	Violations  []string
	NewClaims   int                          // new claims, without extensions
	LongestGaps map[core.Shard]time.Duration // longest time without an acting owner, after the first
}

// claim is the right of a host to act, with its expiry in real time.
type claim struct {
	host  core.HostID
	until core.Instant
}

// fenceRecord is the latest fencing number of a shard.
type fenceRecord struct {
	host  core.HostID
	fence core.Fence
}

// NewActingTrace returns an empty trace.
func NewActingTrace() *ActingTrace {
	return &ActingTrace{
		claims: map[core.Shard][]claim{}, lastFences: map[core.Shard]fenceRecord{},
		idleSince: map[core.Shard]core.Instant{}, LongestGaps: map[core.Shard]time.Duration{},
	}
}

// Claim records that a host may act on a shard from now until an instant.
func (t *ActingTrace) Claim(now core.Instant, h core.HostID, s core.Shard, fence core.Fence, until core.Instant) {
	list := t.claims[s]
	own := -1
	for i, c := range list {
		if c.host == h {
			own = i
			continue
		}
		if c.until > now {
			t.addViolation(now, "%s and %s may both act on %s", c.host, h, s.Name)
		}
	}
	if own >= 0 {
		if list[own].until < now {
			t.recordGap(s, list[own].until, now)
		}
		list[own].until = until
	} else {
		t.endGap(now, s)
		t.claims[s] = append(list, claim{host: h, until: until})
		t.NewClaims++
	}
	last := t.lastFences[s]
	if last.host != h && last.host != "" && fence <= last.fence {
		t.addViolation(now, "fencing number of %s did not rise: %s %d, then %s %d", s.Name, last.host, last.fence, h, fence)
	}
	t.lastFences[s] = fenceRecord{host: h, fence: fence}
}

// Drop records that a host may no longer act on a shard.
func (t *ActingTrace) Drop(now core.Instant, h core.HostID, s core.Shard) {
	list := t.claims[s]
	for i, c := range list {
		if c.host == h {
			t.idleSince[s] = min(now, c.until)
			t.claims[s] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// CloseClaims ends all claims of a crashed host.
func (t *ActingTrace) CloseClaims(now core.Instant, h core.HostID) {
	for s := range t.claims {
		t.Drop(now, h, s)
	}
}

// endGap records the gap that ends with a new claim.
func (t *ActingTrace) endGap(now core.Instant, s core.Shard) {
	for _, c := range t.claims[s] {
		if c.until > now {
			return
		}
		t.idleSince[s] = c.until
	}
	if from, ok := t.idleSince[s]; ok {
		t.recordGap(s, from, now)
	}
}

// recordGap records a time without an acting owner.
func (t *ActingTrace) recordGap(s core.Shard, from, to core.Instant) {
	t.LongestGaps[s] = max(t.LongestGaps[s], to.Sub(from))
}

// LongestGap returns the longest time that any shard had no acting owner.
func (t *ActingTrace) LongestGap() time.Duration {
	var longest time.Duration
	for _, d := range t.LongestGaps {
		longest = max(longest, d)
	}
	return longest
}

// ActiveShards returns how many shards have an acting owner now.
func (t *ActingTrace) ActiveShards(now core.Instant) int {
	n := 0
	for _, list := range t.claims {
		for _, c := range list {
			if c.until > now {
				n++
				break
			}
		}
	}
	return n
}

// ActingHost returns the host that may act on a shard now, if there is one.
func (t *ActingTrace) ActingHost(now core.Instant, s core.Shard) (core.HostID, bool) {
	for _, c := range t.claims[s] {
		if c.until > now {
			return c.host, true
		}
	}
	return "", false
}

// addViolation adds a violation to the list, up to its limit.
func (t *ActingTrace) addViolation(now core.Instant, format string, args ...any) {
	const maxViolations = 20
	if len(t.Violations) < maxViolations {
		t.Violations = append(t.Violations, fmt.Sprintf("%v: ", time.Duration(now))+fmt.Sprintf(format, args...))
	}
}
