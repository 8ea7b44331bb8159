package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Faults are what an engine or a service does wrong until told otherwise.
type Faults struct {
	FailLoads  int     `json:"fail_loads"`  // so many next loads fail
	BreakAfter int     `json:"break_after"` // streams break off after so many tokens; 0: none
	Refuse     bool    `json:"refuse"`      // answers 503 and says that it ran nothing
	Fail       bool    `json:"fail"`        // answers 500 after it ran the request
	Drop       bool    `json:"drop"`        // drops the connection after it ran the request
	Hang       bool    `json:"hang"`        // takes requests and never answers
	Mute       bool    `json:"mute"`        // does not answer polls
	Slow       float64 `json:"slow"`        // everything takes so many times longer; 0: as ever
	Leaving    bool    `json:"leaving"`     // reports that it is leaving
}

func (f Faults) stretch(d time.Duration) time.Duration {
	if f.Slow <= 0 {
		return d
	}
	return time.Duration(float64(d) * f.Slow)
}

// Trace is one request that an upstream saw.
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

// traceLimit is how many traces an upstream keeps, the latest.
const traceLimit = 65536

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

func headerNumber(r *http.Request, name string) uint64 {
	n, err := strconv.ParseUint(r.Header.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// abort drops a connection without an answer.
func abort() { panic(http.ErrAbortHandler) }
