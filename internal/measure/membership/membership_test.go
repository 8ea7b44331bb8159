package membership

import (
	"testing"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
)

func TestTraceSeesTwoActors(t *testing.T) {
	is := is.New(t)
	s := core.Shard{Name: "s"}
	tr := NewTrace()
	tr.Claim(1, "a", s, 1, 10)
	tr.Claim(10, "b", s, 2, 20) // a's claim has ended
	is.Equal(len(tr.Violations), 0)
	tr.Claim(12, "a", s, 3, 30)
	is.Equal(len(tr.Violations), 1)
	tr.Drop(13, "a", s)
	tr.Claim(20, "c", s, 3, 40) // the fence did not rise above a's
	is.Equal(len(tr.Violations), 2)
}

func TestSameSeedSameRun(t *testing.T) {
	is := is.New(t)
	a, b := ownFeed(3, 20), ownFeed(3, 20)
	is.Equal(a, b)
	is.Equal(coupledRelay(3, 20), coupledRelay(3, 20))
	is.True(len(a.others) == changes*19) // every host but the slow one, every change
}

func TestSlowLinkHoldsUpNobodyButItself(t *testing.T) {
	is := is.New(t)
	own, coupled := ownFeed(1, 12), coupledRelay(1, 12)
	is.True(quantile(own.others, 1) < 1)
	is.True(quantile(own.slow, 1) > 2) // one chunk over it takes this long: the link was slow
	is.True(quantile(coupled.others, 1) > 4)
}
