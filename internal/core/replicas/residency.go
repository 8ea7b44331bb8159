package replicas

import (
	"time"

	"gentiancroft/internal/core"
)

// ownerReportTTL is how long the owner's report of a residency overrides the
// platform's list.
const ownerReportTTL = 3 * time.Second

// Residency is what is loaded on a replica, as reported by the owner of its shard.
type Residency struct {
	Replica core.UpstreamID
	Started int64
	Orders  uint64 // number that the replica has accepted
	Models  []Model
	Full    bool // every adapter slot is taken by an adapter in use or in transit
}

// ApplyResidency applies the owner's report of a replica's residency. Reports of another
// start or of fewer accepted orders than the last one are ignored.
func (s *Set) ApplyResidency(now core.Instant, res Residency) {
	r := s.byID[res.Replica]
	if r == nil || r.Started != res.Started || res.Orders < r.reportedOrders {
		return
	}
	r.reportedAt, r.reportedOrders, r.full = now, res.Orders, res.Full
	r.setModels(res.Models)
}

// MarkNotLoaded records a replica's answer that an adapter isn't loaded on it.
func (s *Set) MarkNotLoaded(id core.UpstreamID, a core.AdapterID) {
	if r := s.byID[id]; r != nil {
		delete(r.adapters, a)
	}
}

// setModels replaces the replica's loaded models and adapters.
func (r *Replica) setModels(models []Model) {
	r.adapters = map[core.AdapterID]int{}
	r.baseModels = map[core.BaseModel]bool{}
	for _, m := range models {
		r.baseModels[m.Name] = true
		for _, a := range m.Adapters {
			r.adapters[a.ID] = a.Version
		}
	}
}

// AdapterVersion returns the loaded version of an adapter, and false if it isn't loaded.
func (r *Replica) AdapterVersion(a core.AdapterID) (version int, ok bool) {
	version, ok = r.adapters[a]
	return version, ok
}

// HasModel reports whether a base model is loaded on the replica.
func (r *Replica) HasModel(m core.BaseModel) bool { return r.baseModels[m] }

// Full reports whether the replica can't load another adapter now, because all that it has
// are in use or in transit. It is false where its owner has not reported lately.
func (r *Replica) Full(now core.Instant) bool {
	return r.full && now.Sub(r.reportedAt) < ownerReportTTL
}

// ReportAge is the time since the owner's last report of the residency; 0: never.
func (r *Replica) ReportAge(now core.Instant) time.Duration {
	if r.reportedAt == 0 {
		return 0
	}
	return now.Sub(r.reportedAt)
}
