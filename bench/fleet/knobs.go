package fleet

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"limehold/bench/standin"
	"limehold/upstream"
	"limehold/wire"
)

const backendTimeout = 2 * time.Second

// SetKnobs sets the faults that the node's back end simulates.
func (n *Node) SetKnobs(knobs standin.Knobs) error {
	body, err := json.Marshal(knobs)
	if err != nil {
		return eris.Wrap(err, "encode knobs")
	}
	_, err = n.callBackend(http.MethodPost, standin.PathKnobs, body)
	return err
}

// CheckInFlight returns an error unless the back end is running exactly want requests.
func (n *Node) CheckInFlight(want int) error {
	answer, err := n.callBackend(http.MethodGet, wire.BackendPathHealth, nil)
	if err != nil {
		return err
	}
	var health wire.BackendHealth
	if err := json.Unmarshal(answer, &health); err != nil {
		return eris.Wrapf(err, "decode health of %s", n.Name)
	}
	if health.InFlight != want {
		return eris.Errorf("back end %s runs %d requests, expected %d", n.Name, health.InFlight, want)
	}
	return nil
}

func dialBackend(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout)
}

func (n *Node) callBackend(method, path string, body []byte) ([]byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + n.Backend.Field("address") + path)
	request.Header.SetMethod(method)
	request.SetBody(body)
	// A kept-alive connection may belong to an earlier process at the same address.
	request.SetConnectionClose()
	client := upstream.NewClient(backendTimeout, 0).WithDial(dialBackend)
	if err := client.Do(n.Backend.Field("address"), request, response, backendTimeout); err != nil {
		return nil, eris.Wrapf(err, "%s %s at back end %s", method, path, n.Name)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, eris.Errorf("%s %s at back end %s: status %d", method, path, n.Name, response.StatusCode())
	}
	return append([]byte(nil), response.Body()...), nil
}

// Received returns how many requests the back end's current process has received so far.
func (n *Node) Received() (int64, error) {
	answer, err := n.callBackend(http.MethodGet, standin.PathCounts, nil)
	if err != nil {
		return 0, err
	}
	var counts standin.Counts
	if err := json.Unmarshal(answer, &counts); err != nil {
		return 0, eris.Wrapf(err, "decode counts of %s", n.Name)
	}
	return counts.Received, nil
}
