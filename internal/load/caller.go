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

// Outcomes that are not error codes of the system.
const (
	outcomeOK           = "ok"
	outcomeCancelled    = "hung up"
	outcomeNotReached   = "not reached"
	outcomeIncomplete   = "not whole" // the answer ended with neither [DONE] nor an error event
	outcomeTimeout      = "client timeout"
	outcomeNotStarted   = "not started" // maxInFlight was reached
	outcomeWrongAdapter = "wrong adapter"
)

// maxBodyBytes bounds the body of an error or of GET /v1/entries.
const maxBodyBytes = 64 << 10

// loadClient sends requests in the way of a caller: to the addresses of GET
// /v1/entries, which it caches.
type loadClient struct {
	options Options
	client  *upstream.Client

	mu           sync.Mutex
	entriesByKey map[string]cachedEntries // by API key
}

// cachedEntries is an answer of GET /v1/entries with the time until which it
// may be used.
type cachedEntries struct {
	addresses []string
	expiry    time.Time
}

// sample is the result of one request. The latencies count from the time at
// which the request was due.
type sample struct {
	outcome    string
	firstToken time.Duration
	total      time.Duration
	tokenGaps  []time.Duration
}

// send carries out one request, with its timeout and hang-up, and classifies
// its outcome. due is the time at which the plan starts it; latencies count
// from there.
func (c *loadClient) send(ctx context.Context, p plan, due time.Time) sample {
	ctx, stop := context.WithTimeout(ctx, c.options.RequestTimeout)
	defer stop()
	if p.cancelAfter > 0 {
		var hangUp context.CancelFunc
		ctx, hangUp = context.WithDeadline(ctx, due.Add(p.cancelAfter))
		defer hangUp()
	}
	s := c.attempt(ctx, p, due)
	s.total = time.Since(due)
	switch {
	case s.outcome == outcomeOK:
	case p.cancelAfter > 0 && s.total >= p.cancelAfter:
		s.outcome = outcomeCancelled
	case s.total >= c.options.RequestTimeout:
		s.outcome = outcomeTimeout
	}
	return s
}

// attempt sends the request to the hosts in order. It tries the next host
// only if it could not connect to the previous one.
func (c *loadClient) attempt(ctx context.Context, p plan, due time.Time) sample {
	for _, address := range c.targets(ctx, p.key) {
		a, err := c.client.Do(ctx, c.newCall(address, p))
		if upstream.NotReached.Has(err) {
			c.expireEntries(p.key)
			continue
		}
		if err != nil {
			return sample{outcome: outcomeIncomplete}
		}
		defer a.Close()
		if a.Status != http.StatusOK {
			return sample{outcome: refusalCode(a)}
		}
		return c.readStream(a, p, due)
	}
	return sample{outcome: outcomeNotReached}
}

// newCall returns a streaming completion call. The prompt starts with the
// request's number, so that prompts differ.
func (c *loadClient) newCall(address string, p plan) upstream.Call {
	const filler = "level of the reservoir "
	text := fmt.Sprintf("%d %s", p.number, strings.Repeat(filler, c.options.PromptBytes/len(filler)+1))
	body, _ := json.Marshal(map[string]any{
		"model": p.adapter, "prompt": text[:max(c.options.PromptBytes, 1)], "max_tokens": c.options.MaxTokens, "stream": true,
	})
	return upstream.Call{Address: address, Method: "POST", Path: c.options.Path, Body: body, Headers: bearer(p.key)}
}

func bearer(key string) []upstream.Header {
	return []upstream.Header{{Name: "Authorization", Value: "Bearer " + key}}
}

// readStream reads a stream to its end and returns its outcome and token times.
func (c *loadClient) readStream(a *upstream.Answer, p plan, due time.Time) sample {
	s := sample{outcome: outcomeIncomplete}
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
			s.outcome = "cut: " + errorCode(data)
			return s
		}
		if bytes.HasPrefix(data, []byte("[DONE]")) {
			s.outcome = outcomeOK
			_, _ = io.Copy(io.Discard, a.Body) // so that the connection can be reused
			return s
		}
		now := time.Now()
		if s.firstToken == 0 {
			s.firstToken = now.Sub(due)
		} else {
			s.tokenGaps = append(s.tokenGaps, now.Sub(last))
		}
		last = now
		if text := generatedText(data); text != "" && !strings.Contains(text, strings.SplitN(p.adapter, "@", 2)[0]+"@") {
			s.outcome = outcomeWrongAdapter
			return s
		}
	}
}

// generatedText returns the text of an event, "" if it has none. Emulated
// engines generate the adapter's name, so that the caller can check it.
func generatedText(data []byte) string {
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

// refusalCode returns the error code of an answer with a status other than 200.
func refusalCode(a *upstream.Answer) string {
	body, err := upstream.ReadBody(a, maxBodyBytes)
	if err != nil {
		return outcomeIncomplete
	}
	return errorCode(body)
}

// errorCode returns the code in an error body.
func errorCode(body []byte) string {
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

// targets returns the hosts to send to, the best first: with UseEntries those of
// GET /v1/entries, if any host answers it.
func (c *loadClient) targets(ctx context.Context, key string) []string {
	if !c.options.UseEntries {
		return c.options.Targets
	}
	c.mu.Lock()
	k := c.entriesByKey[key]
	c.mu.Unlock()
	if time.Now().Before(k.expiry) {
		return k.addresses
	}
	for _, target := range append(k.addresses, c.options.Targets...) {
		if k, ok := c.fetchEntries(ctx, target, key); ok {
			c.mu.Lock()
			c.entriesByKey[key] = k
			c.mu.Unlock()
			return k.addresses
		}
	}
	return c.options.Targets
}

func (c *loadClient) fetchEntries(ctx context.Context, target, key string) (cachedEntries, bool) {
	requestedAt := time.Now()
	a, err := c.client.Do(ctx, upstream.Call{Address: target, Method: "GET", Path: "/v1/entries", Headers: bearer(key)})
	if err != nil {
		return cachedEntries{}, false
	}
	defer a.Close()
	body, err := upstream.ReadBody(a, maxBodyBytes)
	var answer struct {
		Entries []string `json:"entries"`
		Keep    float64  `json:"keep_seconds"`
	}
	if err != nil || a.Status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
		return cachedEntries{}, false
	}
	k := cachedEntries{expiry: requestedAt.Add(time.Duration(answer.Keep * float64(time.Second)))}
	for _, address := range answer.Entries {
		if loopback(address) { // load must not leave this machine, also if a host lists other addresses
			k.addresses = append(k.addresses, address)
		}
	}
	return k, len(k.addresses) > 0
}

// expireEntries expires a cached answer that lists a host which could not be
// reached. Its addresses are still used to fetch a new answer.
func (c *loadClient) expireEntries(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.entriesByKey[key]
	k.expiry = time.Time{}
	c.entriesByKey[key] = k
}
