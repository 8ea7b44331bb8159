package overhead

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/measure"
)

func TestReportIsComplete(t *testing.T) {
	is := is.New(t)
	r, err := run(1, sizes{rounds: 10, hangUps: 10, loopDuration: 200 * time.Millisecond, peers: 2, payloads: 100})
	is.NoErr(err)
	is.Equal(len(r.Tables), 4)
	for _, table := range r.Tables {
		for _, row := range table.Rows {
			is.Equal(len(row.Values), len(table.Columns))
		}
	}
	is.NoErr(measure.WriteText(t.Output(), r)) // figures are shown, not judged
}
