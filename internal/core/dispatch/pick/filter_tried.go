package pick

import "slices"

// NotTried drops upstreams on which the request has failed.
type NotTried struct{}

// Name implements Filter.
func (NotTried) Name() string { return "all_tried" }

// Keep implements Filter.
func (NotTried) Keep(r *Request, all []Candidate) []Candidate {
	if len(r.Avoid) == 0 {
		return all
	}
	return slices.DeleteFunc(all, func(c Candidate) bool { return slices.Contains(r.Avoid, c.Upstream) })
}
