package hangup

import "sync/atomic"

// Serving counts the requests whose heads have been read and whose answers have not been written to
// their end. It needs framing.
type Serving struct{ requests atomic.Int64 }

// Requests returns how many there are.
func (s *Serving) Requests() int { return int(s.requests.Load()) }

// beginServing counts the connection's request.
func (c *Conn) beginServing() {
	if c.serving != nil && c.counted.CompareAndSwap(false, true) {
		c.serving.requests.Add(1)
	}
}

// endServing ends that: the HTTP server reads the next request once it has written the answer, or closes
// the connection.
func (c *Conn) endServing() {
	if c.counted.CompareAndSwap(true, false) {
		c.serving.requests.Add(-1)
	}
}
