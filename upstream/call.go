package upstream

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"limehold/clock"
)

// maxCallBody bounds the body of an answer to a call, in bytes.
const maxCallBody = 64 << 10

// CallAlone dials an address, makes one call over the connection and closes it. The answer belongs to the call then: surplus
// copies of other answers arrive on other connections. Calls whose answers do not name them and that are relied upon are made
// in this way. The call ends with ctx.
func CallAlone(ctx context.Context, address string, request *fasthttp.Request, response *fasthttp.Response) error {
	timeout := dialTimeout
	if deadline, isSet := ctx.Deadline(); isSet {
		timeout = time.Until(deadline)
	}
	conn, err := Dial(address, timeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	request.SetConnectionClose()
	_, err = conn.Call(ctx, request, response)
	return err
}

// Call makes one call over the connection, which ends with ctx. isReusable is set if the connection may carry another one. The
// answer to that may then be a surplus copy of this one's.
func (c *Conn) Call(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response) (isReusable bool, err error) {
	return c.call(ctx, request, response, maxCallBody)
}

// call is Call for a response whose body has maxBody bytes at most, or any size if that is 0.
func (c *Conn) call(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response, maxBody int) (isReusable bool, err error) {
	stop := context.AfterFunc(ctx, c.Close)
	err = c.exchange(ctx, request, response, maxBody)
	if !stop() {
		if err != nil {
			err = ctx.Err()
		}
		return false, err
	}
	if err != nil || response.ConnectionClose() || c.reader.Buffered() > 0 {
		return false, err
	}
	// An idle connection whose deadline has expired would appear to be closed.
	return c.ClearDeadline() == nil, nil
}

// exchange sends the request and reads the whole answer.
func (c *Conn) exchange(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response, maxBody int) error {
	if deadline, isSet := ctx.Deadline(); isSet {
		now := clock.Now()
		if err := c.SetDeadline(now, now+time.Until(deadline)); err != nil {
			return eris.Wrap(err, "set deadline")
		}
	}
	if err := request.Write(c.Writer); err != nil {
		return err
	}
	if err := c.Writer.Flush(); err != nil {
		return err
	}
	return c.ReadResponse(response, maxBody)
}
