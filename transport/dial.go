package transport

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"limehold/upstream"
)

const (
	// firstDialWait is how long the first attempt to connect runs alone, and the timeout for
	// dialing a relay. The wait before each further round of attempts doubles.
	firstDialWait = 250 * time.Millisecond
	// relayTimeout bounds the request to a relay, and maxRelays the number of relays
	// tried per round.
	relayTimeout = 600 * time.Millisecond
	maxRelays    = 2
)

// dialer connects to an address directly or, if that gets no answer, through a relay:
// an address that is unreachable from here may be reachable from other processes.
type dialer struct {
	// dial makes one attempt to connect.
	dial func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)
	// relays lists the processes that may relay the connection; nil disables relays.
	relays func() []string
}

func newDialer(relays func() []string) *dialer { return &dialer{dial: dialOnce, relays: relays} }

func dialOnce(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	direct := net.Dialer{Timeout: timeout}
	return direct.DialContext(ctx, "tcp", address)
}

// dialResult is the result of one attempt to connect.
type dialResult struct {
	raw    net.Conn
	err    error
	direct bool
}

// dialAttempts is a set of concurrent attempts to connect.
type dialAttempts struct {
	results chan dialResult
	pending int
	lastErr error
}

// start starts an attempt. If ctx ends before the result has been received, a connection that the
// attempt establishes is closed.
func (r *dialAttempts) start(ctx context.Context, direct bool, try func() (net.Conn, error)) {
	r.pending++
	go func() {
		raw, err := try()
		select {
		case r.results <- dialResult{raw: raw, err: err, direct: direct}:
		case <-ctx.Done():
			if raw != nil {
				raw.Close()
			}
		}
	}()
}

// await returns the first connection, or the error of a direct attempt that failed other than
// by a timeout, or an error if ctx ends. It returns neither if the round ends first or no
// attempt is pending.
func (r *dialAttempts) await(ctx context.Context, round time.Duration) (net.Conn, error) {
	timer := time.NewTimer(round)
	defer timer.Stop()
	for r.pending > 0 {
		select {
		case result := <-r.results:
			r.pending--
			if result.err == nil {
				return result.raw, nil
			}
			if !result.direct {
				continue
			}
			r.lastErr = result.err
			if !isTimeout(result.err) {
				return nil, result.err
			}
		case <-timer.C:
			return nil, nil
		case <-ctx.Done():
			return nil, cmp.Or(r.lastErr, ctx.Err())
		}
	}
	return nil, nil
}

// connect makes attempts for helloTimeout. The first packet to a machine that has just
// restarted is often lost, and the operating system resends it only after a second; a new
// attempt is faster. Earlier attempts continue in parallel: when packets queue on a
// saturated link, an attempt that replaced another would start at the end of the queue
// again and might never succeed.
func (d *dialer) connect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	attempts := &dialAttempts{results: make(chan dialResult)}
	for round := firstDialWait; ; round *= 2 {
		attempts.start(ctx, true, func() (net.Conn, error) { return d.dial(ctx, address, helloTimeout) })
		if round > firstDialWait && d.relays != nil {
			attempts.start(ctx, false, func() (net.Conn, error) { return d.dialViaRelay(ctx, address) })
		}
		raw, err := attempts.await(ctx, round)
		if raw != nil || err != nil {
			return raw, err
		}
		if round >= helloTimeout {
			return nil, attempts.lastErr
		}
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// dialViaRelay returns a connection through the first relay that can establish one.
func (d *dialer) dialViaRelay(ctx context.Context, address string) (net.Conn, error) {
	relays := d.relays()
	rand.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	lastErr := errNoRelay
	for _, relay := range relays[:min(maxRelays, len(relays))] {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		raw, err := d.tunnel(ctx, relay, address)
		if err == nil {
			return raw, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

var errNoRelay = errors.New("no relay is available")

// tunnel requests a connection through a relay with HTTP CONNECT (RFC 9110, 9.3.6).
func (d *dialer) tunnel(ctx context.Context, relay, address string) (net.Conn, error) {
	raw, err := d.dial(ctx, relay, firstDialWait)
	if err != nil {
		return nil, eris.Wrapf(err, "dial relay %s", relay)
	}
	if err := requestTunnel(raw, address); err != nil {
		raw.Close()
		return nil, eris.Wrapf(err, "request tunnel through relay %s to %s", relay, address)
	}
	return raw, nil
}

func requestTunnel(raw net.Conn, address string) error {
	if err := raw.SetDeadline(time.Now().Add(relayTimeout)); err != nil {
		return err
	}
	request := &http.Request{Method: http.MethodConnect, URL: &url.URL{Opaque: address}, Host: address}
	if err := request.Write(raw); err != nil {
		return err
	}
	// The target sends nothing before this side does, so the buffer holds no data beyond the response header.
	response, err := http.ReadResponse(bufio.NewReader(raw), request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("unexpected status %d", response.StatusCode)
	}
	if err := upstream.CheckHeader(response.Header); err != nil {
		return err
	}
	return raw.SetDeadline(time.Time{})
}
