// Package crashcount counts the replicas that crashed while they ran the same request, as hosts observe them
// and tell each other. A request that has crashed several is not sent to another one.
//
// Counts are kept by the host that observed them, and a told count replaces a lower one of the same observer
// only. So it doesn't matter how often, in what order and by whom they are told: no crash counts twice, and
// none is kept alive by being told again.
package crashcount

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"gentiancroft/internal/core"
)

const (
	// MaxCrashes is after how many crashes a request is a suspect.
	MaxCrashes = 3
	// Retention is how long a crash counts.
	Retention = 90 * time.Second

	// maxDelay is how late a report may arrive, and seem younger by that. What is told of a request whose
	// crashes have expired must be younger than those by more.
	maxDelay = 10 * time.Second

	maxRecords  = 512 // requests with a record
	evicted     = 128 // records that make room together, as they have to be sorted
	maxReported = 256 // counts in one report
	maxStored   = 64  // suspects that are stored
)

// inherited stands for the unknown observers of crashes that were read from the store.
const inherited core.HostID = ""

// Count is how many replicas crashed under a request where one host observed it.
type Count struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64   // of the request
	Observer    core.HostID
	Crashes     uint8
	Age         time.Duration // since the last one under the request
}

// record is what is known of one request.
type record struct {
	byObserver map[core.HostID]uint8
	total      int // of byObserver
	lastCrash  core.Instant
}

// set replaces an observer's count.
func (r *record) set(observer core.HostID, crashes uint8) {
	r.total += int(crashes) - int(r.byObserver[observer])
	r.byObserver[observer] = crashes
}

func (r *record) expired(now core.Instant) bool { return now.Sub(r.lastCrash) >= Retention }

func (r *record) suspect(now core.Instant) bool { return !r.expired(now) && r.total >= MaxCrashes }

// Counts are the crashes that one host knows of, by the request's fingerprint.
type Counts struct {
	self    core.HostID
	records map[uint64]*record
}

// New returns the counts of a host that knows of no crash.
func New(self core.HostID) *Counts {
	return &Counts{self: self, records: map[uint64]*record{}}
}

// Observe counts a crash that this host observed.
func (c *Counts) Observe(now core.Instant, fingerprint uint64) {
	r := c.recordFor(now, fingerprint)
	r.set(c.self, increment(r.byObserver[c.self]))
	r.lastCrash = now
}

func increment(n uint8) uint8 {
	if n == math.MaxUint8 {
		return n
	}
	return n + 1
}

// Apply applies a count that another host has told. It reports whether it was news.
func (c *Counts) Apply(now core.Instant, k Count) bool {
	if k.Crashes == 0 || k.Age < 0 || k.Age >= Retention || !c.isNews(now, k) {
		return false
	}
	r := c.recordFor(now, k.Fingerprint)
	r.set(k.Observer, k.Crashes)
	r.lastCrash = max(r.lastCrash, now.Add(-k.Age))
	return true
}

// isNews reports whether a told count isn't known, and not of crashes that have expired here.
func (c *Counts) isNews(now core.Instant, k Count) bool {
	r := c.records[k.Fingerprint]
	switch {
	case r == nil:
		return true
	case r.expired(now):
		return now.Add(-k.Age).Sub(r.lastCrash) > maxDelay
	}
	return r.byObserver[k.Observer] < k.Crashes
}

// recordFor returns a request's record. An expired one begins anew.
func (c *Counts) recordFor(now core.Instant, fingerprint uint64) *record {
	r := c.records[fingerprint]
	if r != nil && !r.expired(now) {
		return r
	}
	if r == nil && len(c.records) >= maxRecords {
		c.evict(now)
	}
	r = &record{byObserver: map[core.HostID]uint8{}, lastCrash: math.MinInt64}
	c.records[fingerprint] = r
	return r
}

// evict removes the last evicted records by weight, so that many replicas that end under sound requests
// displace no suspect.
func (c *Counts) evict(now core.Instant) {
	order := c.byWeight(now, func(*record) bool { return true })
	for _, fingerprint := range order[len(order)-evicted:] {
		delete(c.records, fingerprint)
	}
}

// byWeight returns the fingerprints of the records for which keep returns true, those of the most crashes
// that count first, of those the newest.
func (c *Counts) byWeight(now core.Instant, keep func(*record) bool) []uint64 {
	var kept []uint64
	for fingerprint, r := range c.records {
		if keep(r) {
			kept = append(kept, fingerprint)
		}
	}
	slices.SortFunc(kept, func(a, b uint64) int {
		x, y := c.records[a], c.records[b]
		return cmp.Or(cmp.Compare(y.weight(now), x.weight(now)), cmp.Compare(y.lastCrash, x.lastCrash), cmp.Compare(a, b))
	})
	return kept
}

// weight is how many crashes of a request count.
func (r *record) weight(now core.Instant) int {
	if r.expired(now) {
		return 0
	}
	return r.total
}

// IsSuspect reports whether a request has crashed so many replicas that it is not sent to another one.
func (c *Counts) IsSuspect(now core.Instant, fingerprint uint64) bool {
	r := c.records[fingerprint]
	return r != nil && r.suspect(now)
}

// Own returns the crashes that this host observed, of requests whose last crash is younger than an age.
func (c *Counts) Own(now core.Instant, maxAge time.Duration) map[uint64]uint8 {
	var own map[uint64]uint8
	for fingerprint, r := range c.records {
		n := r.byObserver[c.self]
		if n == 0 || now.Sub(r.lastCrash) >= maxAge {
			continue
		}
		if own == nil {
			own = map[uint64]uint8{}
		}
		own[fingerprint] = n
	}
	return own
}

// Report returns what this host knows, for one that may not: the requests with the most crashes first.
func (c *Counts) Report(now core.Instant) []Count {
	var report []Count
	for _, fingerprint := range c.byWeight(now, func(r *record) bool { return !r.expired(now) }) {
		r := c.records[fingerprint]
		for _, observer := range slices.Sorted(maps.Keys(r.byObserver)) {
			report = append(report, Count{Fingerprint: fingerprint, Observer: observer, Crashes: r.byObserver[observer], Age: now.Sub(r.lastCrash)})
		}
		if len(report) >= maxReported {
			break
		}
	}
	return report
}

// Digest returns a digest of the suspects, 0 where there are none. Hosts that know the same ones have the
// same digest.
func (c *Counts) Digest(now core.Instant) uint64 {
	var digest uint64
	for fingerprint, r := range c.records {
		if r.suspect(now) {
			digest ^= fingerprint // a hash already
		}
	}
	return digest
}

// Suspects returns the times since the last crash of the suspects, by fingerprint, to be stored.
func (c *Counts) Suspects(now core.Instant) map[uint64]time.Duration {
	order := c.byWeight(now, func(r *record) bool { return r.suspect(now) })
	suspects := map[uint64]time.Duration{}
	for _, fingerprint := range order[:min(len(order), maxStored)] {
		suspects[fingerprint] = now.Sub(c.records[fingerprint].lastCrash)
	}
	return suspects
}

// Inherit applies a suspect that was stored before this process started.
func (c *Counts) Inherit(now core.Instant, fingerprint uint64, age time.Duration) {
	c.Apply(now, Count{Fingerprint: fingerprint, Observer: inherited, Crashes: MaxCrashes, Age: age})
}
