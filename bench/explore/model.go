// The model: what each part remembers, and each event that may come next. Time is not
// counted: a lease may end whenever it likes, and the holds that its session gave end
// before it, because holds are shorter than leases. A grant that is carried out after
// it is another matter: see Bounds.LateAfterLease and Rules.Quiet.
package explore

import (
	"fmt"
	"slices"

	"limehold/membership"
	"limehold/ownership"
)

const (
	// nodes is the least number with which a key can have two holders.
	nodes = 2
	// maxCalls that are under way to a life, so that a state has a fixed size.
	maxCalls = 3
)

// key is the one that the model is about.
var key = ownership.Key{Service: "model"}

// breach is the rule that a state breaks.
type breach uint8

const (
	unbroken breach = iota
	// twoHolders: lives of both nodes hold the key at once.
	twoHolders
	// oldFence: a life took the key under a fence that is not above each under which
	// another life held it.
	oldFence
)

// String says the breach in a trace.
func (b breach) String() string {
	return [...]string{"", "two lives hold the key", "the fence is not above another life's"}[b]
}

// record is what control says of the key. Owner 0: it is free.
type record struct {
	owner, epoch uint8
}

// table is the real code's form of a record.
func (r record) table() *ownership.Table {
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
	t := r.table()
	if err := t.Assign(key, uint64(r.epoch), uint64(epoch), membership.SessionID(session)); err != nil {
		panic(err) // the model assigns free keys only
	}
	return recordOf(t)
}

// withRelease is refused, without effect, unless the owner speaks of the epoch in force.
func (r record) withRelease(session, epoch uint8) record {
	if r.owner != session {
		return r // as the table would say, which takes longer
	}
	t := r.table()
	if _, err := t.Release(key, uint64(epoch), membership.SessionID(session), ""); err != nil {
		return r
	}
	return recordOf(t)
}

func (r record) withoutSession(session uint8) record {
	if r.owner != session {
		return r // as above
	}
	t := r.table()
	t.CloseSession(membership.SessionID(session))
	return recordOf(t)
}

// sent tells whether a grant of a session is under way to the life.
func (a instance) sent(session uint8) bool {
	return slices.ContainsFunc(a.calls[:], func(c call) bool { return c.session == session })
}

// call is a grant that is under way to a life.
type call struct {
	fence, session uint8
}

// instance is the life that runs; the zero value has seen nothing and holds nothing.
type instance struct {
	// seen is the highest fence; holds the one that the key is held under, or 0, and
	// via the session whose grant that was.
	seen, holds, via uint8
	// held is the highest fence that the key was ever held under.
	held  uint8
	calls [maxCalls]call
}

// sidecar is what the agent and the carrier of a node remember.
type sidecar struct {
	// believes is the life heard last; former has a bit for each that was before.
	believes, former uint8
	session          uint8
	// list is the epoch under which control's list names the key, 0 if it does not;
	// fresh: that was assigned after the connection was made.
	list  uint8
	fresh bool
	// known is the highest epoch that any list had.
	known uint8
	// connected is the life that accepted the connection; one that ends takes the
	// connection with it.
	connected uint8
	// cleared is the fence of the clear that was answered, 0 before.
	cleared uint8
	// listed: a list of the session has arrived; opened: the session began over the present
	// connection, and no clear was answered since (both Rules.ByList).
	listed, opened bool
	// refused: a connection was refused, and (Rules.Ended) none was made since.
	refused bool
	// ended is the session that it ended last (Rules.Ended): it takes that no more.
	ended uint8
	// unsure: an earlier process may have sent grants, and the instance was not cleared since
	// (Rules.Quiet).
	unsure bool
}

// list is one that control made for a session, on its way to the sidecar.
type list struct {
	// epoch is 0 if the list does not name the key; revision is of control's log.
	session, epoch, revision uint8
	// gone: the session was not the node's any more.
	gone bool
}

// node is a sidecar and its instance, and what control knows of them.
type node struct {
	// current is control's session of the node, for the life currentLife.
	current, currentLife uint8
	// fresh: control assigned the key after the node's connection was made.
	fresh bool
	// proof, ending: messages on their way to control, by their session: its clear
	// was answered; it has ended. endKnown is the epoch that the end names.
	proof, ending, endKnown uint8
	// released is the epoch of a release on its way to control, releaser its session.
	released, releaser uint8
	sidecar            sidecar
	// quiet: control believes that no grant of the node can be carried out (Rules.Quiet).
	quiet bool
	// list is on its way to the sidecar (Bounds.LateLists).
	list list
	// lives is how many have started; the last of them runs, if any does.
	lives    uint8
	running  bool
	instance instance
}

// used counts the events that are bounded.
type used struct {
	beats, restarts, sessions, assignments, moves, lateLists uint8
}

// state is all of the model. It is comparable; see canonical.
type state struct {
	record    record
	ownerNode uint8
	revision  uint8
	// dead is the highest fence under which a life held the key that runs no more.
	dead   uint8
	used   used
	nodes  [nodes]node
	broken breach
}

// step is an event and the state that follows it.
type step struct {
	what string
	node int
	// life, number: what the event is about, if anything; what ends with the word
	// that the number belongs to.
	life, number uint8
	to           state
}

// String says the event in a trace.
func (s step) String() string {
	text := fmt.Sprintf("node %d: %s", s.node+1, s.what)
	if s.number != 0 {
		text += fmt.Sprintf(" %d", s.number)
	}
	if s.life != 0 {
		text += fmt.Sprintf(", life %d", s.life)
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

// superseded tells whether the key belongs to a session of node i that is not its
// current one.
func (v state) superseded(i int) bool {
	return v.record.owner != 0 && int(v.ownerNode) == i && v.record.owner != v.nodes[i].current
}

// generator collects the successors of one state.
type generator struct {
	options Options
	from    state
	steps   []step
}

func (g *generator) add(what string, i int, life, number uint8, to state) {
	if to != g.from {
		g.steps = append(g.steps, step{what, i, life, number, to})
	}
}

// successors lists each event that may come next, in a fixed order. The list is
// written over buffer, which may be nil.
func successors(options Options, from state, buffer []step) []step {
	g := &generator{options: options, from: from, steps: buffer[:0]}
	for i := range nodes {
		g.lives(i)
		g.instance(i)
		g.belief(i)
		g.sessions(i)
		g.connections(i)
		g.list(i)
		g.grants(i)
		g.quiet(i)
		g.moves(i)
		g.ends(i)
		g.control(i)
		g.leases(i)
	}
	return g.steps
}

// lives starts and ends an instance.
func (g *generator) lives(i int) {
	v := g.from
	n := &v.nodes[i]
	if !n.running {
		if n.lives < g.options.Lives[i] {
			n.lives++
			n.running = true
			g.add("instance starts and listens", i, n.lives, 0, v)
		}
		return
	}
	v.dead = max(v.dead, n.instance.held)
	n.running, n.instance = false, instance{}
	n.sidecar.connected, n.sidecar.opened = 0, false
	if g.options.Connection {
		n.sidecar.cleared = 0
	}
	g.add("instance ends", i, n.lives, 0, v)
}

// instance carries out the grants that are under way. A hold that ends before its
// lease has no event of its own: a life that still holds can do all that this one can.
func (g *generator) instance(i int) {
	for c, grant := range g.from.nodes[i].instance.calls {
		if grant != (call{}) {
			v := g.from
			if !g.options.Doubled {
				v.nodes[i].instance.calls[c] = call{}
			}
			g.add("grant is carried out, fence", i, v.nodes[i].lives, grant.fence, v.withGrant(i, grant))
		}
	}
}

// withGrant has the life of a node carry out a grant, and judges that.
func (v state) withGrant(i int, grant call) state {
	app, other := &v.nodes[i].instance, v.nodes[1-i].instance
	if grant.fence < app.seen {
		return v.withCallsSorted(i)
	}
	app.seen, app.holds, app.via = grant.fence, grant.fence, grant.session
	app.held = max(app.held, grant.fence)
	if grant.fence <= v.dead || grant.fence <= other.held {
		v.broken = oldFence
	}
	if other.holds != 0 {
		v.broken = twoHolders
	}
	return v.withCallsSorted(i)
}

// withRelease has the life of a node drop the key and see a fence.
func (v state) withRelease(i int, fence uint8) state {
	app := &v.nodes[i].instance
	app.holds, app.via = 0, 0
	app.seen = max(app.seen, fence)
	return v.withCallsSorted(i)
}

// withCallsSorted brings the calls under way into one order, without those that
// would be refused: a life's fence never falls.
func (v state) withCallsSorted(i int) state {
	app := &v.nodes[i].instance
	var kept [maxCalls]call
	count := 0
	for _, grant := range app.calls {
		if grant == (call{}) || grant.fence < app.seen {
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
	app.calls = kept
	return v
}

// belief is heartbeats: any life that ever ran may be heard of at any time, as they
// arrive late; and a sidecar that forgets.
func (g *generator) belief(i int) {
	for life := uint8(1); life <= g.from.nodes[i].lives; life++ {
		v := g.from
		s := &v.nodes[i].sidecar
		if life == s.believes || s.former&(1<<life) != 0 || v.used.beats >= g.options.Beats {
			continue
		}
		v.used.beats++
		if s.believes != 0 {
			s.former |= 1 << s.believes
		}
		s.believes = life
		s.session, s.list, s.fresh, s.cleared = 0, 0, false, 0
		g.add("sidecar hears a heartbeat", i, life, 0, v)
	}
	v := g.from
	if v.nodes[i].sidecar != (sidecar{}) && v.used.restarts < g.options.Restarts {
		v.used.restarts++
		v.nodes[i].sidecar, v.nodes[i].list = sidecar{unsure: g.options.Quiet}, list{}
		g.add("sidecar starts again", i, 0, 0, v)
	}
}

// sessions opens one for the life that the sidecar believes in.
func (g *generator) sessions(i int) {
	v := g.from
	n := &v.nodes[i]
	if n.sidecar.believes == 0 || n.sidecar.session != 0 {
		return
	}
	if n.current != 0 && n.currentLife == n.sidecar.believes && !g.options.OpensAnew && n.sidecar.ended != n.current {
		n.sidecar.session, n.list = n.current, list{}
		n.sidecar.listed, n.sidecar.opened = false, false
		if g.options.EndNamesProcess && n.ending == n.current {
			// Only another process takes up a session that was ended.
			n.ending, n.endKnown = 0, 0
		}
		g.add("session goes on, number", i, n.currentLife, n.current, v)
		return
	}
	if v.used.sessions >= g.options.Sessions {
		return
	}
	v.used.sessions++
	v.revision++
	replaced := n.current
	n.current, n.currentLife = v.used.sessions, n.sidecar.believes
	if g.options.Epochs {
		n.current = v.revision
	}
	n.sidecar.session, n.list = n.current, list{}
	n.sidecar.listed, n.sidecar.opened = false, g.options.ByList && n.sidecar.connected != 0
	if g.options.FreeOnProof || replaced == 0 {
		g.add("session opens, number", i, n.currentLife, n.current, v)
		return
	}
	// The predecessor counts as gone; the release that the instance is shown is tried
	// once.
	fence := v.record.epoch + 1
	v = v.withRecord(v.record.withoutSession(replaced), int(v.ownerNode))
	g.add("predecessor closed, session opens, number", i, v.nodes[i].currentLife, v.nodes[i].current, v)
	if v.nodes[i].running {
		g.add("predecessor closed and released, session opens, number", i, v.nodes[i].currentLife, v.nodes[i].current, v.withRelease(i, fence))
	}
}

// connections are made to whoever runs, refused if nobody does, and cleared.
func (g *generator) connections(i int) {
	v := g.from
	n := &v.nodes[i]
	if !n.running {
		n.sidecar.refused = n.sidecar.session != 0
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
	s.connected = n.lives
	s.fresh, n.fresh, s.opened = false, false, false
	if g.options.Connection {
		s.cleared = 0
	}
	if g.options.Ended {
		s.refused = false
	}
	g.add("sidecar connects", i, n.lives, 0, v)
}

// clear is carried out and answered. One whose answer is lost has no event: the life
// would hold less and refuse more than without it, and nobody would know.
func (g *generator) clear(i int) {
	v := g.from
	s := &v.nodes[i].sidecar
	if s.connected == 0 || s.session == 0 || s.cleared != 0 {
		return
	}
	fence := max(s.session, s.known)
	s.cleared, s.unsure = 1, false
	if g.options.FenceAboveClear || g.options.ByList {
		s.cleared = fence
	}
	if g.options.ByList {
		switch {
		case s.opened:
			fence, s.cleared = s.session, s.session
		case !s.listed && !g.options.ByListEarly:
			return
		case !g.options.ByListSameFence:
			fence++
		}
		s.opened = false
	}
	v.nodes[i].proof = s.session
	if !g.options.Clear {
		g.add("connection counts as clear", i, v.nodes[i].lives, 0, v)
		return
	}
	g.add("clear is answered, fence", i, v.nodes[i].lives, fence, v.withRelease(i, fence))
}

// list brings a sidecar what control says now, and hands back what is too old.
func (g *generator) list(i int) {
	v := g.from
	n := &v.nodes[i]
	s := &n.sidecar
	if s.session == 0 {
		return
	}
	n.list = list{} // lists arrive in the order in which they were made
	if n.current != s.session {
		s.session = 0
	}
	s.list, s.fresh, s.listed = 0, false, g.options.ByList
	if g.options.ByList {
		s.known = max(s.known, v.revision)
	}
	if v.record.owner == s.session {
		s.list, s.fresh = v.record.epoch, n.fresh
		s.known = max(s.known, s.list)
	}
	if s.list == 0 {
		g.add("list arrives without the key", i, 0, 0, v)
	} else {
		g.add("list arrives, epoch", i, 0, s.list, v)
	}
	g.handBack(i)
	g.lateList(i)
}

// lateList is made by control, and arrives.
func (g *generator) lateList(i int) {
	v := g.from
	n := &v.nodes[i]
	session := n.sidecar.session
	if n.list.session == session {
		g.add("late list arrives, epoch", i, 0, n.list.epoch, v.withList(g.options, i))
	}
	if v.used.lateLists >= g.options.LateLists {
		return
	}
	v.used.lateLists++
	made := list{session: session, revision: v.revision, gone: n.current != session}
	if !made.gone && v.record.owner == session {
		made.epoch = v.record.epoch
	}
	n.list = made
	g.add("control makes a list that will be late, epoch", i, 0, made.epoch, v)
}

// withList has a sidecar take the list that is on its way to it.
func (v state) withList(options Options, i int) state {
	n := &v.nodes[i]
	s, came := &n.sidecar, n.list
	n.list = list{}
	s.list, s.fresh, s.listed = came.epoch, n.fresh && v.record == record{came.session, came.epoch}, options.ByList
	s.known = max(s.known, came.epoch)
	if options.ByList {
		s.known = max(s.known, came.revision)
	}
	if came.gone {
		s.session = 0
	}
	return v
}

func (g *generator) handBack(i int) {
	v := g.from
	s := &v.nodes[i].sidecar
	wanted := g.options.Connection && s.cleared != 0 && s.list != 0 && !g.mayCarry(*s)
	if !wanted || v.record != (record{s.session, s.list}) {
		return
	}
	if g.options.HandedBackIsFree {
		v = v.withRecord(v.record.withRelease(s.session, s.list), 0)
		epoch := s.list
		v.nodes[i].sidecar.list, v.nodes[i].sidecar.fresh = 0, false
		g.add("key is handed back, epoch", i, 0, epoch, v)
		return
	}
	if v.used.assignments >= g.options.Assignments {
		return
	}
	released := v.record.withRelease(s.session, s.list)
	session := s.session
	s.list, s.fresh = 0, false
	v = g.assign(v.withRecord(released, 0), i, session)
	g.add("key is handed back and assigned again, epoch", i, 0, v.record.epoch, v)
}

// mayCarry tells whether a grant may carry the fence of the list.
func (g *generator) mayCarry(s sidecar) bool {
	if g.options.FenceAboveClear || g.options.ByList {
		return s.list > s.cleared
	}
	return s.fresh
}

func (g *generator) assign(v state, i int, session uint8) state {
	v.used.assignments++
	v.revision++
	epoch := v.record.epoch + 1
	if g.options.Epochs {
		epoch = max(epoch, v.revision)
	}
	v.nodes[i].fresh = v.nodes[i].sidecar.connected != 0
	return v.withRecord(v.record.withOwner(session, epoch), i)
}

// grants are sent; carrying them out is the instance's, at once, late, twice or never.
func (g *generator) grants(i int) {
	v := g.from
	n := &v.nodes[i]
	s := n.sidecar
	if s.session == 0 || s.list == 0 || !n.running || s.list < n.instance.seen {
		return
	}
	if g.options.Clear && s.cleared == 0 {
		return
	}
	if g.options.Connection && (s.connected == 0 || !g.mayCarry(s)) {
		return
	}
	if g.options.Quiet && n.quiet && !g.options.QuietUntold {
		return
	}
	grant := call{s.list, s.session}
	for c := range min(g.options.LateCalls, maxCalls) {
		if n.instance.calls[c] == grant {
			return
		}
		if n.instance.calls[c] == (call{}) {
			n.instance.calls[c] = grant
			g.add("grant is sent, fence", i, n.lives, s.list, v.withCallsSorted(i))
			return
		}
	}
}

// quiet has control told that no grant can be carried out any more, or that one may be again. Package
// quiescence has the order of these words; here they come at once.
func (g *generator) quiet(i int) {
	if !g.options.Quiet {
		return
	}
	v := g.from
	n := &v.nodes[i]
	s := n.sidecar
	if n.quiet {
		n.quiet = false
		g.add("control hears that grants may be under way", i, 0, 0, v)
		return
	}
	under := n.instance.calls != [maxCalls]call{}
	if s.session == 0 || s.session != n.current || under && (!s.unsure || !g.options.QuietUncleared) || s.unsure && !g.options.QuietUncleared {
		return
	}
	n.quiet = true
	g.add("control hears that no grant is under way", i, 0, 0, v)
}

// moves: control asks for the key; the instance answers the release, under the next
// fence, and control hears of it, possibly late.
func (g *generator) moves(i int) {
	v := g.from
	n := &v.nodes[i]
	s := &n.sidecar
	if s.list == 0 || s.session == 0 || !n.running || s.connected == 0 || n.released != 0 || v.used.moves >= g.options.Moves {
		return
	}
	v.used.moves++
	n.released, n.releaser = s.list, s.session
	fence := s.list + 1
	s.list, s.fresh = 0, false
	g.add("release is answered, fence", i, n.lives, fence, v.withRelease(i, fence))
}

// ends a session whose instance refused connections.
func (g *generator) ends(i int) {
	v := g.from
	n := &v.nodes[i]
	s := &n.sidecar
	if !s.refused || s.session == 0 || n.ending != 0 {
		return
	}
	session := s.session
	n.ending = session
	if g.options.EndNamesEpoch {
		n.endKnown = s.known
	}
	s.refused = false
	if g.options.Ended {
		s.ended = session
		s.session, s.list, s.fresh, s.cleared = 0, 0, false, 0
	}
	if !g.options.LateEnds {
		v = v.withEnd(g.options, i)
	}
	g.add("sidecar ends session", i, 0, session, v)
}

// withEnd has control act on the end of a session.
func (v state) withEnd(options Options, i int) state {
	n := &v.nodes[i]
	session, known := n.ending, n.endKnown
	n.ending, n.endKnown = 0, 0
	if options.EndNamesEpoch && v.record.owner == session && v.record.epoch > known {
		return v
	}
	return v.withoutSession(i, session)
}

// withoutSession closes a session of node i at control.
func (v state) withoutSession(i int, session uint8) state {
	if v.nodes[i].current == session {
		v.nodes[i].current, v.nodes[i].currentLife = 0, 0
	}
	return v.withRecord(v.record.withoutSession(session), int(v.ownerNode))
}

// control acts on messages, and assigns the key when it is free.
func (g *generator) control(i int) {
	n := g.from.nodes[i]
	if n.ending != 0 {
		g.add("control hears of the end of session", i, 0, n.ending, g.from.withEnd(g.options, i))
	}
	if n.released != 0 {
		v := g.from
		v.nodes[i].released, v.nodes[i].releaser = 0, 0
		v = v.withRecord(v.record.withRelease(n.releaser, n.released), int(v.ownerNode))
		g.add("control hears of the release, epoch", i, 0, n.released, v)
	}
	if n.proof != 0 {
		v := g.from
		v.nodes[i].proof = 0
		if v.superseded(i) && v.record.owner < n.proof {
			v = v.withoutSession(i, v.record.owner)
		}
		g.add("control hears of the clear of session", i, 0, n.proof, v)
	}
	if g.from.record.owner == 0 && n.current != 0 && g.from.used.assignments < g.options.Assignments {
		v := g.assign(g.from, i, n.current)
		g.add("control assigns the key, epoch", i, 0, v.record.epoch, v)
	}
}

// leases end only after the holds that their sessions gave, which end with them here.
func (g *generator) leases(i int) {
	n := g.from.nodes[i]
	if n.current != 0 {
		g.leaseOver(i, n.current)
	}
	if g.from.superseded(i) {
		g.leaseOver(i, g.from.record.owner)
	}
}

func (g *generator) leaseOver(i int, session uint8) {
	v := g.from
	n := &v.nodes[i]
	if g.options.Quiet && !n.quiet && n.instance.sent(session) {
		return // until it cannot be carried out any more
	}
	if n.instance.via == session {
		n.instance.holds, n.instance.via = 0, 0
	}
	if s := &n.sidecar; s.session == session {
		s.session, s.list, s.fresh, s.cleared = 0, 0, false, 0
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
