// Package explain determines from the log lines of a fleet why a request ended as it did.
// It uses the decisions and reasons that docs/logs.md lists; collecting the lines is left
// to the operator.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of errors from reading log lines and writing the result.
var Error = errs.Class("logs")

// maxLineBytes bounds a log line; Read fails on a longer one.
const maxLineBytes = 1 << 20

// Line holds the fields of a log line that concern a request.
type Line struct {
	Time     string `json:"time"`
	Message  string `json:"message"`
	Decision string `json:"decision"`
	Reason   string `json:"reason"`
	Request  string `json:"request"`
	Upstream string `json:"upstream"`
	Detail   string `json:"detail"`
	AgeMS    int64  `json:"age_ms"`
}

// Cause is why a request ended as it did.
type Cause string

// Causes.
const (
	Unseen        Cause = "no host logged a decision about it: it reached no host, or the host ended first"
	Served        Cause = "the logs show no failure: its answer was complete as far as they go"
	NoRoute       Cause = "no route matches it in the configuration in force"
	BadKey        Cause = "its key is not in the configuration in force"
	OverRate      Cause = "its workspace had exceeded its rate"
	Starting      Cause = "the host had not read its configuration and replicas yet"
	Leaving       Cause = "the host was shutting down"
	NobodyLoads   Cause = "no host could order a replica to load its adapter"
	AdapterLate   Cause = "its adapter was not loaded in time"
	ReplicasFull  Cause = "the replicas were saturated, rejected it or could not be reached"
	ReplicaBroke  Cause = "a replica accepted it and gave no complete answer"
	ReplicaFailed Cause = "the replica answered with an error"
	TooLate       Cause = "its deadline passed before a replica answered"
	CallerLeft    Cause = "its caller hung up"
	WaitedLoad    Cause = "it was served after waiting for its adapter to be loaded"
)

// Read returns the lines of one request, sorted by time. Lines that are not JSON are
// skipped.
func Read(r io.Reader, request string) ([]Line, error) {
	var found []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var l Line
		if json.Unmarshal(scanner.Bytes(), &l) == nil && l.Request == request {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return strings.Compare(a.Time, b.Time) })
	return found, Error.Wrap(scanner.Err())
}

// Why returns the cause that the lines of a request show. The latest line that determines
// a cause decides; without one, the request was served.
func Why(lines []Line) Cause {
	if len(lines) == 0 {
		return Unseen
	}
	for _, l := range slices.Backward(lines) {
		if c, ok := finalCause(l, lines); ok {
			return c
		}
	}
	if hasDecision(lines, "attempt", "error") {
		return ReplicaFailed
	}
	if hasDecision(lines, "wait", "adapter") {
		return WaitedLoad
	}
	return Served
}

// finalCause returns the cause that a line determines. all distinguishes a late adapter from
// saturated replicas.
func finalCause(l Line, all []Line) (Cause, bool) {
	switch l.Decision + " " + l.Reason {
	case "admission unknown_route":
		return NoRoute, true
	case "admission invalid_key", "refusal key_withdrawn":
		return BadKey, true
	case "admission rate_limited":
		return OverRate, true
	case "admission host_cut_off":
		return Starting, true
	case "admission host_leaving":
		return Leaving, true
	case "cancel caller_gone":
		return CallerLeft, true
	case "refusal deadline_exceeded":
		return TooLate, true
	case "refusal upstream_failed":
		return ReplicaBroke, true
	case "refusal no_upstream":
		if strings.HasPrefix(l.Detail, "nobody") {
			return NobodyLoads, true
		}
		if hasDecision(all, "wait", "adapter") {
			return AdapterLate, true
		}
		return ReplicasFull, true
	case "refusal overloaded", "admission overloaded":
		return ReplicasFull, true
	}
	return "", false
}

func hasDecision(lines []Line, decision, reason string) bool {
	return slices.ContainsFunc(lines, func(l Line) bool { return l.Decision == decision && l.Reason == reason })
}

// Write prints the lines of a request and their cause.
func Write(w io.Writer, lines []Line) error {
	for _, l := range lines {
		_, err := fmt.Fprintf(w, "%s  %-10s %-16s %-14s %6d ms  %s\n", l.Time, l.Decision, l.Reason, l.Upstream, l.AgeMS, l.Detail)
		if err != nil {
			return Error.Wrap(err)
		}
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", Why(lines))
	return Error.Wrap(err)
}
