// Package admission decides which waiting request runs next and which one is
// refused when too many wait.
//
// A Queue belongs to one or more upstreams and is kept by their owner, so it holds
// the requests of all entry hosts: a workspace gains nothing by spreading over
// them. Capacity is shared in tokens, by weight, among the workspaces that wait
// (start-time fair queueing), with one virtual clock per priority class.
//
// Inputs are the items, the time and which adapters are ready. Dispatching, and
// answering refused requests, are left to the caller. The package is pure: see
// package core.
package admission
