package placement

import (
	"slices"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/core/dispatch/pick"
)

// seen is what this host knows of one upstream.
type seen struct {
	Residency
	config  *config.Upstream
	mine    int // this host's own requests asked or running there
	load    int // at its owner's last word
	counted int // of load, this host's own at that time
}

// estimate is the load at the owner's last word, corrected for the lag by what
// this host itself has sent or ended since.
func (s *seen) estimate() int { return max(s.load-s.counted, 0) + s.mine }

func (s *seen) leaving() bool { return s.Leaving || s.config.Leaving }

// view is this host's picture of all upstreams, fed by their owners.
type view struct {
	snapshot *config.Snapshot
	pools    map[string][]*seen
	seen     map[core.UpstreamID]*seen
	holders  map[core.AdapterRef][]*seen
	listed   map[core.UpstreamID]bool // leaving, by the platform's list
	scratch  []pick.Candidate
}

func newView() *view {
	return &view{
		pools:   map[string][]*seen{},
		seen:    map[core.UpstreamID]*seen{},
		holders: map[core.AdapterRef][]*seen{},
		listed:  map[core.UpstreamID]bool{},
	}
}

func (v *view) configure(s *config.Snapshot) {
	v.snapshot = s
	v.pools = map[string][]*seen{}
	old := v.seen
	v.seen = make(map[core.UpstreamID]*seen, len(s.Document.Upstreams))
	for i := range s.Document.Upstreams {
		u := &s.Document.Upstreams[i]
		x := old[u.ID]
		if x == nil {
			x = &seen{Residency: Residency{Upstream: u.ID, Warmth: 1}}
		}
		x.config = u
		v.seen[u.ID] = x
		v.pools[u.Pool] = append(v.pools[u.Pool], x)
	}
	for id, x := range old {
		if v.seen[id] == nil {
			v.unindex(x)
		}
	}
}

// learn takes a newer residency and returns what it adds and no longer holds.
func (v *view) learn(r Residency) (added []core.AdapterRef, removed []Popular) {
	x := v.seen[r.Upstream]
	if x == nil || !r.Newer(x.Residency) {
		return nil, nil
	}
	before := x.Adapters
	v.unindex(x)
	x.Residency = r
	x.load, x.counted = r.Load, x.mine
	for _, a := range r.Adapters {
		v.holders[a.Adapter] = append(v.holders[a.Adapter], x)
		if !slices.ContainsFunc(before, func(p Popular) bool { return p.Adapter == a.Adapter }) {
			added = append(added, a.Adapter)
		}
	}
	for _, p := range before {
		if !slices.Contains(v.holders[p.Adapter], x) {
			removed = append(removed, p)
		}
	}
	return added, removed
}

func (v *view) unindex(x *seen) {
	for _, a := range x.Adapters {
		v.dropHolder(a.Adapter, x)
	}
}

func (v *view) dropHolder(a core.AdapterRef, x *seen) {
	left := slices.DeleteFunc(v.holders[a], func(h *seen) bool { return h == x })
	if len(left) == 0 {
		delete(v.holders, a)
		return
	}
	v.holders[a] = left
}

// lost notes that an upstream does not hold an adapter, ahead of the feed.
func (v *view) lost(u core.UpstreamID, a core.AdapterRef) {
	if x := v.seen[u]; x != nil {
		v.dropHolder(a, x)
		x.Adapters = slices.DeleteFunc(slices.Clone(x.Adapters), func(p Popular) bool { return p.Adapter == a })
	}
}

// gained notes that an upstream holds an adapter, ahead of the feed.
func (v *view) gained(u core.UpstreamID, a core.AdapterRef) {
	x := v.seen[u]
	if x == nil || slices.Contains(v.holders[a], x) {
		return
	}
	v.holders[a] = append(v.holders[a], x)
	x.Adapters = append(slices.Clone(x.Adapters), Popular{Adapter: a})
}

func (v *view) setLeaving(upstreams []core.UpstreamID) {
	clear(v.listed)
	for _, u := range upstreams {
		v.listed[u] = true
	}
}

// candidates lists the upstreams of a pool that hold an adapter, or all of the
// pool for the zero adapter. The slice is good until the next call.
func (v *view) candidates(pool string, a core.AdapterRef) []pick.Candidate {
	from := v.pools[pool]
	if a != (core.AdapterRef{}) {
		from = v.holders[a]
	}
	v.scratch = v.scratch[:0]
	for _, x := range from {
		if x.config.Pool != pool {
			continue
		}
		v.scratch = append(v.scratch, pick.Candidate{
			Upstream: x.Upstream,
			Domain:   x.config.Domain,
			Load:     x.estimate(),
			Batch:    x.config.Batch,
			Warmth:   x.Warmth,
			Suspect:  v.ejected(x),
			Leaving:  x.leaving() || v.listed[x.Upstream],
		})
	}
	return v.scratch
}

// usable reports whether a pool has an upstream that takes work and is not one
// of those to avoid.
func (v *view) usable(pool string, avoid []core.UpstreamID) bool {
	return slices.ContainsFunc(v.pools[pool], func(x *seen) bool {
		return !x.leaving() && !v.listed[x.Upstream] && !slices.Contains(avoid, x.Upstream)
	})
}

// ejected reports whether an upstream is left out for its health. Keeps: no
// more than half of a pool is left out, however bad the probes are.
func (v *view) ejected(x *seen) bool {
	if !x.Suspect {
		return false
	}
	pool, suspects := v.pools[x.config.Pool], 0
	for _, y := range pool {
		if y.Suspect {
			suspects++
		}
	}
	return suspects*2 <= len(pool)
}

func (v *view) holds(u core.UpstreamID, a core.AdapterRef) bool {
	return slices.ContainsFunc(v.holders[a], func(x *seen) bool { return x.Upstream == u })
}
