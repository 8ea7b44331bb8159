package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/node"
)

func TestCredentialsNeverGoUpstream(t *testing.T) {
	seen := make(chan *http.Request, 1)
	b := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		seen <- r
	})
	b.roundTrip(post("/v1/completions", streamBody, "X-Api-Key: other", "Cookie: session=1", "Proxy-Authorization: Basic x", "X-Custom: 1", "Traceparent: 00-1"))
	r := <-seen
	for _, name := range []string{"Authorization", "X-Api-Key", "Cookie", "Proxy-Authorization", "X-Custom"} {
		b.is.Equal(r.Header.Get(name), "")
	}
	b.is.Equal(r.Header.Get("Traceparent"), "00-1")
	b.is.Equal(r.Header.Get("X-Adapter"), "quotes@2")
	var body map[string]any
	b.is.NoErr(json.NewDecoder(r.Body).Decode(&body))
	b.is.Equal(body["model"], "quotes@2") // the exact version, although the caller gave none
}

func TestMalformedRequestsNeverReachTheNode(t *testing.T) {
	b := newFixture(t, nil)
	completion := func(body string) string { return post("/v1/completions", body) }
	for _, test := range []struct {
		request string
		status  int
	}{
		{completion(`[]`), 400},
		{completion(`null`), 400},
		{completion(`{"prompt":"p"}`), 400},
		{completion(`{"model":7,"prompt":"p"}`), 400},
		{completion(`{"model":"m"}`), 400},
		{completion(`{"model":"m","prompt":"p","messages":[]}`), 400},
		{completion(`{"model":"m","prompt":["a","b"]}`), 400},
		{completion(`{"model":"m","prompt":null}`), 400},
		{completion(`{"model":"m","messages":[{}]}`), 400},
		{completion(`{"model":"m","prompt":"p","max_tokens":-1}`), 400},
		{completion(`{"model":"m","prompt":"p","max_tokens":1e3}`), 400},
		{completion(`{"model":"m","prompt":"p","max_tokens":99999999999999999999}`), 400},
		{completion(`{"model":"m","prompt":"p","max_tokens":"9"}`), 400},
		{completion(`{"model":"m","prompt":"p","max_tokens":9,"max_completion_tokens":9}`), 400},
		{completion(`{"model":"m","prompt":"p","n":2}`), 400},
		{completion(`{"model":"m","prompt":"p","best_of":2}`), 400},
		{completion(`{"model":"m","prompt":"p","stop":7}`), 400},
		{completion(`{"model":"m","prompt":"p","stream":"yes"}`), 400},
		{completion(`{"model":"m","prompt":"` + testKey + `"}`), 400},
		{completion(`{"model":"m","prompt":"` + strings.Repeat("x", maxPromptBytes) + `"}`), 413},
		{post("/v1/completions", streamBody, "X-Request-Timeout: NaN"), 400},
		{post("/v1/completions", streamBody, "Content-Encoding: gzip"), 400},
		{post("/bookings?key="+testKey, "{}"), 400},
		{"TRACE /x HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		{"nonsense\r\n\r\n", 400},
		{"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n", 431},
		{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n", 413},
	} {
		r, body := b.roundTrip(test.request)
		b.is.Equal(r.StatusCode, test.status) // each case gives its expected status
		var e errorBody
		b.is.NoErr(json.Unmarshal([]byte(body), &e))
		b.is.Equal(e.Error.Ran, core.RanNo)
	}
	b.is.Equal(len(b.node.events), 0)
}

func TestArrivalDescribesTheRequest(t *testing.T) {
	b := newFixture(t, nil)
	b.node.script = func(x *fakeExchange, a node.RequestArrived) {
		x.decisions <- node.Refuse{Refusal: core.Refuse(core.CodeUnknownAdapter, 0, "")}
	}
	arrival := func(body string) node.RequestArrived {
		r, _ := b.roundTrip(post("/v1/completions", body, "X-Request-Timeout: 2.5", "Idempotency-Key: k"))
		b.is.Equal(r.StatusCode, 404)
		return b.next().(node.RequestArrived)
	}
	one := arrival(`{"model":"m@1","prompt":[5,6,7],"max_tokens":9,"user":"a"}`)
	b.is.Equal(one.PromptTokens, core.Tokens(3))
	b.is.Equal(one.MaxTokens, core.Tokens(9))
	b.is.Equal(one.IdempotencyKey, "k")
	b.is.Equal(one.Timeout.Seconds(), 2.5)
	two := arrival(`{"user":"b","stream":true,"model":"m@2","prompt":[5,6,7],"max_tokens":9}`)
	b.is.Equal(one.Fingerprint, two.Fingerprint) // model version, user and stream don't count
	b.is.Equal(one.PrefixHash, two.PrefixHash)
	b.is.True(one.BodyHash != two.BodyHash)
	three := arrival(`{"model":"m@1","prompt":[5,6,8],"max_tokens":9}`)
	b.is.True(one.Fingerprint != three.Fingerprint)
}

func FuzzParseCompletion(f *testing.F) {
	for _, seed := range []string{
		streamBody, `{"model":"a","messages":[{"role":"user","content":"x"}],"max_completion_tokens":4}`,
		`{"model":"a","model":"b","prompt":"x"}`, `{"MODEL":"a","model":"b","prompt":["x"]}`,
		`{"model":"a","prompt":[1,2],"stop":["x"],"n":1,"max_tokens":null}`, `{"model":"a","prompt":" "}`, `{`, `"x"`, "",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		is := is.New(t)
		c, refusal := parseCompletion(body)
		if refusal != nil {
			is.Equal(refusal.Ran, core.RanNo)
			return
		}
		is.True(c.maxTokens >= 1 && c.maxTokens <= maxMaxTokens)
		is.True(c.promptTokens >= 1)
		var sent struct {
			Model string          `json:"model"`
			N     *int64          `json:"n"`
			Max   json.RawMessage `json:"max_tokens"`
		}
		is.NoErr(json.Unmarshal(c.encode(quotes), &sent))
		is.Equal(sent.Model, "quotes@2") // the upstream can't read another model
		is.True(sent.N == nil || *sent.N == 1)
	})
}

func FuzzScanEvents(f *testing.F) {
	f.Add([]byte("data: {\"choices\":[{}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: a\r\n\r\n: note\n\ndata: {\"error\":1}\n\ndata: b"))
	f.Fuzz(func(t *testing.T, b []byte) {
		is := is.New(t)
		var whole events
		end := whole.scan(b)
		var parts events
		at := 0
		for i := range b { // parsing byte by byte gives the same events
			at += parts.scan(b[at : i+1])
		}
		is.Equal(at, end)
		is.Equal(parts.done, whole.done)
		is.Equal(parts.generated, whole.generated)
	})
}
