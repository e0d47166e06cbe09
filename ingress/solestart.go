package ingress

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/agent"
	"limehold/life"
	"limehold/logging"
)

// soleStart proves, where keys are told by heartbeat, that the starts have ended whose sessions the
// present one has superseded: what they owned is then free without the end of their lease. Heartbeats
// do not prove it, as one may be late. An answer of the start that the session is for does, to a
// question that was sent after the session was had: one process at a time runs at the address, and
// those others had been heard of before.
type soleStart struct {
	instance *Instance
	client   *fasthttp.HostClient
	// sought is the newest session that has superseded others.
	sought chan agent.Opened
}

const (
	// solePause is between two questions: the health path may be unknown at first, the instance full.
	solePause = 100 * time.Millisecond
	// soleTries last for about as long as the lease of a session that nobody renews.
	soleTries = 40
)

func newSoleStart(instance *Instance) *soleStart {
	return &soleStart{instance: instance, sought: make(chan agent.Opened, 1), client: healthClient(instance.options.Settings.Ingress.Instance)}
}

// seek has the proof sought for a session, and for no earlier one any more.
func (s *soleStart) seek(opened agent.Opened) {
	select {
	case <-s.sought:
	default:
	}
	s.sought <- opened
}

// run seeks until ctx ends.
func (s *soleStart) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case opened := <-s.sought:
			s.prove(ctx, opened)
		}
	}
}

// prove asks until the start answers that the session is for, or another session is sought.
func (s *soleStart) prove(ctx context.Context, opened agent.Opened) {
	for try := 0; try < soleTries && len(s.sought) == 0 && ctx.Err() == nil; try++ {
		id, err := s.ask()
		if err == nil && s.isSole(id, opened) {
			s.instance.logger.Info("former_starts_ended", zap.Uint64("session", uint64(opened.Session)), zap.String("instance", id),
				zap.Strings("former", opened.Former), zap.String("proof", "the start that the session is for answers at the address"))
			s.instance.keys.tellVacated(opened.Session)
			return
		}
		if err == nil {
			err = eris.Errorf("instance %s answered in place of %s", id, opened.Incarnation)
		}
		s.instance.logger.Debug("former_starts_not_known", logging.Step("ask who runs", "instance", err)...)
		select {
		case <-ctx.Done():
		case <-time.After(solePause):
		}
	}
}

// isSole reports whether an answer of an identity is of the start that the session is for, and of none
// of those before: they may have had the identity as well.
func (s *soleStart) isSole(id string, opened agent.Opened) bool {
	if id == "" || !life.IsOf(opened.Incarnation, id) {
		return false
	}
	for _, former := range opened.Former {
		if life.IsOf(former, id) {
			return false
		}
	}
	return true
}

// ask returns the identity that the start at the address answers with.
func (s *soleStart) ask() (string, error) {
	_, path := s.instance.healthPath()
	if path == "" {
		return "", eris.New("the service's health path is not known yet")
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + s.client.Addr + path)
	if err := s.client.DoTimeout(request, response, probeTimeout); err != nil {
		return "", eris.Wrapf(err, "GET %s", path)
	}
	return string(response.Header.Peek(s.instance.options.Settings.Headers.Identity)), nil
}
