package relaynode

import (
	"strconv"

	"gentiancroft/internal/core/promptpart"
)

// endDetail describes the end of a request's attempt for the log. It names the parts of the
// prompt where the connection was closed, as by a replica that crashed.
func (r *request) endDetail(e *AttemptEnded) string {
	text := "attempt " + strconv.Itoa(e.Attempt)
	if e.Answer.Status != 0 {
		text += e.Answer.text()
	}
	if e.ConnectionClosed {
		text += ", connection closed"
		if len(r.arrival.Parts) > 0 {
			text += " under parts " + promptpart.Names(r.arrival.Parts)
		}
	}
	return text
}

// text describes an answer for the log.
func (a *AnswerEvidence) text() string {
	text := ", status " + strconv.Itoa(a.Status)
	switch {
	case a.Confirmed:
		text += " on a confirmed connection"
	case a.Kept:
		text += " on a kept connection"
	default:
		text += " on a new connection"
	}
	if a.Stray > 0 {
		text += " after " + strconv.Itoa(a.Stray) + " stray answers"
	}
	if a.EndUnmarked {
		text += ", ended with its connection"
	}
	if a.InsideEvent {
		text += ", inside an event"
	}
	return text
}

// Reasons of the end of an attempt that ended well.
const (
	reasonOK          = "ok"
	reasonUnmarkedEnd = "unmarked_end"
)

// reason returns the reason that the end of an attempt is logged with.
func (e *AttemptEnded) reason() string {
	if e.Kind == EndOK && e.Answer.EndUnmarked {
		return reasonUnmarkedEnd
	}
	return endReasons[e.Kind]
}

// endReasons are the reasons that the ends of attempts are logged with, by their kinds.
var endReasons = map[EndKind]string{
	EndOK:             reasonOK,
	EndNotReached:     "not_reached",
	EndNotRun:         "not_run",
	EndAdapterMissing: "missing",
	EndError:          "error",
	EndBroken:         "broken",
	EndCancelled:      "cancelled",
}
