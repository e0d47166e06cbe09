// The model: the state of each component and the events that may come next. Time is not
// modelled: a lease may end at any point. The instance stops holding the keys of a session
// before the lease of the session ends, because holds are shorter than leases. Grants that are
// executed after that are covered by Bounds.LateAfterLease and Rules.Quiescence.
package explore

import (
	"fmt"
	"slices"

	"limehold/membership"
	"limehold/ownership"
)

const (
	// nodes is the smallest number of nodes with which a key can have two holders.
	nodes = 2
	// maxCalls is the number of calls in flight to an incarnation; it gives states a fixed size.
	maxCalls = 3
)

// key is the only key in the model.
var key = ownership.Key{Service: "model"}

// violation is the rule that a state violates.
type violation uint8

const (
	noViolation violation = iota
	// twoHolders: the instances of both nodes hold the key at once.
	twoHolders
	// staleFence: an instance acquired the key under a fence that is not above every fence
	// under which another incarnation held it.
	staleFence
)

// String returns the text of the violation for a trace.
func (b violation) String() string {
	return [...]string{"", "two lives hold the key", "the fence is not above another life's"}[b]
}

// record is control's record of the key. Owner 0 means that the key is free.
type record struct {
	owner, epoch uint8
}

// toTable converts the record to the type of the real code.
func (r record) toTable() *ownership.Table {
	t := ownership.NewTable()
	t.AddService(key.Service, 1, uint64(r.epoch))
	if r.owner != 0 {
		t.Shards[key.Service][0].Owner = membership.SessionID(r.owner)
		t.Shards[key.Service][0].Phase = ownership.PhaseGranted
		t.Reindex()
	}
	return t
}

func recordOf(t *ownership.Table) record {
	shard, _ := t.Get(key)
	return record{uint8(shard.Owner), uint8(shard.Epoch)}
}

func (r record) withOwner(session, epoch uint8) record {
	t := r.toTable()
	if err := t.Assign(key, uint64(r.epoch), uint64(epoch), membership.SessionID(session)); err != nil { // the model assigns free keys only
		panic(err) // the model assigns free keys only
	}
	return recordOf(t)
}

// withRelease returns the record unchanged unless the session is the owner and names the current epoch.
func (r record) withRelease(session, epoch uint8) record {
	if r.owner != session {
		return r // the table would give the same result more slowly
	}
	t := r.toTable()
	if _, err := t.Release(key, uint64(epoch), membership.SessionID(session), ""); err != nil {
		return r
	}
	return recordOf(t)
}

func (r record) withoutSession(session uint8) record {
	if r.owner != session {
		return r // as in withRelease
	}
	t := r.toTable()
	t.CloseSession(membership.SessionID(session))
	return recordOf(t)
}

// hasCallOf reports whether a grant of the session is in flight to the instance.
func (a instance) hasCallOf(session uint8) bool {
	return slices.ContainsFunc(a.calls[:], func(c call) bool { return c.session == session })
}

// call is a grant that is in flight to an instance.
type call struct {
	fence, session uint8
}

// instance is the running incarnation; the zero value has seen no fence and does not hold the key.
type instance struct {
	// highestFence is the highest fence seen. heldFence is the fence under which the key is
	// held, or 0, and heldSession is the session of that grant.
	highestFence, heldFence, heldSession uint8
	// highestHeldFence is the highest fence under which the key was ever held.
	highestHeldFence uint8
	calls            [maxCalls]call
}

// sidecar is the state of a node's agent and its connection to the instance.
type sidecar struct {
	// believedIncarnation is that of the last accepted heartbeat; formerIncarnations has a
	// bit set for each earlier one.
	believedIncarnation, formerIncarnations uint8
	session                                 uint8
	// listedEpoch is the epoch of the key in control's list, or 0 if the list does not contain
	// it. assignedAfterConnect is true if that epoch was assigned after the connection was made.
	listedEpoch          uint8
	assignedAfterConnect bool
	// highestEpoch is the highest epoch of any list; with Rules.ClearAfterList also the
	// highest revision.
	highestEpoch uint8
	// connectedIncarnation is the incarnation that accepted the connection, which ends with it;
	// 0 if there is none.
	connectedIncarnation uint8
	// clearFence is nonzero once the clear was answered. With Rules.FenceAboveClear and
	// Rules.ClearAfterList, a grant needs a higher fence.
	clearFence uint8
	// listReceived is true once a list of the session has arrived. openedOnConnection is true if the session
	// was opened over the current connection and no clear was answered since (both Rules.ClearAfterList).
	listReceived, openedOnConnection bool
	// connectionRefused is true if a connection was refused and, with Rules.FinalClose, none was
	// made since.
	connectionRefused bool
	// closedSession is the session that the sidecar closed last (Rules.FinalClose); it does
	// not resume that session.
	closedSession uint8
	// mayHaveOldCalls is true if an earlier process may have sent grants and the instance was not
	// cleared since (Rules.Quiescence).
	mayHaveOldCalls bool
}

// assignmentList is a list that control made for a session and that is on its way to the sidecar.
type assignmentList struct {
	// epoch is 0 if the list does not contain the key; revision is that of control's log.
	session, epoch, revision uint8
	// sessionInvalid is true if the session was no longer the node's current one.
	sessionInvalid bool
}

// node is a sidecar and its instance, and control's state of them.
type node struct {
	// currentSession is control's session of the node, for the incarnation sessionIncarnation.
	currentSession, sessionIncarnation uint8
	// assignedAfterConnect is true if control assigned the key after the node's connection was made.
	assignedAfterConnect bool
	// clearedSession and closingSession are messages on their way to control: the session
	// whose clear was answered, and the session that was closed. closeEpoch is the epoch
	// that the close names.
	clearedSession, closingSession, closeEpoch uint8
	// releasedEpoch and releasingSession are the epoch and session of a release on its way to control.
	releasedEpoch, releasingSession uint8
	sidecar                         sidecar
	// quiescent is true if control believes that no grant of the node can be executed (Rules.Quiescence).
	quiescent bool
	// pendingList is on its way to the sidecar (Bounds.LateLists).
	pendingList assignmentList
	// incarnations is the number of incarnations so far; running is true if the last one is running.
	incarnations uint8
	running      bool
	instance     instance
}

// usedEvents counts the events that have a bound.
type usedEvents struct {
	heartbeats, restarts, sessions, assignments, moves, lateLists uint8
}

// state is the state of the whole model. It is comparable; see canonicalForm.
type state struct {
	record    record
	ownerNode uint8
	revision  uint8
	// endedFence is the highest fence under which an incarnation that has ended held the key.
	endedFence uint8
	used       usedEvents
	nodes      [nodes]node
	violation  violation
}

// step is an event and the state after it.
type step struct {
	event string
	node  int
	// incarnation and number are arguments of the event, or 0. The last word of event
	// names what number is.
	incarnation, number uint8
	to                  state
}

// String returns the text of the event for a trace.
func (s step) String() string {
	text := fmt.Sprintf("node %d: %s", s.node+1, s.event)
	if s.number != 0 {
		text += fmt.Sprintf(" %d", s.number)
	}
	if s.incarnation != 0 {
		text += fmt.Sprintf(", life %d", s.incarnation)
	}
	return text
}

func (v state) withNodesSwapped() state {
	v.nodes[0], v.nodes[1] = v.nodes[1], v.nodes[0]
	if v.record.owner != 0 {
		v.ownerNode = 1 - v.ownerNode
	}
	return v
}

func (v state) withRecord(r record, ownerNode int) state {
	v.record = r
	v.ownerNode = uint8(ownerNode)
	if r.owner == 0 {
		v.ownerNode = 0
	}
	return v
}

// isSuperseded reports whether the key is owned by a session of node i that is not its
// current one.
func (v state) isSuperseded(i int) bool {
	return v.record.owner != 0 && int(v.ownerNode) == i && v.record.owner != v.nodes[i].currentSession
}

// generator collects the successors of one state.
type generator struct {
	options Options
	from    state
	steps   []step
}

func (g *generator) add(event string, i int, incarnation, number uint8, to state) {
	if to != g.from {
		g.steps = append(g.steps, step{event, i, incarnation, number, to})
	}
}

// successors returns each event that may come next, in a fixed order. The result reuses
// buffer, which may be nil.
func successors(options Options, from state, buffer []step) []step {
	g := &generator{options: options, from: from, steps: buffer[:0]}
	for i := range nodes {
		g.startOrCrash(i)
		g.executeCalls(i)
		g.heartbeatOrRestart(i)
		g.openSession(i)
		g.connectOrRefuse(i)
		g.receiveList(i)
		g.sendGrant(i)
		g.reportQuiescence(i)
		g.releaseOnRequest(i)
		g.closeSession(i)
		g.controlEvents(i)
		g.expireLeases(i)
	}
	return g.steps
}

// startOrCrash starts the instance, or ends it if it is running.
func (g *generator) startOrCrash(i int) {
	v := g.from
	n := &v.nodes[i]
	if !n.running {
		if n.incarnations < g.options.Incarnations[i] {
			n.incarnations++
			n.running = true
			g.add("instance starts and listens", i, n.incarnations, 0, v)
		}
		return
	}
	v.endedFence = max(v.endedFence, n.instance.highestHeldFence)
	n.running, n.instance = false, instance{}
	n.sidecar.connectedIncarnation, n.sidecar.openedOnConnection = 0, false
	if g.options.ClearedConnection {
		n.sidecar.clearFence = 0
	}
	g.add("instance ends", i, n.incarnations, 0, v)
}

// executeCalls executes the grants in flight. The end of a hold before the end of its lease
// needs no event: an instance that still holds the key can do everything that one without it can.
func (g *generator) executeCalls(i int) {
	for c, grant := range g.from.nodes[i].instance.calls {
		if grant != (call{}) {
			v := g.from
			if !g.options.DuplicateCalls {
				v.nodes[i].instance.calls[c] = call{}
			}
			g.add("grant is carried out, fence", i, v.nodes[i].incarnations, grant.fence, v.withGrantExecuted(i, grant))
		}
	}
}

// withGrantExecuted executes a grant on the instance of a node and records a violation.
func (v state) withGrantExecuted(i int, grant call) state {
	inst, other := &v.nodes[i].instance, v.nodes[1-i].instance
	if grant.fence < inst.highestFence {
		return v.withCallsSorted(i)
	}
	inst.highestFence, inst.heldFence, inst.heldSession = grant.fence, grant.fence, grant.session
	inst.highestHeldFence = max(inst.highestHeldFence, grant.fence)
	if grant.fence <= v.endedFence || grant.fence <= other.highestHeldFence {
		v.violation = staleFence
	}
	if other.heldFence != 0 {
		v.violation = twoHolders
	}
	return v.withCallsSorted(i)
}

// withRelease makes the instance of a node release the key and see a fence.
func (v state) withRelease(i int, fence uint8) state {
	inst := &v.nodes[i].instance
	inst.heldFence, inst.heldSession = 0, 0
	inst.highestFence = max(inst.highestFence, fence)
	return v.withCallsSorted(i)
}

// withCallsSorted sorts the calls in flight and drops those that would be rejected, because
// the highest fence of an instance never falls.
func (v state) withCallsSorted(i int) state {
	inst := &v.nodes[i].instance
	var kept [maxCalls]call
	count := 0
	for _, grant := range inst.calls {
		if grant == (call{}) || grant.fence < inst.highestFence {
			continue
		}
		at := count
		for at > 0 && kept[at-1].fence > grant.fence {
			kept[at] = kept[at-1]
			at--
		}
		kept[at] = grant
		count++
	}
	inst.calls = kept
	return v
}

// heartbeatOrRestart delivers heartbeats, which may be late: a heartbeat of any incarnation that
// ever ran may arrive at any time. It also restarts the sidecar, which loses its state.
func (g *generator) heartbeatOrRestart(i int) {
	for incarnation := uint8(1); incarnation <= g.from.nodes[i].incarnations; incarnation++ {
		v := g.from
		s := &v.nodes[i].sidecar
		if incarnation == s.believedIncarnation || s.formerIncarnations&(1<<incarnation) != 0 || v.used.heartbeats >= g.options.Heartbeats {
			continue
		}
		v.used.heartbeats++
		if s.believedIncarnation != 0 {
			s.formerIncarnations |= 1 << s.believedIncarnation
		}
		s.believedIncarnation = incarnation
		s.session, s.listedEpoch, s.assignedAfterConnect, s.clearFence = 0, 0, false, 0
		g.add("sidecar hears a heartbeat", i, incarnation, 0, v)
	}
	v := g.from
	if v.nodes[i].sidecar != (sidecar{}) && v.used.restarts < g.options.Restarts {
		v.used.restarts++
		v.nodes[i].sidecar, v.nodes[i].pendingList = sidecar{mayHaveOldCalls: g.options.Quiescence}, assignmentList{}
		g.add("sidecar starts again", i, 0, 0, v)
	}
}

// openSession opens or resumes a session for the incarnation that the sidecar believes is running.
func (g *generator) openSession(i int) {
	v := g.from
	n := &v.nodes[i]
	if n.sidecar.believedIncarnation == 0 || n.sidecar.session != 0 {
		return
	}
	if n.currentSession != 0 && n.sessionIncarnation == n.sidecar.believedIncarnation && !g.options.NewSessionOnRestart && n.sidecar.closedSession != n.currentSession {
		n.sidecar.session, n.pendingList = n.currentSession, assignmentList{}
		n.sidecar.listReceived, n.sidecar.openedOnConnection = false, false
		if g.options.CloseNamesProcess && n.closingSession == n.currentSession {
			// Only another process resumes a session that was closed. Control then rejects the close.
			n.closingSession, n.closeEpoch = 0, 0
		}
		g.add("session goes on, number", i, n.sessionIncarnation, n.currentSession, v)
		return
	}
	if v.used.sessions >= g.options.Sessions {
		return
	}
	v.used.sessions++
	v.revision++
	replaced := n.currentSession
	n.currentSession, n.sessionIncarnation = v.used.sessions, n.sidecar.believedIncarnation
	if g.options.RevisionEpochs {
		n.currentSession = v.revision
	}
	n.sidecar.session, n.pendingList = n.currentSession, assignmentList{}
	n.sidecar.listReceived, n.sidecar.openedOnConnection = false, g.options.ClearAfterList && n.sidecar.connectedIncarnation != 0
	if g.options.FreeOnClear || replaced == 0 {
		g.add("session opens, number", i, n.sessionIncarnation, n.currentSession, v)
		return
	}
	// The previous session counts as ended. The instance is sent a release once, which
	// may be lost.
	fence := v.record.epoch + 1
	v = v.withRecord(v.record.withoutSession(replaced), int(v.ownerNode))
	g.add("predecessor closed, session opens, number", i, v.nodes[i].sessionIncarnation, v.nodes[i].currentSession, v)
	if v.nodes[i].running {
		g.add("predecessor closed and released, session opens, number", i, v.nodes[i].sessionIncarnation, v.nodes[i].currentSession, v.withRelease(i, fence))
	}
}

// connectOrRefuse connects to the running instance and clears the connection, or has the
// connection refused if none is running.
func (g *generator) connectOrRefuse(i int) {
	v := g.from
	n := &v.nodes[i]
	if !n.running {
		n.sidecar.connectionRefused = n.sidecar.session != 0
		g.add("connection is refused", i, 0, 0, v)
		return
	}
	g.connect(i)
	g.clear(i)
}

func (g *generator) connect(i int) {
	v := g.from
	n := &v.nodes[i]
	s := &n.sidecar
	s.connectedIncarnation = n.incarnations
	s.assignedAfterConnect, n.assignedAfterConnect, s.openedOnConnection = false, false, false
	if g.options.ClearedConnection {
		s.clearFence = 0
	}
	if g.options.FinalClose {
		s.connectionRefused = false
	}
	g.add("sidecar connects", i, n.incarnations, 0, v)
}

// clear executes a clear that is answered. One whose answer is lost needs no event: the
// instance would hold less and reject more than without it, and no other component would see it.
func (g *generator) clear(i int) {
	v := g.from
	s := &v.nodes[i].sidecar
	if s.connectedIncarnation == 0 || s.session == 0 || s.clearFence != 0 {
		return
	}
	fence := max(s.session, s.highestEpoch)
	s.clearFence, s.mayHaveOldCalls = 1, false
	if g.options.FenceAboveClear || g.options.ClearAfterList {
		s.clearFence = fence
	}
	if g.options.ClearAfterList {
		switch {
		case s.openedOnConnection:
			fence, s.clearFence = s.session, s.session
		case !s.listReceived && !g.options.ClearBeforeList:
			return
		case !g.options.ClearSameFence:
			fence++
		}
		s.openedOnConnection = false
	}
	v.nodes[i].clearedSession = s.session
	if !g.options.ClearFirst {
		g.add("connection counts as clear", i, v.nodes[i].incarnations, 0, v)
		return
	}
	g.add("clear is answered, fence", i, v.nodes[i].incarnations, fence, v.withRelease(i, fence))
}

// receiveList generates the events of a list: control's current list arrives at the sidecar, the sidecar
// releases a key whose epoch is stale, or a list is delayed or arrives late.
func (g *generator) receiveList(i int) {
	v := g.from
	n := &v.nodes[i]
	s := &n.sidecar
	if s.session == 0 {
		return
	}
	n.pendingList = assignmentList{} // lists arrive in the order in which they were made
	if n.currentSession != s.session {
		s.session = 0
	}
	s.listedEpoch, s.assignedAfterConnect, s.listReceived = 0, false, g.options.ClearAfterList
	if g.options.ClearAfterList {
		s.highestEpoch = max(s.highestEpoch, v.revision)
	}
	if v.record.owner == s.session {
		s.listedEpoch, s.assignedAfterConnect = v.record.epoch, n.assignedAfterConnect
		s.highestEpoch = max(s.highestEpoch, s.listedEpoch)
	}
	if s.listedEpoch == 0 {
		g.add("list arrives without the key", i, 0, 0, v)
	} else {
		g.add("list arrives, epoch", i, 0, s.listedEpoch, v)
	}
	g.releaseStale(i)
	g.delayList(i)
}

// delayList makes a list that will arrive late, or delivers one.
func (g *generator) delayList(i int) {
	v := g.from
	n := &v.nodes[i]
	session := n.sidecar.session
	if n.pendingList.session == session {
		g.add("late list arrives, epoch", i, 0, n.pendingList.epoch, v.withListReceived(g.options, i))
	}
	if v.used.lateLists >= g.options.LateLists {
		return
	}
	v.used.lateLists++
	delayed := assignmentList{session: session, revision: v.revision, sessionInvalid: n.currentSession != session}
	if !delayed.sessionInvalid && v.record.owner == session {
		delayed.epoch = v.record.epoch
	}
	n.pendingList = delayed
	g.add("control makes a list that will be late, epoch", i, 0, delayed.epoch, v)
}

// withListReceived delivers the pending list to the sidecar.
func (v state) withListReceived(options Options, i int) state {
	n := &v.nodes[i]
	s, received := &n.sidecar, n.pendingList
	n.pendingList = assignmentList{}
	s.listedEpoch, s.assignedAfterConnect, s.listReceived = received.epoch, n.assignedAfterConnect && v.record == record{received.session, received.epoch}, options.ClearAfterList
	s.highestEpoch = max(s.highestEpoch, received.epoch)
	if options.ClearAfterList {
		s.highestEpoch = max(s.highestEpoch, received.revision)
	}
	if received.sessionInvalid {
		s.session = 0
	}
	return v
}

func (g *generator) releaseStale(i int) {
	v := g.from
	s := &v.nodes[i].sidecar
	isStale := g.options.ClearedConnection && s.clearFence != 0 && s.listedEpoch != 0 && !g.isGrantable(*s)
	if !isStale || v.record != (record{s.session, s.listedEpoch}) {
		return
	}
	if g.options.StaleReleaseFrees {
		v = v.withRecord(v.record.withRelease(s.session, s.listedEpoch), 0)
		epoch := s.listedEpoch
		v.nodes[i].sidecar.listedEpoch, v.nodes[i].sidecar.assignedAfterConnect = 0, false
		g.add("key is handed back, epoch", i, 0, epoch, v)
		return
	}
	if v.used.assignments >= g.options.Assignments {
		return
	}
	released := v.record.withRelease(s.session, s.listedEpoch)
	session := s.session
	s.listedEpoch, s.assignedAfterConnect = 0, false
	v = g.assign(v.withRecord(released, 0), i, session)
	g.add("key is handed back and assigned again, epoch", i, 0, v.record.epoch, v)
}

// isGrantable reports whether a grant may have the fence of the list.
func (g *generator) isGrantable(s sidecar) bool {
	if g.options.FenceAboveClear || g.options.ClearAfterList {
		return s.listedEpoch > s.clearFence
	}
	return s.assignedAfterConnect
}

func (g *generator) assign(v state, i int, session uint8) state {
	v.used.assignments++
	v.revision++
	epoch := v.record.epoch + 1
	if g.options.RevisionEpochs {
		epoch = max(epoch, v.revision)
	}
	v.nodes[i].assignedAfterConnect = v.nodes[i].sidecar.connectedIncarnation != 0
	return v.withRecord(v.record.withOwner(session, epoch), i)
}

// sendGrant sends a grant. The instance executes it at once, late, twice or never.
func (g *generator) sendGrant(i int) {
	v := g.from
	n := &v.nodes[i]
	s := n.sidecar
	if s.session == 0 || s.listedEpoch == 0 || !n.running || s.listedEpoch < n.instance.highestFence {
		return
	}
	if g.options.ClearFirst && s.clearFence == 0 {
		return
	}
	if g.options.ClearedConnection && (s.connectedIncarnation == 0 || !g.isGrantable(s)) {
		return
	}
	if g.options.Quiescence && n.quiescent && !g.options.QuiescenceUnnotified {
		return
	}
	grant := call{s.listedEpoch, s.session}
	for c := range min(g.options.LateCalls, maxCalls) {
		if n.instance.calls[c] == grant {
			return
		}
		if n.instance.calls[c] == (call{}) {
			n.instance.calls[c] = grant
			g.add("grant is sent, fence", i, n.incarnations, s.listedEpoch, v.withCallsSorted(i))
			return
		}
	}
}

// reportQuiescence notifies control that no grant can be executed any more, or that one may be again.
// Package quiescence defines the order of these messages; here they arrive at once.
func (g *generator) reportQuiescence(i int) {
	if !g.options.Quiescence {
		return
	}
	v := g.from
	n := &v.nodes[i]
	s := n.sidecar
	if n.quiescent {
		n.quiescent = false
		g.add("control hears that grants may be under way", i, 0, 0, v)
		return
	}
	inFlight := n.instance.calls != [maxCalls]call{}
	if s.session == 0 || s.session != n.currentSession || inFlight && (!s.mayHaveOldCalls || !g.options.QuiescenceUncleared) || s.mayHaveOldCalls && !g.options.QuiescenceUncleared {
		return
	}
	n.quiescent = true
	g.add("control hears that no grant is under way", i, 0, 0, v)
}

// releaseOnRequest: control requests a release, the instance answers it under the next fence,
// and control is notified, possibly late.
func (g *generator) releaseOnRequest(i int) {
	v := g.from
	n := &v.nodes[i]
	s := &n.sidecar
	if s.listedEpoch == 0 || s.session == 0 || !n.running || s.connectedIncarnation == 0 || n.releasedEpoch != 0 || v.used.moves >= g.options.Moves {
		return
	}
	v.used.moves++
	n.releasedEpoch, n.releasingSession = s.listedEpoch, s.session
	fence := s.listedEpoch + 1
	s.listedEpoch, s.assignedAfterConnect = 0, false
	g.add("release is answered, fence", i, n.incarnations, fence, v.withRelease(i, fence))
}

// closeSession closes a session whose instance refused connections.
func (g *generator) closeSession(i int) {
	v := g.from
	n := &v.nodes[i]
	s := &n.sidecar
	if !s.connectionRefused || s.session == 0 || n.closingSession != 0 {
		return
	}
	session := s.session
	n.closingSession = session
	if g.options.CloseNamesEpoch {
		n.closeEpoch = s.highestEpoch
	}
	s.connectionRefused = false
	if g.options.FinalClose {
		s.closedSession = session
		s.session, s.listedEpoch, s.assignedAfterConnect, s.clearFence = 0, 0, false, 0
	}
	if !g.options.LateCloses {
		v = v.withClose(g.options, i)
	}
	g.add("sidecar ends session", i, 0, session, v)
}

// withClose makes control handle the close of a session.
func (v state) withClose(options Options, i int) state {
	n := &v.nodes[i]
	session, closeEpoch := n.closingSession, n.closeEpoch
	n.closingSession, n.closeEpoch = 0, 0
	if options.CloseNamesEpoch && v.record.owner == session && v.record.epoch > closeEpoch {
		return v
	}
	return v.withoutSession(i, session)
}

// withoutSession closes a session of node i at control.
func (v state) withoutSession(i int, session uint8) state {
	if v.nodes[i].currentSession == session {
		v.nodes[i].currentSession, v.nodes[i].sessionIncarnation = 0, 0
	}
	return v.withRecord(v.record.withoutSession(session), int(v.ownerNode))
}

// controlEvents makes control handle messages, and assign the key when it is free.
func (g *generator) controlEvents(i int) {
	n := g.from.nodes[i]
	if n.closingSession != 0 {
		g.add("control hears of the end of session", i, 0, n.closingSession, g.from.withClose(g.options, i))
	}
	if n.releasedEpoch != 0 {
		v := g.from
		v.nodes[i].releasedEpoch, v.nodes[i].releasingSession = 0, 0
		v = v.withRecord(v.record.withRelease(n.releasingSession, n.releasedEpoch), int(v.ownerNode))
		g.add("control hears of the release, epoch", i, 0, n.releasedEpoch, v)
	}
	if n.clearedSession != 0 {
		v := g.from
		v.nodes[i].clearedSession = 0
		if v.isSuperseded(i) && v.record.owner < n.clearedSession {
			v = v.withoutSession(i, v.record.owner)
		}
		g.add("control hears of the clear of session", i, 0, n.clearedSession, v)
	}
	if g.from.record.owner == 0 && n.currentSession != 0 && g.from.used.assignments < g.options.Assignments {
		v := g.assign(g.from, i, n.currentSession)
		g.add("control assigns the key, epoch", i, 0, v.record.epoch, v)
	}
}

// expireLeases ends leases. What the instance holds under a lease has ended by then.
func (g *generator) expireLeases(i int) {
	n := g.from.nodes[i]
	if n.currentSession != 0 {
		g.expireLease(i, n.currentSession)
	}
	if g.from.isSuperseded(i) {
		g.expireLease(i, g.from.record.owner)
	}
}

func (g *generator) expireLease(i int, session uint8) {
	v := g.from
	n := &v.nodes[i]
	if g.options.Quiescence && !n.quiescent && n.instance.hasCallOf(session) {
		return // the lease ends once the grant cannot be executed any more
	}
	if n.instance.heldSession == session {
		n.instance.heldFence, n.instance.heldSession = 0, 0
	}
	if s := &n.sidecar; s.session == session {
		s.session, s.listedEpoch, s.assignedAfterConnect, s.clearFence = 0, 0, false, 0
	}
	if !g.options.LateAfterLease {
		for c, grant := range n.instance.calls {
			if grant.session == session {
				n.instance.calls[c] = call{}
			}
		}
	}
	g.add("lease is over of session", i, 0, session, v.withCallsSorted(i).withoutSession(i, session))
}
