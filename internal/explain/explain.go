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
	"time"

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
	NotLogged          Cause = "no host logged a decision about it: it reached no host, or the host ended first"
	Served             Cause = "the logs show no failure: its answer was complete as far as they go"
	NoRoute            Cause = "no route matches it in the configuration in force"
	InvalidKey         Cause = "its key is not in the configuration in force"
	RateLimited        Cause = "its workspace had exceeded its rate"
	HostStarting       Cause = "the host had not read its configuration and replicas yet"
	HostLeaving        Cause = "the host was shutting down"
	NoLoader           Cause = "no host could order a replica to load its adapter"
	AdapterLoadTimeout Cause = "its adapter was not loaded in time"
	ReplicasSaturated  Cause = "the replicas were saturated, rejected it or could not be reached"
	PartBlocked        Cause = "replicas were lost one after the other under a part of its prompt"
	ReplicasLimited    Cause = "the replicas that could run it had named a limit, and took no more requests"
	ReplicasBrittle    Cause = "the replicas that could run it were brittle, and had no room"
	Unreached          Cause = "neither its host nor another one reached a replica of its service"
	AnswerIncomplete   Cause = "a replica accepted it and gave no complete answer"
	VersionExpired     Cause = "it waited at a replica until the adapter's version there could no longer be used"
	ReplicaFailed      Cause = "the replica answered with an error"
	DeadlineExceeded   Cause = "its deadline passed before a replica answered"
	CallerGone         Cause = "its caller hung up"
	ServedAfterLoad    Cause = "it was served after waiting for its adapter to be loaded"
)

// Read returns the lines of one request, and those of the prompt part for which it was refused, sorted by
// time. Lines that are not JSON are skipped.
func Read(r io.Reader, request string) ([]Line, error) {
	var found, parts []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var l Line
		switch {
		case json.Unmarshal(scanner.Bytes(), &l) != nil:
		case l.Request == request:
			found = append(found, l)
		case l.Decision == "prompt_part":
			parts = append(parts, l)
		}
	}
	if part, ok := blockedPart(found); ok {
		found = append(found, slices.DeleteFunc(parts, func(l Line) bool { return !strings.HasPrefix(l.Detail, part+",") })...)
	}
	slices.SortStableFunc(found, byTime)
	return found, Error.Wrap(scanner.Err())
}

// partBlocked begins the detail of a refusal for a blocked part, which follows it.
const partBlocked = "replicas were lost one after the other under part "

// blockedPart returns the prompt part for which a request was refused, and false if it was not.
func blockedPart(lines []Line) (string, bool) {
	for _, l := range lines {
		if rest, ok := strings.CutPrefix(l.Detail, partBlocked); ok {
			part, _, _ := strings.Cut(rest, " ")
			return part, true
		}
	}
	return "", false
}

// byTime compares the times of two lines, by their text where one of them can't be parsed.
func byTime(a, b Line) int {
	x, errX := time.Parse(time.RFC3339Nano, a.Time)
	y, errY := time.Parse(time.RFC3339Nano, b.Time)
	if errX != nil || errY != nil {
		return strings.Compare(a.Time, b.Time)
	}
	return x.Compare(y)
}

// Why returns the cause that the lines of a request show. The latest line that determines
// a cause decides; without one, the request was served.
func Why(lines []Line) Cause {
	if len(lines) == 0 {
		return NotLogged
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
		return ServedAfterLoad
	}
	return Served
}

// finalCause returns the cause that a line determines. all distinguishes a late adapter from
// saturated replicas, and an expired version from a failed replica.
func finalCause(l Line, all []Line) (Cause, bool) {
	switch l.Decision + " " + l.Reason {
	case "admission unknown_route":
		return NoRoute, true
	case "admission invalid_key", "refusal key_withdrawn":
		return InvalidKey, true
	case "admission rate_limited":
		return RateLimited, true
	case "admission host_cut_off":
		return HostStarting, true
	case "admission host_leaving":
		return HostLeaving, true
	case "cancel caller_gone":
		return CallerGone, true
	case "refusal deadline_exceeded":
		return DeadlineExceeded, true
	case "refusal upstream_failed":
		if strings.HasPrefix(l.Detail, partBlocked) {
			return PartBlocked, true
		}
		if hasDecision(all, "retry", "version_expired") {
			return VersionExpired, true
		}
		return AnswerIncomplete, true
	case "refusal no_upstream":
		if strings.HasPrefix(l.Detail, "no host reaches") {
			return Unreached, true
		}
		if strings.HasPrefix(l.Detail, "nobody") {
			return NoLoader, true
		}
		if hasDecision(all, "wait", "adapter") {
			return AdapterLoadTimeout, true
		}
		return ReplicasSaturated, true
	case "refusal overloaded", "admission overloaded":
		return causeOfOverload(l), true
	}
	return "", false
}

// causeOfOverload returns the cause of a refusal for want of a replica, by its detail.
func causeOfOverload(l Line) Cause {
	switch {
	case strings.HasPrefix(l.Detail, partBlocked):
		return PartBlocked
	case strings.HasSuffix(l.Detail, "are brittle and have no room"):
		return ReplicasBrittle
	case strings.HasSuffix(l.Detail, "take no more requests a second"):
		return ReplicasLimited
	}
	return ReplicasSaturated
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
