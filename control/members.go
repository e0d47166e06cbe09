package control

import (
	"context"
	"errors"
	"fmt"
	"time"

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

// RemoveMember removes a member from the group. It fails if the remaining voters
// that are alive would not be a quorum.
func (m *Member) RemoveMember(ctx context.Context, name string) error {
	member, exists := m.replica.status.Load().Configuration.FindName(name)
	if !exists {
		return invalidf("there is no member %s", name)
	}
	return m.changeMembers(ctx, removeMember("remove member "+name, member))
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
