package control

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"limehold/consensus"
	"limehold/logging"
	"limehold/wire"
)

const (
	// handOverTimeout bounds the time that a stopping voter spends on handing over its vote.
	handOverTimeout = 2 * time.Second
	// handOverRetryInterval is the interval at which a stopping voter asks again, for example while a leader is
	// elected.
	handOverRetryInterval = 50 * time.Millisecond
)

// handOverVote has a learner that holds the log take this member's vote before the member stops. A member that stops
// for good would otherwise count as a voter until it has been silent for control.replace_after. It returns at once if
// there is no learner, so that a restart costs neither a vote nor time.
func (m *Member) handOverVote(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for m.canHandOver() {
		successor, err := m.requestSuccessor(ctx)
		if err == nil {
			m.logger.Info("vote_handed_over", zap.String("successor", successor))
			return
		}
		if pause(ctx, handOverRetryInterval) != nil {
			m.logger.Warn("vote_not_handed_over", logging.ErrorFields("hand over the vote", m.options.Settings.Name, err)...)
			return
		}
	}
}

// canHandOver reports whether this member votes in a group that keeps its number of voters by itself and has a
// learner.
func (m *Member) canHandOver() bool {
	configuration := m.replica.status.Load().Configuration
	if m.options.Settings.Control.Voters == 0 || !configuration.IsVoter(m.storage.identity.ID) {
		return false
	}
	for _, member := range configuration.Members {
		if !configuration.IsVoter(member.ID) {
			return true
		}
	}
	return false
}

// requestSuccessor asks the leader to give this member's vote to a learner. It returns the name of the learner, which
// is empty if none holds the log.
func (m *Member) requestSuccessor(ctx context.Context) (string, error) {
	link := m.peers.link(m.replica.status.Load().Leader)
	if link == nil {
		return "", m.notLeader("hand over the vote")
	}
	var reply wire.LeaveReply
	err := link.Call(ctx, wire.KindLeave, &wire.Leave{ID: m.storage.identity.ID}, &reply)
	return reply.Successor, err
}

// handleLeave replaces a voter that is about to stop by a learner. It returns once the change is committed.
func (m *Member) handleLeave(ctx context.Context, request *wire.Leave) (*wire.LeaveReply, error) {
	ctx, cancel := context.WithTimeout(ctx, membershipChangeTimeout)
	defer cancel()
	for {
		status := m.replica.status.Load()
		if !status.Ready {
			return nil, m.notLeader("replace a leaving voter")
		}
		leaving, _ := status.Configuration.Find(request.ID)
		if !status.Configuration.IsVoter(request.ID) {
			return &wire.LeaveReply{}, nil
		}
		learner, ready := readyLearner(status, progressByID(status))
		if ready {
			return m.replaceLeaving(ctx, leaving, learner)
		}
		// An alive learner lags only by what is on its way to it.
		if !hasAliveLearner(status) || pause(ctx, memberPollInterval) != nil {
			m.logger.Info("vote_not_handed_over", zap.String("member", leaving.Name), zap.String("cause", "no learner holds the log"))
			return &wire.LeaveReply{}, nil
		}
	}
}

func (m *Member) replaceLeaving(ctx context.Context, leaving, learner consensus.Member) (*wire.LeaveReply, error) {
	err := m.changeMembers(ctx, replaceVoter("remove leaving voter "+leaving.Name, leaving, learner))
	if errors.Is(err, consensus.ErrJointUnsupported) {
		m.logger.Info("vote_not_handed_over", zap.String("member", leaving.Name), zap.String("cause", err.Error()))
		return &wire.LeaveReply{}, nil
	}
	if err != nil {
		return nil, err
	}
	return &wire.LeaveReply{Successor: learner.Name}, nil
}

func hasAliveLearner(status *replicaStatus) bool {
	for _, peer := range status.Progress {
		if !status.Configuration.IsVoter(peer.ID) && peer.Contacted && peer.Silence < aliveWithin {
			return true
		}
	}
	return false
}
