package relaynode

import (
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/shard"
	"gentiancroft/internal/core/table"
)

// tableVersion returns a version of the tests' configuration. Only versions up to
// lastWithKey have the key.
func tableVersion(version, lastWithKey uint64) *table.Table {
	t := testTable()
	t.Version = version
	if version > lastWithKey {
		t.Keys = map[table.KeyHash]*table.Workspace{}
	}
	t.Index()
	return t
}

// configured reads a version of the configuration from the store.
func (h *host) configured(version, era, revision uint64) {
	h.step(ConfigurationRead{
		Table:    tableVersion(version, 5),
		Document: []byte("document " + utoa(version)),
		Hash:     version,
		Revision: core.Revision{Era: era, Version: revision},
	})
}

// newHostWithVersion is newHost in era 1 of the store, with version 7 in force. The key
// was withdrawn by version 6.
func newHostWithVersion7(t *testing.T) *host {
	h := newHost(t)
	h.step(StoreAnswered{Era: 1})
	h.configured(5, 1, 100)
	h.configured(7, 1, 150)
	return h
}

func (h *host) keyWorks() bool {
	h.arrive(RequestArrived{Path: "/keyed/x", HasKey: true, Key: table.HashKey([]byte("key"))})
	_, ok := get[Dispatch](h)
	return ok
}

func TestRestoredStoreDoesNotRevertTheConfiguration(t *testing.T) {
	h := newHostWithVersion7(t)
	h.step(StoreAnswered{Era: 2})
	h.configured(5, 2, 100) // as the copy has it
	h.advance(time.Minute)
	h.configured(5, 2, 100) // listed again
	h.advance(time.Minute)
	h.is.Equal(h.m.configVersion(), uint64(7))
	h.is.True(!h.keyWorks()) // withdrawn keys stay withdrawn
}

func TestOperatorsRewriteAfterARestorationIsInForceWhateverItsVersion(t *testing.T) {
	for _, version := range []uint64{6, 7, 9} {
		h := newHostWithVersion7(t)
		h.step(StoreAnswered{Era: 2})
		h.configured(5, 2, 100)
		rewrite := tableVersion(version, 5)
		h.step(ConfigurationRead{Table: rewrite, Document: []byte("rewritten"), Hash: 70, Revision: core.Revision{Era: 2, Version: 110}}) // a revision that era 1 gave out as well
		h.advance(rewriteDelay)
		h.is.True(h.m.table == rewrite)
	}
}

// The operator's tool writes the lost versions again in turn.
func TestVersionsThatAreWrittenAgainInTurnDoNotRevertTheConfiguration(t *testing.T) {
	h := newHostWithVersion7(t)
	h.step(StoreAnswered{Era: 2})
	h.configured(5, 2, 100)
	h.configured(6, 2, 110)
	h.advance(rewriteDelay / 2)
	h.configured(7, 2, 111)
	h.advance(time.Minute)
	h.is.Equal(h.m.configVersion(), uint64(7))
	h.is.Equal(h.m.ownHeartbeat().ConfigRestored, uint64(0))
}

func TestLowerVersionOfTheSameEraIsIgnored(t *testing.T) {
	h := newHostWithVersion7(t)
	h.configured(6, 1, 151)
	h.advance(time.Minute)
	h.is.Equal(h.m.configVersion(), uint64(7))
}

// A host that was cut off from the store gets the rewrite from another host, and a host
// that only has the older number is not taken for a newer one.
func TestRewriteOfALowerVersionSpreadsToOtherHosts(t *testing.T) {
	sender := newHostWithVersion7(t)
	sender.step(HostListed{Host: fleet.Registration{Name: "b", Host: "b/1"}})
	sender.step(StoreAnswered{Era: 2})
	sender.configured(5, 2, 100)
	sender.configured(6, 2, 110)
	sender.step(StoreAnswered{Era: 2})
	sender.advance(rewriteDelay)
	var sent Message
	for _, e := range sender.out {
		if p, ok := e.(SendToPeers); ok && hasConfiguration(p.Message) {
			sent = p.Message
		}
	}
	sender.is.Equal(sent.ConfigurationRestored, uint64(2))

	other := newHostWithVersion7(t)
	theirs := documents{config: 6, restored: 2}
	other.is.True(other.m.lacks(theirs))
	other.step(ConfigurationRead{Table: tableVersion(6, 5), Hash: 6, Restored: sent.ConfigurationRestored})
	other.is.Equal(other.m.configVersion(), uint64(6))
	other.is.True(!other.m.lacks(theirs))
	other.is.Equal(other.m.ownHeartbeat().ConfigRestored, uint64(2))
	other.is.True(!newHostWithVersion7(t).m.lacks(documents{config: 5}))
}

func TestRegistrationIsWrittenAgainAfterARestoration(t *testing.T) {
	h := newHost(t)
	h.advance(time.Second)
	_, wrote := get[WriteObject](h)
	h.is.True(!wrote) // the era is not known yet
	h.step(StoreAnswered{Era: 1})
	h.is.Equal(h.registered(), uint64(1))
	h.advance(time.Minute)
	_, wrote = get[WriteObject](h)
	h.is.True(!wrote)
	h.step(StoreAnswered{Era: 2})
	h.now += registrationSpread
	h.is.Equal(h.registered(), uint64(2))
}

// registered returns the era of the registration that the next tick writes.
func (h *host) registered() uint64 {
	h.is.Helper()
	h.advance(0)
	w, ok := get[WriteObject](h)
	h.is.True(ok)
	var r fleet.Registration
	h.is.NoErr(json.Unmarshal(w.Call.Value, &r))
	h.step(WriteDone{Result: core.ObjectResult{Tag: w.Call.Tag, Status: core.ObjectOK, Era: r.Era}})
	return r.Era
}

// The write was answered by a store that had been restored meanwhile.
func TestRegistrationOfAnEarlierEraIsWrittenAgain(t *testing.T) {
	h := newHost(t)
	h.step(StoreAnswered{Era: 1})
	h.advance(0)
	w, _ := get[WriteObject](h)
	h.step(StoreAnswered{Era: 2})
	h.step(WriteDone{Result: core.ObjectResult{Tag: w.Call.Tag, Status: core.ObjectOK, Era: 2}})
	h.now += registrationSpread
	h.is.Equal(h.registered(), uint64(2))
}

// The copy has the registration of a process that has been replaced since.
func TestCopyOfARegistrationDoesNotReplaceTheRunningProcess(t *testing.T) {
	h := newHost(t)
	h.step(StoreAnswered{Era: 1})
	process := func(id core.HostID, era uint64) HostListed {
		return HostListed{Host: fleet.Registration{Name: "b", Host: id, Key: string(id), Era: era}}
	}
	h.step(process("b/1", 1))
	h.step(process("b/2", 1))
	h.step(StoreAnswered{Era: 2})
	h.step(process("b/1", 1))
	h.is.True(h.m.Trusted("b/2", "b/2"))
	h.step(process("b/3", 2))
	h.is.True(h.m.Trusted("b/3", "b/3"))
}

// The copy lacks a replica that has registered since, and lists one that was removed.
func TestRestoredListOfReplicas(t *testing.T) {
	h := newHost(t)
	h.step(StoreAnswered{Era: 1})
	h.step(ReplicaUnlisted{ID: "s1"})
	h.step(StoreAnswered{Era: 2})
	copied := []replicas.Entry{replica("e1", engines), replica("e2", engines), replica("s1", services)}
	h.step(ReplicasListed{Entries: copied})
	h.arrive(RequestArrived{Path: "/read/x"})
	h.is.Equal(h.dispatch().Upstream, core.UpstreamID("s2")) // it is running, and writes its entry again
	h.is.True(h.m.replicas.Get("s1") == nil)
	h.step(ReplicaListed{Entry: replica("s2", services)})
	h.advance(time.Minute)
	h.is.True(h.m.replicas.Get("s2") != nil)
}

// Rule DRAIN: a host that had been cut off sent work to a replica that the first whole
// list after the cut lacked.
func TestUnlistedReplicaGetsWorkOnlyIfNoneIsListed(t *testing.T) {
	h := newHost(t)
	h.step(StoreCallFailed{})
	h.now += 2 * time.Second
	h.step(StoreAnswered{})
	h.step(ReplicasListed{Entries: []replicas.Entry{replica("s2", services)}})
	h.is.True(h.m.replicas.Get("s1") != nil)
	for range 4 { // more than its batch
		h.arrive(RequestArrived{Path: "/read/x"})
		h.is.Equal(h.dispatch().Upstream, core.UpstreamID("s2"))
	}
}

// Rule DRAIN: messages from before a cut added replicas again.
func TestDelayedMessageDoesNotAddARemovedReplica(t *testing.T) {
	h := newHost(t)
	h.step(ReplicaUnlisted{ID: "s1"})
	late := replica("s1", services)
	late.Sequence = 9
	h.step(MessageReceived{From: "b/1", Message: Message{Replicas: []replicas.Entry{late}}})
	h.is.True(h.m.replicas.Get("s1") == nil)
	h.step(ReplicaListed{Entry: late}) // the store itself reports it
	h.is.True(h.m.replicas.Get("s1") != nil)
}

func TestRestoredLeasesAreNotWrittenBeforeTheyAreListed(t *testing.T) {
	is := is.New(t)
	h := newHost(t)
	h.step(StoreAnswered{Era: 1})
	h.step(LeasesListed{Era: 1})
	h.advance(5 * time.Second)
	writes := func() (n int) {
		for _, e := range h.out {
			if w, ok := e.(WriteObject); ok && w.Call.Key != HostsPrefix+"a" {
				n++
			}
		}
		return n
	}
	is.Equal(writes(), 4)
	h.step(StoreAnswered{Era: 2})
	h.advance(5 * time.Second)
	is.Equal(writes(), 0)
	h.step(LeasesListed{Era: 1}) // an answer from before
	h.advance(5 * time.Second)
	is.Equal(writes(), 0)
}

// Guards against streams that go on at another software version, and requests that crash replicas,
// after a loss of all hosts beside a restoration of the store: a starting host took a list of leases
// that it had dropped for all that there was to read.
func TestStartingHostReadsTheLeasesOfTheLatestEra(t *testing.T) {
	is := is.New(t)
	value, err := json.Marshal(shard.Record{
		Owner: "gone", Fence: 1, Era: 1,
		Parts:    shard.PartStates{badPart.String(): {Blocked: true, Rounds: 3, NextMS: 5000}},
		Software: shard.SoftwareAges{"engines": {"v1": 100}},
	})
	is.NoErr(err)
	leases := []core.Object{{Key: shard.Prefix + "0", Value: value, Version: 1, Era: 2}}
	h := newHost(t)
	h.step(StoreAnswered{Era: 1})
	h.step(StoreAnswered{Era: 2})
	h.step(LeasesListed{Era: 1})
	is.True(!h.m.parts.tracker.Blocked(badPart))
	h.step(LeasesListed{Era: 2, Objects: leases})
	is.True(h.m.parts.tracker.Blocked(badPart))
	h.m.origins.versions.Observe(core.Instant(h.now), "engines", "v2")
	_, only := h.m.origins.versions.Only(core.Instant(h.now), "engines")
	is.True(!only)
}

// Guards against hosts that refuse what is within a workspace's rate after all of them have restarted: each had read the
// others' registrations, had heard none of them yet and filled its buckets at a tenth of the rate.
func TestHostThatHasJustStartedDoesNotTakeItselfForCutOff(t *testing.T) {
	h := &host{is: is.New(t), m: New(Settings{Self: fleet.Registration{Name: "a", Host: "a/1", Domain: "a"}})}
	h.now = 200 * time.Millisecond
	h.step(ConfigurationRead{Table: testTable()})
	h.step(VersionsRead{})
	h.step(LeasesListed{})
	h.step(ReplicasListed{Entries: []replicas.Entry{replica("s1", services), replica("s2", services)}})
	for i := range 9 {
		name := "b" + strconv.Itoa(i)
		h.step(HostListed{Host: fleet.Registration{Name: name, Host: core.HostID(name + "/1"), Domain: "a"}})
	}
	served := 0
	for range 30 { // three requests of 10 tokens in 300 ms; the rate is 100 tokens a second
		h.advance(20 * time.Millisecond)
		if served < 6 && h.keyWorks() {
			served++
		}
	}
	h.is.Equal(served, 6)
	h.advance(time.Second)
	h.is.Equal(h.m.fleet.ReachableFraction(core.Instant(h.now)), 0.1)
	_, fraction := h.m.quota.Level(core.Instant(h.now), "w")
	h.is.Equal(fraction, 0.1) // it still has heard none of them
}
