package upstream

import (
	"slices"

	"gentiancroft/internal/core"
)

// rememberedRequests is how many requests of a connection are remembered.
const rememberedRequests = 32

// recentRequests are the latest requests that a connection has carried, as short hashes. An upstream may
// repeat an earlier answer on it, which names its request: a call with the same id would take it for its own.
type recentRequests struct {
	hashes []uint32
	next   int // the place of the oldest one, once there are rememberedRequests
}

// add remembers a request. One without an id can't be mistaken for another.
func (r *recentRequests) add(id core.RequestID) {
	if id == "" {
		return
	}
	if len(r.hashes) < rememberedRequests {
		r.hashes = append(r.hashes, core.ShortHash(string(id)))
		return
	}
	r.hashes[r.next] = core.ShortHash(string(id))
	r.next = (r.next + 1) % rememberedRequests
}

// has reports whether a request may be among them.
func (r *recentRequests) has(id core.RequestID) bool {
	return id != "" && slices.Contains(r.hashes, core.ShortHash(string(id)))
}

// mayCarry reports whether a call may be sent on a kept connection, as far as late copies of earlier
// answers could pass for its answer.
func (c *conn) mayCarry(call Call) bool {
	return !(call.Strict && c.unnamed) && !c.requests.has(call.Request)
}
