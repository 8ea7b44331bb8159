package gateway

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/relaynode"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/shard"
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
	leasesInterval    = time.Second // between two reads of the leases

	leasesStandbyInterval = 4 * time.Second // the same on a standby host

	maxStaleness = 10 * time.Second // age of a stale answer
)

// Minimum times from a call that found changes to the next one, both taken at their
// start, so that frequent changes cost few calls.
const (
	minConfigurationInterval = 30 * time.Millisecond
	minReplicasInterval      = 800 * time.Millisecond
	minVersionsInterval      = 400 * time.Millisecond
	minHostsInterval         = 400 * time.Millisecond
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

	sent       core.Instant // when the last call was sent
	listedOnce bool         // the first list is complete
	late       bool         // a call has failed since the last answer: changes may have been made long ago
	era        uint64       // of the store at the last list
	lastReread uint64       // the machine's count of reread requests at the last list
	lastRelist uint64       // the same of its requests to list all kinds again
}

// watches returns the watches of all kinds of objects that the machine reads.
func (g *Gateway) watches() []*watch {
	d := g.executors.Documents
	versions := &watch{gateway: g, kind: d.VersionsKind, minInterval: minVersionsInterval, reread: true, onList: g.versionsListed}
	versions.onChange = func(o core.Object) { g.sendVersion(o, versions.late) }
	list := &watch{gateway: g, kind: d.ReplicasKind, minInterval: minReplicasInterval, onChange: g.replicaChanged}
	list.onList = func(all []core.Object) { g.replicasListed(all, list.sent) }
	list.onAnswer = func() { g.Notify(relaynode.ReplicasCompared{Sent: list.sent}) }
	return []*watch{
		{gateway: g, kind: d.ConfigurationKind, minInterval: minConfigurationInterval, reread: true, onList: forEach(g.configurationChanged), onChange: g.configurationChanged},
		list,
		versions,
		{gateway: g, kind: strings.TrimSuffix(relaynode.HostsPrefix, "/"), minInterval: minHostsInterval, startAtOnce: true, onList: forEach(g.hostChanged), onChange: g.hostChanged},
	}
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
		if version != 0 && !w.gateway.status.Load().reading.Watch {
			w.idle(ctx)
			version = 0
			continue
		}
		began := time.Now()
		next, ok := w.poll(ctx, version)
		if time.Since(began) >= maxRetryDelay {
			delay = minRetryDelay // the call was cut off while it waited, not refused
		}
		if !ok {
			pause(ctx, delay)
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		delay = minRetryDelay
		if !w.startAtOnce && !w.listedOnce && next != 0 { // 0: interrupted, so there is no list yet
			w.listedOnce = true
			pause(ctx, w.startDelay())
		}
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
	if reading.Watch || reading.Relist != w.lastRelist || w.reread && reading.Reread != w.lastReread {
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
	result := w.gateway.executors.Store.Do(callCtx, call)
	interrupted := callCtx.Err() != nil
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
	case result.Status == core.ObjectNotFound && version == 0:
		w.onList(nil) // no object of this kind was ever written
		return 0, false
	case result.Status != core.ObjectOK:
		w.late = true
		return version, false
	case version == 0:
		w.late = false
		w.era = result.Era
		w.onList(result.Objects)
		return result.Version, true
	}
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

// logSkipped logs an object that can't be decoded.
func logSkipped(o core.Object, err error) {
	log.WithField("object", o.Key).WithField("version", o.Version).WithError(err).Warn("object skipped")
}

// objectName returns the part of an object's key after its kind.
func objectName(o core.Object) string {
	_, n, _ := strings.Cut(o.Key, "/")
	return n
}

func (g *Gateway) configurationChanged(o core.Object) {
	if o.Deleted {
		return
	}
	t, err := g.executors.Documents.DecodeTable(o.Value)
	if err != nil {
		logSkipped(o, err)
		return
	}
	g.Notify(relaynode.ConfigurationRead{Table: t, Document: o.Value, Hash: documentHash(o.Value), Revision: o.Revision()})
}

// configurationReceived decodes a configuration that another host has read from the
// store. The event carries no document, which marks it as reported by a peer.
func (g *Gateway) configurationReceived(from core.HostID, document []byte, restored uint64) {
	t, err := g.executors.Documents.DecodeTable(document)
	if err != nil {
		log.WithField("peer", string(from)).WithError(err).Warn("configuration of a peer skipped")
		return
	}
	g.Notify(relaynode.ConfigurationRead{Table: t, Hash: documentHash(document), Restored: restored})
}

func documentHash(document []byte) uint64 { return core.Fingerprint(0, string(document)) }

func (g *Gateway) replicasListed(all []core.Object, sent core.Instant) {
	var entries []replicas.Entry
	for _, o := range all {
		e, err := g.executors.Documents.DecodeReplica(objectName(o), o.Value)
		if err != nil {
			logSkipped(o, err)
			continue
		}
		entries = append(entries, e)
	}
	g.Notify(relaynode.ReplicasListed{Entries: entries, Sent: sent})
}

func (g *Gateway) replicaChanged(o core.Object) {
	if o.Deleted {
		g.Notify(relaynode.ReplicaUnlisted{ID: core.UpstreamID(objectName(o))})
		return
	}
	e, err := g.executors.Documents.DecodeReplica(objectName(o), o.Value)
	if err != nil {
		logSkipped(o, err)
		g.Notify(relaynode.ReplicaUnlisted{ID: core.UpstreamID(objectName(o))}) // as a list without its entry
		return
	}
	g.Notify(relaynode.ReplicaListed{Entry: e})
}

func (g *Gateway) versionsListed(all []core.Object) {
	for _, o := range all {
		g.sendVersion(o, true)
	}
	g.Notify(relaynode.VersionsRead{})
}

// sendVersion sends an announced version to the machine. late is set where it may have been
// announced long ago.
func (g *Gateway) sendVersion(o core.Object, late bool) {
	if o.Deleted {
		return
	}
	model, ref, err := g.executors.Documents.DecodeVersion(o.Value)
	if err != nil {
		logSkipped(o, err)
		return
	}
	g.Notify(relaynode.VersionAnnounced{Model: model, Adapter: ref, Listed: late})
}

func (g *Gateway) hostChanged(o core.Object) {
	if o.Deleted {
		g.Notify(relaynode.HostUnlisted{Name: objectName(o)})
		return
	}
	var r fleet.Registration
	if err := json.Unmarshal(o.Value, &r); err != nil || r.Name != objectName(o) || !validRegistration(&r) {
		logSkipped(o, err)
		return
	}
	g.Notify(relaynode.HostListed{Host: r})
}

// validRegistration reports whether a registration can be that of a host: it names a process, and its
// addresses can be connected to.
func validRegistration(r *fleet.Registration) bool {
	return r.Host != "" && validAddress(r.Link) && validAddress(r.Entry) && r.Capacity >= 0
}

// validAddress reports whether an address is an ip:port with a port.
func validAddress(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() != 0
}

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

// interrupts is a set of waiting calls that can be interrupted together.
type interrupts struct {
	mu      sync.Mutex
	lastID  int
	cancels map[int]context.CancelFunc
}

// attach returns a context that interruptAll cancels, and a function that removes
// it from the set and must be called.
func (i *interrupts) attach(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cancels == nil {
		i.cancels = map[int]context.CancelFunc{}
	}
	i.lastID++
	id := i.lastID
	i.cancels[id] = cancel
	return ctx, func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		delete(i.cancels, id)
		cancel()
	}
}

// interruptAll cancels all attached contexts.
func (i *interrupts) interruptAll() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, cancel := range i.cancels {
		cancel()
	}
}
