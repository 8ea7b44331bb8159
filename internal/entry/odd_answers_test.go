package entry

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/node"
)

// rawEngine returns an engine that writes bytes, and further ones without end where repeated isn't empty.
func rawEngine(head, repeated string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, head)
		writeWithoutEnd(c, repeated, err)
	}
}

func writeWithoutEnd(c net.Conn, repeated string, err error) {
	block := strings.Repeat(repeated, 1<<10)
	for repeated != "" && err == nil {
		_, err = io.WriteString(c, block)
	}
}

// Guards against bytes that are no answer and reach the caller as one, and against a host that keeps bytes
// without end (issue 54): hosts that serve read upstreams' answers as relaying hosts do.
func TestOddAnswersAreFailures(t *testing.T) {
	const okLine, length = "HTTP/1.1 200 OK\r\n", "Content-Length: 2\r\n\r\n{}"
	for name, c := range map[string]struct{ head, repeated string }{
		"status 000":        {"HTTP/1.1 000 Odd\r\n" + length, ""},
		"status 999":        {"HTTP/1.1 999 Odd\r\n" + length, ""},
		"blank in a name":   {okLine + "Odd Name: x\r\n" + length, ""},
		"blank in a length": {okLine + "Content-Length : 1\r\n\r\n{}", ""},
		"odd trailer":       {okLine + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nOdd Name: x\r\n\r\n", ""},
		"head without end":  {okLine + "X-Field: ", "x"},
		"body without end":  {okLine + "\r\n", "x"},
		"chunks":            {okLine + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
	} {
		b := newFixture(t, rawEngine(c.head, c.repeated))
		caller := b.dial()
		caller.send(post("/v1/completions", `{"model":"quotes","prompt":"a grab rail","max_tokens":8}`))
		e := b.nextEnded()
		if e.Kind != node.EndFailed {
			t.Errorf("%s: the node was told %+v", name, e)
		}
		(<-b.exchange).decisions <- node.Refuse{ID: e.ID, Refusal: &core.Refusal{Code: core.CodeUpstreamFailed, Ran: core.RanUnknown}}
		if r := caller.response(); r.StatusCode != http.StatusBadGateway {
			t.Errorf("%s: the caller got %d", name, r.StatusCode)
		}
		_ = caller.Close()
	}
}
