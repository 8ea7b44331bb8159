package gateway

import (
	"context"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/direct"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/residency"
	"gentiancroft/internal/core/table"
)

// Store carries calls to the object API.
type Store interface {
	Do(ctx context.Context, c core.ObjectCall) core.ObjectResult
}

// Replicas carries orders to replicas and reads their reports.
type Replicas interface {
	Order(ctx context.Context, o residency.Order) residency.OrderDone
	Report(ctx context.Context, p residency.Probe) residency.Report
}

// Links carries payloads to other hosts. A payload may be lost.
type Links interface {
	Send(to core.HostID, address string, payload []byte) bool
}

// Documents reads the objects that others write into the store.
type Documents struct {
	Configuration string // kind of the object that holds the configuration
	Replicas      string // kind of the replicas' entries
	Versions      string // kind of the adapters' newest versions
	DecodeTable   func([]byte) (*table.Table, error)
	DecodeReplica func(id string, value []byte) (replicas.Entry, error)
	DecodeVersion func([]byte) (core.BaseModel, core.AdapterRef, error)
}

// Carriers are the ways out of a gateway.
type Carriers struct {
	Store     Store
	Replicas  Replicas
	Links     Links
	Documents Documents
}

func (g *Gateway) order(ctx context.Context, o residency.Order) {
	done := g.carriers.Replicas.Order(ctx, o)
	what := "unload."
	if o.Load {
		what = "load."
	}
	g.count("orders." + what + done.Outcome.String())
	if done.Err != nil {
		log.WithField("upstream", string(o.Replica)).WithError(done.Err).Warn("order without an answer")
	}
	g.Tell(direct.OrderDone{OrderDone: done})
}

func (g *Gateway) probe(ctx context.Context, p residency.Probe) {
	report := g.carriers.Replicas.Report(ctx, p)
	if report.Err != nil {
		log.WithField("upstream", string(p.Replica)).WithError(report.Err).Warn("report not read")
	}
	g.Tell(direct.Reported{Report: report})
}

func (g *Gateway) object(ctx context.Context, c core.ObjectCall) {
	result := g.carriers.Store.Do(ctx, c)
	result.Tag = c.Tag
	g.storeAnswered(result.Status)
	g.Tell(direct.ObjectDone{Result: result})
}

// storeAnswered tells the machine when the store is lost or back.
func (g *Gateway) storeAnswered(s core.ObjectStatus) {
	g.count("store.calls." + storeOutcomes[s])
	reached := s != core.ObjectUnavailable && s != core.ObjectUnknown
	if reached {
		g.Tell(direct.StoreReached{})
	} else {
		g.Tell(direct.StoreLost{})
	}
	if g.reached.Swap(reached) != reached {
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

// toPeers encodes a message once for all that it goes to.
func (g *Gateway) toPeers(x direct.ToPeers) {
	payload, err := cbor.Marshal(x.Message)
	if err != nil {
		log.WithError(err).Error("peer message not encoded")
		return
	}
	for _, p := range x.To {
		g.carriers.Links.Send(p.Host, p.Link, payload)
	}
}
