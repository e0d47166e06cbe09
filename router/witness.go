package router

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/bulletin"
	"limehold/clock"
	"limehold/fleet"
	"limehold/membership"
	"limehold/quarantine"
	"limehold/wire"
)

// witness knows which of this router's requests instances without an ingress were running when
// they ended. Nobody else sees both: their agents see no requests. That an instance has ended
// shows when another process announces itself under its name.
type witness struct {
	mutex sync.Mutex
	// broken are the runs whose connections broke lately, by the instance's session.
	broken map[membership.SessionID][]brokenRun
}

type brokenRun struct {
	run quarantine.Run
	at  time.Duration
}

const (
	// witnessFor is how long an instance may take to come up again: what broke before is then
	// held against the end.
	witnessFor = 10 * time.Second
	// maxWitnessed bounds the runs that are kept of an instance.
	maxWitnessed = 64
)

func newWitness() *witness { return &witness{broken: map[membership.SessionID][]brokenRun{}} }

// broke takes a run whose connection broke.
func (w *witness) broke(session membership.SessionID, run brokenRun) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for known, list := range w.broken {
		if run.at-list[len(list)-1].at > witnessFor {
			delete(w.broken, known)
		}
	}
	list := append(w.broken[session], run)
	w.broken[session] = list[max(0, len(list)-maxWitnessed):]
}

// take returns the runs that broke at an instance, and forgets them.
func (w *witness) take(session membership.SessionID, now time.Duration) []brokenRun {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var taken []brokenRun
	for _, run := range w.broken[session] {
		if now-run.at <= witnessFor {
			taken = append(taken, run)
		}
	}
	delete(w.broken, session)
	return taken
}

// noteBroken notes that the connection to an instance without an ingress broke under a request.
func (r *Router) noteBroken(p *proxied, node *wire.NodeView, result *attempt) {
	if node.Gated || result.state != attemptOpen || result.reason != reasonNoAnswer && result.reason != reasonBrokenAnswer {
		return
	}
	r.witness.broke(node.Session, brokenRun{run: quarantine.Run{Identity: p.identity, Sample: bulletin.Sample(p.out)}, at: clock.Now()})
}

// replaced is told of an instance in whose place another process serves.
func (r *Router) replaced(former wire.NodeView) {
	broken := r.witness.take(former.Session, clock.Now())
	if len(broken) == 0 || former.Draining {
		return
	}
	end := &quarantine.End{Service: former.Pool, Instance: former.Incarnation, Node: former.Name, Version: former.Version}
	for _, run := range broken {
		if run.run.Identity = r.board.Suspects(run.run.Identity); run.run.Identity.Known() {
			end.Runs = append(end.Runs, run.run)
		}
	}
	r.logger.Warn("instance_ended", zap.String("instance", former.Incarnation), zap.String("node", former.Name), zap.Int("runs", len(broken)), zap.Int("suspects", len(end.Runs)))
	r.board.Tell(fleet.Report{Ended: end})
}

// survived notes that an instance without an ingress has run a request to its end.
func (r *Router) survived(p *proxied, status int) {
	if !p.gated && status < fasthttp.StatusBadRequest {
		r.board.Survived(p.identity)
	}
}
