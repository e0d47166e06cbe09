package simulate

import (
	"fmt"
	"math/rand/v2"
	"time"

	"limehold/consensus"
	"limehold/fleet"
)

// FaultKind names something that goes wrong in the simulation.
type FaultKind string

// Kinds of faults.
const (
	MemberCrash   FaultKind = "member crash"
	MemberFreeze  FaultKind = "member freeze"
	MemberCut     FaultKind = "member cut off"
	MemberCutOut  FaultKind = "member cut off outgoing"
	MemberCutIn   FaultKind = "member cut off incoming"
	MemberWipe    FaultKind = "member loses its disk"
	MemberSlow    FaultKind = "member's disk is slow"
	LeaderCrash   FaultKind = "leader crash"
	LeaderFreeze  FaultKind = "leader freeze"
	LeaderCut     FaultKind = "leader cut off"
	LeaderCutOut  FaultKind = "leader cut off outgoing"
	LeaderCutIn   FaultKind = "leader cut off incoming"
	LeaderHandOff FaultKind = "leadership transferred"
	NodeCrash     FaultKind = "node crash"
	NodeFreeze    FaultKind = "node freeze"
	NodeCut       FaultKind = "node cut off"
	NodeCutOut    FaultKind = "node cut off outgoing"
	NodeCutIn     FaultKind = "node cut off incoming"
	NodeRival     FaultKind = "second process under a node's name"
	NodeDrain     FaultKind = "node drained and resumed"
	AllCrash      FaultKind = "all members crash"
	MemberRemoved FaultKind = "member removed and added again"
)

var kinds = []FaultKind{
	MemberCrash, MemberFreeze, MemberCut, MemberCutOut, MemberCutIn, MemberWipe, MemberSlow,
	LeaderCrash, LeaderFreeze, LeaderCut, LeaderCutOut, LeaderCutIn, LeaderHandOff,
	NodeCrash, NodeFreeze, NodeCut, NodeCutOut, NodeCutIn, NodeRival, NodeDrain, AllCrash, MemberRemoved,
}

// Fault is one entry of a run's schedule.
type Fault struct {
	At     time.Duration
	Kind   FaultKind
	Target int
	For    time.Duration
}

// String describes the fault for a trace.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s, target %d, for %s", f.At, f.Kind, f.Target, f.For)
}

// schedule draws the faults of a seed, apart from all other chances, so that a
// fault can be left out without changing the others.
func schedule(options *Options) []Fault {
	random := rand.New(rand.NewPCG(options.Seed, 12))
	var faults []Fault
	for at := 1500 * time.Millisecond; at < options.faultsUntil(); {
		length := 50*time.Millisecond + time.Duration(random.Int64N(int64(1800*time.Millisecond)))
		faults = append(faults, Fault{At: at, Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(1 << 16), For: length})
		at += time.Duration(random.Int64N(int64(2 * options.meanGap)))
	}
	return faults
}

// strike begins a fault and arranges its end.
func (w *world) strike(fault Fault) {
	w.counts["fault: "+string(fault.Kind)]++
	w.trace.note(w.now, "FAULT %s", fault)
	switch fault.Kind {
	case MemberCrash, MemberFreeze, MemberCut, MemberCutOut, MemberCutIn, MemberSlow:
		w.strikeMember(w.members[fault.Target%len(w.members)], fault)
	case LeaderCrash, LeaderFreeze, LeaderCut, LeaderCutOut, LeaderCutIn:
		if leader := w.leader(); leader != nil {
			w.strikeMember(leader, fault)
		}
	case LeaderHandOff:
		if leader := w.leader(); leader != nil {
			w.after(leader.process, 0, func() {
				leader.enqueue(func() { leader.core.TransferLeadership(); leader.publishLease() })
			})
		}
	case MemberWipe:
		w.wipe(fault)
	case MemberRemoved:
		w.remove(w.members[fault.Target%len(w.members)], fault.For)
	case AllCrash:
		for _, m := range w.members {
			w.crashMember(m, fault.For)
		}
	case NodeRival:
		w.rival(w.nodes[fault.Target%w.options.Nodes], fault.For)
	case NodeDrain:
		w.drain(w.nodes[fault.Target%w.options.Nodes], fault.For)
	default:
		w.strikeNode(w.nodes[fault.Target%w.options.Nodes], fault)
	}
}

// later runs world's own doing, which no process's death prevents.
func (w *world) later(delay time.Duration, run func()) { w.after(w.checker.observer, delay, run) }

func (w *world) strikeMember(m *member, fault Fault) {
	switch fault.Kind {
	case MemberCrash, LeaderCrash:
		w.crashMember(m, fault.For)
	case MemberFreeze, LeaderFreeze:
		w.pauseProcess(m.process, fault.For)
	case MemberSlow:
		m.disk.slowUntil = w.now + fault.For
	case MemberCutOut, LeaderCutOut:
		w.cut(m.process, true, false, fault.For)
	case MemberCutIn, LeaderCutIn:
		w.cut(m.process, false, true, fault.For)
	default:
		w.cut(m.process, true, true, fault.For)
	}
}

func (w *world) strikeNode(n *node, fault Fault) {
	switch fault.Kind {
	case NodeCrash:
		w.die(n.process)
		w.later(fault.For, func() {
			if !n.running {
				n.start()
			}
		})
	case NodeFreeze:
		w.pauseProcess(n.process, fault.For)
	case NodeCutOut:
		w.cut(n.process, true, false, fault.For)
	case NodeCutIn:
		w.cut(n.process, false, true, fault.For)
	default:
		w.cut(n.process, true, true, fault.For)
	}
}

func (w *world) crashMember(m *member, length time.Duration) {
	if !m.running {
		return
	}
	w.die(m.process)
	w.checker.died(m.process)
	w.later(length, func() {
		if !m.running {
			m.start()
		}
	})
}

func (w *world) pauseProcess(p *process, length time.Duration) {
	if !p.running {
		return
	}
	w.freeze(p)
	w.later(length, func() { w.thaw(p) })
}

func (w *world) cut(p *process, outgoing, incoming bool, length time.Duration) {
	conditions := w.reaches[p]
	conditions.outgoing, conditions.incoming = !outgoing, !incoming
	w.later(length, func() { *conditions = reach{outgoing: true, incoming: true} })
}

// rival starts a second process that calls itself by the name of a node which
// is still running.
func (w *world) rival(n *node, length time.Duration) {
	for _, other := range w.nodes {
		if other.name == n.name+rivalSuffix && other.running {
			return
		}
	}
	second := w.newNode(n.name+rivalSuffix, n.name)
	w.nodes = append(w.nodes, second)
	w.later(length, func() { w.die(second.process) })
}

// drain has the leader drain a node and take it back.
func (w *world) drain(n *node, length time.Duration) {
	set := func(draining bool) {
		leader := w.servingLeader()
		if leader == nil {
			return
		}
		if current := leader.state.Membership.Current(n.announced); current != nil {
			w.after(leader.process, 0, func() {
				leader.lead(fleet.Command{SetDraining: &fleet.SetDraining{Session: current.Session, Draining: draining, Cause: "operator"}})
			})
		}
	}
	set(true)
	w.later(length, func() { set(false) })
}

// wipe empties a member's disk. An operator puts the member that comes back,
// under a new identity, in the place of the old one. Another disk is not lost
// before that is done: the group tolerates one loss.
func (w *world) wipe(fault Fault) {
	if w.checker.repairing || len(w.checker.removed) > 0 {
		return
	}
	w.checker.repairing = true
	m := w.members[fault.Target%len(w.members)]
	old := m.disk.id
	if m.running {
		w.die(m.process)
		w.checker.died(m.process)
	}
	w.checker.nextID++
	m.disk = &disk{id: w.checker.nextID}
	w.later(fault.For, func() {
		m.start()
		w.later(50*time.Millisecond, func() { w.replace(m, old) })
	})
}

// remove takes a member out of the group and adds it again; other changes of
// members may be under way.
func (w *world) remove(m *member, length time.Duration) {
	leader := w.servingLeader()
	if leader == nil || len(w.checker.removed) > 0 || w.checker.repairing {
		return
	}
	w.checker.removed[m] = true
	var next consensus.Configuration
	for _, member := range leader.core.Configuration().Members {
		if member.ID != m.disk.id {
			next.Members = append(next.Members, member)
		}
	}
	w.proposeMembers(leader, next)
	w.later(length, func() { w.addAgain(m) })
}

// addAgain proposes the member's return until it is committed.
func (w *world) addAgain(m *member) {
	leader := w.servingLeader()
	if leader != nil {
		configuration := leader.core.Configuration()
		if _, there := configuration.Find(m.disk.id); there && leader.core.CommitIndex() == leader.core.LastIndex() {
			delete(w.checker.removed, m)
			w.counts["members removed and added again"]++
			return
		} else if !there {
			next := configuration.Clone()
			next.Members = append(next.Members, consensus.Member{ID: m.disk.id, Name: m.name})
			w.proposeMembers(leader, next)
		}
	}
	w.later(30*time.Millisecond, func() { w.addAgain(m) })
}

// replace takes one step of the repair, again and again until it is done.
func (w *world) replace(m *member, old consensus.MemberID) {
	again := func() { w.later(50*time.Millisecond, func() { w.replace(m, old) }) }
	leader := w.servingLeader()
	if leader == nil {
		again()
		return
	}
	configuration := leader.core.Configuration()
	member, admitted := configuration.Find(m.disk.id)
	_, oldThere := configuration.Find(old)
	var next consensus.Configuration
	switch {
	case !admitted:
		next = configuration.Clone()
		next.Members = append(next.Members, consensus.Member{ID: m.disk.id, Name: m.name, Learner: true})
	case w.checker.repairTarget == 0:
		// What the newcomer has to hold; later entries do not move the goal.
		w.checker.repairTarget = leader.core.LastIndex()
		again()
		return
	case !w.caughtUp(leader, m.disk.id):
		again()
		return
	case oldThere:
		for _, other := range configuration.Members {
			if other.ID != old {
				next.Members = append(next.Members, other)
			}
		}
	case member.Learner:
		next = configuration.Clone()
		for i := range next.Members {
			next.Members[i].Learner = next.Members[i].Learner && next.Members[i].ID != m.disk.id
		}
	case !promotionCommitted(leader, m.disk.id):
		again()
		return
	default:
		w.checker.repairing, w.checker.repairTarget = false, 0
		w.counts["members replaced"]++
		return
	}
	w.proposeMembers(leader, next)
	again()
}

// promotionCommitted reports whether the member votes in what is committed: a
// configuration that is only in the leader's log may yet be lost with it.
func promotionCommitted(leader *member, id consensus.MemberID) bool {
	committed, admitted := leader.core.ConfigurationAt(leader.core.CommitIndex()).Find(id)
	return admitted && !committed.Learner
}

// proposeMembers hands a leader a change of members. A leader that is frozen
// takes it up later, if the operator has not given up by then.
func (w *world) proposeMembers(leader *member, next consensus.Configuration) {
	const patience = 100 * time.Millisecond
	asked := w.now
	w.after(leader.process, 0, func() {
		if w.now-asked < patience {
			leader.enqueue(func() { _, _ = leader.core.ProposeConfiguration(w.clock(leader.process), next) })
		}
	})
}

func (w *world) caughtUp(leader *member, id consensus.MemberID) bool {
	if leader.disk.id == id {
		return true
	}
	for _, peer := range leader.core.Progress() {
		if peer.ID == id {
			return peer.Match >= w.checker.repairTarget
		}
	}
	return false
}

const leaderRole = consensus.RoleLeader

// leader is the member that leads the highest term, if it runs.
func (w *world) leader() *member {
	var found *member
	for _, m := range w.members {
		if m.running && m.status.role == leaderRole && (found == nil || m.status.term > found.status.term) {
			found = m
		}
	}
	return found
}

// servingLeader is the leader that an operator gets an answer from.
func (w *world) servingLeader() *member {
	leader := w.leader()
	if leader == nil || leader.frozen || !leader.status.ready || !leader.holdsLease() {
		return nil
	}
	return leader
}
