package relay

import (
	"bytes"
	"strings"
	"time"

	"gentiancroft/internal/core/replicamodel"
)

// eventTimes are the times at which the events of one attempt's stream arrived.
type eventTimes struct {
	count       int
	first, last time.Time
	largestGap  time.Duration
}

// add records events that arrived together.
func (t *eventTimes) add(now time.Time, events int) {
	if t.count == 0 {
		t.first = now
	} else {
		t.largestGap = max(t.largestGap, now.Sub(t.last))
	}
	t.count += events
	t.last = now
}

// summary returns what the node learns from.
func (t *eventTimes) summary() replicamodel.Stream {
	return replicamodel.Stream{Events: t.count, Lasted: t.last.Sub(t.first), LargestGap: t.largestGap}
}

// lineEnds are the bytes that end a line of an event stream: LF, CRLF or CR.
const lineEnds = "\r\n"

var idField = []byte("id:")

// scanEvent finds the first complete event in b: its length, including the blank line that
// ends it, and the id that it sets, nil where it sets none. The length is 0 where b holds
// no complete event.
func scanEvent(b []byte) (length int, id []byte) {
	hasLine := false
	for rest := b; ; {
		end := bytes.IndexAny(rest, lineEnds)
		if end < 0 {
			return 0, nil
		}
		line := rest[:end]
		rest = rest[end+lineEndLength(rest[end:]):]
		if len(line) == 0 && hasLine {
			return len(b) - len(rest), id
		}
		hasLine = hasLine || len(line) > 0
		if value, ok := bytes.CutPrefix(line, idField); ok {
			id = bytes.TrimSpace(value)
		}
	}
}

// lineEndLength returns the length of the line end that b begins with.
func lineEndLength(b []byte) int {
	if bytes.HasPrefix(b, []byte("\r\n")) {
		return 2
	}
	return 1
}

// commentStart begins a line that is a comment.
const commentStart = ':'

// hasField reports whether there is a line in b, perhaps an incomplete one, that isn't a comment: without
// one it is no event, but keeps the connection alive.
func hasField(b []byte) bool {
	for line := range bytes.FieldsFuncSeq(b, isLineEnd) {
		if line[0] != commentStart {
			return true
		}
	}
	return false
}

func isLineEnd(r rune) bool { return strings.ContainsRune(lineEnds, r) }

// isInsideEvent reports whether the bytes after the last complete event begin another one.
func isInsideEvent(b []byte) bool { return len(bytes.Trim(b, lineEnds)) > 0 }
