package platform

import (
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// cutOpener opens no connection until a time, and drops what was begun before.
type cutOpener struct {
	healed time.Time
	tries  int
}

func (o *cutOpener) open(_, _ string, timeout time.Duration) (net.Conn, error) {
	o.tries++
	if time.Now().Before(o.healed) {
		time.Sleep(timeout)
		return nil, os.ErrDeadlineExceeded
	}
	ours, theirs := net.Pipe()
	go func() { _ = theirs.Close() }()
	return ours, nil
}

// Guards against requests to a replica that has left (review, case 7): an opening packet that was lost at the
// end of a cut from the store kept its call until its timeout, so that the return of the store was seen
// more than a second late, and the grace after it ended late.
func TestLostOpeningPacketIsNotAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		o := &cutOpener{healed: began.Add(time.Millisecond)}
		transport := NewTransport("store:1", DefaultLimits)
		transport.open = o.open
		conn, err := transport.dial("store:1", 900*time.Millisecond)
		is.NoErr(err)
		is.Equal(time.Since(began), openTimeout)
		is.NoErr(conn.Close())

		o = &cutOpener{healed: began.Add(time.Hour)}
		transport.open = o.open
		began = time.Now()
		_, err = transport.dial("store:1", 900*time.Millisecond)
		is.True(IsNotSent(err))
		is.Equal(time.Since(began), 900*time.Millisecond) // the call's own time
		is.Equal(o.tries, 3)
	})
}
