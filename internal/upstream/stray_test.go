package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// strayServer hands each request of each connection to answer, which may write anything.
func strayServer(t *testing.T, answer func(c net.Conn, request, connection int)) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for connection := 1; ; connection++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				r := bufio.NewReader(c)
				for request := 1; ; request++ {
					if _, err := http.ReadRequest(r); err != nil {
						_ = c.Close()
						return
					}
					answer(c, request, connection)
				}
			}()
		}
	}()
	return l.Addr().String()
}

func writeAnswer(c net.Conn, id, body string) {
	field := ""
	if id != "" {
		field = "Id: " + id + "\r\n"
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", field, len(body), body)
}

// idMatcher accepts the answers of one request.
func idMatcher(id string) func(*fasthttp.ResponseHeader) Match {
	return func(h *fasthttp.ResponseHeader) Match {
		switch string(h.Peek("Id")) {
		case id:
			return Own
		case "":
			return Unnamed
		}
		return Foreign
	}
}

func prepared(id string) *fasthttp.Request {
	r := &fasthttp.Request{}
	r.SetRequestURI("/")
	r.Header.SetHost("h")
	r.Header.Set("Id", id)
	return r
}

// bodyOf makes a call and returns the body of its answer.
func bodyOf(c *Client, call Call) (string, error) {
	a, err := c.Do(context.Background(), call)
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := ReadBody(a, MaxAnswerBytes)
	return string(b), err
}

// Guards against an answer taken for a request's that is none: answers to orders and reports
// have no id, and passed for the answer to any request on the same connection.
func TestUnnamedAnswerOnAKeptConnectionIsNotTrusted(t *testing.T) {
	is := is.New(t)
	address := strayServer(t, func(c net.Conn, request, connection int) {
		if request == 2 && connection == 1 {
			writeAnswer(c, "", "of an order")
		}
		writeAnswer(c, fmt.Sprint(request), "right")
	})
	client := NewClient(nil, nil)
	defer client.Close()
	got, err := bodyOf(client, Call{Address: address, Prepared: prepared("1"), Matches: idMatcher("1")})
	is.NoErr(err)
	is.Equal(got, "right")
	_, err = bodyOf(client, Call{Address: address, Prepared: prepared("2"), Matches: idMatcher("2")})
	is.True(Broken.Has(err)) // whether the request ran isn't known
	got, err = bodyOf(client, Call{Address: address, Prepared: prepared("1"), Matches: idMatcher("1")})
	is.NoErr(err) // on another connection
	is.Equal(got, "right")
}

// An upstream that names no request in its answers can still be called.
func TestUnnamedAnswerOnANewConnectionIsTheRequests(t *testing.T) {
	is := is.New(t)
	address := strayServer(t, func(c net.Conn, _, _ int) { writeAnswer(c, "", "right") })
	client := NewClient(nil, nil)
	defer client.Close()
	got, err := bodyOf(client, Call{Address: address, Prepared: prepared("1"), Matches: idMatcher("1")})
	is.NoErr(err)
	is.Equal(got, "right")
}

// Guards against answers that shift along a connection: a late answer to an earlier request
// passed for the answer to the confirmation, and that one for the next request's.
func TestConfirmationIsNotAnsweredByAnEarlierRequest(t *testing.T) {
	is := is.New(t)
	address := strayServer(t, func(c net.Conn, request, connection int) {
		if connection != 1 {
			writeAnswer(c, "2", "right")
			return
		}
		switch request {
		case 1:
			writeAnswer(c, "1", "first")
		case 2: // the confirmation
			writeAnswer(c, "1", "first")
		default:
			writeAnswer(c, "", "confirmed")
		}
	})
	client := NewClient(nil, nil)
	defer client.Close()
	_, err := bodyOf(client, Call{Address: address, Prepared: prepared("1"), Matches: idMatcher("1")})
	is.NoErr(err)
	confirmation := &Confirmation{
		Request: prepared(""),
		Matches: func(h *fasthttp.ResponseHeader) Match {
			if len(h.Peek("Id")) > 0 {
				return Foreign
			}
			return Own
		},
		Accept: func(*fasthttp.ResponseHeader, []byte) bool { return true },
	}
	got, err := bodyOf(client, Call{Address: address, Prepared: prepared("2"), Matches: idMatcher("2"), MaxIdle: time.Nanosecond, Confirm: confirmation})
	is.NoErr(err)
	is.Equal(got, "right")
}
