package once

import (
	"testing"

	"github.com/matryer/is"

	"gentiancroft/internal/core/dispatch/suspect"
)

func TestMeasureIsRepeatable(t *testing.T) {
	is := is.New(t)
	is.Equal(callTable(1), callTable(1))
	first, refused := clearingCase(9, 16, 1)
	again, _ := clearingCase(9, 16, 1)
	is.Equal(first, again)
	is.Equal(refused, 0)
}

func TestClaimsKeepTheBudgetWhereTheBaselinesDoNot(t *testing.T) {
	is := is.New(t)
	c := poisonCases[0]
	is.Equal(c.run(claims, 1).upstreamsLost[poisonFingerprint], suspect.MaxCrashes)
	is.True(c.run(broadcastOnly, 1).upstreamsLost[poisonFingerprint] > suspect.MaxCrashes)
	is.True(c.run(untracked, 1).upstreamsLost[poisonFingerprint] > suspect.MaxCrashes)
}
