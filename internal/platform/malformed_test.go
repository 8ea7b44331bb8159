package platform

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// Guards against an answer of the store that is none: a status 000 counted as 200 (issue 54).
func TestMalformedAnswerOfTheStoreIsAnError(t *testing.T) {
	is := is.New(t)
	for _, head := range []string{"HTTP/1.1 000 Odd\r\n", "HTTP/1.1 200 OK\r\nOdd Name: x\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n", "HTTP/1.1 200 O\x01K\r\n"} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := w.(http.Hijacker).Hijack()
			is.NoErr(err)
			_, _ = c.Write([]byte(head + "Content-Length: 2\r\n\r\n{}"))
			_ = c.Close()
		}))
		transport := NewTransport(s.Listener.Addr().String(), DefaultLimits)
		r := &fasthttp.Request{}
		r.SetRequestURI(s.URL)
		_, err := transport.Send(t.Context(), r, 10*time.Second)
		is.True(err != nil && !IsNotSent(err)) // a write may have been applied
		transport.Close()
		s.Close()
	}
}
