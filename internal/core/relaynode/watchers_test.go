package relaynode

import (
	"testing"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/replicas"
)

// watchersOf returns the active hosts of the tests' large fleet that watch the store,
// and a host that does not.
func watchersOf(t *testing.T) (watch []string, other string) {
	for _, name := range []string{"s0", "s1", "s2", "s3", "s4", "s5"} {
		if newHostInLargeFleet(t, name).m.isWatcher() {
			watch = append(watch, name)
		} else {
			other = name
		}
	}
	return watch, other
}

func newerTable() ConfigurationRead {
	t := testTable()
	t.Version = 2
	return ConfigurationRead{Table: t, Document: []byte("as the store has it")}
}

func hasConfiguration(m Message) bool { return len(m.Configuration) > 0 }

func TestFirstWatcherSendsTheConfigurationToAllHosts(t *testing.T) {
	watch, other := watchersOf(t)
	newHost(t).is.Equal(len(watch), watcherCount)
	senders := 0
	for _, name := range append(watch, other) {
		h := newHostInLargeFleet(t, name)
		h.step(StoreAnswered{})
		h.advanceFleet(time.Second)
		for _, w := range watch {
			h.deliverHeartbeat(w, Heartbeat{Number: uint64(h.now) + 1, IsWatcher: true})
		}
		h.step(newerTable())
		to := h.recipients(hasConfiguration)
		if len(to) > 0 {
			senders++
			h.is.Equal(len(to), 25)
			h.is.True(name != other)
		}
	}
	newHost(t).is.Equal(senders, 1)
}

func TestConfigurationFromAPeerIsNotForwarded(t *testing.T) {
	h := newHost(t)
	h.step(HostListed{Host: fleet.Registration{Name: "b", Host: "b/1"}})
	e := newerTable()
	e.Document = nil
	h.step(e)
	h.is.Equal(len(h.recipients(hasConfiguration)), 0)
	h.is.Equal(h.m.configVersion(), uint64(2))
}

func TestALongConfigurationIsReadFromTheStore(t *testing.T) {
	h := newHost(t)
	h.step(StoreAnswered{})
	h.step(HostListed{Host: fleet.Registration{Name: "b", Host: "b/1"}})
	e := newerTable()
	e.Document = make([]byte, maxSentConfigBytes+1)
	h.step(e)
	h.is.Equal(len(h.recipients(func(m Message) bool { return m.NewerConfiguration == 2 })), 1)

	other := newHost(t)
	before := other.m.ReadPlan().Reread
	other.step(MessageReceived{From: "b/1", Message: Message{NewerConfiguration: 2}})
	other.is.Equal(other.m.ReadPlan().Reread, before+1)
}

// Watchers send registrations and versions: a host need not read the store to trust
// one that has just started.
func TestWatcherSendsRegistrationsAndVersions(t *testing.T) {
	watch, _ := watchersOf(t)
	h := newHostInLargeFleet(t, watch[0]) // the only one that the store answers
	h.advanceFleet(time.Second)
	h.step(StoreAnswered{})
	restarted := registered("w7")
	restarted.Host, restarted.Key = "w7/2", "key"
	h.step(HostListed{Host: restarted})
	h.advanceFleet(time.Second)
	h.is.Equal(len(h.recipients(func(m Message) bool { return len(m.Hosts) == 1 && m.Hosts[0] == restarted })), 25)
	version := VersionAnnounced{Model: model, Adapter: core.AdapterRef{ID: "x", Version: 2}}
	h.step(version)
	h.advanceFleet(time.Second)
	h.is.Equal(len(h.recipients(func(m Message) bool { return len(m.Versions) == 1 })), 25)

	other := newHostInLargeFleet(t, "w0")
	other.step(MessageReceived{From: "s0/1", Message: Message{Hosts: []fleet.Registration{restarted}, Versions: []VersionAnnounced{version}}})
	other.is.True(other.m.Trusted("w7/2", "key"))
	other.is.Equal(other.m.versions["x"].newest(), 2)
}

// The digests that are compared must cover every list of a watcher, registered hosts
// too: a host that missed a registration must read the store.
func TestAHostThatMissedARegistrationReadsTheStoreItself(t *testing.T) {
	h := newHostInLargeFleet(t, "w0")
	watch, _ := watchersOf(t)
	digest := h.m.listDigest()
	heartbeats := func(list uint64) {
		for _, w := range watch {
			h.deliverHeartbeat(w, Heartbeat{Number: uint64(h.now) + 1, IsWatcher: true, ListDigest: list})
		}
	}
	h.advanceFleet(time.Second)
	heartbeats(digest)
	h.is.True(!h.m.ReadPlan().Watch)
	for range 20 {
		h.advance(100 * time.Millisecond)
		heartbeats(digest + 1)
	}
	h.is.True(h.m.ReadPlan().Watch)
}

// Rule DRAIN: a host that had been cut off missed that a replica was leaving. An
// outdated watcher agreed with it, which hid that the other watchers differed.
func TestOutdatedWatcherDoesNotHideADifference(t *testing.T) {
	h := newHostInLargeFleet(t, "w0")
	watch, _ := watchersOf(t)
	digest := h.m.listDigest()
	for range 20 {
		h.advanceFleet(100 * time.Millisecond)
		h.deliverHeartbeat(watch[0], Heartbeat{Number: uint64(h.now) + 1, IsWatcher: true, ListDigest: digest})
		h.deliverHeartbeat(watch[1], Heartbeat{Number: uint64(h.now) + 1, IsWatcher: true, ListDigest: digest + 1})
		h.deliverHeartbeat(watch[2], Heartbeat{Number: uint64(h.now) + 1, IsWatcher: true, ListDigest: digest})
	}
	h.is.True(h.m.ReadPlan().Watch)
	h.step(ReplicasListed{Entries: []replicas.Entry{replica("s1", services)}})
	h.is.True(!h.m.ReadPlan().Watch) // it has read the list itself
}

// A host that also missed the watchers' messages learns of changes made during a store
// outage only by listing all objects again.
func TestListsAreRereadAfterAStoreOutage(t *testing.T) {
	h := newHost(t)
	before := h.m.ReadPlan().Relist
	h.step(StoreAnswered{})
	h.is.Equal(h.m.ReadPlan().Relist, before)
	h.step(StoreCallFailed{})
	h.step(StoreAnswered{})
	h.is.Equal(h.m.ReadPlan().Relist, before+1)
}

// A difference that has ended must not shorten the timeout of the next one.
func TestEachNewerDocumentElsewhereIsAwaitedAnew(t *testing.T) {
	h := newHost(t)
	for _, name := range []string{"b", "c"} {
		h.step(HostListed{Host: fleet.Registration{Name: name, Host: core.HostID(name + "/1")}})
	}
	before := h.m.ReadPlan().Reread
	heartbeat := func(host core.HostID, version uint64) {
		h.now += 10 * time.Millisecond
		h.step(MessageReceived{From: host, Message: Message{Heartbeats: []Heartbeat{{Host: host, Number: uint64(h.now), ConfigVersion: version}}}})
	}
	heartbeat("b/1", 2)
	h.step(newerTable()) // version 2
	h.now += time.Minute
	heartbeat("b/1", 3)
	h.is.Equal(h.m.ReadPlan().Reread, before)
	heartbeat("c/1", 2) // as old as this host: the other one still has a newer version
	h.now += newerElsewhereTimeout
	heartbeat("b/1", 3)
	h.is.Equal(h.m.ReadPlan().Reread, before+1)
}

// Rule CONFIG: the store rejected the calls of all three watchers, and the other
// hosts relied on them for three more seconds.
func TestWatcherRejectedByTheStoreReportsItAtOnce(t *testing.T) {
	watch, _ := watchersOf(t)
	h := newHostInLargeFleet(t, watch[0])
	h.advanceFleet(time.Second)
	h.step(StoreAnswered{})
	h.is.True(h.m.ownHeartbeat().IsWatcher)
	h.step(StoreCallFailed{})
	h.is.True(!h.m.ownHeartbeat().IsWatcher)
	h.step(StoreAnswered{})
	h.is.True(h.m.ownHeartbeat().IsWatcher)
	h.advanceFleet(storeAnswerTTL) // its calls hang
	h.is.True(!h.m.ownHeartbeat().IsWatcher)

	other := newHostInLargeFleet(t, "w0")
	other.advanceFleet(time.Second)
	digest := other.m.listDigest()
	heartbeats := func(watches bool) {
		for _, w := range watch {
			other.deliverHeartbeat(w, Heartbeat{Number: uint64(other.now) + 1, IsWatcher: watches, ListDigest: digest})
		}
	}
	heartbeats(true)
	other.is.True(!other.m.ReadPlan().Watch)
	other.now += time.Millisecond
	heartbeats(false)
	other.is.True(other.m.ReadPlan().Watch)
}
