package gateway

import (
	"encoding/json"
	"strings"

	"github.com/apex/log"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/evacuation"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/relaynode"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/upstream"
)

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

// evacuationsListed sends the whole list of evacuated domains to the machine.
func (g *Gateway) evacuationsListed(all []core.Object, at core.Revision, sent core.Instant) {
	var domains []core.Domain
	for _, o := range all {
		for _, c := range g.appendEvacuationChange(nil, o) {
			domains = append(domains, c.Domain)
		}
	}
	g.Notify(relaynode.EvacuationsListed{At: at, Sent: sent, Domains: domains})
}

// appendEvacuationChange appends what an object says, if it can be decoded.
func (g *Gateway) appendEvacuationChange(changes []evacuation.ObjectChange, o core.Object) []evacuation.ObjectChange {
	d, err := g.executors.Documents.DecodeEvacuation(objectName(o))
	if err != nil {
		logSkipped(o, err)
		return changes
	}
	return append(changes, evacuation.ObjectChange{Domain: d, Removed: o.Deleted})
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
	return r.Host != "" && upstream.ValidAddress(r.Link) && upstream.ValidAddress(r.Entry) && r.Capacity >= 0
}
