package node

import "time"

// Vitals are the main state values of a node, for the gauges.
type Vitals struct {
	Ready         bool
	InFlight      int           // requests not completed
	Members       int           // members in force
	View          uint64        // version of the membership in force
	Settled       uint64        // lowest view that a live host may act under
	Holding       bool          // the lease is valid
	Outage        bool          // the object API does not answer
	CutOff        bool          // requests with keys are refused
	Configuration uint64        // version in force, 0: none
	Fresh         time.Duration // time since this version was known to be the newest
	Owned         int           // upstreams that this host owns and polls
	Loans         uint64        // requests granted by a loan of tokens
	Granted       uint64        // requests within their workspace's limit
	Limited       uint64        // requests refused by their workspace's limit
}

// Vitals returns the current values.
func (n *Node) Vitals() Vitals {
	ready, _ := n.Ready()
	v := Vitals{
		Ready:         ready,
		InFlight:      n.InFlight(),
		Members:       len(n.lease.Members()),
		View:          n.lease.View(),
		Settled:       n.lease.LowestAppliedView(),
		Holding:       n.lease.HasLease(n.now),
		Outage:        n.lease.StoreOutage(n.now),
		CutOff:        n.feed.CutOff(n.now),
		Configuration: n.configVersion(),
		Owned:         len(n.placement.OwnedUpstreams()),
	}
	if asOf, ok := n.feed.FreshAsOf(); ok {
		v.Fresh = n.now.Sub(asOf)
	}
	s := n.limit.Stats()
	v.Granted, v.Limited, v.Loans = s.Granted, s.Refused, s.Borrowed
	return v
}
