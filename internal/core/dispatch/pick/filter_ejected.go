package pick

import "slices"

// NotEjected drops upstreams that are ejected for their health. The code
// that builds the candidates must bound the fraction of a pool that is ejected at
// the same time.
type NotEjected struct{}

// Name implements Filter.
func (NotEjected) Name() string { return "all_suspect" }

// Keep implements Filter.
func (NotEjected) Keep(_ *Request, all []Candidate) []Candidate {
	return slices.DeleteFunc(all, func(c Candidate) bool { return c.Ejected })
}
