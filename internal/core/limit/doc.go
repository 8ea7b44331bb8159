// Package limit keeps each workspace within its token rate and burst over all
// hosts.
//
// The owner of a workspace's shard keeps a ledger that divides the rate and burst:
// the owner spends from the shared pool, other hosts (share holders) from shares
// that they need no message to use. A host whose share is too small for a request
// borrows tokens for that request with one message. Inputs are the configured
// limits, reservations, the usage reported when they end, messages of other hosts
// and results of object calls. Which host owns a shard is left to package lease,
// the sending of messages and calls to the caller.
//
// Invariants:
//
//   - Sum: at any real time the rates of the pool and all shares sum to at most
//     the rate, and their bursts plus tokens in flight to at most the burst. A
//     share or loan is debited at its source before it is sent, and credited once.
//   - Term: a holder spends a share only before its term ends, counted from before
//     the holder sent its request. The owner reclaims an expired share only after
//     the term plus clock drift, counted from its answer, and only while Acting.
//   - Successor: an owner spends and grants what other hosts may hold only after
//     each host that may hold a share has restated it and promised to ignore lower
//     fencing numbers, or after the horizon, by which every older share has
//     expired. A host is listed in the object API before it gets a share.
//   - Returns: unused tokens go back once, to the bucket they were taken from, and
//     only as far as that bucket would not have overflowed since. So a charge
//     counts at the time of its reservation, and a return creates no tokens.
//
// The package is pure: see package core.
package limit
