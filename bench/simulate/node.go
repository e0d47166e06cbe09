package simulate

import (
	"fmt"
	"slices"
	"time"

	"limehold/assignment"
	"limehold/fleet"
	"limehold/membership"
	"limehold/ownership"
)

// duplicateSuffix marks a second process under the name of a node.
const duplicateSuffix = "'"

const (
	callTimeout = 100 * time.Millisecond
	nodePool    = "pool"
)

// node is a back end with its agent: it runs the agent's cores, and the back end
// checks its grants when a request takes effect.
type node struct {
	*process
	sim             *simulation
	registeredName  string
	incarnation     string
	session         membership.SessionID
	lease           membership.HeldLease
	assignments     *assignment.Set
	preferredMember int
	rounds          int

	// State of the back end: the newest session that it was notified of, the grants
	// it holds, and the highest epoch that it released by shard.
	newestSession membership.SessionID
	grants        map[ownership.Key]*grant
	released      map[ownership.Key]uint64
}

type grant struct {
	epoch     uint64
	inFlight  int
	releasing bool
}

func (w *simulation) newNode(name, registeredName string) *node {
	n := &node{process: w.newProcess(name), sim: w, registeredName: registeredName}
	n.start()
	return n
}

func (n *node) start() {
	n.running = true
	n.incarnation = fmt.Sprintf("%s#%d", n.name, n.incarnationNumber)
	n.session, n.newestSession, n.lease, n.assignments = 0, 0, membership.HeldLease{}, assignment.NewSet()
	n.grants, n.released = map[ownership.Key]*grant{}, map[ownership.Key]uint64{}
	n.sim.scheduleOn(n.process, n.sim.randomDuration(0, renewEvery), n.openOrRenew)
	n.sim.scheduleOn(n.process, n.sim.randomDuration(0, renewEvery), n.runRequest)
}

// openOrRenew opens a session, or renews its lease and reports released shards.
func (n *node) openOrRenew() {
	n.rounds++
	n.sim.scheduleOn(n.process, n.trueLength(renewEvery), n.openOrRenew)
	if n.session == 0 {
		n.openSession()
		return
	}
	n.renew()
	n.reportReleased()
}

// call sends a request to the preferred member and prefers the next member when
// no response arrives in time.
func (n *node) call(kind string, handle func(m *member, answer func(func()))) {
	w := n.sim
	m := w.members[n.preferredMember%len(w.members)]
	answered := false
	w.send(n.process, m.process, kind, func() {
		handle(m, func(onResponse func()) {
			w.send(m.process, n.process, kind+" answer", func() {
				answered = true
				onResponse()
			})
		})
	})
	w.scheduleOn(n.process, n.trueLength(callTimeout), func() {
		if !answered {
			n.preferredMember++
		}
	})
}

func (n *node) openSession() {
	n.call("open", func(m *member, respond func(func())) {
		if !m.status.ready {
			respond(func() { n.preferredMember++ })
			return
		}
		command := &fleet.Command{OpenSession: &fleet.OpenSession{Node: membership.Node{
			Name: n.registeredName, Incarnation: n.incarnation, Zone: "zone", Pool: nodePool, Slots: 18, Connections: 100,
		}}}
		m.propose(command, func(result fleet.Result, known bool) {
			if known {
				respond(func() { n.sessionOpened(result.Session) })
			}
		})
	})
}

func (n *node) sessionOpened(session membership.SessionID) {
	if session == 0 || session < n.session {
		return
	}
	if session > n.newestSession {
		n.dropGrants()
		n.newestSession = session
	}
	n.session = session
	n.assignments.BeginSession(session)
}

// dropGrants drops the lease and all grants of an earlier session.
func (n *node) dropGrants() {
	n.lease.Drop()
	for key, held := range n.grants {
		n.released[key] = max(n.released[key], held.epoch)
	}
	n.grants = map[ownership.Key]*grant{}
}

func (n *node) renew() {
	session, sentAt, seen := n.session, n.sim.clock(n.process), n.assignments.Revision()
	n.call("renew", func(m *member, respond func(func())) {
		granted, known := m.renew(session, seen)
		respond(func() { n.renewalAnswered(session, sentAt, granted, known) })
	})
}

func (n *node) renewalAnswered(session membership.SessionID, sentAt time.Duration, granted, known bool) {
	switch {
	case session != n.session:
	case granted:
		n.sim.counts["renewals"]++
		n.lease.Acknowledge(session, sentAt, leaseLength)
		n.sim.checker.checkOneOwner(n)
	case !known:
		n.sim.counts["sessions lost"]++
		// As in the agent, the back end runs nothing without a lease. It drops its
		// grants only when a later session is opened: if the command that closes this
		// session was lost, control may still hold the session open.
		n.session = 0
		n.lease.Drop()
		n.assignments.BeginSession(0)
	default:
		n.preferredMember++
	}
}

// receiveList applies control's list of assignments to the grants of the back end.
func (n *node) receiveList(message shardList) {
	accepted := false
	if message.from == 0 {
		accepted = n.assignments.Replace(message.session, message.revision, message.shards)
	} else {
		accepted = n.assignments.Apply(message.session, message.from, message.revision, message.shards, message.removed)
	}
	if !accepted {
		return
	}
	wanted := map[ownership.Key]uint64{}
	for _, item := range n.assignments.Granted() {
		wanted[item.Key] = item.Epoch
	}
	for key, held := range n.grants {
		if wanted[key] != held.epoch {
			held.releasing = true
			n.releaseIfIdle(key, held)
		}
	}
	for key, epoch := range wanted {
		if n.grants[key] == nil && epoch > n.released[key] {
			n.grants[key] = &grant{epoch: epoch}
			n.sim.counts["grants"]++
		}
	}
	n.sim.checker.checkOneOwner(n)
}

// releaseIfIdle releases a shard that is to be released once no request for it is running.
func (n *node) releaseIfIdle(key ownership.Key, held *grant) {
	if held.releasing && held.inFlight == 0 && n.grants[key] == held {
		n.released[key] = max(n.released[key], held.epoch)
		delete(n.grants, key)
	}
}

// reportReleased releases the idle shards that control wants released, and reports all that are released.
func (n *node) reportReleased() {
	var done []assignment.Released
	for _, item := range n.assignments.Releasing() {
		if held := n.grants[item.Key]; held != nil && held.epoch <= item.Epoch {
			held.releasing = true
			n.releaseIfIdle(item.Key, held)
		}
		if n.grants[item.Key] == nil {
			n.released[item.Key] = max(n.released[item.Key], item.Epoch)
			done = append(done, item)
		}
	}
	if len(done) == 0 {
		return
	}
	slices.SortFunc(done, func(a, b assignment.Released) int { return int(a.Key.Shard) - int(b.Key.Shard) })
	session := n.session
	command := &fleet.Command{Release: &fleet.Release{Session: session}}
	for _, item := range done {
		command.Release.Shards = append(command.Release.Shards, fleet.ReleasedShard{Key: item.Key, Epoch: item.Epoch})
	}
	n.call("released", func(m *member, respond func(func())) {
		if !m.status.ready {
			return
		}
		m.propose(command, func(_ fleet.Result, known bool) {
			if known {
				respond(func() { n.assignments.RecordAcknowledged(session, done) })
			}
		})
	})
}

// validGrant returns the grant under which the back end would run a request for
// the shard, or nil if it would reject the request.
func (n *node) validGrant(key ownership.Key) *grant {
	held := n.grants[key]
	if held == nil || !n.running || !n.lease.Valid(n.sim.clock(n.process)) {
		return nil
	}
	return held
}

// runRequest periodically runs a request for a random shard. The request starts if
// the grant is valid, and takes effect only if the grant is still valid at its end.
func (n *node) runRequest() {
	w := n.sim
	w.scheduleOn(n.process, w.randomDuration(5*time.Millisecond, 60*time.Millisecond), n.runRequest)
	keys := n.sortedGrants()
	if len(keys) == 0 {
		return
	}
	key := keys[w.random.IntN(len(keys))]
	held := n.validGrant(key)
	if held == nil || held.releasing {
		return
	}
	held.inFlight++
	w.scheduleOn(n.process, w.randomDuration(time.Millisecond, 250*time.Millisecond), func() {
		held.inFlight--
		if current := n.validGrant(key); current == held {
			w.checker.checkExecution(n, key, held.epoch)
		} else {
			w.counts["executions refused by lease or epoch"]++
		}
		n.releaseIfIdle(key, held)
	})
}

func (n *node) sortedGrants() []ownership.Key {
	keys := make([]ownership.Key, 0, len(n.grants))
	for key := range n.grants {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

func compareKeys(a, b ownership.Key) int {
	if a.Service != b.Service {
		if a.Service < b.Service {
			return -1
		}
		return 1
	}
	return int(a.Shard) - int(b.Shard)
}
