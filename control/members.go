package control

import (
	"context"
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
	// aliveWithin is how recently a member must have answered to count as alive
	// when a change of members is weighed.
	aliveWithin = time.Second
	// catchUpPatience is how long a new member may take to have the whole log.
	catchUpPatience = 30 * time.Second
	// memberPollEvery is how often it is looked at meanwhile.
	memberPollEvery = 20 * time.Millisecond
)

// memberHealth tells how the other members stand, as this leader sees them.
func (m *Member) memberHealth() []wire.MemberHealth {
	status := m.replica.status.Load()
	list := []wire.MemberHealth{{ID: m.storage.identity.ID, Alive: true, Match: status.LastIndex}}
	for _, peer := range status.Progress {
		list = append(list, wire.MemberHealth{
			ID: peer.ID, Alive: peer.Heard && peer.Silence < aliveWithin, Match: peer.Match, LostLog: peer.LostLog,
		})
	}
	return list
}

// leaderViewHere answers on the leader.
func (m *Member) leaderViewHere() (*wire.LeaderView, error) {
	if m.replica.status.Load().Role != consensus.RoleLeader {
		return nil, m.notLeader("tell who answers the leader")
	}
	return &wire.LeaderView{
		Leader: m.options.Settings.Name, Members: m.memberHealth(), Nodes: m.sessions.silences(clock.Now()),
	}, nil
}

// leaderView asks the leader who answers it; an empty view when there is no
// leader to ask.
func (m *Member) leaderView(ctx context.Context) wire.LeaderView {
	status := m.replica.status.Load()
	if status.Role == consensus.RoleLeader {
		if view, err := m.leaderViewHere(); err == nil {
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

func invalid(format string, arguments ...any) error {
	return &catalog.Failure{Code: catalog.FailureInvalid, Message: fmt.Sprintf(format, arguments...)}
}

// AddMember admits the member that listens at address: as a learner until it
// holds everything that is committed, then as a voter.
func (m *Member) AddMember(ctx context.Context, name, address string) error {
	return m.admit(ctx, name, address, false)
}

// ReplaceMember puts the member that now listens under the name in the place of
// the one that has lost its disk.
func (m *Member) ReplaceMember(ctx context.Context, name, address string) error {
	configuration := m.replica.status.Load().Configuration
	old, exists := configuration.FindName(name)
	if !exists {
		return invalid("there is no member %s; use 'limehold member add'", name)
	}
	if address == "" {
		address = old.Address
	}
	return m.admit(ctx, name, address, true)
}

// predecessor is the member that one under the same name replaces. A repair that
// was interrupted after the removal of the old member has none any more: the
// newcomer itself must not be taken for it.
func predecessor(configuration consensus.Configuration, newcomer consensus.Member) (consensus.Member, bool) {
	for _, member := range configuration.Members {
		if member.Name == newcomer.Name && member.ID != newcomer.ID {
			return member, true
		}
	}
	return consensus.Member{}, false
}

// admit brings in a learner, removes the old member if it replaces one, and
// makes the learner a voter once it holds everything. It returns only then: the
// word "repaired" is not given before. A repetition goes on where an interrupted
// one stopped.
func (m *Member) admit(ctx context.Context, name, address string, replaces bool) error {
	identity, err := m.askFormationAt(ctx, address)
	if err != nil {
		return invalid("member %s at %s does not answer: %v; start it with control.join: true or an empty data folder first", name, address, err)
	}
	if identity.Name != name {
		return invalid("the process at %s calls itself %s, not %s", address, identity.Name, name)
	}
	learner := consensus.Member{ID: identity.ID, Name: name, Address: address, Learner: true}
	configuration := m.replica.status.Load().Configuration
	if old, there := predecessor(configuration, learner); there && !old.Learner && !replaces {
		return invalid("member %s is in the group already; use 'limehold member replace %s' when it has lost its disk", name, name)
	}
	known, admitted := configuration.Find(identity.ID)
	if admitted && !known.Learner {
		return m.confirmAdmitted(ctx, learner)
	}
	if identity.Formed && !admitted {
		return invalid("the data folder of the process at %s has already belonged to a group (identity %s); start it with an empty folder", address, identity.ID)
	}
	if !admitted {
		if err := m.changeMembers(ctx, "add learner "+name, with(learner)); err != nil {
			return err
		}
	}
	if err := m.waitCaughtUp(ctx, learner); err != nil {
		return err
	}
	if old, there := predecessor(m.replica.status.Load().Configuration, learner); replaces && there {
		if err := m.changeMembers(ctx, "remove the old "+name, without(old.ID)); err != nil {
			return err
		}
	}
	if err := m.changeMembers(ctx, "promote "+name, promoting(learner.ID)); err != nil {
		return err
	}
	return m.confirmAdmitted(ctx, learner)
}

// confirmAdmitted answers for a member that votes in the newest configuration.
// That one may not be committed yet, and be lost with its leader: it has to be,
// and to be on the newcomer's disk as well, before anything is called repaired.
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

// configurationEdit makes the next configuration out of the current one.
type configurationEdit func(consensus.Configuration) consensus.Configuration

func with(added consensus.Member) configurationEdit {
	return func(current consensus.Configuration) consensus.Configuration {
		next := current.Clone()
		if _, there := next.Find(added.ID); !there {
			next.Members = append(next.Members, added)
		}
		return next
	}
}

func without(id consensus.MemberID) configurationEdit {
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

func promoting(id consensus.MemberID) configurationEdit {
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

// RemoveMember takes a member out of the group, unless that would lose the quorum.
func (m *Member) RemoveMember(ctx context.Context, name string) error {
	member, exists := m.replica.status.Load().Configuration.FindName(name)
	if !exists {
		return invalid("there is no member %s", name)
	}
	return m.changeMembers(ctx, "remove member "+name, without(member.ID))
}

// changeMembers proposes one change and waits until it is committed.
func (m *Member) changeMembers(ctx context.Context, step string, change configurationEdit) error {
	for {
		index, err := m.replica.proposeConfiguration(ctx, func(current consensus.Configuration) (consensus.Configuration, error) {
			next := change(current)
			return next, m.checkQuorumAfter(next)
		})
		if err == nil {
			return m.confirmMembers(ctx, step, index, change)
		}
		if err != consensus.ErrChangePending && err != consensus.ErrNotReady {
			return err
		}
		if err := pause(ctx, memberPollEvery); err != nil {
			return invalid("%s: %v", step, consensus.ErrChangePending)
		}
	}
}

// confirmMembers waits until a change is committed. Another leader may have put
// something else in its place.
func (m *Member) confirmMembers(ctx context.Context, step string, index uint64, change configurationEdit) error {
	if err := m.replica.waitApplied(ctx, index); err != nil {
		return err
	}
	current := m.replica.status.Load().Configuration
	if !slices.Equal(change(current).Members, current.Members) {
		return m.notLeader(step)
	}
	m.logger.Info("members_changed", zap.String("step", step))
	return nil
}

// checkQuorumAfter refuses a configuration whose living voters are no quorum.
func (m *Member) checkQuorumAfter(next consensus.Configuration) error {
	alive := map[consensus.MemberID]bool{}
	for _, health := range m.memberHealth() {
		alive[health.ID] = health.Alive && !health.LostLog
	}
	living := 0
	for _, voter := range next.Voters() {
		if alive[voter] {
			living++
		}
	}
	if living < next.Quorum() {
		return invalid("refused: the group would have %d voters, of which only %d answer, and needs %d; bring a member back or add one first", len(next.Voters()), living, next.Quorum())
	}
	return nil
}

// waitCaughtUp waits until a member holds everything that was committed when
// the wait began.
func (m *Member) waitCaughtUp(ctx context.Context, member consensus.Member) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpPatience)
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
		if err := pause(ctx, memberPollEvery); err != nil {
			return invalid("member %s has not caught up to log index %d in time; it stays a learner, send the command again", member.Name, target)
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
