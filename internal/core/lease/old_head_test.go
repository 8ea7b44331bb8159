package lease_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/lease"
	"gentiancroft/internal/measure/membership"
)

// TestLeaderWithAnOldHeadDoesNotWrite keeps a leader from reading the head. The
// leader must not write a heartbeat object that a newer head has been used for:
// a member that its old head lists may have been removed since.
func TestLeaderWithAnOldHeadDoesNotWrite(t *testing.T) {
	is := is.New(t)
	f := membership.NewFleet(1)
	h := f.AddHost(membership.Places(1)[0])
	f.Run(5 * time.Second)
	is.True(h.Lease.IsBatchLeader())
	key := lease.HeartbeatsPrefix + "r1-a/0"
	read := func(key string) (o core.Object) {
		f.Store.Do(core.ObjectCall{Op: core.ObjectGet, Key: key}, false, func(r core.ObjectResult) { o = r.Object })
		return o
	}
	f.CallFault = func(_ *membership.Host, c core.ObjectCall) membership.Fault {
		return membership.Fault{DropCall: c.Key == lease.HeadKey}
	}
	head, err := lease.DecodeHead(read(lease.HeadKey).Value)
	is.NoErr(err)
	beat, err := lease.DecodeHeartbeatBatch(read(key).Value)
	is.NoErr(err)
	head.Version++
	beat.Leader, beat.MaxHeadVersion = "gone", head.Version
	value, err := lease.EncodeHeartbeatBatch(beat)
	is.NoErr(err)
	f.Store.WriteExternal(key, value)
	written := read(key).Version
	f.Run(20 * time.Second)
	is.Equal(read(key).Version, written) // not written with the old head
	is.Equal(h.Lease.HasLease(h.LocalTime(f.Now)), false)
	value, err = lease.EncodeHead(head)
	is.NoErr(err)
	f.Store.WriteExternal(lease.HeadKey, value)
	f.CallFault = nil
	f.Run(10 * time.Second)
	is.True(read(key).Version > written)
	is.True(h.Lease.HasLease(h.LocalTime(f.Now)))
}
