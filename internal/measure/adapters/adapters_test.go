package adapters

import (
	"fmt"
	"os"
	"reflect"
	"testing"

	"github.com/matryer/is"
)

func TestReport(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("set MEASURE to print the whole table; the command line runs it")
	}
	r, _ := Run(1)
	for _, tab := range r.Tables {
		fmt.Println(tab.Title, tab.Columns)
		for _, row := range tab.Rows {
			fmt.Printf("   %-22s %8.3f\n", row.Label, row.Values)
		}
	}
	for _, x := range r.Targets {
		fmt.Printf("%-60s %s %.3f %v\n", x.Name, x.Bound, x.Measured, x.Met)
	}
}

func TestSameSeedGivesTheSameScore(t *testing.T) {
	is := is.New(t)
	w := trace(parapet, 1.1, 3)
	a, b := runPlaced(parapet, 8, w, 3), runPlaced(parapet, 8, w, 3)
	is.True(reflect.DeepEqual(a, b))
	is.Equal(a.faults, 0) // no adapter lost under a running request
}
