// Package framing finds the ends of requests in what a caller sends: of the head, of a body with a
// length and of a chunked body. It keeps no bytes, and it bounds the number of header fields and the
// overhead of chunks while they arrive.
//
// The HTTP server parses the head itself. What it is given ends where this package says that the
// head ends, so that nothing of a body or of a later request is read before that is decided.
package framing

import (
	"bytes"
	"strconv"

	"github.com/zeebo/errs"
)

// Classes of errors. A connection with such an error can't be used further.
var (
	Malformed     = errs.Class("malformed request")
	TooManyFields = errs.Class("too many header fields")
	TooLong       = errs.Class("chunk overhead too large")
)

// Chunked is the length of a chunked body.
const Chunked = -1

// maxFramingLine is the longest line in bytes of a field that gives the body's length.
const maxFramingLine = 128

// Head finds the end of a head. Its zero value, with MaxLines set, is at the start of one.
type Head struct {
	MaxLines int // lines that a head may have

	lines    int
	started  bool   // a line that is not empty has been seen
	line     []byte // the start of the current line, at most maxFramingLine bytes
	length   int    // of the current line
	framing  int    // fields so far that give the body's length
	bodyLen  int64  // Chunked, or the body's length
	prevSize bool   // the line before gave the body's length
	expects  bool   // the caller waits for an interim answer before it sends the body
	done     bool
}

// Reset begins a new head.
func (h *Head) Reset() { *h = Head{MaxLines: h.MaxLines, line: h.line[:0]} }

// Started reports whether a part of the head has been seen.
func (h *Head) Started() bool { return h.started || h.length > 0 }

// Done reports whether the head has ended.
func (h *Head) Done() bool { return h.done }

// BodyLength returns the body's length, or Chunked. It is valid once the head has ended.
func (h *Head) BodyLength() int64 { return h.bodyLen }

// ExpectsContinue reports whether the caller waits for "100 Continue" before it sends the body.
func (h *Head) ExpectsContinue() bool { return h.expects }

// Scan reads on in a head. It returns how many of the bytes belong to it.
func (h *Head) Scan(b []byte) (n int, err error) {
	for n < len(b) && !h.done {
		end := bytes.IndexByte(b[n:], '\n')
		part := b[n:]
		if end >= 0 {
			part = b[n : n+end]
		}
		h.length += len(part)
		h.line = append(h.line, part[:min(len(part), maxFramingLine-len(h.line))]...)
		n += len(part)
		if end < 0 {
			return n, nil
		}
		n++
		if err := h.endLine(); err != nil {
			return n, err
		}
	}
	return n, nil
}

// endLine handles the end of a line.
func (h *Head) endLine() error {
	line := bytes.TrimSuffix(h.line, []byte("\r"))
	whole := h.length <= maxFramingLine
	h.line, h.length = h.line[:0], 0
	h.lines++
	switch {
	case h.lines > h.MaxLines:
		return TooManyFields.New("over %d lines", h.MaxLines)
	case len(line) == 0 && h.started:
		h.done = true
		return nil
	case len(line) == 0:
		return nil // empty lines before a request are ignored
	case !h.started:
		h.started = true // the request line
		return nil
	}
	return h.field(line, whole)
}

// field handles a header field, of which line may be only the start.
func (h *Head) field(line []byte, whole bool) error {
	if h.prevSize && (line[0] == ' ' || line[0] == '\t') {
		return Malformed.New("a field that gives the body's length goes on in a second line")
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	name, value = bytes.TrimSpace(name), bytes.TrimSpace(value)
	isLength, isEncoding := bytes.EqualFold(name, []byte("Content-Length")), bytes.EqualFold(name, []byte("Transfer-Encoding"))
	h.prevSize = isLength || isEncoding
	h.expects = h.expects || bytes.EqualFold(name, []byte("Expect")) && bytes.EqualFold(value, []byte("100-continue"))
	if !h.prevSize {
		return nil
	}
	h.framing++
	if !whole || h.framing > 1 {
		return Malformed.New("the body's length is given twice or in too long a field")
	}
	if isEncoding {
		return h.encoding(value)
	}
	n, err := strconv.ParseUint(string(value), 10, 63)
	if err != nil {
		return Malformed.New("the body's length is no number")
	}
	h.bodyLen = int64(n) // fits: it has at most 63 bits
	return nil
}

func (h *Head) encoding(value []byte) error {
	switch {
	case bytes.EqualFold(value, []byte("chunked")):
		h.bodyLen = Chunked
	case !bytes.EqualFold(value, []byte("identity")):
		return Malformed.New("the transfer encoding is not known")
	}
	return nil
}

// Bounds of what a chunked body has beside its data: freeOverhead bytes, and overheadPerByte for
// each byte of data. A chunk of one byte has five.
const (
	freeOverhead    = 16 << 10
	overheadPerByte = 8
	maxChunkLine    = 256     // bytes of the line before a chunk
	maxChunkSize    = 1 << 40 // bytes; far over any limit of a body
)

// chunkState is what comes next in a chunked body.
type chunkState uint8

const (
	sizeLine chunkState = iota
	chunkData
	dataEnd     // the line break after a chunk's data
	trailerLine // after the last chunk
	bodyEnd
)

// Chunks decodes a chunked body. Its zero value is at the start of one.
type Chunks struct {
	state    chunkState
	line     []byte
	left     int64 // bytes of the current chunk
	data     int64 // bytes so far
	overhead int64 // bytes so far
}

// Done reports whether the body has ended.
func (c *Chunks) Done() bool { return c.state == bodyEnd }

// Next reads on. The first skip bytes of b are framing, and the data bytes after them are the
// body's. Where both are 0, the body has ended.
func (c *Chunks) Next(b []byte) (skip, data int, err error) {
	for skip < len(b) && c.state != bodyEnd {
		if c.state == chunkData {
			data = int(min(int64(len(b)-skip), c.left))
			c.left -= int64(data)
			c.data += int64(data)
			if c.left == 0 {
				c.state = dataEnd
			}
			return skip, data, nil
		}
		n, err := c.scanLine(b[skip:])
		skip += n
		if err != nil {
			return skip, 0, err
		}
	}
	return skip, 0, nil
}

// scanLine reads on in a line of framing.
func (c *Chunks) scanLine(b []byte) (n int, err error) {
	end := bytes.IndexByte(b, '\n')
	n = end + 1
	if end < 0 {
		n = len(b)
	}
	c.overhead += int64(n)
	if c.overhead > freeOverhead+overheadPerByte*c.data || len(c.line)+n > maxChunkLine {
		return n, TooLong.New("%d bytes beside %d bytes of data", c.overhead, c.data)
	}
	c.line = append(c.line, b[:n]...)
	if end < 0 {
		return n, nil
	}
	line, ok := bytes.CutSuffix(c.line, []byte("\r\n"))
	c.line = c.line[:0]
	if !ok {
		return n, Malformed.New("a line of a chunked body does not end in CRLF")
	}
	return n, c.endLine(line)
}

// endLine handles a whole line of framing.
func (c *Chunks) endLine(line []byte) error {
	switch c.state {
	case sizeLine:
		return c.begin(line)
	case dataEnd:
		if len(line) > 0 {
			return Malformed.New("a chunk is longer than its size says")
		}
		c.state = sizeLine
	case trailerLine:
		if len(line) == 0 {
			c.state = bodyEnd
		}
	}
	return nil
}

// begin begins the chunk that a size line announces.
func (c *Chunks) begin(line []byte) error {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 63)
	if err != nil || size > maxChunkSize {
		return Malformed.New("the size of a chunk is no number")
	}
	c.left, c.state = int64(size), chunkData
	if size == 0 {
		c.state = trailerLine
	}
	return nil
}
