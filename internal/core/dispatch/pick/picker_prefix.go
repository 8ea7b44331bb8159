package pick

import (
	"strconv"

	"gentiancroft/internal/core"
)

// prefixLoadBound is how far above the candidates' mean occupancy the home of
// a prefix may be.
const prefixLoadBound = 1.25

// rendezvousPrefix keeps prefix scores apart from other rendezvous hashes.
const rendezvousPrefix = 0xf0

// prefixHome returns the candidate on which requests with the same prompt head
// meet, unless its load is out of bounds.
func prefixHome(r *Request, all []Candidate) (int, bool) {
	if r.Prefix == 0 || len(all) < 2 {
		return 0, false
	}
	name := strconv.FormatUint(r.Prefix, 16)
	best, top, sum := 0, uint64(0), 0.0
	for i := range all {
		sum += all[i].occupancy()
		s := core.Score(core.HostID(all[i].Upstream), rendezvousPrefix, name)
		if i == 0 || s > top {
			best, top = i, s
		}
	}
	slack := 1 / float64(max(all[best].Batch, 1))
	return best, all[best].occupancy() <= prefixLoadBound*sum/float64(len(all))+slack
}
