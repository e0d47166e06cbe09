package ingress

import (
	"context"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/clock"
	"limehold/logging"
	"limehold/upstream"
)

const (
	// probeTimeout bounds one probe of the instance's health path.
	probeTimeout = 300 * time.Millisecond
	// probeInterval is the interval between two probes. Each probe takes one of the instance's slots
	// for a moment, and until one is answered the instance counts as cold.
	probeInterval = 100 * time.Millisecond
)

// coldProbe queries whether the instance is cold if its last report is older than an event that
// may have made it cold. Announcements report the same, but are sent only about once a second
// and may be late.
type coldProbe struct {
	instance *Instance
	wake     chan struct{}
	failures logThrottle
}

func newColdProbe(instance *Instance) *coldProbe {
	return &coldProbe{instance: instance, wake: make(chan struct{}, 1)}
}

// queryHealth sends a request to an instance's health path. The answer names no call, so the call is made alone.
func queryHealth(address, path string, request *fasthttp.Request, response *fasthttp.Response) error {
	ctx, cancel := clock.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	request.SetRequestURI("http://" + address + path)
	request.Header.SetHost(address)
	return upstream.CallAlone(ctx, address, request, response)
}

// markUncertain records that the instance may have become cold, and starts a probe.
func (p *coldProbe) markUncertain(cause string) {
	p.instance.gate.updateCold(func(c *coldStart) { c.markUncertain(clock.Now()) })
	p.instance.logger.Info("instance_may_be_cold", zap.String("cause", cause))
	p.trigger()
}

// trigger wakes run, which probes the instance while its state is uncertain. It is called again with each
// announcement, as an ingress that has just started may learn the cold limit of the service only later.
func (p *coldProbe) trigger() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run probes the instance while its state is uncertain, until ctx ends.
func (p *coldProbe) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		for p.instance.gate.isColdUncertain() && ctx.Err() == nil {
			p.probe()
			select {
			case <-ctx.Done():
			case <-time.After(probeInterval):
			}
		}
	}
}

// probe queries the health path once and updates the state by its answer.
func (p *coldProbe) probe() {
	id, path := p.instance.healthPath()
	if path == "" {
		return
	}
	sent := clock.Now()
	remaining, err := p.query(id, path)
	if err != nil {
		if suppressed, due := p.failures.allow(clock.Now()); due {
			p.instance.logger.Info("cold_probe_failed", append(logging.ErrorFields("probe cold start", id, err), zap.Int("suppressed", suppressed))...)
		}
		return
	}
	p.instance.gate.updateCold(func(c *coldStart) { c.updateFromProbe(remaining, sent, clock.Now()) })
	p.instance.logger.Info("instance_cold_for", zap.String("instance", id), zap.Duration("remaining", remaining), zap.Duration("took", clock.Now()-sent))
}

// query returns how much longer the instance stays cold. A response with status 200 but without that
// time is from a warm instance.
func (p *coldProbe) query(id, path string) (time.Duration, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	names := p.instance.options.Settings.Headers
	if err := queryHealth(p.instance.options.Settings.Ingress.Instance, path, request, response); err != nil {
		return 0, eris.Wrapf(err, "GET %s", path)
	}
	if answered := string(response.Header.Peek(names.Identity)); answered != "" && answered != id {
		return 0, eris.Errorf("GET %s: response is from instance %s, want %s", path, answered, id)
	}
	text := string(response.Header.Peek(names.Cold))
	if text == "" {
		if response.StatusCode() != fasthttp.StatusOK {
			return 0, eris.Errorf("GET %s: status %d without the remaining cold time", path, response.StatusCode())
		}
		return 0, nil
	}
	millis, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, eris.Wrapf(err, "GET %s: header %s", path, names.Cold)
	}
	return time.Duration(millis * float64(time.Millisecond)), nil
}
