package upstream

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestParseKeepAlive(t *testing.T) {
	is := is.New(t)
	for field, want := range map[string]time.Duration{"": 0, "timeout=5": 5 * time.Second, "max=9, Timeout=2": 2 * time.Second, "timeout=x": 0} {
		is.Equal(parseKeepAlive([]byte(field)), want)
	}
}

func TestIdleConnectionIsReusedOnlyWithinTheUpstreamsTimeout(t *testing.T) {
	is := is.New(t)
	is.Equal((&conn{}).maxIdle(0), defaultIdleTimeout)
	is.Equal((&conn{}).maxIdle(time.Second), time.Second)
	is.Equal((&conn{serverIdleTimeout: 9 * time.Second}).maxIdle(0), 6*time.Second)
	is.Equal((&conn{serverIdleTimeout: time.Hour}).maxIdle(0), maxIdleTimeout)
	is.Equal((&conn{serverIdleTimeout: time.Second}).maxIdle(2*time.Second), time.Second*2/3)
}
