package upstream

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestKeepAlive(t *testing.T) {
	is := is.New(t)
	for field, want := range map[string]time.Duration{"": 0, "timeout=5": 5 * time.Second, "max=9, Timeout=2": 2 * time.Second, "timeout=x": 0} {
		is.Equal(keepAlive([]byte(field)), want)
	}
}

func TestAConnectionIsUsedWellWithinTheUpstreamsTime(t *testing.T) {
	is := is.New(t)
	is.Equal((&conn{}).usable(0), keepIdle)
	is.Equal((&conn{}).usable(time.Second), time.Second)
	is.Equal((&conn{keep: 9 * time.Second}).usable(0), 6*time.Second)
	is.Equal((&conn{keep: time.Hour}).usable(0), keepLong)
	is.Equal((&conn{keep: time.Second}).usable(2*time.Second), time.Second*2/3)
}
