package router

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/admission"
	"limehold/clock"
	"limehold/loadview"
	"limehold/logging"
	"limehold/wire"
)

// instanceStates remembers what instances have said of themselves in answers that this router has received. The router
// sends it along with each request: an ingress that has restarted knows nothing of it, and the restart excuses no
// request of other machines. It is safe for concurrent use.
type instanceStates struct {
	mutex  sync.RWMutex
	byNode map[string]toldState
}

// toldState is a state and when it was received.
type toldState struct {
	wire.InstanceState
	at time.Duration
}

// stateTimeout is how long the state of a node that is in no view any more is remembered: longer than a node is away for
// a restart.
const stateTimeout = 10 * time.Minute

func newInstanceStates() *instanceStates { return &instanceStates{byNode: map[string]toldState{}} }

// get returns the state of a node's instance, and false if the instance has said nothing that is still in force.
func (s *instanceStates) get(node string, now time.Duration) (wire.InstanceState, bool) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	told, ok := s.byNode[node]
	return told.WithAge(now - told.at), ok
}

// set records the state of a node's instance.
func (s *instanceStates) set(node string, state wire.InstanceState, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.byNode[node] = toldState{state, now}
}

// forget removes the state of a node's instance, which an answer has not repeated.
func (s *instanceStates) forget(node string) {
	s.mutex.RLock()
	_, ok := s.byNode[node]
	s.mutex.RUnlock()
	if !ok {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.byNode, node)
}

// sweep removes the states of nodes that have been in no view for stateTimeout.
func (s *instanceStates) sweep(isListed func(node string) bool, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for node, told := range s.byNode {
		if now-told.at > stateTimeout && !isListed(node) {
			delete(s.byNode, node)
		}
	}
}

// recordInstanceState records what the answer to an attempt says of the node's instance. Only an answer of the instance
// itself ends a state: an ingress that rejects a request may not know it.
func (r *Router) recordInstanceState(node *wire.NodeView, result *attempt) {
	if result.instanceState == "" {
		if result.state == attemptAnswered {
			r.instanceStates.forget(node.Name)
		}
		return
	}
	state, err := wire.ParseInstanceState(result.instanceState)
	if err != nil {
		r.logger.Warn("instance_state_unreadable", logging.ErrorFields("read instance state", node.Name, err)...)
		return
	}
	if before, ok := r.instanceStates.get(node.Name, clock.Now()); !ok || before.Incarnation != state.Incarnation || before.Leaving != state.Leaving {
		r.logger.Info("instance_says", zap.String("node", node.Name), zap.String("instance", state.Incarnation), zap.Float64("limit", state.Limit), zap.Bool("leaving", state.Leaving))
	}
	r.instanceStates.set(node.Name, state, clock.Now())
}

// setInstanceState adds what the node's instance has said of itself to a request.
func (r *Router) setInstanceState(node *wire.NodeView, out *fasthttp.Request) {
	if state, ok := r.instanceStates.get(node.Name, clock.Now()); ok {
		out.Header.Set(wire.HeaderInstanceState, state.String())
		return
	}
	out.Header.Del(wire.HeaderInstanceState)
}

// setLoadView adds the newest load reports of other instances to a request that any instance of its service may run.
func (p *proxiedRequest) setLoadView(node *wire.NodeView, out *fasthttp.Request) {
	pool := p.service.pool
	if !pool.sharesLoads() || p.service.spec.Keyed || !node.SelfLimited {
		out.Header.Del(wire.HeaderLoadView)
		return
	}
	out.Header.SetBytesV(wire.HeaderLoadView, loadview.AppendEntries(nil, pool.freshestLoads(uint64(node.Session), clock.Now())))
}

// readLoads reads the load report of an answer, and those of other instances. A report that cannot be read is ignored.
func (r *Router) readLoads(result *attempt, header *fasthttp.ResponseHeader) {
	var err error
	if text := header.Peek(wire.HeaderLoad); len(text) > 0 {
		if result.load, err = loadview.Parse(text); err != nil {
			r.logger.Info("load_report_unreadable", logging.ErrorFields("read load report", result.conn.Address, err)...)
		}
	}
	if text := header.Peek(wire.HeaderLoadView); len(text) > 0 {
		if result.loads, err = loadview.ParseEntries(text); err != nil {
			r.logger.Info("load_report_unreadable", logging.ErrorFields("read load reports", result.conn.Address, err)...)
		}
	}
}

// observeLoads records the load reports of an attempt.
func (r *Router) observeLoads(p *proxiedRequest, id admission.InstanceID, result *attempt) {
	if result.state == attemptNotRun && result.reason == wire.BackendReasonFull {
		r.metrics.fullAttempts.WithLabelValues(p.service.name).Inc()
	}
	if result.load.IsSet() {
		p.service.pool.observe(id, result.load, clock.Now())
	}
	for _, verdict := range p.service.pool.observeOthers(result.loads, clock.Now()) {
		r.metrics.loadReports.WithLabelValues(p.service.name, verdict.String()).Inc()
	}
}
