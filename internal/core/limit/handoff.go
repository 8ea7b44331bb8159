package limit

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentiancroft/internal/core"
)

// handoffState is a ledger as handed over to a successor. Durations count from the
// handoff, so after a slow handoff they end later, never earlier.
type handoffState struct {
	Fence       core.Fence     `cbor:"1,keyasint"`
	Seq         uint64         `cbor:"2,keyasint"`
	Rate        int64          `cbor:"3,keyasint"` // of the pool
	Burst       int64          `cbor:"4,keyasint"`
	Level       int64          `cbor:"5,keyasint"`
	Shares      []handoffEntry `cbor:"6,keyasint"`
	NotRestated []core.HostID  `cbor:"7,keyasint,omitempty"`
	WithheldFor time.Duration  `cbor:"8,keyasint,omitempty"`  // the pool is withheld for this long
	Own         [2]int64       `cbor:"9,keyasint"`            // own rate and burst at the takeover
	InFlight    int64          `cbor:"10,keyasint,omitempty"` // lent from the pool and possibly not received yet
}

// handoffEntry is one entry of a handed-over ledger.
type handoffEntry struct {
	Host           core.HostID   `cbor:"1,keyasint"`
	Seq            uint64        `cbor:"2,keyasint"`
	Rate           int64         `cbor:"3,keyasint"`
	Burst          int64         `cbor:"4,keyasint"`
	TargetRate     int64         `cbor:"5,keyasint"`
	TargetBurst    int64         `cbor:"6,keyasint"`
	AddedLevel     int64         `cbor:"7,keyasint"`
	Unacknowledged bool          `cbor:"8,keyasint,omitempty"`
	Remaining      time.Duration `cbor:"9,keyasint"`
	Demand         core.Tokens   `cbor:"10,keyasint"`
	Largest        core.Tokens   `cbor:"11,keyasint"`
}

// HandOff closes the ledger of a workspace and returns it encoded for the
// successor; nil if this host has none open. From then on this host spends nothing
// of the pool and grants nothing.
func (m *Machine) HandOff(now core.Instant, ws core.WorkspaceID) []byte {
	led := m.ledgers[ws]
	if led == nil || led.phase != phaseOpen {
		return nil
	}
	delete(m.ledgers, ws)
	m.handedOff[ws] = led.fence
	led.pool.advance(now)
	a := handoffState{
		Fence: led.fence, Seq: led.lastSeq, Level: int64(max(led.pool.level, 0)),
		Rate: int64(led.pool.rate), Burst: int64(led.pool.burst), InFlight: int64(led.pool.inFlight),
		Own: [2]int64{int64(led.ownRate), int64(led.ownBurst)},
	}
	if led.withheld {
		a.NotRestated, a.WithheldFor = led.notRestated, max(led.withheldUntil.Sub(now), 0)
	}
	for _, e := range led.entries {
		a.Shares = append(a.Shares, handoffEntry{
			Host: e.host, Seq: e.seq, Rate: int64(e.rate), Burst: int64(e.burst),
			TargetRate: int64(e.targetRate), TargetBurst: int64(e.targetBurst), AddedLevel: int64(e.addedLevel),
			Unacknowledged: e.unacknowledged, Remaining: max(e.expires.Sub(now), 0), Demand: e.demand, Largest: e.largest,
		})
	}
	state, err := cbor.Marshal(a)
	if err != nil {
		return nil // the successor opens the ledger without it
	}
	return state
}

// Leave returns all of this host's shares to their owners, with the level left in
// them. Call it in a graceful shutdown once no request is in flight. Without it, or
// if a message is lost, the owners wait until the terms end.
func (m *Machine) Leave(now core.Instant, own core.Ownership) Result {
	var r Result
	for _, ws := range m.names {
		h := m.holders[ws]
		if h == nil {
			continue
		}
		m.dropExpired(now, h)
		owner, ok := own.Owner(shardOf(ws))
		if h.bucket.burst == 0 || !ok || owner == m.settings.Self {
			continue
		}
		h.bucket.advance(now)
		level := max(h.bucket.level, 0)
		h.bucket.reset()
		a := m.shareRequest(now, ws, h)
		a.Returned, a.Acknowledgement = int64(level), true
		r.Send(owner, Message{ShareRequest: &a})
	}
	return r
}

// Adopt keeps a predecessor's ledger until this host opens its own. It is used only
// if the stored list shows that nobody owned the workspace in between.
func (m *Machine) Adopt(now core.Instant, ws core.WorkspaceID, state []byte, _ core.HostID) {
	var a handoffState
	if cbor.Unmarshal(state, &a) != nil {
		return // damaged: the ledger is opened without it
	}
	f := &ledger{
		workspace: ws, fence: a.Fence, phase: phaseOpen, lastSeq: a.Seq, limit: m.limits[ws],
		pool: bucket{
			rate: microtokenRate(max(a.Rate, 0)), burst: nanotokens(max(a.Burst, 0)),
			level: nanotokens(max(a.Level, 0)), last: now, ppm: m.settings.DriftPPM, generation: m.newGeneration(),
		},
		ownRate: microtokenRate(a.Own[0]), ownBurst: nanotokens(a.Own[1]),
	}
	if len(a.NotRestated) > 0 {
		f.withheld, f.notRestated = true, a.NotRestated
		f.withheldUntil = now.Add(extendedByDrift(a.WithheldFor, m.settings.DriftPPM))
	}
	for _, s := range a.Shares {
		e := f.addEntry(s.Host)
		e.seq, e.unacknowledged, e.addedLevel = s.Seq, s.Unacknowledged, nanotokens(s.AddedLevel)
		e.rate, e.burst = microtokenRate(s.Rate), nanotokens(s.Burst)
		e.targetRate, e.targetBurst = microtokenRate(s.TargetRate), nanotokens(s.TargetBurst)
		e.expires = now.Add(extendedByDrift(s.Remaining, m.settings.DriftPPM))
		e.demand, e.largest, e.statedAt = s.Demand, s.Largest, now
	}
	m.addInFlight(now, ws, &f.pool, nanotokens(max(a.InFlight, 0)))
	m.adopted[ws] = f
}

// addInFlight counts n, lent from a bucket that s replaces and possibly not received
// yet, as in flight, so that it does not accrue again in s.
func (m *Machine) addInFlight(now core.Instant, ws core.WorkspaceID, s *bucket, n nanotokens) {
	if n <= 0 {
		return
	}
	s.inFlight += n
	m.lastTag++
	id := core.RequestID(fmt.Sprintf("%s%d", inFlightPrefix, m.lastTag))
	m.loans[id] = loan{workspace: ws, amount: n, fromPool: true, generation: s.generation}
	m.timers.add(timer{at: now.Add(extendedByDrift(m.settings.LoanTimeout, m.settings.DriftPPM)), kind: timerInheritedFlightEnd, request: id})
}

// inFlightPrefix starts the ids of loans that were taken over; no request id has it.
const inFlightPrefix = "\x00flying/"
