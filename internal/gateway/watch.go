package gateway

import (
	"context"
	"strings"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/evacuation"
	"gentiancroft/internal/core/relaynode"
)

// Timeouts and intervals of the watches.
const (
	// watchWait is how long a watch call waits for changes. Only its timeout shows that its
	// connection has gone silent, which all hosts that watch can suffer at once.
	watchWait     = 1800 * time.Millisecond
	listInterval  = time.Minute            // between two lists of objects that another host watches
	minRetryDelay = 100 * time.Millisecond // after the first failed call
	maxRetryDelay = 600 * time.Millisecond // after several failed calls
	// watchStartDelay is how long a host that has just started waits after its first
	// list, so that it learns whether another host watches the objects.
	watchStartDelay = 1800 * time.Millisecond
	// formingStartDelay replaces watchStartDelay while a whole deployment starts, which
	// takes its hosts longer to learn who watches.
	formingStartDelay = 3500 * time.Millisecond
)

// Minimum times from a call that found changes to the next one, both taken at their
// start, so that frequent changes cost few calls.
const (
	minConfigurationInterval = 30 * time.Millisecond
	minReplicasInterval      = 800 * time.Millisecond
	minVersionsInterval      = 400 * time.Millisecond
	minHostsInterval         = 400 * time.Millisecond
	minEvacuationsInterval   = 100 * time.Millisecond
)

// watch reads the objects of one kind: it lists them, waits for changes from that
// version on, and lists again where the store no longer has the history or was restored
// from an older copy. While another host watches the kind, it only lists the objects, at
// least every listInterval.
type watch struct {
	gateway     *Gateway
	kind        string
	minInterval time.Duration
	startAtOnce bool // starts watching without watchStartDelay
	reread      bool // lists again where another host has reported newer objects
	onList      func([]core.Object)
	onChange    func(core.Object)
	onAnswer    func() // nil, or called after the changes of an answer
	mayBeAbsent bool   // objects of the kind may never have been written: their absence is a list like any other

	watches func(relaynode.ReadPlan) bool // whether this host is to watch the kind

	sent       core.Instant  // when the last call was sent
	at         core.Revision // of the store at the last answer; version 0: it had no object of the kind
	listedOnce bool          // the first list is complete
	absent     bool          // the last list found that the store has no object of the kind
	late       bool          // a call has failed since the last answer: changes may have been made long ago
	era        uint64        // of the store at the last list
	lastReread uint64        // the machine's count of reread requests at the last list
	lastRelist uint64        // the same of its requests to list all kinds again
}

// watches returns the watches of all kinds of objects that the machine reads.
func (g *Gateway) watches() []*watch {
	d := g.executors.Documents
	versions := &watch{gateway: g, kind: d.VersionsKind, minInterval: minVersionsInterval, reread: true, onList: g.versionsListed}
	versions.onChange = func(o core.Object) { g.sendVersion(o, versions.late) }
	list := &watch{gateway: g, kind: d.ReplicasKind, minInterval: minReplicasInterval, onChange: g.replicaChanged}
	list.onList = func(all []core.Object) { g.replicasListed(all, list.sent) }
	list.onAnswer = func() { g.Notify(relaynode.ReplicasCompared{Sent: list.sent}) }
	all := []*watch{
		{gateway: g, kind: d.ConfigurationKind, minInterval: minConfigurationInterval, reread: true, onList: forEach(g.configurationChanged), onChange: g.configurationChanged},
		list,
		versions,
		{gateway: g, kind: strings.TrimSuffix(relaynode.HostsPrefix, "/"), minInterval: minHostsInterval, startAtOnce: true, onList: forEach(g.hostChanged), onChange: g.hostChanged},
	}
	if g.machine.ReadsEvacuations() {
		all = append(all, g.evacuationsWatch())
	}
	return all
}

// evacuationsWatch returns the watch of the evacuated domains.
func (g *Gateway) evacuationsWatch() *watch {
	w := &watch{gateway: g, kind: g.executors.Documents.EvacuationsKind, minInterval: minEvacuationsInterval, mayBeAbsent: true}
	w.watches = func(p relaynode.ReadPlan) bool { return p.Evacuations }
	var changes []evacuation.ObjectChange
	w.onList = func(all []core.Object) { g.evacuationsListed(all, w.at, w.sent) }
	w.onChange = func(o core.Object) { changes = g.appendEvacuationChange(changes, o) }
	w.onAnswer = func() {
		g.Notify(relaynode.EvacuationsChanged{At: w.at, Sent: w.sent, Changes: changes})
		changes = nil
	}
	return w
}

// watching reports whether this host is to watch the kind, instead of relying on another one's
// messages.
func (w *watch) watching() bool {
	reading := w.gateway.status.Load().reading
	if w.watches != nil {
		return w.watches(reading)
	}
	return reading.Watch
}

// forEach returns a function that calls f for each object of a list.
func forEach(f func(core.Object)) func([]core.Object) {
	return func(all []core.Object) {
		for _, o := range all {
			f(o)
		}
	}
}

// run reads the kind's objects until ctx ends.
func (w *watch) run(ctx context.Context) error {
	version := uint64(0)
	delay := minRetryDelay
	for ctx.Err() == nil {
		if (version != 0 || w.absent) && !w.watching() {
			w.idle(ctx)
			version, w.absent = 0, false
			continue
		}
		began := time.Now()
		next, ok := w.poll(ctx, version)
		if time.Since(began) >= maxRetryDelay {
			delay = minRetryDelay // the call was cut off while it waited, not refused
		}
		if !w.startAtOnce && !w.listedOnce && (next != 0 || w.absent) { // 0: interrupted or failed, so there is no list yet
			w.listedOnce = true
			pause(ctx, w.startDelay())
		}
		if !ok {
			w.gateway.awaitRetry(ctx, delay)
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		delay = minRetryDelay
		if next != version {
			pause(ctx, w.minInterval-time.Since(began))
		}
		version = next
	}
	return ctx.Err()
}

// startDelay is how long the watch waits after the first list.
func (w *watch) startDelay() time.Duration {
	if w.gateway.status.Load().reading.Forming {
		return formingStartDelay
	}
	return watchStartDelay
}

// idle waits, at most listInterval, while another host watches the objects. It returns
// early where the machine has asked for a new list or for a watch.
func (w *watch) idle(ctx context.Context) {
	waitCtx, end := w.gateway.wake.attach(ctx)
	defer end()
	if w.reread {
		var endReread func()
		waitCtx, endReread = w.gateway.reread.attach(waitCtx)
		defer endReread()
	}
	reading := w.gateway.status.Load().reading
	if w.watching() || reading.Relist != w.lastRelist || w.reread && reading.Reread != w.lastReread {
		return
	}
	pause(waitCtx, listInterval)
}

// poll lists the objects (version 0) or waits for changes after version. It returns
// the version to continue from, 0 to list again, and whether the call succeeded; an
// interrupted call counts as a success.
func (w *watch) poll(ctx context.Context, version uint64) (next uint64, ok bool) {
	call := core.ObjectCall{Op: core.ObjectList, Key: w.kind}
	if version == 0 {
		reading := w.gateway.status.Load().reading
		w.lastReread, w.lastRelist = reading.Reread, reading.Relist
	} else {
		call = core.ObjectCall{Op: core.ObjectWatch, Key: w.kind, IfVersion: version, Wait: watchWait}
	}
	w.sent = w.gateway.clock()
	callCtx, end := w.gateway.reread.attach(ctx)
	callCtx, endRelist := w.gateway.relist.attach(callCtx)
	result := w.gateway.executors.Store.Do(callCtx, call)
	interrupted := callCtx.Err() != nil
	endRelist()
	end()
	if interrupted {
		return 0, true // list again
	}
	w.gateway.reportStoreStatus(ctx, w.sent, &result)
	switch {
	case result.Status == core.ObjectHistoryGone:
		return 0, true
	case result.Status == core.ObjectOK && version != 0 && result.Era != w.era:
		return 0, true // its changes are not those since the list, which another era gave
	case result.Status == core.ObjectNotFound && version != 0 && w.mayBeAbsent:
		return 0, true // the last object was removed: a list shows that
	case result.Status == core.ObjectNotFound && version == 0:
		w.at, w.absent, w.late = core.Revision{Era: result.Era}, w.mayBeAbsent, false
		w.onList(nil) // no object of this kind was ever written
		return 0, false
	case result.Status != core.ObjectOK:
		w.late = true
		return version, false
	case version == 0:
		w.late = false
		w.era = result.Era
		w.at = core.Revision{Era: result.Era, Version: result.Version}
		w.onList(result.Objects)
		return result.Version, true
	}
	w.at = core.Revision{Era: result.Era, Version: result.Version}
	for _, o := range result.Objects {
		w.onChange(o)
	}
	if w.onAnswer != nil {
		w.onAnswer()
	}
	w.late = false
	return result.Version, true
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
