// What no later event can tell is left out of a state before it is compared. This
// changes no result: two states with the same canonical form break the same rules
// after the same events. It only saves visits.
package explore

// canonical is a state without what no later event depends on.
func canonical(options Options, v state) state {
	lowest := v.lowestFence()
	if v.dead < lowest {
		v.dead = 0
	}
	for i := range nodes {
		v.nodes[i] = v.canonicalNode(options, i)
		v.nodes[i].sidecar = v.canonicalSidecar(options, i)
		v.nodes[i].instance = v.canonicalInstance(options, i, lowest)
	}
	return v
}

// canonicalNode is without messages that would change nothing at control: it never
// assigns the key to a session that is not the current one, so that they never will.
func (v state) canonicalNode(options Options, i int) node {
	n := v.nodes[i]
	if !v.superseded(i) || v.record.owner >= n.proof {
		n.proof = 0
	}
	if n.ending != n.current && n.ending != v.record.owner {
		n.ending, n.endKnown = 0, 0
	}
	if (record{n.releaser, n.released}) != v.record {
		n.releaser, n.released = 0, 0
	}
	if v.record.owner != n.current || n.current == 0 || !options.Connection || options.ByList {
		n.fresh = false
	}
	if n.list.session != n.sidecar.session {
		n.list = list{} // of a session that the sidecar has no more
	}
	if n.lives == options.Lives[i] && v.used.beats >= options.Beats && n.sidecar.believes == 0 && n.sidecar.session == 0 {
		n.currentLife = 0 // nobody will ask for it
	}
	return n
}

func (v state) canonicalSidecar(options Options, i int) sidecar {
	s := v.nodes[i].sidecar
	if v.used.beats >= options.Beats {
		s.former = 0 // nothing else will be heard of
	}
	// The fence of a clear is the higher of the two, and sessions only rise.
	if s.known <= s.session && !options.EndNamesEpoch || !options.Clear {
		s.known = 0
	}
	if s.ended != v.nodes[i].current {
		s.ended = 0 // no longer to be had
	}
	if !options.Connection || s.list == 0 || options.FenceAboveClear || options.ByList {
		s.fresh = false
	}
	if options.comparesOnly() {
		if !options.EndNamesEpoch {
			s.known = v.highestFence(i, s.known)
		}
		if s.cleared != 0 {
			s.cleared = max(1, v.highestFence(i, s.cleared))
		}
	}
	if !options.ByList || s.session == 0 {
		s.listed, s.opened = false, false
	}
	return s
}

// canonicalInstance is without fences that are below all that it may still be shown,
// and below all that another life may still take.
func (v state) canonicalInstance(options Options, i int, lowest uint8) instance {
	app := v.nodes[i].instance
	s, came := v.nodes[i].sidecar, v.nodes[i].list
	if app.seen <= v.nextFence() && (s.list == 0 || app.seen <= s.list) && (came.epoch == 0 || app.seen <= came.epoch) {
		app.seen = 0
	}
	if options.comparesOnly() && app.seen != 0 {
		app.seen = v.highestFence(i, app.seen-1) + 1
	}
	if app.held < lowest {
		app.held = 0
	}
	return app
}

// comparesOnly tells whether the fences that a node knows matter only by which of those that there are
// is above them: those to come are above all that it knows, as all are revisions of one log.
func (r Rules) comparesOnly() bool { return r.ByList && r.Epochs && !r.ByListSameFence }

// highestFence is the highest of those that node i may still be told, not above a limit; 0: none.
func (v state) highestFence(i int, limit uint8) uint8 {
	n := &v.nodes[i]
	highest := uint8(0)
	for _, fence := range [...]uint8{v.record.epoch, n.sidecar.list, n.list.epoch, n.instance.calls[0].fence, n.instance.calls[1].fence, n.instance.calls[2].fence} {
		if fence <= limit {
			highest = max(highest, fence)
		}
	}
	return highest
}

// nextFence is the lowest that any list may yet bring.
func (v state) nextFence() uint8 {
	if v.record.owner != 0 {
		return v.record.epoch
	}
	return v.record.epoch + 1
}

// lowestFence is the lowest that any life may yet take the key under.
func (v state) lowestFence() uint8 {
	lowest := v.nextFence()
	for _, n := range v.nodes {
		if n.sidecar.list != 0 {
			lowest = min(lowest, n.sidecar.list)
		}
		if n.list.epoch != 0 {
			lowest = min(lowest, n.list.epoch)
		}
		for _, grant := range n.instance.calls {
			if grant.fence != 0 {
				lowest = min(lowest, grant.fence)
			}
		}
	}
	return lowest
}

// appendTo writes all fields of a state.
func (v state) appendTo(b []byte) []byte {
	u := v.used
	b = append(b, v.record.owner, v.record.epoch, v.ownerNode, v.revision, v.dead, byte(v.broken))
	b = append(b, u.beats, u.restarts, u.sessions, u.assignments, u.moves, u.lateLists)
	for i := range v.nodes {
		b = v.nodes[i].appendTo(b)
	}
	return b
}

func (n *node) appendTo(b []byte) []byte {
	s, app := &n.sidecar, &n.instance
	b = append(b, n.current, n.currentLife, n.proof, n.ending, n.endKnown, n.released, n.releaser, n.lives)
	b = append(b, s.believes, s.former, s.session, s.list, s.known, s.connected, s.cleared, s.ended)
	b = append(b, n.list.session, n.list.epoch, n.list.revision)
	b = append(b, bits(n.fresh, n.running, s.fresh, s.refused, s.listed, s.opened, n.list.gone), bits(n.quiet, s.unsure))
	b = append(b, app.seen, app.holds, app.via, app.held)
	for _, grant := range app.calls {
		b = append(b, grant.fence, grant.session)
	}
	return b
}

func bits(values ...bool) byte {
	b := byte(0)
	for _, value := range values {
		b <<= 1
		if value {
			b |= 1
		}
	}
	return b
}
