package limits

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against figures of hosts that admit alone that miss the targets, and against a baseline that
// is not the previous build's: it admits in waves.
func TestOwnPaceMeetsItsTargets(t *testing.T) {
	is := is.New(t)
	tables, targets := measurePace(1)
	for _, x := range targets {
		t.Log(x)
		is.True(x.Met)
	}
	for _, x := range tables {
		t.Log(x.Title)
		for _, row := range x.Rows {
			t.Logf("%-32s %.2f", row.Label, row.Values)
		}
	}
	is.Equal(tables[1].Rows[2].Values[1], float64(maxVariation))
}
