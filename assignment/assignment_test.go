package assignment

import (
	"testing"

	"github.com/matryer/is"

	"limehold/ownership"
)

func key(shard uint32) ownership.Key { return ownership.Key{Service: "proofs", Shard: shard} }

func TestDelayedAndRepeatedListsChangeNothing(t *testing.T) {
	is := is.New(t)
	set := NewSet()
	is.True(set.BeginSession(7))
	is.True(set.Replace(7, 20, map[ownership.Key]Shard{key(1): {Epoch: 3}}))
	is.Equal(set.Replace(7, 20, map[ownership.Key]Shard{}), false)           // repeated
	is.Equal(set.Replace(7, 19, map[ownership.Key]Shard{key(2): {}}), false) // older
	is.Equal(set.Replace(6, 30, map[ownership.Key]Shard{key(2): {}}), false) // another session
	is.Equal(set.Granted(), []Released{{Key: key(1), Epoch: 3}})
}

func TestReleaseIsReportedUntilControlHasTakenIt(t *testing.T) {
	is := is.New(t)
	set := NewSet()
	set.BeginSession(7)
	set.Replace(7, 1, map[ownership.Key]Shard{key(1): {Epoch: 3, Release: true}})
	is.Equal(len(set.Granted()), 0)
	is.Equal(len(set.Releasing()), 1)
	set.RecordAcknowledged(6, set.Releasing()) // of another session
	is.Equal(len(set.Releasing()), 1)
	set.RecordAcknowledged(7, set.Releasing())
	is.Equal(len(set.Releasing()), 0)
	// Granted again under a higher epoch, and to be released once more.
	set.Replace(7, 2, map[ownership.Key]Shard{key(1): {Epoch: 5, Release: true}})
	is.Equal(len(set.Releasing()), 1)
}

func TestNewSessionForgetsEverything(t *testing.T) {
	is := is.New(t)
	set := NewSet()
	set.BeginSession(7)
	set.Replace(7, 5, map[ownership.Key]Shard{key(1): {Epoch: 3}})
	version := set.Version()
	is.True(set.BeginSession(9))
	is.Equal(set.Count(), 0)
	is.True(set.Version() > version)
	is.Equal(set.BeginSession(9), false)
}
