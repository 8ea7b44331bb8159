package pick

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
)

func pool(loads ...int) []Candidate {
	var all []Candidate
	for i, l := range loads {
		all = append(all, Candidate{Upstream: core.UpstreamID(fmt.Sprintf("u%d", i)), Load: l, Batch: 10, SlowStartWeight: 1})
	}
	return all
}

func TestReasonNamesTheFilterThatLeftNothing(t *testing.T) {
	is := is.New(t)
	rng := core.NewRand(1)
	all := pool(0)
	all[0].Leaving = true
	is.Equal(Default().Choose(&Request{}, all, rng).Reason, "all_leaving")
	all = pool(0)
	all[0].Ejected = true
	is.Equal(Default().Choose(&Request{}, all, rng).Reason, "all_suspect")
	d := Default().Choose(&Request{Avoid: []core.UpstreamID{"u0"}}, pool(0), rng)
	is.True(!d.OK)
	is.Equal(d.Reason, "all_tried")
}

// TestStaleViewDoesNotOverloadOneUpstream has many hosts choose by the same stale
// view, in which one upstream looks idle.
func TestStaleViewDoesNotOverloadOneUpstream(t *testing.T) {
	is := is.New(t)
	rng := core.NewRand(1)
	chosen := map[core.UpstreamID]int{}
	const hosts, upstreams = 1000, 10
	for range hosts {
		chosen[Default().Choose(&Request{}, pool(0, 5, 5, 5, 5, 5, 5, 5, 5, 5), rng).Upstream]++
	}
	is.True(chosen["u0"] <= 2*hosts/upstreams+hosts/20) // two choices: at most twice its share
	is.Equal(len(chosen), upstreams)
}

func TestPrefixGoesToOneUpstreamUntilItIsLoaded(t *testing.T) {
	is := is.New(t)
	rng := core.NewRand(1)
	home := Default().Choose(&Request{PrefixHash: 7}, pool(1, 1, 1, 1), rng)
	is.Equal(home.Reason, "prefix")
	all := pool(1, 1, 1, 1)
	for i := range all {
		if all[i].Upstream == home.Upstream {
			all[i].Load = 9
		}
	}
	is.True(Default().Choose(&Request{PrefixHash: 7}, all, rng).Upstream != home.Upstream)
}

func TestSlowStartTakesLess(t *testing.T) {
	is := is.New(t)
	cold := Candidate{Load: 1, Batch: 10, SlowStartWeight: 0.1}
	warm := Candidate{Load: 2, Batch: 10, SlowStartWeight: 1}
	is.True(Occupancy{}.Score(nil, &warm) > Occupancy{}.Score(nil, &cold))
}
