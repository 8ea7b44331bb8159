package entry

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"gentiancroft/internal/core"
)

// Bounds on a completion.
const (
	bytesPerToken    = 4 // estimate of a prompt's tokens from its bytes
	defaultMaxTokens = 256
	maxMaxTokens     = 1 << 20
	maxModelBytes    = 256
	maxPromptBytes   = 768 << 10
	maxStops         = 16
	maxStopBytes     = 256
	prefixBytes      = 256 // the prompt's head that decides prefix locality
)

// completion is the body of an OpenAI-compatible request, decoded once. What
// goes upstream is encoded from it again, so that both sides read the same
// body whatever tricks (repeated or oddly written names) the caller's holds.
type completion struct {
	fields    map[string]json.RawMessage
	model     string
	prompt    []byte // raw JSON of the prompt or of the messages
	tokens    core.Tokens
	maxTokens core.Tokens
	stream    bool
}

func malformed(message string) *core.Refusal { return core.Refuse(core.CodeBadRequest, 0, message) }

// parseCompletion decodes and bounds a body.
func parseCompletion(body []byte) (*completion, *core.Refusal) {
	c := &completion{}
	if json.Unmarshal(body, &c.fields) != nil || c.fields == nil {
		return nil, malformed("the body is not a JSON object of a completion")
	}
	for _, step := range []func() *core.Refusal{c.parseModel, c.parsePrompt, c.parseMax, c.parseCount, c.parseStop, c.parseStream} {
		if refusal := step(); refusal != nil {
			return nil, refusal
		}
	}
	return c, nil
}

func (c *completion) parseModel() *core.Refusal {
	if json.Unmarshal(c.fields["model"], &c.model) != nil || c.model == "" {
		return malformed("model is missing or not a string")
	}
	if len(c.model) > maxModelBytes {
		return malformed("model is too long")
	}
	return nil
}

func (c *completion) parsePrompt() *core.Refusal {
	prompt, plain := c.fields["prompt"]
	messages, chat := c.fields["messages"]
	if plain == chat {
		return malformed("exactly one of prompt and messages is needed")
	}
	if plain {
		c.prompt = prompt
	} else {
		c.prompt = messages
	}
	if len(c.prompt) > maxPromptBytes {
		return core.Refuse(core.CodeTooLarge, 0, "the prompt is too long")
	}
	c.tokens = core.Tokens(len(c.prompt)/bytesPerToken) + 1
	if chat {
		return c.parseMessages()
	}
	return c.parsePlain()
}

func (c *completion) parseMessages() *core.Refusal {
	var messages []struct {
		Role string `json:"role"`
	}
	if json.Unmarshal(c.prompt, &messages) != nil || len(messages) == 0 {
		return malformed("messages is not a list of messages")
	}
	for _, m := range messages {
		if m.Role == "" {
			return malformed("a message has no role")
		}
	}
	return nil
}

func (c *completion) parsePlain() *core.Refusal {
	var text string
	if json.Unmarshal(c.prompt, &text) == nil && c.prompt[0] == '"' {
		return nil
	}
	var ids []core.Tokens
	if json.Unmarshal(c.prompt, &ids) == nil && len(ids) > 0 {
		c.tokens = core.Tokens(len(ids))
		return nil
	}
	var one [1]string
	var all []json.RawMessage
	if json.Unmarshal(c.prompt, &all) == nil && len(all) == 1 && json.Unmarshal(c.prompt, &one) == nil && one[0] != "" {
		return nil
	}
	return malformed("prompt is not one string or one list of token numbers")
}

func (c *completion) parseMax() *core.Refusal {
	c.maxTokens = defaultMaxTokens
	given := 0
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		n, present, ok := c.integer(name)
		if !ok || (present && (n < 1 || n > maxMaxTokens)) {
			return malformed(name + " is not a whole number from 1 to " + strconv.Itoa(maxMaxTokens))
		}
		if present {
			given++
			c.maxTokens = core.Tokens(n)
		}
	}
	if given > 1 {
		return malformed("max_tokens and max_completion_tokens can't both be given")
	}
	if given == 0 { // the upstream may generate no more than what is reserved
		c.fields["max_tokens"] = strconv.AppendInt(nil, int64(c.maxTokens), 10)
	}
	return nil
}

func (c *completion) parseCount() *core.Refusal {
	for _, name := range []string{"n", "best_of"} {
		if n, present, ok := c.integer(name); !ok || (present && n != 1) {
			return malformed(name + " other than 1 is not served")
		}
	}
	return nil
}

func (c *completion) parseStop() *core.Refusal {
	raw, present := c.fields["stop"]
	if !present || string(raw) == "null" {
		return nil
	}
	var one string
	var list []string
	if json.Unmarshal(raw, &one) == nil {
		list = []string{one}
	} else if json.Unmarshal(raw, &list) != nil {
		return malformed("stop is not a string or a list of strings")
	}
	tooLong := func(s string) bool { return len(s) > maxStopBytes }
	if len(list) > maxStops || slices.ContainsFunc(list, tooLong) {
		return malformed("stop is too long")
	}
	return nil
}

func (c *completion) parseStream() *core.Refusal {
	raw, present := c.fields["stream"]
	if present && json.Unmarshal(raw, &c.stream) != nil {
		return malformed("stream is not true or false")
	}
	return nil
}

// integer reads a whole number; null counts as absent.
func (c *completion) integer(name string) (n int64, present, ok bool) {
	raw, present := c.fields[name]
	if !present || string(raw) == "null" {
		delete(c.fields, name)
		return 0, false, true
	}
	n, err := strconv.ParseInt(string(raw), 10, 64)
	return n, true, err == nil
}

// encode is the body for the upstream: it names the exact version.
func (c *completion) encode(adapter core.AdapterRef) []byte {
	name, err := json.Marshal(adapter.String())
	if err != nil {
		return nil
	}
	c.fields["model"] = name
	body, err := json.Marshal(c.fields)
	if err != nil {
		return nil
	}
	return body
}

// undecided are fields that decide nothing about what an upstream runs.
var undecided = []string{"model", "stream", "stream_options", "user", "metadata"}

// deciding lists what an upstream runs, without who asks for it.
func (c *completion) deciding() []string {
	parts := []string{c.adapter()}
	for _, name := range sortedNames(c.fields) {
		if !slices.Contains(undecided, name) {
			parts = append(parts, name, string(c.fields[name]))
		}
	}
	return parts
}

// head is what requests share that profit from one cached prefix.
func (c *completion) head() []string {
	return []string{c.adapter(), string(c.prompt[:min(prefixBytes, len(c.prompt))])}
}

// adapter is the model without its version.
func (c *completion) adapter() string {
	name, _, _ := strings.Cut(c.model, "@")
	return name
}

func sortedNames(fields map[string]json.RawMessage) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
