package limit

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentiancroft/internal/core"
)

// account is a book as handed to a successor. Spans are from the hand-over on,
// so a slow hand-over makes them end later, never earlier.
type account struct {
	Fence   core.Fence    `cbor:"1,keyasint"`
	Seq     uint64        `cbor:"2,keyasint"`
	Rate    int64         `cbor:"3,keyasint"` // of the pool
	Burst   int64         `cbor:"4,keyasint"`
	Level   int64         `cbor:"5,keyasint"`
	Shares  []handedShare `cbor:"6,keyasint"`
	Unheard []core.HostID `cbor:"7,keyasint,omitempty"`
	Held    time.Duration `cbor:"8,keyasint,omitempty"` // withheld for this long
	Own     [2]int64      `cbor:"9,keyasint"`
	Flying  int64         `cbor:"10,keyasint,omitempty"` // lent by the pool, perhaps not landed
}

// handedShare is one entry of a handed-over book.
type handedShare struct {
	Host    core.HostID   `cbor:"1,keyasint"`
	Seq     uint64        `cbor:"2,keyasint"`
	Rate    int64         `cbor:"3,keyasint"`
	Burst   int64         `cbor:"4,keyasint"`
	ToRate  int64         `cbor:"5,keyasint"`
	ToBurst int64         `cbor:"6,keyasint"`
	Added   int64         `cbor:"7,keyasint"`
	Open    bool          `cbor:"8,keyasint,omitempty"`
	Left    time.Duration `cbor:"9,keyasint"`
	Demand  core.Tokens   `cbor:"10,keyasint"`
	Largest core.Tokens   `cbor:"11,keyasint"`
}

// Departing closes the book of a workspace and returns it for the successor;
// nil where this host has none open. From then on this host spends nothing of
// the pool and grants nothing.
func (m *Machine) Departing(now core.Instant, ws core.WorkspaceID) []byte {
	b := m.books[ws]
	if b == nil || b.phase != phaseOpen {
		return nil
	}
	delete(m.books, ws)
	m.departed[ws] = b.fence
	b.pool.advance(now)
	a := account{
		Fence: b.fence, Seq: b.seq, Level: int64(max(b.pool.level, 0)),
		Rate: int64(b.pool.rate), Burst: int64(b.pool.burst), Flying: int64(b.pool.held),
		Own: [2]int64{int64(b.ownRate), int64(b.ownBurst)},
	}
	if b.withheld {
		a.Unheard, a.Held = b.unheard, max(b.withheldTo.Sub(now), 0)
	}
	for _, e := range b.entries {
		a.Shares = append(a.Shares, handedShare{
			Host: e.host, Seq: e.seq, Rate: int64(e.rate), Burst: int64(e.burst),
			ToRate: int64(e.toRate), ToBurst: int64(e.toBurst), Added: int64(e.added),
			Open: e.open, Left: max(e.until.Sub(now), 0), Demand: e.demand, Largest: e.largest,
		})
	}
	state, err := cbor.Marshal(a)
	if err != nil {
		return nil // the successor opens the book without it
	}
	return state
}

// Leave gives all of this host's shares back to their owners, with the level
// that is left in them: for a graceful shutdown, once no request is in flight.
// Without it, or where the message is lost, the owners wait until the terms end.
func (m *Machine) Leave(now core.Instant, own core.Ownership) Result {
	var r Result
	for _, ws := range m.names {
		h := m.holders[ws]
		if h == nil {
			continue
		}
		m.lapse(now, h)
		owner, ok := own.Owner(shardOf(ws))
		if h.slice.burst == 0 || !ok || owner == m.settings.Self {
			continue
		}
		h.slice.advance(now)
		left := max(h.slice.level, 0)
		h.slice.drop()
		a := m.state(now, ws, h)
		a.Left, a.Only = int64(left), true
		r.Send(owner, Message{Ask: &a})
	}
	return r
}

// Adopt keeps a predecessor's account for when this host opens the book. It is
// used only if the object shows that nobody owned the workspace in between.
func (m *Machine) Adopt(now core.Instant, ws core.WorkspaceID, state []byte, _ core.HostID) {
	var a account
	if cbor.Unmarshal(state, &a) != nil {
		return // damaged: the book is opened without it
	}
	f := &book{
		workspace: ws, fence: a.Fence, phase: phaseOpen, seq: a.Seq, limit: m.limits[ws],
		pool: bucket{
			rate: microRate(max(a.Rate, 0)), burst: nano(max(a.Burst, 0)),
			level: nano(max(a.Level, 0)), last: now, ppm: m.settings.DriftPPM, generation: m.generation(),
		},
		ownRate: microRate(a.Own[0]), ownBurst: nano(a.Own[1]),
	}
	if len(a.Unheard) > 0 {
		f.withheld, f.unheard = true, a.Unheard
		f.withheldTo = now.Add(longer(a.Held, m.settings.DriftPPM))
	}
	for _, s := range a.Shares {
		e := f.addEntry(s.Host)
		e.seq, e.open, e.added = s.Seq, s.Open, nano(s.Added)
		e.rate, e.burst = microRate(s.Rate), nano(s.Burst)
		e.toRate, e.toBurst = microRate(s.ToRate), nano(s.ToBurst)
		e.until = now.Add(longer(s.Left, m.settings.DriftPPM))
		e.demand, e.largest, e.stated = s.Demand, s.Largest, now
	}
	m.fly(now, ws, &f.pool, nano(max(a.Flying, 0)))
	m.adopted[ws] = f
}

// fly keeps an amount that another slice lent, and that may not have landed
// yet, from accruing in the slice that took its burst over.
func (m *Machine) fly(now core.Instant, ws core.WorkspaceID, s *bucket, n nano) {
	if n <= 0 {
		return
	}
	s.held += n
	m.tag++
	id := core.RequestID(fmt.Sprintf("%s%d", flyingPrefix, m.tag))
	m.loans[id] = loan{workspace: ws, amount: n, pool: true, generation: s.generation}
	m.agenda.add(task{at: now.Add(longer(m.settings.BorrowBound, m.settings.DriftPPM)), duty: dutyFlown, request: id})
}

// flyingPrefix starts the ids of taken-over loans; no request id has it.
const flyingPrefix = "\x00flying/"
