package demo

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"gentiancroft/internal/core"
)

// reply is the answer to a request, as the caller received it.
type reply struct {
	status     int
	adapter    string
	body       string
	firstToken time.Duration // time to the first token of a stream
	tokens     int
	complete   bool // a stream that ended with [DONE]
	failure    failure
	replayed   bool
}

// failure is the error in the body of a reply or in the last event of a stream.
type failure struct {
	Code       core.Code `json:"code"`
	Message    string    `json:"message"`
	Ran        core.Ran  `json:"ran"`
	RetryAfter float64   `json:"retry_after"`
}

// apiKey returns the API key of a workspace, as the sample documents have it.
func apiKey(ws core.WorkspaceID) string { return "demo-" + string(ws) }

// call is a request that the tour sends.
type call struct {
	address        string
	path           string
	workspace      core.WorkspaceID
	body           string
	idempotencyKey string
	onToken        func(n int)
}

// completion returns the body of a streaming completion request.
func completion(model string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":"a grab rail beside the bath","max_tokens":%d,"stream":true}`, model, tokens)
}

// send sends a request and reads the answer to its end. The error is a
// connection failure; refusals and errors of a stream are in the reply.
func send(ctx context.Context, c call) (reply, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+c.path, strings.NewReader(c.body))
	if err != nil {
		return reply{}, err
	}
	request.Header.Set("Authorization", "Bearer "+apiKey(c.workspace))
	if c.idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", c.idempotencyKey)
	}
	started := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	r := reply{
		status:   response.StatusCode,
		adapter:  response.Header.Get("X-Adapter"),
		replayed: response.Header.Get("X-Replayed") != "",
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return r, r.readEvents(response.Body, started, c.onToken)
	}
	b, err := io.ReadAll(response.Body)
	r.body = string(b)
	r.readFailure(b)
	return r, err
}

func (r *reply) readFailure(b []byte) {
	var body struct {
		Error failure `json:"error"`
	}
	if json.Unmarshal(b, &body) == nil {
		r.failure = body.Error
	}
}

// readEvents reads a stream to its end and records whether it ended with [DONE]
// or an error event.
func (r *reply) readEvents(body io.Reader, started time.Time, onToken func(int)) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			r.complete = true
		case strings.HasPrefix(data, `{"error"`):
			r.readFailure([]byte(data))
		case strings.Contains(data, `"text"`):
			if r.tokens == 0 {
				r.firstToken = time.Since(started)
			}
			r.tokens++
			if onToken != nil {
				onToken(r.tokens)
			}
		}
	}
	return lines.Err()
}

// fetchEntries fetches the addresses of hosts from a host, those in the given
// failure domain first. It returns them with the seconds for which they may be
// cached.
func fetchEntries(address string, ws core.WorkspaceID, domain core.Domain) ([]string, float64, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/v1/entries?domain="+string(domain), nil)
	if err != nil {
		return nil, 0, err
	}
	request.Header.Set("Authorization", "Bearer "+apiKey(ws))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	var body struct {
		Entries []string `json:"entries"`
		Keep    float64  `json:"keep_seconds"`
	}
	err = json.NewDecoder(response.Body).Decode(&body)
	return body.Entries, body.Keep, err
}
