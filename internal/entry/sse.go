package entry

import (
	"bytes"
	"encoding/json"

	"gentiancroft/internal/core"
)

// maxEvent is the longest server-sent event in bytes.
const maxEvent = 256 << 10

// usage is an upstream's own count of tokens.
type usage struct {
	Prompt    core.Tokens `json:"prompt_tokens"`
	Generated core.Tokens `json:"completion_tokens"`
}

// events follows a stream of server-sent events without changing it.
type events struct {
	generated core.Tokens // events that carried generated text
	usage     *usage
	done      bool // [DONE] was seen
	failed    bool // the upstream reported an error inside the stream
}

var (
	fieldData = []byte("data:")
	markDone  = []byte("[DONE]")
	markUsage = []byte(`"usage"`)
	markError = []byte(`{"error"`)
	markNull  = []byte(`"usage":null`)
)

// scan returns the length of the whole events that b begins with. It stops
// after [DONE], and before an event that reports an error.
func (e *events) scan(b []byte) int {
	end := 0
	for !e.done && !e.failed {
		n := eventLength(b[end:])
		if n == 0 {
			break
		}
		e.event(b[end : end+n])
		if e.failed {
			break
		}
		end += n
	}
	return end
}

// eventLength is the length of the event that b begins with, with its empty
// line, or 0 where it is not whole yet.
func eventLength(b []byte) int {
	at := 0
	for {
		i := bytes.IndexByte(b[at:], '\n')
		if i < 0 {
			return 0
		}
		line := b[at : at+i]
		at += i + 1
		if len(line) == 0 || (len(line) == 1 && line[0] == '\r') {
			return at
		}
	}
}

func (e *events) event(b []byte) {
	for line := range bytes.Lines(b) {
		if bytes.HasPrefix(line, fieldData) {
			e.data(bytes.TrimSpace(line[len(fieldData):]))
		}
	}
}

func (e *events) data(b []byte) {
	switch {
	case bytes.Equal(b, markDone):
		e.done = true
	case bytes.HasPrefix(b, markError):
		e.failed = true
	case bytes.Contains(b, markUsage) && !bytes.Contains(b, markNull):
		e.counted(b)
	default:
		e.generated++
	}
}

func (e *events) counted(b []byte) {
	var body struct {
		Choices []json.RawMessage `json:"choices"`
		Usage   *usage            `json:"usage"`
	}
	if json.Unmarshal(b, &body) != nil {
		return
	}
	if len(body.Choices) > 0 {
		e.generated++
	}
	if body.Usage.plausible() {
		e.usage = body.Usage
	}
}

// plausible reports whether a count can be believed at all; it never lets a
// faulty upstream charge a workspace below zero or past any bound.
func (u *usage) plausible() bool {
	return u != nil && u.Prompt >= 0 && u.Generated >= 0 && u.Prompt <= maxMaxTokens && u.Generated <= maxMaxTokens
}

// jsonUsage reads the usage of a whole JSON answer, nil where it has none.
func jsonUsage(b []byte) *usage {
	var body struct {
		Usage *usage `json:"usage"`
	}
	if json.Unmarshal(b, &body) != nil || !body.Usage.plausible() {
		return nil
	}
	return body.Usage
}
