package upstream

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

func TestTrackerClosesTheConnectionOfACallerThatIsGone(t *testing.T) {
	cases := map[string]struct {
		// steps run before the caller goes away.
		steps func(*Tracker, *Conn)
		// closed is whether the connection is closed afterwards.
		closed bool
	}{
		"on a connection":    {func(t *Tracker, conn *Conn) { t.Track(conn) }, true},
		"on no connection":   {func(*Tracker, *Conn) {}, false},
		"off the connection": {func(t *Tracker, conn *Conn) { t.Track(conn); t.Untrack() }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			raw, other := net.Pipe()
			defer other.Close()
			tracker, conn := NewTracker(), &Conn{Raw: raw}
			c.steps(tracker, conn)
			tracker.Cancel()
			tracker.Cancel() // a second time changes nothing
			<-tracker.Cancelled()
			is.Equal(tracker.Track(conn), false)
			go func() { _, _ = other.Read(make([]byte, 1)) }()
			_, err := raw.Write([]byte("x"))
			is.Equal(err != nil, c.closed)
		})
	}
}
