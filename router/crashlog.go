package router

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/clock"
	"limehold/crashreport"
	"limehold/fleet"
	"limehold/membership"
	"limehold/quarantine"
	"limehold/wire"
)

// crashLog records which of this router's requests were running at an instance without
// an ingress when their connections broke. Only routers can relate requests to crashes
// there, because the agents of such instances see no requests. A crash is detected when
// another process registers under the instance's name.
type crashLog struct {
	mutex sync.Mutex
	// broken holds the runs whose connections broke recently, by the instance's session.
	broken map[membership.SessionID][]brokenRun
}

type brokenRun struct {
	run quarantine.Run
	at  time.Duration
}

const (
	// crashWindow is how long an instance may take to restart. Only runs whose connections broke
	// within this time before the restart count as suspects of the crash.
	crashWindow = 10 * time.Second
	// maxBrokenRuns bounds the runs that are kept for one instance.
	maxBrokenRuns = 64
)

func newCrashLog() *crashLog { return &crashLog{broken: map[membership.SessionID][]brokenRun{}} }

// add records a run whose connection broke.
func (l *crashLog) add(session membership.SessionID, run brokenRun) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for other, list := range l.broken {
		if run.at-list[len(list)-1].at > crashWindow {
			delete(l.broken, other)
		}
	}
	list := append(l.broken[session], run)
	l.broken[session] = list[max(0, len(list)-maxBrokenRuns):]
}

// take removes the runs whose connections broke at an instance, and returns those that broke
// within crashWindow.
func (l *crashLog) take(session membership.SessionID, now time.Duration) []brokenRun {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var taken []brokenRun
	for _, run := range l.broken[session] {
		if now-run.at <= crashWindow {
			taken = append(taken, run)
		}
	}
	delete(l.broken, session)
	return taken
}

// recordBroken records a run if the connection to an instance without an ingress broke.
func (r *Router) recordBroken(p *proxiedRequest, node *wire.NodeView, result *attempt) {
	if node.SelfLimited || result.state != attemptUnknown || result.reason != reasonNoAnswer && result.reason != reasonBrokenAnswer {
		return
	}
	r.crashes.add(node.Session, brokenRun{run: quarantine.Run{Identity: p.identity, Sample: crashreport.Sample(p.outbound)}, at: clock.Now()})
}

// instanceReplaced reports the crash of an instance that another process has replaced, unless the
// instance was draining or no request's connection to it broke recently.
func (r *Router) instanceReplaced(former wire.NodeView) {
	broken := r.crashes.take(former.Session, clock.Now())
	if len(broken) == 0 || former.Draining {
		return
	}
	crash := &quarantine.CrashReport{Service: former.Pool, Instance: former.Incarnation, Node: former.Name, Version: former.Version}
	for _, run := range broken {
		if run.run.Identity = r.crashReports.WithoutRecentRuns(run.run.Identity); run.run.Identity.Known() {
			crash.Runs = append(crash.Runs, run.run)
		}
	}
	r.logger.Warn("instance_ended", zap.String("instance", former.Incarnation), zap.String("node", former.Name), zap.Int("runs", len(broken)), zap.Int("suspects", len(crash.Runs)))
	r.crashReports.Report(fleet.Report{Crash: crash})
}

// recordSuccess records that an instance without an ingress has completed a request with a
// status below 400.
func (r *Router) recordSuccess(p *proxiedRequest, status int) {
	if !p.selfLimited && status < fasthttp.StatusBadRequest {
		r.crashReports.RecordSuccess(p.identity)
	}
}
