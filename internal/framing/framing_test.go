package framing

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const testMaxLines = 20

// scanned is what a connection's bytes are split into.
type scanned struct {
	head, body, rest []byte
	whole            bool // the request has ended
	err              error
}

// scan splits bytes that arrive in pieces of the given size.
func scan(b []byte, piece int) scanned {
	var s scanned
	h := Head{MaxLines: testMaxLines}
	for len(b) > 0 && !h.Done() {
		n, err := h.Scan(b[:min(piece, len(b))])
		s.head, b = append(s.head, b[:n]...), b[n:]
		if err != nil {
			s.err = err
			return s
		}
	}
	if !h.Done() {
		return s
	}
	if length := h.BodyLength(); length != Chunked {
		n := min(length, int64(len(b)))
		s.body, s.rest, s.whole = b[:n], b[n:], n == length
		return s
	}
	var c Chunks
	for len(b) > 0 && !c.Done() {
		skip, data, err := c.Next(b[:min(piece, len(b))])
		s.body = append(s.body, b[skip:skip+data]...)
		b = b[skip+data:]
		if err != nil {
			s.err = err
			return s
		}
	}
	s.rest, s.whole = b, c.Done()
	return s
}

func TestRequestsAreSplitAtTheirEnds(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\n"
	for _, c := range []struct{ text, body string }{
		{head + "\r\n", ""},
		{head + "content-length: 4\r\n\r\nbody", "body"},
		{"\r\n" + head + "Content-Length:4\r\n\r\nbody", "body"},
		{head + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2;x=y\r\ndy\r\n0\r\nA: b\r\n\r\n", "body"},
	} {
		for piece := 1; piece < 20; piece++ {
			is := is.New(t)
			s := scan([]byte(c.text+"GET /next"), piece)
			is.NoErr(s.err)
			is.True(s.whole)
			is.Equal(string(s.body), c.body)
			is.Equal(string(s.rest), "GET /next")
		}
	}
}

// Guards against requests in which two parsers find different bodies.
func TestAmbiguousRequestsAreRejected(t *testing.T) {
	const head = "POST / HTTP/1.1\r\n"
	for _, text := range []string{
		head + "Content-Length: 4\r\nContent-Length: 4\r\n\r\n",
		head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
		head + "Content-Length: 1\r\n 2\r\n\r\n",
		head + "Content-Length: +4\r\n\r\n",
		head + "Content-Length: 4, 4\r\n\r\n",
		head + "Content-Length: 99999999999999999999\r\n\r\n",
		head + "Content-Length:" + strings.Repeat(" ", 200) + "4\r\n\r\n",
		head + "Transfer-Encoding: gzip, chunked\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n2\r\nbody\r\n0\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n-2\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n2\nbo\r\n",
	} {
		is.New(t).True(Malformed.Has(scan([]byte(text), 7).err))
	}
}

func TestFieldsAndChunkOverheadAreBounded(t *testing.T) {
	is := is.New(t)
	is.True(TooManyFields.Has(scan([]byte("GET / HTTP/1.1\r\n"+strings.Repeat("a:b\r\n", testMaxLines)), 100).err))
	const head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	is.True(TooLong.Has(scan([]byte(head+strings.Repeat("1;"+strings.Repeat("x", 200)+"\r\nx\r\n", 100)), 1000).err))
	is.True(TooLong.Has(scan([]byte(head+strings.Repeat("0", 300)), 100).err))
	is.NoErr(scan([]byte(head+strings.Repeat("1\r\nx\r\n", 100_000)), 4096).err)
}

// FuzzFraming compares what is found with the standard library's parser, where both accept a request.
func FuzzFraming(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbodyGET /"), uint8(3))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n0\r\n\r\nGET /"), uint8(5))
	f.Fuzz(func(t *testing.T, b []byte, piece uint8) {
		s := scan(b, int(piece)+1)
		one := scan(b, len(b)+1)
		if fmt.Sprint(s.err) != fmt.Sprint(one.err) || !bytes.Equal(s.head, one.head) && s.err == nil || !bytes.Equal(s.body, one.body) || s.whole != one.whole || s.err == nil && !bytes.Equal(s.rest, one.rest) {
			t.Fatalf("in pieces of %d: %+v; at once: %+v", int(piece)+1, s, one)
		}
		if s.err != nil || !s.whole {
			return
		}
		r := bufio.NewReader(bytes.NewReader(bytes.TrimLeft(b, "\r\n")))
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err == nil && q.Method != http.MethodConnect && !bytes.Equal(body, s.body) {
			t.Fatalf("body %q, by net/http %q", s.body, body)
		}
	})
}
