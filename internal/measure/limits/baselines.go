package limits

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/limit"
)

// key names one workspace's part at one slot.
type key struct {
	slot int
	ws   core.WorkspaceID
}

// static splits each limit equally over the slots, for good.
type static struct {
	w       *World
	buckets map[key]*limit.Single
	marks   map[core.RequestID]uint64
}

func newStatic(w *World) Policy {
	s := &static{w: w, buckets: make(map[key]*limit.Single), marks: make(map[core.RequestID]uint64)}
	n := core.Tokens(w.Trace.Hosts)
	for _, t := range w.Trace.Tenants {
		for i := range w.Trace.Hosts {
			s.buckets[key{i, t.Limit.Workspace}] = limit.NewSingle(0, t.Limit.Rate/n, t.Limit.Burst/n)
		}
	}
	return s
}

func (s *static) Reserve(slot int, a Arrival, decide func(bool)) {
	mark, ok := s.buckets[key{slot, a.Workspace}].Take(s.w.Loop.Now, a.Tokens)
	if ok {
		s.marks[a.ID] = mark
	}
	decide(ok)
}

func (s *static) Settle(slot int, a Arrival) {
	mark, ok := s.marks[a.ID]
	if ok && s.w.Alive[slot] {
		s.buckets[key{slot, a.Workspace}].Settle(s.w.Loop.Now, mark, a.Tokens-a.Used)
	}
	delete(s.marks, a.ID)
}

func (s *static) Fault(f Fault) {
	if f.Kind != "replace" {
		return
	}
	n := core.Tokens(s.w.Trace.Hosts)
	for _, t := range s.w.Trace.Tenants { // a fresh host starts empty
		s.buckets[key{f.Slot, t.Limit.Workspace}] = limit.NewEmptySingle(s.w.Loop.Now, t.Limit.Rate/n, t.Limit.Burst/n)
	}
}

func (s *static) Messages() uint64 { return 0 }

// short is one owner a workspace that grants leases on tokens, one request at
// a time. A new owner knows nothing and starts empty once the old one's lease
// has ended; without the store there is no owner.
type short struct {
	w     *World
	parts map[core.WorkspaceID]*ownedPart
	marks map[core.RequestID]loaned
}

// ownedPart is a workspace's bucket at its owner.
type ownedPart struct {
	limit  limit.Limit
	owner  int
	bucket *limit.Single
	ready  core.Instant // an owner acts from then on
	term   int
}

// loaned is what a reservation needs to be settled.
type loaned struct {
	mark uint64
	term int
}

// askBound is how long a request waits for the owner.
const askBound = 100 * time.Millisecond

func newShort(w *World) Policy {
	s := &short{w: w, parts: make(map[core.WorkspaceID]*ownedPart), marks: make(map[core.RequestID]loaned)}
	for i, t := range w.Trace.Tenants {
		s.parts[t.Limit.Workspace] = &ownedPart{
			limit: t.Limit, owner: i % w.Trace.Hosts, bucket: limit.NewSingle(0, t.Limit.Rate, t.Limit.Burst),
		}
	}
	return s
}

func (s *short) Reserve(slot int, a Arrival, decide func(bool)) {
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
		mark, ok := p.bucket.Take(s.w.Loop.Now, a.Tokens)
		if ok {
			s.marks[a.ID] = loaned{mark, p.term}
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
	s.w.Links.Carry("", "", func() {
		answer(func(ok bool) { s.w.Links.Carry("", "", func() { once(ok) }) })
	})
	s.w.Loop.After(askBound, func() { once(false) })
}

func (s *short) Settle(slot int, a Arrival) {
	p := s.parts[a.Workspace]
	back := func() {
		l, ok := s.marks[a.ID]
		if ok && l.term == p.term {
			p.bucket.Settle(s.w.Loop.Now, l.mark, a.Tokens-a.Used)
		}
		delete(s.marks, a.ID)
	}
	if slot == p.owner {
		back()
		return
	}
	s.w.Links.Carry("", "", back)
}

func (s *short) Fault(f Fault) {
	for _, t := range s.w.Trace.Tenants {
		p := s.parts[t.Limit.Workspace]
		switch f.Kind {
		case "lose":
			if f.Of == p.limit.Workspace {
				s.w.Alive[p.owner] = false
			}
			if !s.w.Alive[p.owner] {
				s.move(p)
			}
		case "store down":
			p.ready = s.w.Loop.Now.Add(time.Hour) // its lease ends within the term
		case "store up":
			p.ready = s.w.Loop.Now.Add(leaseRenew)
		}
	}
}

// move makes the next live slot the owner, empty, after the old lease.
func (s *short) move(p *ownedPart) {
	p.owner = s.w.slot(p.owner)
	p.ready = s.w.Loop.Now.Add(leaseTerm + leaseWait)
	p.term++
	p.bucket = limit.NewEmptySingle(p.ready, p.limit.Rate, p.limit.Burst)
}

func (s *short) Messages() uint64 { return s.w.Links.Sent }

// peers are equal standing shares; a host that runs dry asks two others, one
// after the other, to move tokens over. A dead host's share is forgone for the
// horizon, since nobody can tell a dead host from one that goes on.
type peers struct {
	static
	gone map[int]core.Instant // slots whose share a replacement may not use yet
}

func newPeers(w *World) Policy {
	return &peers{static: *newStatic(w).(*static), gone: make(map[int]core.Instant)}
}

func (p *peers) Reserve(slot int, a Arrival, decide func(bool)) {
	if until, ok := p.gone[slot]; ok && p.w.Loop.Now < until {
		p.ask(slot, a, 2, decide)
		return
	}
	p.static.Reserve(slot, a, func(ok bool) {
		if ok {
			decide(true)
			return
		}
		p.ask(slot, a, 2, decide)
	})
}

// ask moves what is missing from another slot, debited first.
func (p *peers) ask(slot int, a Arrival, tries int, decide func(bool)) {
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
	p.w.Links.Carry("", "", func() {
		from := p.buckets[key{other, a.Workspace}]
		if _, dead := p.gone[other]; dead || !p.w.Alive[other] || other == slot {
			return
		}
		n := from.Move(p.w.Loop.Now, a.Tokens)
		p.w.Links.Carry("", "", func() {
			if done || n < a.Tokens || !p.w.Alive[slot] {
				from.Add(p.w.Loop.Now, n) // refused or late: back to where it came from
				once(func() { p.ask(slot, a, tries-1, decide) })()
				return
			}
			p.spend(slot, a, n, from, decide)
			done = true
		})
	})
	p.w.Loop.After(askBound/4, once(func() { p.ask(slot, a, tries-1, decide) }))
}

// spend charges moved tokens; the burst they came with goes back without them.
func (p *peers) spend(_ int, _ Arrival, n core.Tokens, from *limit.Single, decide func(bool)) {
	from.AddBurst(p.w.Loop.Now, n)
	decide(true)
}

func (p *peers) Fault(f Fault) {
	switch f.Kind {
	case "lose":
		slot := f.Slot
		if f.Of != "" {
			slot = 0
			p.w.Alive[slot] = false
		}
		p.gone[slot] = p.w.Loop.Now.Add(limit.DefaultOutageHorizon)
	case "replace":
		p.static.Fault(f)
	}
}

func (p *peers) Messages() uint64 { return p.w.Links.Sent }
