package control

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/consensus"
	"limehold/settings"
	"limehold/wal"
)

const (
	// leaderID is the member that decides, learnerID one that holds the log, and lostID one that has been silent for long.
	leaderID  = consensus.MemberID(1)
	lostID    = consensus.MemberID(3)
	learnerID = consensus.MemberID(9)
	// committedIndex is the log index that all members hold but the lost one.
	committedIndex = 7
)

func newVoterManager(voters int, configuration consensus.Configuration) (*voterManager, *replicaStatus) {
	status := &replicaStatus{Term: 1, Commit: committedIndex, Ready: true, Configuration: configuration}
	for _, member := range configuration.Members {
		if member.ID == leaderID {
			continue
		}
		peer := consensus.PeerProgress{ID: member.ID, Match: committedIndex, Contacted: true, AnsweredSentAt: time.Minute}
		if member.ID == lostID {
			peer.Match, peer.Silence, peer.AnsweredSentAt = 0, time.Minute, 0
		}
		status.Progress = append(status.Progress, peer)
	}
	config := settings.Default()
	config.Control.Voters = voters
	member := &Member{options: Options{Settings: config}, storage: &storage{identity: wal.Identity{ID: leaderID}}, replica: &replica{}}
	member.replica.status.Store(status)
	return &voterManager{member: member}, status
}

func groupOf(voters ...consensus.MemberID) (configuration consensus.Configuration) {
	for _, id := range voters {
		configuration.Members = append(configuration.Members, consensus.Member{ID: id, Name: id.String(), Address: id.String()})
	}
	return configuration
}

// Guards against changes that need the vote of the member that they add, and against a group that is left with a lost
// voter because its members do not all support joint configurations.
func TestVoterChangesNeedNoNewVote(t *testing.T) {
	learner := consensus.Member{ID: learnerID, Name: "learner", Address: "learner", Learner: true}
	tests := map[string]struct {
		voters        int
		configuration consensus.Configuration
		steps         []string
		joint         bool
	}{
		"a voter of three is lost":            {3, groupOf(1, 2, lostID), []string{"remove lost voter", "remove lost voter"}, true},
		"a voter of five is lost":             {5, groupOf(1, 2, lostID, 4, 5), []string{"remove lost voter", "remove lost voter"}, true},
		"one of three, five are wanted":       {5, groupOf(1, 2, lostID), []string{"remove lost voter", "remove lost voter"}, true},
		"one of four, five are wanted":        {5, groupOf(1, 2, lostID, 4), []string{"promote learner"}, false},
		"one of four, three are wanted":       {3, groupOf(1, 2, lostID, 4), []string{"remove lost voter"}, false},
		"two of three are left":               {3, groupOf(1, 2), []string{"promote learner"}, false},
		"all of three alive, five are wanted": {5, groupOf(1, 2, 4), []string{"promote learner"}, false},
		"a single one, three are wanted":      {3, groupOf(1), []string{"promote learner"}, false},
		"none is missing":                     {3, groupOf(1, 2, 4), nil, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			test.configuration.Members = append(test.configuration.Members, learner)
			manager, status := newVoterManager(test.voters, test.configuration)
			changes := manager.nextChange(status, time.Hour)
			is.Equal(len(changes), len(test.steps))
			for i, change := range changes {
				is.True(strings.HasPrefix(change.step, test.steps[i]))
				is.Equal(change.isJoint(), test.joint && i == 0)
				is.NoErr(manager.member.checkQuorumAfter(test.configuration, change.edit(test.configuration), change.isJoint(), time.Minute))
			}
		})
	}
}
