package relay

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestScanEventKnowsAllLineEnds(t *testing.T) {
	for text, want := range map[string]struct {
		length int
		id     string
	}{
		"":                              {},
		"\n\n\n":                        {},
		"id: 7\ndata: a\n":              {},
		"id: 7\ndata: a\n\nid: 8":       {15, "7"},
		"id: 7\r\ndata: a\r\n\r\nid":    {18, "7"},
		"id:7\rdata: a\r\rid":           {14, "7"},
		"\n\nid: 7\n\n":                 {9, "7"},
		": a comment\n\n":               {13, ""},
		"id: 7\nid: 8\ndata: id: 9\n\n": {25, "8"},
	} {
		length, id := scanEvent([]byte(text))
		if length != want.length || string(id) != want.id {
			t.Errorf("%q: %d, %q", text, length, id)
		}
	}
}

// However a stream is cut, its complete events are found, and an end inside an event is told
// from an end between two.
func TestAnyCutOfAStreamIsInsideAnEventOrBetweenTwo(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		newline := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(rt, "newline")
		event := strings.Join([]string{"id: 1", "data: text", "", ""}, newline)
		text := strings.Repeat(event, 3)
		cut := rapid.IntRange(0, len(text)).Draw(rt, "cut")
		rest := []byte(text[:cut])
		events := 0
		for {
			length, _ := scanEvent(rest)
			if length == 0 {
				break
			}
			rest = rest[length:]
			events++
		}
		begun := cut - events*len(event)
		is.Equal(isInsideEvent(rest), begun > 0 && strings.Trim(event[:begun], lineEnds) != "")
	})
}
