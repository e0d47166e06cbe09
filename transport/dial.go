package transport

import (
	"bufio"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// firstDialPatience is how long the first try to connect may take; each next one
	// may take twice as long.
	firstDialPatience = 250 * time.Millisecond
	// relayPatience bounds a try by way of a relay, and relaysTried how many are asked
	// after a try that got no answer.
	relayPatience = 600 * time.Millisecond
	relaysTried   = 2
)

// dialer connects to an address directly or, when that gets no answer, by way of a
// relay: a process that is cut off from control may still be reached by others.
type dialer struct {
	// once makes one try.
	once func(ctx context.Context, address string, patience time.Duration) (net.Conn, error)
	// relays lists the processes that may pass the connection on; nil: none do.
	relays func() []string
}

func newDialer(relays func() []string) *dialer { return &dialer{once: dialOnce, relays: relays} }

func dialOnce(ctx context.Context, address string, patience time.Duration) (net.Conn, error) {
	direct := net.Dialer{Timeout: patience}
	return direct.DialContext(ctx, "tcp", address)
}

// connect tries for helloPatience. To a machine that is just coming back the first
// packet is often lost, and the system sends it again only after a second; a new try
// goes out sooner.
func (d *dialer) connect(ctx context.Context, address string) (net.Conn, error) {
	end := time.Now().Add(helloPatience)
	for patience := firstDialPatience; ; patience *= 2 {
		raw, err := d.once(ctx, address, min(patience, time.Until(end)))
		if !timedOut(err) || ctx.Err() != nil {
			return raw, err
		}
		if raw := d.viaRelay(ctx, address); raw != nil {
			return raw, nil
		}
		if patience >= helloPatience {
			return nil, err
		}
	}
}

func timedOut(err error) bool {
	var waited net.Error
	return errors.As(err, &waited) && waited.Timeout()
}

// viaRelay returns a connection that some relay passes on, or nil.
func (d *dialer) viaRelay(ctx context.Context, address string) net.Conn {
	if d.relays == nil {
		return nil
	}
	relays := d.relays()
	rand.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	for _, relay := range relays[:min(relaysTried, len(relays))] {
		if ctx.Err() != nil {
			return nil
		}
		if raw, err := d.tunnel(ctx, relay, address); err == nil {
			return raw
		}
	}
	return nil
}

// tunnel asks a relay to pass a connection on (RFC 9110, 9.3.6).
func (d *dialer) tunnel(ctx context.Context, relay, address string) (net.Conn, error) {
	raw, err := d.once(ctx, relay, firstDialPatience)
	if err != nil {
		return nil, eris.Wrapf(err, "dial relay %s", relay)
	}
	if err := askForTunnel(raw, address); err != nil {
		raw.Close()
		return nil, eris.Wrapf(err, "ask relay %s for %s", relay, address)
	}
	return raw, nil
}

func askForTunnel(raw net.Conn, address string) error {
	if err := raw.SetDeadline(time.Now().Add(relayPatience)); err != nil {
		return err
	}
	request := &http.Request{Method: http.MethodConnect, URL: &url.URL{Opaque: address}, Host: address}
	if err := request.Write(raw); err != nil {
		return err
	}
	// Nothing follows the head until this side has spoken: the buffer holds no more.
	response, err := http.ReadResponse(bufio.NewReader(raw), request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("it answered %d", response.StatusCode)
	}
	return raw.SetDeadline(time.Time{})
}
