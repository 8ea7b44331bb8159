package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"gentiancroft/internal/upstream"
)

// Outcomes that are not codes of the system's own.
const (
	outcomeOK         = "ok"
	outcomeCancelled  = "hung up"
	outcomeNotReached = "not reached"
	outcomeNotWhole   = "not whole" // neither [DONE] nor a typed error
	outcomeTimeout    = "client timeout"
	outcomeNoPlace    = "not started" // over the tool's own bound
	outcomeWrong      = "wrong adapter"
)

const maxEntries = 64 << 10 // bytes

// callers ask as callers of the system do.
type callers struct {
	options Options
	client  *upstream.Client

	mu    sync.Mutex
	known map[string]known // by key
}

// known is an answer of GET /v1/entries.
type known struct {
	addresses []string
	until     time.Time
}

// sample is what one request gave.
type sample struct {
	outcome string
	first   time.Duration
	total   time.Duration
	gaps    []time.Duration
}

// ask carries out one request. Latencies count from when it was due.
func (c *callers) ask(ctx context.Context, p plan, due time.Time) sample {
	ctx, stop := context.WithTimeout(ctx, c.options.Timeout)
	defer stop()
	if p.cancel > 0 {
		var hangUp context.CancelFunc
		ctx, hangUp = context.WithDeadline(ctx, due.Add(p.cancel))
		defer hangUp()
	}
	s := c.try(ctx, p, due)
	s.total = time.Since(due)
	switch {
	case s.outcome == outcomeOK:
	case p.cancel > 0 && s.total >= p.cancel:
		s.outcome = outcomeCancelled
	case s.total >= c.options.Timeout:
		s.outcome = outcomeTimeout
	}
	return s
}

// try asks the hosts in the order that the system told, the next one only
// where a host could not be reached at all.
func (c *callers) try(ctx context.Context, p plan, due time.Time) sample {
	for _, address := range c.entries(ctx, p.key) {
		a, err := c.client.Do(ctx, c.call(address, p))
		if upstream.NotReached.Has(err) {
			c.forget(p.key)
			continue
		}
		if err != nil {
			return sample{outcome: outcomeNotWhole}
		}
		defer a.Close()
		if a.Status != http.StatusOK {
			return sample{outcome: refusal(a)}
		}
		return c.follow(a, p, due)
	}
	return sample{outcome: outcomeNotReached}
}

func (c *callers) call(address string, p plan) upstream.Call {
	const word = "level of the reservoir "
	text := fmt.Sprintf("%d %s", p.number, strings.Repeat(word, c.options.Prompt/len(word)+1))
	body, _ := json.Marshal(map[string]any{
		"model": p.adapter, "prompt": text[:max(c.options.Prompt, 1)], "max_tokens": c.options.MaxTokens, "stream": true,
	})
	return upstream.Call{Address: address, Method: "POST", Path: c.options.Path, Body: body, Headers: bearer(p.key)}
}

func bearer(key string) []upstream.Header {
	return []upstream.Header{{Name: "Authorization", Value: "Bearer " + key}}
}

// follow reads a stream to its end and judges whether it is whole and right.
func (c *callers) follow(a *upstream.Answer, p plan, due time.Time) sample {
	s := sample{outcome: outcomeNotWhole}
	lines := bufio.NewReader(a.Body)
	last := due
	failed := false
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return s
		}
		if bytes.HasPrefix(line, []byte("event: error")) {
			failed = true
			continue
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if failed {
			s.outcome = "cut: " + code(data)
			return s
		}
		if bytes.HasPrefix(data, []byte("[DONE]")) {
			s.outcome = outcomeOK
			_, _ = io.Copy(io.Discard, a.Body) // so that the connection can be kept
			return s
		}
		now := time.Now()
		if s.first == 0 {
			s.first = now.Sub(due)
		} else {
			s.gaps = append(s.gaps, now.Sub(last))
		}
		last = now
		if text := generated(data); text != "" && !strings.Contains(text, strings.SplitN(p.adapter, "@", 2)[0]+"@") {
			s.outcome = outcomeWrong
			return s
		}
	}
}

// generated is the text of an event. Stand-in engines put the adapter into it.
func generated(data []byte) string {
	var event struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal(data, &event) != nil || len(event.Choices) == 0 {
		return ""
	}
	return event.Choices[0].Text
}

// refusal is the code of an answer that is none.
func refusal(a *upstream.Answer) string {
	body, err := upstream.ReadBody(a, maxEntries)
	if err != nil {
		return outcomeNotWhole
	}
	return code(body)
}

func code(body []byte) string {
	var e struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &e) != nil || e.Error.Code == "" {
		return "untyped error"
	}
	return e.Error.Code
}

// entries are the hosts to ask, the best first.
func (c *callers) entries(ctx context.Context, key string) []string {
	if !c.options.Follow {
		return c.options.Targets
	}
	c.mu.Lock()
	k := c.known[key]
	c.mu.Unlock()
	if time.Now().Before(k.until) {
		return k.addresses
	}
	for _, target := range append(k.addresses, c.options.Targets...) {
		if k, ok := c.askEntries(ctx, target, key); ok {
			c.mu.Lock()
			c.known[key] = k
			c.mu.Unlock()
			return k.addresses
		}
	}
	return c.options.Targets
}

func (c *callers) askEntries(ctx context.Context, target, key string) (known, bool) {
	asked := time.Now()
	a, err := c.client.Do(ctx, upstream.Call{Address: target, Method: "GET", Path: "/v1/entries", Headers: bearer(key)})
	if err != nil {
		return known{}, false
	}
	defer a.Close()
	body, err := upstream.ReadBody(a, maxEntries)
	var answer struct {
		Entries []string `json:"entries"`
		Keep    float64  `json:"keep_seconds"`
	}
	if err != nil || a.Status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
		return known{}, false
	}
	k := known{until: asked.Add(time.Duration(answer.Keep * float64(time.Second)))}
	for _, address := range answer.Entries {
		if loopback(address) { // load never leaves the machine, whatever a host says
			k.addresses = append(k.addresses, address)
		}
	}
	return k, len(k.addresses) > 0
}

// forget drops an answer that named a host which could not be reached.
func (c *callers) forget(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.known[key]
	k.until = time.Time{}
	c.known[key] = k
}
