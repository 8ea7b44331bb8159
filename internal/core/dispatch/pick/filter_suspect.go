package pick

import "slices"

// NotSuspect drops upstreams that are ejected for their health. The code
// that builds the candidates must bound the fraction of a pool that is ejected at
// once.
type NotSuspect struct{}

// Name implements Filter.
func (NotSuspect) Name() string { return "all_suspect" }

// Keep implements Filter.
func (NotSuspect) Keep(_ *Request, all []Candidate) []Candidate {
	return slices.DeleteFunc(all, func(c Candidate) bool { return c.Suspect })
}
