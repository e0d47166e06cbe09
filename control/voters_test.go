package control

import (
	"context"
	"os"
	"slices"
	"strings"
	"testing"

	"go.uber.org/zap"

	"limehold/settings"
)

// newVoterGroup starts a group that keeps three voters by itself. A member that comes back with an empty disk asks to
// be admitted.
func newVoterGroup(t *testing.T) *diskGroup {
	t.Helper()
	g := newDiskGroup(t, func(config *settings.Settings) { config.Control.Voters = 3 })
	var seeds []string
	for _, d := range g.members {
		seeds = append(seeds, d.Address())
	}
	for _, d := range g.members {
		d.options.Settings.Control.Seeds, d.options.Settings.Control.Join = seeds, true
	}
	return g
}

// loseDisk ends a member and empties its data folder.
func (g *diskGroup) loseDisk(d *diskMember) {
	g.t.Helper()
	g.end(d)
	if err := os.RemoveAll(d.options.Settings.DataFolder); err != nil {
		g.t.Fatal(err)
	}
}

// awaitLearner waits until a learner with the member's ID holds the log, as the leader sees it.
func (g *diskGroup) awaitLearner(d *diskMember) {
	g.t.Helper()
	g.await("a learner that holds the log", func() bool {
		leader := g.leader()
		if leader == nil {
			return false
		}
		status := leader.replica.status.Load()
		for _, peer := range status.Progress {
			if member, found := status.Configuration.Find(peer.ID); found && peer.ID == d.storage.identity.ID {
				return member.Learner && holdsLog(status, peer)
			}
		}
		return false
	})
}

// awaitVoters waits until the group consists of its three members, and all of them vote.
func (g *diskGroup) awaitVoters() {
	g.t.Helper()
	g.await("three voters and no other member", func() bool {
		leader := g.leader()
		if leader == nil {
			return false
		}
		status := leader.replica.status.Load()
		for _, d := range g.members {
			if !status.Configuration.IsVoter(d.storage.identity.ID) {
				return false
			}
		}
		return len(status.Configuration.Members) == len(g.members) && !status.Configuration.IsJoint()
	})
}

// Guards against a group without a leader for good after a member lost its disk, came back, and lost its disk again
// before it was a voter: the newcomer was promoted beside the lost voter, and two of four voters were gone.
func TestNewcomerThatIsLostAgainCostsNoQuorum(t *testing.T) {
	g := newVoterGroup(t)
	g.mustDrain()
	lost := g.followers()[0]
	for range 2 {
		g.loseDisk(lost)
		g.start(lost)
		g.awaitLearner(lost)
	}
	g.loseDisk(lost)
	g.mustDrain()
	g.start(lost)
	g.awaitVoters()
	g.mustDrain()
	if !g.holdsAll(g.leader()) {
		t.Error("an acknowledged command is lost")
	}
}

// Guards against a group without a leader after an operator removed a member while another one had just ended: what the
// latter had answered up to 1 s before was taken for its vote. The added case guards the same for a new member.
func TestMembershipChangesNeedFreshAnswers(t *testing.T) {
	tests := map[string]func(ctx context.Context, g *diskGroup, leader, ended *diskMember) error{
		"a member is removed": func(ctx context.Context, g *diskGroup, leader, ended *diskMember) error {
			for _, d := range g.followers() {
				if d != ended {
					return leader.RemoveMember(ctx, d.options.Settings.Name)
				}
			}
			return nil
		},
		"a member is added": func(ctx context.Context, g *diskGroup, leader, _ *diskMember) error {
			spare := g.newSpare()
			return leader.AddMember(ctx, spare.options.Settings.Name, spare.Address())
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			g := newDiskGroup(t)
			g.mustDrain()
			leader, ended := g.leader(), g.followers()[0]
			g.end(ended)
			ctx, cancel := context.WithTimeout(context.Background(), eventually)
			defer cancel()
			if err := change(ctx, g, leader, ended); err == nil || !strings.Contains(err.Error(), "refused") {
				t.Errorf("the change: %v", err)
			}
			g.mustDrain()
			g.start(ended)
			g.mustDrain()
		})
	}
}

// addSpare adds a member with an empty disk, and waits until it is a learner that holds the log.
func (g *diskGroup) addSpare() *diskMember {
	g.t.Helper()
	spare := g.newSpare()
	g.awaitLearner(spare)
	return spare
}

// newSpare starts a member with an empty disk.
func (g *diskGroup) newSpare() *diskMember {
	g.t.Helper()
	config := g.members[0].options.Settings
	config.Name, config.DataFolder = "control-spare", g.t.TempDir()
	config.Control.Listen, config.Control.Join = settings.Default().Control.Listen, true
	spare := &diskMember{options: Options{Settings: config, Logger: zap.NewNop()}}
	spare.options.createFile = spare.createFile
	g.members = append(g.members, spare)
	g.start(spare)
	return spare
}

// Guards against a group without a leader for good after a voter was stopped and its successor was at hand: the stopped
// one counted as a voter for 3 s more, and another one lost its disk meanwhile.
func TestStoppingVoterHandsItsVoteToALearner(t *testing.T) {
	tests := map[string]func(*diskGroup) *diskMember{
		"a follower stops": func(g *diskGroup) *diskMember { return g.followers()[0] },
		"the leader stops": func(g *diskGroup) *diskMember { return g.leader() },
	}
	for name, choose := range tests {
		t.Run(name, func(t *testing.T) {
			g := newVoterGroup(t)
			g.mustDrain()
			g.addSpare()
			leaving := choose(g)
			g.end(leaving)
			g.members = slices.DeleteFunc(g.members, func(d *diskMember) bool { return d == leaving })
			lost := g.members[0]
			g.loseDisk(lost)
			g.mustDrain()
			g.start(lost)
			g.awaitVoters()
			if !g.holdsAll(g.leader()) {
				t.Error("an acknowledged command is lost")
			}
		})
	}
}

// Guards against a restart that costs a vote, with and without a learner that takes it meanwhile.
func TestRestartedVoterLeavesTheGroupItsVotes(t *testing.T) {
	tests := map[string]bool{"no learner": false, "a learner takes the vote": true}
	for name, spare := range tests {
		t.Run(name, func(t *testing.T) {
			g := newVoterGroup(t)
			g.mustDrain()
			if spare {
				g.addSpare()
			}
			restarted := g.followers()[0]
			g.end(restarted)
			g.mustDrain()
			if voters := len(g.leader().replica.status.Load().Configuration.Voters()); voters != 3 {
				t.Errorf("%d voters while one restarts", voters)
			}
			g.start(restarted)
			if spare {
				g.awaitLearner(restarted)
			} else {
				g.awaitVoters()
			}
			g.mustDrain()
		})
	}
}
