package control

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"limehold/clock"
	"limehold/consensus"
	"limehold/logging"
	"limehold/transport"
	"limehold/wire"
)

const (
	// joinInterval is the interval at which a process outside the group asks to be admitted.
	joinInterval = 500 * time.Millisecond
	// voterCheckInterval is the interval at which the leader checks the voters.
	voterCheckInterval = 250 * time.Millisecond
	// joinRequestTTL is how long a request to join is valid after it was last received.
	joinRequestTTL = 3 * time.Second
	// membershipChangeTimeout bounds one configuration change.
	membershipChangeTimeout = 2 * time.Second
)

// joinRequest is the request of a process to be admitted to the group.
type joinRequest struct {
	member     consensus.Member
	receivedAt time.Duration
}

// memberListFor returns the members' addresses, or nil if the caller's version is current.
func (m *Member) memberListFor(known uint64) *wire.MemberList {
	list := &wire.MemberList{}
	digest := xxhash.New()
	for _, member := range m.replica.status.Load().Configuration.Members {
		list.Addresses = append(list.Addresses, member.Address)
		_, _ = digest.WriteString(member.Address + "\x00")
	}
	list.Version = digest.Sum64()
	if list.Version == known || len(list.Addresses) == 0 {
		return nil
	}
	return list
}

// requestAdmission requests admission to the group while this member may not be in it, until ctx
// ends. That includes a member without contact to a leader for longer than control.replace_after:
// it may have been removed while it was unreachable, and the group no longer sends it newer
// configurations. The leader ignores requests of members that are in the group.
func (m *Member) requestAdmission(ctx context.Context) error {
	for turn := 0; len(m.options.Settings.Control.Seeds) > 0; turn++ {
		status := m.replica.status.Load()
		// A member that cannot persist the group's log would be admitted and taken out by turns.
		if !status.DiskFull && m.mayNeedAdmission(status, clock.Now()) {
			known := m.knownAddresses(status.Configuration)
			address := known[turn%len(known)]
			if err := m.sendJoinRequest(ctx, address); err != nil {
				m.logger.Info("not_admitted_yet", logging.ErrorFields("ask to join", address, err)...)
			}
		}
		if pause(ctx, joinInterval) != nil {
			return nil
		}
	}
	return nil
}

// mayNeedAdmission reports whether this member is not in its newest configuration, or leaves with it, or has had no
// contact to a leader for longer than control.replace_after.
func (m *Member) mayNeedAdmission(status *replicaStatus, now time.Duration) bool {
	if _, admitted := status.Configuration.Settled().Find(m.storage.identity.ID); !admitted {
		return true
	}
	return status.Role != consensus.RoleLeader && now-status.LeaderContact > m.options.Settings.Control.ReplaceAfter
}

// knownAddresses returns the addresses of the seeds and of the members of the newest
// configuration, because all seeds may have been replaced.
func (m *Member) knownAddresses(configuration consensus.Configuration) []string {
	known := slices.Clone(m.options.Settings.Control.Seeds)
	for _, member := range configuration.Members {
		if !slices.Contains(known, member.Address) {
			known = append(known, member.Address)
		}
	}
	return known
}

func (m *Member) sendJoinRequest(ctx context.Context, address string) error {
	if address == m.advertised {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, formationTimeout)
	defer cancel()
	conn, err := transport.Dial(ctx, address, m, m.transportOptions())
	if err != nil {
		return err
	}
	defer conn.Close()
	request := &wire.Join{ID: m.storage.identity.ID, Name: m.options.Settings.Name, Address: m.advertised}
	return conn.Call(ctx, wire.KindJoin, request, &wire.JoinReply{})
}

// handleJoin records a request to join; a follower forwards it to the leader.
func (m *Member) handleJoin(request *wire.Join) *wire.JoinReply {
	status := m.replica.status.Load()
	if status.Role != consensus.RoleLeader {
		link := m.peers.link(status.Leader)
		if link == nil || link.Conn() == nil {
			return &wire.JoinReply{}
		}
		return &wire.JoinReply{Forwarded: link.Conn().Send(wire.KindJoin, request) == nil}
	}
	m.joinMutex.Lock()
	defer m.joinMutex.Unlock()
	m.joining[request.ID] = joinRequest{
		member:     consensus.Member{ID: request.ID, Name: request.Name, Address: request.Address, Learner: true},
		receivedAt: clock.Now(),
	}
	return &wire.JoinReply{Forwarded: true}
}

// pendingJoins lists the processes with a valid request to join that are not members.
func (m *Member) pendingJoins(configuration consensus.Configuration) []consensus.Member {
	now := clock.Now()
	m.joinMutex.Lock()
	defer m.joinMutex.Unlock()
	var list []consensus.Member
	for id, request := range m.joining {
		if now-request.receivedAt > joinRequestTTL {
			delete(m.joining, id)
			continue
		}
		if _, isMember := configuration.Find(id); !isMember {
			list = append(list, request.member)
		}
	}
	slices.SortFunc(list, func(a, b consensus.Member) int { return int(int64(a.ID>>1) - int64(b.ID>>1)) })
	return list
}

// voterManager decides on the leader which configuration change to make next.
type voterManager struct {
	member *Member
	term   uint64
	// firstSeen is when each member was first observed in this term. The silence of a
	// member that has not answered this leader counts from then.
	firstSeen map[consensus.MemberID]time.Duration
}

// maintainVoters keeps the number of voters at control.voters while this member leads.
// Processes that ask to join become learners; a learner that holds the log replaces a
// voter that has been lost. A joint change is completed by the consensus core.
func (m *Member) maintainVoters(ctx context.Context) error {
	if m.options.Settings.Control.Voters == 0 {
		return nil
	}
	manager := &voterManager{member: m}
	for pause(ctx, voterCheckInterval) == nil {
		status := m.replica.status.Load()
		if !status.Ready || status.Configuration.IsJoint() {
			continue
		}
		if changes := manager.nextChange(status, clock.Now()); len(changes) > 0 {
			m.tryChanges(ctx, changes)
		}
	}
	return nil
}

// tryChanges makes the first of the changes that the members' versions allow.
func (m *Member) tryChanges(ctx context.Context, changes []memberChange) {
	ctx, cancel := context.WithTimeout(ctx, membershipChangeTimeout)
	defer cancel()
	for _, change := range changes {
		err := m.changeMembers(ctx, change)
		if err == nil {
			return
		}
		m.logger.Warn("members_not_changed", logging.ErrorFields(change.step, m.options.Settings.Name, err)...)
		if !errors.Is(err, consensus.ErrJointUnsupported) {
			return
		}
	}
}

// observe records when the members of a status were first seen in its term.
func (v *voterManager) observe(status *replicaStatus, now time.Duration) {
	if v.term != status.Term {
		v.term, v.firstSeen = status.Term, map[consensus.MemberID]time.Duration{}
	}
	for _, member := range status.Configuration.Members {
		if _, seen := v.firstSeen[member.ID]; !seen {
			v.firstSeen[member.ID] = now
		}
	}
}

func (v *voterManager) isSilent(peer consensus.PeerProgress, id consensus.MemberID, now time.Duration) bool {
	limit := v.member.options.Settings.Control.ReplaceAfter
	if id == v.member.storage.identity.ID {
		return false
	}
	if !peer.Contacted {
		return now-v.firstSeen[id] > limit
	}
	// A member whose disk hangs answers but makes nothing durable, so it counts as silent.
	return max(peer.Silence, peer.Stalled) > limit
}

// nextChange returns the most urgent configuration change, or none if none is needed. A second change is for a group
// whose members do not all support the first one.
//
// Invariants:
//   - A process becomes a voter only after the leader has observed that it holds everything committed at that time;
//     an empty disk never does.
//   - No change needs a vote of the process that it makes a voter, which may have been lost since it last answered.
func (v *voterManager) nextChange(status *replicaStatus, now time.Duration) []memberChange {
	v.observe(status, now)
	configuration, progress := status.Configuration, progressByID(status)
	lost := v.lostVoters(configuration, progress, now)
	wanted := v.member.options.Settings.Control.Voters
	voters := len(configuration.Voters())
	if len(lost) > 0 && voters > wanted {
		return []memberChange{removeMember("remove lost voter "+lost[0].Name, lost[0])}
	}
	if learner, found := readyLearner(status, progress); found {
		// With an even number of voters, one more does not raise the quorum.
		if voters < wanted && (len(lost) == 0 || voters%2 == 0) {
			return []memberChange{promote(learner)}
		}
		if len(lost) > 0 {
			step := "remove lost voter " + lost[0].Name
			return []memberChange{replaceVoter(step, lost[0], learner), removeMember(step, lost[0])}
		}
	}
	for _, member := range configuration.Members {
		if member.Learner && v.isSilent(progress[member.ID], member.ID, now) {
			return []memberChange{removeMember("remove silent learner "+member.Name, member)}
		}
	}
	for _, joining := range v.member.pendingJoins(configuration) {
		return []memberChange{addLearner(joining)}
	}
	return nil
}

func progressByID(status *replicaStatus) map[consensus.MemberID]consensus.PeerProgress {
	progress := map[consensus.MemberID]consensus.PeerProgress{}
	for _, peer := range status.Progress {
		progress[peer.ID] = peer
	}
	return progress
}

// readyLearner returns a learner that holds the log.
func readyLearner(status *replicaStatus, progress map[consensus.MemberID]consensus.PeerProgress) (consensus.Member, bool) {
	for _, member := range status.Configuration.Members {
		if member.Learner && holdsLog(status, progress[member.ID]) {
			return member, true
		}
	}
	return consensus.Member{}, false
}

// lostVoters lists the voters that have been silent for too long or have lost their
// log, and those at whose address a learner with another data folder has joined.
func (v *voterManager) lostVoters(configuration consensus.Configuration, progress map[consensus.MemberID]consensus.PeerProgress, now time.Duration) []consensus.Member {
	returned := map[string]bool{}
	for _, member := range configuration.Members {
		if member.Learner {
			returned[member.Address] = true
		}
	}
	var lost []consensus.Member
	for _, member := range configuration.Members {
		if member.Learner || member.ID == v.member.storage.identity.ID {
			continue
		}
		peer := progress[member.ID]
		if returned[member.Address] || peer.LostLog || v.isSilent(peer, member.ID, now) {
			lost = append(lost, member)
		}
	}
	return lost
}

// holdsLog reports whether a learner has answered recently and holds everything committed.
func holdsLog(status *replicaStatus, peer consensus.PeerProgress) bool {
	return peer.Contacted && peer.Silence < aliveWithin && peer.Match >= status.Commit
}
