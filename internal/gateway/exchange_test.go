package gateway

import (
	"context"
	"testing"

	"github.com/matryer/is"

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
