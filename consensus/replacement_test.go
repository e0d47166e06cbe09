package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// spareID is the member that takes the place of a voter.
const spareID = MemberID(9)

// oldVoterFate is what becomes of the voter that is replaced.
type oldVoterFate int

const (
	losesDisk      oldVoterFate = iota // its machine comes back as the spare
	stopsForAWhile                     // it comes back with its disk at the end
	leavesPlanned                      // it ends once it has no vote any more
)

// replacementOrder proposes the next step of a replacement to a leader.
type replacementOrder func(now time.Duration, leader *Core, old MemberID)

func replaceJointly(now time.Duration, leader *Core, old MemberID) {
	if leader.Configuration().IsVoter(old) {
		_, _ = leader.ProposeJointConfiguration(now, withSpare(withoutVoter(leader.Configuration(), old)))
	}
}

func promoteFirst(now time.Duration, leader *Core, old MemberID) {
	next := withSpare(leader.Configuration())
	if slices.Equal(next.Members, leader.Configuration().Members) {
		next = withoutVoter(next, old)
	}
	_, _ = leader.ProposeConfiguration(now, next)
}

func removeFirst(now time.Duration, leader *Core, old MemberID) {
	next := withoutVoter(leader.Configuration(), old)
	if slices.Equal(next.Members, leader.Configuration().Members) {
		next = withSpare(next)
	}
	_, _ = leader.ProposeConfiguration(now, next)
}

func withSpare(configuration Configuration) Configuration {
	next := configuration.Clone()
	for i := range next.Members {
		next.Members[i].Learner = next.Members[i].Learner && next.Members[i].ID != spareID
	}
	return next
}

func withoutVoter(configuration Configuration, id MemberID) Configuration {
	next := configuration.Clone()
	next.Members = slices.DeleteFunc(next.Members, func(member Member) bool { return member.ID == id })
	return next
}

// replacement is a run in which a voter is replaced by the spare while another fault occurs.
type replacement struct {
	*group
	initial       Configuration
	leaderID, old MemberID
	order         replacementOrder
	fate          oldVoterFate
	steps         int
	proposed      []proposedCommand
	answered      []string
}

type proposedCommand struct {
	text        string
	index, term uint64
}

func newReplacement(t *testing.T, voters int, order replacementOrder, fate oldVoterFate) *replacement {
	t.Helper()
	g, leader := newElectedGroup(t, voters)
	g.stalled = map[MemberID]bool{}
	old := leader.ID()%MemberID(voters) + 1
	r := &replacement{group: g, initial: leader.Configuration(), leaderID: leader.ID(), old: old, order: order, fate: fate}
	g.start(spareID, Snapshot{}, nil, HardState{})
	next := r.initial.Clone()
	next.Members = append(next.Members, Member{ID: spareID, Name: "spare", Learner: true})
	if _, err := leader.ProposeConfiguration(g.now, next); err != nil {
		t.Fatal(err)
	}
	g.advance(200 * time.Millisecond)
	if fate != leavesPlanned {
		r.kill(r.old)
	}
	return r
}

// kill ends a member's process at once.
func (r *replacement) kill(id MemberID) { r.partitioned[id], r.stalled[id] = true, true }

// restart starts a member that has kept its disk.
func (r *replacement) restart(id MemberID) {
	delete(r.partitioned, id)
	delete(r.stalled, id)
	r.unwritten[id] = nil
	r.start(id, Snapshot{Index: 1, Term: 1, Configuration: r.initial}, slices.Clone(r.stored[id]), r.hardStates[id])
}

// work proposes a command and the next step of the replacement every 10 ms.
func (r *replacement) work(length time.Duration) {
	for end := r.now + length; r.now < end; {
		if leader := r.servingLeader(); leader != nil {
			r.order(r.now, leader, r.old)
			r.propose(leader)
		}
		r.advance(10 * time.Millisecond)
		r.recordAnswers()
		if leader := r.servingLeader(); r.fate == leavesPlanned && leader != nil && !leader.ConfigurationAt(leader.CommitIndex()).IsVoter(r.old) {
			r.kill(r.old)
		}
	}
}

// servingLeader returns the leader that runs and can take proposals, or nil.
func (r *replacement) servingLeader() *Core {
	if leader := r.leader(); leader != nil && !r.partitioned[leader.ID()] && leader.CommitIndex() >= leader.TermStart() {
		return leader
	}
	return nil
}

func (r *replacement) propose(leader *Core) {
	text := fmt.Sprint("command ", r.now)
	if index, err := leader.Propose(r.now, []byte(text)); err == nil {
		r.proposed = append(r.proposed, proposedCommand{text, index, leader.Term()})
	}
}

// recordAnswers moves the proposed commands that a running member knows to be committed to answered.
func (r *replacement) recordAnswers() {
	r.proposed = slices.DeleteFunc(r.proposed, func(command proposedCommand) bool {
		for id, core := range r.members {
			if term, held := core.EntryTerm(command.index); held && term == command.term && core.CommitIndex() >= command.index && !r.partitioned[id] {
				r.answered = append(r.answered, command.text)
				return true
			}
		}
		return false
	})
}

// run plays a replacement in which the victim is lost before the given step, and returns the number of steps
// and what is wrong at the end, if anything.
func (r *replacement) run(step int, victim MemberID, victimLosesDisk bool) (int, error) {
	r.beforeStep = func() {
		if r.steps++; r.steps == step {
			r.kill(victim)
		}
	}
	r.work(40 * time.Millisecond)
	steps := r.steps
	r.beforeStep = nil
	r.work(800 * time.Millisecond)
	answered := slices.Clone(r.answered)
	for id := range r.members {
		if r.partitioned[id] && !r.isGone(id, victim, victimLosesDisk) {
			r.restart(id)
		}
	}
	for end := r.now + 3*time.Second; r.now < end && r.servingLeader() == nil; {
		r.work(10 * time.Millisecond)
	}
	return steps, r.check(answered)
}

// isGone reports whether a member does not come back.
func (r *replacement) isGone(id, victim MemberID, victimLosesDisk bool) bool {
	return id == victim && victimLosesDisk || id == r.old && r.fate != stopsForAWhile
}

func (r *replacement) check(answered []string) error {
	leader := r.servingLeader()
	if leader == nil {
		return fmt.Errorf("the group has no leader")
	}
	before := leader.CommitIndex()
	r.work(100 * time.Millisecond)
	if leader.CommitIndex() == before {
		return fmt.Errorf("the leader commits nothing")
	}
	held := map[string]bool{}
	for _, entry := range leader.log.slice(2, leader.CommitIndex(), int(leader.CommitIndex()), 1<<30) {
		held[string(entry.Data)] = true
	}
	for _, command := range answered {
		if !held[command] {
			return fmt.Errorf("%s was committed and is lost", command)
		}
	}
	return nil
}

// isTolerated reports whether the group has to survive the loss of a victim beside that of the old voter: less than half
// of the machines lose their disks.
func (r *replacement) isTolerated(victim MemberID, victimLosesDisk bool) bool {
	if victim == r.old {
		return r.fate == leavesPlanned
	}
	bothLoseDisks := victimLosesDisk && r.fate == losesDisk && victim != spareID
	return !bothLoseDisks || len(r.initial.Members) > 3
}

// searchLosses plays a replacement with a loss of each member before each step, and returns what went wrong.
func searchLosses(t *testing.T, voters int, order replacementOrder, fate oldVoterFate) (failures []string, runs int) {
	t.Helper()
	victims := []MemberID{spareID}
	for id := range MemberID(voters) {
		victims = append(victims, id+1)
	}
	for _, victim := range victims {
		for _, losesDisk := range []bool{true, false} {
			for step, steps := 1, 1; step <= steps; step++ {
				r := newReplacement(t, voters, order, fate)
				if !r.isTolerated(victim, losesDisk) {
					break
				}
				var err error
				steps, err = r.run(step, victim, losesDisk)
				if runs++; err != nil {
					failures = append(failures, fmt.Sprintf("member %d of leader %d is lost before step %d, with its disk %t: %v", victim, r.leaderID, step, losesDisk, err))
				}
			}
		}
	}
	return failures, runs
}

var oldVoterFates = map[string]oldVoterFate{
	"the old voter has lost its disk":    losesDisk,
	"the old voter stops and comes back": stopsForAWhile,
	"the old voter leaves as planned":    leavesPlanned,
}

// Guards against a replacement of a voter that leaves the group without a leader for good, or loses a committed
// command, when one more member is lost before any of its steps.
func TestReplacementSurvivesALossAtEachStep(t *testing.T) {
	for _, voters := range []int{3, 5} {
		for name, fate := range oldVoterFates {
			t.Run(fmt.Sprintf("%d voters, %s", voters, name), func(t *testing.T) {
				t.Parallel()
				failures, runs := searchLosses(t, voters, replaceJointly, fate)
				for _, failure := range failures {
					t.Error(failure)
				}
				t.Logf("%d runs", runs)
			})
		}
	}
}

// Changes of one voter at a time fail in these cases. Guards against a search that would find nothing.
func TestReplacementInSingleStepsDoesNotSurviveEachLoss(t *testing.T) {
	tests := map[string]struct {
		order replacementOrder
		fate  oldVoterFate
	}{
		"the spare is promoted first, the old voter has lost its disk": {promoteFirst, losesDisk},
		"the old voter is removed first, it stops and comes back":      {removeFirst, stopsForAWhile},
		"the old voter is removed first, it leaves as planned":         {removeFirst, leavesPlanned},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			failures, runs := searchLosses(t, 3, test.order, test.fate)
			if len(failures) == 0 {
				t.Errorf("no failure in %d runs", runs)
			} else {
				t.Logf("%d of %d runs failed; the first: %s", len(failures), runs, failures[0])
			}
		})
	}
}

// Guards against a joint configuration in which a majority of only one of the two sets of voters decides.
func TestJointConfigurationNeedsBothMajorities(t *testing.T) {
	configuration := Configuration{
		Members:  []Member{{ID: 1}, {ID: 2, Learner: true}, {ID: 3, Learner: true}, {ID: 4}, {ID: 5}},
		Outgoing: []MemberID{1, 2, 3},
	}
	tests := map[string]struct {
		agree []MemberID
		want  bool
	}{
		"both":                      {[]MemberID{1, 2, 4}, true},
		"only those that leave":     {[]MemberID{1, 2, 3}, false},
		"only those that stay":      {[]MemberID{1, 4, 5}, false},
		"all but the common member": {[]MemberID{2, 3, 4, 5}, true},
		"one of those that leave":   {[]MemberID{2, 4, 5}, false},
		"nobody":                    {nil, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(configuration.HasQuorum(func(id MemberID) bool { return slices.Contains(test.agree, id) }), test.want)
			is.Equal(quorumValue(configuration, func(id MemberID) uint64 {
				if slices.Contains(test.agree, id) {
					return 7
				}
				return 3
			}) == 7, test.want)
		})
	}
}

// Guards against a joint change that stays half done when its leader is lost after it was committed.
func TestNextLeaderCompletesAJointChange(t *testing.T) {
	is := is.New(t)
	r := newReplacement(t, 3, replaceJointly, leavesPlanned)
	leader := r.members[r.leaderID]
	_, err := leader.ProposeJointConfiguration(r.now, withSpare(withoutVoter(leader.Configuration(), r.old)))
	is.NoErr(err)
	_, err = leader.ProposeConfiguration(r.now, r.initial)
	is.Equal(err, ErrChangePending)
	// The entry reaches the others, and their responses are lost with the leader.
	for _, message := range leader.TakeOutput().Early {
		r.members[message.To].Step(r.now, message)
	}
	r.kill(r.leaderID)
	r.advance(3 * time.Second)
	next := r.servingLeader()
	is.True(next != nil)
	is.Equal(next.Configuration().IsJoint(), false)
	is.Equal(next.Configuration().IsVoter(r.old), false)
	is.True(next.Configuration().IsVoter(spareID))
}

// Guards against a joint change that is completed by the new voters alone: the old ones could elect another leader.
func TestJointChangeNeedsAMajorityOfTheOldVoters(t *testing.T) {
	is := is.New(t)
	r := newReplacement(t, 3, replaceJointly, leavesPlanned)
	leader := r.members[r.leaderID]
	for _, member := range r.initial.Members {
		r.partitioned[member.ID] = member.ID != r.leaderID
	}
	before := leader.CommitIndex()
	replaceJointly(r.now, leader, r.old)
	r.advance(testTiming.ElectionMin)
	is.True(leader.Configuration().IsJoint())
	is.Equal(leader.CommitIndex(), before)
}

// Guards against a change that takes the place of the configuration which has to follow a joint one.
func TestNoChangeIsAcceptedInAJointConfiguration(t *testing.T) {
	is := is.New(t)
	r := newReplacement(t, 3, replaceJointly, leavesPlanned)
	leader := r.members[r.leaderID]
	third := r.old%3 + 1
	replaceJointly(r.now, leader, r.old)
	// Only the third voter answers, so that the leader's own write commits the joint configuration.
	output := leader.TakeOutput()
	for _, message := range output.Early {
		if message.To == third {
			r.members[third].Step(r.now, message)
		}
	}
	written := r.members[third].TakeOutput()
	r.members[third].NotifyDurable(r.now, &written)
	for _, message := range append(written.Early, written.Messages...) {
		leader.Step(r.now, message)
	}
	leader.NotifyDurable(r.now, &output)
	is.Equal(leader.CommitIndex(), leader.LastIndex())
	is.True(leader.Configuration().IsJoint())
	_, err := leader.ProposeConfiguration(r.now, leader.Configuration().Settled())
	is.Equal(err, ErrChangePending)
	r.advance(testTiming.Heartbeat)
	is.Equal(leader.Configuration().IsJoint(), false)
}

// Guards against a joint change that members of an earlier version could not follow.
func TestJointChangeWaitsForMembersOfEarlierVersions(t *testing.T) {
	is := is.New(t)
	r := newReplacement(t, 3, replaceJointly, leavesPlanned)
	leader := r.members[r.leaderID]
	leader.progress[r.old].decodesJoint = false
	_, err := leader.ProposeJointConfiguration(r.now, withSpare(withoutVoter(leader.Configuration(), r.old)))
	is.Equal(err, ErrJointUnsupported)
	r.advance(100 * time.Millisecond)
	_, err = leader.ProposeJointConfiguration(r.now, withSpare(withoutVoter(leader.Configuration(), r.old)))
	is.NoErr(err)
}
