package ingress

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"limehold/clock"
	"limehold/logging"
)

// limitProbe queries the health path of an instance that names a limit and answers nothing else: an instance that gets
// no requests, such as one whose keys have moved elsewhere, could otherwise never say that its limit has ended.
type limitProbe struct {
	instance *Instance
}

const (
	// limitProbeInterval is the interval at which limitProbe checks whether a probe is due.
	limitProbeInterval = time.Second
	// limitSilence is how long an instance that names a limit has answered nothing before it is probed.
	limitSilence = 2 * time.Second
)

func newLimitProbe(instance *Instance) *limitProbe {
	return &limitProbe{instance: instance}
}

// run probes the instance when that is due, until ctx ends.
func (p *limitProbe) run(ctx context.Context) {
	ticker := time.NewTicker(limitProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if p.isDue(clock.Now()) {
			p.probe()
		}
	}
}

// isDue reports whether the instance names a limit and has been silent.
func (p *limitProbe) isDue(now time.Duration) bool {
	i := p.instance
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.reports.limit > 0 && now-i.reports.answeredAt >= limitSilence
}

// probe queries the health path once and records what the answer says of the instance.
func (p *limitProbe) probe() {
	i := p.instance
	i.mutex.Lock()
	from := i.current.From()
	i.mutex.Unlock()
	id, path := i.healthPath()
	if path == "" || id != from.ID {
		return
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	if name := i.options.Settings.Headers.Instance; name != "" {
		request.Header.Set(name, id)
	}
	sent := clock.Now()
	err := queryHealth(i.options.Settings.Ingress.Instance, path, request, response)
	if err == nil && !p.isFrom(id, response) {
		err = eris.Errorf("status %d, want the response of instance %s", response.StatusCode(), id)
	}
	if err != nil {
		i.logger.Info("limit_probe_failed", logging.ErrorFields("probe limit", id, eris.Wrapf(err, "GET %s", path))...)
		return
	}
	i.observeAnswer(from, &response.Header, sent)
}

// isFrom reports whether a response is of the instance that the probe was for.
func (p *limitProbe) isFrom(id string, response *fasthttp.Response) bool {
	answered := string(response.Header.Peek(p.instance.options.Settings.Headers.Identity))
	return response.StatusCode() != fasthttp.StatusMisdirectedRequest && (answered == "" || answered == id)
}
