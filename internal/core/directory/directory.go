// Package directory decides which hosts a caller is told to use. It is one pure
// function of what a host knows: hosts that can't serve are filtered out, the
// workspace's homes are chosen by rendezvous hash, and the answer is ordered by
// nearness and load.
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
	// Keep is how long a caller may keep an answer. A leaving host serves on for
	// at least so long after it has left the directory.
	Keep = 10 * time.Second
	// KeepUnsure is the same where hosts are suspected, lag or overloaded.
	KeepUnsure = 3 * time.Second
	// MinHomes is the fewest hosts named while so many live.
	MinHomes = 2
	// MaxAddresses is the most addresses in one answer.
	MaxAddresses = 8
	// LoadFull is the load from which a host is named last.
	LoadFull = 0.9
)

// kindHome separates these rendezvous scores from those of shards.
const kindHome = 0xd1

// Input is all that an answer depends on.
type Input struct {
	Members   []core.Member               // the membership in force
	Regions   map[core.Domain]core.Region // of domains without members, where known
	Suspected []core.HostID               // silent, or unreachable
	Leaving   []string                    // addresses that the platform lists as leaving; it lags
	Load      map[core.HostID]float64     // share of a host's capacity in use; a host left out counts as idle
	Workspace core.WorkspaceID            // "" names no homes
	Share     float64                     // the workspace's part of all rates, 0 to 1
	Domain    core.Domain                 // the caller's, "" where not known
	Seed      uint64                      // spreads callers over hosts of one rank
}

// Answer is what a caller is told.
type Answer struct {
	Hosts     []core.HostID // best first
	Addresses []string      // of Hosts
	Keep      time.Duration // ask again after it
}

// Entries chooses the hosts for a caller. It names at least one while any
// member is known: a leaving or suspected host is better than none.
func Entries(in Input) Answer {
	live, unsure := usable(in)
	homes := chooseHomes(live, in)
	order(homes, in)
	answer := Answer{Keep: Keep}
	if unsure || overloaded(homes, in) {
		answer.Keep = KeepUnsure
	}
	for _, m := range homes[:min(len(homes), MaxAddresses)] {
		answer.Hosts = append(answer.Hosts, m.Host)
		answer.Addresses = append(answer.Addresses, m.Address)
	}
	return answer
}

// usable filters out what can't serve a new caller. Where that leaves nobody,
// it lets suspected hosts back in, then leaving ones.
func usable(in Input) (live []core.Member, unsure bool) {
	leaving := func(m core.Member) bool { return m.Leaving || slices.Contains(in.Leaving, m.Address) }
	suspected := func(m core.Member) bool { return slices.Contains(in.Suspected, m.Host) }
	for _, m := range in.Members {
		if !leaving(m) && !suspected(m) {
			live = append(live, m)
		}
	}
	if len(live) > 0 {
		return live, len(in.Suspected) > 0
	}
	for _, m := range in.Members {
		if !leaving(m) {
			live = append(live, m)
		}
	}
	if len(live) == 0 {
		live = slices.Clone(in.Members)
	}
	return live, true
}

// Homes is how many of n hosts a workspace with a share of all rates is spread
// over: enough that a host carries at most its even part, and never so many
// that the workspace's own share on each becomes thin.
func Homes(n int, share float64) int {
	const spare = 2 // times the even part, for callers that come unevenly
	homes := int(math.Ceil(share * spare * float64(n)))
	return min(max(homes, MinHomes), n)
}

// chooseHomes picks a workspace's homes by rendezvous hash over failure domains
// in turn: a membership change moves only the homes that it touches, and losing
// a failure domain leaves the others.
func chooseHomes(live []core.Member, in Input) []core.Member {
	if in.Workspace == "" {
		return slices.Clone(live)
	}
	ranked := slices.Clone(live)
	slices.SortFunc(ranked, func(a, b core.Member) int {
		sa := core.Score(a.Host, kindHome, string(in.Workspace))
		sb := core.Score(b.Host, kindHome, string(in.Workspace))
		return cmp.Or(cmp.Compare(sb, sa), cmp.Compare(a.Host, b.Host))
	})
	want := Homes(len(ranked), in.Share)
	homes := make([]core.Member, 0, want)
	for round := 0; len(homes) < want; round++ {
		taken := map[core.Domain]int{}
		for _, m := range ranked {
			if taken[m.Domain] == round && len(homes) < want {
				homes = append(homes, m)
			}
			taken[m.Domain]++
		}
	}
	return homes
}

// order puts near, unloaded hosts first and rotates callers over equals.
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
	const callers = 0xd2
	draw := core.NewRand(in.Seed).Uint64()
	slices.SortFunc(homes, func(a, b core.Member) int {
		fullA, fullB := in.Load[a.Host] >= LoadFull, in.Load[b.Host] >= LoadFull
		if fullA != fullB {
			if fullB {
				return -1
			}
			return 1
		}
		return cmp.Or(
			cmp.Compare(distance(a), distance(b)),
			cmp.Compare(weight(a, in, draw, callers), weight(b, in, draw, callers)),
			cmp.Compare(a.Host, b.Host),
		)
	})
}

// weight is a draw per caller and host, longer for a loaded host, so that
// callers spread in proportion to the capacity that is free.
func weight(m core.Member, in Input, draw uint64, kind uint8) float64 {
	const tiny = 0.02 // of capacity; a full host is still drawn now and then
	free := max(1-in.Load[m.Host], tiny)
	var name [8]byte
	for i := range name {
		name[i] = byte(draw >> (8 * i))
	}
	score := core.Score(m.Host, kind, string(name[:]))
	u := (float64(score>>11) + 1) / (1 << 53)
	return -math.Log(u) / free
}

func overloaded(homes []core.Member, in Input) bool {
	for _, m := range homes {
		if in.Load[m.Host] >= LoadFull {
			return true
		}
	}
	return false
}
