package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Faults are the faults injected into an engine or a service; they last until
// replaced.
type Faults struct {
	FailLoads    int     `json:"fail_loads"`  // number of next adapter loads that fail
	BreakAfter   int     `json:"break_after"` // streams break off after this number of tokens; 0: never
	Refuse       bool    `json:"refuse"`      // answers 503 with X-Ran: no, without running the request
	FailAfterRun bool    `json:"fail"`        // answers 500 after running the request
	DropAfterRun bool    `json:"drop"`        // drops the connection after running the request
	Hang         bool    `json:"hang"`        // accepts requests and never answers
	DropPolls    bool    `json:"mute"`        // drops the connections of load report polls
	SlowFactor   float64 `json:"slow"`        // factor on all durations; 0: none
	Leaving      bool    `json:"leaving"`     // load reports say that the upstream is leaving
}

// slowed returns d multiplied by SlowFactor, or d if SlowFactor is not positive.
func (f Faults) slowed(d time.Duration) time.Duration {
	if f.SlowFactor <= 0 {
		return d
	}
	return time.Duration(float64(d) * f.SlowFactor)
}

// Trace records one request that an upstream received.
type Trace struct {
	Request string      `json:"request"`
	Adapter string      `json:"adapter,omitempty"`
	Path    string      `json:"path"`
	Header  http.Header `json:"header"`
	Started time.Time   `json:"started"`
	Ended   time.Time   `json:"ended"`
	Tokens  int         `json:"tokens"`
	Outcome string      `json:"outcome"` // running, done, cancelled, crashed, refused, failed
}

// maxTraces is the number of traces that an engine keeps; older ones are
// dropped.
const maxTraces = 65536

func setFaults(w http.ResponseWriter, r *http.Request, set func(Faults)) {
	var f Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	set(f)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// headerNumber returns the number in a header field, 0 if it is missing or
// malformed.
func headerNumber(r *http.Request, name string) uint64 {
	n, err := strconv.ParseUint(r.Header.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// dropConnection closes the connection without an answer; it does not return.
func dropConnection() { panic(http.ErrAbortHandler) }
