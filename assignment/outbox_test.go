package assignment

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/membership"
	"limehold/ownership"
)

const (
	maxLag = 300 * time.Millisecond
	agent  = membership.SessionID(7)
)

var (
	first  = ownership.Key{Service: "proofs", Shard: 1}
	second = ownership.Key{Service: "proofs", Shard: 2}
)

func TestSecondListOfAConnectionIsADifference(t *testing.T) {
	is := is.New(t)
	box := NewOutbox[string](maxLag)
	box.RecordChange(agent, []ownership.Key{first})
	is.Equal(box.TakePending(), []membership.SessionID{agent})
	_, _, known := box.Difference(agent, "one")
	is.Equal(known, false) // nothing was sent on it before
	box.RecordQueued(agent, "one", 10, 0)
	box.RecordChange(agent, []ownership.Key{second})
	from, changed, known := box.Difference(agent, "one")
	is.True(known)
	is.Equal(from, uint64(10))
	is.Equal(changed, []ownership.Key{second})
	_, _, known = box.Difference(agent, "two")
	is.Equal(known, false) // nothing was sent on another connection
	box.RecordQueued(agent, "one", 12, 0)
	_, changed, _ = box.Difference(agent, "one")
	is.Equal(len(changed), 0)
}

func TestWholeListIsSentToWhoeverLags(t *testing.T) {
	is := is.New(t)
	box := NewOutbox[string](maxLag)
	box.RecordQueued(agent, "one", 10, 0)
	is.Equal(box.RecordReported(agent, "one", 10, 10, time.Second), false)         // up to date
	is.Equal(box.RecordReported(agent, "one", 4, 10, 100*time.Millisecond), false) // still in transit
	is.Equal(box.RecordReported(agent, "one", 4, 10, 400*time.Millisecond), true)  // lost
	_, _, known := box.Difference(agent, "one")
	is.Equal(known, false)
	is.Equal(box.TakePending(), []membership.SessionID{agent})
	box.RecordQueued(agent, "one", 11, 400*time.Millisecond)
	is.Equal(box.RecordReported(agent, "two", 11, 12, 500*time.Millisecond), true) // reconnected
	_, _, known = box.Difference(agent, "two")
	is.Equal(known, false)
}

func TestDifferenceIsTakenOnlyOnWhatItBuildsOn(t *testing.T) {
	is := is.New(t)
	set := NewSet()
	set.BeginSession(agent)
	changes := map[ownership.Key]Shard{second: {Epoch: 3}}
	is.Equal(set.Apply(agent, 10, 12, changes, nil), false) // the list at 10 has not arrived
	is.True(set.Replace(agent, 10, map[ownership.Key]Shard{first: {Epoch: 1}}))
	is.Equal(set.Apply(agent+1, 10, 12, changes, nil), false) // of another session
	is.True(set.Apply(agent, 10, 12, changes, []ownership.Key{first}))
	is.Equal(set.Granted(), []Released{{Key: second, Epoch: 3}})
	is.Equal(set.Revision(), uint64(12))
	is.Equal(set.Apply(agent, 10, 11, nil, []ownership.Key{second}), false) // late
	is.Equal(set.Count(), 1)
}

// A difference made before a release is acknowledged must not report the release again, and one with the
// shard under a later epoch must.
func TestDifferenceKeepsWhatWasReported(t *testing.T) {
	is := is.New(t)
	set := NewSet()
	set.BeginSession(agent)
	is.True(set.Replace(agent, 10, map[ownership.Key]Shard{first: {Epoch: 1, Release: true}}))
	set.RecordAcknowledged(agent, []Released{{Key: first, Epoch: 1}})
	is.True(set.Apply(agent, 10, 11, map[ownership.Key]Shard{second: {Epoch: 1}}, nil))
	is.Equal(len(set.Releasing()), 0)
	is.True(set.Apply(agent, 11, 12, nil, []ownership.Key{first}))
	is.True(set.Apply(agent, 12, 13, map[ownership.Key]Shard{first: {Epoch: 2, Release: true}}, nil))
	is.Equal(set.Releasing(), []Released{{Key: first, Epoch: 2}})
}

// If a whole list is lost and differences are sent at intervals shorter than maxLag, the agent can apply none
// of them and must still be sent the whole list.
func TestDifferencesDoNotPutOffTheListThatTheyBuildOn(t *testing.T) {
	box := NewOutbox[string](maxLag)
	box.RecordQueued(agent, "one", 10, 0)
	revision := uint64(10)
	for now := time.Duration(0); now < 2*maxLag; now += maxLag / 3 {
		revision++
		box.RecordChange(agent, []ownership.Key{first})
		if _, _, known := box.Difference(agent, "one"); !known {
			return // the whole list
		}
		box.RecordQueued(agent, "one", revision, now)
		box.RecordReported(agent, "one", 0, revision, now)
	}
	t.Fatal("the agent was sent only differences, based on a list that it never received")
}
