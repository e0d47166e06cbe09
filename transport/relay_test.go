package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/wire"
)

// darkAddress stands for a member that this process is cut off from.
const darkAddress = "192.0.2.1:1"

// darkDialer gets no answer from the dark address.
func darkDialer(relays ...string) *dialer {
	d := newDialer(func() []string { return relays })
	d.once = func(ctx context.Context, address string, patience time.Duration) (net.Conn, error) {
		if address == darkAddress {
			return nil, os.ErrDeadlineExceeded
		}
		return dialOnce(ctx, address, patience)
	}
	return d
}

// startRelay passes connections for the dark address on to where it is reached.
func startRelay(t *testing.T, target string) string {
	t.Helper()
	relay := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Method != http.MethodConnect || request.Host != darkAddress {
			writer.WriteHeader(http.StatusForbidden)
			return
		}
		onward, err := DialTunnel(target)
		if err != nil {
			writer.WriteHeader(http.StatusBadGateway)
			return
		}
		asker, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		if _, err := io.WriteString(asker, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
			t.Error(err)
		}
		Tunnel(asker, onward)
	}))
	t.Cleanup(relay.Close)
	return relay.Listener.Addr().String()
}

// A process that is cut off from a member reaches it by way of one that is not; a relay
// that cannot help is passed over.
func TestMemberThatDoesNotAnswerIsReachedByARelay(t *testing.T) {
	is := is.New(t)
	server := serve(t, Options{Local: hello(wire.RoleControl, "control-1")})
	useless := startRelay(t, "127.0.0.1:1")
	helping := startRelay(t, server.Address())
	raw, err := darkDialer(useless, helping).connect(context.Background(), darkAddress)
	is.NoErr(err)
	conn := newConn(raw, &Options{Local: hello(wire.RoleAgent, "a")}, echo{})
	defer conn.Close()
	is.NoErr(conn.greet(true))
	go conn.run()
	var reply string
	is.NoErr(conn.Call(context.Background(), kindEcho, "there", &reply))
	is.Equal(conn.Peer.Name, "control-1")
}

// A connection on which nothing arrives while an answer is due is replaced by one that is
// dialed beside it, and closed then.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	server := serve(t, Options{Local: hello(wire.RoleControl, "control-1")})
	link := NewLink(server.Address(), echo{}, Options{Local: hello(wire.RoleAgent, "a")})
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	go link.Run(ctx)
	old := waitConn(t, link)
	ended := make(chan error, 1)
	go func() { ended <- link.CallOrDoubt(ctx, time.Millisecond, kindHang, "x", nil) }()
	<-old.Done()
	is.True(waitConn(t, link) != old)
	is.True(<-ended != nil)
}

// A connection on which something has come while another one was dialed is kept, as is one
// beside which none can be had.
func TestConnectionThatSpeaksAgainIsKept(t *testing.T) {
	for name, c := range map[string]struct{ speaks, reachable bool }{
		"speaks again":              {true, true},
		"nobody else is to be had":  {false, false},
		"silent, another one is up": {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := serve(t, Options{Local: hello(wire.RoleControl, "control-1")})
			options := Options{Local: hello(wire.RoleAgent, "a")}
			old, err := dial(t, server.Address(), options)
			is.NoErr(err)
			_, received := old.Bytes()
			if c.speaks {
				var reply string
				is.NoErr(old.Call(context.Background(), kindEcho, "x", &reply))
			}
			link := NewLink(server.Address(), echo{}, options)
			if !c.reachable {
				link.address = "127.0.0.1:1"
			}
			kept := link.replaced(context.Background(), doubt{conn: old, received: received}) == old
			is.Equal(kept, c.speaks || !c.reachable)
			select {
			case <-old.Done():
				is.True(!kept)
			default:
				is.True(kept)
			}
		})
	}
}
