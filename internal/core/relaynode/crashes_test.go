package relaynode

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/shard"
)

// crashingRequest is the fingerprint of a request that crashes each replica.
const crashingRequest = 9

// rollingFleet are hosts that exchange all their messages, encoded, and keep leases in common.
type rollingFleet struct {
	t      *testing.T
	hosts  []*host
	cutOff *host // no message reaches it or leaves it
	now    time.Duration
	starts int
}

func newRollingFleet(t *testing.T, size int) *rollingFleet {
	f := &rollingFleet{t: t, now: 10 * time.Second}
	f.hosts = make([]*host, size)
	for i := range f.hosts {
		f.start(i)
	}
	f.run(time.Second)
	return f
}

// start starts a host anew, which forgets all.
func (f *rollingFleet) start(i int) *host {
	f.starts++
	name := string(rune('a' + i))
	self := fleet.Registration{Name: name, Host: core.HostID(name + "/" + string(rune('0'+f.starts))), Domain: "a"}
	h := newHostAs(f.t, self)
	h.step(LeasesListed{})
	f.hosts[i] = h
	for _, x := range f.hosts {
		if x == nil {
			continue
		}
		x.now = f.now
		x.step(HostListed{Host: self})
		f.deliver(x)
		h.step(HostListed{Host: x.m.settings.Self})
		f.deliver(h)
	}
	return h
}

// deliver passes a host's messages of the last step on.
func (f *rollingFleet) deliver(from *host) {
	for _, effect := range from.out {
		p, ok := effect.(SendToPeers)
		if !ok || from == f.cutOff {
			continue
		}
		b, err := cbor.Marshal(p.Message)
		from.is.NoErr(err)
		for _, r := range p.To {
			f.receive(from.m.settings.Self.Host, r.Host, b)
		}
	}
}

func (f *rollingFleet) receive(from, to core.HostID, b []byte) {
	for _, h := range f.hosts {
		if h == nil || h == f.cutOff || h.m.settings.Self.Host != to {
			continue
		}
		var m Message
		h.is.NoErr(cbor.Unmarshal(b, &m))
		h.now = f.now
		h.step(MessageReceived{From: from, Message: m})
		f.deliver(h)
	}
}

// run lets time pass.
func (f *rollingFleet) run(d time.Duration) {
	const tick = 20 * time.Millisecond
	for end := f.now + d; f.now < end; f.now += tick {
		for _, h := range f.hosts {
			h.now = f.now
			h.step(Tick{})
			f.deliver(h)
		}
	}
}

// crashes sends the request to a host, where it crashes a replica. It returns false where it is refused.
func (f *rollingFleet) crashes(h *host) bool {
	h.now = f.now
	h.arrive(RequestArrived{Path: "/act/x", Fingerprint: crashingRequest})
	if _, refused := get[Refuse](h); refused {
		return false
	}
	d := h.dispatch()
	h.step(AttemptEnded{ID: d.ID, Attempt: d.Attempt, Kind: EndBroken, ConnectionClosed: true})
	f.deliver(h)
	return true
}

// Guards against a request that crashes one more replica at each host that has restarted: crashes were told
// to the others for 2 s, and to no host that starts.
func TestRestartedHostsKnowARequestThatCrashesReplicas(t *testing.T) {
	f := newRollingFleet(t, 6)
	for i := range 3 {
		f.hosts[0].is.True(f.crashes(f.hosts[i]))
		f.run(time.Second)
	}
	f.run(5 * time.Second)
	for i := range f.hosts {
		h := f.start(i)
		f.run(500 * time.Millisecond)
		h.is.True(!f.crashes(h))
		f.run(2 * time.Second)
	}
}

// Guards against the same where hosts restart between the crashes, so that none has observed all of them.
func TestCrashesCountOverRestarts(t *testing.T) {
	f := newRollingFleet(t, 4)
	crashed := 0
	for round := range 8 {
		if f.crashes(f.hosts[round%4]) {
			crashed++
		}
		f.run(4 * time.Second)
		f.start((round + 3) % 4)
		f.run(time.Second)
	}
	f.hosts[0].is.Equal(crashed, 3)
}

// Guards against the same at a host that was cut off from the others when they told of the crashes, and
// against others that never hear what it alone has observed.
func TestHostsThatWereCutOffLearnOfCrashes(t *testing.T) {
	for _, alone := range []bool{false, true} {
		f := newRollingFleet(t, 4)
		f.cutOff = f.hosts[3]
		observer, other := f.hosts[0], f.hosts[3]
		if alone {
			observer, other = other, observer
		}
		for range 3 {
			observer.is.True(f.crashes(observer))
			f.run(100 * time.Millisecond)
		}
		f.run(4 * time.Second)
		f.cutOff = nil
		f.run(3 * time.Second)
		other.is.True(!f.crashes(other))
	}
}

// newStartingHost returns a host that has read all but the leases.
func newStartingHost(t *testing.T) *host {
	h := newHost(t)
	h.m = New(Settings{Self: fleet.Registration{Name: "a", Host: "a/2", Domain: "a"}})
	h.now = 100 * time.Millisecond
	h.step(ConfigurationRead{Table: testTable()})
	h.step(VersionsRead{})
	h.step(ReplicasListed{Entries: []replicas.Entry{replica("s1", services)}})
	return h
}

// No host is left that could tell: the leases do, and until they have been read no request is served.
func TestStartingHostReadsSuspectsFromTheLeases(t *testing.T) {
	f := newRollingFleet(t, 2)
	for range 3 {
		f.hosts[0].is.True(f.crashes(f.hosts[0]))
	}
	f.run(time.Second)
	record := shard.Record{Owner: "gone", Fence: 1, Suspects: f.hosts[1].m.suspectAges()}
	record.Suspects["not hex"] = 1
	value, err := json.Marshal(record)
	f.hosts[0].is.NoErr(err)

	h := newStartingHost(t)
	h.is.True(!h.m.Ready())
	h.step(LeasesListed{Objects: []core.Object{{Key: shard.Prefix + "0", Value: value, Version: 1}}})
	h.is.True(h.m.Ready())
	h.arrive(RequestArrived{Path: "/act/x", Fingerprint: crashingRequest})
	h.is.Equal(h.refusal().Ran, core.RanNo)
}

// A host that can't read the leases serves sound requests soon.
func TestHostWithoutLeasesIsReadySoon(t *testing.T) {
	h := newStartingHost(t)
	h.advance(inheritTimeout)
	h.is.True(h.m.Ready())
}
