package gateway

import (
	"context"
	"testing"

	"github.com/matryer/is"

	metrics "github.com/rcrowley/go-metrics"

	"gentiancroft/internal/core/relaynode"
)

// Guards against a lost stream: the timeout for the first event cancelled an attempt
// just as that event arrived.
func TestAStartedAttemptIsNotCancelledForALateFirstEvent(t *testing.T) {
	is := is.New(t)
	x := &exchange{}
	attempt, end := x.StartAttempt(context.Background(), 1)
	defer end()
	is.True(x.StartAnswer(1))
	x.cancelAttempt(relaynode.Cancel{Attempt: 1, OnlyIfUnanswered: true})
	is.NoErr(attempt.Err())
	x.cancelAttempt(relaynode.Cancel{Attempt: 1}) // its deadline has passed
	is.True(attempt.Err() != nil)
}

func TestACancelledAttemptDoesNotStart(t *testing.T) {
	is := is.New(t)
	x := &exchange{}
	attempt, end := x.StartAttempt(context.Background(), 1)
	defer end()
	x.cancelAttempt(relaynode.Cancel{Attempt: 1, OnlyIfUnanswered: true})
	is.True(attempt.Err() != nil)
	is.True(!x.StartAnswer(1))
	_, end = x.StartAttempt(context.Background(), 2)
	defer end()
	is.True(x.StartAnswer(2))
}

// endedAttempt returns the next attempt that is reported as ended.
func endedAttempt(g *Gateway) relaynode.AttemptEnded {
	for {
		if e, ok := (<-g.events.Items()).(relaynode.AttemptEnded); ok {
			return e
		}
	}
}

// Guards against a replica that seems busier with each caller that leaves: a dispatch that the
// request's handler never saw was never reported as ended.
func TestDispatchThatNobodyCarriesOutIsReportedAsEnded(t *testing.T) {
	is := is.New(t)
	g := New(relaynode.New(relaynode.Settings{}), Executors{}, noClock, metrics.NewRegistry())
	x := g.StartRequest(relaynode.RequestArrived{ID: "before"})
	g.sendDecision("before", relaynode.Dispatch{ID: "before", Attempt: 1})
	x.Close() // the caller has left
	is.Equal(endedAttempt(g), relaynode.AttemptEnded{ID: "before", Attempt: 1, Kind: relaynode.EndCancelled})

	g.StartRequest(relaynode.RequestArrived{ID: "after"}).Close()
	g.sendDecision("after", relaynode.Dispatch{ID: "after", Attempt: 2})
	is.Equal(endedAttempt(g), relaynode.AttemptEnded{ID: "after", Attempt: 2, Kind: relaynode.EndCancelled})
}
