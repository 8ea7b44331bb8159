package wiring

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/settings"
)

// Guards against a request that begins on an old version: where the configured time is short, a
// tenth of it was all that the withdrawal had to reach the replica.
func TestWithdrawalHasTimeWhereVersionsExpireSoon(t *testing.T) {
	is := is.New(t)
	for configured, want := range map[time.Duration]time.Duration{
		5 * time.Second:        4500 * time.Millisecond,
		time.Second:            750 * time.Millisecond,
		300 * time.Millisecond: 120 * time.Millisecond, // requests are sent until then
	} {
		s := &settings.Relay{Version: settings.Duration(configured.String())}
		is.Equal(versionExpiry(s), want)
		is.True(versionExpiry(s) >= versionGrace(s))
	}
}
