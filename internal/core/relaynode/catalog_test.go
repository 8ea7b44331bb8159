package relaynode

import (
	"flag"
	"os"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write docs/logs.md")

func TestLogsPageIsCurrent(t *testing.T) {
	is := is.New(t)
	const file = "../../../docs/logs.md"
	if *update {
		is.NoErr(os.WriteFile(file, []byte(LogsPage()), 0o644))
	}
	b, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(string(b), LogsPage()) // go test ./internal/core/relaynode -run TestLogsPageIsCurrent -update
}
