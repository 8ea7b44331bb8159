// Package admission decides which waiting request goes next and which one is
// refused when too many wait.
//
// A Queue stands before one or more upstreams at their owner, so it sees the
// requests of all entry hosts: a workspace gains nothing by spreading over
// them. Capacity is shared in tokens, by weight, over the workspaces that
// wait (start-time fair queueing), one virtual clock a priority class.
//
// The package is pure: see package core.
package admission
