package entry

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"gentiancroft/internal/core"
)

// Limits and defaults of a completion request.
const (
	bytesPerToken    = 4 // to estimate a prompt's tokens
	defaultMaxTokens = 256
	maxMaxTokens     = 1 << 20
	maxModelBytes    = 256
	maxPromptBytes   = 768 << 10
	maxStops         = 16
	maxStopBytes     = 256
	prefixBytes      = 256 // of the prompt, hashed for prefix cache affinity
)

// completion is the body of an OpenAI-compatible request. It is decoded once, and the
// upstream's body is encoded from it again. Otherwise an upstream could read another
// value than this host where a field name is repeated or written unusually.
type completion struct {
	fields       map[string]json.RawMessage
	model        string
	prompt       []byte      // raw JSON of prompt or messages
	promptTokens core.Tokens // estimated, unless the prompt is a list of token numbers
	maxTokens    core.Tokens
	stream       bool
}

// malformed returns the refusal of a malformed request.
func malformed(message string) *core.Refusal { return core.Refuse(core.CodeBadRequest, 0, message) }

// parseCompletion decodes a body and checks it against the limits.
func parseCompletion(body []byte) (*completion, *core.Refusal) {
	c := &completion{}
	if json.Unmarshal(body, &c.fields) != nil || c.fields == nil {
		return nil, malformed("the body is not a JSON object of a completion")
	}
	for _, step := range []func() *core.Refusal{c.parseModel, c.parsePrompt, c.parseMaxTokens, c.parseChoiceCount, c.parseStop, c.parseStream} {
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
	c.promptTokens = core.Tokens(len(c.prompt)/bytesPerToken) + 1
	if chat {
		return c.parseMessages()
	}
	return c.parsePlainPrompt()
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

func (c *completion) parsePlainPrompt() *core.Refusal {
	var text string
	if json.Unmarshal(c.prompt, &text) == nil && c.prompt[0] == '"' {
		return nil
	}
	var ids []core.Tokens
	if json.Unmarshal(c.prompt, &ids) == nil && len(ids) > 0 {
		c.promptTokens = core.Tokens(len(ids))
		return nil
	}
	var one [1]string
	var all []json.RawMessage
	if json.Unmarshal(c.prompt, &all) == nil && len(all) == 1 && json.Unmarshal(c.prompt, &one) == nil && one[0] != "" {
		return nil
	}
	return malformed("prompt is not one string or one list of token numbers")
}

func (c *completion) parseMaxTokens() *core.Refusal {
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
	if given == 0 { // the upstream must not generate more than is reserved
		c.fields["max_tokens"] = strconv.AppendInt(nil, int64(c.maxTokens), 10)
	}
	return nil
}

func (c *completion) parseChoiceCount() *core.Refusal {
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

// integer returns a field that must be a whole number. A null field is removed and
// treated as absent; ok is false if the field is not a whole number.
func (c *completion) integer(name string) (n int64, present, ok bool) {
	raw, present := c.fields[name]
	if !present || string(raw) == "null" {
		delete(c.fields, name)
		return 0, false, true
	}
	n, err := strconv.ParseInt(string(raw), 10, 64)
	return n, true, err == nil
}

// encode returns the body for the upstream, with the exact adapter version as the model.
// It returns nil if the body can't be encoded.
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

// nonSemanticFields are the fields that don't affect what an upstream computes.
var nonSemanticFields = []string{"model", "stream", "stream_options", "user", "metadata"}

// semanticParts returns the adapter and the fields that determine what an upstream
// computes. Requests of different callers for the same work have the same parts.
func (c *completion) semanticParts() []string {
	parts := []string{c.adapter()}
	for _, name := range sortedNames(c.fields) {
		if !slices.Contains(nonSemanticFields, name) {
			parts = append(parts, name, string(c.fields[name]))
		}
	}
	return parts
}

// prefixParts returns the adapter and the start of the prompt. Requests that have them in
// common can use the same prefix cache.
func (c *completion) prefixParts() []string {
	return []string{c.adapter(), string(c.prompt[:min(prefixBytes, len(c.prompt))])}
}

// adapter returns the model name without its version.
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
