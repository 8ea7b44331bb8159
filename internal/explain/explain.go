// Package explain finds, in the log lines of a fleet, why a request ended as it
// did.
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

// Error is the class of logs that can't be read.
var Error = errs.Class("logs")

// longestLine bounds a log line in bytes.
const longestLine = 1 << 20

// Line is what a log line tells of a request.
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
	Unseen        Cause = "no host has decided anything about it: it reached none, or the host ended"
	Served        Cause = "nothing in the logs speaks against a whole answer"
	NoRoute       Cause = "no route leads to it in the configuration in force"
	BadKey        Cause = "its key is not in the configuration in force"
	OverRate      Cause = "its workspace is over its rate"
	Starting      Cause = "the host had not read the configuration and the replicas yet"
	Leaving       Cause = "the host was shutting down"
	NobodyLoads   Cause = "no host could order a replica to load its adapter"
	AdapterLate   Cause = "its adapter was not loaded in time"
	ReplicasFull  Cause = "the replicas refused it: they were full, or could not be reached"
	ReplicaBroke  Cause = "a replica took it and gave no whole answer"
	ReplicaFailed Cause = "the replica answered with a failure of its own"
	TooLate       Cause = "its time was over before its replica answered"
	CallerLeft    Cause = "its caller hung up"
	WaitedLoad    Cause = "it was served after it had waited for its adapter"
)

// Read finds the lines of one request, in the order of their times. Lines that
// are not JSON are passed over.
func Read(r io.Reader, request string) ([]Line, error) {
	var found []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		var l Line
		if json.Unmarshal(scanner.Bytes(), &l) == nil && l.Request == request {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return strings.Compare(a.Time, b.Time) })
	return found, Error.Wrap(scanner.Err())
}

// Why names the cause that the lines of a request show.
func Why(lines []Line) Cause {
	if len(lines) == 0 {
		return Unseen
	}
	for _, l := range slices.Backward(lines) {
		if c, ok := final(l, lines); ok {
			return c
		}
	}
	if has(lines, "attempt", "error") {
		return ReplicaFailed
	}
	if has(lines, "wait", "adapter") {
		return WaitedLoad
	}
	return Served
}

// final is the cause that a line names by itself.
func final(l Line, all []Line) (Cause, bool) {
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
		if has(all, "wait", "adapter") {
			return AdapterLate, true
		}
		return ReplicasFull, true
	case "refusal overloaded", "admission overloaded":
		return ReplicasFull, true
	}
	return "", false
}

func has(lines []Line, decision, reason string) bool {
	return slices.ContainsFunc(lines, func(l Line) bool { return l.Decision == decision && l.Reason == reason })
}

// Write shows the lines of a request and their cause.
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
