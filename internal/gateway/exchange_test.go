package gateway

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"gentiancroft/internal/core/direct"
)

// Found on the bench (LOST): a stream was cancelled for its silence in the moment in
// which its first event came.
func TestAnAttemptThatHasBegunIsNotCancelledForItsSilence(t *testing.T) {
	is := is.New(t)
	x := &exchange{}
	attempt, end := x.Attempt(context.Background(), 1)
	defer end()
	is.True(x.Begin(1))
	x.cancelAttempt(direct.Cancel{Attempt: 1, Unbegun: true})
	is.NoErr(attempt.Err())
	x.cancelAttempt(direct.Cancel{Attempt: 1}) // its deadline has passed
	is.True(attempt.Err() != nil)
}

func TestAnAttemptThatIsCancelledDoesNotBegin(t *testing.T) {
	is := is.New(t)
	x := &exchange{}
	attempt, end := x.Attempt(context.Background(), 1)
	defer end()
	x.cancelAttempt(direct.Cancel{Attempt: 1, Unbegun: true})
	is.True(attempt.Err() != nil)
	is.True(!x.Begin(1))
	_, end = x.Attempt(context.Background(), 2)
	defer end()
	is.True(x.Begin(2))
}
