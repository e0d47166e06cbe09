package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"limehold/consensus"
	"limehold/logging"
	"limehold/settings"
	"limehold/transport"
	"limehold/wire"
)

const (
	// formationEvery is how often a member that waits for a group asks the seeds, and
	// formationPatience bounds one question.
	formationEvery    = 200 * time.Millisecond
	formationPatience = time.Second
	// firstIndex and firstTerm are those of the entry that every founder writes alike.
	firstIndex = 1
	firstTerm  = 1
)

// formationReply tells another member who this one is.
func (m *Member) formationReply() wire.Formation {
	reply := wire.Formation{
		Name: m.options.Settings.Name, ID: m.storage.identity.ID, Address: m.advertised,
		Formed: m.formed.Load(),
	}
	if reply.Formed {
		reply.Existing = m.replica.status.Load().Configuration
	}
	return reply
}

// form returns once this folder belongs to a group, with the state to start
// from. A folder that the group does not know returns an empty state: the
// member then waits, without a vote, until an operator admits it.
func (m *Member) form(ctx context.Context) (loaded, error) {
	if m.options.Settings.Control.Join || m.onlyJoins() {
		m.logger.Info("awaiting_admission", zap.Stringer("member", m.storage.identity.ID), zap.String("next", "limehold member add or replace, on a member of the group"))
		return loaded{}, nil
	}
	ticker := time.NewTicker(formationEvery)
	defer ticker.Stop()
	reported := map[string]bool{}
	for {
		configuration, known, decided := m.askMembers(ctx, reported)
		if decided && !known {
			m.logger.Error("awaiting_admission", zap.Stringer("member", m.storage.identity.ID),
				zap.String("cause", "the group exists and does not know this data folder: it was emptied, or belongs to another group"),
				zap.String("next", "limehold member replace "+m.options.Settings.Name))
			return loaded{}, nil
		}
		if decided {
			return m.bootstrap(configuration)
		}
		select {
		case <-ctx.Done():
			return loaded{}, ctx.Err()
		case <-ticker.C:
		}
	}
}

// firstMembers are those that form the group: the seeds are known by address only.
func (m *Member) firstMembers() []settings.Peer {
	config := m.options.Settings.Control
	if len(config.Seeds) == 0 {
		return config.Members
	}
	var first []settings.Peer
	for _, seed := range config.Seeds {
		first = append(first, settings.Peer{Address: seed})
	}
	return first
}

// onlyJoins reports whether this member must not form a group: with seeds, only
// they do, and only at the first start of all. An empty folder that appears later
// has no say in who the members are.
func (m *Member) onlyJoins() bool {
	config := m.options.Settings.Control
	return len(config.Seeds) > 0 && !(config.Form && slices.Contains(config.Seeds, m.advertised))
}

// askMembers asks all members of the settings who they are. It decides when one
// of them belongs to a group already, or when all answer and none does.
func (m *Member) askMembers(ctx context.Context, reported map[string]bool) (configuration consensus.Configuration, known, decided bool) {
	own := consensus.Member{ID: m.storage.identity.ID, Name: m.options.Settings.Name, Address: m.advertised}
	members := []consensus.Member{own}
	first := m.firstMembers()
	for _, peer := range first {
		if peer.Name == own.Name || peer.Address == own.Address {
			continue
		}
		answer, err := m.askFormation(ctx, peer)
		if err != nil {
			if !reported[peer.Name] {
				reported[peer.Name] = true
				m.logger.Info("waiting_for_member", logging.Step("form the group", peer.Name, err)...)
			}
			continue
		}
		if answer.Formed {
			_, known := answer.Existing.Find(own.ID)
			return answer.Existing, known, true
		}
		members = append(members, consensus.Member{ID: answer.ID, Name: answer.Name, Address: answer.Address})
	}
	if len(members) < max(1, len(first)) {
		return consensus.Configuration{}, false, false
	}
	slices.SortFunc(members, func(a, b consensus.Member) int { return cmp.Compare(a.Name, b.Name) })
	return consensus.Configuration{Members: members}, true, true
}

func (m *Member) askFormation(ctx context.Context, peer settings.Peer) (wire.Formation, error) {
	address := m.peers.address(consensus.Member{Name: peer.Name, Address: peer.Address})
	answer, err := m.askFormationAt(ctx, address)
	if err == nil && peer.Name != "" && answer.Name != peer.Name {
		err = eris.Errorf("member at %s calls itself %q, the settings call it %q", address, answer.Name, peer.Name)
	}
	return answer, err
}

func (m *Member) askFormationAt(ctx context.Context, address string) (wire.Formation, error) {
	ctx, cancel := context.WithTimeout(ctx, formationPatience)
	defer cancel()
	var answer wire.Formation
	conn, err := transport.Dial(ctx, address, m, m.transportOptions())
	if err != nil {
		return answer, err
	}
	defer conn.Close()
	err = conn.Call(ctx, wire.KindFormation, &struct{}{}, &answer)
	return answer, err
}

// bootstrap writes the state that all first members begin with.
func (m *Member) bootstrap(configuration consensus.Configuration) (loaded, error) {
	snapshot := consensus.Snapshot{Index: firstIndex, Term: firstTerm, Configuration: configuration}
	if err := m.storage.saveSnapshot(snapshot); err != nil {
		return loaded{}, err
	}
	if err := m.storage.markFormed(); err != nil {
		return loaded{}, err
	}
	m.logger.Info("group_formed", zap.Int("members", len(configuration.Members)))
	return loaded{snapshot: snapshot, hardState: consensus.HardState{Term: firstTerm}}, nil
}
