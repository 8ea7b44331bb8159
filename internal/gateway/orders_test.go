package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"

	"gentiancroft/internal/core/relaynode"
	"gentiancroft/internal/core/residency"
)

// silentReplicas answer no order.
type silentReplicas struct{ Replicas }

func (silentReplicas) Order(ctx context.Context, o residency.Order) residency.OrderDone {
	<-ctx.Done()
	return residency.OrderDone{ID: o.ID, Outcome: residency.Unknown, Err: ctx.Err()}
}

// Guards against an order that is still on its way when its host may no longer give it.
func TestOrderIsGivenUpWhenTheLeaseEnds(t *testing.T) {
	is := is.New(t)
	g := New(relaynode.New(relaynode.Settings{}), Executors{Replicas: silentReplicas{}}, noClock, metrics.NewRegistry())
	g.sendOrder(context.Background(), relaynode.SendOrder{Order: residency.Order{ID: 3}, TimeLeft: time.Millisecond})
	e, ok := <-g.events.Items()
	is.True(ok)
	is.Equal(e.(relaynode.OrderDone).Outcome, residency.Unknown)
}
