package once

import (
	"container/heap"
	"strconv"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/dispatch/suspect"
)

// policy is how a fleet limits the upstreams that one request crashes.
type policy int

const (
	untracked     policy = iota // every request is dispatched
	broadcastOnly               // crashes are broadcast to all hosts; the budget of crashes refuses a request
	claims                      // internal/core/dispatch/suspect
)

// Times and sizes of the fleet. Hosts are in three regions.
const (
	nearDelay        = 1500 * time.Microsecond // one way within a region
	farDelay         = 40 * time.Millisecond   // one way between regions
	crashAfter       = 50 * time.Millisecond   // from dispatch to the crash
	crashNoticeDelay = 5 * time.Millisecond    // from the crash until the entry hosts notice
	restartTime      = 20 * time.Second        // of an upstream
	workTime         = time.Second             // of a request that does not crash
	tickInterval     = 100 * time.Millisecond
	regions          = 3
	maxMoves         = 4 // maximum per request, to an upstream that the claim's answer names
)

// event is a function due at a time; events at the same time run in the order in
// which they were added.
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

// request is one request of a caller, who may repeat it.
type request struct {
	id          core.RequestID
	print       uint64 // fingerprint
	poison      bool
	entry       int
	upstream    int
	repeatsLeft int // of the caller
	moves       int
	done        bool
	refused     core.Code // reason of the refusal
	runs        int       // dispatches to an upstream that was up
}

// fleet is a set of hosts and upstreams in virtual time.
type fleet struct {
	now             core.Instant
	rng             *core.Rand
	policy          policy
	queue           queue
	seq             int
	members         []core.Member
	machines        []*suspect.Machine
	dead            map[int]bool         // dead hosts whose lease has not expired
	reportedCrashes []map[uint64]int     // crashes reported to each host, by fingerprint (broadcastOnly)
	upstreams       int                  // number of upstreams
	down            map[int]core.Instant // end of an upstream's restart
	running         map[int][]*request   // by upstream
	byID            map[core.RequestID]*request
	upstreamsLost   map[uint64]int // crashes of upstreams, by fingerprint
	messages        int            // between hosts
	arrivals        int            // requests that reached an entry host, with repeats
}

// view is the core.Ownership of one host, with all hosts as members.
type view struct {
	core.Ownership
	f    *fleet
	self int
}

func (v view) Self() core.HostID      { return v.f.members[v.self].Host }
func (v view) Members() []core.Member { return v.f.members }

func newFleet(p policy, hosts, upstreams int, seed uint64) *fleet {
	f := &fleet{
		now:           core.Instant(time.Hour),
		rng:           core.NewRand(seed),
		policy:        p,
		dead:          map[int]bool{},
		upstreams:     upstreams,
		down:          map[int]core.Instant{},
		running:       map[int][]*request{},
		byID:          map[core.RequestID]*request{},
		upstreamsLost: map[uint64]int{},
	}
	for i := range hosts {
		id := core.HostID("h" + strconv.Itoa(1000+i))
		f.members = append(f.members, core.Member{Host: id})
		f.machines = append(f.machines, suspect.New(id, core.NewRand(seed+uint64(i))))
		f.reportedCrashes = append(f.reportedCrashes, map[uint64]int{})
	}
	return f
}

// after adds an event d from now.
func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now.Add(d), f.seq, do})
}

// run advances virtual time by d and runs the events due by then.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// startTicks starts the periodic ticks of the machines, under the policy claims.
func (f *fleet) startTicks() {
	if f.policy != claims {
		return
	}
	for i := range f.machines {
		var tick func()
		tick = func() {
			if !f.dead[i] {
				f.execute(i, f.machines[i].Tick(f.now, view{f: f, self: i}))
			}
			f.after(tickInterval, tick)
		}
		f.after(time.Duration(f.rng.Int64N(int64(tickInterval))), tick)
	}
}

// delay returns the one-way delay between two hosts.
func (f *fleet) delay(a, b int) time.Duration {
	d := nearDelay
	if a%regions != b%regions {
		d = farDelay
	}
	return time.Duration(f.rng.Jitter(int64(d)))
}

// execute carries out the effects of a machine's result.
func (f *fleet) execute(host int, r suspect.Result) {
	for _, s := range r.Sends {
		to := f.index(s.To)
		f.messages++
		f.after(f.delay(host, to), func() {
			if !f.dead[to] {
				f.execute(to, f.machines[to].HandleMessage(f.now, view{f: f, self: to}, f.members[host].Host, s.Message))
			}
		})
	}
	if len(r.Publish) > 0 {
		for i := range f.machines {
			f.after(f.delay(host, i), func() { f.execute(i, f.machines[i].ApplyPublished(f.now, r.Publish)) })
		}
	}
	for _, d := range r.Decisions {
		f.applyDecision(f.byID[d.ID], d)
	}
}

func (f *fleet) index(h core.HostID) int {
	n, _ := strconv.Atoi(string(h[1:]))
	return n - 1000
}

func (f *fleet) applyDecision(q *request, d suspect.Decision) {
	switch {
	case d.Revoked:
	case d.Allowed:
		f.dispatch(q)
	case len(d.Alternatives) > 0 && q.moves < maxMoves:
		q.moves++
		q.upstream, _ = strconv.Atoi(string(d.Alternatives[f.rng.IntN(len(d.Alternatives))]))
		f.send(q)
	default:
		q.refused = d.Refusal.Code
		if d.Refusal.RetryAfter > 0 {
			f.repeat(q, d.Refusal.RetryAfter)
		}
	}
}

// repeat repeats a request after d, through a random host, if its caller has
// repeats left.
func (f *fleet) repeat(q *request, d time.Duration) {
	if q.repeatsLeft == 0 {
		return
	}
	next := &request{print: q.print, poison: q.poison, repeatsLeft: q.repeatsLeft - 1}
	q.repeatsLeft = 0
	f.after(d, func() {
		next.entry = f.rng.IntN(len(f.machines))
		next.upstream = f.pickUpstream()
		f.arrive(next)
	})
}

// pickUpstream draws an upstream that is up, or any one if it finds none.
func (f *fleet) pickUpstream() int {
	u := 0
	for range 4 * f.upstreams {
		if u = f.rng.IntN(f.upstreams); f.now >= f.down[u] {
			break
		}
	}
	return u
}

// arrive delivers a request to its entry host, or to the next one if that is
// dead.
func (f *fleet) arrive(q *request) {
	if f.dead[q.entry] {
		q.entry = (q.entry + 1) % len(f.machines)
	}
	f.arrivals++
	q.id = core.RequestID(strconv.Itoa(f.arrivals))
	f.byID[q.id] = q
	f.send(q)
}

// send dispatches a request, after a claim or a check if the policy needs one.
func (f *fleet) send(q *request) {
	switch f.policy {
	case claims:
		u := core.UpstreamID(strconv.Itoa(q.upstream))
		f.execute(q.entry, f.machines[q.entry].Claim(f.now, view{f: f, self: q.entry}, suspect.Request{ID: q.id, Fingerprint: q.print, Upstream: u}))
	case broadcastOnly:
		if f.reportedCrashes[q.entry][q.print] >= suspect.MaxCrashes {
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
		f.repeat(q, time.Second)
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

// crash crashes the upstream of a request, with all requests that run there.
func (f *fleet) crash(q *request) {
	if !f.removeRunning(q) {
		return // another request crashed the upstream before
	}
	f.upstreamsLost[q.print]++
	f.down[q.upstream] = f.now.Add(restartTime)
	victims := append(f.running[q.upstream], q)
	f.running[q.upstream] = nil
	for _, v := range victims {
		f.after(crashNoticeDelay, func() { f.noticeCrash(v) })
	}
}

// removeRunning removes a request from its upstream and reports whether it ran
// there.
func (f *fleet) removeRunning(q *request) bool {
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
	if f.removeRunning(q) {
		q.done = true
		f.end(q, suspect.EndOK)
	}
}

func (f *fleet) noticeCrash(q *request) {
	if f.dead[q.entry] {
		return
	}
	f.end(q, suspect.EndCrashed)
	if f.policy == broadcastOnly {
		for i := range f.reportedCrashes {
			f.messages++
			f.after(f.delay(q.entry, i), func() { f.reportedCrashes[i][q.print]++ })
		}
	}
	f.repeat(q, 0)
}

func (f *fleet) end(q *request, end suspect.End) {
	if f.policy == claims {
		f.execute(q.entry, f.machines[q.entry].Release(f.now, view{f: f, self: q.entry}, q.id, end))
	}
}
