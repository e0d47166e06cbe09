package control

import (
	"context"
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
	// joinEvery is how often a process without a place in the group asks for one.
	joinEvery = 500 * time.Millisecond
	// votersEvery is how often the leader looks at who votes.
	votersEvery = 250 * time.Millisecond
	// joinMemory is how long a request to join counts after it was last heard.
	joinMemory = 3 * time.Second
	// admitPatience bounds one change of members.
	admitPatience = 2 * time.Second
)

// joinRequest is a process that asked to be admitted.
type joinRequest struct {
	member consensus.Member
	heard  time.Duration
}

// memberListFor returns the members' addresses unless the asker has them already.
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

// seekAdmission asks again and again to be let into the group while this member is not in it, until ctx
// ends. One that no leader speaks to for long may have been taken out while it was away: those who are in
// the group send it nothing any more, and what it holds itself still has it in. It asks, too; the leader,
// who knows, takes no notice of one that is in the group.
func (m *Member) seekAdmission(ctx context.Context) error {
	for turn := 0; len(m.options.Settings.Control.Seeds) > 0; turn++ {
		status := m.replica.status.Load()
		if m.mayBeOutside(status, clock.Now()) {
			known := m.knownMembers(status.Configuration)
			address := known[turn%len(known)]
			if err := m.askToJoin(ctx, address); err != nil {
				m.logger.Info("not_admitted_yet", logging.Step("ask to join", address, err)...)
			}
		}
		if pause(ctx, joinEvery) != nil {
			return nil
		}
	}
	return nil
}

// mayBeOutside reports whether this member is not in the group, as far as it knows.
func (m *Member) mayBeOutside(status *replicaStatus, now time.Duration) bool {
	if _, admitted := status.Configuration.Find(m.storage.identity.ID); !admitted {
		return true
	}
	return status.Role != consensus.RoleLeader && now-status.LeaderContact > m.options.Settings.Control.ReplaceAfter
}

// knownMembers are the addresses of the seeds, and of the members in the newest configuration that this
// member holds: the seeds of the settings may all be gone by now.
func (m *Member) knownMembers(configuration consensus.Configuration) []string {
	known := slices.Clone(m.options.Settings.Control.Seeds)
	for _, member := range configuration.Members {
		if !slices.Contains(known, member.Address) {
			known = append(known, member.Address)
		}
	}
	return known
}

func (m *Member) askToJoin(ctx context.Context, address string) error {
	if address == m.advertised {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, formationPatience)
	defer cancel()
	conn, err := transport.Dial(ctx, address, m, m.transportOptions())
	if err != nil {
		return err
	}
	defer conn.Close()
	request := &wire.Join{ID: m.storage.identity.ID, Name: m.options.Settings.Name, Address: m.advertised}
	return conn.Call(ctx, wire.KindJoin, request, &wire.JoinReply{})
}

// takeJoin notes who wants to become a member; a follower tells the leader.
func (m *Member) takeJoin(request *wire.Join) *wire.JoinReply {
	status := m.replica.status.Load()
	if status.Role != consensus.RoleLeader {
		link := m.peers.link(status.Leader)
		if link == nil || link.Conn() == nil {
			return &wire.JoinReply{}
		}
		return &wire.JoinReply{Taken: link.Conn().Send(wire.KindJoin, request) == nil}
	}
	m.joinMutex.Lock()
	defer m.joinMutex.Unlock()
	m.joining[request.ID] = joinRequest{
		member: consensus.Member{ID: request.ID, Name: request.Name, Address: request.Address, Learner: true},
		heard:  clock.Now(),
	}
	return &wire.JoinReply{Taken: true}
}

// wantToJoin lists the processes that have asked lately and are no members.
func (m *Member) wantToJoin(configuration consensus.Configuration) []consensus.Member {
	now := clock.Now()
	m.joinMutex.Lock()
	defer m.joinMutex.Unlock()
	var list []consensus.Member
	for id, request := range m.joining {
		if now-request.heard > joinMemory {
			delete(m.joining, id)
			continue
		}
		if _, there := configuration.Find(id); !there {
			list = append(list, request.member)
		}
	}
	slices.SortFunc(list, func(a, b consensus.Member) int { return int(int64(a.ID>>1) - int64(b.ID>>1)) })
	return list
}

// voterKeeper is what a leader remembers between two looks at who votes.
type voterKeeper struct {
	member *Member
	term   uint64
	// firstSeen is when each member was first looked at in this term: one that has
	// not answered this leader yet has been silent since then.
	firstSeen map[consensus.MemberID]time.Duration
}

// keepVoters lets the leader keep the number of voters of the settings: who asks
// becomes a learner; a learner that holds the log takes the place of a voter that
// has been lost.
func (m *Member) keepVoters(ctx context.Context) error {
	if m.options.Settings.Control.Voters == 0 {
		return nil
	}
	keeper := &voterKeeper{member: m}
	for pause(ctx, votersEvery) == nil {
		status := m.replica.status.Load()
		if !status.Ready {
			continue
		}
		step, change := keeper.next(status, clock.Now())
		if change == nil {
			continue
		}
		changeContext, cancel := context.WithTimeout(ctx, admitPatience)
		if err := m.changeMembers(changeContext, step, change); err != nil {
			m.logger.Warn("members_not_changed", logging.Step(step, m.options.Settings.Name, err)...)
		}
		cancel()
	}
	return nil
}

// look takes up the members of a status.
func (k *voterKeeper) look(status *replicaStatus, now time.Duration) {
	if k.term != status.Term {
		k.term, k.firstSeen = status.Term, map[consensus.MemberID]time.Duration{}
	}
	for _, member := range status.Configuration.Members {
		if _, seen := k.firstSeen[member.ID]; !seen {
			k.firstSeen[member.ID] = now
		}
	}
}

func (k *voterKeeper) silent(peer consensus.PeerProgress, id consensus.MemberID, now time.Duration) bool {
	limit := k.member.options.Settings.Control.ReplaceAfter
	if id == k.member.storage.identity.ID {
		return false
	}
	if !peer.Heard {
		return now-k.firstSeen[id] > limit
	}
	// One whose disk hangs answers, and holds nothing: it is lost to the group as well.
	return max(peer.Silence, peer.Stuck) > limit
}

// next is the one change that the group needs most, or none.
//
// Invariant: a process votes only after the leader has seen it hold everything
// that was committed when it was looked at; an empty disk never does.
func (k *voterKeeper) next(status *replicaStatus, now time.Duration) (string, configurationEdit) {
	k.look(status, now)
	configuration := status.Configuration
	progress := map[consensus.MemberID]consensus.PeerProgress{}
	for _, peer := range status.Progress {
		progress[peer.ID] = peer
	}
	lost := k.lostVoters(configuration, progress, now)
	wanted := k.member.options.Settings.Control.Voters
	voters := len(configuration.Voters())
	if len(lost) > 0 && voters > wanted {
		return "remove lost voter " + lost[0].Name, without(lost[0].ID)
	}
	if len(lost) > 0 || voters < wanted {
		for _, member := range configuration.Members {
			if member.Learner && holdsLog(status, progress[member.ID]) {
				return "promote " + member.Name, promoting(member.ID)
			}
		}
	}
	for _, member := range configuration.Members {
		if member.Learner && k.silent(progress[member.ID], member.ID, now) {
			return "remove silent learner " + member.Name, without(member.ID)
		}
	}
	for _, joining := range k.member.wantToJoin(configuration) {
		return "add learner " + joining.Name, with(joining)
	}
	return "", nil
}

// lostVoters lists the voters that have been silent for too long, and those whose
// machine has come back with another folder.
func (k *voterKeeper) lostVoters(configuration consensus.Configuration, progress map[consensus.MemberID]consensus.PeerProgress, now time.Duration) []consensus.Member {
	returned := map[string]bool{}
	for _, member := range configuration.Members {
		if member.Learner {
			returned[member.Address] = true
		}
	}
	var lost []consensus.Member
	for _, member := range configuration.Members {
		if member.Learner || member.ID == k.member.storage.identity.ID {
			continue
		}
		peer := progress[member.ID]
		if returned[member.Address] || peer.LostLog || k.silent(peer, member.ID, now) {
			lost = append(lost, member)
		}
	}
	return lost
}

// holdsLog reports whether a learner holds everything that has been committed.
func holdsLog(status *replicaStatus, peer consensus.PeerProgress) bool {
	return peer.Heard && peer.Silence < aliveWithin && peer.Match >= status.Commit
}
