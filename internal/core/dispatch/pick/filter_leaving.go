package pick

import "slices"

// NotLeaving drops upstreams that accept no new work.
type NotLeaving struct{}

// Name implements Filter.
func (NotLeaving) Name() string { return "all_leaving" }

// Keep implements Filter.
func (NotLeaving) Keep(_ *Request, all []Candidate) []Candidate {
	return slices.DeleteFunc(all, func(c Candidate) bool { return c.Leaving })
}
