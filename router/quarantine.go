package router

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/crashreport"
	"limehold/logging"
	"limehold/wire"
)

// trialTimeout bounds the call that acquires a trial, during which the caller waits.
const trialTimeout = 500 * time.Millisecond

// maxCrashes is the number of instance crashes after which a request is not sent again. After one
// crash it is resent, because another request may have caused the crash. A request that causes
// crashes must not crash a third instance before other processes learn of the first crash.
const maxCrashes = 2

// admitQuarantined rejects a quarantined request unless it acquires the trial that tests
// whether the request can run again.
func (r *Router) admitQuarantined(p *proxiedRequest) rejection {
	history := r.crashReports.CrashHistory(p.identity)
	if !history.Quarantined {
		return rejection{}
	}
	if number := r.acquireTrial(p, history); number > 0 {
		p.trial = number
		p.outbound.Header.Set(wire.HeaderTrial, strconv.FormatUint(number, 10))
		return rejection{}
	}
	return rejectQuarantined
}

// acquireTrial acquires the trial that control offers for a quarantined request. It returns the
// number of the trial, or 0 if the request does not run as a trial.
func (r *Router) acquireTrial(p *proxiedRequest, history crashreport.CrashHistory) uint64 {
	name := r.options.Settings.Name
	trial := history.Trial
	if !trial.Offered() || trial.Holder != "" && trial.Holder != name {
		return 0
	}
	if last := r.lastTrial.Load(); trial.Number <= last || !r.lastTrial.CompareAndSwap(last, trial.Number) {
		return 0
	}
	conn := r.follower.conn()
	if conn == nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	var reply wire.TrialReply
	if err := conn.Call(ctx, wire.KindTrial, &wire.Trial{Router: name, Digest: history.Digest, Number: trial.Number}, &reply); err != nil {
		r.logger.Info("trial_not_taken", logging.ErrorFields("take trial", conn.Peer.Name, err)...)
		return 0
	}
	r.logger.Info("trial", logging.RequestID(p.displayID), zap.Stringer("digest", history.Digest), zap.Uint64("number", trial.Number), zap.Bool("given", reply.Granted))
	if !reply.Granted {
		return 0
	}
	return trial.Number
}

// checkQuarantine returns a rejection if the request was quarantined while it waited or while
// its last attempt ran, unless it runs as a trial. For instances without an ingress this is the last check.
func (r *Router) checkQuarantine(p *proxiedRequest) rejection {
	if p.trial == 0 && r.crashReports.CrashHistory(p.identity).Quarantined {
		return rejectQuarantined
	}
	return rejection{}
}

// countCrash counts the attempt if the instance crashed while it ran the request.
func (p *proxiedRequest) countCrash(result *attempt) {
	if result.state == attemptUnknown && result.reason == wire.BackendReasonCrashed {
		p.crashes++
	}
}

// mustNotResend reports whether a request must not be sent again because it might crash a
// further instance: it has seen maxCrashes crashes, runs as a trial, or is quarantined.
func (p *proxiedRequest) mustNotResend(result *attempt) bool {
	return p.crashes >= maxCrashes || p.trial > 0 || result.reason == wire.BackendReasonQuarantined
}

// rejectQuarantined has a status that callers do not retry: every router rejects the same
// request for as long as it is quarantined.
var rejectQuarantined = rejection{wire.BackendReasonQuarantined, fasthttp.StatusBadRequest,
	"instances have ended while they ran this very request: it is not run any more until an operator releases it or a trial succeeds; do not send it again unchanged", 0}
