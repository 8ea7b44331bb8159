package gateway

import (
	"context"

	"github.com/apex/log"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/relaynode"
)

// reportStoreStatus counts the outcome of a call that was sent at a time and reports to the machine
// whether the store was reached. A call that ended without an answer doesn't tell: the store may cut
// off a watch that waits, and a connection may have gone silent. A call on a new connection then
// decides.
func (g *Gateway) reportStoreStatus(ctx context.Context, sent core.Instant, r *core.ObjectResult) {
	g.count("store.calls." + storeOutcomes[r.Status])
	if r.Status != core.ObjectUnknown {
		g.reportStore(sent, r)
		return
	}
	if g.checkingStore.CompareAndSwap(false, true) {
		go g.checkStore(ctx)
	}
}

// checkStore makes a short call on a new connection and reports whether the store was reached.
func (g *Gateway) checkStore(ctx context.Context) {
	defer g.checkingStore.Store(false)
	sent := g.clock()
	r := g.executors.Store.Do(ctx, core.ObjectCall{Op: core.ObjectGet, Key: g.machine.RegistrationKey(), Stale: true, NewConnection: true})
	if ctx.Err() != nil {
		return
	}
	g.count("store.checks." + storeOutcomes[r.Status])
	g.reportStore(sent, &r)
}

// reportStore reports to the machine whether a call has reached the store, and logs when that
// changes.
func (g *Gateway) reportStore(sent core.Instant, r *core.ObjectResult) {
	reached := r.Status != core.ObjectUnavailable && r.Status != core.ObjectUnknown
	if reached {
		g.Notify(relaynode.StoreAnswered{Era: r.Era, Sent: sent})
	} else {
		g.Notify(relaynode.StoreCallFailed{Sent: sent})
	}
	if g.storeReachable.Swap(reached) != reached {
		log.WithField("dependency", "store").WithField("reached", reached).Warn("dependency changed")
	}
}

var storeOutcomes = map[core.ObjectStatus]string{
	core.ObjectOK:          "ok",
	core.ObjectNotFound:    "not_found",
	core.ObjectConflict:    "conflict",
	core.ObjectUnavailable: "unavailable",
	core.ObjectUnknown:     "unknown",
	core.ObjectHistoryGone: "history_gone",
}
