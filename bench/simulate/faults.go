package simulate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"limehold/consensus"
	"limehold/fleet"
)

// FaultKind is the kind of an injected fault.
type FaultKind string

// Kinds of faults.
const (
	MemberCrash             FaultKind = "member crash"
	MemberFreeze            FaultKind = "member freeze"
	MemberPartition         FaultKind = "member cut off"
	MemberPartitionOutgoing FaultKind = "member cut off outgoing"
	MemberPartitionIncoming FaultKind = "member cut off incoming"
	MemberWipe              FaultKind = "member loses its disk"
	MemberSlow              FaultKind = "member's disk is slow"
	LeaderCrash             FaultKind = "leader crash"
	LeaderFreeze            FaultKind = "leader freeze"
	LeaderPartition         FaultKind = "leader cut off"
	LeaderPartitionOutgoing FaultKind = "leader cut off outgoing"
	LeaderPartitionIncoming FaultKind = "leader cut off incoming"
	LeaderTransfer          FaultKind = "leadership transferred"
	NodeCrash               FaultKind = "node crash"
	NodeFreeze              FaultKind = "node freeze"
	NodePartition           FaultKind = "node cut off"
	NodePartitionOutgoing   FaultKind = "node cut off outgoing"
	NodePartitionIncoming   FaultKind = "node cut off incoming"
	NodeDuplicate           FaultKind = "second process under a node's name"
	NodeDrain               FaultKind = "node drained and resumed"
	AllCrash                FaultKind = "all members crash"
	MemberRemoved           FaultKind = "member removed and added again"
	MemberDiskFull          FaultKind = "member's disk is full"
	LeaderDiskFull          FaultKind = "leader's disk is full"
	MajorityDiskFull        FaultKind = "disks of a majority are full"
)

var faultKinds = []FaultKind{
	MemberCrash, MemberFreeze, MemberPartition, MemberPartitionOutgoing, MemberPartitionIncoming, MemberWipe, MemberSlow,
	LeaderCrash, LeaderFreeze, LeaderPartition, LeaderPartitionOutgoing, LeaderPartitionIncoming, LeaderTransfer,
	NodeCrash, NodeFreeze, NodePartition, NodePartitionOutgoing, NodePartitionIncoming, NodeDuplicate, NodeDrain, AllCrash, MemberRemoved,
}

// fullDiskKinds are drawn as well if Options.FullDisks is set.
var fullDiskKinds = []FaultKind{MemberDiskFull, LeaderDiskFull, MajorityDiskFull}

// Fault is one entry of a run's fault schedule.
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

// drawFaults returns the faults of a seed. They have a random source of their own,
// so that leaving out one fault does not change the others.
func drawFaults(options *Options) []Fault {
	random := rand.New(rand.NewPCG(options.Seed, 12))
	kinds := faultKinds
	if options.FullDisks {
		// Every second fault is one of these.
		for range len(faultKinds) / len(fullDiskKinds) {
			kinds = append(kinds[:len(kinds):len(kinds)], fullDiskKinds...)
		}
	}
	var faults []Fault
	for at := 1500 * time.Millisecond; at < options.faultsUntil(); {
		length := 50*time.Millisecond + time.Duration(random.Int64N(int64(1800*time.Millisecond)))
		faults = append(faults, Fault{At: at, Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(1 << 16), For: length})
		at += time.Duration(random.Int64N(int64(2 * options.meanFaultInterval)))
	}
	return faults
}

// inject starts a fault and schedules its end.
func (w *simulation) inject(fault Fault) {
	w.counts["fault: "+string(fault.Kind)]++
	w.trace.add(w.now, "FAULT %s", fault)
	switch fault.Kind {
	case MemberCrash, MemberFreeze, MemberPartition, MemberPartitionOutgoing, MemberPartitionIncoming, MemberSlow:
		w.injectMemberFault(w.members[fault.Target%len(w.members)], fault)
	case LeaderCrash, LeaderFreeze, LeaderPartition, LeaderPartitionOutgoing, LeaderPartitionIncoming:
		if leader := w.leader(); leader != nil {
			w.injectMemberFault(leader, fault)
		}
	case LeaderTransfer:
		if leader := w.leader(); leader != nil {
			w.scheduleOn(leader.process, 0, func() {
				leader.runOnCore(func() { leader.core.TransferLeadership(); leader.publishLease() })
			})
		}
	case MemberDiskFull, LeaderDiskFull, MajorityDiskFull:
		w.fillDisks(fault)
	case MemberWipe:
		w.wipeDisk(fault)
	case MemberRemoved:
		w.removeMember(w.members[fault.Target%len(w.members)], fault.For)
	case AllCrash:
		for _, m := range w.members {
			w.crashMember(m, fault.For)
		}
	case NodeDuplicate:
		w.startDuplicate(w.nodes[fault.Target%w.options.Nodes], fault.For)
	case NodeDrain:
		w.drain(w.nodes[fault.Target%w.options.Nodes], fault.For)
	default:
		w.injectNodeFault(w.nodes[fault.Target%w.options.Nodes], fault)
	}
}

// schedule runs a function after a delay, whatever happens to the processes in
// the meantime.
func (w *simulation) schedule(d time.Duration, f func()) { w.scheduleOn(w.checker.observer, d, f) }

// fillDisks fills the disks of the members that a fault names.
func (w *simulation) fillDisks(fault Fault) {
	first, count := fault.Target, 1
	switch fault.Kind {
	case LeaderDiskFull:
		first = max(0, slices.Index(w.members, w.leader()))
	case MajorityDiskFull:
		count = len(w.members)/2 + 1
	}
	for i := range count {
		w.members[(first+i)%len(w.members)].disk.fullUntil = w.now + fault.For
	}
}

func (w *simulation) injectMemberFault(m *member, fault Fault) {
	switch fault.Kind {
	case MemberCrash, LeaderCrash:
		w.crashMember(m, fault.For)
	case MemberFreeze, LeaderFreeze:
		w.freezeFor(m.process, fault.For)
	case MemberSlow:
		m.disk.slowUntil = w.now + fault.For
	case MemberPartitionOutgoing, LeaderPartitionOutgoing:
		w.partition(m.process, true, false, fault.For)
	case MemberPartitionIncoming, LeaderPartitionIncoming:
		w.partition(m.process, false, true, fault.For)
	default:
		w.partition(m.process, true, true, fault.For)
	}
}

func (w *simulation) injectNodeFault(n *node, fault Fault) {
	switch fault.Kind {
	case NodeCrash:
		w.crash(n.process)
		w.schedule(fault.For, func() {
			if !n.running {
				n.start()
			}
		})
	case NodeFreeze:
		w.freezeFor(n.process, fault.For)
	case NodePartitionOutgoing:
		w.partition(n.process, true, false, fault.For)
	case NodePartitionIncoming:
		w.partition(n.process, false, true, fault.For)
	default:
		w.partition(n.process, true, true, fault.For)
	}
}

func (w *simulation) crashMember(m *member, length time.Duration) {
	if !m.running {
		return
	}
	w.crash(m.process)
	w.checker.runCrashHook(m.process)
	w.schedule(length, func() {
		if !m.running {
			m.start()
		}
	})
}

func (w *simulation) freezeFor(p *process, length time.Duration) {
	if !p.running {
		return
	}
	w.freeze(p)
	w.schedule(length, func() { w.resume(p) })
}

func (w *simulation) partition(p *process, outgoing, incoming bool, length time.Duration) {
	link := w.connectivity[p]
	link.outgoing, link.incoming = !outgoing, !incoming
	w.schedule(length, func() { *link = connectivity{outgoing: true, incoming: true} })
}

// startDuplicate starts a second process that registers under the name of a node,
// which keeps running.
func (w *simulation) startDuplicate(n *node, length time.Duration) {
	for _, other := range w.nodes {
		if other.name == n.name+duplicateSuffix && other.running {
			return
		}
	}
	duplicate := w.newNode(n.name+duplicateSuffix, n.name)
	w.nodes = append(w.nodes, duplicate)
	w.schedule(length, func() { w.crash(duplicate.process) })
}

// drain has the leader drain a node and resume it later.
func (w *simulation) drain(n *node, length time.Duration) {
	set := func(draining bool) {
		leader := w.servingLeader()
		if leader == nil {
			return
		}
		if current := leader.state.Membership.Current(n.registeredName); current != nil {
			w.scheduleOn(leader.process, 0, func() {
				leader.proposeAsLeader(fleet.Command{SetDraining: &fleet.SetDraining{Session: current.Session, Draining: draining, Cause: "operator"}})
			})
		}
	}
	set(true)
	w.schedule(length, func() { set(false) })
}

// wipeDisk crashes a member and empties its disk. The member restarts under a new ID, and an operator replaces
// the old ID with it. It does nothing while another member is removed or being replaced, because the group
// tolerates the loss of only one.
func (w *simulation) wipeDisk(fault Fault) {
	if w.checker.repairing || len(w.checker.removed) > 0 {
		return
	}
	w.checker.repairing = true
	m := w.members[fault.Target%len(w.members)]
	old := m.disk.id
	if m.running {
		w.crash(m.process)
		w.checker.runCrashHook(m.process)
	}
	w.checker.nextID++
	m.disk = &disk{id: w.checker.nextID}
	w.schedule(fault.For, func() {
		m.start()
		w.schedule(50*time.Millisecond, func() { w.replaceMember(m, old) })
	})
}

// removeMember removes a member from the group and adds it again after length. It does nothing if there is
// no serving leader, or while another member is removed or being replaced.
func (w *simulation) removeMember(m *member, length time.Duration) {
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
	w.schedule(length, func() { w.addBack(m) })
}

// addBack proposes adding the member again until that is committed.
func (w *simulation) addBack(m *member) {
	leader := w.servingLeader()
	if leader != nil {
		configuration := leader.core.Configuration()
		if _, present := configuration.Find(m.disk.id); present && leader.core.CommitIndex() == leader.core.LastIndex() {
			delete(w.checker.removed, m)
			w.counts["members removed and added again"]++
			return
		} else if !present {
			next := configuration.Clone()
			next.Members = append(next.Members, consensus.Member{ID: m.disk.id, Name: m.name})
			w.proposeMembers(leader, next)
		}
	}
	w.schedule(30*time.Millisecond, func() { w.addBack(m) })
}

// replaceMember takes one step of the replacement of a lost member and schedules
// the next one until the replacement is complete.
func (w *simulation) replaceMember(m *member, old consensus.MemberID) {
	retry := func() { w.schedule(50*time.Millisecond, func() { w.replaceMember(m, old) }) }
	leader := w.servingLeader()
	if leader == nil {
		retry()
		return
	}
	configuration := leader.core.Configuration()
	member, present := configuration.Find(m.disk.id)
	_, oldPresent := configuration.Find(old)
	var next consensus.Configuration
	joint := false
	switch {
	case !present:
		next = configuration.Clone()
		next.Members = append(next.Members, consensus.Member{ID: m.disk.id, Name: m.name, Learner: true})
	case w.checker.repairTarget == 0:
		// The new member must reach this index; later entries do not change it.
		w.checker.repairTarget = leader.core.LastIndex()
		retry()
		return
	case !w.isCaughtUp(leader, m.disk.id):
		retry()
		return
	case oldPresent && w.options.JointReplacements:
		joint = true
		for _, other := range configuration.Members {
			if other.ID != old {
				other.Learner = other.Learner && other.ID != m.disk.id
				next.Members = append(next.Members, other)
			}
		}
	case oldPresent:
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
	case !isPromotionCommitted(leader, m.disk.id):
		retry()
		return
	default:
		w.checker.repairing, w.checker.repairTarget = false, 0
		w.counts["members replaced"]++
		return
	}
	w.proposeMembersJointly(leader, next, joint)
	retry()
}

// isPromotionCommitted reports whether the member is a voter in the committed
// configuration. A configuration that is only in the leader's log can still be lost.
func isPromotionCommitted(leader *member, id consensus.MemberID) bool {
	committed, present := leader.core.ConfigurationAt(leader.core.CommitIndex()).Find(id)
	return present && !committed.Learner
}

// proposeMembers sends the leader a new configuration. A frozen leader proposes it
// when it resumes, unless the operator has timed out by then.
func (w *simulation) proposeMembers(leader *member, next consensus.Configuration) {
	w.proposeMembersJointly(leader, next, false)
}

// proposeMembersJointly is like proposeMembers, by way of a joint configuration if joint is set.
func (w *simulation) proposeMembersJointly(leader *member, next consensus.Configuration, joint bool) {
	const maxWait = 100 * time.Millisecond
	proposedAt := w.now
	w.scheduleOn(leader.process, 0, func() {
		if w.now-proposedAt < maxWait {
			leader.runOnCore(func() {
				if !joint {
					_, _ = leader.core.ProposeConfiguration(w.clock(leader.process), next)
				} else if _, err := leader.core.ProposeJointConfiguration(w.clock(leader.process), next); err == nil {
					w.counts["joint configurations"]++
				}
			})
		}
	})
}

func (w *simulation) isCaughtUp(leader *member, id consensus.MemberID) bool {
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

// leader returns the running member that leads the highest term, or nil if there is none.
func (w *simulation) leader() *member {
	var found *member
	for _, m := range w.members {
		if m.running && m.status.role == leaderRole && (found == nil || m.status.term > found.status.term) {
			found = m
		}
	}
	return found
}

// servingLeader returns the leader if it can answer an operator, or nil.
func (w *simulation) servingLeader() *member {
	leader := w.leader()
	if leader == nil || leader.frozen || !leader.status.ready || !leader.holdsLease() {
		return nil
	}
	return leader
}
