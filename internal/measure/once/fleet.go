package once

import (
	"container/heap"
	"strconv"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/dispatch/suspect"
)

// policy is how a fleet bounds what a crashing request takes.
type policy int

const (
	untracked     policy = iota // every request is dispatched
	broadcastOnly               // deaths are told to all hosts; two deaths refuse
	claims                      // internal/core/dispatch/suspect
)

// Times of the fleet. Hosts are in three regions.
const (
	nearDelay  = 1500 * time.Microsecond // one way within a region
	farDelay   = 40 * time.Millisecond   // one way between regions
	crashAfter = 50 * time.Millisecond   // from dispatch to the death
	noticed    = 5 * time.Millisecond    // from the death to its entry hosts
	restart    = 20 * time.Second        // of an upstream
	workTime   = time.Second             // of an innocent request
	tickEvery  = 100 * time.Millisecond
	regions    = 3
	moves      = 4 // to an upstream that the home names
)

// event is something that happens at a time.
type event struct {
	at  core.Instant
	seq int
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// request is one request of a caller, with its repeats.
type request struct {
	id       core.RequestID
	print    uint64
	poison   bool
	entry    int
	upstream int
	repeats  int // how often its caller may still send it again
	moves    int
	done     bool
	refused  core.Code
	runs     int
}

// fleet is hosts and upstreams under virtual time.
type fleet struct {
	now       core.Instant
	rng       *core.Rand
	policy    policy
	queue     queue
	seq       int
	members   []core.Member
	machines  []*suspect.Machine
	silent    map[int]bool         // hosts that died, their lease still standing
	known     []map[uint64]int     // deaths that each host has heard of, under broadcastOnly
	upstreams int                  // how many
	down      map[int]core.Instant // until when
	running   map[int][]*request   // by upstream
	byID      map[core.RequestID]*request
	lost      map[uint64]int // upstreams taken, by fingerprint
	messages  int
	serial    int
}

// view is a host's view of the membership.
type view struct {
	core.Ownership
	f    *fleet
	self int
}

func (v view) Self() core.HostID      { return v.f.members[v.self].Host }
func (v view) Members() []core.Member { return v.f.members }

func newFleet(p policy, hosts, upstreams int, seed uint64) *fleet {
	f := &fleet{
		now:       core.Instant(time.Hour),
		rng:       core.NewRand(seed),
		policy:    p,
		silent:    map[int]bool{},
		upstreams: upstreams,
		down:      map[int]core.Instant{},
		running:   map[int][]*request{},
		byID:      map[core.RequestID]*request{},
		lost:      map[uint64]int{},
	}
	for i := range hosts {
		id := core.HostID("h" + strconv.Itoa(1000+i))
		f.members = append(f.members, core.Member{Host: id})
		f.machines = append(f.machines, suspect.New(id, core.NewRand(seed+uint64(i))))
		f.known = append(f.known, map[uint64]int{})
	}
	return f
}

// after puts an event d later.
func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now.Add(d), f.seq, do})
}

// run handles events until a time.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// ticks starts every host's clock.
func (f *fleet) ticks() {
	if f.policy != claims {
		return
	}
	for i := range f.machines {
		var tick func()
		tick = func() {
			if !f.silent[i] {
				f.take(i, f.machines[i].Tick(f.now, view{f: f, self: i}))
			}
			f.after(tickEvery, tick)
		}
		f.after(time.Duration(f.rng.Int64N(int64(tickEvery))), tick)
	}
}

// delay is the way between two hosts, one way.
func (f *fleet) delay(a, b int) time.Duration {
	d := nearDelay
	if a%regions != b%regions {
		d = farDelay
	}
	return time.Duration(f.rng.Jitter(int64(d)))
}

// take carries out what a machine wants.
func (f *fleet) take(host int, r suspect.Result) {
	for _, s := range r.Sends {
		to := f.index(s.To)
		f.messages++
		f.after(f.delay(host, to), func() {
			if !f.silent[to] {
				f.take(to, f.machines[to].HandleMessage(f.now, view{f: f, self: to}, f.members[host].Host, s.Message))
			}
		})
	}
	if len(r.Publish) > 0 {
		for i := range f.machines {
			f.after(f.delay(host, i), func() { f.take(i, f.machines[i].ApplyPublished(f.now, r.Publish)) })
		}
	}
	for _, d := range r.Decisions {
		f.decided(f.byID[d.ID], d)
	}
}

func (f *fleet) index(h core.HostID) int {
	n, _ := strconv.Atoi(string(h[1:]))
	return n - 1000
}

func (f *fleet) decided(q *request, d suspect.Decision) {
	switch {
	case d.Revoked:
	case d.Allowed:
		f.dispatch(q)
	case len(d.Alternatives) > 0 && q.moves < moves:
		q.moves++
		q.upstream, _ = strconv.Atoi(string(d.Alternatives[f.rng.IntN(len(d.Alternatives))]))
		f.send(q)
	default:
		q.refused = d.Refusal.Code
		if d.Refusal.RetryAfter > 0 {
			f.again(q, d.Refusal.RetryAfter)
		}
	}
}

// again lets the caller send a request once more, through any host.
func (f *fleet) again(q *request, d time.Duration) {
	if q.repeats == 0 {
		return
	}
	next := &request{print: q.print, poison: q.poison, repeats: q.repeats - 1}
	q.repeats = 0
	f.after(d, func() {
		next.entry = f.rng.IntN(len(f.machines))
		next.upstream = f.pick()
		f.arrive(next)
	})
}

// pick returns an upstream that is up, or any where none is found.
func (f *fleet) pick() int {
	u := 0
	for range 4 * f.upstreams {
		if u = f.rng.IntN(f.upstreams); f.now >= f.down[u] {
			break
		}
	}
	return u
}

// arrive brings a request to its entry host.
func (f *fleet) arrive(q *request) {
	if f.silent[q.entry] {
		q.entry = (q.entry + 1) % len(f.machines)
	}
	f.serial++
	q.id = core.RequestID(strconv.Itoa(f.serial))
	f.byID[q.id] = q
	f.send(q)
}

// send asks for leave where the policy wants it.
func (f *fleet) send(q *request) {
	switch f.policy {
	case claims:
		u := core.UpstreamID(strconv.Itoa(q.upstream))
		f.take(q.entry, f.machines[q.entry].Claim(f.now, view{f: f, self: q.entry}, suspect.Request{ID: q.id, Fingerprint: q.print, Upstream: u}))
	case broadcastOnly:
		if f.known[q.entry][q.print] >= suspect.MaxCrashes {
			q.refused = core.CodeSuspect
			return
		}
		f.dispatch(q)
	default:
		f.dispatch(q)
	}
}

// dispatch runs a request on its upstream.
func (f *fleet) dispatch(q *request) {
	if f.now < f.down[q.upstream] {
		f.end(q, suspect.EndNotSent)
		f.again(q, time.Second)
		return
	}
	q.runs++
	f.running[q.upstream] = append(f.running[q.upstream], q)
	if q.poison {
		f.after(crashAfter, func() { f.crash(q) })
		return
	}
	f.after(workTime, func() { f.complete(q) })
}

// crash takes an upstream and all that runs on it.
func (f *fleet) crash(q *request) {
	if !f.leave(q) {
		return // it died before, with its upstream
	}
	f.lost[q.print]++
	f.down[q.upstream] = f.now.Add(restart)
	victims := append(f.running[q.upstream], q)
	f.running[q.upstream] = nil
	for _, v := range victims {
		f.after(noticed, func() { f.noticeDeath(v) })
	}
}

// leave takes a request off its upstream and reports whether it was there.
func (f *fleet) leave(q *request) bool {
	list := f.running[q.upstream]
	for i, x := range list {
		if x == q {
			f.running[q.upstream] = append(list[:i:i], list[i+1:]...)
			return true
		}
	}
	return false
}

func (f *fleet) complete(q *request) {
	if f.leave(q) {
		q.done = true
		f.end(q, suspect.EndOK)
	}
}

func (f *fleet) noticeDeath(q *request) {
	if f.silent[q.entry] {
		return
	}
	f.end(q, suspect.EndCrashed)
	if f.policy == broadcastOnly {
		for i := range f.known {
			f.messages++
			f.after(f.delay(q.entry, i), func() { f.known[i][q.print]++ })
		}
	}
	f.again(q, 0)
}

func (f *fleet) end(q *request, end suspect.End) {
	if f.policy == claims {
		f.take(q.entry, f.machines[q.entry].Release(f.now, view{f: f, self: q.entry}, q.id, end))
	}
}
