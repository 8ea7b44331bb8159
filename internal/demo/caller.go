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

// reply is what a caller got.
type reply struct {
	status  int
	adapter string
	body    string
	first   time.Duration // to the first event of a stream
	tokens  int
	whole   bool // ended as a whole stream does
	failure failure
	replay  bool
}

// failure is the error of a reply, in its body or as a stream's last event.
type failure struct {
	Code       core.Code `json:"code"`
	Message    string    `json:"message"`
	Ran        core.Ran  `json:"ran"`
	RetryAfter float64   `json:"retry_after"`
}

func keyOf(ws core.WorkspaceID) string { return "demo-" + string(ws) }

// call is a request of the tour.
type call struct {
	address     string
	path        string
	workspace   core.WorkspaceID
	body        string
	idempotency string
	onToken     func(n int)
}

func completion(model string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":"a grab rail beside the bath","max_tokens":%d,"stream":true}`, model, tokens)
}

// send sends a request and reads the whole answer.
func send(ctx context.Context, c call) (reply, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+c.path, strings.NewReader(c.body))
	if err != nil {
		return reply{}, err
	}
	request.Header.Set("Authorization", "Bearer "+keyOf(c.workspace))
	if c.idempotency != "" {
		request.Header.Set("Idempotency-Key", c.idempotency)
	}
	started := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	r := reply{
		status:  response.StatusCode,
		adapter: response.Header.Get("X-Adapter"),
		replay:  response.Header.Get("X-Replayed") != "",
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

// readEvents reads a stream to its end, whole or typed.
func (r *reply) readEvents(body io.Reader, started time.Time, onToken func(int)) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			r.whole = true
		case strings.HasPrefix(data, `{"error"`):
			r.readFailure([]byte(data))
		case strings.Contains(data, `"text"`):
			if r.tokens == 0 {
				r.first = time.Since(started)
			}
			r.tokens++
			if onToken != nil {
				onToken(r.tokens)
			}
		}
	}
	return lines.Err()
}

// entries asks a host which addresses to use, near ones first.
func entries(address string, ws core.WorkspaceID, near core.Domain) ([]string, float64, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/v1/entries?domain="+string(near), nil)
	if err != nil {
		return nil, 0, err
	}
	request.Header.Set("Authorization", "Bearer "+keyOf(ws))
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
