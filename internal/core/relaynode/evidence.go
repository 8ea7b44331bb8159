package relaynode

import "strconv"

// evidence describes what an attempt's end is based on.
func (e *AttemptEnded) evidence() string {
	text := "attempt " + strconv.Itoa(e.Attempt)
	if e.Answer.Status == 0 {
		return text
	}
	text += ", status " + strconv.Itoa(e.Answer.Status)
	switch {
	case e.Answer.Confirmed:
		text += " on a confirmed connection"
	case e.Answer.Kept:
		text += " on a kept connection"
	default:
		text += " on a new connection"
	}
	if e.Answer.Stray > 0 {
		text += " after " + strconv.Itoa(e.Answer.Stray) + " stray answers"
	}
	if e.Answer.EndUnmarked {
		text += ", ended with its connection"
	}
	if e.Answer.InsideEvent {
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
