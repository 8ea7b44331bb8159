package direct

import (
	"fmt"
	"slices"
	"strings"

	"gentiancroft/internal/core"
)

// Decision describes the notes of one name: what is decided and what each note
// carries beside its reason.
type Decision struct {
	Name    string
	About   string
	Detail  string // what Note.Detail holds
	Age     string // what Note.Age is the age of; "": it is not set
	Reasons []Reason
}

// Reason is one outcome of a decision.
type Reason struct {
	Name    string
	Meaning string
	Quiet   bool // it is counted and not logged
}

// refusals are the codes that a request can be refused with.
var refusals = []Reason{
	{Name: string(core.CodeCutOff), Meaning: "the host has no configuration or list of replicas yet"},
	{Name: string(core.CodeLeaving), Meaning: "the host is shutting down"},
	{Name: string(core.CodeUnknownRoute), Meaning: "no route for host and path in the configuration in force"},
	{Name: string(core.CodeNoKey), Meaning: "the key is missing or not in the configuration in force"},
	{Name: string(core.CodeKeyWithdrawn), Meaning: "the key was withdrawn while the request waited"},
	{Name: string(core.CodeRateLimited), Meaning: "the workspace's bucket is in debt, over all hosts"},
	{Name: string(core.CodeNoUpstream), Meaning: "no replica could be had in time"},
	{Name: string(core.CodeOverloaded), Meaning: "all replicas are full or refuse, or the request is suspected of crashing replicas"},
	{Name: string(core.CodeDeadline), Meaning: "the deadline or the route's timeout has passed"},
	{Name: string(core.CodeUpstreamFailed), Meaning: "a replica may have run it and gave no whole answer"},
}

// Catalog lists every decision that a Note can tell of.
func Catalog() []Decision {
	return []Decision{
		{Name: "admission", About: "a request against the configuration in force", Detail: "the route; where it is refused: why, the path, the configuration's version",
			Reasons: append([]Reason{{Name: "admitted", Meaning: "it goes on", Quiet: true}}, refusals...)},
		{Name: "wait", About: "a request that no replica can take now", Detail: "the adapter", Reasons: []Reason{
			{Name: "adapter", Meaning: "no replica holds its adapter; it is asked for"}}},
		{Name: "dispatch", About: "an attempt is sent to `upstream`", Detail: "requests there, as far as the host knows", Age: "the request", Reasons: []Reason{
			{Name: "least_occupied", Meaning: "the replica with the most room among those that can run it"}}},
		{Name: "attempt", About: "an attempt at `upstream` has ended", Age: "the attempt", Reasons: []Reason{
			{Name: "ok", Meaning: "a whole success", Quiet: true},
			{Name: "not_reached", Meaning: "nothing was sent"},
			{Name: "not_run", Meaning: "the replica says that it did not run it"},
			{Name: "missing", Meaning: "the replica lacks the adapter or version, or is another one"},
			{Name: "error", Meaning: "the replica's own failure"},
			{Name: "broken", Meaning: "sent, and no whole answer came"},
			{Name: "cancelled", Meaning: "ended by this host"}}},
		{Name: "retry", About: "whether a request is tried elsewhere", Age: "the attempt", Reasons: []Reason{
			{Name: "silent", Meaning: "`upstream` has not answered in time; the request moves"},
			{Name: "budget_spent", Meaning: "not tried again: retries are at their bound"}}},
		{Name: "refusal", About: "the final answer of an admitted request", Detail: "why", Age: "the request", Reasons: refusals},
		{Name: "cancel", About: "a request ends without an answer", Age: "the request", Reasons: []Reason{
			{Name: "caller_gone", Meaning: "the caller hung up"}}},
		{Name: "order", About: "an order to `upstream` has ended", Detail: "the order, and the orders accepted before it", Reasons: []Reason{
			{Name: "accepted", Meaning: "it is being carried out"},
			{Name: "holds", Meaning: "the replica is as ordered"},
			{Name: "conflict", Meaning: "another order came first; the replica is asked for its state"},
			{Name: "elsewhere", Meaning: "another replica has the address"},
			{Name: "invalid", Meaning: "the replica can't carry it out"},
			{Name: "unknown", Meaning: "no answer: it may be carried out late"}}},
		{Name: "replica", About: "`upstream` in the platform's list", Detail: "its service", Reasons: []Reason{
			{Name: "started", Meaning: "it is new, or has started again"},
			{Name: "leaving", Meaning: "it is sent nothing more"},
			{Name: "gone", Meaning: "its entry is gone"}}},
		{Name: "configuration", About: "a version of the configuration", Detail: "the version", Reasons: []Reason{
			{Name: "in_force", Meaning: "it decides from now on"}}},
		{Name: "settings", About: "settings that have changed under way", Reasons: []Reason{
			{Name: "in_force", Meaning: "they decide from now on"}}},
		{Name: "reread", About: "whether documents are read again", Detail: "the host that knows more", Reasons: []Reason{
			{Name: "newer_elsewhere", Meaning: "another host knows a newer configuration or adapter version"},
			{Name: "store_back", Meaning: "the store answers again after an outage"}}},
		{Name: "fleet", About: "whether this host is one of those that callers are sent to", Detail: "active hosts that it hears", Reasons: []Reason{
			{Name: "active", Meaning: "callers are told of this host"},
			{Name: "standby", Meaning: "stronger hosts serve; this one takes the place of one that is lost"}}},
		{Name: "shard", About: "who orders the replicas of a shard", Detail: "shard and holder", Reasons: []Reason{
			{Name: "holder", Meaning: "the holder has changed"}}},
		{Name: "leave", About: "a graceful shutdown", Detail: "requests left", Reasons: []Reason{
			{Name: "begun", Meaning: "callers are told of the host no more"},
			{Name: "ended", Meaning: "the process ends"}}},
	}
}

// Known reports whether a note stands in the catalog as it is.
func Known(n Note) bool {
	for _, d := range Catalog() {
		if d.Name != n.Name {
			continue
		}
		return slices.ContainsFunc(d.Reasons, func(r Reason) bool { return r.Name == n.Reason && r.Quiet == n.Quiet })
	}
	return false
}

// Page is docs/logs.md: every line that a decision gives, from the catalog.
func Page() string {
	var b strings.Builder
	b.WriteString("# Log lines of a relaying host\n\n")
	b.WriteString("JSON lines on standard output. Each has `time`, `level` and `message`; lines with the message `decided` have\n")
	b.WriteString("`decision` and `reason` and, where they are known, `request` (the caller's id), `upstream`, `detail` and `age_ms`.\n")
	b.WriteString("Every decision is also a counter, `decision.NAME.REASON`. Those marked * are counted and not logged.\n")
	b.WriteString("A kind with more than 100 lines a second is summed up in a line `lines summed up`; what a reader did not take in\n")
	b.WriteString("time is told in a line `lines dropped`. Other messages: `started`, `stopped`, `dependency changed`, `object skipped`,\n")
	b.WriteString("`order without an answer`, `report not read`. This page is checked against the code.\n\n")
	b.WriteString("| decision | about | reason | meaning | detail | age of |\n|---|---|---|---|---|---|\n")
	for _, d := range Catalog() {
		for _, r := range d.Reasons {
			name := "`" + r.Name + "`"
			if r.Quiet {
				name += " *"
			}
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", d.Name, d.About, name, r.Meaning, d.Detail, d.Age)
		}
	}
	return b.String()
}
