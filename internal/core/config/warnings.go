package config

import (
	"slices"
	"strconv"

	"gentiancroft/internal/core"
)

// Warning is a disruption that a valid change would cause.
type Warning struct {
	Path string `json:"path"` // the entry, such as adapters/quotes
	Why  string `json:"why"`
}

// String implements fmt.Stringer.
func (w Warning) String() string { return w.Path + ": " + w.Why }

// warningCollector collects the warnings about a change.
type warningCollector struct {
	old, new *Snapshot
	warnings []Warning
}

// Warnings returns what a change from old to new would disrupt. inUse lists the
// adapter versions that recent requests have named; nil if that is unknown.
func Warnings(old, new *Document, inUse []core.AdapterRef) []Warning {
	w := &warningCollector{old: NewSnapshot(0, Canonical(old)), new: NewSnapshot(0, Canonical(new))}
	w.warnLimits()
	w.warnWorkspaces()
	w.warnAdapters(inUse)
	w.warnRoutes()
	w.warnUpstreams()
	return w.warnings
}

func (w *warningCollector) warn(s Section, id, why string) {
	w.warnings = append(w.warnings, Warning{Path: string(s) + "/" + id, Why: why})
}

// warnLimits warns about zero limits and about bursts below a route's cost.
func (w *warningCollector) warnLimits() {
	for _, x := range w.new.Document.Workspaces {
		was := w.old.Workspace(x.ID)
		if x.Rate == 0 && (was == nil || was.Rate != 0) {
			w.warn(SectionWorkspaces, string(x.ID), "a rate of zero refuses every request once the burst is spent")
		}
		if x.Burst == 0 && (was == nil || was.Burst != 0) {
			w.warn(SectionWorkspaces, string(x.ID), "a burst of zero refuses every request")
		}
		for _, r := range w.new.Document.Routes {
			if x.Burst > 0 && r.Cost > x.Burst && mayCharge(r, x.ID) {
				w.warn(SectionWorkspaces, string(x.ID), "a burst of "+strconv.FormatInt(x.Burst, 10)+" never fits the cost of "+r.Path+", "+strconv.FormatInt(r.Cost, 10))
			}
		}
	}
}

// mayCharge reports whether a request on a route may spend a workspace's limit.
func mayCharge(r Route, id core.WorkspaceID) bool {
	if r.Open {
		return r.Charged == id
	}
	return len(r.Workspaces) == 0 || slices.Contains(r.Workspaces, id)
}

// warnWorkspaces warns about removed workspaces and those that lose all their keys.
func (w *warningCollector) warnWorkspaces() {
	before, after := activeKeys(w.old.Document), activeKeys(w.new.Document)
	for _, x := range w.old.Document.Workspaces {
		if w.new.Workspace(x.ID) == nil {
			w.warn(SectionWorkspaces, string(x.ID), "is removed; its requests are refused from then on")
			continue
		}
		if before[x.ID] > 0 && after[x.ID] == 0 {
			w.warn(SectionWorkspaces, string(x.ID), "is left without a key")
		}
	}
}

func activeKeys(d *Document) map[core.WorkspaceID]int {
	n := map[core.WorkspaceID]int{}
	for _, k := range d.Keys {
		if !k.Withdrawn {
			n[k.Workspace]++
		}
	}
	return n
}

// warnAdapters warns about removed adapters and versions, and changed base models.
func (w *warningCollector) warnAdapters(inUse []core.AdapterRef) {
	used := map[core.AdapterRef]bool{}
	for _, ref := range inUse {
		used[ref] = true
	}
	for _, a := range w.old.Document.Adapters {
		now := w.new.adapters[a.ID]
		if now == nil {
			why := "is removed"
			if slices.ContainsFunc(a.Versions, func(v int) bool { return used[core.AdapterRef{ID: a.ID, Version: v}] }) {
				why = "is removed while it is in use"
			}
			w.warn(SectionAdapters, string(a.ID), why)
			continue
		}
		for _, v := range a.Versions {
			if slices.Contains(now.Versions, v) {
				continue
			}
			if used[core.AdapterRef{ID: a.ID, Version: v}] {
				w.warn(SectionAdapters, string(a.ID), "version "+strconv.Itoa(v)+" is removed while it is in use")
			}
			if v == a.Default {
				w.warn(SectionAdapters, string(a.ID), "version "+strconv.Itoa(v)+", the default until now, is removed; names without a version mean "+strconv.Itoa(now.Default)+" from then on")
			}
		}
		if now.Base != a.Base {
			w.warn(SectionAdapters, string(a.ID), "moves to base model "+string(now.Base)+"; the same version gives other answers")
		}
	}
}

// warnRoutes warns about routes that are removed, lose a protection or have no
// upstream.
func (w *warningCollector) warnRoutes() {
	for _, r := range w.new.Document.Routes {
		if w.activeUpstreams(w.new, r.Pool) == 0 {
			w.warn(SectionRoutes, r.Path, "pool "+r.Pool+" has no upstream that takes new work")
		}
		was := w.old.Route(r.Path)
		if was == nil {
			continue
		}
		if r.Idempotent && !was.Idempotent {
			w.warn(SectionRoutes, r.Path, "becomes idempotent: its requests may run more than once")
		}
		if r.Open && !was.Open {
			w.warn(SectionRoutes, r.Path, "opens to all callers, without a key")
		}
	}
	for _, r := range w.old.Document.Routes {
		if w.new.Route(r.Path) == nil {
			w.warn(SectionRoutes, r.Path, "is removed; its requests are refused from then on")
		}
	}
}

// activeUpstreams counts a pool's upstreams that are not leaving.
func (w *warningCollector) activeUpstreams(s *Snapshot, pool string) int {
	n := 0
	for _, u := range s.Pool(pool) {
		if !u.Leaving {
			n++
		}
	}
	return n
}

// warnUpstreams warns about upstreams newly declared to check fencing numbers, and
// about base models without an engine for their adapters.
func (w *warningCollector) warnUpstreams() {
	engines := map[core.BaseModel]bool{}
	for _, u := range w.new.Document.Upstreams {
		engines[u.Base] = engines[u.Base] || !u.Leaving
		was := w.old.Upstream(u.ID)
		if was != nil && u.Fencing && !was.Fencing {
			w.warn(SectionUpstreams, string(u.ID), "is now declared to check fencing numbers; if it does not, a late order may evict an adapter in use")
		}
	}
	adapters := map[core.BaseModel]int{}
	for _, a := range w.new.Document.Adapters {
		adapters[a.Base]++
	}
	for _, b := range w.new.Document.BaseModels {
		if adapters[b.ID] > 0 && !engines[b.ID] {
			w.warn(SectionBaseModels, string(b.ID), "has "+strconv.Itoa(adapters[b.ID])+" adapter(s) and no engine that takes new work")
		}
	}
}
