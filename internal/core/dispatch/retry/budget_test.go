package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
)

func TestRetriesAreAFractionOfFirstAttempts(t *testing.T) {
	is := is.New(t)
	b := NewBudget(Settings{})
	now, retries := core.Instant(0), 0
	const seconds, perSecond = 100, 50
	for range seconds {
		for range perSecond {
			b.RecordAttempt(now)
			if b.Withdraw(now) { // every request fails
				retries++
			}
		}
		now = now.Add(time.Second)
	}
	maxRetries := seconds*perSecond*defaultRatio + seconds*defaultMinPerSecond + defaultBurst
	is.True(float64(retries) <= maxRetries)
	is.True(retries >= seconds*perSecond/10)
}

func TestIdleHostMayStillRetry(t *testing.T) {
	is := is.New(t)
	b := NewBudget(Settings{})
	is.True(b.Withdraw(0))
	is.True(!b.Withdraw(0))
	is.True(b.Withdraw(core.Instant(time.Second)))
}
