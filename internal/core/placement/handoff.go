package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/admission"
)

// handoff is the state of one upstream that a leaving owner passes to its
// successor. Times are given as ages at the handoff: the two clocks can't be
// compared.
type handoff struct {
	Incarnation string        `cbor:"1,keyasint"`
	Slots       []handoffSlot `cbor:"3,keyasint"`
	Pins        []handoffPin  `cbor:"4,keyasint"`
	Fence       core.Fence    `cbor:"5,keyasint"`
}

type handoffSlot struct {
	Adapter core.AdapterRef `cbor:"1,keyasint"`
	State   slotState       `cbor:"2,keyasint"`
	Foreign int             `cbor:"3,keyasint"`
	Score   float64         `cbor:"4,keyasint"`
}

type handoffPin struct {
	Request core.RequestID  `cbor:"1,keyasint"`
	From    core.HostID     `cbor:"2,keyasint"`
	Seq     uint64          `cbor:"3,keyasint"`
	Adapter core.AdapterRef `cbor:"4,keyasint"`
	Silent  time.Duration   `cbor:"5,keyasint"`
}

// HandOff stops acting for a shard and returns its state for the next owner.
// It returns nil for a shard that this host doesn't own.
func (m *Machine) HandOff(now core.Instant, s core.Shard) []byte {
	if s == LoaderShard {
		return m.handOffLoader(now)
	}
	o := m.owned.byID[core.UpstreamID(s.Name)]
	if s.Kind != core.ShardUpstream || o == nil {
		return nil
	}
	h := handoff{Incarnation: o.incarnation, Fence: o.fence}
	for _, a := range slices.SortedFunc(maps.Keys(o.slots), compareRefs) {
		x := o.slots[a]
		state := x.state
		if state != resident {
			state = uncertain // its order may still take effect
		}
		h.Slots = append(h.Slots, handoffSlot{a, state, x.formerOwnerRequests, x.popularity(now, m.settings.PopularityHalfLife)})
	}
	for _, id := range slices.Sorted(maps.Keys(o.pins)) {
		p := o.pins[id]
		h.Pins = append(h.Pins, handoffPin{id, p.from, p.seq, p.adapter, now.Sub(p.lastConfirmed)})
	}
	m.owned.list = slices.DeleteFunc(m.owned.list, func(x *ownedUpstream) bool { return x == o })
	delete(m.owned.byID, o.id)
	b, err := cbor.Marshal(h)
	if err != nil {
		return nil
	}
	return b
}

// Adopt takes over a shard's state from its former owner. State that comes
// before this host owns the shard is kept for 5 s. A shard with missing or
// unreadable state starts empty, which is safe.
func (m *Machine) Adopt(now core.Instant, own core.Ownership, s core.Shard, state []byte) Result {
	return m.step(now, own, func() { m.adopt(s, state) })
}

func (m *Machine) adopt(s core.Shard, state []byte) {
	m.updateOwnership()
	if s == LoaderShard {
		if m.loader == nil {
			m.owned.earlyHandoffs = append(m.owned.earlyHandoffs, earlyHandoff{s, state, m.now})
			return
		}
		m.adoptPopularity(state)
		return
	}
	var h handoff
	if s.Kind != core.ShardUpstream || cbor.Unmarshal(state, &h) != nil {
		return
	}
	o := m.owned.byID[core.UpstreamID(s.Name)]
	if o == nil {
		m.owned.earlyHandoffs = append(m.owned.earlyHandoffs, earlyHandoff{s, state, m.now})
		return
	}
	if o.reconciled || o.reported || h.Fence >= o.fence {
		return
	}
	// The state may have passed through a third host, so it is trusted for
	// tickets, where the worst case is an engine without the adapter, but not
	// for evictions: those wait as after any other change of owner.
	o.incarnation, o.reported = h.Incarnation, true
	for _, x := range h.Slots {
		sl := &slot{adapter: x.Adapter, formerOwnerRequests: x.Foreign, score: x.Score, lastRequest: m.now}
		sl.setState(x.State, m.now)
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
	o.publishNow = true
	m.logDecision("owner.adopted", string(o.id))
	m.issueTickets(o)
	m.publish()
}

// earlyHandoff is state that arrived before this host owned its shard.
type earlyHandoff struct {
	shard core.Shard
	state []byte
	at    core.Instant
}

// earlyHandoffTTL is how long such state is kept.
const earlyHandoffTTL = 5 * time.Second

// adoptEarlyHandoffs applies the kept state of shards that this host now owns
// and drops what is too old.
func (m *Machine) adoptEarlyHandoffs() {
	early := m.owned.earlyHandoffs
	m.owned.earlyHandoffs = nil
	for _, e := range early {
		switch {
		case e.shard == LoaderShard && m.loader != nil:
			m.adoptPopularity(e.state)
		case e.shard != LoaderShard && m.owned.byID[core.UpstreamID(e.shard.Name)] != nil:
			m.adopt(e.shard, e.state)
		case m.now.Sub(e.at) < earlyHandoffTTL:
			m.owned.earlyHandoffs = append(m.owned.earlyHandoffs, e)
		}
	}
}

func (m *Machine) adoptPin(o *ownedUpstream, p handoffPin) {
	if known := o.pins[p.Request]; known != nil && known.seq >= p.Seq {
		return
	}
	o.pins[p.Request] = &pin{
		from: p.From, seq: p.Seq, adapter: p.Adapter, lastConfirmed: m.now.Add(-p.Silent),
		item: admission.Item{Request: p.Request, Adapter: p.Adapter, Cost: 1},
	}
}
