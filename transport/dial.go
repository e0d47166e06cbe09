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
)

const (
	// firstDialPatience is how long the first try to connect stands alone; each next round
	// of tries has twice as long before another one begins.
	firstDialPatience = 250 * time.Millisecond
	// relayPatience bounds a try by way of a relay, and relaysTried how many are asked
	// in one round.
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

// dialed is how one try to connect has ended.
type dialed struct {
	raw    net.Conn
	err    error
	direct bool
}

// dialRace is tries that are under way side by side.
type dialRace struct {
	ended   chan dialed
	pending int
	last    error
}

// begin makes a try; a connection that comes after the race is closed.
func (r *dialRace) begin(ctx context.Context, direct bool, try func() (net.Conn, error)) {
	r.pending++
	go func() {
		raw, err := try()
		select {
		case r.ended <- dialed{raw: raw, err: err, direct: direct}:
		case <-ctx.Done():
			if raw != nil {
				raw.Close()
			}
		}
	}()
}

// await returns the first connection, or the answer of the address that there is none;
// neither when the round is over.
func (r *dialRace) await(ctx context.Context, round time.Duration) (net.Conn, error) {
	timer := time.NewTimer(round)
	defer timer.Stop()
	for r.pending > 0 {
		select {
		case end := <-r.ended:
			r.pending--
			if end.err == nil {
				return end.raw, nil
			}
			if !end.direct {
				continue
			}
			r.last = end.err
			if !timedOut(end.err) {
				return nil, end.err
			}
		case <-timer.C:
			return nil, nil
		case <-ctx.Done():
			return nil, cmp.Or(r.last, ctx.Err())
		}
	}
	return nil, nil
}

// connect tries for helloPatience. To a machine that is just coming back the first
// packet is often lost, and the system sends it again only after a second; a new try
// goes out sooner. The earlier ones go on beside it: where packets wait for a full link,
// whoever gives a try up begins at the end of the queue again, and never arrives.
func (d *dialer) connect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, helloPatience)
	defer cancel()
	race := &dialRace{ended: make(chan dialed)}
	for round := firstDialPatience; ; round *= 2 {
		race.begin(ctx, true, func() (net.Conn, error) { return d.once(ctx, address, helloPatience) })
		if round > firstDialPatience && d.relays != nil {
			race.begin(ctx, false, func() (net.Conn, error) { return d.viaRelay(ctx, address) })
		}
		raw, err := race.await(ctx, round)
		if raw != nil || err != nil {
			return raw, err
		}
		if round >= helloPatience {
			return nil, race.last
		}
	}
}

func timedOut(err error) bool {
	var waited net.Error
	return errors.As(err, &waited) && waited.Timeout()
}

// viaRelay returns a connection that some relay passes on.
func (d *dialer) viaRelay(ctx context.Context, address string) (net.Conn, error) {
	relays := d.relays()
	rand.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	last := errNoRelay
	for _, relay := range relays[:min(relaysTried, len(relays))] {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		raw, err := d.tunnel(ctx, relay, address)
		if err == nil {
			return raw, nil
		}
		last = err
	}
	return nil, last
}

var errNoRelay = errors.New("no other process is known that could pass the connection on")

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
