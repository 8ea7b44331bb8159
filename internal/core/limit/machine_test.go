package limit

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"gentiancroft/internal/core"
)

const ws = core.WorkspaceID("ws")

// fakeOwnership is a core.Ownership whose values the test sets.
type fakeOwnership struct {
	self, owner core.HostID
	grant       core.Grant
	acting      bool
	hosts       []core.Member
}

func (o *fakeOwnership) Self() core.HostID                     { return o.self }
func (o *fakeOwnership) Owner(core.Shard) (core.HostID, bool)  { return o.owner, true }
func (o *fakeOwnership) Serving(core.Instant, core.Shard) bool { return o.owner == o.self }
func (o *fakeOwnership) Members() []core.Member                { return o.hosts }
func (o *fakeOwnership) Acting(now core.Instant, _ core.Shard) (core.Grant, bool) {
	return o.grant, o.acting && now < o.grant.Until
}

// pair is an owner and a share holder whose messages the test delivers.
type pair struct {
	is                    *is.I
	now                   core.Instant
	owner, holder         *Machine
	ownerView, holderView *fakeOwnership
	toOwner               []Message // sent, not delivered yet
	toHolder              []Message
	decisions             []Decision
}

var members = []core.Member{{Host: "o"}, {Host: "h"}}

// newPair opens a ledger without a predecessor: rate 100, burst 1000. A holder
// without demand holds nothing.
func newPair(t *testing.T) *pair { return newPairWith(t, -1) }

func newPairWith(t *testing.T, even int) *pair {
	p := &pair{is: is.New(t), now: 1}
	limits := []Limit{{ws, 100, 1000}}
	p.owner, p.holder = New(Settings{Self: "o", StartDelay: -1, EvenDivisor: even}, core.NewRand(1)), New(Settings{Self: "h", StartDelay: -1, EvenDivisor: even}, core.NewRand(2))
	p.owner.Configure(p.now, 1, limits)
	p.holder.Configure(p.now, 1, limits)
	p.ownerView = &fakeOwnership{self: "o", owner: "o", acting: true, grant: core.Grant{Fence: 1, Until: 1 << 60}, hosts: members}
	p.holderView = &fakeOwnership{self: "h", owner: "o", hosts: members}
	p.openLedger(core.ObjectResult{Status: core.ObjectNotFound}, core.ObjectResult{Status: core.ObjectOK, Object: core.Object{Version: 1}})
	return p
}

// openLedger answers the object calls that open the owner's ledger.
func (p *pair) openLedger(results ...core.ObjectResult) {
	r := p.owner.Tick(p.now, p.ownerView)
	for _, res := range results {
		p.is.Equal(len(r.Calls), 1)
		res.Tag = r.Calls[0].Tag
		r = p.owner.HandleObject(p.now, p.ownerView, res)
	}
	p.collect("o", r)
}

func (p *pair) collect(from core.HostID, r Result) {
	p.decisions = append(p.decisions, r.Decisions...)
	for _, s := range r.Sends {
		if from == "o" {
			p.toHolder = append(p.toHolder, s.Message)
		} else {
			p.toOwner = append(p.toOwner, s.Message)
		}
	}
}

// deliver delivers messages in both directions until none is left.
func (p *pair) deliver() {
	for len(p.toOwner)+len(p.toHolder) > 0 {
		in, out := p.toOwner, p.toHolder
		p.toOwner, p.toHolder = nil, nil
		for _, m := range in {
			p.collect("o", p.owner.HandleMessage(p.now, p.ownerView, "h", m))
		}
		for _, m := range out {
			p.collect("h", p.holder.HandleMessage(p.now, p.holderView, "o", m))
		}
	}
}

// reserveAtHolder reserves at the holder; deliver then carries out the loan.
func (p *pair) reserveAtHolder(id core.RequestID, n core.Tokens) {
	p.collect("h", p.holder.Reserve(p.now, p.holderView, id, ws, n))
}

func (p *pair) poolLevel() nanotokens {
	led := p.owner.ledgers[ws]
	led.pool.advance(p.now)
	return led.pool.level
}

func TestLoanIsDebitedOnceAndReturnedOnce(t *testing.T) {
	p := newPair(t)
	p.deliver()
	p.owner.Reserve(p.now, p.ownerView, "open", ws, 10) // stays open, so the pool keeps its samples
	p.reserveAtHolder("r1", 590)
	p.toOwner = append(p.toOwner, p.toOwner...) // duplicated
	p.deliver()
	p.is.Equal(len(p.decisions), 1)
	p.is.True(p.decisions[0].Granted)
	p.is.Equal(p.poolLevel(), toNanotokens(400))
	p.collect("h", p.holder.Settle(p.now, p.holderView, "r1", 490, true))
	p.toOwner = append(p.toOwner, p.toOwner...)
	p.deliver()
	p.is.Equal(p.poolLevel(), toNanotokens(500))
	p.collect("h", p.holder.Settle(p.now, p.holderView, "r1", 0, true)) // the end races with a cancellation
	p.collect("h", p.holder.Cancel(p.now, p.holderView, "r1"))
	p.deliver()
	p.is.Equal(p.poolLevel(), toNanotokens(500))
}

func TestHostWithoutDemandGetsAShare(t *testing.T) {
	p := newPairWith(t, DefaultEvenDivisor)
	p.deliver()
	p.is.Equal(p.holder.holderOf(p.now, ws).bucket.burst, toNanotokens(500))
	p.ownerView.acting = false // the owner is lost
	p.reserveAtHolder("r1", 500)
	p.is.True(p.decisions[0].Granted)
	p.is.Equal(len(p.toOwner), 0) // without a message
}

func TestRefusalIsImmediateAndHasRetryAfter(t *testing.T) {
	p := newPair(t)
	p.deliver()
	p.reserveAtHolder("r1", 1000)
	p.deliver()
	p.reserveAtHolder("r2", 500)
	p.deliver()
	last := p.decisions[len(p.decisions)-1]
	p.is.True(!last.Granted)
	p.is.Equal(last.Refusal.Ran, core.RanNo)
	p.is.True(last.Refusal.RetryAfter >= 4*time.Second) // 500 tokens at 100 a second, less what was there
}

func TestUnansweredLoanIsRefusedInTime(t *testing.T) {
	p := newPair(t)
	p.deliver()
	p.reserveAtHolder("r1", 500)
	p.toOwner = nil // lost
	p.now = p.now.Add(DefaultLoanTimeout / 2)
	p.collect("h", p.holder.Tick(p.now, p.holderView))
	p.is.Equal(len(p.toOwner), 1) // repeated
	held := p.toOwner
	p.toOwner = nil
	p.now = p.now.Add(DefaultLoanTimeout)
	p.collect("h", p.holder.Tick(p.now, p.holderView))
	p.is.Equal(len(p.decisions), 1)
	p.is.True(p.decisions[0].Refusal != nil)
	p.toOwner = held
	p.deliver() // the late loan is returned and not charged
	p.is.Equal(len(p.decisions), 1)
	p.is.Equal(p.poolLevel(), toNanotokens(1000))
}

// grantShare makes the owner grant the holder a share by its demand.
func (p *pair) grantShare() {
	for i := range 4 {
		p.now = p.now.Add(time.Second)
		p.reserveAtHolder(core.RequestID(rune('a'+i)), 20)
		p.deliver()
	}
	p.now = p.now.Add(6 * time.Second)
	p.collect("h", p.holder.Tick(p.now, p.holderView))
	p.deliver()
	p.is.True(p.holder.holders[ws].bucket.burst > 0)
}

func (p *pair) totals() (microtokenRate, nanotokens) {
	h, led := p.holder.holders[ws], p.owner.ledgers[ws]
	return h.bucket.rate + led.pool.rate, h.bucket.burst + led.pool.burst
}

func TestShareIsDebitedAndExpiresByTheHoldersClock(t *testing.T) {
	p := newPair(t)
	p.grantShare()
	rate, burst := p.totals()
	p.is.True(rate <= toMicrotokenRate(100))
	p.is.True(burst <= toNanotokens(1000))
	h := p.holder.holders[ws]
	asked := h.lastRequest
	p.is.Equal(h.expires, asked.Add(DefaultShareTTL)) // not counted from when the share arrived
	p.holder.dropExpired(h.expires, h)
	p.is.Equal(h.bucket.burst, nanotokens(0))
	p.now = asked.Add(DefaultShareTTL) // the owner waits longer
	p.collect("o", p.owner.Tick(p.now, p.ownerView))
	p.is.Equal(len(p.owner.ledgers[ws].entries), 1)
	for range 3 {
		p.now = p.now.Add(DefaultShareTTL)
		p.collect("o", p.owner.Tick(p.now, p.ownerView))
	}
	p.is.Equal(len(p.owner.ledgers[ws].entries), 0)
	p.is.Equal(p.owner.ledgers[ws].pool.burst, toNanotokens(1000))
}

func TestDelayedShareDoesNotExpireLater(t *testing.T) {
	p := newPair(t)
	p.grantShare()
	h := p.holder.holders[ws]
	late := Share{
		Workspace: ws, Fence: 1, Seq: h.applied, Rate: int64(h.bucket.rate), Burst: int64(h.bucket.burst),
		Echo: h.lastRequest, Term: DefaultShareTTL,
	}
	p.now = h.lastRequest.Add(DefaultShareTTL - time.Second)
	p.holder.HandleMessage(p.now, p.holderView, "o", Message{Share: &late})
	p.is.Equal(h.expires, h.lastRequest.Add(DefaultShareTTL))
}

func TestLoweredLimitShrinksSharesAtOnce(t *testing.T) {
	p := newPair(t)
	p.grantShare()
	lower := []Limit{{ws, 50, 500}}
	p.holder.Configure(p.now, 2, lower)
	p.owner.Configure(p.now, 2, lower)
	h := p.holder.holders[ws]
	p.is.True(h.bucket.rate <= toMicrotokenRate(50))
	p.is.True(h.bucket.burst <= toNanotokens(500))
	_, burst := p.totals()
	p.is.True(burst <= toNanotokens(500))
	p.holder.Configure(p.now, 1, []Limit{{ws, 1000, 10000}}) // an older version does nothing
	p.is.Equal(p.holder.limits[ws].Burst, core.Tokens(500))
}

// A share computed from a higher limit than this host has configured is scaled down.
func TestShareOfAHigherLimitIsScaledDown(t *testing.T) {
	p := newPair(t)
	p.grantShare()
	h := p.holder.holders[ws]
	p.holder.Configure(p.now, 2, []Limit{{ws, 50, 500}})
	p.holder.HandleMessage(p.now, p.holderView, "o", Message{Share: &Share{
		Workspace: ws, Fence: 1, Seq: h.applied + 1, Rate: int64(toMicrotokenRate(100)), Burst: int64(toNanotokens(1000)),
		TotalRate: 100, TotalBurst: 1000, Echo: p.now, Term: DefaultShareTTL,
	}})
	p.is.Equal(h.bucket.burst, toNanotokens(500))
	p.is.Equal(h.bucket.rate, toMicrotokenRate(50))
}

func TestInvalidTokenCounts(t *testing.T) {
	p := newPair(t)
	p.deliver()
	for _, c := range []struct {
		tokens core.Tokens
		code   core.Code
	}{{0, core.CodeBadRequest}, {-1, core.CodeBadRequest}, {math.MinInt64, core.CodeBadRequest}, {1001, core.CodeExceedsBurst}, {math.MaxInt64, core.CodeExceedsBurst}} {
		r := p.owner.Reserve(p.now, p.ownerView, "r", ws, c.tokens)
		p.is.Equal(r.Decisions[0].Refusal.Code, c.code)
	}
	for _, n := range []core.Tokens{0, -7, math.MinInt64, math.MaxInt64} { // from a hostile or broken peer
		p.is.Equal(len(p.owner.HandleMessage(p.now, p.ownerView, "h", Message{LoanRequest: &LoanRequest{Workspace: ws, ID: "x", Tokens: n, Entry: "h"}}).Sends), 0)
	}
	p.is.Equal(p.poolLevel(), toNanotokens(1000))
}

func TestMissingUsageChargesWhatWasSeenOrEverything(t *testing.T) {
	p := newPair(t)
	p.deliver()
	p.owner.Reserve(p.now, p.ownerView, "a", ws, 100)
	p.owner.Reserve(p.now, p.ownerView, "b", ws, 100)
	p.owner.Settle(p.now, p.ownerView, "a", 30, false)
	p.owner.Settle(p.now, p.ownerView, "b", 0, false)
	p.is.Equal(p.poolLevel(), toNanotokens(870))
	p.owner.Settle(p.now, p.ownerView, "b", 0, true) // second Settle
	p.is.Equal(p.poolLevel(), toNanotokens(870))
}

// storedList returns the object's value as an owner with fencing number f wrote it.
func (p *pair) storedList(f core.Fence) []byte {
	v, err := cbor.Marshal(holderList{Fence: f, Owner: "o", Holders: []core.HostID{"h"}})
	p.is.NoErr(err)
	return v
}

// An owner that reclaimed a share and then gets a late share request doesn't record
// that share again: its answer must not extend the holder's term.
func TestShareBelowTheHeldOneRenewsNothing(t *testing.T) {
	p := newPair(t)
	p.grantShare()
	h := p.holder.holders[ws]
	until := h.expires
	for _, burst := range []nanotokens{0, h.bucket.burst - 1} {
		p.now = p.now.Add(time.Second)
		p.holder.HandleMessage(p.now, p.holderView, "o", Message{Share: &Share{
			Workspace: ws, Fence: 1, Seq: h.applied, Rate: int64(h.bucket.rate), Burst: int64(burst), Echo: p.now, Term: DefaultShareTTL,
		}})
		p.is.Equal(h.expires, until)
	}
}
