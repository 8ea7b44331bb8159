package residency

import (
	"cmp"
	"maps"
	"math"
	"time"

	"gentiancroft/internal/core"
)

// popularity is a count of requests in which older ones count less.
type popularity struct {
	value float64
	at    core.Instant
}

const (
	popularityHalf   = 10 * time.Second // after which a request counts half
	popularitiesMost = 1024             // adapters whose popularity a replica's owner remembers
	popularityLeast  = 0.1              // below which it is forgotten
)

func (h popularity) now(t core.Instant) float64 {
	return h.value * math.Exp2(-float64(max(t.Sub(h.at), 0))/float64(popularityHalf))
}

// count counts requests that name an adapter.
func (r *replica) count(now core.Instant, a core.AdapterID, requests int) {
	if len(r.popularities) >= popularitiesMost {
		maps.DeleteFunc(r.popularities, func(_ core.AdapterID, h popularity) bool { return h.now(now) < popularityLeast })
	}
	r.popularities[a] = popularity{value: r.popularities[a].now(now) + float64(requests), at: now}
}

// lessPopular orders adapters by popularity, then by their last use, then by name.
func lessPopular(h float64, i *resident, a core.AdapterID, than float64, other *resident, b core.AdapterID) bool {
	return cmp.Or(cmp.Compare(h, than), cmp.Compare(i.used, other.used), cmp.Compare(a, b)) < 0
}
