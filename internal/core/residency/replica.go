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

// resident is one adapter that takes a place at a replica.
type resident struct {
	version int
	state   state
	since   core.Instant // of the state
	used    core.Instant // last
	check   core.Instant // when the replica is next asked whether the state has ended
	copied  bool         // it loads from a copy that the replica has kept
}

type use struct {
	running int
	at      core.Instant
}

// replica is one replica that this host may have to order.
type replica struct {
	id           core.UpstreamID
	address      string
	service      table.ServiceID
	started      int64
	sequence     uint64
	synced       bool // sequence and residents are the replica's
	models       map[core.BaseModel]int
	residents    map[core.AdapterID]*resident
	demands      map[core.AdapterID]*demand
	uses         map[core.AdapterID]map[core.HostID]use
	copies       map[core.AdapterID]bool          // adapters that the replica has held
	popularities map[core.AdapterID]core.Decaying // how often requests have named them
	order        *Order                           // without an answer yet
	checks       bool                             // the order repeats one, to learn whether it is done
	probing      bool
	probe        core.Instant // when the next report is due; 0: none is
	busy         core.Instant // a model is on its way since; 0: none is
	fetched      core.Instant // when it was last ordered to fetch an adapter
	changed      bool
}

// adopt takes a replica's state as of a sequence.
func (r *replica) adopt(now core.Instant, sequence uint64, models []replicas.Model, pending []core.AdapterRef) {
	old := r.residents
	r.sequence, r.synced, r.changed = sequence, true, true
	r.residents = map[core.AdapterID]*resident{}
	r.models = map[core.BaseModel]int{}
	take := func(a core.AdapterRef, st state) {
		i := &resident{version: a.Version, state: st, since: now, used: now}
		if o := old[a.ID]; o != nil {
			i.used = o.used
			if o.state == st {
				i.since, i.check, i.copied = o.since, o.check, o.copied
			}
			if o.state == unloading && st == ready {
				i.state = unloading
			}
		}
		r.residents[a.ID] = i
	}
	for _, model := range models {
		r.models[model.Name] = model.Version
		for _, a := range model.Adapters {
			take(a, ready)
			r.copies[a.ID] = true
		}
	}
	for _, a := range pending {
		take(a, loading)
	}
}

// holds reports whether the replica holds an adapter, at a version or a newer one.
func (r *replica) holds(a core.AdapterRef) bool {
	i := r.residents[a.ID]
	return i != nil && i.state == ready && i.version >= a.Version
}

// running is how many requests use an adapter at a replica, as last told.
func (r *replica) running(now core.Instant, a core.AdapterID) int {
	total := 0
	for host, u := range r.uses[a] {
		if now.Sub(u.at) > useFor {
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

func (r *replica) expire(now core.Instant, demandFor time.Duration) {
	for a, w := range r.demands {
		if r.holds(w.want.Adapter) || now.Sub(w.at) > demandFor {
			delete(r.demands, a)
		}
	}
	for _, i := range r.residents {
		if i.state != ready && now.Sub(i.since) > loadPatience {
			r.synced = false
			i.since = now
		}
	}
	if r.busy != 0 && now.Sub(r.busy) > loadPatience {
		r.busy = 0
		r.synced = false
	}
}

// check asks again for what should have been carried out by now.
func (r *replica) check(now core.Instant) (Order, bool) {
	var due core.AdapterID
	var first *resident
	for a, i := range r.residents {
		if i.state == ready || now < i.check {
			continue
		}
		if first == nil || i.check < first.check || i.check == first.check && a < due {
			due, first = a, i
		}
	}
	if first == nil {
		return Order{}, false
	}
	return Order{Load: first.state == loading, Model: r.model(), Adapter: core.AdapterRef{ID: due, Version: first.version}}, true
}

// model is the base model that the replica holds.
func (r *replica) model() core.BaseModel {
	var first core.BaseModel
	for name := range r.models {
		if first == "" || name < first {
			first = name
		}
	}
	return first
}

// transit is how many adapters are on their way to a replica.
func (r *replica) transit() int {
	n := 0
	for _, i := range r.residents {
		if i.state == loading {
			n++
		}
	}
	return n
}

func (r *replica) residency() replicas.Residency {
	e := replicas.Residency{Replica: r.id, Started: r.started, Orders: r.sequence}
	for name, version := range r.models {
		m := replicas.Model{Name: name, Version: version}
		if len(e.Models) == 0 { // adapters are of the one model that engines run here
			for a, i := range r.residents {
				if i.state == ready {
					m.Adapters = append(m.Adapters, core.AdapterRef{ID: a, Version: i.version})
				}
			}
			slices.SortFunc(m.Adapters, func(a, b core.AdapterRef) int { return cmp.Compare(a.ID, b.ID) })
		}
		e.Models = append(e.Models, m)
	}
	return e
}
