package residency

import (
	"cmp"
	"maps"
	"time"

	"gentiancroft/internal/core"
)

const (
	popularityHalfLife = 10 * time.Second // of a request's weight
	maxPopularities    = 1024             // tracked for one replica
	minPopularity      = 0.1              // below which an adapter is no longer tracked, once too many are
)

// countRequests adds requests to an adapter's popularity.
func (r *replica) countRequests(now core.Instant, a core.AdapterID, requests int) {
	if len(r.popularities) >= maxPopularities {
		maps.DeleteFunc(r.popularities, func(_ core.AdapterID, p core.Decaying) bool { return p.Now(now, popularityHalfLife) < minPopularity })
	}
	p := r.popularities[a]
	p.Add(now, float64(requests), popularityHalfLife)
	r.popularities[a] = p
}

// lessPopular reports whether adapter a, of popularity pa, sorts before b, of pb: by
// popularity, then last use, then id.
func lessPopular(pa float64, ra *resident, a core.AdapterID, pb float64, rb *resident, b core.AdapterID) bool {
	return cmp.Or(cmp.Compare(pa, pb), cmp.Compare(ra.lastUsed, rb.lastUsed), cmp.Compare(a, b)) < 0
}
