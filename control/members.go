package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"limehold/catalog"
	"limehold/clock"
	"limehold/consensus"
	"limehold/wire"
)

const (
	// aliveWithin is how recently a member must have answered the leader to count as alive. It
	// also bounds the query for the leader's view.
	aliveWithin = time.Second
	// catchUpTimeout bounds the time in which a new member has to receive the whole log.
	catchUpTimeout = 30 * time.Second
	// memberPollInterval is the interval at which a configuration change or a
	// catch-up is checked again.
	memberPollInterval = 20 * time.Millisecond
)

// memberHealth returns the health of all members, as this leader observes it.
func (m *Member) memberHealth() []wire.MemberHealth {
	status := m.replica.status.Load()
	list := []wire.MemberHealth{{ID: m.storage.identity.ID, Alive: true, Match: status.LastIndex, DiskFull: status.DiskFull}}
	for _, peer := range status.Progress {
		list = append(list, wire.MemberHealth{
			ID: peer.ID, Alive: peer.Contacted && peer.Silence < aliveWithin, Match: peer.Match, LostLog: peer.LostLog,
			DiskFull: peer.DiskFull,
		})
	}
	return list
}

// localLeaderView returns the leader's view of members and nodes, or an error if this
// member does not lead.
func (m *Member) localLeaderView() (*wire.LeaderView, error) {
	if m.replica.status.Load().Role != consensus.RoleLeader {
		return nil, m.notLeader("tell who answers the leader")
	}
	return &wire.LeaderView{
		Leader: m.options.Settings.Name, Members: m.memberHealth(), Nodes: m.sessions.silences(clock.Now()),
		Quotas: m.quotaUsage(), Loads: m.sessions.loads(clock.Now()), Busiest: m.busiestShards(),
	}, nil
}

// leaderView returns the leader's view of members and nodes. The view is empty if
// the leader is unknown or does not answer.
func (m *Member) leaderView(ctx context.Context) wire.LeaderView {
	status := m.replica.status.Load()
	if status.Role == consensus.RoleLeader {
		if view, err := m.localLeaderView(); err == nil {
			return *view
		}
	}
	var view wire.LeaderView
	if link := m.peers.link(status.Leader); link != nil {
		ctx, cancel := context.WithTimeout(ctx, aliveWithin)
		defer cancel()
		if err := link.Call(ctx, wire.KindLeaderView, &struct{}{}, &view); err != nil {
			return wire.LeaderView{}
		}
	}
	return view
}

func invalidf(format string, arguments ...any) error {
	return &catalog.Failure{Code: catalog.FailureInvalid, Message: fmt.Sprintf(format, arguments...)}
}

// AddMember admits the member that listens at address. The member is a learner until
// it holds everything that is committed, and a voter afterwards.
func (m *Member) AddMember(ctx context.Context, name, address string) error {
	return m.admit(ctx, name, address, false)
}

// ReplaceMember replaces a member that has lost its disk by the process that now
// runs under its name. An empty address means the address of the replaced member.
func (m *Member) ReplaceMember(ctx context.Context, name, address string) error {
	configuration := m.replica.status.Load().Configuration
	old, exists := configuration.FindName(name)
	if !exists {
		return invalidf("there is no member %s; use 'limehold member add'", name)
	}
	if address == "" {
		address = old.Address
	}
	return m.admit(ctx, name, address, true)
}

// predecessor returns the member that the newcomer replaces: the one with the same
// name and another ID. There is none if an earlier replacement was interrupted after
// the old member had been removed; the newcomer itself is never returned.
func predecessor(configuration consensus.Configuration, newcomer consensus.Member) (consensus.Member, bool) {
	for _, member := range configuration.Members {
		if member.Name == newcomer.Name && member.ID != newcomer.ID {
			return member, true
		}
	}
	return consensus.Member{}, false
}

// admit adds a learner, waits until it holds the whole log, and makes it a voter in place of the member that it
// replaces, if any. It returns nil only when the new voter is committed and has caught up. A repeated call
// continues where an interrupted one stopped.
func (m *Member) admit(ctx context.Context, name, address string, replaces bool) error {
	identity, err := m.queryFormationAt(ctx, address)
	if err != nil {
		return invalidf("member %s at %s does not answer: %v; start it with control.join: true or an empty data folder first", name, address, err)
	}
	if identity.Name != name {
		return invalidf("the process at %s is named %s, not %s", address, identity.Name, name)
	}
	learner := consensus.Member{ID: identity.ID, Name: name, Address: address, Learner: true}
	configuration := m.replica.status.Load().Configuration
	if old, found := predecessor(configuration, learner); found && !old.Learner && !replaces {
		return invalidf("member %s is in the group already; use 'limehold member replace %s' when it has lost its disk", name, name)
	}
	known, admitted := configuration.Find(identity.ID)
	if admitted && !known.Learner {
		return m.confirmAdmitted(ctx, learner)
	}
	if identity.Formed && !admitted {
		return invalidf("the data folder of the process at %s has already belonged to a group (identity %s); start it with an empty folder", address, identity.ID)
	}
	if !admitted {
		if err := m.changeMembers(ctx, addLearner(learner)); err != nil {
			return err
		}
	}
	if err := m.waitCaughtUp(ctx, learner); err != nil {
		return err
	}
	if err := m.makeVoter(ctx, learner, replaces); err != nil {
		return err
	}
	return m.confirmAdmitted(ctx, learner)
}

// makeVoter promotes a learner, in place of its predecessor if it replaces one.
func (m *Member) makeVoter(ctx context.Context, learner consensus.Member, replaces bool) error {
	old, found := predecessor(m.replica.status.Load().Configuration, learner)
	if !replaces || !found {
		return m.changeMembers(ctx, promote(learner))
	}
	err := m.changeMembers(ctx, replaceVoter("remove the old "+old.Name, old, learner))
	if !errors.Is(err, consensus.ErrJointUnsupported) {
		return err
	}
	if err := m.changeMembers(ctx, removeMember("remove the old "+old.Name, old)); err != nil {
		return err
	}
	return m.changeMembers(ctx, promote(learner))
}

// confirmAdmitted waits until the configuration in which the newcomer votes is
// committed and the newcomer holds it as well. The newest configuration may be
// uncommitted and be lost with its leader, so it does not prove the admission.
func (m *Member) confirmAdmitted(ctx context.Context, newcomer consensus.Member) error {
	last := m.replica.status.Load().LastIndex
	if err := m.replica.waitApplied(ctx, last); err != nil {
		return err
	}
	current, admitted := m.replica.status.Load().Configuration.Find(newcomer.ID)
	if !admitted || current.Learner {
		return m.notLeader("confirm that " + newcomer.Name + " was admitted")
	}
	return m.waitCaughtUp(ctx, newcomer)
}

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

// RemoveMember removes a member from the group. It fails if the remaining voters
// that are alive would not be a quorum.
func (m *Member) RemoveMember(ctx context.Context, name string) error {
	member, exists := m.replica.status.Load().Configuration.FindName(name)
	if !exists {
		return invalidf("there is no member %s", name)
	}
	return m.changeMembers(ctx, removeMember("remove member "+name, member))
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

// waitCaughtUp waits until a member holds every entry that this leader's log held
// when the wait began.
func (m *Member) waitCaughtUp(ctx context.Context, member consensus.Member) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	target := m.replica.status.Load().LastIndex
	for {
		status := m.replica.status.Load()
		if status.Role != consensus.RoleLeader {
			return m.notLeader("wait for " + member.Name)
		}
		for _, peer := range status.Progress {
			if peer.ID == member.ID && peer.Match >= target {
				return nil
			}
		}
		if err := pause(ctx, memberPollInterval); err != nil {
			return invalidf("member %s has not caught up to log index %d in time; it stays a learner, send the command again", member.Name, target)
		}
	}
}

func pause(ctx context.Context, length time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(length):
		return nil
	}
}
