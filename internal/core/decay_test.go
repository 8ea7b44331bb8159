package core

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDecayingSumsHalve(t *testing.T) {
	is := is.New(t)
	var d Decaying
	d.Add(Instant(time.Second), 8, time.Second)
	is.Equal(d.Now(Instant(3*time.Second), time.Second), 2.0)
	is.Equal(d.Now(0, time.Second), 8.0) // an earlier time changes nothing
	d.Add(Instant(2*time.Second), 1, time.Second)
	is.Equal(d.Now(Instant(2*time.Second), time.Second), 5.0)
}
