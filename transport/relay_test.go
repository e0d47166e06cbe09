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

	"limehold/bench/rawserver"
	"limehold/wire"
)

// unreachableAddress is the address of a member that this process cannot reach.
const unreachableAddress = "192.0.2.1:1"

// newPartitionedDialer gets no answer from unreachableAddress.
func newPartitionedDialer(relays ...string) *dialer {
	d := newDialer(func() []string { return relays })
	d.dial = func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
		if address == unreachableAddress {
			return nil, os.ErrDeadlineExceeded
		}
		return dialOnce(ctx, address, timeout)
	}
	return d
}

// startRelay starts a relay that forwards connections for unreachableAddress to a reachable address.
func startRelay(t *testing.T, target string) string {
	t.Helper()
	relay := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Method != http.MethodConnect || request.Host != unreachableAddress {
			writer.WriteHeader(http.StatusForbidden)
			return
		}
		onward, err := DialTunnel(target)
		if err != nil {
			writer.WriteHeader(http.StatusBadGateway)
			return
		}
		client, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		if _, err := io.WriteString(client, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
			t.Error(err)
		}
		Tunnel(client, onward)
	}))
	t.Cleanup(relay.Close)
	return relay.Listener.Addr().String()
}

// A process that cannot reach a member connects through a relay that can, and skips
// relays that cannot.
func TestMemberThatDoesNotAnswerIsReachedByARelay(t *testing.T) {
	is := is.New(t)
	server := serve(t, Options{Local: hello(wire.RoleControl, "control-1")})
	failing := startRelay(t, "127.0.0.1:1")
	working := startRelay(t, server.Address())
	raw, err := newPartitionedDialer(failing, working).connect(context.Background(), unreachableAddress)
	is.NoErr(err)
	conn := newConn(raw, &Options{Local: hello(wire.RoleAgent, "a")}, echo{})
	defer conn.Close()
	is.NoErr(conn.exchangeHellos(true))
	go conn.run()
	var reply string
	is.NoErr(conn.Call(context.Background(), kindEcho, "there", &reply))
	is.Equal(conn.Peer.Name, "control-1")
}

// If nothing arrives while a reply is due, the connection is replaced by a new one and
// then closed.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	server := serve(t, Options{Local: hello(wire.RoleControl, "control-1")})
	link := NewLink(server.Address(), echo{}, Options{Local: hello(wire.RoleAgent, "a")})
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	go link.Run(ctx)
	old := waitConn(t, link)
	ended := make(chan error, 1)
	go func() { ended <- link.CallWithProbe(ctx, time.Millisecond, kindHang, "x", nil) }()
	<-old.Done()
	is.True(waitConn(t, link) != old)
	is.True(<-ended != nil)
}

// A connection is kept if data arrives on it while another one is dialed, or if no other
// one can be established.
func TestConnectionThatSpeaksAgainIsKept(t *testing.T) {
	for name, c := range map[string]struct{ receives, reachable bool }{
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
			if c.receives {
				var reply string
				is.NoErr(old.Call(context.Background(), kindEcho, "x", &reply))
			}
			link := NewLink(server.Address(), echo{}, options)
			if !c.reachable {
				link.address = "127.0.0.1:1"
			}
			kept := link.replace(context.Background(), suspicion{conn: old, received: received}) == old
			is.Equal(kept, c.receives || !c.reachable)
			select {
			case <-old.Done():
				is.True(!kept)
			default:
				is.True(kept)
			}
		})
	}
}

// Guards against a connection through something that is no relay and answers in malformed HTTP.
func TestMalformedAnswersOpenNoTunnel(t *testing.T) {
	request := func(answer string) error {
		conn, err := net.Dial("tcp", rawserver.Start(t, answer))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		return requestTunnel(conn, unreachableAddress)
	}
	if err := request(rawserver.Response("")); err != nil {
		t.Fatal(err)
	}
	for name, answer := range rawserver.Malformed("") {
		t.Run(name, func(t *testing.T) {
			if request(answer) == nil {
				t.Error("the tunnel counts as open")
			}
		})
	}
}
