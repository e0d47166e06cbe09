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
	// formationInterval is the interval at which a member that waits for a group queries the
	// initial members. formationTimeout bounds one such query.
	formationInterval = 200 * time.Millisecond
	formationTimeout  = time.Second
	// initialIndex and initialTerm are those of the snapshot that every initial member writes.
	initialIndex = 1
	initialTerm  = 1
)

// formationReply returns this member's identity and, if it belongs to a group, the
// group's configuration.
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

// form waits until this data folder belongs to a group and returns the state to start
// from. If the existing group does not know the folder, or this member must not form a
// group, the state is empty: the member starts without a vote until it is admitted.
func (m *Member) form(ctx context.Context) (recoveredState, error) {
	if m.options.Settings.Control.Join || m.mustJoin() {
		m.logger.Info("awaiting_admission", zap.Stringer("member", m.storage.identity.ID), zap.String("next", "limehold member add or replace, on a member of the group"))
		return recoveredState{}, nil
	}
	ticker := time.NewTicker(formationInterval)
	defer ticker.Stop()
	reported := map[string]bool{}
	for {
		configuration, known, decided := m.queryMembers(ctx, reported)
		if decided && !known {
			m.logger.Error("awaiting_admission", zap.Stringer("member", m.storage.identity.ID),
				zap.String("cause", "the group exists and does not know this data folder: it was emptied, or belongs to another group"),
				zap.String("next", "limehold member replace "+m.options.Settings.Name))
			return recoveredState{}, nil
		}
		if decided {
			return m.bootstrap(configuration)
		}
		select {
		case <-ctx.Done():
			return recoveredState{}, ctx.Err()
		case <-ticker.C:
		}
	}
}

// initialMembers returns the members that form the group. Seeds have an address but no name.
func (m *Member) initialMembers() []settings.Peer {
	config := m.options.Settings.Control
	if len(config.Seeds) == 0 {
		return config.Members
	}
	var initial []settings.Peer
	for _, seed := range config.Seeds {
		initial = append(initial, settings.Peer{Address: seed})
	}
	return initial
}

// mustJoin reports whether this member must not form a group. If seeds are configured, only a
// seed with control.form forms one. control.form is set for the first start of a deployment
// only: an empty data folder that appears later must not decide who the members are.
func (m *Member) mustJoin() bool {
	config := m.options.Settings.Control
	return len(config.Seeds) > 0 && !(config.Form && slices.Contains(config.Seeds, m.advertised))
}

// queryMembers queries the initial members for their identities. decided is true if one of them
// already belongs to a group, or if all of them answer and none does. known reports whether this
// member is in the returned configuration.
func (m *Member) queryMembers(ctx context.Context, reported map[string]bool) (configuration consensus.Configuration, known, decided bool) {
	own := consensus.Member{ID: m.storage.identity.ID, Name: m.options.Settings.Name, Address: m.advertised}
	members := []consensus.Member{own}
	initial := m.initialMembers()
	for _, peer := range initial {
		if peer.Name == own.Name || peer.Address == own.Address {
			continue
		}
		answer, err := m.queryFormation(ctx, peer)
		if err != nil {
			if !reported[peer.Name] {
				reported[peer.Name] = true
				m.logger.Info("waiting_for_member", logging.ErrorFields("form the group", peer.Name, err)...)
			}
			continue
		}
		if answer.Formed {
			_, known := answer.Existing.Find(own.ID)
			return answer.Existing, known, true
		}
		members = append(members, consensus.Member{ID: answer.ID, Name: answer.Name, Address: answer.Address})
	}
	if len(members) < max(1, len(initial)) {
		return consensus.Configuration{}, false, false
	}
	slices.SortFunc(members, func(a, b consensus.Member) int { return cmp.Compare(a.Name, b.Name) })
	return consensus.Configuration{Members: members}, true, true
}

func (m *Member) queryFormation(ctx context.Context, peer settings.Peer) (wire.Formation, error) {
	address := m.peers.address(consensus.Member{Name: peer.Name, Address: peer.Address})
	answer, err := m.queryFormationAt(ctx, address)
	if err == nil && peer.Name != "" && answer.Name != peer.Name {
		err = eris.Errorf("member at %s is named %q, but the settings name it %q", address, answer.Name, peer.Name)
	}
	return answer, err
}

func (m *Member) queryFormationAt(ctx context.Context, address string) (wire.Formation, error) {
	ctx, cancel := context.WithTimeout(ctx, formationTimeout)
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

// bootstrap writes the initial snapshot, which is the same on all initial members, and marks the
// data folder as formed.
func (m *Member) bootstrap(configuration consensus.Configuration) (recoveredState, error) {
	snapshot := consensus.Snapshot{Index: initialIndex, Term: initialTerm, Configuration: configuration}
	if err := m.storage.saveSnapshot(snapshot); err != nil {
		return recoveredState{}, err
	}
	if err := m.storage.markFormed(); err != nil {
		return recoveredState{}, err
	}
	m.logger.Info("group_formed", zap.Int("members", len(configuration.Members)))
	return recoveredState{snapshot: snapshot, hardState: consensus.HardState{Term: initialTerm}}, nil
}
