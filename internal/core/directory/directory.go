// Package directory decides which hosts a caller should use. From the membership, the
// hosts' states and loads, and the caller's workspace and failure domain it filters out
// hosts that can't serve, chooses the workspace's home hosts by rendezvous hash, and
// orders them by distance and load. Collecting the inputs is left to the caller.
package directory

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gentiancroft/internal/core"
)

// Bounds of an answer.
const (
	// AnswerTTL is how long a caller may cache an answer. A leaving host continues to
	// serve for at least this long after it has left the directory.
	AnswerTTL = 10 * time.Second
	// DegradedAnswerTTL is the same if hosts are suspected or a home is overloaded.
	DegradedAnswerTTL = 3 * time.Second
	// MinHomes is the minimum of homes of a workspace, if that many hosts are usable.
	MinHomes = 2
	// MaxAddresses is the maximum of addresses in an answer.
	MaxAddresses = 8
	// SaturatedLoad is the utilization, as a fraction of capacity, from which a host is
	// ordered last.
	SaturatedLoad = 0.9
)

// homeScoreKind separates these rendezvous scores from other uses.
const homeScoreKind = 0xd1

// Input is all that an answer depends on.
type Input struct {
	Members   []core.Member               // the current membership
	Regions   map[core.Domain]core.Region // of domains without members, where known
	Suspected []core.HostID               // unresponsive or unreachable
	Leaving   []string                    // addresses that the platform lists as leaving; may be outdated
	Load      map[core.HostID]float64     // fraction of a host's capacity in use; 0 for hosts that are missing
	Workspace core.WorkspaceID            // "": all usable hosts are homes
	RateShare float64                     // the workspace's rate as a fraction of all rates, 0 to 1
	Domain    core.Domain                 // of the caller, "" if unknown
	Seed      uint64                      // spreads callers over hosts of equal distance
}

// Answer is the list of hosts for a caller.
type Answer struct {
	Hosts     []core.HostID // best first
	Addresses []string      // of Hosts
	TTL       time.Duration // how long the caller may cache the answer
}

// Entries chooses the hosts for a caller, at least one if there is any member: a
// leaving or suspected host is better than none.
func Entries(in Input) Answer {
	usable, unsure := usableMembers(in)
	homes := chooseHomes(usable, in)
	order(homes, in)
	answer := Answer{TTL: AnswerTTL}
	if unsure || overloaded(homes, in) {
		answer.TTL = DegradedAnswerTTL
	}
	for _, m := range homes[:min(len(homes), MaxAddresses)] {
		answer.Hosts = append(answer.Hosts, m.Host)
		answer.Addresses = append(answer.Addresses, m.Address)
	}
	return answer
}

// usableMembers returns the members that can serve a new caller. If there are none, it
// falls back to suspected hosts, then to leaving ones. Unsure is true if any host is
// suspected or a fallback was used.
func usableMembers(in Input) (usable []core.Member, unsure bool) {
	leaving := func(m core.Member) bool { return m.Leaving || slices.Contains(in.Leaving, m.Address) }
	suspected := func(m core.Member) bool { return slices.Contains(in.Suspected, m.Host) }
	for _, m := range in.Members {
		if !leaving(m) && !suspected(m) {
			usable = append(usable, m)
		}
	}
	if len(usable) > 0 {
		return usable, len(in.Suspected) > 0
	}
	for _, m := range in.Members {
		if !leaving(m) {
			usable = append(usable, m)
		}
	}
	if len(usable) == 0 {
		usable = slices.Clone(in.Members)
	}
	return usable, true
}

// HomeCount is the number of n hosts that a workspace with a share of all rates is spread
// over: twice its even share, but at least MinHomes and at most n. More would leave too
// little of the workspace's rate on each host.
func HomeCount(n int, share float64) int {
	const spare = 2 // times the even share, for callers that arrive unevenly
	homes := int(math.Ceil(share * spare * float64(n)))
	return min(max(homes, MinHomes), n)
}

// chooseHomes chooses a workspace's homes by rendezvous hash, taking failure domains in
// turn. A membership change moves only the affected homes, and the loss of a failure
// domain leaves homes in the others.
func chooseHomes(usable []core.Member, in Input) []core.Member {
	if in.Workspace == "" {
		return slices.Clone(usable)
	}
	ranked := slices.Clone(usable)
	slices.SortFunc(ranked, func(a, b core.Member) int {
		sa := core.Score(a.Host, homeScoreKind, string(in.Workspace))
		sb := core.Score(b.Host, homeScoreKind, string(in.Workspace))
		return cmp.Or(cmp.Compare(sb, sa), cmp.Compare(a.Host, b.Host))
	})
	count := HomeCount(len(ranked), in.RateShare)
	homes := make([]core.Member, 0, count)
	for round := 0; len(homes) < count; round++ {
		perDomain := map[core.Domain]int{}
		for _, m := range ranked {
			if perDomain[m.Domain] == round && len(homes) < count {
				homes = append(homes, m)
			}
			perDomain[m.Domain]++
		}
	}
	return homes
}

// order sorts saturated hosts last, then by distance, and spreads callers over hosts of
// equal distance by free capacity.
func order(homes []core.Member, in Input) {
	const (
		sameDomain = iota
		sameRegion
		elsewhere
	)
	region, known := in.Regions[in.Domain]
	for _, m := range in.Members {
		if m.Domain == in.Domain {
			region, known = m.Region, true
		}
	}
	distance := func(m core.Member) int {
		switch {
		case in.Domain == "" || !known:
			return sameDomain
		case m.Domain == in.Domain:
			return sameDomain
		case m.Region == region:
			return sameRegion
		}
		return elsewhere
	}
	const callerScoreKind = 0xd2
	draw := core.NewRand(in.Seed).Uint64()
	slices.SortFunc(homes, func(a, b core.Member) int {
		saturatedA, saturatedB := in.Load[a.Host] >= SaturatedLoad, in.Load[b.Host] >= SaturatedLoad
		if saturatedA != saturatedB {
			if saturatedB {
				return -1
			}
			return 1
		}
		return cmp.Or(
			cmp.Compare(distance(a), distance(b)),
			cmp.Compare(weight(a, in, draw, callerScoreKind), weight(b, in, draw, callerScoreKind)),
			cmp.Compare(a.Host, b.Host),
		)
	})
}

// weight is an exponentially distributed number per caller and host, with a larger mean
// for a loaded host, so that the smallest one spreads callers in proportion to the
// free capacity.
func weight(m core.Member, in Input, draw uint64, kind uint8) float64 {
	const minFree = 0.02 // of capacity; saturated hosts are still chosen sometimes
	free := max(1-in.Load[m.Host], minFree)
	var name [8]byte
	for i := range name {
		name[i] = byte(draw >> (8 * i))
	}
	score := core.Score(m.Host, kind, string(name[:]))
	u := (float64(score>>11) + 1) / (1 << 53)
	return -math.Log(u) / free
}

// overloaded reports whether any home is saturated.
func overloaded(homes []core.Member, in Input) bool {
	for _, m := range homes {
		if in.Load[m.Host] >= SaturatedLoad {
			return true
		}
	}
	return false
}
