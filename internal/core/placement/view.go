package placement

import (
	"slices"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/core/dispatch/pick"
)

// upstreamView is this host's view of one upstream.
type upstreamView struct {
	Residency
	config       *config.Upstream
	ownRequests  int // this host's requests that wait or run there
	reportedLoad int // as last reported by its owner
	ownAtReport  int // ownRequests at that time
}

// estimatedLoad returns the load last reported by the owner, corrected by what
// this host has sent or ended since.
func (x *upstreamView) estimatedLoad() int {
	return max(x.reportedLoad-x.ownAtReport, 0) + x.ownRequests
}

func (x *upstreamView) leaving() bool { return x.Leaving || x.config.Leaving }

// view is this host's view of all upstreams, as published by their owners.
type view struct {
	snapshot      *config.Snapshot
	pools         map[string][]*upstreamView
	upstreams     map[core.UpstreamID]*upstreamView
	loadedOn      map[core.AdapterRef][]*upstreamView
	listedLeaving map[core.UpstreamID]bool // leaving, by the platform's list
	scratch       []pick.Candidate
}

func newView() *view {
	return &view{
		pools:         map[string][]*upstreamView{},
		upstreams:     map[core.UpstreamID]*upstreamView{},
		loadedOn:      map[core.AdapterRef][]*upstreamView{},
		listedLeaving: map[core.UpstreamID]bool{},
	}
}

func (v *view) configure(s *config.Snapshot) {
	v.snapshot = s
	v.pools = map[string][]*upstreamView{}
	old := v.upstreams
	v.upstreams = make(map[core.UpstreamID]*upstreamView, len(s.Document.Upstreams))
	for i := range s.Document.Upstreams {
		u := &s.Document.Upstreams[i]
		x := old[u.ID]
		if x == nil {
			x = &upstreamView{Residency: Residency{Upstream: u.ID, SlowStartWeight: 1}}
		}
		x.config = u
		v.upstreams[u.ID] = x
		v.pools[u.Pool] = append(v.pools[u.Pool], x)
	}
	for id, x := range old {
		if v.upstreams[id] == nil {
			v.dropAdapters(x)
		}
	}
}

// apply replaces an upstream's residency if r is newer and returns the adapters
// it adds and removes.
func (v *view) apply(r Residency) (added []core.AdapterRef, removed []AdapterPopularity) {
	x := v.upstreams[r.Upstream]
	if x == nil || !r.Newer(x.Residency) {
		return nil, nil
	}
	before := x.Adapters
	v.dropAdapters(x)
	x.Residency = r
	x.reportedLoad, x.ownAtReport = r.Load, x.ownRequests
	for _, a := range r.Adapters {
		v.loadedOn[a.Adapter] = append(v.loadedOn[a.Adapter], x)
		if !slices.ContainsFunc(before, func(p AdapterPopularity) bool { return p.Adapter == a.Adapter }) {
			added = append(added, a.Adapter)
		}
	}
	for _, p := range before {
		if !slices.Contains(v.loadedOn[p.Adapter], x) {
			removed = append(removed, p)
		}
	}
	return added, removed
}

func (v *view) dropAdapters(x *upstreamView) {
	for _, a := range x.Adapters {
		v.dropAdapter(a.Adapter, x)
	}
}

func (v *view) dropAdapter(a core.AdapterRef, x *upstreamView) {
	left := slices.DeleteFunc(v.loadedOn[a], func(h *upstreamView) bool { return h == x })
	if len(left) == 0 {
		delete(v.loadedOn, a)
		return
	}
	v.loadedOn[a] = left
}

// markAbsent records that an adapter is not loaded on an upstream, before its
// owner publishes it.
func (v *view) markAbsent(u core.UpstreamID, a core.AdapterRef) {
	if x := v.upstreams[u]; x != nil {
		v.dropAdapter(a, x)
		x.Adapters = slices.DeleteFunc(slices.Clone(x.Adapters), func(p AdapterPopularity) bool { return p.Adapter == a })
	}
}

// markLoaded records that an adapter is loaded on an upstream, before its owner
// publishes it.
func (v *view) markLoaded(u core.UpstreamID, a core.AdapterRef) {
	x := v.upstreams[u]
	if x == nil || slices.Contains(v.loadedOn[a], x) {
		return
	}
	v.loadedOn[a] = append(v.loadedOn[a], x)
	x.Adapters = append(slices.Clone(x.Adapters), AdapterPopularity{Adapter: a})
}

func (v *view) setLeaving(upstreams []core.UpstreamID) {
	clear(v.listedLeaving)
	for _, u := range upstreams {
		v.listedLeaving[u] = true
	}
}

// candidates lists the upstreams of a pool that have an adapter loaded, or all
// of the pool for the zero adapter. The slice is valid until the next call.
func (v *view) candidates(pool string, a core.AdapterRef) []pick.Candidate {
	from := v.pools[pool]
	if a != (core.AdapterRef{}) {
		from = v.loadedOn[a]
	}
	v.scratch = v.scratch[:0]
	for _, x := range from {
		if x.config.Pool != pool {
			continue
		}
		v.scratch = append(v.scratch, pick.Candidate{
			Upstream:        x.Upstream,
			Domain:          x.config.Domain,
			Load:            x.estimatedLoad(),
			Batch:           x.config.Batch,
			SlowStartWeight: x.SlowStartWeight,
			Ejected:         v.ejected(x),
			Leaving:         x.leaving() || v.listedLeaving[x.Upstream],
		})
	}
	return v.scratch
}

// usable reports whether a pool has an upstream that accepts work and is not in
// avoid.
func (v *view) usable(pool string, avoid []core.UpstreamID) bool {
	return slices.ContainsFunc(v.pools[pool], func(x *upstreamView) bool {
		return !x.leaving() && !v.listedLeaving[x.Upstream] && !slices.Contains(avoid, x.Upstream)
	})
}

// ejected reports whether an upstream is skipped for its health. Invariant: at
// most half of a pool is skipped, even if more probes fail; otherwise none is.
func (v *view) ejected(x *upstreamView) bool {
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

func (v *view) hasAdapter(u core.UpstreamID, a core.AdapterRef) bool {
	return slices.ContainsFunc(v.loadedOn[a], func(x *upstreamView) bool { return x.Upstream == u })
}
