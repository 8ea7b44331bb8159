package pick

import "slices"

// NotSuspect drops upstreams that fail probes or requests, but only while at
// least half of the candidates are left: a bad probe must not empty the set.
type NotSuspect struct{}

// Name implements Filter.
func (NotSuspect) Name() string { return "all suspect" }

// Keep implements Filter.
func (NotSuspect) Keep(_ *Request, all []Candidate) []Candidate {
	suspect := 0
	for i := range all {
		if all[i].Suspect {
			suspect++
		}
	}
	if suspect*2 > len(all) {
		return all
	}
	return slices.DeleteFunc(all, func(c Candidate) bool { return c.Suspect })
}
