package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
)

func TestRetriesAreAShareOfFirstAttempts(t *testing.T) {
	is := is.New(t)
	b := NewBudget(Settings{})
	now, retries := core.Instant(0), 0
	const seconds, perSecond = 100, 50
	for range seconds {
		for range perSecond {
			b.First(now)
			if b.Retry(now) { // everything fails
				retries++
			}
		}
		now = now.Add(time.Second)
	}
	most := seconds*perSecond*defaultShare + seconds*defaultFloor + defaultBurst
	is.True(float64(retries) <= most)
	is.True(retries >= seconds*perSecond/10)
}

func TestQuietHostMayStillRetry(t *testing.T) {
	is := is.New(t)
	b := NewBudget(Settings{})
	is.True(b.Retry(0))
	is.True(!b.Retry(0))
	is.True(b.Retry(core.Instant(time.Second)))
}
