package node

import "time"

// Status are the main state values of a node, for the gauges.
type Status struct {
	Ready             bool
	InFlight          int           // requests not completed
	Members           int           // members in force
	View              uint64        // version of the membership in force
	LowestAppliedView uint64        // lowest view that a live host may act under
	LeaseValid        bool          // the lease is valid
	StoreOutage       bool          // the object API does not answer
	CutOff            bool          // requests with keys are refused
	Configuration     uint64        // version in force, 0: none
	ConfigurationAge  time.Duration // time since this version was known to be the newest
	OwnedUpstreams    int           // upstreams that this host owns and polls
	RequestsByLoan    uint64        // requests granted by a loan of tokens
	RequestsGranted   uint64        // requests within their workspace's limit
	RequestsLimited   uint64        // requests refused by their workspace's limit
}

// Status returns the current values.
func (n *Node) Status() Status {
	ready, _ := n.Ready()
	v := Status{
		Ready:             ready,
		InFlight:          n.InFlight(),
		Members:           len(n.lease.Members()),
		View:              n.lease.View(),
		LowestAppliedView: n.lease.LowestAppliedView(),
		LeaseValid:        n.lease.HasLease(n.now),
		StoreOutage:       n.lease.StoreOutage(n.now),
		CutOff:            n.feed.CutOff(n.now),
		Configuration:     n.configVersion(),
		OwnedUpstreams:    len(n.placement.OwnedUpstreams()),
	}
	if asOf, ok := n.feed.FreshAsOf(); ok {
		v.ConfigurationAge = n.now.Sub(asOf)
	}
	s := n.limit.Stats()
	v.RequestsGranted, v.RequestsLimited, v.RequestsByLoan = s.Granted, s.Refused, s.Borrowed
	return v
}
