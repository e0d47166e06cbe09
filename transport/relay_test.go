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
	conn := newConn(raw, hello(wire.RoleAgent, "a"), echo{})
	defer conn.Close()
	is.NoErr(conn.greet(true))
	go conn.run()
	var reply string
	is.NoErr(conn.Call(context.Background(), kindEcho, "there", &reply))
	is.Equal(conn.Peer.Name, "control-1")
}

// A connection on which nothing arrives while an answer is due is dialed again.
func TestSilentConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	server := serve(t, Options{Local: hello(wire.RoleControl, "control-1")})
	link := NewLink(server.Address(), echo{}, Options{Local: hello(wire.RoleAgent, "a")})
	conn, err := dial(t, server.Address(), Options{Local: hello(wire.RoleAgent, "a")})
	is.NoErr(err)
	link.set(conn)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	is.True(link.CallOrClose(ctx, kindHang, "x", nil) != nil)
	select {
	case <-conn.Done():
	default:
		t.Fatal("the silent connection is still open")
	}
}
