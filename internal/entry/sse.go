package entry

import (
	"bytes"
	"encoding/json"

	"gentiancroft/internal/core"
)

// maxEventBytes is the maximum size of a server-sent event.
const maxEventBytes = 256 << 10

// usage is an upstream's report of the tokens that a request used.
type usage struct {
	Prompt    core.Tokens `json:"prompt_tokens"`
	Generated core.Tokens `json:"completion_tokens"`
}

// events parses a stream of server-sent events and collects what it needs from them. It
// doesn't change the stream.
type events struct {
	generated core.Tokens // counted by events with generated text
	usage     *usage      // nil until reported
	done      bool        // [DONE] was seen
	failed    bool        // the upstream reported an error inside the stream
}

var (
	fieldData = []byte("data:")
	markDone  = []byte("[DONE]")
	markUsage = []byte(`"usage"`)
	markError = []byte(`{"error"`)
	markNull  = []byte(`"usage":null`)
)

// scan parses the complete events at the start of b and returns their length. It stops
// after [DONE] and before an event that reports an error.
func (e *events) scan(b []byte) int {
	end := 0
	for !e.done && !e.failed {
		n := eventLength(b[end:])
		if n == 0 {
			break
		}
		e.parseEvent(b[end : end+n])
		if e.failed {
			break
		}
		end += n
	}
	return end
}

// eventLength returns the length of the event at the start of b, including the empty line
// that ends it, or 0 if the event is incomplete.
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

func (e *events) parseEvent(b []byte) {
	for line := range bytes.Lines(b) {
		if bytes.HasPrefix(line, fieldData) {
			e.parseData(bytes.TrimSpace(line[len(fieldData):]))
		}
	}
}

func (e *events) parseData(b []byte) {
	switch {
	case bytes.Equal(b, markDone):
		e.done = true
	case bytes.HasPrefix(b, markError):
		e.failed = true
	case bytes.Contains(b, markUsage) && !bytes.Contains(b, markNull):
		e.parseUsage(b)
	default:
		e.generated++
	}
}

// parseUsage records the usage in an event's data.
func (e *events) parseUsage(b []byte) {
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

// plausible reports whether a usage is given and within the limits, so that a faulty
// upstream can't charge a workspace a negative or unbounded number of tokens.
func (u *usage) plausible() bool {
	return u != nil && u.Prompt >= 0 && u.Generated >= 0 && u.Prompt <= maxMaxTokens && u.Generated <= maxMaxTokens
}

// jsonUsage returns the usage in a complete JSON answer, or nil if it has none.
func jsonUsage(b []byte) *usage {
	var body struct {
		Usage *usage `json:"usage"`
	}
	if json.Unmarshal(b, &body) != nil || !body.Usage.plausible() {
		return nil
	}
	return body.Usage
}
