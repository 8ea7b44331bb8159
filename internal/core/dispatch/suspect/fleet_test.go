package suspect

import (
	"flag"
	"os"
	"strconv"
	"testing"
	"time"

	"gentiancroft/internal/core"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "3000")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// members is a membership that the test can change.
type members struct {
	core.Ownership
	self core.HostID
	list *[]core.Member
}

func (o members) Self() core.HostID      { return o.self }
func (o members) Members() []core.Member { return *o.list }

// restartTime is how long an upstream is down after a crash.
const restartTime = 5 * time.Second

type packet struct {
	from, to core.HostID
	msg      Message
	at       core.Instant
}

type running struct {
	entry     core.HostID
	req       Request
	crashedAt core.Instant
}

// fleet is a set of machines, the messages in flight between them and the
// requests that run on upstreams.
type fleet struct {
	now         core.Instant
	list        []core.Member
	machines    map[core.HostID]*Machine
	inFlight    []packet
	running     []running // dispatched
	poison      map[uint64]bool
	down        map[core.UpstreamID]core.Instant // crashed upstreams, and until when
	crashes     map[uint64]int                   // upstreams crashed, by fingerprint
	unreported  []running                        // crashed runs that the entry host has not reported yet
	refused     map[core.RequestID]core.Code
	use         map[core.RequestID][]core.UpstreamID
	crashCounts []CrashCount
	serial      int
}

func newFleet(hosts int) *fleet {
	f := &fleet{
		now:      core.Instant(time.Hour),
		machines: map[core.HostID]*Machine{},
		poison:   map[uint64]bool{},
		down:     map[core.UpstreamID]core.Instant{},
		crashes:  map[uint64]int{},
		refused:  map[core.RequestID]core.Code{},
		use:      map[core.RequestID][]core.UpstreamID{},
	}
	for i := range hosts {
		id := core.HostID("h" + strconv.Itoa(i))
		f.list = append(f.list, core.Member{Host: id})
		f.machines[id] = New(id, core.NewRand(uint64(i)))
	}
	return f
}

func (f *fleet) own(h core.HostID) core.Ownership { return members{self: h, list: &f.list} }

// apply carries out a machine's result.
func (f *fleet) apply(h core.HostID, r Result) {
	for _, s := range r.Sends {
		f.inFlight = append(f.inFlight, packet{h, s.To, s.Message, f.now})
	}
	f.crashCounts = append(f.crashCounts, r.Publish...)
	for _, d := range r.Decisions {
		if d.Revoked {
			continue // every request was dispatched immediately
		}
		if !d.Allowed {
			f.refused[d.ID] = d.Refusal.Code
			f.use[d.ID] = d.Alternatives
			continue
		}
		c := f.machines[h].byRequest[d.ID]
		f.dispatch(running{entry: h, req: c.req})
	}
}

// dispatch runs a request; a poisoned one crashes its upstream and ends every
// other request there.
func (f *fleet) dispatch(x running) {
	if f.now.Before(f.down[x.req.Upstream]) {
		f.apply(x.entry, f.machines[x.entry].Release(f.now, f.own(x.entry), x.req.ID, EndNotSent))
		return
	}
	f.running = append(f.running, x)
	if !f.poison[x.req.Fingerprint] {
		return
	}
	f.crashes[x.req.Fingerprint]++
	f.down[x.req.Upstream] = f.now.Add(restartTime)
	var left []running
	for _, y := range f.running {
		if y.req.Upstream == x.req.Upstream {
			y.crashedAt = f.now
			f.unreported = append(f.unreported, y)
		} else {
			left = append(left, y)
		}
	}
	f.running = left
}

func (f *fleet) claim(h core.HostID, fp uint64, u core.UpstreamID) core.RequestID {
	f.serial++
	id := core.RequestID(string(h) + "-" + strconv.Itoa(f.serial))
	f.apply(h, f.machines[h].Claim(f.now, f.own(h), Request{ID: id, Fingerprint: fp, Upstream: u}))
	return id
}

// reportCrash has the entry host report the i-th crashed run.
func (f *fleet) reportCrash(i int) {
	x := f.unreported[i]
	f.unreported = append(f.unreported[:i], f.unreported[i+1:]...)
	f.apply(x.entry, f.machines[x.entry].Release(f.now, f.own(x.entry), x.req.ID, EndCrashed))
}

func (f *fleet) finish(i int) {
	x := f.running[i]
	f.running = append(f.running[:i], f.running[i+1:]...)
	f.apply(x.entry, f.machines[x.entry].Release(f.now, f.own(x.entry), x.req.ID, EndOK))
}

func (f *fleet) deliver(i int) {
	p := f.inFlight[i]
	f.inFlight = append(f.inFlight[:i], f.inFlight[i+1:]...)
	if m := f.machines[p.to]; m != nil {
		f.apply(p.to, m.HandleMessage(f.now, f.own(p.to), p.from, p.msg))
	}
}

func (f *fleet) tick(d time.Duration) {
	f.now = f.now.Add(d)
	for _, x := range f.list {
		f.apply(x.Host, f.machines[x.Host].Tick(f.now, f.own(x.Host)))
	}
}

// deliverAll delivers all messages and reports all crashes.
func (f *fleet) deliverAll() {
	for len(f.inFlight) > 0 || len(f.unreported) > 0 {
		if len(f.inFlight) > 0 {
			f.deliver(0)
		} else {
			f.reportCrash(0)
		}
	}
}

// removeHost removes a host and its state from the fleet.
func (f *fleet) removeHost(h core.HostID) {
	delete(f.machines, h)
	var list []core.Member
	for _, x := range f.list {
		if x.Host != h {
			list = append(list, x)
		}
	}
	f.list = list
	var left []running
	for _, x := range f.running {
		if x.entry != h {
			left = append(left, x)
		}
	}
	f.running = left
}
