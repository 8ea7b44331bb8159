package direct

import (
	"testing"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/replicas"
)

// watchersOf are the active hosts of the tests' large fleet that watch the store,
// and one that does not.
func watchersOf(t *testing.T) (watch []string, other string) {
	for _, name := range []string{"s0", "s1", "s2", "s3", "s4", "s5"} {
		if inLargeFleet(t, name).m.watching() {
			watch = append(watch, name)
		} else {
			other = name
		}
	}
	return watch, other
}

func newerTable() Configured {
	t := testTable()
	t.Version = 2
	return Configured{Table: t, Document: []byte("as the store has it")}
}

func configurationIn(m Message) bool { return len(m.Configuration) > 0 }

func TestTheFirstWatcherTellsTheConfigurationToAllHosts(t *testing.T) {
	watch, other := watchersOf(t)
	newHost(t).is.Equal(len(watch), watchers)
	told := 0
	for _, name := range append(watch, other) {
		h := inLargeFleet(t, name)
		h.step(StoreReached{})
		h.later(time.Second)
		for _, w := range watch {
			h.hear(w, Heartbeat{Number: uint64(h.now) + 1, Watches: true})
		}
		h.step(newerTable())
		to := h.told(configurationIn)
		if len(to) > 0 {
			told++
			h.is.Equal(len(to), 25)
			h.is.True(name != other)
		}
	}
	newHost(t).is.Equal(told, 1)
}

func TestAConfigurationThatWasToldIsNotToldOn(t *testing.T) {
	h := newHost(t)
	h.step(HostListed{Host: fleet.Registration{Name: "b", Host: "b/1"}})
	e := newerTable()
	e.Document = nil
	h.step(e)
	h.is.Equal(len(h.told(configurationIn)), 0)
	h.is.Equal(h.m.configVersion(), uint64(2))
}

func TestALongConfigurationIsReadFromTheStore(t *testing.T) {
	h := newHost(t)
	h.step(StoreReached{})
	h.step(HostListed{Host: fleet.Registration{Name: "b", Host: "b/1"}})
	e := newerTable()
	e.Document = make([]byte, toldMost+1)
	h.step(e)
	h.is.Equal(len(h.told(func(m Message) bool { return m.Newer == 2 })), 1)

	other := newHost(t)
	before := other.m.Reading().Reread
	other.step(FromPeer{From: "b/1", Message: Message{Newer: 2}})
	other.is.Equal(other.m.Reading().Reread, before+1)
}

// A watcher tells registrations and versions: a host need not read the store to
// trust one that has just started.
func TestWatchersTellHostsAndVersions(t *testing.T) {
	watch, _ := watchersOf(t)
	h := inLargeFleet(t, watch[0]) // the only one that the store answers
	h.later(time.Second)
	h.step(StoreReached{})
	restarted := registered("w7")
	restarted.Host, restarted.Key = "w7/2", "key"
	h.step(HostListed{Host: restarted})
	h.later(time.Second)
	h.is.Equal(len(h.told(func(m Message) bool { return len(m.Hosts) == 1 && m.Hosts[0] == restarted })), 25)
	version := VersionNamed{Model: model, Adapter: core.AdapterRef{ID: "x", Version: 2}}
	h.step(version)
	h.later(time.Second)
	h.is.Equal(len(h.told(func(m Message) bool { return len(m.Versions) == 1 })), 25)

	other := inLargeFleet(t, "w0")
	other.step(FromPeer{From: "s0/1", Message: Message{Hosts: []fleet.Registration{restarted}, Versions: []VersionNamed{version}}})
	other.is.True(other.m.Trusted("w7/2", "key"))
	other.is.Equal(other.m.versions["x"].version, 2)
}

// Found while the fleet grew: what a host reads again must follow from every list
// that a watcher has, hosts too.
func TestAHostThatMissedARegistrationReadsTheStoreItself(t *testing.T) {
	h := inLargeFleet(t, "w0")
	watch, _ := watchersOf(t)
	digest := h.m.listDigest()
	heartbeats := func(list uint64) {
		for _, w := range watch {
			h.hear(w, Heartbeat{Number: uint64(h.now) + 1, Watches: true, List: list})
		}
	}
	h.later(time.Second)
	heartbeats(digest)
	h.is.True(!h.m.Reading().Watch)
	for range 20 {
		h.after(100 * time.Millisecond)
		heartbeats(digest + 1)
	}
	h.is.True(h.m.Reading().Watch)
}

// Found on the bench (DRAIN, scale-2 of parapet-sofia-grown): a host that had been cut
// off lacked that a replica leaves. A watcher that was behind as well said the same,
// and hid that the others said otherwise.
func TestAWatcherThatIsBehindHidesNothing(t *testing.T) {
	h := inLargeFleet(t, "w0")
	watch, _ := watchersOf(t)
	digest := h.m.listDigest()
	for range 20 {
		h.later(100 * time.Millisecond)
		h.hear(watch[0], Heartbeat{Number: uint64(h.now) + 1, Watches: true, List: digest})
		h.hear(watch[1], Heartbeat{Number: uint64(h.now) + 1, Watches: true, List: digest + 1})
		h.hear(watch[2], Heartbeat{Number: uint64(h.now) + 1, Watches: true, List: digest})
	}
	h.is.True(h.m.Reading().Watch)
	h.step(ReplicasListed{Entries: []replicas.Entry{replica("s1", services)}})
	h.is.True(!h.m.Reading().Watch) // it has read the list itself
}

// The same find: what changes while the store does not answer a host is told to it by
// nobody, if it does not hear the watchers either.
func TestEverythingIsListedOnceTheStoreIsBack(t *testing.T) {
	h := newHost(t)
	before := h.m.Reading().Relist
	h.step(StoreReached{})
	h.is.Equal(h.m.Reading().Relist, before)
	h.step(StoreLost{})
	h.step(StoreReached{})
	h.is.Equal(h.m.Reading().Relist, before+1)
}

// Found by a hunt (CONFIG, hunt-fffd-31 of parapet-sofia): the store turned away all
// three watchers, and for three seconds the others went on to rely on them.
func TestAWatcherThatTheStoreTurnsAwaySaysSoAtOnce(t *testing.T) {
	watch, _ := watchersOf(t)
	h := inLargeFleet(t, watch[0])
	h.later(time.Second)
	h.step(StoreReached{})
	h.is.True(h.m.ownHeartbeat().Watches)
	h.step(StoreLost{})
	h.is.True(!h.m.ownHeartbeat().Watches)
	h.step(StoreReached{})
	h.is.True(h.m.ownHeartbeat().Watches)
	h.later(storeFresh) // its calls hang
	h.is.True(!h.m.ownHeartbeat().Watches)

	other := inLargeFleet(t, "w0")
	other.later(time.Second)
	digest := other.m.listDigest()
	tell := func(watches bool) {
		for _, w := range watch {
			other.hear(w, Heartbeat{Number: uint64(other.now) + 1, Watches: watches, List: digest})
		}
	}
	tell(true)
	other.is.True(!other.m.Reading().Watch)
	other.now += time.Millisecond
	tell(false)
	other.is.True(other.m.Reading().Watch)
}
