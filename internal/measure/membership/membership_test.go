package membership

import (
	"testing"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
)

func TestTraceReportsTwoActingHosts(t *testing.T) {
	is := is.New(t)
	s := core.Shard{Name: "s"}
	tr := NewActingTrace()
	tr.Claim(1, "a", s, 1, 10)
	tr.Claim(10, "b", s, 2, 20) // the claim of a has ended
	is.Equal(len(tr.Violations), 0)
	tr.Claim(12, "a", s, 3, 30)
	is.Equal(len(tr.Violations), 1)
	tr.Drop(13, "a", s)
	tr.Claim(20, "c", s, 3, 40) // the fencing number is not above that of a
	is.Equal(len(tr.Violations), 2)
}

func TestSameSeedSameRun(t *testing.T) {
	is := is.New(t)
	a, b := runFeed(3, 20), runFeed(3, 20)
	is.Equal(a, b)
	is.Equal(runCoupledRelay(3, 20), runCoupledRelay(3, 20))
	is.True(len(a.others) == changes*19) // all changes on all hosts but the slow one
}

func TestSlowLinkDelaysOnlyItsHost(t *testing.T) {
	is := is.New(t)
	own, coupled := runFeed(1, 12), runCoupledRelay(1, 12)
	is.True(quantile(own.others, 1) < 1)
	is.True(quantile(own.slow, 1) > 2) // one chunk takes this long, so the link was slow
	is.True(quantile(coupled.others, 1) > 4)
}
