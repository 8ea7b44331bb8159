package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gentiancroft/internal/core"
)

// pollTimeout is the maximum time of a poll; a slower upstream has failed it.
const pollTimeout = time.Second

// LoadReport is an upstream's answer to GET /load.
type LoadReport struct {
	Incarnation string            `json:"incarnation"` // changes when the upstream restarts
	Running     int               `json:"running"`     // requests in the batch
	Waiting     int               `json:"waiting"`     // requests queued inside the upstream
	Adapters    []AdapterRequests `json:"adapters"`
	Loading     []string          `json:"loading"` // adapter versions, "id@version"
	Leaving     bool              `json:"leaving"`
}

// AdapterRequests is one adapter in a load report.
type AdapterRequests struct {
	Name    string `json:"name"` // "id@version"
	Running int    `json:"running"`
}

// Poll requests an upstream's load report. After a failed poll, the report's OK is false.
func (c *Client) Poll(ctx context.Context, id core.UpstreamID, address string) core.UpstreamReport {
	report := core.UpstreamReport{Upstream: id}
	if c.now != nil {
		report.Sent = c.now()
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	a, err := c.Do(ctx, Call{Upstream: id, Address: address, Method: "GET", Path: "/load"})
	if err != nil {
		return report
	}
	defer a.Close()
	body, err := ReadBody(a, MaxReportBytes)
	if err != nil || a.Status != http.StatusOK {
		return report
	}
	var load LoadReport
	if json.Unmarshal(body, &load) != nil || !fillReport(&report, load) {
		c.count(Call{Upstream: id}, "bad_reports")
		return report
	}
	report.OK = true
	return report
}

// fillReport copies a load report into report. It returns false if a name in it is not
// an adapter version.
func fillReport(report *core.UpstreamReport, load LoadReport) bool {
	report.Incarnation = load.Incarnation
	report.Running = load.Running
	report.Waiting = load.Waiting
	report.Leaving = load.Leaving
	for _, a := range load.Adapters {
		ref, ok := ParseAdapter(a.Name)
		if !ok {
			return false
		}
		report.Adapters = append(report.Adapters, core.AdapterLoad{Adapter: ref, Running: a.Running})
	}
	for _, name := range load.Loading {
		ref, ok := ParseAdapter(name)
		if !ok {
			return false
		}
		report.Loading = append(report.Loading, ref)
	}
	return true
}

// ParseAdapter parses "id@version", the name of an adapter version at an engine. It
// returns false for any other text.
func ParseAdapter(name string) (core.AdapterRef, bool) {
	id, version, ok := strings.Cut(name, "@")
	if !ok || id == "" {
		return core.AdapterRef{}, false
	}
	v, err := strconv.Atoi(version)
	ref := core.AdapterRef{ID: core.AdapterID(id), Version: v}
	return ref, err == nil && ref.String() == name
}
