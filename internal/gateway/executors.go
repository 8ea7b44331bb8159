package gateway

import (
	"context"
	"net"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/relaynode"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/residency"
	"gentiancroft/internal/core/table"
)

// Store makes calls to the platform's object API.
type Store interface {
	// Do makes one call. A failure is reported in the result's status.
	Do(ctx context.Context, c core.ObjectCall) core.ObjectResult
}

// Replicas sends load and unload orders to replicas and reads their reports.
type Replicas interface {
	// Order sends an order and waits for the replica's answer.
	Order(ctx context.Context, o residency.Order) residency.OrderDone
	// Report reads which adapters a replica has loaded.
	Report(ctx context.Context, p residency.Probe) residency.Report
}

// Paths opens connections to replicas.
type Paths interface {
	// Probe opens a connection to a replica at an ip:port, to learn whether that is possible.
	Probe(ctx context.Context, id core.UpstreamID, address string) error
	// OpenFor opens a connection for another host.
	OpenFor(ctx context.Context, id core.UpstreamID, address string) (net.Conn, error)
}

// Links sends messages to other hosts.
type Links interface {
	// Send queues a payload and reports whether it was queued. A queued payload
	// may still be lost.
	Send(to core.HostID, address string, payload []byte) bool
}

// Documents names and decodes the objects that the platform keeps in the store.
type Documents struct {
	ConfigurationKind string // kind of the object that holds the configuration
	ReplicasKind      string // kind of the objects that register replicas
	VersionsKind      string // kind of the objects that announce the adapters' newest versions
	EvacuationsKind   string // kind of the objects that evacuate failure domains
	DecodeTable       func([]byte) (*table.Table, error)
	DecodeReplica     func(id string, value []byte) (replicas.Entry, error)
	DecodeVersion     func([]byte) (core.BaseModel, core.AdapterRef, error)
	DecodeEvacuation  func(name string) (core.Domain, error)
}

// Executors are the executors of a gateway: they carry out the machine's effects
// by I/O.
type Executors struct {
	Store     Store
	Replicas  Replicas
	Paths     Paths
	Links     Links
	Documents Documents
}

// sendOrder carries out an order and returns its outcome to the machine. The order is given up when this
// host may no longer give it.
func (g *Gateway) sendOrder(ctx context.Context, s relaynode.SendOrder) {
	ctx, cancel := context.WithTimeout(ctx, s.TimeLeft)
	defer cancel()
	o := s.Order
	done := g.executors.Replicas.Order(ctx, o)
	what := "unload."
	if o.Load {
		what = "load."
	}
	g.count("orders." + what + done.Outcome.String())
	if done.Err != nil {
		log.WithField("upstream", string(o.Replica)).WithError(done.Err).Warn("order without an answer")
	}
	g.Notify(relaynode.OrderDone{OrderDone: done})
}

// readReport reads a replica's report for the machine.
func (g *Gateway) readReport(ctx context.Context, p residency.Probe) {
	report := g.executors.Replicas.Report(ctx, p)
	if report.Err != nil {
		log.WithField("upstream", string(p.Replica)).WithError(report.Err).Warn("report not read")
	}
	g.Notify(relaynode.ReportReceived{Report: report})
}

// checkReplica checks for the machine whether an incarnation of a replica still runs.
func (g *Gateway) checkReplica(ctx context.Context, c relaynode.CheckReplica) {
	report := g.executors.Replicas.Report(ctx, c.Probe)
	checked := relaynode.ReplicaChecked{Replica: c.Replica, Started: c.Started, Result: relaynode.CheckUnknown, Refused: report.Refused, Carrier: c.Carrier, Notice: report.Notice}
	switch {
	case report.Ended, report.OK && report.Started != 0 && report.Started != c.Started:
		checked.Result = relaynode.CheckEnded
	case report.OK && report.Started == c.Started:
		checked.Result = relaynode.CheckAlive
	default:
		log.WithField("upstream", string(c.Replica)).WithError(report.Err).Warn("replica not checked")
	}
	g.Notify(checked)
}

// callStore carries out a write of the machine.
func (g *Gateway) callStore(ctx context.Context, c core.ObjectCall) {
	sent := g.clock()
	result := g.executors.Store.Do(ctx, c)
	result.Tag = c.Tag
	g.reportStoreStatus(ctx, sent, &result)
	g.Notify(relaynode.WriteDone{Result: result})
}

// sendToPeers encodes a message once and sends it to each of its receivers.
func (g *Gateway) sendToPeers(x relaynode.SendToPeers) {
	payload, err := cbor.Marshal(x.Message)
	if err != nil {
		log.WithError(err).Error("peer message not encoded")
		return
	}
	for _, p := range x.To {
		g.executors.Links.Send(p.Host, p.Link, payload)
	}
}
