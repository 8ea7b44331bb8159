package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// loadRequestBackoff is the pause before a load request is repeated when the
// last answer did not lead to a ticket.
const loadRequestBackoff = 300 * time.Millisecond

// awaitLoad makes r wait for a load of its adapter. It takes no place in a
// batch.
func (m *Machine) awaitLoad(r *request) {
	r.state = awaitingLoad
	r.waitedForLoad = true
	lr := m.entry.loadRequests[r.Adapter]
	if lr == nil {
		lr = &loadRequest{adapter: r.Adapter, pool: r.Pool}
		m.entry.loadRequests[r.Adapter] = lr
	}
	lr.waiting = append(lr.waiting, r.Request)
	if m.entry.placingWaiters || r.rejections > 1 {
		// The sweep sends it later: hosts whose views differ must not pass the
		// request back and forth without a pause.
		lr.lastSent = m.now.Add(loadRequestBackoff - m.settings.RetryInterval)
		return
	}
	lr.newArrivals++
	m.sendLoadRequest(lr)
}

func (m *Machine) cancelLoadRequest(r *request) {
	lr := m.entry.loadRequests[r.Adapter]
	if lr == nil {
		return
	}
	lr.waiting = slices.DeleteFunc(lr.waiting, func(id core.RequestID) bool { return id == r.Request })
	if len(lr.waiting) == 0 {
		delete(m.entry.loadRequests, r.Adapter)
		m.sendLoadRequest(lr)
	}
}

func (m *Machine) sendLoadRequest(lr *loadRequest) {
	loader, ok := m.ownership.Owner(LoaderShard)
	lr.lastSent = m.now
	if !ok {
		return
	}
	msg := LoadRequestMessage{Adapter: lr.adapter, Pool: lr.pool, Waiting: len(lr.waiting), Class: core.Overnight, NewArrivals: lr.newArrivals}
	for _, id := range lr.waiting {
		r := m.entry.requests[id]
		msg.Class = min(msg.Class, r.Class)
		for _, u := range r.Avoid {
			if !slices.Contains(msg.Avoid, u) {
				msg.Avoid = append(msg.Avoid, u)
			}
		}
	}
	lr.newArrivals = 0
	m.send(loader, Message{LoadRequest: &msg})
}

// sweepLoadRequests repeats load requests; a new loader receives them immediately.
func (m *Machine) sweepLoadRequests() {
	loader, _ := m.ownership.Owner(LoaderShard)
	moved := loader != m.entry.lastLoader
	m.entry.lastLoader = loader
	for _, a := range slices.SortedFunc(maps.Keys(m.entry.loadRequests), compareRefs) {
		lr := m.entry.loadRequests[a]
		if moved || m.now.Sub(lr.lastSent) >= m.settings.RetryInterval {
			m.sendLoadRequest(lr)
		}
	}
}

// receiveLoadReply handles the loader's answer to a load request.
func (m *Machine) receiveLoadReply(msg LoadReplyMessage) {
	if msg.Upstream == "" {
		if lr := m.entry.loadRequests[msg.Adapter]; lr != nil {
			lr.estimate = msg.Wait
		}
		return
	}
	m.view.markLoaded(msg.Upstream, msg.Adapter)
	m.placeWaiters(msg.Adapter)
}

// placeWaiters places the requests that wait for an adapter that is now loaded.
func (m *Machine) placeWaiters(a core.AdapterRef) {
	lr := m.entry.loadRequests[a]
	if lr == nil || len(m.view.loadedOn[a]) == 0 {
		return
	}
	delete(m.entry.loadRequests, a)
	m.entry.placingWaiters = true
	for _, id := range lr.waiting {
		m.place(m.entry.requests[id])
	}
	m.entry.placingWaiters = false
}

func (m *Machine) receiveResidency(r Residency) {
	if m.owned.byID[r.Upstream] != nil {
		return // the owner's own state is newer
	}
	m.applyResidency(r)
}

// applyResidency puts a newer residency into the view and places or redirects
// the requests that it affects.
func (m *Machine) applyResidency(r Residency) {
	added, removed := m.view.apply(r)
	for _, a := range added {
		m.placeWaiters(a)
		m.redirectWaiting(a)
	}
	x := m.view.upstreams[r.Upstream]
	if m.loader == nil || x == nil {
		return
	}
	for _, p := range removed {
		if len(m.view.loadedOn[p.Adapter]) == 0 {
			m.loader.setPopularity(p, x.config.Pool, m.now)
		}
	}
}

// loadRetryAfter returns the retry hint for a caller whose adapter was not
// loaded.
func (m *Machine) loadRetryAfter(a core.AdapterRef) time.Duration {
	if lr := m.entry.loadRequests[a]; lr != nil {
		return max(lr.estimate, retryNoLoad)
	}
	return retryNoLoad
}

func compareRefs(a, b core.AdapterRef) int {
	if c := cmp.Compare(a.ID, b.ID); c != 0 {
		return c
	}
	return cmp.Compare(a.Version, b.Version)
}
