package adapters

import (
	"reflect"
	"testing"

	"github.com/matryer/is"
)

func TestSameSeedGivesTheSameScore(t *testing.T) {
	is := is.New(t)
	w := trace(parapet, 1.1, 3)
	a, b := runPlacement(parapet, 8, w, 3), runPlacement(parapet, 8, w, 3)
	is.True(reflect.DeepEqual(a, b))
	is.Equal(a.faults, 0) // no request ran without its adapter
}
