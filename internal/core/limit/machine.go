package limit

import (
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// Limit is the rate and burst of one workspace.
type Limit struct {
	Workspace core.WorkspaceID
	Rate      core.Tokens // tokens per second
	Burst     core.Tokens
}

// Settings of a machine. Zero durations and counts take the defaults.
type Settings struct {
	Self               core.HostID
	ShareTTL           time.Duration // how long a share is valid, counted from its holder's last answered request
	RenewInterval      time.Duration // interval of share requests
	MinRequestInterval time.Duration // minimum time between share requests of a host whose share is too small, and between rebalances
	OutageHorizon      time.Duration // longest store outage for which shares are renewed
	LoanTimeout        time.Duration // how long a request waits for a loan
	MaxExhaustedTTL    time.Duration // maximum time for which a refused loan also refuses later ones
	DriftPPM           int64         // maximum clock drift, parts per million
	MaxHomes           int           // maximum number of hosts that get shares of a workspace from the start
	MaxPendingLoans    int           // maximum number of requests that wait for a loan
	StartDelay         time.Duration // after its start a host opens ledgers only on demand, since owners move often while a fleet forms; negative: no delay
	EvenDivisor        int           // 1/EvenDivisor of the rate is spread evenly as weight over the hosts; negative: none
}

// Defaults of Settings.
const (
	DefaultShareTTL           = 45 * time.Second
	DefaultRenewInterval      = 15 * time.Second
	DefaultMinRequestInterval = 5 * time.Second
	DefaultOutageHorizon      = 15 * time.Minute
	DefaultLoanTimeout        = 100 * time.Millisecond
	DefaultMaxExhaustedTTL    = 5 * time.Second
	DefaultDriftPPM           = 200
	DefaultMaxHomes           = 16
	DefaultMaxPendingLoans    = 1024
	DefaultEvenDivisor        = 16
	DefaultStartDelay         = 3 * time.Second
)

func (s Settings) withDefaults() Settings {
	set := func(d *time.Duration, def time.Duration) {
		if *d <= 0 {
			*d = def
		}
	}
	set(&s.ShareTTL, DefaultShareTTL)
	set(&s.RenewInterval, DefaultRenewInterval)
	set(&s.MinRequestInterval, DefaultMinRequestInterval)
	set(&s.OutageHorizon, DefaultOutageHorizon)
	set(&s.LoanTimeout, DefaultLoanTimeout)
	set(&s.MaxExhaustedTTL, DefaultMaxExhaustedTTL)
	if s.DriftPPM <= 0 {
		s.DriftPPM = DefaultDriftPPM
	}
	if s.MaxHomes <= 0 {
		s.MaxHomes = DefaultMaxHomes
	}
	if s.StartDelay == 0 {
		s.StartDelay = DefaultStartDelay
	}
	if s.EvenDivisor == 0 {
		s.EvenDivisor = DefaultEvenDivisor
	}
	if s.MaxPendingLoans <= 0 {
		s.MaxPendingLoans = DefaultMaxPendingLoans
	}
	return s
}

// Decision is the answer to one Reserve.
type Decision struct {
	ID      core.RequestID
	Granted bool
	Refusal *core.Refusal // set if not granted
}

// Result is what one event yields.
type Result struct {
	core.Output[Message]
	Decisions []Decision
}

// Stats are counters since the machine's start.
type Stats struct {
	Granted      uint64
	Refused      uint64
	Borrowed     uint64      // granted by a loan
	LoanTimeouts uint64      // refused because no loan came in time
	Expired      uint64      // own shares that expired without renewal
	Reclaimed    uint64      // expired shares that owners took back into the pool
	Takeovers    uint64      // ledgers that this host began to open as new owner
	Withheld     uint64      // of those, opened with a part withheld until other hosts restate their shares
	Overrun      core.Tokens // tokens used beyond a reservation
	LateReturns  core.Tokens // tokens returned too late to be credited
}

// Machine holds one host's shares, and the ledgers of the workspaces it owns. It
// is not safe for concurrent use.
type Machine struct {
	settings       Settings
	rand           *core.Rand
	version        uint64
	limits         map[core.WorkspaceID]Limit
	names          []core.WorkspaceID // of limits, sorted
	nextName       int                // index in names where Tick looks for new ownership
	takeOverFrom   core.Instant       // when Tick begins to do so
	holders        map[core.WorkspaceID]*shareHolder
	ledgers        map[core.WorkspaceID]*ledger
	reservations   map[core.RequestID]reservation
	loans          map[core.RequestID]loan
	pendingLoans   map[core.RequestID]*pendingLoan
	adopted        map[core.WorkspaceID]*ledger    // handed over to this host, not opened yet
	handedOff      map[core.WorkspaceID]core.Fence // fencing numbers of ledgers handed over by this host: never opened again
	calls          map[uint64]listCall             // object calls in flight, by tag
	lastTag        uint64
	lastGeneration uint32 // of the pools
	timers         timerQueue
	stats          Stats
}

// New returns a machine without limits: it refuses every request until Configure.
func New(s Settings, r *core.Rand) *Machine {
	return &Machine{
		settings:     s.withDefaults(),
		rand:         r,
		limits:       make(map[core.WorkspaceID]Limit),
		holders:      make(map[core.WorkspaceID]*shareHolder),
		ledgers:      make(map[core.WorkspaceID]*ledger),
		reservations: make(map[core.RequestID]reservation),
		loans:        make(map[core.RequestID]loan),
		pendingLoans: make(map[core.RequestID]*pendingLoan),
		adopted:      make(map[core.WorkspaceID]*ledger),
		handedOff:    make(map[core.WorkspaceID]core.Fence),
		calls:        make(map[uint64]listCall),
	}
}

// Stats returns the counters.
func (m *Machine) Stats() Stats { return m.stats }

// Configure applies a configuration's limits; older versions are ignored. A lowered
// limit shrinks this host's share and pools at once; see docs/design/limits.md
// for the bound on an interval that spans the change.
func (m *Machine) Configure(now core.Instant, version uint64, limits []Limit) {
	if version < m.version {
		return
	}
	if m.takeOverFrom == 0 {
		m.takeOverFrom = now.Add(m.settings.StartDelay)
	}
	m.version = version
	old := m.limits
	m.limits = make(map[core.WorkspaceID]Limit, len(limits))
	m.names = m.names[:0]
	for _, l := range limits {
		l.Rate, l.Burst = clampTokens(l.Rate), clampTokens(l.Burst)
		m.limits[l.Workspace] = l
		m.names = append(m.names, l.Workspace)
	}
	slices.Sort(m.names)
	for ws, was := range old {
		if is := m.limits[ws]; is.Rate != was.Rate || is.Burst != was.Burst {
			m.applyLimitChange(now, ws, was, is)
		}
	}
}

// applyLimitChange adjusts this host's share and ledger of a workspace whose limit
// changed. Workspaces are independent, so their order doesn't matter.
func (m *Machine) applyLimitChange(now core.Instant, ws core.WorkspaceID, old, updated Limit) {
	if h := m.holders[ws]; h != nil {
		h.scaleDown(now, old, updated)
	}
	if led := m.ledgers[ws]; led != nil {
		led.limit = updated
		led.updatePool(now)
		led.queryAll = true
	}
}

func shardOf(ws core.WorkspaceID) core.Shard {
	return core.Shard{Kind: core.ShardWorkspace, Name: string(ws)}
}

// namesPerTick is how many workspaces one Tick checks for new ownership.
const namesPerTick = 16

// Tick runs the timers that are due and takes over owned workspaces. Call it every
// few tens of milliseconds.
func (m *Machine) Tick(now core.Instant, own core.Ownership) Result {
	var r Result
	for t, ok := m.timers.due(now); ok; t, ok = m.timers.due(now) {
		m.runTimer(now, own, t, &r)
	}
	if now < m.takeOverFrom {
		return r
	}
	for range min(namesPerTick, len(m.names)) {
		m.nextName = (m.nextName + 1) % len(m.names)
		m.openLedger(now, own, m.names[m.nextName], &r)
	}
	return r
}

func (m *Machine) runTimer(now core.Instant, own core.Ownership, t timer, r *Result) {
	switch t.kind {
	case timerRenew:
		m.onRenewTimer(now, own, t.workspace, r)
	case timerLedger:
		m.checkLedger(now, own, t.workspace, r)
	case timerPendingLoan:
		m.onPendingTimer(now, own, t.request, r)
	case timerFlightEnd:
		m.endLoanInFlight(now, t.request)
	case timerLoanExpiry:
		m.onLoanReturn(now, LoanReturn{ID: t.request, Workspace: m.loans[t.request].workspace})
	case timerInheritedFlightEnd:
		m.endLoanInFlight(now, t.request)
		delete(m.loans, t.request)
	}
}

// HandleMessage handles a message from another host.
func (m *Machine) HandleMessage(now core.Instant, own core.Ownership, from core.HostID, msg Message) Result {
	var r Result
	switch {
	case msg.ShareRequest != nil:
		m.onShareRequest(now, own, from, *msg.ShareRequest, &r)
	case msg.Share != nil:
		m.onShare(now, own, from, *msg.Share, &r)
	case msg.StateRequest != nil:
		m.onStateRequest(now, from, *msg.StateRequest, &r)
	case msg.LoanRequest != nil:
		m.onLoanRequest(now, own, from, *msg.LoanRequest, &r)
	case msg.LoanReply != nil:
		m.onLoanReply(now, own, from, *msg.LoanReply, &r)
	case msg.LoanReturn != nil:
		m.onLoanReturn(now, *msg.LoanReturn)
	}
	return r
}

// HostLost marks a host as gone or unreachable: no loans are requested from it until
// its next share request. Its shares are reclaimed only when their terms end.
func (m *Machine) HostLost(_ core.Instant, host core.HostID) {
	for _, h := range m.holders {
		if h.lastLender == host {
			h.lastLender = ""
		}
	}
	for _, led := range m.ledgers {
		led.markUnresponsive(host)
	}
}
