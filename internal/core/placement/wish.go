package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// wantAgain is how long a want waits after an answer that was of no use.
const wantAgain = 300 * time.Millisecond

// want makes r wait for a load of its adapter. It holds no batch place.
func (m *Machine) want(r *request) {
	r.state = wanting
	r.stalled = true
	w := m.entry.wishes[r.Adapter]
	if w == nil {
		w = &wish{adapter: r.Adapter, pool: r.Pool}
		m.entry.wishes[r.Adapter] = w
	}
	w.waiting = append(w.waiting, r.Request)
	if m.entry.waking || r.bounces > 1 {
		// The sweep asks again: hosts whose views differ must not race.
		w.sent = m.now.Add(wantAgain - m.settings.Repeat)
		return
	}
	w.arrived++
	m.sendWant(w)
}

func (m *Machine) unwant(r *request) {
	w := m.entry.wishes[r.Adapter]
	if w == nil {
		return
	}
	w.waiting = slices.DeleteFunc(w.waiting, func(id core.RequestID) bool { return id == r.Request })
	if len(w.waiting) == 0 {
		delete(m.entry.wishes, r.Adapter)
		m.sendWant(w)
	}
}

func (m *Machine) sendWant(w *wish) {
	loader, ok := m.own.Owner(LoaderShard)
	w.sent = m.now
	if !ok {
		return
	}
	msg := WantMessage{Adapter: w.adapter, Pool: w.pool, Waiting: len(w.waiting), Class: core.Overnight, Arrived: w.arrived}
	for _, id := range w.waiting {
		r := m.entry.requests[id]
		msg.Class = min(msg.Class, r.Class)
		for _, u := range r.Avoid {
			if !slices.Contains(msg.Avoid, u) {
				msg.Avoid = append(msg.Avoid, u)
			}
		}
	}
	w.arrived = 0
	m.send(loader, Message{Want: &msg})
}

// sweepWishes repeats wants; a new loader hears of them at once.
func (m *Machine) sweepWishes() {
	loader, _ := m.own.Owner(LoaderShard)
	moved := loader != m.entry.loaderAt
	m.entry.loaderAt = loader
	for _, a := range slices.SortedFunc(maps.Keys(m.entry.wishes), compareRefs) {
		w := m.entry.wishes[a]
		if moved || m.now.Sub(w.sent) >= m.settings.Repeat {
			m.sendWant(w)
		}
	}
}

// located handles the loader's word about a wanted adapter.
func (m *Machine) located(msg WantedMessage) {
	if msg.Upstream == "" {
		if w := m.entry.wishes[msg.Adapter]; w != nil {
			w.wait = msg.Wait
		}
		return
	}
	m.view.gained(msg.Upstream, msg.Adapter)
	m.wake(msg.Adapter)
}

// wake places the requests that wait for an adapter.
func (m *Machine) wake(a core.AdapterRef) {
	w := m.entry.wishes[a]
	if w == nil || len(m.view.holders[a]) == 0 {
		return
	}
	delete(m.entry.wishes, a)
	m.entry.waking = true
	for _, id := range w.waiting {
		m.place(m.entry.requests[id])
	}
	m.entry.waking = false
}

func (m *Machine) learned(r Residency) {
	if m.owned.byID[r.Upstream] != nil {
		return // this host knows better
	}
	m.learn(r)
}

// learn puts a newer residency into the view and acts on what it changes.
func (m *Machine) learn(r Residency) {
	added, removed := m.view.learn(r)
	for _, a := range added {
		m.wake(a)
		m.share(a)
	}
	x := m.view.seen[r.Upstream]
	if m.loader == nil || x == nil {
		return
	}
	for _, p := range removed {
		if len(m.view.holders[p.Adapter]) == 0 {
			m.loader.remember(p, x.config.Pool, m.now)
		}
	}
}

// loadRetry is when a caller whose adapter was not loaded should come back.
func (m *Machine) loadRetry(a core.AdapterRef) time.Duration {
	if w := m.entry.wishes[a]; w != nil {
		return max(w.wait, retryNoLoad)
	}
	return retryNoLoad
}

func compareRefs(a, b core.AdapterRef) int {
	if c := cmp.Compare(a.ID, b.ID); c != 0 {
		return c
	}
	return cmp.Compare(a.Version, b.Version)
}
