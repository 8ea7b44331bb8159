package residency

import (
	"time"

	"gentiancroft/internal/core"
)

// demand is a Demand and its times.
type demand struct {
	want  Demand
	at    core.Instant // last repeated
	from  core.Instant // first asked
	until core.Instant // when the adapter must be there for a request to be on time
}

// Demanded takes a demand of this host or of another one.
func (m *Machine) Demanded(now core.Instant, w Demand) {
	r := m.known[w.Replica]
	if r == nil {
		return
	}
	if x := r.demands[w.Adapter.ID]; x != nil {
		x.at = now
		x.until = max(x.until, now.Add(w.Left))
		x.want.Weight = max(x.want.Weight, w.Weight)
		x.want.Adapter.Version = max(x.want.Adapter.Version, w.Adapter.Version)
		return
	}
	r.demands[w.Adapter.ID] = &demand{want: w, at: now, from: now, until: now.Add(w.Left)}
}

// Used takes what a host has running.
func (m *Machine) Used(now core.Instant, from core.HostID, u Use) {
	r := m.known[u.Replica]
	if r == nil {
		return
	}
	if i := r.residents[u.Adapter]; i != nil {
		i.used = now
	}
	if u.Begun > 0 {
		r.count(now, u.Adapter, u.Begun)
	}
	if u.Running == 0 {
		delete(r.uses[u.Adapter], from)
		return
	}
	if r.uses[u.Adapter] == nil {
		r.uses[u.Adapter] = map[core.HostID]use{}
	}
	r.uses[u.Adapter][from] = use{running: u.Running, at: now}
}

// Newest takes an adapter's newest version: replicas that hold an older one load
// it once the old one is quiet, if requests have named the adapter lately.
func (m *Machine) Newest(model core.BaseModel, a core.AdapterRef) {
	m.newest[a.ID] = newest{model: model, version: a.Version}
}

type newest struct {
	model   core.BaseModel
	version int
}

// quietFor is how long nobody may have used an adapter before another version
// takes its place: a replica finishes all runs of the old one first, and until
// then takes no request that names the adapter, and no other order.
const quietFor = 400 * time.Millisecond

// topDemand is the best demand for an adapter that is neither held nor on its way, nor
// held at an older version that is in use: of those that load from a copy, or of
// those that have to be fetched.
func (m *Machine) topDemand(now core.Instant, r *replica, copied bool) *demand {
	var best *demand
	take := func(a core.AdapterID, w *demand) {
		_, there := r.models[w.want.Model]
		if !there || r.copies[a] != copied {
			return
		}
		if i := r.residents[a]; i != nil {
			newer := i.state == ready && i.version < w.want.Adapter.Version
			if !newer || r.running(now, a) > 0 || now.Sub(i.used) < quietFor {
				return
			}
		}
		if best == nil || better(now, r, w, r, best) {
			best = w
		}
	}
	for a, w := range r.demands {
		take(a, w)
	}
	if best != nil {
		return best
	}
	for a, n := range m.newest {
		if r.residents[a] != nil && r.popularities[a].Now(now, popularityHalf) >= renewPopularity {
			take(a, &demand{want: Demand{Replica: r.id, Model: n.model, Adapter: core.AdapterRef{ID: a, Version: n.version}}})
		}
	}
	return best
}

// renewPopularity is how much an adapter must be in use for its newest version to be
// loaded unasked.
const renewPopularity = 0.5

// better reports whether a demand goes before another: those for which a request
// can still be on time first, then those that more requests wait for, then those
// of the replica that has fetched nothing for longest, then the older ones. While
// more is wanted than can be loaded, this serves as many as can be on time, instead
// of all of them late.
func better(now core.Instant, sa *replica, a *demand, sb *replica, b *demand) bool {
	if x, y := sa.onTime(now, a), sb.onTime(now, b); x != y {
		return x
	}
	if a.want.Weight != b.want.Weight {
		return a.want.Weight > b.want.Weight
	}
	if sa.fetched != sb.fetched {
		return sa.fetched < sb.fetched
	}
	if a.from != b.from {
		return a.from < b.from
	}
	return a.want.Adapter.ID < b.want.Adapter.ID
}

// onTime reports whether a demand that is met next is met in time.
func (r *replica) onTime(now core.Instant, w *demand) bool {
	takes := fetchTime
	if r.copies[w.want.Adapter.ID] {
		takes = copyTime
	}
	return now.Add(takes) <= w.until
}
