package pick

import (
	"strconv"

	"gentiancroft/internal/core"
)

// maxPrefixOverload is the maximum occupancy of a prefix's upstream relative to
// the candidates' mean; one request more is allowed.
const maxPrefixOverload = 1.25

// prefixScoreKind separates prefix scores from other rendezvous hashes.
const prefixScoreKind = 0xf0

// prefixUpstream returns the candidate that all requests with the same prompt
// start prefer for its prefix cache; false if its load is over the bound.
func prefixUpstream(r *Request, all []Candidate) (int, bool) {
	if r.PrefixHash == 0 || len(all) < 2 {
		return 0, false
	}
	name := strconv.FormatUint(r.PrefixHash, 16)
	best, top, sum := 0, uint64(0), 0.0
	for i := range all {
		sum += all[i].occupancy()
		s := core.Score(core.HostID(all[i].Upstream), prefixScoreKind, name)
		if i == 0 || s > top {
			best, top = i, s
		}
	}
	slack := 1 / float64(max(all[best].Batch, 1))
	return best, all[best].occupancy() <= maxPrefixOverload*sum/float64(len(all))+slack
}
