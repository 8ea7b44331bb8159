package pick

import "slices"

// NotSuspect drops upstreams that are left out for their health. Whoever makes
// the candidates bounds how much of a pool may be left out at once.
type NotSuspect struct{}

// Name implements Filter.
func (NotSuspect) Name() string { return "all_suspect" }

// Keep implements Filter.
func (NotSuspect) Keep(_ *Request, all []Candidate) []Candidate {
	return slices.DeleteFunc(all, func(c Candidate) bool { return c.Suspect })
}
