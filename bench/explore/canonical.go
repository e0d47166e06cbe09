// Reduces states to what later events depend on before they are compared. Two states
// with the same canonical form violate the same rules after the same events, so the
// result is the same with fewer visited states.
package explore

// canonicalForm returns a state without everything that no later event depends on.
func canonicalForm(options Options, v state) state {
	lowest := v.lowestGrantFence()
	if v.endedFence < lowest {
		v.endedFence = 0
	}
	for i := range nodes {
		v.nodes[i] = v.canonicalNode(options, i)
		v.nodes[i].sidecar = v.canonicalSidecar(options, i)
		v.nodes[i].instance = v.canonicalInstance(options, i, lowest)
	}
	return v
}

// canonicalNode drops messages that would change nothing at control, and fields that no later event
// reads. The messages cannot take effect later either, because control never assigns the key to a session
// that is not current.
func (v state) canonicalNode(options Options, i int) node {
	n := v.nodes[i]
	if !v.isSuperseded(i) || v.record.owner >= n.clearedSession {
		n.clearedSession = 0
	}
	if n.closingSession != n.currentSession && n.closingSession != v.record.owner {
		n.closingSession, n.closeEpoch = 0, 0
	}
	if (record{n.releasingSession, n.releasedEpoch}) != v.record {
		n.releasingSession, n.releasedEpoch = 0, 0
	}
	if v.record.owner != n.currentSession || n.currentSession == 0 || !options.ClearedConnection || options.ClearAfterList {
		n.assignedAfterConnect = false
	}
	if n.pendingList.session != n.sidecar.session {
		n.pendingList = assignmentList{} // the sidecar no longer has the session
	}
	if n.incarnations == options.Incarnations[i] && v.used.heartbeats >= options.Heartbeats && n.sidecar.believedIncarnation == 0 && n.sidecar.session == 0 {
		n.sessionIncarnation = 0 // no later event compares it
	}
	return n
}

func (v state) canonicalSidecar(options Options, i int) sidecar {
	s := v.nodes[i].sidecar
	if v.used.heartbeats >= options.Heartbeats {
		s.formerIncarnations = 0 // no further heartbeat arrives
	}
	// The fence of a clear is the higher of the session number and highestEpoch, and session numbers only rise.
	if s.highestEpoch <= s.session && !options.CloseNamesEpoch || !options.ClearFirst {
		s.highestEpoch = 0
	}
	if s.closedSession != v.nodes[i].currentSession {
		s.closedSession = 0 // the session can no longer be resumed
	}
	if !options.ClearedConnection || s.listedEpoch == 0 || options.FenceAboveClear || options.ClearAfterList {
		s.assignedAfterConnect = false
	}
	if options.orderOnly() {
		if !options.CloseNamesEpoch {
			s.highestEpoch = v.highestFenceUpTo(i, s.highestEpoch)
		}
		if s.clearFence != 0 {
			s.clearFence = max(1, v.highestFenceUpTo(i, s.clearFence))
		}
	}
	if !options.ClearAfterList || s.session == 0 {
		s.listReceived, s.openedOnConnection = false, false
	}
	return s
}

// canonicalInstance drops fences that make no difference any more: a highest fence that is not above any
// that the instance may still receive, and a highest held fence below all under which another incarnation may
// still acquire the key. Where only the order of fences matters, it lowers the highest fence.
func (v state) canonicalInstance(options Options, i int, lowest uint8) instance {
	inst := v.nodes[i].instance
	s, pending := v.nodes[i].sidecar, v.nodes[i].pendingList
	if inst.highestFence <= v.lowestNewFence() && (s.listedEpoch == 0 || inst.highestFence <= s.listedEpoch) && (pending.epoch == 0 || inst.highestFence <= pending.epoch) {
		inst.highestFence = 0
	}
	if options.orderOnly() && inst.highestFence != 0 {
		inst.highestFence = v.highestFenceUpTo(i, inst.highestFence-1) + 1
	}
	if inst.highestHeldFence < lowest {
		inst.highestHeldFence = 0
	}
	return inst
}

// orderOnly reports whether only the order of a node's fences relative to the existing ones
// matters. Future fences are above all of them, as all are revisions of one log.
func (r Rules) orderOnly() bool { return r.ClearAfterList && r.RevisionEpochs && !r.ClearSameFence }

// highestFenceUpTo returns the highest fence up to limit that node i may still receive, or 0.
func (v state) highestFenceUpTo(i int, limit uint8) uint8 {
	n := &v.nodes[i]
	highest := uint8(0)
	for _, fence := range [...]uint8{v.record.epoch, n.sidecar.listedEpoch, n.pendingList.epoch, n.instance.calls[0].fence, n.instance.calls[1].fence, n.instance.calls[2].fence} {
		if fence <= limit {
			highest = max(highest, fence)
		}
	}
	return highest
}

// lowestNewFence returns the lowest fence that a list made from now on can contain.
func (v state) lowestNewFence() uint8 {
	if v.record.owner != 0 {
		return v.record.epoch
	}
	return v.record.epoch + 1
}

// lowestGrantFence returns the lowest fence under which an instance can still acquire the key.
func (v state) lowestGrantFence() uint8 {
	lowest := v.lowestNewFence()
	for _, n := range v.nodes {
		if n.sidecar.listedEpoch != 0 {
			lowest = min(lowest, n.sidecar.listedEpoch)
		}
		if n.pendingList.epoch != 0 {
			lowest = min(lowest, n.pendingList.epoch)
		}
		for _, grant := range n.instance.calls {
			if grant.fence != 0 {
				lowest = min(lowest, grant.fence)
			}
		}
	}
	return lowest
}

// appendTo appends all fields of the state to b.
func (v state) appendTo(b []byte) []byte {
	u := v.used
	b = append(b, v.record.owner, v.record.epoch, v.ownerNode, v.revision, v.endedFence, byte(v.violation))
	b = append(b, u.heartbeats, u.restarts, u.sessions, u.assignments, u.moves, u.lateLists)
	for i := range v.nodes {
		b = v.nodes[i].appendTo(b)
	}
	return b
}

func (n *node) appendTo(b []byte) []byte {
	s, inst := &n.sidecar, &n.instance
	b = append(b, n.currentSession, n.sessionIncarnation, n.clearedSession, n.closingSession, n.closeEpoch, n.releasedEpoch, n.releasingSession, n.incarnations)
	b = append(b, s.believedIncarnation, s.formerIncarnations, s.session, s.listedEpoch, s.highestEpoch, s.connectedIncarnation, s.clearFence, s.closedSession)
	b = append(b, n.pendingList.session, n.pendingList.epoch, n.pendingList.revision)
	b = append(b, packBools(n.assignedAfterConnect, n.running, s.assignedAfterConnect, s.connectionRefused, s.listReceived, s.openedOnConnection, n.pendingList.sessionInvalid), packBools(n.quiescent, s.mayHaveOldCalls))
	b = append(b, inst.highestFence, inst.heldFence, inst.heldSession, inst.highestHeldFence)
	for _, grant := range inst.calls {
		b = append(b, grant.fence, grant.session)
	}
	return b
}

func packBools(values ...bool) byte {
	b := byte(0)
	for _, value := range values {
		b <<= 1
		if value {
			b |= 1
		}
	}
	return b
}
