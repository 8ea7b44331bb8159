package warmup

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
)

var key = Key{Replica: "r", Started: 1}

func at(d time.Duration) core.Instant { return core.Instant(time.Hour + d) }

func TestShareGrowsWithTheAnswers(t *testing.T) {
	is := is.New(t)
	s := NewStarts()
	is.Equal(s.Share(at(0), key), 1.0) // not seen to start
	s.Begin(at(0), key)
	is.Equal(s.Share(at(0), key), MinShare)
	is.Equal(s.Share(at(maxTime-1), key), MinShare) // time alone doesn't warm it
	last := MinShare
	for range answersToWarm {
		s.Answered(key)
		share := s.Share(at(time.Second), key)
		is.True(share > last && share <= 1)
		last = share
	}
	is.Equal(last, 1.0)
}

// Guards against a replica that is avoided because it is new, and stays new because it is avoided.
func TestSlowStartEndsWithoutAnswers(t *testing.T) {
	is := is.New(t)
	s := NewStarts()
	s.Begin(at(0), key)
	is.Equal(s.Share(at(maxTime), key), 1.0)
	s.Expire(at(maxTime - 1))
	is.Equal(len(s.byKey), 1)
	s.Expire(at(maxTime))
	is.Equal(len(s.byKey), 0)
	s.Answered(key) // of an incarnation that isn't new
	is.Equal(s.Share(at(maxTime), key), 1.0)
}

func TestNextIncarnationStartsAnew(t *testing.T) {
	is := is.New(t)
	s := NewStarts()
	s.Begin(at(0), key)
	for range answersToWarm {
		s.Answered(key)
	}
	next := Key{Replica: "r", Started: 2}
	s.Begin(at(time.Second), next)
	is.Equal(s.Share(at(time.Second), key), 1.0)
	is.Equal(s.Share(at(time.Second), next), MinShare)
}
