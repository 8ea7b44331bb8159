package adapters

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against copies that come too slowly: with one more copy a second and host, a sixth of the
// requests was late seconds after other adapters had become popular.
func TestNewlyPopularAdaptersSpreadWithinSeconds(t *testing.T) {
	is := is.New(t)
	s := runRelayFleet(shiftTrace(3), 3)
	for i, p := range s.periods {
		t.Logf("%s: %d requests, late %.3f paused %.3f refused %.3f busiest/mean %.2f", shiftPeriods[i].name, p.requests, p.share(p.late), p.share(p.paused), p.share(p.refused), p.busiest)
	}
	t.Logf("loads %d", s.loads)
	before, shift, settled := &s.periods[0], &s.periods[1], &s.periods[2]
	is.True(before.share(before.late+before.refused) <= 0.02)
	is.True(shift.share(shift.late+shift.refused) <= 0.1)
	is.True(settled.share(settled.late+settled.refused) <= 0.05)
}
