package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"limehold/clock"
	"limehold/consensus"
)

// memberChange is a change of the group's members.
type memberChange struct {
	// step describes the change in logs and errors.
	step string
	edit configurationEdit
	// successor is the learner that is promoted in the same change as a voter is removed. The change then takes
	// a joint configuration.
	successor string
}

func (c memberChange) isJoint() bool { return c.successor != "" }

func (c memberChange) logFields() []zap.Field {
	fields := []zap.Field{zap.String("step", c.step)}
	if c.isJoint() {
		fields = append(fields, zap.String("successor", c.successor))
	}
	return fields
}

func addLearner(learner consensus.Member) memberChange {
	return memberChange{step: "add learner " + learner.Name, edit: withMember(learner)}
}

func promote(learner consensus.Member) memberChange {
	return memberChange{step: "promote " + learner.Name, edit: withVoter(learner.ID)}
}

func removeMember(step string, member consensus.Member) memberChange {
	return memberChange{step: step, edit: withoutMember(member.ID)}
}

// replaceVoter removes a voter and promotes a learner in one change. In two changes, the group would have one voter
// more or one fewer in between: the loss of the learner, or of another voter, could then leave it without a quorum.
func replaceVoter(step string, old, learner consensus.Member) memberChange {
	return memberChange{
		step: step, successor: learner.Name,
		edit: func(current consensus.Configuration) consensus.Configuration {
			return withVoter(learner.ID)(withoutMember(old.ID)(current))
		},
	}
}

// configurationEdit returns the next configuration for the current one, which is not joint. Applying an edit twice
// has the same result as applying it once.
type configurationEdit func(consensus.Configuration) consensus.Configuration

func withMember(added consensus.Member) configurationEdit {
	return func(current consensus.Configuration) consensus.Configuration {
		next := current.Clone()
		if _, found := next.Find(added.ID); !found {
			next.Members = append(next.Members, added)
		}
		return next
	}
}

func withoutMember(id consensus.MemberID) configurationEdit {
	return func(current consensus.Configuration) consensus.Configuration {
		var next consensus.Configuration
		for _, member := range current.Members {
			if member.ID != id {
				next.Members = append(next.Members, member)
			}
		}
		return next
	}
}

func withVoter(id consensus.MemberID) configurationEdit {
	return func(current consensus.Configuration) consensus.Configuration {
		next := current.Clone()
		for i := range next.Members {
			if next.Members[i].ID == id {
				next.Members[i].Learner = false
			}
		}
		return next
	}
}

// changeMembers proposes a change of the members and waits until it is committed. It gives the voters that the group
// will need up to aliveWithin to answer.
func (m *Member) changeMembers(ctx context.Context, change memberChange) error {
	began := clock.Now()
	for {
		index, err := m.replica.proposeConfiguration(ctx, change.isJoint(), func(current consensus.Configuration) (consensus.Configuration, error) {
			if current.IsJoint() {
				return current, consensus.ErrChangePending
			}
			next := change.edit(current)
			return next, m.checkQuorumAfter(current, next, change.isJoint(), began)
		})
		if err == nil {
			return m.confirmMembers(ctx, change, index)
		}
		if !mayBeAccepted(err, clock.Now()-began) {
			return err
		}
		if pause(ctx, memberPollInterval) != nil {
			return invalidf("%s: %v", change.step, err)
		}
	}
}

// mayBeAccepted reports whether a change that was refused with err may be accepted if it is proposed again. elapsed is
// the time since it was first proposed.
func mayBeAccepted(err error, elapsed time.Duration) bool {
	var missing *missingVotersError
	if errors.As(err, &missing) {
		return elapsed < aliveWithin
	}
	return err == consensus.ErrChangePending || err == consensus.ErrNotReady
}

// missingVotersError is returned for a change after which the voters that answer would not be a quorum.
type missingVotersError struct{ voters, missing int }

// Error implements error.
func (e *missingVotersError) Error() string {
	return fmt.Sprintf("refused: the group would have %d voters, and %d more of them, not counting one that is added, have to answer and have room on their disks; bring a member back or replace it first", e.voters, e.missing)
}

// Unwrap returns the failure that operators get.
func (e *missingVotersError) Unwrap() error { return invalidf("%s", e.Error()) }

// confirmMembers waits until a change is committed, a joint one with the configuration that follows. It fails if
// another leader has committed a different entry at the index.
func (m *Member) confirmMembers(ctx context.Context, change memberChange, index uint64) error {
	if err := m.replica.waitApplied(ctx, index); err != nil {
		return err
	}
	if change.isJoint() {
		if err := m.awaitSettled(ctx, change.step); err != nil {
			return err
		}
	}
	current := m.replica.status.Load().Configuration
	if !slices.Equal(change.edit(current).Members, current.Members) {
		return m.notLeader(change.step)
	}
	m.logger.Info("members_changed", change.logFields()...)
	return nil
}

// awaitSettled waits until the configuration that follows a joint one is committed.
func (m *Member) awaitSettled(ctx context.Context, step string) error {
	for m.replica.status.Load().Configuration.IsJoint() {
		if err := pause(ctx, memberPollInterval); err != nil {
			return invalidf("%s: %v", step, consensus.ErrChangePending)
		}
	}
	return m.replica.waitApplied(ctx, m.replica.status.Load().LastIndex)
}

// checkQuorumAfter rejects a change after which the voters that have answered an append sent at or after since would
// not be a quorum. A voter that the change adds counts only if the group would need it even with all of its current
// voters: it may be lost before the change is committed.
func (m *Member) checkQuorumAfter(current, next consensus.Configuration, joint bool, since time.Duration) error {
	alive := m.answeringSince(since)
	if joint && len(next.Voters()) < len(current.Voters()) {
		return invalidf("refused: the successor has become a voter in another change meanwhile; send the command again")
	}
	if joint {
		next = current.Joint(next)
	}
	needsNewcomers := !next.HasQuorum(current.IsVoter)
	spare := next.SpareVoters(func(id consensus.MemberID) bool { return alive[id] && (needsNewcomers || current.IsVoter(id)) })
	if spare < 0 {
		return &missingVotersError{voters: len(next.Voters()), missing: -spare}
	}
	return nil
}

// answeringSince returns the members that hold their logs, have room on their disks and have answered an append that
// this leader sent at or after since.
func (m *Member) answeringSince(since time.Duration) map[consensus.MemberID]bool {
	status := m.replica.status.Load()
	answering := map[consensus.MemberID]bool{m.storage.identity.ID: !status.DiskFull}
	for _, peer := range status.Progress {
		answering[peer.ID] = peer.Contacted && peer.AnsweredSentAt >= since && !peer.LostLog && !peer.DiskFull
	}
	return answering
}
