package residency

import (
	"cmp"
	"maps"
	"time"

	"gentiancroft/internal/core"
)

const (
	popularityHalf   = 10 * time.Second // after which a request counts half
	popularitiesMost = 1024             // adapters whose popularity a replica's owner remembers
	popularityLeast  = 0.1              // below which it is forgotten
)

// count counts requests that name an adapter.
func (r *replica) count(now core.Instant, a core.AdapterID, requests int) {
	if len(r.popularities) >= popularitiesMost {
		maps.DeleteFunc(r.popularities, func(_ core.AdapterID, p core.Decaying) bool { return p.Now(now, popularityHalf) < popularityLeast })
	}
	p := r.popularities[a]
	p.Add(now, float64(requests), popularityHalf)
	r.popularities[a] = p
}

// lessPopular orders adapters by popularity, then by their last use, then by name.
func lessPopular(h float64, i *resident, a core.AdapterID, than float64, other *resident, b core.AdapterID) bool {
	return cmp.Or(cmp.Compare(h, than), cmp.Compare(i.used, other.used), cmp.Compare(a, b)) < 0
}
