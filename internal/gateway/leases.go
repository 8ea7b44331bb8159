package gateway

import (
	"context"
	"strings"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/relaynode"
	"gentiancroft/internal/core/shard"
)

// Times of the reads of the leases.
const (
	leasesInterval        = time.Second      // between two reads
	leasesStandbyInterval = 4 * time.Second  // the same on a standby host
	maxStaleness          = 10 * time.Second // age of a stale answer
)

// readLeases lists the shards' leases periodically. Stale answers are accepted, as they
// only delay a takeover, but not for the first list and while they may be of an earlier
// era of the store.
func (g *Gateway) readLeases(ctx context.Context) error {
	var era uint64
	var eraSince time.Time // zero: nothing was read yet
	for ctx.Err() == nil {
		stale := !eraSince.IsZero() && (era == 0 || time.Since(eraSince) > maxStaleness)
		call := core.ObjectCall{Op: core.ObjectList, Key: strings.TrimSuffix(shard.Prefix, "/"), Stale: stale}
		sent := g.clock()
		result := g.executors.Store.Do(ctx, call)
		g.reportStoreStatus(ctx, sent, &result)
		answered := result.Status == core.ObjectOK || result.Status == core.ObjectNotFound
		restored := answered && result.Era != era
		if answered && (restored || eraSince.IsZero()) {
			era, eraSince = result.Era, time.Now()
		}
		if restored && stale {
			continue // the list may be of the earlier era
		}
		if answered {
			g.Notify(relaynode.LeasesListed{Era: result.Era, Objects: result.Objects})
		}
		if g.status.Load().reading.Standby {
			pause(ctx, leasesStandbyInterval)
		} else {
			pause(ctx, leasesInterval)
		}
	}
	return ctx.Err()
}
