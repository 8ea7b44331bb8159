package gateway

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/direct"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/shard"
)

// Times of the watches.
const (
	// waitAlone is how long a watch waits where no other host would show that its
	// connection has fallen silent.
	waitAlone  = 2400 * time.Millisecond
	waitLong   = 8 * time.Second
	listEvery  = time.Minute            // between two readings of a list that others follow
	againFirst = 100 * time.Millisecond // after a call that failed
	againMost  = 600 * time.Millisecond // after several
	// beginAfter is how long a host that has just started leaves it open whether
	// another one follows the objects.
	beginAfter  = 1800 * time.Millisecond
	leasesEvery = time.Second // between two readings of the leases

	leasesStandby = 4 * time.Second // the same while stronger hosts serve
)

// Paces of the watches: the least time between two answers, so that frequent
// changes cost few calls.
const (
	paceConfiguration = 30 * time.Millisecond
	paceReplicas      = 800 * time.Millisecond
	paceVersions      = 400 * time.Millisecond
	paceHosts         = 400 * time.Millisecond
)

// watch follows the objects of one kind: it lists them, waits for changes from
// there on, and lists again where the history is gone.
type watch struct {
	gateway *Gateway
	kind    string
	pace    time.Duration
	urgent  bool // a change must be seen soon, also after the connection fell silent
	atOnce  bool // a host that has just started follows the objects until another does
	reread  bool // the objects are read again where another host knows newer ones
	listed  func([]core.Object)
	changed func(core.Object)

	begun    bool   // it has listed the objects once
	read     uint64 // the machine's wish to read again that the last list fulfilled
	relisted uint64 // the same of its wish to list everything again
}

func (g *Gateway) watches() []*watch {
	d := g.carriers.Documents
	return []*watch{
		{gateway: g, kind: d.Configuration, pace: paceConfiguration, reread: true, listed: each(g.configuration), changed: g.configuration},
		{gateway: g, kind: d.Replicas, pace: paceReplicas, urgent: true, listed: g.replicasListed, changed: g.replicaChanged},
		{gateway: g, kind: d.Versions, pace: paceVersions, reread: true, listed: g.versionsListed, changed: g.versionChanged},
		{gateway: g, kind: strings.TrimSuffix(direct.HostsPrefix, "/"), pace: paceHosts, atOnce: true, listed: each(g.host), changed: g.host},
	}
}

func each(f func(core.Object)) func([]core.Object) {
	return func(all []core.Object) {
		for _, o := range all {
			f(o)
		}
	}
}

// run follows the kind until ctx ends.
func (w *watch) run(ctx context.Context) error {
	version := uint64(0)
	again := againFirst
	for ctx.Err() == nil {
		if version != 0 && !w.gateway.view.Load().reading.Watch {
			w.rest(ctx)
			version = 0
			continue
		}
		began := time.Now()
		next, ok := w.once(ctx, version)
		if !ok {
			pause(ctx, again)
			again = min(2*again, againMost)
			continue
		}
		again = againFirst
		if !w.atOnce && !w.begun && next != 0 { // 0: the list was interrupted
			w.begun = true
			pause(ctx, beginAfter)
		}
		if next != version {
			pause(ctx, w.pace-time.Since(began))
		}
		version = next
	}
	return ctx.Err()
}

// rest waits while another host follows the objects.
func (w *watch) rest(ctx context.Context) {
	resting, end := w.gateway.follow.with(ctx)
	defer end()
	if w.reread {
		var ended func()
		resting, ended = w.gateway.reread.with(resting)
		defer ended()
	}
	reading := w.gateway.view.Load().reading
	if reading.Watch || reading.Relist != w.relisted || w.reread && reading.Reread != w.read {
		return
	}
	pause(resting, listEvery)
}

// wait is how long a watch waits for a change.
func (w *watch) wait() time.Duration {
	if w.urgent || w.gateway.view.Load().reading.Alone {
		return waitAlone
	}
	return waitLong
}

// once lists the objects or waits for a change of them. It returns the version
// to go on from, 0 to list.
func (w *watch) once(ctx context.Context, version uint64) (next uint64, ok bool) {
	call := core.ObjectCall{Op: core.ObjectList, Key: w.kind}
	if version == 0 {
		reading := w.gateway.view.Load().reading
		w.read, w.relisted = reading.Reread, reading.Relist
	} else {
		call = core.ObjectCall{Op: core.ObjectWatch, Key: w.kind, IfVersion: version, Wait: w.wait()}
	}
	reading, end := w.gateway.reread.with(ctx)
	result := w.gateway.carriers.Store.Do(reading, call)
	interrupted := reading.Err() != nil
	end()
	if interrupted {
		return 0, true // read again
	}
	w.gateway.storeAnswered(result.Status)
	switch {
	case result.Status == core.ObjectHistoryGone:
		return 0, true
	case result.Status == core.ObjectNotFound && version == 0:
		w.listed(nil) // nothing of this kind was ever written
		return 0, false
	case result.Status != core.ObjectOK:
		return version, false
	case version == 0:
		w.listed(result.Objects)
		return result.Version, true
	}
	for _, o := range result.Objects {
		w.changed(o)
	}
	return result.Version, true
}

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

// skipped logs an object that can't be read.
func skipped(o core.Object, err error) {
	log.WithField("object", o.Key).WithField("version", o.Version).WithError(err).Warn("object skipped")
}

func name(o core.Object) string {
	_, n, _ := strings.Cut(o.Key, "/")
	return n
}

func (g *Gateway) configuration(o core.Object) {
	if o.Deleted {
		return
	}
	t, err := g.carriers.Documents.DecodeTable(o.Value)
	if err != nil {
		skipped(o, err)
		return
	}
	g.Tell(direct.Configured{Table: t, Document: o.Value})
}

// configurationTold takes a configuration that another host has read.
func (g *Gateway) configurationTold(from core.HostID, document []byte) {
	t, err := g.carriers.Documents.DecodeTable(document)
	if err != nil {
		log.WithField("peer", string(from)).WithError(err).Warn("configuration of a peer skipped")
		return
	}
	g.Tell(direct.Configured{Table: t})
}

func (g *Gateway) replicasListed(all []core.Object) {
	var entries []replicas.Entry
	for _, o := range all {
		e, err := g.carriers.Documents.DecodeReplica(name(o), o.Value)
		if err != nil {
			skipped(o, err)
			continue
		}
		entries = append(entries, e)
	}
	g.Tell(direct.ReplicasListed{Entries: entries})
}

func (g *Gateway) replicaChanged(o core.Object) {
	if o.Deleted {
		g.Tell(direct.ReplicaUnlisted{ID: core.UpstreamID(name(o))})
		return
	}
	e, err := g.carriers.Documents.DecodeReplica(name(o), o.Value)
	if err != nil {
		skipped(o, err)
		return
	}
	g.Tell(direct.ReplicaListed{Entry: e})
}

func (g *Gateway) versionsListed(all []core.Object) {
	for _, o := range all {
		g.version(o, true)
	}
	g.Tell(direct.VersionsRead{})
}

func (g *Gateway) versionChanged(o core.Object) { g.version(o, false) }

func (g *Gateway) version(o core.Object, listed bool) {
	if o.Deleted {
		return
	}
	model, ref, err := g.carriers.Documents.DecodeVersion(o.Value)
	if err != nil {
		skipped(o, err)
		return
	}
	g.Tell(direct.VersionNamed{Model: model, Adapter: ref, Listed: listed})
}

func (g *Gateway) host(o core.Object) {
	if o.Deleted {
		g.Tell(direct.HostUnlisted{Name: name(o)})
		return
	}
	var r fleet.Registration
	if err := json.Unmarshal(o.Value, &r); err != nil || r.Host == "" || r.Name == "" {
		skipped(o, err)
		return
	}
	g.Tell(direct.HostListed{Host: r})
}

// readLeases reads the shards' leases now and then. The answer may be stale: it
// only delays a takeover.
func (g *Gateway) readLeases(ctx context.Context) error {
	first := true
	for ctx.Err() == nil {
		call := core.ObjectCall{Op: core.ObjectList, Key: strings.TrimSuffix(shard.Prefix, "/"), Stale: !first}
		result := g.carriers.Store.Do(ctx, call)
		g.storeAnswered(result.Status)
		if result.Status == core.ObjectOK || result.Status == core.ObjectNotFound {
			g.Tell(direct.LeasesListed{Objects: result.Objects})
			first = false
		}
		if g.view.Load().reading.Standby {
			pause(ctx, leasesStandby)
		} else {
			pause(ctx, leasesEvery)
		}
	}
	return ctx.Err()
}

// interrupts ends calls that wait when documents are to be read again.
type interrupts struct {
	mu      sync.Mutex
	next    int
	cancels map[int]context.CancelFunc
}

// with returns a context that call ends, and the function that gives it back.
func (i *interrupts) with(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cancels == nil {
		i.cancels = map[int]context.CancelFunc{}
	}
	i.next++
	id := i.next
	i.cancels[id] = cancel
	return ctx, func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		delete(i.cancels, id)
		cancel()
	}
}

// call ends all calls under way.
func (i *interrupts) call() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, cancel := range i.cancels {
		cancel()
	}
}
