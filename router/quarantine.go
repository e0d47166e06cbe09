package router

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/bulletin"
	"limehold/logging"
	"limehold/wire"
)

// trialPatience bounds the question whether a request may run as the trial: its caller waits.
const trialPatience = 500 * time.Millisecond

// mostOwnEnds is under how many ends one request is sent on: what ran beside the cause of an
// end is to be served by another instance, and what may be the cause is not to end a third one
// before anybody else has learned of the first.
const mostOwnEnds = 2

// admitSuspect refuses a request that no instance is to run any more, unless it is to be the
// trial whether it can run again.
func (r *Router) admitSuspect(p *proxied) refusal {
	standing := r.board.Standing(p.identity)
	if !standing.Quarantined {
		return refusal{}
	}
	if number := r.takeTrial(p, standing); number > 0 {
		p.trial = number
		p.out.Header.Set(wire.HeaderTrial, strconv.FormatUint(number, 10))
		return refusal{}
	}
	return refuseQuarantined
}

// takeTrial returns the number of the trial that this request is to be; zero: it is to be none.
func (r *Router) takeTrial(p *proxied, standing bulletin.Standing) uint64 {
	name := r.options.Settings.Name
	trial := standing.Trial
	if !trial.Offered() || trial.Holder != "" && trial.Holder != name {
		return 0
	}
	if spent := r.trialSpent.Load(); trial.Number <= spent || !r.trialSpent.CompareAndSwap(spent, trial.Number) {
		return 0
	}
	conn := r.follower.conn()
	if conn == nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), trialPatience)
	defer cancel()
	var reply wire.TrialReply
	if err := conn.Call(ctx, wire.KindTrial, &wire.Trial{Router: name, Digest: standing.Digest, Number: trial.Number}, &reply); err != nil {
		r.logger.Info("trial_not_taken", logging.Step("take trial", conn.Peer.Name, err)...)
		return 0
	}
	r.logger.Info("trial", zap.String("request", p.shown), zap.Stringer("digest", standing.Digest), zap.Uint64("number", trial.Number), zap.Bool("given", reply.Given))
	if !reply.Given {
		return 0
	}
	return trial.Number
}

// keptBack returns why a request is not sent after all: while it waited, or its last attempt
// ran, it has become one that no instance is to run. Instances without an ingress have no
// other check behind this one.
func (r *Router) keptBack(p *proxied) refusal {
	if p.trial == 0 && r.board.Standing(p.identity).Quarantined {
		return refuseQuarantined
	}
	return refusal{}
}

// noteEnds counts the ends of instances under one request's own attempts.
func (p *proxied) noteEnds(result *attempt) {
	if result.state == attemptOpen && result.reason == wire.BackendReasonEnded {
		p.ends++
	}
}

// endangers reports whether sending a request on would put a further instance at risk.
func (p *proxied) endangers(result *attempt) bool {
	return p.ends >= mostOwnEnds || p.trial > 0 || result.reason == wire.BackendReasonQuarantined
}

// refuseQuarantined has a status that callers do not come back after: the same request would
// be refused again, by every router, for as long as it stays so.
var refuseQuarantined = refusal{wire.BackendReasonQuarantined, fasthttp.StatusBadRequest,
	"instances have ended while they ran this very request: it is not run any more until an operator releases it or a trial succeeds; do not send it again unchanged", 0}
