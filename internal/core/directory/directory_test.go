package directory

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentiancroft/internal/core"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func fleet(n, domains int) []core.Member {
	var members []core.Member
	for i := range n {
		d := fmt.Sprintf("d%d", i%domains)
		members = append(members, core.Member{
			Host: core.HostID(fmt.Sprintf("h%03d", i)), Address: fmt.Sprintf("10.0.0.%d:80", i),
			Domain: core.Domain(d), Region: core.Region(fmt.Sprintf("r%d", i%domains/3)),
		})
	}
	return members
}

func TestAnswerIsNeverEmptyAndPrefersUsableHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := Input{Members: fleet(rapid.IntRange(1, 20).Draw(t, "n"), 4), Workspace: "w", Seed: rapid.Uint64().Draw(t, "seed")}
		in.RateShare = rapid.Float64Range(0, 1).Draw(t, "share")
		in.Load = map[core.HostID]float64{}
		good := 0
		for i := range in.Members {
			m := &in.Members[i]
			m.Leaving = rapid.Bool().Draw(t, "leaving")
			suspected, listed := rapid.Bool().Draw(t, "suspected"), rapid.Bool().Draw(t, "listed")
			if suspected {
				in.Suspected = append(in.Suspected, m.Host)
			}
			if listed {
				in.Leaving = append(in.Leaving, m.Address)
			}
			if !m.Leaving && !suspected && !listed {
				good++
			}
			in.Load[m.Host] = rapid.Float64Range(0, 2).Draw(t, "load")
		}
		a := Entries(in)
		if len(a.Hosts) == 0 || len(a.Hosts) != len(a.Addresses) || a.TTL <= 0 {
			t.Fatalf("empty answer %+v", a)
		}
		for _, h := range a.Hosts {
			i := slices.IndexFunc(in.Members, func(m core.Member) bool { return m.Host == h })
			m := in.Members[i]
			hidden := m.Leaving || slices.Contains(in.Suspected, h) || slices.Contains(in.Leaving, m.Address)
			if good > 0 && hidden {
				t.Fatalf("named %s although %d better hosts live", h, good)
			}
		}
	})
}

func TestHomesFollowShareAndAreStable(t *testing.T) {
	is := is.New(t)
	in := Input{Members: fleet(350, 8), Workspace: "small", RateShare: 0.001}
	before := chooseHomes(in.Members, in)
	is.Equal(len(before), MinHomes)
	is.True(before[0].Domain != before[1].Domain)
	in.RateShare = 0.2
	is.Equal(len(chooseHomes(in.Members, in)), 140)
	in.RateShare = 0.02
	before = chooseHomes(in.Members, in)
	i := slices.IndexFunc(in.Members, func(m core.Member) bool { return m.Host == before[3].Host })
	in.Members = slices.Delete(in.Members, i, i+1)
	after := chooseHomes(in.Members, in)
	moved := 0
	for _, m := range before {
		if !slices.Contains(after, m) {
			moved++
		}
	}
	is.Equal(moved, 1) // only the removed home
}

func TestCallersSpreadByFreeCapacityAndNearness(t *testing.T) {
	is := is.New(t)
	in := Input{Members: fleet(4, 1), Load: map[core.HostID]float64{"h000": 0.5, "h003": 1.2}}
	first := map[core.HostID]int{}
	const callers = 4000
	for seed := range uint64(callers) {
		in.Seed = seed
		a := Entries(in)
		first[a.Hosts[0]]++
		is.Equal(a.Hosts[3], core.HostID("h003")) // the saturated host comes last
	}
	is.Equal(first["h003"], 0)
	is.True(math.Abs(float64(first["h000"])/callers-0.2) < 0.03) // it has half the free capacity of the other two
	in = Input{Members: fleet(12, 6), Domain: "d4"}
	a := Entries(in)
	is.Equal(a.Hosts[0] == "h004" || a.Hosts[0] == "h010", true)
	for _, h := range a.Hosts[:6] {
		is.True(slices.ContainsFunc(in.Members, func(m core.Member) bool { return m.Host == h && m.Region == "r1" }))
	}
}
