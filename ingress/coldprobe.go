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
)

const (
	// probeTimeout bounds one question to the instance's health path, which answers at once.
	probeTimeout = 300 * time.Millisecond
	// probePause is between two questions: each takes one of the instance's slots for a
	// moment, and until one is answered the instance counts as cold.
	probePause = 100 * time.Millisecond
	// probeConnections is one for the question under way.
	probeConnections = 1
)

// coldProbe asks the instance whether it is cold when nothing that it has said is newer
// than what may have made it so. Its announcements say it too, but come about once a
// second and may be late.
type coldProbe struct {
	instance *Instance
	client   *fasthttp.HostClient
	wake     chan struct{}
}

func newColdProbe(instance *Instance) *coldProbe {
	return &coldProbe{instance: instance, wake: make(chan struct{}, 1), client: healthClient(instance.options.Settings.Ingress.Instance)}
}

// healthClient asks an instance's health path, once each time.
func healthClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: address, MaxConns: probeConnections, NoDefaultUserAgentHeader: true,
		MaxIdemponentCallAttempts: 1, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// doubt notes that the instance may have turned cold, and has it asked.
func (p *coldProbe) doubt(cause string) {
	p.instance.gate.changeCold(func(c *coldStart) { c.doubt(clock.Now()) })
	p.instance.logger.Info("instance_may_be_cold", zap.String("cause", cause))
	p.settle()
}

// settle has the instance asked if there is a doubt. The bound of its service may become
// known after the doubt has arisen: an ingress that has just come up has no route table.
func (p *coldProbe) settle() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run asks until ctx ends, whenever there is a doubt.
func (p *coldProbe) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		for p.instance.gate.mayBeCold() && ctx.Err() == nil {
			p.ask()
			select {
			case <-ctx.Done():
			case <-time.After(probePause):
			}
		}
	}
}

// ask makes one question.
func (p *coldProbe) ask() {
	id, path := p.instance.healthPath()
	if path == "" {
		return
	}
	sent := clock.Now()
	remaining, err := p.question(id, path)
	if err != nil {
		p.instance.logger.Debug("cold_probe_failed", logging.Step("ask whether it is cold", id, err)...)
		return
	}
	p.instance.gate.changeCold(func(c *coldStart) { c.answered(remaining, sent, clock.Now()) })
	p.instance.logger.Info("instance_cold_for", zap.String("instance", id), zap.Duration("remaining", remaining), zap.Duration("took", clock.Now()-sent))
}

// question returns how much longer the instance stays cold. An answer that does not say
// so is one of a warm instance.
func (p *coldProbe) question(id, path string) (time.Duration, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	names := p.instance.options.Settings.Headers
	request.SetRequestURI("http://" + p.client.Addr + path)
	if err := p.client.DoTimeout(request, response, probeTimeout); err != nil {
		return 0, eris.Wrapf(err, "GET %s", path)
	}
	if answered := string(response.Header.Peek(names.Identity)); answered != "" && answered != id {
		return 0, eris.Errorf("GET %s: instance %s answered in place of %s", path, answered, id)
	}
	text := string(response.Header.Peek(names.Cold))
	if text == "" {
		if response.StatusCode() != fasthttp.StatusOK {
			return 0, eris.Errorf("GET %s: status %d without a word on how cold it is", path, response.StatusCode())
		}
		return 0, nil
	}
	millis, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, eris.Wrapf(err, "GET %s: header %s", path, names.Cold)
	}
	return time.Duration(millis * float64(time.Millisecond)), nil
}
