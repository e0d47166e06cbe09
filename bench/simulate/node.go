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

// rivalSuffix marks a second process under the name of a node.
const rivalSuffix = "'"

const (
	askTimeout = 100 * time.Millisecond
	nodePool   = "pool"
)

// node is a back end with its agent: the agent's cores, and a back end that
// checks its grants at the point of execution.
type node struct {
	*process
	world       *world
	announced   string
	incarnation string
	session     membership.SessionID
	lease       membership.HeldLease
	set         *assignment.Set
	favourite   int
	turn        int

	// The back end's own record: the newest session that it has heard of, and by
	// shard what it was granted.
	known    membership.SessionID
	grants   map[ownership.Key]*grant
	released map[ownership.Key]uint64
}

type grant struct {
	epoch    uint64
	inFlight int
	leaving  bool
}

func (w *world) newNode(name, announced string) *node {
	n := &node{process: w.newProcess(name), world: w, announced: announced}
	n.start()
	return n
}

func (n *node) start() {
	n.running = true
	n.incarnation = fmt.Sprintf("%s#%d", n.name, n.life)
	n.session, n.known, n.lease, n.set = 0, 0, membership.HeldLease{}, assignment.NewSet()
	n.grants, n.released = map[ownership.Key]*grant{}, map[ownership.Key]uint64{}
	n.world.after(n.process, n.world.between(0, renewEvery), n.round)
	n.world.after(n.process, n.world.between(0, renewEvery), n.traffic)
}

// round opens a session or renews its lease.
func (n *node) round() {
	n.turn++
	n.world.after(n.process, n.trueLength(renewEvery), n.round)
	if n.session == 0 {
		n.open()
		return
	}
	n.renew()
	n.letGo()
}

// ask sends a question to the favourite member and turns to the next one when
// no answer comes in time.
func (n *node) ask(kind string, question func(m *member, answer func(func()))) {
	w := n.world
	m := w.members[n.favourite%len(w.members)]
	answered := false
	w.send(n.process, m.process, kind, func() {
		question(m, func(reply func()) {
			w.send(m.process, n.process, kind+" answer", func() {
				answered = true
				reply()
			})
		})
	})
	w.after(n.process, n.trueLength(askTimeout), func() {
		if !answered {
			n.favourite++
		}
	})
}

func (n *node) open() {
	n.ask("open", func(m *member, answer func(func())) {
		if !m.status.ready {
			answer(func() { n.favourite++ })
			return
		}
		command := &fleet.Command{OpenSession: &fleet.OpenSession{Node: membership.Node{
			Name: n.announced, Incarnation: n.incarnation, Zone: "zone", Pool: nodePool, Slots: 18, Connections: 100,
		}}}
		m.propose(command, func(result fleet.Result, known bool) {
			if known {
				answer(func() { n.opened(result.Session) })
			}
		})
	})
}

func (n *node) opened(session membership.SessionID) {
	if session == 0 || session < n.session {
		return
	}
	if session > n.known {
		n.dropAll()
		n.known = session
	}
	n.session = session
	n.set.Begin(session)
}

// dropAll forgets an earlier session: the back end lets go of everything.
func (n *node) dropAll() {
	n.lease.Drop()
	for key, owned := range n.grants {
		n.released[key] = max(n.released[key], owned.epoch)
	}
	n.grants = map[ownership.Key]*grant{}
}

func (n *node) renew() {
	session, sentAt, seen := n.session, n.world.clock(n.process), n.set.Revision()
	n.ask("renew", func(m *member, answer func(func())) {
		granted, known := m.renew(session, seen)
		answer(func() { n.renewed(session, sentAt, granted, known) })
	})
}

func (n *node) renewed(session membership.SessionID, sentAt time.Duration, granted, known bool) {
	switch {
	case session != n.session:
	case granted:
		n.world.counts["renewals"]++
		n.lease.Acknowledge(session, sentAt, leaseLength)
		n.world.checker.owns(n)
	case !known:
		n.world.counts["sessions lost"]++
		// As the agent does: without a lease the back end runs nothing. It lets go of
		// its shards only when it hears of a later session, as control may still have
		// this one, if the proposal to end it was lost.
		n.session = 0
		n.lease.Drop()
		n.set.Begin(0)
	default:
		n.favourite++
	}
}

// takeList passes control's list on to the back end.
func (n *node) takeList(news list) {
	taken := false
	if news.from == 0 {
		taken = n.set.Take(news.session, news.revision, news.shards)
	} else {
		taken = n.set.Change(news.session, news.from, news.revision, news.shards, news.removed)
	}
	if !taken {
		return
	}
	wanted := map[ownership.Key]uint64{}
	for _, item := range n.set.Granted() {
		wanted[item.Key] = item.Epoch
	}
	for key, owned := range n.grants {
		if wanted[key] != owned.epoch {
			owned.leaving = true
			n.idle(key, owned)
		}
	}
	for key, epoch := range wanted {
		if n.grants[key] == nil && epoch > n.released[key] {
			n.grants[key] = &grant{epoch: epoch}
			n.world.counts["grants"]++
		}
	}
	n.world.checker.owns(n)
}

// idle lets a shard go once nothing runs for it.
func (n *node) idle(key ownership.Key, owned *grant) {
	if owned.leaving && owned.inFlight == 0 && n.grants[key] == owned {
		n.released[key] = max(n.released[key], owned.epoch)
		delete(n.grants, key)
	}
}

// letGo reports the shards that the back end has let go.
func (n *node) letGo() {
	var done []assignment.Released
	for _, item := range n.set.Releasing() {
		if owned := n.grants[item.Key]; owned != nil && owned.epoch <= item.Epoch {
			owned.leaving = true
			n.idle(item.Key, owned)
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
	n.ask("released", func(m *member, answer func(func())) {
		if !m.status.ready {
			return
		}
		m.propose(command, func(_ fleet.Result, known bool) {
			if known {
				answer(func() { n.set.Reported(session, done) })
			}
		})
	})
}

// ownsNow reports whether the back end would run a request for the shard.
func (n *node) ownsNow(key ownership.Key) *grant {
	owned := n.grants[key]
	if owned == nil || !n.running || !n.lease.Valid(n.world.clock(n.process)) {
		return nil
	}
	return owned
}

// traffic has the back end run a request now and then: it begins when the grant
// holds, and takes effect only if the grant still holds at its end.
func (n *node) traffic() {
	w := n.world
	w.after(n.process, w.between(5*time.Millisecond, 60*time.Millisecond), n.traffic)
	keys := n.sortedGrants()
	if len(keys) == 0 {
		return
	}
	key := keys[w.random.IntN(len(keys))]
	owned := n.ownsNow(key)
	if owned == nil || owned.leaving {
		return
	}
	owned.inFlight++
	w.after(n.process, w.between(time.Millisecond, 250*time.Millisecond), func() {
		owned.inFlight--
		if current := n.ownsNow(key); current == owned {
			w.checker.executed(n, key, owned.epoch)
		} else {
			w.counts["executions refused by lease or epoch"]++
		}
		n.idle(key, owned)
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
