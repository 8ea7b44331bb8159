package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/admission"
)

// handover is what a leaving owner gives its successor of one upstream.
// Durations count back from the hand-over: the two clocks can't be compared.
type handover struct {
	Incarnation string         `cbor:"1,keyasint"`
	Slots       []handoverSlot `cbor:"3,keyasint"`
	Pins        []handoverPin  `cbor:"4,keyasint"`
	Fence       core.Fence     `cbor:"5,keyasint"`
}

type handoverSlot struct {
	Adapter core.AdapterRef `cbor:"1,keyasint"`
	State   slotState       `cbor:"2,keyasint"`
	Foreign int             `cbor:"3,keyasint"`
	Score   float64         `cbor:"4,keyasint"`
}

type handoverPin struct {
	Request core.RequestID  `cbor:"1,keyasint"`
	From    core.HostID     `cbor:"2,keyasint"`
	Seq     uint64          `cbor:"3,keyasint"`
	Adapter core.AdapterRef `cbor:"4,keyasint"`
	Silent  time.Duration   `cbor:"5,keyasint"`
}

// Departing returns the state of a shard for its next owner, and stops acting
// for it. It is nil for a shard that is not this host's.
func (m *Machine) Departing(now core.Instant, s core.Shard) []byte {
	if s == LoaderShard {
		return m.departingLoader(now)
	}
	o := m.owned.byID[core.UpstreamID(s.Name)]
	if s.Kind != core.ShardUpstream || o == nil {
		return nil
	}
	h := handover{Incarnation: o.incarnation, Fence: o.fence}
	for _, a := range slices.SortedFunc(maps.Keys(o.slots), compareRefs) {
		x := o.slots[a]
		state := x.state
		if state != resident {
			state = doubtful // its order may still have an effect
		}
		h.Slots = append(h.Slots, handoverSlot{a, state, x.foreign, x.popularity(now, m.settings.HalfLife)})
	}
	for _, id := range slices.Sorted(maps.Keys(o.pins)) {
		p := o.pins[id]
		h.Pins = append(h.Pins, handoverPin{id, p.from, p.seq, p.adapter, now.Sub(p.heard)})
	}
	m.owned.list = slices.DeleteFunc(m.owned.list, func(x *owned) bool { return x == o })
	delete(m.owned.byID, o.id)
	b, err := cbor.Marshal(h)
	if err != nil {
		return nil
	}
	return b
}

// Adopt takes a shard's state over from its former owner, once this host owns
// it. Without it, or with state that can't be read, the shard starts cold,
// which is safe.
func (m *Machine) Adopt(now core.Instant, own core.Ownership, s core.Shard, state []byte) Result {
	return m.step(now, own, func() { m.adopt(s, state) })
}

func (m *Machine) adopt(s core.Shard, state []byte) {
	m.scan()
	if s == LoaderShard {
		if m.loader == nil {
			m.owned.early = append(m.owned.early, earlyState{s, state, m.now})
			return
		}
		m.adoptFame(state)
		return
	}
	var h handover
	if s.Kind != core.ShardUpstream || cbor.Unmarshal(state, &h) != nil {
		return
	}
	o := m.owned.byID[core.UpstreamID(s.Name)]
	if o == nil {
		m.owned.early = append(m.owned.early, earlyState{s, state, m.now})
		return
	}
	if o.settled || o.reported || h.Fence >= o.fence {
		return
	}
	// The state may have gone round by way of a third host, so it is trusted
	// for tickets, whose worst case is an engine that lacks the adapter, but
	// not for evictions: those wait as after any other take-over.
	o.incarnation, o.reported = h.Incarnation, true
	for _, x := range h.Slots {
		sl := &slot{adapter: x.Adapter, foreign: x.Foreign, score: x.Score, touched: m.now}
		sl.become(x.State, m.now)
		o.slots[x.Adapter] = sl
	}
	for _, p := range h.Pins {
		m.adoptPin(o, p)
	}
	for _, sl := range o.slots {
		sl.pins = 0
	}
	for _, p := range o.pins {
		if sl := o.slots[p.adapter]; sl != nil {
			sl.pins++
		}
	}
	o.dirty = true
	m.note("owner.adopted", string(o.id))
	m.pump(o)
	m.flush()
}

// earlyState came before the right to act on its shard.
type earlyState struct {
	shard core.Shard
	state []byte
	at    core.Instant
}

// earlyTerm is how long such state is kept.
const earlyTerm = 5 * time.Second

// adoptEarly takes up state that came before its shard.
func (m *Machine) adoptEarly() {
	early := m.owned.early
	m.owned.early = nil
	for _, e := range early {
		switch {
		case e.shard == LoaderShard && m.loader != nil:
			m.adoptFame(e.state)
		case e.shard != LoaderShard && m.owned.byID[core.UpstreamID(e.shard.Name)] != nil:
			m.adopt(e.shard, e.state)
		case m.now.Sub(e.at) < earlyTerm:
			m.owned.early = append(m.owned.early, e)
		}
	}
}

func (m *Machine) adoptPin(o *owned, p handoverPin) {
	if known := o.pins[p.Request]; known != nil && known.seq >= p.Seq {
		return
	}
	o.pins[p.Request] = &pin{
		from: p.From, seq: p.Seq, adapter: p.Adapter, heard: m.now.Add(-p.Silent),
		item: admission.Item{Request: p.Request, Adapter: p.Adapter, Cost: 1},
	}
}
