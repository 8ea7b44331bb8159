// Package held applies the decisions of heldbytes to the connections of a host's listeners: it blocks
// those that ask for more bytes than are free (backpressure), closes those that are evicted, and
// counts and logs both.
package held

import (
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/heldbytes"
)

// Refused is the class of errors of connections that get no bytes.
var Refused = errs.Class("no memory for this caller")

const (
	// tickInterval is how often the ledger is checked while connections wait, by one of them.
	tickInterval = 20 * time.Millisecond
	// logInterval is the least time between two log lines with the same reason.
	logInterval = time.Second
)

// closedItself is why an account is closed whose connection has ended by itself.
const closedItself heldbytes.Reason = "ended"

// Budget is the memory and the connections for callers of one or more listeners.
type Budget struct {
	name     string // of its listeners, in metrics and log lines
	registry metrics.Registry
	start    time.Time
	gauges   struct{ bytes, connections, waiting metrics.Gauge }

	mu       sync.Mutex
	ledger   *heldbytes.Ledger
	lastTick time.Time
	lastID   heldbytes.ID
	accounts map[heldbytes.ID]*Account
	lines    map[heldbytes.Reason]*lineLimit
}

// lineLimit bounds the log lines with one reason.
type lineLimit struct {
	last  time.Time
	count int // since then
}

// New returns a budget. Its metrics are named after its listeners.
func New(name string, l heldbytes.Limits, r metrics.Registry) *Budget {
	b := &Budget{
		name: name, registry: r, start: time.Now(),
		ledger: heldbytes.New(l), accounts: map[heldbytes.ID]*Account{}, lines: map[heldbytes.Reason]*lineLimit{},
	}
	b.gauges.bytes = metrics.GetOrRegisterGauge("held."+name+".bytes", r)
	b.gauges.connections = metrics.GetOrRegisterGauge("held."+name+".connections", r)
	b.gauges.waiting = metrics.GetOrRegisterGauge("held."+name+".waiting", r)
	return b
}

// Account is the part of a budget that one connection has. All methods are safe for concurrent use.
type Account struct {
	budget *Budget
	id     heldbytes.ID
	evict  func()     // closes the connection; must not block
	answer chan error // of the acquisition that waits

	closed heldbytes.Reason // why the ledger has closed it; guarded by the budget's mu
}

// Open adds a connection. evict is called once if the connection is to be closed for others; it must
// not block. Open returns nil if there are too many connections.
func (b *Budget) Open(remote net.Addr, evict func()) *Account {
	b.mu.Lock()
	b.lastID++
	a := &Account{budget: b, id: b.lastID, evict: evict, answer: make(chan error, 1)}
	b.accounts[a.id] = a
	effects := b.ledger.Open(b.now(), a.id, peerAddress(remote))
	refused := false
	for _, e := range effects {
		refused = refused || e.ID == a.id && e.Kind == heldbytes.Refuse
	}
	if refused {
		delete(b.accounts, a.id)
	}
	b.applyAndUnlock(effects)
	if refused {
		return nil
	}
	<-a.answer // of the grant
	return a
}

// peerAddress returns what identifies a peer: its address without the port.
func peerAddress(a net.Addr) string {
	if tcp, ok := a.(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return a.String()
}

func (b *Budget) now() core.Instant { return core.Instant(time.Since(b.start)) }

// applyAndUnlock carries out effects and unlocks mu, which the caller holds.
func (b *Budget) applyAndUnlock(effects []heldbytes.Effect) {
	var evictions []func()
	for _, e := range effects {
		if e.Kind != heldbytes.Grant {
			b.count(e)
		}
		a := b.accounts[e.ID]
		if a == nil {
			continue
		}
		switch e.Kind {
		case heldbytes.Grant:
			a.answer <- nil
		case heldbytes.Refuse:
			a.answer <- Refused.New("%s", e.Reason)
		case heldbytes.Close:
			a.closed = e.Reason
			delete(b.accounts, e.ID)
			evictions = append(evictions, a.evict)
		}
	}
	b.gauges.bytes.Update(b.ledger.Held())
	b.gauges.connections.Update(int64(b.ledger.Connections()))
	b.gauges.waiting.Update(int64(b.ledger.Waiting()))
	b.mu.Unlock()
	for _, evict := range evictions {
		evict()
	}
}

// count counts a refusal or a closing and logs it, but not more than once a second for each reason.
func (b *Budget) count(e heldbytes.Effect) {
	what := "refused"
	if e.Kind == heldbytes.Close {
		what = "closed"
	}
	metrics.GetOrRegisterCounter("held."+b.name+"."+what+"."+string(e.Reason), b.registry).Inc(1)
	b.logLine(e.Reason)
}

func (b *Budget) logLine(reason heldbytes.Reason) {
	line := b.lines[reason]
	if line == nil {
		line = &lineLimit{}
		b.lines[reason] = line
	}
	line.count++
	now := time.Now()
	if now.Sub(line.last) < logInterval {
		return
	}
	log.WithFields(log.Fields{"listener": b.name, "reason": string(reason), "count": line.count}).Warn("callers refused or closed to bound memory and connections")
	line.last, line.count = now, 0
}

// Reject counts a request or connection that was refused for another reason than the budget.
func (a *Account) Reject(reason heldbytes.Reason) {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	b.count(heldbytes.Effect{Kind: heldbytes.Refuse, Reason: reason})
	b.mu.Unlock()
}

// Acquire waits until the connection may hold more bytes. The error is Refused if it may not. A nil
// account has no bounds.
func (a *Account) Acquire(bytes int64) error {
	if a == nil || bytes <= 0 {
		return nil
	}
	b := a.budget
	b.mu.Lock()
	if a.closed != "" {
		b.mu.Unlock()
		return Refused.New("%s", a.closed)
	}
	b.applyAndUnlock(b.ledger.Acquire(b.now(), a.id, bytes))
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-a.answer:
			return err
		case <-ticker.C:
		}
		b.mu.Lock()
		if a.closed != "" {
			b.mu.Unlock()
			return Refused.New("%s", a.closed)
		}
		b.tickAndUnlock()
	}
}

// tickAndUnlock checks the ledger unless another connection has just done so, and unlocks mu, which the caller
// holds.
func (b *Budget) tickAndUnlock() {
	now := time.Now()
	if now.Sub(b.lastTick) < tickInterval/2 {
		b.mu.Unlock()
		return
	}
	b.lastTick = now
	b.applyAndUnlock(b.ledger.Tick(b.now()))
}

// Release returns bytes that the connection holds.
func (a *Account) Release(bytes int64) {
	if a == nil || bytes <= 0 {
		return
	}
	a.budget.mu.Lock()
	a.budget.applyAndUnlock(a.budget.ledger.Release(a.budget.now(), a.id, bytes))
}

// Progress records that bytes were received or sent.
func (a *Account) Progress(bytes int) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	a.budget.ledger.Progress(a.budget.now(), a.id, int64(bytes))
	a.budget.mu.Unlock()
}

// SetPhase records what the connection does from now on. An idle one gives all bytes back.
func (a *Account) SetPhase(p heldbytes.Phase) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	a.budget.applyAndUnlock(a.budget.ledger.SetPhase(a.budget.now(), a.id, p))
}

// Evicted returns why the connection was closed for others, "" if it wasn't.
func (a *Account) Evicted() heldbytes.Reason {
	if a == nil {
		return ""
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.closed
}

// Close removes the connection and gives all its bytes back.
func (a *Account) Close() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	delete(b.accounts, a.id)
	if a.closed == "" {
		a.closed = closedItself
	}
	b.applyAndUnlock(b.ledger.Closed(b.now(), a.id))
}
