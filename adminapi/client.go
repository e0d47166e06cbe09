package adminapi

import (
	"encoding/json"
	"maps"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"limehold/upstream"
)

// Client sends requests to the control members in turn until one answers.
type Client struct {
	addresses []string
	token     string
	timeout   time.Duration
	calls     *upstream.Client
}

// NewClient returns a client for the admin addresses (host:port). timeout
// bounds one request to one member.
func NewClient(addresses []string, token string, timeout time.Duration) *Client {
	return &Client{
		addresses: addresses, token: token, timeout: timeout,
		calls: upstream.NewClient(idleTimeout, maxAnswerBytes).WithDial(dial),
	}
}

const (
	dialTimeout = 3 * time.Second
	idleTimeout = 10 * time.Second
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 256 << 20
)

func dial(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, min(timeout, dialTimeout))
}

// Request is one request to the admin interface.
type Request struct {
	Method string
	Path   string
	Query  url.Values
	// Body is sent unchanged if it is a []byte, otherwise as JSON.
	Body any
	// CommandID identifies a change; see HeaderCommandID.
	CommandID string
}

// Do sends the request to one member after the other until one answers with a status
// below 500, and decodes the answer. Sending a change to several members is safe
// because they apply each command ID once.
func (c *Client) Do(request Request, answer any) error {
	if len(c.addresses) == 0 {
		return eris.New("no control member is named: use --admin IP:port or set LIMEHOLD_ADMIN")
	}
	var lastErr error
	for _, address := range c.addresses {
		err := c.sendTo(address, request, answer)
		var apiError *Error
		if err == nil || eris.As(err, &apiError) && apiError.Status < fasthttp.StatusInternalServerError {
			return err
		}
		lastErr = err
	}
	return lastErr
}

// sendTo sends the request to one member. An order that has to name its basis is sent again with the revision that the
// member has answered.
func (c *Client) sendTo(address string, call Request, answer any) error {
	err := c.sendOnce(address, call, answer)
	var apiError *Error
	if !eris.As(err, &apiError) || apiError.Code != CodeBasisMissing {
		return err
	}
	based := url.Values{}
	maps.Copy(based, call.Query)
	based.Set(QueryRevision, strconv.FormatUint(apiError.Revision, 10))
	call.Query = based
	return c.sendOnce(address, call, answer)
}

func (c *Client) sendOnce(address string, call Request, answer any) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	if err := c.prepare(request, address, call); err != nil {
		return err
	}
	if err := c.calls.Do(address, request, response, c.timeout); err != nil {
		return eris.Wrapf(err, "%s %s at %s", call.Method, call.Path, address)
	}
	if response.StatusCode() >= fasthttp.StatusBadRequest {
		return decodeError(address, call, response)
	}
	if answer == nil {
		return nil
	}
	if raw, ok := answer.(*[]byte); ok {
		*raw = append([]byte(nil), response.Body()...)
		return nil
	}
	return eris.Wrapf(json.Unmarshal(response.Body(), answer), "decode answer of %s to %s", address, call.Path)
}

func (c *Client) prepare(request *fasthttp.Request, address string, call Request) error {
	request.Header.SetMethod(call.Method)
	request.SetRequestURI("http://" + address + call.Path)
	if len(call.Query) > 0 {
		request.URI().SetQueryString(call.Query.Encode())
	}
	if c.token != "" {
		request.Header.Set(HeaderAuthorization, "Bearer "+c.token)
	}
	if call.CommandID != "" {
		request.Header.Set(HeaderCommandID, call.CommandID)
	}
	switch body := call.Body.(type) {
	case nil:
	case []byte:
		request.SetBodyRaw(body)
	default:
		encoded, err := json.Marshal(body)
		if err != nil {
			return eris.Wrap(err, "encode request")
		}
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(encoded)
	}
	return nil
}

func decodeError(address string, call Request, response *fasthttp.Response) error {
	failure := &Error{}
	if json.Unmarshal(response.Body(), failure) != nil || failure.Code == "" {
		failure = &Error{Code: "internal", Message: "status " + strconv.Itoa(response.StatusCode()), Step: call.Method + " " + call.Path, Peer: address}
	}
	failure.Status = response.StatusCode()
	return failure
}
