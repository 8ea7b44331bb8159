package relaynode

import (
	"fmt"
	"slices"
	"strings"

	"gentiancroft/internal/core"
)

// Decision describes the log entries of one decision: its subject, its possible
// reasons, and the meaning of the entries' other fields.
type Decision struct {
	Name    string
	Subject string
	Detail  string // meaning of LogDecision.Detail
	Age     string // what LogDecision.Age is the age of; "": it is not set
	Reasons []Reason
}

// Reason is one outcome of a decision.
type Reason struct {
	Name        string
	Meaning     string
	MetricsOnly bool // counted and not logged
}

// refusalReasons are the codes that a request can be refused with.
var refusalReasons = []Reason{
	{Name: string(core.CodeHostCutOff), Meaning: "the host has not read its configuration, replicas, adapter versions or evacuations yet"},
	{Name: string(core.CodeHostLeaving), Meaning: "the host is shutting down"},
	{Name: string(core.CodeUnknownRoute), Meaning: "no route for host and path in the configuration in force"},
	{Name: string(core.CodeInvalidKey), Meaning: "the key is missing or not in the configuration in force"},
	{Name: string(core.CodeKeyWithdrawn), Meaning: "the key was withdrawn while the request waited"},
	{Name: string(core.CodeRateLimited), Meaning: "the workspace's bucket, which all hosts share, is in debt, or this host's part of the rate has no room"},
	{Name: string(core.CodeNoUpstream), Meaning: "no replica could run it in time"},
	{Name: string(core.CodeOverloaded), Meaning: "all replicas are saturated or rejected it, none is expected to begin it before its deadline, or the request is suspected of crashing replicas"},
	{Name: string(core.CodeDeadlineExceeded), Meaning: "the deadline or the route's timeout has passed"},
	{Name: string(core.CodeUpstreamFailed), Meaning: "a replica may have run it and gave no complete answer"},
}

// Catalog lists every decision that the machine logs.
func Catalog() []Decision {
	return []Decision{
		{Name: "admission", Subject: "whether a request is admitted under the configuration in force", Detail: "the route; if refused: the cause, the path and the configuration's version",
			Reasons: append([]Reason{{Name: "admitted", Meaning: "it is placed on a replica", MetricsOnly: true}}, refusalReasons...)},
		{Name: "wait", Subject: "a request that no replica can run now", Detail: "the adapter", Reasons: []Reason{
			{Name: "room", Meaning: "only brittle replicas can run it, and they have no room for requests of this host"},
			{Name: "permit", Meaning: "only replicas that name a limit or are cold can run it; a permit is asked for"},
			{Name: "adapter", Meaning: "no replica has its adapter loaded, or those that have it are saturated or would be late; its load is demanded"}}},
		{Name: "dispatch", Subject: "an attempt is sent to `upstream`", Detail: "requests at the replica, of this host and as reported by others; of an engine whose answers are known: the predicted time until the first event, and the predicted pause in the streams that run there; if versions of the adapter were announced: the one loaded there, the newest, and the one that the replica must confirm (0: any); of a stream that goes on: where it began, and the version of the replica's software; the host that carries the connection", Age: "the request", Reasons: []Reason{
			{Name: "least_occupied", Meaning: "the replica with the lowest cost among those that can run it: predicted first event, predicted pause and occupied places"}}},
		{Name: "error_share", Subject: "whether first attempts avoid `upstream`, whose share of failed answers is far above that of the other replicas of its service", Detail: "both shares", Reasons: []Reason{
			{Name: "avoided", Meaning: "they avoid it; one in 20 is still sent to it"},
			{Name: "avoided_ended", Meaning: "they no longer avoid it: its error share has fallen"},
			{Name: "probe", Meaning: "a first attempt is sent to it although it is avoided, so that its recovery is seen", MetricsOnly: true}}},
		{Name: "stall", Subject: "whether this process has stood still", Age: "the last step before", Reasons: []Reason{
			{Name: "list_in_doubt", Meaning: "it has; its list of replicas counts again once it has been compared with the store's"}}},
		{Name: "software", Subject: "whether this host knows all software versions at which streams can have begun lately", Age: "the last comparison of the list of replicas; with `known_elsewhere`: the knowledge", Reasons: []Reason{
			{Name: "unknown", Meaning: "its list wasn't current for too long: streams whose origin isn't recorded are refused for a minute"},
			{Name: "known_elsewhere", Meaning: "another host knows all, and has seen the same versions"}}},
		{Name: "path", Subject: "this host's own path to `upstream`", Detail: "the evidence", Age: "the evidence", Reasons: []Reason{
			{Name: "blocked", Meaning: "no connection can be opened; other hosts carry requests to it"},
			{Name: "open", Meaning: "a connection was opened again"},
			{Name: "cut_off", Meaning: "several paths are blocked and nothing is heard from any replica: all count as blocked; `upstream` failed last"},
			{Name: "reached", Meaning: "`upstream` is reached: this host is no longer cut off from all"}}},
		{Name: "carry", Subject: "a connection to `upstream` that this host carries for another one", Detail: "the other host", Reasons: []Reason{
			{Name: "begun", Meaning: "it is open; `request` is the request that it is for"}}},
		{Name: "attempt", Subject: "an attempt at `upstream` has ended", Detail: "the attempt's number and the answer that ended it; where the connection was closed, the parts of the prompt that other requests may share", Age: "the attempt", Reasons: []Reason{
			{Name: "ok", Meaning: "a complete success", MetricsOnly: true},
			{Name: "unmarked_end", Meaning: "a success whose end only the end of the connection marks"},
			{Name: "not_reached", Meaning: "nothing was sent"},
			{Name: "not_run", Meaning: "the replica answered that it did not run it"},
			{Name: "missing", Meaning: "the replica lacks the adapter or version, or another replica answered"},
			{Name: "error", Meaning: "the replica answered with a failure"},
			{Name: "broken", Meaning: "sent, but no complete answer came"},
			{Name: "cancelled", Meaning: "ended by this host"}}},
		{Name: "retry", Subject: "whether a request is tried on another replica", Detail: "a blocked part of its prompt", Age: "the attempt", Reasons: []Reason{
			{Name: "silent", Meaning: "`upstream` has not answered in time; the request is moved"},
			{Name: "version_expired", Meaning: "it waits at `upstream`, whose version of the adapter may no longer be used; it is moved if it may be repeated"},
			{Name: "part_blocked", Meaning: "replicas were lost under the part of its prompt in the detail; it is withdrawn from `upstream`"},
			{Name: "budget_spent", Meaning: "not retried: the retry budget is exhausted"}}},
		{Name: "refusal", Subject: "the final answer of an admitted request", Detail: "why", Age: "the request", Reasons: refusalReasons},
		{Name: "cancel", Subject: "a request ends without an answer", Age: "the request", Reasons: []Reason{
			{Name: "caller_gone", Meaning: "the caller hung up"}}},
		{Name: "order", Subject: "an order to `upstream` has ended", Detail: "the order, and the number of orders accepted before it", Reasons: []Reason{
			{Name: "accepted", Meaning: "it is being carried out"},
			{Name: "holds", Meaning: "the replica is already as ordered"},
			{Name: "conflict", Meaning: "another order came first; the replica's report is requested"},
			{Name: "elsewhere", Meaning: "another replica has the address"},
			{Name: "invalid", Meaning: "the replica can't carry it out at all"},
			{Name: "unknown", Meaning: "no answer: it may still be carried out"}}},
		{Name: "replica", Subject: "`upstream` in the platform's list", Detail: "its service; if it is new, the version of its software", Reasons: []Reason{
			{Name: "started", Meaning: "it is new or has restarted"},
			{Name: "leaving", Meaning: "it is sent no more requests"},
			{Name: "says_leaving", Meaning: "an answer of the replica says so; it is sent no more requests"},
			{Name: "reported_leaving", Meaning: "it has said so to another host; it is sent no more requests"},
			{Name: "alive", Meaning: "it has closed connections of requests and still runs"},
			{Name: "ended", Meaning: "it has closed connections of requests and runs no more"},
			{Name: "brittle", Meaning: "its answers say that it falls over beyond the rejections in the detail"},
			{Name: "brittle_ended", Meaning: "an answer to a request that was sent after the last that said so doesn't"},
			{Name: "brittle_malformed", Meaning: "what it says of that can't be read"},
			{Name: "limit_begun", Meaning: "its answers name how many requests a second it takes from all hosts"},
			{Name: "limit_altered", Meaning: "they name another limit"},
			{Name: "limit_ended", Meaning: "an answer to a request that was sent after the last that named a limit names none"},
			{Name: "limit_malformed", Meaning: "a limit that an answer of the replica names can't be read"},
			{Name: "cold", Meaning: "it takes few requests a second from all hosts, as it has started lately or says so; the rate, how long, and who hands out permits are in the detail"},
			{Name: "cold_ended", Meaning: "it takes any number of requests again"},
			{Name: "paused", Meaning: "it has asked this host to send it nothing for the time in the detail"},
			{Name: "outdated", Meaning: "an entry that is older than the replica's removal is ignored"},
			{Name: "gone", Meaning: "its entry was removed"}}},
		{Name: "prompt_part", Subject: "a part of prompts under which replicas ended", Detail: "the part, how it was learned, and the replicas lost in a row under it", Age: "what was learned; of a trial: the verdict", Reasons: []Reason{
			{Name: "suspected", Meaning: "a replica ended that had a request with it"},
			{Name: "acquitted", Meaning: "an answer on it came to a certain end"},
			{Name: "blocked", Meaning: "requests with it are refused"},
			{Name: "tried", Meaning: "one request with it is sent to a replica all the same"},
			{Name: "disputed", Meaning: "another host has blocked it, and this one knows of an answer on it"},
			{Name: "trial_failed", Meaning: "a replica ended under the request that was tried"},
			{Name: "let_in", Meaning: "an answer on it came to a certain end; requests with it are sent to replicas again"},
			{Name: "forgotten", Meaning: "nothing has been heard of it for long; it is no longer blocked"},
			{Name: "malformed", Meaning: "its identifier in a lease can't be read"}}},
		{Name: "crashing_request", Subject: "a request that crashes the replicas that run it", Detail: "its fingerprint, and how that was learned", Reasons: []Reason{
			{Name: "suspect", Meaning: "it has crashed so many that it is sent to no other one"},
			{Name: "malformed", Meaning: "its fingerprint in a lease can't be read"}}},
		{Name: "evacuation", Subject: "a failure domain that the operator evacuates", Detail: "the domain", Age: "the evacuation, as this host learned of it", Reasons: []Reason{
			{Name: "begun", Meaning: "no request and no order goes to its replicas any more"},
			{Name: "ended", Meaning: "its replicas are used again"},
			{Name: "unknown_domain", Meaning: "no replica and no host is in it; it begins once one is"}}},
		{Name: "store", Subject: "the platform's store", Detail: "its era, where it was restored", Age: "the call that shows it", Reasons: []Reason{
			{Name: "lost", Meaning: "a call has failed, and none that was sent later has been answered"},
			{Name: "back", Meaning: "it answers again; for a while the list may lack replicas that run"},
			{Name: "failed_late", Meaning: "a call has failed; it shows nothing, as one that was sent later has been answered"},
			{Name: "restored", Meaning: "it has come back from an older copy"}}},
		{Name: "configuration", Subject: "a version of the configuration", Detail: "the version", Reasons: []Reason{
			{Name: "in_force", Meaning: "it applies from now on"}}},
		{Name: "version", Subject: "a newer version of an adapter", Detail: "the adapter and its version", Reasons: []Reason{
			{Name: versionAnnounced, Meaning: "a change in the store"},
			{Name: versionListed, Meaning: "read from the store's list, or after a failed call: announced at an unknown time"},
			{Name: versionReported, Meaning: "another host has read it"}}},
		{Name: "settings", Subject: "settings changed at run time", Reasons: []Reason{
			{Name: "in_force", Meaning: "they apply from now on"}}},
		{Name: "reread", Subject: "whether documents are read again", Detail: "the host that has newer documents", Reasons: []Reason{
			{Name: "newer_elsewhere", Meaning: "another host has a newer configuration or adapter version"},
			{Name: "store_back", Meaning: "the store answers again after an outage"}}},
		{Name: "fleet", Subject: "whether this host is active or a standby host", Detail: "reachable active hosts", Reasons: []Reason{
			{Name: "active", Meaning: "this host is advertised to callers"},
			{Name: "standby", Meaning: "hosts with more capacity serve; this one replaces one that fails"}}},
		{Name: "shard", Subject: "which host orders the replicas of a shard", Detail: "shard and owner", Age: "the cut", Reasons: []Reason{
			{Name: "holder", Meaning: "the owner has changed"},
			{Name: "yielded", Meaning: "this host is cut off from all replicas and releases its shards"}}},
		{Name: "leave", Subject: "a graceful shutdown", Detail: "requests left", Reasons: []Reason{
			{Name: "begun", Meaning: "the host is no longer advertised to callers"},
			{Name: "ended", Meaning: "the process ends"}}},
	}
}

// InCatalog reports whether the catalog has the name and reason of entry, and agrees
// with it on whether it is logged.
func InCatalog(entry LogDecision) bool {
	for _, d := range Catalog() {
		if d.Name != entry.Name {
			continue
		}
		return slices.ContainsFunc(d.Reasons, func(r Reason) bool { return r.Name == entry.Reason && r.MetricsOnly == entry.MetricsOnly })
	}
	return false
}

// LogsPage returns docs/logs.md: every decision of the catalog, as a table.
func LogsPage() string {
	var b strings.Builder
	b.WriteString("# Log lines of a relaying host\n\n")
	b.WriteString("JSON lines on standard output. Each has `time`, `level` and `message`; lines with the message `decided` have\n")
	b.WriteString("`decision` and `reason` and, where they are known, `request` (the caller's id), `upstream`, `detail` and `age_ms`.\n")
	b.WriteString("Every decision is also a counter, `decision.NAME.REASON`. Those marked * are counted and not logged.\n")
	b.WriteString("A kind with more than 100 lines a second is summed up in a line `lines summed up`; lines that a reader did not take\n")
	b.WriteString("in time are counted in a line `lines dropped`. Other messages: `started`, `stopped`, `dependency changed`, `object skipped`,\n")
	b.WriteString("`order without an answer`, `report not read`, `stray answer discarded`. This page is checked against the code.\n\n")
	b.WriteString("| decision | about | reason | meaning | detail | age of |\n|---|---|---|---|---|---|\n")
	for _, d := range Catalog() {
		for _, r := range d.Reasons {
			name := "`" + r.Name + "`"
			if r.MetricsOnly {
				name += " *"
			}
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", d.Name, d.Subject, name, r.Meaning, d.Detail, d.Age)
		}
	}
	return b.String()
}
