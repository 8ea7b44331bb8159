package wiring

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"gentiancroft/internal/held"
)

// Guards against a page's listener that reads bodies, or takes a part of one for a request.
func TestPagesTakeNoBodies(t *testing.T) {
	const get = "GET /page HTTP/1.1\r\nHost: h\r\n"
	smuggled := strings.Repeat(get+"\r\n", 1000)
	for name, c := range map[string]struct {
		request string
		status  int
		kept    bool
	}{
		"no body":     {get + "\r\n", 200, true},
		"body":        {get + "Content-Length: 100000\r\n\r\n" + smuggled, 200, false},
		"chunks":      {get + "Transfer-Encoding: chunked\r\n\r\n" + smuggled, 200, false},
		"other path":  {"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + smuggled, 404, false},
		"many fields": {get + strings.Repeat("a: b\r\n", 200) + "\r\n", 431, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			budget := held.New("test", pageLimits(1024), metrics.NewRegistry())
			serve := pageServer(l, budget, "/page", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("page") })
			go func() { _ = serve(context.Background()) }()
			conn, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			go func() { _, _ = io.WriteString(conn, c.request) }()
			reader := bufio.NewReader(conn)
			answer, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, answer.Body)
			is.NoErr(err)
			is.Equal(answer.StatusCode, c.status)
			is.Equal(!answer.Close, c.kept)
			if !c.kept {
				_, err = reader.ReadByte()
				is.True(err != nil)
			}
		})
	}
}
