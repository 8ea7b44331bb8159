package limits

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/limit"
)

// key identifies the bucket of a workspace at a slot.
type key struct {
	slot int
	ws   core.WorkspaceID
}

// staticSplit splits each limit into fixed, equal shares of the slots.
type staticSplit struct {
	w       *World
	buckets map[key]*limit.Single
	marks   map[core.RequestID]uint64
}

func newStatic(w *World) Policy {
	s := &staticSplit{w: w, buckets: make(map[key]*limit.Single), marks: make(map[core.RequestID]uint64)}
	n := core.Tokens(w.Trace.Hosts)
	for _, t := range w.Trace.Tenants {
		for i := range w.Trace.Hosts {
			s.buckets[key{i, t.Limit.Workspace}] = limit.NewSingle(0, t.Limit.Rate/n, t.Limit.Burst/n)
		}
	}
	return s
}

func (s *staticSplit) Reserve(slot int, a Arrival, decide func(bool)) {
	mark, ok := s.buckets[key{slot, a.Workspace}].Take(s.w.Loop.Now, a.ReservedTokens)
	if ok {
		s.marks[a.ID] = mark
	}
	decide(ok)
}

func (s *staticSplit) Settle(slot int, a Arrival) {
	mark, ok := s.marks[a.ID]
	if ok && s.w.Alive[slot] {
		s.buckets[key{slot, a.Workspace}].Settle(s.w.Loop.Now, mark, a.ReservedTokens-a.UsedTokens)
	}
	delete(s.marks, a.ID)
}

func (s *staticSplit) Fault(f Fault) {
	if f.Kind != "replace" {
		return
	}
	n := core.Tokens(s.w.Trace.Hosts)
	for _, t := range s.w.Trace.Tenants { // a new host starts empty
		s.buckets[key{f.Slot, t.Limit.Workspace}] = limit.NewEmptySingle(s.w.Loop.Now, t.Limit.Rate/n, t.Limit.Burst/n)
	}
}

func (s *staticSplit) MessagesSent() uint64 { return 0 }

// singleOwner has one owner per workspace, which every host asks for each
// request. A new owner has no state and starts with an empty bucket once the
// old one's lease has expired. While the store is down there is no owner.
type singleOwner struct {
	w     *World
	parts map[core.WorkspaceID]*ownerBucket
	marks map[core.RequestID]reservation
}

// ownerBucket is the bucket of a workspace at its owner.
type ownerBucket struct {
	limit  limit.Limit
	owner  int
	bucket *limit.Single
	ready  core.Instant // time from which the owner acts
	term   int          // number of the owner
}

// reservation is a reservation, as its settlement needs it.
type reservation struct {
	mark uint64
	term int
}

// answerTimeout is the maximum wait for the owner's answer.
const answerTimeout = 100 * time.Millisecond

func newShort(w *World) Policy {
	s := &singleOwner{w: w, parts: make(map[core.WorkspaceID]*ownerBucket), marks: make(map[core.RequestID]reservation)}
	for i, t := range w.Trace.Tenants {
		s.parts[t.Limit.Workspace] = &ownerBucket{
			limit: t.Limit, owner: i % w.Trace.Hosts, bucket: limit.NewSingle(0, t.Limit.Rate, t.Limit.Burst),
		}
	}
	return s
}

func (s *singleOwner) Reserve(slot int, a Arrival, decide func(bool)) {
	p := s.parts[a.Workspace]
	done := false
	once := func(ok bool) {
		if !done {
			done = true
			decide(ok)
		}
	}
	answer := func(back func(bool)) {
		if !s.w.Alive[p.owner] || s.w.Loop.Now < p.ready {
			return
		}
		mark, ok := p.bucket.Take(s.w.Loop.Now, a.ReservedTokens)
		if ok {
			s.marks[a.ID] = reservation{mark, p.term}
		}
		back(ok)
	}
	if slot == p.owner {
		answer(once)
		if !done {
			once(false)
		}
		return
	}
	s.w.Links.Deliver("", "", func() {
		answer(func(ok bool) { s.w.Links.Deliver("", "", func() { once(ok) }) })
	})
	s.w.Loop.After(answerTimeout, func() { once(false) })
}

func (s *singleOwner) Settle(slot int, a Arrival) {
	p := s.parts[a.Workspace]
	back := func() {
		l, ok := s.marks[a.ID]
		if ok && l.term == p.term {
			p.bucket.Settle(s.w.Loop.Now, l.mark, a.ReservedTokens-a.UsedTokens)
		}
		delete(s.marks, a.ID)
	}
	if slot == p.owner {
		back()
		return
	}
	s.w.Links.Deliver("", "", back)
}

func (s *singleOwner) Fault(f Fault) {
	for _, t := range s.w.Trace.Tenants {
		p := s.parts[t.Limit.Workspace]
		switch f.Kind {
		case "lose":
			if f.OwnerOf == p.limit.Workspace {
				s.w.Alive[p.owner] = false
			}
			if !s.w.Alive[p.owner] {
				s.changeOwner(p)
			}
		case "store down":
			p.ready = s.w.Loop.Now.Add(time.Hour) // no owner until the store is back
		case "store up":
			p.ready = s.w.Loop.Now.Add(leaseRenewInterval)
		}
	}
}

// changeOwner makes the next live slot the owner, with an empty bucket, once
// the old lease has expired.
func (s *singleOwner) changeOwner(p *ownerBucket) {
	p.owner = s.w.liveSlot(p.owner)
	p.ready = s.w.Loop.Now.Add(leaseTerm + membershipGrace)
	p.term++
	p.bucket = limit.NewEmptySingle(p.ready, p.limit.Rate, p.limit.Burst)
}

func (s *singleOwner) MessagesSent() uint64 { return s.w.Links.MessagesSent }

// peerTransfers splits each limit into equal shares. A host whose share is
// exhausted asks two others, one after the other, to transfer tokens. A dead
// host's share stays unused for the horizon: the others can't tell a dead host
// from one that is cut off and still grants.
type peerTransfers struct {
	staticSplit
	unusedUntil map[int]core.Instant // end of the time in which a slot's share is not used
}

func newPeers(w *World) Policy {
	return &peerTransfers{staticSplit: *newStatic(w).(*staticSplit), unusedUntil: make(map[int]core.Instant)}
}

func (p *peerTransfers) Reserve(slot int, a Arrival, decide func(bool)) {
	if until, ok := p.unusedUntil[slot]; ok && p.w.Loop.Now < until {
		p.transfer(slot, a, 2, decide)
		return
	}
	p.staticSplit.Reserve(slot, a, func(ok bool) {
		if ok {
			decide(true)
			return
		}
		p.transfer(slot, a, 2, decide)
	})
}

// transfer transfers a request's tokens from a random other slot, which debits
// them first.
func (p *peerTransfers) transfer(slot int, a Arrival, tries int, decide func(bool)) {
	if tries == 0 {
		decide(false)
		return
	}
	other := p.w.Loop.Rand.IntN(p.w.Trace.Hosts)
	done := false
	once := func(f func()) func() {
		return func() {
			if !done {
				done = true
				f()
			}
		}
	}
	p.w.Links.Deliver("", "", func() {
		from := p.buckets[key{other, a.Workspace}]
		if _, dead := p.unusedUntil[other]; dead || !p.w.Alive[other] || other == slot {
			return
		}
		moved := from.Move(p.w.Loop.Now, a.ReservedTokens)
		p.w.Links.Deliver("", "", func() {
			if done || moved < a.ReservedTokens || !p.w.Alive[slot] {
				from.Add(p.w.Loop.Now, moved) // refused or too late: returned to its slot
				once(func() { p.transfer(slot, a, tries-1, decide) })()
				return
			}
			p.charge(slot, a, moved, from, decide)
			done = true
		})
	})
	p.w.Loop.After(answerTimeout/4, once(func() { p.transfer(slot, a, tries-1, decide) }))
}

// charge charges transferred tokens; their part of the burst goes back to the
// slot that sent them.
func (p *peerTransfers) charge(_ int, _ Arrival, n core.Tokens, from *limit.Single, decide func(bool)) {
	from.AddBurst(p.w.Loop.Now, n)
	decide(true)
}

func (p *peerTransfers) Fault(f Fault) {
	switch f.Kind {
	case "lose":
		slot := f.Slot
		if f.OwnerOf != "" {
			slot = 0
			p.w.Alive[slot] = false
		}
		p.unusedUntil[slot] = p.w.Loop.Now.Add(limit.DefaultOutageHorizon)
	case "replace":
		p.staticSplit.Fault(f)
	}
}

func (p *peerTransfers) MessagesSent() uint64 { return p.w.Links.MessagesSent }
