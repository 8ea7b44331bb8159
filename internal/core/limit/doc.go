// Package limit keeps each workspace within its rate and burst over all hosts.
//
// A workspace's limit is cut into slices of rate and burst. The owner of the
// workspace's shard books the slices: its own (the pool), and shares that it
// grants to other hosts, which spend them unasked. A host without enough in
// its share borrows tokens for one request by one message.
//
// Invariants:
//
//   - Sum: at any real time the rates of all slices sum to at most the rate,
//     and bursts plus tokens in flight to at most the burst. A slice or loan is
//     debited where it comes from before it is sent, and credited once.
//   - Term: a share is spent only before its term ends, counted by its holder
//     from before it asked. The owner takes a lapsed share back only after the
//     term with drift, counted from its answer, and only while it is Acting.
//   - Successor: an owner spends and grants what it can't see only after every
//     host that may hold a share has restated it and promised to ignore older
//     fencing numbers, or after the horizon that no older share outlives. The
//     hosts that may hold shares are listed in the object API before they get
//     any.
//   - Returns: unused tokens go back once, to the slice they were taken from,
//     and only as far as that slice would not have overflowed since, so a
//     charge counts at its reservation's time and a return creates nothing.
//
// The package is pure: see package core.
package limit
