package ingress

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/agent"
	"limehold/incarnation"
	"limehold/logging"
)

// predecessorProof proves, if keys are granted by heartbeat, that the incarnations whose sessions the
// current one has superseded have ended, so that their keys are free before their leases expire. A
// heartbeat does not prove that, as it may be late. The proof is a response from the incarnation that
// the session is for, to a probe that was sent after the session was opened: only one process at a time
// listens at the address, and the superseded incarnations had been announced before.
type predecessorProof struct {
	instance *Instance
	// requested receives the newest session that has superseded others.
	requested chan agent.OpenedSession
}

const (
	// proofInterval is the interval between two probes: the health path may be unknown at first, or the
	// instance may be full.
	proofInterval = 100 * time.Millisecond
	// maxProofProbes probes take about as long as a lease lasts without a renewal.
	maxProofProbes = 40
)

func newPredecessorProof(instance *Instance) *predecessorProof {
	return &predecessorProof{instance: instance, requested: make(chan agent.OpenedSession, 1)}
}

// request schedules the proof for a session, in place of any earlier session.
func (p *predecessorProof) request(opened agent.OpenedSession) {
	select {
	case <-p.requested:
	default:
	}
	p.requested <- opened
}

// run handles the requested proofs until ctx ends.
func (p *predecessorProof) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case opened := <-p.requested:
			p.prove(ctx, opened)
		}
	}
}

// prove probes the instance until the incarnation that the session is for responds, maxProofProbes
// probes have been sent, or another session is requested.
func (p *predecessorProof) prove(ctx context.Context, opened agent.OpenedSession) {
	for try := 0; try < maxProofProbes && len(p.requested) == 0 && ctx.Err() == nil; try++ {
		id, err := p.probeID()
		if err == nil && p.provesEnd(id, opened) {
			p.instance.logger.Info("former_starts_ended", zap.Uint64("session", uint64(opened.Session)), zap.String("instance", id),
				zap.Strings("former", opened.SupersededIncarnations), zap.String("proof", "the incarnation that the session is for responds at the address"))
			p.instance.keys.reportProvenRelease(opened.Session)
			return
		}
		if err == nil {
			err = eris.Errorf("response is from instance %s, want %s", id, opened.Incarnation)
		}
		p.instance.logger.Debug("former_starts_not_known", logging.ErrorFields("probe instance identity", "instance", err)...)
		select {
		case <-ctx.Done():
		case <-time.After(proofInterval):
		}
	}
}

// provesEnd reports whether a response with an ID is from the incarnation that the session is for and from
// none of the superseded ones, which may have had the same ID.
func (p *predecessorProof) provesEnd(id string, opened agent.OpenedSession) bool {
	if id == "" || !incarnation.IsOf(opened.Incarnation, id) {
		return false
	}
	for _, former := range opened.SupersededIncarnations {
		if incarnation.IsOf(former, id) {
			return false
		}
	}
	return true
}

// probeID returns the ID with which the instance at the address responds.
func (p *predecessorProof) probeID() (string, error) {
	_, path := p.instance.healthPath()
	if path == "" {
		return "", eris.New("the health path of the service is not known yet")
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	if err := queryHealth(p.instance.options.Settings.Ingress.Instance, path, request, response); err != nil {
		return "", eris.Wrapf(err, "GET %s", path)
	}
	return string(response.Header.Peek(p.instance.options.Settings.Headers.Identity)), nil
}
