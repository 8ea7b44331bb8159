package limit

import (
	"testing"
	"time"

	"gentiancroft/internal/core"
)

func TestLateShareRequestRecordsNothing(t *testing.T) {
	p := newPair(t)
	p.grantShare()
	stale := p.holder.shareRequest(p.now, ws, p.holder.holders[ws])
	stale.Demand = 50
	p.now = p.now.Add(3 * DefaultShareTTL)
	p.collect("o", p.owner.Tick(p.now, p.ownerView)) // reclaims the share
	led := p.owner.ledgers[ws]
	p.is.Equal(len(led.entries), 0)
	p.collect("o", p.owner.HandleMessage(p.now, p.ownerView, "h", Message{ShareRequest: &stale}))
	sum := led.pool.burst
	for _, e := range led.entries {
		sum += e.burst
	}
	p.is.Equal(sum, toNanotokens(1000))
}

func TestFrozenOwnerSpendsNothingAndGrantsItsPool(t *testing.T) {
	p := newPair(t)
	p.grantShare()
	p.ownerView.acting = false
	r := p.owner.Reserve(p.now, p.ownerView, "mine", ws, 10)
	p.is.True(len(r.Decisions) == 0 || !r.Decisions[0].Granted)
	p.collect("o", r)
	p.deliver() // it borrows from the holder
	p.is.True(p.decisions[len(p.decisions)-1].Granted)
	for range 3 {
		p.now = p.now.Add(2 * time.Second)
		p.collect("o", p.owner.Tick(p.now, p.ownerView))
		p.deliver()
	}
	p.is.Equal(p.owner.ledgers[ws].pool.burst, nanotokens(0))
	_, burst := p.totals()
	p.is.True(burst <= toNanotokens(1000))
}

func TestHandoffKeepsTheLedger(t *testing.T) {
	p := newPair(t)
	p.grantShare()
	before := p.poolLevel()
	state := p.owner.HandOff(p.now, ws)
	p.is.True(state != nil)
	p.is.True(p.owner.HandOff(p.now, ws) == nil)
	r := p.owner.Reserve(p.now, p.ownerView, "mine", ws, 1)
	p.is.True(len(r.Decisions) == 0 || !r.Decisions[0].Granted)             // spends nothing any more
	p.is.Equal(len(r.Calls)+len(p.owner.Tick(p.now, p.ownerView).Calls), 0) // and claims nothing under the same fencing number
	next := New(Settings{Self: "n", StartDelay: -1}, core.NewRand(3))
	next.Configure(p.now, 1, []Limit{{ws, 100, 1000}})
	next.Adopt(p.now, ws, state, "o")
	own := &fakeOwnership{self: "n", owner: "n", acting: true, grant: core.Grant{Fence: 2, Until: 1 << 60}, hosts: members}
	q := &pair{is: p.is, now: p.now, owner: next, ownerView: own}
	value := p.storedList(1)
	q.openLedger(core.ObjectResult{Status: core.ObjectOK, Object: core.Object{Value: value, Version: 1}},
		core.ObjectResult{Status: core.ObjectOK, Object: core.Object{Version: 2}})
	led := next.ledgers[ws]
	p.is.Equal(led.pool.level, before)
	p.is.Equal(len(led.entries), 1)
	p.is.True(!led.withheld)
}

// A stale handed-over ledger is not used: another host has owned the workspace since.
func TestStaleHandoffIsNotUsed(t *testing.T) {
	p := newPair(t)
	p.grantShare()
	state := p.owner.HandOff(p.now, ws)
	next := New(Settings{Self: "n", StartDelay: -1}, core.NewRand(3))
	next.Configure(p.now, 1, []Limit{{ws, 100, 1000}})
	next.Adopt(p.now, ws, state, "o")
	own := &fakeOwnership{self: "n", owner: "n", acting: true, grant: core.Grant{Fence: 5, Until: 1 << 60}, hosts: members}
	q := &pair{is: p.is, now: p.now, owner: next, ownerView: own}
	q.openLedger(core.ObjectResult{Status: core.ObjectOK, Object: core.Object{Value: p.storedList(4), Version: 9}},
		core.ObjectResult{Status: core.ObjectOK, Object: core.Object{Version: 10}})
	p.is.True(next.ledgers[ws].withheld)
	p.is.Equal(next.ledgers[ws].pool.burst, nanotokens(0))
}

// A write that was applied when its writer could not act any more opens no ledger.
func TestLateListWriteOpensNoLedger(t *testing.T) {
	p := newPair(t)
	late := New(Settings{Self: "o", StartDelay: -1}, core.NewRand(4))
	late.Configure(p.now, 1, []Limit{{ws, 100, 1000}})
	r := late.Tick(p.now, p.ownerView)
	r = late.HandleObject(p.now, p.ownerView, core.ObjectResult{Tag: r.Calls[0].Tag, Status: core.ObjectNotFound})
	p.ownerView.acting = false
	late.HandleObject(p.now, p.ownerView, core.ObjectResult{Tag: r.Calls[0].Tag, Status: core.ObjectOK, Object: core.Object{Version: 1}})
	p.is.True(late.ledgers[ws] == nil)
}

func TestLeavingHostReturnsItsShareOnce(t *testing.T) {
	p := newPair(t)
	p.grantShare()
	h := p.holder.holders[ws]
	sum := p.poolLevel() + h.bucket.level
	p.collect("h", p.holder.Leave(p.now, p.holderView))
	p.is.Equal(h.bucket.burst, nanotokens(0))
	p.toOwner = append(p.toOwner, p.toOwner...) // duplicated
	p.deliver()
	p.is.Equal(p.owner.ledgers[ws].pool.burst, toNanotokens(1000))
	p.is.Equal(p.poolLevel(), sum)
}

func TestFrozenOwnerReclaimsNothing(t *testing.T) {
	p := newPair(t)
	p.grantShare()
	p.ownerView.acting = false
	for range 6 {
		p.now = p.now.Add(DefaultShareTTL / 2)
		p.collect("o", p.owner.Tick(p.now, p.ownerView))
		p.toHolder = nil // the holder is cut off, and may hold a share of a successor
	}
	p.is.Equal(len(p.owner.ledgers[ws].entries), 1)
	p.is.True(p.owner.ledgers[ws].pool.burst < toNanotokens(1000))
}

// A successor records no statement of a host that has not promised its fencing number.
func TestSuccessorIgnoresRequestsWithoutItsFence(t *testing.T) {
	p := newPair(t)
	p.grantShare()
	next := New(Settings{Self: "n", StartDelay: -1}, core.NewRand(3))
	next.Configure(p.now, 1, []Limit{{ws, 100, 1000}})
	own := &fakeOwnership{self: "n", owner: "n", acting: true, grant: core.Grant{Fence: 2, Until: 1 << 60}, hosts: members}
	q := &pair{is: p.is, now: p.now, owner: next, ownerView: own, holder: p.holder, holderView: &fakeOwnership{self: "h", owner: "n", hosts: members}}
	q.openLedger(core.ObjectResult{Status: core.ObjectOK, Object: core.Object{Value: p.storedList(1), Version: 1}},
		core.ObjectResult{Status: core.ObjectOK, Object: core.Object{Version: 2}})
	q.toHolder = nil // its state requests are lost
	led := next.ledgers[ws]
	p.is.Equal(led.notRestated, []core.HostID{"h"})
	early := p.holder.shareRequest(p.now, ws, p.holder.holders[ws])
	r := next.HandleMessage(p.now, own, "h", Message{ShareRequest: &early})
	p.is.Equal(led.notRestated, []core.HostID{"h"})
	p.is.True(r.Sends[0].Message.StateRequest != nil)
	held := p.holder.holders[ws].bucket.burst
	q.collect("o", r)
	q.deliver()
	p.is.Equal(len(led.notRestated), 0)
	p.is.True(held > 0)
	q.now = q.now.Add(2 * time.Second)
	q.collect("o", next.Tick(q.now, own))
	q.deliver()
	rate, burst := q.totals()
	p.is.True(rate <= toMicrotokenRate(100) && burst <= toNanotokens(1000))
	p.is.True(burst > toNanotokens(990)) // nothing is withheld any more
	stale := Share{Workspace: ws, Fence: 1, Seq: 99, Rate: 1, Burst: 1, Echo: q.now, Term: DefaultShareTTL}
	before := p.holder.holders[ws].applied
	p.holder.HandleMessage(q.now, q.holderView, "o", Message{Share: &stale}) // from the old owner
	p.is.Equal(p.holder.holders[ws].applied, before)
}

// A host is granted nothing before the stored list names it, even if it requests a share.
func TestHostIsListedBeforeItGetsAShare(t *testing.T) {
	p := newPair(t)
	p.deliver()
	p.ownerView.hosts = append([]core.Member{{Host: "x"}}, members...)
	r := p.owner.HandleMessage(p.now, p.ownerView, "x", Message{ShareRequest: &ShareRequest{Workspace: ws, Fence: 1, Demand: 90, Largest: 10, Sent: 1}})
	p.is.Equal(len(r.Calls), 1) // lists it first
	p.is.Equal(r.Sends[0].Message.Share.Burst, int64(0))
	p.is.True(p.owner.ledgers[ws].entry("x") == nil)
	p.ownerView.acting = false // the write ends too late: a successor may have read the list before
	p.owner.HandleObject(p.now, p.ownerView, core.ObjectResult{Tag: r.Calls[0].Tag, Status: core.ObjectOK, Object: core.Object{Version: 2}})
	r = p.owner.HandleMessage(p.now, p.ownerView, "x", Message{ShareRequest: &ShareRequest{Workspace: ws, Fence: 1, Demand: 90, Largest: 10, Sent: 2}})
	p.is.Equal(r.Sends[0].Message.Share.Burst, int64(0))
	p.is.True(p.owner.ledgers[ws].entry("x") == nil)
}
