package residency

import (
	"cmp"
	"slices"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/table"
)

type state uint8

const (
	ready state = iota + 1
	loading
	unloading
)

// resident is an adapter that takes a slot of a replica.
type resident struct {
	version   int
	model     core.BaseModel // that it belongs to; "": unknown
	state     state
	since     core.Instant // when it entered the state
	lastUsed  core.Instant // last use
	nextCheck core.Instant // when to check next whether the load or unload is done
	fromCopy  bool         // it is loaded from the replica's copy
}

// resend is an order that is sent again because its first answer was lost.
type resend struct {
	order Order
	check bool // it repeats an earlier order to check whether that is done
	sends int  // so far
	at    core.Instant
}

type use struct {
	running int
	at      core.Instant
}

// replica is the state of one replica; it is current only while this host owns it.
type replica struct {
	id                core.UpstreamID
	address           string
	service           table.ServiceID
	started           int64
	sequence          uint64
	synced            bool // sequence and residents match the replica
	models            map[core.BaseModel]int
	weights           []core.BaseModel // models whose weights take memory; one of which it has two versions is there twice
	residents         map[core.AdapterID]*resident
	namesakes         []core.BaseModel // models of the adapters whose names are those of residents of other models
	demands           map[core.AdapterID]*demand
	uses              map[core.AdapterID]map[core.HostID]use
	copies            map[core.AdapterID]bool          // adapters that the replica has loaded before
	popularities      map[core.AdapterID]core.Decaying // decaying counts of requests
	order             *Order                           // the open one, or nil
	checking          bool                             // the open order repeats an earlier one to check whether that is done
	resend            *resend                          // an order without an answer that is to be sent again, or nil
	sends             int                              // how often the open order has been sent
	probing           bool                             // a probe is open
	probeAt           core.Instant                     // when to send the next one; 0: none is due
	modelLoadingSince core.Instant                     // since when a model is being loaded; 0: none is
	lastFetch         core.Instant                     // when it was last ordered to load from the weight store
	full              bool                             // no slot is free or can be freed now
	changed           bool                             // the residency has changed since it was last returned as changed
}

// applyState replaces the replica's state by the one reported for a sequence.
func (r *replica) applyState(now core.Instant, sequence uint64, models []replicas.Model, pending []core.AdapterRef) {
	old := r.residents
	r.sequence, r.synced, r.changed = sequence, true, true
	r.resend = nil
	r.residents = map[core.AdapterID]*resident{}
	r.models = map[core.BaseModel]int{}
	r.weights, r.namesakes = nil, nil
	add := func(model core.BaseModel, a core.AdapterRef, st state) {
		if x := r.residents[a.ID]; x != nil && model != "" && x.model != model {
			r.namesakes = append(r.namesakes, model)
			return
		}
		res := &resident{version: a.Version, model: model, state: st, since: now, lastUsed: now}
		if o := old[a.ID]; o != nil {
			res.lastUsed = o.lastUsed
			if o.state == st {
				res.since, res.nextCheck, res.fromCopy = o.since, o.nextCheck, o.fromCopy
			}
			if o.state == unloading && st == ready {
				res.state = unloading
			}
		}
		r.residents[a.ID] = res
	}
	for _, model := range models {
		r.models[model.Name] = model.Version
		r.weights = append(r.weights, model.Name)
		for _, a := range model.Adapters {
			add(model.Name, a, ready)
			r.copies[a.ID] = true
		}
	}
	for _, a := range pending {
		add(r.onlyModel(), a, loading)
	}
}

// hasAdapter reports whether an adapter is loaded at this version or a newer one.
func (r *replica) hasAdapter(a core.AdapterRef) bool {
	res := r.residents[a.ID]
	return res != nil && res.state == ready && res.version >= a.Version
}

// running is the number of requests that run with an adapter, as reported by all
// hosts. It drops expired uses.
func (r *replica) running(now core.Instant, a core.AdapterID) int {
	total := 0
	for host, u := range r.uses[a] {
		if now.Sub(u.at) > useTTL {
			delete(r.uses[a], host)
			continue
		}
		total += u.running
	}
	if total == 0 {
		delete(r.uses, a)
	}
	return total
}

// expire drops demands that are met or not repeated, and marks the replica for a new
// probe if a load or unload has timed out.
func (r *replica) expire(now core.Instant, demandTTL time.Duration) {
	for a, d := range r.demands {
		if r.hasAdapter(d.merged.Adapter) || now.Sub(d.lastReceived) > demandTTL {
			delete(r.demands, a)
		}
	}
	for _, res := range r.residents {
		if res.state != ready && now.Sub(res.since) > loadTimeout {
			r.synced = false
			res.since = now
		}
	}
	if r.modelLoadingSince != 0 && now.Sub(r.modelLoadingSince) > loadTimeout {
		r.modelLoadingSince = 0
		r.synced = false
	}
}

// checkOrder returns an order that repeats the load or unload whose check is due
// first, to learn whether it is done; false if none is due.
func (r *replica) checkOrder(now core.Instant) (Order, bool) {
	var due core.AdapterID
	var first *resident
	for a, res := range r.residents {
		if res.state == ready || now < res.nextCheck {
			continue
		}
		if first == nil || res.nextCheck < first.nextCheck || res.nextCheck == first.nextCheck && a < due {
			due, first = a, res
		}
	}
	if first == nil {
		return Order{}, false
	}
	return Order{Load: first.state == loading, Model: r.modelOf(first), Adapter: core.AdapterRef{ID: due, Version: first.version}}, true
}

// loadedModel is the first of the loaded base models by name, "" if there is none.
func (r *replica) loadedModel() core.BaseModel {
	var first core.BaseModel
	for name := range r.models {
		if first == "" || name < first {
			first = name
		}
	}
	return first
}

// onlyModel is the loaded base model where the replica has one, else "".
func (r *replica) onlyModel() core.BaseModel {
	if len(r.models) != 1 {
		return ""
	}
	return r.loadedModel()
}

// modelOf is the base model that a resident adapter belongs to, as far as that is known.
func (r *replica) modelOf(x *resident) core.BaseModel {
	if x.model != "" {
		return x.model
	}
	return r.loadedModel()
}

// loadsInFlight is the number of adapters that the replica is loading.
func (r *replica) loadsInFlight() int {
	n := 0
	for _, res := range r.residents {
		if res.state == loading {
			n++
		}
	}
	return n
}

// residency returns what is loaded, for other hosts.
func (r *replica) residency() replicas.Residency {
	e := replicas.Residency{Replica: r.id, Started: r.started, Orders: r.sequence, Full: r.full}
	for name, version := range r.models {
		m := replicas.Model{Name: name, Version: version}
		if len(e.Models) == 0 { // an engine runs one base model, so all adapters belong to it
			for a, res := range r.residents {
				if res.state == ready {
					m.Adapters = append(m.Adapters, core.AdapterRef{ID: a, Version: res.version})
				}
			}
			slices.SortFunc(m.Adapters, func(a, b core.AdapterRef) int { return cmp.Compare(a.ID, b.ID) })
		}
		e.Models = append(e.Models, m)
	}
	return e
}
